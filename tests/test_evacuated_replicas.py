"""Nothing is sent to replicas in evacuated zones, whoever chose them and whenever.

Guards against requests that reach an evacuated replica by an old choice, grant or view.
"""

from __future__ import annotations

import threading
import unittest
from unittest import mock

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_document import JobItem
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.connection.slot_messages import (
    ClaimSlots,
    ItemsAt,
    OnlinePlaced,
    PlaceOnline,
    SlotsGranted,
)
from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.process.front.refusals import forwarding_refusal
from quaymill.process.jobs.coordinated_job import CoordinatedItem
from quaymill.process.jobs.engine_pool import MAX_POOL_REPLICAS, pools_of
from quaymill.process.jobs.item_dispatcher import DispatcherParts, ItemDispatcher
from quaymill.process.jobs.item_run import run_item
from quaymill.process.jobs.online_reporter import OnlineReporter
from quaymill.process.jobs.slot_allocator import SlotAllocator
from quaymill.process.replica_set.online_queue import QUEUED, OnlineQueue
from quaymill.process.replica_set.router import EVACUATED_RETRY_AFTER_S, Router
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.deadline import Deadline
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.forwarding import Forwarder
from quaymill.request.forwarding_result import GivenUp
from quaymill.request.outcome import NotRun
from quaymill.request.presence import CallerPresence
from quaymill.request.replica_choice import NoReplica
from quaymill.version.request_routes import RequestRoute, RouteKind, WeightedService
from standin_support import wait_until
from test_slot_allocator import MANY_ITEMS, FixedLoads, claim

SERVICE = "engine"
SLOTS = 4
WAIT_S = 5.0
ROUTE = RequestRoute(
    "online", "h", "/", RouteKind.STREAMING, (WeightedService(SERVICE, 1.0),), 8.0, 0.4
)


def address(replica_id: str) -> Endpoint:
    return Endpoint(replica_id, 1)


class Case(unittest.TestCase):
    """A table of replicas in zones a and b, of which some are evacuated."""

    def setUp(self) -> None:
        self.evacuated: set[str] = set()
        self.table = ReplicaTable(is_evacuated=self.evacuated.__contains__)
        self.list_replicas("a1", "b1")
        self.router = Router(self.table, "a", "seed")

    def list_replicas(self, *names: str) -> None:
        """List replicas; the first letter of the name is the zone."""
        entries = [ReplicaEntry(one, SERVICE, address(one), one[0], SLOTS) for one in names]
        self.table.replace_all(entries, self.table.revision + 1)


class RouterTest(Case):
    """Choices of the router."""

    def test_evacuated_replica_is_not_chosen_even_in_the_own_zone(self) -> None:
        self.evacuated.add("a")
        self.assertEqual({"b1"}, {self.router.choose(SERVICE).id for _ in range(20)})

    def test_evacuated_replica_is_not_tried_after_all_others_failed(self) -> None:
        self.evacuated.add("a")
        self.assertIsInstance(self.router.choose(SERVICE, excluded=("b1",)), NoReplica)

    def test_evacuated_replica_is_not_used_after_its_departure(self) -> None:
        # Recently departed replicas are the last resort where there is no other.
        self.list_replicas()
        self.assertIsNotNone(self.router.choose(SERVICE).departed_at)
        self.evacuated.update("ab")
        self.assertIsInstance(self.router.choose(SERVICE), NoReplica)

    def test_allocator_with_an_older_set_is_told_not_to_choose_it(self) -> None:
        # Its counts show evacuated replicas as the least busy ones, so it would choose them always.
        self.evacuated.add("a")
        _, constraints = self.router.constraints_of(SERVICE)
        self.assertEqual({"a1"}, constraints.excluded)

    def test_refusal_names_a_time_where_all_are_evacuated(self) -> None:
        self.evacuated.update("ab")
        found = self.router.choose(SERVICE)
        self.assertEqual(EVACUATED_RETRY_AFTER_S, found.retry_after_s)

    def test_failed_replica_beside_an_evacuated_one_is_no_evacuation_of_all(self) -> None:
        self.evacuated.add("a")
        self.assertIsNone(self.router.choose(SERVICE, excluded=("b1",)).retry_after_s)


