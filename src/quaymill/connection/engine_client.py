"""Client for model engines, which speak OpenAI's protocol with extra fields.

A successful answer is valid only if it echoes the id of the attempt, and a stream is complete only
with its terminator. Events are checked as raw bytes and parsed only where necessary, for speed.
"""

from __future__ import annotations

import msgspec

from quaymill import boot_clock
from quaymill.connection.bounded_reader import AnswerPart
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.replica_connection import Exchange, ReplicaConnections, ReplicaRequest
from quaymill.request.event_stream import (
    EVENT_END,
    MAX_EVENT_BYTES,
    TOO_LONG_EVENT,
    take_events,
)
from quaymill.request.outcome import NOT_RUN, OUTCOME_HEADER, Failed, NotRun, OutcomeUnknown

MAX_ERROR_BYTES = 64 * 1024
ERROR_BODY_TIMEOUT_S = 1.0
HEAD_TIMEOUT_S = 5.0
STREAM_STALL_TIMEOUT_S = 5.0
STREAM_END_TIMEOUT_S = 0.5
RETRY_AFTER_DRAINING_S = 1.0

TERMINATOR = b"data: [DONE]" + EVENT_END
_DATA = b"data: "
_USAGE = b'"usage":{'
_PREEMPTED = b'"preempted"'
_COMMENT = b":"


class _EngineErrorBody(msgspec.Struct, frozen=True):
    message: str = ""


class _EngineError(msgspec.Struct):
    error: _EngineErrorBody = _EngineErrorBody()


class _ChunkChoice(msgspec.Struct):
    token_ids: list[int] = []
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_ChunkChoice] = []


class EngineStream:
    """Reads the events of one streamed answer.

    Call ``next_events`` until ``complete`` is true or it returns a failure; then call ``finish``
    after a complete stream, ``abandon`` otherwise.
    """

    def __init__(self, exchange: Exchange, attempt_id: str) -> None:
        self.complete = False
        self.preempted = False
        self._exchange = exchange
        self._attempt_id_json = f'"{attempt_id}"'.encode()
        self._partial = bytearray()

    def set_stall_timeout(self, timeout_s: float) -> None:
        """Set the timeout of each following read."""
        self._exchange.set_read_timeout(timeout_s)

    def next_events(self) -> bytes | OutcomeUnknown:
        """Wait for complete events and return them; an incomplete event is buffered."""
        while True:
            block = self._exchange.read_block()
            if isinstance(block, OutcomeUnknown):
                return block
            if not block:
                return self._fail("the stream ended without its terminator")
            events = take_events(self._partial, block)
            if events:
                return self._check_events(events)
            if len(self._partial) > MAX_EVENT_BYTES:
                failure = self._exchange.abandon_endless(AnswerPart.EVENT, TOO_LONG_EVENT)
                return _invalid_answer(self._exchange.endpoint, failure.reason)

    def finish(self) -> None:
        """Release the connection if the body ends after the terminator; close it otherwise."""
        self._exchange.set_read_timeout(STREAM_END_TIMEOUT_S)
        if self._exchange.read_block() == b"":
            self._exchange.release()
        else:
            self._exchange.abandon()

    def abandon(self) -> None:
        """Close the connection, which cancels the request at the engine."""
        self._exchange.abandon()

    def _check_events(self, events: bytes) -> bytes | OutcomeUnknown:
        """Return the events if all of them belong to this attempt."""
        self.complete = events.endswith(TERMINATOR)
        if _PREEMPTED in events and _finish_reason(events) == "preempted":
            self.complete = False
            self.preempted = True
            return self._fail("the engine preempted the request")
        content = events[: -len(TERMINATOR)] if self.complete else events
        if content.count(EVENT_END) > 1:
            has_invalid = any(
                not self._is_valid_event(event) for event in content.split(EVENT_END)[:-1]
            )
        else:
            has_invalid = bool(content) and not self._is_valid_event(content)
        if has_invalid:
            self.complete = False
            return self._fail("the stream contains an error or an event of another request")
        return events

    def _is_valid_event(self, event: bytes) -> bool:
        return self._attempt_id_json in event or event.startswith(_COMMENT)

    def _fail(self, reason: str) -> OutcomeUnknown:
        self._exchange.abandon()
        return _invalid_answer(self._exchange.endpoint, reason)


