"""Credits of a tenant that one gateway has borrowed."""

from __future__ import annotations

from quaymill import boot_clock
from quaymill.connection.limit_messages import AGE_PARTS, GrantedBy, LentCredits
from quaymill.process.limits.window import WindowCount
from quaymill.version.tenants import TenantLimits

BORROW_AHEAD_S = 0.1
"""A gateway borrows the requests for this time in advance. They expire after twice this time, so
that few are granted in one window and used in the next."""


class LocalCredits:
    """Credits of one tenant and their granters; not thread-safe, guarded by the lock of its owner.

    Attributes
    ----------
    requests, requests_expire_at
        Requests that may still be admitted, and until when (monotonic time).
    slots
        Slots lent by granters, at most ``in_service`` after a request has ended.
    in_service
        Requests that were admitted and have not ended.
    admitted, admitted_since
        Requests admitted since the last borrowing, and its monotonic time.
    local_until
        Until when this gateway lends from its local share, as no granter answers.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.requests_expire_at = 0.0
        self.slots = 0
        self.in_service = 0
        self.admitted_since = boot_clock.now()
        self.admitted = 0
        self.local_until = 0.0
        self._granted_by_granter: dict[str, WindowCount] = {}

    def take_request(self, limits: TenantLimits) -> bool:
        """Admit a request from the borrowed credits; return ``False`` if the granter is needed."""
        if limits.tokens_per_s or limits.concurrency:
            return False
        if self.requests < 1 or boot_clock.now() > self.requests_expire_at:
            return False
        self.requests -= 1
        self.admitted += 1
        self.in_service += 1
        return True

    def add(self, lent: LentCredits, window_s: float) -> None:
        """Add the credits lent for a request, less the one that the request itself uses."""
        now = boot_clock.now()
        remaining = self.requests if now < self.requests_expire_at else 0
        self.requests = remaining + lent.requests - 1
        self.requests_expire_at = now + 2 * BORROW_AHEAD_S
        self._record_granted(lent, window_s)

    def wanted_requests(self, limits: TenantLimits) -> int:
        """Return how many requests to borrow: the recent rate times ``BORROW_AHEAD_S``."""
        if not limits.requests_per_s:
            return 0
        # Tokens and slots are borrowed for each request, so requests borrowed ahead are not needed.
        if limits.tokens_per_s or limits.concurrency:
            return 1
        elapsed_s = max(BORROW_AHEAD_S, boot_clock.now() - self.admitted_since)
        rate_per_s = self.admitted / elapsed_s
        self.admitted_since = boot_clock.now()
        self.admitted = 0
        return max(1, int(rate_per_s * BORROW_AHEAD_S))

    def granted(self) -> tuple[GrantedBy, ...]:
        """Return the requests granted to this gateway within the last window, by granter."""
        now = boot_clock.now()
        for granter in [
            one for one, window in self._granted_by_granter.items() if not window.total(now)
        ]:
            del self._granted_by_granter[granter]
        return tuple(
            GrantedBy(granter, window.by_age(AGE_PARTS, now))
            for granter, window in self._granted_by_granter.items()
        )

    def _record_granted(self, lent: LentCredits, window_s: float) -> None:
        """Record granted requests by their granter, for one window."""
        window = self._granted_by_granter.get(lent.by)
        if window is None or window.window_s != window_s:
            window = self._granted_by_granter[lent.by] = WindowCount(window_s)
        window.add(lent.requests, boot_clock.now())
