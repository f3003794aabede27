"""At-most-once calls: begun by one attempt, which alone may send, then finished."""

from __future__ import annotations

import sqlite3

from quaymill.connection.call_record_messages import (
    AbandonCall,
    BeginCall,
    CallRecord,
    CallState,
    FinishCall,
    StoredAnswer,
)
from quaymill.connection.job_messages import Accepted, StoreConflict

ABANDONED = "abandoned"


class CallStateTable:
    """The table ``calls``.

    A row of an abandoned call stays, so that a late copy of its ``BeginCall`` cannot claim
    the key again for an attempt that nobody carries out any more.
    """

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def begin(self, message: BeginCall, at_unix_s: float) -> CallRecord | StoreConflict:
        """Claim the key for an attempt, or tell who has it."""
        row = self._row(message.tenant, message.service, message.key)
        if row is None:
            return self._claim(message, at_unix_s)
        state, attempt, digest, node, answer = row
        if state == ABANDONED:
            if attempt != message.attempt:
                return self._claim(message, at_unix_s)
            return StoreConflict("the attempt was abandoned", "begin with a new attempt id")
        if digest != message.digest:
            return StoreConflict(
                "the idempotency key was used for a call with other content",
                "use a new idempotency key for other content",
            )
        if state == CallState.BEGUN and attempt == message.attempt:
            return CallRecord(CallState.NEW, attempt, node)
        return CallRecord(CallState(state), attempt, node, answer)

    def finish(self, message: FinishCall) -> Accepted | StoreConflict:
        """Store the answer of the attempt that began the call."""
        row = self._row(message.tenant, message.service, message.key)
        if row is None or row[1] != message.attempt or row[0] == ABANDONED:
            return StoreConflict("the call was not begun by this attempt", "begin the call first")
        if row[0] == CallState.FINISHED:
            return Accepted(id=message.key)
        self._connection.execute(
            "UPDATE calls SET state = ?, status = ?, content_type = ?, body = ? "
            "WHERE tenant = ? AND service = ? AND call_key = ?",
            (
                CallState.FINISHED.value,
                message.answer.status,
                message.answer.content_type,
                message.answer.body,
                message.tenant,
                message.service,
                message.key,
            ),
        )
        return Accepted(id=message.key)

    def abandon(self, message: AbandonCall) -> Accepted | StoreConflict:
        """Free the key of a call that was begun and provably not sent."""
        row = self._row(message.tenant, message.service, message.key)
        if row is None or row[1] != message.attempt:
            return Accepted(id=message.key)
        if row[0] == CallState.FINISHED:
            return StoreConflict("the call is finished", "read its stored answer")
        self._connection.execute(
            "UPDATE calls SET state = ? WHERE tenant = ? AND service = ? AND call_key = ?",
            (ABANDONED, message.tenant, message.service, message.key),
        )
        return Accepted(id=message.key)

    def _claim(self, message: BeginCall, at_unix_s: float) -> CallRecord:
        self._connection.execute(
            "INSERT OR REPLACE INTO calls VALUES (?, ?, ?, ?, ?, ?, ?, ?, NULL, NULL, NULL)",
            (
                message.tenant,
                message.service,
                message.key,
                CallState.BEGUN.value,
                message.attempt,
                message.digest,
                message.node,
                at_unix_s,
            ),
        )
        return CallRecord(CallState.NEW, message.attempt, message.node)

    def _row(
        self, tenant: str, service: str, key: str
    ) -> tuple[str, str, str, str, StoredAnswer | None] | None:
        row = self._connection.execute(
            "SELECT state, attempt, digest, node, status, content_type, body FROM calls "
            "WHERE tenant = ? AND service = ? AND call_key = ?",
            (tenant, service, key),
        ).fetchone()
        if row is None:
            return None
        state, attempt, digest, node, status, content_type, body = row
        answer = None if status is None else StoredAnswer(status, content_type, bytes(body))
        return state, attempt, digest, node, answer
