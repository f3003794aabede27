"""What one gateway holds of a tenant's credits."""

from __future__ import annotations

from quaymill import boot_clock
from quaymill.connection.limit_messages import AGE_PARTS, GrantedBy, LentCredits
from quaymill.process.limits.window import WindowCount
from quaymill.version.tenants import TenantLimits

STOCK_S = 0.1
"""A gateway borrows requests for this time ahead; they lapse after as long again, so that what was
lent in one window is hardly used in the next."""


class LocalCredits:
    """Credits of one tenant, and who granted them; its owner's lock guards it.

    Attributes
    ----------
    requests, requests_lapse_at
        Requests that may still be admitted, until then.
    slots, in_service
        Slots lent at the last word; requests that were admitted and have not ended.
    admitted, admitted_since
        Requests admitted since the last borrowing.
    own_until
        Until when this gateway lends to itself, as no granter answers.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.requests_lapse_at = 0.0
        self.slots = 0
        self.in_service = 0
        self.admitted_since = boot_clock.now()
        self.admitted = 0
        self.own_until = 0.0
        self._granted_by_granter: dict[str, WindowCount] = {}

    def take(self, limits: TenantLimits) -> bool:
        """Admit a request without a word to the granter, if what is held suffices."""
        if limits.tokens_per_s or limits.concurrency:
            return False
        if self.requests < 1 or boot_clock.now() > self.requests_lapse_at:
            return False
        self.requests -= 1
        self.admitted += 1
        self.in_service += 1
        return True

    def add(self, lent: LentCredits, window_s: float) -> None:
        """Add what was lent for a request, without the one that it uses itself."""
        now = boot_clock.now()
        held = self.requests if now < self.requests_lapse_at else 0
        self.requests = held + lent.requests - 1
        self.requests_lapse_at = now + 2 * STOCK_S
        self._note_granted(lent, window_s)

    def wanted_requests(self, limits: TenantLimits) -> int:
        """Return the requests to borrow: what the demand of late uses in ``STOCK_S``."""
        if not limits.requests_per_s:
            return 0
        # Tokens and slots are asked for request by request, so that a stock would lapse unused.
        if limits.tokens_per_s or limits.concurrency:
            return 1
        elapsed_s = max(STOCK_S, boot_clock.now() - self.admitted_since)
        rate_per_s = self.admitted / elapsed_s
        self.admitted_since = boot_clock.now()
        self.admitted = 0
        return max(1, int(rate_per_s * STOCK_S))

    def granted(self) -> tuple[GrantedBy, ...]:
        """Return what was granted within the last window, by whomever."""
        now = boot_clock.now()
        for granter in [
            one for one, held in self._granted_by_granter.items() if not held.total(now)
        ]:
            del self._granted_by_granter[granter]
        return tuple(
            GrantedBy(granter, held.by_age(AGE_PARTS, now))
            for granter, held in self._granted_by_granter.items()
        )

    def _note_granted(self, lent: LentCredits, window_s: float) -> None:
        """Remember who granted how much, for as long as a window."""
        held = self._granted_by_granter.get(lent.by)
        if held is None or held.window_s != window_s:
            held = self._granted_by_granter[lent.by] = WindowCount(window_s)
        held.add(lent.requests, boot_clock.now())
