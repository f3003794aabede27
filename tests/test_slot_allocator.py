"""Slot allocation for batch items and the placement of online requests by one gateway."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Iterable
from unittest import mock

import msgspec
from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_document import Job, JobDocument, JobItem
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerNoReply
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.connection.slot_messages import (
    ClaimSlots,
    ItemsAt,
    LoadOffset,
    OnlineInFlight,
    OnlinePlaced,
    PlaceOnline,
    PoolLoads,
    RoutePace,
    RunningAt,
    SlotsGranted,
    WantedItems,
)
from quaymill.process.jobs.coordinated_job import CoordinatedJob
from quaymill.process.jobs.engine_pool import pools_of
from quaymill.process.jobs.item_urgency import (
    INFEASIBLE_DUE_S,
    RoutePaces,
    RunPace,
    time_left_s,
)
from quaymill.process.jobs.online_reporter import PLACE_PAUSE_S, OnlineReporter
from quaymill.process.jobs.slot_allocator import (
    CLAIM_LIFETIME_S,
    ONLINE_LIFETIME_S,
    WAKE_INTERVAL_S,
    SlotAllocator,
)
from quaymill.process.jobs.slot_claims import AVOID_ALLOCATOR_S, AllocatorChoice, SlotClaims
from quaymill.process.membership.ranking import strongest_members
from quaymill.process.replica_set.router import PlacementConstraints
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.stream_version import StreamVersion
from quaymill.version.request_routes import RequestRoute, RouteKind, WeightedService

SERVICE = "engine"
NO_CONSTRAINTS = PlacementConstraints(frozenset(), {})
MANY_ITEMS = WantedItems(reserve_share=0.0, items=100, tokens=10)

V1 = StreamVersion("engine", "v1")


class FixedLoads:
    """Engine loads with free slots set by a test, reduced by each started item."""

    def __init__(self, **free_by_replica: int) -> None:
        self.free_by_replica = Counter(free_by_replica)
        self.excess_by_replica: Counter[str] = Counter()
        self.polled_services: frozenset[str] = frozenset()

    def poll_only(self, replicas):
        self.polled_services = frozenset(replica.entry.service for replica in replicas)

    def startable_items(self, replica, tokens):
        return max(0, self.free_by_replica[replica.id])

    def excess(self, replica):
        return self.excess_by_replica[replica.id]

    def record_start(self, replica, tokens):
        self.free_by_replica[replica.id] -= 1

    def record_preemption(self, replica):
        self.excess_by_replica[replica.id] = 0


def claim(coordinator, *wanted, zone="x", running=(), avoided=(), service=SERVICE):
    at = tuple(RunningAt(*one) for one in running)
    return ClaimSlots(coordinator, zone, service, at, wanted, avoided)


def items(granted_at) -> dict[str, int]:
    return {at.replica_id: at.items for at in granted_at}


class AllocatorCase(unittest.TestCase):
    """Base of tests with a simulated clock and engines with many slots."""

    slots = 64

    def setUp(self) -> None:
        self.now = 1000.0
        patch = mock.patch.object(boot_clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)

    def allocator(self, **free_by_replica: int) -> SlotAllocator:
        self.lost_zones: set[str] = set()
        table = ReplicaTable(is_unreachable=self.lost_zones.__contains__)
        entries = [
            ReplicaEntry(name, SERVICE, Endpoint("127.0.0.1", 1), name[0], self.slots)
            for name in free_by_replica
        ]
        entries.append(ReplicaEntry("o1", "other", Endpoint("127.0.0.1", 1), "o", 8))
        table.replace_all(entries, 1)
        self.loads = FixedLoads(**free_by_replica)
        return SlotAllocator(table, self.loads)


class SlotAllocatorTest(AllocatorCase):
    """Claims of coordinators."""

    def test_single_coordinator_is_granted_all_free_slots(self) -> None:
        granted = self.allocator(x1=3, y1=2).claim(claim("a", MANY_ITEMS))
        self.assertEqual({"x1": 3, "y1": 2}, items(granted.starts))

    def test_no_more_is_granted_than_wanted(self) -> None:
        granted = self.allocator(x1=3).claim(claim("a", WantedItems(0.0, 2, 10)))
        self.assertEqual({"x1": 2}, items(granted.starts))

    def test_free_slots_are_shared_among_waiting_coordinators(self) -> None:
        allocator = self.allocator(x1=0)
        for name in ("a", "b", "c"):
            allocator.claim(claim(name, MANY_ITEMS))
        self.loads.free_by_replica["x1"] = 9
        granted = [allocator.claim(claim(name, MANY_ITEMS)) for name in ("a", "b", "c")]
        # A third of nine, of six and of four free slots, rounded up.
        self.assertEqual([3, 2, 2], [items(one.starts)["x1"] for one in granted])

    def test_coordinators_that_stopped_claiming_get_no_share(self) -> None:
        allocator = self.allocator(x1=0)
        allocator.claim(claim("a", MANY_ITEMS))
        allocator.claim(claim("b", MANY_ITEMS))
        self.now += CLAIM_LIFETIME_S
        self.loads.free_by_replica["x1"] = 4
        self.assertEqual({"x1": 4}, items(allocator.claim(claim("b", MANY_ITEMS)).starts))

    def test_engines_are_polled_only_while_there_are_claims(self) -> None:
        allocator = self.allocator(x1=0)
        allocator.claim(claim("a", MANY_ITEMS))
        allocator.claim(claim("b", MANY_ITEMS, service="other"))
        self.assertEqual({SERVICE, "other"}, self.loads.polled_services)
        self.now += CLAIM_LIFETIME_S
        allocator.claim(claim("b", MANY_ITEMS, service="other"))
        self.assertEqual({"other"}, self.loads.polled_services)

    def test_reported_excess_is_preempted_once_per_coordinator(self) -> None:
        allocator = self.allocator(x1=0)
        allocator.claim(claim("a", running=[("x1", 5)]))
        allocator.claim(claim("b", running=[("x1", 2)]))
        self.loads.excess_by_replica["x1"] = 6
        granted = allocator.claim(claim("b", running=[("x1", 2)]))
        self.assertEqual({"x1": 1}, items(granted.preempt))
        granted = allocator.claim(claim("a", running=[("x1", 5)]))
        self.assertEqual({"x1": 5}, items(granted.preempt))
        self.assertEqual({}, items(allocator.claim(claim("a", running=[("x1", 5)])).preempt))

    def test_own_zone_is_preferred_among_equally_free_replicas(self) -> None:
        granted = self.allocator(x1=2, y1=2).claim(claim("a", WantedItems(0.0, 1, 10), zone="y"))
        self.assertEqual({"y1": 1}, items(granted.starts))

    def test_replica_that_fails_for_a_coordinator_is_not_granted(self) -> None:
        allocator = self.allocator(x1=5, y1=2)
        granted = allocator.claim(claim("a", MANY_ITEMS, avoided=("x1",)))
        self.assertEqual({"y1": 2}, items(granted.starts))
        granted = allocator.claim(claim("a", MANY_ITEMS))
        self.assertEqual({"x1": 5}, items(granted.starts))


class OnlineLoadTest(AllocatorCase):
    """Online requests that gateways report, and preemptions for them."""

    slots = 8

    def setUp(self) -> None:
        super().setUp()
        self.preemptions: list[tuple[str, dict[str, int]]] = []

    def allocator(self, **free_by_replica: int) -> SlotAllocator:
        allocator = super().allocator(**free_by_replica)
        allocator._preempt_items = lambda name, at: self.preemptions.append((name, items(at)))
        return allocator

    def report(self, allocator: SlotAllocator, gateway: str, **in_flight: int) -> PoolLoads:
        in_flight_items = tuple(ItemsAt(*one) for one in in_flight.items())
        return allocator.record_online(OnlineInFlight(gateway, SERVICE, in_flight_items))

    def test_excess_of_online_requests_is_preempted_once(self) -> None:
        allocator = self.allocator(x1=0)
        allocator.claim(claim("a", running=[("x1", 5)]))
        allocator.claim(claim("b", running=[("x1", 2)]))
        self.report(allocator, "g", x1=7)
        self.assertEqual([("a", {"x1": 5}), ("b", {"x1": 1})], self.preemptions)
        self.report(allocator, "g", x1=7)
        self.assertEqual(2, len(self.preemptions))

    def test_unreachable_zone_is_used_only_as_a_last_resort(self) -> None:
        allocator = self.allocator(x1=0, y1=0)
        self.report(allocator, "h", x1=5)
        self.assertEqual("y1", self.place(allocator, "g", in_flight=()).replica_id)
        self.lost_zones.add("y")
        self.assertEqual("x1", self.place(allocator, "g", in_flight=()).replica_id)
        placed = self.place(allocator, "g", in_flight=(), excluded=("x1",))
        self.assertEqual("y1", placed.replica_id)

    def test_only_additional_requests_preempt_items(self) -> None:
        allocator = self.allocator(x1=0)
        allocator.claim(claim("a", running=[("x1", 5)]))
        self.report(allocator, "g", x1=3)
        self.assertEqual([], self.preemptions)
        self.report(allocator, "h", x1=1)
        self.report(allocator, "g", x1=5)
        self.assertEqual([("a", {"x1": 1}), ("a", {"x1": 2})], self.preemptions)

    def test_answer_contains_the_loads_of_all_gateways(self) -> None:
        allocator = self.allocator(x1=0, y1=0)
        allocator.claim(claim("a", running=[("y1", 2)]))
        self.report(allocator, "g", x1=3)
        loads = {one.replica_id: one for one in self.report(allocator, "h", x1=1).loads}
        self.assertEqual((4, 0), (loads["x1"].online, loads["x1"].batch))
        self.assertEqual((0, 2), (loads["y1"].online, loads["y1"].batch))

    def place(self, allocator: SlotAllocator, gateway: str, **fields) -> OnlinePlaced:
        return allocator.place_online(PlaceOnline(gateway, "x", SERVICE, **fields))

    def test_requests_of_many_gateways_are_placed_evenly(self) -> None:
        allocator = self.allocator(x1=0, x2=0, x3=0)
        placed = Counter(self.place(allocator, f"g{n}", in_flight=()).replica_id for n in range(9))
        self.assertEqual({"x1": 3, "x2": 3, "x3": 3}, placed)

    def test_a_placed_request_counts_until_the_next_load_report(self) -> None:
        allocator = self.allocator(x1=0)
        placed = self.place(allocator, "g", in_flight=(ItemsAt("x1", 2),))
        self.assertEqual([3], [one.online for one in placed.loads])
        self.assertEqual([3], [one.online for one in self.report(allocator, "h").loads])
        self.assertEqual([1], [one.online for one in self.report(allocator, "g", x1=1).loads])

    @params(
        ("less busy", {"in_flight": (ItemsAt("x1", 1),)}, "x2"),
        ("own zone", {"in_flight": ()}, "x1 x2"),
        ("zone with free slots", {"in_flight": (ItemsAt("x1", 1), ItemsAt("x2", 1))}, "x1 x2"),
        ("busy zone", {"in_flight": (ItemsAt("x1", 2), ItemsAt("x2", 2))}, "y1"),
        ("tried", {"in_flight": (), "excluded": ("x1", "y1")}, "x2"),
        ("cached prompt", {"in_flight": (), "offsets": (LoadOffset("y1", -1.0),)}, "y1"),
        ("has failed", {"in_flight": (), "offsets": (LoadOffset("x1", 1.0),)}, "x2"),
        ("all tried", {"in_flight": (), "excluded": ("x1", "x2", "y1")}, ""),
    )
    def test_placement(self, _name, fields, expected) -> None:
        placed = self.place(self.allocator(x1=0, x2=0, y1=0), "g", **fields)
        self.assertIn(placed.replica_id, expected.split() or [""])

    def test_a_placed_request_preempts_batch_items(self) -> None:
        allocator = self.allocator(x1=0)
        allocator.claim(claim("a", running=[("x1", 7)]))
        self.place(allocator, "g", in_flight=(ItemsAt("x1", 1),))
        self.assertEqual([("a", {"x1": 1})], self.preemptions)

    def test_load_report_of_a_lost_gateway_expires(self) -> None:
        allocator = self.allocator(x1=0)
        self.report(allocator, "g", x1=3)
        self.now += ONLINE_LIFETIME_S + 0.1
        self.assertEqual([0], [one.online for one in self.report(allocator, "h").loads])

    def test_reported_online_requests_reduce_the_slots_for_items(self) -> None:
        allocator = self.allocator(x1=8)
        allocator.claim(claim("a"))
        self.report(allocator, "g", x1=4)
        # Of eight slots, four are in use and one is reserved for online requests.
        self.assertEqual({"x1": 3}, items(allocator.claim(claim("a", MANY_ITEMS)).starts))


class OnlineReporterTest(AllocatorCase):
    """Load reports of a gateway that is also the allocator."""

    def setUp(self) -> None:
        super().setUp()
        self.own_allocator = self.allocator(x1=0, y1=0)
        self.batch_services = {SERVICE}
        own = member("me", 1)
        self.reporter = OnlineReporter(
            "me",
            "x",
            self.own_allocator._table,
            self.own_allocator,
            mock.Mock(),
            lambda: (own,),
            lambda: self.batch_services,
        )

    def report(self) -> dict[str, int]:
        due = self.reporter._take_due()
        if due is not None:
            self.reporter._report(due)
        return self.own_allocator._counts(
            pools_of(SERVICE, self.own_allocator._table)[0]
        ).online_of("me")

    def test_requests_in_flight_and_their_ends_are_reported(self) -> None:
        replica = self.own_allocator._table.get("x1")
        self.reporter.began(replica)
        self.reporter.began(replica)
        self.assertEqual({"x1": 2}, self.report())
        self.assertTrue(replica.has_pool_view)
        self.reporter.ended(replica)
        self.assertEqual({"x1": 1}, self.report())
        self.reporter.ended(replica)
        self.assertEqual({}, self.report())
        self.assertIsNone(self.reporter._take_due())

    def test_a_placed_request_needs_no_immediate_report(self) -> None:
        first = self.own_allocator._table.get("x1")
        chosen = self.reporter.place(first, NO_CONSTRAINTS)
        self.reporter.began(chosen)
        self.assertFalse(self.reporter._report_now.is_set())
        self.assertEqual({chosen.id: 1}, self.report())
        self.reporter.began(chosen)
        self.assertTrue(self.reporter._report_now.is_set())

    def test_the_end_of_a_placed_request_is_reported(self) -> None:
        """Otherwise the allocator counts it until the gateway's load report expires."""
        chosen = self.reporter.place(self.own_allocator._table.get("x1"), NO_CONSTRAINTS)
        self.reporter.began(chosen)
        self.reporter.ended(chosen)
        self.assertEqual({}, self.report())

    def test_a_placement_that_cannot_be_used_is_not_counted(self) -> None:
        with mock.patch.object(self.own_allocator._table, "get", return_value=None):
            self.assertIsNone(
                self.reporter.place(self.own_allocator._table.replicas()[0], NO_CONSTRAINTS)
            )
        self.assertEqual({}, self.report())

    def test_services_without_batch_routes_are_not_placed_by_the_allocator(self) -> None:
        self.batch_services.clear()
        self.assertIsNone(self.reporter.place(self.own_allocator._table.get("x1"), NO_CONSTRAINTS))

    def test_an_unresponsive_allocator_is_not_asked_again_immediately(self) -> None:
        other = member("other", 2)
        self.reporter._allocator_choice = AllocatorChoice(lambda: (other,))
        self.reporter._client.call.return_value = PeerNoReply(other.peer, "unresponsive")
        for _ in range(2):
            self.assertIsNone(
                self.reporter.place(self.own_allocator._table.get("x1"), NO_CONSTRAINTS)
            )
        self.assertEqual(1, self.reporter._client.call.call_count)
        self.now += PLACE_PAUSE_S
        self.assertIsNone(self.reporter.place(self.own_allocator._table.get("x1"), NO_CONSTRAINTS))
        self.assertEqual(2, self.reporter._client.call.call_count)

    def test_a_service_that_loses_its_batch_routes_keeps_no_count(self) -> None:
        replica = self.own_allocator._table.get("x1")
        self.reporter.began(replica)
        self.report()
        self.batch_services.clear()
        self.reporter.ended(replica)
        self.batch_services.add(SERVICE)
        self.assertEqual({}, self.report())


