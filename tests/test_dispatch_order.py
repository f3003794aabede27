"""Dispatch order of online requests: single decisions, and the latencies they give in bursts."""

from __future__ import annotations

import unittest

import attrs
from nose2.tools import params

from dispatch_player import Burst, BurstPlayer, PoolQueuePlayer
from quaymill.request.dispatch_order import (
    EngineState,
    dispatch_order,
    expected_wait_s,
    may_dispatch,
)

SLOTS = 4
SERVICE_S = 0.8
OVERLOAD = Burst()
"""Bursts of 1.27 times the capacity of 45 engines with 6 slots."""
SLIGHT_OVERLOAD = Burst(service_s=0.72)
"""Bursts of 1.15 times the capacity, since each request is served faster."""
CALM = Burst(high_per_s=200.0)
TENANTS = Burst(tenants=70, high_per_s=170.0, engines=23, slots=8)
"""Load of 70 tenants; 23 engines with 8 slots can serve 1.35 times its bursts."""
FLOODED = attrs.evolve(TENANTS, flood_per_s=100.0)
"""The same load with additional requests of one tenant: 1.17 times the capacity."""
FLOODED_OVERLOAD = attrs.evolve(FLOODED, high_per_s=260.0)


def engine(load: float, first_byte_s: float = 0.05) -> EngineState:
    return EngineState(load, SLOTS, SERVICE_S, first_byte_s)


def dispatch_without_margin(state: EngineState, target_at: float, now: float) -> bool:
    """Dispatch every request that is expected to be in time, without a safety margin."""
    return (
        state.load < state.slots or now + expected_wait_s(state) + state.first_byte_s <= target_at
    )


class DecisionTest(unittest.TestCase):
    """Decisions on single requests at one point in time."""

    @params(
        ("a slot is free", 3, 0.0, True),
        ("a slot is free, late already", 3, -5.0, True),
        ("the next completion is soon enough", 4, 0.4, True),
        ("soon enough, but within the margin", 4, 0.34, False),
        ("too late", 4, 0.2, False),
        ("two ahead", 5, 0.4, False),
        ("two ahead, enough time", 5, 0.6, True),
    )
    def test_may_dispatch(self, _, load, remaining_s, expected) -> None:
        self.assertIs(expected, may_dispatch(engine(load), 100.0 + remaining_s, 100.0))

    def test_expected_wait_grows_by_the_completion_interval(self) -> None:
        waits = [expected_wait_s(engine(load)) for load in (3, 4, 5, 6)]
        for wait_s, expected in zip(waits, (0.0, 0.2, 0.4, 0.6), strict=True):
            self.assertAlmostEqual(expected, wait_s)

    def test_dispatch_order(self) -> None:
        now = 10.0
        requests = {
            "late, urgent, old": (9.9, 0, 5.0),
            "late": (9.8, 1, 6.0),
            "in time, not urgent, old": (10.3, 2, 9.0),
            "in time, urgent": (10.4, 0, 9.9),
            "in time, old": (10.3, 1, 9.8),
            "in time, new": (10.4, 1, 9.95),
        }
        ordered = sorted(requests, key=lambda name: dispatch_order(*requests[name], 0.05, now))
        expected = [
            "in time, urgent",
            "in time, old",
            "in time, new",
            "in time, not urgent, old",
            "late, urgent, old",
            "late",
        ]
        self.assertEqual(expected, ordered)


class GatewayQueuesTest(unittest.TestCase):
    """Fewer requests are late than if requests were dispatched without a safety margin."""

    @params(
        ("above capacity", OVERLOAD, 0.24, 0.18),
        ("closer to capacity", SLIGHT_OVERLOAD, 0.11, 0.095),
    )
    def test_fewer_are_late_than_without_margin(
        self, _, burst, late_share_without_margin, max_late_share
    ) -> None:
        without_margin = BurstPlayer(burst, 1, dispatch_without_margin).play().late_share
        self.assertAlmostEqual(late_share_without_margin, without_margin, delta=0.03)
        self.assertLessEqual(BurstPlayer(burst, 1).play().late_share, max_late_share)

    def test_every_request_is_served(self) -> None:
        without_margin = BurstPlayer(OVERLOAD, 1, dispatch_without_margin).play()
        with_margin = BurstPlayer(OVERLOAD, 1).play()
        self.assertEqual(len(without_margin.latencies_s), len(with_margin.latencies_s))
        self.assertLess(with_margin.quantile_s(0.995), 4.0)

    def test_a_calm_load_is_served_at_once(self) -> None:
        outcome = BurstPlayer(CALM, 1).play()
        self.assertEqual(0, outcome.late)
        self.assertLess(outcome.quantile_s(0.99), 0.05)


class PoolQueueTest(unittest.TestCase):
    """Fewer requests are late with one queue for all gateways, which knows of every free slot."""

    @params(
        ("above capacity", OVERLOAD, 0.1),
        ("closer to capacity", SLIGHT_OVERLOAD, 0.05),
        ("one tenant floods", FLOODED, 0.09),
        ("one tenant floods, above capacity without it", FLOODED_OVERLOAD, 0.25),
    )
    def test_fewer_are_late_than_with_gateway_queues(self, _, burst, max_late_share) -> None:
        gateway_queues = BurstPlayer(burst, 1).play()
        pool_queue = PoolQueuePlayer(burst, 1).play()
        self.assertLess(pool_queue.late_share, 0.75 * gateway_queues.late_share)
        self.assertLess(pool_queue.late_share, max_late_share)

    def test_flood_of_one_tenant_makes_no_other_tenant_late(self) -> None:
        self.assertGreater(BurstPlayer(FLOODED, 1).play().late_share_of_others, 0.08)
        self.assertLess(PoolQueuePlayer(FLOODED, 1).play().late_share_of_others, 0.01)

    def test_flood_during_overload_delays_others_little(self) -> None:
        without = PoolQueuePlayer(attrs.evolve(FLOODED_OVERLOAD, flood_per_s=0.0), 1).play()
        flooded = PoolQueuePlayer(FLOODED_OVERLOAD, 1).play()
        self.assertLess(flooded.late_share_of_others, without.late_share + 0.03)

    def test_every_request_is_served(self) -> None:
        gateway_queues = BurstPlayer(FLOODED_OVERLOAD, 1).play()
        pool_queue = PoolQueuePlayer(FLOODED_OVERLOAD, 1).play()
        self.assertEqual(len(gateway_queues.latencies_s), len(pool_queue.latencies_s))
        self.assertLess(max(pool_queue.latencies_s), 4.0)

    def test_a_calm_load_is_served_at_once(self) -> None:
        outcome = PoolQueuePlayer(CALM, 1).play()
        self.assertEqual(0, outcome.late)
        self.assertLess(outcome.quantile_s(0.99), 0.05)
