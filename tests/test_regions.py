"""Regions of zones, the cost of distance, engine pools by region, and their allocators.

Guards against requests that cross regions needlessly, and against gateways that disagree on the
pool of a replica.
"""

from __future__ import annotations

import contextlib
import random
import unittest
from collections import Counter
from unittest import mock

import msgspec
from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.connection.slot_messages import (
    NO_QUEUE,
    ClaimSlots,
    ItemsAt,
    OnlineInFlight,
    PlaceOnline,
    QueueTerms,
    WantedItems,
)
from quaymill.process import regions as regions_module
from quaymill.process.jobs.engine_pool import EnginePool, pool_of, pools_of
from quaymill.process.jobs.pool_queue import GRANT_LATENCY_S, PoolQueue
from quaymill.process.jobs.queued_tickets import QueuedTickets
from quaymill.process.jobs.region_choice import (
    PoolState,
    serves_sooner,
    terms_in_other_region,
)
from quaymill.process.jobs.slot_claims import AllocatorChoice
from quaymill.process.regions import ASSUMED_ROUND_TRIP_S, ONE_REGION, Distance, RegionMap
from quaymill.process.replica_set.online_queue import QUEUED, OnlineQueue
from quaymill.process.replica_set.replica_cost import (
    OTHER_ZONE_CACHED_LOAD,
    OTHER_ZONE_LOAD,
    distance_cost,
    least_costly,
)
from quaymill.process.replica_set.router import Router
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.deadline import Deadline
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.presence import CallerPresence
from quaymill.request.prompt import Prompt, PromptPart
from quaymill.version.request_routes import RequestRoute, RouteKind, WeightedService

SERVICE = "engine"
ROUTE = RequestRoute(
    "online", "h", "/", RouteKind.STREAMING, (WeightedService(SERVICE, 1.0),), 8.0, 0.4
)
ENDPOINT = Endpoint("127.0.0.1", 1)
TWO_REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}


def member(name: str, zone: str) -> Member:
    return Member(name, zone, "", ENDPOINT, ENDPOINT)


def region_map(zone: str = "a1") -> RegionMap:
    return RegionMap(zone, TWO_REGIONS.get(zone, ""), TWO_REGIONS)


def table(regions: RegionMap, **replicas_by_zone: int) -> ReplicaTable:
    """Return a table with some replicas in each zone."""
    found = ReplicaTable(regions=regions)
    found.replace_all(
        [
            ReplicaEntry(f"{zone}-{number}", SERVICE, ENDPOINT, zone, 8)
            for zone, replicas in replicas_by_zone.items()
            for number in range(replicas)
        ],
        1,
    )
    return found


