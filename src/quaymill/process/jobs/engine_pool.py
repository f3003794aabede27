"""Engine pools: the parts of a service. One gateway allocates the slots of each part."""

from __future__ import annotations

import attrs

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
        Number of parts of the service.
    """

    service: str
    index: int = 0
    pools: int = 1

    def holds(self, replica: Replica) -> bool:
        """Return whether a replica belongs to this pool."""
        if replica.entry.service != self.service:
            return False
        return replica.id_hash % self.pools == self.index

    def members(self, table: ReplicaTable) -> list[Replica]:
        """Return the replicas of this pool, without those that are leaving."""
        listed = [replica for replica in table.of_service(self.service) if not replica.leaving]
        if self.pools == 1:
            return listed
        return [replica for replica in listed if self.holds(replica)]


def pools_of(service: str, table: ReplicaTable) -> list[EnginePool]:
    """Return the pools of a service for its current number of replicas.

    While gateways disagree on this number, the same slots may be granted twice. Engines then refuse
    the excess, which waits again.
    """
    pools = _number_of_pools(service, table)
    return [EnginePool(service, index, pools) for index in range(pools)]


def pool_of(replica: Replica, table: ReplicaTable) -> EnginePool:
    """Return the pool that a replica belongs to."""
    service = replica.entry.service
    pools = _number_of_pools(service, table)
    return EnginePool(service, replica.id_hash % pools, pools)


def _number_of_pools(service: str, table: ReplicaTable) -> int:
    # Evacuated replicas count, so that an evacuation does not move replicas to other pools.
    listed = sum(1 for replica in table.of_service(service) if not replica.departing)
    return max(1, -(-listed // MAX_POOL_REPLICAS))
