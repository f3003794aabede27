"""Simulates bursts of online requests in virtual time, to test the dispatch order.

An engine serves as many requests at once as it has slots, and the rest in the order of arrival.
With ``BurstPlayer``, requests are queued at their gateways, which know the engines' loads as of
their last placement or report, up to 0.25 s ago. With ``PoolQueuePlayer``, they are queued at the
slot allocator, which knows the loads as soon as gateways report them. Which requests are
dispatched is decided by the product's functions, or by others given for comparison.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import attrs

from quaymill.connection.slot_messages import PlaceOnline, QueueTerms
from quaymill.process.jobs.pool_queue import PoolQueue, QueuedRequest
from quaymill.request.dispatch_order import EngineState, dispatch_order, may_dispatch

MayDispatch = Callable[[EngineState, float, float], bool]
Order = Callable[[float, int, float, float, float, float], tuple[bool, int, float, float]]
REPORT_INTERVAL_S = 0.25
PLACEMENT_S = 0.003
COMPLETION_MESSAGE_S = 0.003
GRANT_MESSAGE_S = 0.003
FIRST_BYTE_S = 0.02
DISPATCH_DEADLINE_S = 3.5
MAX_DRAIN_S = 8.0


@attrs.frozen
class Burst:
    """A load with a burst of 2.4 s in every 6 s.

    Attributes
    ----------
    high_per_s, low_per_s
        Requests per second in and between bursts.
    service_s
        Mean service time; the standard deviation is a quarter of it.
    tenants
        Number of tenants, with equal shares of the load; 0 for none.
    flood_per_s
        Additional requests per second of the first tenant during bursts.
    """

    high_per_s: float = 430.0
    low_per_s: float = 88.0
    service_s: float = 0.8
    objective_s: float = 0.3
    gateways: int = 50
    engines: int = 45
    slots: int = 6
    length_s: float = 30.0
    tenants: int = 0
    flood_per_s: float = 0.0


@attrs.define
class BurstOutcome:
    """Latencies to the first event in seconds, and counts of late requests.

    Attributes
    ----------
    flood, late_of_flood
        All and late requests of the first tenant.
    """

    latencies_s: list[float] = attrs.field(factory=list)
    late: int = 0
    flood: int = 0
    late_of_flood: int = 0

    @property
    def late_share_of_others(self) -> float:
        """Share of late requests among those of all tenants but the first."""
        others = len(self.latencies_s) - self.flood
        return (self.late - self.late_of_flood) / max(1, others)

    @property
    def late_share(self) -> float:
        """Share of late requests."""
        return self.late / max(1, len(self.latencies_s))

    def quantile_s(self, quantile: float) -> float:
        """Return the latency that the given share of the requests stays below."""
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


@attrs.frozen
class _Request:
    arrived_at: float
    gateway: int
    tenant: int = 0


def newest_first(
    target_at: float, rank: int, arrived_at: float, first_byte_s: float, now: float, share: float
) -> tuple[bool, int, float, float]:
    """Order requests that can be in time by age, the newest first; for comparison only."""
    is_late, rank, share, arrived_at = dispatch_order(
        target_at, rank, arrived_at, first_byte_s, now, share
    )
    return is_late, rank, share, arrived_at if is_late else -arrived_at


class BurstPlayer:
    """Simulates a load whose requests are queued at their gateways.

    Parameters
    ----------
    exact
        Whether gateways know the current loads instead of the last reported ones.
    """

    def __init__(
        self,
        burst: Burst,
        seed: int,
        decide: MayDispatch = may_dispatch,
        order: Order = dispatch_order,
        *,
        exact: bool = False,
    ) -> None:
        self._burst = burst
        self._decide = decide
        self._order = order
        self._exact = exact
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, str, object]] = []
        self._number = 0
        self._running = [0] * burst.engines
        self._engine_queues: list[list[_Request]] = [[] for _ in range(burst.engines)]
        self._views = [[0] * burst.engines for _ in range(burst.gateways)]
        self._gateway_queues: list[list[_Request]] = [[] for _ in range(burst.gateways)]
        self.outcome = BurstOutcome()

    def play(self) -> BurstOutcome:
        """Simulate the whole load, and serve the requests that are queued at its end."""
        for request in self._arrivals():
            self._push(request.arrived_at, "arrive", request)
        for gateway in range(self._burst.gateways):
            self._push(self._random.random() * REPORT_INTERVAL_S, "report", gateway)
        handlers = {
            "arrive": self._arrive,
            "end": self._end,
            "completion report": self._receive_completion,
            "grant": self._start_or_enqueue,
            "dispatch deadline": self._dispatch_at_deadline,
            "report": self._receive_report,
        }
        while self._events:
            now, _, kind, target = heapq.heappop(self._events)
            if now > self._burst.length_s + MAX_DRAIN_S:
                break
            handlers[kind](target, now)
        return self.outcome

    def _arrivals(self) -> list[_Request]:
        burst = self._burst
        requests = []
        at = 0.0
        while at < burst.length_s:
            in_burst = at % 6.0 >= 3.6
            per_s = burst.high_per_s if in_burst else burst.low_per_s
            flood_per_s = burst.flood_per_s if in_burst else 0.0
            at += self._random.expovariate(per_s + flood_per_s)
            gateway = self._random.randrange(burst.gateways)
            requests.append(
                _Request(at, gateway, self._choose_tenant(flood_per_s / (per_s + flood_per_s)))
            )
        return requests

    def _choose_tenant(self, flood_share: float) -> int:
        tenants = self._burst.tenants
        if not tenants or self._random.random() < flood_share:
            return 0
        return self._random.randrange(tenants)

    def _push(self, at: float, kind: str, target: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, kind, target))

    def _loads(self) -> list[int]:
        waiting = (len(queue) for queue in self._engine_queues)
        return [
            count + queued_count for count, queued_count in zip(self._running, waiting, strict=True)
        ]

    def _arrive(self, request: _Request, now: float) -> None:
        if not self._gateway_queues[request.gateway] and self._may_dispatch(request, 0, now):
            self._send(request, now)
            return
        self._gateway_queues[request.gateway].append(request)
        self._dispatch_queued(request.gateway, now)

    def _may_dispatch(self, request: _Request, dispatched: int, now: float) -> bool:
        if now - request.arrived_at >= DISPATCH_DEADLINE_S:
            return True
        burst = self._burst
        loads = self._loads() if self._exact else self._views[request.gateway]
        load = min(loads) + dispatched
        engine = EngineState(load, burst.slots, burst.service_s, FIRST_BYTE_S)
        return self._decide(engine, request.arrived_at + burst.objective_s, now)

    def _dispatch_queued(self, gateway: int, now: float) -> None:
        objective_s = self._burst.objective_s
        ordered = sorted(
            self._gateway_queues[gateway],
            key=lambda queued: self._order(
                queued.arrived_at + objective_s, 0, queued.arrived_at, FIRST_BYTE_S, now, 0.0
            ),
        )
        dispatched = 0
        for request in ordered:
            if self._may_dispatch(request, dispatched, now):
                dispatched += 1
                self._gateway_queues[gateway].remove(request)
                self._send(request, now)

    def _send(self, request: _Request, now: float) -> None:
        """Place a request by the current loads, which its gateway receives with the answer."""
        loads = self._loads()
        self._views[request.gateway] = loads
        self._start_or_enqueue((request, self._least_loaded(loads)), now)

    def _least_loaded(self, loads: list[int]) -> int:
        least = min(loads)
        return self._random.choice(
            [engine_index for engine_index, load in enumerate(loads) if load == least]
        )

    def _start_or_enqueue(self, target: tuple[_Request, int], now: float) -> None:
        request, engine = target
        if self._running[engine] < self._burst.slots:
            self._start(request, engine, now + PLACEMENT_S)
        else:
            self._engine_queues[engine].append(request)

    def _start(self, request: _Request, engine: int, now: float) -> None:
        self._running[engine] += 1
        latency_s = now - request.arrived_at + FIRST_BYTE_S
        self.outcome.latencies_s.append(latency_s)
        late = latency_s > self._burst.objective_s
        self.outcome.late += late
        if request.tenant == 0:
            self.outcome.flood += 1
            self.outcome.late_of_flood += late
        service_s = self._burst.service_s
        served_s = max(0.25 * service_s, self._random.gauss(service_s, 0.25 * service_s))
        self._push(now + served_s, "end", (engine, request.gateway))

    def _end(self, target: tuple[int, int], now: float) -> None:
        engine, gateway = target
        self._running[engine] -= 1
        if self._engine_queues[engine]:
            self._start(self._engine_queues[engine].pop(0), engine, now)
        self._report_completion(engine, gateway, now)

    def _report_completion(self, engine: int, gateway: int, now: float) -> None:
        self._dispatch_queued(gateway, now)

    def _receive_completion(self, engine: int, now: float) -> None:
        """Do nothing: only the slot allocator receives completions by message."""

    def _dispatch_at_deadline(self, ticket: str, now: float) -> None:
        """Do nothing: a gateway checks dispatch deadlines with its other decisions."""

    def _receive_report(self, gateway: int, now: float) -> None:
        self._views[gateway] = self._loads()
        self._push(now + REPORT_INTERVAL_S, "report", gateway)
        self._dispatch_queued(gateway, now)


class PoolQueuePlayer(BurstPlayer):
    """Simulates a load whose requests are queued at the slot allocator.

    Completions and slot grants are messages, which take some time.
    """

    def __init__(self, burst: Burst, seed: int) -> None:
        super().__init__(burst, seed)
        self._pool_queue = PoolQueue()
        self._counted = [0] * burst.engines
        self._request_by_ticket: dict[str, _Request] = {}

    def _arrive(self, request: _Request, now: float) -> None:
        burst = self._burst
        ticket = str(len(self._request_by_ticket))
        terms = QueueTerms(
            ticket,
            str(request.gateway),
            str(request.tenant) if burst.tenants else None,
            rank=0,
            waited_s=0.0,
            target_in_s=burst.objective_s,
            dispatch_by_s=DISPATCH_DEADLINE_S,
            left_s=2 * DISPATCH_DEADLINE_S,
            service_s=burst.service_s,
            first_byte_s=FIRST_BYTE_S,
        )
        self._request_by_ticket[ticket] = request
        self._pool_queue.join(PlaceOnline("", "", "", (), terms=terms), now)
        self._push(now + DISPATCH_DEADLINE_S, "dispatch deadline", ticket)
        self._grant_slots(now, 0.0)

    def _grant_slots(self, now: float, message_s: float) -> None:
        while len(self._pool_queue) and min(self._counted) < self._burst.slots:
            waiting = self._pool_queue.ordered(now)
            if not waiting:
                return
            self._grant_slot(waiting[0], now + message_s)

    def _grant_slot(self, queued: QueuedRequest, at: float) -> None:
        self._pool_queue.serve(queued)
        engine = self._least_loaded(self._counted)
        self._counted[engine] += 1
        self._push(at, "grant", (self._request_by_ticket[queued.ticket], engine))

    def _report_completion(self, engine: int, gateway: int, now: float) -> None:
        self._push(now + COMPLETION_MESSAGE_S, "completion report", engine)

    def _receive_completion(self, engine: int, now: float) -> None:
        self._counted[engine] -= 1
        self._grant_slots(now, GRANT_MESSAGE_S)

    def _dispatch_at_deadline(self, ticket: str, now: float) -> None:
        """Dispatch a request at its dispatch deadline if it is still queued."""
        for queued in self._pool_queue.queued_requests():
            if queued.ticket == ticket:
                self._grant_slot(queued, now)

    def _receive_report(self, gateway: int, now: float) -> None:
        """Do nothing: gateways do not use their views of the loads here."""
