"""Decisions on cold replicas: when one is cold, who may grant requests to it, and how many."""

from __future__ import annotations

import itertools
import random
import unittest

import attrs
from nose2.tools import params

from cold_player import BOUND, RULE, ByAllocator, ByLoad, ByShare, Scenario, play
from quaymill.process.replica_set.cold_start import (
    DELAY_SPREAD_S,
    GRANT_WINDOW_S,
    MAX_CHECK_GAP_S,
    PERMIT_LIFETIME_S,
    RANKED_FIRST_S,
    ColdPermits,
    ColdRule,
    ColdState,
    GrantEligibility,
    GrantWindows,
    PauseWatch,
)

SCENARIOS = {
    "one allocator": Scenario(),
    "the allocator is killed": Scenario(handover=True),
    "two halves with an allocator each": Scenario(partition=True),
}
SEEDS = (1, 2, 3)
SERVED_PER_S = 500.0
"""Load that warm replicas and the grants to cold ones can serve."""


class SimulatedReturnTest(unittest.TestCase):
    """Replicas return cold during a burst, with 66 gateways and uneven delays up to 0.5 s."""

    @params(*itertools.product(SCENARIOS, SEEDS))
    def test_arrivals_in_any_second_stay_within_the_bound(self, scenario, seed) -> None:
        """Guards against grants of two allocators that add up to more than the bound."""
        outcome = play(SCENARIOS[scenario], ByAllocator, seed)
        self.assertGreater(outcome.served_cold, 0)
        self.assertLessEqual(outcome.peak, BOUND)

    def test_the_simulation_shows_a_limit_without_the_margin(self) -> None:
        """Guards against a simulation in which no limit is ever exceeded."""
        whole_bound = attrs.evolve(RULE, max_grants=BOUND)
        outcomes = [
            play(
                SCENARIOS["two halves with an allocator each"],
                lambda scenario, rng: ByAllocator(scenario, rng, whole_bound),
                seed,
            )
            for seed in SEEDS
        ]
        self.assertGreater(max(outcome.peak for outcome in outcomes), BOUND)

    @params(ByLoad, ByShare)
    def test_other_policies_exceed_the_bound(self, make_policy) -> None:
        outcome = play(SCENARIOS["the allocator is killed"], make_policy, SEEDS[0])
        self.assertGreater(outcome.peak, BOUND)

    @params(*SCENARIOS)
    def test_callers_are_served_in_time(self, scenario) -> None:
        """Guards against a limit that leaves requests waiting beside usable replicas."""
        served = attrs.evolve(SCENARIOS[scenario], burst_per_s=SERVED_PER_S)
        self.assertGreater(play(served, ByAllocator, SEEDS[0]).in_time_share, 0.99)


class RuleTest(unittest.TestCase):
    """The number of grants follows from the declared rate and the operator's bound."""

    @params(
        (12.0, 1.5, 5.0, 11),
        (12.0, 1.0, 0.0, 6),
        (4.0, 3.0, 10.0, 4),
        (0.5, 1.0, 0.0, 0),
    )
    def test_two_allocators_stay_within_the_bound(self, rate, factor, slack, grants) -> None:
        rule = ColdRule.from_rate(3.0, rate, factor, slack)
        self.assertEqual(grants, rule.max_grants)
        self.assertLessEqual(2 * rule.max_grants, rate * factor + slack)


