"""Requests are served in their own region first, and in the other one when that serves them sooner.

Each test has one failure: of a link, the replicas or the gateways of a region, or of an older
build. No request may be lost or sent twice. Uses the real components over fake connections.
"""

from __future__ import annotations

import math
import threading
from collections import Counter
from typing import ClassVar
from unittest import mock

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerNoReply
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.connection.slot_messages import ClaimSlots, OnlineGrant, QueueTerms
from quaymill.process.jobs.allocator_calls import GRANT_TIMEOUT_S
from quaymill.process.jobs.engine_pool import EnginePool, pools_of
from quaymill.process.jobs.online_reporter import PLACE_TIMEOUT_S, REPORT_TIMEOUT_S
from quaymill.process.jobs.slot_claims import CLAIM_TIMEOUT_S, AllocatorChoice, SlotClaims
from quaymill.process.regions import ASSUMED_ROUND_TRIP_S, ONE_REGION, RegionMap
from quaymill.process.replica_set.online_queue import QUEUED
from quaymill.request.deadline import Deadline
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.replica_choice import CannotServeInTime
from test_allocator_queue import SERVICE, SLOTS, FakeConnections, Gateway, QueueCase

NAMES = ("a1", "a2", "b1", "b2")
ZONE_REGIONS = {"a": "a", "b": "b"}
POOL_A, POOL_B = (EnginePool(SERVICE, region=region) for region in "ab")
ENTRIES = tuple(
    ReplicaEntry(f"e{zone}", SERVICE, Endpoint("127.0.0.1", 1), zone, SLOTS) for zone in "ab"
)


class Link:
    """The link between the regions, which can be cut, or slower than any timeout."""

    def __init__(self) -> None:
        self.is_cut = False
        self.is_slow = False
        self.calls: Counter[str] = Counter()
        self.late: list[threading.Thread] = []
        self.timeouts_s: dict[str, set[float]] = {}
        self.withdrawn: set[str] = set()
        self.first_byte_s: dict[str, float] = {}


class LinkedConnections:
    """The connections of one gateway; its calls to the other region pass the link."""

    def __init__(self, name: str, connections: FakeConnections, link: Link) -> None:
        self._name = name
        self._connections = connections
        self._link = link
        self.register_for = connections.register_for

    def call(self, endpoint, message, reply_type, timeout_s):
        call = (endpoint, message, reply_type, timeout_s)
        is_near = endpoint.host[0] == self._name[0]
        name = type(message).__name__ + (" near" if is_near else "")
        self._link.timeouts_s.setdefault(name, set()).add(timeout_s)
        if getattr(message, "terms", None) is not None:
            self._link.first_byte_s[name] = message.terms.first_byte_s
        if is_near:
            return self._connections.call(*call)
        self._link.calls[type(message).__name__] += 1
        self._link.withdrawn |= set(getattr(message, "withdrawn", ()))
        if self._link.is_slow:
            # The peer handles the message, but its answer is too late.
            thread = threading.Thread(target=self._connections.call, args=call)
            self._link.late.append(thread)
            thread.start()
        if self._link.is_cut or self._link.is_slow:
            return PeerNoReply(endpoint, "no answer")
        return self._connections.call(*call)


