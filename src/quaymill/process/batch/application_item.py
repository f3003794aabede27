"""Runs one batch item at an application; a non-idempotent one at most once.

A non-idempotent item is claimed in the job store under the key ``{job_id}/{index}`` before
any byte goes out. States of the claim: begun -> finished when the answer is stored; begun ->
abandoned when provably nothing was sent. If the node dies between the two, the outcome is
unknown: the item ends as failed with that reason and never runs again.
"""

from __future__ import annotations

import base64
import secrets
import threading
import time
from typing import Any

import msgspec
import xxhash

from quaymill.connection.application_client import ApplicationAnswer, ApplicationClient
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_messages import (
    AbandonCall,
    Accepted,
    BeginCall,
    CallRecord,
    CallState,
    FinishCall,
    StoreConflict,
    StoredAnswer,
)
from quaymill.connection.replica_connection import Exchange, ReplicaRequest
from quaymill.process.batch.item_outcome import (
    ItemBroken,
    ItemFinished,
    ItemGaveWay,
    ItemNotStarted,
    ItemOutcome,
    error_body,
)
from quaymill.process.batch.job_store import JobStore
from quaymill.process.batch.lease_book import group_number
from quaymill.process.batch.work_item import WorkItem
from quaymill.process.settings import NodeSettings
from quaymill.request.deadline import Deadline
from quaymill.request.outcome import NotRun, OutcomeUnknown

STORE_TIMEOUT_S = 2.0
STORE_RETRY_INTERVAL_S = 0.5
OTHER_NODE_POLL_INTERVAL_S = 1.0
CONFLICT_STATUS = 409
UNKNOWN_STATUS = 502
_SERVER_ERROR = 500
_JSON_CONTENT_TYPE = "application/json"


class CallParts(msgspec.Struct, frozen=True):
    """What application items use of this node."""

    settings: NodeSettings
    job_store: JobStore
    application_client: ApplicationClient
    membership: Any


