"""Holds online requests while every engine of their service is full, and lets the right one go.

An engine serves in the order of arrival. When more comes than all engines together can serve, a
queue at the engines makes every request late, one after the other. Here a request is let go
while it can still be in time, and those that are late already wait until a slot is free: after an
outage the backlog does not delay what comes fresh. Nothing is held past the time that it
needs to be served before its caller gives up.

Where who keeps room for the engines answers, the requests of all gateways wait in its line, which
knows when a slot comes free; each is held here as well, and goes by what is known here if the
keeper falls silent, and at its last call in any case.
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
"""Requests of a route and tenant by which a fresh one's patience is told: seconds of a peak."""
MAX_PATIENCE_KINDS = 512
"""Routes and tenants whose callers' patience is remembered; those seen last."""
MIN_PATIENCE_SAMPLES = 8
"""With fewer, every request counts as fresh."""
FRESH_QUANTILE = 0.75
"""A fresh caller's patience among all: retries have less, and few callers have more."""
SERVICE_TIME_WEIGHT = 0.05
"""Weight of the newest request in the average: about twenty requests decide."""
UNKNOWN_SERVICE_OBJECTIVES = 2.0
"""Service time, in objectives of the route, while none has been measured: what streams took at
full engines (0.5 to 0.8 s, docs/POLICIES.md) by their objective (0.3 s). The first answer replaces
it; without it a gateway that starts after an outage lets the whole backlog go to the engines."""
LAST_CALL_FACTOR = 2.0
"""A request is let go at the latest when this many usual service times are left of its time."""
LAST_CALL_MARGIN_S = 0.5
"""Beside that: the way to the caller and back, and a step of the engine."""
HELD_CHECK_S = 0.25
"""How often a held request looks after itself; whoever lets it go wakes it sooner."""
ASK_AGAIN_S = 1.0
"""A request that has waited so long in a line asks again: its keeper may have started anew."""
TOLD_HELD_S = 0.05
"""Requests held for less are not worth a line in the log."""


class Queued(enum.Enum):
    """The request has its place in the keeper's line."""

    QUEUED = enum.auto()


QUEUED = Queued.QUEUED

RequestSlot = Callable[
    [str, ForwardedRequest, QueueTerms], Replica | Queued | CannotServeInTime | None
]
"""Asks who keeps room for a place now or in line; ``None`` if it does not answer or has none."""


class DecidedBy(enum.Enum):
    """Who let a held request go."""

    LINE = "line"
    OWN = "own"
    LAST_CALL = "last call"
    NOBODY = "nobody"


def _no_line(service: str, request: ForwardedRequest, terms: QueueTerms) -> None:
    """Stand for: there is no line."""


@attrs.define(eq=False)
class _Held:
    """A request that waits for its turn.

    Attributes
    ----------
    came_at
        Monotonic time.
    target_at
        When its first event is late.
    dispatch_by
        When it is let go in any case.
    rank
        0 goes first.
    age_s
        For how long its caller has tried before.
    ticket
        Names it in the keeper's line.
    asked_at
        When it asked the keeper last; monotonic.
    in_line
        Whether it waits in the keeper's line: then it goes by itself at its last call only.
    lined_up
        Whether it ever had a place there.
    answer
        What its turn came with.
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
        """Let it go; the queue's lock is held."""
        self.decided_by = decided_by
        self.answer = answer
        self.released.set()


class _ServiceQueue:
    """What waits for one service, and how long it serves a request; guarded by the queue's lock."""

    def __init__(self) -> None:
        self.held: list[_Held] = []
        self.service_s = 0.0
        self.assumed_service_s = 0.0
        self.first_byte_s = 0.0

    @property
    def usual_service_s(self) -> float:
        """How long a request is served: measured, or assumed before the first answer."""
        return self.service_s or self.assumed_service_s


class OnlineQueue:
    """The queues of one gateway; safe to use from any thread.

    Services whose engines' loads are not known from their keeper have no queue.

    Parameters
    ----------
    ask
        Puts a request to who keeps room for its engines.
    process_name
        Of this start of the gateway.
    give_back
        Hears of a place that was given and is not used.
    depart
        Hears of a request, by its service and ticket, that waits in the keeper's line no more.
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
        """Requests that are held now."""
        return sum(len(queue.held) for queue in self._by_service.values())

    def wait_for_slot(
        self,
        service: str,
        route: RequestRoute,
        request: ForwardedRequest,
        presence: CallerPresence,
    ) -> ChosenReplica | CannotServeInTime | None:
        """Return when a request may go to a replica, or its caller has left.

        Returns the replica that it got from the keeper's line, if it waited there.
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
                    # A keeper that answered too late may give it a turn yet.
                    held.release(DecidedBy.OWN)
                    return None
                queue.held.append(held)
                # It may go before those that are held: they may all be late already.
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
        """Wait until a request is let go, or its caller has left."""
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
        """Ask the keeper, and let the request go if it need not wait in line."""
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
        """Ask the keeper; ``None`` if the request waits, in its line or else here."""
        now = boot_clock.now()
        with self._lock:
            held.asked_at = now
            # Turns may come before this call returns.
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
        """Let a request go whose turn in the keeper's line has come; returns whether it goes."""
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
        """Let what waits in the keeper's line go by what is known here: the keeper is silent."""
        with self._lock:
            for held in self._held_by_ticket.values():
                held.in_line = False
        self.recheck()

    def give_back(self, replica: ChosenReplica) -> None:
        """Note that a place which came with a turn is not used."""
        self._give_back(replica)

    def record(self, service: str, took_s: float, first_byte_s: float) -> None:
        """Note how long a replica served a request, and look who may go now."""
        with self._lock:
            queue = self._by_service.setdefault(service, _ServiceQueue())
            queue.service_s = _averaged(queue.service_s, took_s)
            queue.first_byte_s = first_byte_s
        self.recheck()

    def recheck(self) -> None:
        """Let go whoever may go now: loads have changed, or time has passed."""
        now = boot_clock.now()
        with self._lock:
            for service, queue in self._by_service.items():
                if queue.held:
                    self._release(service, queue, now)

    def _release(self, service: str, queue: _ServiceQueue, now: float) -> None:
        """Let go from one queue whatever may go, in the order of turns."""
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
        """Return whether a request may go, with ``going`` others let go just now."""
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
        """Return the least loaded sound replica; ``None`` unless all loads are known."""
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
        """Tell how old a request is from what is left of its caller's patience.

        Callers tell how long they wait yet, and the objective counts from their first attempt:
        who has less patience than a fresh caller of the route has tried before. Tenants' callers
        are compared among themselves: they need not be alike.
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