class RegionCase(QueueCase):
    """Two gateways and an engine with two slots in each of two regions."""

    old_builds: tuple[str, ...] = ()
    zone_regions = ZONE_REGIONS

    def setUp(self) -> None:
        super().setUp()
        self.link = Link()
        self.names = list(NAMES)
        self.sent: Counter[tuple[str, str]] = Counter()
        for name in NAMES:
            zone = name[0]
            regions = RegionMap(zone, zone, self.zone_regions)
            if name in self.old_builds:
                regions = ONE_REGION
            connections = LinkedConnections(name, self.connections, self.link)
            self.gateways[name] = Gateway(
                name, connections, self.members_of(name), zone, regions, ENTRIES
            )
            self.count_sent(self.gateways[name])
        self.a1 = self.gateways["a1"]
        self.b1 = self.gateways["b1"]

    def stop(self) -> None:
        super().stop()
        for thread in self.link.late:
            thread.join()

    def members_of(self, name: str):
        """Return the view of one gateway, which may differ from that of others."""
        return lambda: tuple(
            Member(one, one[0], one[0], Endpoint(one, 1), Endpoint(one, 1))
            for one in NAMES
            if one in self.names or one == name
        )

    def count_sent(self, gateway: Gateway) -> None:
        begin = gateway.begin

        def counted(replica) -> None:
            self.sent[gateway.name, replica.id] += 1
            begin(replica)

        gateway.begin = counted

    def allocator_of(self, pool: EnginePool) -> Gateway:
        regions = RegionMap("a", "a", ZONE_REGIONS)
        choice = AllocatorChoice(self.members_of(""), regions=regions)
        return self.gateways[choice.allocator_of(SERVICE, pool.index, pool.region).name]

    def queue_length(self, pool: EnginePool) -> int:
        return self.allocator_of(pool).allocator.queues.length(pool)

    def wait_until_queued(self, pool: EnginePool, length: int) -> None:
        self.wait_for(lambda: self.queue_length(pool) == length, f"queue of {pool.region}")

    def fill(self, zone: str) -> None:
        """Use all slots of a region, from its own gateways."""
        for name in (f"{zone}1", f"{zone}2"):
            self.gateways[name].place_at_once()
        self.assertEqual(SLOTS, sum(count for (_, to), count in self.sent.items() if to[1] == zone))

    def queue_one(self) -> None:
        """Queue a request in the full region ``a``, and wait until the other loads are known."""
        self.send("first", self.a1)
        self.wait_until_queued(POOL_A, 1)
        self.wait_for(lambda: self.a1.reporter._state_of(POOL_B) is not None, "loads unknown")

    def ask(self, ticket: str) -> object:
        """Request a slot from ``a1`` without waiting for it."""
        return self.ask_from(self.a1, ticket)

    def ask_from(self, gateway: Gateway, ticket: str) -> object:
        """Request a slot from a gateway without waiting for it."""
        terms = QueueTerms(ticket, gateway.process, None, 0, 0.0, 0.4, 6.0, 8.0, 0.8, 0.05)
        request = ForwardedRequest(ticket, "POST", "/x", (), b"", Deadline.after(8.0))
        return gateway.ask_allocator(SERVICE, request, terms)

    def replica_of(self, name: str) -> str | None:
        result = self.results[name]
        return None if result is None else result.id

    def wait_until_withdrawn_from_b(self, ticket: str) -> None:
        """Wait until ``a1`` has sent a withdrawal over the link, which may be cut."""
        self.wait_for(lambda: ticket in self.link.withdrawn, f"{ticket} is not withdrawn")

    def wait_until_counts_agree(self) -> None:
        """Wait until both allocators count exactly the requests that gateways have in flight."""

        def counted(pool: EnginePool, replica_id: str) -> int:
            counts = self.allocator_of(pool).allocator._counts_by_pool.get(pool)
            return 0 if counts is None else counts.online[replica_id]

        def in_flight(replica_id: str) -> int:
            return sum(one.table.get(replica_id).in_flight for one in self.gateways.values())

        for pool, replica_id in ((POOL_A, "ea"), (POOL_B, "eb")):
            self.wait_for(
                lambda pool=pool, replica_id=replica_id: (
                    counted(pool, replica_id) == in_flight(replica_id)
                ),
                f"{replica_id}: {counted(pool, replica_id)} counted, {in_flight(replica_id)} sent",
            )

    def end_all(self) -> bool:
        """End all requests that are running now."""
        for gateway in self.gateways.values():
            for replica in gateway.table.replicas():
                for _ in range(replica.in_flight):
                    gateway.end(replica.id)
        return True

    def assert_sent_once(self, requests: int) -> None:
        """Check the number of requests sent, the ones of ``fill`` included."""
        self.assertEqual(requests, sum(self.sent.values()), self.sent)


