"""Stand-in for a model engine: OpenAI's protocol over continuous batching."""

from __future__ import annotations

import functools
import uuid

import msgspec

from quaymill_standins.completion_format import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    AnswerFormat,
    CompletionBody,
    parse_body,
    prompt_of,
)
from quaymill_standins.drain import BAD_DRAIN, read_draining
from quaymill_standins.faults import Faults, FaultSwitches, RequestFaults
from quaymill_standins.http_support import (
    CLOSED,
    CONTROL_THREADS,
    DEFAULT_THREADS,
    Answer,
    ClientConnection,
    Request,
    Response,
    StandinServer,
    StreamedResponse,
    dispatch,
    error_response,
    json_response,
    not_run_response,
)
from quaymill_standins.load_report import LoadReporter
from quaymill_standins.prefix_cache import CacheEventLog, PrefixCache
from quaymill_standins.run import CANCELLED, Run, TokenStream, token_source
from quaymill_standins.step_scheduler import StepScheduler

REQUEST_ID_HEADER = "X-Request-Id"
CROSSED_PREFIX = "crossed-"


class EngineSettings(msgspec.Struct, frozen=True):
    """Settings of one engine.

    Attributes
    ----------
    slots
        Most requests in the running batch.
    waiting_limit
        Most requests in the queue; further ones are refused as not run.
    cache_blocks
        Blocks of prompt prefixes that the cache holds.
    load_lag_s, cache_event_lag_s
        Age of what ``GET /load`` and ``GET /cache-events`` tell.
    cache_event_gap_probability
        Share of cache events that are lost.
    """

    name: str = "engine"
    zone: str = ""
    model: str = "model"
    address: str = "127.0.0.1"
    port: int = 0
    slots: int = 32
    waiting_limit: int = 128
    step_ms: float = 5.0
    cache_blocks: int = 4096
    load_lag_s: float = 0.2
    cache_event_lag_s: float = 0.5
    cache_event_gap_probability: float = 0.05
    faults: Faults = Faults()


