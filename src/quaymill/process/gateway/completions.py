"""``/v1/chat/completions``, ``/v1/completions`` and ``/v1/models``."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from quaymill.connection.engine_client import (
    STREAM_STALL_TIMEOUT_S,
    EngineClient,
    EngineStream,
)
from quaymill.connection.replica_connection import Exchange
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.gateway.completion_body import (
    ChatCompletionBody,
    CompletionBody,
    CompletionRequest,
    InvalidBody,
    TextCompletionBody,
    parse_completion,
)
from quaymill.process.gateway.http import (
    Request,
    Response,
    RouteTable,
    error_document,
    failure_response,
    json_response,
)
from quaymill.process.limits.limiter import TenantLimiter
from quaymill.process.replicas.notifier import PreemptionNotifier
from quaymill.process.replicas.replica import ReplicaView
from quaymill.process.replicas.router import Router
from quaymill.request.attempt import RequestAttempts
from quaymill.request.deadline import TIMEOUT_HEADER, deadline_from_header
from quaymill.request.first_byte_wait import (
    BUSY_FIRST_BYTE_TIMEOUT_S,
    FIRST_BYTE_TIMEOUT_S,
    wait_for_first_byte,
)
from quaymill.request.outcome import Failure, NotRun, OutcomeUnknown
from quaymill.request.presence import CallerGoneError
from quaymill.request.relay import OpenStream, StreamRelay
from quaymill.request.retry_budget import RetryBudget
from quaymill.request.service_queue import ServiceQueues
from quaymill.request.whole_answer import assemble
from quaymill.version.configuration import ServiceKind

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
Ended = Callable[[int], None]
"""Ends the accounting of a request; is given the tokens generated."""
EVENT_STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}


class Model(msgspec.Struct):
    """One entry of ``/v1/models``."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "quaymill"


class ModelList(msgspec.Struct):
    """Answer of ``/v1/models``."""

    data: list[Model]
    object: str = "list"


class Completions:
    """Handlers of the completion routes."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        router: Router,
        limiter: TenantLimiter,
        engine_client: EngineClient,
        notifier: PreemptionNotifier,
        budget: RetryBudget,
        service_queues: ServiceQueues,
        max_body_bytes: int,
    ) -> None:
        self._holder = holder
        self._router = router
        self._limiter = limiter
        self._engine_client = engine_client
        self._notifier = notifier
        self._budget = budget
        self._service_queues = service_queues
        self._max_body_bytes = max_body_bytes

    def register_routes(self, routes: RouteTable) -> None:
        """Add the routes of this module."""
        routes.add("POST", CHAT_PATH, self._complete_chat)
        routes.add("POST", TEXT_PATH, self._complete_text)
        routes.add("GET", "/v1/models", self._list_models)
        routes.add("GET", "/v1/models/{model}", self._show_model)

    def _complete_chat(self, request: Request) -> Response:
        return self._complete(request, CHAT_PATH, ChatCompletionBody)

    def _complete_text(self, request: Request) -> Response:
        return self._complete(request, TEXT_PATH, TextCompletionBody)

    def _complete(self, request: Request, path: str, body_type: type[CompletionBody]) -> Response:
        body = request.read_body(self._max_body_bytes)
        if isinstance(body, NotRun):
            return failure_response(body)
        completion = parse_completion(body, body_type)
        if isinstance(completion, InvalidBody):
            return failure_response(completion.refusal, parameter=completion.field or None)
        model = completion.checked.model
        if not self._is_model(model):
            return _unknown_model(model)
        deadline = deadline_from_header(request.headers.get(TIMEOUT_HEADER))
        if isinstance(deadline, NotRun):
            return failure_response(deadline)
        reserved = completion.checked.reserved_tokens
        refusal = self._limiter.admit(request.tenant, reserved)
        if refusal is not None:
            return failure_response(refusal, code="rate_limit_exceeded")
        self._budget.record_request()
        attempts = RequestAttempts(
            self._router,
            self._budget,
            deadline,
            model,
            request.request_id,
            request.presence,
            self._service_queues.of(model),
            prefix_key=completion.prefix_key,
        )
        call = _EngineCall(self._engine_client, self._notifier, attempts, request, path, completion)

        def ended(used_tokens: int) -> None:
            self._limiter.release(request.tenant, reserved, used_tokens)

        return _once(ended, call.streamed if completion.checked.stream else call.whole)

    def _is_model(self, name: str) -> bool:
        service = self._holder.current().services.get(name)
        return service is not None and service.kind is ServiceKind.MODEL

    def _list_models(self, request: Request) -> Response:
        services = self._holder.current().services
        names = [name for name, one in services.items() if one.kind is ServiceKind.MODEL]
        return json_response(ModelList([Model(name) for name in sorted(names)]))

    def _show_model(self, request: Request) -> Response:
        name = request.parameters["model"]
        return json_response(Model(name)) if self._is_model(name) else _unknown_model(name)


def _once(ended: Ended, answer: Callable[[Ended], Response]) -> Response:
    """Make an answer; if that fails with an exception, the request's accounting still ends."""
    done = False

    def end_once(used_tokens: int) -> None:
        nonlocal done
        if not done:
            done = True
            ended(used_tokens)

    try:
        return answer(end_once)
    except BaseException:
        end_once(0)
        raise


