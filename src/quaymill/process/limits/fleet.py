"""Ranks and counts the gateways that share tenants' limits, from the view of one gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from quaymill import boot_clock
from quaymill.connection.member import Member, MemberState
from quaymill.process.limits.shares import FleetView
from quaymill.process.membership.ranking import rank_nodes, strongest_members

SILENT_GATEWAY_LIFETIME_S = 30.0
"""How long an unresponsive gateway is assumed to be partitioned and still serving, so that no other
gateway uses its share. Should exceed the length of network partitions."""
RECENT_START_S = 4.0
"""Time after the start in which other gateways may still be unknown (``TIMING.join_period_s``)."""
VIEW_LIFETIME_S = 0.25
"""How long one count of the gateways is used: half of the membership's probe interval."""
MAX_EARLIER_GRANTERS = 2
"""Other gateways that may have granted a tenant's credits before: the one that ranks next, and one
that ranked higher and is leaving."""


class MembershipView(Protocol):
    """The part of the membership that is used here."""

    def live(self) -> tuple[Member, ...]:
        """Return the members that may get work."""

    def members(self) -> tuple[Member, ...]:
        """Return all known members, including this node and dead ones."""

    def dead_for_s(self, name: str) -> float:
        """Return the seconds since a member was marked as dead; 0 if it is not dead."""


class GatewayFleet:
    """Ranks and counts gateways; safe to use from any thread.

    Parameters
    ----------
    is_gateway
        Returns whether a member is one of the gateways that share the limits.
    is_unreachable
        Returns whether a zone is unreachable now.
    """

    def __init__(
        self,
        membership: MembershipView,
        own_name: str,
        is_gateway: Callable[[Member], bool],
        is_unreachable: Callable[[str], bool] = lambda zone: False,
    ) -> None:
        self._membership = membership
        self._own_name = own_name
        self._is_gateway = is_gateway
        self._is_unreachable = is_unreachable
        self._started_at = boot_clock.now()
        self._view = FleetView(1, 1, recently_started=True)
        self._counted_at = -VIEW_LIFETIME_S

    def ranked(self, tenant: str) -> tuple[Member, ...]:
        """Return the live gateways in reachable zones; the first grants the tenant's credits.

        Gateways with more processor time rank first, as the granter of a tenant at its limit
        answers the requests of all other gateways.
        """
        gateways = [
            member
            for member in self._membership.live()
            if self._is_gateway(member) and not self._is_unreachable(member.zone)
        ]
        return _ranked(tenant, gateways)

    def is_first(self, tenant: str) -> bool:
        """Return whether this gateway is the tenant's granter, in its own view."""
        ranked = self.ranked(tenant)
        return not ranked or ranked[0].name == self._own_name

    def earlier_granters(self, tenant: str) -> tuple[Member, ...]:
        """Return the other gateways that may have granted the tenant's credits so far."""
        others = [
            member
            for member in self._membership.members()
            if self._is_gateway(member)
            and member.state is not MemberState.DEAD
            and member.name != self._own_name
        ]
        return _ranked(tenant, others)[:MAX_EARLIER_GRANTERS]

    def member(self, name: str) -> Member | None:
        """Return a gateway by its name; ``None`` if it is unknown or dead."""
        for member in self._membership.members():
            if member.name == name and member.state is not MemberState.DEAD:
                return member
        return None

    def view(self) -> FleetView:
        """Return how many gateways are live and known."""
        now = boot_clock.now()
        if now - self._counted_at >= VIEW_LIFETIME_S:
            self._counted_at = now
            self._view = self._count(now)
        return self._view

    def _count(self, now: float) -> FleetView:
        live = 0
        silent = 0
        for member in self._membership.members():
            if not self._is_gateway(member):
                continue
            if member.state is not MemberState.DEAD and not self._is_unreachable(member.zone):
                live += 1
            elif self._membership.dead_for_s(member.name) < SILENT_GATEWAY_LIFETIME_S:
                silent += 1
        return FleetView(
            max(1, live), max(1, live + silent), now - self._started_at < RECENT_START_S
        )


def _ranked(tenant: str, gateways: list[Member]) -> tuple[Member, ...]:
    strong = strongest_members(gateways)
    names = {member.name for member in strong}
    weak = [member for member in gateways if member.name not in names]
    key = f"limit/{tenant}"
    return rank_nodes(key, strong) + rank_nodes(key, weak)
