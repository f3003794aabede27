"""Limits of the tenants in the operators' table, which hold for each region by itself."""

from __future__ import annotations

from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.limits.fleet import GatewayFleet, MembershipView
from quaymill.process.limits.limiter import TenantLimiter
from quaymill.process.settings import NodeSettings
from quaymill.version.tenants import TenantLimits


def build_region_limiter(
    settings: NodeSettings,
    holder: ConfigurationHolder,
    membership: MembershipView,
    peer_client: PeerClient,
    peer_server: PeerServer,
) -> TenantLimiter:
    """Return the limiter of one node, which shares limits with the nodes of its region."""

    def limits_of(tenant: str) -> TenantLimits | None:
        row = holder.current().tenants.get(tenant)
        return None if row is None else row.limits

    fleet = GatewayFleet(membership, settings.name, lambda member: member.region == settings.region)
    return TenantLimiter(settings.name, limits_of, fleet, peer_client, peer_server)
