"""Lends credits of the tenants for which this gateway ranks first.

Nothing is kept on disk. A gateway that comes to grant a tenant's credits tells those that may have
granted them before, which grant none from then on; what they granted is told by those who use it
(``request_credits``). Slots in use are learnt again within ``SLOT_LEASE_S`` from the gateways'
renewals.
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
RETRY_AFTER_SLOTS_S = 1.0
HANDED_OVER_S = 3.0
"""How long a gateway that has handed a tenant over sends askers on, whatever it sees itself: twice
the time that news of a gateway takes to reach all (0.5 s a probe, 1 s of suspicion)."""

LimitsOf = Callable[[str], TenantLimits | None]
"""Returns the limits of a tenant by the configuration in force; ``None`` if there are none."""


@attrs.frozen
class LimitRules:
    """By what a granter goes.

    Attributes
    ----------
    granter
        Name of the process that grants.
    share
        Part of the limits on tokens and slots that is lent: 1, or less for a gateway on its own.
    """

    granter: str
    limits_of: LimitsOf
    overrun: Overrun
    view: Callable[[], FleetView]
    share: float = 1.0


class _SlotLease:
    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.until = boot_clock.now() + SLOT_LEASE_S


class _TenantCredits:
    """What one tenant has left; its lock guards it.

    Attributes
    ----------
    requests
        ``None`` until this gateway has begun to grant, and where requests have no limit.
    handed_to, handed_until
        Who grants instead, and until when that is told on.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.limits = TenantLimits()
        self.requests: RequestCredits | None = None
        self.tokens: Bucket | None = None
        self.leases: dict[str, _SlotLease] = {}
        self.handed_to = ""
        self.handed_until = 0.0

    def follow(self, limits: TenantLimits, share: float) -> None:
        """Take the limits as they are now; a changed one on tokens begins with a full bucket."""
        rate = limits.tokens_per_s * share
        held_rate = self.tokens.rate_per_s if self.tokens is not None else 0.0
        if rate != held_rate:
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
                    retry_after_s=self.requests.next_turn_s(),
                    paced=self.requests.paced,
                )
        if self.tokens is not None and not self.tokens.take_whole(message.tokens):
            wait_s = self.tokens.wait_s()
            return LentCredits(slots=slots, refused_by="tokens_per_s", retry_after_s=wait_s)
        return LentCredits(requests=requests, slots=slots)

    def _lend_slots(self, gateway: str, wanted: int, share: float) -> int:
        if not self.limits.concurrency:
            return wanted
        most = max(1, int(self.limits.concurrency * share))
        now = boot_clock.now()
        self.leases = {name: one for name, one in self.leases.items() if one.until > now}
        others = sum(one.slots for name, one in self.leases.items() if name != gateway)
        # Slots that a gateway already uses are never taken away, only not renewed.
        lent = max(0, min(wanted, most - others))
        self.leases[gateway] = _SlotLease(lent)
        return lent

    def take_back(self, message: ReturnCredits) -> None:
        if self.tokens is not None:
            self.tokens.give_back(message.tokens)
        if self.limits.concurrency:
            self.leases[message.gateway] = _SlotLease(message.slots)


class CreditGranter:
    """Answers ``BorrowCredits``, ``ReturnCredits`` and ``TakeOverCredits``.

    Parameters
    ----------
    take_over
        Tells those that may have granted a tenant's credits before to do so no more; returns
        whether one of them had.
    """

    def __init__(
        self, rules: LimitRules, take_over: Callable[[str], bool] = lambda tenant: False
    ) -> None:
        self.rules = rules
        self._take_over = take_over
        self._lock = threading.Lock()
        self._by_tenant: dict[str, _TenantCredits] = {}

    def lend(self, message: BorrowCredits) -> LentCredits:
        """Lend what the tenant has left; a tenant without limits gets all it asks for."""
        limits = self.rules.limits_of(message.tenant)
        if limits is None or not limits.any_set:
            return LentCredits(requests=message.requests, slots=message.slots)
        credits = self._credits_of(message.tenant)
        with credits.lock:
            credits.follow(limits, self.rules.share)
            self._follow_requests(message.tenant, credits)
            if credits.requests is not None:
                credits.requests.learn(message.gateway, message.granted)
            lent = credits.lend(message, self.rules.share)
            return msgspec.structs.replace(lent, by=self.rules.granter)

    def take_back(self, message: ReturnCredits) -> ReturnedCredits:
        """Add what a gateway did not use."""
        credits = self._credits_of(message.tenant)
        with credits.lock:
            credits.take_back(message)
        return ReturnedCredits()

    def hand_over(self, message: TakeOverCredits) -> CreditsTakenOver:
        """Grant a tenant's credits no more."""
        credits = self._credits_of(message.tenant)
        # Two that take over from each other at once would wait for each other.
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
        """Return to whom a tenant was handed over just now; empty if to nobody."""
        credits = self._by_tenant.get(tenant)
        if credits is None or boot_clock.now() >= credits.handed_until:
            return ""
        return credits.handed_to

    def _credits_of(self, tenant: str) -> _TenantCredits:
        with self._lock:
            return self._by_tenant.setdefault(tenant, _TenantCredits())

    def _follow_requests(self, tenant: str, credits: _TenantCredits) -> None:
        """Let the requests' count be as the limits and the view of the fleet have it now."""
        limits = credits.limits
        if not limits.requests_per_s:
            credits.requests = None
            return
        view = self.rules.view()
        if credits.requests is not None:
            credits.requests.follow(limits, view)
            return
        had_granted = self._take_over(tenant)
        credits.requests = RequestCredits(
            self.rules.granter,
            limits,
            self.rules.overrun,
            view,
            may_follow=had_granted or view.young or view.part < 1.0,
        )
        log_message(
            "limit:granting",
            tenant=tenant,
            allowed=round(credits.requests.allowed, 1),
            window_s=credits.requests.limits_window_s,
            gateways=view.live,
            known=view.known,
        )
