"""Builds those parts of a gateway that need only its settings, network and store."""

from __future__ import annotations

from collections.abc import Callable

from quaymill.connection.object_store import ObjectStore
from quaymill.process.control.store_circuit import (
    CircuitStore,
    RecoveryRules,
    StoreCircuit,
    max_probe_delay_s,
)
from quaymill.process.limits.fleet import GatewayFleet
from quaymill.process.limits.limiter import TenantLimiter
from quaymill.process.limits.shares import Overrun
from quaymill.process.peer_network import PeerNetwork
from quaymill.process.serving_settings import MS_PER_S, ServingSettings
from quaymill.version.tenants import TenantLimits


def build_circuit_store(
    settings: ServingSettings, network: PeerNetwork, store: ObjectStore
) -> CircuitStore:
    """Return the platform's store wrapped in a circuit breaker; its delays respect the bounds."""
    bounds = settings.bounds
    settle_s = bounds.settle_ms / MS_PER_S
    max_delay_s = max_probe_delay_s(
        bounds.contact_ms / MS_PER_S, settle_s, bounds.configuration_ms / MS_PER_S
    )
    rules = RecoveryRules(
        last_answer_age_s=network.membership.confirmed_age_s,
        gateways=lambda: len(network.gateways()),
        writes_per_s=settings.store_writes_per_s,
        max_spread_s=settle_s,
    )
    return CircuitStore(store, StoreCircuit(max_delay_s), rules)


def names_no_other_seed(settings: ServingSettings) -> bool:
    """Return whether the settings name no node to join through but this one."""
    return all(seed.host == settings.address for seed in settings.seed_endpoints)


def build_limiter(
    settings: ServingSettings,
    network: PeerNetwork,
    limits_of: Callable[[str], TenantLimits | None],
) -> TenantLimiter:
    """Return the limiter that enforces tenants' limits across all gateways."""
    bounds = settings.bounds
    return TenantLimiter(
        settings.name,
        network.process_name,
        limits_of,
        GatewayFleet(
            network.membership,
            settings.name,
            lambda member: not member.has_disk,
            network.zone_reachability.is_unreachable,
        ),
        network.client,
        network.server,
        Overrun(bounds.quota_window_s, bounds.quota_overrun_share, bounds.quota_overrun_requests),
    )
