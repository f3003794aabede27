"""The arithmetic of batch concurrency, without clocks or threads."""

import unittest

from nose2.tools import params

from quaymill.connection.load_messages import LoadReport
from quaymill.process.batch.replica_health import ReplicaHealth
from quaymill.process.batch.room import (
    LoadSample,
    Room,
    RoomLimits,
    online_in_service,
    prefetch_count,
)

LIMITS = RoomLimits(batch_limit=16, reserve=1)


def report(running: int = 0, waiting: int = 0, batch_running: int = 0, slots: int = 16):
    return LoadReport(
        "r", 0.0, running=running, waiting=waiting, batch_running=batch_running, slots=slots
    )


def full_room(at_s: float = 0.0) -> Room:
    """Return a room that has grown to its limit at ``at_s``."""
    room = Room()
    sample = LoadSample(report(), at_s)
    for step in range(20):
        room.update(sample, LIMITS, 0, at_s - 2.0 + step * 0.1)
    return room


class RoomTest(unittest.TestCase):
    """One room over time."""

    @params(
        ("idle", report(), 0, 0),
        ("online only", report(running=5), 0, 5),
        ("batch is not online", report(running=9, batch_running=4), 4, 5),
        ("own items still waiting", report(running=6, waiting=2, batch_running=6), 8, 0),
        ("online waiting", report(running=8, waiting=3, batch_running=8), 8, 3),
    )
    def test_online_in_service(self, name: str, load: LoadReport, own: int, online: int) -> None:
        self.assertEqual(online_in_service(load, own), online)

    @params(
        ("idle: all but the reserve", report(), 15),
        ("online takes its slots", report(running=6), 9),
        ("full of online", report(running=16, waiting=4), 0),
        ("the cell bounds it", report(slots=64), 16),
        ("no slots told", report(slots=0), 0),
    )
    def test_shrinks_at_once(self, name: str, load: LoadReport, allowed: int) -> None:
        room = full_room()
        room.update(LoadSample(report(slots=64), 0.0), LIMITS, 0, 0.2)
        self.assertEqual(room.update(LoadSample(load, 0.3), LIMITS, 0, 0.3), allowed)

    def test_comes_back_slowly(self) -> None:
        room = full_room()
        busy = LoadSample(report(running=16), 1.0)
        self.assertEqual(room.update(busy, LIMITS, 0, 1.0), 0)
        grown = [
            room.update(LoadSample(report(), 1.1), LIMITS, 0, 1.1 + step * 0.05)
            for step in range(20)
        ]
        self.assertEqual(grown[0], 2)
        steps = [after - before for before, after in zip(grown, grown[1:], strict=False)]
        self.assertLessEqual(max(steps), 2)
        self.assertEqual(grown[-1], 15)

    def test_notice_counts_until_a_later_report(self) -> None:
        room = full_room()
        before = LoadSample(report(), 0.9)
        for _ in range(3):
            room.notice(1.0)
        self.assertEqual(room.update(before, LIMITS, 0, 1.0), 12)
        self.assertEqual(room.update(before, LIMITS, 0, 2.0), 12)
        after = LoadSample(report(running=1), 2.1)
        self.assertEqual(room.update(after, LIMITS, 0, 2.1), 14)

    @params((8, 8), (3, 3), (0, 1))
    def test_unknown_load_is_never_idle(self, own_running: int, allowed: int) -> None:
        """What runs goes on, and is not replaced."""
        for sample in (None, LoadSample(report(), -10.0)):
            with self.subTest(sample=sample):
                self.assertEqual(full_room().update(sample, LIMITS, own_running, 0.0), allowed)

    def test_preempted_streams_are_not_replaced(self) -> None:
        room = full_room()
        room.preempted(running=9, now_s=0.5)
        idle = LoadSample(report(), 0.5)
        self.assertEqual(room.update(idle, LIMITS, 9, 1.4), 9)
        self.assertGreater(room.update(idle, LIMITS, 9, 1.7), 9)

    @params(
        (0, 100.0, 0.1, 0),
        (8, 0.0, 0.0, 1),
        (8, 1.0, 0.02, 2),
        (8, 20.0, 0.02, 8),
        (8, 80.0, 0.1, 16),
        (8, 1000.0, 1.0, 32),
    )
    def test_prefetch(self, allowed: int, rate: float, latency_s: float, count: int) -> None:
        self.assertEqual(prefetch_count(allowed, rate, latency_s), count)


class ReplicaHealthTest(unittest.TestCase):
    """Back-off after failures."""

    def test_pauses_then_probes_then_recovers(self) -> None:
        health = ReplicaHealth()
        self.assertEqual(health.limit(8, 0.0), 8)
        health.failed("down", 1.0)
        self.assertEqual(health.limit(8, 1.1), 0)
        self.assertEqual(health.limit(8, 1.3), 1)
        health.succeeded()
        self.assertEqual(health.limit(8, 1.4), 8)

    def test_pause_doubles_and_failures_together_count_once(self) -> None:
        health = ReplicaHealth()
        for _ in range(5):
            health.failed("down", 1.0)
        self.assertEqual(health.limit(8, 1.3), 1)
        health.failed("down", 2.0)
        self.assertEqual(health.limit(8, 2.4), 0)
        self.assertEqual(health.limit(8, 2.6), 1)


if __name__ == "__main__":
    unittest.main()
