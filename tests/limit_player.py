"""Simulates methods that enforce tenants' limits, in virtual time.

Gateways are killed and restarted, partitioned or paused, and learn of each other's faults with a
delay. There are three methods:

``granted``
    The product's ``TenantLimiter``: the gateway that ranks first for a tenant lends credits.
``store``
    Credits are taken from one object per tenant in the platform's store, by compare-and-swap.
``shares``
    Each gateway admits a share of the rate, in proportion to the demands that gateways send each
    other.

The simulation only determines when requests arrive and what gateways know of each other.
"""

from __future__ import annotations

import bisect
import heapq
import random
from collections.abc import Callable, Iterator
from unittest import mock

import attrs

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member, MemberState
from quaymill.connection.peer_link import PeerMessage, PeerNoReply, PeerRefusal
from quaymill.process.limits.bucket import Bucket
from quaymill.process.limits.fleet import GatewayFleet
from quaymill.process.limits.limiter import TenantLimiter
from quaymill.process.limits.shares import Overrun, allowed_in_window
from quaymill.process.limits.window import WindowCount
from quaymill.version.tenants import TenantLimits

STRONG_CORES = 2.15
WEAK_CORES = 0.516
DEATH_DETECTION_S = 1.5
"""Time until all gateways consider an unresponsive one dead: probe, suspicion and dissemination."""
RETURN_DETECTION_S = 0.5
"""Time until all gateways know that one has returned."""
PROBE_INTERVAL_S = 0.5
TICK_S = 0.5
"""Interval at which gateways send each other their demand."""
STORE_CALL_S = 0.004
PEER_CALL_S = 0.002
MIN_ARRIVAL_GAP_S = 1e-6


@attrs.frozen
class Fault:
    """A fault of some gateways.

    Attributes
    ----------
    at, for_s
        Start and duration.
    share
        Share of the gateways, drawn by the seed.
    kind
        ``killed``: callers use other gateways; ``cut``: partitioned from the other gateways, but
        still serving; ``paused``: callers wait, and the gateways continue with their old state.
    with_granter
        Whether two gateways that rank first for tenants are affected before any others; if not,
        all are drawn by the seed.
    """

    at: float
    for_s: float
    share: float
    kind: str
    with_granter: bool = True


@attrs.frozen
class LimitLoad:
    """Load parameters.

    Attributes
    ----------
    usual_per_s
        Usual requests per second of all tenants; the shares of tenants decrease with their rank.
    headroom_x
        Limit of a tenant as a multiple of its usual rate.
    hot_x, hot_from, hot_until
        Factor of the largest tenant's rate, and when it applies.
    limit_at, limit_x
        Time of a change of the largest tenant's limit, and its factor.
    store_down
        Start and end of an outage of the platform's store.
    """

    gateways: int = 50
    tenants: int = 72
    usual_per_s: float = 260.0
    headroom_x: float = 3.3
    hot_x: float = 1.0
    hot_from: float = 10.0
    hot_until: float = 18.0
    faults: tuple[Fault, ...] = ()
    limit_at: float = 1e9
    limit_x: float = 1.0
    store_down: tuple[float, float] = (1e9, 1e9)
    length_s: float = 30.0

    def usual_of(self, rank: int) -> float:
        """Return the usual requests per second of the tenant with a rank."""
        total = sum(1.0 / (one + 1) ** 0.7 for one in range(self.tenants))
        return self.usual_per_s / (rank + 1) ** 0.7 / total

    def limit_of(self, rank: int) -> float:
        """Return the limit of the tenant with a rank, in requests/s; its burst is the same."""
        return max(5.0, round(self.headroom_x * self.usual_of(rank)))


@attrs.define
class LimitOutcome:
    """Results of a simulation.

    Attributes
    ----------
    overrun
        Largest excess of a tenant's admitted requests in a window over those that are allowed and
        tolerated; negative if there was none.
    refused_within_limit
        Refused share of the requests that are within the limit by a global count.
    peer_calls, store_calls
        Calls per second.
    longest_wait_s
        Time of the slowest decision.
    """

    overrun: float = float("-inf")
    refused_within_limit: float = 0.0
    admitted: int = 0
    asked: int = 0
    peer_calls: float = 0.0
    store_calls: float = 0.0
    longest_wait_s: float = 0.0


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class _FakePeerServer:
    """Replaces a gateway's ``PeerServer``."""

    def __init__(self) -> None:
        self.by_type: dict[type, Callable] = {}

    def register(self, message_type: type, handler: Callable) -> None:
        self.by_type[message_type] = handler


