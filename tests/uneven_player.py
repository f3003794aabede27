"""Simulates requests to replicas with different speeds, in virtual time.

A replica serves as many requests as it has slots; the rest wait in the order of arrival. Some
replicas are always slower, and each replica is slow for a part of every period. Gateways count the
requests in flight, and receive the slowness with the heads of answers: directly, or through the
slot allocator of the pool. Replicas are chosen by ``least_costly``.
"""

from __future__ import annotations

import bisect
import heapq
import math
import random
from collections.abc import Callable
from unittest import mock

import attrs

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.replica_entry import ReplicaEntry, ReportedLoad
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.replica_cost import least_costly

LOCAL_ZONE_ROUND_TRIP_S = 0.0004
EXTRA_SLOW_PERIODS_S = 10.0


@attrs.frozen
class UnevenLoad:
    """Load parameters and the replicas that serve the load.

    Attributes
    ----------
    paces
        Permanent slowness of each replica: duration of work as a multiple of the usual duration.
    zones
        Zones to which the replicas are assigned in turn.
    callers
        Share of the requests that arrives in each zone.
    high_per_s, low_per_s
        Requests per second in bursts, and between them.
    slow_s, period_s, slow_factor
        Duration of slow periods, mean time between their starts, and the slowness in them.
    views
        Number of gateways that know only the reports they received; 1 stands for a pool whose
        slot allocator receives all reports.
    report_delay_s
        Delay from the head of an answer until its slowness report is used.
    """

    paces: tuple[float, ...]
    zones: tuple[str, ...] = ("a",)
    callers: tuple[float, ...] = (1.0,)
    high_per_s: float = 400.0
    low_per_s: float = 90.0
    burst_s: float = 3.0
    between_s: float = 3.6
    service_s: float = 0.1
    slots: int = 8
    slow_s: float = 0.0
    period_s: float = 0.6
    slow_factor: float = 1.0
    views: int = 1
    report_delay_s: float = 0.02
    other_zone_s: float = 0.009
    length_s: float = 40.0


@attrs.define
class UnevenOutcome:
    """Results of a simulation."""

    took_s: list[float] = attrs.field(factory=list)
    waited_s: list[float] = attrs.field(factory=list)
    to_other_zone: int = 0
    avoidable_to_other_zone: int = 0
    """Requests that were sent to another zone although their own had a free slot."""

    @property
    def mean_s(self) -> float:
        """Mean time from a request to its answer."""
        return sum(self.took_s) / len(self.took_s)

    def quantile_s(self, fraction: float) -> float:
        """Return the quantile of the times from a request to its answer."""
        ordered = sorted(self.took_s)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@attrs.define
class _Server:
    """Actual state of a replica, which gateways know only in part."""

    pace: float
    slow_periods: list[float]
    """Start and end of each slow period, in turn."""
    running: int = 0
    queue: list[_Request] = attrs.field(factory=list)


@attrs.frozen
class _Request:
    arrived_at: float
    zone: str
    view: int
    work_s: float


