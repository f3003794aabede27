"""Shares the free slots of engines among the coordinators of batch jobs.

For each pool of engines one gateway keeps room: the one that ranks first for it. Gateways tell it
of their online requests in flight, and coordinators of the items that run and wait, so that it
counts what every engine has. It grants free slots to what is due first, and has what is due last
cut when an online request would wait. It alone polls the engines, for their memory and as a check.
Who keeps room holds nothing that must last: when it dies, coordinators ask the next in rank, and
go on with what runs meanwhile.
"""

from __future__ import annotations

import random
import threading
from collections import Counter
from collections.abc import Callable, Iterable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.slot_messages import (
    NO_QUEUE,
    ClaimSlots,
    ItemsAt,
    OnlineInFlight,
    OnlinePlaced,
    PlaceOnline,
    PoolLoads,
    SlotsGranted,
    SlownessReport,
    WantedItems,
)
from quaymill.process.jobs.engine_loads import EngineLoads, reserve_of
from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.jobs.item_urgency import RoutePaces
from quaymill.process.jobs.pool_counts import Claim, PoolCounts, RunningItems
from quaymill.process.jobs.slot_grants import PoolQueues, SlotGrant
from quaymill.process.replica_set.replica import Replica, best_group
from quaymill.process.replica_set.replica_cost import least_costly
from quaymill.process.replica_set.table import ReplicaTable

CLAIM_LIFETIME_S = 1.0
ONLINE_LIFETIME_S = 1.0
"""How long a gateway's word of its online requests counts: four times what it repeats it in."""
FORGET_INTERVAL_S = 0.1
"""Time between two looks for words that are too old: a tenth of how long they count."""
SAME_DUE_S = 0.5
"""Difference of due times that does not count: they are known no better after a hand-over."""
WAKE_INTERVAL_S = 0.05
"""Least time between two words of free room to a coordinator: it claims no more often."""
OWN_ZONE_BONUS = 1.0
"""Free slots by which a replica of the coordinator's zone counts as emptier."""


PreemptCall = Callable[[str, tuple[ItemsAt, ...]], None]
"""Asks a coordinator to cut items at once; called without any lock."""
SendGrant = Callable[[SlotGrant], None]
"""Has a gateway told whose turn it is; called without any lock, ``grant_answered`` follows."""


