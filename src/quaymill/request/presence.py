"""Tracks whether the caller of a request is still connected; cancels its attempt if it is not."""

from __future__ import annotations

import threading
from collections.abc import Callable


class CallerGoneError(Exception):
    """The caller has disconnected, so its answer is no longer needed."""


class CallerPresence:
    """Whether the caller of one request is still connected; thread-safe.

    A request attaches a function that cancels its current attempt. The code that watches the
    caller's connection calls ``leave`` when the caller disconnects. ``interrupt`` is called when
    the node stops: the attempt is cancelled, no other is made, and the caller gets an error. Both
    may be called from any thread; what is attached afterwards is cancelled at once.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._cancel: Callable[[], None] | None = None
        self._gone = False
        self._interrupted = False

    @property
    def interrupted(self) -> bool:
        """Whether the node is stopping, so that no further attempt may be made."""
        return self._interrupted

    @property
    def gone(self) -> bool:
        """Whether the caller has disconnected."""
        return self._gone

    def attach(self, cancel: Callable[[], None]) -> None:
        """Set the function to call when the caller disconnects or the node stops."""
        with self._lock:
            self._cancel = cancel
            cancel_now = self._gone or self._interrupted
        if cancel_now:
            cancel()

    def detach(self) -> None:
        """Remove the attached function."""
        with self._lock:
            self._cancel = None

    def leave(self) -> None:
        """Record that the caller has disconnected, and cancel the current attempt."""
        self._gone = True
        self._cancel_attached()

    def interrupt(self) -> None:
        """Cancel the current attempt, because the node is stopping."""
        self._interrupted = True
        self._cancel_attached()

    def _cancel_attached(self) -> None:
        with self._lock:
            cancel = self._cancel
        if cancel is not None:
            cancel()