class UnevenPlayer:
    """One simulation.

    Parameters
    ----------
    reports_slowness
        Whether replicas report their slowness.
    """

    def __init__(self, load: UnevenLoad, seed: int, *, reports_slowness: bool) -> None:
        self._load = load
        self._reports_slowness = reports_slowness
        self._random = random.Random(seed)
        self._choices = random.Random(seed + 1)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._number = 0
        self._servers = [_Server(pace, self._draw_slow_periods()) for pace in load.paces]
        self._views = [self._replicas() for _ in range(load.views)]
        self.outcome = UnevenOutcome()

    def _replicas(self) -> list[Replica]:
        load = self._load
        return [
            Replica(
                ReplicaEntry(
                    str(number),
                    "s",
                    Endpoint("127.0.0.1", 1),
                    load.zones[number % len(load.zones)],
                    load.slots,
                )
            )
            for number in range(len(load.paces))
        ]

    def play(self) -> UnevenOutcome:
        """Simulate the load until all requests are served."""
        self._plan_arrivals()
        with mock.patch.object(boot_clock, "now", lambda: self._now):
            while self._events:
                self._now, _, handle, what = heapq.heappop(self._events)
                handle(*what)
        return self.outcome

    def _plan_arrivals(self) -> None:
        load = self._load
        at = 1.0
        while at < load.length_s:
            in_burst = at % (load.burst_s + load.between_s) >= load.between_s
            at += self._random.expovariate(load.high_per_s if in_burst else load.low_per_s)
            zone = self._random.choices(load.zones, load.callers)[0]
            work_s = max(0.25, self._random.gauss(1.0, 0.3)) * load.service_s
            view = self._random.randrange(load.views)
            self._push(at, self._arrive, _Request(at, zone, view, work_s))

    def _push(self, at: float, handle: Callable[..., None], *what: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, handle, what))

    def _arrive(self, request: _Request) -> None:
        replicas = self._views[request.view]
        chosen = least_costly(replicas, Replica.load, request.zone, {}, self._choices)
        number = int(chosen.id)
        chosen.begin()
        server = self._servers[number]
        if chosen.entry.zone != request.zone:
            self.outcome.to_other_zone += 1
            self.outcome.avoidable_to_other_zone += any(
                self._servers[int(one.id)].running < self._load.slots
                for one in replicas
                if one.entry.zone == request.zone
            )
        if server.running < self._load.slots:
            self._start(request, number)
        else:
            server.queue.append(request)

    def _start(self, request: _Request, number: int) -> None:
        server = self._servers[number]
        server.running += 1
        self.outcome.waited_s.append(self._now - request.arrived_at)
        if self._reports_slowness and self._load.views == 1:
            slowness = self._slowness(server, self._now)
            self._push(
                self._now + self._load.report_delay_s, self._report, request.view, number, slowness
            )
        self._push(self._end_of(server, request.work_s), self._end, request, number)

    def _report(self, view: int, number: int, slowness: float) -> None:
        self._views[view][number].record_slowness(slowness, self._load.report_delay_s)

    def _end(self, request: _Request, number: int) -> None:
        server = self._servers[number]
        server.running -= 1
        replica = self._views[request.view][number]
        replica.end()
        in_other_zone = replica.entry.zone != request.zone
        round_trip_s = self._load.other_zone_s if in_other_zone else LOCAL_ZONE_ROUND_TRIP_S
        self.outcome.took_s.append(self._now - request.arrived_at + round_trip_s)
        if server.queue:
            self._start(server.queue.pop(0), number)
        if self._load.views > 1:
            slowness = self._slowness(server, self._now) if self._reports_slowness else 1.0
            slots = self._load.slots
            replica.record_report(ReportedLoad(server.running, len(server.queue), slots, slowness))

    def _draw_slow_periods(self) -> list[float]:
        load = self._load
        slow_periods: list[float] = []
        at = self._random.random() * load.period_s
        while load.slow_s and at < load.length_s + EXTRA_SLOW_PERIODS_S:
            slow_periods += [at, at + load.slow_s]
            at += load.slow_s + self._random.expovariate(1 / (load.period_s - load.slow_s))
        return slow_periods

    def _slowness(self, server: _Server, at: float) -> float:
        is_slow = bisect.bisect_right(server.slow_periods, at) % 2 == 1
        return server.pace * (self._load.slow_factor if is_slow else 1.0)

    def _end_of(self, server: _Server, work_s: float) -> float:
        """Return when work that starts now is done."""
        at = self._now
        while True:
            slowness = self._slowness(server, at)
            change = bisect.bisect_right(server.slow_periods, at)
            until = server.slow_periods[change] if change < len(server.slow_periods) else math.inf
            if work_s * slowness <= until - at:
                return at + work_s * slowness
            work_s -= (until - at) / slowness
            at = until
