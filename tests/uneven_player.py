"""Plays requests against replicas that are not equally quick, in virtual time.

A replica works on as many requests as it has slots, the rest wait in the order of arrival. Some are
always slower, and each of them for a part of every period. Gateways count the requests in flight
and hear of the slowness with the heads of answers: at once, or through the keeper of the pool.
Which replica gets a request is decided by the product's own function.
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

OWN_ZONE_ROUND_TRIP_S = 0.0004
LAST_SPELL_S = 10.0


@attrs.frozen
class UnevenLoad:
    """A load, and the replicas before which it comes.

    Attributes
    ----------
    paces
        How many times as long as usual work takes at each replica, all the time.
    zones
        Zones of the replicas, by turns.
    callers
        Part of the requests that comes in each zone.
    high_per_s, low_per_s
        Requests a second in bursts, and between them.
    slow_s, period_s, slow_factor
        How long a spell lasts in which work takes so many times as long, and the mean time from
        one to the next.
    views
        Gateways, each of which knows only what it has heard itself; 1 stands for a pool whose
        keeper hears all.
    told_after_s
        How long after the head of an answer its word of the slowness counts.
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
    told_after_s: float = 0.02
    other_zone_s: float = 0.009
    length_s: float = 40.0


@attrs.define
class UnevenOutcome:
    """What callers got."""

    took_s: list[float] = attrs.field(factory=list)
    waited_s: list[float] = attrs.field(factory=list)
    to_other_zone: int = 0
    needless: int = 0
    """Requests that left a zone where a slot was free."""

    @property
    def mean_s(self) -> float:
        """Mean time from a request to its answer."""
        return sum(self.took_s) / len(self.took_s)

    def quantile_s(self, part: float) -> float:
        """Return the time that so large a part of the requests stays below."""
        ordered = sorted(self.took_s)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


@attrs.define
class _Server:
    """A replica as it is, beside what gateways know of it."""

    pace: float
    spells: list[float]
    """When each slow spell begins and ends, by turns."""
    running: int = 0
    queue: list[_Request] = attrs.field(factory=list)


@attrs.frozen
class _Request:
    came_at: float
    zone: str
    view: int
    work_s: float


class UnevenPlayer:
    """One play.

    Parameters
    ----------
    tells
        Whether replicas tell their slowness.
    """

    def __init__(self, load: UnevenLoad, seed: int, *, reports_slowness: bool) -> None:
        self._load = load
        self._tells = reports_slowness
        self._random = random.Random(seed)
        self._choices = random.Random(seed + 1)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._number = 0
        self._servers = [_Server(pace, self._spells()) for pace in load.paces]
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
        """Play the load to its end, and until what waits is served."""
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
            self.outcome.needless += any(
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
        self.outcome.waited_s.append(self._now - request.came_at)
        if self._tells and self._load.views == 1:
            told = self._slowness(server, self._now)
            self._push(self._now + self._load.told_after_s, self._tell, request.view, number, told)
        self._push(self._end_of(server, request.work_s), self._end, request, number)

    def _tell(self, view: int, number: int, slowness: float) -> None:
        self._views[view][number].take_slowness(slowness, self._load.told_after_s)

    def _end(self, request: _Request, number: int) -> None:
        server = self._servers[number]
        server.running -= 1
        replica = self._views[request.view][number]
        replica.end()
        far = replica.entry.zone != request.zone
        way_s = self._load.other_zone_s if far else OWN_ZONE_ROUND_TRIP_S
        self.outcome.took_s.append(self._now - request.came_at + way_s)
        if server.queue:
            self._start(server.queue.pop(0), number)
        if self._load.views > 1:
            told = self._slowness(server, self._now) if self._tells else 1.0
            slots = self._load.slots
            replica.take_report(ReportedLoad(server.running, len(server.queue), slots, told))

    def _spells(self) -> list[float]:
        load = self._load
        found: list[float] = []
        at = self._random.random() * load.period_s
        while load.slow_s and at < load.length_s + LAST_SPELL_S:
            found += [at, at + load.slow_s]
            at += load.slow_s + self._random.expovariate(1 / (load.period_s - load.slow_s))
        return found

    def _slowness(self, server: _Server, at: float) -> float:
        is_slow = bisect.bisect_right(server.spells, at) % 2 == 1
        return server.pace * (self._load.slow_factor if is_slow else 1.0)

    def _end_of(self, server: _Server, work_s: float) -> float:
        """Return when so much work is done that begins now."""
        at = self._now
        while True:
            slowness = self._slowness(server, at)
            change = bisect.bisect_right(server.spells, at)
            until = server.spells[change] if change < len(server.spells) else math.inf
            if work_s * slowness <= until - at:
                return at + work_s * slowness
            work_s -= (until - at) / slowness
            at = until
