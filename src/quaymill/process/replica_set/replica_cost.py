"""Estimates the cost of an online request at a replica, and chooses the least costly replica.

Used by a gateway for its local choice and by the slot allocator for all gateways.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

from quaymill.connection.replica_entry import USUAL_SLOWNESS
from quaymill.process.regions import Distance
from quaymill.process.replica_set.cold_start import COLD_LOAD
from quaymill.process.replica_set.replica import Replica

OTHER_ZONE_LOAD = 1.5
"""Additional load, in requests, of a replica in another zone: latency is higher, and traffic
between zones is charged. A larger value would let requests wait in the local zone in bursts."""
OTHER_ZONE_CACHED_LOAD = 0.75
"""The same for a replica that has probably cached a large part of the prompt."""
MIN_OTHER_REGION_FACTOR = 2.0
"""Minimum cost of another region, as a multiple of the cost of another zone."""


def expected_cost(load: float, slots: int, slowness: float) -> float:
    """Return the cost of a request at a replica, as an equivalent load in requests.

    At usual slowness the cost is the load. A request takes its service time plus its share of the
    time for which requests wait for a slot; both are proportional to the slowness. The additional
    time at a slower replica is converted to the number of requests served during that time.

    Parameters
    ----------
    load
        Requests at the replica.
    slowness
        Duration of work as a multiple of the usual duration.
    """
    waiting = max(0.0, load - slots)
    return load + (slowness - USUAL_SLOWNESS) * (slots + waiting)


def distance_cost(
    distance: Distance, slots: int, service_s: float, round_trip_s: float, *, cached: bool
) -> float:
    """Return the additional cost of a replica for its distance, in requests.

    The round trip to another region is converted to the number of requests that the replica
    serves during that time.

    Parameters
    ----------
    service_s
        Usual service time of a request in seconds; 0 if unknown.
    round_trip_s
        Network round trip to another region in seconds.
    cached
        Whether the replica has probably cached a large part of the prompt.
    """
    if distance is Distance.SAME_ZONE:
        return 0.0
    zone_cost = OTHER_ZONE_CACHED_LOAD if cached else OTHER_ZONE_LOAD
    if distance is Distance.SAME_REGION:
        return zone_cost
    travel_cost = round_trip_s * slots / service_s if service_s > 0 else 0.0
    return max(MIN_OTHER_REGION_FACTOR * zone_cost, travel_cost)


def with_cold_load(load_of: Callable[[Replica], float]) -> Callable[[Replica], float]:
    """Return a function of a replica's load by which idle warm replicas precede cold ones."""
    return lambda replica: load_of(replica) + (COLD_LOAD if replica.cold else 0.0)


def least_costly(
    candidates: Iterable[Replica],
    load_of: Callable[[Replica], float],
    zone: str,
    offsets: Mapping[str, float],
    rng: random.Random,
    service_s: float = 0.0,
) -> Replica:
    """Return the replica with the lowest cost for a request of a gateway in ``zone``.

    Parameters
    ----------
    offsets
        Requests to add to the load, by replica identity.
    rng
        Breaks ties.
    service_s
        Usual service time of a request in seconds; 0 if unknown.
    """
    candidates = tuple(candidates)
    regions = candidates[0].regions
    # Most deployments have one region; choices are made for each request.
    # An allocator also chooses for gateways of other regions, whose distance it knows as its own.
    round_trip_by_region: dict[str, float] = {}

    def round_trip_s(region: str) -> float:
        far = regions.region_of(zone) if region == regions.own_pool_region else region
        if far not in round_trip_by_region:
            round_trip_by_region[far] = regions.round_trip_s(far)
        return round_trip_by_region[far]

    def travel(replica: Replica, *, cached: bool) -> float:
        if replica.zone == zone:
            return 0.0
        if not regions.has_several:
            return OTHER_ZONE_CACHED_LOAD if cached else OTHER_ZONE_LOAD
        distance = replica.distance_from(zone)
        is_far = distance is Distance.OTHER_REGION
        far_s = round_trip_s(replica.region) if is_far else 0.0
        return distance_cost(distance, replica.slots, service_s, far_s, cached=cached)

    def cost(replica: Replica) -> tuple[float, float]:
        offset = offsets.get(replica.id, 0.0)
        load = expected_cost(load_of(replica), replica.slots, replica.slowness()) + offset
        return load + travel(replica, cached=offset < 0), rng.random()

    return min(candidates, key=cost)
