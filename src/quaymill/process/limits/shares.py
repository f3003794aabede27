"""Calculates how many requests of a tenant's limit may be granted in a network partition.

A gateway that reaches only some of the gateways cannot know whether the others have stopped or are
partitioned and still serve. So it grants only a share of the limit that is proportional to the
gateways it reaches: the shares of all groups of gateways that reach each other ("partitions") add
up to the limit. The overrun tolerated by operators covers the remaining cases: changes of the
granter, and gateways that have not detected the partition yet.

This module has no state; ``granter`` and ``limiter`` keep it.
"""

from __future__ import annotations

import attrs

from quaymill.version.tenants import TenantLimits

PARTITIONS_SHARE = 0.35
"""Share of the tolerated overrun that the partitions of a fleet may grant beyond the limit."""
TAKEOVER_SHARE = 0.35
"""Share of the tolerated overrun that a new granter may grant at once without knowing what was
granted before. It is less than half, as there may be two changes of the granter within a window:
when a gateway stops and when it returns."""
ASSUMED_GATEWAYS = 10
"""Number of gateways that a process assumes if it has just started and found no other."""


@attrs.frozen
class Overrun:
    """By how much a tenant's requests may exceed their limit.

    Attributes
    ----------
    window_s
        Length of the sliding window in which requests are counted.
    share
        Tolerated excess as a share of the requests allowed in a window.
    requests
        Tolerated excess in requests, in addition to ``share``.
    """

    window_s: float = 5.0
    share: float = 0.1
    requests: float = 0.0

    def tolerated(self, limits: TenantLimits) -> float:
        """Return how many requests in a window are tolerated beyond those allowed."""
        return self.share * (limits.requests_per_s * self.window_s + limits.burst) + self.requests


@attrs.frozen
class FleetView:
    """How many gateways one gateway reaches and knows.

    Attributes
    ----------
    live
        Reachable gateways, including this one.
    known
        Live gateways and those that became unresponsive recently.
    recently_started
        Whether this process has just started, so that it may not know all gateways.
    """

    live: int
    known: int
    recently_started: bool = False

    @property
    def reachable_share(self) -> float:
        """Share of the gateways that is reachable."""
        if self.recently_started and self.known <= 1:
            return 1.0 / ASSUMED_GATEWAYS
        return min(1.0, self.live / max(1, self.known))

    def isolated(self) -> FleetView:
        """Return the view of a gateway that reaches no other."""
        return FleetView(1, max(self.live, self.known), self.recently_started)


def window_of(limits: TenantLimits, overrun: Overrun) -> float:
    """Return the window of a limit in seconds, long enough for at least one request."""
    return max(overrun.window_s, 1.0 / limits.requests_per_s)


def allowed_in_window(limits: TenantLimits, overrun: Overrun, fleet_share: float) -> float:
    """Return how many requests a partition may grant in a window; at least one.

    Parameters
    ----------
    fleet_share
        Share of the fleet in the partition.
    """
    whole = limits.requests_per_s * window_of(limits, overrun) + limits.burst
    if fleet_share < 1.0:
        whole = min(whole, (whole + PARTITIONS_SHARE * overrun.tolerated(limits)) * fleet_share)
    return max(1.0, whole)


def first_balance(limits: TenantLimits, overrun: Overrun, view: FleetView) -> float:
    """Return how many requests a new granter may grant at once before it knows earlier grants."""
    return max(1.0, TAKEOVER_SHARE * overrun.tolerated(limits) * view.reachable_share)