class Engine:
    """A running engine stand-in."""

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self.switches = FaultSwitches(settings.faults)
        self._reporter = LoadReporter(
            settings.name, settings.slots, settings.load_lag_s, self.switches
        )
        self._cache_events = CacheEventLog(
            settings.cache_event_lag_s, settings.cache_event_gap_probability
        )
        self._scheduler = StepScheduler(
            slots=settings.slots,
            waiting_limit=settings.waiting_limit,
            step_s=settings.step_ms / 1000.0,
            cache=PrefixCache(settings.cache_blocks, self._cache_events),
            reporter=self._reporter,
            switches=self.switches,
        )
        self._server = StandinServer(
            settings.address,
            settings.port,
            self.switches,
            handle_data=self._handle_data,
            handle_control=self._handle_control,
            is_control=lambda path: path not in (CHAT_PATH, COMPLETIONS_PATH),
            threads=max(
                DEFAULT_THREADS, settings.slots + settings.waiting_limit + 2 * CONTROL_THREADS
            ),
        )

    @property
    def port(self) -> int:
        """The port in use."""
        return self._server.port

    def start(self) -> None:
        """Start to serve."""
        self._scheduler.start()
        self._server.start()

    def stop(self) -> None:
        """Cancel all runs and stop."""
        self.switches.stop()
        self._scheduler.stop()
        self._server.stop()

    def _handle_data(self, request: Request, faults: RequestFaults) -> Answer:
        """Answer one completion request."""
        body = parse_body(request.body, request.path)
        if isinstance(body, str):
            return error_response(400, body, "invalid_request_error")
        if body.model != self._settings.model:
            message = f"model {body.model!r} is not served here; use {self._settings.model!r}"
            return error_response(404, message, "invalid_request_error")
        return self._complete(request, body, faults)

    def _complete(self, request: Request, body: CompletionBody, faults: RequestFaults) -> Answer:
        """Submit a run, and stream it or wait for it."""
        request_id = request.header(REQUEST_ID_HEADER) or f"cmpl-{uuid.uuid4().hex}"
        prompt = prompt_of(body, request.path)
        crossed = CROSSED_PREFIX if faults.cross else ""
        if crossed:
            self.switches.count("cross")
        answer_format = AnswerFormat(body, request.path, crossed + request_id)
        source = token_source(body, crossed + prompt)
        stream = self._token_stream(request, body, answer_format, faults)
        run = Run(body, prompt, request_id, request.connection, source, stream)
        refusal = self._scheduler.submit(run)
        if refusal:
            return not_run_response(refusal)
        headers = ((REQUEST_ID_HEADER, crossed + request_id),)
        if stream is None:
            return self._whole(run, answer_format, headers)
        return self._streamed(run, stream, headers)

    def _token_stream(
        self,
        request: Request,
        body: CompletionBody,
        answer_format: AnswerFormat,
        faults: RequestFaults,
    ) -> TokenStream | None:
        """Return the stream of an answer; none if it is sent whole or is to be lost."""
        if not body.stream or faults.lose_answer:
            return None
        cut_after_tokens = None
        if faults.truncate:
            self.switches.count("truncate")
            tokens_left = body.token_limit - len(body.resume_token_ids)
            cut_after_tokens = int(tokens_left * faults.cut_at)
        return TokenStream(request.connection, answer_format, cut_after_tokens)

    def _streamed(
        self, run: Run, stream: TokenStream, headers: tuple[tuple[str, str], ...]
    ) -> StreamedResponse:
        def produce(_connection: ClientConnection) -> None:
            stream.open()
            run.done.wait()
            if run.journal.outcome == CANCELLED:
                stream.cut()
            else:
                stream.finish(run)

        content = ("Content-Type", "text/event-stream; charset=utf-8")
        abandon = functools.partial(self._scheduler.cancel, run)
        return StreamedResponse(200, (content, *headers), produce, abandon)

    def _whole(
        self, run: Run, answer_format: AnswerFormat, headers: tuple[tuple[str, str], ...]
    ) -> Answer:
        run.done.wait()
        if run.journal.outcome == CANCELLED:
            return CLOSED
        content = answer_format.whole(
            run.token_ids, run.finish_reason, run.prompt_tokens, run.cached_tokens
        )
        return json_response(200, content, headers)

    def _handle_control(self, request: Request) -> Response:
        """Answer a request that is never faulted."""
        handlers = {
            ("GET", "/load"): self._load,
            ("GET", "/health"): self._health,
            ("GET", "/v1/models"): self._models,
            ("POST", "/drain"): self._drain,
            ("GET", "/cache-events"): self._list_cache_events,
            ("GET", "/standin/journal"): self._journal,
        }
        return dispatch(handlers, request)

    def _load(self, _request: Request) -> Response:
        report = self._reporter.report()
        if report is None:
            return error_response(503, "the load is not known", "injected")
        return json_response(200, report)

    def _health(self, _request: Request) -> Response:
        draining = self._scheduler.draining
        return json_response(503 if draining else 200, {"draining": draining})

    def _models(self, _request: Request) -> Response:
        model = {"id": self._settings.model, "object": "model", "created": 0, "owned_by": "standin"}
        return json_response(200, {"object": "list", "data": [model]})

    def _drain(self, request: Request) -> Response:
        draining = read_draining(request)
        if draining is None:
            return BAD_DRAIN
        self._scheduler.set_draining(draining)
        return json_response(200, {"draining": draining})

    def _list_cache_events(self, request: Request) -> Response:
        after = request.query.get("after", "0")
        if not after.isdigit():
            message = f"after is {after!r}; use the number of an event"
            return error_response(400, message, "invalid_request_error")
        return json_response(200, {"events": self._cache_events.after(int(after))})

    def _journal(self, _request: Request) -> Response:
        return json_response(200, {"runs": self._scheduler.journal()})
