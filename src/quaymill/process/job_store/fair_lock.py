"""A re-entrant lock that is handed to waiting threads in the order of their arrival.

The group commit takes the storage's lock again at once after each commit. With Python's own
locks, a vote or a read could then wait for as long as the load lasts.
"""

from __future__ import annotations

import threading
from collections import deque
from types import TracebackType


class FairLock:
    """First come, first served; re-entrant."""

    def __init__(self) -> None:
        self._mutex = threading.Lock()
        self._owner = 0
        self._depth = 0
        self._waiters: deque[tuple[int, threading.Lock]] = deque()

    def acquire(self) -> None:
        """Take the lock, after all threads that asked before."""
        thread = threading.get_ident()
        with self._mutex:
            if self._owner in (0, thread):
                self._owner = thread
                self._depth += 1
                return
            gate = threading.Lock()
            gate.acquire()
            self._waiters.append((thread, gate))
        gate.acquire()  # Opened by the releasing thread, which has made this one the owner.

    def release(self) -> None:
        """Give the lock to the thread that has waited longest."""
        with self._mutex:
            self._depth -= 1
            if self._depth:
                return
            if not self._waiters:
                self._owner = 0
                return
            self._owner, gate = self._waiters.popleft()
            self._depth = 1
            gate.release()

    def __enter__(self) -> FairLock:
        self.acquire()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()
