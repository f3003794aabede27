"""Whether the caller of a request still waits, and what to cancel when it leaves."""

from __future__ import annotations

import threading
from collections.abc import Callable


class CallerGoneError(Exception):
    """The caller has left, so that nobody waits for the answer."""


class CallerPresence:
    """Present until ``leave`` is called, by the watch of the caller's connection.

    ``interrupt`` is called when the node stops before the request has ended: its attempt is
    cancelled, no other follows, and the caller, who still waits, is told.

    A request attaches what cancels its present attempt. ``leave`` may come from another
    thread at any moment; what is attached later is cancelled at once.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._cancel: Callable[[], None] | None = None
        self._gone = False
        self._interrupted = False

    @property
    def interrupted(self) -> bool:
        """Whether the node stops, so that no further attempt may be made."""
        return self._interrupted

    @property
    def gone(self) -> bool:
        """Whether the caller has left."""
        return self._gone

    def attach(self, cancel: Callable[[], None]) -> None:
        """Call ``cancel`` when the caller leaves, instead of what was attached before."""
        with self._lock:
            self._cancel = cancel
            ended = self._gone or self._interrupted
        if ended:
            cancel()

    def detach(self) -> None:
        """Cancel nothing any more."""
        with self._lock:
            self._cancel = None

    def leave(self) -> None:
        """Note that the caller has left, and cancel what is attached."""
        self._gone = True
        self._cancel_attached()

    def interrupt(self) -> None:
        """Cancel what is attached, because the node stops."""
        self._interrupted = True
        self._cancel_attached()

    def _cancel_attached(self) -> None:
        with self._lock:
            cancel = self._cancel
        if cancel is not None:
            cancel()
