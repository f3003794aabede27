"""Passes a connection to a worker only when the whole head of a request has arrived.

A worker that reads a head waits for its sender, so that slow senders could occupy all workers and
block every other caller. Instead one thread watches all connections that wait for a head; data is
only peeked at, and read by the worker that gets the connection.
"""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import Callable
from typing import Protocol

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.readable import is_readable

HEAD_ENDS = (b"\r\n\r\n", b"\n\n")
MAX_PEEK_BYTES = 64 * 1024
"""A longer head is passed to a worker, which refuses it."""
POLL_TIMEOUT_S = 0.5
"""Time between two checks for connections that take too long."""
EMPTY_POLL_TIMEOUT_S = 5.0
"""The same while there are no waiting connections, to save processor time."""
_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET


class Connection(Protocol):
    """The parts of a caller's connection that are used here."""

    socket: socket.socket

    def close(self) -> None:
        """Close the connection."""


@attrs.define
class _WaitingConnection:
    """A connection whose head is incomplete.

    Attributes
    ----------
    head_began
        Whether a part of the head has arrived.
    close_at
        Time by ``boot_clock`` at which the connection is closed.
    """

    connection: Connection
    head_began: bool
    close_at: float


class HeadWatch:
    """Passes on each connection when the head of a request is complete.

    Parameters
    ----------
    pass_on
        Called with a connection whose head is complete or too long, or whose peer has closed it.
    header_timeout_s, idle_timeout_s
        Return the time limits for a head after its first byte, and for the first byte.
    """

    def __init__(
        self,
        pass_on: Callable[[Connection], None],
        header_timeout_s: Callable[[], float],
        idle_timeout_s: Callable[[], float],
    ) -> None:
        self._pass_on = pass_on
        self._header_timeout_s = header_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._lock = threading.Lock()
        self._poll = select.epoll()
        self._waiting: dict[int, _WaitingConnection] = {}
        self._stopping = False

    @property
    def busy(self) -> bool:
        """Whether a head has arrived in part."""
        with self._lock:
            return any(one.head_began for one in self._waiting.values())

    def start(self) -> None:
        """Start the watching thread."""
        threading.Thread(target=self._watch, name="front-heads", daemon=True).start()

    def stop(self) -> None:
        """Close the connections without any data; heads that have begun may be completed."""
        self._stopping = True
        with self._lock:
            idle = [fd for fd, one in self._waiting.items() if not one.head_began]
            closing = [self._forget(fd) for fd in idle]
        for connection in closing:
            connection.close()

    def add(self, connection: Connection) -> None:
        """Pass a connection on now, or when its head is complete."""
        if _head_is_complete(connection.socket):
            self._pass_on(connection)
            return
        descriptor = connection.socket.fileno()
        waiting = _WaitingConnection(connection, False, boot_clock.now() + self._idle_timeout_s())
        with self._lock:
            self._waiting[descriptor] = waiting
            # Data that arrived since the check above is reported immediately.
            self._poll.register(descriptor, _EVENTS)

    def _watch(self) -> None:
        next_check = 0.0
        while self._waiting or not self._stopping:
            timeout_s = POLL_TIMEOUT_S if self._waiting else EMPTY_POLL_TIMEOUT_S
            for descriptor, _ in self._poll.poll(timeout_s):
                self._check(descriptor)
            now = boot_clock.now()
            if now >= next_check:
                next_check = now + POLL_TIMEOUT_S
                self._close_late(now)

    def _check(self, descriptor: int) -> None:
        with self._lock:
            waiting = self._waiting.get(descriptor)
            if waiting is None:
                return
            if not _head_is_complete(waiting.connection.socket):
                if not waiting.head_began:
                    waiting.head_began = True
                    waiting.close_at = boot_clock.now() + self._header_timeout_s()
                return
            connection = self._forget(descriptor)
        self._pass_on(connection)

    def _close_late(self, now: float) -> None:
        with self._lock:
            late = [fd for fd, one in self._waiting.items() if one.close_at <= now]
            closing = [self._forget(fd) for fd in late]
        for connection in closing:
            connection.close()
        if closing:
            log_message("front:heads_given_up", connections=len(closing))

    def _forget(self, descriptor: int) -> Connection:
        """Stop watching a connection; the caller holds the lock."""
        self._poll.unregister(descriptor)
        return self._waiting.pop(descriptor).connection


def _head_is_complete(connection: socket.socket) -> bool:
    """Return whether a worker can read the head, or find it invalid, without waiting."""
    if not is_readable(connection, 0.0):
        return False
    try:
        seen = connection.recv(MAX_PEEK_BYTES, socket.MSG_PEEK)
    except OSError:
        # The connection was reset: the worker gets the same error and closes it.
        return True
    if not seen or len(seen) == MAX_PEEK_BYTES:
        return True
    return any(end in seen for end in HEAD_ENDS)
