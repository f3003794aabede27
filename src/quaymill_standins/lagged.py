"""Values that are read later than they are written."""

from __future__ import annotations

import threading
import time
from collections import deque
from typing import Generic, TypeVar

Value = TypeVar("Value")


class LaggedValue(Generic[Value]):
    """A value whose readers see it as it was ``lag_s`` seconds ago."""

    def __init__(self, initial: Value, lag_s: float) -> None:
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._written: deque[tuple[float, Value]] = deque([(float("-inf"), initial)])

    def write(self, value: Value) -> None:
        """Set the value; a value equal to the latest one costs nothing."""
        with self._lock:
            if self._written[-1][1] != value:
                self._written.append((time.monotonic(), value))
                self._forget(time.monotonic() - self._lag_s)

    def read(self) -> Value:
        """Return the value as it was ``lag_s`` seconds ago."""
        with self._lock:
            self._forget(time.monotonic() - self._lag_s)
            return self._written[0][1]

    def _forget(self, horizon_s: float) -> None:
        """Drop the values that were replaced before the horizon."""
        while len(self._written) > 1 and self._written[1][0] <= horizon_s:
            self._written.popleft()
