"""What may be granted of a tenant's rate of requests, by how much of the fleet is seen.

Nothing that has been given away may be given again before it has run out. A gateway that sees
only a part of the fleet cannot tell gateways that have ended from gateways that are cut off and
serve on, so it grants only its part of the limit: whatever parts a fleet falls into, all of them
together grant the limit once. The overrun that operators tolerate pays for the rest: for granters
that change, and for gateways that do not know yet that they are cut off.

The functions here decide; ``granter`` and ``limiter`` keep the state.
"""

from __future__ import annotations

import attrs

from quaymill.version.tenants import TenantLimits

PARTS_SHARE = 0.35
"""Part of the tolerated overrun that the parts of a divided fleet may grant beyond the limit."""
TAKEOVER_SHARE = 0.35
"""Part of it that a granter may grant at once while it does not know what was granted before. Two
of them may follow each other within a window: a gateway that ends, and its return. What is left
covers credits that were lent a moment before they are used."""
ASSUMED_GATEWAYS = 10
"""Gateways that a process assumes which has just started and found none beside itself."""


@attrs.frozen
class Overrun:
    """By how much a tenant's requests may exceed their limit, as operators tolerate it.

    Attributes
    ----------
    window_s
        The span in which requests are counted, wherever it falls.
    share
        Part of the requests allowed in a window by which they may be exceeded.
    requests
        Requests by which they may be exceeded beside that.
    """

    window_s: float = 5.0
    share: float = 0.1
    requests: float = 0.0

    def tolerated(self, limits: TenantLimits) -> float:
        """Return the requests in a window that are tolerated beyond those allowed."""
        return self.share * (limits.requests_per_s * self.window_s + limits.burst) + self.requests


@attrs.frozen
class FleetView:
    """How much of the fleet a gateway sees.

    Attributes
    ----------
    live
        Gateways that answer, this one included.
    known
        These, and those that have fallen silent not long ago.
    young
        Whether this process has just started, so that it may not know all of them.
    """

    live: int
    known: int
    young: bool = False

    @property
    def part(self) -> float:
        """Part of the fleet that is seen."""
        if self.young and self.known <= 1:
            return 1.0 / ASSUMED_GATEWAYS
        return min(1.0, self.live / max(1, self.known))

    def alone(self) -> FleetView:
        """Return the view of a gateway that reaches no other."""
        return FleetView(1, max(self.live, self.known), self.young)


def window_of(limits: TenantLimits, overrun: Overrun) -> float:
    """Return the window of a limit, in seconds: at least the time in which one request comes."""
    return max(overrun.window_s, 1.0 / limits.requests_per_s)


def allowed_in_window(limits: TenantLimits, overrun: Overrun, part: float) -> float:
    """Return the requests that a part of the fleet may grant within a window; one at least."""
    whole = limits.requests_per_s * window_of(limits, overrun) + limits.burst
    if part < 1.0:
        whole = min(whole, (whole + PARTS_SHARE * overrun.tolerated(limits)) * part)
    return max(1.0, whole)


def first_balance(limits: TenantLimits, overrun: Overrun, view: FleetView) -> float:
    """Return the requests that a granter may grant at once before it knows what others granted."""
    return max(1.0, TAKEOVER_SHARE * overrun.tolerated(limits) * view.part)
