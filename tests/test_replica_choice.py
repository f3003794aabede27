"""Which replica is chosen, by load, zone, prompt, failures and silence.

Guards against requests to replicas that are busy, leaving, failing or unreachable.
"""

from __future__ import annotations

import math
import time
import unittest
from unittest import mock

from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.replica_entry import ReplicaEntry, ReportedLoad
from quaymill.process.replica_set.router import Router
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.prompt import NO_PROMPT, Prompt, PromptPart
from quaymill.request.replica_choice import NoReplica
from quaymill.version.request_routes import RequestRoute, RouteKind, WeightedService

SERVICE = "engine"


def entry(name: str, zone: str = "here", draining: bool = False) -> ReplicaEntry:
    return ReplicaEntry(name, SERVICE, Endpoint("127.0.0.1", 1), zone, 8, draining)


class ChoiceCase(unittest.TestCase):
    """A router and its table of replicas."""

    def setUp(self) -> None:
        self.lost_zones: set[str] = set()
        self.table = ReplicaTable(is_unreachable=self.lost_zones.__contains__)
        self.router = Router(self.table, "here", "seed")

    def set_entries(self, *entries: ReplicaEntry) -> None:
        self.table.replace_all(entries, self.table.revision + 1)

    def choices(self, count: int = 20, prompt: Prompt = NO_PROMPT, excluded=()) -> set[str]:
        return {self.router.choose(SERVICE, prompt, excluded).id for _ in range(count)}


