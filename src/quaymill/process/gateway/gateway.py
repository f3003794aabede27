"""The gateway of a node: takes callers' requests and hands them to their handlers."""

from __future__ import annotations

import re
import secrets
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, Any

from eliot import log_message, start_action

from quaymill import boot_clock
from quaymill.connection.application_client import ApplicationClient
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.engine_client import EngineClient
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.gateway.at_most_once import AtMostOnceCalls
from quaymill.process.gateway.authentication import Authenticator
from quaymill.process.gateway.body import BrokenBodyError, RequestBody
from quaymill.process.gateway.caller_watch import CallerWatch
from quaymill.process.gateway.completions import Completions
from quaymill.process.gateway.health import Health
from quaymill.process.gateway.http import (
    REQUEST_ID_HEADER,
    Request,
    Response,
    Route,
    RouteTable,
    failure_response,
)
from quaymill.process.gateway.metrics import GatewayMetrics
from quaymill.process.gateway.server import HTTP_REQUEST_KEY, HttpServer
from quaymill.process.gateway.services import Services
from quaymill.process.limits.limiter import TenantLimiter
from quaymill.process.replicas.load_view import LoadView
from quaymill.process.replicas.notifier import PreemptionNotifier
from quaymill.process.replicas.router import Router
from quaymill.process.settings import NodeSettings
from quaymill.request.admission import Admission
from quaymill.request.outcome import Failed, NotRun
from quaymill.request.presence import CallerGoneError, CallerPresence
from quaymill.request.retry_budget import RetryBudget
from quaymill.request.service_queue import ServiceQueues

if TYPE_CHECKING:
    from quaymill.process.job_store.client import JobStoreClient
    from quaymill.process.membership.membership import Membership

REQUEST_ID_BYTES = 8
DRAIN_GRACE_S = 0.5
CALLER_GONE_STATUS = 499
MACHINE_LIST_TIMEOUT_S = 3.0
"""How long after its start a node waits for machines that the platform lists late."""
_VALID_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,100}")