class SpillTest(RegionCase):
    """Choice of the region without failures."""

    def test_nothing_crosses_regions_while_the_own_one_has_a_free_slot(self) -> None:
        """Traffic between regions is charged, and slower."""
        self.a1.place_at_once()
        self.a1.reporter._report_elsewhere()
        self.assertEqual(Counter(), self.link.calls)
        self.send("r", self.a1)
        self.wait_until_dispatched("r")
        self.assertEqual("ea", self.replica_of("r"))
        self.assertEqual(0, self.link.calls["PlaceOnline"])

    def test_a_request_is_sent_to_the_other_region_if_the_own_queue_is_too_long(self) -> None:
        self.fill("a")
        self.queue_one()
        self.send("second", self.a1)
        self.wait_until_dispatched("second")
        self.assertEqual("eb", self.replica_of("second"))
        self.assertEqual(1, self.a1.reporter.sent_to_other_region)
        # The first one asks again after a while, and leaves the queue of its own region.
        self.wait_until_dispatched("first")
        self.wait_until_queued(POOL_A, 0)
        self.assert_sent_once(4)

    def test_a_request_stays_in_its_region_if_the_other_one_is_as_busy(self) -> None:
        self.fill("a")
        self.fill("b")
        self.queue_one()
        self.send("second", self.a1)
        self.wait_for(
            lambda: self.queue_length(POOL_A) + self.queue_length(POOL_B) == 2, "not queued"
        )
        self.gateways["a2"].end("ea")
        self.gateways["b2"].end("eb")
        self.wait_until_dispatched("first", "second")
        self.wait_until_counts_agree()
        self.assert_sent_once(6)

    def test_a_request_moves_if_the_answer_shows_that_the_own_queue_is_too_long(self) -> None:
        """The gateway's last report is up to 0.25 s old, in which a burst begins."""
        self.fill("a")
        self.queue_one()
        with mock.patch.object(self.a1.reporter, "_sooner_elsewhere", side_effect=[None, POOL_B]):
            self.assertEqual("eb", self.ask("t").id)
        self.assertEqual(("t",), self.a1.reporter._tickets.take_withdrawn(SERVICE, "a"))

    def test_the_queue_of_the_other_region_knows_of_the_detour(self) -> None:
        """Otherwise it grants slots to requests that are late once they arrive."""
        self.fill("a")
        self.queue_one()
        reporter = self.gateways["a2"].reporter
        for pool in (POOL_A, POOL_B):
            with mock.patch.object(reporter, "_sooner_elsewhere", return_value=pool):
                self.ask_from(self.gateways["a2"], f"to {pool.region}")
        detour_s = (
            self.link.first_byte_s["PlaceOnline"] - self.link.first_byte_s["PlaceOnline near"]
        )
        self.assertAlmostEqual(ASSUMED_ROUND_TRIP_S, detour_s)

    def test_a_request_that_the_own_allocator_refuses_is_offered_to_the_other_region(self) -> None:
        """The queue that is too long for the request may have grown since the last report."""
        reporter = self.a1.reporter
        refusal = CannotServeInTime("the queue is too long", 1.0)
        replica = self.a1.table.get("eb")
        asked: list[EnginePool] = []
        for elsewhere, expected in ((replica, replica), (None, refusal)):
            answers = {POOL_A: refusal, POOL_B: elsewhere}
            asked.clear()

            def answer(pool, constraints, terms, answers=answers):
                asked.append(pool)
                return answers[pool]

            with (
                mock.patch.object(reporter, "_sooner_elsewhere", side_effect=[None, POOL_B]),
                mock.patch.object(reporter, "_ask_allocator", answer),
            ):
                self.assertIs(expected, self.ask("t"))
            self.assertEqual([POOL_A, POOL_B], asked)

    def test_calls_over_the_link_may_take_longer_by_the_round_trip(self) -> None:
        """Otherwise answers that are only far away would count as missing."""
        self.fill("a")
        self.fill("b")
        self.queue_one()
        with mock.patch.object(self.a1.reporter, "_sooner_elsewhere", return_value=POOL_B):
            self.send("far", self.a1)
            self.wait_until_queued(POOL_B, 1)
        self.gateways["b2"].end("eb")
        self.wait_until_dispatched("far")
        SlotClaims(
            "a1",
            self.a1.allocator,
            self.a1.reporter._client,
            self.members_of("a1"),
            regions=RegionMap("a", "a", ZONE_REGIONS),
        ).claim(ClaimSlots("a1", "a", SERVICE, (), (), region="b"))
        for kind, timeout_s in (
            ("PlaceOnline", PLACE_TIMEOUT_S),
            ("OnlineInFlight", REPORT_TIMEOUT_S),
            ("ClaimSlots", CLAIM_TIMEOUT_S),
            ("OnlineGrants", GRANT_TIMEOUT_S),
        ):
            far = self.link.timeouts_s[kind]
            self.assertEqual({timeout_s + ASSUMED_ROUND_TRIP_S}, far, kind)
            near = self.link.timeouts_s.get(f"{kind} near", {timeout_s})
            self.assertEqual({timeout_s}, near, kind)

    def test_gateways_of_both_regions_name_the_same_pools(self) -> None:
        for gateway in self.gateways.values():
            self.assertEqual([POOL_A, POOL_B], pools_of(SERVICE, gateway.table))


