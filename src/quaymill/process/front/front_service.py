"""Answers callers: opaque requests go to replicas, batch jobs to the job service."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.job_document import Job
from quaymill.process.front.access import Caller, KeyState, identify, key_state
from quaymill.process.front.body_reader import (
    BodyTooLargeError,
    BodyTooSlowError,
    BrokenBodyError,
)
from quaymill.process.front.caller_protocol import (
    CallerProtocol,
    JobCall,
    JobOperation,
    Malformed,
)
from quaymill.process.front.drain import Drain
from quaymill.process.front.http_server import (
    DEFAULT_BODY_TIMEOUT_S,
    AnswerWriter,
    FrontRequest,
)
from quaymill.process.front.metrics import FrontMetrics
from quaymill.process.front.refusals import (
    SHORT_RETRY_AFTER_S,
    STOPPING,
    UNKNOWN_KEY,
    Refusal,
    forwarding_refusal,
    job_refusal,
    malformed_refusal,
    over_limit_refusal,
    over_quota_refusal,
)
from quaymill.process.jobs.job_lookup import NoSuchJob, Unsure
from quaymill.process.jobs.route_quota import OverQuota
from quaymill.process.jobs.service import Accepted, Ended, JobService, NoSuchItem
from quaymill.process.limits.limiter import TenantLimiter
from quaymill.request.deadline import Deadline
from quaymill.request.forwarded_request import ForwardedRequest, Headers
from quaymill.request.forwarding import Forwarder
from quaymill.request.forwarding_result import (
    CallerLeft,
    Delivered,
    ForwardingResult,
    GivenUp,
    KeyChanged,
)
from quaymill.version.request_routes import RequestRoute, RequestRoutes, RouteKind

TEXT: Headers = (("Content-Type", "text/plain; charset=utf-8"),)
JSON: Headers = (("Content-Type", "application/json"),)
BYTES: Headers = (("Content-Type", "application/octet-stream"),)
RETRY_AFTER = "Retry-After"
STARTING_RETRY_AFTER_S = 0.5
STARTING_TIMEOUT_S = 1.0
"""How long a request waits for the first configuration."""
STARTING_CHECK_INTERVAL_S = 0.02
"""Time between two checks whether there is a configuration."""
DEFAULT_TIMEOUT_S = 60.0
"""Timeout of a request whose caller sends none."""
JOB_CALL_TIME_S = 3.0
"""Time that a call about a job may take."""
MAX_UNREAD_BODY_BYTES = 64 * 1024
"""A body of a refused request up to this size is read, so that its connection can be reused."""


class FrontService:
    """Handles every request at the callers' address.

    Parameters
    ----------
    routes
        Returns the routes in force; their version is 0 until a configuration is known.
    limiter
        Enforces the limits of tenants.
    admission_limit
        Most requests in service at once; lower than the server's number of threads.
    """

    def __init__(
        self,
        protocol: CallerProtocol,
        routes: Callable[[], RequestRoutes],
        forwarder: Forwarder,
        jobs: JobService,
        limiter: TenantLimiter,
        metrics: FrontMetrics,
        admission_limit: int,
    ) -> None:
        self._protocol = protocol
        self._routes = routes
        self._forwarder = forwarder
        self._jobs = jobs
        self._limiter = limiter
        self._metrics = metrics
        self._admission_limit = admission_limit
        self._lock = threading.Lock()
        self._in_service = 0
        self.drain = Drain()
        self.body_bytes = 0
        """Size of the bodies of forwarded requests in service."""

    @property
    def in_service(self) -> int:
        """Requests in service now."""
        return self._in_service

    def handle(self, request: FrontRequest, writer: AnswerWriter) -> None:
        """Answer one request."""
        with self._lock:
            self._in_service += 1
            full = self._in_service > self._admission_limit
        try:
            if self.drain.begun:
                writer.close_after()
            with self.drain.in_service(request.presence):
                if full:
                    self._refuse(
                        request,
                        writer,
                        Refusal(503, "this gateway is at capacity", SHORT_RETRY_AFTER_S),
                    )
                else:
                    self._answer(request, writer)
            # A request stays in service until its caller has read the whole answer.
            writer.finish()
        finally:
            with self._lock:
                self._in_service -= 1

    def _answer(self, request: FrontRequest, writer: AnswerWriter) -> None:
        routes = self._wait_for_routes()
        if not routes.version:
            refusal = Refusal(503, "this gateway has no configuration yet", STARTING_RETRY_AFTER_S)
            self._refuse(request, writer, refusal)
            return
        call = self._protocol.find_job_call(request)
        if isinstance(call, Malformed):
            self._refuse(request, writer, malformed_refusal(call))
            return
        route = routes.find(request.host, request.path)
        if call is None and route is None:
            self._refuse(request, writer, Refusal(404, "no route matches this host and path"))
            return
        is_public = route.public if route else routes.has_public_jobs(request.host)
        key = self._protocol.read_key(request)
        caller = identify(routes, key, key_needed=not is_public)
        if caller is None:
            self._refuse_early(request, writer, UNKNOWN_KEY)
        elif (route is None or route.kind is RouteKind.BATCH) and self._is_too_late_for_jobs():
            self._refuse_early(request, writer, STOPPING)
        elif route is None:
            self._answer_job_call(call, caller, request, writer)
        elif route.kind is RouteKind.BATCH:
            self._submit(request, route, caller, writer)
        else:
            self._forward_within_limits(request, route, caller, writer)

    def _is_too_late_for_jobs(self) -> bool:
        return self.drain.remaining_s < JOB_CALL_TIME_S

    def _read_body_or_refuse(
        self,
        request: FrontRequest,
        writer: AnswerWriter,
        timeout_s: float = DEFAULT_BODY_TIMEOUT_S,
    ) -> bytes | None:
        """Return the whole body; ``None`` if the request was refused because of its body."""
        presence = request.presence
        presence.attach(request.end_reading)
        try:
            return request.read_body(self._routes().limits.max_body_bytes, timeout_s)
        except BodyTooLargeError:
            refusal = Refusal(413, "the body is longer than the limit")
        except BodyTooSlowError as error:
            refusal = Refusal(408, f"the body is too slow: {error}")
        except BrokenBodyError as error:
            refusal = Refusal(400, f"the body is incomplete or malformed: {error}")
        finally:
            presence.detach()
        if presence.interrupted:
            refusal = STOPPING
        writer.close_after()
        self._refuse(request, writer, refusal)
        return None

    def _wait_for_routes(self) -> RequestRoutes:
        """Return the routes in force; wait a short time for them after a start.

        Waiting is better than refusing, as a caller may retry only once.
        """
        until = boot_clock.now() + STARTING_TIMEOUT_S
        while not (routes := self._routes()).version and boot_clock.now() < until:
            time.sleep(STARTING_CHECK_INTERVAL_S)
        return routes

    # Opaque requests.

    def _forward_within_limits(
        self, request: FrontRequest, route: RequestRoute, caller: Caller, writer: AnswerWriter
    ) -> None:
        """Refuse a request over its tenant's limits immediately; forward any other."""
        tenant = caller.tenant
        if tenant is None or not tenant.limits.any_set:
            self._forward(request, route, caller, writer)
            return
        over_limit = self._limiter.admit(tenant.name, 0)
        if over_limit is not None:
            self._metrics.count_over_limit(tenant.name)
            self._refuse_early(request, writer, over_limit_refusal(over_limit), tenant.name)
            return
        try:
            self._forward(request, route, caller, writer)
        finally:
            self._limiter.release(tenant.name, 0, 0)

    def _forward(
        self, request: FrontRequest, route: RequestRoute, caller: Caller, writer: AnswerWriter
    ) -> None:
        began = boot_clock.now()
        parsed = self._protocol.read_request(request)
        if isinstance(parsed, Malformed):
            self._refuse(request, writer, malformed_refusal(parsed))
            return
        remaining_s = parsed.remaining_s if parsed.remaining_s is not None else DEFAULT_TIMEOUT_S
        if route.timeout_s:
            remaining_s = min(remaining_s, route.timeout_s)
        if not self.drain.may_take(route, remaining_s):
            self._refuse_early(request, writer, STOPPING, caller.tenant_name or "")
            return
        body = self._read_body_or_refuse(request, writer, remaining_s)
        if body is None:
            return
        # The gateway may have begun to stop while the body was read.
        if not self.drain.may_take(route, remaining_s - (boot_clock.now() - began)):
            self._refuse(request, writer, STOPPING, parsed.id, caller)
            return
        forwarded = ForwardedRequest(
            id=parsed.id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=body,
            deadline=Deadline.after(remaining_s),
            prompt=parsed.prompt,
            last_event_id=parsed.last_event_id,
            began_as=parsed.began_as,
            tenant=caller.tenant_name,
            priority=caller.rank(route.priority),
        )
        writer.name_request(parsed.id)
        self._count_body(len(body))
        try:
            result = self._forwarder.forward(
                forwarded, route, writer, request.presence, lambda: self._key_change(caller)
            )
        finally:
            self._count_body(-len(body))
        if isinstance(result, GivenUp | KeyChanged) and not writer.started:
            self._refuse(request, writer, forwarding_refusal(result), parsed.id, caller)
        elif isinstance(result, GivenUp | CallerLeft):
            writer.abort()
        took_s = boot_clock.now() - began
        if isinstance(result, Delivered):
            self.drain.record_duration(route, took_s)
        outcome = _outcome_name(result)
        self._metrics.requests.labels(route.name, outcome).inc()
        self._metrics.answer_s.labels(route.name).observe(took_s)
        log_message(
            "request:ended",
            request_id=parsed.id,
            route=route.name,
            tenant=caller.tenant_name or "",
            configuration=self._routes().version,
            outcome=outcome,
            status=writer.status,
            took_s=round(took_s, 3),
            reason=getattr(result, "reason", ""),
        )

    def _count_body(self, size: int) -> None:
        with self._lock:
            self.body_bytes += size

    def _key_change(self, caller: Caller) -> KeyChanged | None:
        """Return how a caller's key has changed; ``None`` if the caller still holds it."""
        state = key_state(caller, self._routes())
        if state is KeyState.UNCHANGED:
            return None
        return KeyChanged(revoked=state is KeyState.REVOKED)

    # Batch jobs.

    def _submit(
        self, request: FrontRequest, route: RequestRoute, caller: Caller, writer: AnswerWriter
    ) -> None:
        began = boot_clock.now()
        body = self._read_body_or_refuse(request, writer)
        if body is None:
            return
        parsed = self._protocol.read_request(request)
        document = self._protocol.read_job(body)
        if isinstance(parsed, Malformed):
            self._refuse(request, writer, malformed_refusal(parsed))
            return
        if isinstance(document, Malformed):
            self._refuse(request, writer, malformed_refusal(document))
            return
        if not parsed.id:
            self._refuse(request, writer, Refusal(400, "the job has no id"))
            return
        name = caller.job_name(parsed.id)
        job = Job(name, request.host, request.path, document, tenant=caller.tenant_name)
        result = self._jobs.submit(job, route)
        outcome = type(result).__name__
        self._metrics.requests.labels(route.name, outcome).inc()
        self._metrics.answer_s.labels(route.name).observe(boot_clock.now() - began)
        if isinstance(result, Accepted):
            writer.answer(202, (), b"")
        elif isinstance(result, OverQuota):
            self._refuse(request, writer, over_quota_refusal(result), parsed.id, caller)
        elif result.may_run:
            self._refuse(request, writer, Refusal(504, result.reason))
        else:
            self._refuse(request, writer, Refusal(503, result.reason, SHORT_RETRY_AFTER_S))

    def _answer_job_call(
        self, call: JobCall, caller: Caller, request: FrontRequest, writer: AnswerWriter
    ) -> None:
        call = attrs.evolve(call, job_id=caller.job_name(call.job_id))
        handlers = {
            JobOperation.READ_RESULTS: self._read_results,
            JobOperation.READ_BODY: self._read_body,
            JobOperation.END: self._end_job,
        }
        refusal = handlers[call.operation](call, writer)
        self._metrics.requests.labels(call.operation.name, str(writer.status or "refused")).inc()
        if refusal is not None:
            self._refuse(request, writer, refusal)

    def _read_results(self, call: JobCall, writer: AnswerWriter) -> Refusal | None:
        page = self._jobs.read(call.job_id, call.since, call.wait_s)
        if isinstance(page, NoSuchJob | Unsure):
            return job_refusal(page)
        writer.answer(
            200, JSON, self._protocol.write_results(page.total, page.results, page.following)
        )
        return None

    def _read_body(self, call: JobCall, writer: AnswerWriter) -> Refusal | None:
        body = self._jobs.read_body(call.job_id, call.item_id)
        if isinstance(body, NoSuchItem):
            return Refusal(404, "the job has no such item")
        if isinstance(body, NoSuchJob | Unsure):
            return job_refusal(body)
        writer.answer(200, BYTES, body)
        return None

    def _end_job(self, call: JobCall, writer: AnswerWriter) -> Refusal | None:
        result = self._jobs.end(call.job_id)
        if not isinstance(result, Ended):
            return job_refusal(result)
        writer.answer(200, (), b"")
        return None

    def _refuse_early(
        self, request: FrontRequest, writer: AnswerWriter, refusal: Refusal, tenant: str = ""
    ) -> None:
        """Refuse a request before its body is read; a short body is read and dropped."""
        parsed = self._protocol.read_request(request)
        request_id = "" if isinstance(parsed, Malformed) else parsed.id
        request.discard_body(MAX_UNREAD_BODY_BYTES)
        self._write_refusal(request, writer, refusal, request_id, tenant)

    def _refuse(
        self,
        request: FrontRequest,
        writer: AnswerWriter,
        refusal: Refusal,
        request_id: str = "",
        caller: Caller | None = None,
    ) -> None:
        tenant = (caller.tenant_name if caller else None) or ""
        self._write_refusal(request, writer, refusal, request_id, tenant)

    def _write_refusal(
        self,
        request: FrontRequest,
        writer: AnswerWriter,
        refusal: Refusal,
        request_id: str,
        tenant: str,
    ) -> None:
        headers = TEXT + refusal.headers
        if refusal.retry_after_s is not None:
            headers += ((RETRY_AFTER, f"{refusal.retry_after_s:g}"),)
        self._metrics.refusals.labels(str(refusal.status)).inc()
        log_message(
            "request:refused",
            request_id=request_id,
            tenant=tenant,
            method=request.method,
            path=request.path,
            status=refusal.status,
            reason=refusal.message,
            retry_after_s=refusal.retry_after_s,
            in_service=self._in_service,
            outcome=refusal.kind,
        )
        if not request.body_was_read:
            writer.close_after()
        writer.answer(refusal.status, headers, (refusal.message + "\n").encode())


def _outcome_name(result: ForwardingResult) -> str:
    if isinstance(result, Delivered):
        return "delivered"
    if isinstance(result, CallerLeft):
        return "caller-left"
    if isinstance(result, KeyChanged):
        return "key-changed"
    return "unknown" if result.may_have_run else "not-run"
