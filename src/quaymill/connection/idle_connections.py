"""Pool of idle connections, kept for the next request to the same endpoint.

A network fault can make established connections unresponsive without a reset while new ones
work. This shows only when a request times out. ``drop`` then closes all idle connections to the
endpoint, so that the following requests do not time out on them one after the other.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint

Connection = TypeVar("Connection")


@attrs.frozen
class _Idle(Generic[Connection]):
    connection: Connection
    since: float
    keep_s: float

    def is_expired(self, now: float) -> bool:
        return now - self.since > self.keep_s


class IdleConnections(Generic[Connection]):
    """Idle connections by endpoint; thread-safe.

    Parameters
    ----------
    most_per_endpoint
        Maximum number kept per endpoint; further connections are closed.
    is_open
        Returns whether a connection has not been closed by the other end.
    close
        Closes a connection.
    """

    def __init__(
        self,
        most_per_endpoint: int,
        is_open: Callable[[Connection], bool],
        close: Callable[[Connection], None],
    ) -> None:
        self._most_per_endpoint = most_per_endpoint
        self._is_open = is_open
        self._close = close
        self._lock = threading.Lock()
        self._by_endpoint: dict[Endpoint, list[_Idle[Connection]]] = {}
        self._next_sweep = 0.0

    def take(self, endpoint: Endpoint, max_idle_s: float) -> Connection | None:
        """Return the most recently used open connection, if one was used within ``max_idle_s``."""
        while True:
            with self._lock:
                pool = self._by_endpoint.get(endpoint)
                idle = pool.pop() if pool else None
            if idle is None:
                return None
            now = boot_clock.now()
            fresh = now - idle.since <= max_idle_s and not idle.is_expired(now)
            if fresh and self._is_open(idle.connection):
                return idle.connection
            self._close(idle.connection)

    def put(self, endpoint: Endpoint, connection: Connection, keep_s: float) -> None:
        """Keep a connection, for at most ``keep_s`` seconds."""
        now = boot_clock.now()
        with self._lock:
            closing = self._take_expired(now, keep_s)
            pool = self._by_endpoint.setdefault(endpoint, [])
            if len(pool) < self._most_per_endpoint:
                pool.append(_Idle(connection, now, keep_s))
            else:
                closing.append(connection)
        for closed in closing:
            self._close(closed)

    def drop(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an endpoint."""
        with self._lock:
            pool = self._by_endpoint.pop(endpoint, [])
        for idle in pool:
            self._close(idle.connection)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            pools, self._by_endpoint = self._by_endpoint, {}
        for pool in pools.values():
            for idle in pool:
                self._close(idle.connection)

    def _take_expired(self, now: float, pause_s: float) -> list[Connection]:
        """Remove and return the expired connections to all endpoints; the caller holds the lock.

        Without this, connections to an endpoint that is no longer used would never be closed.
        """
        if now < self._next_sweep:
            return []
        self._next_sweep = now + pause_s
        expired = []
        for endpoint, pool in list(self._by_endpoint.items()):
            kept = [idle for idle in pool if not idle.is_expired(now)]
            expired += [idle.connection for idle in pool if idle.is_expired(now)]
            if kept:
                self._by_endpoint[endpoint] = kept
            else:
                del self._by_endpoint[endpoint]
        return expired
