"""Admits a tenant's requests within its limits, with credits borrowed from the tenant's granter.

A tenant's limits apply to all gateways together. The gateway that ranks first for the tenant is its
granter and lends credits. A gateway that gets no answer from a granter admits requests from its own
share of the limits (``shares``) until a granter answers again.
"""

from __future__ import annotations

import queue
import threading
import time

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
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.limits.fleet import GatewayFleet
from quaymill.process.limits.granter import SLOT_LEASE_S, CreditGranter, LimitRules, LimitsOf
from quaymill.process.limits.local_credits import LocalCredits
from quaymill.process.limits.shares import Overrun, window_of
from quaymill.request.outcome import NotRun
from quaymill.version.tenants import TenantLimits

BORROW_TIMEOUT_S = 0.15
"""Timeout of a request for credits: half of the shortest latency target (0.3 s). A live granter
answers within a few milliseconds."""
RETURN_TIMEOUT_S = 0.5
TAKE_OVER_TIMEOUT_S = 0.05
"""Timeout of each call to an earlier granter; a tenant's first request waits for all of them."""
AVOID_S = 1.0
"""How long a granter that did not answer is not asked again."""
PACED_TIMEOUT_S = 1.0
"""How long a request waits for credits at a granter that has just started and paces its grants.
Without the wait, callers would use up their retries after a restart of all gateways."""
RENEW_INTERVAL_S = SLOT_LEASE_S / 3
"""Interval at which slots in use are renewed."""


