"""Replicas with different speeds: their estimated slowness, and the choice among them.

Guards against requests that wait at slow replicas while faster ones are free.
"""

from __future__ import annotations

import random
import unittest
from unittest import mock

import attrs
import msgspec
from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerMessage
from quaymill.connection.replica_entry import ReplicaEntry, ReportedLoad, SlownessReading
from quaymill.connection.slot_messages import (
    ItemsAt,
    OnlineInFlight,
    PlaceOnline,
    SlownessReport,
)
from quaymill.process.jobs.engine_loads import EngineLoads
from quaymill.process.jobs.online_reporter import OnlineReporter
from quaymill.process.jobs.slot_allocator import SlotAllocator
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.replica_cost import (
    OTHER_ZONE_CACHED_LOAD,
    OTHER_ZONE_LOAD,
    expected_cost,
    least_costly,
)
from quaymill.process.replica_set.router import PlacementConstraints
from quaymill.process.replica_set.slowness import SlownessRecord
from quaymill.process.replica_set.table import ReplicaTable
from uneven_player import UnevenLoad, UnevenOutcome, UnevenPlayer

SERVICE = "s"
SEEDS = (1, 2, 3)
THREE_ZONES = ("a", "b", "c")
UNEVEN_CALLERS = (0.31, 0.28, 0.41)
SHORT_SLOW_PERIODS = {"slow_s": 0.09, "period_s": 0.6, "slow_factor": 2.5}


def replica(name: str, zone: str = "a") -> Replica:
    return Replica(ReplicaEntry(name, SERVICE, Endpoint("127.0.0.1", 1), zone, 8))


def _loads() -> EngineLoads:
    """Return engine loads that confirm the allocator's counts."""
    loads = mock.create_autospec(EngineLoads, instance=True)
    loads.excess.return_value = 0
    return loads


def play(load: UnevenLoad, *, reports_slowness: bool = True) -> UnevenOutcome:
    """Return the outcome over all seeds."""
    whole = UnevenOutcome()
    for seed in SEEDS:
        outcome = UnevenPlayer(load, seed, reports_slowness=reports_slowness).play()
        whole.took_s += outcome.took_s
        whole.waited_s += outcome.waited_s
        whole.to_other_zone += outcome.to_other_zone
        whole.avoidable_to_other_zone += outcome.avoidable_to_other_zone
    return whole


class SlownessTest(unittest.TestCase):
    """Expected slowness of one replica by its reports and their age."""

    def record(self, *reported: float) -> SlownessRecord:
        record = SlownessRecord()
        for number, slowness in enumerate(reported):
            record.add(SlownessReading(slowness, number * 0.1))
        return record

    def test_usual_slowness_is_no_report(self) -> None:
        record = self.record(1.0, 1.0, 1.0)
        self.assertEqual(1.0, record.expected_at(0.25))
        self.assertFalse(record.has_reports)

    def test_effect_of_a_report_decays(self) -> None:
        record = self.record(*[1.0] * 10, 2.5)
        self.assertAlmostEqual(2.5, record.expected_at(1.0), places=2)
        self.assertLess(record.expected_at(1.1), 1.5)
        self.assertAlmostEqual(1.0, record.expected_at(3.0), delta=0.05)

    def test_permanent_slowness_is_learned(self) -> None:
        record = self.record(*[1.3] * 200)
        self.assertAlmostEqual(1.3, record.expected_at(60.0), delta=0.02)

    def test_fast_report_does_not_lower_the_estimate(self) -> None:
        record = self.record(*[1.5] * 200, 1.0)
        self.assertGreater(record.expected_at(20.0), 1.45)

    def test_older_report_does_not_replace_the_last(self) -> None:
        record = self.record(1.0, 2.5)
        record.add(SlownessReading(1.0, 0.05))
        self.assertEqual(2.5, record.last.slowness)


class CostTest(unittest.TestCase):
    """Cost of a request at a replica."""

    def test_choice_at_usual_slowness_is_by_load(self) -> None:
        rng = random.Random(5)
        for seed in range(300):
            self.assertEqual(*self.both_choices(rng, seed))

    def both_choices(self, rng: random.Random, seed: int) -> tuple[str, str]:
        """Return the choice by load alone, and that of ``least_costly``."""
        replicas = [replica(f"r{n}", rng.choice("ab")) for n in range(6)]
        loads = {one.id: rng.choice((0, 1, 2, 4.25, 8, 9, 17.5)) for one in replicas}
        offsets = {one.id: rng.choice((0.0, -1.0, 2.0)) for one in replicas}
        for one in replicas:
            one.record_report(ReportedLoad(1, 0, 8))
        ties = random.Random(seed)

        def plain(one: Replica) -> tuple[float, float]:
            offset = offsets[one.id]
            zone_load = OTHER_ZONE_CACHED_LOAD if offset < 0 else OTHER_ZONE_LOAD
            other_zone_load = 0.0 if one.entry.zone == "a" else zone_load
            return loads[one.id] + offset + other_zone_load, ties.random()

        actual = least_costly(
            replicas, lambda one: loads[one.id], "a", offsets, random.Random(seed)
        )
        return min(replicas, key=plain).id, actual.id

    def test_cost_of_a_slow_replica_grows_with_its_queue(self) -> None:
        self.assertEqual(3.0, expected_cost(3.0, 8, 1.0))
        idle = expected_cost(0.0, 8, 1.5)
        full = expected_cost(8.0, 8, 1.5) - 8.0
        queued = expected_cost(16.0, 8, 1.5) - 16.0
        self.assertEqual((4.0, 4.0, 8.0), (idle, full, queued))


