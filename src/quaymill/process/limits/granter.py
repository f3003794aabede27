"""Lends the credits of tenants; the gateway that ranks first for a tenant is its granter.

Nothing is stored on disk. A gateway that becomes the granter of a tenant takes over from those that
may have been it before, which stop granting. The gateways that use credits report what the earlier
granters granted (``request_credits``), and the slots in use are known again within
``SLOT_LEASE_S`` from their renewals.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

import attrs
import msgspec
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.limit_messages import (
    BorrowCredits,
    CreditsTakenOver,
    LentCredits,
    ReturnCredits,
    ReturnedCredits,
    TakeOverCredits,
)
from quaymill.process.limits.bucket import Bucket
from quaymill.process.limits.request_credits import RequestCredits
from quaymill.process.limits.shares import FleetView, Overrun
from quaymill.version.tenants import TenantLimits

SLOT_LEASE_S = 5.0
"""How long lent slots count as in use without a renewal."""
RETRY_AFTER_SLOTS_S = 1.0
"""Time after which a request that was refused for lack of slots may be retried."""
HANDED_OVER_S = 3.0
"""How long a gateway that has handed a tenant over refers requests to the new granter, regardless
of its own view: twice the time that a membership change takes to reach all gateways."""

LimitsOf = Callable[[str], TenantLimits | None]
"""Returns the limits of a tenant in the current configuration; ``None`` if it has none."""


@attrs.frozen
class LimitRules:
    """Parameters of a granter.

    Attributes
    ----------
    granter
        Name of the process that grants.
    overrun
        By how much the limits on requests may be exceeded.
    view
        Returns how many gateways are live and known.
    share
        Share of the limits on tokens and slots that is lent: 1, or less for a gateway that lends
        only to itself.
    """

    granter: str
    limits_of: LimitsOf
    overrun: Overrun
    view: Callable[[], FleetView]
    share: float = 1.0


class _SlotLease:
    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.expires_at = boot_clock.now() + SLOT_LEASE_S


class _TenantCredits:
    """Remaining credits of one tenant, guarded by ``lock``.

    Attributes
    ----------
    requests
        ``None`` if requests are not limited, before this gateway begins to grant, and after it has
        handed the tenant over.
    tokens
        ``None`` if tokens are not limited.
    leases
        Slots in use, by gateway.
    handed_to, handed_until
        The new granter, and until when requests are referred to it.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.limits = TenantLimits()
        self.requests: RequestCredits | None = None
        self.tokens: Bucket | None = None
        self.leases: dict[str, _SlotLease] = {}
        self.handed_to = ""
        self.handed_until = 0.0

    def update(self, limits: TenantLimits, share: float) -> None:
        """Apply the current limits; a changed limit on tokens starts with a full bucket."""
        rate = limits.tokens_per_s * share
        current_rate = self.tokens.rate_per_s if self.tokens is not None else 0.0
        if rate != current_rate:
            self.tokens = Bucket(rate) if rate else None
        self.limits = limits

    def lend(self, message: BorrowCredits, share: float) -> LentCredits:
        slots = self._lend_slots(message.gateway, message.slots, share)
        if slots < message.slots:
            return LentCredits(
                slots=slots, refused_by="concurrency", retry_after_s=RETRY_AFTER_SLOTS_S
            )
        requests = message.requests
        if self.requests is not None and requests > 0:
            requests = self.requests.take_up_to(requests)
            if requests == 0:
                return LentCredits(
                    slots=slots,
                    refused_by="requests_per_s",
                    retry_after_s=self.requests.next_retry_s(),
                    paced=self.requests.paced,
                )
        if self.tokens is not None and not self.tokens.take_whole(message.tokens):
            wait_s = self.tokens.wait_s()
            return LentCredits(slots=slots, refused_by="tokens_per_s", retry_after_s=wait_s)
        return LentCredits(requests=requests, slots=slots)

    def _lend_slots(self, gateway: str, wanted: int, share: float) -> int:
        if not self.limits.concurrency:
            return wanted
        max_slots = max(1, int(self.limits.concurrency * share))
        now = boot_clock.now()
        self.leases = {name: lease for name, lease in self.leases.items() if lease.expires_at > now}
        others = sum(lease.slots for name, lease in self.leases.items() if name != gateway)
        # Slots that a gateway already uses are not revoked, just not renewed.
        lent = max(0, min(wanted, max_slots - others))
        self.leases[gateway] = _SlotLease(lent)
        return lent

    def handle_return(self, message: ReturnCredits) -> None:
        if self.tokens is not None:
            self.tokens.put_back(message.tokens)
        if self.limits.concurrency:
            self.leases[message.gateway] = _SlotLease(message.slots)


