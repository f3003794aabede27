"""Queues online requests while all engines of their service are full, and dispatches them in order.

An engine serves requests in the order of arrival. Under overload, a queue at the engines would
make every request late. So a request is dispatched at once only if a slot is free, or if it would
still meet its latency target after waiting at the engine. All others are queued here until a slot
is free, so that the backlog after an outage does not delay new requests. No request is queued past
its dispatch deadline, which leaves enough time to serve it before its caller times out.

If the slot allocator of the engines responds, the requests of all gateways wait in its queue, as it
knows when a slot becomes free. Each request is also queued here: if the allocator does not respond,
it is dispatched by local decisions, and at its dispatch deadline in any case.
"""

from __future__ import annotations

import enum
import itertools
import threading
from collections import OrderedDict, deque
from collections.abc import Callable, Collection

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.slot_messages import QueueTerms
from quaymill.process.replica_set.replica import Replica, best_group, own_region_first
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.dispatch_order import EngineState, dispatch_order, may_dispatch
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.presence import CallerPresence
from quaymill.request.replica_choice import CannotServeInTime, ChosenReplica
from quaymill.request.stream_version import StreamVersion
from quaymill.version.request_routes import RequestRoute

REMAINING_TIME_SAMPLES = 256
"""Recent requests kept for each route and tenant; covers a few seconds at peak load."""
MAX_REMAINING_TIME_KEYS = 512
"""Pairs of route and tenant with samples; the least recently used are dropped."""
MIN_REMAINING_TIME_SAMPLES = 8
"""With fewer samples, every request counts as a first attempt."""
FIRST_ATTEMPT_QUANTILE = 0.75
"""Quantile of the recent remaining times that a first attempt is assumed to have: retries have less
time left, and few callers start with more."""
SERVICE_TIME_WEIGHT = 0.05
"""Weight of the newest request in the moving average of the service time."""
ASSUMED_SERVICE_OBJECTIVES = 2.0
"""Service time, as a multiple of the route's objective, that is assumed until the first answer.
Streams took 0.5 to 0.8 s at full engines, with an objective of 0.3 s. Without it, a gateway that
starts after an outage would dispatch the whole backlog at once."""
DISPATCH_DEADLINE_SERVICE_TIMES = 2.0
"""Time from the dispatch deadline to the caller's timeout, as a multiple of the average service
time."""
DISPATCH_DEADLINE_MARGIN_S = 0.5
"""Further time between the dispatch deadline and the caller's timeout: covers the network round
trip to the caller and one step of the engine."""
RECHECK_INTERVAL_S = 0.25
"""How often a queued request rechecks whether it may be dispatched."""
SLOT_REQUEST_INTERVAL_S = 1.0
"""Interval at which a request in the allocator's queue repeats its slot request, as the allocator
may have restarted. Other requests repeat it at each recheck."""
MIN_LOGGED_WAIT_S = 0.05
"""Shorter waits are not logged."""


class Queued(enum.Enum):
    """The request waits in the slot allocator's queue."""

    QUEUED = enum.auto()


QUEUED = Queued.QUEUED

RequestSlot = Callable[
    [str, ForwardedRequest, QueueTerms], Replica | Queued | CannotServeInTime | None
]
"""Requests a slot from the slot allocator. Returns the replica with the granted slot,
``QUEUED`` or the refusal; ``None`` if the allocator was not asked, did not respond or chose no
usable replica."""


class DecidedBy(enum.Enum):
    """Who decided that a queued request is dispatched; the values appear in the log."""

    ALLOCATOR = "line"
    LOCAL = "own"
    DISPATCH_DEADLINE = "last call"
    UNDECIDED = "nobody"


def _no_allocator(service: str, request: ForwardedRequest, terms: QueueTerms) -> None:
    """Return ``None``, as there is no slot allocator."""


