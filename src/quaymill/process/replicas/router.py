"""Chooses the replica for a request.

The zone group is chosen first, exactly by weight. Within the group, replicas of the local zone
are preferred. Among these, the less loaded of two random ones is chosen. The replica that is
preferred for the prompt prefix is chosen instead if its load is at most slightly higher.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Collection

import msgspec
import xxhash

from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.replicas.ejection import Ejector
from quaymill.process.replicas.load_view import LoadView
from quaymill.process.replicas.replica import ReplicaView
from quaymill.process.settings import NodeSettings
from quaymill.request.outcome import Failed, Failure, NotRun
from quaymill.version.configuration import Route, ServingConfiguration

AFFINITY_EXTRA_LOAD = 2.0
RETRY_AFTER_NO_REPLICA_S = 2.0
RETRY_AFTER_FULL_S = 1.0


class _SmoothWeightedRoundRobin:
    """Smooth weighted round-robin: each group's count deviates from its share by at most one.

    Each pick adds every group's weight to its credit, chooses the group with the highest credit
    and subtracts the total weight from that group's credit.
    """

    def __init__(self) -> None:
        self._credits: dict[str, float] = {}

    def pick(self, weights: dict[str, float]) -> str:
        credits = {name: self._credits.get(name, 0.0) for name in weights}
        for name, weight in weights.items():
            credits[name] += weight
        chosen = max(credits, key=lambda name: (credits[name], name))
        credits[chosen] -= sum(weights.values())
        self._credits = credits
        return chosen


class _Candidate(msgspec.Struct):
    replica: ReplicaView
    load: float


class Router:
    """Chooses among the replicas of a load view by the current configuration.

    Parameters
    ----------
    seed
        Seeds the random choices, for repeatable tests.
    """

    def __init__(
        self,
        load_view: LoadView,
        holder: ConfigurationHolder,
        settings: NodeSettings,
        seed: int | None = None,
    ) -> None:
        self._load_view = load_view
        self._holder = holder
        self._zone = settings.zone
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._round_robins: dict[str, _SmoothWeightedRoundRobin] = {}
        self._ejector = Ejector()

    def choose(
        self, service: str, prefix_key: str = "", exclude: Collection[str] = ()
    ) -> ReplicaView | NotRun:
        """Choose a replica that is not in ``exclude``, or return why there is none."""
        configuration = self._holder.current()
        groups = self._usable_groups(configuration, service, exclude)
        if not groups:
            return _no_replica(service)
        routes = configuration.routes.get(service, {})
        weights = {name: routes[name].weight for name in groups}
        with self._lock:
            round_robin = self._round_robins.setdefault(service, _SmoothWeightedRoundRobin())
            chosen: ReplicaView | NotRun = _no_replica(service)
            # If all replicas of a group are at their limit, another group is picked.
            while weights:
                group = round_robin.pick(weights)
                chosen = self._choose_in_group(service, groups[group], routes[group], prefix_key)
                if not isinstance(chosen, NotRun):
                    return chosen
                del weights[group]
            return chosen

    def record_success(self, replica: ReplicaView, first_byte_s: float) -> None:
        """Record an answer of a replica and its time to the first byte."""
        same_service = self._load_view.replicas(replica.machine.service)
        self._ejector.record_success(replica, same_service, first_byte_s)

    def record_failure(self, replica: ReplicaView, failure: Failure) -> None:
        """Record what a failed attempt implies for its replica."""
        if isinstance(failure, NotRun) and failure.by_replica:
            replica.record_draining_answer()
        if isinstance(failure, Failed) and failure.status < 500:
            return
        # A refused connection or a missing first byte is enough for an ejection.
        certain = isinstance(failure, NotRun) or failure.status == 504
        same_service = self._load_view.replicas(replica.machine.service)
        self._ejector.record_failure(replica, same_service, certain=certain)

    def forget_failures(self) -> None:
        """End all ejections at once, on request of an operator."""
        for replica in self._load_view.all_replicas():
            replica.forget_failures()
        self._ejector.forget()

    def _usable_groups(
        self, configuration: ServingConfiguration, service: str, exclude: Collection[str]
    ) -> dict[str, list[ReplicaView]]:
        """Return the groups that have a weight above 0 and replicas to choose from."""
        replicas = [
            replica
            for replica in self._load_view.replicas(service)
            if replica.name not in exclude and not replica.draining
        ]
        group_of_zone = {
            zone: name for name, group in configuration.zone_groups.items() for zone in group.zones
        }
        routes = configuration.routes.get(service, {})
        groups: dict[str, list[ReplicaView]] = {}
        for replica in replicas:
            name = group_of_zone.get(replica.machine.zone)
            if name in routes and routes[name].weight > 0:
                groups.setdefault(name, []).append(replica)
        healthy = {
            name: [one for one in members if one.reachable and not one.ejected]
            for name, members in groups.items()
        }
        healthy = {name: members for name, members in healthy.items() if members}
        # Without any healthy replica, an unhealthy one is better than certain refusal.
        return healthy or groups

    def _choose_in_group(
        self, service: str, replicas: list[ReplicaView], route: Route, prefix_key: str
    ) -> ReplicaView | NotRun:
        candidates = _with_loads(replicas)
        below_limit = [candidate for candidate in candidates if candidate.load < route.online_limit]
        if not below_limit:
            return _all_full(service)
        in_local_zone = [one for one in below_limit if one.replica.machine.zone == self._zone]
        choice = self._less_loaded_of_two(in_local_zone or below_limit)
        if prefix_key:
            preferred = _preferred_for(prefix_key, in_local_zone or below_limit)
            if preferred.load <= choice.load + AFFINITY_EXTRA_LOAD:
                return preferred.replica
        return choice.replica

    def _less_loaded_of_two(self, candidates: list[_Candidate]) -> _Candidate:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        return first if first.load <= second.load else second


def _with_loads(replicas: list[ReplicaView]) -> list[_Candidate]:
    """Pair replicas with their loads; an unknown load counts as the highest known one."""
    loads = [replica.load() for replica in replicas]
    highest = max((load for load in loads if load is not None), default=0.0)
    return [
        _Candidate(
            replica, load if load is not None else max(highest, float(replica.local_in_flight))
        )
        for replica, load in zip(replicas, loads, strict=True)
    ]


def _preferred_for(prefix_key: str, candidates: list[_Candidate]) -> _Candidate:
    return max(
        candidates,
        key=lambda one: xxhash.xxh3_64_intdigest(f"{prefix_key}\n{one.replica.name}".encode()),
    )


def _no_replica(service: str) -> NotRun:
    return NotRun(
        503,
        f"no replica of {service} can take the request",
        "see `quaymill status` for the replicas, and the weights of the service's routes",
        RETRY_AFTER_NO_REPLICA_S,
    )


def _all_full(service: str) -> NotRun:
    return NotRun(
        429,
        f"all replicas of {service} are at their online limit",
        "come back later, or raise online_limit of the routes",
        RETRY_AFTER_FULL_S,
    )
