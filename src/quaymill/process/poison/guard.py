"""Finds out whether a replica has crashed under a request, and answers whether one may be run.

A connection that a replica's side closes too early is no crash: links are reset, and a replica
may break off one answer. One that has crashed takes no new connection at that moment.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.crash_messages import CrashRecord
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.replica_connection import ReplicaConnections
from quaymill.request.poison import MAX_CRASHES, PoisonRecords

PROBE_LIFETIME_S = 0.25
"""How long the outcome of a probe counts. All requests that a crash cuts ask within some
milliseconds (23 of them on a recorded day); a crashed replica is back after seconds."""


@attrs.frozen
class _Probe:
    """Whether a replica took a connection, and the monotonic time when it was asked."""

    alive: bool
    at: float


class CrashGuard:
    """The guard of one gateway; safe to use from any thread.

    Parameters
    ----------
    crashed
        Called with a record that a crash seen here has changed.
    """

    def __init__(
        self,
        records: PoisonRecords,
        connections: ReplicaConnections,
        crashed: Callable[[CrashRecord], None],
    ) -> None:
        self._records = records
        self._connections = connections
        self._crashed = crashed
        self._lock = threading.Lock()
        self._probes_by_endpoint: dict[Endpoint, _Probe] = {}

    def barred_for_s(self, content: str) -> float:
        """Return for how long a content must not be run; 0 if it may be."""
        return self._records.barred_for_s(content, boot_clock.now())

    def note_closed(self, content: str, incarnation: str, address: Endpoint) -> None:
        """Note that a replica closed the connection before the answer to a content was whole."""
        if self._is_alive(address):
            return
        record = self._records.add(content, incarnation, boot_clock.now())
        if record is None:
            return
        crashes = self._records.crashes_of(content)
        log_message(
            "request:crashed_replica",
            content=content,
            replica=incarnation,
            crashes=crashes,
            barred=crashes >= MAX_CRASHES,
        )
        self._crashed(record)

    def note_served(self, content: str) -> None:
        """Note that a replica has run a content to its end."""
        self._records.excuse(content)

    def _is_alive(self, address: Endpoint) -> bool:
        now = boot_clock.now()
        with self._lock:
            known = self._probes_by_endpoint.get(address)
        if known is not None and now - known.at < PROBE_LIFETIME_S:
            return known.alive
        probe = _Probe(self._connections.takes_connection(address), boot_clock.now())
        with self._lock:
            self._probes_by_endpoint = {
                endpoint: one
                for endpoint, one in self._probes_by_endpoint.items()
                if now - one.at < PROBE_LIFETIME_S
            }
            self._probes_by_endpoint[address] = probe
        return probe.alive
