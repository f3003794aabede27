"""Implements ``ObjectStore`` by calls to the platform's object store."""

from __future__ import annotations

import socket
from collections.abc import Iterable
from typing import Any
from urllib.parse import quote, urlencode

import attrs
import msgspec
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.object_store import (
    CallRejected,
    Changes,
    HistoryGone,
    Listing,
    ObjectKind,
    ObjectMissing,
    ObjectUnreadable,
    RevisionConflict,
    StoredObject,
    StoreFailure,
    StoreRefused,
    StoreUnanswered,
    UnreadableObject,
    WriteResult,
)
from quaymill.connection.replica_connection import Exchange, ReplicaConnections, ReplicaRequest
from quaymill.platform.names import KIND_NAMES, OBJECTS_PATH
from quaymill.platform.store_pages import (
    MalformedPage,
    read_list_page,
    read_object,
    read_watch_page,
)
from quaymill.request.outcome import NotRun, OutcomeUnknown

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.5
WATCH_MARGIN_S = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_IDLE_S = 5.0
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)
"""TCP keepalive detects a silently broken connection before a long watch times out."""

STALE_READ_QUERY = {"stale": 1}
"""Query of a read that may return an older state, which costs a tenth of a current read."""
JSON_HEADERS = {"Content-Type": "application/json"}
RETRYABLE_STATUSES = frozenset({429, 503})
"""The store has not executed the call; it may be repeated later."""


class _Answer(msgspec.Struct):
    status: int
    body: bytes


