"""Shares the free slots of engines among the coordinators of batch jobs.

For each pool of engines one gateway keeps room: the one that ranks first for it. It alone polls the
engines, so that a poll is paid once, and it knows what it has granted, so that coordinators
do not all start items in the same free slots. Who keeps room holds nothing that must last: when
it dies, coordinators ask the next in rank, and go on with what runs meanwhile.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable

import attrs

from quaymill.connection.peer_link import PeerServer
from quaymill.connection.room_messages import (
    ClaimRoom,
    ItemsAt,
    OnlineInFlight,
    PoolLoads,
    ReplicaLoad,
    RoomGranted,
    WantedItems,
)
from quaymill.process.jobs.engine_loads import EngineLoads, reserve_of
from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.table import ReplicaTable

CLAIM_LIFETIME_S = 1.0
ONLINE_LIFETIME_S = 1.0
"""How long a gateway's word of its online requests counts: four times what it repeats it in."""
OWN_ZONE_BONUS = 1.0
"""Free slots by which a replica of the coordinator's zone counts as emptier."""


@attrs.frozen
class _Claim:
    """What a coordinator said last.

    Attributes
    ----------
    at
        Monotonic time when it came.
    waits
        Whether it has items that wait.
    """

    running_by_replica: dict[str, int]
    waits: bool
    at: float


@attrs.frozen
class _Online:
    """What a gateway said last of its online requests.

    Attributes
    ----------
    counts
        Requests by replica.
    at
        Monotonic time when it came.
    """

    counts: dict[str, int]
    at: float


OrderBack = Callable[[str, tuple[ItemsAt, ...]], None]
"""Asks a coordinator to cut items at once; called without any lock."""


