"""Simulates requests of callers in two regions in virtual time, to test the choice of the region.

Requests are queued at slot allocators, as in the product: at the allocator of each region's pool,
or at one allocator for both regions. Messages take time, longer between regions. A gateway knows
the loads of a pool as of its allocator's last message. Replicas and regions are chosen by the
product's functions.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import attrs

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.connection.slot_messages import PlaceOnline, QueueTerms
from quaymill.process.jobs.pool_queue import PoolQueue, QueuedRequest
from quaymill.process.jobs.region_choice import (
    PoolState,
    serves_sooner,
    terms_in_other_region,
)
from quaymill.process.regions import ONE_REGION, RegionMap
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.replica_cost import least_costly

ZONE_REGIONS = {f"{region}{number}": region for region in "ab" for number in range(3)}
ZONES = tuple(ZONE_REGIONS)
REPLICAS = 29
GATEWAYS_PER_ZONE = 10
SLOTS = 6
SERVICE_S = 0.8
FIRST_BYTE_S = 0.02
OBJECTIVE_S = 0.3
WITHIN_REGION_S = 0.0009
BETWEEN_REGIONS_S = 0.012
REPORT_INTERVAL_S = 0.25
VIEW_LIFETIME_S = 0.6
PERIOD_S = 6.0
CALM_S = 3.6
LENGTH_S = 30.0
OVERFLOW_SHARE = 0.85


@attrs.frozen
class RegionLoad:
    """Requests per second by region, in calm times and in bursts."""

    calm_per_s: dict[str, float]
    burst_per_s: dict[str, float]


@attrs.define
class RegionOutcome:
    """Numbers of requests; in time are those whose first event meets the objective."""

    requests: int = 0
    in_time: int = 0
    crossed_in_calm: int = 0
    crossed_in_bursts: int = 0


@attrs.frozen
class _Request:
    arrived_at: float
    zone: str
    gateway: int


@attrs.define
class _Pool:
    """A pool as its allocator knows it; ``zone`` is that of the allocator."""

    zone: str
    replicas: list[Replica]
    queue: PoolQueue = attrs.field(factory=PoolQueue)

    def state(self, counted: dict[str, int]) -> PoolState:
        free_slots = sum(max(0, SLOTS - counted[one.id]) for one in self.replicas)
        return PoolState(SLOTS * len(self.replicas), free_slots, len(self.queue))


class RegionPlayer:
    """One simulation.

    Parameters
    ----------
    by_region
        Whether pools are split by region; otherwise one allocator in region ``a`` serves both, and
        all zones but the own one cost the same.
    """

    def __init__(self, load: RegionLoad, seed: int, *, by_region: bool) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._choices = random.Random(seed + 1)
        regions = RegionMap("a0", "a", ZONE_REGIONS) if by_region else ONE_REGION
        replicas = [
            Replica(
                ReplicaEntry(f"r{n}", "s", Endpoint("127.0.0.1", 1), ZONES[n % len(ZONES)], SLOTS),
                regions=regions,
            )
            for n in range(REPLICAS)
        ]
        names = "ab" if by_region else ("",)
        self._pools = {
            name: _Pool(f"{name or 'a'}0", [one for one in replicas if one.region == name])
            for name in names
        }
        self._pool_of_replica = {
            one.id: pool for pool in self._pools.values() for one in pool.replicas
        }
        self._counted = {one.id: 0 for one in replicas}
        self._running = dict.fromkeys(self._counted, 0)
        self._waiting: dict[str, list[_Request]] = {one.id: [] for one in replicas}
        self._views: dict[tuple[int, str], tuple[PoolState, float]] = {}
        self._requests_by_ticket: dict[str, _Request] = {}
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._number = 0
        self._now = 0.0
        self.outcome = RegionOutcome()

    def play(self) -> RegionOutcome:
        """Simulate the load until all requests are served."""
        for region in "ab":
            self._plan_arrivals(region)
        for gateway in range(len(ZONES) * GATEWAYS_PER_ZONE):
            self._after(self._random.random() * REPORT_INTERVAL_S, self._report, gateway)
        while self._events:
            self._now, _, handle, arguments = heapq.heappop(self._events)
            handle(*arguments)
        return self.outcome

    def _plan_arrivals(self, region: str) -> None:
        zones = [zone for zone in ZONES if zone[0] == region]
        at = 0.0
        while True:
            rates = self._load.calm_per_s if _is_calm(at) else self._load.burst_per_s
            at += self._random.expovariate(rates[region])
            if at >= LENGTH_S:
                return
            zone = self._random.choice(zones)
            gateway = ZONES.index(zone) + len(ZONES) * self._random.randrange(GATEWAYS_PER_ZONE)
            self._after(at, self._arrive, _Request(at, zone, gateway))

    def _after(self, delay_s: float, handle: Callable[..., None], *arguments: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (self._now + delay_s, self._number, handle, arguments))

    def _arrive(self, request: _Request) -> None:
        self._send(request, self._sooner_pool(request) or self._own_pool(request.zone))

    def _send(self, request: _Request, name: str) -> None:
        """Send a request to the allocator of a pool."""
        delay_s = _travel_s(request.zone, self._pools[name].zone)
        self._after(delay_s, self._place, request, name)

    def _own_pool(self, zone: str) -> str:
        return zone[0] if len(self._pools) > 1 else ""

    def _sooner_pool(self, request: _Request) -> str | None:
        """Return the other pool if it would serve a request sooner, as its gateway knows it."""
        own_state = self._view(request.gateway, self._own_pool(request.zone))
        for name in self._pools.keys() - {self._own_pool(request.zone)}:
            state = self._view(request.gateway, name)
            if own_state is None or state is None:
                continue
            if serves_sooner(state, own_state, SERVICE_S, 2 * BETWEEN_REGIONS_S):
                return name
        return None

    def _view(self, gateway: int, name: str) -> PoolState | None:
        state, at = self._views.get((gateway, name), (None, 0.0))
        return state if self._now - at < VIEW_LIFETIME_S else None

    def _set_view(self, gateway: int, name: str, state: PoolState) -> None:
        """Record a pool's state, and request that of the other one if requests may have to wait."""
        self._views[gateway, name] = (state, self._now)
        zone = ZONES[gateway % len(ZONES)]
        if name == self._own_pool(zone) and self._may_overflow(name, state):
            for other in self._pools.keys() - {name}:
                if self._view(gateway, other) is None:
                    self._request_view(gateway, other)

    def _may_overflow(self, name: str, state: PoolState) -> bool:
        replicas = self._pools[name].replicas
        used = sum(self._counted[one.id] for one in replicas)
        return state.queue_length > 0 or used > OVERFLOW_SHARE * SLOTS * len(replicas)

    def _request_view(self, gateway: int, name: str) -> None:
        travel_s = _travel_s(ZONES[gateway % len(ZONES)], self._pools[name].zone)
        self._after(2 * travel_s, self._receive_report, gateway, name)

    def _receive_report(self, gateway: int, name: str) -> None:
        self._set_view(gateway, name, self._pools[name].state(self._counted))

    def _report(self, gateway: int) -> None:
        """Update a gateway's view of its own pool, and of the other one while it matters."""
        own = self._own_pool(ZONES[gateway % len(ZONES)])
        known = self._view(gateway, own)
        for name in self._pools:
            if name == own or (known is not None and self._may_overflow(own, known)):
                self._request_view(gateway, name)
        if self._now < LENGTH_S:
            self._after(REPORT_INTERVAL_S, self._report, gateway)

    def _place(self, request: _Request, name: str) -> None:
        pool = self._pools[name]
        ticket = str(len(self._requests_by_ticket))
        self._requests_by_ticket[ticket] = request
        target_in_s = request.arrived_at + OBJECTIVE_S - self._now
        terms = QueueTerms(
            ticket, "p", None, 0, 0.0, target_in_s, 60.0, 90.0, SERVICE_S, FIRST_BYTE_S
        )
        if name != self._own_pool(request.zone):
            terms = terms_in_other_region(terms, 2 * BETWEEN_REGIONS_S)
        queued = pool.queue.join(PlaceOnline("g", request.zone, "s", (), terms=terms), self._now)
        self._grant(pool)
        state = pool.state(self._counted)
        self._after(_travel_s(request.zone, pool.zone), self._receive, name, queued, state)

    def _receive(self, name: str, queued: QueuedRequest, state: PoolState) -> None:
        """Receive an allocator's answer, which may show that the other region is better."""
        request = self._requests_by_ticket[queued.ticket]
        self._set_view(request.gateway, name, state)
        queue = self._pools[name].queue
        sooner = self._sooner_pool(request)
        is_own = name == self._own_pool(request.zone)
        if is_own and sooner is not None and queued in queue.queued_requests():
            queue.leave(queued)
            self._send(request, sooner)

    def _grant(self, pool: _Pool) -> None:
        free = [one for one in pool.replicas if self._counted[one.id] < SLOTS]
        for queued in pool.queue.ordered(self._now) if free else []:
            self._grant_slot(pool, queued, free)
            free = [one for one in free if self._counted[one.id] < SLOTS]
            if not free:
                return

    def _grant_slot(self, pool: _Pool, queued: QueuedRequest, free: list[Replica]) -> None:
        pool.queue.serve(queued)
        request = self._requests_by_ticket[queued.ticket]
        chosen = least_costly(
            free, lambda one: self._counted[one.id], request.zone, {}, self._choices, SERVICE_S
        )
        self._counted[chosen.id] += 1
        if chosen.zone[0] != request.zone[0]:
            if _is_calm(request.arrived_at):
                self.outcome.crossed_in_calm += 1
            else:
                self.outcome.crossed_in_bursts += 1
        delay_s = _travel_s(pool.zone, request.zone) + _travel_s(request.zone, chosen.zone)
        self._after(delay_s, self._reach, request, chosen)

    def _reach(self, request: _Request, replica: Replica) -> None:
        if self._running[replica.id] < SLOTS:
            self._start(request, replica)
        else:
            self._waiting[replica.id].append(request)

    def _start(self, request: _Request, replica: Replica) -> None:
        self._running[replica.id] += 1
        travel_s = _travel_s(replica.zone, request.zone)
        latency_s = self._now + FIRST_BYTE_S + travel_s - request.arrived_at
        self.outcome.requests += 1
        self.outcome.in_time += latency_s <= OBJECTIVE_S
        service_s = max(0.25 * SERVICE_S, self._random.gauss(SERVICE_S, 0.25 * SERVICE_S))
        self._after(service_s, self._end, request, replica)

    def _end(self, request: _Request, replica: Replica) -> None:
        self._running[replica.id] -= 1
        if self._waiting[replica.id]:
            self._start(self._waiting[replica.id].pop(0), replica)
        pool = self._pool_of_replica[replica.id]
        delay_s = _travel_s(replica.zone, request.zone) + _travel_s(request.zone, pool.zone)
        self._after(delay_s, self._count_end, replica, pool)

    def _count_end(self, replica: Replica, pool: _Pool) -> None:
        self._counted[replica.id] -= 1
        self._grant(pool)


def _is_calm(at: float) -> bool:
    return at % PERIOD_S < CALM_S


def _travel_s(zone: str, other: str) -> float:
    """Return how long a message takes from one zone to another, one way."""
    return WITHIN_REGION_S if zone[0] == other[0] else BETWEEN_REGIONS_S
