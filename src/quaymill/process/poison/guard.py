"""Detects replicas that crashed while they ran a request, and decides whether a request may be run.

A connection that is closed early does not prove a crash: it may have been reset, or the replica may
have aborted a single answer. Only a replica that then accepts no new connection has crashed.
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
from quaymill.request.poison import MAX_CRASHES, PoisonRecords, RequestIdentity

PROBE_LIFETIME_S = 0.25
"""How long the result of a probe is reused. All requests that a crash interrupts need it within
milliseconds; a crashed replica takes seconds to restart."""


@attrs.frozen
class _Probe:
    """Result of a connection attempt to a replica, and its monotonic time."""

    alive: bool
    at: float


class CrashGuard:
    """Crash detection of one gateway; safe to use from any thread.

    Parameters
    ----------
    on_change
        Called with each record that has changed, after this gateway has detected a crash or has
        seen an answer begin.
    """

    def __init__(
        self,
        records: PoisonRecords,
        connections: ReplicaConnections,
        on_change: Callable[[CrashRecord], None],
    ) -> None:
        self._records = records
        self._connections = connections
        self._on_change = on_change
        self._lock = threading.Lock()
        self._probes_by_endpoint: dict[Endpoint, _Probe] = {}

    def barred_for_s(self, identity: RequestIdentity) -> float:
        """Return for how many seconds a request must not be run; 0 if it may be run."""
        now = boot_clock.now()
        return max(self._records.barred_for_s(key, now) for key in identity.keys)

    def handle_early_close(
        self, identity: RequestIdentity, incarnation: str, address: Endpoint, *, begun: bool
    ) -> None:
        """Check for a crash after a replica closed a connection before its answer was complete."""
        if self._is_alive(address):
            return
        # A request whose answer had begun shows that its parts are sound.
        keys = (identity.content,) if begun else identity.keys
        now = boot_clock.now()
        found = (self._records.add(key, incarnation, now) for key in keys)
        changed = [record for record in found if record is not None]
        if not changed:
            return
        crashes = self._records.crash_count(identity.content)
        log_message(
            "request:crashed_replica",
            content=identity.content,
            parts=identity.parts,
            begun=begun,
            replica=incarnation,
            crashes=crashes,
            barred=crashes >= MAX_CRASHES,
            barred_parts=[key for key in identity.parts if self._records.barred_for_s(key, now)],
        )
        for record in changed:
            self._on_change(record)

    def record_begun(self, identity: RequestIdentity) -> None:
        """Record that a replica has begun to answer a request, so that its parts are sound."""
        for record in self._records.record_parts_served(identity.parts, boot_clock.now()):
            log_message(
                "request:part_judged",
                part=record.key,
                crashes=len(record.incarnations) - len(record.excused),
                barred=self._records.barred_for_s(record.key, boot_clock.now()) > 0,
            )
            self._on_change(record)

    def record_served(self, identity: RequestIdentity) -> None:
        """Record that a replica has completely answered a request."""
        self._records.discount_crashes(identity.content)

    def _is_alive(self, address: Endpoint) -> bool:
        now = boot_clock.now()
        with self._lock:
            cached_probe = self._probes_by_endpoint.get(address)
        if cached_probe is not None and now - cached_probe.at < PROBE_LIFETIME_S:
            return cached_probe.alive
        probe = _Probe(self._connections.accepts_connections(address), boot_clock.now())
        with self._lock:
            self._probes_by_endpoint = {
                endpoint: cached
                for endpoint, cached in self._probes_by_endpoint.items()
                if now - cached.at < PROBE_LIFETIME_S
            }
            self._probes_by_endpoint[address] = probe
        return probe.alive
