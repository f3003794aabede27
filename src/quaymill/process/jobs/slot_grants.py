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
        self._line_by_pool: dict[EnginePool, PoolQueue] = {}
        self._unanswered: set[SlotGrant] = set()
        self.refused_early = 0

    def length(self, pool: EnginePool) -> int:
        """Return how many requests wait for a pool."""
        line = self._line_by_pool.get(pool)
        return 0 if line is None else len(line)

    def lengths(self) -> dict[EnginePool, int]:
        """Return how many requests wait, by pool; safe without the lock."""
        return {pool: len(line) for pool, line in list(self._line_by_pool.items())}

    @property
    def tenants(self) -> int:
        """Tenants with requests that wait, counted by line; safe without the lock."""
        return sum(line.tenants for line in list(self._line_by_pool.values()))

    def pass_by(self, pool: EnginePool, tenant: str | None) -> None:
        """Count a request that found nobody waiting and a slot free."""
        self._line_by_pool.setdefault(pool, PoolQueue()).pass_by(tenant)

    def join(self, pool: EnginePool, asked: PlaceOnline, now: float) -> QueuedRequest:
        """Put a request into the line of its pool."""
        return self._line_by_pool.setdefault(pool, PoolQueue()).join(asked, now)

    def refuse(
        self, pool: EnginePool, waiter: QueuedRequest, replicas: list[Replica], now: float
    ) -> float | None:
        """Take a request out that cannot be served; return when it may come again."""
        line = self._line_by_pool[pool]
        slots = sum(one.slots for one in replicas)
        if not slots:
            return None
        retry_after_s = line.retry_after_s(waiter, slots, now)
        if retry_after_s is None:
            return None
        line.leave(waiter)
        self.refused_early += 1
        # Those refused meanwhile would else all come at once.
        return retry_after_s * (1.0 + self._random.random())

    def give(
        self, pool: EnginePool, counts: PoolCounts, replicas: list[Replica], now: float
    ) -> list[SlotGrant]:
        """Give the free slots of a pool, as far as there are any, in the order of the line."""
        line = self._line_by_pool.get(pool)
        if line is None or not len(line):
            return []
        free = [one for one in replicas if counts.online_load(one) < one.slots]
        given: list[SlotGrant] = []
        for waiter in line.ordered(now) if free else []:
            able = _able(waiter.asked, free, replicas)
            if able:
                turn = self._give_one(pool, counts, line, waiter, able)
                given.append(turn)
                if counts.online_load(turn.replica) >= turn.replica.slots:
                    free.remove(turn.replica)
            if not free:
                break
        return given

    def _give_one(
        self,
        pool: EnginePool,
        counts: PoolCounts,
        line: PoolQueue,
        waiter: QueuedRequest,
        able: list[Replica],
    ) -> SlotGrant:
        asked = waiter.asked
        offsets = {offset.replica_id: offset.requests for offset in asked.offsets}
        chosen = least_costly(able, counts.online_load, asked.zone, offsets, self._random)
        line.serve(waiter)
        counts.promise(chosen.id)
        turn = SlotGrant(pool, asked.gateway, waiter.process, waiter.ticket, chosen)
        self._unanswered.add(turn)
        return turn

    def answered(self, turn: SlotGrant, counts: PoolCounts, *, taken: bool) -> None:
        """Count a turn that was taken as its gateway's request; else its slot is free again."""
        if turn not in self._unanswered:
            return
        self._unanswered.discard(turn)
        counts.end_promise(turn.replica.id)
        if taken:
            counts.place_at(turn.gateway, turn.replica.id)

    def depart(self, pool: EnginePool, tickets: Iterable[str]) -> None:
        """Take out requests that wait no more, by the word of their gateway."""
        line = self._line_by_pool.get(pool)
        if line is not None:
            line.depart(tickets)

    def drop_process(self, process: str) -> int:
        """Take out what a gateway holds that does not answer; return how much that was."""
        return sum(line.drop_process(process) for line in self._line_by_pool.values())


def _able(asked: PlaceOnline, free: list[Replica], replicas: list[Replica]) -> list[Replica]:
    """Return the free replicas that a request may go to.

    One that fails is taken only if all that the request may go to do.
    """
    allowed = [one for one in free if one.id not in asked.excluded]
    sound = [one for one in allowed if not one.avoided]
    if sound or not allowed:
        return sound
    others = (one for one in replicas if one.id not in asked.excluded)
    return [] if any(not one.avoided for one in others) else best_group(allowed)
