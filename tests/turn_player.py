"""Plays bursts of online requests against the decisions on their turns, in virtual time.

Engines serve a number of requests at once, the rest in the order of arrival. Gateways see the
engines' loads as they were when they last placed a request or were told, up to 0.25 s ago; the one
that places knows them. Half a minute of load takes about a second. Nothing here decides who waits:
that is the product's own function, or one that is put in its place to be compared.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import attrs

from quaymill.request.turns import EngineState, may_go, turn_order

MayGo = Callable[[EngineState, float, float], bool]
Order = Callable[[float, int, float, float, float], tuple[bool, int, float]]
TOLD_EVERY_S = 0.25
PLACING_S = 0.003
FIRST_BYTE_S = 0.02
LAST_CALL_S = 3.5
AFTER_S = 8.0


@attrs.frozen
class Burst:
    """A load: bursts of 2.4 s in every 6 s.

    Attributes
    ----------
    high_per_s, low_per_s
        Requests a second in and between bursts.
    service_s
        Mean; it spreads by a quarter.
    """

    high_per_s: float = 430.0
    low_per_s: float = 88.0
    service_s: float = 0.8
    objective_s: float = 0.3
    gateways: int = 50
    engines: int = 45
    slots: int = 6
    length_s: float = 30.0


@attrs.define
class BurstOutcome:
    """What callers got; latencies to the first event, in seconds."""

    latencies_s: list[float] = attrs.field(factory=list)
    late: int = 0

    @property
    def late_share(self) -> float:
        """Part of the requests that were late."""
        return self.late / max(1, len(self.latencies_s))

    def quantile_s(self, part: float) -> float:
        """Return the latency that so large a part of the requests stays below."""
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


@attrs.frozen
class _Request:
    came_at: float
    gateway: int


def newest_first(
    aim_at: float, rank: int, came_at: float, first_byte_s: float, now: float
) -> tuple[bool, int, float]:
    """Order what can be in time by its age, the newest first: a way that is not in use."""
    is_late, rank, came_at = turn_order(aim_at, rank, came_at, first_byte_s, now)
    return is_late, rank, came_at if is_late else -came_at


class BurstPlayer:
    """One play.

    Parameters
    ----------
    exact
        Whether gateways see the loads as they are, instead of as they were told.
    """

    def __init__(
        self,
        burst: Burst,
        seed: int,
        decide: MayGo = may_go,
        order: Order = turn_order,
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
        self._queues: list[list[_Request]] = [[] for _ in range(burst.engines)]
        self._views = [[0] * burst.engines for _ in range(burst.gateways)]
        self._held: list[list[_Request]] = [[] for _ in range(burst.gateways)]
        self.outcome = BurstOutcome()

    def play(self) -> BurstOutcome:
        """Play the load to its end, and until what waits is served."""
        for request in self._arrivals():
            self._push(request.came_at, "arrive", request)
        for gateway in range(self._burst.gateways):
            self._push(self._random.random() * TOLD_EVERY_S, "told", gateway)
        handlers = {"arrive": self._arrive, "end": self._end, "told": self._told}
        while self._events:
            now, _, kind, what = heapq.heappop(self._events)
            if now > self._burst.length_s + AFTER_S:
                break
            handlers[kind](what, now)
        return self.outcome

    def _arrivals(self) -> list[_Request]:
        burst = self._burst
        found = []
        at = 0.0
        while at < burst.length_s:
            per_s = burst.high_per_s if at % 6.0 >= 3.6 else burst.low_per_s
            at += self._random.expovariate(per_s)
            found.append(_Request(at, self._random.randrange(burst.gateways)))
        return found

    def _push(self, at: float, kind: str, what: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, kind, what))

    def _loads(self) -> list[int]:
        waiting = (len(queue) for queue in self._queues)
        return [count + more for count, more in zip(self._running, waiting, strict=True)]

    def _arrive(self, request: _Request, now: float) -> None:
        if not self._held[request.gateway] and self._may_go(request, 0, now):
            self._send(request, now)
            return
        self._held[request.gateway].append(request)
        self._release(request.gateway, now)

    def _may_go(self, request: _Request, going: int, now: float) -> bool:
        if now - request.came_at >= LAST_CALL_S:
            return True
        burst = self._burst
        loads = self._loads() if self._exact else self._views[request.gateway]
        load = min(loads) + going
        engine = EngineState(load, burst.slots, burst.service_s, FIRST_BYTE_S)
        return self._decide(engine, request.came_at + burst.objective_s, now)

    def _release(self, gateway: int, now: float) -> None:
        objective_s = self._burst.objective_s
        ordered = sorted(
            self._held[gateway],
            key=lambda one: self._order(
                one.came_at + objective_s, 0, one.came_at, FIRST_BYTE_S, now
            ),
        )
        going = 0
        for request in ordered:
            if self._may_go(request, going, now):
                going += 1
                self._held[gateway].remove(request)
                self._send(request, now)

    def _send(self, request: _Request, now: float) -> None:
        """Place a request by what is true now; its gateway sees the loads with the answer."""
        loads = self._loads()
        least = min(loads)
        engine = self._random.choice([one for one, load in enumerate(loads) if load == least])
        self._views[request.gateway] = loads
        if self._running[engine] < self._burst.slots:
            self._start(request, engine, now + PLACING_S)
        else:
            self._queues[engine].append(request)

    def _start(self, request: _Request, engine: int, now: float) -> None:
        self._running[engine] += 1
        latency_s = now - request.came_at + FIRST_BYTE_S
        self.outcome.latencies_s.append(latency_s)
        self.outcome.late += latency_s > self._burst.objective_s
        service_s = self._burst.service_s
        served_s = max(0.25 * service_s, self._random.gauss(service_s, 0.25 * service_s))
        self._push(now + served_s, "end", (engine, request.gateway))

    def _end(self, what: tuple[int, int], now: float) -> None:
        engine, gateway = what
        self._running[engine] -= 1
        if self._queues[engine]:
            self._start(self._queues[engine].pop(0), engine, now)
        self._release(gateway, now)

    def _told(self, gateway: int, now: float) -> None:
        self._views[gateway] = self._loads()
        self._push(now + TOLD_EVERY_S, "told", gateway)
        self._release(gateway, now)