class UrgencyTest(AllocatorCase):
    """Items are ordered by due time across coordinators."""

    slots = 8

    def setUp(self) -> None:
        super().setUp()
        self.notified: list[str] = []
        self.preemptions: list[tuple[str, dict[str, int]]] = []

    def allocator(self, **free_by_replica: int) -> SlotAllocator:
        allocator = super().allocator(**free_by_replica)
        allocator._wake = self.notified.append
        allocator._preempt_items = lambda name, at: self.preemptions.append((name, items(at)))
        return allocator

    @staticmethod
    def due(due_in_s: float, count: int = 100) -> WantedItems:
        return WantedItems(0.0, count, 10, due_in_s)

    def test_slots_are_left_for_items_due_earlier(self) -> None:
        allocator = self.allocator(x1=0)
        allocator.claim(claim("early", self.due(5.0, 4)))
        self.loads.free_by_replica["x1"] = 8
        granted = allocator.claim(claim("late", self.due(15.0)))
        self.assertEqual(3, items(granted.starts)["x1"])
        granted = allocator.claim(claim("early", self.due(5.0, 4)))
        self.assertEqual(4, items(granted.starts)["x1"])

    def test_items_due_at_about_the_same_time_share_slots(self) -> None:
        allocator = self.allocator(x1=0)
        allocator.claim(claim("a", self.due(5.0)))
        self.loads.free_by_replica["x1"] = 8
        granted = allocator.claim(claim("b", self.due(5.2)))
        self.assertEqual(4, items(granted.starts)["x1"])

    def test_items_due_last_are_preempted_first(self) -> None:
        allocator = self.allocator(x1=0)
        allocator.claim(claim("a", running=[("x1", 2, 3.0), ("x1", 1, INFEASIBLE_DUE_S)]))
        allocator.claim(claim("b", running=[("x1", 4, 9.0)]))
        allocator.record_online(OnlineInFlight("g", SERVICE, (ItemsAt("x1", 4),)))
        self.assertEqual([("a", {"x1": 1}), ("b", {"x1": 2})], sorted(self.preemptions))

    def test_coordinator_with_the_earliest_items_is_notified_of_free_slots(self) -> None:
        allocator = self.allocator(x1=0)
        allocator.record_online(OnlineInFlight("g", SERVICE, (ItemsAt("x1", 8),)))
        allocator.claim(claim("late", self.due(15.0)))
        allocator.claim(claim("early", self.due(5.0)))
        self.now += 2 * WAKE_INTERVAL_S
        self.assertEqual([], self.notified)
        allocator.record_online(OnlineInFlight("g", SERVICE, (ItemsAt("x1", 5),)))
        self.assertEqual(["early"], self.notified)