class RegionMapTest(unittest.TestCase):
    """Regions and distances from the settings."""

    @params(
        ("a1", "a1", Distance.SAME_ZONE),
        ("a1", "a2", Distance.SAME_REGION),
        ("a1", "b1", Distance.OTHER_REGION),
        ("b2", "b1", Distance.SAME_REGION),
    )
    def test_distance(self, zone, other, expected) -> None:
        self.assertIs(expected, region_map().distance(zone, other))

    @params(("a1", "a"), ("b1", "b"), ("unknown", "a"), ("unknown", "b"), ("unknown", "other"))
    def test_all_gateways_assign_a_zone_that_is_not_named_to_the_same_region(
        self, zone, own_region
    ) -> None:
        """Otherwise two allocators would grant the slots of its replicas for good."""
        regions = RegionMap(zone, own_region, TWO_REGIONS)
        self.assertEqual("a", regions.region_of("unknown"))
        self.assertEqual("a", regions.pool_region("unknown"))
        self.assertTrue(regions.has_several)

    def test_the_regions_of_settings_that_name_one_are_one(self) -> None:
        """The region in the settings of a process in an unnamed zone must not add a second one."""
        regions = RegionMap("unknown", "other", {"a1": "a"})
        self.assertEqual((False, ""), (regions.has_several, regions.pool_region("unknown")))

    def test_a_zone_that_is_not_named_is_logged_once(self) -> None:
        """Its replicas are looked up for each request."""
        with mock.patch.object(regions_module, "log_message") as log:
            regions = region_map()
            for zone in ("new", "a1", "new", "newer"):
                regions.region_of(zone)
        zones = [call.kwargs["zone"] for call in log.call_args_list]
        self.assertEqual(["new", "newer"], zones)

    def test_an_empty_region_in_the_table_is_no_region(self) -> None:
        """Pools without a region span all regions."""
        regions = RegionMap("a1", "a", TWO_REGIONS | {"c1": ""})
        self.assertEqual("a", regions.pool_region("c1"))

    def test_without_a_table_there_is_one_region(self) -> None:
        regions = RegionMap("z", "east", {})
        self.assertEqual("east", regions.region_of("y"))
        self.assertFalse(regions.has_several)
        self.assertIs(Distance.SAME_REGION, regions.distance("z", "y"))
        self.assertEqual(("", ""), (regions.pool_region("z"), regions.pool_region("y")))

    def test_a_table_with_one_region(self) -> None:
        regions = RegionMap("a1", "a", {"a1": "a", "a2": "a"})
        self.assertEqual("a", regions.region_of("a2"))
        self.assertEqual("", regions.pool_region("a2"))
        self.assertIs(Distance.SAME_REGION, regions.distance("a1", "a2"))

    def test_only_calls_to_another_region_may_take_longer(self) -> None:
        regions = region_map()
        self.assertEqual(0.0, regions.travel_s(member("g", "a2")))
        self.assertEqual(ASSUMED_ROUND_TRIP_S, regions.travel_s(member("g", "b1")))
        self.assertEqual(0.0, regions.travel_s(None))

    def test_the_distance_of_another_region_is_measured(self) -> None:
        """A fixed figure would be wrong elsewhere; a loaded link must not count as far away."""
        regions = region_map()
        for took_s in (0.09, 0.07, 0.3):
            regions.record_round_trip(member("g", "b1"), took_s)
            regions.record_round_trip(member("g", "a2"), 0.001)
        self.assertEqual(0.07, regions.round_trip_s("b"))
        self.assertEqual(0.07, regions.travel_s(member("g", "b1")))

    def test_each_region_has_its_own_round_trip(self) -> None:
        """Calls to the farther one would end before their answers arrive."""
        regions = RegionMap("a1", "a", TWO_REGIONS | {"c1": "c"})
        regions.record_round_trip(member("g", "b1"), 0.03)
        regions.record_round_trip(member("g", "c1"), 0.2)
        travel_s = [regions.travel_s(member("g", zone)) for zone in ("a2", "b1", "c1")]
        self.assertEqual([0.0, 0.03, 0.2], travel_s)


