"""Word from who keeps room reaches coordinators, and holds nobody up on the way."""

from __future__ import annotations

import threading
import time
import unittest
from collections import Counter
from unittest import mock

from fleet_support import eventually
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerNoReply
from quaymill.connection.slot_messages import (
    GrantsAccepted,
    ItemsAt,
    ItemsPreempted,
    OnlineGrants,
    PreemptItems,
    SlotsFreed,
    SlotsFreedAcknowledged,
)
from quaymill.process.jobs.allocator_calls import SENDERS, AllocatorCalls, _Pending
from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.jobs.slot_grants import SlotGrant

TIMEOUT_S = 10.0


class SlowClient:
    """Answers when the test says so, apart from silent coordinators' calls."""

    def __init__(self) -> None:
        self.go_on = threading.Event()
        self.calls: list[tuple[str, object]] = []
        self.under_way: Counter[str] = Counter()
        self.most_under_way: Counter[str] = Counter()
        self._lock = threading.Lock()

    def call(self, endpoint, message, reply_type, timeout_s):
        name = endpoint.host
        with self._lock:
            self.calls.append((name, message))
            self.under_way[name] += 1
            self.most_under_way |= self.under_way
        if name.startswith("slow"):
            self.go_on.wait(TIMEOUT_S)
        with self._lock:
            self.under_way[name] -= 1
        if name.startswith("slow"):
            return PeerNoReply(endpoint, "silent")
        return ItemsPreempted() if isinstance(message, PreemptItems) else SlotsFreedAcknowledged()

    def told(self, name: str) -> list[object]:
        return [message for to, message in self.calls if to == name]


class NoServer:
    """Takes no calls."""

    def register(self, message_type, handler) -> None:
        """Do nothing."""


def member_named(name: str) -> Member:
    endpoint = Endpoint(name, 1)
    return Member(name, "z", "r", endpoint, endpoint)


class RoomOrdersTest(unittest.TestCase):
    """Orders of one keeper."""

    def setUp(self):
        self.client = SlowClient()
        self.cut: list[tuple[ItemsAt, ...]] = []
        self.claimed = 0
        self.orders = AllocatorCalls(
            "own", self.cut.append, self._claim, self.client, NoServer(), member_named
        )
        self.addCleanup(self.orders.stop)
        self.addCleanup(self.client.go_on.set)

    def _claim(self) -> None:
        self.claimed += 1

    def test_own_coordinator_is_told_at_once(self):
        self.orders.send("own", (ItemsAt("r", 1),))
        self.orders.wake("own")
        self.assertEqual(self.cut, [(ItemsAt("r", 1),)])
        self.assertEqual(self.claimed, 1)

    def test_a_bug_in_an_order_answers_no_turn_twice(self):
        """A turn that was taken must not cost its gateway its other places in line."""
        answered: list[tuple[str, bool | None]] = []
        client = mock.Mock()

        def call(endpoint, message, reply_type, timeout_s):
            if isinstance(message, OnlineGrants):
                return GrantsAccepted(("t",))
            raise ValueError("a bug")

        client.call = call
        orders = AllocatorCalls(
            "own",
            self.cut.append,
            self._claim,
            client,
            NoServer(),
            member_named,
            grant_answered=lambda turn, taken: answered.append((turn.ticket, taken)),
        )
        self.addCleanup(orders.stop)
        replica = mock.Mock(id="r")
        with orders._changed:
            orders._waiting["peer"] = _Pending(Counter(r=1))
            orders.send_grant(SlotGrant(EnginePool("s"), "g", "peer", "t", replica))
        eventually(lambda: not orders._being_told and not orders._waiting, TIMEOUT_S)
        self.assertEqual([("t", True)], answered)

    def test_silent_coordinators_hold_up_neither_the_keeper_nor_others(self):
        """Each such order took the answer to a placement 0.2 s before."""
        began = time.monotonic()
        for number in range(SENDERS - 1):
            self.orders.send(f"slow-{number}", (ItemsAt("r", 1),))
        self.orders.send("quick", (ItemsAt("r", 2),))
        self.assertLess(time.monotonic() - began, 1.0)
        eventually(lambda: self.client.told("quick"), TIMEOUT_S)
        self.assertEqual(self.client.told("quick"), [PreemptItems((ItemsAt("r", 2),))])

    def test_word_for_a_coordinator_that_is_being_told_goes_out_together(self):
        self.orders.send("slow", (ItemsAt("r", 1),))
        eventually(lambda: self.client.told("slow"), TIMEOUT_S)
        for _ in range(5):
            self.orders.send("slow", (ItemsAt("r", 1),))
            self.orders.wake("slow")
        self.client.go_on.set()
        eventually(lambda: len(self.client.told("slow")) == 2, TIMEOUT_S)
        self.assertEqual(self.client.told("slow")[1], PreemptItems((ItemsAt("r", 5),)))
        self.assertEqual(self.client.most_under_way["slow"], 1)

    def test_every_word_arrives_however_many_there_are(self):
        names = [f"quick-{number}" for number in range(200)]
        for name in names:
            self.orders.wake(name)
        eventually(lambda: len(self.client.calls) == 200, TIMEOUT_S)
        self.assertEqual({name for name, _ in self.client.calls}, set(names))
        self.assertTrue(all(isinstance(message, SlotsFreed) for _, message in self.client.calls))


if __name__ == "__main__":
    unittest.main()
