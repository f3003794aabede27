"""Grants of a slot allocator to cold replicas, and the gateways that may grant.

The clock is moved by hand; a gateway and its allocator call each other directly.
"""

from __future__ import annotations

import random
import unittest
from collections import Counter
from unittest import mock

import msgspec
from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.connection.slot_messages import (
    ClaimSlots,
    ColdGrant,
    ColdReport,
    ItemsAt,
    OnlineGrant,
    OnlineGrants,
    OnlineInFlight,
    OnlinePlaced,
    PlaceOnline,
    QueueTerms,
    SlotsGranted,
    WantedItems,
)
from quaymill.process.jobs.cold_grant_watch import TICK_INTERVAL_S, ColdGrantWatch
from quaymill.process.jobs.cold_grants import ColdGrants, ColdRules
from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.jobs.online_reporter import OnlineReporter
from quaymill.process.jobs.pool_queue import REFUSAL_FACTOR
from quaymill.process.jobs.slot_allocator import SlotAllocator
from quaymill.process.replica_set.cold_start import (
    GRANT_WINDOW_S,
    RANKED_FIRST_S,
    ColdRule,
)
from quaymill.process.replica_set.online_queue import OnlineQueue
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.router import Router
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.process.serving_settings import Bounds
from quaymill.request.replica_choice import NoReplica
from quaymill.version.request_routes import RequestRoutes, ServiceProperties

SERVICE = "engine"
RULE = ColdRule.from_rate(3.0, 12.0, 1.5, 5.0)
SLOTS = 40
COLD_S = 20.0


class NoLoads:
    """Engine loads that limit nothing."""

    def poll_only(self, replicas) -> None:
        """Do nothing."""

    def excess(self, replica) -> int:
        return 0

    def record_start(self, replica, tokens) -> None:
        """Do nothing."""

    def startable_items(self, replica, tokens) -> int:
        return replica.slots


def entry(name: str, cold_left_s: float = 0.0, zone: str = "z") -> ReplicaEntry:
    address = Endpoint("127.0.0.1", 1)
    return ReplicaEntry(name, SERVICE, address, zone, SLOTS, False, cold_left_s, 1)


def terms(ticket: str, left_s: float = 8.0) -> QueueTerms:
    return QueueTerms(ticket, "g#1", None, 0, 0.0, 0.3, left_s - 1.0, left_s, 0.3, 0.05)


def member(name: str, cores: float = 1.0) -> Member:
    return Member(name, "z", "r", Endpoint(name, 1), Endpoint(name, 1), cores=cores)


