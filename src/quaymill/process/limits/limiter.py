"""Admits a tenant's requests within its limits, by credits borrowed from the granting node.

A tenant's limits hold over all gateways of a region: the node that ranks first for the tenant
in the region lends credits. A gateway that cannot reach it admits limit / live gateways on
its own (at least one request at once), until the granter answers again.
"""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

from quaymill import boot_clock
from quaymill.connection.limit_messages import (
    BorrowCredits,
    LentCredits,
    ReturnCredits,
    ReturnedCredits,
)
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.limits.granter import SLOT_LEASE_S, CreditGranter
from quaymill.process.membership.ranking import rank_nodes
from quaymill.process.settings import NodeSettings
from quaymill.request.outcome import NotRun
from quaymill.version.configuration import Tenant

if TYPE_CHECKING:
    from quaymill.process.membership.membership import Membership

BORROW_TIMEOUT_S = 0.25
RETURN_TIMEOUT_S = 0.5
FALLBACK_S = 2.0
STOCK_S = 0.25
"""A gateway borrows requests for this time ahead; they lapse after as long again."""
RENEW_INTERVAL_S = SLOT_LEASE_S / 3


class _TenantStock:
    """What this gateway holds of one tenant's credits."""

    def __init__(self) -> None:
        self.requests = 0
        self.requests_lapse_at = 0.0
        self.slots = 0
        self.in_service = 0
        self.admitted_since = boot_clock.now()
        self.admitted = 0
        self.fallback: CreditGranter | None = None
        self.fallback_until = 0.0

    def wanted_requests(self) -> int:
        """Return the requests to borrow: what the demand of late uses in ``STOCK_S``."""
        elapsed_s = max(STOCK_S, boot_clock.now() - self.admitted_since)
        rate_per_s = self.admitted / elapsed_s
        self.admitted_since = boot_clock.now()
        self.admitted = 0
        return max(1, int(rate_per_s * STOCK_S))


