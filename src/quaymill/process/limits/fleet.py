"""The gateways among which tenants' limits are shared out, as one of them sees them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from quaymill import boot_clock
from quaymill.connection.member import Member, MemberState
from quaymill.process.limits.shares import FleetView
from quaymill.process.membership.ranking import rank_nodes, strongest

SILENT_COUNTED_S = 30.0
"""How long a gateway that fell silent counts as one that may be cut off and serve on: longer than
the partitions that are ridden out (12 s at most on the days known). One that was taken away for
good costs its part of the rate for as long."""
YOUNG_S = 4.0
"""Time after the start within which the others are looked for (``TIMING.join_period_s``)."""
VIEW_LIFETIME_S = 0.25
"""How long one count of the gateways is used: half a period of the probes that change it."""
GRANTERS_ASKED = 2
"""Others that may have granted a tenant's credits before: the one that ranks next, and one that
ranked before and is leaving."""


class MembershipView(Protocol):
    """What is needed of the membership."""

    def live(self) -> tuple[Member, ...]:
        """Return the members that may be given work."""

    def members(self) -> tuple[Member, ...]:
        """Return every member known, this node and the dead included."""

    def dead_for_s(self, name: str) -> float:
        """Return how long ago a member was marked as dead; 0 if it is not."""


class GatewayFleet:
    """Ranks and counts gateways; safe to use from any thread.

    Parameters
    ----------
    belongs
        Whether a member is one of the gateways that share the limits.
    is_unreachable
        Returns whether a zone cannot be reached now.
    """

    def __init__(
        self,
        membership: MembershipView,
        own_name: str,
        belongs: Callable[[Member], bool],
        is_unreachable: Callable[[str], bool] = lambda zone: False,
    ) -> None:
        self._membership = membership
        self._own_name = own_name
        self._belongs = belongs
        self._is_unreachable = is_unreachable
        self._started_at = boot_clock.now()
        self._view = FleetView(1, 1, young=True)
        self._viewed_at = -VIEW_LIFETIME_S

    def ranked(self, tenant: str) -> tuple[Member, ...]:
        """Return the live gateways, those first that grant the tenant's credits before others.

        Not those in a zone that cannot be reached; the own zone always can.
        Strong ones come first: a weak one would answer the requests of a tenant at its limit
        for all others.
        """
        gateways = [
            member
            for member in self._membership.live()
            if self._belongs(member) and not self._is_unreachable(member.zone)
        ]
        return _ranked(tenant, gateways)

    def is_first(self, tenant: str) -> bool:
        """Return whether this gateway grants the tenant's credits, by its own view."""
        ranked = self.ranked(tenant)
        return not ranked or ranked[0].name == self._own_name

    def earlier_granters(self, tenant: str) -> tuple[Member, ...]:
        """Return the others that may have granted the tenant's credits until now."""
        others = [
            member
            for member in self._membership.members()
            if self._belongs(member)
            and member.state is not MemberState.DEAD
            and member.name != self._own_name
        ]
        return _ranked(tenant, others)[:GRANTERS_ASKED]

    def member(self, name: str) -> Member | None:
        """Return a gateway that is not known to be dead."""
        for member in self._membership.members():
            if member.name == name and member.state is not MemberState.DEAD:
                return member
        return None

    def view(self) -> FleetView:
        """Return how much of the fleet is seen."""
        now = boot_clock.now()
        if now - self._viewed_at >= VIEW_LIFETIME_S:
            self._viewed_at = now
            self._view = self._count(now)
        return self._view

    def _count(self, now: float) -> FleetView:
        live = 0
        silent = 0
        for member in self._membership.members():
            if not self._belongs(member):
                continue
            if member.state is not MemberState.DEAD and not self._is_unreachable(member.zone):
                live += 1
            elif self._membership.dead_for_s(member.name) < SILENT_COUNTED_S:
                silent += 1
        return FleetView(max(1, live), max(1, live + silent), now - self._started_at < YOUNG_S)


def _ranked(tenant: str, gateways: list[Member]) -> tuple[Member, ...]:
    strong = strongest(gateways)
    names = {member.name for member in strong}
    weak = [member for member in gateways if member.name not in names]
    key = f"limit/{tenant}"
    return rank_nodes(key, strong) + rank_nodes(key, weak)
