"""Token bucket: credits are added at a fixed rate and kept up to a capacity."""

from __future__ import annotations

from quaymill import boot_clock


class Bucket:
    """Credits of one limit; not thread-safe, guarded by the lock of its owner.

    ``take_whole`` may make the balance negative; nothing can be taken until it is positive again.

    Parameters
    ----------
    capacity
        Maximum number of credits; the credits of one second if ``None``.
    balance
        Initial number of credits; ``capacity`` if ``None``.
    """

    def __init__(
        self, rate_per_s: float, capacity: float | None = None, balance: float | None = None
    ) -> None:
        self._rate_per_s = rate_per_s
        self._capacity = max(1.0, rate_per_s if capacity is None else capacity)
        self._balance = self._capacity if balance is None else min(self._capacity, balance)
        self._refilled_at = boot_clock.now()

    @property
    def rate_per_s(self) -> float:
        """Credits that are added each second."""
        return self._rate_per_s

    @property
    def balance(self) -> float:
        """Current number of credits."""
        self._refill()
        return self._balance

    def reconfigure(self, rate_per_s: float, capacity: float) -> None:
        """Change the rate and the capacity; credits beyond the capacity are lost."""
        self._refill()
        self._rate_per_s = rate_per_s
        self._capacity = max(1.0, capacity)
        self._balance = min(self._capacity, self._balance)

    def take_up_to(self, wanted: int) -> int:
        """Take at most ``wanted`` whole credits; return how many were taken."""
        self._refill()
        taken = max(0, min(wanted, int(self._balance)))
        self._balance -= taken
        return taken

    def take_whole(self, amount: float) -> bool:
        """Take ``amount`` if the balance is above 0, even if too small; return whether taken."""
        self._refill()
        if self._balance <= 0.0:
            return False
        self._balance -= amount
        return True

    def put_back(self, amount: float) -> None:
        """Return credits that were taken and not used."""
        self._balance = min(self._capacity, self._balance + amount)

    def wait_s(self, level: float = 1.0) -> float:
        """Return the seconds until the balance reaches ``level``."""
        self._refill()
        return max(0.0, (level - self._balance) / self._rate_per_s)

    def _refill(self) -> None:
        now = boot_clock.now()
        gained = (now - self._refilled_at) * self._rate_per_s
        self._refilled_at = now
        self._balance = min(self._capacity, self._balance + gained)
