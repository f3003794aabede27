"""How busy a replica counts for an online request, and which one counts as least busy.

Used by a gateway that chooses by itself, and by the keeper of room that chooses for others.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

from quaymill.connection.replica_entry import USUAL_SLOWNESS
from quaymill.process.replica_set.replica import Replica

OTHER_ZONE_LOAD = 1.5
"""Requests by which a replica of another zone counts as busier. While replicas of the own zone have
a free slot, another zone serves no sooner: the way there takes longer, and bytes between zones are
priced (docs/PLATFORM.md, largest prices). More would let requests wait in bursts."""
OTHER_ZONE_KEPT_LOAD = 0.75
"""The same where it is likely to hold a large part of the prompt: what need not be read there again
outweighs the way."""


def expected_cost(load: float, slots: int, slowness: float) -> float:
    """Return what a request costs at a replica, in requests of one where work takes its usual time.

    A request takes as long as it is worked on, and its part of what waits for the slots before it;
    both grow with how slow the replica is. What that adds counts as so many requests as would be
    done in it; at a replica where work takes its usual time the cost is the load.
    """
    waiting = max(0.0, load - slots)
    return load + (slowness - USUAL_SLOWNESS) * (slots + waiting)


def least_costly(
    candidates: Iterable[Replica],
    load_of: Callable[[Replica], float],
    zone: str,
    offsets: Mapping[str, float],
    rng: random.Random,
) -> Replica:
    """Return the replica where a request costs least as a gateway of ``zone`` counts it.

    Parameters
    ----------
    offsets
        Requests that are added to the load, by replica.
    rng
        Decides among those that are alike.
    """

    def cost(replica: Replica) -> tuple[float, float]:
        offset = offsets.get(replica.id, 0.0)
        load = expected_cost(load_of(replica), replica.slots, replica.slowness()) + offset
        if replica.entry.zone != zone:
            load += OTHER_ZONE_KEPT_LOAD if offset < 0 else OTHER_ZONE_LOAD
        return load, rng.random()

    return min(candidates, key=cost)