class Gateway:
    """Serves callers over HTTP.

    States: new -> serving (``start``) -> draining (``begin_drain``) -> stopped (``stop``).
    While draining, requests that still arrive are served, each answer tells its caller to
    close the connection, and readiness is off.

    Parameters
    ----------
    status_document
        Makes the answer of ``/status``.
    """

    def __init__(
        self,
        settings: NodeSettings,
        holder: ConfigurationHolder,
        load_view: LoadView,
        router: Router,
        limiter: TenantLimiter,
        membership: Membership,
        job_store_client: JobStoreClient,
        peer_client: PeerClient,
        peer_server: PeerServer,
        link_filter: LinkFilter | None = None,
        status_document: Callable[[], Any] | None = None,
    ) -> None:
        links = link_filter or LinkFilter()
        max_body_bytes = settings.gateway.max_body_bytes
        budget = RetryBudget()
        service_queues = ServiceQueues(settings.gateway.queue_limit)
        self.routes = RouteTable()
        self.metrics = GatewayMetrics()
        self.admission = Admission(settings.gateway.admission_limit)
        self._authenticator = Authenticator(holder)
        self._engine_client = EngineClient(links)
        self._application_client = ApplicationClient(links)
        self._notifier = PreemptionNotifier(load_view, peer_client)
        self._watch = CallerWatch()
        self._load_view = load_view
        self._created_at = boot_clock.now()
        self._draining = False
        self.at_most_once = AtMostOnceCalls(
            settings.name, job_store_client, membership, peer_client, peer_server
        )
        Completions(
            holder,
            router,
            limiter,
            self._engine_client,
            self._notifier,
            budget,
            service_queues,
            max_body_bytes,
        ).register_routes(self.routes)
        Services(
            holder,
            router,
            limiter,
            self._application_client,
            self.at_most_once,
            budget,
            service_queues,
            max_body_bytes,
        ).register_routes(self.routes)
        Health(
            holder,
            self.metrics,
            lambda: self._draining,
            status_document or dict,
            self._machines_known,
        ).register_routes(self.routes)
        self._server = HttpServer(settings.http_endpoint, self._answer, settings.gateway.threads)
        self._thread: threading.Thread | None = None

    @property
    def endpoint(self) -> Endpoint:
        """Where the gateway listens; with the real port if the settings gave 0."""
        host, port = self._server.bind_addr
        return Endpoint(host, port)

    def start(self) -> None:
        """Listen, then serve on threads of its own."""
        self._watch.start()
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="gateway", daemon=True)
        self._thread.start()

    def _machines_known(self) -> bool:
        """Return whether requests find replicas of the machine list.

        The platform's list is late, so that the first lists may lack replicas that run already.
        A list that really has none delays readiness by ``MACHINE_LIST_TIMEOUT_S`` at most.
        """
        if self._load_view.all_replicas():
            return True
        has_waited = boot_clock.now() - self._created_at > MACHINE_LIST_TIMEOUT_S
        return has_waited and self._load_view.machines_known

    def begin_drain(self) -> None:
        """Turn readiness off and ask callers to go elsewhere; requests are still served."""
        self._draining = True

    def drain(self, timeout_s: float) -> bool:
        """Wait until no request is in service; return whether that came true in time."""
        self.begin_drain()
        deadline = boot_clock.now() + timeout_s
        # Callers that have just read a ready answer may still send; they are let in first.
        time.sleep(min(DRAIN_GRACE_S, timeout_s))
        return self.admission.wait_until_idle(max(0.0, deadline - boot_clock.now()))

    def stop(self) -> None:
        """Close the listener and all connections; call ``drain`` before, to cut nothing."""
        self._draining = True
        # The server waits for its threads, so what they wait for is cancelled first.
        self._watch.stop()
        self._server.stop()
        self._notifier.stop()
        self._engine_client.close()
        self._application_client.close()

    def _answer(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request; the WSGI application."""
        arrived_at = boot_clock.now()
        http_request = environ[HTTP_REQUEST_KEY]
        connection = http_request.conn.socket
        request = _request(environ, self._watch.watch(connection))
        answer = self._route_safely(request, arrived_at)
        response = answer.response
        keep = not self._draining and response.status != CALLER_GONE_STATUS
        if not keep or not request.body.discard_rest():
            http_request.close_connection = True
        self.metrics.requests.labels(answer.route, str(response.status)).inc()
        if response.status in (429, 503):
            self.metrics.refusals.labels(str(response.status)).inc()
        headers = {**response.headers, REQUEST_ID_HEADER: request.request_id}
        if isinstance(response.body, bytes):
            headers["Content-Length"] = str(len(response.body))
        start_response(response.status_line, list(headers.items()))
        self.metrics.first_byte_s.labels(answer.route).observe(boot_clock.now() - arrived_at)
        return _Body(answer, self._watch, connection)

    def _route_safely(self, request: Request, arrived_at: float) -> _Answer:
        try:
            return self._route(request, arrived_at)
        except CallerGoneError:
            return _Answer(Response(CALLER_GONE_STATUS), lambda: None, "gone")
        except BrokenBodyError as error:
            refusal = NotRun(400, f"the body is not whole: {error}", "send the request again")
            return _Answer(failure_response(refusal), lambda: None, "broken")
        except Exception as error:  # A bug in one handler must not end the server's thread.
            log_message("gateway:handler_error", request_id=request.request_id, error=repr(error))
            return _Answer(failure_response(_internal_error()), lambda: None, "error")

    def _route(self, request: Request, arrived_at: float) -> _Answer:
        found = self.routes.find(request.method, request.path)
        if isinstance(found, NotRun):
            return _Answer(failure_response(found), lambda: None, "none")
        route, request.parameters = found
        if route.authenticated:
            tenant = self._authenticator.tenant_of(request.headers.get("authorization", ""))
            if isinstance(tenant, NotRun):
                return _Answer(failure_response(tenant), lambda: None, route.pattern)
            request.tenant = tenant
        if not route.admitted:
            return _Answer(route.handler(request), lambda: None, route.pattern)
        return self._admit(request, route, arrived_at)

    def _admit(self, request: Request, route: Route, arrived_at: float) -> _Answer:
        refusal = self.admission.enter()
        if refusal is not None:
            return _Answer(failure_response(refusal), lambda: None, route.pattern)
        response: Response | None = None
        try:
            with start_action(
                action_type="gateway:request",
                request_id=request.request_id,
                tenant=request.tenant,
                method=request.method,
                path=request.path,
            ) as action:
                response = route.handler(request)
                action.add_success_fields(status=response.status)
        finally:
            if response is None:
                self.admission.leave(arrived_at)
        return _Answer(response, lambda: self.admission.leave(arrived_at), route.pattern)


class _Answer:
    """A response, and what ends its request."""

    def __init__(self, response: Response, ended: Callable[[], None], route: str) -> None:
        self.response = response
        self.ended = ended
        self.route = route


class _Body:
    """The body as WSGI sends it; ``close`` ends the request, also when the caller left."""

    def __init__(self, answer: _Answer, watch: CallerWatch, connection: socket.socket) -> None:
        self._answer = answer
        self._watch = watch
        self._connection = connection

    def __iter__(self) -> Iterator[bytes]:
        body = self._answer.response.body
        return iter((body,)) if isinstance(body, bytes) else iter(body)

    def close(self) -> None:
        self._watch.unwatch(self._connection)
        body = self._answer.response.body
        try:
            if hasattr(body, "close"):
                body.close()
        finally:
            self._answer.ended()


def _request(environ: dict, presence: CallerPresence) -> Request:
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    headers["content-type"] = environ.get("CONTENT_TYPE", "")
    length = None if environ["wsgi.input_terminated"] else int(environ.get("CONTENT_LENGTH") or 0)
    given_id = headers.get(REQUEST_ID_HEADER.lower(), "")
    if not _VALID_REQUEST_ID.fullmatch(given_id):
        given_id = f"req-{secrets.token_hex(REQUEST_ID_BYTES)}"
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        headers=headers,
        body=RequestBody(environ["wsgi.input"], length),
        content_length=length,
        query=environ["QUERY_STRING"],
        request_id=given_id,
        presence=presence,
    )


def _internal_error() -> Failed:
    return Failed(500, "the node failed at the request", "see the log for the request's id")
