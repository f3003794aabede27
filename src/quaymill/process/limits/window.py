"""Counts amounts within a sliding window."""

from __future__ import annotations

import math
from collections import deque

import attrs

INTERVALS = 50
"""Number of intervals of a window. The amounts of an interval are summed, and count until all of
the interval has left the window."""


@attrs.define
class WindowCount:
    """Amounts counted within the last window.

    Attributes
    ----------
    window_s
        Length of the window in seconds.
    """

    window_s: float
    _intervals: deque[tuple[int, float]] = attrs.field(factory=deque)
    _total: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at the time ``now``."""
        interval = math.floor(now / self._interval_s)
        previous = (
            self._intervals.pop()[1]
            if self._intervals and self._intervals[-1][0] == interval
            else 0.0
        )
        self._intervals.append((interval, previous + amount))
        self._total += amount

    def total(self, now: float) -> float:
        """Return the total of the window that ends at ``now``."""
        oldest = (now - self.window_s) / self._interval_s - 1.0
        while self._intervals and self._intervals[0][0] < oldest:
            self._total -= self._intervals.popleft()[1]
        if not self._intervals:
            self._total = 0.0
        return self._total

    def wait_s(self, excess: float, now: float) -> float:
        """Return the seconds until the total has decreased by ``excess``."""
        target = self.total(now) - excess
        remaining = self._total
        for interval, count in self._intervals:
            remaining -= count
            if remaining <= target:
                return max(0.0, (interval + 1) * self._interval_s + self.window_s - now)
        return self.window_s

    def by_age(self, parts: int, now: float) -> tuple[float, ...]:
        """Return the total of the window split by age into equal parts, newest first."""
        self.total(now)
        totals = [0.0] * parts
        for interval, count in self._intervals:
            age_s = max(0.0, now - (interval + 1) * self._interval_s)
            totals[min(parts - 1, int(age_s / self.window_s * parts))] += count
        return tuple(totals)

    @property
    def _interval_s(self) -> float:
        return self.window_s / INTERVALS