class GrantCase(unittest.TestCase):
    """An allocator that may grant, unless ``may_grant`` is changed."""

    def setUp(self) -> None:
        self.now = 1000.0
        patch = mock.patch.object(boot_clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.may_grant = True
        self.sent: list = []
        self.table = ReplicaTable(cold_rule_of=lambda service: RULE)
        self.cold_grants = ColdGrants(lambda pool: self.may_grant)
        self.allocator = SlotAllocator(
            self.table,
            NoLoads(),
            send_grant=self.sent.append,
            cold_grants=self.cold_grants,
        )

    def list_replicas(self, **cold_left_s: float) -> None:
        self.table.replace_all([entry(*one) for one in cold_left_s.items()], 1)

    def place(self, queue_terms: QueueTerms | None = None, **fields) -> OnlinePlaced:
        return self.allocator.place_online(
            PlaceOnline("g", "z", SERVICE, (), terms=queue_terms, **fields)
        )

    def claim(self, items: int = 100) -> SlotsGranted:
        wanted = (WantedItems(0.0, items, 10),)
        return self.allocator.claim(ClaimSlots("c#1", "z", SERVICE, (), wanted))


class OnlineGrantTest(GrantCase):
    """Placements and queue grants of online requests."""

    @params(None, "queued")
    def test_placements_stop_at_the_limit(self, queued) -> None:
        """Guards against placements, with or without a queue, that the window does not count."""
        self.list_replicas(x=COLD_S)
        placed = [self.place(queued and terms(f"t{number}")) for number in range(20)]
        granted = [one for one in placed if one.replica_id]
        self.assertEqual(RULE.max_grants, len(granted))
        self.assertTrue(all(one.cold is True for one in granted))
        self.assertEqual(bool(queued), placed[-1].queued)
        self.assertEqual(RULE.max_grants, self.cold_grants.granted)

    def test_idle_warm_replicas_come_first(self) -> None:
        self.list_replicas(x=COLD_S, y=0.0)
        in_flight = (ItemsAt("y", 1),)
        placed = self.allocator.place_online(PlaceOnline("g", "z", SERVICE, in_flight))
        self.assertEqual("y", placed.replica_id)

    def test_idle_warm_replicas_come_first_for_queued_requests(self) -> None:
        self.may_grant = False
        self.list_replicas(x=COLD_S)
        self.assertTrue(self.place(terms("t")).queued)
        self.may_grant = True
        self.table.replace_all([entry("x", COLD_S), entry("y")], 2)
        in_flight = (ItemsAt("y", 1),)
        self.allocator.record_online(OnlineInFlight("h", SERVICE, in_flight))
        self.assertEqual(["y"], [grant.replica.id for grant in self.sent])

    def test_warm_replica_gets_what_a_cold_one_has_no_room_for(self) -> None:
        self.list_replicas(x=COLD_S, y=0.0)
        for number in range(30):
            self.assertTrue(self.place(terms(f"t{number}")).replica_id)
        self.assertLessEqual(self.cold_grants.granted, RULE.max_grants)

    def test_failing_warm_replica_is_used_before_a_cold_one_beyond_the_limit(self) -> None:
        """Guards against a fallback to all replicas that ignores the limit."""
        self.list_replicas(x=COLD_S, y=0.0)
        self.table.get("y").record_failure(9.0)
        placed = Counter(self.place().replica_id for _ in range(30))
        self.assertEqual({"x": RULE.max_grants, "y": 30 - RULE.max_grants}, placed)

    def test_gateway_that_may_not_grant_uses_warm_replicas_only(self) -> None:
        self.may_grant = False
        self.list_replicas(x=COLD_S, y=0.0)
        placed = Counter(self.place(terms(f"t{number}")).replica_id for number in range(30))
        self.assertEqual({"y": 30}, placed)

    def test_request_that_waits_for_a_window_is_granted_when_it_has_room(self) -> None:
        """Guards against a request that waits for an unrelated message, or for ever."""
        self.list_replicas(x=COLD_S)
        for number in range(RULE.max_grants + 1):
            self.place(terms(f"t{number}"))
        self.allocator.grant_waiting({SERVICE})
        self.assertEqual([], self.sent)
        self.now += GRANT_WINDOW_S + 0.01
        self.allocator.grant_waiting({SERVICE})
        self.assertEqual([(f"t{RULE.max_grants}", True)], [(g.ticket, g.cold) for g in self.sent])

    def test_request_that_waits_is_granted_when_the_replica_is_warm(self) -> None:
        self.may_grant = False
        self.list_replicas(x=1.0)
        self.assertTrue(self.place(terms("t")).queued)
        self.now += 1.1
        self.allocator.grant_waiting({SERVICE})
        self.assertEqual([("t", False)], [(grant.ticket, grant.cold) for grant in self.sent])

    def test_declined_grant_counts(self) -> None:
        self.list_replicas(x=COLD_S)
        for number in range(RULE.max_grants + 3):
            self.place(terms(f"t{number}"))
        self.now += GRANT_WINDOW_S + 0.01
        self.allocator.grant_waiting({SERVICE})
        for grant in list(self.sent):
            self.allocator.grant_answered(grant, accepted=False)
        for number in range(RULE.max_grants):
            self.place(terms(f"u{number}"))
        in_window = self.cold_grants.granted - RULE.max_grants
        self.assertEqual(RULE.max_grants, in_window)

    def test_cold_replicas_count_as_what_they_sustain(self) -> None:
        """Guards against a queue that is far too long for replicas that have returned cold."""
        self.list_replicas(x=COLD_S)
        answers = []
        for number in range(120):
            self.now += 0.001
            answers.append(self.place(terms(f"t{number}", 4.0)))
        self.assertIsNone(answers[RULE.max_grants + 1].retry_after_s)
        self.assertIsNotNone(answers[-1].retry_after_s)

    def test_short_requests_count_with_what_one_allocator_grants(self) -> None:
        """Guards against a queue that counts on the declared rate, or on a whole slot."""
        self.list_replicas(x=COLD_S)
        queued = 0
        for number in range(200):
            self.now += 0.001
            short = msgspec.structs.replace(terms(f"t{number}", 4.0), service_s=0.05)
            queued += self.place(short).queued
        per_s = RULE.max_grants / GRANT_WINDOW_S
        self.assertAlmostEqual(REFUSAL_FACTOR * 4.0 * per_s, queued, delta=3)

    @params((1.5, True), (4.0, False))
    def test_request_that_no_grant_can_reach_in_time_is_refused(self, left_s, refused) -> None:
        """Guards against requests that wait in vain until their dispatch deadline."""
        self.may_grant = False
        self.list_replicas(x=COLD_S)
        answer = self.place(terms("t", left_s))
        self.assertEqual((refused, not refused), (answer.retry_after_s is not None, answer.queued))
        if refused:
            self.assertGreaterEqual(answer.retry_after_s, RANKED_FIRST_S)

    def test_warm_replicas_alone_count_while_no_grants_may_be_made(self) -> None:
        self.list_replicas(x=COLD_S, y=0.0)
        pool = EnginePool(SERVICE)
        replicas = pool.members(self.table)
        slots = [sum(self.cold_grants.usable_slots(pool, one, 0.3) for one in replicas)]
        self.may_grant = False
        slots.append(sum(self.cold_grants.usable_slots(pool, one, 0.3) for one in replicas))
        self.assertEqual([SLOTS + RULE.max_grants / GRANT_WINDOW_S * 0.3, SLOTS], slots)

    def test_replicas_are_cold_when_the_evacuation_of_their_zone_ends(self) -> None:
        self.list_replicas(x=0.0)
        self.now += 100.0
        self.table.mark_zone_cold("z")
        placed = [self.place().replica_id for _ in range(30)]
        self.assertEqual(RULE.max_grants, sum(bool(one) for one in placed))


class ChangeTest(GrantCase):
    """A replica that becomes cold or warm while the allocator decides."""

    def change_to(self, *, cold: bool) -> None:
        """Let replicas change their state after it has been read once."""
        self.list_replicas(x=0.0)
        reads = iter([not cold])
        patch = mock.patch.object(
            Replica, "cold", mock.PropertyMock(side_effect=lambda: next(reads, cold))
        )
        patch.start()
        self.addCleanup(patch.stop)

    def decide(self, how: str) -> bool:
        """Grant something to the only replica; return whether it is told as cold."""
        if how == "place":
            return self.place().cold is True
        if how == "place or queue":
            return self.place(terms("t")).cold is True
        if how == "items":
            return self.claim(items=1).cold == ("x",)
        pool = EnginePool(SERVICE)
        self.allocator.queues.join(
            pool, PlaceOnline("g", "z", SERVICE, (), terms=terms("t")), self.now
        )
        self.allocator.grant_waiting({SERVICE})
        return self.sent[0].cold

    @params("place", "place or queue", "items", "queue")
    def test_replica_that_becomes_cold_is_granted_as_warm(self, how) -> None:
        """Guards against a grant to a cold replica that the limit does not allow."""
        self.may_grant = False
        self.change_to(cold=True)
        self.assertEqual((False, 0), (self.decide(how), self.cold_grants.granted))

    @params("place", "place or queue", "items", "queue")
    def test_replica_that_becomes_warm_is_granted_as_cold(self, how) -> None:
        """Guards against a grant that is decided as one to a cold replica and told as another."""
        self.change_to(cold=False)
        self.assertEqual((True, 1), (self.decide(how), self.cold_grants.granted))


class ItemGrantTest(GrantCase):
    """Items of batch jobs at cold replicas."""

    def test_items_take_at_most_half_of_a_window(self) -> None:
        self.list_replicas(x=COLD_S, y=0.0)
        granted = self.claim()
        starts = {one.replica_id: one.items for one in granted.starts}
        self.assertEqual(RULE.max_grants // 2, starts["x"])
        self.assertEqual(("x",), granted.cold)
        self.assertTrue(self.place(excluded=("y",)).cold)

    def test_no_items_start_while_online_requests_wait(self) -> None:
        self.list_replicas(x=COLD_S)
        for number in range(RULE.max_grants + 1):
            self.place(terms(f"t{number}"))
        self.now += GRANT_WINDOW_S + 0.01
        self.assertEqual((), self.claim().starts)
        # The claim has granted the waiting request; nothing waits any more.
        self.assertEqual(RULE.max_grants // 2, sum(one.items for one in self.claim().starts))

    def test_gateway_that_may_not_grant_starts_no_items(self) -> None:
        self.may_grant = False
        self.list_replicas(x=COLD_S)
        self.assertEqual((), self.claim().starts)


class MessageTest(unittest.TestCase):
    """Messages in which no replica is cold are the same as without the feature."""

    @params(
        (SlotsGranted(), {"kind", "starts", "give_back", "paces"}),
        (OnlinePlaced("x", ()), {"kind", "replica_id", "loads", "line", "waits", "retry_after_s"}),
        (OnlineGrants.from_grants((OnlineGrant("t", "x"),)), {"kind", "turns"}),
    )
    def test_fields(self, message, names) -> None:
        self.assertEqual(names, set(msgspec.json.decode(msgspec.json.encode(message))))

    def test_rate_without_grants_counts_as_no_capacity_and_is_logged_once(self) -> None:
        """Guards against queues that count on replicas that get nothing."""
        properties = ServiceProperties(SERVICE, warm_up_s=3.0, cold_requests_per_s=0.5)
        routes = [RequestRoutes(1, services={SERVICE: properties})]
        rules = ColdRules(lambda: routes[-1], Bounds())
        with mock.patch("quaymill.process.jobs.cold_grants.log_message") as logged:
            for version in (2, 3):
                self.assertEqual(0.0, rules.of(SERVICE).sustainable_slots(SLOTS, 8.0))
                routes.append(RequestRoutes(version, services={SERVICE: properties}))
        self.assertEqual(["cold:rate_too_low"], [call.args[0] for call in logged.mock_calls])

    def test_grants_arrive_as_what_they_are(self) -> None:
        sent = OnlineGrants.from_grants((OnlineGrant("t", "x"), ColdGrant("u", "y")))
        received = msgspec.json.decode(msgspec.json.encode(sent), type=OnlineGrants)
        self.assertEqual([OnlineGrant, ColdGrant], [type(grant) for grant in received.all])

    def test_rules_follow_the_configuration(self) -> None:
        def routes(rate: float) -> RequestRoutes:
            properties = ServiceProperties(SERVICE, warm_up_s=3.0, cold_requests_per_s=rate)
            return RequestRoutes(1, services={SERVICE: properties})

        current = routes(0.0)
        rules = ColdRules(lambda: current, Bounds(cold_rate_factor=1.5, cold_rate_slack=5.0))
        self.assertIsNone(rules.of(SERVICE))
        self.assertEqual(frozenset(), current.allocated_services)
        current = routes(12.0)
        self.assertEqual(RULE, rules.of(SERVICE))
        self.assertEqual({SERVICE}, current.allocated_services)


class GatewayTest(GrantCase):
    """A gateway whose requests are placed by its own allocator."""

    def setUp(self) -> None:
        super().setUp()
        self.paused = False
        self.queue = OnlineQueue(self.table)
        self.reporter = OnlineReporter(
            "g",
            "z",
            self.table,
            self.allocator,
            mock.Mock(),
            lambda: (member("g"),),
            lambda: {SERVICE},
            dispatch_granted=lambda ticket, replica_id: not self.table.get(replica_id).lacks_permit,
            paused_recently=lambda: self.paused,
        )
        self.router = Router(self.table, "z", "seed", self.reporter.place)

    def test_request_without_a_grant_is_refused_where_only_cold_replicas_are_left(self) -> None:
        self.may_grant = False
        self.list_replicas(x=COLD_S)
        self.assertIsInstance(self.router.choose(SERVICE), NoReplica)

    def use_rate_without_grants(self) -> None:
        rule = ColdRule.from_rate(3.0, 0.5, 1.0, 0.0)
        self.assertEqual(0, rule.max_grants)
        self.table._cold_rule_of = lambda service: rule

    def test_request_is_refused_at_once_where_the_rate_allows_no_grant(self) -> None:
        """Guards against requests that wait for grants that are never made."""
        self.use_rate_without_grants()
        self.list_replicas(x=COLD_S, y=COLD_S + 1.0)
        self.assertFalse(self.queue._needs_grant(SERVICE))
        refusal = self.router.choose(SERVICE)
        self.assertIsInstance(refusal, NoReplica)
        self.assertAlmostEqual(COLD_S, refusal.retry_after_s)

    def test_failing_warm_replica_is_used_where_the_rate_allows_no_grant(self) -> None:
        self.use_rate_without_grants()
        self.list_replicas(x=COLD_S, y=0.0)
        self.table.get("y").record_failure(9.0)
        self.assertEqual("y", self.router.choose(SERVICE).id)

    def test_request_without_a_grant_goes_to_a_warm_replica(self) -> None:
        """Guards against a local choice among cold replicas, whatever their load."""
        self.may_grant = False
        self.list_replicas(x=COLD_S, y=0.0)
        for _ in range(10):
            self.table.get("y").begin()
        self.table.get("y").record_failure(9.0)
        self.assertEqual("y", self.router.choose(SERVICE).id)

    def test_granted_request_may_be_sent_once(self) -> None:
        self.list_replicas(x=COLD_S)
        replica = self.router.choose(SERVICE)
        self.assertEqual([True, False], [replica.take_permit(), replica.take_permit()])

    def test_grant_of_an_allocator_that_takes_the_replica_as_warm_is_declined(self) -> None:
        """Guards against requests that no window counts, as views of a replica differ."""
        self.list_replicas(x=COLD_S)
        placed = OnlinePlaced("x", ())
        with mock.patch.object(self.allocator, "place_online", return_value=placed):
            self.assertIsInstance(self.router.choose(SERVICE), NoReplica)
        self.assertEqual((), self.reporter.accept_grants([OnlineGrant("t", "x")]))
        self.assertEqual(("t",), self.reporter.accept_grants([ColdGrant("t", "x")]))

    def test_allocator_learns_what_a_replica_states_in_an_answer(self) -> None:
        """Guards against placements at a replica that is cold again until the store is read."""
        self.list_replicas(x=0.0, y=0.0)
        own_table = ReplicaTable(cold_rule_of=lambda service: RULE)
        own_table.replace_all([entry("x"), entry("y")], 1)
        self.reporter._table = own_table
        replica = own_table.get("x")
        for left_s in (2.0, 1.9, 1.8):
            replica.record_cold_left(left_s)
        self.now += 0.3
        received = self.call_elsewhere()
        self.reporter.began(replica)
        for _ in range(2):
            self.reporter._report(self.reporter._take_due() or {"x": 1})
        self.assertEqual([1, 0], [len(message.cold_reports) for message in received])
        self.assertAlmostEqual(1.7, self.table.get("x").cold_until - self.now)

    def call_elsewhere(self) -> list[OnlineInFlight]:
        """Let the allocator be in another process; return the list of messages that it gets."""
        received: list[OnlineInFlight] = []

        def call(peer, message, reply_type, timeout_s):
            received.append(message)
            return self.allocator.record_online(message)

        self.reporter._client.call = call
        self.reporter._is_local = lambda allocator: False
        return received

    def test_nothing_is_reported_to_the_own_allocator(self) -> None:
        """Guards against an old statement that replaces a newer one in the same table."""
        self.list_replicas(x=0.0)
        replica = self.table.get("x")
        replica.record_cold_left(2.0)
        with mock.patch.object(self.allocator, "record_online", wraps=self.allocator.record_online):
            self.reporter.began(replica)
            self.reporter._report({"x": 1})
            (call,) = self.allocator.record_online.call_args_list
        self.assertEqual((), call.args[0].cold_reports)

    @params((2.0, 1.1), (0.4, 0.5), (0.0, 1.1))
    def test_old_and_expired_statements_are_not_reported(self, left_s, age_s) -> None:
        """Guards against an expired statement that says "warm" to the allocator."""
        self.list_replicas(x=5.0)
        replica = self.table.get("x")
        replica.record_cold_left(left_s)
        self.now += age_s
        self.assertIsNone(replica.take_cold_report())

    def test_report_that_is_older_than_an_entry_or_of_another_run_changes_nothing(self) -> None:
        """Guards against a report of "warm" that replaces a newer entry that says "cold"."""
        self.list_replicas(x=0.0)
        self.table.get("x").record_cold_left(0.0)
        self.now += 0.5
        self.table.replace_all([entry("x", 5.0)], 2)
        for report in (ColdReport("x", 0.0, 0.7, 1), ColdReport("x", 0.0, 0.0, 2)):
            self.allocator.record_online(OnlineInFlight("h", SERVICE, (), cold_reports=(report,)))
            self.assertAlmostEqual(5.0, self.table.get("x").cold_until - self.now)
        report = ColdReport("x", 0.0, 0.0, 1)
        self.allocator.record_online(OnlineInFlight("h", SERVICE, (), cold_reports=(report,)))
        self.assertFalse(self.table.get("x").cold)

    def test_nothing_is_reported_of_a_service_without_a_rate(self) -> None:
        replica = ReplicaTable()._create_replica(entry("x"))
        replica.record_cold_left(2.0)
        self.assertIsNone(replica.take_cold_report())

    def test_grants_that_waited_for_a_paused_process_are_declined(self) -> None:
        """Guards against grants of several windows that a process uses at once as it resumes."""
        self.list_replicas(x=COLD_S, y=0.0)
        self.paused = True
        self.assertEqual((), self.reporter.accept_grants([ColdGrant("t", "x")]))
        self.assertEqual(("u",), self.reporter.accept_grants([OnlineGrant("u", "y")]))

    @params(({"x": COLD_S}, False), ({"x": COLD_S, "y": 0.0}, True), ({}, True))
    def test_local_dispatch_waits_if_only_cold_replicas_are_left(self, replicas, expected) -> None:
        self.list_replicas(**replicas)
        self.assertEqual(expected, not self.queue._needs_grant(SERVICE))


class WatchTest(unittest.TestCase):
    """Which gateways grant, by their views of the others."""

    def setUp(self) -> None:
        self.now = 1000.0
        patch = mock.patch.object(boot_clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.members = [member(f"g{number}", 1.0 + number % 3) for number in range(66)]
        self.table = ReplicaTable()
        self.table.replace_all([entry("x")], 1)

    def watch(self, own: Member, view, known=None) -> ColdGrantWatch:
        return ColdGrantWatch(
            own.name,
            self.table,
            lambda: {SERVICE},
            view,
            known or view,
            tuple,
            lambda services: None,
            may_be_alone=False,
        )

    def granting(self, watches) -> int:
        """Let all gateways check; return how many may grant."""
        self.now += TICK_INTERVAL_S
        for watch in watches:
            watch.check()
        return sum(bool(watch._granting) for watch in watches)

    @params(1, 2, 3)
    def test_gateways_that_restart_with_different_views(self, seed) -> None:
        """Guards against gateways that grant side by side until their views converge."""
        rng = random.Random(seed)
        started = self.now
        learnt_s = {one.name: [rng.uniform(0.0, 1.6) for _ in self.members] for one in self.members}

        def view_of(own: Member):
            known_from = list(zip(self.members, learnt_s[own.name], strict=True))
            return lambda: tuple(
                one for one, at in known_from if one is own or self.now - started >= at
            )

        watches = [self.watch(one, view_of(one)) for one in self.members]
        counts = [self.granting(watches) for _ in range(30)]
        self.assertLessEqual(max(counts), 2)
        self.assertEqual(1, counts[-1])

    def test_three_groups_of_a_partition(self) -> None:
        """Guards against grants of three allocators, which may exceed the bound."""
        watches = []
        for first in range(3):
            group = tuple(self.members[first::3])
            watches += [self.watch(one, lambda g=group: g, lambda: self.members) for one in group]
        self.assertLessEqual(max(self.granting(watches) for _ in range(20)), 2)

    def test_two_halves_of_a_partition_both_grant(self) -> None:
        watches = []
        for first in range(2):
            group = tuple(self.members[first::2])
            watches += [self.watch(one, lambda g=group: g, lambda: self.members) for one in group]
        counts = [self.granting(watches) for _ in range(20)]
        self.assertEqual(2, counts[-1])

    def test_successor_of_a_killed_allocator_waits(self) -> None:
        live = list(self.members)
        watches = {one.name: self.watch(one, lambda: tuple(live)) for one in self.members}
        for _ in range(15):
            self.granting(watches.values())
        allocator = next(name for name, watch in watches.items() if watch._granting)
        del watches[allocator]
        live[:] = [one for one in live if one.name != allocator]
        killed_at = self.now
        while not self.granting(watches.values()):
            self.assertLess(self.now - killed_at, 3 * RANKED_FIRST_S)
        self.assertGreaterEqual(self.now - killed_at, RANKED_FIRST_S)

    def test_nothing_is_checked_where_no_service_declares_a_rate(self) -> None:
        watch = self.watch(self.members[0], mock.Mock(side_effect=AssertionError))
        watch._services = lambda: ()
        watch.check()
