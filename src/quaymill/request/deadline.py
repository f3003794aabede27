"""The time by which a request must be completed."""

from __future__ import annotations

import msgspec

from quaymill import boot_clock
from quaymill.request.outcome import NotRun

TIMEOUT_HEADER = "quaymill-timeout-s"
DEFAULT_TIMEOUT_S = 600.0
MAX_TIMEOUT_S = 3600.0


class Deadline(msgspec.Struct, frozen=True):
    """A point in time on this process's monotonic clock."""

    at_s: float

    @classmethod
    def after(cls, seconds: float) -> Deadline:
        """Return the deadline ``seconds`` from now."""
        return cls(boot_clock.now() + seconds)

    def remaining_s(self) -> float:
        """Return the seconds left; never below 0."""
        return max(0.0, self.at_s - boot_clock.now())

    def passed(self) -> bool:
        """Return whether the deadline has passed."""
        return boot_clock.now() >= self.at_s


def deadline_from_header(value: str | None) -> Deadline | NotRun:
    """Return the deadline for the value of a ``Quaymill-Timeout-S`` header, or a refusal."""
    if value is None:
        return Deadline.after(DEFAULT_TIMEOUT_S)
    try:
        seconds = float(value)
    except ValueError:
        seconds = 0.0
    if not 0.0 < seconds <= MAX_TIMEOUT_S:
        return NotRun(
            400,
            f"the header Quaymill-Timeout-S is {value!r}",
            f"send seconds above 0 and up to {MAX_TIMEOUT_S:.0f}",
        )
    return Deadline.after(seconds)