class PaceTest(unittest.TestCase):
    """Item paces, and which items are infeasible."""

    def setUp(self) -> None:
        route = RequestRoute(
            "jobs", "h", "/", RouteKind.BATCH, (WeightedService(SERVICE, 1.0),), 9.0, 0.4, due_s=18
        )
        document = JobDocument((JobItem("i", "/x", {}, b"", 10),))
        self.job = CoordinatedJob(Job("j", "h", "/", document), route, "me")
        self.item = self.job.items[0]
        self.paces = RoutePaces()

    @property
    def pace(self) -> RunPace:
        return self.paces.of("jobs")

    def record(self, events: int, events_in_run: int, run_s: float) -> None:
        self.paces.record("jobs", events, events_in_run, run_s)

    def left_s(self, after_s: float) -> float:
        return time_left_s(self.job, self.item, self.job.sent_at + after_s, self.pace)

    def test_without_a_pace_items_are_feasible_until_due(self) -> None:
        self.assertAlmostEqual(0.5, self.left_s(17.5))
        self.assertEqual(INFEASIBLE_DUE_S, self.left_s(18.1))

    @params((11.9, 0, False), (12.1, 0, True), (13.0, 0, True), (15.5, 0, True), (15.5, 150, False))
    def test_items_that_cannot_finish_in_time_are_infeasible(
        self, after_s, events, expected
    ) -> None:
        # Two hundred events at 25 ms: five seconds for a complete item, six with the margin.
        self.record(200, 100, 2.5)
        self.item.add_events(["x"] * events, str(events), V1)
        self.assertEqual(expected, self.left_s(after_s) == INFEASIBLE_DUE_S)

    def test_averages_follow_recent_items(self) -> None:
        self.record(200, 200, 5.0)
        for _ in range(60):
            self.record(100, 100, 5.0)
        self.assertAlmostEqual(100, self.pace.events_per_item, delta=1)
        self.assertAlmostEqual(0.05, self.pace.s_per_event, delta=0.001)

    def test_coordinators_share_their_paces_through_the_allocator(self) -> None:
        """With more gateways than jobs, most coordinators have not seen any item finish."""
        allocator = SlotAllocator(ReplicaTable(), FixedLoads())
        reporting, other = RoutePaces(), RoutePaces()
        for _ in range(30):
            reporting.record("jobs", 200, 200, 5.0)
        allocator.claim(msgspec.structs.replace(claim("a"), done=reporting.take_unreported()))
        self.assertEqual((), reporting.take_unreported())
        self.assertEqual(1.0, self.left_s(17.0))
        other.adopt(allocator.claim(claim("b")).paces)
        self.paces = other
        self.assertEqual(INFEASIBLE_DUE_S, self.left_s(17.0))
        self.assertAlmostEqual(5.0, self.pace.remaining_s(0), delta=0.1)

    def test_each_route_has_its_own_pace(self) -> None:
        self.paces.record("others", 20, 20, 1.0)
        self.assertEqual(0.0, self.pace.remaining_s(0))
        self.assertAlmostEqual(1.0, self.paces.of("others").remaining_s(0))

    def test_a_mean_of_many_items_weighs_as_much_as_the_items(self) -> None:
        self.record(200, 200, 5.0)
        self.paces.add_all([RoutePace("jobs", 100.0, 0.05, 60)])
        self.assertAlmostEqual(100, self.pace.events_per_item, delta=1)


