"""Pool queues: order, shares of tenants, dispatch deadlines and infeasible requests."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.connection.slot_messages import PlaceOnline, QueueTerms
from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.jobs.pool_counts import PoolCounts
from quaymill.process.jobs.pool_queue import GRANT_LATENCY_S, REFUSAL_FACTOR, PoolQueue
from quaymill.process.jobs.slot_grants import PoolQueues, SlotGrant
from quaymill.process.replica_set.replica import Replica
from quaymill.request.fair_shares import MAX_TENANTS, FairShares

SERVICE = "engine"
SERVICE_S = 0.8


def place_message(
    ticket: str, tenant: str | None = None, process: str = "g#1", **fields
) -> PlaceOnline:
    """Return a placement message of a request that may be queued."""
    fields_of_terms = {
        "rank": 0,
        "waited_s": 0.0,
        "target_in_s": 0.3,
        "dispatch_by_s": 3.0,
        "left_s": 5.0,
        "service_s": SERVICE_S,
        "first_byte_s": 0.05,
    } | fields
    terms = QueueTerms(ticket, process, tenant, **fields_of_terms)
    return PlaceOnline(process.partition("#")[0], "x", SERVICE, (), terms=terms)


class FairSharesTest(unittest.TestCase):
    """Start tags of fair queueing."""

    def setUp(self) -> None:
        self.shares = FairShares()

    def tag_all(self, *tenants: str) -> list[float]:
        return [self.shares.start_tag(tenant) for tenant in tenants]

    def test_without_tenants_all_tags_are_equal(self) -> None:
        self.assertEqual([0.0, 0.0], [self.shares.start_tag(None) for _ in range(2)])

    def test_each_tenant_has_its_own_tags(self) -> None:
        self.assertEqual([0, 1, 2, 0, 3, 1], self.tag_all("a", "a", "a", "b", "a", "b"))

    def test_an_idle_tenant_gains_no_advantage(self) -> None:
        for tag in self.tag_all("a", "a", "a", "a"):
            self.shares.serve(tag)
        self.assertEqual([3, 4, 4], self.tag_all("b", "b", "a"))

    def test_use_without_competition_has_no_lasting_cost(self) -> None:
        for _ in range(100):
            self.shares.serve(self.shares.start_tag("a"))
        self.assertLessEqual(self.shares.start_tag("a") - self.shares.start_tag("b"), 1)

    def test_an_unserved_request_costs_no_share(self) -> None:
        first, second = self.tag_all("a", "a")
        self.shares.cancel("a")
        self.assertEqual(second, self.shares.start_tag("a"))
        self.assertLess(first, second)

    def test_the_number_of_remembered_tenants_is_bounded(self) -> None:
        for index in range(3 * MAX_TENANTS):
            self.shares.serve(self.shares.start_tag("busy"))
            self.shares.start_tag(f"t{index}")
        self.assertLessEqual(len(self.shares._next_tag_by_tenant), MAX_TENANTS + 1)


class PoolQueueTest(unittest.TestCase):
    """The queue of one pool."""

    def setUp(self) -> None:
        self.queue = PoolQueue()

    def tickets(self, now: float) -> list[str]:
        return [one.ticket for one in self.queue.ordered(now)]

    def test_order(self) -> None:
        now = 10.0
        messages = [
            place_message("late", "c", target_in_s=-1.0),
            place_message("too near its target", "d", target_in_s=0.05 + GRANT_LATENCY_S),
            place_message("first of a", "a"),
            place_message("second of a", "a"),
            place_message("third of a", "a"),
            place_message("first of b", "b"),
            place_message("urgent", "a", rank=-1),
        ]
        for index, one in enumerate(messages):
            self.queue.join(one, now + 0.001 * index)
        expected = [
            "urgent",
            "first of a",
            "first of b",
            "second of a",
            "third of a",
            "late",
            "too near its target",
        ]
        self.assertEqual(expected, self.tickets(now + 0.01))

    def test_without_tenants_the_oldest_is_first(self) -> None:
        for ticket, waited_s in (("new", 0.0), ("old", 0.2), ("between", 0.1)):
            self.queue.join(place_message(ticket, waited_s=waited_s), 1.0)
        self.assertEqual(["old", "between", "new"], self.tickets(1.0))

    def test_a_request_sent_again_keeps_its_position(self) -> None:
        for ticket in ("first", "second"):
            self.queue.join(place_message(ticket, "a"), 1.0)
        self.queue.join(place_message("first", "a", waited_s=0.1), 1.1)
        self.assertEqual(["first", "second"], self.tickets(1.1))
        self.assertEqual(2, len(self.queue))

    def test_a_request_past_its_dispatch_deadline_is_dropped(self) -> None:
        self.queue.join(place_message("short", dispatch_by_s=0.5), 1.0)
        self.queue.join(place_message("long"), 1.0)
        self.assertEqual(["long"], self.tickets(1.6))

    def test_requests_of_a_lost_gateway_are_dropped(self) -> None:
        self.queue.join(place_message("a"), 1.0)
        self.queue.join(place_message("b", process="h#1"), 1.0)
        self.assertEqual(1, self.queue.drop_process("g#1"))
        self.assertEqual(["b"], self.tickets(1.0))

    def test_requests_past_their_dispatch_deadline_cause_no_refusal(self) -> None:
        for index in range(40):
            self.queue.join(place_message(f"gone-{index}", dispatch_by_s=0.1), 1.0)
        fresh = self.queue.join(place_message("fresh", left_s=2.0), 2.0)
        self.assertIsNone(self.queue.retry_after_s(fresh, 2, 2.0))

    def test_dropped_requests_cost_their_tenant_no_share(self) -> None:
        for index in range(300):
            self.queue.join(place_message(f"gone-{index}", "large", dispatch_by_s=0.1), 1.0)
        self.queue.ordered(2.0)
        self.queue.join(place_message("small", "small"), 2.0)
        self.queue.join(place_message("large", "large"), 2.0)
        self.queue.join(place_message("second small", "small"), 2.0)
        self.assertEqual(["small", "large", "second small"], self.tickets(2.0))

    @params((4, None), (14, None), (16, 2.4))
    def test_only_clearly_infeasible_requests_are_refused(self, ahead, expected) -> None:
        """Two slots serve 2.5 requests a second; the caller waits four seconds."""
        self.assertEqual(1.5, REFUSAL_FACTOR)
        for index in range(ahead):
            self.queue.join(place_message(f"before-{index}"), 1.0)
        last = self.queue.join(place_message("last", left_s=4.0), 1.1)
        found = self.queue.retry_after_s(last, 2, 1.1)
        if expected is None:
            self.assertIsNone(found)
        else:
            self.assertAlmostEqual(expected, found)


class PoolQueuesTest(unittest.TestCase):
    """Slot grants, and how a pool's counts include them."""

    def setUp(self) -> None:
        self.pool = EnginePool(SERVICE)
        address = Endpoint("127.0.0.1", 1)
        self.replica = Replica(ReplicaEntry("e", SERVICE, address, "x", slots=2))
        self.counts = PoolCounts()
        self.counts.set_online("g", Counter(), 1.0)
        self.queues = PoolQueues(random.Random(1))

    def join_and_grant(self, ticket: str, now: float) -> SlotGrant:
        self.queues.join(self.pool, place_message(ticket), now)
        (grant,) = self.queues.grant_slots(self.pool, self.counts, [self.replica], now)
        return grant

    def test_without_replicas_no_request_is_refused(self) -> None:
        for index in range(40):
            queued = self.queues.join(self.pool, place_message(str(index)), 1.0)
        self.assertIsNone(self.queues.refuse_if_infeasible(self.pool, queued, [], 1.0))

    @params((True, False), (False, True), (False, False))
    def test_a_second_grant_for_a_request_reserves_no_slot(self, *accepted: bool) -> None:
        """The request was sent again while its first grant was being delivered."""
        grants = [self.join_and_grant("one", 1.0), self.join_and_grant("one", 2.0)]
        self.assertEqual(2, self.counts.unanswered_grants)
        for grant, was_accepted in zip(grants, accepted, strict=True):
            self.queues.record_answer(grant, self.counts, accepted=was_accepted)
            self.queues.record_answer(grant, self.counts, accepted=was_accepted)
        self.assertEqual(0, self.counts.unanswered_grants)
        self.assertEqual(sum(accepted), self.counts.online[self.replica.id])


if __name__ == "__main__":
    unittest.main()
