"""Polls the load of one replica."""

from __future__ import annotations

import msgspec

from quaymill import boot_clock
from quaymill.connection.load_messages import LoadReport
from quaymill.connection.replica_connection import ReplicaConnections, ReplicaRequest
from quaymill.process.replicas.replica import ReplicaView
from quaymill.request.outcome import NotRun, OutcomeUnknown

POLL_TIMEOUT_S = 1.0
MAX_LOAD_DOCUMENT_BYTES = 64 * 1024


class _LoadDocument(msgspec.Struct):
    """Response body of ``GET /load``."""

    running: int = 0
    waiting: int = 0
    batch_running: int = 0
    slots: int = 0
    draining: bool = False
    age_s: float = 0.0


def poll_replica(connections: ReplicaConnections, view: ReplicaView) -> LoadReport | None:
    """Poll a replica once; return ``None`` if it answers without a valid load document.

    The stored report then becomes outdated, after which the load is unknown. A replica that does
    not answer completely is reported as unreachable.
    """
    deadline = boot_clock.now() + POLL_TIMEOUT_S
    unreachable = LoadReport(replica=view.name, age_s=0.0, reachable=False)
    exchange = connections.send(view.machine.endpoint, ReplicaRequest("GET", "/load", {}))
    if isinstance(exchange, NotRun | OutcomeUnknown):
        return unreachable
    if not exchange.wait_readable(POLL_TIMEOUT_S):
        exchange.abandon()
        return unreachable
    if exchange.read_head(POLL_TIMEOUT_S) is not None:
        return unreachable
    body = exchange.read_body(MAX_LOAD_DOCUMENT_BYTES, deadline)
    if isinstance(body, OutcomeUnknown):
        return unreachable
    exchange.release()
    if exchange.status != 200:
        return None
    try:
        document = msgspec.json.decode(body, type=_LoadDocument)
    except msgspec.MsgspecError:
        return None
    return LoadReport(
        replica=view.name,
        age_s=max(0.0, document.age_s),
        running=document.running,
        waiting=document.waiting,
        batch_running=document.batch_running,
        slots=document.slots,
        draining=document.draining,
    )
