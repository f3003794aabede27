"""Notices callers that leave while their request is in service.

One thread watches the connections of all requests in service, so that a request which waits
for an engine is cancelled at once, not at its next write.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading

from quaymill.request.presence import CallerPresence

POLL_TIMEOUT_S = 1.0
_GONE = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class CallerWatch:
    """Watches for the end of connections; what callers send is left unread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._poll = select.epoll()
        self._watched: dict[int, CallerPresence] = {}
        self._stopping = False

    def start(self) -> None:
        """Begin to watch."""
        threading.Thread(target=self._serve, name="caller-watch", daemon=True).start()

    def stop(self) -> None:
        """End the watch; requests still in service are interrupted."""
        self._stopping = True
        with self._lock:
            watched = list(self._watched.values())
        for presence in watched:
            presence.interrupt()

    def watch(self, connection: socket.socket) -> CallerPresence:
        """Return the presence of the caller at the other end of ``connection``."""
        presence = CallerPresence()
        descriptor = connection.fileno()
        with self._lock, contextlib.suppress(OSError, ValueError):
            self._watched[descriptor] = presence
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
            self._watched.pop(descriptor, None)
            with contextlib.suppress(OSError, ValueError):
                self._poll.unregister(descriptor)

    def _serve(self) -> None:
        while not self._stopping:
            for descriptor, event in self._poll.poll(POLL_TIMEOUT_S):
                with self._lock:
                    presence = self._watched.get(descriptor)
                if presence is not None and event & _GONE:
                    presence.leave()
        self._poll.close()


def _has_left(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    return bool(poll.poll(0))
