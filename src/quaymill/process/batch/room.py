"""How many batch items may run at one replica: pure arithmetic, without clocks or threads.

Batch concurrency shrinks at once and comes back slowly (additive return). A notice of
online work counts until a load report that was measured after it has arrived; from then on
the report speaks for itself.
"""

from __future__ import annotations

import math
from collections import deque

import msgspec

from quaymill.connection.load_messages import LoadReport

REPORT_MAX_AGE_S = 3.0
RETURN_INTERVAL_S = 0.1
RETURN_FRACTION = 0.125
UNKNOWN_LOAD_CONCURRENCY = 1
PREFETCH_HORIZON_S = 2.0
MAX_PREFETCH_PER_SLOT = 4
PREEMPTION_PAUSE_S = 1.0


class RoomLimits(msgspec.Struct, frozen=True):
    """The cells that bound batch work at one replica.

    Attributes
    ----------
    batch_limit
        Most batch items in service at once.
    reserve
        Slots left free for the next online requests.
    """

    batch_limit: int
    reserve: int


class LoadSample(msgspec.Struct, frozen=True):
    """A load report with the monotonic time in seconds at which the replica measured it."""

    report: LoadReport
    measured_s: float


def online_in_service(report: LoadReport, own_running: int) -> int:
    """Return the online requests that a report shows, running and waiting.

    Batch streams of this scheduler that the replica does not run yet wait in its queue;
    they are not taken for online ones.
    """
    own_waiting = max(0, own_running - report.batch_running)
    waiting = max(0, report.waiting - own_waiting)
    return max(0, report.running - report.batch_running) + waiting


def prefetch_count(allowed: int, items_per_s: float, lease_latency_s: float) -> int:
    """Return how many items to hold ready beside those that run.

    As many as will end within the horizon, but no more than one for each slot unless the
    store needs longer than that to be asked twice. Items that wait longer are given back, so
    more would only go to and fro.
    """
    if not allowed:
        return 0
    soon = min(allowed, math.ceil(items_per_s * PREFETCH_HORIZON_S))
    while_asking = math.ceil(2 * items_per_s * lease_latency_s)
    return max(1, min(max(soon, while_asking), MAX_PREFETCH_PER_SLOT * allowed))


class Room:
    """The batch concurrency allowed at one replica. Not safe for use by several threads.

    Attributes
    ----------
    reason
        What bounds the concurrency, for a person.
    """

    def __init__(self) -> None:
        self._allowed = 0
        self._last_return_s = -math.inf
        self.reason = "the room has not been worked out yet"
        self._notices_s: deque[float] = deque()

    @property
    def allowed(self) -> int:
        """Batch concurrency allowed by the last update."""
        return self._allowed

    def notice(self, now_s: float) -> None:
        """Count one online request that starts now."""
        self._notices_s.append(now_s)

    def preempted(self, running: int, now_s: float) -> None:
        """Take note that the engine preempted a stream; ``running`` are left."""
        self._allowed = min(self._allowed, running)
        # A report that shows no online work was just proved wrong; it is not believed at once.
        self._last_return_s = now_s + PREEMPTION_PAUSE_S

    def update(
        self, sample: LoadSample | None, limits: RoomLimits, own_running: int, now_s: float
    ) -> int:
        """Work out the allowed concurrency and return it.

        Parameters
        ----------
        sample
            The latest report; ``None`` or an old one means that the load is unknown.
        own_running
            Batch streams that this scheduler has open at the replica.
        """
        target = self._target(sample, limits, own_running, now_s)
        if target <= self._allowed:
            self._allowed = target
            self._last_return_s = max(self._last_return_s, now_s)
        elif now_s - self._last_return_s >= RETURN_INTERVAL_S:
            step = max(1, math.ceil(limits.batch_limit * RETURN_FRACTION))
            self._allowed = min(target, self._allowed + step)
            self._last_return_s = now_s
        if self._allowed < target:
            self.reason = f"coming back slowly to {target} after online work"
        return self._allowed

    def _target(
        self, sample: LoadSample | None, limits: RoomLimits, own_running: int, now_s: float
    ) -> int:
        if sample is None or now_s - sample.measured_s > REPORT_MAX_AGE_S:
            # Nothing is known of idle slots: what runs goes on under the engine's priorities
            # and is not replaced, down to one item at a time that keeps batch work moving.
            self.reason = "the replica's load report is missing or old"
            running = min(self._allowed, own_running)
            return max(0, min(limits.batch_limit, max(running, UNKNOWN_LOAD_CONCURRENCY)))
        while self._notices_s and self._notices_s[0] < sample.measured_s:
            self._notices_s.popleft()
        online = online_in_service(sample.report, own_running) + len(self._notices_s)
        free = max(0, sample.report.slots - limits.reserve - online)
        if limits.batch_limit <= free:
            self.reason = f"the cell batch_limit is {limits.batch_limit}"
            return limits.batch_limit
        self.reason = (
            f"{online} online requests and the reserve of {limits.reserve} "
            f"leave {free} of {sample.report.slots} slots"
        )
        return free