class CreditGranter:
    """Answers ``BorrowCredits``, ``ReturnCredits`` and ``TakeOverCredits``.

    Parameters
    ----------
    take_over
        Stops the earlier granters of a tenant's credits; returns whether one of them may have
        granted some.
    """

    def __init__(
        self, rules: LimitRules, take_over: Callable[[str], bool] = lambda tenant: False
    ) -> None:
        self.rules = rules
        self._take_over = take_over
        self._lock = threading.Lock()
        self._by_tenant: dict[str, _TenantCredits] = {}

    def lend(self, message: BorrowCredits) -> LentCredits:
        """Lend remaining credits of the tenant; without limits, lend all that is requested."""
        limits = self.rules.limits_of(message.tenant)
        if limits is None or not limits.any_set:
            return LentCredits(requests=message.requests, slots=message.slots)
        credits = self._credits_of(message.tenant)
        with credits.lock:
            credits.update(limits, self.rules.share)
            self._update_requests(message.tenant, credits)
            if credits.requests is not None:
                credits.requests.record_grants(message.gateway, message.granted)
            lent = credits.lend(message, self.rules.share)
            return msgspec.structs.replace(lent, by=self.rules.granter)

    def handle_return(self, message: ReturnCredits) -> ReturnedCredits:
        """Add the tokens that a gateway did not use, and record its slots in use."""
        credits = self._credits_of(message.tenant)
        with credits.lock:
            credits.handle_return(message)
        return ReturnedCredits()

    def hand_over(self, message: TakeOverCredits) -> CreditsTakenOver:
        """Stop granting a tenant's credits, as another gateway takes over."""
        credits = self._credits_of(message.tenant)
        # Not blocking: two gateways that take over from each other would deadlock.
        if not credits.lock.acquire(blocking=False):
            return CreditsTakenOver(False)
        try:
            credits.handed_to = message.gateway
            credits.handed_until = boot_clock.now() + HANDED_OVER_S
            had_granted = credits.requests is not None
            credits.requests = None
            return CreditsTakenOver(had_granted)
        finally:
            credits.lock.release()

    def handed_to(self, tenant: str) -> str:
        """Return the gateway to which a tenant was recently handed over; empty if there is none."""
        credits = self._by_tenant.get(tenant)
        if credits is None or boot_clock.now() >= credits.handed_until:
            return ""
        return credits.handed_to

    def _credits_of(self, tenant: str) -> _TenantCredits:
        with self._lock:
            return self._by_tenant.setdefault(tenant, _TenantCredits())

    def _update_requests(self, tenant: str, credits: _TenantCredits) -> None:
        """Apply the current limits and fleet view to the request credits, or create these."""
        limits = credits.limits
        if not limits.requests_per_s:
            credits.requests = None
            return
        view = self.rules.view()
        if credits.requests is not None:
            credits.requests.update(limits, view)
            return
        had_granted = self._take_over(tenant)
        credits.requests = RequestCredits(
            self.rules.granter,
            limits,
            self.rules.overrun,
            view,
            may_have_predecessor=had_granted or view.recently_started or view.reachable_share < 1.0,
        )
        log_message(
            "limit:granting",
            tenant=tenant,
            allowed=round(credits.requests.allowed, 1),
            window_s=credits.requests.window_length_s,
            gateways=view.live,
            known=view.known,
        )
