"""Online requests of all gateways share one queue, also while the allocator or a gateway fails.

Uses the real components. Messages are encoded as JSON on fake connections, on which each side can
be unresponsive or an older build.
"""

from __future__ import annotations

import threading
import time
import unittest
from unittest import mock

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerNoReply
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.connection.slot_messages import (
    GrantsAccepted,
    OnlineGrant,
    OnlineGrants,
    OnlineInFlight,
    PlaceOnline,
    QueueTerms,
)
from quaymill.process.front.refusals import forwarding_refusal
from quaymill.process.jobs.allocator_calls import AllocatorCalls
from quaymill.process.jobs.online_reporter import OnlineReporter
from quaymill.process.jobs.slot_allocator import SlotAllocator
from quaymill.process.jobs.slot_claims import AllocatorChoice
from quaymill.process.regions import ONE_REGION, RegionMap
from quaymill.process.replica_set.online_queue import OnlineQueue
from quaymill.process.replica_set.router import Router
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.deadline import Deadline
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.forwarding import Forwarder
from quaymill.request.forwarding_result import CallerLeft, KeyChanged
from quaymill.request.poison import NoGuard
from quaymill.request.presence import CallerPresence
from quaymill.request.replica_choice import CannotServeInTime
from quaymill.version.request_routes import RequestRoute, RouteKind, WeightedService

SERVICE = "engine"
SLOTS = 2
WAIT_S = 5.0
ROUTE = RequestRoute(
    "online", "h", "/", RouteKind.STREAMING, (WeightedService(SERVICE, 1.0),), 8.0, 0.4
)
TIMEOUT_S = 8.0


E1 = ReplicaEntry("e1", SERVICE, Endpoint("127.0.0.1", 1), "z", SLOTS)


class NoLoads:
    """Engine loads without reports."""

    def poll_only(self, replicas) -> None:
        """Do nothing."""

    def excess(self, replica) -> int:
        return 0

    def record_preemption(self, replica) -> None:
        """Do nothing."""


class FakeConnections:
    """Connects gateways; each can be unresponsive, an older build, or fail on sending."""

    def __init__(self) -> None:
        self.handlers_by_name: dict[str, dict[type, object]] = {}
        self.unresponsive: set[str] = set()
        self.old_builds: set[str] = set()
        self.unsendable: set[str] = set()
        self.unknown_fields_by_name: dict[str, tuple[str, ...]] = {}

    def register_for(self, name: str):
        handlers = self.handlers_by_name.setdefault(name, {})

        class _Server:
            @staticmethod
            def register(message_type, handler) -> None:
                handlers[message_type] = handler

        return _Server()

    def call(self, endpoint, message, reply_type, timeout_s):
        name = endpoint.host
        handler = self.handlers_by_name.get(name, {}).get(type(message))
        if name in self.unsendable:
            raise ValueError("cannot be sent")
        if name in self.unresponsive or handler is None:
            return PeerNoReply(endpoint, "unresponsive")
        encoded = msgspec.json.encode(message)
        encoded = without(encoded, *self.unknown_fields_by_name.get(name, ()))
        if name in self.old_builds:
            encoded = without(encoded, "terms")
        reply = msgspec.json.encode(handler(msgspec.json.decode(encoded, type=type(message))))
        if name in self.old_builds:
            reply = without(reply, "line", "waits", "retry_after_s")
        return msgspec.json.decode(reply, type=reply_type)


def without(encoded: bytes, *names: str) -> bytes:
    """Return an encoded message without some fields, as an older build would send or read it."""
    fields = msgspec.json.decode(encoded)
    return msgspec.json.encode({name: value for name, value in fields.items() if name not in names})


