"""Limits the retries of a process to a share of its traffic."""

from __future__ import annotations

import threading

from quaymill import boot_clock

RETRY_SHARE = 0.1
BURST_RETRIES = 50.0
FLOOR_RETRIES_PER_S = 0.5


class RetryBudget:
    """A balance that each request increases and each retry decreases; thread-safe.

    When all replicas are down, retries add at most ``share`` to the load, after an initial burst.
    ``floor_per_s`` is a minimum rate of retries for processes with little traffic.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        burst: float = BURST_RETRIES,
        floor_per_s: float = FLOOR_RETRIES_PER_S,
    ) -> None:
        self._share = share
        self._burst = burst
        self._floor_per_s = floor_per_s
        self._balance = burst
        self._refilled_at = boot_clock.now()
        self._lock = threading.Lock()

    def record_request(self) -> None:
        """Add the share of one request."""
        with self._lock:
            self._balance = min(self._burst, self._balance + self._share)

    def take_retry(self) -> bool:
        """Take one retry from the budget; return ``False`` if it is exhausted."""
        with self._lock:
            now = boot_clock.now()
            refill = (now - self._refilled_at) * self._floor_per_s
            self._refilled_at = now
            self._balance = min(self._burst, self._balance + refill)
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True
