"""Allocates the slots of engine pools to online requests and to the items of batch jobs.

Each pool of engines has one slot allocator: the gateway that ranks first for it. Gateways report
their online requests in flight to it, and coordinators report their running and waiting items, so
it can count the requests at every engine. It grants free slots to the items that are due first,
and preempts the items that are due last when an online request would have to wait. Only the
allocator polls the engines, for their free memory and to check its counts.

An allocator keeps no durable state: if it dies, coordinators claim from the gateway that ranks
next, and running items continue.
"""

from __future__ import annotations

import random
import threading
from collections import Counter
from collections.abc import Callable, Collection, Iterable

import msgspec
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.slot_messages import (
    NO_QUEUE,
    ClaimSlots,
    ColdReport,
    ItemsAt,
    OnlineInFlight,
    OnlinePlaced,
    PlaceOnline,
    PoolLoads,
    SlotsGranted,
    SlownessReport,
    WantedItems,
)
from quaymill.process.jobs.cold_grants import ColdGrants, cold_ids_of
from quaymill.process.jobs.engine_loads import EngineLoads, reserved_slots
from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.jobs.item_urgency import RoutePaces
from quaymill.process.jobs.pool_counts import Claim, PoolCounts, RunningItems
from quaymill.process.jobs.slot_grants import PoolQueues, SlotGrant
from quaymill.process.replica_set.replica import Replica, best_group
from quaymill.process.replica_set.replica_cost import least_costly, with_cold_load
from quaymill.process.replica_set.table import ReplicaTable

CLAIM_LIFETIME_S = 1.0
"""How long a coordinator's claim is valid; several times the interval at which it claims."""
ONLINE_LIFETIME_S = 1.0
"""How long a gateway's load report is valid: four times the interval at which it is repeated."""
EXPIRY_INTERVAL_S = 0.1
"""Time between two removals of expired claims and load reports."""
SAME_DUE_S = 0.5
"""Due times that differ by less are treated as equal: they are imprecise after a hand-over."""
WAKE_INTERVAL_S = 0.05
"""Minimum time between two notifications of free slots to one coordinator."""
OWN_ZONE_BONUS = 1.0
"""Free slots added to a replica in the coordinator's zone when replicas are compared."""


PreemptCall = Callable[[str, tuple[ItemsAt, ...]], None]
"""Asks a coordinator to preempt items immediately; called without holding a lock."""
SendGrant = Callable[[SlotGrant], None]
"""Sends a grant to its gateway, called without holding a lock.

``SlotAllocator.grant_answered`` is called later with the gateway's answer.
"""


