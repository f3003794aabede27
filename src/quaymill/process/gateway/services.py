"""``/services/{service}/{path}``: calls of applications, relayed whole."""

from __future__ import annotations

import xxhash

from quaymill.connection.application_client import ApplicationAnswer, ApplicationClient
from quaymill.connection.replica_connection import ReplicaRequest
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.gateway.application_calls import ApplicationCall
from quaymill.process.gateway.at_most_once import AtMostOnceCalls, CallKey
from quaymill.process.gateway.http import (
    IDEMPOTENCY_KEY_HEADER,
    Request,
    Response,
    RouteTable,
    failure_response,
)
from quaymill.process.limits.limiter import TenantLimiter
from quaymill.process.replicas.router import Router
from quaymill.request.attempt import RequestAttempts
from quaymill.request.deadline import TIMEOUT_HEADER, deadline_from_header
from quaymill.request.outcome import FAILED, OUTCOME_HEADER, Failure, NotRun
from quaymill.request.retry_budget import RetryBudget
from quaymill.request.service_queue import ServiceQueues
from quaymill.version.configuration import Service, ServiceKind

MAX_KEY_CHARACTERS = 255
_FORWARDED_HEADERS = ("content-type", "accept", "accept-language", "idempotency-key")


class Services:
    """Handlers of the application routes."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        router: Router,
        limiter: TenantLimiter,
        application_client: ApplicationClient,
        at_most_once: AtMostOnceCalls,
        budget: RetryBudget,
        service_queues: ServiceQueues,
        max_body_bytes: int,
    ) -> None:
        self._holder = holder
        self._router = router
        self._limiter = limiter
        self._application_client = application_client
        self._at_most_once = at_most_once
        self._budget = budget
        self._service_queues = service_queues
        self._max_body_bytes = max_body_bytes

    def register_routes(self, routes: RouteTable) -> None:
        """Add the routes of this module."""
        routes.add("*", "/services/{service}/{path:path}", self._call)

    def _call(self, request: Request) -> Response:
        name = request.parameters["service"]
        service = self._holder.current().services.get(name)
        if service is None or service.kind is not ServiceKind.APPLICATION:
            return failure_response(NotRun(404, f"there is no service {name}", "check the path"))
        refusal = _check_key(request, service)
        if refusal is not None:
            return failure_response(refusal)
        body = request.read_body(self._max_body_bytes)
        if isinstance(body, NotRun):
            return failure_response(body)
        refusal = self._limiter.admit(request.tenant, 0)
        if refusal is not None:
            return failure_response(refusal, code="rate_limit_exceeded")
        try:
            return _response(self._run(request, name, service, body))
        finally:
            self._limiter.release(request.tenant, 0, 0)

    def _run(
        self, request: Request, name: str, service: Service, body: bytes
    ) -> ApplicationAnswer | Failure:
        deadline = deadline_from_header(request.headers.get(TIMEOUT_HEADER))
        if isinstance(deadline, NotRun):
            return deadline
        self._budget.record_request()
        attempts = RequestAttempts(
            self._router,
            self._budget,
            deadline,
            name,
            request.request_id,
            request.presence,
            self._service_queues.of(name),
            repeatable=service.idempotent,
        )
        outgoing = _outgoing(request, body)
        call = ApplicationCall(self._application_client, attempts, outgoing, service.idempotent)
        if service.idempotent:
            return call.run()
        key = CallKey(
            tenant=request.tenant,
            service=name,
            key=request.headers[IDEMPOTENCY_KEY_HEADER.lower()],
            digest=_digest(outgoing),
        )
        return self._at_most_once.run(key, call.run)


def _check_key(request: Request, service: Service) -> NotRun | None:
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER.lower(), "")
    if not service.idempotent and not key:
        return NotRun(
            400,
            "a call of this service may not be repeated, and it has no Idempotency-Key",
            "send the header Idempotency-Key, and the same one when you send the call again",
        )
    if len(key) > MAX_KEY_CHARACTERS:
        return NotRun(
            400,
            f"the Idempotency-Key has more than {MAX_KEY_CHARACTERS} characters",
            "send a shorter one",
        )
    return None


def _outgoing(request: Request, body: bytes) -> ReplicaRequest:
    path = "/" + request.parameters["path"]
    if request.query:
        path += "?" + request.query
    headers = {
        name: request.headers[name] for name in _FORWARDED_HEADERS if name in request.headers
    }
    return ReplicaRequest(request.method, path, headers, body)


def _digest(request: ReplicaRequest) -> str:
    digest = xxhash.xxh3_128(f"{request.method} {request.path}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()


def _response(answer: ApplicationAnswer | Failure) -> Response:
    if not isinstance(answer, ApplicationAnswer):
        return failure_response(answer)
    headers = {"Content-Type": answer.content_type}
    if answer.status >= 500:
        headers[OUTCOME_HEADER] = FAILED
    return Response(answer.status, headers, answer.body)
