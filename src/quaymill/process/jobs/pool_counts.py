"""Counts of requests and batch items at the replicas of one pool, kept by its slot allocator.

The counts come from the load reports of gateways and the claims of coordinators.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from quaymill.connection.slot_messages import ClaimSlots, ReplicaLoad
from quaymill.process.replica_set.replica import Replica, online_load


@attrs.define
class RunningItems:
    """Running items of a coordinator at a replica that are due at the same time.

    Items are subtracted as soon as they are selected for preemption.

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
    """Items of a coordinator that wait for a slot.

    Attributes
    ----------
    due_at
        Monotonic time when they are due.
    """

    items: int
    due_at: float


@attrs.frozen
class Claim:
    """The last claim of a coordinator.

    Attributes
    ----------
    received_at
        Monotonic time.
    """

    running: list[RunningItems]
    waiting: list[WaitingItems]
    received_at: float

    @classmethod
    def from_message(cls, message: ClaimSlots, now: float) -> Claim:
        """Convert a claim message; its relative due times become monotonic times."""
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
    """The last load report of a gateway.

    Attributes
    ----------
    counts
        Online requests by replica, including those placed since the report.
    received_at
        Monotonic time.
    """

    counts: Counter[str]
    received_at: float


class PoolCounts:
    """Requests at each replica of one pool; guarded by the allocator's lock.

    Attributes
    ----------
    online, batch
        Online requests and batch items by replica. ``online`` includes slot grants that have not
        been answered yet.
    unanswered_grants
        Number of slot grants that have not been answered yet.
    claims
        Last claim of each coordinator, by its name.
    """

    def __init__(self) -> None:
        self.online: Counter[str] = Counter()
        self.batch: Counter[str] = Counter()
        self.unanswered_grants = 0
        self.claims: dict[str, Claim] = {}
        self._online_by_gateway: dict[str, OnlineCounts] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no claim, load report or unanswered grant for the pool."""
        return not self.claims and not self._online_by_gateway and not self.unanswered_grants

    def online_of(self, gateway: str) -> Counter[str]:
        """Return a gateway's online requests by replica."""
        known = self._online_by_gateway.get(gateway)
        return Counter() if known is None else known.counts

    def set_online(self, gateway: str, counts: Counter[str], now: float) -> None:
        """Replace a gateway's previous load report."""
        self._drop_online(gateway)
        self._online_by_gateway[gateway] = OnlineCounts(counts, now)
        self.online.update(counts)

    def add_online(self, gateway: str, replica_id: str) -> None:
        """Count one more online request, unless the gateway has no current load report."""
        known = self._online_by_gateway.get(gateway)
        if known is not None:
            known.counts[replica_id] += 1
            self.online[replica_id] += 1

    def add_grant(self, replica_id: str) -> None:
        """Count a slot grant at a replica until it is answered."""
        self.unanswered_grants += 1
        self.online[replica_id] += 1

    def end_grant(self, replica_id: str) -> None:
        """Stop counting a slot grant, because it was answered or timed out."""
        self.unanswered_grants -= 1
        self.online[replica_id] -= 1

    def set_claim(self, coordinator: str, claim: Claim) -> None:
        """Replace a coordinator's previous claim."""
        self._drop_claim(coordinator)
        self.claims[coordinator] = claim
        for running in claim.running:
            self.batch[running.replica_id] += running.items

    def start_item(self, coordinator: str, replica: Replica, due_at: float) -> None:
        """Count an item that a coordinator has been allowed to start."""
        self.claims[coordinator].running.append(RunningItems(replica.id, 1, due_at))
        self.batch[replica.id] += 1

    def remove_items(self, running: RunningItems, items: int) -> None:
        """Stop counting items that are selected for preemption."""
        running.items -= items
        self.batch[running.replica_id] -= items

    def drop_before(self, online_until: float, claims_until: float) -> None:
        """Drop the load reports and claims received at or before these monotonic times."""
        for gateway, known in list(self._online_by_gateway.items()):
            if known.received_at <= online_until:
                self._drop_online(gateway)
        for coordinator, claim in list(self.claims.items()):
            if claim.received_at <= claims_until:
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
        """Return the number of online requests and batch items at a replica."""
        return self.online[replica.id] + self.batch[replica.id]

    def online_load(self, replica: Replica) -> float:
        """Return the load of a replica in online requests; a batch item counts as a fraction."""
        return online_load(self.online[replica.id], self.batch[replica.id])

    def loads(self, replicas: Iterable[Replica]) -> tuple[ReplicaLoad, ...]:
        """Return the counts of some replicas in the form that gateways receive."""
        return tuple(
            ReplicaLoad(one.id, self.online[one.id], self.batch[one.id]) for one in replicas
        )
