"""Share of batch items that finish in time under simulated loads, with three seeds each.

Guards against changes to the urgency of items that make more of them late.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest import mock

import attrs

from load_player import Load, Outcome, play

SEEDS = (1, 2, 3)


def bursts(mean: float) -> Callable[[float], int]:
    """Return online slots that vary between 0.383 and 1.87 times a mean, in steps of 2 s."""
    return lambda at: round(mean * (0.383, 0.75, 1.87)[int(at / 2) % 3])


def outage(slots: int, remaining: int, begin_s: float, end_s: float) -> Callable[[float], int]:
    """Return slots of which only ``remaining`` are available during an outage."""
    return lambda at: remaining if begin_s <= at < end_s else slots


def mean_share(load: Load, count: Callable[[Outcome], int]) -> float:
    outcomes = [play(load, seed) for seed in SEEDS]
    return sum(map(count, outcomes)) / sum(outcome.total for outcome in outcomes)


@attrs.frozen
class Row:
    """A load and the minimum share of items that must finish in time."""

    description: str
    load: Load
    in_time: float


ROWS = (
    Row("what engines can do easily", Load(lambda at: 320, bursts(126), 2.3), 1.0),
    Row("a quarter of the engines lost", Load(outage(320, 240, 10, 25), bursts(126), 2.3), 1.0),
    Row("an outage of 6 s and the backlog", Load(outage(320, 0, 20, 26), bursts(126), 2.3), 1.0),
    Row("a little too much", Load(lambda at: 320, bursts(126), 5.0), 0.93),
    Row("twice as much as engines can do", Load(lambda at: 40, bursts(12), 1.2), 0.58),
)


class ItemOrderTest(unittest.TestCase):
    """Items that are due first run first, infeasible items last."""

    def test_share_in_time_by_load(self):
        for row in ROWS:
            with self.subTest(row.description):
                share = mean_share(row.load, lambda outcome: outcome.in_time)
                self.assertGreaterEqual(round(share, 3), row.in_time)

    def test_overload_runs_few_late_items(self):
        """Late items must not take the slots of items that can still finish in time."""
        share = mean_share(ROWS[-1].load, lambda outcome: outcome.late)
        self.assertLess(share, 0.08)

    def test_overload_rows_fail_without_the_margin(self):
        with mock.patch("quaymill.process.jobs.item_urgency.SAFETY_FACTOR", 0.7):
            for row in ROWS[-2:]:
                share = mean_share(row.load, lambda outcome: outcome.in_time)
                self.assertLess(share, row.in_time, row.description)


if __name__ == "__main__":
    unittest.main()
