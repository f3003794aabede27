"""Whether the caller of a request still waits, and what to cancel when it leaves."""

from __future__ import annotations

import threading
from collections.abc import Callable


class CallerGoneError(Exception):
    """The caller has left, so that nobody waits for the answer."""


class CallerPresence:
    """Present until ``leave`` is called, by the watch of the caller's connection.

    A request attaches what cancels its present attempt. ``leave`` may come from another
    thread at any moment; what is attached later is cancelled at once.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._cancel: Callable[[], None] | None = None
        self._gone = False

    @property
    def gone(self) -> bool:
        """Whether the caller has left."""
        return self._gone

    def attach(self, cancel: Callable[[], None]) -> None:
        """Call ``cancel`` when the caller leaves, instead of what was attached before."""
        with self._lock:
            self._cancel = cancel
            gone = self._gone
        if gone:
            cancel()

    def detach(self) -> None:
        """Cancel nothing any more."""
        with self._lock:
            self._cancel = None

    def leave(self) -> None:
        """Note that the caller has left, and cancel what is attached."""
        with self._lock:
            self._gone = True
            cancel = self._cancel
        if cancel is not None:
            cancel()