class DistanceCostTest(unittest.TestCase):
    """Cost of a replica by its distance."""

    @params(
        ("own zone", Distance.SAME_ZONE, 0.8, False, 0.0),
        ("other zone", Distance.SAME_REGION, 0.8, False, OTHER_ZONE_LOAD),
        ("other zone, cached", Distance.SAME_REGION, 0.8, True, OTHER_ZONE_CACHED_LOAD),
        ("other region, slow service", Distance.OTHER_REGION, 0.8, False, 2 * OTHER_ZONE_LOAD),
        ("service time unknown", Distance.OTHER_REGION, 0.0, False, 2 * OTHER_ZONE_LOAD),
        ("other region, cached", Distance.OTHER_REGION, 0.8, True, 2 * OTHER_ZONE_CACHED_LOAD),
        # Eight slots serve 9.6 requests of 20 ms during the round trip of 24 ms.
        ("other region, fast service", Distance.OTHER_REGION, 0.02, False, 9.6),
    )
    def test_cost(self, _name, distance, service_s, cached, expected) -> None:
        self.assertAlmostEqual(
            expected, distance_cost(distance, 8, service_s, 0.024, cached=cached)
        )

    def test_the_own_region_is_preferred_to_the_other_one_by_at_least_the_cost_of_two_zones(
        self,
    ) -> None:
        replicas = table(region_map(), a2=1, b1=1).replicas()
        for difference, expected in ((1, "a2-0"), (2, "b1-0")):
            loads = {"a2-0": difference, "b1-0": 0}
            chosen = least_costly(
                replicas, lambda one, loads=loads: loads[one.id], "a1", {}, random.Random(1)
            )
            self.assertEqual(expected, chosen.id)

    def test_regions_cost_no_time_where_there_is_one(self) -> None:
        """Choices are made for each request, of a service with many replicas."""
        found = table(RegionMap("a1", "a", {"a1": "a", "a2": "a"}), a1=2, a2=2)
        router = Router(found, "a1", "seed")
        names = ("distance", "region_of", "pool_region", "round_trip_s", "is_remote")
        with contextlib.ExitStack() as stack:
            mocks = [stack.enter_context(mock.patch.object(RegionMap, name)) for name in names]
            self.assertEqual("a1", router.choose(SERVICE).zone)
        self.assertEqual([], [call for one in mocks for call in one.mock_calls])

    def test_the_round_trip_is_taken_once_for_a_choice(self) -> None:
        replicas = table(region_map(), a2=3, b1=3).replicas()
        with mock.patch.object(RegionMap, "round_trip_s", return_value=0.024) as round_trip_s:
            least_costly(replicas, lambda one: 0.0, "a1", {}, random.Random(1), 0.8)
        self.assertEqual(1, round_trip_s.call_count)


class RegionPoolTest(unittest.TestCase):
    """Engine pools where there are several regions."""

    def test_pools_are_split_by_region(self) -> None:
        found = table(region_map(), a1=60, a2=3, b1=40)
        names = [(pool.region, pool.index, pool.pools) for pool in pools_of(SERVICE, found)]
        self.assertEqual([("a", 0, 2), ("a", 1, 2), ("b", 0, 1)], names)

    def test_gateways_of_both_regions_agree_on_the_pool_of_every_replica(self) -> None:
        zones = {"a1": 60, "a2": 3, "b1": 40, "b2": 20, "unknown": 9}
        one, other = table(region_map("a1"), **zones), table(region_map("b2"), **zones)
        self.assertEqual(pools_of(SERVICE, one), pools_of(SERVICE, other))
        for replica in one.replicas():
            pool = pool_of(replica, one)
            self.assertEqual(pool, pool_of(other.get(replica.id), other))
            holders = [each for each in pools_of(SERVICE, one) if each.holds(replica)]
            self.assertEqual([pool], holders)
        members = Counter(
            replica.id for pool in pools_of(SERVICE, one) for replica in pool.members(other)
        )
        self.assertEqual({replica.id: 1 for replica in one.replicas()}, members)

    def test_a_region_without_usable_replicas_keeps_its_pool(self) -> None:
        """Pools that changed their names with the replicas would lose their counts."""
        found = table(region_map(), a1=2, b1=2)
        before = pools_of(SERVICE, found)
        for replica in found.replicas():
            replica.misdirected = replica.entry.zone == "b1"
        self.assertEqual(before, pools_of(SERVICE, found))
        self.assertEqual([], before[1].members(found))

    @params(
        ("no table", ONE_REGION),
        ("one region", RegionMap("a1", "a", {"a1": "a", "a2": "a", "b1": "a"})),
    )
    def test_pools_of_a_single_region_are_named_as_before(self, _name, regions) -> None:
        found = table(regions, a1=30, a2=30, b1=3)
        expected = [EnginePool(SERVICE, index, 2) for index in range(2)]
        self.assertEqual(expected, pools_of(SERVICE, found))

    def test_pools_of_two_regions_have_different_labels(self) -> None:
        """One gateway may allocate both; a metric must not have two samples of one label."""
        found = table(region_map(), a1=1, b1=1)
        self.assertEqual(["a/0", "b/0"], [pool.label for pool in pools_of(SERVICE, found)])
        self.assertEqual("1", EnginePool(SERVICE, 1, 2).label)

    def test_a_pool_that_is_named_without_a_region_spans_all_regions(self) -> None:
        """Gateways of older builds name pools so."""
        found = table(region_map(), a1=2, b1=2)
        self.assertEqual(4, len(EnginePool(SERVICE).members(found)))


