"""Calls of a slot allocator reach their recipients, and unresponsive ones delay nobody else."""

from __future__ import annotations

import threading
import time
import unittest
from collections import Counter
from unittest import mock

from fleet_support import eventually
from quaymill import boot_clock
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
from quaymill.process.jobs.allocator_calls import MAX_SENDERS, AllocatorCalls, _Pending
from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.jobs.slot_grants import SlotGrant

TIMEOUT_S = 10.0


class SlowClient:
    """Client whose calls to names that start with "slow" wait for the test and then fail."""

    def __init__(self) -> None:
        self.may_answer = threading.Event()
        self.calls: list[tuple[str, object]] = []
        self.in_progress: Counter[str] = Counter()
        self.max_in_progress: Counter[str] = Counter()
        self._lock = threading.Lock()

    def call(self, endpoint, message, reply_type, timeout_s):
        name = endpoint.host
        with self._lock:
            self.calls.append((name, message))
            self.in_progress[name] += 1
            self.max_in_progress |= self.in_progress
        if name.startswith("slow"):
            self.may_answer.wait(TIMEOUT_S)
        with self._lock:
            self.in_progress[name] -= 1
        if name.startswith("slow"):
            return PeerNoReply(endpoint, "unresponsive")
        return ItemsPreempted() if isinstance(message, PreemptItems) else SlotsFreedAcknowledged()

    def messages_to(self, name: str) -> list[object]:
        return [message for to, message in self.calls if to == name]


class NoServer:
    """Server that registers no handlers."""

    def register(self, message_type, handler) -> None:
        """Do nothing."""


def member_named(name: str) -> Member:
    endpoint = Endpoint(name, 1)
    return Member(name, "z", "r", endpoint, endpoint)


class AllocatorCallsTest(unittest.TestCase):
    """Calls of one allocator."""

    def setUp(self):
        self.client = SlowClient()
        self.preempted: list[tuple[ItemsAt, ...]] = []
        self.claimed = 0
        self.sender = AllocatorCalls(
            "own", self.preempted.append, self._claim, self.client, NoServer(), member_named
        )
        self.addCleanup(self.sender.stop)
        self.addCleanup(self.client.may_answer.set)

    def _claim(self) -> None:
        self.claimed += 1

    def test_the_local_coordinator_is_called_immediately(self):
        self.sender.send("own", (ItemsAt("r", 1),))
        self.sender.wake("own")
        self.assertEqual(self.preempted, [(ItemsAt("r", 1),)])
        self.assertEqual(self.claimed, 1)

    def test_cold_grants_that_waited_are_not_sent(self):
        """Guards against a busy sender whose old grants count as fresh at the gateway."""
        now = boot_clock.now()
        answered: list[tuple[str, bool | None]] = []
        received: list[str] = []
        self.client.call = lambda endpoint, message, reply_type, timeout_s: (
            received.extend(one.ticket for one in message.all),
            GrantsAccepted(tuple(one.ticket for one in message.all)),
        )[1]
        self.sender._grant_answered = lambda grant, accepted: answered.append(
            (grant.ticket, accepted)
        )
        replica = mock.Mock(id="r")
        for process in ("peer", "own"):
            self.sender._accept_grants = lambda grants: tuple(one.ticket for one in grants)
            grants = [
                SlotGrant(EnginePool("s"), "g", process, ticket, replica, cold, granted_at=at)
                for ticket, cold, at in (("old", True, now - 1), ("new", True, now + 60))
            ]
            grants.append(SlotGrant(EnginePool("s"), "g", process, "warm", replica, granted_at=0.0))
            self.sender._deliver(process, _Pending(grants=grants))
            self.sender._deliver(process, _Pending(grants=grants[:1]))
        expected = [("old", False), ("new", True), ("warm", True), ("old", False)]
        self.assertEqual(expected * 2, answered)
        self.assertEqual({"new", "warm"}, set(received))

    def test_a_failed_preemption_does_not_answer_a_grant_twice(self):
        """Answering an accepted grant again would drop its gateway's other queued requests."""
        answered: list[tuple[str, bool | None]] = []
        client = mock.Mock()

        def call(endpoint, message, reply_type, timeout_s):
            if isinstance(message, OnlineGrants):
                return GrantsAccepted(("t",))
            raise ValueError("a bug")

        client.call = call
        sender = AllocatorCalls(
            "own",
            self.preempted.append,
            self._claim,
            client,
            NoServer(),
            member_named,
            grant_answered=lambda grant, accepted: answered.append((grant.ticket, accepted)),
        )
        self.addCleanup(sender.stop)
        replica = mock.Mock(id="r")
        with sender._changed:
            sender._pending_by_process["peer"] = _Pending(Counter(r=1))
            sender.send_grant(SlotGrant(EnginePool("s"), "g", "peer", "t", replica))
        eventually(lambda: not sender._being_called and not sender._pending_by_process, TIMEOUT_S)
        self.assertEqual([("t", True)], answered)

    def test_unresponsive_coordinators_delay_neither_the_allocator_nor_others(self):
        """A call to an unresponsive coordinator must not block the answers of the allocator."""
        began = time.monotonic()
        for number in range(MAX_SENDERS - 1):
            self.sender.send(f"slow-{number}", (ItemsAt("r", 1),))
        self.sender.send("quick", (ItemsAt("r", 2),))
        self.assertLess(time.monotonic() - began, 1.0)
        eventually(lambda: self.client.messages_to("quick"), TIMEOUT_S)
        self.assertEqual(self.client.messages_to("quick"), [PreemptItems((ItemsAt("r", 2),))])

    def test_messages_during_a_call_are_sent_together(self):
        self.sender.send("slow", (ItemsAt("r", 1),))
        eventually(lambda: self.client.messages_to("slow"), TIMEOUT_S)
        for _ in range(5):
            self.sender.send("slow", (ItemsAt("r", 1),))
            self.sender.wake("slow")
        self.client.may_answer.set()
        eventually(lambda: len(self.client.messages_to("slow")) == 2, TIMEOUT_S)
        self.assertEqual(self.client.messages_to("slow")[1], PreemptItems((ItemsAt("r", 5),)))
        self.assertEqual(self.client.max_in_progress["slow"], 1)

    def test_every_message_arrives_with_many_coordinators(self):
        names = [f"quick-{number}" for number in range(200)]
        for name in names:
            self.sender.wake(name)
        eventually(lambda: len(self.client.calls) == 200, TIMEOUT_S)
        self.assertEqual({name for name, _ in self.client.calls}, set(names))
        self.assertTrue(all(isinstance(message, SlotsFreed) for _, message in self.client.calls))


if __name__ == "__main__":
    unittest.main()
