"""Silent replicas are detected, and gateways warn each other of failing replicas.

Guards against a replica that answers nothing and attracts requests of every gateway.
"""

from __future__ import annotations

import unittest
from unittest import mock

from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.replica_entry import ReplicaEntry, ReportedLoad
from quaymill.connection.replica_warnings import WarnOfReplicas
from quaymill.process.replica_set.replica import (
    EJECTION_PENALTY,
    QUEUED_SILENCE_S,
    WARNING_LIFETIME_S,
)
from quaymill.process.replica_set.router import Router
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.process.replica_set.warnings import REPEAT_AFTER_S, ReplicaWarnings

SERVICE = "engine"
REPLICA_ZONE = "x"


class WarningsCase(unittest.TestCase):
    """Eight replicas and a clock that the test sets."""

    def setUp(self) -> None:
        self.now = 1000.0
        patch = mock.patch.object(boot_clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.table = ReplicaTable()
        entries = [
            ReplicaEntry(f"r{index}", SERVICE, Endpoint("127.0.0.1", index + 1), REPLICA_ZONE, 8)
            for index in range(8)
        ]
        self.table.replace_all(entries, 1)
        self.first = self.table.get("r0")


class SilenceTest(WarningsCase):
    """When a replica with 8 slots that sends nothing counts as silent."""

    def full(self) -> None:
        self.first.record_pool_view(online_elsewhere=3, batch=4)

    def some_free(self) -> None:
        self.first.record_pool_view(online_elsewhere=3, batch=3)

    def reported_full(self) -> None:
        self.first.record_report(ReportedLoad(running=8, waiting=0, slots=8))

    def unknown(self) -> None:
        pass

    @params(
        ("a stream has begun", "full", True, 0.55, True),
        ("for a moment", "full", True, 0.45, False),
        ("waits for a slot", "full", False, 0.55, False),
        ("waits though one is free", "some_free", False, 0.55, True),
        ("waits, by the report of the replica", "reported_full", False, 0.55, False),
        ("the used slots are unknown", "unknown", False, 0.55, True),
        ("waits for very long", "full", False, QUEUED_SILENCE_S + 0.1, True),
    )
    def test_silent_after(self, _, slots, answer_begun, quiet_s, silent) -> None:
        self.first.begin()
        if answer_begun:
            self.first.begin_answer()
            self.first.begin()
        self.now += quiet_s
        getattr(self, slots)()
        self.assertEqual(silent, self.first.silent)

    def test_replica_is_not_silent_after_its_only_answer_ended(self) -> None:
        self.first.begin()
        self.first.begin_answer()
        self.first.begin()
        self.first.end_answer()
        self.first.end()
        self.now += 0.55
        self.full()
        self.assertFalse(self.first.silent)


class ReceivedWarningsTest(WarningsCase):
    """Effect of warnings received from other gateways."""

    @params(
        ("one gateway alone", [("a", REPLICA_ZONE)], False),
        ("one gateway twice", [("a", REPLICA_ZONE), ("a", REPLICA_ZONE)], False),
        ("two of the replica's zone", [("a", REPLICA_ZONE), ("b", REPLICA_ZONE)], True),
        ("two of two zones", [("a", "y"), ("b", "z")], True),
        ("two of one other zone, whose link may be cut", [("a", "y"), ("b", "y")], False),
    )
    def test_avoided_after(self, _, warnings, avoided) -> None:
        for gateway, zone in warnings:
            self.first.record_warning(gateway, zone)
        self.assertEqual(avoided, self.first.avoided)

    def test_warned_replica_gets_no_request_of_a_gateway_without_failures(
        self,
    ) -> None:
        router = Router(self.table, REPLICA_ZONE, "seed")
        for replica in self.table.replicas()[1:]:
            replica.begin()
        self.assertEqual("r0", router.choose(SERVICE).id)
        self.first.record_warning("a", REPLICA_ZONE)
        self.first.record_warning("b", REPLICA_ZONE)
        self.assertNotEqual("r0", router.choose(SERVICE).id)

    def test_expired_warnings_leave_a_penalty(self) -> None:
        self.first.record_warning("a", REPLICA_ZONE)
        self.first.record_warning("b", REPLICA_ZONE)
        self.now += WARNING_LIFETIME_S
        self.assertFalse(self.first.avoided)
        self.assertGreater(self.first.penalty, 0.0)

    def test_received_warnings_are_not_forwarded(self) -> None:
        self.first.record_warning("a", REPLICA_ZONE)
        self.first.record_warning("b", REPLICA_ZONE)
        self.assertFalse(self.first.fails_here)


class SentWarningsTest(WarningsCase):
    """When a gateway warns others."""

    def setUp(self) -> None:
        super().setUp()
        endpoint = Endpoint("127.0.0.1", 1)
        others = (Member("b", REPLICA_ZONE, "r", endpoint, endpoint),)
        self.client = mock.Mock()
        self.warnings = ReplicaWarnings(
            "a", REPLICA_ZONE, self.table, self.client, mock.Mock(), lambda: others
        )

    def fail(self, *replica_ids: str) -> None:
        for replica_id in replica_ids:
            self.table.get(replica_id).record_failure(EJECTION_PENALTY)

    def test_warning_is_repeated_after_an_interval(self) -> None:
        self.fail("r0")
        self.assertEqual(("r0",), self.warnings._replicas_to_warn_of())
        self.assertEqual((), self.warnings._replicas_to_warn_of())
        self.now += REPEAT_AFTER_S / 2
        self.fail("r0")
        self.assertEqual((), self.warnings._replicas_to_warn_of())
        self.now += REPEAT_AFTER_S / 2
        self.assertEqual(("r0",), self.warnings._replicas_to_warn_of())

    def test_silent_replica_is_warned_of(self) -> None:
        self.first.begin()
        self.now += 0.6
        self.assertEqual(("r0",), self.warnings._replicas_to_warn_of())

    def test_gateway_with_many_failing_replicas_does_not_warn(self) -> None:
        self.fail("r0", "r1", "r2")
        self.assertEqual((), self.warnings._replicas_to_warn_of())

    def test_warning_reaches_the_other_gateway(self) -> None:
        self.warnings._warn(("r0",))
        (_, message, *_), _ = self.client.call.call_args
        self.assertEqual(WarnOfReplicas("a", REPLICA_ZONE, ("r0",)), message)
        other = ReplicaWarnings("b", REPLICA_ZONE, self.table, mock.Mock(), mock.Mock(), lambda: ())
        other.receive_warnings(message)
        other.receive_warnings(WarnOfReplicas("c", REPLICA_ZONE, ("r0", "unknown")))
        self.assertTrue(self.first.avoided)