class SlotAllocatorTest(unittest.TestCase):
    """Slowness reports between gateways and the slot allocator."""

    def setUp(self) -> None:
        self.table = ReplicaTable()
        entries = [
            ReplicaEntry(name, SERVICE, Endpoint("127.0.0.1", 1), "a", 8) for name in ("x1", "x2")
        ]
        self.table.replace_all(entries, 1)
        self.allocator = SlotAllocator(self.table, _loads())

    @params("notice", "question")
    def test_slow_replica_is_avoided(self, how: str) -> None:
        reported = (SlownessReport("x1", 2.5, 0.01), SlownessReport("gone", 2.5, 0.01))
        if how == "notice":
            self.allocator.record_online(
                OnlineInFlight("g", SERVICE, (), slowness_reports=reported)
            )
            reported = ()
        placed = self.allocator.place_online(
            PlaceOnline("g", "a", SERVICE, (ItemsAt("x2", 3),), slowness_reports=reported)
        )
        self.assertEqual("x2", placed.replica_id)

    def test_slowness_report_is_sent_once_with_the_next_message(self) -> None:
        sent: list[PeerMessage] = []
        client = mock.Mock()
        client.call.side_effect = lambda peer, message, *rest: sent.append(message)
        peer = Endpoint("127.0.0.1", 1)
        other = Member("other", "z", "r", peer, peer)
        reporter = OnlineReporter(
            "g", "a", self.table, self.allocator, client, lambda: (other,), lambda: (SERVICE,)
        )
        slow = self.table.get("x1")
        reporter.began(slow)
        slow.record_report(ReportedLoad(1, 0, 8, 2.5))
        reporter.ended(slow)
        reporter.place(slow, PlacementConstraints(frozenset(), {}))
        reporter._place_again_at = 0.0
        reporter.place(slow, PlacementConstraints(frozenset(), {}))
        (reported,), none = (message.slowness_reports for message in sent)
        self.assertEqual(("x1", 2.5), (reported.replica_id, reported.slowness))
        self.assertEqual((), none)

    def test_message_of_an_earlier_build_is_read(self) -> None:
        @attrs.frozen
        class Sent:
            kind: str
            gateway: str
            service: str
            in_flight: tuple = ()

        sent = msgspec.json.encode(Sent("OnlineInFlight", "g", SERVICE))
        self.assertEqual((), msgspec.json.decode(sent, type=OnlineInFlight).slowness_reports)
        self.assertNotIn(b"told", msgspec.json.encode(OnlineInFlight("g", SERVICE, ())))
        self.assertTrue(issubclass(OnlineInFlight, PeerMessage))


class UnevenPlayTest(unittest.TestCase):
    """Simulated bursts of requests to replicas with different speeds."""

    @params(
        ("few requests", 300.0, 0.96),
        ("bursts that fill most slots", 1200.0, 0.99),
    )
    def test_permanently_slow_replicas_are_avoided(
        self, _name: str, high_per_s: float, max_ratio: float
    ) -> None:
        load = UnevenLoad(
            paces=(1.0, 1.0, 1.3) * 8, high_per_s=high_per_s, low_per_s=100.0, length_s=12.0
        )
        reported, unreported = play(load), play(load, reports_slowness=False)
        self.assertLess(reported.mean_s, max_ratio * unreported.mean_s)
        self.assertLess(reported.quantile_s(0.95), unreported.quantile_s(0.95))

    @params(("few requests", 300.0), ("bursts that fill most slots", 1300.0))
    def test_short_slow_periods_do_no_harm(self, _name: str, high_per_s: float) -> None:
        load = UnevenLoad(
            paces=(1.0,) * 24,
            high_per_s=high_per_s,
            low_per_s=100.0,
            length_s=12.0,
            **SHORT_SLOW_PERIODS,
        )
        reported, unreported = play(load), play(load, reports_slowness=False)
        self.assertLess(reported.mean_s, 1.005 * unreported.mean_s)
        self.assertLess(reported.quantile_s(0.95), 1.02 * unreported.quantile_s(0.95))

    def test_many_gateways_with_few_replicas(self) -> None:
        load = UnevenLoad(
            paces=(1.0, 1.0, 1.3),
            zones=THREE_ZONES,
            callers=UNEVEN_CALLERS,
            high_per_s=85.0,
            low_per_s=18.0,
            service_s=0.045,
            slots=6,
            views=70,
            **SHORT_SLOW_PERIODS,
        )
        reported, unreported = play(load), play(load, reports_slowness=False)
        self.assertLess(reported.mean_s, 1.02 * unreported.mean_s)
        self.assertLess(reported.quantile_s(0.99), 0.3)

    @params(
        ("few requests", 310.0, 0.01, 0.001),
        ("bursts that fill most slots", 2500.0, 0.10, 0.02),
    )
    def test_requests_leave_their_zone_only_if_they_would_wait(
        self, _name: str, high_per_s: float, to_other: float, waiting: float
    ) -> None:
        load = UnevenLoad(
            paces=(1.0,) * 36,
            zones=THREE_ZONES,
            callers=UNEVEN_CALLERS,
            high_per_s=high_per_s,
            low_per_s=100.0,
            length_s=7.0,
        )
        outcome = play(load)
        requests = len(outcome.took_s)
        waited = sum(wait_s > 0.001 for wait_s in outcome.waited_s)
        self.assertLess(outcome.to_other_zone / requests, to_other)
        self.assertLess(waited / requests, waiting)
