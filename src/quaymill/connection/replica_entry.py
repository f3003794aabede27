"""A replica as described by its entry in the platform's list, and the load that it reports."""

from __future__ import annotations

import math

import attrs

from quaymill.connection.endpoint import Endpoint

USUAL_SLOWNESS = 1.0
"""Slowness of a replica that runs at its usual speed or reports none."""
MIN_SLOWNESS = 0.1
MAX_SLOWNESS = 10.0
"""Bounds of the reported slowness; a slower replica is detected by its late answers."""
MAX_VERSION_LENGTH = 200
MAX_COLD_LEFT_S = 24 * 3600.0
"""Upper bound of a plausible remaining warm-up time."""


@attrs.frozen
class ReplicaEntry:
    """One run of a replica, from its start to its end.

    Attributes
    ----------
    id
        Id of the replica, which may stay the same after a restart.
    slots
        Number of requests that the replica runs at once.
    cold_left_s
        Remaining time during which the replica is slow after its start; ``None`` if unknown, NaN if
        the entry states an invalid time.
    started_ms
        Start time in Unix milliseconds, by the replica's clock; 0 if unknown.
    listed_left_s
        Remaining time as it stands in the platform's list, if another gateway sent the entry and
        ``cold_left_s`` is what that gateway knows; ``None`` otherwise.
    version
        Version of the replica's software, without an order; empty if its entry states none,
        ``None`` if the entry states an invalid one.
    revision
        Revision of the platform's store at which the entry was written; 0 if unknown. Of two
        entries of a replica, the one with the lower revision is outdated.
    """

    id: str
    service: str
    address: Endpoint
    zone: str
    slots: int
    draining: bool = False
    cold_left_s: float | None = attrs.field(default=None, eq=False)
    started_ms: int = 0
    listed_left_s: float | None = attrs.field(default=None, eq=False)
    version: str | None = ""
    revision: int = attrs.field(default=0, eq=False)

    def is_same_start_as(self, earlier: ReplicaEntry) -> bool:
        """Return whether an earlier entry of the replica is of the same run.

        Any different start time is a newer start, as the replica's clock may have been set back.
        """
        return (self.started_ms, self.version) == (earlier.started_ms, earlier.version)

    @property
    def incarnation(self) -> str:
        """Id of this run of the replica."""
        return f"{self.id}@{self.started_ms}" if self.started_ms else self.id


@attrs.frozen
class ReportedLoad:
    """The load that a replica reports with an answer.

    Attributes
    ----------
    running, waiting
        Number of requests in its slots, and in its queue.
    slowness
        Current time per unit of work, as a multiple of the usual time; 1.0 if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = USUAL_SLOWNESS


def read_slowness(text: str) -> float:
    """Parse a reported slowness, given in percent of the usual time.

    Returns ``USUAL_SLOWNESS`` for an invalid value; others are clamped to the bounds.
    """
    try:
        slowness = float(text) / 100.0
    except ValueError:
        return USUAL_SLOWNESS
    if not math.isfinite(slowness) or slowness <= 0:
        return USUAL_SLOWNESS
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


def read_version(value: object) -> str | None:
    """Return a stated software version, as in ``ReplicaEntry``; ``value`` is ``""`` if none is."""
    is_valid = isinstance(value, str) and len(value) <= MAX_VERSION_LENGTH
    return value if is_valid else None


def read_cold_left_s(value: object, per_s: float) -> float | None:
    """Return a stated remaining warm-up time in seconds.

    Returns ``None`` if none is stated, NaN if the value is not a number, negative or longer than
    ``MAX_COLD_LEFT_S``.

    Parameters
    ----------
    per_s
        Units of the value per second.
    """
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        return math.nan
    # Compared before the division, which cannot be done with a very large integer.
    return value / per_s if 0 <= value <= MAX_COLD_LEFT_S * per_s else math.nan


@attrs.frozen
class SlownessReading:
    """A slowness that a replica reported, and when.

    Attributes
    ----------
    slowness
        Time per unit of work, as a multiple of the usual time.
    at
        Monotonic time of the report.
    """

    slowness: float
    at: float