class _AccountedRelay:
    """A relay that settles the tenant's tokens when it ends."""

    def __init__(self, relay: StreamRelay, ended: Ended) -> None:
        self._relay = relay
        self._ended = ended

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._relay)

    def close(self) -> None:
        self._relay.close()
        self._ended(self._relay.token_count)


class _EngineCall:
    """One completion request on its way to an engine."""

    def __init__(
        self,
        engine_client: EngineClient,
        notifier: PreemptionNotifier,
        attempts: RequestAttempts,
        request: Request,
        path: str,
        completion: CompletionRequest,
    ) -> None:
        self._engine_client = engine_client
        self._notifier = notifier
        self._attempts = attempts
        self._request = request
        self._path = path
        self._completion = completion

    def whole(self, ended: Ended) -> Response:
        """Answer with the whole answer, put together from an engine's stream."""
        relay = self._relay()
        if not isinstance(relay, StreamRelay):
            ended(0)
            return failure_response(relay)
        try:
            blocks = list(relay)
        finally:
            relay.close()
            ended(relay.token_count)
        if self._attempts.presence.gone:
            raise CallerGoneError
        if relay.failure is not None:
            return failure_response(relay.failure)
        return json_response(assemble(blocks, keep_token_ids=self._completion.wants_token_ids))

    def streamed(self, ended: Ended) -> Response:
        """Answer with a relay, once an engine has begun to answer."""
        relay = self._relay()
        if not isinstance(relay, StreamRelay):
            ended(0)
            return failure_response(relay)
        return Response(headers=dict(EVENT_STREAM_HEADERS), body=_AccountedRelay(relay, ended))

    def _relay(self) -> StreamRelay | Failure:
        first = self._open([], progressed=False)
        if not isinstance(first, OpenStream):
            return first
        resume = self._resume if (self._completion.checked.n or 1) == 1 else None
        return StreamRelay(first, resume, _error_event, self._attempts.presence)

    def _resume(self, tokens: list[int]) -> OpenStream | Failure:
        return self._open(tokens, progressed=bool(tokens))

    def _open(self, tokens: list[int], progressed: bool) -> OpenStream | Failure:
        body = self._completion.engine_body(tokens)

        def open_once(replica: ReplicaView, attempt_id: str) -> OpenStream | Failure:
            return self._open_once(replica, body, attempt_id)

        return self._attempts.run(open_once, progressed=progressed)

    def _open_once(
        self, replica: ReplicaView, body: bytes, attempt_id: str
    ) -> OpenStream | Failure:
        ticket = replica.begin()
        opened: OpenStream | Failure | None = None
        try:
            opened = self._read_first_events(replica, body, attempt_id)
        finally:
            if not isinstance(opened, OpenStream):
                self._attempts.end(replica, ticket)
        if not isinstance(opened, OpenStream):
            return opened

        def ended(failure: OutcomeUnknown | None) -> None:
            self._attempts.presence.detach()
            self._attempts.end(replica, ticket)
            if failure is not None:
                self._attempts.record_stream_failure(replica, failure)

        opened.ended = ended
        return opened

    def _read_first_events(
        self, replica: ReplicaView, body: bytes, attempt_id: str
    ) -> OpenStream | Failure:
        exchange = self._send(replica, body, attempt_id)
        if not isinstance(exchange, Exchange):
            return exchange
        stream = self._engine_client.read_stream(exchange, attempt_id)
        if not isinstance(stream, EngineStream):
            return stream
        patience_s = FIRST_BYTE_TIMEOUT_S
        if replica.is_busy():
            patience_s = BUSY_FIRST_BYTE_TIMEOUT_S
        stream.set_stall_timeout(min(patience_s, self._attempts.deadline.remaining_s()))
        events = stream.next_events()
        if isinstance(events, OutcomeUnknown):
            return events
        stream.set_stall_timeout(STREAM_STALL_TIMEOUT_S)
        return OpenStream(stream, attempt_id, events)

    def _send(self, replica: ReplicaView, body: bytes, attempt_id: str) -> Exchange | Failure:
        """Send a request and wait until the engine begins to answer."""
        self._notifier.notify(replica)
        exchange = self._engine_client.send(replica.machine.endpoint, self._path, body, attempt_id)
        if not isinstance(exchange, Exchange):
            return exchange
        self._attempts.presence.attach(exchange.cancel)
        failure = wait_for_first_byte(exchange, replica, self._attempts.deadline)
        return exchange if failure is None else failure


def _error_event(failure: Failure) -> bytes:
    return b"data: " + msgspec.json.encode(error_document(failure)) + b"\n\n"


def _unknown_model(model: str) -> Response:
    refusal = NotRun(404, f"there is no model {model}", "see /v1/models")
    return failure_response(refusal, parameter="model", code="model_not_found")
