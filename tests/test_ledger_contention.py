"""Gateways that change one ledger at once, as after a store outage, must all succeed."""

from __future__ import annotations

import unittest
from concurrent.futures import ThreadPoolExecutor

from nose2.tools import params

from quaymill.process.jobs.batch_quota import RECONCILE_PAUSE_S
from quaymill.process.jobs.quota_ledger import (
    FIRST_CONFLICT_PAUSE_S,
    MAX_CONFLICTS,
    Ledger,
    conflict_pause_s,
)
from store_rig import LedgerRig

TOKENS = 100


class PauseTest(unittest.TestCase):
    """Pauses after conflicts."""

    @params((1, 0.0), (2, 0.1), (3, 0.0), (4, 0.2), (5, 0.0), (6, 0.4), (8, 0.4))
    def test_pause_after_every_second_conflict_grows(self, conflicts, longest) -> None:
        pause_s = conflict_pause_s(conflicts, 0.1, lambda shortest, longest_s: longest_s)
        self.assertAlmostEqual(longest, pause_s)


class ContentionTest(unittest.TestCase):
    """Changes that start at the same time."""

    @params(
        ("admissions", 20, FIRST_CONFLICT_PAUSE_S),
        ("entries of running jobs", 40, RECONCILE_PAUSE_S),
    )
    def test_all_simultaneous_changes_succeed(self, _, gateways, first_pause_s) -> None:
        rig = LedgerRig()
        with ThreadPoolExecutor(gateways) as executor:
            outcomes = list(
                executor.map(
                    lambda number: rig.enter(f"g{number}", TOKENS, first_pause_s), range(gateways)
                )
            )
        ledgers = [ledger for ledger in outcomes if isinstance(ledger, Ledger)]
        self.assertEqual(gateways, len(ledgers), "some gateways gave up after too many conflicts")
        newest = max(ledgers, key=lambda ledger: ledger.revision)
        self.assertEqual(gateways * TOKENS, newest.document.job_tokens)
        # If all gateways retried in step, each would use up its attempts.
        self.assertLess(rig.store.calls.total(), gateways * MAX_CONFLICTS * 0.6)
