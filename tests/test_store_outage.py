"""The platform's store while it is away: how many calls are made, and what callers get."""

from __future__ import annotations

import math
import time
import unittest

from fleet_rig import wait_until
from quaymill.connection.object_store import ObjectKind
from quaymill.process.control.store_circuit import (
    FIRST_PROBE_S,
    OPEN_AFTER_FAILURES,
    PROBE_GROWTH,
    PROBE_JITTER,
)
from quaymill.process.control.store_helpers import MOST_ASKED
from store_rig import ListingFleet, finish

GATEWAYS = 50
JOBS_EACH = 2
ITEMS = 12
AWAY_S = 5.0
ITEM_S = 0.5
"""Time between two items of a job that end."""


def most_probes(away_s: float, longest_s: float) -> int:
    """Return how many probes a gateway makes at most, its pauses being as short as may be."""
    probes = 0
    pause_s = FIRST_PROBE_S
    at = 0.0
    while (at := at + (1.0 - PROBE_JITTER) * pause_s) < away_s:
        probes += 1
        pause_s = min(longest_s, PROBE_GROWTH * pause_s)
    return probes


class OutageLoadTest(unittest.TestCase):
    """A hundred open jobs at fifty gateways."""

    def setUp(self) -> None:
        self.fleet = ListingFleet(GATEWAYS)
        self.store = self.fleet.store
        self.jobs = {}
        for gateway in self.fleet.gateways:
            for number in range(JOBS_EACH):
                name = f"{gateway}-job-{number}"
                self.jobs[name] = self.fleet.open_job(gateway, name, ITEMS)
        self.addCleanup(self.end_jobs)
        self.ended = 0

    def end_jobs(self) -> None:
        for job in self.jobs.values():
            job.stop(ended=True)

    def end_items(self, until: float) -> None:
        """Let an item of each job end every half second."""
        while time.monotonic() < until:
            for job in self.jobs.values():
                finish(job, self.ended)
            self.ended += 1
            time.sleep(ITEM_S)

    def all_listed(self) -> bool:
        return all(len(self.fleet.listed(name)) == self.ended for name in self.jobs)

    def read_configuration(self) -> None:
        """Read as the gateway does that reads for all."""
        self.fleet.gateways["g0"].circuit.get(ObjectKind.CONFIGURATION, "main")

    def test_everybody_is_turned_away(self) -> None:
        self.end_items(time.monotonic() + ITEM_S)
        wait_until(self.all_listed, "the first items are listed")
        self.store.calls.clear()
        self.store.refused = frozenset(self.fleet.gateways)
        self.end_items(time.monotonic() + AWAY_S)
        away_calls = self.store.calls.total()
        # A call of each job and one for each that asks for help may be under way at the opening.
        before_opening = OPEN_AFTER_FAILURES + JOBS_EACH + MOST_ASKED
        probes = most_probes(AWAY_S + ITEM_S, self.fleet.longest_probe_s)
        self.assertLessEqual(away_calls, GATEWAYS * (before_opening + probes))

        self.store.calls.clear()
        self.store.refused = frozenset()
        began = time.monotonic()
        self.read_configuration()
        wait_until(self.all_listed, "all that waited is listed", 2 * self.fleet.settle_s)
        took_s = time.monotonic() - began
        # One append for each job, and a probe that was under way at each gateway.
        self.assertLessEqual(self.store.calls.total(), len(self.jobs) + GATEWAYS)
        most_per_s = self.store.calls.total() / max(took_s, 1.0)
        self.assertLess(most_per_s, self.fleet.writes_per_s)
        for name in self.jobs:
            self.assertEqual(list(range(self.ended)), sorted(self.fleet.listed(name)))

    def test_one_gateway_is_turned_away(self) -> None:
        self.store.refused = frozenset({"g0"})
        began = time.monotonic()
        self.end_items(began + AWAY_S)
        wait_until(self.all_listed, "all is listed, also of the one turned away", 2.0)
        probes = most_probes(time.monotonic() - began, self.fleet.longest_probe_s)
        most = OPEN_AFTER_FAILURES + JOBS_EACH + probes
        self.assertLessEqual(self.store.calls["g0"], most)
        self.assertFalse(any(self.fleet.gateways[name].circuit.is_open for name in ("g1", "g2")))

    def test_half_of_the_gateways_are_turned_away(self) -> None:
        names = list(self.fleet.gateways)
        self.store.refused = frozenset(names[: GATEWAYS // 2])
        self.end_items(time.monotonic() + AWAY_S)
        wait_until(self.all_listed, "all is listed", 2 * self.fleet.settle_s)
        appends = len(self.jobs) * self.ended
        refused = sum(self.store.calls[name] for name in self.store.refused)
        probes = most_probes(AWAY_S + 2 * self.fleet.settle_s, self.fleet.longest_probe_s)
        most_refused = GATEWAYS / 2 * (OPEN_AFTER_FAILURES + JOBS_EACH + MOST_ASKED + probes)
        self.assertLessEqual(refused, most_refused)
        self.assertLessEqual(self.store.calls.total() - refused, math.ceil(1.1 * appends))
