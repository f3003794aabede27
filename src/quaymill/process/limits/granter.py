"""Lends credits of the tenants for which this gateway ranks first.

Nothing is kept on disk. A gateway that comes to grant a tenant's credits asks those that may have
granted them before to hand over what is left; these grant none from then on. Where they do not
answer, it begins with a small part of the overrun that operators tolerate instead of a full
burst. Slots in use are learnt again within ``SLOT_LEASE_S`` from the gateways' renewals.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.limit_messages import (
    BorrowCredits,
    HandedCredits,
    LentCredits,
    ReturnCredits,
    ReturnedCredits,
    TakeOverCredits,
)
from quaymill.process.limits.bucket import Bucket
from quaymill.process.limits.shares import (
    FleetView,
    Overrun,
    first_balance,
    granted_burst,
    granted_per_s,
)
from quaymill.version.tenants import TenantLimits

SLOT_LEASE_S = 5.0
RETRY_AFTER_SLOTS_S = 1.0
MAX_RETRY_AFTER_S = 5.0
"""Longest time to come back that is told: within the patience of the callers known (5 s)."""
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
    share
        Part of the limits on tokens and slots that is lent: 1, or less for a gateway on its own.
    """

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
        self.requests: Bucket | None = None
        self.tokens: Bucket | None = None
        self.leases: dict[str, _SlotLease] = {}
        self.handed_to = ""
        self.handed_until = 0.0
        self._promised_at = 0.0

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
                    slots=slots, refused_by="requests_per_s", retry_after_s=self._next_turn_s()
                )
        if self.tokens is not None and not self.tokens.take_whole(message.tokens):
            if self.requests is not None:
                self.requests.give_back(requests)
            wait_s = self.tokens.wait_s()
            return LentCredits(slots=slots, refused_by="tokens_per_s", retry_after_s=wait_s)
        return LentCredits(requests=requests, slots=slots)

    def _next_turn_s(self) -> float:
        """Return when a refused caller may come back: each a turn after the one before.

        Told the same time, all that were refused would come back at once, for one credit. Those
        for whom there is no turn soon are spread over the later half of the time.
        """
        now = boot_clock.now()
        turn_s = 1.0 / self.requests.rate_per_s
        self._promised_at = max(now + self.requests.wait_s(), self._promised_at + turn_s)
        if self._promised_at > now + MAX_RETRY_AFTER_S:
            self._promised_at = now + MAX_RETRY_AFTER_S
            return random.uniform(MAX_RETRY_AFTER_S / 2, MAX_RETRY_AFTER_S)
        return self._promised_at - now

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
        Asks those that may have granted a tenant's credits before; returns the requests that are
        left, ``None`` if nobody tells.
    """

    def __init__(
        self, rules: LimitRules, take_over: Callable[[str], float | None] = lambda tenant: None
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
            return credits.lend(message, self.rules.share)

    def take_back(self, message: ReturnCredits) -> ReturnedCredits:
        """Add what a gateway did not use."""
        credits = self._credits_of(message.tenant)
        with credits.lock:
            credits.take_back(message)
        return ReturnedCredits()

    def hand_over(self, message: TakeOverCredits) -> HandedCredits:
        """Grant a tenant's credits no more; return what is left."""
        credits = self._credits_of(message.tenant)
        # Two that take over from each other at once would wait for each other.
        if not credits.lock.acquire(blocking=False):
            return HandedCredits()
        try:
            credits.handed_to = message.gateway
            credits.handed_until = boot_clock.now() + HANDED_OVER_S
            held, credits.requests = credits.requests, None
            return HandedCredits(None if held is None else held.balance)
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
        """Let the bucket of requests be as the limits and the view of the fleet have it now."""
        limits = credits.limits
        if not limits.requests_per_s:
            credits.requests = None
            return
        view = self.rules.view()
        rate = granted_per_s(limits, self.rules.overrun, view.part)
        most = granted_burst(limits, view.part)
        if credits.requests is not None:
            credits.requests.change(rate, most)
            return
        handed = self._take_over(tenant)
        balance = first_balance(limits, self.rules.overrun, view) if handed is None else handed
        credits.requests = Bucket(rate, most, balance)
        log_message(
            "limit:granting",
            tenant=tenant,
            rate_per_s=round(rate, 3),
            balance=round(balance, 2),
            handed_over=handed is not None,
            gateways=view.live,
            known=view.known,
        )
