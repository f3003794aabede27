"""What gateways and coordinators told the keeper of a pool of engines, and the counts from it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from quaymill.connection.slot_messages import ClaimSlots, ReplicaLoad
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
    received_at: float

    @classmethod
    def from_message(cls, message: ClaimSlots, now: float) -> Claim:
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
    received_at: float


class PoolCounts:
    """Requests at each replica of one pool, kept up with every word; guarded by the keeper's lock.

    Attributes
    ----------
    online, batch
        Requests by replica, turns that have been given and not been answered included.
    promised
        Turns that have been given and not been answered yet.
    claims
        What each coordinator said last, by its name.
    """

    def __init__(self) -> None:
        self.online: Counter[str] = Counter()
        self.batch: Counter[str] = Counter()
        self.reserved = 0
        self.claims: dict[str, Claim] = {}
        self._online_by_gateway: dict[str, OnlineCounts] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of the pool."""
        return not self.claims and not self._online_by_gateway and not self.reserved

    def online_of(self, gateway: str) -> Counter[str]:
        """Return what a gateway has at each replica."""
        known = self._online_by_gateway.get(gateway)
        return Counter() if known is None else known.counts

    def set_online(self, gateway: str, counts: Counter[str], now: float) -> None:
        """Take a gateway's word in place of the one before."""
        self._drop_online(gateway)
        self._online_by_gateway[gateway] = OnlineCounts(counts, now)
        self.online.update(counts)

    def add_online(self, gateway: str, replica_id: str) -> None:
        """Count one more online request, unless the gateway has given no word of late."""
        known = self._online_by_gateway.get(gateway)
        if known is not None:
            known.counts[replica_id] += 1
            self.online[replica_id] += 1

    def reserve(self, replica_id: str) -> None:
        """Count a turn at a replica until it is answered."""
        self.reserved += 1
        self.online[replica_id] += 1

    def end_reservation(self, replica_id: str) -> None:
        """Stop counting a turn that was answered, or that was not."""
        self.reserved -= 1
        self.online[replica_id] -= 1

    def set_claim(self, coordinator: str, claim: Claim) -> None:
        """Take a coordinator's claim in place of the one before."""
        self._drop_claim(coordinator)
        self.claims[coordinator] = claim
        for running in claim.running:
            self.batch[running.replica_id] += running.items

    def start_item(self, coordinator: str, replica: Replica, due_at: float) -> None:
        """Count an item that a coordinator may start."""
        self.claims[coordinator].running.append(RunningItems(replica.id, 1, due_at))
        self.batch[replica.id] += 1

    def remove_items(self, running: RunningItems, items: int) -> None:
        """Stop counting items that a coordinator is asked to cut."""
        running.items -= items
        self.batch[running.replica_id] -= items

    def drop_before(self, online_since: float, claims_since: float) -> None:
        """Drop the words and the claims that are older than these monotonic times."""
        for gateway, known in list(self._online_by_gateway.items()):
            if known.received_at <= online_since:
                self._drop_online(gateway)
        for coordinator, claim in list(self.claims.items()):
            if claim.received_at <= claims_since:
                self._drop_claim(coordinator)

    def _drop_online(self, gateway: str) -> None:
        known = self._online_by_gateway.pop(gateway, None)
        if known is not None:
            self.online.subtract(known.counts)

    def _drop_claim(self, coordinator: str) -> None:
        claim = self.claims.pop(coordinator, None)
        if claim is not None:
            for running in claim.running:
                self.batch[running.replica_id] -= running.items

    def requests_at(self, replica: Replica) -> int:
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
