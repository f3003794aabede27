"""Decides whether a request is better served by the engine pool of another region.

This module holds decisions only: no network, threads or clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs
import msgspec

from quaymill.connection.slot_messages import QueueTerms
from quaymill.process.replica_set.replica import Replica

DETOUR_ROUND_TRIPS = 2
"""Round trips that a request loses by being sent to another region: one to the region's slot
allocator and one to the replica."""
STALENESS_MARGIN_S = 0.05
"""Further time that another region must gain unless it has many free slots. What gateways know of
its loads is up to 0.25 s old, so that together they may send more requests than it has slots."""
AMPLE_FREE_SHARE = 0.2
"""Share of free slots from which on a pool is not filled within the age of what is known of it.

No margin applies then, as the expected wait in the own region is uncertain too: just after its
slots were filled by the start of a burst, none becomes free for most of a service time."""


@attrs.frozen
class PoolState:
    """A pool as one gateway knows it.

    Attributes
    ----------
    slots
        Slots of the replicas that are usable for this gateway.
    free_slots
        Those of them that are free.
    queue_length
        Number of requests in the queue of the pool's slot allocator.
    """

    slots: int
    free_slots: float
    queue_length: int

    @classmethod
    def of(cls, replicas: Iterable[Replica], queue_length: int) -> PoolState | None:
        """Return the state of a pool with these replicas; ``None`` if a load is unknown."""
        usable = [replica for replica in replicas if not replica.avoided]
        if not all(replica.has_pool_view for replica in usable):
            return None
        return cls(
            sum(replica.slots for replica in usable),
            sum(max(0.0, replica.slots - replica.load()) for replica in usable),
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
        if self.free_slots and not self.queue_length:
            return 0.0
        return (self.queue_length + 1) * service_s / self.slots


def serves_sooner(other: PoolState, own: PoolState, service_s: float, round_trip_s: float) -> bool:
    """Return whether a pool of another region would serve a request sooner than one of this."""
    has_ample_slots = other.free_slots > AMPLE_FREE_SHARE * other.slots
    margin_s = 0.0 if has_ample_slots else STALENESS_MARGIN_S
    detour_s = DETOUR_ROUND_TRIPS * round_trip_s + margin_s
    return other.wait_s(service_s) + detour_s < own.wait_s(service_s)


def terms_in_other_region(terms: QueueTerms, round_trip_s: float) -> QueueTerms:
    """Return a request's terms for the queue of another region.

    Both the grant and the request cross the distance before the request starts. Otherwise slots
    would be granted to requests that are late by then, ahead of others that are not.
    """
    return msgspec.structs.replace(terms, first_byte_s=terms.first_byte_s + round_trip_s)
