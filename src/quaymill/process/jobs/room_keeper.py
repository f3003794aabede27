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

import attrs

from quaymill.connection.peer_link import PeerServer
from quaymill.connection.room_messages import ClaimRoom, ItemsAt, RoomGranted, WantedItems
from quaymill.process.jobs.engine_loads import EngineLoads
from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.table import ReplicaTable

CLAIM_LIFETIME_S = 1.0
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


class RoomKeeper:
    """Answers claims for any pool; safe to use from any thread."""

    def __init__(
        self, table: ReplicaTable, loads: EngineLoads, peer_server: PeerServer | None = None
    ) -> None:
        self._table = table
        self._loads = loads
        self._lock = threading.Lock()
        self._claims_by_pool: dict[EnginePool, dict[str, _Claim]] = {}
        self._owed_by_coordinator: dict[str, Counter[str]] = {}
        if peer_server is not None:
            peer_server.register(ClaimRoom, self.claim)

    def claim(self, message: ClaimRoom) -> RoomGranted:
        """Take a claim, and tell what may be started and what is to be given back."""
        pool = EnginePool(message.service, message.pool, message.pools)
        with self._lock:
            self._take(pool, message)
            self._want_reports()
            replicas = pool.members(self._table)
            self._share_out_excess(self._claims_by_pool[pool], replicas)
            give_back = self._owed_by_coordinator.pop(message.coordinator, Counter())
            reachable = [replica for replica in replicas if replica.id not in message.avoided]
            starts = self._grant(pool, message, reachable)
        return RoomGranted(_items_at(starts), _items_at(give_back))

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

    def _share_out_excess(self, claims: dict[str, _Claim], replicas: list[Replica]) -> None:
        """Note what each coordinator owes where requests wait or no slot is free."""
        for replica in replicas:
            excess = self._loads.excess(replica)
            if not excess:
                continue
            self._loads.gave_way(replica)
            holders = sorted(
                claims, key=lambda name: -claims[name].running_by_replica.get(replica.id, 0)
            )
            for name in holders:
                running = claims[name].running_by_replica.get(replica.id, 0)
                share = min(excess, running)
                if share:
                    self._owed_by_coordinator.setdefault(name, Counter())[replica.id] += share
                    excess -= share

    def _grant(self, pool: EnginePool, message: ClaimRoom, replicas: list[Replica]) -> Counter[str]:
        """Grant starts, the most urgent first, no more than a fair part of what is free."""
        starts: Counter[str] = Counter()
        for wanted in message.wanted:
            fair = self._fair_part(pool, replicas, wanted)
            for _ in range(min(wanted.items, fair)):
                replica = self._emptiest(message.zone, replicas, wanted)
                if replica is None:
                    break
                self._loads.started(replica, wanted.tokens)
                starts[replica.id] += 1
        return starts

    def _fair_part(self, pool: EnginePool, replicas: list[Replica], wanted: WantedItems) -> int:
        free = sum(self._room(replica, wanted) for replica in replicas)
        waiting = sum(1 for claim in self._claims_by_pool[pool].values() if claim.waits)
        return -(-free // max(1, waiting))

    def _emptiest(self, zone: str, replicas: list[Replica], wanted: WantedItems) -> Replica | None:
        best: Replica | None = None
        best_room = 0.0
        for replica in replicas:
            room = float(self._room(replica, wanted))
            if room >= 1 and replica.entry.zone == zone:
                room += OWN_ZONE_BONUS
            if room > best_room:
                best, best_room = replica, room
        return best

    def _room(self, replica: Replica, wanted: WantedItems) -> int:
        return self._loads.room(replica, wanted.tokens, wanted.reserve_share)


def _items_at(counts: Counter[str]) -> tuple[ItemsAt, ...]:
    return tuple(ItemsAt(replica_id, items) for replica_id, items in counts.items() if items)