class EngineClient:
    """Sends requests to engines over reused connections."""

    def __init__(self, link_filter: LinkFilter) -> None:
        self._connections = ReplicaConnections(link_filter)

    def send(
        self, endpoint: Endpoint, path: str, body: bytes, attempt_id: str
    ) -> Exchange | NotRun | OutcomeUnknown:
        """Send a request; read its answer with ``read_stream``."""
        headers = {"Content-Type": "application/json", "X-Request-Id": attempt_id}
        request = ReplicaRequest("POST", path, headers, body, attempt_id)
        return self._connections.send(endpoint, request)

    def read_stream(
        self, exchange: Exchange, attempt_id: str
    ) -> EngineStream | NotRun | OutcomeUnknown | Failed:
        """Read the head of a streamed answer; call this when the exchange is readable."""
        failure = self._read_head(exchange, attempt_id)
        return EngineStream(exchange, attempt_id) if failure is None else failure

    def close(self) -> None:
        """Close all idle connections."""
        self._connections.close()

    def _read_head(
        self, exchange: Exchange, attempt_id: str
    ) -> NotRun | OutcomeUnknown | Failed | None:
        failure = exchange.read_head(HEAD_TIMEOUT_S)
        if failure is not None:
            return failure
        echoed_id = exchange.header("X-Request-Id")
        # A refusal may lack the id; a successful answer must have it. Neither may have another id.
        if echoed_id != attempt_id and (echoed_id or exchange.status == 200):
            exchange.abandon()
            return _invalid_answer(exchange.endpoint, "the answer belongs to another request")
        return None if exchange.status == 200 else _read_refusal(exchange)


def token_ids(events: bytes) -> list[int]:
    """Return the token ids in complete events, in order."""
    return [token for choice in _choices(events) for token in choice.token_ids]


def with_resumed_usage(events: bytes, resumed_tokens: int) -> bytes:
    """Add the tokens of earlier attempts to the usage reported by a resumed stream.

    An engine counts only the tokens that it generated itself.
    """
    if _USAGE not in events:
        return events
    return EVENT_END.join(
        _with_resumed_usage(event, resumed_tokens) for event in events.split(EVENT_END)
    )


def _with_resumed_usage(event: bytes, resumed_tokens: int) -> bytes:
    if not event.startswith(_DATA) or _USAGE not in event:
        return event
    chunk = msgspec.json.decode(event[len(_DATA) :])
    usage = chunk.get("usage")
    if usage:
        for field in ("completion_tokens", "total_tokens"):
            usage[field] = usage.get(field, 0) + resumed_tokens
    return _DATA + msgspec.json.encode(chunk)


def _finish_reason(events: bytes) -> str | None:
    reasons = [choice.finish_reason for choice in _choices(events)]
    return next((reason for reason in reasons if reason is not None), None)


def _choices(events: bytes) -> list[_ChunkChoice]:
    choices: list[_ChunkChoice] = []
    for event in events.split(EVENT_END):
        if event.startswith(_DATA + b"{"):
            choices += msgspec.json.decode(event[len(_DATA) :], type=_Chunk).choices
    return choices


def _read_refusal(exchange: Exchange) -> NotRun | Failed:
    """Read the body of an error response and return the matching failure."""
    status = exchange.status
    not_run = exchange.header(OUTCOME_HEADER) == NOT_RUN
    body = exchange.read_body(MAX_ERROR_BYTES, boot_clock.now() + ERROR_BODY_TIMEOUT_S)
    message = ""
    if isinstance(body, bytes):
        exchange.release()
        try:
            message = msgspec.json.decode(body, type=_EngineError).error.message
        except msgspec.MsgspecError:
            message = body[:200].decode(errors="replace")
    reason = f"{exchange.endpoint} answered {status}: {message}"
    if not_run:
        return NotRun(status, reason, "send the request again", RETRY_AFTER_DRAINING_S, True)
    if 400 <= status < 500 and status != 429:
        return Failed(status, message or reason, "correct the request")
    return Failed(status, reason, "send the request again, or check the replica's log", 1.0)


def _invalid_answer(endpoint: Endpoint, reason: str) -> OutcomeUnknown:
    return OutcomeUnknown(
        502, f"invalid answer from {endpoint}: {reason}", "send the request again", 1.0
    )
