"""Runs one batch item as one stream at one engine and says how that ended."""

from __future__ import annotations

import itertools
import threading
from typing import Any

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.engine_client import EngineClient, EngineStream
from quaymill.connection.replica_connection import Exchange
from quaymill.process.batch.item_outcome import (
    ItemBroken,
    ItemFinished,
    ItemGaveWay,
    ItemNotStarted,
    ItemOutcome,
    error_body,
)
from quaymill.process.batch.partial_answer import PartialAnswer, decode_events
from quaymill.process.batch.work_item import WorkItem
from quaymill.process.settings import BatchSettings
from quaymill.request.outcome import Failed, NotRun, OutcomeUnknown

BATCH_PRIORITY = 10
STATUS_OK = 200
_SERVER_ERROR = 500
_RETRYABLE_STATUSES = frozenset({408, 425, 429})

_stream_numbers = itertools.count(1)


class ItemStream:
    """One stream of one item; ``cancel`` may be called by any thread, at any time."""

    def __init__(
        self,
        work: WorkItem,
        endpoint: Endpoint,
        engine_client: EngineClient,
        settings: BatchSettings,
    ) -> None:
        self._work = work
        self._endpoint = endpoint
        self._engine_client = engine_client
        self._settings = settings
        ref = work.ref
        self._attempt_id = f"{ref.job_id}-{ref.index}-{ref.attempt}-{next(_stream_numbers)}"
        self._lock = threading.Lock()
        self._exchange: Exchange | None = None
        self._cancelled = False

    def cancel(self) -> None:
        """Make room at once: the engine sees the connection close; the tokens so far are kept."""
        with self._lock:
            self._cancelled = True
            if self._exchange is not None:
                self._exchange.cancel()

    def run(self) -> ItemOutcome:
        """Stream the item to its end."""
        outcome = self._run()
        finished = isinstance(outcome, ItemFinished) and not outcome.retryable
        if self._cancelled and not finished:
            return ItemGaveWay(by_engine=False)
        return outcome

    def _run(self) -> ItemOutcome:
        partial = self._work.partial
        item = self._work.leased.item
        body = stream_body(item.body, partial.begin_stream())
        exchange = self._engine_client.send(self._endpoint, item.url, body, self._attempt_id)
        if isinstance(exchange, NotRun):
            return ItemNotStarted(exchange.reason)
        if isinstance(exchange, OutcomeUnknown):
            return ItemBroken(exchange.reason)
        with self._lock:
            self._exchange = exchange
            if self._cancelled:
                exchange.cancel()
        if not exchange.wait_readable(self._settings.first_byte_timeout_s):
            exchange.abandon()
            return ItemBroken(f"no answer within {self._settings.first_byte_timeout_s} s")
        stream = self._engine_client.read_stream(exchange, self._attempt_id)
        match stream:
            case NotRun(reason=reason):
                return ItemNotStarted(reason)
            case OutcomeUnknown(reason=reason):
                return ItemBroken(reason)
            case Failed():
                return _failed(stream)
        stream.set_stall_timeout(self._settings.token_gap_timeout_s)
        return self._read(stream, partial)

    def _read(self, stream: EngineStream, partial: PartialAnswer) -> ItemOutcome:
        while not stream.complete:
            events = stream.next_events()
            if stream.preempted:
                return ItemGaveWay(by_engine=True)
            if isinstance(events, OutcomeUnknown):
                return ItemBroken(events.reason)
            try:
                chunks = decode_events(events)
            except msgspec.MsgspecError as error:
                stream.abandon()
                return ItemBroken(f"an event is not in OpenAI's format: {error}")
            for chunk in chunks:
                partial.add(chunk)
        stream.finish()
        if not partial.finished:
            return ItemBroken("the stream ended without a finish reason")
        response = partial.response(self._work.leased.item.url, self._attempt_id)
        return ItemFinished(STATUS_OK, msgspec.Raw(msgspec.json.encode(response)))


def stream_body(body: msgspec.Raw, resume_token_ids: list[int]) -> bytes:
    """Return the request of an item as a stream of batch priority."""
    request: dict[str, Any] = msgspec.json.decode(body)
    request["stream"] = True
    request["stream_options"] = {"include_usage": True}
    request["priority"] = BATCH_PRIORITY
    request["return_token_ids"] = True
    request.pop("resume_token_ids", None)
    if resume_token_ids:
        request["resume_token_ids"] = resume_token_ids
    return msgspec.json.encode(request)


def _failed(failure: Failed) -> ItemFinished:
    retryable = failure.status >= _SERVER_ERROR or failure.status in _RETRYABLE_STATUSES
    return ItemFinished(failure.status, error_body(failure.reason, "engine_error"), retryable)
