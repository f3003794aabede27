"""Runs one batch item as one stream at one engine and says how that ended."""

from __future__ import annotations

import itertools
import math
import threading
import time
from typing import Any

import msgspec

from quaymill import boot_clock
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
READ_INTERVAL_S = 0.05
FIRST_TOKENS = 4
NO_LIMIT = 1_000_000_000
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
        pace = _ReadPace(_token_limit(self._work.leased.item.body))
        while not stream.complete:
            time.sleep(pace.pause_s(len(partial.token_ids)))
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


class _ReadPace:
    """When to look at the stream again.

    Waking a thread for each token costs more than reading it, and nobody waits for a batch
    item's tokens. So the thread sleeps while several tokens arrive and then reads as many as
    must have come and one more; waiting for that one brings it level with the engine again,
    and the time between two such moments gives the engine's pace. The last tokens are read as
    they come, since the slot stays empty until the end of the stream has been seen.
    """

    def __init__(self, token_limit: int) -> None:
        self._token_limit = token_limit
        self._level_tokens = -1
        self._level_s = 0.0
        self._next_level_tokens = 0

    def pause_s(self, tokens: int) -> float:
        """Return the seconds to wait before the next read, with ``tokens`` read so far."""
        if tokens < self._next_level_tokens or not tokens:
            return 0.0
        now_s = boot_clock.now()
        previous_tokens, previous_s = self._level_tokens, self._level_s
        self._level_tokens, self._level_s = tokens, now_s
        if previous_tokens < 0 or tokens <= previous_tokens:
            self._next_level_tokens = tokens + FIRST_TOKENS
            return 0.0
        gap_s = (now_s - previous_s) / (tokens - previous_tokens)
        arriving = math.ceil(READ_INTERVAL_S / gap_s)
        if tokens + arriving + 1 >= self._token_limit:
            self._next_level_tokens = self._token_limit + 1
            return 0.0
        self._next_level_tokens = tokens + arriving + 1
        return READ_INTERVAL_S


def _token_limit(body: msgspec.Raw) -> int:
    """Return the most tokens that a request asks for."""
    limits = msgspec.json.decode(body, type=_TokenLimits)
    return limits.max_completion_tokens or limits.max_tokens or NO_LIMIT


class _TokenLimits(msgspec.Struct):
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


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
