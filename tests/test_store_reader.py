"""When a gateway reads the platform's store, and that its idle checks stay cheap."""

from __future__ import annotations

import time
import unittest

from fleet_support import eventually
from quaymill.process.control.store_reader import MIN_CHECK_INTERVAL_S, StoreReader

INTERVAL_S = 0.3
TIMEOUT_S = 5.0


class StoreReaderTest(unittest.TestCase):
    """The reader of one gateway; the tests simulate confirmations by other gateways."""

    def setUp(self):
        self.confirmed_at = time.monotonic()
        self.reads: list[float] = []
        self.rank_calls = 0
        self.reader = StoreReader(self._read, self._age_s, self._rank, INTERVAL_S)
        self.addCleanup(self.reader.stop)

    def _read(self) -> str:
        self.reads.append(time.monotonic())
        self.confirmed_at = time.monotonic()
        return ""

    def _age_s(self) -> float:
        return time.monotonic() - self.confirmed_at

    def _rank(self) -> int:
        self.rank_calls += 1
        return 0

    def test_reads_again_once_nobody_has_confirmed_for_the_interval(self):
        self.reader.start()
        eventually(lambda: len(self.reads) >= 3, TIMEOUT_S)
        pauses = [late - early for early, late in zip(self.reads, self.reads[1:], strict=False)]
        self.assertGreaterEqual(min(pauses), INTERVAL_S)

    def test_rank_is_not_computed_while_others_confirm(self):
        """Computing a rank hashes the names of all gateways, too costly for each check."""
        self.reader.start()
        until = time.monotonic() + 5 * INTERVAL_S
        while time.monotonic() < until:
            self.confirmed_at = time.monotonic()
            time.sleep(INTERVAL_S / 30)
        self.assertEqual([], self.reads)
        # One is allowed: a slow machine may delay a confirmation for longer than the interval.
        self.assertLessEqual(self.rank_calls, 1)

    def test_next_check_is_when_a_read_can_be_due(self):
        self.confirmed_at = time.monotonic() - INTERVAL_S / 3
        self.assertAlmostEqual(INTERVAL_S * 2 / 3, self.reader._next_check_s(), delta=0.05)
        self.confirmed_at = float("-inf")
        self.assertEqual(MIN_CHECK_INTERVAL_S, self.reader._next_check_s())


if __name__ == "__main__":
    unittest.main()