class SingleRegionTest(RegionCase):
    """Two zones of one region, named by the settings."""

    zone_regions: ClassVar = {"a": "region", "b": "region"}

    def test_messages_and_pools_are_as_before(self) -> None:
        messages: list[bytes] = []
        call = FakeConnections.call

        def recording(connections, endpoint, message, *rest):
            messages.append(msgspec.json.encode(message))
            return call(connections, endpoint, message, *rest)

        with mock.patch.object(FakeConnections, "call", recording):
            for gateway in self.gateways.values():
                gateway.place_at_once()
                self.send(gateway.name, gateway)
            names = set(NAMES)
            self.wait_for(lambda: self.end_all() and names <= set(self.results), "lost")
            for gateway in self.gateways.values():
                gateway.reporter._report_elsewhere()
        kinds = {msgspec.json.decode(message)["kind"] for message in messages}
        self.assertLessEqual({"PlaceOnline", "OnlineInFlight"}, kinds)
        self.assertEqual([], [message for message in messages if b"region" in message])
        for gateway in self.gateways.values():
            self.assertEqual([EnginePool(SERVICE)], pools_of(SERVICE, gateway.table))
            self.assertEqual(0, gateway.reporter.sent_to_other_region)


class LinkFaultTest(RegionCase):
    """The link between the regions is cut or slow."""

    def test_the_link_is_cut_while_requests_are_sent_to_the_other_region(self) -> None:
        self.fill("a")
        self.queue_one()
        self.link.is_cut = True
        self.send("second", self.a1)
        self.wait_until_queued(POOL_A, 2)
        self.a1.end("ea")
        self.gateways["a2"].end("ea")
        self.wait_until_dispatched("first", "second")
        self.assertEqual({("a1", "ea"): 3, ("a2", "ea"): 1}, self.sent)

    def test_a_request_joins_the_own_queue_at_once_if_the_other_region_does_not_answer(
        self,
    ) -> None:
        """The other region may have queued it, and must not keep it."""
        self.fill("a")
        self.queue_one()
        self.link.is_cut = True
        self.assertIs(QUEUED, self.ask("t"))
        self.assertEqual(2, self.queue_length(POOL_A))
        self.wait_until_withdrawn_from_b("t")

    def test_a_queued_request_stays_queued_if_the_other_region_does_not_answer(self) -> None:
        """It is withdrawn from the own queue before the other region is asked."""
        self.fill("a")
        self.queue_one()
        self.link.is_cut = True
        with mock.patch.object(self.a1.reporter, "_sooner_elsewhere", side_effect=[None, POOL_B]):
            self.assertIs(QUEUED, self.ask("t"))
        self.assertEqual((), self.a1.reporter._tickets.take_withdrawn(SERVICE, "a"))
        self.assertEqual(2, self.queue_length(POOL_A))

    def test_a_request_that_no_allocator_answers_leaves_no_trace(self) -> None:
        """It may wait at the other region's allocator, which must not keep it."""
        self.fill("a")
        self.queue_one()
        self.link.is_cut = True
        self.a1.reporter._place_again_at = math.inf
        self.assertIsNone(self.ask("t"))
        self.assertEqual(frozenset(), self.a1.reporter._tickets.in_region("b"))
        self.wait_until_withdrawn_from_b("t")

    def test_requests_queued_in_a_lost_region_are_decided_locally(self) -> None:
        self.fill("a")
        self.queue_one()
        (ticket,) = self.a1.queue._queued_by_ticket
        self.a1.reporter._tickets.join(SERVICE, ticket, "b")
        with mock.patch.object(self.a1.reporter, "_allocator_lost") as lost:
            self.a1.reporter._pause_region("b")
        lost.assert_called_once_with(frozenset({ticket}))

    def test_requests_queued_in_the_other_region_stay_there_if_the_own_allocator_is_lost(
        self,
    ) -> None:
        """Local decisions would send them to engines of the own region that may be full."""
        reporter = self.a1.reporter
        reporter._tickets.join(SERVICE, "near", "a")
        reporter._tickets.join(SERVICE, "far", "b")
        self.connections.unresponsive |= {"a2"}
        with (
            mock.patch.object(reporter, "_allocator_of", return_value=self.members_of("a1")()[1]),
            mock.patch.object(reporter, "_allocator_lost") as lost,
        ):
            reporter._report_pool(POOL_A, {})
            reporter._record_unanswered(POOL_A, None)
        # The other region's reporter may have found its allocator lost in the meantime.
        calls = [call for call in lost.mock_calls if call != mock.call(frozenset({"far"}))]
        self.assertEqual([mock.call(frozenset({"near"}))] * 2, calls)

    def test_requests_queued_in_the_other_region_return_when_the_link_is_cut(self) -> None:
        self.fill("a")
        self.fill("b")
        self.queue_one()
        # Longer waits in the own region make the other one's queue the better one.
        for index in range(3):
            self.send(f"more-{index}", self.a1)
            self.wait_for(
                lambda index=index: (
                    self.queue_length(POOL_A) + self.queue_length(POOL_B) == index + 2
                ),
                "not queued",
            )
        self.wait_for(lambda: self.queue_length(POOL_B) > 0, "nothing is queued there")
        self.link.is_cut = True
        self.wait_until_queued(POOL_A, 4)
        self.a1.end("ea")
        self.gateways["a2"].end("ea")
        for sent in range(2, 4):
            self.wait_for(lambda sent=sent: len(self.results) >= sent, "not dispatched")
            self.a1.end("ea")
        self.wait_until_dispatched("first", *(f"more-{index}" for index in range(3)))
        self.assertEqual(0, sum(count for (_, to), count in self.sent.items() if to == "eb") - 2)
        self.assert_sent_once(8)

    def test_an_answer_that_comes_too_late_starts_no_request_twice(self) -> None:
        """The other region's allocator has placed the request, and counts it until corrected."""
        self.fill("a")
        self.queue_one()
        self.link.is_slow = True
        self.send("second", self.a1)
        self.wait_until_queued(POOL_A, 2)
        self.a1.end("ea")
        self.gateways["a2"].end("ea")
        self.wait_until_dispatched("first", "second")
        self.assert_sent_once(4)
        self.link.is_slow = False
        self.wait_until_counts_agree()

    def test_a_request_that_the_own_allocator_answers_too_late_is_withdrawn_there(self) -> None:
        """The allocator may have queued it, also if this gateway has no requests in its pool."""
        reporter = self.a1.reporter
        with (
            mock.patch.object(reporter, "_call_place_online", return_value=None),
            mock.patch.object(reporter, "_call_allocator", return_value=None) as call,
        ):
            reporter._queueing_allocators |= set(NAMES)
            self.assertIsNone(self.ask("t"))
            self.wait_for(lambda: call.call_args_list, "nothing is reported")
        pool, message = call.call_args.args
        self.assertEqual((POOL_A, ("t",)), (pool, message.withdrawn))

    def test_a_late_grant_of_a_region_that_the_request_has_left(self) -> None:
        """The other region's queue would keep the request, and grant a slot to it in vain."""
        self.fill("a")
        self.fill("b")
        self.queue_one()
        with mock.patch.object(self.a1.reporter, "_sooner_elsewhere", return_value=POOL_B):
            self.wait_until_queued(POOL_B, 1)
        (ticket,) = self.a1.queue._queued_by_ticket
        late = OnlineGrant(ticket, "ea")
        self.assertEqual((ticket,), self.a1.reporter.accept_grants((late,)))
        self.wait_until_queued(POOL_B, 0)

    def test_loads_converge_after_a_cut(self) -> None:
        self.fill("a")
        self.queue_one()
        self.send("second", self.a1)
        self.wait_until_dispatched("second")
        self.link.is_cut = True
        self.a1.end("eb")
        self.a1.end("ea")
        self.wait_until_dispatched("first")
        self.link.is_cut = False
        self.wait_until_counts_agree()
        self.assert_sent_once(4)

    def test_requests_in_the_other_region_are_reported_while_placements_there_pause(self) -> None:
        """The allocator drops counts after 1 s, and would grant the slots in use again."""
        self.a1.begin(self.a1.table.get("eb"))
        self.a1.reporter._pause_region("b")
        with mock.patch.object(self.a1.reporter, "_report_pool") as report:
            self.a1.reporter._report_elsewhere()
        self.assertIn(mock.call(POOL_B, {"eb": 1}), report.mock_calls)

    def test_a_silent_link_does_not_disturb_the_queue_of_the_own_region(self) -> None:
        """Local decisions would send queued requests to full engines."""
        self.fill("a")
        self.queue_one()
        self.link.is_cut = True
        self.a1.reporter._pause_region("b")
        (queued,) = self.a1.queue._queued_by_ticket.values()
        self.assertTrue(queued.in_allocator_queue)
        self.assertFalse(self.a1.reporter._is_paused(POOL_A))


