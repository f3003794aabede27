"""Back-off of one replica after failures, so that a bad replica does not use up attempts."""

from __future__ import annotations

FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 15.0
PROBE_CONCURRENCY = 1


class ReplicaHealth:
    """Counts failures in a row. After one, a pause follows, then a single item probes."""

    def __init__(self) -> None:
        self.last_failure = ""
        self._failures = 0
        self._pause_until_s = 0.0

    def succeeded(self) -> None:
        """Take note of an item that ended as it should."""
        self._failures = 0

    def failed(self, reason: str, now_s: float) -> None:
        """Take note of an item that the replica did not bring to its end."""
        self.last_failure = reason
        # Items that fail together in one pause are one failure of the replica.
        if now_s >= self._pause_until_s:
            pause_s = min(FIRST_PAUSE_S * 2**self._failures, MAX_PAUSE_S)
            self._failures += 1
            self._pause_until_s = now_s + pause_s

    @property
    def failing(self) -> bool:
        """Whether the last item failed."""
        return self._failures > 0

    def limit(self, allowed: int, now_s: float) -> int:
        """Return the concurrency that is sensible now, at most ``allowed``."""
        if now_s < self._pause_until_s:
            return 0
        if self._failures:
            return min(allowed, PROBE_CONCURRENCY)
        return allowed
