"""Queues online requests while all engines of their service are full, and dispatches them in order.

An engine serves requests in the order of arrival. Under overload, a queue at the engines would
make every request late. So a request is dispatched at once only while it can still meet its latency
target; requests that are late already wait until a slot is free, so that the backlog after an
outage does not delay new requests. No request is queued past its dispatch deadline, which leaves
enough time to serve it before its caller times out.

If the slot allocator of the engines responds, the requests of all gateways wait in its queue, as it
knows when a slot becomes free. Each request is also queued here: if the allocator does not respond,
it is dispatched by local decisions, and at its dispatch deadline in any case.
"""

from __future__ import annotations

import enum
import itertools
import threading
from collections import OrderedDict, deque
from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.slot_messages import QueueTerms
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.dispatch_order import EngineState, dispatch_order, may_dispatch
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.presence import CallerPresence
from quaymill.request.replica_choice import CannotServeInTime, ChosenReplica
from quaymill.version.request_routes import RequestRoute

PATIENCE_SAMPLES = 256
"""Recent requests kept for each route and tenant; covers a few seconds at peak load."""
MAX_PATIENCE_KINDS = 512
"""Pairs of route and tenant with samples; the least recently used are dropped."""
MIN_PATIENCE_SAMPLES = 8
"""With fewer samples, every request counts as a first attempt."""
FRESH_QUANTILE = 0.75
"""Quantile of the remaining times that is taken as that of a first attempt: retries have less time
left, and few callers start with more."""
SERVICE_TIME_WEIGHT = 0.05
"""Weight of the newest request in the moving average of the service time."""
UNKNOWN_SERVICE_OBJECTIVES = 2.0
"""Service time, as a multiple of the route's objective, that is assumed until the first answer.
Without it, a gateway that starts after an outage would dispatch the whole backlog at once."""
LAST_CALL_FACTOR = 2.0
"""Average service times that remain to the caller's timeout at the dispatch deadline."""
LAST_CALL_MARGIN_S = 0.5
"""Added to that for the network round trip to the caller and one step of the engine."""
HELD_CHECK_S = 0.25
"""How often a queued request rechecks whether it may be dispatched."""
ASK_AGAIN_S = 1.0
"""Interval at which a queued request repeats its slot request: the allocator may have restarted."""
TOLD_HELD_S = 0.05
"""Shorter waits are not logged."""


class Queued(enum.Enum):
    """The request waits in the slot allocator's queue."""

    QUEUED = enum.auto()


QUEUED = Queued.QUEUED

RequestSlot = Callable[
    [str, ForwardedRequest, QueueTerms], Replica | Queued | CannotServeInTime | None
]
"""Requests a slot, or a place in the queue, from the slot allocator; returns ``None`` if it does
not respond or cannot grant a slot."""


class DecidedBy(enum.Enum):
    """Who decided that a queued request is dispatched; the values appear in the log."""

    LINE = "line"
    OWN = "own"
    LAST_CALL = "last call"
    NOBODY = "nobody"


def _no_line(service: str, request: ForwardedRequest, terms: QueueTerms) -> None:
    """Act as if there were no slot allocator."""


@attrs.define(eq=False)
class _Held:
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
    asked_at
        When a slot was last requested from the allocator.
    in_allocator_queue
        Whether it waits in the allocator's queue. The local queue then dispatches it only at its
        dispatch deadline.
    was_in_allocator_queue
        Whether it has ever been there.
    answer
        The replica on which a slot was granted, or the refusal.
    wait_ended
        Set when it is dispatched or refused, or its caller has disconnected.
    """

    came_at: float
    target_at: float
    dispatch_by: float
    rank: int
    age_s: float = 0.0
    ticket: str = ""
    asked_at: float = 0.0
    in_line: bool = False
    lined_up: bool = False
    answer: ChosenReplica | CannotServeInTime | None = None
    decided_by: DecidedBy = DecidedBy.NOBODY
    released: threading.Event = attrs.field(factory=threading.Event)

    def release(
        self, decided_by: DecidedBy, answer: ChosenReplica | CannotServeInTime | None = None
    ) -> None:
        """End its wait; the queue's lock is held."""
        self.decided_by = decided_by
        self.answer = answer
        self.released.set()


