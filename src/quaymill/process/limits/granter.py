"""Lends credits of the tenants for which this node ranks first in its region.

The granter keeps nothing on disk. When it dies, the next node in rank starts with full
buckets, so that a tenant may exceed its limit by one burst (a second's worth) at each change;
slots in use are learnt again within ``SLOT_LEASE_S`` from the gateways' renewals.
"""

from __future__ import annotations

import threading

from quaymill import boot_clock
from quaymill.connection.limit_messages import (
    BorrowCredits,
    LentCredits,
    ReturnCredits,
    ReturnedCredits,
)
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.limits.bucket import Bucket
from quaymill.version.configuration import Tenant

SLOT_LEASE_S = 5.0
RETRY_AFTER_SLOTS_S = 1.0


class _SlotLease:
    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.until = boot_clock.now() + SLOT_LEASE_S


class _TenantCredits:
    """What one tenant has left; rebuilt when its limits change."""

    def __init__(self, limits: Tenant) -> None:
        self.limits = limits
        self.requests = Bucket(limits.requests_per_s) if limits.requests_per_s else None
        self.tokens = Bucket(limits.tokens_per_s) if limits.tokens_per_s else None
        self.leases: dict[str, _SlotLease] = {}

    def lend(self, message: BorrowCredits) -> LentCredits:
        slots = self._lend_slots(message.gateway, message.slots)
        if slots < message.slots:
            return LentCredits(
                slots=slots, refused_by="concurrency", retry_after_s=RETRY_AFTER_SLOTS_S
            )
        requests = message.requests
        if self.requests is not None and requests > 0:
            requests = self.requests.take_up_to(requests)
            if requests == 0:
                wait_s = self.requests.wait_s()
                return LentCredits(slots=slots, refused_by="requests_per_s", retry_after_s=wait_s)
        if self.tokens is not None and not self.tokens.take_whole(message.tokens):
            if self.requests is not None:
                self.requests.give_back(requests)
            wait_s = self.tokens.wait_s()
            return LentCredits(slots=slots, refused_by="tokens_per_s", retry_after_s=wait_s)
        return LentCredits(requests=requests, slots=slots)

    def _lend_slots(self, gateway: str, wanted: int) -> int:
        if not self.limits.concurrency:
            return wanted
        now = boot_clock.now()
        self.leases = {name: one for name, one in self.leases.items() if one.until > now}
        others = sum(one.slots for name, one in self.leases.items() if name != gateway)
        # Slots that a gateway already uses are never taken away, only not renewed.
        lent = max(0, min(wanted, self.limits.concurrency - others))
        self.leases[gateway] = _SlotLease(lent)
        return lent

    def take_back(self, message: ReturnCredits) -> None:
        if self.tokens is not None:
            self.tokens.give_back(message.tokens)
        if self.limits.concurrency:
            self.leases[message.gateway] = _SlotLease(message.slots)


class CreditGranter:
    """Answers ``BorrowCredits`` and ``ReturnCredits``.

    Parameters
    ----------
    share
        Part of each limit that is lent: 1, or less for a gateway on its own.
    """

    def __init__(self, holder: ConfigurationHolder, share: float = 1.0) -> None:
        self._holder = holder
        self.share = share
        self._lock = threading.Lock()
        self._credits: dict[str, _TenantCredits] = {}

    def lend(self, message: BorrowCredits) -> LentCredits:
        """Lend what the tenant has left; a tenant without limits gets all it asks for."""
        with self._lock:
            credits = self._credits_of(message.tenant)
            if credits is None:
                return LentCredits(requests=message.requests, slots=message.slots)
            return credits.lend(message)

    def take_back(self, message: ReturnCredits) -> ReturnedCredits:
        """Add what a gateway did not use."""
        with self._lock:
            credits = self._credits_of(message.tenant)
            if credits is not None:
                credits.take_back(message)
        return ReturnedCredits()

    def _credits_of(self, tenant: str) -> _TenantCredits | None:
        limits = self._holder.current().tenants.get(tenant)
        if limits is None:
            return None
        limits = _share_of(limits, self.share)
        credits = self._credits.get(tenant)
        if credits is None or credits.limits != limits:
            leases = credits.leases if credits is not None else {}
            credits = _TenantCredits(limits)
            credits.leases = leases
            self._credits[tenant] = credits
        return credits


def _share_of(limits: Tenant, share: float) -> Tenant:
    if share >= 1.0:
        return limits
    return Tenant(
        requests_per_s=limits.requests_per_s * share,
        tokens_per_s=limits.tokens_per_s * share,
        concurrency=max(1, int(limits.concurrency * share)) if limits.concurrency else 0,
    )