def member(name: str, port: int) -> Member:
    endpoint = Endpoint("127.0.0.1", port)
    return Member(name, "x", "r", endpoint, endpoint)


class EnginePoolTest(unittest.TestCase):
    """Services with many replicas are split into several pools."""

    def table(self, replicas: int) -> ReplicaTable:
        table = ReplicaTable()
        table.replace_all(
            [
                ReplicaEntry(f"r{index}", SERVICE, Endpoint("127.0.0.1", 1), "x", 8)
                for index in range(replicas)
            ],
            1,
        )
        return table

    @params((0, 1), (1, 1), (48, 1), (49, 2), (2800, 59))
    def test_number_of_pools(self, replicas, pools) -> None:
        self.assertEqual(pools, len(pools_of(SERVICE, self.table(replicas))))

    def test_every_replica_is_in_one_pool(self) -> None:
        table = self.table(500)
        members = [
            replica.id for pool in pools_of(SERVICE, table) for replica in pool.members(table)
        ]
        self.assertEqual(500, len(members))
        self.assertEqual(500, len(set(members)))

    def test_allocator_grants_and_polls_only_its_pool(self) -> None:
        table = self.table(100)
        loads = FixedLoads(**{replica.id: 1 for replica in table.replicas()})
        wanted = []
        loads.poll_only = wanted.extend
        pool = pools_of(SERVICE, table)[1]
        message = msgspec.structs.replace(claim("a", MANY_ITEMS), pool=pool.index, pools=pool.pools)
        granted = SlotAllocator(table, loads).claim(message)
        members = {replica.id for replica in pool.members(table)}
        self.assertEqual(members, set(items(granted.starts)))
        self.assertEqual(members, {replica.id for replica in wanted})


