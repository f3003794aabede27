"""Builds the limiter for the tenants in the operators' table, whose limits apply to each region."""

from __future__ import annotations

import secrets

from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.limits.fleet import GatewayFleet, MembershipView
from quaymill.process.limits.limiter import TenantLimiter
from quaymill.process.limits.shares import Overrun
from quaymill.process.settings import NodeSettings
from quaymill.version.tenants import TenantLimits

WINDOW_S = 1.0
"""The table states requests per second, so the limit must hold within any second."""
PROCESS_ID_BYTES = 4


def build_region_limiter(
    settings: NodeSettings,
    holder: ConfigurationHolder,
    membership: MembershipView,
    peer_client: PeerClient,
    peer_server: PeerServer,
) -> TenantLimiter:
    """Return the limiter of one node, which shares the limits with all nodes of its region."""

    def limits_of(tenant: str) -> TenantLimits | None:
        row = holder.current().tenants.get(tenant)
        return None if row is None else row.limits

    fleet = GatewayFleet(membership, settings.name, lambda member: member.region == settings.region)
    process_name = f"{settings.name}#{secrets.token_hex(PROCESS_ID_BYTES)}"
    overrun = Overrun(window_s=WINDOW_S)
    return TenantLimiter(
        settings.name, process_name, limits_of, fleet, peer_client, peer_server, overrun
    )