class AllocatorTest(Case):
    """Placements, grants and claims at a slot allocator, and at gateways with another set."""

    def setUp(self) -> None:
        super().setUp()
        self.allocator = SlotAllocator(self.table, FixedLoads(a1=4, b1=4))

    def test_allocator_places_and_grants_elsewhere(self) -> None:
        # The gateway that asks may not know of the evacuation yet.
        self.evacuated.add("a")
        placed = [
            self.allocator.place_online(PlaceOnline("g", "a", SERVICE, ())).replica_id
            for _ in range(2 * SLOTS)
        ]
        self.assertEqual({"b1"}, set(placed))
        starts = self.allocator.claim(claim("c", MANY_ITEMS, zone="a")).starts
        self.assertNotIn("a1", {one.replica_id for one in starts})

    def test_allocator_has_no_replica_left(self) -> None:
        self.evacuated.update("ab")
        self.assertEqual(
            "", self.allocator.place_online(PlaceOnline("g", "a", SERVICE, ())).replica_id
        )
        self.assertEqual((), self.allocator.claim(claim("c", MANY_ITEMS)).starts)

    def test_gateway_with_a_newer_set_does_not_use_the_placement(self) -> None:
        self.evacuated.add("a")
        allocator = mock.Mock()
        allocator.place_online.return_value = OnlinePlaced("a1", ())
        reporter = OnlineReporter("g", "a", self.table, allocator, None, tuple, lambda: {SERVICE})
        router = Router(self.table, "a", "seed", reporter.place)
        self.assertEqual({"b1"}, {router.choose(SERVICE).id for _ in range(5)})
        allocator.place_online.assert_called()

    def test_number_of_pools_stays(self) -> None:
        # A change of the number would move half of the replicas to another allocator.
        self.list_replicas(*(f"{'ab'[index % 2]}{index}" for index in range(MAX_POOL_REPLICAS + 2)))
        self.evacuated.add("a")
        self.assertEqual(2, len(pools_of(SERVICE, self.table)))


class QueueTest(Case):
    """Requests in a queue."""

    def setUp(self) -> None:
        super().setUp()
        self.tickets: list[str] = []
        self.queue = OnlineQueue(self.table, self.request_slot, "p")
        self.presence = CallerPresence()
        self.answers: list[object] = []
        self.thread = threading.Thread(target=self.wait_for_slot)
        self.thread.start()
        self.addCleanup(self.thread.join)
        self.addCleanup(self.presence.leave)
        wait_until(lambda: self.queue.waiting_requests == 1, "the request is queued")

    def request_slot(self, service: str, request: ForwardedRequest, terms) -> object:
        self.tickets.append(terms.ticket)
        return QUEUED

    def wait_for_slot(self) -> None:
        request = ForwardedRequest("r", "POST", "/x", (), b"", Deadline.after(1000.0))
        self.answers.append(self.queue.wait_for_slot(SERVICE, ROUTE, request, self.presence))

    def test_grant_of_an_allocator_with_an_older_set_is_declined(self) -> None:
        self.evacuated.add("a")
        self.assertFalse(self.queue.accept_grant(self.tickets[0], "a1"))
        self.assertTrue(self.queue.accept_grant(self.tickets[0], "b1"))

    def test_queued_request_leaves_at_once_where_all_are_evacuated(self) -> None:
        # It would wait in the allocator's queue until its dispatch deadline.
        self.evacuated.update("ab")
        self.queue.recheck()
        self.assertEqual(0, self.queue.waiting_requests)
        self.thread.join(WAIT_S)
        self.assertEqual([None], self.answers)

    def test_queued_request_stays_where_one_zone_is_left(self) -> None:
        self.evacuated.add("a")
        self.queue.recheck()
        self.assertEqual(1, self.queue.waiting_requests)


class Connections:
    """Connections on which every request fails before it is sent.

    Attributes
    ----------
    called
        Replicas to which a connection was attempted, in order.
    """

    def __init__(self) -> None:
        self.called: list[str] = []

    def send(self, endpoint: Endpoint, request: object, **options: object) -> NotRun:
        self.called.append(endpoint.host)
        return NotRun(503, "no connection", "")


