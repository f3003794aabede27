"""One version of the routes that assign callers' requests to services.

``RequestRoutes`` is immutable; a new version replaces it as a whole.
"""

from __future__ import annotations

import enum
from typing import Any

import attrs

from quaymill.version.tenants import RequestTenant, tenant_by_digest


class RouteKind(enum.StrEnum):
    """Kinds of routes, which differ in how their requests may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@attrs.frozen
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class RequestRoute:
    """A host and path prefix, and how its requests are served.

    Attributes
    ----------
    timeout_s
        Maximum timeout of a request; a caller may request a shorter one.
    objective_s
        Time within which an answer (or the first event of a stream) is on time.
    priority
        Rank among routes; 0 is served first.
    max_attempts
        Maximum number of replicas to which one request is sent.
    resumable
        Whether a stream may be continued after its last event by another replica.
    gap_objective_s
        Maximum time between two events that is on time; ``None`` for no limit.
    due_s
        Batch routes only: time after the first submission of a job at which all results are due.
    max_wait_s
        Batch routes only: time after that submission from which an item may be given up.
    max_unfinished_tokens
        Batch routes only: maximum number of tokens of a tenant's accepted and unfinished items,
        over all gateways; 0 for no limit.
    public
        Whether requests need no key although tenants are configured.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    priority: int = 0
    max_attempts: int = 1
    sticky: bool = False
    resumable: bool = False
    gap_objective_s: float | None = None
    due_s: float = 0.0
    max_wait_s: float = 0.0
    max_unfinished_tokens: int = 0
    public: bool = False

    @property
    def serving_services(self) -> tuple[WeightedService, ...]:
        """The services that get requests: those with a weight, or all if none has one."""
        weighted = tuple(part for part in self.services if part.weight > 0)
        return weighted or self.services

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again after it may have been executed."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.BATCH)


@attrs.frozen
class EngineProperties:
    """Capacity of a service's model engines."""

    slots: int
    kv_capacity_tokens: int


@attrs.frozen
class ServiceProperties:
    """Properties of a service's replicas; ``engine`` is ``None`` for applications.

    Attributes
    ----------
    warm_up_s
        Time for which a replica is cold after its start, in seconds.
    cold_requests_per_s
        Requests per second that a cold replica can serve; 0 if the service declares no limit.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProperties | None = None
    warm_up_s: float = 0.0
    cold_requests_per_s: float = 0.0


@attrs.frozen
class RequestLimits:
    """Limits of request sizes, and timeouts of callers' connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class RequestRoutes:
    """All routes and services of one configuration version, and who may use them.

    Attributes
    ----------
    tenants
        Tenants by name; ``None`` if no request needs a key.
    """

    version: int
    routes: tuple[RequestRoute, ...] = ()
    services: dict[str, ServiceProperties] = attrs.field(factory=dict)
    limits: RequestLimits = RequestLimits()
    tenants: dict[str, RequestTenant] | None = None
    batch_services: frozenset[str] = attrs.field(init=False, repr=False, eq=False)
    """Services of batch routes."""
    cold_services: frozenset[str] = attrs.field(init=False, repr=False, eq=False)
    """Services that declare a rate for cold replicas."""
    allocated_services: frozenset[str] = attrs.field(init=False, repr=False, eq=False)
    """Services whose requests are placed by slot allocators."""
    _by_prefix: dict[tuple[str, str], RequestRoute] = attrs.field(init=False, repr=False, eq=False)
    _tenant_by_digest: dict[str, str] = attrs.field(init=False, repr=False, eq=False)
    _public_batch_hosts: frozenset[str] = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        by_prefix = {(route.host, route.path_prefix): route for route in self.routes}
        object.__setattr__(self, "_by_prefix", by_prefix)
        batch_services = (
            weighted_service.service
            for route in self.routes
            if route.kind is RouteKind.BATCH
            for weighted_service in route.services
        )
        object.__setattr__(self, "batch_services", frozenset(batch_services))
        cold_services = frozenset(
            name for name, service in self.services.items() if service.cold_requests_per_s > 0
        )
        object.__setattr__(self, "cold_services", cold_services)
        object.__setattr__(self, "allocated_services", self.batch_services | cold_services)
        tenants = (self.tenants or {}).values()
        by_digest = tenant_by_digest({tenant.name: tenant.key_digests for tenant in tenants})
        object.__setattr__(self, "_tenant_by_digest", by_digest)
        public_batch_hosts = (
            route.host for route in self.routes if route.kind is RouteKind.BATCH and route.public
        )
        object.__setattr__(self, "_public_batch_hosts", frozenset(public_batch_hosts))

    def find(self, host: str, path: str) -> RequestRoute | None:
        """Return the route of ``host`` with the longest prefix of ``path``.

        Every prefix ends with a slash, so only prefixes that end at a slash are looked up; the time
        does not depend on the number of routes.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def by_name(self, name: str) -> RequestRoute | None:
        """Return the route with this name, if any."""
        return next((route for route in self.routes if route.name == name), None)

    def find_tenant(self, digest: str) -> RequestTenant | None:
        """Return the tenant of the key with this digest, if any."""
        name = self._tenant_by_digest.get(digest)
        return None if name is None else self.tenants[name]

    def has_public_jobs(self, host: str) -> bool:
        """Return whether a host accepts batch jobs without a key."""
        return host in self._public_batch_hosts


@attrs.frozen
class CompiledConfiguration:
    """A configuration and the operator's document that it was compiled from."""

    document: Any
    routes: RequestRoutes


NO_ROUTES = RequestRoutes(version=0)
"""Used until the first configuration has been received."""
