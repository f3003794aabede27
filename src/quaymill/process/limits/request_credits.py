"""Counts the requests that the granter of a tenant may still grant.

Within any window, no more requests are granted than the limit allows. An earlier granter does not
hand over its counts. Instead, each gateway that borrows reports what it was granted within the last
window, and by which granter. If there may have been an earlier granter, a new granter paces its
grants to the rate of the limit for one window, as some gateways may not have reported until then.
"""

from __future__ import annotations

import random

import attrs

from quaymill import boot_clock
from quaymill.connection.limit_messages import AGE_PARTS, GrantedBy
from quaymill.process.limits.bucket import Bucket
from quaymill.process.limits.shares import (
    FleetView,
    Overrun,
    allowed_in_window,
    first_balance,
    window_of,
)
from quaymill.process.limits.window import WindowCount
from quaymill.version.tenants import TenantLimits

MAX_RETRY_AFTER_S = 5.0
"""Longest retry time that is sent to a caller; callers would time out if it were longer."""


@attrs.frozen
class _ReportedGrants:
    """Requests granted to one gateway by other granters, as reported at a monotonic time."""

    at: float
    by_age: tuple[float, ...]


class RequestCredits:
    """Requests of one tenant at its granter; not thread-safe, guarded by the lock of its owner.

    Parameters
    ----------
    granter
        Name of the process that grants.
    may_have_predecessor
        Whether another process may have granted requests within the last window.
    """

    def __init__(
        self,
        granter: str,
        limits: TenantLimits,
        overrun: Overrun,
        view: FleetView,
        *,
        may_have_predecessor: bool = True,
    ) -> None:
        self._granter = granter
        self._overrun = overrun
        self._granted = WindowCount(window_of(limits, overrun))
        paced_s = self._granted.window_s if may_have_predecessor else 0.0
        self._paced_until = boot_clock.now() + paced_s
        self._reported_by_gateway: dict[str, _ReportedGrants] = {}
        self._pace = Bucket(
            limits.requests_per_s, limits.burst, first_balance(limits, overrun, view)
        )
        self._allowed = 0.0
        self._retry_interval_s = 1.0
        self._last_retry_at = 0.0
        self.update(limits, view)

    @property
    def allowed(self) -> float:
        """Number of requests that may be granted within a window."""
        return self._allowed

    @property
    def window_length_s(self) -> float:
        """Length of the window in seconds."""
        return self._granted.window_s

    def update(self, limits: TenantLimits, view: FleetView) -> None:
        """Apply the current limits and view of the fleet."""
        window_s = window_of(limits, self._overrun)
        if window_s != self._granted.window_s:
            counted = self._granted.total(boot_clock.now())
            self._granted = WindowCount(window_s)
            self._granted.add(counted, boot_clock.now())
        self._allowed = allowed_in_window(limits, self._overrun, view.reachable_share)
        self._retry_interval_s = window_s / self._allowed
        self._pace.reconfigure(max(limits.requests_per_s, 1.0 / window_s), limits.burst)

    def record_grants(self, gateway: str, granted: tuple[GrantedBy, ...]) -> None:
        """Record what other granters granted to a gateway within the last window."""
        others = [one.by_age for one in granted if one.granter != self._granter]
        if not others:
            self._reported_by_gateway.pop(gateway, None)
            return
        by_age = tuple(sum(counts) for counts in zip(*others, strict=True))
        self._reported_by_gateway[gateway] = _ReportedGrants(boot_clock.now(), by_age)

    @property
    def paced(self) -> bool:
        """Whether a request is refused only because grants are paced after a takeover."""
        now = boot_clock.now()
        return now < self._paced_until and self._remaining(now) >= 1.0

    def take_up_to(self, wanted: int) -> int:
        """Grant at most ``wanted`` requests; return how many were granted."""
        now = boot_clock.now()
        taken = max(0, min(wanted, int(self._remaining(now))))
        if now < self._paced_until:
            taken = self._pace.take_up_to(taken)
        if taken:
            self._granted.add(taken, now)
        return taken

    def _remaining(self, now: float) -> float:
        """Return how many requests may still be granted within the window."""
        return self._allowed - self._granted.total(now) - self._granted_by_others(now)

    def next_retry_s(self) -> float:
        """Return the seconds after which a refused caller may retry.

        Refused callers get different times, each one credit later than the one before; otherwise
        all of them would retry at once for a single credit. Times beyond ``MAX_RETRY_AFTER_S``
        are replaced by random ones between half of it and it.
        """
        now = boot_clock.now()
        missing = max(0.0, 1.0 - self._remaining(now))
        wait_s = self._granted.wait_s(missing, now) if missing else 0.0
        if now < self._paced_until:
            wait_s = max(wait_s, self._pace.wait_s())
        self._last_retry_at = max(now + wait_s, self._last_retry_at + self._retry_interval_s)
        if self._last_retry_at > now + MAX_RETRY_AFTER_S:
            self._last_retry_at = now + MAX_RETRY_AFTER_S
            return random.uniform(MAX_RETRY_AFTER_S / 2, MAX_RETRY_AFTER_S)
        return self._last_retry_at - now

    def _granted_by_others(self, now: float) -> float:
        """Return the requests granted by others within the window, as reported by gateways."""
        if not self._reported_by_gateway:
            return 0.0
        total = 0.0
        part_s = self._granted.window_s / AGE_PARTS
        for gateway, reported in list(self._reported_by_gateway.items()):
            since_s = now - reported.at
            if since_s >= self._granted.window_s:
                del self._reported_by_gateway[gateway]
                continue
            # A whole part counts until its newest request has left the window.
            total += sum(
                count
                for part, count in enumerate(reported.by_age)
                if part * part_s + since_s < self._granted.window_s
            )
        return total
