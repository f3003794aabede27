"""Decodes the operators' configuration and the replicas' entries in the object store."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.object_store import StoredObject, UnreadableObject
from quaymill.connection.replica_entry import ReplicaEntry, read_cold_left_s, read_version
from quaymill.platform.names import REPLICA_DRAINING, ROUTE_KINDS
from quaymill.version.request_routes import (
    EngineProperties,
    RequestLimits,
    RequestRoute,
    RequestRoutes,
    ServiceProperties,
    WeightedService,
)
from quaymill.version.tenants import RequestTenant, TenantLimits, key_digest

MS_PER_S = 1000.0
MAX_SLOTS = 100_000
"""Upper bound of a plausible entry; an entry with more slots is rejected as unreadable."""


class _ServiceShare(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 0.0
    slo_ms: float = 0.0
    priority: int = 0
    service: str = ""
    split: list[_ServiceShare] = []
    max_attempts: int = 1
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None
    due_ms: float = 0.0
    max_wait_s: float = 0.0
    max_queued_tokens: int = 0
    """Limit of a batch route: tokens of queued and running items. The engine's field of the same
    name has another meaning and is not read."""
    public: bool = False


class _Engine(msgspec.Struct):
    slots: int = 0
    kv_capacity_tokens: int = 0


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    max_conns: int = 0
    engine: _Engine | None = None
    cold_start_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cold_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_left_ms: Any = None
    version: Any = ""
    born: Annotated[int, msgspec.Meta(ge=0)] = 0


def decode_configuration(spec: Any) -> RequestRoutes | UnreadableObject:
    """Decode the configuration in an object's ``spec``."""
    try:
        document = msgspec.convert(spec, _Configuration)
        return RequestRoutes(
            version=document.version,
            routes=tuple(_route(route) for route in document.routes),
            services={service.name: _service(service) for service in document.services},
            limits=_limits(document.limits),
            tenants=_tenants(document.tenants),
        )
    except (msgspec.ValidationError, KeyError, OverflowError) as error:
        return UnreadableObject("configuration", str(error))


def decode_replica(stored: StoredObject) -> ReplicaEntry | UnreadableObject:
    """Decode the entry that a replica has written about itself."""
    try:
        server = msgspec.convert(stored.spec, _Server)
        address = Endpoint.parse_address(server.address)
    except (msgspec.ValidationError, ValueError) as error:
        return UnreadableObject(stored.name, str(error))
    return ReplicaEntry(
        id=stored.name,
        service=server.service,
        address=address,
        zone=server.zone,
        slots=server.slots,
        draining=server.state == REPLICA_DRAINING,
        cold_left_s=read_cold_left_s(server.cold_left_ms, MS_PER_S),
        started_ms=server.born,
        version=read_version(server.version),
        revision=stored.revision,
    )


def _route(route: _Route) -> RequestRoute:
    parts = [WeightedService(part.service, part.weight) for part in route.split]
    gap_s = None if route.gap_aim_ms is None else route.gap_aim_ms / MS_PER_S
    return RequestRoute(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=ROUTE_KINDS[route.kind],
        services=tuple(parts) or (WeightedService(route.service, 1.0),),
        timeout_s=route.timeout_ms / MS_PER_S,
        objective_s=route.slo_ms / MS_PER_S,
        priority=route.priority,
        max_attempts=route.max_attempts,
        sticky=route.sticky,
        resumable=route.resumable,
        gap_objective_s=gap_s,
        due_s=route.due_ms / MS_PER_S,
        max_wait_s=route.max_wait_s,
        max_unfinished_tokens=route.max_queued_tokens,
        public=route.public,
    )


def _tenants(tenants: list[_Tenant] | None) -> dict[str, RequestTenant] | None:
    if tenants is None:
        return None
    return {
        tenant.name: RequestTenant(
            tenant.name,
            tuple(key_digest(key.encode()) for key in tenant.api_keys),
            TenantLimits(requests_per_s=tenant.rate_per_s, burst=tenant.burst),
            tenant.priority,
        )
        for tenant in tenants
    }


def _service(service: _Service) -> ServiceProperties:
    engine = service.engine
    return ServiceProperties(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_conns,
        engine=engine and EngineProperties(engine.slots, engine.kv_capacity_tokens),
        warm_up_s=service.cold_start_s,
        cold_requests_per_s=service.cold_per_s,
    )


def _limits(limits: _Limits) -> RequestLimits:
    return RequestLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
    )
