"""Calls that may not be repeated: begun in the job store before any byte is sent.

States of a call: begun -> finished (answer stored), or begun -> forgotten (provably nothing
was sent). A call whose node died, or whose answer never came, stays begun for ever; resends
of it learn that its outcome is unknown. No state leads to a second run.
"""

from __future__ import annotations

import secrets
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
from eliot import log_message

from quaymill.connection.application_client import ApplicationAnswer
from quaymill.connection.call_messages import AttemptState, GetAttempt
from quaymill.connection.call_record_messages import (
    AbandonCall,
    BeginCall,
    CallRecord,
    CallState,
    FinishCall,
    StoredAnswer,
)
from quaymill.connection.job_messages import Accepted, StoreConflict
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.request.outcome import Failed, Failure, NotRun, OutcomeUnknown

if TYPE_CHECKING:
    from quaymill.process.job_store.client import JobStoreClient
    from quaymill.process.membership.membership import Membership

ATTEMPT_ID_BYTES = 16
BEGIN_TIMEOUT_S = 3.0
FINISH_TIMEOUT_S = 3.0
BEGIN_RETRY_INTERVAL_S = 0.2
SETTLE_TRIES = 20
ASK_TIMEOUT_S = 1.0
RETRY_AFTER_IN_PROGRESS_S = 1.0
RETRY_AFTER_STORE_S = 2.0

CONFLICT_STATUS = 422
IN_PROGRESS_STATUS = 409

Send = Callable[[], ApplicationAnswer | Failure]
KeepTrying = Callable[[], bool]


def _no_more_tries() -> bool:
    return False


class CallKey(msgspec.Struct, frozen=True):
    """Names a call; ``digest`` covers method, path and body."""

    tenant: str
    service: str
    key: str
    digest: str


