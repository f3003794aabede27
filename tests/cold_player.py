"""Simulates replicas that return cold during a burst, in virtual time.

Requests arrive at gateways and are placed by a policy, or wait for one until their dispatch
deadline. The time from the placement to the arrival at the replica differs between gateways. A cold
replica is slow, and fails requests above its bound in any second. ``ByAllocator`` uses the
product's decisions; the other policies are for comparison.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, defaultdict, deque

import attrs

from quaymill.process.replica_set.cold_start import (
    COLD_LOAD,
    ColdRule,
    GrantEligibility,
    GrantWindows,
)

RULE = ColdRule.from_rate(3.0, 12.0, 1.5, 5.0)
BOUND = 23
GATEWAYS = 66
REPLICAS = 45
COLD = 23
SLOTS = 8
SERVICE_S = 0.2
COLD_SERVICE_S = 0.25
OBJECTIVE_S = 0.3
DISPATCH_DEADLINE_S = 3.0
TICK_S = 0.05
CHANGE_AT_S = 5.5
"""When the scenario's change of allocators happens."""


@attrs.frozen
class Scenario:
    """A run of 14 s, with a burst while replicas are cold.

    Attributes
    ----------
    cold_from_s, cold_until_s
        When replicas 0 to ``COLD`` - 1 are cold.
    handover, partition
        Whether the allocator is killed, or the gateways are split into two, at ``CHANGE_AT_S``.
    """

    cold_from_s: float = 5.0
    cold_until_s: float = 11.0
    length_s: float = 14.0
    low_per_s: float = 200.0
    burst_per_s: float = 1400.0
    handover: bool = False
    partition: bool = False

    def is_cold(self, replica: int, now: float) -> bool:
        """Return whether a replica is cold at a time."""
        return replica < COLD and self.cold_from_s <= now < self.cold_until_s


class _Counts:
    """Requests at each replica as counted by one decision maker."""

    def __init__(self) -> None:
        self.load: Counter[int] = Counter()

    def best(self, scenario: Scenario, usable: list[int], now: float, rng) -> int | None:
        free = [one for one in usable if self.load[one] < SLOTS]
        if not free:
            return None
        return min(
            free,
            key=lambda one: (
                self.load[one] + COLD_LOAD * scenario.is_cold(one, now),
                rng.random(),
            ),
        )


class ByAllocator:
    """The product: one allocator places all requests and limits its grants to cold replicas."""

    def __init__(self, scenario: Scenario, rng: random.Random, rule: ColdRule = RULE) -> None:
        self._scenario = scenario
        self._rng = rng
        self._rule = rule
        self._counts = (_Counts(), _Counts())
        self._windows = (GrantWindows(), GrantWindows())
        self._eligibility = tuple(GrantEligibility(may_be_alone=False) for _ in range(2))

    def tick(self, now: float) -> None:
        """Let both gateways that may be the allocator check their rank."""
        changed = now >= CHANGE_AT_S
        split = changed and self._scenario.partition
        killed = changed and self._scenario.handover
        live = GATEWAYS // 2 if split else GATEWAYS
        if not killed:
            self._eligibility[0].check({"pool"}, live, GATEWAYS, now)
        first = {"pool"} if split or killed else set()
        self._eligibility[1].check(first, live, GATEWAYS, now)

    def _allocator_of(self, gateway: int, now: float) -> int:
        if now < CHANGE_AT_S:
            return 0
        return int(self._scenario.handover or (self._scenario.partition and gateway % 2))

    def place(self, gateway: int, now: float) -> int | None:
        """Return the replica for a request; ``None`` if it has to wait."""
        which = self._allocator_of(gateway, now)
        counts, windows = self._counts[which], self._windows[which]
        may_grant = self._eligibility[which].may_grant("pool", now)
        usable = [
            one
            for one in range(REPLICAS)
            if not self._scenario.is_cold(one, now)
            or (may_grant and windows.room(str(one), self._rule, now))
        ]
        chosen = counts.best(self._scenario, usable, now, self._rng)
        if chosen is not None:
            counts.load[chosen] += 1
            if self._scenario.is_cold(chosen, now):
                windows.record(str(chosen), now)
        return chosen

    def ended(self, gateway: int, replica: int, now: float) -> None:
        """Count the end of a request."""
        which = self._allocator_of(gateway, now)
        self._counts[which].load[replica] = max(0, self._counts[which].load[replica] - 1)


class ByLoad(ByAllocator):
    """For comparison: placement by load only, by allocators that ignore that replicas are cold."""

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        super().__init__(attrs.evolve(scenario, cold_until_s=0.0), rng)


class ByShare(ByAllocator):
    """For comparison: each gateway may use its share of a cold replica's rate by itself."""

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        super().__init__(scenario, rng)
        self._used_at: dict[tuple[int, int], float] = defaultdict(lambda: -math.inf)

    def place(self, gateway: int, now: float) -> int | None:
        interval_s = GATEWAYS / RULE.requests_per_s
        usable = [
            one
            for one in range(REPLICAS)
            if not self._scenario.is_cold(one, now)
            or now - self._used_at[gateway, one] >= interval_s
        ]
        counts = self._counts[self._allocator_of(gateway, now)]
        chosen = counts.best(self._scenario, usable, now, self._rng)
        if chosen is not None:
            counts.load[chosen] += 1
            self._used_at[gateway, chosen] = now
        return chosen


