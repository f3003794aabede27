"""Latency histograms, in microseconds inside and milliseconds in reports."""

from __future__ import annotations

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000


class LatencySummary(msgspec.Struct, frozen=True):
    """Percentiles of one kind of latency, in milliseconds; all zero if nothing was recorded."""

    count: int
    mean_ms: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class LatencyHistogram:
    """An HdrHistogram over one microsecond to ten minutes with three significant digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Add one value."""
        microseconds = min(max(int(seconds * US_PER_S), LOWEST_US), HIGHEST_US)
        self._histogram.record_value(microseconds)

    def add(self, other: LatencyHistogram) -> None:
        """Add all values of another histogram."""
        self._histogram.add(other._histogram)

    def percentile_ms(self, percentile: float) -> float:
        """Return the value below which ``percentile`` per cent of the values lie."""
        if not self._histogram.get_total_count():
            return 0.0
        return self._histogram.get_value_at_percentile(percentile) / US_PER_MS

    def summary(self) -> LatencySummary:
        """Return the usual percentiles."""
        count = self._histogram.get_total_count()
        if not count:
            return LatencySummary(0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
        return LatencySummary(
            count=count,
            mean_ms=round(self._histogram.get_mean_value() / US_PER_MS, 3),
            p50_ms=self.percentile_ms(50.0),
            p90_ms=self.percentile_ms(90.0),
            p99_ms=self.percentile_ms(99.0),
            p999_ms=self.percentile_ms(99.9),
            max_ms=self._histogram.get_max_value() / US_PER_MS,
        )

    def encode(self) -> bytes:
        """Return the histogram in its published compressed form."""
        return self._histogram.encode()

    @classmethod
    def decode(cls, encoded: bytes) -> LatencyHistogram:
        """Read what ``encode`` gave."""
        decoded = cls()
        decoded._histogram.decode_and_add(encoded)
        return decoded
