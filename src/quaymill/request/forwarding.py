"""Sends one opaque request to replicas until one has answered, and relays the answer.

Another replica is tried after a "not executed" refusal or a failed connection. After any other
failure, another replica is tried only if the route is repeatable and its maximum number of attempts
has not been reached. If no replica succeeds, the caller receives the last error answer of
a replica if there is one. If an answer has been started and cannot be completed, the caller's
connection is closed without the end mark.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.replica_answer import AnswerHead, BodyFraming
from quaymill.connection.replica_connection import (
    SEND_TIMEOUT_S,
    Exchange,
    ReplicaConnections,
    ReplicaRequest,
)
from quaymill.request.answer_relay import AnswerRelay, AnswerWriter, release_connection
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.forwarding_result import (
    AttemptResult,
    Broken,
    CallerLeft,
    Delivered,
    ForwardingResult,
    GivenUp,
    KeyChanged,
    NotSent,
    Refused,
    broken_attempt,
)
from quaymill.request.outcome import NotRun, OutcomeUnknown
from quaymill.request.poison import NoGuard, PoisonGuard
from quaymill.request.presence import CallerPresence
from quaymill.request.replica_choice import (
    CannotServeInTime,
    ChosenReplica,
    DispatchQueue,
    NoDispatchQueue,
    NoObserver,
    NoReplica,
    NoVersionLookup,
    ReplicaChooser,
    RequestObserver,
    StreamVersionLookup,
)
from quaymill.version.request_routes import RequestRoute, RouteKind

STOPPING_REASON = "this gateway is stopping"
MAX_REFUSALS = 8
"""Number of "not executed" answers and failed connections after which the request is given up."""
MAX_ERROR_BYTES = 64 * 1024
"""Maximum size of an error answer that is kept while another replica is tried."""
ERROR_BODY_TIMEOUT_S = 0.1
"""Timeout for the body of an error answer; short, since the next attempt waits for it."""
MAX_IDLE_NOT_REPEATABLE_S = 5.0
"""Maximum idle time of a connection that is reused for a request that cannot be repeated.

Shorter than ``MAX_IDLE_S``, since the replica may close an idle connection while the request is
being sent."""
MAX_IDLE_S = 20.0
MIN_WAIT_INTERVAL_S = 0.25
"""Minimum interval at which a request for which only cold replicas are left waits for a slot."""
FIRST_EVENT_TIMEOUT_S = 2.0
"""Timeout for the first byte of a stream, if another replica may be tried."""
SILENCE_TIMEOUT_S = 0.6
"""Time to wait for a replica that sends nothing at all, if another replica may be tried."""
SILENCE_CHECK_INTERVAL_S = 0.1
MIN_SEND_TIMEOUT_S = 1.0
"""Minimum time that a replica has to read a request, if another replica may be tried."""
MIN_SEND_BYTES_PER_S = 1024 * 1024
"""Assumed throughput of the slowest gateway links, for sending large requests."""
UNREACHABLE_WEIGHT = 2.0
"""Weight of a failed connection in the replica's failure count; an ordinary failure counts 1."""
FIRST_BYTE_TIMEOUT_FACTOR = 8.0
"""Timeout for the first byte, if another replica may be tried, as a multiple of the usual time."""
MIN_FIRST_BYTE_TIMEOUT_S = 0.5


@attrs.frozen
class ReplicaProtocol:
    """Builds the requests to replicas and reads the heads of their answers.

    Attributes
    ----------
    build_request
        Called with the caller's request, the replica's id, the remaining time in seconds, and the
        id of the event after which the answer is resumed.
    """

    build_request: Callable[[ForwardedRequest, str, float, str | None], ReplicaRequest]
    read_answer_head: Callable[[Exchange], AnswerHead]