class RegionMessageTest(unittest.TestCase):
    """Messages that name a pool."""

    def messages(self, region) -> dict[str, ClaimSlots | OnlineInFlight | PlaceOnline]:
        in_flight = (ItemsAt("r", 1),)
        return {
            "claim": ClaimSlots(
                "c", "z", SERVICE, (), (WantedItems(0.0, 1, 9, 5.0),), region=region
            ),
            "report": OnlineInFlight("g", SERVICE, in_flight, region=region),
            "place": PlaceOnline("g", "z", SERVICE, in_flight, region=region),
        }

    @params(
        (
            "claim",
            b'{"kind":"ClaimRoom","coordinator":"c","zone":"z","service":"engine","running":[],'
            b'"wanted":[[0.0,1,9,5.0]],"avoided":[],"pool":0,"pools":1,"done":[]}',
        ),
        (
            "report",
            b'{"kind":"OnlineInFlight","gateway":"g","service":"engine","in_flight":[["r",1]]}',
        ),
        (
            "place",
            b'{"kind":"PlaceOnline","gateway":"g","zone":"z","service":"engine",'
            b'"in_flight":[["r",1]]}',
        ),
    )
    def test_messages_of_a_single_region_are_as_before(self, name, expected) -> None:
        found = table(RegionMap("a1", "a", {"a1": "a"}), a1=1)
        (pool,) = pools_of(SERVICE, found)
        message = self.messages(pool.region_field)[name]
        self.assertEqual(expected, msgspec.json.encode(message))
        read = msgspec.json.decode(expected, type=type(message))
        self.assertEqual(pool, EnginePool.from_message(read))

    @params("claim", "report", "place")
    def test_the_region_survives_encoding(self, name) -> None:
        pool = EnginePool(SERVICE, region="b")
        message = self.messages(pool.region_field)[name]
        read = msgspec.json.decode(msgspec.json.encode(message), type=type(message))
        self.assertEqual(pool, EnginePool.from_message(read))


class RegionAllocatorTest(unittest.TestCase):
    """Which gateway allocates the slots of a region's pool."""

    def choice(self, *members: Member, zone: str = "a1") -> AllocatorChoice:
        return AllocatorChoice(lambda: members, regions=region_map(zone))

    def test_the_allocator_of_a_pool_is_a_gateway_of_its_region(self) -> None:
        members = [member(f"{zone}-{number}", zone) for zone in TWO_REGIONS for number in range(3)]
        for region in ("a", "b"):
            chosen = {
                self.choice(*members, zone=zone).allocator_of(SERVICE, 0, region).name
                for zone in TWO_REGIONS
            }
            self.assertEqual(1, len(chosen))
            self.assertEqual(region, chosen.pop()[0])

    def test_a_region_without_gateways_has_an_allocator_in_the_other_one(self) -> None:
        members = [member(f"a1-{number}", "a1") for number in range(3)]
        chosen = {
            self.choice(*members, zone=zone).allocator_of(SERVICE, 0, "b").name
            for zone in TWO_REGIONS
        }
        self.assertEqual(1, len(chosen))

    def test_gateways_of_the_other_region_are_used_while_no_near_one_answers(self) -> None:
        near, far = member("near", "b1"), member("far", "a1")
        choice = self.choice(near, far)
        self.assertEqual("near", choice.allocator_of(SERVICE, 0, "b").name)
        choice.avoid(SERVICE, near)
        self.assertEqual("far", choice.allocator_of(SERVICE, 0, "b").name)


