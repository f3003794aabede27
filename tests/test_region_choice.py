"""Requests served in time and requests that cross regions, in simulated loads of two regions.

Compares pools by region with one pool over both regions in which all other zones cost the same, as
before. 29 replicas in 6 zones have 174 slots: those of region ``a`` serve 112 requests per second,
all together 217. Guards against changes of the choice of the region that make callers late, or
requests cross regions needlessly.
"""

from __future__ import annotations

import unittest

import attrs

from region_player import RegionLoad, RegionOutcome, RegionPlayer

SEEDS = (1, 2)
CALM = {"a": 30.0, "b": 30.0}


def play(load: RegionLoad, *, by_region: bool) -> RegionOutcome:
    """Return the sums over all seeds."""
    outcomes = [RegionPlayer(load, seed, by_region=by_region).play() for seed in SEEDS]
    names = [field.name for field in attrs.fields(RegionOutcome)]
    return RegionOutcome(*(sum(getattr(one, name) for one in outcomes) for name in names))


class RegionChoiceTest(unittest.TestCase):
    """At least as many callers are served in time as by one pool, and fewer requests cross.

    Each load has a test of its own: requests per second of both regions in bursts.
    """

    def check_burst(self, per_s_in_a: float, per_s_in_b: float) -> None:
        load = RegionLoad(CALM, {"a": per_s_in_a, "b": per_s_in_b})
        flat, by_region = play(load, by_region=False), play(load, by_region=True)
        self.assertEqual(flat.requests, by_region.requests)
        # Those of calm times that cross are served while a burst's backlog lasts.
        self.assertLess(by_region.crossed_in_calm, 0.3 * flat.crossed_in_calm)
        self.assertLess(by_region.crossed_in_bursts, flat.crossed_in_bursts)
        self.assertGreaterEqual(
            by_region.in_time, flat.in_time, f"callers in time of {flat.requests}"
        )

    def test_burst_in_a_of_134_percent_of_its_slots(self) -> None:
        self.check_burst(150.0, 30.0)

    def test_burst_in_b_of_143_percent_of_its_slots(self) -> None:
        self.check_burst(30.0, 150.0)

    def test_burst_in_a_of_97_percent_of_all_slots(self) -> None:
        self.check_burst(180.0, 30.0)

    def test_burst_in_a_of_120_percent_of_all_slots(self) -> None:
        # A slot that serves requests of the other region is idle for 48 ms between two of them,
        # with one allocator for 24 ms, and one pool has one order for all.
        self.check_burst(230.0, 30.0)

    def test_bursts_in_both_of_120_percent_of_all_slots(self) -> None:
        self.check_burst(130.0, 130.0)

    def test_nothing_crosses_regions_without_bursts(self) -> None:
        by_region = play(RegionLoad(CALM, CALM), by_region=True)
        self.assertEqual(by_region.requests, by_region.in_time)
        self.assertEqual(0, by_region.crossed_in_calm + by_region.crossed_in_bursts)


if __name__ == "__main__":
    unittest.main()
