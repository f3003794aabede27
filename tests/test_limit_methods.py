"""Compares methods that enforce tenants' limits over a fleet, by simulation in virtual time.

Guards against a method in use that exceeds the tolerated overrun under faults, or refuses many
requests within the limits.
"""

from __future__ import annotations

import unittest

from nose2.tools import params

from limit_player import Fault, LimitLoad, LimitOutcome, LimitPlayer
from quaymill.process.limits.shares import Overrun

TOLERATED = Overrun(5.0, 0.1, 20.0)
SEED = 1
HOT = {"hot_x": 7.5, "hot_from": 6.0, "hot_until": 20.0, "length_s": 25.0}
CUT = (Fault(8.0, 10.0, 0.35, "cut"),)
VERY_HOT = HOT | {"hot_x": 20.0}
LOADS: dict[str, tuple[LimitLoad, float]] = {
    "calm": (LimitLoad(length_s=20.0), 0.002),
    "hot": (LimitLoad(**HOT), 0.003),
    "hot, killed": (LimitLoad(**HOT, faults=(Fault(10.0, 2.5, 0.55, "killed"),)), 0.08),
    "hot, all killed": (LimitLoad(**HOT, faults=(Fault(10.0, 1.2, 1.0, "killed"),)), 0.07),
    "hot, paused": (LimitLoad(**HOT, faults=(Fault(10.0, 4.0, 0.35, "paused"),)), 0.05),
    "hot, cut": (LimitLoad(**HOT, faults=CUT), 0.06),
    "very hot, cut": (LimitLoad(**VERY_HOT, faults=CUT), 0.15),
    "cut": (LimitLoad(length_s=25.0, faults=CUT), 0.025),
    "hot, granters end": (
        LimitLoad(
            **HOT, faults=(Fault(9.0, 1.5, 0.02, "killed"), Fault(12.0, 1.5, 0.04, "killed"))
        ),
        0.008,
    ),
    "limit lowered": (LimitLoad(**HOT, limit_at=10.0, limit_x=0.2), 0.003),
    "store down": (LimitLoad(length_s=25.0, store_down=(6.0, 14.0)), 0.003),
}
"""Loads, each with the share of the requests within the limits that may be refused."""


def play(load: LimitLoad, method: str, seed: int = SEED) -> LimitOutcome:
    """Simulate a load with one method."""
    return LimitPlayer(load, method, seed, TOLERATED).play()


class GrantedTest(unittest.TestCase):
    """The method in use."""

    @params(*LOADS)
    def test_limits_hold_and_few_requests_within_them_are_refused(self, name) -> None:
        load, max_refused = LOADS[name]
        outcome = play(load, "granted")
        self.assertLessEqual(outcome.overrun, 0.0)
        self.assertLessEqual(outcome.refused_within_limit, max_refused)
        self.assertEqual(0, outcome.store_calls)
        self.assertLessEqual(outcome.peer_calls, 1.2 * outcome.asked / load.length_s)

    @params(2)
    def test_limits_hold_with_another_seed(self, seed) -> None:
        outcome = play(LOADS["hot, cut"][0], "granted", seed)
        self.assertLessEqual(outcome.overrun, 0.0)


class OtherMethodsTest(unittest.TestCase):
    """Faults of the methods that are not in use."""

    def test_shares_by_demand_exceed_the_limit_in_a_partition(self) -> None:
        self.assertGreater(play(LOADS["hot, cut"][0], "shares").overrun, 0.0)

    def test_credits_from_the_store_fail_in_a_store_outage(self) -> None:
        outcome = play(LOADS["store down"][0], "store")
        self.assertGreater(outcome.refused_within_limit, 0.2)
        self.assertGreater(outcome.store_calls, 100.0)
