"""What is left of one tenant's requests, as the gateway that grants them counts it.

Within each window of the operator's no more is granted than the limit allows there. What others
granted before is not handed over but told by those who use it: whoever asks tells what it had
within the last window, and of whom. Where somebody may have granted before, what nobody has told of
yet is covered by granting no faster than the limit's rate until a window has passed.
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
"""Longest time to come back that is told: within the patience of the callers known (5 s)."""


@attrs.frozen
class _Told:
    """What one gateway had of other granters, as it told at a monotonic time."""

    at: float
    by_age: tuple[float, ...]


class RequestCredits:
    """One tenant's requests at its granter; guarded by its owner's lock.

    Parameters
    ----------
    granter
        Name of the process that grants.
    may_follow
        Whether another may have granted within the last window.
    """

    def __init__(
        self,
        granter: str,
        limits: TenantLimits,
        overrun: Overrun,
        view: FleetView,
        *,
        may_follow: bool = True,
    ) -> None:
        self._granter = granter
        self._overrun = overrun
        self._granted = WindowCount(window_of(limits, overrun))
        paced_s = self._granted.window_s if may_follow else 0.0
        self._paced_until = boot_clock.now() + paced_s
        self._told_by_gateway: dict[str, _Told] = {}
        self._pace = Bucket(
            limits.requests_per_s, limits.burst, first_balance(limits, overrun, view)
        )
        self._allowed = 0.0
        self._turn_s = 1.0
        self._promised_at = 0.0
        self.follow(limits, view)

    @property
    def allowed(self) -> float:
        """Requests that may be granted within a window."""
        return self._allowed

    @property
    def limits_window_s(self) -> float:
        """Length of the window."""
        return self._granted.window_s

    def follow(self, limits: TenantLimits, view: FleetView) -> None:
        """Go by the limits and the view of the fleet as they are now."""
        window_s = window_of(limits, self._overrun)
        if window_s != self._granted.window_s:
            counted = self._granted.total(boot_clock.now())
            self._granted = WindowCount(window_s)
            self._granted.add(counted, boot_clock.now())
        self._allowed = allowed_in_window(limits, self._overrun, view.part)
        self._turn_s = window_s / self._allowed
        self._pace.change(max(limits.requests_per_s, 1.0 / window_s), limits.burst)

    def learn(self, gateway: str, granted: tuple[GrantedBy, ...]) -> None:
        """Take what a gateway had of others within the last window."""
        others = [one.by_age for one in granted if one.granter != self._granter]
        if not others:
            self._told_by_gateway.pop(gateway, None)
            return
        by_age = tuple(sum(counts) for counts in zip(*others, strict=True))
        self._told_by_gateway[gateway] = _Told(boot_clock.now(), by_age)

    @property
    def paced(self) -> bool:
        """Whether a request would be granted but for what others may have granted before."""
        now = boot_clock.now()
        return now < self._paced_until and self._free(now) >= 1.0

    def take_up_to(self, wanted: int) -> int:
        """Grant as many requests as are left, at most ``wanted``."""
        now = boot_clock.now()
        taken = max(0, min(wanted, int(self._free(now))))
        if now < self._paced_until:
            taken = self._pace.take_up_to(taken)
        if taken:
            self._granted.add(taken, now)
        return taken

    def _free(self, now: float) -> float:
        """Return the requests that the window has room for."""
        return self._allowed - self._granted.total(now) - self._granted_by_others(now)

    def next_turn_s(self) -> float:
        """Return when a refused caller may come back: each a turn after the one before.

        Told the same time, all that were refused would come back at once, for one credit. Those
        for whom there is no turn soon are spread over the later half of the time.
        """
        now = boot_clock.now()
        missing = max(0.0, 1.0 - self._free(now))
        wait_s = self._granted.wait_s(missing, now) if missing else 0.0
        if now < self._paced_until:
            wait_s = max(wait_s, self._pace.wait_s())
        self._promised_at = max(now + wait_s, self._promised_at + self._turn_s)
        if self._promised_at > now + MAX_RETRY_AFTER_S:
            self._promised_at = now + MAX_RETRY_AFTER_S
            return random.uniform(MAX_RETRY_AFTER_S / 2, MAX_RETRY_AFTER_S)
        return self._promised_at - now

    def _granted_by_others(self, now: float) -> float:
        """Return what others granted within the window, by what gateways have told."""
        if not self._told_by_gateway:
            return 0.0
        total = 0.0
        part_s = self._granted.window_s / AGE_PARTS
        for gateway, told in list(self._told_by_gateway.items()):
            since_s = now - told.at
            if since_s >= self._granted.window_s:
                del self._told_by_gateway[gateway]
                continue
            # Of each part the youngest decides: all of it counts until that is too old.
            total += sum(
                count
                for part, count in enumerate(told.by_age)
                if part * part_s + since_s < self._granted.window_s
            )
        return total