class SlotAllocator:
    """Answers claims and placement requests for any pool; safe to use from any thread.

    Parameters
    ----------
    preempt_items
        Asks a coordinator to preempt items immediately; without it, the items to preempt are part
        of the answer to the coordinator's next claim.
    wake
        Notifies a coordinator that there are free slots for its items.
    send_grant
        Sends a slot grant to a gateway; without it, no request is queued here.
    cold_grants
        Limits the grants to cold replicas; by default there are none.
    """

    def __init__(
        self,
        table: ReplicaTable,
        loads: EngineLoads,
        peer_server: PeerServer | None = None,
        preempt_items: PreemptCall | None = None,
        wake: Callable[[str], None] = lambda coordinator: None,
        send_grant: SendGrant | None = None,
        cold_grants: ColdGrants | None = None,
    ) -> None:
        self._table = table
        self._loads = loads
        self._preempt_items = preempt_items
        self._wake = wake
        self._woken_at: dict[str, float] = {}
        self._random = random.Random()
        self._send_grant = send_grant
        self._cold_grants = cold_grants or ColdGrants()
        self.queues = PoolQueues(self._random, self._cold_grants)
        self._lock = threading.Lock()
        self._counts_by_pool: dict[EnginePool, PoolCounts] = {}
        self._to_preempt_by_coordinator: dict[str, Counter[str]] = {}
        self._paces = RoutePaces()
        self._next_expiry_at = 0.0
        if peer_server is not None:
            peer_server.register(ClaimSlots, self.claim)
            peer_server.register(OnlineInFlight, self.record_online)
            peer_server.register(PlaceOnline, self.place_online)

    def claim(self, message: ClaimSlots) -> SlotsGranted:
        """Record a claim; return the items to start and the items to preempt."""
        pool = EnginePool.from_message(message)
        self._paces.add_all(message.done)
        with self._lock:
            counts = self._counts(pool)
            counts.set_claim(message.coordinator, Claim.from_message(message, boot_clock.now()))
            self._poll_claimed_pools()
            replicas = pool.members(self._table)
            self._preempt_excess(counts, replicas)
            to_preempt = self._to_preempt_by_coordinator.pop(message.coordinator, Counter())
            reachable = [replica for replica in replicas if replica.id not in message.avoided]
            cold_ids = cold_ids_of(reachable)
            starts = self._grant_slots_to_items(pool, counts, message, reachable, cold_ids)
            cold = tuple(name for name in starts if name in cold_ids) or msgspec.UNSET
            grants = self._grant_slots_to_queue(pool, counts, replicas)
            preemptions = self._take_preemptions()
            to_wake = self._choose_coordinator_to_wake(counts, replicas)
        self._send_grants(grants)
        self._send_preemptions(preemptions)
        if to_wake and to_wake != message.coordinator:
            self._wake(to_wake)
        return SlotsGranted(_items_at(starts), _items_at(to_preempt), self._paces.averages(), cold)

    def record_online(self, message: OnlineInFlight) -> PoolLoads:
        """Count a gateway's online requests, and return the loads of the pool.

        Grants free slots to queued requests, and preempts batch items if an engine has too many
        requests.
        """
        self._record_slowness(message.slowness_reports)
        self._record_warm_ups(message.cold_reports)
        pool = EnginePool.from_message(message)
        with self._lock:
            counts = self._counts(pool)
            in_flight = _counts_by_replica(message.in_flight)
            counts.set_online(message.gateway, in_flight, boot_clock.now())
            self.queues.withdraw(pool, message.withdrawn)
            replicas = pool.members(self._table)
            grants = self._grant_slots_to_queue(pool, counts, replicas)
            self._preempt_excess(counts, [one for one in replicas if one.id in in_flight])
            preemptions = self._take_preemptions()
            loads = counts.loads(replicas)
            queue_length = self._reported_queue_length(pool)
            to_wake = self._choose_coordinator_to_wake(counts, replicas)
        self._send_grants(grants)
        self._send_preemptions(preemptions)
        if to_wake:
            self._wake(to_wake)
        return PoolLoads(loads, queue_length)

    def place_online(self, message: PlaceOnline) -> OnlinePlaced:
        """Place an online request or queue it; preempt batch items if necessary.

        A placed request is counted immediately, so that the next placement takes it into account.
        Gateways that chose a replica themselves would all choose the one that was least busy in the
        last load report.
        """
        self._record_slowness(message.slowness_reports)
        self._record_warm_ups(message.cold_reports)
        pool = EnginePool.from_message(message)
        with self._lock:
            counts = self._counts(pool)
            counts.set_online(
                message.gateway, _counts_by_replica(message.in_flight), boot_clock.now()
            )
            self.queues.withdraw(pool, message.withdrawn)
            replicas = pool.members(self._table)
            grants: list[SlotGrant] = []
            if message.terms is None or self._send_grant is None:
                answer = self._place_now(pool, counts, replicas, message)
            else:
                answer, grants = self._place_or_queue(pool, counts, replicas, message)
            preemptions = self._take_preemptions()
        self._send_grants(grants)
        self._send_preemptions(preemptions)
        return answer

    def _place_now(
        self, pool: EnginePool, counts: PoolCounts, replicas: list[Replica], message: PlaceOnline
    ) -> OnlinePlaced:
        """Place a request even if no slot is free; the lock is held."""
        cold_ids = cold_ids_of(replicas)
        chosen = self._least_costly(pool, counts, replicas, message, cold_ids)
        if chosen is None:
            return OnlinePlaced("", counts.loads(replicas), self._reported_queue_length(pool))
        return self._place_at(chosen, pool, counts, replicas, message, cold_ids)

    def _least_costly(
        self,
        pool: EnginePool,
        counts: PoolCounts,
        replicas: list[Replica],
        message: PlaceOnline,
        cold_ids: Collection[str],
    ) -> Replica | None:
        candidates = self._cold_grants.candidates(pool, replicas, cold_ids)
        allowed = best_group(one for one in candidates if one.id not in message.excluded)
        if not allowed:
            return None
        offsets = {offset.replica_id: offset.requests for offset in message.offsets}
        service_s = 0.0 if message.terms is None else message.terms.service_s
        load_of = with_cold_load(counts.online_load)
        return least_costly(allowed, load_of, message.zone, offsets, self._random, service_s)

    def _place_at(
        self,
        chosen: Replica,
        pool: EnginePool,
        counts: PoolCounts,
        replicas: list[Replica],
        message: PlaceOnline,
        cold_ids: Collection[str],
    ) -> OnlinePlaced:
        counts.add_online(message.gateway, chosen.id)
        self._preempt_excess(counts, [chosen])
        return OnlinePlaced(
            chosen.id,
            counts.loads(replicas),
            self._reported_queue_length(pool),
            cold=self._cold_grants.record(chosen, cold_ids) or msgspec.UNSET,
        )

    def _place_or_queue(
        self, pool: EnginePool, counts: PoolCounts, replicas: list[Replica], message: PlaceOnline
    ) -> tuple[OnlinePlaced, list[SlotGrant]]:
        """Place a request if it is granted a slot now, otherwise queue it; the lock is held."""
        now = boot_clock.now()
        if not self.queues.length(pool):
            cold_ids = cold_ids_of(replicas)
            chosen = self._least_costly(pool, counts, replicas, message, cold_ids)
            if chosen is not None and counts.online_load(chosen) < chosen.slots:
                self.queues.record_immediate(pool, message.terms.tenant)
                return self._place_at(chosen, pool, counts, replicas, message, cold_ids), []
        if all(one.id in message.excluded for one in replicas):
            return OnlinePlaced("", counts.loads(replicas), self._reported_queue_length(pool)), []
        queued = self.queues.join(pool, message, now)
        grants = self._grant_slots_to_queue(pool, counts, replicas)
        own_grant = next((grant for grant in grants if grant.ticket == queued.ticket), None)
        if own_grant is not None:
            self.queues.record_answer(own_grant, counts, accepted=True)
            grants.remove(own_grant)
            placed = OnlinePlaced(
                own_grant.replica.id,
                counts.loads(replicas),
                self._reported_queue_length(pool),
                cold=own_grant.cold or msgspec.UNSET,
            )
            return placed, grants
        retry_after_s = self.queues.refuse_if_infeasible(pool, queued, replicas, now)
        is_queued = retry_after_s is None
        queue_length = self._reported_queue_length(pool)
        return OnlinePlaced(
            "", counts.loads(replicas), queue_length, is_queued, retry_after_s
        ), grants

    def grant_answered(self, grant: SlotGrant, accepted: bool | None) -> None:
        """Record a gateway's answer to a grant.

        A slot whose grant was not accepted goes to the next queued request. A request whose grant
        was not answered in time loses its place in the queue: its gateway asks again or decides
        locally.

        Parameters
        ----------
        accepted
            ``None`` if the gateway's process has ended, with all its requests.
        """
        with self._lock:
            counts = self._counts(grant.pool)
            self.queues.record_answer(grant, counts, accepted=bool(accepted))
            if accepted is None:
                dropped = self.queues.drop_process(grant.process)
                log_message("line:gateway_gone", gateway=grant.gateway, dropped=dropped)
            replicas = grant.pool.members(self._table)
            grants = [] if accepted else self._grant_slots_to_queue(grant.pool, counts, replicas)
            preemptions = self._take_preemptions()
        self._send_grants(grants)
        self._send_preemptions(preemptions)

    def _grant_slots_to_queue(
        self, pool: EnginePool, counts: PoolCounts, replicas: list[Replica]
    ) -> list[SlotGrant]:
        """Grant free slots to queued requests, and preempt batch items; the lock is held."""
        grants = self.queues.grant_slots(pool, counts, replicas, boot_clock.now())
        if grants:
            self._preempt_excess(counts, [grant.replica for grant in grants])
        return grants

    def grant_waiting(self, services: Collection[str]) -> None:
        """Grant slots to queued requests of some services: cold replicas may have room again."""
        grants: list[SlotGrant] = []
        with self._lock:
            for pool, length in self.queues.lengths().items():
                if length and pool.service in services:
                    replicas = pool.members(self._table)
                    grants += self._grant_slots_to_queue(pool, self._counts(pool), replicas)
            preemptions = self._take_preemptions()
        self._send_grants(grants)
        self._send_preemptions(preemptions)

    def _send_grants(self, grants: list[SlotGrant]) -> None:
        for grant in grants:
            self._send_grant(grant)

    def _reported_queue_length(self, pool: EnginePool) -> int:
        """Return the queue length for gateways, ``NO_QUEUE`` if requests are not queued here."""
        return NO_QUEUE if self._send_grant is None else self.queues.length(pool)

    def _record_slowness(self, reports: Iterable[SlownessReport]) -> None:
        for one in reports:
            replica = self._table.get(one.replica_id)
            if replica is not None:
                replica.record_slowness(one.slowness, one.age_s)

    def _record_warm_ups(self, reports: Iterable[ColdReport]) -> None:
        for one in reports:
            replica = self._table.get(one.replica_id)
            if replica is not None:
                replica.record_cold_report(one)

    def _counts(self, pool: EnginePool) -> PoolCounts:
        """Return a pool's counts without expired claims and load reports; the lock is held."""
        now = boot_clock.now()
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            self._drop_expired(now)
        return self._counts_by_pool.setdefault(pool, PoolCounts())

    def _drop_expired(self, now: float) -> None:
        for pool, counts in list(self._counts_by_pool.items()):
            counts.drop_before(now - ONLINE_LIFETIME_S, now - CLAIM_LIFETIME_S)
            if counts.is_empty:
                del self._counts_by_pool[pool]

    def _choose_coordinator_to_wake(self, counts: PoolCounts, replicas: list[Replica]) -> str:
        """Choose the coordinator to notify of free slots, and record the notification.

        It is the one with the earliest due item among those that have neither claimed slots nor
        been notified within ``WAKE_INTERVAL_S``. Empty if there is none or no slot is free.
        """
        now = boot_clock.now()
        claims = counts.claims
        first = min(
            (
                (waiting.due_at, name)
                for name, claim in claims.items()
                for waiting in claim.waiting
                if now - self._woken_at.get(name, 0.0) >= WAKE_INTERVAL_S
                and now - claim.received_at >= WAKE_INTERVAL_S
            ),
            default=None,
        )
        if first is None or not any(_has_free_slot(counts, replica) for replica in replicas):
            return ""
        self._woken_at = {name: at for name, at in self._woken_at.items() if name in claims}
        self._woken_at[first[1]] = now
        return first[1]

    def _take_preemptions(self) -> dict[str, Counter[str]]:
        """Return and clear the items to preempt, if they can be sent; the lock is held."""
        if self._preempt_items is None:
            return {}
        preemptions, self._to_preempt_by_coordinator = self._to_preempt_by_coordinator, {}
        return preemptions

    def _send_preemptions(self, preemptions: dict[str, Counter[str]]) -> None:
        for coordinator, items_by_replica in preemptions.items():
            self._preempt_items(coordinator, _items_at(items_by_replica))

    def _poll_claimed_pools(self) -> None:
        pools = [
            pool.members(self._table)
            for pool, counts in self._counts_by_pool.items()
            if counts.claims
        ]
        self._loads.poll_only([replica for replicas in pools for replica in replicas])

    def _preempt_excess(self, counts: PoolCounts, replicas: list[Replica]) -> None:
        """Select items to preempt where requests, counted or reported, exceed an engine's slots."""
        for replica in replicas:
            excess = max(counts.requests_at(replica) - replica.slots, self._loads.excess(replica))
            if excess <= 0 or not counts.batch[replica.id]:
                continue
            for name, running in _least_urgent_first(counts.claims, replica):
                preempted = min(excess, running.items)
                if preempted <= 0:
                    break
                self._to_preempt_by_coordinator.setdefault(name, Counter())[replica.id] += preempted
                counts.remove_items(running, preempted)
                excess -= preempted
                self._loads.record_preemption(replica)

    def _grant_slots_to_items(
        self,
        pool: EnginePool,
        counts: PoolCounts,
        message: ClaimSlots,
        replicas: list[Replica],
        cold_ids: Collection[str],
    ) -> Counter[str]:
        """Return the items that a claim may start, by replica, and count them as running.

        Slots are left free for items of other coordinators that are due earlier.
        """
        starts: Counter[str] = Counter()
        now = boot_clock.now()
        for wanted in message.wanted:
            due_at = now + wanted.due_in_s
            free = sum(
                self._startable_items(pool, counts, one, wanted, cold_ids) for one in replicas
            )
            max_items = _fair_share(counts.claims, message.coordinator, free, due_at)
            for _ in range(min(wanted.items, max_items)):
                replica = self._most_free_replica(
                    pool, counts, message.zone, replicas, wanted, cold_ids
                )
                if replica is None:
                    break
                self._loads.record_start(replica, wanted.tokens)
                counts.start_item(message.coordinator, replica, due_at)
                self._cold_grants.record(replica, cold_ids, is_item=True)
                starts[replica.id] += 1
        return starts

    def _most_free_replica(
        self,
        pool: EnginePool,
        counts: PoolCounts,
        zone: str,
        replicas: list[Replica],
        wanted: WantedItems,
        cold_ids: Collection[str],
    ) -> Replica | None:
        best: Replica | None = None
        best_free = 0.0
        for replica in replicas:
            free = float(self._startable_items(pool, counts, replica, wanted, cold_ids))
            if free >= 1 and replica.entry.zone == zone:
                free += OWN_ZONE_BONUS
            if free > best_free:
                best, best_free = replica, free
        return best

    def _startable_items(
        self,
        pool: EnginePool,
        counts: PoolCounts,
        replica: Replica,
        wanted: WantedItems,
        cold_ids: Collection[str],
    ) -> int:
        """Return how many items the counts and the engine's report allow to start at a replica."""
        counted = (
            replica.slots
            - reserved_slots(replica, wanted.reserve_share)
            - counts.requests_at(replica)
        )
        if counted <= 0:
            return 0
        queue_length = self.queues.length(pool)
        cold_room = self._cold_grants.item_room(pool, replica, queue_length, cold_ids)
        return min(counted, cold_room, self._loads.startable_items(replica, wanted.tokens))


