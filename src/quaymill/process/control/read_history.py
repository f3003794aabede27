"""When the platform's store was read, and whether replica entries may have expired meanwhile.

Entries expire while replicas cannot write them, and return soon after the store recovers. So a
replica that is missing right after an outage is still used for a short time. A gateway that was
suspended or partitioned cannot tell its own absence from an outage; another gateway that knows of
reads throughout that time proves that there was none.
"""

from __future__ import annotations

import math

import attrs

OUTAGE_S = 2.5
"""Time without a successful read of the store by any gateway after which replica entries may
have expired; an entry lasts for three heartbeats of about a second."""
MISSING_KEPT_S = 2.2
"""Time for which replicas missing from the list are kept after an outage; according to the
platform, their entries are back within about two seconds."""


@attrs.define
class ReadHistory:
    """Reads of the store by any gateway, as far as this one knows; the lock is the caller's.

    All times are monotonic, in seconds.

    Attributes
    ----------
    known_since
        When this process began; it holds no list from before.
    last_read_at
        Time of the last read.
    first_read_at
        Time of the first read after the last gap of more than ``OUTAGE_S``.
    read_before_gap_at
        Time of the last read before that gap.
    keep_until
        Time until which missing replicas are kept.
    is_confirmed
        Whether other gateways were asked after that gap, and none knows of reads throughout it.
    """

    known_since: float
    last_read_at: float = -math.inf
    first_read_at: float = math.inf
    read_before_gap_at: float = -math.inf
    keep_until: float = -math.inf
    is_confirmed: bool = False

    def record_read(self, at: float, now: float) -> None:
        """Record that a gateway read the store at this time; it may be told later."""
        if at <= self.last_read_at:
            return
        if at - self.last_read_at > OUTAGE_S:
            self.read_before_gap_at = self.last_read_at
            self.first_read_at = at
            self.keep_until = now + MISSING_KEPT_S
            self.is_confirmed = False
        self.last_read_at = at

    def may_have_expired(self, now: float) -> bool:
        """Return whether entries that are missing now may have expired during an outage."""
        return now < self.keep_until or self._in_gap(now)

    def is_outage_confirmed(self, now: float) -> bool:
        """Return whether other gateways need not be asked again about the last gap."""
        return self.is_confirmed and not self._in_gap(now)

    def read_for_s(self, now: float) -> float:
        """Return for how long the store has been read without a gap; 0 during one."""
        return 0.0 if self._in_gap(now) else max(0.0, now - self.first_read_at)

    def doubtful_s(self, now: float) -> float:
        """Return for how long reads without a gap prove that there was no outage here."""
        read_at = self.last_read_at if self._in_gap(now) else self.read_before_gap_at
        return now - max(read_at, self.known_since)

    def dismiss_outage(self, now: float) -> None:
        """Record that the store was read throughout the last gap, as another gateway knows."""
        self.keep_until = -math.inf
        self.first_read_at = min(self.first_read_at, now - self.doubtful_s(now))
        self.last_read_at = max(self.last_read_at, now - OUTAGE_S)

    def _in_gap(self, now: float) -> bool:
        return now - self.last_read_at > OUTAGE_S