class Gateway:
    """The components of one gateway that take part in queueing."""

    def __init__(
        self,
        name: str,
        connections: FakeConnections,
        members,
        zone: str = "z",
        regions: RegionMap = ONE_REGION,
        entries: tuple[ReplicaEntry, ...] = (E1,),
    ) -> None:
        self.name = name
        self.process = f"{name}#1"
        self.table = ReplicaTable(regions=regions)
        self.table.replace_all(entries, 1)
        self.queue = OnlineQueue(
            self.table,
            self.ask_allocator,
            self.process,
            lambda replica: self.reporter.release_slot(replica),
            lambda service, ticket: self.reporter.withdraw(service, ticket),
        )
        self.calls = AllocatorCalls(
            self.process,
            lambda items: None,
            lambda: None,
            connections,
            connections.register_for(name),
            lambda process: next((one for one in members() if process == f"{one.name}#1"), None),
            lambda grants: self.reporter.accept_grants(grants),
            lambda grant, accepted: self.allocator.grant_answered(grant, accepted),
            regions.travel_s,
        )
        self.allocator = SlotAllocator(
            self.table, NoLoads(), connections.register_for(name), send_grant=self.calls.send_grant
        )
        self.reporter = OnlineReporter(
            name,
            zone,
            self.table,
            self.allocator,
            connections,
            members,
            lambda: {SERVICE},
            self.queue.recheck,
            allocator_lost=self.queue.leave_allocator_queue,
            dispatch_granted=self.queue.accept_grant,
            regions=regions,
        )
        self.router = Router(
            self.table,
            zone,
            name,
            self.reporter.place,
            is_allocated=lambda service: service == SERVICE,
        )
        self.queue.record(SERVICE, 0.8, 0.05)
        self.reporter.start()

    def ask_allocator(self, service, request, terms):
        found = self.router.constraints_of(service, request.prompt)
        return None if found is None else self.reporter.request_slot(*found, terms)

    def begin(self, replica) -> None:
        replica.begin()
        self.reporter.began(replica)

    def end(self, replica_id: str = "e1") -> None:
        replica = self.table.get(replica_id)
        replica.end()
        self.reporter.ended(replica)

    def place_at_once(self) -> None:
        """Send a request without queueing, as older builds do."""
        self.begin(self.router.choose(SERVICE))


class QueueCase(unittest.TestCase):
    """Base of tests that send requests through the queues of gateways."""

    def setUp(self) -> None:
        self.connections = FakeConnections()
        self.gateways: dict[str, Gateway] = {}
        self.results: dict[str, object] = {}
        self.presences: dict[str, CallerPresence] = {}
        self.threads: list[threading.Thread] = []
        self.addCleanup(self.stop)

    def stop(self) -> None:
        for presence in self.presences.values():
            presence.leave()
        for thread in self.threads:
            thread.join()
        for gateway in self.gateways.values():
            gateway.reporter.stop()
            gateway.calls.stop()

    def send(
        self,
        name: str,
        gateway: Gateway,
        tenant: str | None = None,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        """Send a request that starts at its engine once it is dispatched, and does not end."""
        request = ForwardedRequest(
            name, "POST", "/x", (), b"", Deadline.after(timeout_s), tenant=tenant
        )
        presence = self.presences[name] = CallerPresence()

        def run() -> None:
            grant = gateway.queue.wait_for_slot(SERVICE, ROUTE, request, presence)
            if presence.gone:
                if grant is not None:
                    gateway.queue.release_slot(grant)
                return
            if not isinstance(grant, CannotServeInTime):
                gateway.begin(grant or gateway.router.choose(SERVICE))
            self.results[name] = grant

        thread = threading.Thread(target=run)
        self.threads.append(thread)
        thread.start()

    def wait_for(self, condition, what: str) -> None:
        deadline = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, f"{what}; dispatched: {self.results}")
            time.sleep(0.002)

    def wait_until_dispatched(self, *names: str) -> None:
        self.wait_for(lambda: set(names) <= set(self.results), f"{names} not dispatched")


