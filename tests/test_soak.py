"""A short soak of real processes: the same faults in each run, and no promise broken."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from quaymill_bench.soak import SoakPlan, run_soak

SEED = 20261202
ROUNDS = 3


class ShortSoakTest(unittest.TestCase):
    """Gateways, storage nodes, store and replicas, with faults in series that overlap."""

    def test_no_promise_is_broken(self) -> None:
        folder = Path(tempfile.mkdtemp(prefix="quaymill-soak-"))
        told: list[str] = []
        result = run_soak(SoakPlan(folder, SEED, ROUNDS), told.append)
        self.assertEqual({}, result.findings, f"{told}; logs and timelines lie in {folder}")
        self.assertGreater(result.requests, 0)
        self.assertGreater(result.jobs, 0)
