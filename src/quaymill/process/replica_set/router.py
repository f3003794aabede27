"""Chooses the replica that gets a request.

The replica with the lowest estimated cost is chosen. The cost is the load with corrections: a
replica counts as busier if it is slow, is in another zone or has failed recently, and as less busy
if it has probably cached a large shared part of the prompt. The loads known here are too old during
a burst of requests, so the slot allocator of the replica's pool is asked, and its choice takes
precedence.

Replicas of other regions are chosen only while no replica of the own region has a free slot, or
if those of the own region are gone or failing.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

import attrs
import xxhash

from quaymill import boot_clock
from quaymill.process.replica_set.replica import Replica, best_group, own_region_first
from quaymill.process.replica_set.replica_cost import least_costly, with_cold_load
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.prompt import NO_PROMPT, Prompt
from quaymill.request.replica_choice import NoReplica
from quaymill.request.stream_version import StreamVersion
from quaymill.version.request_routes import RequestRoute, WeightedService

AFFINITY_MIN_TOKENS = 1000
"""Smaller shared parts of a prompt do not affect the choice."""
AFFINITY_TOKENS_PER_REQUEST = 2000.0
"""Shared tokens that lower the load of a replica by one request."""
SECOND_AFFINITY_SHARE = 0.5
"""Bonus of the second replica that a shared part hashes to, as a share of that of the first."""
PENALTY_LOAD = 2.0
"""Load of one unit of penalty, in requests. A single recent failure is two thirds of what ejects a
replica."""
MIN_OFFSET = 0.1
"""Smallest offset in requests that is sent to the slot allocator."""
LAST_RESORT_DEPARTED_S = 0.5
"""How long after its departure a replica may still be used if there is no other. A leaving replica
must serve for longer than this time plus the delay until its departure is read."""
EVACUATED_RETRY_AFTER_S = 2.0
"""Time after which callers may retry if all replicas are evacuated: about the time in which the end
of an evacuation reaches the gateways."""

MIN_RETRY_AFTER_S = 0.1


@attrs.frozen
class PlacementConstraints:
    """Constraints of a gateway on the replica that the slot allocator chooses for a request.

    Attributes
    ----------
    excluded
        Identities of replicas that have been tried, or are unhealthy or evacuated for this gateway.
    offsets
        Requests to add to the load, by replica identity.
    """

    excluded: frozenset[str]
    offsets: Mapping[str, float]


PlaceCall = Callable[[Replica, PlacementConstraints], Replica | None]
"""Asks the slot allocator of a replica's pool to choose a replica of that pool; returns ``None`` if
it does not respond or has no choice."""


class Router:
    """Chooses among the replicas in a table.

    Parameters
    ----------
    zone
        Zone of this process.
    place
        Asks the slot allocator, whose choice replaces the local one.
    service_s
        Returns the usual service time of a service in seconds; 0 if unknown.
    is_allocated
        Returns whether slot allocators place the requests of a service.
    """

    def __init__(
        self,
        table: ReplicaTable,
        zone: str,
        seed: str,
        place: PlaceCall = lambda replica, constraints: None,
        service_s: Callable[[str], float] = lambda service: 0.0,
        is_allocated: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._table = table
        self._is_allocated = is_allocated
        self._zone = zone
        self._place = place
        self._service_s = service_s
        self._random = random.Random(seed)
        self._choices_by_route: dict[tuple[str, tuple[WeightedService, ...]], dict[str, int]] = {}

    def choose_service(self, route: RequestRoute) -> str:
        """Return the service of a route whose share is furthest behind its weight."""
        if len(route.services) == 1:
            return route.services[0].service
        serving = route.serving_services
        # The weights are part of the key, so that a change of them resets the counts.
        counts = self._choices_by_route.setdefault((route.name, route.services), {})
        chosen = min(
            serving,
            key=lambda candidate: (counts.get(candidate.service, 0) + 1) / (candidate.weight or 1),
        )
        counts[chosen.service] = counts.get(chosen.service, 0) + 1
        return chosen.service

    def choose(
        self,
        service: str,
        prompt: Prompt = NO_PROMPT,
        excluded: Iterable[str] = (),
    ) -> Replica | NoReplica:
        """Return the best replica, leaving out those whose identity is in ``excluded``."""
        replicas = self._table.of_service(service)
        candidates = [
            replica for replica in replicas if not replica.leaving and replica.id not in excluded
        ]
        if not candidates:
            candidates = [
                replica
                for replica in replicas
                if replica.id not in excluded and _has_just_departed(replica)
            ]
        if not candidates and self._table.is_evacuated(service):
            return NoReplica(
                service,
                "all replicas of the service are in evacuated zones",
                EVACUATED_RETRY_AFTER_S,
            )
        if not candidates:
            return NoReplica(service, "no replica of the service is listed and untried")
        if any(replica.cold for replica in candidates):
            unusable = frozenset(excluded) | _evacuated_ids(replicas)
            return self._choose_with_cold(service, candidates, prompt, unusable)
        healthy = [replica for replica in candidates if not replica.avoided]
        if not healthy:
            reachable = best_group(candidates)
            return self._least_costly(reachable, self._offsets(reachable, prompt))
        nearby = own_region_first(healthy)
        has_free_slot = any(replica.load() < replica.slots for replica in nearby)
        preferred, constraints = self._local_choice(
            candidates,
            healthy,
            nearby if has_free_slot else healthy,
            prompt,
            frozenset(excluded) | _evacuated_ids(replicas),
        )
        placed = self._place(preferred, constraints)
        if placed is not None:
            return placed
        if preferred not in nearby and self._is_allocated(service):
            # Without its allocator, the loads of the other region are not known here.
            preferred, constraints = self._local_choice(
                candidates, healthy, nearby, prompt, constraints.excluded
            )
            return self._place(preferred, constraints) or preferred
        return preferred

    def _choose_with_cold(
        self, service: str, candidates: list[Replica], prompt: Prompt, excluded: frozenset[str]
    ) -> Replica | NoReplica:
        """Return a replica where some are cold, which only the allocator may choose."""
        usable = best_group(candidates)
        preferred, constraints = self._local_choice(
            candidates, usable, own_region_first(usable), prompt, excluded
        )
        if all(replica.gets_no_grants for replica in candidates):
            left_s = min(replica.cold_until for replica in candidates) - boot_clock.now()
            reason = "only cold replicas are left, whose declared rate allows no request"
            return NoReplica(service, reason, max(MIN_RETRY_AFTER_S, left_s))
        placed = self._place(preferred, constraints)
        if placed is not None:
            return placed
        warm = best_group(replica for replica in candidates if not replica.cold)
        if not warm:
            reason = "only cold replicas are left, and none was granted"
            return NoReplica(service, reason, lacks_grant=True)
        return self._least_costly(warm, self._offsets(warm, prompt))

    def constraints_of(
        self,
        service: str,
        prompt: Prompt = NO_PROMPT,
        version: StreamVersion | None = None,
    ) -> tuple[Replica, PlacementConstraints] | None:
        """Return the local choice for the first attempt of a request, and its constraints.

        The choice is in the own region if a replica is healthy there, as the request can be queued
        for it. Returns ``None`` if no replica is healthy.

        Parameters
        ----------
        version
            Software version of the stream that the request resumes; ``None`` for any.
        """
        replicas = self._table.of_service(service)
        others = self.ids_of_other_versions(service, version) if version else frozenset()
        candidates = [
            replica for replica in replicas if not replica.leaving and replica.id not in others
        ]
        healthy = [replica for replica in candidates if not replica.avoided]
        if not healthy:
            return None
        nearby = own_region_first(healthy)
        excluded = _evacuated_ids(replicas) | others
        return self._local_choice(candidates, healthy, nearby, prompt, excluded)

    def _local_choice(
        self,
        candidates: list[Replica],
        healthy: list[Replica],
        allowed: list[Replica],
        prompt: Prompt,
        excluded: frozenset[str],
    ) -> tuple[Replica, PlacementConstraints]:
        """Return the least costly of the ``allowed`` replicas, and the request's constraints."""
        offsets = self._offsets(healthy, prompt)
        preferred = self._least_costly(allowed, offsets)
        unhealthy = {replica.id for replica in candidates} - {replica.id for replica in healthy}
        return preferred, PlacementConstraints(excluded | unhealthy, offsets)

    def may_reach_another(self, service: str, excluded: Iterable[str]) -> bool:
        """Return whether a replica that is not in ``excluded`` is in a reachable zone."""
        return any(
            not replica.leaving and replica.id not in excluded and not replica.unreachable
            for replica in self._table.of_service(service)
        )

    def serves_version(self, version: StreamVersion) -> bool:
        """Return whether a replica that may get requests may go on with a stream of a version."""
        return any(
            version.may_resume_at(replica.entry)
            and (not replica.leaving or _has_just_departed(replica))
            for replica in self._table.of_service(version.service)
        )

    def ids_of_other_versions(self, service: str, version: StreamVersion) -> frozenset[str]:
        """Return the ids of the replicas that may not go on with a stream of a version."""
        return frozenset(
            replica.id
            for replica in self._table.of_service(service)
            if not version.may_resume_at(replica.entry)
        )

    def _least_costly(self, candidates: list[Replica], offsets: Mapping[str, float]) -> Replica:
        service_s = self._service_s(candidates[0].entry.service)
        load_of = with_cold_load(Replica.load)
        return least_costly(candidates, load_of, self._zone, offsets, self._random, service_s)

    def _offsets(self, candidates: list[Replica], prompt: Prompt) -> dict[str, float]:
        """Return the load offsets for recent failures and cached prompt parts, by replica id."""
        bonuses = self._affinity_bonuses(candidates, prompt)
        offsets = {
            replica.id: PENALTY_LOAD * replica.penalty - bonuses.get(replica.id, 0.0)
            for replica in candidates
        }
        return {name: offset for name, offset in offsets.items() if abs(offset) >= MIN_OFFSET}

    def _affinity_bonuses(self, candidates: list[Replica], prompt: Prompt) -> dict[str, float]:
        """Return the bonuses of the replicas to which a large shared prompt part hashes.

        These are two in each region, which have cached prompts of their own: the link between
        regions is slow.
        """
        part = prompt.largest_shared_part()
        if part is None or part.tokens < AFFINITY_MIN_TOKENS:
            return {}
        bonus = part.tokens / AFFINITY_TOKENS_PER_REQUEST
        shares = (1.0, SECOND_AFFINITY_SHARE)
        by_region: dict[str, list[Replica]] = {}
        for replica in candidates:
            by_region.setdefault(replica.region, []).append(replica)
        bonuses: dict[str, float] = {}
        for in_region in by_region.values():
            ranked = sorted(in_region, key=lambda replica: _rank(part.id, replica.id))
            for replica, share in zip(ranked, shares, strict=False):
                bonuses[replica.id] = bonus * share
        return bonuses


def _has_just_departed(replica: Replica) -> bool:
    """Return whether a replica departed so recently that it may still serve.

    It may even be healthy, as entries also expire during an outage of the store.
    """
    return (
        replica.departed_at is not None
        and not replica.misdirected
        and not replica.entry.draining
        and not replica.evacuated
        and boot_clock.now() - replica.departed_at < LAST_RESORT_DEPARTED_S
    )


def _evacuated_ids(replicas: Iterable[Replica]) -> frozenset[str]:
    """Return the replicas in evacuated zones, which the allocator may not know as such yet."""
    return frozenset(replica.id for replica in replicas if replica.evacuated)


def _rank(key: str, replica_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{replica_id}".encode())