class TenantLimiter:
    """Requests/s, tokens/s and concurrency of each tenant, as seen by one gateway."""

    def __init__(
        self,
        settings: NodeSettings,
        holder: ConfigurationHolder,
        membership: Membership,
        peer_client: PeerClient,
        peer_server: PeerServer,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._membership = membership
        self._peer_client = peer_client
        self._granter = CreditGranter(holder)
        self._lock = threading.Lock()
        self._stocks: dict[str, _TenantStock] = {}
        self._returns: queue.SimpleQueue[ReturnCredits | None] = queue.SimpleQueue()
        self._stopping = threading.Event()
        peer_server.register(BorrowCredits, self._granter.lend)
        peer_server.register(ReturnCredits, self._granter.take_back)

    def start(self) -> None:
        """Begin to give credits back and to renew slots in the background."""
        threading.Thread(target=self._send_returns, name="credit-returns", daemon=True).start()
        threading.Thread(target=self._renew_slots, name="credit-renewal", daemon=True).start()

    def stop(self) -> None:
        """End the background work."""
        self._stopping.set()
        self._returns.put(None)

    def admit(self, tenant: str, tokens: int) -> NotRun | None:
        """Take one request that may generate ``tokens``, or refuse it with 429.

        An admitted request must be ended by ``release``.
        """
        limits = self._holder.current().tenants.get(tenant)
        if limits is None or not _has_limit(limits):
            return None
        with self._lock:
            stock = self._stocks.setdefault(tenant, _TenantStock())
            if self._take_from_stock(stock, limits):
                return None
            message = BorrowCredits(
                tenant=tenant,
                gateway=self._settings.name,
                requests=_wanted_requests(stock, limits),
                tokens=tokens if limits.tokens_per_s else 0,
                slots=stock.in_service + 1,
            )
            # The request counts while the granter is asked, so that others ask for more.
            stock.in_service += 1
        lent = self._borrow(stock, limits, message)
        return self._take_lent(stock, limits, message, lent)

    def release(self, tenant: str, reserved_tokens: int, used_tokens: int) -> None:
        """End a request that was admitted; tokens that it did not use are given back."""
        with self._lock:
            stock = self._stocks.get(tenant)
            if stock is None or stock.in_service == 0:
                return
            stock.in_service -= 1
            stock.slots = min(stock.slots, stock.in_service)
            slots = stock.in_service
        limits = self._holder.current().tenants.get(tenant)
        if limits is None or not (limits.concurrency or limits.tokens_per_s):
            return
        unused = reserved_tokens - used_tokens if limits.tokens_per_s else 0
        message = ReturnCredits(tenant, self._settings.name, unused, slots)
        if boot_clock.now() < stock.fallback_until:
            self._fallback_of(stock).take_back(message)
        self._returns.put(message)

    def _take_from_stock(self, stock: _TenantStock, limits: Tenant) -> bool:
        """Admit without a word to the granter, if what is held suffices."""
        if limits.tokens_per_s or limits.concurrency:
            return False
        if stock.requests < 1 or boot_clock.now() > stock.requests_lapse_at:
            return False
        stock.requests -= 1
        stock.admitted += 1
        stock.in_service += 1
        return True

    def _take_lent(
        self, stock: _TenantStock, limits: Tenant, message: BorrowCredits, lent: LentCredits
    ) -> NotRun | None:
        with self._lock:
            stock.slots = max(stock.slots, lent.slots)
            if lent.refused_by:
                stock.in_service -= 1
                return _refusal(message.tenant, limits, lent)
            if limits.requests_per_s:
                now = boot_clock.now()
                held = stock.requests if now < stock.requests_lapse_at else 0
                stock.requests = held + lent.requests - 1
                stock.requests_lapse_at = now + 2 * STOCK_S
            stock.admitted += 1
        return None

    def _borrow(self, stock: _TenantStock, limits: Tenant, message: BorrowCredits) -> LentCredits:
        if boot_clock.now() >= stock.fallback_until:
            lent = self._ask_granter(message)
            if lent is not None:
                return lent
            # Only one request in each FALLBACK_S waits for a granter that does not answer.
            stock.fallback_until = boot_clock.now() + FALLBACK_S
        return self._fallback_of(stock).lend(message)

    def _fallback_of(self, stock: _TenantStock) -> CreditGranter:
        """Return the credits that this gateway lends itself: its part of the limit."""
        share = 1.0 / max(1, len(self._members_of_region()))
        if stock.fallback is None or stock.fallback.share != share:
            stock.fallback = CreditGranter(self._holder, share)
        return stock.fallback

    def _ask_granter(self, message: BorrowCredits) -> LentCredits | None:
        granter = self._granter_of(message.tenant)
        if granter is None or granter.name == self._settings.name:
            return self._granter.lend(message)
        reply = self._peer_client.call(granter.peer, message, LentCredits, BORROW_TIMEOUT_S)
        return reply if isinstance(reply, LentCredits) else None

    def _granter_of(self, tenant: str) -> Member | None:
        ranked = rank_nodes(f"limit/{tenant}", self._members_of_region())
        return ranked[0] if ranked else None

    def _members_of_region(self) -> list[Member]:
        region = self._settings.region
        return [one for one in self._membership.live() if one.region == region]

    def _send_returns(self) -> None:
        while True:
            message = self._returns.get()
            if message is None:
                return
            granter = self._granter_of(message.tenant)
            if granter is None or granter.name == self._settings.name:
                self._granter.take_back(message)
            else:
                # A return that is lost costs the tenant its unused tokens; slots lapse.
                self._peer_client.call(granter.peer, message, ReturnedCredits, RETURN_TIMEOUT_S)

    def _renew_slots(self) -> None:
        """Keep the slots of long requests from lapsing at the granter."""
        while not self._stopping.wait(RENEW_INTERVAL_S):
            tenants = self._holder.current().tenants
            with self._lock:
                in_service = {name: one.in_service for name, one in self._stocks.items()}
            for name, slots in in_service.items():
                if slots and name in tenants and tenants[name].concurrency:
                    self._returns.put(ReturnCredits(name, self._settings.name, 0, slots))


def _wanted_requests(stock: _TenantStock, limits: Tenant) -> int:
    if not limits.requests_per_s:
        return 0
    # Tokens and slots are asked for request by request, so that a stock would lapse unused.
    if limits.tokens_per_s or limits.concurrency:
        return 1
    return stock.wanted_requests()


def _has_limit(limits: Tenant) -> bool:
    return bool(limits.requests_per_s or limits.tokens_per_s or limits.concurrency)


def _refusal(tenant: str, limits: Tenant, lent: LentCredits) -> NotRun:
    limit = lent.refused_by
    return NotRun(
        429,
        f"tenant {tenant} is at its limit {limit} = {getattr(limits, limit):g}",
        f"come back later, or ask the operator to raise tenants/{tenant}/{limit}",
        lent.retry_after_s,
    )
