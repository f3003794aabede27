"""Answers callers: opaque requests go to replicas, batch jobs to the job service."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.process.front.caller_protocol import (
    CallerProtocol,
    JobCall,
    JobOperation,
    Malformed,
)
from quaymill.process.front.http_server import (
    AnswerWriter,
    BodyTooLargeError,
    BrokenBodyError,
    FrontRequest,
)
from quaymill.process.front.metrics import FrontMetrics
from quaymill.process.jobs.job_lookup import NoSuchJob, Unsure
from quaymill.process.jobs.route_quota import OverQuota
from quaymill.process.jobs.service import Accepted, Ended, JobService, NoSuchItem
from quaymill.request.deadline import Deadline
from quaymill.request.forwarded_request import ForwardedRequest, Headers
from quaymill.request.forwarding import Forwarder
from quaymill.request.forwarding_result import CallerLeft, Delivered, GivenUp
from quaymill.version.request_routes import RequestRoute, RequestRoutes, RouteKind

TEXT: Headers = (("Content-Type", "text/plain; charset=utf-8"),)
JSON: Headers = (("Content-Type", "application/json"),)
BYTES: Headers = (("Content-Type", "application/octet-stream"),)
RETRY_AFTER = "Retry-After"
SHORT_RETRY_AFTER_S = 0.3
STARTING_RETRY_AFTER_S = 0.5
STARTING_PATIENCE_S = 1.0
"""How long a request waits for the first configuration: a read of the store takes a tenth of it."""
STARTING_CHECK_S = 0.02
"""Time between two looks for it."""
DEFAULT_PATIENCE_S = 60.0


@attrs.frozen
class Refusal:
    """An answer of our own.

    Attributes
    ----------
    retry_after_s
        When to come back; only where the request has not run.
    """

    status: int
    message: str
    retry_after_s: float | None = None


class FrontService:
    """Handles every request at the callers' address.

    Parameters
    ----------
    routes
        Returns the routes in force; version 0 while none is known.
    admission_limit
        Requests in service at once; below the server's threads.
    """

    def __init__(
        self,
        protocol: CallerProtocol,
        routes: Callable[[], RequestRoutes],
        forwarder: Forwarder,
        jobs: JobService,
        metrics: FrontMetrics,
        admission_limit: int,
    ) -> None:
        self._protocol = protocol
        self._routes = routes
        self._forwarder = forwarder
        self._jobs = jobs
        self._metrics = metrics
        self._admission_limit = admission_limit
        self._lock = threading.Lock()
        self._in_service = 0
        self.draining = False

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
            if self.draining:
                writer.close_after()
            if full:
                self._refuse(
                    request, writer, Refusal(503, "this node is full", SHORT_RETRY_AFTER_S)
                )
            else:
                self._answer(request, writer)
        finally:
            with self._lock:
                self._in_service -= 1

    def _answer(self, request: FrontRequest, writer: AnswerWriter) -> None:
        routes = self._wait_for_routes()
        if not routes.version:
            refusal = Refusal(503, "no configuration is known yet", STARTING_RETRY_AFTER_S)
            self._refuse(request, writer, refusal)
            return
        call = self._protocol.find_job_call(request)
        if isinstance(call, Malformed):
            self._refuse(request, writer, _malformed(call))
            return
        route = routes.find(request.host, request.path)
        if call is not None and route is None:
            self._answer_job_call(call, request, writer)
            return
        if route is None:
            self._refuse(request, writer, Refusal(404, "no route leads to this path"))
            return
        try:
            body = request.read_body(routes.limits.max_body_bytes)
        except BodyTooLargeError:
            writer.close_after()
            self._refuse(request, writer, Refusal(413, "the body is longer than the limit"))
            return
        except BrokenBodyError as error:
            writer.close_after()
            self._refuse(request, writer, Refusal(400, f"the body is not whole: {error}"))
            return
        if route.kind is RouteKind.BATCH:
            self._submit(request, route, body, writer)
        else:
            self._forward(request, route, body, writer)

    def _wait_for_routes(self) -> RequestRoutes:
        """Return the routes in force; a gateway that has just started knows them in a moment.

        To wait is better than to refuse: a caller who is told to come back may do so once only.
        """
        until = boot_clock.now() + STARTING_PATIENCE_S
        while not (routes := self._routes()).version and boot_clock.now() < until:
            time.sleep(STARTING_CHECK_S)
        return routes

    # Opaque requests.

    def _forward(
        self, request: FrontRequest, route: RequestRoute, body: bytes, writer: AnswerWriter
    ) -> None:
        began = boot_clock.now()
        read = self._protocol.read_request(request)
        if isinstance(read, Malformed):
            self._refuse(request, writer, _malformed(read))
            return
        patience_s = read.patience_s if read.patience_s is not None else DEFAULT_PATIENCE_S
        if route.timeout_s:
            patience_s = min(patience_s, route.timeout_s)
        forwarded = ForwardedRequest(
            id=read.id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=body,
            deadline=Deadline.after(patience_s),
            prompt=read.prompt,
            last_event_id=read.last_event_id,
        )
        result = self._forwarder.forward(forwarded, route, writer, request.presence)
        if isinstance(result, GivenUp) and not writer.started:
            self._refuse(request, writer, _give_up(result), read.id)
        elif isinstance(result, GivenUp | CallerLeft):
            writer.break_off()
        took_s = boot_clock.now() - began
        outcome = _outcome_name(result)
        self._metrics.requests.labels(route.name, outcome).inc()
        self._metrics.answer_s.labels(route.name).observe(took_s)
        log_message(
            "request:ended",
            request_id=read.id,
            route=route.name,
            configuration=self._routes().version,
            outcome=outcome,
            status=writer.status,
            took_s=round(took_s, 3),
            reason=getattr(result, "reason", ""),
        )

    # Batch jobs.

    def _submit(
        self, request: FrontRequest, route: RequestRoute, body: bytes, writer: AnswerWriter
    ) -> None:
        began = boot_clock.now()
        read = self._protocol.read_request(request)
        document = self._protocol.read_job(body)
        if isinstance(read, Malformed):
            self._refuse(request, writer, _malformed(read))
            return
        if isinstance(document, Malformed):
            self._refuse(request, writer, _malformed(document))
            return
        if not read.id:
            self._refuse(request, writer, Refusal(400, "the job has no id"))
            return
        result = self._jobs.submit(read.id, request.host, request.path, document, route)
        outcome = type(result).__name__
        self._metrics.requests.labels(route.name, outcome).inc()
        self._metrics.answer_s.labels(route.name).observe(boot_clock.now() - began)
        if isinstance(result, Accepted):
            writer.answer(202, (), b"")
        elif isinstance(result, OverQuota):
            self._refuse(request, writer, _over_quota(result), read.id)
        elif result.may_run:
            self._refuse(request, writer, Refusal(504, result.reason))
        else:
            self._refuse(request, writer, Refusal(503, result.reason, SHORT_RETRY_AFTER_S))

    def _answer_job_call(self, call: JobCall, request: FrontRequest, writer: AnswerWriter) -> None:
        answer_of = {
            JobOperation.READ_RESULTS: self._read_results,
            JobOperation.READ_BODY: self._read_body,
            JobOperation.END: self._end_job,
        }
        refusal = answer_of[call.operation](call, writer)
        self._metrics.requests.labels(call.operation.name, str(writer.status or "refused")).inc()
        if refusal is not None:
            self._refuse(request, writer, refusal)

    def _read_results(self, call: JobCall, writer: AnswerWriter) -> Refusal | None:
        page = self._jobs.read(call.job_id, call.since, call.wait_s)
        if isinstance(page, NoSuchJob | Unsure):
            return _job_refusal(page)
        writer.answer(
            200, JSON, self._protocol.write_results(page.total, page.results, page.following)
        )
        return None

    def _read_body(self, call: JobCall, writer: AnswerWriter) -> Refusal | None:
        body = self._jobs.read_body(call.job_id, call.item_id)
        if isinstance(body, NoSuchItem):
            return Refusal(404, "the job has no such item")
        if isinstance(body, NoSuchJob | Unsure):
            return _job_refusal(body)
        writer.answer(200, BYTES, body)
        return None

    def _end_job(self, call: JobCall, writer: AnswerWriter) -> Refusal | None:
        result = self._jobs.end(call.job_id)
        if not isinstance(result, Ended):
            return _job_refusal(result)
        writer.answer(200, (), b"")
        return None

    def _refuse(
        self, request: FrontRequest, writer: AnswerWriter, refusal: Refusal, request_id: str = ""
    ) -> None:
        headers = TEXT
        if refusal.retry_after_s is not None:
            headers += ((RETRY_AFTER, f"{refusal.retry_after_s:g}"),)
        self._metrics.refusals.labels(str(refusal.status)).inc()
        log_message(
            "request:refused",
            request_id=request_id,
            method=request.method,
            path=request.path,
            status=refusal.status,
            reason=refusal.message,
            in_service=self._in_service,
        )
        if not request.body_was_read:
            writer.close_after()
        writer.answer(refusal.status, headers, (refusal.message + "\n").encode())


def _malformed(malformed: Malformed) -> Refusal:
    return Refusal(400, f"{malformed.reason}; {malformed.remedy}")


def _give_up(result: GivenUp) -> Refusal:
    if result.may_have_run:
        return Refusal(504 if result.timed_out else 502, result.reason)
    if result.retry_after_s is not None:
        return Refusal(503, result.reason, round(result.retry_after_s, 1))
    return Refusal(503, result.reason, SHORT_RETRY_AFTER_S)


def _over_quota(result: OverQuota) -> Refusal:
    message = (
        f"the route's batch jobs hold {result.held_tokens} of {result.quota} tokens;"
        " send the job again once items have ended"
    )
    return Refusal(429, message, round(result.retry_after_s, 2))


def _job_refusal(result: NoSuchJob | Unsure) -> Refusal:
    if isinstance(result, NoSuchJob):
        return Refusal(404, "there is no such job")
    return Refusal(503, result.reason, SHORT_RETRY_AFTER_S)


def _outcome_name(result: Delivered | CallerLeft | GivenUp) -> str:
    if isinstance(result, Delivered):
        return "delivered"
    if isinstance(result, CallerLeft):
        return "caller-left"
    return "unknown" if result.may_have_run else "not-run"
