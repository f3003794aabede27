"""Holds online requests while every engine of their service is full, and lets the right one go.

An engine serves in the order of arrival. When more comes than all engines together can serve, a
queue at the engines makes every request late, one after the other. Here a request is let go
while it can still be in time, and those that are late already wait until a slot is free: after an
outage the backlog does not delay what comes fresh. Nothing is held past the time that it
needs to be served before its caller gives up.
"""

from __future__ import annotations

import threading
from collections import deque

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.presence import CallerPresence
from quaymill.request.turns import EngineState, may_go, turn_order
from quaymill.version.request_routes import RequestRoute

PATIENCE_SAMPLES = 256
"""Requests of a route by which the patience of a fresh one is told: some seconds of a peak."""
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
TOLD_HELD_S = 0.05
"""Requests held for less are not worth a line in the log."""


@attrs.define(eq=False)
class _Held:
    """A request that waits for its turn.

    Attributes
    ----------
    came_at
        Monotonic time.
    aim_at
        When its first event is late.
    last_call_at
        When it is let go in any case.
    rank
        0 goes first.
    """

    came_at: float
    aim_at: float
    last_call_at: float
    rank: int
    released: threading.Event = attrs.field(factory=threading.Event)


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
    """

    def __init__(self, table: ReplicaTable) -> None:
        self._table = table
        self._lock = threading.Lock()
        self._by_service: dict[str, _ServiceQueue] = {}
        self._patience_by_route: dict[str, deque[float]] = {}

    @property
    def held(self) -> int:
        """Requests that are held now."""
        return sum(len(queue.held) for queue in self._by_service.values())

    def wait_turn(
        self,
        service: str,
        route: RequestRoute,
        request: ForwardedRequest,
        presence: CallerPresence,
    ) -> None:
        """Return when a request may go to a replica, or its caller has left."""
        now = boot_clock.now()
        with self._lock:
            queue = self._by_service.setdefault(service, _ServiceQueue())
            if not queue.service_s:
                queue.assumed_service_s = UNKNOWN_SERVICE_OBJECTIVES * route.objective_s
            held = self._enter(queue, route, request, now)
            if not queue.held and self._may_go(service, queue, held, now, 0):
                return
            queue.held.append(held)
            # It may go before those that are held: they may all be late already.
            self._release(service, queue, now)
        presence.attach(held.released.set)
        try:
            while not held.released.wait(HELD_CHECK_S) and not presence.gone:
                self.look_again()
        finally:
            presence.detach()
            with self._lock:
                if held in queue.held:
                    queue.held.remove(held)
        held_s = boot_clock.now() - now
        if held_s >= TOLD_HELD_S:
            log_message(
                "request:held",
                request_id=request.id,
                service=service,
                held_s=round(held_s, 3),
                late=boot_clock.now() > held.aim_at,
                waiting=len(queue.held),
                service_s=round(queue.usual_service_s, 3),
            )

    def record(self, service: str, took_s: float, first_byte_s: float) -> None:
        """Note how long a replica served a request, and look who may go now."""
        with self._lock:
            queue = self._by_service.setdefault(service, _ServiceQueue())
            queue.service_s = _averaged(queue.service_s, took_s)
            queue.first_byte_s = first_byte_s
        self.look_again()

    def look_again(self) -> None:
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
            queue.held,
            key=lambda held: turn_order(held.aim_at, held.rank, held.came_at, first_byte_s, now),
        )
        going = 0
        for held in ordered:
            if self._may_go(service, queue, held, now, going):
                going += 1
                queue.held.remove(held)
                held.released.set()

    def _may_go(
        self, service: str, queue: _ServiceQueue, held: _Held, now: float, going: int
    ) -> bool:
        """Return whether a request may go, with ``going`` others let go just now."""
        if now >= held.last_call_at:
            return True
        best = self._least_loaded(service)
        if best is None:
            return True
        engine = EngineState(
            best.load() + going, best.slots, queue.usual_service_s, queue.first_byte_s
        )
        return may_go(engine, held.aim_at, now)

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
        who has less patience than a fresh caller of the route has tried before.
        """
        left_s = request.deadline.remaining_s()
        samples = self._patience_by_route.setdefault(route.name, deque(maxlen=PATIENCE_SAMPLES))
        samples.append(left_s)
        age_s = 0.0
        if len(samples) >= MIN_PATIENCE_SAMPLES:
            fresh_s = sorted(samples)[int(FRESH_QUANTILE * (len(samples) - 1))]
            age_s = max(0.0, fresh_s - left_s)
        needs_s = LAST_CALL_FACTOR * queue.usual_service_s + LAST_CALL_MARGIN_S
        aim_at = now + route.objective_s - age_s
        return _Held(now, aim_at, now + left_s - needs_s, request.priority)


def _averaged(average: float, newest: float) -> float:
    return newest if not average else average + SERVICE_TIME_WEIGHT * (newest - average)