class WindowTest(unittest.TestCase):
    """Grants to one replica in any window."""

    def test_grants_in_any_window_stay_within_the_limit(self) -> None:
        rng = random.Random(4)
        windows, granted, now = GrantWindows(), [], 0.0
        while now < 30.0:
            now += rng.expovariate(25.0)
            if windows.room("x", RULE, now):
                windows.record("x", now)
                granted.append(now)
        for index, first in enumerate(granted):
            in_window = sum(at < first + GRANT_WINDOW_S for at in granted[index:])
            self.assertLessEqual(in_window, RULE.max_grants)
        self.assertGreater(len(granted), 0.9 * RULE.max_grants * 30.0 / GRANT_WINDOW_S)

    def test_items_get_at_most_half_of_a_window(self) -> None:
        windows = GrantWindows()
        items = 0
        while windows.item_room("x", RULE, 0.0):
            windows.record("x", 0.0, is_item=True)
            items += 1
        self.assertEqual(RULE.max_grants // 2, items)
        self.assertEqual(RULE.max_grants - items, windows.room("x", RULE, 0.0))

    def test_online_grants_leave_less_for_items(self) -> None:
        windows = GrantWindows()
        for _ in range(RULE.max_grants - 1):
            windows.record("x", 0.0)
        self.assertEqual(1, windows.item_room("x", RULE, 0.0))

    def test_permit_expires(self) -> None:
        """Guards against a request that is sent so late that it arrives in another second."""
        permits = ColdPermits()
        permits.add(2, 0.0)
        self.assertTrue(permits.take(0.1))
        self.assertFalse(permits.take(PERMIT_LIFETIME_S + 0.1))
        self.assertLess(PERMIT_LIFETIME_S, DELAY_SPREAD_S)

    def test_permit_is_used_once(self) -> None:
        permits = ColdPermits()
        permits.add(1, 0.0)
        self.assertEqual([True, False], [permits.take(0.0), permits.take(0.0)])


class EligibilityTest(unittest.TestCase):
    """Which gateway may grant; checks arrive every 0.2 s."""

    def check_for(
        self, eligibility, seconds, now=0.0, first=("pool",), live: int = 10, known: int = 10
    ) -> float:
        for _ in range(round(seconds / 0.2)):
            now += 0.2
            eligibility.check(set(first), live, known, now)
        return now

    def test_gateway_that_has_just_ranked_first_does_not_grant(self) -> None:
        eligibility = GrantEligibility(may_be_alone=False)
        now = self.check_for(eligibility, RANKED_FIRST_S)
        self.assertFalse(eligibility.may_grant("pool", now))
        now = self.check_for(eligibility, 0.4, now)
        self.assertTrue(eligibility.may_grant("pool", now))
        self.assertFalse(eligibility.may_grant("another pool", now))

    @params(("another ranks first", (), 10), ("too few are live", ("pool",), 3))
    def test_an_interruption_starts_the_time_again(self, _, first, live) -> None:
        eligibility = GrantEligibility(may_be_alone=False)
        now = self.check_for(eligibility, 3.0)
        now = self.check_for(eligibility, 0.2, now, first, live)
        self.assertFalse(eligibility.may_grant("pool", now))
        now = self.check_for(eligibility, 1.8, now)
        self.assertFalse(eligibility.may_grant("pool", now))
        now = self.check_for(eligibility, 0.6, now)
        self.assertTrue(eligibility.may_grant("pool", now))

    def test_paused_gateway_does_not_grant_by_its_old_view(self) -> None:
        eligibility = GrantEligibility(may_be_alone=False)
        now = self.check_for(eligibility, 3.0) + MAX_CHECK_GAP_S + 0.1
        self.assertFalse(eligibility.may_grant("pool", now))
        now = self.check_for(eligibility, 0.2, now)
        self.assertFalse(eligibility.may_grant("pool", now))

    def test_at_most_two_of_three_groups_grant(self) -> None:
        granting = 0
        for live in (22, 22, 22):
            eligibility = GrantEligibility(may_be_alone=False)
            now = self.check_for(eligibility, 3.0, live=live, known=66)
            granting += eligibility.may_grant("pool", now)
        self.assertLessEqual(granting, 2)

    @params(True, False)
    def test_gateway_without_others_grants_only_if_it_has_no_seeds(self, may_be_alone) -> None:
        eligibility = GrantEligibility(may_be_alone=may_be_alone)
        now = self.check_for(eligibility, 3.0, live=1, known=1)
        self.assertEqual(may_be_alone, eligibility.may_grant("pool", now))

    def test_pause_is_noticed_before_and_after_the_next_tick(self) -> None:
        """Guards against grants that waited for a paused process and are used together."""
        watch = PauseWatch()
        watch.tick(0.0)
        for tick in range(1, 11):
            watch.tick(0.2 * tick)
        self.assertFalse(watch.paused_recently(2.1))
        self.assertTrue(watch.paused_recently(5.0))
        watch.tick(5.0)
        self.assertTrue(watch.paused_recently(5.1))


class ColdStateTest(unittest.TestCase):
    """What is known of a replica's warm-up, from its entry, its answers and its zone."""

    def test_unknown_warm_up_lasts_for_the_declared_time(self) -> None:
        state = ColdState.from_entry(None, 10.0)
        self.assertEqual(13.0, state.cold_until(RULE))
        self.assertFalse(state.record_entry(None, RULE, 11.0))

    def test_huge_remaining_time_is_capped(self) -> None:
        """Guards against a replica that is never used because of one bad entry."""
        self.assertEqual(40.0, ColdState.from_entry(80_000.0, 10.0).cold_until(RULE))

    @params(
        ("the same statement again", 3.0, 0.9, False),
        ("the time that has passed", 2.1, 0.9, False),
        ("less than half a second later", 2.4, 0.9, False),
        ("a second more", 3.1, 0.9, True),
        ("cold again", 0.2, 5.0, True),
        ("warm at last", 0.0, 5.0, False),
        ("warm before", 0.0, 1.0, True),
    )
    def test_news_in_an_entry(self, _, left_s, at, expected) -> None:
        """Guards against lists that all gateways pull although nothing has changed."""
        state = ColdState.from_entry(3.0, 0.0)
        self.assertEqual(expected, state.record_entry(left_s, RULE, at))
        self.assertFalse(state.record_entry(left_s, RULE, at + 1.0))

    def test_entry_that_may_be_older_than_an_answer_does_not_make_it_warm(self) -> None:
        state = ColdState.from_entry(0.5, 0.0)
        state.record_answer(3.0, RULE, 5.0)
        self.assertFalse(state.record_entry(0.0, RULE, 5.5))
        self.assertEqual(8.0, state.cold_until(RULE))
        self.assertTrue(state.record_entry(4.0, RULE, 5.5))
        self.assertEqual(9.5, state.cold_until(RULE))
        self.assertTrue(state.record_entry(0.0, RULE, 7.6))

    def test_answer_replaces_an_earlier_statement(self) -> None:
        state = ColdState.from_entry(3.0, 0.0)
        state.record_answer(0.0, RULE, 1.0)
        self.assertEqual(1.0, state.cold_until(RULE))

    def test_end_of_an_evacuation_outlasts_earlier_statements(self) -> None:
        state = ColdState.from_entry(0.0, 0.0)
        state.record_evacuation_ended(100.0)
        state.record_answer(0.0, RULE, 100.5)
        self.assertEqual(103.0, state.cold_until(RULE))
        state.record_answer(5.0, RULE, 101.0)
        self.assertEqual(106.0, state.cold_until(RULE))

    def test_replica_that_is_listed_again_is_judged_by_its_entry(self) -> None:
        state = ColdState.from_entry(0.0, 0.0)
        state.record_listed_again(2.0, 50.0)
        self.assertEqual(52.0, state.cold_until(RULE))
        state.record_listed_again(None, 60.0)
        self.assertEqual(63.0, state.cold_until(RULE))