class LostPartTest(RegionCase):
    """A region has lost its replicas or its gateways."""

    def test_a_region_without_replicas_is_served_by_the_other_one(self) -> None:
        for gateway in self.gateways.values():
            gateway.table.get("ea").misdirected = True
        self.a1.place_at_once()
        self.send("second", self.a1)
        self.wait_until_dispatched("second")
        self.assertEqual({("a1", "eb"): 2}, self.sent)
        self.send("third", self.a1)
        self.wait_until_queued(POOL_B, 1)
        self.a1.end("eb")
        self.wait_until_dispatched("third")

    def test_failing_replicas_are_replaced_by_those_of_the_other_region(self) -> None:
        for gateway in self.gateways.values():
            gateway.table.get("ea").record_failure(3.0)
        self.send("r", self.a1)
        self.wait_until_dispatched("r")
        self.assertEqual({("a1", "eb"): 1}, self.sent)

    def test_queued_requests_move_when_the_replicas_of_their_region_are_lost(self) -> None:
        self.fill("a")
        self.queue_one()
        for gateway in self.gateways.values():
            gateway.table.get("ea").misdirected = True
        self.wait_until_dispatched("first")
        self.assertEqual(1, self.sent["a1", "eb"])

    def test_a_region_without_gateways_has_its_allocator_in_the_other_one(self) -> None:
        self.names = ["a1", "a2"]
        self.connections.unresponsive |= {"b1", "b2"}
        self.fill("a")
        self.queue_one()
        self.send("second", self.a1)
        self.wait_until_dispatched("second")
        self.assertEqual(1, self.sent["a1", "eb"])
        self.assertIn(self.allocator_of(POOL_B).name, self.names)

    def test_two_allocators_for_one_pool(self) -> None:
        """Both grant the same slots, until the views of the gateways agree again."""
        self.names = ["a1", "a2"]
        self.fill("a")
        self.queue_one()
        self.fill("b")
        self.send("second", self.a1)
        self.wait_until_dispatched("second")
        self.names = list(NAMES)
        self.wait_until_counts_agree()
        for name in ("b1", "b2"):
            self.gateways[name].end("eb")
        self.wait_until_dispatched("first")
        self.wait_until_counts_agree()
        self.assert_sent_once(6)


