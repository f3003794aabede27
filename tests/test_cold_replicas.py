"""The warm-up of replicas as gateways know it, and what they send to cold replicas."""

from __future__ import annotations

import unittest
from unittest import mock

import msgspec
from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.control_messages import ReplicaRecord
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.object_store import Listing, StoredObject
from quaymill.connection.replica_answer import AnswerHead
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.process.control.entries import EntryReader
from quaymill.process.control.state import _entry, _record
from quaymill.process.jobs import item_run
from quaymill.process.replica_set.cold_start import PERMIT_LIFETIME_S, ColdRule
from quaymill.process.replica_set.online_queue import OnlineQueue
from quaymill.process.replica_set.router import Router
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.deadline import Deadline
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.forwarding import Forwarder, _Forwarding
from quaymill.request.forwarding_result import GivenUp
from quaymill.request.outcome import NotRun
from quaymill.request.presence import CallerPresence
from quaymill.version.request_routes import RequestRoute, RouteKind, WeightedService

SERVICE = "engine"
RULE = ColdRule.from_rate(3.0, 12.0, 1.5, 5.0)

ROUTE = RequestRoute(
    "online", "h", "/", RouteKind.STREAMING, (WeightedService(SERVICE, 1.0),), 8.0, 0.4
)


def entry(name: str, cold_left_s: float | None = 0.0, started_ms: int = 1, **fields):
    return ReplicaEntry(
        name, SERVICE, Endpoint("127.0.0.1", 1), fields.get("zone", "z"), 4, False, cold_left_s,
        started_ms,
    )  # fmt: skip


class Clock(unittest.TestCase):
    """Test case with a clock that is moved by hand."""

    def setUp(self) -> None:
        self.now = 1000.0
        patch = mock.patch.object(boot_clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)


class Connections:
    """Connections on which every request fails before it is sent; lists the calls."""

    def __init__(self) -> None:
        self.called: list[str] = []

    def send(self, endpoint: Endpoint, request: object, **options: object) -> NotRun:
        self.called.append(endpoint.host)
        return NotRun(503, "no connection", "")


class ForwardingTest(unittest.TestCase):
    """Requests for which no grant is left right before they are sent."""

    def setUp(self) -> None:
        self.table = ReplicaTable(cold_rule_of=lambda service: RULE)
        self.table.replace_all([entry("x", 60.0)], 1)
        self.replica = self.table.get("x")
        self.connections = Connections()
        self.queue = mock.Mock()

    def forward(self) -> object:
        forwarder = Forwarder(
            Router(self.table, "z", "seed"),
            self.connections,
            GATEWAY_PROTOCOL.replicas,
            mock.Mock(),
            self.queue,
        )
        request = ForwardedRequest("r", "POST", "/x", (), b"", Deadline.after(20.0))
        return forwarder.forward(request, ROUTE, mock.Mock(started=False), CallerPresence())

    def waits(self, *answers: str) -> None:
        """Let waits for a slot end: with a fresh grant, a used one or none."""
        left = list(answers)

        def wait_for_slot(*_: object) -> object:
            answer = left.pop(0)
            if answer == "fresh":
                self.replica.add_cold_permits(1, boot_clock.now())
            return None if answer == "none" else self.replica

        self.queue.wait_for_slot.side_effect = wait_for_slot
        self.queue.may_wait.side_effect = lambda *_: bool(left)

    @params("used", "none")
    def test_request_without_a_grant_waits_for_the_next_one(self, first) -> None:
        """Guards against a refusal although time is left, and the replica gets a grant soon."""
        self.waits(first, first, "fresh")
        self.forward()
        self.assertEqual(1, len(self.connections.called))
        self.assertEqual(3, self.queue.wait_for_slot.call_count)

    @params("used", "none")
    def test_request_without_a_grant_is_refused_at_its_dispatch_deadline(self, answer) -> None:
        """Guards against a request that waits for ever."""
        self.waits(answer, answer)
        self.assertIsInstance(self.forward(), GivenUp)
        self.assertEqual([], self.connections.called)
        self.assertEqual(2, self.queue.wait_for_slot.call_count)

    @params(
        ("this replica", AnswerHead(500, "", (), "r", cold_left_s=5.0), True),
        ("refused", AnswerHead(503, "", (), "", not_executed=True, cold_left_s=5.0), True),
        ("421", AnswerHead(421, "", (), "", True, misdirected=True, cold_left_s=5.0), False),
        ("another request", AnswerHead(500, "", (), "other", cold_left_s=5.0), False),
    )
    def test_answer_of_another_replica_says_nothing_of_the_warm_up(self, _, head, counts) -> None:
        """Guards against a warm-up time that another process states at the replica's address."""
        request = ForwardedRequest("r", "POST", "/x", (), b"", Deadline.after(20.0))
        exchange = mock.Mock(**{"read_head.return_value": None})
        for number, run in enumerate(("request", "item"), 2):
            self.table.replace_all([entry("x", 0.0, started_ms=number)], number)
            replica = self.table.get("x")
            if run == "item":
                protocol = mock.Mock(**{"read_answer_head.return_value": head})
                item_run._read_answer(mock.Mock(), request, replica, exchange, protocol)
            else:
                forwarder = Forwarder(mock.Mock(), mock.Mock(), mock.Mock())
                answer = mock.Mock(started=False)
                forwarding = _Forwarding(
                    forwarder, request, ROUTE, answer, CallerPresence(), lambda: None
                )
                forwarding._relay = mock.Mock()
                forwarding._handle_answer(exchange, replica, head, boot_clock.now())
            self.assertEqual(counts, replica.cold, run)

    @params((0.1, False), (30.0, True))
    def test_dispatch_deadline_of_the_queue(self, left_s, expected) -> None:
        queue = OnlineQueue(self.table)
        queue.record(SERVICE, 1.0, 0.1)
        request = ForwardedRequest("r", "POST", "/x", (), b"", Deadline.after(left_s))
        self.assertEqual(expected, queue.may_wait(SERVICE, request))


