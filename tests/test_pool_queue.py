"""The keeper's line: its order, shares of tenants, last calls and what cannot be served."""

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
from quaymill.process.jobs.pool_queue import SURE_FACTOR, TURN_WAY_S, PoolQueue
from quaymill.process.jobs.slot_grants import PoolQueues, SlotGrant
from quaymill.process.replica_set.replica import Replica
from quaymill.request.fair_shares import MAX_TENANTS, FairShares

SERVICE = "engine"
SERVICE_S = 0.8


def asked(ticket: str, tenant: str | None = None, process: str = "g#1", **fields) -> PlaceOnline:
    """Return how a gateway asks for a request that may wait."""
    given = {
        "rank": 0,
        "waited_s": 0.0,
        "target_in_s": 0.3,
        "dispatch_by_s": 3.0,
        "left_s": 5.0,
        "service_s": SERVICE_S,
        "first_byte_s": 0.05,
    } | fields
    terms = QueueTerms(ticket, process, tenant, **given)
    return PlaceOnline(process.partition("#")[0], "x", SERVICE, (), terms=terms)


class FairSharesTest(unittest.TestCase):
    """Start tags of requests."""

    def setUp(self) -> None:
        self.shares = FairShares()

    def tag_all(self, *tenants: str) -> list[float]:
        return [self.shares.start_tag(tenant) for tenant in tenants]

    def test_without_tenants_all_are_alike(self) -> None:
        self.assertEqual([0.0, 0.0], [self.shares.start_tag(None) for _ in range(2)])

    def test_each_tenant_counts_for_itself(self) -> None:
        self.assertEqual([0, 1, 2, 0, 3, 1], self.tag_all("a", "a", "a", "b", "a", "b"))

    def test_who_was_idle_has_gained_nothing(self) -> None:
        for number in self.tag_all("a", "a", "a", "a"):
            self.shares.serve(number)
        self.assertEqual([3, 4, 4], self.tag_all("b", "b", "a"))

    def test_what_was_used_without_anybody_waiting_is_soon_forgotten(self) -> None:
        for _ in range(100):
            self.shares.serve(self.shares.start_tag("a"))
        self.assertLessEqual(self.shares.start_tag("a") - self.shares.start_tag("b"), 1)

    def test_what_is_not_served_costs_no_share(self) -> None:
        first, second = self.tag_all("a", "a")
        self.shares.take_back("a")
        self.assertEqual(second, self.shares.start_tag("a"))
        self.assertLess(first, second)

    def test_many_tenants_do_not_grow_without_bound(self) -> None:
        for index in range(3 * MAX_TENANTS):
            self.shares.serve(self.shares.start_tag("busy"))
            self.shares.start_tag(f"t{index}")
        self.assertLessEqual(len(self.shares._next_tag_by_tenant), MAX_TENANTS + 1)