class LastCheckTest(Case):
    """A zone is evacuated after its replica was chosen, and before the request is sent."""

    def setUp(self) -> None:
        super().setUp()
        self.connections = Connections()
        self.observer = mock.Mock()
        self.queue = mock.Mock()
        self.queue.wait_for_slot.return_value = None

    def forward(self, place=lambda first, constraints: None) -> object:
        forwarder = Forwarder(
            Router(self.table, "a", "seed", place),
            self.connections,
            GATEWAY_PROTOCOL.replicas,
            self.observer,
            self.queue,
        )
        request = ForwardedRequest("r", "POST", "/x", (), b"", Deadline.after(5.0))
        answer = mock.Mock(started=False)
        return forwarder.forward(request, ROUTE, answer, CallerPresence())

    def check_only_b_was_called(self, result: object) -> None:
        self.assertIsInstance(result, GivenUp)
        self.assertEqual(["b1"], self.connections.called)
        self.assertEqual(0.0, self.table.get("a1").penalty)
        self.assertEqual(0, self.table.get("a1").in_flight)
        began = [call.args[0].id for call in self.observer.began.call_args_list]
        ended = [call.args[0].id for call in self.observer.ended.call_args_list]
        self.assertEqual(["a1", "b1"], began)  # The allocator's count of a1 is corrected.
        self.assertEqual(began, ended)

    def test_choice_of_the_router_is_checked_again(self) -> None:
        def evacuate(first: object, constraints: object) -> None:
            self.evacuated.add("a")

        self.check_only_b_was_called(self.forward(evacuate))

    def test_granted_slot_is_checked_again(self) -> None:
        def grant(*_: object) -> object:
            self.evacuated.add("a")
            return self.table.get("a1")

        self.queue.wait_for_slot.side_effect = grant
        self.check_only_b_was_called(self.forward())

    def test_checks_that_fail_do_not_use_up_the_refusals(self) -> None:
        # Ten failed checks in a row, as zones may be evacuated one after the other.
        names = [f"{letter}1" for letter in "acdefghijk"]
        self.list_replicas(*names, "b1")

        def evacuate(first: object, constraints: object) -> object:
            if first.id == "b1" and len(self.evacuated) < len(names):
                first = next(
                    one for one in self.table.replicas() if one.id[0] not in self.evacuated
                )
            if first.id != "b1":
                self.evacuated.add(first.entry.zone)
            return first

        self.forward(evacuate)
        self.assertEqual(["b1"], self.connections.called)

    def test_refused_where_all_are_evacuated(self) -> None:
        self.evacuated.update("ab")
        refusal = forwarding_refusal(self.forward())
        self.assertEqual((503, EVACUATED_RETRY_AFTER_S), (refusal.status, refusal.retry_after_s))
        self.assertEqual([], self.connections.called)

    def test_item_is_checked_again(self) -> None:
        self.evacuated.add("a")
        replica = self.table.get("a1")
        item = CoordinatedItem(0, JobItem("00000000000000aa", "/r/1", {}, b"", 10))
        outcome = run_item(item, "host", replica, self.connections, GATEWAY_PROTOCOL.items)
        self.assertEqual([], self.connections.called)
        self.assertFalse(outcome.blames_replica)


class ClaimTest(Case):
    """Items that an allocator with an older set allows to start."""

    def test_item_is_not_started_and_the_claim_names_the_replica(self) -> None:
        self.evacuated.add("a")
        claims: list[ClaimSlots] = []

        def grant(message: ClaimSlots) -> SlotsGranted:
            claims.append(message)
            return SlotsGranted((ItemsAt("a1", 2),), (), ())

        job = mock.Mock()
        item = CoordinatedItem(0, JobItem("00000000000000aa", "/r/1", {}, b"", 10))
        job.waiting.return_value, job.running.return_value = [item], []
        job.due_at.return_value, job.route = 0.0, ROUTE
        parts = mock.Mock(spec=DispatcherParts, table=self.table, claim_slots=grant, zone="a")
        parts.name = "c"
        dispatcher = ItemDispatcher(parts, lambda: [job])
        with mock.patch.object(dispatcher, "_start_item") as start:
            dispatcher._claim(SERVICE, [job])
        start.assert_not_called()
        self.assertEqual(("a1",), claims[0].avoided)
