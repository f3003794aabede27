"""Ends one run of a batch item from another thread."""

from __future__ import annotations

import threading
from collections.abc import Callable


class RunHandle:
    """Cancels one run of an item; thread-safe.

    Each run has a handle of its own. A cancel that comes before the run has sent its request takes
    effect as soon as ``attach`` is called; one that comes after the run does nothing, so that it
    cannot reach the next run of the item.

    Attributes
    ----------
    cancelled
        Whether the run was cancelled while it went on.
    preempted
        Whether that was to make room for online requests.
    """

    def __init__(self) -> None:
        self.cancelled = False
        self.preempted = False
        self._lock = threading.Lock()
        self._cancel: Callable[[], None] | None = None
        self._ended = False

    @classmethod
    def of_no_run(cls) -> RunHandle:
        """Return the handle of an item that has not been run yet."""
        handle = cls()
        handle.end()
        return handle

    def attach(self, cancel: Callable[[], None]) -> None:
        """Set the function that cancels the run; called at once if the run is cancelled."""
        with self._lock:
            self._cancel = cancel
            cancel_now = self.cancelled
        if cancel_now:
            cancel()

    def cancel(self) -> None:
        """Cancel the run, unless it has ended."""
        self._request_cancel(preempted=False)

    def preempt(self) -> None:
        """Cancel the run to make room for online requests, unless it has ended."""
        self._request_cancel(preempted=True)

    def end(self) -> None:
        """Record that the run has ended."""
        with self._lock:
            self._ended = True
            self._cancel = None

    def _request_cancel(self, *, preempted: bool) -> None:
        with self._lock:
            if self._ended:
                return
            self.cancelled = True
            self.preempted = self.preempted or preempted
            cancel = self._cancel
        if cancel is not None:
            cancel()
