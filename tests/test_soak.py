"""A short soak of real processes: the same faults in each run, and no promise broken."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from quaymill_bench.soak import SoakPlan, run_soak

SEED = 20261202
ROUNDS = 3
PLACEMENT_SEED = 7
"""Both placement faults occur in its first rounds; before zone evacuation and cold grants existed,
they were found broken there."""
PLACEMENT_ROUNDS = 2


class ShortSoakTest(unittest.TestCase):
    """Gateways, storage nodes, store and replicas, with faults in series that overlap."""

    def test_no_promise_is_broken(self) -> None:
        self.check(SEED, ROUNDS)

    def test_evacuated_zones_and_cold_replicas_get_no_more_than_allowed(self) -> None:
        self.check(PLACEMENT_SEED, PLACEMENT_ROUNDS, placement=True)

    def check(self, seed: int, rounds: int, **plan: bool) -> None:
        folder = Path(tempfile.mkdtemp(prefix="quaymill-soak-"))
        told: list[str] = []
        result = run_soak(SoakPlan(folder, seed, rounds, **plan), told.append)
        self.assertEqual({}, result.findings, f"{told}; logs and timelines lie in {folder}")
        self.assertGreater(result.requests, 0)
        self.assertGreater(result.jobs, 0)