class ChoiceOfRegionTest(unittest.TestCase):
    """When a request is better served in another region."""

    IDLE = PoolState(120, free_slots=60, queue_length=0)
    FREE = PoolState(120, free_slots=1, queue_length=0)
    FULL = PoolState(120, free_slots=0, queue_length=0)
    SHORT_QUEUE = PoolState(120, free_slots=0, queue_length=13)
    LONG_QUEUE = PoolState(120, free_slots=0, queue_length=30)
    LOST = PoolState(0, free_slots=0, queue_length=0)

    @params(
        ("own slot free", FREE, FREE, False),
        ("own region full", FREE, FULL, False),
        # A wait of 93 ms is less than the detour of 48 ms and the margin of 50 ms.
        ("short queue", FREE, SHORT_QUEUE, False),
        ("short queue, many free slots elsewhere", IDLE, SHORT_QUEUE, True),
        ("own region full, many free slots elsewhere", IDLE, FULL, False),
        ("long queue", FREE, LONG_QUEUE, True),
        ("long queue, other region full", FULL, LONG_QUEUE, True),
        ("both queues are long", LONG_QUEUE, LONG_QUEUE, False),
        ("own replicas lost", LONG_QUEUE, LOST, True),
        ("all replicas lost", LOST, LOST, False),
    )
    def test_serves_sooner(self, _name, other, own, expected) -> None:
        self.assertEqual(expected, serves_sooner(other, own, 0.8, 0.024))

    def test_request_that_would_be_late_in_another_region_is_served_after_others(self) -> None:
        """Guards against slots granted to requests that the detour makes late."""
        queue = PoolQueue()
        first_byte_s, round_trip_s = 0.05, 0.024
        left_s = first_byte_s + GRANT_LATENCY_S + round_trip_s
        for ticket, target_in_s in (("late", left_s - 0.001), ("in time", left_s + 0.001)):
            terms = QueueTerms(
                ticket, "p", None, 0, 0.0, target_in_s, 60.0, 90.0, 0.8, first_byte_s
            )
            terms = terms_in_other_region(terms, round_trip_s)
            queue.join(PlaceOnline("g", "b1", "s", (), terms=terms), 0.0)
        self.assertEqual(["in time", "late"], [one.ticket for one in queue.ordered(0.0)])

    def test_a_pool_whose_loads_are_not_known_has_no_state(self) -> None:
        """A region that seems idle because nothing is known of it may be full."""
        replicas = table(region_map(), b1=2).replicas()
        replicas[0].record_pool_view(8, 0)
        self.assertIsNone(PoolState.of(replicas, 0))
        replicas[1].record_pool_view(3, 0)
        self.assertEqual(PoolState(16, 5, 2), PoolState.of(replicas, 2))
        replicas[1].record_failure(3.0)
        self.assertEqual(PoolState(8, 0, 0), PoolState.of(replicas, NO_QUEUE))

    def test_a_request_that_can_be_queued_is_for_the_own_region(self) -> None:
        found = table(region_map(), a1=1, b1=1)
        router = Router(found, "a1", "seed")
        for busy, chosen in ((3, "a1-0"), (20, "b1-0")):
            found.get("a1-0").record_pool_view(busy, 0)
            self.assertEqual("a1-0", router.constraints_of(SERVICE)[0].id)
            self.assertEqual(chosen, router.choose(SERVICE).id)

    def test_without_an_answer_of_the_other_region_the_own_one_is_chosen(self) -> None:
        """Loads there are not known then, so that all gateways would send to its full engines."""
        found = table(region_map(), a1=1, b1=1)
        found.get("a1-0").record_pool_view(20, 0)
        asked: list[str] = []
        router = Router(
            found,
            "a1",
            "seed",
            lambda first, constraints: asked.append(first.id),
            is_allocated=lambda service: True,
        )
        self.assertEqual("a1-0", router.choose(SERVICE).id)
        self.assertEqual(["b1-0", "a1-0"], asked)
        found.get("a1-0").record_failure(3.0)
        self.assertEqual("b1-0", router.choose(SERVICE).id)

    def test_cached_prompts_are_used_in_each_region(self) -> None:
        found = table(region_map(), a1=4, b1=4)
        prompt = Prompt((PromptPart("shared", 12_000), PromptPart("own", 500)))
        offsets = Router(found, "a1", "seed").constraints_of(SERVICE, prompt)[1].offsets
        self.assertEqual(Counter("aabb"), Counter(name[0] for name in offsets))

    def test_local_decisions_are_made_by_the_loads_of_the_own_region(self) -> None:
        """Without all loads, every queued request would be dispatched at once."""
        found = table(region_map(), a1=1, b1=1)
        queue = OnlineQueue(found)
        self.assertIsNone(queue._least_loaded(SERVICE))
        found.get("a1-0").record_pool_view(8, 0)
        self.assertEqual("a1-0", queue._least_loaded(SERVICE).id)


