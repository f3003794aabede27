"""How busy a replica counts for an online request, and which one counts as least busy.

Used by a gateway that chooses by itself, and by the keeper of room that chooses for others.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

from quaymill.process.replica_set.replica import Replica

OTHER_ZONE_LOAD = 0.75
"""Requests by which a replica of another zone counts as busier: bytes between zones are priced
(docs/PLATFORM.md, largest prices)."""


def least_costly(
    candidates: Iterable[Replica],
    load_of: Callable[[Replica], float],
    zone: str,
    offsets: Mapping[str, float],
    rng: random.Random,
) -> Replica:
    """Return the replica with the least load as a gateway of ``zone`` counts it.

    Parameters
    ----------
    offsets
        Requests that are added to the load, by replica.
    rng
        Decides among those that are alike.
    """

    def cost(replica: Replica) -> tuple[float, float]:
        load = load_of(replica) + offsets.get(replica.id, 0.0)
        if replica.entry.zone != zone:
            load += OTHER_ZONE_LOAD
        return load, rng.random()

    return min(candidates, key=cost)
