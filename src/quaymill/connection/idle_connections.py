"""Pool of idle connections, kept for the next request to the same endpoint.

A network fault can make established connections unresponsive without a reset while new ones
work. This shows only when a request times out. ``drop`` then closes all idle connections to the
endpoint, so that the following requests do not time out on them one after the other.
"""

from __future__ import annotations

import select
import threading
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint

Connection = TypeVar("Connection")


@attrs.frozen
class _IdleConnection(Generic[Connection]):
    connection: Connection
    idle_since: float
    keep_alive_s: float

    def is_expired(self, now: float) -> bool:
        return now - self.idle_since > self.keep_alive_s


class IdleConnections(Generic[Connection]):
    """Idle connections by endpoint; thread-safe.

    Parameters
    ----------
    max_per_endpoint
        Maximum number kept per endpoint; further connections are closed.
    is_open
        Returns whether a connection has not been closed by the other end.
    close
        Closes a connection.
    """

    def __init__(
        self,
        max_per_endpoint: int,
        is_open: Callable[[Connection], bool],
        close: Callable[[Connection], None],
    ) -> None:
        self._max_per_endpoint = max_per_endpoint
        self._is_open = is_open
        self._close = close
        self._lock = threading.Lock()
        self._by_endpoint: dict[Endpoint, list[_IdleConnection[Connection]]] = {}
        self._next_sweep = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether no connection is kept."""
        with self._lock:
            return not any(self._by_endpoint.values())

    def take(self, endpoint: Endpoint, max_idle_s: float) -> Connection | None:
        """Return the most recently used open connection, if one was used within ``max_idle_s``."""
        while True:
            with self._lock:
                connections = self._by_endpoint.get(endpoint)
                idle = connections.pop() if connections else None
            if idle is None:
                return None
            now = boot_clock.now()
            is_usable = now - idle.idle_since <= max_idle_s and not idle.is_expired(now)
            if is_usable and self._is_open(idle.connection):
                return idle.connection
            self._close(idle.connection)

    def put(self, endpoint: Endpoint, connection: Connection, keep_alive_s: float) -> None:
        """Keep a connection, for at most ``keep_alive_s`` seconds."""
        now = boot_clock.now()
        with self._lock:
            closing = self._remove_expired(now, keep_alive_s)
            connections = self._by_endpoint.setdefault(endpoint, [])
            if len(connections) < self._max_per_endpoint:
                connections.append(_IdleConnection(connection, now, keep_alive_s))
            else:
                closing.append(connection)
        for closed in closing:
            self._close(closed)

    def remove_readable(
        self, descriptor_of: Callable[[Connection], int]
    ) -> list[tuple[Endpoint, Connection]]:
        """Remove and return the connections that have ended, or on which data has arrived.

        The connections are polled under the lock: one that is in use may have data to read.
        """
        with self._lock:
            poll = select.poll()
            for connections in self._by_endpoint.values():
                for idle in connections:
                    poll.register(descriptor_of(idle.connection), select.POLLIN)
            readable = {descriptor for descriptor, _ in poll.poll(0)}
            if not readable:
                return []
            return self._remove(lambda connection: descriptor_of(connection) in readable)

    def _remove(
        self, is_unusable: Callable[[Connection], bool]
    ) -> list[tuple[Endpoint, Connection]]:
        """Remove and return the connections that fulfil a condition; the caller holds the lock."""
        removed: list[tuple[Endpoint, Connection]] = []
        for endpoint, connections in list(self._by_endpoint.items()):
            kept = []
            for idle in connections:
                if is_unusable(idle.connection):
                    removed.append((endpoint, idle.connection))
                else:
                    kept.append(idle)
            if kept:
                self._by_endpoint[endpoint] = kept
            else:
                del self._by_endpoint[endpoint]
        return removed

    def drop(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an endpoint."""
        with self._lock:
            connections = self._by_endpoint.pop(endpoint, [])
        for idle in connections:
            self._close(idle.connection)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            connections_by_endpoint, self._by_endpoint = self._by_endpoint, {}
        for connections in connections_by_endpoint.values():
            for idle in connections:
                self._close(idle.connection)

    def _remove_expired(self, now: float, sweep_interval_s: float) -> list[Connection]:
        """Remove and return the expired connections to all endpoints; the caller holds the lock.

        Without this, connections to an endpoint that is no longer used would never be closed.
        """
        if now < self._next_sweep:
            return []
        self._next_sweep = now + sweep_interval_s
        expired = []
        for endpoint, connections in list(self._by_endpoint.items()):
            kept = [idle for idle in connections if not idle.is_expired(now)]
            expired += [idle.connection for idle in connections if idle.is_expired(now)]
            if kept:
                self._by_endpoint[endpoint] = kept
            else:
                del self._by_endpoint[endpoint]
        return expired