class ApplicationItem:
    """One call of one item. It is never cancelled once it has been sent."""

    def __init__(
        self, work: WorkItem, endpoint: Endpoint, idempotent: bool, parts: CallParts
    ) -> None:
        self._work = work
        self._endpoint = endpoint
        self._idempotent = idempotent
        self._parts = parts
        self._attempt = secrets.token_hex(8)
        self._given_up = threading.Event()

    def cancel(self) -> None:
        """Do not begin if that has not happened yet; a call under way goes on to its end."""
        self._given_up.set()

    def run(self) -> ItemOutcome:
        """Make the call and wait for its answer."""
        if self._idempotent:
            return self._repeatable_outcome(self._send())
        return self._run_once()

    def _run_once(self) -> ItemOutcome:
        claim = self._begin()
        if not isinstance(claim, CallRecord):
            return claim
        if claim.state == CallState.FINISHED:
            return _finished(claim.answer)
        if claim.state == CallState.BEGUN:
            return _unknown("an earlier attempt began this call and its answer was lost")
        answer = self._send()
        if isinstance(answer, NotRun):
            self._tell_store(self._abandon_message())
            return ItemNotStarted(answer.reason)
        if isinstance(answer, OutcomeUnknown):
            return _unknown(answer.reason)
        stored = StoredAnswer(answer.status, answer.content_type, answer.body)
        self._tell_store(self._finish_message(stored))
        return _finished(stored)

    def _begin(self) -> CallRecord | ItemOutcome:
        """Claim the call, or find out who has; asks again until the store has answered."""
        give_up_s = time.monotonic() + self._parts.settings.batch.application_timeout_s
        sent = False
        while not self._given_up.is_set():
            reply = self._call_store(self._begin_message(), CallRecord)
            sent = sent or not isinstance(reply, NotRun)
            match reply:
                case CallRecord(state=CallState.BEGUN) if self._is_under_way(reply, give_up_s):
                    self._given_up.wait(OTHER_NODE_POLL_INTERVAL_S)
                case CallRecord():
                    return reply
                case StoreConflict(reason=reason):
                    return ItemFinished(CONFLICT_STATUS, error_body(reason, "conflict"))
                case _:
                    # The same attempt may ask again: its own claim is not in its way.
                    self._given_up.wait(STORE_RETRY_INTERVAL_S)
        if sent:
            self._tell_store(self._abandon_message())
        return ItemGaveWay(by_engine=False)

    def _is_under_way(self, record: CallRecord, give_up_s: float) -> bool:
        """Return whether the node that began the call may still be waiting for its answer."""
        if record.node == self._parts.settings.name or time.monotonic() > give_up_s:
            return False
        return any(member.name == record.node for member in self._parts.membership.live())

    def _send(self) -> ApplicationAnswer | NotRun | OutcomeUnknown:
        item = self._work.leased.item
        headers = {"Content-Type": _JSON_CONTENT_TYPE, "Idempotency-Key": self._key}
        path = _application_path(item.url)
        deadline = Deadline.after(self._parts.settings.batch.application_timeout_s)

        def wait(exchange: Exchange) -> OutcomeUnknown | None:
            if exchange.wait_readable(deadline.remaining_s()):
                return None
            exchange.abandon()
            reason = f"no answer from {self._endpoint} in time"
            return OutcomeUnknown(UNKNOWN_STATUS, reason, "look the call up at the application")

        return self._parts.application_client.call(
            self._endpoint,
            ReplicaRequest("POST", path, headers, bytes(item.body)),
            f"{self._key}/{self._attempt}",
            deadline,
            wait,
            repeatable=self._idempotent,
        )

    def _repeatable_outcome(
        self, answer: ApplicationAnswer | NotRun | OutcomeUnknown
    ) -> ItemOutcome:
        if isinstance(answer, NotRun):
            return ItemNotStarted(answer.reason)
        if isinstance(answer, OutcomeUnknown):
            return ItemBroken(answer.reason)
        finished = _finished(answer)
        retryable = answer.status >= _SERVER_ERROR
        return ItemFinished(finished.status, finished.response, retryable)

    def _tell_store(self, message: FinishCall | AbandonCall) -> None:
        """Repeat until the store has it; if this node dies before, the outcome is unknown."""
        give_up_s = time.monotonic() + self._parts.settings.drain_timeout_s
        while time.monotonic() < give_up_s:
            reply = self._call_store(message, Accepted)
            if isinstance(reply, Accepted | StoreConflict):
                return
            time.sleep(STORE_RETRY_INTERVAL_S)

    def _call_store(self, message, reply_type: type) -> object:
        return self._parts.job_store.call(message, reply_type, STORE_TIMEOUT_S)

    @property
    def _key(self) -> str:
        return f"{self._work.leased.job_id}/{self._work.leased.item.index}"

    def _begin_message(self) -> BeginCall:
        item = self._work.leased.item
        digest = xxhash.xxh128(b"POST " + item.url.encode() + b"\n" + bytes(item.body))
        return BeginCall(
            group=group_number(self._work.leased.job_id),
            tenant=self._work.leased.tenant,
            service=self._work.service,
            key=self._key,
            attempt=self._attempt,
            digest=digest.hexdigest(),
            node=self._parts.settings.name,
        )

    def _finish_message(self, answer: StoredAnswer) -> FinishCall:
        begin = self._begin_message()
        return FinishCall(
            begin.group, begin.tenant, begin.service, begin.key, begin.attempt, answer
        )

    def _abandon_message(self) -> AbandonCall:
        begin = self._begin_message()
        return AbandonCall(begin.group, begin.tenant, begin.service, begin.key, begin.attempt)


def _application_path(url: str) -> str:
    """Return the path at the application of ``/services/{service}/{path}``."""
    parts = url.split("/", 3)
    return "/" + (parts[3] if len(parts) > 3 else "")


def _finished(answer: StoredAnswer | ApplicationAnswer) -> ItemFinished:
    """Return an answer as an item's result; a body that is not JSON is kept as text."""
    try:
        value = msgspec.json.decode(answer.body)
    except msgspec.MsgspecError:
        try:
            value = answer.body.decode()
        except UnicodeDecodeError:
            value = {"base64": base64.b64encode(answer.body).decode()}
    # Encoded anew: a body printed over several lines would break the JSON lines.
    return ItemFinished(answer.status, msgspec.Raw(msgspec.json.encode(value)))


def _unknown(reason: str) -> ItemFinished:
    message = f"{reason}; the call may have run and is not run again: look it up at the application"
    return ItemFinished(UNKNOWN_STATUS, error_body(message, "outcome_unknown"))