class RoomKeeper:
    """Answers claims for any pool; safe to use from any thread.

    Parameters
    ----------
    order_back
        How coordinators are asked to give way at once; without it they hear of it with their
        next claim.
    """

    def __init__(
        self,
        table: ReplicaTable,
        loads: EngineLoads,
        peer_server: PeerServer | None = None,
        order_back: OrderBack | None = None,
    ) -> None:
        self._table = table
        self._loads = loads
        self._order_back = order_back
        self._lock = threading.Lock()
        self._claims_by_pool: dict[EnginePool, dict[str, _Claim]] = {}
        self._owed_by_coordinator: dict[str, Counter[str]] = {}
        self._online_by_pool: dict[EnginePool, dict[str, _Online]] = {}
        if peer_server is not None:
            peer_server.register(ClaimRoom, self.claim)
            peer_server.register(OnlineInFlight, self.note_online)

    def claim(self, message: ClaimRoom) -> RoomGranted:
        """Take a claim, and tell what may be started and what is to be given back."""
        pool = EnginePool(message.service, message.pool, message.pools)
        with self._lock:
            self._take(pool, message)
            self._want_reports()
            replicas = pool.members(self._table)
            self._share_out_excess(pool, replicas)
            give_back = self._owed_by_coordinator.pop(message.coordinator, Counter())
            reachable = [replica for replica in replicas if replica.id not in message.avoided]
            starts = self._grant(pool, message, reachable)
            orders = self._take_orders()
        self._send_orders(orders)
        return RoomGranted(_items_at(starts), _items_at(give_back))

    def note_online(self, message: OnlineInFlight) -> PoolLoads:
        """Count online requests, let batch items give way to them, and tell the pool's loads."""
        pool = EnginePool(message.service, message.pool, message.pools)
        counts = {at.replica_id: at.items for at in message.in_flight}
        with self._lock:
            now = time.monotonic()
            known = self._online_by_pool.get(pool, {})
            fresh = {name: one for name, one in known.items() if now - one.at < ONLINE_LIFETIME_S}
            self._online_by_pool[pool] = fresh | {message.gateway: _Online(counts, now)}
            replicas = pool.members(self._table)
            self._share_out_excess(pool, [one for one in replicas if one.id in counts])
            orders = self._take_orders()
            loads = tuple(
                ReplicaLoad(one.id, self._online_at(pool, one), self._batch_at(pool, one))
                for one in replicas
            )
        self._send_orders(orders)
        return PoolLoads(loads)

    def _online_at(self, pool: EnginePool, replica: Replica) -> int:
        """Return the online requests at a replica, as the gateways tell of them."""
        oldest = time.monotonic() - ONLINE_LIFETIME_S
        gateways = self._online_by_pool.get(pool, {}).values()
        return sum(known.counts.get(replica.id, 0) for known in gateways if known.at > oldest)

    def _batch_at(self, pool: EnginePool, replica: Replica) -> int:
        """Return the items at a replica, those granted or cut since the claims included."""
        claims = self._claims_by_pool.get(pool, {}).values()
        return sum(claim.running_by_replica.get(replica.id, 0) for claim in claims)

    def _requests_at(self, pool: EnginePool, replica: Replica) -> int:
        return self._online_at(pool, replica) + self._batch_at(pool, replica)

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
        pools = [pool.members(self._table) for pool in self._claims_by_pool]
        self._loads.want([replica for replicas in pools for replica in replicas])

    def _take(self, pool: EnginePool, message: ClaimRoom) -> None:
        """Remember a claim, and forget those of coordinators that claim no more."""
        now = time.monotonic()
        claims = self._claims_by_pool.setdefault(pool, {})
        running = {at.replica_id: at.items for at in message.running}
        claims[message.coordinator] = _Claim(running, bool(message.wanted), now)
        for other, known in list(self._claims_by_pool.items()):
            kept = {
                name: claim for name, claim in known.items() if now - claim.at < CLAIM_LIFETIME_S
            }
            self._claims_by_pool[other] = kept
            if not kept:
                del self._claims_by_pool[other]

    def _share_out_excess(self, pool: EnginePool, replicas: list[Replica]) -> None:
        """Note what each coordinator owes where requests wait, by the counts or the report."""
        claims = self._claims_by_pool.get(pool, {})
        for replica in replicas:
            counted = self._requests_at(pool, replica) - replica.slots
            excess = max(counted, self._loads.excess(replica))
            holders = sorted(
                claims, key=lambda name: -claims[name].running_by_replica.get(replica.id, 0)
            )
            for name in holders:
                running = claims[name].running_by_replica
                share = min(excess, running.get(replica.id, 0))
                if share <= 0:
                    break
                self._owed_by_coordinator.setdefault(name, Counter())[replica.id] += share
                running[replica.id] -= share
                excess -= share
                self._loads.gave_way(replica)

    def _grant(self, pool: EnginePool, message: ClaimRoom, replicas: list[Replica]) -> Counter[str]:
        """Grant starts, the most urgent first, no more than a fair part of what is free."""
        starts: Counter[str] = Counter()
        running = self._claims_by_pool[pool][message.coordinator].running_by_replica
        for wanted in message.wanted:
            fair = self._fair_part(pool, replicas, wanted)
            for _ in range(min(wanted.items, fair)):
                replica = self._emptiest(pool, message.zone, replicas, wanted)
                if replica is None:
                    break
                self._loads.started(replica, wanted.tokens)
                running[replica.id] = running.get(replica.id, 0) + 1
                starts[replica.id] += 1
        return starts

    def _fair_part(self, pool: EnginePool, replicas: list[Replica], wanted: WantedItems) -> int:
        free = sum(self._room(pool, replica, wanted) for replica in replicas)
        waiting = sum(1 for claim in self._claims_by_pool[pool].values() if claim.waits)
        return -(-free // max(1, waiting))

    def _emptiest(
        self, pool: EnginePool, zone: str, replicas: list[Replica], wanted: WantedItems
    ) -> Replica | None:
        best: Replica | None = None
        best_room = 0.0
        for replica in replicas:
            room = float(self._room(pool, replica, wanted))
            if room >= 1 and replica.entry.zone == zone:
                room += OWN_ZONE_BONUS
            if room > best_room:
                best, best_room = replica, room
        return best

    def _room(self, pool: EnginePool, replica: Replica, wanted: WantedItems) -> int:
        """Return the items that may be started at a replica, by the counts and its report."""
        reserve = reserve_of(replica, wanted.reserve_share)
        counted = replica.slots - reserve - self._requests_at(pool, replica)
        return max(0, min(counted, self._loads.room(replica, wanted.tokens)))


def _items_at(counts: Counter[str]) -> tuple[ItemsAt, ...]:
    return tuple(ItemsAt(replica_id, items) for replica_id, items in counts.items() if items)
