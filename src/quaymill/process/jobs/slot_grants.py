"""Gives the free slots of engines to the requests that wait, for the gateway that keeps room.

Decisions and state only, guarded by the keeper's lock; who sends the turns is told them.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from quaymill.connection.slot_messages import OnlineGrant, PlaceOnline
from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.jobs.pool_counts import PoolCounts
from quaymill.process.jobs.pool_queue import PoolQueue, QueuedRequest
from quaymill.process.replica_set.replica import Replica, best_group
from quaymill.process.replica_set.replica_cost import least_costly


@attrs.frozen(eq=False)
class SlotGrant:
    """A turn that its gateway is told; a request that asks again may be given a second one.

    Attributes
    ----------
    process
        Name of its gateway's process; a gateway that starts again has another.
    """

    pool: EnginePool
    gateway: str
    process: str
    ticket: str
    replica: Replica

    @property
    def message(self) -> OnlineGrant:
        """What the gateway is told."""
        return OnlineGrant(self.ticket, self.replica.id)


class PoolQueues:
    """The lines of all pools that one gateway keeps room for."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._queue_by_pool: dict[EnginePool, PoolQueue] = {}
        self._unanswered: set[SlotGrant] = set()
        self.refused_early = 0

    def length(self, pool: EnginePool) -> int:
        """Return how many requests wait for a pool."""
        queue = self._queue_by_pool.get(pool)
        return 0 if queue is None else len(queue)

    def lengths(self) -> dict[EnginePool, int]:
        """Return how many requests wait, by pool; safe without the lock."""
        return {pool: len(queue) for pool, queue in list(self._queue_by_pool.items())}

    @property
    def tenants(self) -> int:
        """Tenants with requests that wait, counted by line; safe without the lock."""
        return sum(queue.tenants for queue in list(self._queue_by_pool.values()))

    def record_immediate(self, pool: EnginePool, tenant: str | None) -> None:
        """Count a request that found nobody waiting and a slot free."""
        self._queue_by_pool.setdefault(pool, PoolQueue()).record_immediate(tenant)

    def join(self, pool: EnginePool, message: PlaceOnline, now: float) -> QueuedRequest:
        """Put a request into the line of its pool."""
        return self._queue_by_pool.setdefault(pool, PoolQueue()).join(message, now)

    def refuse_if_infeasible(
        self, pool: EnginePool, queued: QueuedRequest, replicas: list[Replica], now: float
    ) -> float | None:
        """Take a request out that cannot be served; return when it may come again."""
        queue = self._queue_by_pool[pool]
        slots = sum(one.slots for one in replicas)
        if not slots:
            return None
        retry_after_s = queue.retry_after_s(queued, slots, now)
        if retry_after_s is None:
            return None
        queue.leave(queued)
        self.refused_early += 1
        # Those refused meanwhile would else all come at once.
        return retry_after_s * (1.0 + self._random.random())

    def grant_slots(
        self, pool: EnginePool, counts: PoolCounts, replicas: list[Replica], now: float
    ) -> list[SlotGrant]:
        """Give the free slots of a pool, as far as there are any, in the order of the line."""
        queue = self._queue_by_pool.get(pool)
        if queue is None or not len(queue):
            return []
        free = [one for one in replicas if counts.online_load(one) < one.slots]
        grants: list[SlotGrant] = []
        for queued in queue.ordered(now) if free else []:
            usable = _usable_replicas(queued.message, free, replicas)
            if usable:
                grant = self._grant_slot(pool, counts, queue, queued, usable)
                grants.append(grant)
                if counts.online_load(grant.replica) >= grant.replica.slots:
                    free.remove(grant.replica)
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
    ) -> SlotGrant:
        message = queued.message
        offsets = {offset.replica_id: offset.requests for offset in message.offsets}
        chosen = least_costly(usable, counts.online_load, message.zone, offsets, self._random)
        queue.serve(queued)
        counts.reserve(chosen.id)
        grant = SlotGrant(pool, message.gateway, queued.process, queued.ticket, chosen)
        self._unanswered.add(grant)
        return grant

    def record_answer(self, grant: SlotGrant, counts: PoolCounts, *, accepted: bool) -> None:
        """Count a turn that was taken as its gateway's request; else its slot is free again."""
        if grant not in self._unanswered:
            return
        self._unanswered.discard(grant)
        counts.end_reservation(grant.replica.id)
        if accepted:
            counts.add_online(grant.gateway, grant.replica.id)

    def depart(self, pool: EnginePool, tickets: Iterable[str]) -> None:
        """Take out requests that wait no more, by the word of their gateway."""
        queue = self._queue_by_pool.get(pool)
        if queue is not None:
            queue.depart(tickets)

    def drop_process(self, process: str) -> int:
        """Take out what a gateway holds that does not answer; return how much that was."""
        return sum(queue.drop_process(process) for queue in self._queue_by_pool.values())


def _usable_replicas(
    message: PlaceOnline, free: list[Replica], replicas: list[Replica]
) -> list[Replica]:
    """Return the free replicas that a request may go to.

    One that fails is taken only if all that the request may go to do.
    """
    allowed = [one for one in free if one.id not in message.excluded]
    healthy = [one for one in allowed if not one.avoided]
    if healthy or not allowed:
        return healthy
    others = (one for one in replicas if one.id not in message.excluded)
    return [] if any(not one.avoided for one in others) else best_group(allowed)