class TenantLimiter:
    """Limits the requests/s, tokens/s and concurrency of tenants at one gateway.

    Parameters
    ----------
    name
        Name of this gateway.
    process_name
        Name of this gateway process; differs after a restart.
    limits_of
        Returns a tenant's limits in the current configuration.
    fleet
        The gateways that share the limits.
    overrun
        By how much the limits on requests may be exceeded.
    paced_timeout_s
        Maximum time for which a request waits while its granter has just started.
    """

    def __init__(
        self,
        name: str,
        process_name: str,
        limits_of: LimitsOf,
        fleet: GatewayFleet,
        peer_client: PeerClient,
        peer_server: PeerServer,
        overrun: Overrun | None = None,
        paced_timeout_s: float = PACED_TIMEOUT_S,
    ) -> None:
        self._name = name
        self._limits_of = limits_of
        self._fleet = fleet
        self._peer_client = peer_client
        self._overrun = overrun or Overrun()
        self._paced_timeout_s = paced_timeout_s
        self._process_name = process_name
        rules = LimitRules(process_name, limits_of, self._overrun, fleet.view)
        self._granter = CreditGranter(rules, self._take_over)
        self._local_granter: CreditGranter | None = None
        self._avoided_until_by_name: dict[str, float] = {}
        self._lock = threading.Lock()
        self._credits_by_tenant: dict[str, LocalCredits] = {}
        self._returns: queue.SimpleQueue[ReturnCredits | None] = queue.SimpleQueue()
        self._stopping = threading.Event()
        peer_server.register(BorrowCredits, self._answer_borrow)
        peer_server.register(ReturnCredits, self._granter.handle_return)
        peer_server.register(TakeOverCredits, self._granter.hand_over)

    def start(self) -> None:
        """Start the threads that return credits and renew slots."""
        threading.Thread(target=self._send_returns, name="credit-returns", daemon=True).start()
        threading.Thread(target=self._renew_slots, name="credit-renewal", daemon=True).start()

    def stop(self) -> None:
        """Stop the background threads."""
        self._stopping.set()
        self._returns.put(None)

    def admit(self, tenant: str, tokens: int) -> NotRun | None:
        """Admit a request that may generate ``tokens``, or return its refusal with status 429.

        Each admitted request must be ended by ``release``.
        """
        limits = self._limits_of(tenant)
        if limits is None or not limits.any_set:
            return None
        with self._lock:
            credits = self._credits_by_tenant.setdefault(tenant, LocalCredits())
            if credits.take_request(limits):
                return None
            message = BorrowCredits(
                tenant=tenant,
                gateway=self._name,
                requests=credits.wanted_requests(limits),
                tokens=tokens if limits.tokens_per_s else 0,
                slots=credits.in_service + 1,
                granted=credits.granted() if limits.requests_per_s else (),
            )
            # Counted before the granter answers, so that concurrent requests borrow more slots.
            credits.in_service += 1
        lent = self._borrow_with_retry(credits, message)
        return self._apply_answer(credits, limits, message, lent)

    def release(self, tenant: str, reserved_tokens: int, used_tokens: int) -> None:
        """End a request that was admitted, and return the tokens that it did not use."""
        with self._lock:
            credits = self._credits_by_tenant.get(tenant)
            if credits is None or credits.in_service == 0:
                return
            credits.in_service -= 1
            credits.slots = min(credits.slots, credits.in_service)
            slots = credits.in_service
        limits = self._limits_of(tenant)
        if limits is None or not (limits.concurrency or limits.tokens_per_s):
            return
        unused = reserved_tokens - used_tokens if limits.tokens_per_s else 0
        message = ReturnCredits(tenant, self._name, unused, slots)
        if boot_clock.now() < credits.local_until:
            self._get_local_granter().handle_return(message)
        self._returns.put(message)

    def _apply_answer(
        self, credits: LocalCredits, limits: TenantLimits, message: BorrowCredits, lent: LentCredits
    ) -> NotRun | None:
        with self._lock:
            credits.slots = max(credits.slots, lent.slots)
            if not lent.refused_by:
                if limits.requests_per_s:
                    credits.add(lent, window_of(limits, self._overrun))
                credits.admitted += 1
                return None
            credits.in_service -= 1
        return _refusal(message.tenant, limits, lent)

    def _borrow_with_retry(self, credits: LocalCredits, message: BorrowCredits) -> LentCredits:
        """Borrow credits; wait and retry as long as the granter paces its grants."""
        until = boot_clock.now() + self._paced_timeout_s
        while True:
            lent = self._borrow(credits, message)
            if not lent.paced or boot_clock.now() + lent.retry_after_s > until:
                return lent
            time.sleep(lent.retry_after_s)

    def _borrow(self, credits: LocalCredits, message: BorrowCredits) -> LentCredits:
        """Borrow from the granter, or from the local share of the limits if none answers."""
        lent = self._call_granter(self._first_available(message.tenant), message)
        if lent is not None and lent.granter:
            lent = self._call_granter(self._fleet.member(lent.granter), message)
        if lent is not None and not lent.granter:
            return lent
        credits.local_until = boot_clock.now() + AVOID_S
        return self._get_local_granter().lend(message)

    def _first_available(self, tenant: str) -> Member | None:
        for member in self._fleet.ranked(tenant):
            if not self._is_avoided(member):
                return member
        return None

    def _is_avoided(self, member: Member) -> bool:
        return self._avoided_until_by_name.get(member.name, 0.0) > boot_clock.now()

    def _call_granter(self, granter: Member | None, message: BorrowCredits) -> LentCredits | None:
        if granter is None or self._is_avoided(granter):
            return None
        if granter.name == self._name:
            return self._answer_borrow(message)
        reply = self._peer_client.call(granter.peer, message, LentCredits, BORROW_TIMEOUT_S)
        if isinstance(reply, LentCredits):
            return reply
        self._avoided_until_by_name[granter.name] = boot_clock.now() + AVOID_S
        log_message("limit:granter_silent", granter=granter.name, tenant=message.tenant)
        return None

    def _answer_borrow(self, message: BorrowCredits) -> LentCredits:
        """Lend if this gateway is the granter; otherwise return the name of the granter."""
        granter = self._granter.handed_to(message.tenant)
        if not granter and not self._fleet.is_first(message.tenant):
            granter = self._fleet.ranked(message.tenant)[0].name
        if granter:
            return LentCredits(granter=granter)
        return self._granter.lend(message)

    def _get_local_granter(self) -> CreditGranter:
        """Return the granter of this gateway's local share of the limits."""
        view = self._fleet.view().isolated()
        if self._local_granter is None or self._local_granter.rules.share != view.reachable_share:
            local_rules = LimitRules(
                f"{self._process_name}/own part",
                self._limits_of,
                self._overrun,
                lambda: view,
                view.reachable_share,
            )
            if self._local_granter is None:
                self._local_granter = CreditGranter(local_rules)
            else:
                self._local_granter.rules = local_rules
        return self._local_granter

    def _take_over(self, tenant: str) -> bool:
        """Stop the earlier granters of a tenant's credits.

        Returns whether one of them had granted some or did not answer.
        """
        message = TakeOverCredits(tenant, self._name)
        had_granted = False
        for member in self._fleet.earlier_granters(tenant):
            reply = self._peer_client.call(
                member.peer, message, CreditsTakenOver, TAKE_OVER_TIMEOUT_S
            )
            had_granted |= not isinstance(reply, CreditsTakenOver) or reply.granted
        return had_granted

    def _send_returns(self) -> None:
        while True:
            message = self._returns.get()
            if message is None:
                return
            granter = self._first_available(message.tenant)
            if granter is None or granter.name == self._name:
                self._granter.handle_return(message)
            else:
                # If the message is lost, the tenant loses its unused tokens; slot leases expire.
                self._peer_client.call(granter.peer, message, ReturnedCredits, RETURN_TIMEOUT_S)

    def _renew_slots(self) -> None:
        """Renew the slots of long requests before their leases at the granter expire."""
        while not self._stopping.wait(RENEW_INTERVAL_S):
            with self._lock:
                in_service = {name: one.in_service for name, one in self._credits_by_tenant.items()}
            for name, slots in in_service.items():
                limits = self._limits_of(name)
                if slots and limits is not None and limits.concurrency:
                    self._returns.put(ReturnCredits(name, self._name, 0, slots))


def _refusal(tenant: str, limits: TenantLimits, lent: LentCredits) -> NotRun:
    limit = lent.refused_by
    return NotRun(
        429,
        f"tenant {tenant} is at its limit {limit} = {getattr(limits, limit):g}",
        f"retry later, or ask the operator to raise tenants/{tenant}/{limit}",
        lent.retry_after_s,
    )