class AllocatorQueueTest(QueueCase):
    """Two gateways and a third one that allocates the two slots of an engine."""

    def setUp(self) -> None:
        super().setUp()
        self.names = ["a", "b", "c"]
        self.gateways.update(
            (name, Gateway(name, self.connections, self.members)) for name in self.names
        )
        allocator = AllocatorChoice(self.members).allocator_of(SERVICE, 0).name
        self.allocator = self.gateways[allocator]
        self.first_gateway, self.second_gateway = (
            one for one in self.gateways.values() if one.name != allocator
        )

    def members(self) -> tuple[Member, ...]:
        return tuple(
            Member(name, "z", "r", Endpoint(name, 1), Endpoint(name, 1)) for name in self.names
        )

    def wait_until_queued(self, length: int) -> None:
        queues = self.allocator.allocator.queues
        self.wait_for(lambda: sum(queues.lengths().values()) == length, f"{queues.lengths()} wait")

    def take_all_slots(self) -> None:
        """Use one slot from each gateway, so that both know that the allocator has a queue."""
        self.first_gateway.place_at_once()
        self.second_gateway.place_at_once()

    def test_a_request_that_finds_a_free_slot_is_dispatched_immediately(self) -> None:
        self.first_gateway.place_at_once()
        self.send("r", self.first_gateway)
        self.wait_until_dispatched("r")
        self.assertEqual("e1", self.results["r"].id)

    def test_a_slot_released_at_any_gateway_is_granted_to_a_queued_request(self) -> None:
        self.take_all_slots()
        self.send("first", self.first_gateway)
        self.wait_until_queued(1)
        self.send("second", self.second_gateway)
        self.wait_until_queued(2)
        self.second_gateway.end()
        self.wait_until_dispatched("first")
        self.assertEqual("e1", self.results["first"].id)
        self.assertNotIn("second", self.results)
        self.first_gateway.end()
        self.wait_until_dispatched("second")

    def test_a_request_whose_caller_disconnected_leaves_the_queue(self) -> None:
        self.take_all_slots()
        self.send("leaves", self.first_gateway)
        self.wait_until_queued(1)
        self.send("stays", self.second_gateway)
        self.wait_until_queued(2)
        self.presences["leaves"].leave()
        self.wait_until_queued(1)
        self.second_gateway.end()
        self.wait_until_dispatched("stays")

    def test_many_grants_to_disconnected_callers_of_the_allocators_own_gateway(self) -> None:
        """Each grant is answered immediately; the answers must not recurse."""
        self.take_all_slots()
        own = self.allocator
        for index in range(300):
            terms = QueueTerms(f"gone-{index}", own.process, None, 0, 0.5, 0.3, 30, 60, 0.001, 0.05)
            own.allocator.place_online(PlaceOnline(own.name, "z", SERVICE, (), terms=terms))
        self.send("waits", self.second_gateway, timeout_s=1000.0)
        self.wait_until_queued(301)
        self.second_gateway.end()
        self.wait_until_dispatched("waits")

    def test_slots_are_shared_among_tenants(self) -> None:
        self.take_all_slots()
        for index in range(3):
            self.send(f"big-{index}", self.first_gateway, "big")
            self.wait_until_queued(index + 1)
        self.send("small", self.second_gateway, "small")
        self.wait_until_queued(4)
        ends = (
            (self.first_gateway, "big-0"),
            (self.first_gateway, "small"),
            (self.second_gateway, "big-1"),
        )
        for gateway, dispatched in ends:
            gateway.end()
            self.wait_until_dispatched(dispatched)
        self.assertNotIn("big-2", self.results)

    def test_the_slot_of_a_disconnected_caller_is_granted_to_the_next(self) -> None:
        self.take_all_slots()
        self.send("left", self.first_gateway)
        self.wait_until_queued(1)
        self.send("next", self.second_gateway)
        self.wait_until_queued(2)
        self.presences["left"].leave()
        self.threads[0].join()
        self.second_gateway.end()
        self.wait_until_dispatched("next")
        self.assertNotIn("left", self.results)

    def test_the_slot_of_an_unresponsive_gateway_is_granted_to_the_next(self) -> None:
        self.take_all_slots()
        self.send("lost", self.first_gateway)
        self.wait_until_queued(1)
        self.send("next", self.second_gateway)
        self.wait_until_queued(2)
        self.connections.unresponsive.add(self.first_gateway.name)
        self.second_gateway.end()
        self.wait_until_dispatched("next")

    def test_the_slot_of_an_unsendable_grant_is_granted_to_the_next(self) -> None:
        self.take_all_slots()
        self.send("lost", self.first_gateway)
        self.wait_until_queued(1)
        self.send("next", self.second_gateway)
        self.wait_until_queued(2)
        self.connections.unsendable.add(self.first_gateway.name)
        self.second_gateway.end()
        self.wait_until_dispatched("next")

    def test_requests_are_decided_locally_while_the_allocator_is_unresponsive(self) -> None:
        self.take_all_slots()
        self.send("r", self.first_gateway)
        self.wait_until_queued(1)
        self.connections.unresponsive.add(self.allocator.name)
        self.connections.unresponsive.add(self.second_gateway.name)
        self.names.remove(self.allocator.name)
        self.wait_until_dispatched("r")

    def test_queued_requests_move_to_the_next_allocator(self) -> None:
        self.take_all_slots()
        self.send("r", self.first_gateway)
        self.wait_until_queued(1)
        self.connections.unresponsive.add(self.allocator.name)
        self.names.remove(self.allocator.name)
        self.allocator = self.gateways[AllocatorChoice(self.members).allocator_of(SERVICE, 0).name]
        # Both report to the new allocator, and so learn that it has a queue.
        self.wait_until_queued(1)
        self.second_gateway.end()
        self.wait_until_dispatched("r")

    def test_no_request_waits_past_its_dispatch_deadline(self) -> None:
        self.take_all_slots()
        began = time.monotonic()
        self.send("r", self.first_gateway, timeout_s=2.5)
        self.wait_until_dispatched("r")
        self.assertIsNone(self.results["r"])
        self.assertLess(time.monotonic() - began, 1.5)

    def test_an_infeasible_request_is_refused_immediately(self) -> None:
        self.take_all_slots()
        for index in range(12):
            self.send(f"r{index}", self.first_gateway)
            self.wait_until_queued(index + 1)
        # Twelve requests of 0.8 s at two slots take more than 1.5 times its remaining time.
        self.send("infeasible", self.second_gateway, timeout_s=2.7)
        self.wait_until_dispatched("infeasible")
        refusal = self.results["infeasible"]
        self.assertIsInstance(refusal, CannotServeInTime)
        self.assertGreater(refusal.retry_after_s, 1.0)
        self.assertEqual(1, self.allocator.allocator.queues.refused_early)

    def test_a_request_without_queue_terms_is_placed_immediately(self) -> None:
        self.take_all_slots()
        self.send("waits", self.first_gateway)
        self.wait_until_queued(1)
        self.assertEqual("e1", self.second_gateway.router.choose(SERVICE).id)

    def test_an_allocator_without_a_queue_places_requests(self) -> None:
        self.connections.old_builds.add(self.allocator.name)
        self.take_all_slots()
        self.send("fresh", self.first_gateway)
        self.wait_until_dispatched("fresh")
        self.assertIsNone(self.results["fresh"])

    def test_ends_are_reported_immediately_in_a_nearly_full_pool(self) -> None:
        """Otherwise the allocator counts released slots as used, and queues requests needlessly."""
        self.first_gateway.place_at_once()
        self.assertFalse(self.first_gateway.reporter._reports_ends_at_once)
        self.second_gateway.place_at_once()
        self.wait_for(
            lambda: self.second_gateway.reporter._reports_ends_at_once,
            "the second gateway still delays ends",
        )
        self.wait_for(
            lambda: self.first_gateway.reporter._reports_ends_at_once,
            "the first gateway still delays ends",
        )
        self.second_gateway.end()
        self.first_gateway.end()
        self.wait_for(
            lambda: not self.second_gateway.reporter._reports_ends_at_once,
            "ends are still reported at once",
        )

    def test_only_one_of_two_grants_for_a_request_is_accepted(self) -> None:
        self.take_all_slots()
        self.send("r", self.first_gateway)
        self.wait_until_queued(1)
        (ticket,) = self.first_gateway.queue._queued_by_ticket
        grant = OnlineGrant(ticket, "e1")
        self.assertEqual((ticket,), self.first_gateway.reporter.accept_grants([grant]))
        self.assertEqual((), self.first_gateway.reporter.accept_grants([grant]))
        self.wait_until_dispatched("r")
        self.assertEqual(0, self.first_gateway.reporter._placed["e1"])
        self.assertEqual(2, self.first_gateway.reporter._in_flight["e1"])

    def test_a_grant_for_a_dispatched_request_is_not_accepted(self) -> None:
        """The allocator queued the request, but its answer was lost."""
        self.first_gateway.place_at_once()
        late: list[str] = []
        request_slot = self.first_gateway.queue._request_slot

        def lose_answer(service, request, terms):
            request_slot(service, request, terms)
            late.append(terms.ticket)

        self.second_gateway.place_at_once()
        with mock.patch.object(self.first_gateway.queue, "_request_slot", lose_answer):
            self.first_gateway.queue._may_dispatch_now = lambda *_: True
            self.send("r", self.first_gateway)
            self.wait_until_dispatched("r")
        self.assertIsNone(self.results["r"])
        self.assertEqual(
            (), self.first_gateway.reporter.accept_grants([OnlineGrant(late[0], "e1")])
        )

    def test_a_released_slot_is_granted_to_the_next(self) -> None:
        self.first_gateway.place_at_once()
        self.second_gateway.place_at_once()
        self.second_gateway.end()
        self.send("r", self.first_gateway)
        self.wait_until_dispatched("r")
        self.send("waits", self.second_gateway)
        self.wait_until_queued(1)
        self.first_gateway.end()
        self.wait_until_dispatched("waits")


