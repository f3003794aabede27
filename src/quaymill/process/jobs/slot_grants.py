"""Grants the free slots of engines to queued online requests, for the slot allocator.

This module holds state and decisions only, guarded by the allocator's lock; sending the grants is
up to the caller.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import attrs

from quaymill import boot_clock
from quaymill.connection.slot_messages import ColdGrant, OnlineGrant, PlaceOnline
from quaymill.process.jobs.cold_grants import ColdGrants, cold_ids_of
from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.jobs.pool_counts import PoolCounts
from quaymill.process.jobs.pool_queue import PoolQueue, QueuedRequest
from quaymill.process.replica_set.replica import Replica, best_group
from quaymill.process.replica_set.replica_cost import least_costly, with_cold_load


@attrs.frozen(eq=False)
class SlotGrant:
    """A slot granted to a queued request, to be accepted by the request's gateway.

    Compared by identity: a request that its gateway sends again may be granted a second slot.

    Attributes
    ----------
    process
        Name of its gateway's process; a restarted gateway has a different one.
    cold
        Whether the replica is cold.
    granted_at
        Monotonic time of the grant.
    """

    pool: EnginePool
    gateway: str
    process: str
    ticket: str
    replica: Replica
    cold: bool = False
    granted_at: float = attrs.field(factory=lambda: boot_clock.now())

    @property
    def message(self) -> OnlineGrant:
        """The message for the gateway."""
        return (ColdGrant if self.cold else OnlineGrant)(self.ticket, self.replica.id)


class PoolQueues:
    """The queues of all pools whose slots one gateway allocates.

    Attributes
    ----------
    refused_early
        Number of requests refused as infeasible since this process started.
    """

    def __init__(self, rng: random.Random, cold_grants: ColdGrants | None = None) -> None:
        self._random = rng
        self._cold_grants = cold_grants or ColdGrants()
        self._queue_by_pool: dict[EnginePool, PoolQueue] = {}
        self._unanswered: set[SlotGrant] = set()
        self.refused_early = 0

    def length(self, pool: EnginePool) -> int:
        """Return the number of queued requests of a pool."""
        queue = self._queue_by_pool.get(pool)
        return 0 if queue is None else len(queue)

    def lengths(self) -> dict[EnginePool, int]:
        """Return the number of queued requests by pool; safe without the lock."""
        return {pool: len(queue) for pool, queue in list(self._queue_by_pool.items())}

    @property
    def tenants(self) -> int:
        """Number of tenants with queued requests, summed over the queues; safe without the lock."""
        return sum(queue.tenants for queue in list(self._queue_by_pool.values()))

    def record_immediate(self, pool: EnginePool, tenant: str | None) -> None:
        """Count a request that was served immediately as part of its tenant's share."""
        self._queue_by_pool.setdefault(pool, PoolQueue()).record_immediate(tenant)

    def join(self, pool: EnginePool, message: PlaceOnline, now: float) -> QueuedRequest:
        """Add a request to the queue of its pool."""
        return self._queue_by_pool.setdefault(pool, PoolQueue()).join(message, now)

    def refuse_if_infeasible(
        self, pool: EnginePool, queued: QueuedRequest, replicas: list[Replica], now: float
    ) -> float | None:
        """Remove a request that cannot be served in time.

        Returns the seconds after which it may be retried, ``None`` if it stays in the queue.
        """
        queue = self._queue_by_pool[pool]
        service_s = queued.message.terms.service_s
        if not replicas:
            return None
        slots = sum(self._cold_grants.usable_slots(pool, one, service_s) for one in replicas)
        if slots:
            retry_after_s = queue.retry_after_s(queued, slots, now)
        else:
            # All are cold, and this allocator may not grant yet: nothing is served until then.
            usable_in_s = self._cold_grants.usable_in_s(pool, replicas)
            retry_after_s = usable_in_s if now + usable_in_s > queued.dispatch_by else None
        if retry_after_s is None:
            return None
        queue.leave(queued)
        self.refused_early += 1
        # Spreads the retries of requests that are refused at about the same time.
        return retry_after_s * (1.0 + self._random.random())

    def grant_slots(
        self, pool: EnginePool, counts: PoolCounts, replicas: list[Replica], now: float
    ) -> list[SlotGrant]:
        """Grant the free slots of a pool to its queued requests, in the order of the queue."""
        queue = self._queue_by_pool.get(pool)
        if queue is None or not len(queue):
            return []
        cold_ids = cold_ids_of(replicas)
        free = self._cold_grants.candidates(
            pool, [one for one in replicas if counts.online_load(one) < one.slots], cold_ids
        )
        grants: list[SlotGrant] = []
        for queued in queue.ordered(now) if free else []:
            usable = _usable_replicas(queued.message, free, replicas)
            if usable:
                grant = self._grant_slot(pool, counts, queue, queued, usable, cold_ids)
                grants.append(grant)
                chosen = grant.replica
                is_full = counts.online_load(chosen) >= chosen.slots
                if is_full or not self._cold_grants.has_room(pool, chosen, cold_ids):
                    free.remove(chosen)
            if not free:
                break
        return grants

    def _grant_slot(
        self,
        pool: EnginePool,
        counts: PoolCounts,
        queue: PoolQueue,
        queued: QueuedRequest,
        usable: list[Replica],
        cold_ids: Collection[str],
    ) -> SlotGrant:
        message = queued.message
        offsets = {offset.replica_id: offset.requests for offset in message.offsets}
        load_of = with_cold_load(counts.online_load)
        service_s = message.terms.service_s
        chosen = least_costly(usable, load_of, message.zone, offsets, self._random, service_s)
        queue.serve(queued)
        counts.add_grant(chosen.id)
        cold = self._cold_grants.record(chosen, cold_ids)
        grant = SlotGrant(pool, message.gateway, queued.process, queued.ticket, chosen, cold)
        self._unanswered.add(grant)
        return grant

    def record_answer(self, grant: SlotGrant, counts: PoolCounts, *, accepted: bool) -> None:
        """Stop counting a grant; if it was accepted, count a request of its gateway instead.

        Does nothing for a grant that has been answered before.
        """
        if grant not in self._unanswered:
            return
        self._unanswered.discard(grant)
        counts.end_grant(grant.replica.id)
        if accepted:
            counts.add_online(grant.gateway, grant.replica.id)

    def withdraw(self, pool: EnginePool, tickets: Iterable[str]) -> None:
        """Remove the requests with these tickets, which no longer wait at their gateway."""
        queue = self._queue_by_pool.get(pool)
        if queue is not None:
            queue.withdraw(tickets)

    def drop_process(self, process: str) -> int:
        """Remove the requests of a gateway's process; return how many there were."""
        return sum(queue.drop_process(process) for queue in self._queue_by_pool.values())


def _usable_replicas(
    message: PlaceOnline, free: list[Replica], replicas: list[Replica]
) -> list[Replica]:
    """Return the free replicas that a request may be sent to.

    Failing replicas are used only if all replicas that the request may be sent to are failing.
    """
    allowed = [one for one in free if one.id not in message.excluded]
    healthy = [one for one in allowed if not one.avoided]
    if healthy or not allowed:
        return healthy
    candidates = (one for one in replicas if one.id not in message.excluded)
    return [] if any(not one.avoided for one in candidates) else best_group(allowed)