class SlotAllocator:
    """Answers claims for any pool; safe to use from any thread.

    Parameters
    ----------
    preempt_items
        How coordinators are asked to give way at once; without it they hear of it with their
        next claim.
    wake
        Tells a coordinator that there is room for its items.
    send_grant
        How gateways are told whose turn it is; without it no request waits here.
    """

    def __init__(
        self,
        table: ReplicaTable,
        loads: EngineLoads,
        peer_server: PeerServer | None = None,
        preempt_items: PreemptCall | None = None,
        wake: Callable[[str], None] = lambda coordinator: None,
        send_grant: SendGrant | None = None,
    ) -> None:
        self._table = table
        self._loads = loads
        self._order_back = preempt_items
        self._wake = wake
        self._woken_at: dict[str, float] = {}
        self._random = random.Random()
        self._send_turn = send_grant
        self.turns = PoolQueues(self._random)
        self._lock = threading.Lock()
        self._counts_by_pool: dict[EnginePool, PoolCounts] = {}
        self._owed_by_coordinator: dict[str, Counter[str]] = {}
        self._paces = RoutePaces()
        self._forget_at = 0.0
        if peer_server is not None:
            peer_server.register(ClaimSlots, self.claim)
            peer_server.register(OnlineInFlight, self.record_online)
            peer_server.register(PlaceOnline, self.place_online)

    def claim(self, message: ClaimSlots) -> SlotsGranted:
        """Take a claim, and tell what may be started and what is to be given back."""
        pool = EnginePool(message.service, message.pool, message.pools)
        self._paces.add_all(message.done)
        with self._lock:
            counts = self._counts(pool)
            counts.take_claim(message.coordinator, Claim.from_message(message, boot_clock.now()))
            self._want_reports()
            replicas = pool.members(self._table)
            self._share_out_excess(counts, replicas)
            give_back = self._owed_by_coordinator.pop(message.coordinator, Counter())
            reachable = [replica for replica in replicas if replica.id not in message.avoided]
            starts = self._grant(counts, message, reachable)
            turns = self._give_turns(pool, counts, replicas)
            orders = self._take_orders()
            to_wake = self._first_to_wake(counts, replicas)
        self._send_turns(turns)
        self._send_orders(orders)
        if to_wake and to_wake != message.coordinator:
            self._wake(to_wake)
        return SlotsGranted(_items_at(starts), _items_at(give_back), self._paces.averages())

    def record_online(self, message: OnlineInFlight) -> PoolLoads:
        """Count online requests, let batch items give way to them, and tell the pool's loads."""
        self._take_told(message.slowness_reports)
        pool = EnginePool(message.service, message.pool, message.pools)
        with self._lock:
            counts = self._counts(pool)
            in_flight = _by_replica(message.in_flight)
            counts.take_online(message.gateway, in_flight, boot_clock.now())
            self.turns.depart(pool, message.withdrawn)
            replicas = pool.members(self._table)
            turns = self._give_turns(pool, counts, replicas)
            self._share_out_excess(counts, [one for one in replicas if one.id in in_flight])
            orders = self._take_orders()
            loads = counts.loads(replicas)
            line = self._line_length(pool)
            to_wake = self._first_to_wake(counts, replicas)
        self._send_turns(turns)
        self._send_orders(orders)
        if to_wake:
            self._wake(to_wake)
        return PoolLoads(loads, line)

    def place_online(self, message: PlaceOnline) -> OnlinePlaced:
        """Choose the replica of an online request, and let batch items give way to it there.

        The next request is placed by counts that hold this one, whoever asks: gateways that
        chose by themselves would all take the replica that was least busy a moment ago.
        """
        self._take_told(message.slowness_reports)
        pool = EnginePool(message.service, message.pool, message.pools)
        with self._lock:
            counts = self._counts(pool)
            counts.take_online(message.gateway, _by_replica(message.in_flight), boot_clock.now())
            self.turns.depart(pool, message.withdrawn)
            replicas = pool.members(self._table)
            turns: list[SlotGrant] = []
            if message.terms is None or self._send_turn is None:
                answer = self._place_now(pool, counts, replicas, message)
            else:
                answer, turns = self._place_or_line_up(pool, counts, replicas, message)
            orders = self._take_orders()
        self._send_turns(turns)
        self._send_orders(orders)
        return answer

    def _place_now(
        self, pool: EnginePool, counts: PoolCounts, replicas: list[Replica], message: PlaceOnline
    ) -> OnlinePlaced:
        """Place a request whether or not a slot is free; the lock is held."""
        chosen = self._least_costly(counts, replicas, message)
        if chosen is None:
            return OnlinePlaced("", counts.loads(replicas), self._line_length(pool))
        return self._placed_at(chosen, pool, counts, replicas, message)

    def _least_costly(
        self, counts: PoolCounts, replicas: list[Replica], message: PlaceOnline
    ) -> Replica | None:
        allowed = best_group(one for one in replicas if one.id not in message.excluded)
        if not allowed:
            return None
        offsets = {offset.replica_id: offset.requests for offset in message.offsets}
        return least_costly(allowed, counts.online_load, message.zone, offsets, self._random)

    def _placed_at(
        self,
        chosen: Replica,
        pool: EnginePool,
        counts: PoolCounts,
        replicas: list[Replica],
        message: PlaceOnline,
    ) -> OnlinePlaced:
        counts.place_at(message.gateway, chosen.id)
        self._share_out_excess(counts, [chosen])
        return OnlinePlaced(chosen.id, counts.loads(replicas), self._line_length(pool))

    def _place_or_line_up(
        self, pool: EnginePool, counts: PoolCounts, replicas: list[Replica], message: PlaceOnline
    ) -> tuple[OnlinePlaced, list[SlotGrant]]:
        """Place a request if its turn is now, else let it wait; the lock is held."""
        now = boot_clock.now()
        if not self.turns.length(pool):
            chosen = self._least_costly(counts, replicas, message)
            if chosen is None:
                return OnlinePlaced("", counts.loads(replicas), 0), []
            if counts.online_load(chosen) < chosen.slots:
                self.turns.pass_by(pool, message.terms.tenant)
                return self._placed_at(chosen, pool, counts, replicas, message), []
        if all(one.id in message.excluded for one in replicas):
            return OnlinePlaced("", counts.loads(replicas), self._line_length(pool)), []
        waiter = self.turns.join(pool, message, now)
        turns = self._give_turns(pool, counts, replicas)
        own = next((turn for turn in turns if turn.ticket == waiter.ticket), None)
        if own is not None:
            self.turns.answered(own, counts, taken=True)
            turns.remove(own)
            placed = OnlinePlaced(own.replica.id, counts.loads(replicas), self._line_length(pool))
            return placed, turns
        retry_after_s = self.turns.refuse(pool, waiter, replicas, now)
        waits = retry_after_s is None
        line = self._line_length(pool)
        return OnlinePlaced("", counts.loads(replicas), line, waits, retry_after_s), turns

    def grant_answered(self, turn: SlotGrant, taken: bool | None) -> None:
        """Take a gateway's answer to a turn; ``None`` if its process is gone, with all it held.

        The slot of a turn that was not taken goes to the next. One that was not answered in time
        costs its own request the place: it asks again, or goes by its gateway's view.
        """
        with self._lock:
            counts = self._counts(turn.pool)
            self.turns.answered(turn, counts, taken=bool(taken))
            if taken is None:
                dropped = self.turns.drop_process(turn.process)
                log_message("line:gateway_gone", gateway=turn.gateway, dropped=dropped)
            replicas = turn.pool.members(self._table)
            turns = [] if taken else self._give_turns(turn.pool, counts, replicas)
            orders = self._take_orders()
        self._send_turns(turns)
        self._send_orders(orders)

    def _give_turns(
        self, pool: EnginePool, counts: PoolCounts, replicas: list[Replica]
    ) -> list[SlotGrant]:
        """Give what is free to who waits, and let batch items give way; the lock is held."""
        turns = self.turns.give(pool, counts, replicas, boot_clock.now())
        if turns:
            self._share_out_excess(counts, [turn.replica for turn in turns])
        return turns

    def _send_turns(self, turns: list[SlotGrant]) -> None:
        for turn in turns:
            self._send_turn(turn)

    def _line_length(self, pool: EnginePool) -> int:
        """Return what gateways are told of the line."""
        return NO_QUEUE if self._send_turn is None else self.turns.length(pool)

    def _take_told(self, told: Iterable[SlownessReport]) -> None:
        for one in told:
            replica = self._table.get(one.replica_id)
            if replica is not None:
                replica.take_slowness(one.slowness, one.age_s)

    def _counts(self, pool: EnginePool) -> PoolCounts:
        """Return a pool's counts, without words that are too old; the lock is held."""
        now = boot_clock.now()
        if now >= self._forget_at:
            self._forget_at = now + FORGET_INTERVAL_S
            self._forget(now)
        return self._counts_by_pool.setdefault(pool, PoolCounts())

    def _forget(self, now: float) -> None:
        for pool, counts in list(self._counts_by_pool.items()):
            counts.forget_before(now - ONLINE_LIFETIME_S, now - CLAIM_LIFETIME_S)
            if counts.is_empty:
                del self._counts_by_pool[pool]

    def _first_to_wake(self, counts: PoolCounts, replicas: list[Replica]) -> str:
        """Return who should claim at once: whose items are due first, if there is room."""
        now = boot_clock.now()
        claims = counts.claims
        first = min(
            (
                (waiting.due_at, name)
                for name, claim in claims.items()
                for waiting in claim.waiting
                if now - self._woken_at.get(name, 0.0) >= WAKE_INTERVAL_S
                and now - claim.at >= WAKE_INTERVAL_S
            ),
            default=None,
        )
        if first is None or not any(_has_room(counts, replica) for replica in replicas):
            return ""
        self._woken_at = {name: at for name, at in self._woken_at.items() if name in claims}
        self._woken_at[first[1]] = now
        return first[1]

    def _take_orders(self) -> dict[str, Counter[str]]:
        """Take what coordinators owe, if they can be asked at once; the lock is held."""
        if self._order_back is None:
            return {}
        orders, self._owed_by_coordinator = self._owed_by_coordinator, {}
        return orders

    def _send_orders(self, orders: dict[str, Counter[str]]) -> None:
        for coordinator, owed in orders.items():
            self._order_back(coordinator, _items_at(owed))

    def _want_reports(self) -> None:
        pools = [
            pool.members(self._table)
            for pool, counts in self._counts_by_pool.items()
            if counts.claims
        ]
        self._loads.want([replica for replicas in pools for replica in replicas])

    def _share_out_excess(self, counts: PoolCounts, replicas: list[Replica]) -> None:
        """Note what each coordinator owes where requests wait, by the counts or the report."""
        for replica in replicas:
            excess = max(counts.at(replica) - replica.slots, self._loads.excess(replica))
            if excess <= 0 or not counts.batch[replica.id]:
                continue
            for name, running in _least_urgent_first(counts.claims, replica):
                share = min(excess, running.items)
                if share <= 0:
                    break
                self._owed_by_coordinator.setdefault(name, Counter())[replica.id] += share
                counts.cut_items(running, share)
                excess -= share
                self._loads.gave_way(replica)

    def _grant(
        self,
        counts: PoolCounts,
        message: ClaimSlots,
        replicas: list[Replica],
    ) -> Counter[str]:
        """Grant starts, what is due first before all else, whoever coordinates it."""
        starts: Counter[str] = Counter()
        now = boot_clock.now()
        for wanted in message.wanted:
            due_at = now + wanted.due_in_s
            free = sum(self._room(counts, replica, wanted) for replica in replicas)
            part = _part(counts.claims, message.coordinator, free, due_at)
            for _ in range(min(wanted.items, part)):
                replica = self._emptiest(counts, message.zone, replicas, wanted)
                if replica is None:
                    break
                self._loads.started(replica, wanted.tokens)
                counts.start_item(message.coordinator, replica, due_at)
                starts[replica.id] += 1
        return starts

    def _emptiest(
        self, counts: PoolCounts, zone: str, replicas: list[Replica], wanted: WantedItems
    ) -> Replica | None:
        best: Replica | None = None
        best_room = 0.0
        for replica in replicas:
            room = float(self._room(counts, replica, wanted))
            if room >= 1 and replica.entry.zone == zone:
                room += OWN_ZONE_BONUS
            if room > best_room:
                best, best_room = replica, room
        return best

    def _room(self, counts: PoolCounts, replica: Replica, wanted: WantedItems) -> int:
        """Return the items that may be started at a replica, by the counts and its report."""
        counted = replica.slots - reserve_of(replica, wanted.reserve_share) - counts.at(replica)
        if counted <= 0:
            return 0
        return min(counted, self._loads.room(replica, wanted.tokens))


