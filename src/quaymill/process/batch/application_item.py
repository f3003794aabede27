"""Runs one batch item at an application; a non-idempotent one at most once.

A non-idempotent item is an at-most-once call under the key ``{job_id}/{index}``, so that it
runs once whichever node leases it. If its outcome is unknown, because its node died or the
answer never came, the item ends as failed with that reason and never runs again.
"""

from __future__ import annotations

import base64
import secrets
import threading

import msgspec
import xxhash

from quaymill.connection.application_client import ApplicationAnswer, ApplicationClient
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.replica_connection import Exchange, ReplicaRequest
from quaymill.process.batch.item_outcome import (
    ItemBroken,
    ItemFinished,
    ItemGaveWay,
    ItemNotStarted,
    ItemOutcome,
    error_body,
)
from quaymill.process.batch.work_item import WorkItem
from quaymill.process.gateway.at_most_once import (
    CONFLICT_STATUS,
    IN_PROGRESS_STATUS,
    AtMostOnceCalls,
    CallKey,
)
from quaymill.process.settings import BatchSettings
from quaymill.request.deadline import Deadline
from quaymill.request.outcome import NotRun, OutcomeUnknown

IN_PROGRESS_POLL_INTERVAL_S = 1.0
ATTEMPT_ID_BYTES = 8
UNKNOWN_STATUS = 502
METHOD = "POST"
_SERVER_ERROR = 500
_JSON_CONTENT_TYPE = "application/json"


class CallParts(msgspec.Struct, frozen=True):
    """What application items use of this node."""

    settings: BatchSettings
    at_most_once: AtMostOnceCalls
    application_client: ApplicationClient


class ApplicationItem:
    """One call of one item. It is never cancelled once it has been sent."""

    def __init__(
        self, work: WorkItem, endpoint: Endpoint, idempotent: bool, parts: CallParts
    ) -> None:
        self._work = work
        self._endpoint = endpoint
        self._idempotent = idempotent
        self._parts = parts
        self._given_up = threading.Event()

    def cancel(self) -> None:
        """Do not begin if that has not happened yet; a call under way goes on to its end."""
        self._given_up.set()

    def run(self) -> ItemOutcome:
        """Make the call and wait for its answer."""
        return self._run_repeatable() if self._idempotent else self._run_once()

    def _run_repeatable(self) -> ItemOutcome:
        match self._send():
            case NotRun(reason=reason):
                return ItemNotStarted(reason)
            case OutcomeUnknown(reason=reason):
                return ItemBroken(reason)
            case answer:
                return _finished(answer, retryable=answer.status >= _SERVER_ERROR)

    def _run_once(self) -> ItemOutcome:
        while not self._given_up.is_set():
            answer = self._parts.at_most_once.run(
                self._call_key(), self._send, keep_trying=lambda: not self._given_up.is_set()
            )
            match answer:
                case ApplicationAnswer():
                    return _finished(answer, retryable=False)
                case OutcomeUnknown(status=status) if status == IN_PROGRESS_STATUS:
                    self._given_up.wait(IN_PROGRESS_POLL_INTERVAL_S)
                case NotRun(status=status, reason=reason) if status == CONFLICT_STATUS:
                    return ItemFinished(status, error_body(reason, "conflict"))
                case NotRun(reason=reason):
                    return ItemNotStarted(reason)
                case failure:
                    return _unknown(failure.reason)
        return ItemGaveWay(by_engine=False)

    def _send(self) -> ApplicationAnswer | NotRun | OutcomeUnknown:
        item = self._work.leased.item
        headers = {"Content-Type": _JSON_CONTENT_TYPE, "Idempotency-Key": self._key}
        deadline = Deadline.after(self._parts.settings.application_timeout_s)

        def wait(exchange: Exchange) -> OutcomeUnknown | None:
            if exchange.wait_readable(deadline.remaining_s()):
                return None
            exchange.abandon()
            reason = f"no answer from {self._endpoint} in time"
            return OutcomeUnknown(UNKNOWN_STATUS, reason, "look the call up at the application")

        return self._parts.application_client.call(
            self._endpoint,
            ReplicaRequest(
                METHOD, _application_path(item.url), headers, bytes(item.body), self._key
            ),
            f"{self._key}/{secrets.token_hex(ATTEMPT_ID_BYTES)}",
            deadline,
            wait,
            repeatable=self._idempotent,
        )

    @property
    def _key(self) -> str:
        return f"{self._work.leased.job_id}/{self._work.leased.item.index}"

    def _call_key(self) -> CallKey:
        leased = self._work.leased
        content = f"{METHOD} {leased.item.url}\n".encode() + bytes(leased.item.body)
        digest = xxhash.xxh128_hexdigest(content)
        return CallKey(leased.tenant, self._work.service, self._key, digest)


def _application_path(url: str) -> str:
    """Return the path at the application of ``/services/{service}/{path}``."""
    parts = url.split("/", 3)
    return "/" + (parts[3] if len(parts) > 3 else "")


def _finished(answer: ApplicationAnswer, retryable: bool) -> ItemFinished:
    """Return an answer as an item's result; a body that is not JSON is kept as text."""
    try:
        value = msgspec.json.decode(answer.body)
    except msgspec.MsgspecError:
        value = _text_or_base64(answer.body)
    # Encoded anew: a body printed over several lines would break the JSON lines.
    response = msgspec.Raw(msgspec.json.encode(value))
    return ItemFinished(answer.status, response, retryable)


def _text_or_base64(body: bytes) -> str | dict[str, str]:
    try:
        return body.decode()
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(body).decode()}


def _unknown(reason: str) -> ItemFinished:
    message = f"{reason}; the call may have run and is not run again: look it up at the application"
    return ItemFinished(UNKNOWN_STATUS, error_body(message, "outcome_unknown"))