class Forwarder:
    """Forwards requests for one process."""

    def __init__(
        self,
        router: ReplicaChooser,
        connections: ReplicaConnections,
        protocol: ReplicaProtocol,
        observer: RequestObserver | None = None,
        dispatch_queue: DispatchQueue | None = None,
        guard: PoisonGuard | None = None,
        stream_versions: StreamVersionLookup | None = None,
    ) -> None:
        self.router = router
        self.connections = connections
        self.protocol = protocol
        self.observer = observer or NoObserver()
        self.dispatch_queue = dispatch_queue or NoDispatchQueue()
        self.guard = guard or NoGuard()
        self.stream_versions = stream_versions or NoVersionLookup()

    def forward(
        self,
        request: ForwardedRequest,
        route: RequestRoute,
        answer: AnswerWriter,
        presence: CallerPresence,
        key_change: Callable[[], KeyChanged | None] = lambda: None,
    ) -> ForwardingResult:
        """Forward one request and relay its answer.

        If the result is ``GivenUp`` or ``KeyChanged`` and ``answer`` has not been started, the
        calling code must answer the caller.

        Parameters
        ----------
        key_change
            Returns a ``KeyChanged`` if the request's API key has been revoked or assigned to
            another tenant since the request was accepted, else ``None``.

        Raises
        ------
        OSError
            The caller's connection failed while the answer was being written.
        """
        return _Forwarding(self, request, route, answer, presence, key_change).run()


@attrs.frozen
class _ReplicaError:
    """A complete error answer, kept while another replica is tried."""

    head: AnswerHead
    body: bytes
    replica_id: str