@attrs.define(eq=False)
class _Gateway:
    """One gateway, and its view of the others.

    Attributes
    ----------
    queued
        Tenants whose requests wait while it is paused.
    dead_since
        When it learned of the death of other gateways, by name.
    """

    index: int
    member: Member
    handlers: _FakePeerServer = attrs.field(factory=_FakePeerServer)
    limiter: object = None
    alive: bool = True
    cut: bool = False
    paused: bool = False
    starts: int = 0
    queued: list[str] = attrs.field(factory=list)
    dead_since: dict[str, float] = attrs.field(factory=dict)


class _FakeMembership:
    """Delayed view that one gateway has of the membership."""

    def __init__(self, player: LimitPlayer, gateway: _Gateway) -> None:
        self._player = player
        self._gateway = gateway

    def members(self) -> tuple[Member, ...]:
        states = (self._member_as_seen(other) for other in self._player.gateways)
        return tuple(member for member in states if member is not None)

    def live(self) -> tuple[Member, ...]:
        return tuple(one for one in self.members() if one.state is MemberState.ALIVE)

    def dead_for_s(self, name: str) -> float:
        since = self._gateway.dead_since.get(name)
        return 0.0 if since is None else self._player.clock.now - since

    def _member_as_seen(self, other: _Gateway) -> Member:
        if other is self._gateway or not self._player.considers_dead(self._gateway, other):
            self._gateway.dead_since.pop(other.member.name, None)
            return other.member
        self._gateway.dead_since.setdefault(other.member.name, self._player.clock.now)
        return as_dead(other.member)


def as_dead(member: Member) -> Member:
    """Return the record of a member with the state dead."""
    return Member(
        member.name, member.zone, member.region, member.peer, member.http, MemberState.DEAD
    )


class _FakePeerClient:
    """Replaces a gateway's ``PeerClient``: calls the handlers of other gateways directly."""

    def __init__(self, player: LimitPlayer, gateway: _Gateway) -> None:
        self._player = player
        self._gateway = gateway

    def call(
        self, endpoint: Endpoint, message: PeerMessage, reply_type: type, timeout_s: float
    ) -> PeerMessage | PeerNoReply | PeerRefusal:
        self._player.peer_calls += 1
        other = self._player.gateways[endpoint.port]
        if not other.alive or other.paused or self._gateway.cut or other.cut:
            waits = self._gateway.cut or other.cut or other.paused
            self._player.waited_s += timeout_s if waits else PEER_CALL_S
            return PeerNoReply(endpoint, "cut off or ended")
        self._player.waited_s += PEER_CALL_S
        return other.handlers.by_type[type(message)](message)


class _StoreCredits:
    """Buckets in the store, one object per tenant, from which gateways take credits."""

    def __init__(self, player: LimitPlayer) -> None:
        self._player = player
        self._buckets: dict[str, Bucket] = {}

    def take(self, tenant: str, wanted: int) -> int:
        player = self._player
        player.store_calls += 2
        player.waited_s += 2 * STORE_CALL_S
        limits = player.limits_of(tenant)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = Bucket(limits.requests_per_s, limits.burst)
        bucket.reconfigure(limits.requests_per_s, limits.burst)
        return bucket.take_up_to(wanted)


class StoreLimiter:
    """Takes credits from the store on demand, and some in advance for busy tenants."""

    AHEAD_S = 0.2

    def __init__(self, player: LimitPlayer, gateway: _Gateway, credits: _StoreCredits) -> None:
        self._player = player
        self._gateway = gateway
        self._credits = credits
        self._held: dict[str, tuple[int, float]] = {}
        self._last: dict[str, list[float]] = {}

    def admit(self, tenant: str, tokens: int) -> object | None:
        now = self._player.clock.now
        recent = [at for at in self._last.get(tenant, []) if now - at < 1.0] + [now]
        self._last[tenant] = recent
        held, until = self._held.get(tenant, (0, 0.0))
        if held < 1 or now > until:
            held = 0
            if not self._gateway.cut and not self._player.store_is_down():
                wanted = max(1, round(len(recent) * self.AHEAD_S))
                held = self._credits.take(tenant, wanted)
            until = now + 2 * self.AHEAD_S
        self._held[tenant] = (held - 1, until)
        return None if held >= 1 else object()