class SlotClaimsTest(unittest.TestCase):
    """Which allocator a claim is sent to while gateways fail and recover."""

    def setUp(self) -> None:
        self.now = 1000.0
        patch = mock.patch.object(boot_clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.members = tuple(map(member, ("a", "b", "c"), (1, 2, 3)))
        self.claimed_from: list[str] = []
        self.unresponsive: set[str] = set()
        self.allocator = mock.Mock()
        self.allocator.claim.side_effect = lambda message: self.answer("own")

    def answer(self, name: str) -> SlotsGranted | PeerNoReply:
        self.claimed_from.append(name)
        return (
            PeerNoReply(self.members[0].peer, "unresponsive")
            if name in self.unresponsive
            else SlotsGranted()
        )

    def claims(self, own_name: str) -> SlotClaims:
        client = mock.Mock()
        client.call.side_effect = lambda peer, *_: self.answer(self.name_of(peer))
        return SlotClaims(own_name, self.allocator, client, lambda: self.members)

    def name_of(self, peer: Endpoint) -> str:
        return next(one.name for one in self.members if one.peer == peer)

    def test_a_weak_gateway_is_not_chosen_as_allocator(self) -> None:
        members = [msgspec.structs.replace(one, cores=0.5) for one in self.members]
        members[1:] = [msgspec.structs.replace(one, cores=2.0) for one in members[1:]]
        choice = AllocatorChoice(lambda: tuple(members))
        allocators = {choice.allocator_of(f"service-{n}", 0).name for n in range(50)}
        self.assertEqual({"b", "c"}, allocators)

    def test_a_reachable_gateway_is_preferred_as_allocator(self) -> None:
        lost: set[str] = set()

        def reachable(members: Iterable[Member]) -> tuple[Member, ...]:
            members = tuple(members)
            return tuple(one for one in members if one.name not in lost) or members

        choice = AllocatorChoice(lambda: self.members, reachable)
        first = choice.allocator_of(SERVICE, 0).name
        lost.add(first)
        second = choice.allocator_of(SERVICE, 0).name
        self.assertNotEqual(first, second)
        lost |= {one.name for one in self.members}
        self.assertEqual(first, choice.allocator_of(SERVICE, 0).name)

    def test_weak_gateways_are_chosen_while_no_strong_one_answers(self) -> None:
        members = [msgspec.structs.replace(one, cores=0.5) for one in self.members]
        members[1:] = [msgspec.structs.replace(one, cores=2.0) for one in members[1:]]
        choice = AllocatorChoice(lambda: tuple(members))
        for one in members[1:]:
            choice.avoid(SERVICE, one)
        self.assertEqual("a", choice.allocator_of(SERVICE, 0).name)

    @params(
        ("all alike", [1.0, 1.0, 1.0], 3),
        ("cores unknown", [0.0, 0.0, 0.0], 3),
        ("one weak", [0.5, 2.0, 2.0], 2),
        ("one strong", [0.5, 0.5, 2.0], 3),
        ("each different", [0.5, 1.0, 2.0], 2),
        ("nobody", [], 0),
        ("few strong ones among many", [0.5] * 150 + [2.0] * 15, 15),
        ("too few strong ones among many", [0.5] * 150 + [2.0] * 5, 155),
        ("three strong ones", [0.5] * 10 + [2.0] * 3, 3),
    )
    def test_strongest(self, _name, cores, expected) -> None:
        members = [
            msgspec.structs.replace(member(f"g{n}", n + 1), cores=one)
            for n, one in enumerate(cores)
        ]
        self.assertEqual(expected, len(strongest_members(members)))

    def test_all_gateways_claim_from_the_same_allocator(self) -> None:
        for own_name in ("a", "b", "c"):
            self.claims(own_name).claim(claim(own_name))
        allocator = next(name for name in self.claimed_from if name != "own")
        self.assertEqual(2, self.claimed_from.count(allocator))
        self.assertEqual(1, self.claimed_from.count("own"))

    def test_claims_go_to_the_next_in_rank_while_the_allocator_is_unresponsive(self) -> None:
        claims = self.claims("elsewhere")
        claims.claim(claim("elsewhere"))
        first = self.claimed_from[-1]
        self.unresponsive = {first}
        self.assertIsNone(claims.claim(claim("elsewhere")))
        self.assertIsNotNone(claims.claim(claim("elsewhere")))
        self.assertNotEqual(first, self.claimed_from[-1])
        self.unresponsive = set()
        self.now += AVOID_ALLOCATOR_S
        claims.claim(claim("elsewhere"))
        self.assertEqual(first, self.claimed_from[-1])

    def test_the_local_allocator_is_used_if_no_other_answers(self) -> None:
        claims = self.claims("elsewhere")
        self.unresponsive = {"a", "b", "c"}
        for _ in range(4):
            claims.claim(claim("elsewhere"))
        self.assertEqual({"a", "b", "c"}, set(self.claimed_from[:3]))
        self.assertEqual("own", self.claimed_from[3])