class _ServiceQueue:
    """Queued requests and service times of one service; guarded by the lock of ``OnlineQueue``.

    Attributes
    ----------
    service_s
        Moving average of the measured service times; 0 before the first answer.
    first_byte_s
        Time from the start of service to the first byte.
    """

    def __init__(self) -> None:
        self.held: list[_Held] = []
        self.service_s = 0.0
        self.assumed_service_s = 0.0
        self.first_byte_s = 0.0

    @property
    def usual_service_s(self) -> float:
        """Average service time of a request; an assumed one before the first answer."""
        return self.service_s or self.assumed_service_s


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
        ask: RequestSlot = _no_line,
        process_name: str = "",
        give_back: Callable[[ChosenReplica], None] = lambda replica: None,
        depart: Callable[[str, str], None] = lambda service, ticket: None,
    ) -> None:
        self._table = table
        self._ask = ask
        self._process_name = process_name
        self._give_back = give_back
        self._depart = depart
        self._tickets = itertools.count()
        self._held_by_ticket: dict[str, _Held] = {}
        self._lock = threading.Lock()
        self._by_service: dict[str, _ServiceQueue] = {}
        self._patience_by_kind: OrderedDict[tuple[str, str | None], deque[float]] = OrderedDict()

    @property
    def held(self) -> int:
        """Number of requests that wait now."""
        return sum(len(queue.held) for queue in self._by_service.values())

    def wait_for_slot(
        self,
        service: str,
        route: RequestRoute,
        request: ForwardedRequest,
        presence: CallerPresence,
    ) -> ChosenReplica | CannotServeInTime | None:
        """Wait until a request may be dispatched or its caller has disconnected.

        Returns
        -------
        The replica on which the allocator granted a slot, or its refusal; ``None`` if the decision
        was local, so that the caller has to choose a replica.
        """
        now = boot_clock.now()
        with self._lock:
            queue = self._by_service.setdefault(service, _ServiceQueue())
            if not queue.service_s:
                queue.assumed_service_s = UNKNOWN_SERVICE_OBJECTIVES * route.objective_s
            held = self._enter(queue, route, request, now)
            self._held_by_ticket[held.ticket] = held
        try:
            self._ask_keeper(service, queue, held, request)
            with self._lock:
                if held.released.is_set():
                    return held.answer
                if not queue.held and self._may_go(service, queue, held, now, 0):
                    # Ends the wait, so that a late grant of the allocator is not accepted.
                    held.release(DecidedBy.OWN)
                    return None
                queue.held.append(held)
                # It may be dispatched before the others, as these may all be late already.
                self._release(service, queue, now)
            self._hold(service, queue, held, request, presence)
        finally:
            with self._lock:
                del self._held_by_ticket[held.ticket]
                if held in queue.held:
                    queue.held.remove(held)
            if held.lined_up and held.decided_by is not DecidedBy.LINE:
                self._depart(service, held.ticket)
        held_s = boot_clock.now() - now
        if held_s >= TOLD_HELD_S:
            log_message(
                "request:held",
                request_id=request.id,
                service=service,
                held_s=round(held_s, 3),
                late=boot_clock.now() > held.target_at,
                waiting=len(queue.held),
                service_s=round(queue.usual_service_s, 3),
                decided_by=held.decided_by.value,
                rank=held.rank,
                age_s=round(held.age_s, 3),
            )
        return held.answer

    def _hold(
        self,
        service: str,
        queue: _ServiceQueue,
        held: _Held,
        request: ForwardedRequest,
        presence: CallerPresence,
    ) -> None:
        """Wait until a request is dispatched or refused, or its caller has disconnected."""
        presence.attach(held.released.set)
        try:
            while not held.released.wait(HELD_CHECK_S) and not presence.gone:
                if boot_clock.now() - held.asked_at >= ASK_AGAIN_S or not held.in_line:
                    self._ask_keeper(service, queue, held, request)
                self.recheck()
        finally:
            presence.detach()

    def _ask_keeper(
        self, service: str, queue: _ServiceQueue, held: _Held, request: ForwardedRequest
    ) -> None:
        """Request a slot from the allocator, and end the wait if it was granted or refused."""
        answer = self._ask_line(service, queue, held, request)
        if answer is None:
            return
        with self._lock:
            was_released = held.released.is_set()
            if not was_released:
                held.release(DecidedBy.LINE, answer)
        if was_released and not isinstance(answer, CannotServeInTime):
            self._give_back(answer)

    def _ask_line(
        self, service: str, queue: _ServiceQueue, held: _Held, request: ForwardedRequest
    ) -> ChosenReplica | CannotServeInTime | None:
        """Request a slot from the allocator; return ``None`` if the request has to wait."""
        now = boot_clock.now()
        with self._lock:
            held.asked_at = now
            # A grant may arrive before this call returns.
            held.in_line = True
            terms = QueueTerms(
                ticket=held.ticket,
                process=self._process_name,
                tenant=request.tenant,
                rank=held.rank,
                waited_s=now - held.came_at,
                target_in_s=held.target_at - now,
                dispatch_by_s=held.dispatch_by - now,
                left_s=request.deadline.remaining_s(),
                service_s=queue.usual_service_s,
                first_byte_s=queue.first_byte_s,
            )
        answer = self._ask(service, request, terms)
        with self._lock:
            held.in_line = answer is QUEUED
            held.lined_up = held.lined_up or held.in_line
        return None if answer is QUEUED else answer

    def accept_grant(self, ticket: str, replica_id: str) -> bool:
        """Dispatch a request that was granted a slot; return whether the grant is accepted."""
        with self._lock:
            held = self._held_by_ticket.get(ticket)
            if held is None or held.released.is_set():
                return False
            replica = self._table.get(replica_id)
            if replica is None or replica.leaving:
                held.in_line = False
                return False
            held.release(DecidedBy.LINE, replica)
            return True

    def leave_allocator_queue(self) -> None:
        """Dispatch all requests by local decisions, as the allocator does not respond."""
        with self._lock:
            for held in self._held_by_ticket.values():
                held.in_line = False
        self.recheck()

    def give_back(self, replica: ChosenReplica) -> None:
        """Release a slot that was granted and is not used."""
        self._give_back(replica)

    def record(self, service: str, took_s: float, first_byte_s: float) -> None:
        """Record the service times of a request, and dispatch the requests that may go now."""
        with self._lock:
            queue = self._by_service.setdefault(service, _ServiceQueue())
            queue.service_s = _averaged(queue.service_s, took_s)
            queue.first_byte_s = first_byte_s
        self.recheck()

    def recheck(self) -> None:
        """Dispatch the requests that may go now, after loads have changed or time has passed."""
        now = boot_clock.now()
        with self._lock:
            for service, queue in self._by_service.items():
                if queue.held:
                    self._release(service, queue, now)

    def _release(self, service: str, queue: _ServiceQueue, now: float) -> None:
        """Dispatch the requests of one queue that may go now, in dispatch order."""
        first_byte_s = queue.first_byte_s
        ordered = sorted(
            (held for held in queue.held if not held.released.is_set()),
            key=lambda held: dispatch_order(
                held.target_at, held.rank, held.came_at, first_byte_s, now
            ),
        )
        going = 0
        for held in ordered:
            if self._may_go(service, queue, held, now, going):
                going += 1
                queue.held.remove(held)
                last_call = now >= held.dispatch_by
                held.release(DecidedBy.LAST_CALL if last_call else DecidedBy.OWN)

    def _may_go(
        self, service: str, queue: _ServiceQueue, held: _Held, now: float, going: int
    ) -> bool:
        """Return whether a request may be dispatched, after ``dispatched`` others in this pass."""
        if now >= held.dispatch_by:
            return True
        if held.in_line:
            return False
        best = self._least_loaded(service)
        if best is None:
            return True
        engine = EngineState(
            best.load() + going, best.slots, queue.usual_service_s, queue.first_byte_s
        )
        return may_dispatch(engine, held.target_at, now)

    def _least_loaded(self, service: str) -> Replica | None:
        """Return the least loaded healthy replica; ``None`` unless all loads are known."""
        sound = [
            replica
            for replica in self._table.of_service(service)
            if not replica.leaving and not replica.avoided
        ]
        if not sound or not all(replica.has_pool_view for replica in sound):
            return None
        return min(sound, key=Replica.load)

    def _enter(
        self, queue: _ServiceQueue, route: RequestRoute, request: ForwardedRequest, now: float
    ) -> _Held:
        """Return the queue entry of a request, with the estimated age of its first attempt.

        The objective counts from the first attempt of a caller, but requests carry only the time
        that remains to the caller's timeout. A request with less time than a first attempt of the
        same route and tenant is taken as a retry; the difference is its age.
        """
        left_s = request.deadline.remaining_s()
        kind = (route.name, request.tenant)
        samples = self._patience_by_kind.setdefault(kind, deque(maxlen=PATIENCE_SAMPLES))
        self._patience_by_kind.move_to_end(kind)
        if len(self._patience_by_kind) > MAX_PATIENCE_KINDS:
            self._patience_by_kind.popitem(last=False)
        samples.append(left_s)
        age_s = 0.0
        if len(samples) >= MIN_PATIENCE_SAMPLES:
            fresh_s = sorted(samples)[int(FRESH_QUANTILE * (len(samples) - 1))]
            age_s = max(0.0, fresh_s - left_s)
        needs_s = LAST_CALL_FACTOR * queue.usual_service_s + LAST_CALL_MARGIN_S
        target_at = now + route.objective_s - age_s
        ticket = f"{self._process_name}/{next(self._tickets)}"
        return _Held(now, target_at, now + left_s - needs_s, request.priority, age_s, ticket)


def _averaged(average: float, newest: float) -> float:
    return newest if not average else average + SERVICE_TIME_WEIGHT * (newest - average)
