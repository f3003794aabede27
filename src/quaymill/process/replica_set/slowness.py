"""Estimates the current slowness of a replica from its reports.

Replicas share their machines with other processes, which makes some of them slow for tenths of a
second. The effect of a report therefore decays quickly, towards the average of all reports.
"""

from __future__ import annotations

from quaymill.connection.replica_entry import USUAL_SLOWNESS, SlownessReading

SLOWNESS_HALF_LIFE_S = 0.05
"""Half-life of the difference between the last report and the average. A disturbance by other work
on the machine is over within some tenths of a second, and a short request takes a tenth."""
AVERAGE_WEIGHT = 0.02
"""Weight of the newest report in the moving average; small, so that a few reports from a short slow
period change it little."""


class SlownessRecord:
    """Slowness reports of one replica; not thread-safe, guarded by the lock of its owner.

    Attributes
    ----------
    last
        The newest report.
    has_reports
        Whether any report differed from ``USUAL_SLOWNESS``, which also stands for no report.
    """

    def __init__(self) -> None:
        self.has_reports = False
        self.last: SlownessReading | None = None
        self._average = USUAL_SLOWNESS

    def add(self, reading: SlownessReading) -> None:
        """Record a report; one that is older than the last affects only the average."""
        self.has_reports = self.has_reports or reading.slowness != USUAL_SLOWNESS
        if self.last is None or reading.at > self.last.at:
            self.last = reading
        self._average += AVERAGE_WEIGHT * (reading.slowness - self._average)

    def expected_at(self, now: float) -> float:
        """Return the expected duration of work now, as a multiple of the usual duration."""
        if self.last is None:
            return USUAL_SLOWNESS
        # Only slower reports count: a fast one would attract requests to the replicas that report
        # most often, which are the busy ones.
        excess = max(0.0, self.last.slowness - self._average)
        return self._average + excess * 0.5 ** (max(0.0, now - self.last.at) / SLOWNESS_HALF_LIFE_S)
