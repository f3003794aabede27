"""Which online requests go to an engine now, and which wait: decisions only, time is a parameter.

The load they answer: bursts above what the engines serve. An engine works on a fixed number of
requests at once and takes the rest in the order of their arrival, so whatever is let go to a full
engine makes all that follow later. Let go up to the last moment, half of the requests at that
limit are late, since nobody knows when a slot comes free; held back a little earlier, the same
engines serve more of them in time, and those that are late already lose nothing that they had.
"""

from __future__ import annotations

import attrs

WAIT_UNSURE_ENDS = 0.5
"""By how many usual times between two ends at an engine a wait may be longer than told.

Part of the requests that are late (tests/dispatch_player, gateways' views up to 0.25 s old) at
0, 0.5, 1.0 and 1.5: 45 engines of 6 slots in bursts of 1.27 times what they serve .247 .178 .172
.172, of 1.15 times .118 .095 .091 .103; 6 engines of 19 slots .115 .108 .098 .087, of 8 slots
.114 .104 .103 .111. At 1.0 and more a fresh request is held that one end alone would have in
time."""


@attrs.frozen
class EngineState:
    """The least loaded engine of a service, as a gateway sees it.

    Attributes
    ----------
    load
        Requests that count there, those included that were let go just now.
    service_s
        How long a request is served.
    first_byte_s
        From its start to its first event.
    """

    load: float
    slots: int
    service_s: float
    first_byte_s: float


def expected_wait_s(engine: EngineState) -> float:
    """Return how long a request that comes now waits for a slot."""
    ahead = engine.load - engine.slots + 1
    return max(0.0, ahead) * _between_ends_s(engine)


def may_dispatch(engine: EngineState, target_at: float, now: float) -> bool:
    """Return whether a request finds a slot, or will be in time although it does not."""
    if engine.load < engine.slots:
        return True
    unsure_s = WAIT_UNSURE_ENDS * _between_ends_s(engine)
    return now + expected_wait_s(engine) + unsure_s + engine.first_byte_s <= target_at


def dispatch_order(
    target_at: float,
    rank: int,
    came_at: float,
    first_byte_s: float,
    now: float,
    start_tag: float = 0.0,
) -> tuple[bool, int, float, float]:
    """Return the sort key of a waiting request: what can be in time, by rank, tag and age.

    Parameters
    ----------
    start_tag
        By fair queueing over tenants (``FairShares``); 0 where there are none.
    """
    is_late = target_at - first_byte_s <= now
    return is_late, rank, start_tag, came_at


def _between_ends_s(engine: EngineState) -> float:
    return engine.service_s / engine.slots
