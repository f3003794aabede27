"""``/v1/chat/completions``, ``/v1/completions`` and ``/v1/models``."""

from __future__ import annotations

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
from quaymill.request.outcome import Failed, Failure, NotRun, OutcomeUnknown
from quaymill.request.patience import (
    FIRST_BYTE_PATIENCE_BUSY_S,
    FIRST_BYTE_PATIENCE_S,
    wait_for_first_byte,
)
from quaymill.request.relay import OpenStream, StreamRelay
from quaymill.request.retry_budget import RetryBudget
from quaymill.request.waiting_room import WaitingRooms
from quaymill.version.configuration import ServiceKind

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
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
        waiting_rooms: WaitingRooms,
        max_body_bytes: int,
    ) -> None:
        self._holder = holder
        self._router = router
        self._limiter = limiter
        self._engine_client = engine_client
        self._notifier = notifier
        self._budget = budget
        self._waiting_rooms = waiting_rooms
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
            self._waiting_rooms.of(model),
            prefix_key=completion.prefix_key,
        )
        call = _EngineCall(self._engine_client, self._notifier, attempts, request, path, completion)
        if completion.checked.stream:
            return self._answer_stream(request, call, reserved)
        used = 0
        try:
            response = call.whole()
            used = used_tokens(response.body) if response.status == 200 else 0
            return response
        finally:
            self._limiter.release(request.tenant, reserved, used)

    def _answer_stream(self, request: Request, call: _EngineCall, reserved: int) -> Response:
        def ended(used_tokens: int) -> None:
            self._limiter.release(request.tenant, reserved, used_tokens)

        response: Response | None = None
        try:
            response = call.streamed(ended)
            return response
        finally:
            if response is None or isinstance(response.body, bytes):
                ended(0)

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


class _Usage(msgspec.Struct, frozen=True):
    completion_tokens: int = 0


class _WholeAnswer(msgspec.Struct):
    usage: _Usage = _Usage()


def used_tokens(body: bytes) -> int:
    """Return the tokens that a whole answer says it has generated; 0 if it does not say."""
    try:
        return msgspec.json.decode(body, type=_WholeAnswer).usage.completion_tokens
    except msgspec.MsgspecError:
        return 0


class _AccountedRelay:
    """A relay that settles the tenant's tokens when it ends."""

    def __init__(self, relay: StreamRelay, ended) -> None:
        self._relay = relay
        self._ended = ended

    def __iter__(self):
        return iter(self._relay)

    def close(self) -> None:
        self._relay.close()
        self._ended(self._relay.event_count)


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

    def whole(self) -> Response:
        """Answer with the engine's whole answer."""
        answer = self._attempts.run(self._whole_once)
        if isinstance(answer, NotRun | OutcomeUnknown | Failed):
            return failure_response(answer)
        return Response(headers={"Content-Type": "application/json"}, body=answer)

    def streamed(self, ended) -> Response:
        """Answer with a relay, once an engine has begun to answer."""
        first = self._open([], progressed=False)
        if isinstance(first, NotRun | OutcomeUnknown | Failed):
            return failure_response(first)
        resume = self._resume if (self._completion.checked.n or 1) == 1 else None
        relay = StreamRelay(first, resume, _error_event, self._attempts.presence)
        return Response(headers=dict(EVENT_STREAM_HEADERS), body=_AccountedRelay(relay, ended))

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
                self._attempts.note_cut(replica, failure)

        opened.ended = ended
        return opened

    def _read_first_events(
        self, replica: ReplicaView, body: bytes, attempt_id: str
    ) -> OpenStream | Failure:
        exchange = self._send(replica, body, attempt_id, whole=False)
        if not isinstance(exchange, Exchange):
            return exchange
        stream = self._engine_client.read_stream(exchange, attempt_id)
        if not isinstance(stream, EngineStream):
            return stream
        patience_s = FIRST_BYTE_PATIENCE_S
        if replica.is_busy():
            patience_s = FIRST_BYTE_PATIENCE_BUSY_S
        stream.set_stall_timeout(min(patience_s, self._attempts.deadline.remaining_s()))
        events = stream.next_events()
        if isinstance(events, OutcomeUnknown):
            return events
        stream.set_stall_timeout(STREAM_STALL_TIMEOUT_S)
        return OpenStream(stream, attempt_id, events)

    def _whole_once(self, replica: ReplicaView, attempt_id: str) -> bytes | Failure:
        ticket = replica.begin()
        try:
            exchange = self._send(replica, self._completion.engine_body(), attempt_id, whole=True)
            if not isinstance(exchange, Exchange):
                return exchange
            remaining_s = self._attempts.deadline.remaining_s()
            return self._engine_client.read_whole(exchange, attempt_id, remaining_s)
        finally:
            self._attempts.presence.detach()
            self._attempts.end(replica, ticket)

    def _send(
        self, replica: ReplicaView, body: bytes, attempt_id: str, *, whole: bool
    ) -> Exchange | Failure:
        """Send a request and wait until the engine begins to answer."""
        self._notifier.notify(replica)
        exchange = self._engine_client.send(replica.machine.endpoint, self._path, body, attempt_id)
        if not isinstance(exchange, Exchange):
            return exchange
        self._attempts.presence.attach(exchange.cancel)
        deadline = self._attempts.deadline
        failure = wait_for_first_byte(exchange, replica, deadline, whole=whole)
        return exchange if failure is None else failure


def _error_event(failure: Failure) -> bytes:
    return b"data: " + msgspec.json.encode(error_document(failure)) + b"\n\n"


def _unknown_model(model: str) -> Response:
    refusal = NotRun(404, f"there is no model {model}", "see /v1/models")
    return failure_response(refusal, parameter="model", code="model_not_found")