class ForwardingTest(unittest.TestCase):
    """Requests that were granted a slot or refused, but are not sent to a replica."""

    def setUp(self) -> None:
        self.queue = mock.Mock()
        self.router = mock.Mock()
        self.presence = CallerPresence()
        self.request = ForwardedRequest("r", "POST", "/x", (), b"", Deadline.after(TIMEOUT_S))

    def forward(self, key_change=lambda: None):
        forwarder = Forwarder(
            self.router, mock.Mock(), mock.Mock(), mock.Mock(), self.queue, NoGuard()
        )
        answer = mock.Mock(started=False)
        return forwarder.forward(self.request, ROUTE, answer, self.presence, key_change)

    def test_an_infeasible_request_is_refused_with_retry_after(self) -> None:
        self.queue.wait_for_slot.return_value = CannotServeInTime("too many", 3.21)
        refusal = forwarding_refusal(self.forward())
        self.assertEqual((503, 3.2), (refusal.status, refusal.retry_after_s))
        self.router.choose.assert_not_called()

    def test_the_slot_of_a_caller_that_disconnects_is_released(self) -> None:
        granted_replica = mock.Mock()

        def leave(*_):
            self.presence.leave()
            return granted_replica

        self.queue.wait_for_slot.side_effect = leave
        self.assertIsInstance(self.forward(), CallerLeft)
        self.queue.release_slot.assert_called_once_with(granted_replica)

    def test_the_slot_of_a_revoked_key_is_released(self) -> None:
        granted_replica = self.queue.wait_for_slot.return_value
        changes = iter((None, KeyChanged(revoked=True)))
        self.assertIsInstance(self.forward(lambda: next(changes)), KeyChanged)
        self.queue.release_slot.assert_called_once_with(granted_replica)


class MixedBuildsTest(unittest.TestCase):
    """Compatibility with builds without a queue."""

    def test_messages_of_older_builds_are_read(self) -> None:
        old_message = (
            b'{"kind":"PlaceOnline","gateway":"g","zone":"z","service":"s","in_flight":[]}'
        )
        self.assertIsNone(msgspec.json.decode(old_message, type=PlaceOnline).terms)

    def test_messages_survive_encoding(self) -> None:
        for message in (OnlineGrants(()), GrantsAccepted(("t",)), OnlineInFlight("g", "s", ())):
            encoded = msgspec.json.encode(message)
            self.assertEqual(message, msgspec.json.decode(encoded, type=type(message)))


if __name__ == "__main__":
    unittest.main()
