"""Decides whether a request is better served by the engine pool of another region.

This module holds decisions only: no network, threads or clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from quaymill.process.replica_set.replica import Replica

DETOUR_ROUND_TRIPS = 2
"""Round trips that a request loses by being sent to another region: one to the region's slot
allocator and one to the replica."""
STALENESS_MARGIN_S = 0.05
"""Further time that another region must gain. What gateways know of its loads is up to 0.25 s old,
so that together they may send more requests than it has free slots. In the simulation of
``tests/region_player.py`` with 97% of all slots in demand, more requests are late without this
margin, and also with one of 0.1 s."""


@attrs.frozen
class PoolState:
    """A pool as one gateway knows it.

    Attributes
    ----------
    slots
        Slots of the replicas that are usable for this gateway.
    has_free_slot
        Whether one of these replicas has a free slot.
    queue_length
        Number of requests in the queue of the pool's slot allocator.
    """

    slots: int
    has_free_slot: bool
    queue_length: int

    @classmethod
    def of(cls, replicas: Iterable[Replica], queue_length: int) -> PoolState | None:
        """Return the state of a pool with these replicas; ``None`` if a load is unknown."""
        usable = [replica for replica in replicas if not replica.avoided]
        if not all(replica.has_pool_view for replica in usable):
            return None
        return cls(
            sum(replica.slots for replica in usable),
            any(replica.load() < replica.slots for replica in usable),
            max(0, queue_length),
        )

    def wait_s(self, service_s: float) -> float:
        """Return the expected wait of a new request in seconds.

        Parameters
        ----------
        service_s
            Usual service time of a request in seconds.
        """
        if not self.slots:
            return math.inf
        if self.has_free_slot and not self.queue_length:
            return 0.0
        return (self.queue_length + 1) * service_s / self.slots


def serves_sooner(other: PoolState, own: PoolState, service_s: float, round_trip_s: float) -> bool:
    """Return whether a pool of another region would serve a request sooner than one of this."""
    detour_s = DETOUR_ROUND_TRIPS * round_trip_s + STALENESS_MARGIN_S
    return other.wait_s(service_s) + detour_s < own.wait_s(service_s)