class RouterTest(ChoiceCase):
    """Choice among the replicas of one service."""

    def test_less_loaded_replica_is_chosen(self) -> None:
        self.set_entries(entry("a"), entry("b"))
        self.table.get("a").record_report(ReportedLoad(5, 2, 8))
        self.assertEqual({"b"}, self.choices())

    def test_local_requests_count_at_once(self) -> None:
        self.set_entries(entry("a"), entry("b"))
        self.table.get("a").begin()
        self.assertEqual({"b"}, self.choices())

    def test_local_zone_is_preferred_unless_it_is_busier(self) -> None:
        self.set_entries(entry("near"), entry("far", zone="there"))
        self.assertEqual({"near"}, self.choices())
        for _ in range(3):
            self.table.get("near").begin()
        self.assertEqual({"far"}, self.choices())

    def test_large_shared_prompt_part_goes_to_one_replica(self) -> None:
        names = [f"r{number}" for number in range(6)]
        self.set_entries(*map(entry, names))
        prompt = Prompt((PromptPart("shared", 12_000), PromptPart("own", 500)))
        chosen = self.choices(prompt=prompt)
        self.assertEqual(1, len(chosen))
        replica = self.table.get(chosen.pop())
        for _ in range(20):
            replica.begin()
        self.assertNotIn(replica.id, self.choices(prompt=prompt))

    @params("draining", "departed", "misdirected", "ejected", "silent", "unreachable")
    def test_avoided_replica_is_not_chosen(self, state) -> None:
        self.set_entries(entry("bad"), entry("good"))
        bad = self.table.get("bad")
        if state == "unreachable":
            self.set_entries(entry("bad", zone="there"), entry("good"))
            self.lost_zones.add("there")
            for _ in range(5):
                self.table.get("good").begin()
            self.table.get("good").record_received()
        elif state == "draining":
            self.set_entries(entry("bad", draining=True), entry("good"))
        elif state == "departed":
            self.set_entries(entry("good"))
        elif state == "misdirected":
            bad.misdirected = True
        elif state == "ejected":
            bad.record_failure(2.0)
        else:
            bad.begin()
            bad._quiet_since = time.monotonic() - 5.0
            # By load alone, the silent replica would be chosen.
            for _ in range(5):
                self.table.get("good").begin()
            self.table.get("good").record_received()
        self.assertEqual({"good"}, self.choices())

    def test_answers_of_other_requests_end_the_silence(self) -> None:
        self.set_entries(entry("a"))
        replica = self.table.get("a")
        replica.begin()
        replica._quiet_since = time.monotonic() - 5.0
        self.assertTrue(replica.silent)
        replica.record_received()
        self.assertFalse(replica.silent)

    def test_closed_connection_is_not_received_data(self) -> None:
        self.set_entries(entry("a"))
        replica = self.table.get("a")
        replica.begin()
        replica.begin_answer()
        self.assertEqual(-math.inf, replica.last_received_at)
        replica.record_received()
        self.assertGreater(replica.last_received_at, 0.0)

    def test_failing_replicas_are_used_if_there_are_no_others(self) -> None:
        self.set_entries(entry("a"), entry("b"))
        for name in ("a", "b"):
            self.table.get(name).record_failure(3.0)
        self.assertLessEqual(self.choices(60), {"a", "b"})

    def test_unreachable_replicas_are_used_if_there_are_no_others(self) -> None:
        self.set_entries(entry("a", zone="there"), entry("b", zone="there"))
        self.lost_zones.add("there")
        self.assertEqual({"a", "b"}, self.choices(60))
        self.assertFalse(self.router.may_reach_another(SERVICE, ()))

    def test_failing_replica_is_preferred_to_an_unreachable_one(self) -> None:
        self.set_entries(entry("fails"), entry("lost", zone="there"))
        self.lost_zones.add("there")
        self.table.get("fails").record_failure(3.0)
        self.assertEqual({"fails"}, self.choices())
        self.assertTrue(self.router.may_reach_another(SERVICE, {"lost"}))
        self.assertFalse(self.router.may_reach_another(SERVICE, {"fails"}))

    def test_failure_in_an_unreachable_zone_is_ignored(self) -> None:
        self.set_entries(entry("a", zone="there"))
        self.lost_zones.add("there")
        self.table.get("a").record_failure(3.0)
        self.lost_zones.clear()
        self.assertFalse(self.table.get("a").avoided)

    def test_leaving_replicas_are_not_chosen(self) -> None:
        self.set_entries(entry("a", draining=True))
        self.assertIsInstance(self.router.choose(SERVICE), NoReplica)

    def test_recently_expired_entry_is_a_last_resort(self) -> None:
        self.set_entries(entry("a"))
        self.set_entries()
        self.assertEqual({"a"}, self.choices())
        self.table.get("a").departed_at -= 5.0
        self.assertIsInstance(self.router.choose(SERVICE), NoReplica)

    def test_old_reports_decay(self) -> None:
        self.set_entries(entry("a"))
        replica = self.table.get("a")
        replica.record_report(ReportedLoad(8, 8, 8))
        at = time.monotonic()
        with mock.patch.object(boot_clock, "now", lambda: at + 10.0):
            self.assertLess(replica.load(), 0.1)


class WeightsTest(ChoiceCase):
    """Choice of the service of a route with several weighted services."""

    def route(self, **weights: float) -> RequestRoute:
        parts = tuple(WeightedService(name, weight) for name, weight in weights.items())
        return RequestRoute("r", "h", "/", RouteKind.IDEMPOTENT, parts, 1.0, 1.0)

    def shares(self, route: RequestRoute, count: int = 200) -> dict[str, int]:
        chosen = [self.router.choose_service(route) for _ in range(count)]
        return {name: chosen.count(name) for name in set(chosen)}

    def test_shares_follow_the_weights(self) -> None:
        self.assertEqual({"a": 180, "b": 20}, self.shares(self.route(a=90, b=10)))

    def test_changed_weights_apply_at_once(self) -> None:
        self.shares(self.route(a=90, b=10))
        self.assertEqual({"a": 100, "b": 100}, self.shares(self.route(a=50, b=50)))

    def test_weight_of_zero_gets_no_requests(self) -> None:
        self.assertEqual({"b": 50}, self.shares(self.route(a=0, b=1), 50))
