"""Token bucket: credits that come in at a rate and are kept up to a burst."""

from __future__ import annotations

from quaymill import boot_clock


class Bucket:
    """Credits of one limit. Not locked; its owner's lock guards it.

    The balance may go below zero where a whole amount is taken at once (``take_whole``);
    later takers then wait until it is positive again.

    Parameters
    ----------
    most
        Credits that are kept at most; those of one second if ``None``.
    balance
        Credits that there are to begin with; ``most`` if ``None``.
    """

    def __init__(
        self, rate_per_s: float, most: float | None = None, balance: float | None = None
    ) -> None:
        self._rate_per_s = rate_per_s
        self._most = max(1.0, rate_per_s if most is None else most)
        self._balance = self._most if balance is None else min(self._most, balance)
        self._refilled_at = boot_clock.now()

    @property
    def rate_per_s(self) -> float:
        """Credits that come in each second."""
        return self._rate_per_s

    @property
    def balance(self) -> float:
        """Credits that there are now."""
        self._refill()
        return self._balance

    def change(self, rate_per_s: float, most: float) -> None:
        """Go on with another rate and burst; what is beyond the burst is lost."""
        self._refill()
        self._rate_per_s = rate_per_s
        self._most = max(1.0, most)
        self._balance = min(self._most, self._balance)

    def take_up_to(self, wanted: int) -> int:
        """Take as many whole credits as there are, at most ``wanted``."""
        self._refill()
        taken = max(0, min(wanted, int(self._balance)))
        self._balance -= taken
        return taken

    def take_whole(self, amount: float) -> bool:
        """Take the whole amount if the balance is positive, even if it is less than that."""
        self._refill()
        if self._balance <= 0.0:
            return False
        self._balance -= amount
        return True

    def give_back(self, amount: float) -> None:
        """Add credits that were taken and not used."""
        self._balance = min(self._most, self._balance + amount)

    def wait_s(self, level: float = 1.0) -> float:
        """Seconds until the balance reaches ``level``."""
        self._refill()
        return max(0.0, (level - self._balance) / self._rate_per_s)

    def _refill(self) -> None:
        now = boot_clock.now()
        gained = (now - self._refilled_at) * self._rate_per_s
        self._refilled_at = now
        self._balance = min(self._most, self._balance + gained)
