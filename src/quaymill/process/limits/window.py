"""Counts amounts within a sliding window."""

from __future__ import annotations

import math
from collections import deque

import attrs

SLOTS = 50
"""Intervals of a window whose amounts are counted together. An interval counts until the whole of
it has left the window."""


@attrs.define
class WindowCount:
    """Amounts counted within the last window.

    Attributes
    ----------
    window_s
        Length of the window in seconds.
    """

    window_s: float
    _slots: deque[tuple[int, float]] = attrs.field(factory=deque)
    _total: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at the time ``now``."""
        slot = math.floor(now / self._slot_s)
        same = self._slots.pop()[1] if self._slots and self._slots[-1][0] == slot else 0.0
        self._slots.append((slot, same + amount))
        self._total += amount

    def total(self, now: float) -> float:
        """Return the total of the window that ends at ``now``."""
        oldest = (now - self.window_s) / self._slot_s - 1.0
        while self._slots and self._slots[0][0] < oldest:
            self._total -= self._slots.popleft()[1]
        if not self._slots:
            self._total = 0.0
        return self._total

    def wait_s(self, excess: float, now: float) -> float:
        """Return the seconds until the total has decreased by ``excess``."""
        left = self.total(now) - excess
        leaving = self._total
        for slot, count in self._slots:
            leaving -= count
            if leaving <= left:
                return max(0.0, (slot + 1) * self._slot_s + self.window_s - now)
        return self.window_s

    def by_age(self, parts: int, now: float) -> tuple[float, ...]:
        """Return the total of the window split by age into equal parts, newest first."""
        self.total(now)
        found = [0.0] * parts
        for slot, count in self._slots:
            age_s = max(0.0, now - (slot + 1) * self._slot_s)
            found[min(parts - 1, int(age_s / self.window_s * parts))] += count
        return tuple(found)

    @property
    def _slot_s(self) -> float:
        return self.window_s / SLOTS
