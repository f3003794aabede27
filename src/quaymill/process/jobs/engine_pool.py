"""Engine pools: the parts of a service. One gateway allocates the slots of each part.

A pool lies within one region. Where there are several regions, a service has pools in each region
in which it has replicas.
"""

from __future__ import annotations

import attrs
import msgspec

from quaymill.connection.slot_messages import ClaimSlots, OnlineInFlight, PlaceOnline
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.table import ReplicaTable

MAX_POOL_REPLICAS = 48
"""A service with more replicas is split, because one gateway cannot poll thousands of engines."""


@attrs.frozen
class EnginePool:
    """One part of a service.

    Attributes
    ----------
    index
        Number of this part, from 0.
    pools
        Number of parts of the service; where there are several regions, of its part in ``region``.
    region
        Region of its replicas; empty where there is only one, and in the names that builds without
        regions use, whose pools span all regions.
    """

    service: str
    index: int = 0
    pools: int = 1
    region: str = ""

    @classmethod
    def from_message(cls, message: ClaimSlots | OnlineInFlight | PlaceOnline) -> EnginePool:
        """Return the pool that a message names."""
        return cls(message.service, message.pool, message.pools, message.region or "")

    @property
    def label(self) -> str:
        """The pool within its service, for metrics."""
        return f"{self.region}/{self.index}" if self.region else str(self.index)

    @property
    def region_field(self) -> str | msgspec.UnsetType:
        """The region as a field of messages, which have none where there is only one region."""
        return self.region or msgspec.UNSET

    def holds(self, replica: Replica) -> bool:
        """Return whether a replica belongs to this pool."""
        if replica.entry.service != self.service:
            return False
        if self.region and replica.region != self.region:
            return False
        return replica.id_hash % self.pools == self.index

    def members(self, table: ReplicaTable) -> list[Replica]:
        """Return the replicas of this pool, without those that are leaving."""
        listed = [replica for replica in table.of_service(self.service) if not replica.leaving]
        if self.pools == 1 and not self.region:
            return listed
        return [replica for replica in listed if self.holds(replica)]


def pools_of(service: str, table: ReplicaTable) -> list[EnginePool]:
    """Return the pools of a service for its current number of replicas.

    While gateways disagree on this number, or their settings on a region, the same slots may be
    granted twice. Engines then refuse the excess, which waits again.
    """
    regions = sorted({replica.region for replica in table.of_service(service)}) or [""]
    return [
        EnginePool(service, index, pools, region)
        for region in regions
        for pools in (_number_of_pools(service, table, region),)
        for index in range(pools)
    ]


def pool_of(replica: Replica, table: ReplicaTable) -> EnginePool:
    """Return the pool that a replica belongs to."""
    service = replica.entry.service
    region = replica.region
    pools = _number_of_pools(service, table, region)
    return EnginePool(service, replica.id_hash % pools, pools, region)


def _number_of_pools(service: str, table: ReplicaTable, region: str) -> int:
    # Evacuated replicas count, so that an evacuation does not move replicas to other pools.
    listed = sum(
        1
        for replica in table.of_service(service)
        if not replica.departing and (not region or replica.region == region)
    )
    return max(1, -(-listed // MAX_POOL_REPLICAS))