class WarmUpTest(Clock):
    """The table of replicas of a service that declares a cold rate."""

    def setUp(self) -> None:
        super().setUp()
        self.table = ReplicaTable(cold_rule_of=lambda service: RULE)
        self.table.replace_all([entry("a")], 1)

    def cold_left_s(self) -> float:
        return max(0.0, self.table.get("a").cold_until - self.now)

    def test_replica_of_another_service_is_never_cold(self) -> None:
        """Guards against effects on services that declare no cold rate."""
        table = ReplicaTable()
        table.replace_all([entry("a", 3.0), entry("b", None)], 1)
        self.assertEqual([False, False], [one.cold for one in table.replicas()])
        self.now += 1.0
        table.replace_all([entry("a", 2.0), entry("b", 9.0)], 2)
        self.assertEqual(1, table.revision)
        self.assertEqual([3.0, None], [one.cold_left_s for one in table.shared_entries()])

    @params(
        ("cold again", 2.0, 0.0, 2.0, True),
        ("still warm", 0.0, 0.0, 0.0, False),
        ("unknown", None, 0.0, 0.0, False),
    )
    def test_warm_up_of_a_listed_replica(self, _, left_s, age_s, expected_s, changed) -> None:
        """Guards against peers that never pull that a replica has become cold."""
        self.now += 100.0
        self.table.replace_all([entry("a", left_s)], 2)
        self.now += age_s
        self.assertAlmostEqual(expected_s, self.cold_left_s())
        self.assertEqual(2 if changed else 1, self.table.revision)

    def test_passing_time_is_no_change_of_the_list(self) -> None:
        """Guards against lists that all gateways pull at every read of the store."""
        self.table.replace_all([entry("a", 3.0)], 2)
        for number in range(3):
            self.now += 0.9
            self.table.replace_all([entry("a", 3.0 - 0.9 * (number + 1))], 3 + number)
        self.assertEqual(2, self.table.revision)
        self.assertAlmostEqual(0.3, self.cold_left_s())

    def test_unchanged_entry_that_is_read_again_does_not_extend_the_warm_up(self) -> None:
        self.table.replace_all([entry("a", 3.0)], 2)
        for number in range(4):
            self.now += 0.9
            self.table.replace_all([entry("a", 3.0)], 3 + number)
        self.assertFalse(self.table.get("a").cold)

    def test_restarted_replica_is_judged_by_its_new_entry(self) -> None:
        self.now += 100.0
        self.table.replace_all([entry("a", 3.0, started_ms=2)], 2)
        self.assertAlmostEqual(3.0, self.cold_left_s())

    @params((None, 3.0), (1.0, 1.0), (0.0, 0.0))
    def test_replica_that_is_listed_again_is_judged_by_its_entry(self, left_s, expected_s) -> None:
        self.now += 100.0
        self.table.replace_all([entry("b")], 2)
        self.now += 10.0
        self.table.replace_all([entry("a", left_s), entry("b")], 3)
        self.assertAlmostEqual(expected_s, self.cold_left_s())

    @params((None, 0), (RULE, 2))
    def test_invalid_times_are_logged_where_a_rate_is_declared(self, rule, expected) -> None:
        """Guards against log lines on values that nothing uses."""
        table = ReplicaTable(cold_rule_of=lambda service: rule)
        reader = EntryReader(lambda stored: stored.spec, table.listed_entry, table.has_cold_rule)
        table.replace_all([entry("a")], 1)
        invalid = float("nan")
        with (
            mock.patch("quaymill.process.replica_set.replica.log_message") as from_answer,
            mock.patch("quaymill.process.control.entries.log_message") as from_entry,
        ):
            table.get("a").record_cold_left(invalid)
            reader.read(Listing((StoredObject("a", 1, entry("a", invalid)),), 1), self.now)
        logged = [*from_answer.mock_calls, *from_entry.mock_calls]
        invalid_events = [one for one in logged if one.args[0] == "control:warm_up_invalid"]
        self.assertEqual(expected, len(invalid_events))

    def test_answers_state_the_warm_up(self) -> None:
        replica = self.table.get("a")
        replica.record_cold_left(2.0)
        self.assertTrue(replica.cold)
        replica.record_cold_left(float("nan"))
        self.assertAlmostEqual(2.0, self.cold_left_s())
        replica.record_cold_left(0.0)
        self.assertFalse(replica.cold)

    def test_peers_get_the_remaining_time(self) -> None:
        """Guards against a gateway that starts the warm-up again when it pulls the list."""
        self.table.replace_all([entry("a", 3.0)], 2)
        self.now += 2.0
        other = ReplicaTable(cold_rule_of=lambda service: RULE)
        other.replace_from_peer(self.table.shared_entries(), 2)
        self.assertAlmostEqual(1.0, other.get("a").cold_until - self.now)

    def pull_from(self, *entries: ReplicaEntry, revision: int = 9) -> None:
        """Let the table get a list as gateways send it."""
        sent = msgspec.json.encode([_record(one) for one in entries])
        records = msgspec.json.decode(sent, type=list[ReplicaRecord])
        self.table.replace_from_peer([_entry(one) for one in records], revision)

    def test_peers_only_extend_the_warm_up(self) -> None:
        """Guards against a peer's estimate that replaces what the replica has stated."""
        self.table.get("a").record_cold_left(5.0)
        self.now += 3.0  # Soon after an answer, an entry can only extend the warm-up anyway.
        for left_s, expected_s in ((0.0, 2.0), (None, 2.0), (5.0, 5.0), (1.0, 5.0)):
            self.pull_from(entry("a", left_s))
            self.assertAlmostEqual(expected_s, self.cold_left_s())

    def test_entry_without_a_warm_up_time_states_none(self) -> None:
        """Guards against entries that count as a statement that the replica is warm."""
        self.assertIsNone(ReplicaEntry("b", SERVICE, Endpoint("h", 1), "z", 4).cold_left_s)

    def test_unknown_warm_up_is_sent_as_unknown(self) -> None:
        """Guards against a replica that counts as warm because a peer knows nothing of it."""
        self.pull_from(entry("a"), entry("b", None))
        self.assertAlmostEqual(RULE.warm_up_s, self.table.get("b").cold_until - self.now)

    def test_entry_that_a_peer_has_read_before_is_not_new(self) -> None:
        """Guards against a warm-up that starts again with the first read after a pull."""
        self.table.replace_all([entry("a", 3.0)], 2)
        self.now += 2.5
        shared = self.table.shared_entries()
        self.table = ReplicaTable(cold_rule_of=lambda service: RULE)
        self.pull_from(*shared)
        self.table.replace_all([entry("a", 3.0)], 10)
        self.assertAlmostEqual(0.5, self.cold_left_s())

    def test_replicas_are_cold_after_the_evacuation_of_their_zone(self) -> None:
        self.table.replace_all([entry("a"), entry("b", zone="y")], 2)
        self.now += 60.0
        self.table.mark_zone_cold("z")
        self.assertEqual([True, False], [self.table.get(name).cold for name in "ab"])
        self.now += RULE.warm_up_s + 0.1
        self.assertFalse(self.table.get("a").cold)

    def test_cold_replica_takes_as_many_requests_as_were_granted(self) -> None:
        replica = self.table.get("a")
        self.assertEqual([True, True], [replica.take_permit(), replica.take_permit()])
        replica.record_cold_left(2.0)
        self.assertEqual((True, False), (replica.lacks_permit, replica.take_permit()))
        replica.add_cold_permits(2, self.now)
        self.assertFalse(replica.lacks_permit)
        self.assertTrue(replica.take_permit())
        self.now += PERMIT_LIFETIME_S + 0.01
        self.assertFalse(replica.take_permit())
