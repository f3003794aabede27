"""Notices callers that leave while their request is in service.

One thread watches the connections of all requests in service, so that a request which waits
for an engine is cancelled at once, not at its next write.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading

import attrs
from eliot import log_message

from quaymill.request.presence import CallerPresence

POLL_TIMEOUT_S = 1.0


@attrs.frozen
class _WatchedConnection:
    connection: socket.socket
    presence: CallerPresence


class CallerWatch:
    """Watches for the end of connections; what callers send is left unread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._poll = select.epoll()
        self._watched_by_fd: dict[int, _WatchedConnection] = {}
        self._stopping = False

    def start(self) -> None:
        """Begin to watch."""
        threading.Thread(target=self._serve, name="caller-watch", daemon=True).start()

    def stop(self) -> None:
        """End the watch; requests still in service are interrupted."""
        self._stopping = True
        with self._lock:
            watched = list(self._watched_by_fd.values())
        for entry in watched:
            entry.presence.interrupt()

    def watch(self, connection: socket.socket) -> CallerPresence:
        """Return the presence of the caller at the other end of ``connection``."""
        presence = CallerPresence()
        descriptor = connection.fileno()
        with self._lock, contextlib.suppress(OSError, ValueError):
            self._watched_by_fd[descriptor] = _WatchedConnection(connection, presence)
            self._poll.register(descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT)
        # Who left before the request was read has left now, not when the watch gets round to it:
        # the request would else reach a replica.
        if _has_left(connection):
            presence.leave()
        return presence

    def unwatch(self, connection: socket.socket) -> None:
        """End the watch of a connection, before it is closed or carries the next request."""
        descriptor = connection.fileno()
        with self._lock:
            self._watched_by_fd.pop(descriptor, None)
            with contextlib.suppress(OSError, ValueError):
                self._poll.unregister(descriptor)

    def _serve(self) -> None:
        while not self._stopping:
            for descriptor, _ in self._poll.poll(POLL_TIMEOUT_S):
                self._handle_event(descriptor)
        self._poll.close()

    def _handle_event(self, descriptor: int) -> None:
        """Record that a caller has left, if the connection that is watched now has ended.

        An event names a descriptor only. The connection that it was reported for may have been
        closed since, and its descriptor reused for another caller.
        """
        with self._lock:
            watched = self._watched_by_fd.get(descriptor)
            # The lock keeps the connection open, as it is unwatched before it is closed.
            has_left = watched is not None and _has_left(watched.connection)
        if has_left:
            watched.presence.leave()
        elif watched is not None:
            log_message("caller:stale_event", descriptor=descriptor)


def _has_left(connection: socket.socket) -> bool:
    """Return whether the connection has been closed, at either end."""
    descriptor = connection.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))
