"""What gateways and coordinators told the keeper of a pool of engines, and the counts from it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from quaymill.connection.room_messages import ClaimRoom, ReplicaLoad
from quaymill.process.replica_set.replica import Replica, online_load


@attrs.define
class RunningItems:
    """Items of a coordinator at a replica, what was granted or cut since its claim included.

    Attributes
    ----------
    due_at
        Monotonic time when they are due.
    """

    replica_id: str
    items: int
    due_at: float


@attrs.frozen
class WaitingItems:
    """Items of a coordinator that wait.

    Attributes
    ----------
    due_at
        Monotonic time when they are due.
    """

    items: int
    due_at: float


@attrs.frozen
class Claim:
    """What a coordinator said last.

    Attributes
    ----------
    at
        Monotonic time when it came.
    """

    running: list[RunningItems]
    waiting: list[WaitingItems]
    at: float

    @classmethod
    def from_message(cls, message: ClaimRoom, now: float) -> Claim:
        """Note what a claim says, with times on this process's clock."""
        return cls(
            [
                RunningItems(one.replica_id, one.items, now + one.due_in_s)
                for one in message.running
            ],
            [WaitingItems(one.items, now + one.due_in_s) for one in message.wanted],
            now,
        )


@attrs.frozen
class OnlineCounts:
    """What a gateway said last of its online requests.

    Attributes
    ----------
    counts
        Requests by replica, what was placed since included.
    at
        Monotonic time when it came.
    """

    counts: Counter[str]
    at: float


class PoolCounts:
    """Requests at each replica of a pool, counted once for each call of the keeper.

    Attributes
    ----------
    online, batch
        Requests by replica; ``batch`` follows what is granted and cut during the call.
    """

    def __init__(self, online: Iterable[OnlineCounts], claims: Iterable[Claim]) -> None:
        self.online: Counter[str] = Counter()
        self.batch: Counter[str] = Counter()
        for known in online:
            self.online.update(known.counts)
        for claim in claims:
            for running in claim.running:
                self.batch[running.replica_id] += running.items

    def at(self, replica: Replica) -> int:
        """Return all requests at a replica."""
        return self.online[replica.id] + self.batch[replica.id]

    def online_load(self, replica: Replica) -> float:
        """Return how busy a replica is for an online request."""
        return online_load(self.online[replica.id], self.batch[replica.id])

    def loads(self, replicas: Iterable[Replica]) -> tuple[ReplicaLoad, ...]:
        """Return what gateways are told of replicas."""
        return tuple(
            ReplicaLoad(one.id, self.online[one.id], self.batch[one.id]) for one in replicas
        )