class SharesLimiter:
    """Admits a share of each tenant's rate, by the demands that gateways sent each other."""

    MIN_SHARE = 0.5

    def __init__(self, player: LimitPlayer, gateway: _Gateway) -> None:
        self._player = player
        self._gateway = gateway
        self.demand: dict[str, float] = {}
        self._counts: dict[str, int] = {}
        self._total_demand: dict[str, float] = {}
        self._buckets: dict[str, Bucket] = {}

    def tick(self) -> None:
        """Update the local demand, and collect the demands of all reachable gateways."""
        for tenant in self._counts.keys() | self.demand.keys():
            newest = self._counts.get(tenant, 0) / TICK_S
            known = self.demand.get(tenant, 0.0)
            self.demand[tenant] = known + 0.3 * (newest - known)
        self._counts.clear()
        player = self._player
        reachable = [
            other
            for other in player.gateways
            if other is self._gateway or (other.alive and not other.cut and not self._gateway.cut)
        ]
        player.peer_calls += len(reachable) - 1
        self._total_demand = {}
        for other in reachable:
            for tenant, per_s in other.limiter.demand.items():
                self._total_demand[tenant] = self._total_demand.get(tenant, 0.0) + per_s

    def admit(self, tenant: str, tokens: int) -> object | None:
        self._counts[tenant] = self._counts.get(tenant, 0) + 1
        limits = self._player.limits_of(tenant)
        gateways = len(self._player.gateways)
        total_demand = self._total_demand.get(tenant, 0.0)
        by_demand = self.demand.get(tenant, 0.0) / total_demand if total_demand else 0.0
        demand_share = min(1.0, self.MIN_SHARE / gateways + (1 - self.MIN_SHARE) * by_demand)
        capacity = max(1.0, limits.burst * demand_share)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = Bucket(limits.requests_per_s * demand_share, capacity)
        bucket.reconfigure(limits.requests_per_s * demand_share, capacity)
        return None if bucket.take_up_to(1) else object()