class WaitingLineTest(unittest.TestCase):
    """One line."""

    def setUp(self) -> None:
        self.line = PoolQueue()

    def tickets(self, now: float) -> list[str]:
        return [one.ticket for one in self.line.ordered(now)]

    def test_order(self) -> None:
        now = 10.0
        given = [
            asked("late", "c", target_in_s=-1.0),
            asked("too near its aim", "d", target_in_s=0.05 + TURN_WAY_S),
            asked("first of a", "a"),
            asked("second of a", "a"),
            asked("third of a", "a"),
            asked("first of b", "b"),
            asked("urgent", "a", rank=-1),
        ]
        for index, one in enumerate(given):
            self.line.join(one, now + 0.001 * index)
        expected = [
            "urgent",
            "first of a",
            "first of b",
            "second of a",
            "third of a",
            "late",
            "too near its aim",
        ]
        self.assertEqual(expected, self.tickets(now + 0.01))

    def test_without_tenants_the_oldest_goes_first(self) -> None:
        for ticket, waited_s in (("new", 0.0), ("old", 0.2), ("between", 0.1)):
            self.line.join(asked(ticket, waited_s=waited_s), 1.0)
        self.assertEqual(["old", "between", "new"], self.tickets(1.0))

    def test_who_asks_again_keeps_its_place(self) -> None:
        for ticket in ("first", "second"):
            self.line.join(asked(ticket, "a"), 1.0)
        self.line.join(asked("first", "a", waited_s=0.1), 1.1)
        self.assertEqual(["first", "second"], self.tickets(1.1))
        self.assertEqual(2, len(self.line))

    def test_past_its_last_call_a_request_is_its_gateways(self) -> None:
        self.line.join(asked("short", dispatch_by_s=0.5), 1.0)
        self.line.join(asked("long"), 1.0)
        self.assertEqual(["long"], self.tickets(1.6))

    def test_requests_of_a_gateway_that_is_gone_are_dropped(self) -> None:
        self.line.join(asked("a"), 1.0)
        self.line.join(asked("b", process="h#1"), 1.0)
        self.assertEqual(1, self.line.drop_process("g#1"))
        self.assertEqual(["b"], self.tickets(1.0))

    def test_requests_past_their_last_call_refuse_nobody(self) -> None:
        for index in range(40):
            self.line.join(asked(f"gone-{index}", dispatch_by_s=0.1), 1.0)
        fresh = self.line.join(asked("fresh", left_s=2.0), 2.0)
        self.assertIsNone(self.line.retry_after_s(fresh, 2, 2.0))

    def test_what_was_never_served_costs_a_tenant_nothing(self) -> None:
        for index in range(300):
            self.line.join(asked(f"gone-{index}", "large", dispatch_by_s=0.1), 1.0)
        self.line.ordered(2.0)
        self.line.join(asked("small", "small"), 2.0)
        self.line.join(asked("large", "large"), 2.0)
        self.line.join(asked("second small", "small"), 2.0)
        self.assertEqual(["small", "large", "second small"], self.tickets(2.0))

    @params((4, None), (14, None), (16, 2.4))
    def test_only_what_can_surely_not_be_served_is_refused(self, ahead, expected) -> None:
        """Two slots serve 2.5 requests a second; the caller waits four seconds."""
        self.assertEqual(1.5, SURE_FACTOR)
        for index in range(ahead):
            self.line.join(asked(f"before-{index}"), 1.0)
        last = self.line.join(asked("last", left_s=4.0), 1.1)
        found = self.line.retry_after_s(last, 2, 1.1)
        if expected is None:
            self.assertIsNone(found)
        else:
            self.assertAlmostEqual(expected, found)


class TurnGiverTest(unittest.TestCase):
    """Turns, and what the counts of a pool hold of them."""

    def setUp(self) -> None:
        self.pool = EnginePool(SERVICE)
        address = Endpoint("127.0.0.1", 1)
        self.replica = Replica(ReplicaEntry("e", SERVICE, address, "x", slots=2))
        self.counts = PoolCounts()
        self.counts.take_online("g", Counter(), 1.0)
        self.giver = PoolQueues(random.Random(1))

    def give(self, ticket: str, now: float) -> SlotGrant:
        self.giver.join(self.pool, asked(ticket), now)
        (turn,) = self.giver.give(self.pool, self.counts, [self.replica], now)
        return turn

    def test_without_a_replica_nobody_is_refused(self) -> None:
        for index in range(40):
            waiter = self.giver.join(self.pool, asked(str(index)), 1.0)
        self.assertIsNone(self.giver.refuse(self.pool, waiter, [], 1.0))

    @params((True, False), (False, True), (False, False))
    def test_a_second_turn_of_one_request_keeps_no_slot(self, *taken: bool) -> None:
        """It asked again while its first turn was on its way."""
        turns = [self.give("one", 1.0), self.give("one", 2.0)]
        self.assertEqual(2, self.counts.promised)
        for turn, was_taken in zip(turns, taken, strict=True):
            self.giver.answered(turn, self.counts, taken=was_taken)
            self.giver.answered(turn, self.counts, taken=was_taken)
        self.assertEqual(0, self.counts.promised)
        self.assertEqual(sum(taken), self.counts.online[self.replica.id])


if __name__ == "__main__":
    unittest.main()
