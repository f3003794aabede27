"""What a replica says of itself in its entry of the platform's list."""

from __future__ import annotations

import math

import attrs

from quaymill.connection.endpoint import Endpoint

USUAL_SLOWNESS = 1.0
"""Where work takes its usual time, and where a replica tells nothing of it."""
MIN_SLOWNESS = 0.1
MAX_SLOWNESS = 10.0
"""Bounds of what a replica may tell: one that is slower is found by its answers."""


@attrs.frozen
class ReplicaEntry:
    """One incarnation of a replica.

    Attributes
    ----------
    id
        Names the replica; one that starts again may keep it.
    slots
        Requests that the replica works on at once.
    cold_left_s
        How much longer it stays slow after its start.
    born_ms
        When it started, in Unix milliseconds by its own clock; 0 if it does not say.
    """

    id: str
    service: str
    address: Endpoint
    zone: str
    slots: int
    draining: bool = False
    cold_left_s: float = attrs.field(default=0.0, eq=False)
    born_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Names this start of the replica."""
        return f"{self.id}@{self.born_ms}" if self.born_ms else self.id


@attrs.frozen
class ReportedLoad:
    """What a replica told of its load with an answer.

    Attributes
    ----------
    running, waiting
        Requests in its slots, and behind them.
    slowness
        How many times as long as usual work takes there now; 1.0 where it is not told.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = USUAL_SLOWNESS


def read_slowness(text: str) -> float:
    """Return how many times as long as usual work takes, from hundredths of what is usual.

    What cannot be read tells nothing; what is beyond the bounds counts as the bound.
    """
    try:
        slowness = float(text) / 100.0
    except ValueError:
        return USUAL_SLOWNESS
    if not math.isfinite(slowness) or slowness <= 0:
        return USUAL_SLOWNESS
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


@attrs.frozen
class SlownessReading:
    """When a replica told how long work takes there.

    Attributes
    ----------
    slowness
        How many times as long as usual.
    at
        Monotonic time when it told so.
    """

    slowness: float
    at: float