class PlatformObjectStore:
    """Client of the store at one address; thread-safe."""

    def __init__(self, address: Endpoint) -> None:
        self._address = address
        self._connections = ReplicaConnections(LinkFilter(), CONNECT_TIMEOUT_S, SOCKET_OPTIONS)
        self.calls = 0
        self.unreadable = 0
        """Number of skipped objects; one that is skipped repeatedly in a row counts once."""
        self._logged_unreadable: dict[ObjectKind, frozenset[UnreadableObject]] = {}

    def list(self, kind: ObjectKind) -> Listing | StoreFailure:
        """Return all objects of a kind, page after page."""
        objects: list[StoredObject] = []
        unreadable: list[UnreadableObject] = []
        revision: int | None = None
        after = ""
        while True:
            query = {"since_rev": after} if after else {}
            answer = self._read(_path(kind, query=query))
            if isinstance(answer, StoreRefused | StoreUnanswered):
                return answer
            page = read_list_page(answer.body)
            if isinstance(page, MalformedPage):
                return StoreUnanswered(f"the store's list cannot be decoded: {page.reason}")
            objects += page.objects
            unreadable += page.unreadable
            # Later pages may show later states. A watch from the lowest revision may repeat
            # changes but misses none.
            revision = page.revision if revision is None else min(revision, page.revision)
            if not page.more or page.last_name in ("", after):
                self._log_unreadable(kind, unreadable)
                return Listing(tuple(objects), revision, tuple(unreadable))
            after = page.last_name

    def get(
        self, kind: ObjectKind, name: str, *, allow_stale: bool = False
    ) -> StoredObject | ObjectMissing | StoreFailure:
        """Return one object; with ``allow_stale`` possibly some seconds old, at less cost."""
        answer = self._read(_path(kind, name, query=STALE_READ_QUERY if allow_stale else None))
        if isinstance(answer, StoreRefused | StoreUnanswered):
            return answer
        if answer.status == 404:
            return ObjectMissing()
        found = read_object(answer.body)
        if isinstance(found, StoredObject):
            return found
        self._log_unreadable(kind, [attrs.evolve(found, name=name)])
        return ObjectUnreadable(f"{name} cannot be read: {found.reason}")

    def watch(
        self, kind: ObjectKind, revision: int, wait_s: float
    ) -> Changes | HistoryGone | StoreFailure:
        """Wait up to ``wait_s`` for changes after ``revision``."""
        query = {"watch": revision, "wait_ms": int(wait_s * 1000)}
        answer = self._read(_path(kind, query=query), wait_s + WATCH_MARGIN_S)
        if isinstance(answer, StoreRefused | StoreUnanswered):
            return answer
        if answer.status == 410:
            return HistoryGone()
        page = read_watch_page(answer.body)
        if isinstance(page, MalformedPage):
            return StoreUnanswered(f"the store's events cannot be decoded: {page.reason}")
        self._log_unreadable(kind, page.unreadable)
        return Changes(page.changes, page.revision, page.unreadable)

    def create(self, kind: ObjectKind, name: str, spec: Any) -> WriteResult:
        """Create an object; return a conflict if it exists."""
        return self._write("POST", _path(kind), {"metadata": {"name": name}, "spec": spec})

    def replace(self, kind: ObjectKind, name: str, spec: Any, revision: int) -> WriteResult:
        """Replace an object's ``spec`` if ``revision`` is still the object's."""
        document = {"metadata": {"name": name, "revision": revision}, "spec": spec}
        return self._write("PUT", _path(kind, name), document)

    def replace_status(
        self, kind: ObjectKind, name: str, status: Any, revision: int
    ) -> WriteResult:
        """Replace an object's ``status`` if ``revision`` is still the object's."""
        document = {"metadata": {"name": name, "revision": revision}, "status": status}
        return self._write("PUT", f"{_path(kind, name)}/status", document)

    def delete(self, kind: ObjectKind, name: str) -> WriteResult:
        """Remove an object."""
        return self._write("DELETE", _path(kind, name), None)

    def close(self) -> None:
        """Close idle connections."""
        self._connections.close()

    def _log_unreadable(self, kind: ObjectKind, unreadable: Iterable[UnreadableObject]) -> None:
        """Log each skipped object, unless the previous read of this kind skipped it as well."""
        found = frozenset(unreadable)
        for entry in found - self._logged_unreadable.get(kind, frozenset()):
            self.unreadable += 1
            log_message("store:unread", object_kind=kind.name, name=entry.name, reason=entry.reason)
        self._logged_unreadable[kind] = found

    def _read(
        self, path: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> _Answer | StoreRefused | StoreUnanswered:
        request = ReplicaRequest("GET", path, {})
        answer, reused = self._call(request, timeout_s)
        if isinstance(answer, StoreUnanswered) and reused:
            # The store had closed the idle connection; a read may be repeated.
            answer, _ = self._call(request, timeout_s, new_connection=True)
        return answer

    def _write(self, method: str, path: str, document: Any) -> WriteResult:
        body = b"" if document is None else msgspec.json.encode(document)
        request = ReplicaRequest(method, path, dict(JSON_HEADERS), body)
        answer, _ = self._call(request, CALL_TIMEOUT_S)
        if isinstance(answer, StoreRefused | StoreUnanswered):
            return answer
        if answer.status == 404:
            return ObjectMissing()
        written = _decode_written(answer)
        if answer.status == 409:
            return RevisionConflict(written)
        return written or StoreUnanswered("the store's answer to a write cannot be decoded")

    def _call(
        self, request: ReplicaRequest, timeout_s: float, *, new_connection: bool = False
    ) -> tuple[_Answer | StoreRefused | StoreUnanswered, bool]:
        """Make one call; the second value is true if it used an existing connection."""
        self.calls += 1
        deadline = boot_clock.now() + timeout_s
        exchange = self._connections.send(
            self._address, request, new_connection=new_connection, max_idle_s=MAX_IDLE_S
        )
        if isinstance(exchange, NotRun):
            return StoreRefused(exchange.reason), False
        if isinstance(exchange, OutcomeUnknown):
            return StoreUnanswered(exchange.reason), True
        return _read_answer(exchange, deadline), exchange.reused


def _read_answer(exchange: Exchange, deadline: float) -> _Answer | StoreRefused | StoreUnanswered:
    failure = exchange.read_head(deadline - boot_clock.now())
    if failure is not None:
        return StoreUnanswered(failure.reason)
    body = exchange.read_body(MAX_ANSWER_BYTES, deadline)
    if isinstance(body, OutcomeUnknown):
        return StoreUnanswered(body.reason)
    exchange.release()
    status = exchange.status
    if status in (200, 201, 404, 409, 410):
        return _Answer(status, body)
    reason = f"the store answered {status}: {body[:200].decode(errors='replace')}"
    if status in RETRYABLE_STATUSES:
        return StoreRefused(reason)
    return CallRejected(reason) if status < 500 else StoreUnanswered(reason)


def _path(kind: ObjectKind, name: str = "", query: dict[str, Any] | None = None) -> str:
    path = OBJECTS_PATH + KIND_NAMES[kind]
    if name:
        path += "/" + quote(name, safe="")
    return f"{path}?{urlencode(query)}" if query else path


def _decode_written(answer: _Answer) -> StoredObject | None:
    found = read_object(answer.body)
    return found if isinstance(found, StoredObject) else None
