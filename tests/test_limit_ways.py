"""Compares methods that enforce tenants' limits over a fleet, by simulation in virtual time.

Guards against a method in use that exceeds the tolerated overrun under faults, or refuses many
requests within the limits.
"""

from __future__ import annotations

import unittest

from nose2.tools import params

from limit_player import Fate, LimitLoad, LimitOutcome, LimitPlayer
from quaymill.process.limits.shares import Overrun

TOLERATED = Overrun(5.0, 0.1, 20.0)
SEED = 1
HOT = {"hot_x": 7.5, "hot_from": 6.0, "hot_until": 20.0, "length_s": 25.0}
CUT = (Fate(8.0, 10.0, 0.35, "cut"),)
VERY_HOT = HOT | {"hot_x": 20.0}
LOADS: dict[str, tuple[LimitLoad, float]] = {
    "calm": (LimitLoad(length_s=20.0), 0.002),
    "hot": (LimitLoad(**HOT), 0.003),
    "hot, killed": (LimitLoad(**HOT, fates=(Fate(10.0, 2.5, 0.55, "killed"),)), 0.08),
    "hot, all killed": (LimitLoad(**HOT, fates=(Fate(10.0, 1.2, 1.0, "killed"),)), 0.07),
    "hot, paused": (LimitLoad(**HOT, fates=(Fate(10.0, 4.0, 0.35, "paused"),)), 0.05),
    "hot, cut": (LimitLoad(**HOT, fates=CUT), 0.06),
    "very hot, cut": (LimitLoad(**VERY_HOT, fates=CUT), 0.15),
    "cut": (LimitLoad(length_s=25.0, fates=CUT), 0.025),
    "hot, granters end": (
        LimitLoad(**HOT, fates=(Fate(9.0, 1.5, 0.02, "killed"), Fate(12.0, 1.5, 0.04, "killed"))),
        0.008,
    ),
    "limit lowered": (LimitLoad(**HOT, limit_at=10.0, limit_x=0.2), 0.003),
    "store down": (LimitLoad(length_s=25.0, store_down=(6.0, 14.0)), 0.003),
}
"""Loads, each with the share of the requests within the limits that may be refused."""


def play(load: LimitLoad, way: str, seed: int = SEED) -> LimitOutcome:
    """Simulate a load with one method."""
    return LimitPlayer(load, way, seed, TOLERATED).play()


class GrantedTest(unittest.TestCase):
    """The method in use."""

    @params(*LOADS)
    def test_limits_hold_and_little_within_them_is_refused(self, name) -> None:
        load, most_refused = LOADS[name]
        outcome = play(load, "granted")
        self.assertLessEqual(outcome.overrun, 0.0)
        self.assertLessEqual(outcome.refused_below, most_refused)
        self.assertEqual(0, outcome.store_calls)
        self.assertLessEqual(outcome.peer_calls, 1.2 * outcome.asked / load.length_s)

    @params(2)
    def test_limits_hold_for_other_draws(self, seed) -> None:
        outcome = play(LOADS["hot, cut"][0], "granted", seed)
        self.assertLessEqual(outcome.overrun, 0.0)


class OtherWaysTest(unittest.TestCase):
    """Faults of the methods that are not in use."""

    def test_shares_by_demand_overrun_when_gateways_are_cut_off(self) -> None:
        self.assertGreater(play(LOADS["hot, cut"][0], "shares").overrun, 0.0)

    def test_credits_from_the_store_end_with_the_store(self) -> None:
        outcome = play(LOADS["store down"][0], "store")
        self.assertGreater(outcome.refused_below, 0.2)
        self.assertGreater(outcome.store_calls, 100.0)