@attrs.define(eq=False)
class _QueuedRequest:
    """A request that waits to be dispatched. All times are monotonic.

    Attributes
    ----------
    arrived_at
        When it was queued.
    target_at
        Latency target: after this time its first event is late.
    dispatch_by
        Dispatch deadline: when it is dispatched in any case.
    rank
        Priority; 0 is dispatched first.
    age_s
        Estimated time since the first attempt of its caller.
    ticket
        Identifies it in the allocator's queue.
    version
        Software version of the stream that it resumes; ``None`` for any.
    slot_requested_at
        When a slot was last requested from the allocator.
    in_allocator_queue
        Whether it waits in the allocator's queue, or a slot request for it is being sent. The local
        queue then dispatches it only at its dispatch deadline.
    was_in_allocator_queue
        Whether it has ever been there.
    queued_after_end
        Whether an allocator queued it after another region's allocator had granted a slot.
    answer
        The replica on which a slot was granted, or the refusal.
    wait_ended
        Set when it is dispatched or refused, or its caller is gone or the wait is interrupted.
    """

    arrived_at: float
    target_at: float
    dispatch_by: float
    rank: int
    age_s: float = 0.0
    ticket: str = ""
    version: StreamVersion | None = None
    slot_requested_at: float = 0.0
    in_allocator_queue: bool = False
    was_in_allocator_queue: bool = False
    queued_after_end: bool = False
    answer: ChosenReplica | CannotServeInTime | None = None
    decided_by: DecidedBy = DecidedBy.UNDECIDED
    wait_ended: threading.Event = attrs.field(factory=threading.Event)

    def end_wait(
        self, decided_by: DecidedBy, answer: ChosenReplica | CannotServeInTime | None = None
    ) -> None:
        """End its wait; the queue's lock is held."""
        self.decided_by = decided_by
        self.answer = answer
        self.wait_ended.set()


class _ServiceQueue:
    """Queued requests and service times of one service; guarded by the lock of ``OnlineQueue``.

    Attributes
    ----------
    service_s
        Moving average of the measured service times; 0 before the first answer.
    first_byte_s
        Smoothed time to the first byte, of the replica that completed an answer last.
    """

    def __init__(self) -> None:
        self.requests: list[_QueuedRequest] = []
        self.service_s = 0.0
        self.assumed_service_s = 0.0
        self.first_byte_s = 0.0

    @property
    def usual_service_s(self) -> float:
        """Average service time of a request; an assumed one before the first answer."""
        return self.service_s or self.assumed_service_s

    @property
    def reserved_s(self) -> float:
        """Time from the dispatch deadline of a request to its caller's timeout."""
        service_times_s = DISPATCH_DEADLINE_SERVICE_TIMES * self.usual_service_s
        return service_times_s + DISPATCH_DEADLINE_MARGIN_S