class LimitPlayer:
    """One simulation of a load."""

    def __init__(self, load: LimitLoad, method: str, seed: int, overrun: Overrun) -> None:
        self.load = load
        self.clock = _Clock()
        self.peer_calls = 0
        self.store_calls = 0
        self.waited_s = 0.0
        self._method = method
        self._overrun = overrun
        self._random = random.Random(seed)
        self._store = _StoreCredits(self)
        self._started_at = self.clock.now
        self._changed_at: dict[int, float] = {}
        self.gateways = [self._build_gateway(index) for index in range(load.gateways)]

    def play(self) -> LimitOutcome:
        """Simulate the load in virtual time."""
        with mock.patch.object(boot_clock, "now", self.clock):
            for gateway in self.gateways:
                self._start(gateway)
            return self._run()

    def limits_of(self, tenant: str) -> TenantLimits:
        """Return the current limits of a tenant."""
        rank = int(tenant)
        rate = self.load.limit_of(rank)
        if rank == 0 and self._elapsed() >= self.load.limit_at:
            rate *= self.load.limit_x
        return TenantLimits(rate, rate)

    def store_is_down(self) -> bool:
        """Return whether the store has an outage."""
        begin, end = self.load.store_down
        return begin <= self._elapsed() < end

    def considers_dead(self, gateway: _Gateway, other: _Gateway) -> bool:
        """Return whether a gateway considers another dead, with the delay of the detection."""
        if gateway.queued:
            return False  # After a pause it continues with its old view.
        silent = not other.alive or other.paused or gateway.cut or other.cut
        changed_at = max(
            self._changed_at.get(gateway.index, -1e9) if gateway.cut else -1e9,
            self._changed_at.get(other.index, -1e9),
        )
        detection_s = DEATH_DETECTION_S if silent else RETURN_DETECTION_S
        if gateway.cut:
            # It has to probe the others one by one, as it gets no reports of them.
            detection_s += PROBE_INTERVAL_S * other.index
        return (
            silent if self.clock.now - changed_at >= detection_s else not silent and changed_at > 0
        )

    def _elapsed(self) -> float:
        return self.clock.now - self._started_at

    def _build_gateway(self, index: int) -> _Gateway:
        cores = STRONG_CORES if index < max(1, self.load.gateways // 8) else WEAK_CORES
        endpoint = Endpoint("10.0.0.1", index)
        name = f"edge-{index}"
        return _Gateway(index, Member(name, "a", "r", endpoint, endpoint, cores=cores))

    def _start(self, gateway: _Gateway) -> None:
        """Start a new process of a gateway, without the state of the previous one."""
        gateway.handlers = _FakePeerServer()
        if self._method == "granted":
            fleet = GatewayFleet(
                _FakeMembership(self, gateway), gateway.member.name, lambda one: True
            )
            gateway.starts += 1
            gateway.limiter = TenantLimiter(
                gateway.member.name,
                f"{gateway.member.name}#{gateway.starts}",
                self.limits_of,
                fleet,
                _FakePeerClient(self, gateway),
                gateway.handlers,
                self._overrun,
                paced_timeout_s=0.0,
            )
        elif self._method == "store":
            gateway.limiter = StoreLimiter(self, gateway, self._store)
        else:
            gateway.limiter = SharesLimiter(self, gateway)

    def _run(self) -> LimitOutcome:
        outcome = LimitOutcome()
        admitted: dict[str, list[float]] = {}
        ideal: dict[str, WindowCount] = {}
        within = refused_within = 0
        for at, tenant in self._events():
            self.clock.now = self._started_at + at
            if tenant is None:
                self._tick()
                continue
            candidates = [one for one in self.gateways if one.alive]
            if not candidates:
                continue
            ideal_count = ideal.setdefault(tenant, WindowCount(self._overrun.window_s))
            allowed = allowed_in_window(self.limits_of(tenant), self._overrun, 1.0)
            is_within = ideal_count.total(self.clock.now) + 1 <= allowed
            ideal_count.add(is_within, self.clock.now)
            gateway = self._random.choice(candidates)
            outcome.asked += 1
            within += is_within
            if gateway.paused:
                gateway.queued.append(tenant)
                continue
            # Requests queued during a pause are processed first, all at once.
            for requesting_tenant in [*gateway.queued, tenant]:
                self.waited_s = 0.0
                refused = gateway.limiter.admit(requesting_tenant, 0) is not None
                outcome.longest_wait_s = max(outcome.longest_wait_s, self.waited_s)
                if not refused:
                    outcome.admitted += 1
                    admitted.setdefault(requesting_tenant, []).append(at)
            gateway.queued.clear()
            refused_within += is_within and refused
        outcome.refused_within_limit = max(0, refused_within) / max(1, within)
        outcome.peer_calls = self.peer_calls / self.load.length_s
        outcome.store_calls = self.store_calls / self.load.length_s
        for tenant, times in admitted.items():
            outcome.overrun = max(outcome.overrun, self._worst_excess(int(tenant), times))
        return outcome

    def _worst_excess(self, rank: int, times: list[float]) -> float:
        """Return the largest excess in any window over the allowed and tolerated requests."""
        worst = float("-inf")
        window_s = self._overrun.window_s
        for index, begin in enumerate(times):
            count = bisect.bisect_right(times, begin + window_s) - index
            rate = self.load.limit_of(rank)
            if rank == 0 and begin >= self.load.limit_at + window_s:
                rate *= self.load.limit_x
            limits = TenantLimits(rate, rate)
            allowed = rate * window_s + limits.burst + self._overrun.tolerated(limits)
            worst = max(worst, count - allowed)
        return worst

    def _tick(self) -> None:
        if self._method == "shares":
            for gateway in self.gateways:
                if gateway.alive:
                    gateway.limiter.tick()

    def _events(self) -> Iterator[tuple[float, str | None]]:
        """Yield arrivals and ticks in order, applying faults; the tenant of a tick is ``None``."""
        events: list[tuple[float, str | None]] = []
        for rank in range(self.load.tenants):
            events += [(at, str(rank)) for at in self._arrivals(rank)]
        ticks = int(self.load.length_s / TICK_S)
        events += [(tick * TICK_S, None) for tick in range(ticks)]
        events.sort(key=lambda event: event[0])
        yield from self._with_faults(events)

    def _with_faults(
        self, events: list[tuple[float, str | None]]
    ) -> Iterator[tuple[float, str | None]]:
        changes: list[tuple[float, int, Fault, tuple[_Gateway, ...], bool]] = []
        for number, fault in enumerate(self.load.faults):
            affected = self._draw_affected(fault)
            heapq.heappush(changes, (fault.at, number, fault, affected, True))
            heapq.heappush(changes, (fault.at + fault.for_s, number, fault, affected, False))
        for at, tenant in events:
            while changes and changes[0][0] <= at:
                when, _, fault, affected, begins = heapq.heappop(changes)
                self.clock.now = self._started_at + when
                self._apply_fault(fault, affected, begins)
            yield at, tenant

    def _draw_affected(self, fault: Fault) -> tuple[_Gateway, ...]:
        drawn = list(self.gateways)
        self._random.shuffle(drawn)
        if fault.with_granter:
            # Gateways 0 and 1 are among those with more processor time, which are granters.
            drawn.sort(key=lambda one: one.index not in (0, 1))
        return tuple(drawn[: max(1, round(fault.share * len(drawn)))])

    def _apply_fault(self, fault: Fault, affected: tuple[_Gateway, ...], begins: bool) -> None:
        for gateway in affected:
            self._changed_at[gateway.index] = self.clock.now
            if fault.kind == "cut":
                gateway.cut = begins
            elif fault.kind == "paused":
                gateway.paused = begins
            else:
                gateway.alive = not begins
                if not begins:
                    self._start(gateway)

    def _arrivals(self, rank: int) -> list[float]:
        """Return the arrival times of a tenant's requests, with periodic bursts."""
        usual = self.load.usual_of(rank)
        times = []
        at = 0.0
        while at < self.load.length_s:
            per_s = usual * (1.91 if at % 6.0 >= 3.6 else 0.391)
            if rank == 0 and self.load.hot_from <= at < self.load.hot_until:
                per_s *= self.load.hot_x
            at += max(MIN_ARRIVAL_GAP_S, self._random.expovariate(per_s))
            times.append(at)
        return [at for at in times if at < self.load.length_s]