class AtMostOnceCalls:
    """Runs each call at most once, whatever is resent to whichever node."""

    def __init__(
        self,
        node_name: str,
        store: JobStoreClient,
        membership: Membership,
        peer_client: PeerClient,
        peer_server: PeerServer,
    ) -> None:
        self._node_name = node_name
        self._store = store
        self._membership = membership
        self._peer_client = peer_client
        self._lock = threading.Lock()
        self._in_service: set[str] = set()
        peer_server.register(GetAttempt, self._answer_get_attempt)

    def run(
        self, call: CallKey, send: Send, keep_trying: KeepTrying = _no_more_tries
    ) -> ApplicationAnswer | Failure:
        """Begin the call, send it if this is its first time, and store its answer.

        Parameters
        ----------
        keep_trying
            Whether to ask the store again, under the same attempt, when it cannot answer
            whether the call is begun.
        """
        attempt = secrets.token_hex(ATTEMPT_ID_BYTES)
        with self._lock:
            self._in_service.add(attempt)
        try:
            record = self._begin(call, attempt, keep_trying)
            if not isinstance(record, CallRecord):
                return record
            if record.state is CallState.NEW:
                return self._send(call, attempt, send)
        finally:
            with self._lock:
                self._in_service.discard(attempt)
        return self._tell_resend(call, attempt, record)

    def _begin(
        self, call: CallKey, attempt: str, keep_trying: KeepTrying = _no_more_tries
    ) -> CallRecord | Failure:
        message = BeginCall(
            group=self._store.group_of(call.key),
            tenant=call.tenant,
            service=call.service,
            key=call.key,
            attempt=attempt,
            digest=call.digest,
            node=self._node_name,
        )
        reply = self._store.call(message, CallRecord, BEGIN_TIMEOUT_S)
        maybe_begun = isinstance(reply, OutcomeUnknown)
        while isinstance(reply, NotRun | OutcomeUnknown) and keep_trying():
            time.sleep(BEGIN_RETRY_INTERVAL_S)
            reply = self._store.call(message, CallRecord, BEGIN_TIMEOUT_S)
            maybe_begun = maybe_begun or isinstance(reply, OutcomeUnknown)
        if isinstance(reply, CallRecord):
            return reply
        if isinstance(reply, StoreConflict):
            return NotRun(CONFLICT_STATUS, reply.reason, reply.remedy)
        if maybe_begun:
            # The record may have been written; nothing will be sent for it, so it is taken
            # back. Until that has worked, resends hear that the outcome is unknown.
            self._settle(self._abandonment(call, attempt))
        return NotRun(
            503,
            f"the job store cannot record the call: {reply.reason}",
            "send the request again with the same Idempotency-Key",
            RETRY_AFTER_STORE_S,
        )

    def _send(self, call: CallKey, attempt: str, send: Send) -> ApplicationAnswer | Failure:
        answer = send()
        if isinstance(answer, NotRun):
            self._settle(self._abandonment(call, attempt))
            return answer
        if isinstance(answer, OutcomeUnknown | Failed):
            return answer
        self._settle(
            FinishCall(
                group=self._store.group_of(call.key),
                tenant=call.tenant,
                service=call.service,
                key=call.key,
                attempt=attempt,
                answer=StoredAnswer(answer.status, answer.content_type, answer.body),
            )
        )
        return answer

    def _tell_resend(
        self, call: CallKey, attempt: str, record: CallRecord
    ) -> ApplicationAnswer | Failure:
        if record.state is CallState.BEGUN and not self._is_in_service(record):
            # The attempt may have finished between the two questions; the store knows.
            again = self._begin(call, attempt)
            if not isinstance(again, CallRecord):
                return again
            record = again
            if record.state is CallState.NEW:
                return self._not_run_now(call, attempt)
            if record.state is CallState.BEGUN:
                return _outcome_unknown(call)
        if record.state is CallState.FINISHED and record.answer is not None:
            answer = record.answer
            return ApplicationAnswer(answer.status, answer.content_type, answer.body)
        return OutcomeUnknown(
            IN_PROGRESS_STATUS,
            f"the call {call.key} is in progress on node {record.node}",
            "send the request again with the same Idempotency-Key to get its answer",
            RETRY_AFTER_IN_PROGRESS_S,
        )

    def _not_run_now(self, call: CallKey, attempt: str) -> NotRun:
        """Give up a claim that fell to this resend when the first attempt was taken back."""
        self._settle(self._abandonment(call, attempt))
        return NotRun(
            503,
            f"the first attempt of the call {call.key} was not sent",
            "send the request again with the same Idempotency-Key",
            RETRY_AFTER_IN_PROGRESS_S,
        )

    def _is_in_service(self, record: CallRecord) -> bool:
        """Ask the node that began the call; one that is gone or silent is not serving it."""
        if record.node == self._node_name:
            return record.attempt in self._in_service
        node = next((one for one in self._membership.live() if one.name == record.node), None)
        if node is None:
            return False
        reply = self._peer_client.call(
            node.peer, GetAttempt(record.attempt), AttemptState, ASK_TIMEOUT_S
        )
        return isinstance(reply, AttemptState) and reply.in_service

    def _answer_get_attempt(self, message: GetAttempt) -> AttemptState:
        return AttemptState(in_service=message.attempt in self._in_service)

    def _abandonment(self, call: CallKey, attempt: str) -> AbandonCall:
        return AbandonCall(
            group=self._store.group_of(call.key),
            tenant=call.tenant,
            service=call.service,
            key=call.key,
            attempt=attempt,
        )

    def _settle(self, message: FinishCall | AbandonCall) -> None:
        """Store the end of a call; if the store is away, keep trying in the background.

        The caller does not wait for the later tries: what it is told is true without them.
        """
        if self._settle_once(message):
            return
        threading.Thread(
            target=self._settle_later, args=(message,), name="settle-call", daemon=True
        ).start()

    def _settle_later(self, message: FinishCall | AbandonCall) -> None:
        for _ in range(SETTLE_TRIES):
            if self._settle_once(message):
                return
        log_message("gateway:call_not_settled", key=message.key, attempt=message.attempt)

    def _settle_once(self, message: FinishCall | AbandonCall) -> bool:
        reply = self._store.call(message, Accepted, FINISH_TIMEOUT_S)
        return isinstance(reply, Accepted | StoreConflict)


def _outcome_unknown(call: CallKey) -> OutcomeUnknown:
    return OutcomeUnknown(
        504,
        f"the call {call.key} was begun, and its node can no longer tell what became of it",
        "look up the effect at the application; the call will not be run again",
    )