class QueuedTicketsTest(unittest.TestCase):
    """Requests leave the queue of one region when they join that of another."""

    def setUp(self) -> None:
        self.tickets = QueuedTickets()
        self.tickets.join(SERVICE, "t", "a")

    def test_a_request_that_moves_is_withdrawn_where_it_was(self) -> None:
        """Otherwise it would be granted two slots."""
        self.tickets.join(SERVICE, "t", "a")
        self.assertEqual((), self.tickets.take_withdrawn(SERVICE, "a"))
        self.tickets.join(SERVICE, "t", "b")
        self.assertEqual(("t",), self.tickets.take_withdrawn(SERVICE, "a"))
        self.assertEqual((), self.tickets.take_withdrawn(SERVICE, "b"))
        self.assertEqual(frozenset({"t"}), self.tickets.in_region("b"))

    def test_a_request_is_withdrawn_in_its_region_only(self) -> None:
        self.tickets.withdraw(SERVICE, "t")
        self.assertEqual((), self.tickets.take_withdrawn(SERVICE, "b"))
        self.assertTrue(self.tickets.has_any("a"))
        self.assertEqual(("t",), self.tickets.take_withdrawn(SERVICE, "a"))
        self.assertFalse(self.tickets.has_any("a"))

    def test_a_request_is_withdrawn_if_it_is_queued_after_a_grant_elsewhere(self) -> None:
        """The withdrawal that followed the grant may arrive before the request itself."""
        self.tickets.join(SERVICE, "t", "b")
        self.assertTrue(self.tickets.granted(SERVICE, "t", "a"))
        self.assertEqual(("t",), self.tickets.take_withdrawn(SERVICE, "b"))
        self.tickets.confirm_queued(SERVICE, "t", "b")
        self.assertEqual(("t",), self.tickets.take_withdrawn(SERVICE, "b"))

    def test_a_request_whose_wait_has_ended_leaves_the_queue_that_it_joins_later(self) -> None:
        found = table(region_map(), a1=1, b1=1)
        left: list[str] = []

        def grant_then_queue(service, request, terms):
            self.assertTrue(queue.accept_grant(terms.ticket, "a1-0"))
            return QUEUED

        queue = OnlineQueue(
            found, grant_then_queue, on_left_queue=lambda service, ticket: left.append(ticket)
        )
        request = ForwardedRequest("r", "POST", "/x", (), b"", Deadline.after(8.0))
        answer = queue.wait_for_slot(SERVICE, ROUTE, request, CallerPresence())
        self.assertEqual("a1-0", answer.id)
        self.assertEqual(1, len(left))

    def test_a_request_whose_region_is_unknown_is_withdrawn_with_the_next_message(self) -> None:
        self.tickets.leave("t")
        self.tickets.withdraw(SERVICE, "t")
        self.assertEqual(("t",), self.tickets.take_withdrawn(SERVICE, "b"))
        self.assertEqual((), self.tickets.take_withdrawn(SERVICE, "a"))


if __name__ == "__main__":
    unittest.main()