class OldGatewayTest(RegionCase):
    """One gateway of a build that names pools without a region."""

    old_builds = ("a2",)

    def test_both_builds_place_and_queue_requests(self) -> None:
        old = self.gateways["a2"]
        for index in range(3):
            self.send(f"new-{index}", self.a1)
            self.send(f"old-{index}", old)
        names = [f"{build}-{index}" for build in ("new", "old") for index in range(3)]
        self.wait_for(lambda: self.end_all() and set(names) <= set(self.results), "lost")
        self.assert_sent_once(6)

    def test_an_allocator_of_an_older_build_places_and_queues_requests(self) -> None:
        """It ignores the region, and so may choose a replica of the other one."""
        self.connections.unknown_fields_by_name["a2"] = ("region",)
        self.allocate_by_a2()
        self.a1.place_at_once()
        names = [f"r{index}" for index in range(4 * SLOTS)]
        for name in names:
            self.send(name, self.a1)
        self.wait_for(lambda: self.end_all() and set(names) <= set(self.results), "lost")
        self.assert_sent_once(1 + len(names))

    def test_an_allocator_that_knows_no_regions_for_a_moment(self) -> None:
        """It finds no replicas in the pool, so that the gateway places the requests itself."""
        self.allocate_by_a2()
        self.a1.place_at_once()
        self.send("r", self.a1)
        self.wait_until_dispatched("r")
        self.assertEqual({("a1", "ea"): 2}, self.sent)

    def allocate_by_a2(self) -> None:
        a2 = Member("a2", "a", "a", Endpoint("a2", 1), Endpoint("a2", 1))
        choice = AllocatorChoice(lambda: (a2,), regions=RegionMap("a", "a", ZONE_REGIONS))
        self.a1.reporter._allocator_choice = choice


class RegionFieldTest(RegionCase):
    """Messages of a gateway with regions, as an older build reads them."""

    def test_unknown_fields_are_ignored(self) -> None:
        """The older build has no field for the region."""

        class OldReport(msgspec.Struct, tag_field="kind", tag="OnlineInFlight"):
            gateway: str
            service: str

        sent: list[bytes] = []
        client = self.a1.reporter._client
        call = client.call

        def recording(endpoint, message, reply_type, timeout_s):
            sent.append(msgspec.json.encode(message))
            return call(endpoint, message, reply_type, timeout_s)

        client.call = recording
        self.a1.reporter._report_pool(POOL_B, {})
        self.assertIn(b'"region":"b"', sent[0])
        self.assertEqual(SERVICE, msgspec.json.decode(sent[0], type=OldReport).service)