class _Forwarding:
    """The state of one request that is being forwarded."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: ForwardedRequest,
        route: RequestRoute,
        answer: AnswerWriter,
        presence: CallerPresence,
        key_change: Callable[[], KeyChanged | None],
    ) -> None:
        self._router = forwarder.router
        self._connections = forwarder.connections
        self._protocol = forwarder.protocol
        self._observer = forwarder.observer
        self._dispatch_queue = forwarder.dispatch_queue
        self._guard = forwarder.guard
        self._request = request
        self._identity = request.identity
        self._begun = False
        self._route = route
        self._answer = answer
        self._presence = presence
        self._key_change = key_change
        self._service = self._router.choose_service(route)
        self._stream_versions = forwarder.stream_versions
        self._relay = AnswerRelay(
            request,
            route,
            answer,
            self._may_try_another,
            lambda version: self._stream_versions.record_begun(request.id, version),
        )
        self._tried_ids: set[str] = set()
        self._lacking_grant: set[str] = set()
        self._waited_at = 0.0
        self._refusals = 0
        self._possible_runs = 0
        self._kept_error: _ReplicaError | None = None
        self._framing: BodyFraming | None = None
        self._exchange: Exchange | None = None
        self._replica_id = ""
        self._has_alternative: bool | None = None

    def run(self) -> ForwardingResult:
        if (ended := self._result_without_attempt()) is not None:
            return ended
        resumes = self._route.resumable and self._request.last_event_id is not None
        if resumes and (refusal := self._find_stream_version()) is not None:
            return refusal
        granted = self._wait_for_slot()
        if isinstance(granted, CannotServeInTime):
            return self._give_up(granted.reason, retry_after_s=granted.retry_after_s)
        return self._try_replicas(granted)

    def _find_stream_version(self) -> GivenUp | None:
        """Find the version of a stream that the caller takes up, or return why it cannot go on."""
        version = self._stream_versions.version_of(self._request, self._service)
        if version is None or version.name is None:
            return GivenUp("the software version that began the stream is not known", False)
        serving = {part.service for part in self._route.serving_services}
        if version.service not in serving:
            return GivenUp("the service that began the stream no longer serves the route", False)
        self._service = version.service
        self._relay.version = version
        self._request = attrs.evolve(self._request, stream_version=version)
        if not self._router.serves_version(version):
            return GivenUp(f"no replica of software version {version.name!r} is left", False)
        return None

    def _wait_for_slot(self) -> ChosenReplica | CannotServeInTime | None:
        """Wait until the request may be dispatched; return the granted replica or the refusal."""
        self._waited_at = boot_clock.now()
        granted = self._dispatch_queue.wait_for_slot(
            self._service, self._route, self._request, self._presence
        )
        if granted is None or isinstance(granted, CannotServeInTime):
            return granted
        if granted.id in self._tried_ids:
            self._dispatch_queue.release_slot(granted)
            return None
        return granted

    def _may_wait_again(self, result: NoReplica) -> bool:
        """Return whether to wait for a grant, as the replicas that are left may be used with one.

        Pauses if the last wait has just begun, as it may have ended at once.
        """
        lacks_grant = result.lacks_grant or (self._lacking_grant and result.retry_after_s is None)
        if not lacks_grant or not self._dispatch_queue.may_wait(self._service, self._request):
            return False
        ended = threading.Event()
        self._presence.attach(ended.set)
        ended.wait(max(0.0, self._waited_at + MIN_WAIT_INTERVAL_S - boot_clock.now()))
        self._presence.detach()
        return not self._presence.interrupted

    def _try_replicas(self, granted: ChosenReplica | None) -> ForwardingResult:
        """Try one replica after another, beginning with ``granted`` if the slot grant named one."""
        while True:
            if (ended := self._result_without_attempt()) is not None:
                if granted is not None:
                    self._dispatch_queue.release_slot(granted)
                return ended
            replica = granted or self._router.choose(
                self._service,
                self._request.prompt,
                self._tried_ids | self._lacking_grant | self._other_versions(),
            )
            granted = None
            if isinstance(replica, NoReplica):
                if not self._may_wait_again(replica):
                    return self._give_up_without_replica(replica)
                self._lacking_grant.clear()
                waited = self._wait_for_slot()
                if isinstance(waited, CannotServeInTime):
                    return self._give_up(waited.reason, retry_after_s=waited.retry_after_s)
                granted = waited
                continue
            ended = self._result_of_attempt(replica, self._attempt(replica))
            if ended is not None:
                return ended

    def _other_versions(self) -> frozenset[str]:
        """Return the ids of the replicas whose software version may not go on with the stream."""
        version = self._relay.version
        if version is None:
            return frozenset()
        return self._router.ids_of_other_versions(self._service, version)

    def _give_up_without_replica(self, result: NoReplica) -> GivenUp | Delivered:
        reason = result.reason
        if self._relay.version is not None:
            reason += f"; the stream began at software version {self._relay.version.name!r}"
        return self._give_up(reason, retry_after_s=result.retry_after_s)

    def _result_of_attempt(
        self, replica: ChosenReplica, result: AttemptResult
    ) -> ForwardingResult | None:
        """Return the final result if an attempt was the last one, else ``None``."""
        if isinstance(result, Delivered | CallerLeft):
            return result
        if isinstance(result, NotSent) and result.lacks_grant:
            self._lacking_grant.add(replica.id)
            return None
        self._tried_ids.add(replica.id)
        if isinstance(result, NotSent):
            return None
        if isinstance(result, Refused):
            self._refusals += 1
            return self._give_up(result.reason) if self._refusals >= MAX_REFUSALS else None
        self._possible_runs += 1
        if self._request.deadline.passed():
            return self._give_up(result.reason, timed_out=True)
        if not self._route.repeatable or self._possible_runs >= self._route.max_attempts:
            return self._give_up(result.reason)
        return None

    def _result_without_attempt(self) -> ForwardingResult | None:
        """Return the final result if no further attempt may be made, else ``None``."""
        if self._presence.gone:
            return CallerLeft()
        if self._presence.interrupted:
            return self._give_up(STOPPING_REASON, retry_after_s=0.0)
        if self._request.deadline.passed():
            return self._give_up("the request's deadline has passed", timed_out=True)
        barred_s = self._guard.barred_for_s(self._identity)
        if barred_s > 0:
            return self._give_up(
                "replicas crashed while running this request", retry_after_s=barred_s
            )
        # A request that may have run already is continued even if its key has changed.
        return None if self._possible_runs else self._key_change()

    def _give_up(
        self, reason: str, timed_out: bool = False, retry_after_s: float | None = None
    ) -> GivenUp | Delivered:
        """End without a success; abort a started answer, or deliver the kept error answer."""
        if self._answer.started:
            self._answer.abort()
        elif self._kept_error is not None:
            error = self._kept_error
            self._answer.start(
                error.head.status, error.head.reason, error.head.headers, len(error.body)
            )
            self._answer.write(error.body)
            return Delivered(error.head.status, error.replica_id)
        return GivenUp(reason, self._possible_runs > 0, timed_out, retry_after_s)

    def _attempt(self, replica: ChosenReplica) -> AttemptResult:
        resumed_after = self._relay.last_event_id
        load = replica.load()
        slowness = replica.slowness()
        report_age_s = replica.report_age_s()
        began = boot_clock.now()
        self._framing = None
        self._exchange = None
        self._replica_id = replica.id
        self._has_alternative = None
        replica.begin()
        self._observer.began(replica)
        try:
            result = self._send(replica, began)
        finally:
            self._presence.detach()
            replica.end()
            self._observer.ended(replica)
        if self._presence.gone and not isinstance(result, Delivered):
            result = CallerLeft()
        took_s = boot_clock.now() - began
        self._begun = self._relay.last_event_id != resumed_after
        if self._presence.interrupted and isinstance(result, Broken):
            # This process has cancelled the attempt; the replica is not to blame.
            result = Broken(STOPPING_REASON)
        else:
            self._record_result(replica, result, took_s)
        log_message(
            "request:attempt",
            request_id=self._request.id,
            content=self._identity.content,
            replica=replica.id,
            service=self._service,
            load=round(load, 1),
            load_age_s=round(min(report_age_s, 999.0), 2),
            slowness=round(slowness, 2),
            version=replica.entry.version,
            resumed_after=resumed_after,
            began_as=self._request.began_as,
            took_s=round(took_s, 3),
            outcome=type(result).__name__,
            reason=getattr(result, "reason", ""),
            connection_closed=getattr(result, "connection_closed", False),
            framing=self._framing.value if self._framing else "",
            connection=self._exchange.lease.connection_number if self._exchange else 0,
            exchange=self._exchange.lease.number if self._exchange else 0,
            inside_event=self._relay.inside_event,
        )
        return result

    def _record_result(self, replica: ChosenReplica, result: AttemptResult, took_s: float) -> None:
        """Record the result of an attempt with the replica, the dispatch queue and the guard."""
        if self._begun or (isinstance(result, Delivered) and result.status < 500):
            self._guard.record_begun(self._identity)
        if isinstance(result, Broken):
            replica.record_failure()
            if result.connection_closed:
                self._record_connection_closed(replica)
        elif isinstance(result, Delivered):
            self._dispatch_queue.record(self._service, took_s, replica.first_byte_s)
            if result.status < 500:
                self._guard.record_served(self._identity)

    def _record_connection_closed(self, replica: ChosenReplica) -> None:
        entry = replica.entry
        self._guard.handle_early_close(
            self._identity, entry.incarnation, entry.address, begun=self._begun
        )

    def _send(self, replica: ChosenReplica, began: float) -> AttemptResult:
        # Checked again here, as a choice or a slot grant may be older than the replica's state.
        if reason := _reason_not_to_send(replica):
            return NotSent(reason)
        if self._relay.version and not self._relay.version.may_resume_at(replica.entry):
            return NotSent("the replica has another software version than the stream")
        if not replica.take_permit():
            return NotSent("the replica is cold, and no grant for it is left", lacks_grant=True)
        remaining_s = self._request.deadline.remaining_s()
        message = self._protocol.build_request(
            self._request, replica.id, remaining_s, self._relay.last_event_id
        )
        repeatable = self._route.repeatable
        exchange = self._connections.send(
            replica.entry.address,
            message,
            max_idle_s=MAX_IDLE_S if repeatable else MAX_IDLE_NOT_REPEATABLE_S,
            send_timeout_s=self._send_timeout_s(len(message.body)),
            may_send=lambda: not _reason_not_to_send(replica),
        )
        if isinstance(exchange, NotRun) and (reason := _reason_not_to_send(replica)):
            return NotSent(reason)
        if isinstance(exchange, NotRun):
            replica.record_failure(UNREACHABLE_WEIGHT)
            return Refused(exchange.reason)
        if isinstance(exchange, OutcomeUnknown):
            return broken_attempt(exchange)
        self._exchange = exchange
        self._presence.attach(exchange.cancel)
        broken = self._wait_for_first_byte(exchange, replica, began)
        if broken is not None:
            return broken
        replica.begin_answer()
        try:
            return self._read_answer(exchange, replica, began)
        finally:
            replica.end_answer()

    def _send_timeout_s(self, size: int) -> float:
        """Return the maximum time for sending a request with a body of ``size`` bytes."""
        if not self._may_try_another():
            return SEND_TIMEOUT_S
        return min(SEND_TIMEOUT_S, MIN_SEND_TIMEOUT_S + size / MIN_SEND_BYTES_PER_S)

    def _read_answer(
        self, exchange: Exchange, replica: ChosenReplica, began: float
    ) -> AttemptResult:
        failure = exchange.read_head(max(0.05, self._request.deadline.remaining_s()))
        if failure is not None:
            return broken_attempt(failure)
        replica.record_received()
        head = self._protocol.read_answer_head(exchange)
        self._framing = head.framing
        return self._handle_answer(exchange, replica, head, began)

    def _wait_for_first_byte(
        self, exchange: Exchange, replica: ChosenReplica, began: float
    ) -> Broken | None:
        """Wait for the first byte of the answer; return ``None`` once it has arrived.

        The wait ends early for a replica that is unreachable or sends nothing, if another may be
        tried.
        """
        may_try_another = self._may_try_another()
        timeout_s = self._request.deadline.remaining_s()
        if may_try_another:
            timeout_s = min(timeout_s, self._first_byte_timeout_s(replica))
        give_up_at = boot_clock.now() + timeout_s
        while (left_s := give_up_at - boot_clock.now()) > 0:
            if exchange.wait_readable(min(left_s, SILENCE_CHECK_INTERVAL_S)):
                return None
            if may_try_another and self._is_unreachable_with_alternative(replica):
                exchange.abandon_unresponsive()
                return Broken("the replica's zone is unreachable")
            if may_try_another and replica.silent and boot_clock.now() - began > SILENCE_TIMEOUT_S:
                break
        exchange.abandon_unresponsive()
        return Broken(f"the replica sent nothing for {boot_clock.now() - began:.2f} s")

    def _is_unreachable_with_alternative(self, replica: ChosenReplica) -> bool:
        """Return whether the replica is unreachable while another replica may be reachable."""
        if not replica.unreachable:
            return False
        untried = self._tried_ids | {replica.id} | self._other_versions()
        return self._router.may_reach_another(self._service, untried)

    def _may_try_another(self) -> bool:
        if not self._route.repeatable or self._possible_runs + 1 >= self._route.max_attempts:
            return False
        if self._relay.version is None:
            return True
        # Determined once for each attempt, since it is asked for each block of a stream.
        if self._has_alternative is None:
            excluded = self._tried_ids | {self._replica_id} | self._other_versions()
            self._has_alternative = self._router.may_reach_another(self._service, excluded)
        return self._has_alternative

    def _first_byte_timeout_s(self, replica: ChosenReplica) -> float:
        if self._route.kind is RouteKind.STREAMING:
            return FIRST_EVENT_TIMEOUT_S
        usual_s = max(replica.first_byte_s, self._route.objective_s / 2)
        return max(MIN_FIRST_BYTE_TIMEOUT_S, FIRST_BYTE_TIMEOUT_FACTOR * usual_s)

    def _handle_answer(
        self, exchange: Exchange, replica: ChosenReplica, head: AnswerHead, began: float
    ) -> AttemptResult:
        if not head.is_answer_to(self._request.id):
            exchange.abandon()
            return Broken(f"the answer's request id does not match: {head.request_id or 'no id'}")
        if head.load is not None:
            replica.record_report(head.load)
        if head.not_executed:
            return self._handle_refusal(exchange, replica, head)
        replica.record_cold_left(head.cold_left_s)
        if head.status >= 500 and self._may_try_another():
            self._keep_error(exchange, replica, head)
            return Broken(f"the replica answered {head.status}")
        if head.status < 500:
            replica.record_success(boot_clock.now() - began)
        return self._relay.relay_answer(exchange, replica, head)

    def _keep_error(self, exchange: Exchange, replica: ChosenReplica, head: AnswerHead) -> None:
        """Read a complete error answer, to deliver it if the other replicas fail as well."""
        wait_s = min(ERROR_BODY_TIMEOUT_S, self._request.deadline.remaining_s())
        body = exchange.read_body(MAX_ERROR_BYTES, boot_clock.now() + wait_s)
        if isinstance(body, OutcomeUnknown):
            return
        self._kept_error = _ReplicaError(head, body, replica.id)
        release_connection(exchange, replica, head)

    def _handle_refusal(
        self, exchange: Exchange, replica: ChosenReplica, head: AnswerHead
    ) -> AttemptResult:
        if head.misdirected:
            replica.misdirected = True
            log_message("replica:misdirected", replica=replica.id)
        else:
            replica.record_cold_left(head.cold_left_s)
        exchange.abandon()
        return Refused(f"the replica answered {head.status} and did not run the request")


def _reason_not_to_send(replica: ChosenReplica) -> str:
    """Return why nothing may be sent to a chosen replica any more; empty if it may."""
    if replica.evacuated:
        return "the replica's zone is evacuated"
    return "the replica is draining" if replica.entry.draining else ""