def _part(claims: dict[str, Claim], coordinator: str, free: int, due_at: float) -> int:
    """Return what is free beyond what items of others want that are due clearly earlier.

    Those that are due at about the same time share evenly.
    """
    others = [claim for name, claim in claims.items() if name != coordinator]
    earlier = sum(
        one.items for claim in others for one in claim.waiting if one.due_at < due_at - SAME_DUE_S
    )
    alike = sum(
        any(abs(one.due_at - due_at) <= SAME_DUE_S for one in claim.waiting) for claim in others
    )
    return -(-max(0, free - earlier) // (1 + alike))


def _has_room(counts: PoolCounts, replica: Replica) -> bool:
    taken = counts.at(replica) + reserve_of(replica, 0.0)
    return taken < replica.slots and not replica.avoided


def _least_urgent_first(
    claims: dict[str, Claim], replica: Replica
) -> list[tuple[str, RunningItems]]:
    """Return what runs at a replica, with its coordinators' names, in the order of giving way."""
    found = [
        (name, running)
        for name, claim in claims.items()
        for running in claim.running
        if running.replica_id == replica.id and running.items
    ]
    return sorted(found, key=lambda pair: -pair[1].due_at)


def _items_at(counts: Counter[str]) -> tuple[ItemsAt, ...]:
    return tuple(ItemsAt(replica_id, items) for replica_id, items in counts.items() if items)


def _by_replica(at: Iterable[ItemsAt]) -> Counter[str]:
    return Counter({one.replica_id: one.items for one in at})