class OnlineQueue:
    """The queues of one gateway, one for each service; safe to use from any thread.

    Local decisions need recent loads of all healthy replicas from the slot allocator; without them
    every request is dispatched at once.

    Parameters
    ----------
    request_slot
        Requests a slot from the slot allocator.
    process_name
        Name of this gateway process; differs after a restart.
    release_slot
        Called with a replica whose granted slot is not used.
    on_left_queue
        Called with the service and ticket of a request that leaves the allocator's queue before
        the allocator has granted or refused it a slot.
    """

    def __init__(
        self,
        table: ReplicaTable,
        request_slot: RequestSlot = _no_allocator,
        process_name: str = "",
        release_slot: Callable[[ChosenReplica], None] = lambda replica: None,
        on_left_queue: Callable[[str, str], None] = lambda service, ticket: None,
    ) -> None:
        self._table = table
        self._request_slot = request_slot
        self._process_name = process_name
        self._release_slot = release_slot
        self._on_left_queue = on_left_queue
        self._tickets = itertools.count()
        self._queued_by_ticket: dict[str, _QueuedRequest] = {}
        self._lock = threading.Lock()
        self._queues_by_service: dict[str, _ServiceQueue] = {}
        self._remaining_times_by_key: OrderedDict[tuple[str, str | None], deque[float]] = (
            OrderedDict()
        )

    @property
    def waiting_requests(self) -> int:
        """Number of requests that wait now."""
        return sum(len(queue.requests) for queue in self._queues_by_service.values())

    def wait_for_slot(
        self,
        service: str,
        route: RequestRoute,
        request: ForwardedRequest,
        presence: CallerPresence,
    ) -> ChosenReplica | CannotServeInTime | None:
        """Wait until a request may be dispatched, or ``presence`` is gone or interrupted.

        Returns
        -------
        The replica on which the allocator granted a slot, or its refusal; ``None`` if the request
        was dispatched without a slot, or the wait ended for one of the other reasons.
        """
        now = boot_clock.now()
        with self._lock:
            queue = self._queues_by_service.setdefault(service, _ServiceQueue())
            if not queue.service_s:
                queue.assumed_service_s = ASSUMED_SERVICE_OBJECTIVES * route.objective_s
            queued = self._create_queued_request(queue, route, request, now)
            self._queued_by_ticket[queued.ticket] = queued
        try:
            self._try_get_slot(service, queue, queued, request)
            with self._lock:
                if queued.wait_ended.is_set():
                    return queued.answer
                if not queue.requests and self._may_dispatch_now(service, queue, queued, now, 0):
                    # Ends the wait, so that a late grant of the allocator is not accepted.
                    queued.end_wait(DecidedBy.LOCAL)
                    return None
                queue.requests.append(queued)
                # It may be dispatched before the others, as these may all be late already.
                self._dispatch_ready(service, queue, now)
            self._wait(service, queue, queued, request, presence)
        finally:
            with self._lock:
                del self._queued_by_ticket[queued.ticket]
                if queued in queue.requests:
                    queue.requests.remove(queued)
            was_granted = queued.decided_by is DecidedBy.ALLOCATOR
            if queued.was_in_allocator_queue and (not was_granted or queued.queued_after_end):
                self._on_left_queue(service, queued.ticket)
        held_s = boot_clock.now() - now
        if held_s >= MIN_LOGGED_WAIT_S:
            log_message(
                "request:held",
                request_id=request.id,
                service=service,
                held_s=round(held_s, 3),
                late=boot_clock.now() > queued.target_at,
                waiting=len(queue.requests),
                service_s=round(queue.usual_service_s, 3),
                decided_by=queued.decided_by.value,
                rank=queued.rank,
                age_s=round(queued.age_s, 3),
            )
        return queued.answer

    def may_wait(self, service: str, request: ForwardedRequest) -> bool:
        """Return whether a request's dispatch deadline has not passed yet."""
        queue = self._queues_by_service.get(service)
        return queue is not None and request.deadline.remaining_s() > queue.reserved_s

    def _wait(
        self,
        service: str,
        queue: _ServiceQueue,
        queued: _QueuedRequest,
        request: ForwardedRequest,
        presence: CallerPresence,
    ) -> None:
        """Wait until a request is dispatched or refused, or its caller has disconnected."""
        presence.attach(queued.wait_ended.set)
        try:
            while not queued.wait_ended.wait(RECHECK_INTERVAL_S) and not presence.gone:
                if (
                    boot_clock.now() - queued.slot_requested_at >= SLOT_REQUEST_INTERVAL_S
                    or not queued.in_allocator_queue
                ):
                    self._try_get_slot(service, queue, queued, request)
                self.recheck()
        finally:
            presence.detach()

    def _try_get_slot(
        self, service: str, queue: _ServiceQueue, queued: _QueuedRequest, request: ForwardedRequest
    ) -> None:
        """Request a slot from the allocator, and end the wait if it was granted or refused."""
        answer = self._send_slot_request(service, queue, queued, request)
        if answer is None:
            return
        with self._lock:
            had_ended = queued.wait_ended.is_set()
            if not had_ended:
                queued.end_wait(DecidedBy.ALLOCATOR, answer)
        if had_ended and not isinstance(answer, CannotServeInTime):
            self._release_slot(answer)

    def _send_slot_request(
        self, service: str, queue: _ServiceQueue, queued: _QueuedRequest, request: ForwardedRequest
    ) -> ChosenReplica | CannotServeInTime | None:
        """Request a slot from the allocator; return ``None`` if the request has to wait."""
        now = boot_clock.now()
        with self._lock:
            queued.slot_requested_at = now
            # Prevents a local dispatch during the call, as the allocator may grant a slot then.
            queued.in_allocator_queue = True
            terms = QueueTerms(
                ticket=queued.ticket,
                process=self._process_name,
                tenant=request.tenant,
                rank=queued.rank,
                waited_s=now - queued.arrived_at,
                target_in_s=queued.target_at - now,
                dispatch_by_s=queued.dispatch_by - now,
                left_s=request.deadline.remaining_s(),
                service_s=queue.usual_service_s,
                first_byte_s=queue.first_byte_s,
            )
        answer = self._request_slot(service, request, terms)
        with self._lock:
            queued.in_allocator_queue = answer is QUEUED
            # The granting allocator removes it from its own queue, but not from another region's.
            queued.queued_after_end = (
                queued.in_allocator_queue
                and queued.wait_ended.is_set()
                and self._table.has_several_regions
            )
            queued.was_in_allocator_queue = (
                queued.was_in_allocator_queue or queued.in_allocator_queue
            )
        return None if answer is QUEUED else answer

    def accept_grant(self, ticket: str, replica_id: str) -> bool:
        """Dispatch a request that was granted a slot; return whether the grant is accepted."""
        with self._lock:
            queued = self._queued_by_ticket.get(ticket)
            if queued is None or queued.wait_ended.is_set():
                return False
            replica = self._table.get(replica_id)
            if (
                replica is None
                or replica.leaving
                or replica.lacks_permit
                or (queued.version and not queued.version.may_resume_at(replica.entry))
            ):
                queued.in_allocator_queue = False
                return False
            queued.end_wait(DecidedBy.ALLOCATOR, replica)
            return True

    def leave_allocator_queue(self, tickets: Collection[str] | None = None) -> None:
        """Decide locally on queued requests from now on: the allocator does not respond.

        Parameters
        ----------
        tickets
            The requests that wait in the queue of that allocator; ``None`` for all.
        """
        with self._lock:
            for ticket, queued in self._queued_by_ticket.items():
                if tickets is None or ticket in tickets:
                    queued.in_allocator_queue = False
        self.recheck()

    def release_slot(self, replica: ChosenReplica) -> None:
        """Release a slot that was granted and is not used."""
        self._release_slot(replica)

    def record(self, service: str, took_s: float, first_byte_s: float) -> None:
        """Record the times of a request, and dispatch the requests that may be dispatched now."""
        with self._lock:
            queue = self._queues_by_service.setdefault(service, _ServiceQueue())
            queue.service_s = _moving_average(queue.service_s, took_s)
            queue.first_byte_s = first_byte_s
        self.recheck()

    def service_s(self, service: str) -> float:
        """Return the usual service time of a service in seconds; 0 before the first request."""
        queue = self._queues_by_service.get(service)
        return 0.0 if queue is None else queue.usual_service_s

    def recheck(self) -> None:
        """Dispatch what may be dispatched now, after loads have changed or time has passed."""
        now = boot_clock.now()
        with self._lock:
            for service, queue in self._queues_by_service.items():
                if queue.requests:
                    self._dispatch_ready(service, queue, now)

    def _dispatch_ready(self, service: str, queue: _ServiceQueue, now: float) -> None:
        """Dispatch the requests of one queue that may be dispatched now, in dispatch order."""
        first_byte_s = queue.first_byte_s
        if self._table.is_evacuated(service):
            # No slot will be granted, so all are dispatched now and refused by the router.
            for queued in queue.requests:
                queued.in_allocator_queue = False
        ordered = sorted(
            (queued for queued in queue.requests if not queued.wait_ended.is_set()),
            key=lambda queued: dispatch_order(
                queued.target_at, queued.rank, queued.arrived_at, first_byte_s, now
            ),
        )
        dispatched = 0
        for queued in ordered:
            if self._may_dispatch_now(service, queue, queued, now, dispatched):
                dispatched += 1
                queue.requests.remove(queued)
                deadline_passed = now >= queued.dispatch_by
                queued.end_wait(DecidedBy.DISPATCH_DEADLINE if deadline_passed else DecidedBy.LOCAL)

    def _may_dispatch_now(
        self,
        service: str,
        queue: _ServiceQueue,
        queued: _QueuedRequest,
        now: float,
        dispatched: int,
    ) -> bool:
        """Return whether a request may be dispatched, after ``dispatched`` others in this pass."""
        if now >= queued.dispatch_by:
            return True
        if queued.version and not self._table.serves_version(queued.version):
            return True  # The router refuses it at once.
        if queued.in_allocator_queue:
            return False
        best = self._least_loaded(service)
        if best is None:
            return not self._needs_grant(service)
        engine = EngineState(
            best.load() + dispatched, best.slots, queue.usual_service_s, queue.first_byte_s
        )
        return may_dispatch(engine, queued.target_at, now)

    def _least_loaded(self, service: str) -> Replica | None:
        """Return the least loaded healthy replica; ``None`` without one or if a load is unknown.

        Those of the own region are considered first: the loads of others are rarely known. Cold
        replicas are left out: only the allocator may grant requests to them.
        """
        healthy = [
            replica
            for replica in self._table.of_service(service)
            if not replica.leaving and not replica.avoided and not replica.cold
        ]
        nearby = own_region_first(healthy)
        if not nearby or not all(replica.has_pool_view for replica in nearby):
            return None
        return min(nearby, key=Replica.load)

    def _needs_grant(self, service: str) -> bool:
        """Return whether only cold replicas can be used, for which the allocator must be asked.

        Those that get no grants are no reason to wait: the router refuses the request at once.
        """
        replicas = self._table.of_service(service)
        usable = best_group(replica for replica in replicas if not replica.leaving)
        if not usable or all(replica.gets_no_grants for replica in usable):
            return False
        return all(replica.cold for replica in usable)

    def _create_queued_request(
        self, queue: _ServiceQueue, route: RequestRoute, request: ForwardedRequest, now: float
    ) -> _QueuedRequest:
        """Return the queue entry of a request, with the estimated age of its first attempt.

        The objective counts from the first attempt of a caller, but requests carry only the time
        that remains to the caller's timeout. A request with less time than a first attempt of the
        same route and tenant is taken as a retry; the difference is its age.
        """
        left_s = request.deadline.remaining_s()
        sample_key = (route.name, request.tenant)
        samples = self._remaining_times_by_key.setdefault(
            sample_key, deque(maxlen=REMAINING_TIME_SAMPLES)
        )
        self._remaining_times_by_key.move_to_end(sample_key)
        if len(self._remaining_times_by_key) > MAX_REMAINING_TIME_KEYS:
            self._remaining_times_by_key.popitem(last=False)
        samples.append(left_s)
        age_s = 0.0
        if len(samples) >= MIN_REMAINING_TIME_SAMPLES:
            first_attempt_s = sorted(samples)[int(FIRST_ATTEMPT_QUANTILE * (len(samples) - 1))]
            age_s = max(0.0, first_attempt_s - left_s)
        target_at = now + route.objective_s - age_s
        ticket = f"{self._process_name}/{next(self._tickets)}"
        return _QueuedRequest(
            now,
            target_at,
            now + left_s - queue.reserved_s,
            request.priority,
            age_s,
            ticket,
            request.stream_version,
        )


def _moving_average(average: float, newest: float) -> float:
    return newest if not average else average + SERVICE_TIME_WEIGHT * (newest - average)