@attrs.define
class ColdOutcome:
    """What replicas and callers saw.

    Attributes
    ----------
    peak
        Largest number of requests that arrived at a cold replica within one second.
    served_cold
        Requests that cold replicas served.
    """

    requests: int = 0
    in_time: int = 0
    peak: int = 0
    served_cold: int = 0

    @property
    def in_time_share(self) -> float:
        """Share of the requests that began in time and did not fail."""
        return self.in_time / max(1, self.requests)


def play(scenario: Scenario, make_policy, seed: int) -> ColdOutcome:
    """Play a scenario; requests that begin while replicas are cold are counted."""
    return _Player(scenario, make_policy, random.Random(seed)).play()


class _Player:
    """The simulated fleet: the events of one run, and the slots of its replicas."""

    def __init__(self, scenario: Scenario, make_policy, rng: random.Random) -> None:
        self._scenario = scenario
        self._rng = rng
        self._policy = make_policy(scenario, rng)
        self._delays = [rng.uniform(0.0, 0.3) for _ in range(GATEWAYS)]
        self._outcome = ColdOutcome()
        self._events: list[tuple[float, int, str, tuple]] = []
        self._number = 0
        self._waiting: deque[tuple[float, int]] = deque()
        self._arrivals: dict[int, deque[float]] = defaultdict(deque)
        self._free_at = [[0.0] * SLOTS for _ in range(REPLICAS)]

    def play(self) -> ColdOutcome:
        """Simulate the whole run."""
        self._plan()
        handlers = {
            "request": self._request,
            "arrive": self._arrive,
            "end": self._end,
            "tick": self._tick,
        }
        while self._events:
            now, _, kind, target = heapq.heappop(self._events)
            handlers[kind](*target, now)
        return self._outcome

    def _plan(self) -> None:
        scenario, at = self._scenario, 0.0
        while at < scenario.length_s:
            in_burst = scenario.cold_from_s <= at < scenario.cold_until_s
            at += self._rng.expovariate(scenario.burst_per_s if in_burst else scenario.low_per_s)
            self._push(at, "request", self._rng.randrange(GATEWAYS))
        for tick in range(int(scenario.length_s / TICK_S)):
            self._push(tick * TICK_S, "tick")

    def _push(self, at: float, kind: str, *target) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, kind, target))

    def _request(self, gateway: int, now: float) -> None:
        if not self._dispatch(now, gateway, now):
            self._waiting.append((now, gateway))

    def _dispatch(self, arrived_at: float, gateway: int, now: float) -> bool:
        replica = self._policy.place(gateway, now)
        if replica is None:
            return False
        delay_s = self._delays[gateway] + self._rng.uniform(0.0, 0.2)
        self._push(now + delay_s, "arrive", gateway, replica, arrived_at + delay_s)
        return True

    def _arrive(self, gateway: int, replica: int, due_at: float, now: float) -> None:
        """Let a request wait for a slot at its replica, or fail if it is above the bound."""
        cold = self._scenario.is_cold(replica, now)
        counted = self._is_counted(due_at)
        self._outcome.requests += counted
        if cold and not self._is_within_bound(self._arrivals[replica], now):
            self._push(now, "end", gateway, replica)
            return
        self._outcome.served_cold += cold
        began_at = max(now, heapq.heappop(self._free_at[replica]))
        ends_at = began_at + (COLD_SERVICE_S if cold else SERVICE_S)
        heapq.heappush(self._free_at[replica], ends_at)
        self._push(ends_at, "end", gateway, replica)
        self._outcome.in_time += counted and began_at - due_at <= OBJECTIVE_S

    def _is_counted(self, at: float) -> bool:
        return self._scenario.cold_from_s <= at < self._scenario.cold_until_s

    def _is_within_bound(self, recent: deque[float], now: float) -> bool:
        """Record an arrival at a cold replica; return whether it serves the request."""
        recent.append(now)
        while recent[0] <= now - 1.0:
            recent.popleft()
        self._outcome.peak = max(self._outcome.peak, len(recent))
        return len(recent) <= BOUND

    def _end(self, gateway: int, replica: int, now: float) -> None:
        self._policy.ended(gateway, replica, now)
        self._dispatch_waiting(now)

    def _tick(self, now: float) -> None:
        self._policy.tick(now)
        self._dispatch_waiting(now)

    def _dispatch_waiting(self, now: float) -> None:
        while self._waiting and now - self._waiting[0][0] > DISPATCH_DEADLINE_S:
            arrived_at, _ = self._waiting.popleft()
            self._outcome.requests += self._is_counted(arrived_at)
        if self._waiting and self._dispatch(*self._waiting[0], now):
            self._waiting.popleft()
