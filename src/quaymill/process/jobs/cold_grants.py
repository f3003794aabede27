"""Grants of requests to cold replicas by the slot allocators of a gateway.

A replica is cold for some seconds after its start. Where its service declares the rate that a cold
replica can handle, only requests with a grant of the slot allocator of its pool are sent to it.
The limits are decided by ``replica_set/cold_start.py``.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from eliot import log_message

from quaymill import boot_clock
from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.replica_set.cold_start import (
    RANKED_FIRST_S,
    ColdRule,
    GrantWindows,
)
from quaymill.process.replica_set.replica import Replica
from quaymill.process.serving_settings import Bounds
from quaymill.version.request_routes import RequestRoutes


class ColdRules:
    """The rules of the services that declare a rate for cold replicas.

    Parameters
    ----------
    routes
        Returns the configuration in force.
    """

    def __init__(self, routes: Callable[[], RequestRoutes], bounds: Bounds) -> None:
        self._routes = routes
        self._bounds = bounds
        self._known: tuple[RequestRoutes | None, dict[str, ColdRule]] = (None, {})

    def of(self, service: str) -> ColdRule | None:
        """Return the rule of a service; ``None`` if it declares nothing."""
        routes, rules = self._known
        if routes is not self._routes():
            routes = self._routes()
            before = rules
            rules = {name: self._rule(routes, name) for name in routes.cold_services}
            self._known = (routes, rules)
            _log_rules_without_grants(rules, before)
        return rules.get(service)

    def _rule(self, routes: RequestRoutes, service: str) -> ColdRule:
        properties = routes.services[service]
        return ColdRule.from_rate(
            properties.warm_up_s,
            properties.cold_requests_per_s,
            self._bounds.cold_rate_factor,
            self._bounds.cold_rate_slack,
        )


def _log_rules_without_grants(
    rules: Mapping[str, ColdRule], before: Mapping[str, ColdRule]
) -> None:
    """Log services whose cold replicas get no requests, unless this was so before."""
    for service, rule in rules.items():
        if not rule.max_grants and rule != before.get(service):
            log_message(
                "cold:rate_too_low", service=service, cold_requests_per_s=rule.requests_per_s
            )


def cold_ids_of(replicas: Iterable[Replica]) -> frozenset[str]:
    """Return the replicas that are cold now; read once for each decision.

    A replica may become cold at any moment. If this were read again after the decision, a grant
    could be made for which the limit had not been checked.
    """
    return frozenset(one.id for one in replicas if one.cold)


class ColdGrants:
    """The grants of one slot allocator to cold replicas; guarded by the allocator's lock.

    The identities of the replicas that count as cold in a decision are a parameter of all methods,
    see ``cold_ids_of``.

    Parameters
    ----------
    may_grant
        Returns whether this gateway may grant requests to the cold replicas of a pool.
    eligible_in_s
        Returns the shortest time after which it may, 0 if it may now.

    Attributes
    ----------
    granted
        Number of grants since this process started.
    """

    def __init__(
        self,
        may_grant: Callable[[EnginePool], bool] = lambda pool: False,
        eligible_in_s: Callable[[EnginePool], float] = lambda pool: RANKED_FIRST_S,
    ) -> None:
        self._may_grant = may_grant
        self._eligible_in_s = eligible_in_s
        self._windows = GrantWindows()
        self.granted = 0

    def candidates(
        self, pool: EnginePool, replicas: Collection[Replica], cold_ids: Collection[str]
    ) -> list[Replica]:
        """Return the replicas that may get an online request now."""
        return [one for one in replicas if self.has_room(pool, one, cold_ids)]

    def has_room(self, pool: EnginePool, replica: Replica, cold_ids: Collection[str]) -> bool:
        """Return whether a replica is warm, or one more request may be granted to it."""
        if replica.id not in cold_ids:
            return True
        rule = replica.cold_rule
        if rule is None:
            return False
        return bool(self._may_grant(pool) and self._windows.room(replica.id, rule, _now()))

    def item_room(
        self,
        pool: EnginePool,
        replica: Replica,
        queue_length: int,
        cold_ids: Collection[str],
    ) -> int:
        """Return how many batch items may be started; all slots of a warm replica.

        Parameters
        ----------
        queue_length
            Number of online requests that wait for a slot of the pool.
        """
        if replica.id not in cold_ids:
            return replica.slots
        rule = replica.cold_rule
        if rule is None or queue_length or not self._may_grant(pool):
            return 0
        return self._windows.item_room(replica.id, rule, _now())

    def usable_slots(self, pool: EnginePool, replica: Replica, service_s: float) -> float:
        """Return how many requests a replica serves at once, considering that it may be cold."""
        rule = replica.cold_rule
        if rule is None or not replica.cold:
            return replica.slots
        return rule.sustainable_slots(replica.slots, service_s) if self._may_grant(pool) else 0.0

    def usable_in_s(self, pool: EnginePool, replicas: Iterable[Replica]) -> float:
        """Return the shortest time after which one of some cold replicas may get a request."""
        now = _now()
        eligible_in_s = self._eligible_in_s(pool)
        return min(
            min(left_s, eligible_in_s) if one.cold_rule and one.cold_rule.max_grants else left_s
            for one in replicas
            for left_s in (max(0.0, one.cold_until - now),)
        )

    def record(self, replica: Replica, cold_ids: Collection[str], *, is_item: bool = False) -> bool:
        """Count a grant if the replica is cold; return whether it is."""
        if replica.id not in cold_ids:
            return False
        self._windows.record(replica.id, _now(), is_item=is_item)
        self.granted += 1
        return True


def _now() -> float:
    return boot_clock.now()