def _fair_share(claims: dict[str, Claim], coordinator: str, free: int, due_at: float) -> int:
    """Return how many free slots a coordinator may use for items due at a time.

    Slots for items of other coordinators that are due earlier are left free; coordinators with
    items due at about the same time share the rest evenly.
    """
    others = [claim for name, claim in claims.items() if name != coordinator]
    earlier_items = sum(
        one.items for claim in others for one in claim.waiting if one.due_at < due_at - SAME_DUE_S
    )
    competing_coordinators = sum(
        any(abs(one.due_at - due_at) <= SAME_DUE_S for one in claim.waiting) for claim in others
    )
    return -(-max(0, free - earlier_items) // (1 + competing_coordinators))


def _has_free_slot(counts: PoolCounts, replica: Replica) -> bool:
    requests = counts.requests_at(replica) + reserved_slots(replica, 0.0)
    # At a cold replica, items are limited by the window and not by the slots.
    return requests < replica.slots and not replica.avoided and not replica.cold


def _least_urgent_first(
    claims: dict[str, Claim], replica: Replica
) -> list[tuple[str, RunningItems]]:
    """Return the items at a replica with their coordinators' names, in order of preemption."""
    found = [
        (name, running)
        for name, claim in claims.items()
        for running in claim.running
        if running.replica_id == replica.id and running.items
    ]
    return sorted(found, key=lambda pair: -pair[1].due_at)


def _items_at(counts: Counter[str]) -> tuple[ItemsAt, ...]:
    return tuple(ItemsAt(replica_id, items) for replica_id, items in counts.items() if items)


def _counts_by_replica(at: Iterable[ItemsAt]) -> Counter[str]:
    return Counter({one.replica_id: one.items for one in at})
