"""One run of a batch item: whether an incomplete answer counts as a failure of the replica."""

from __future__ import annotations

import socket
import threading
import unittest
from unittest import mock

from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.job_document import JobItem
from quaymill.connection.replica_connection import ReplicaConnections
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.process.jobs.coordinated_job import CoordinatedItem
from quaymill.process.jobs.item_run import ItemCut, ItemDone, run_item
from quaymill.process.jobs.run_handle import RunHandle
from quaymill.process.replica_set.replica import Replica
from quaymill.request.forwarding import SILENCE_TIMEOUT_S
from standin_support import wait_until

REQUEST_ID = "00000000000000aa"
NO_HEAD = b""
HEAD_ONLY = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: " + REQUEST_ID.encode() + b"\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
UNFRAMED_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: " + REQUEST_ID.encode() + b"\r\n"
    b"Content-Type: text/event-stream\r\n\r\n"
)
UNFRAMED_EVENT = UNFRAMED_HEAD + b"id: 1\ndata: a\n\n"
UNFRAMED_HALF_AN_EVENT = UNFRAMED_EVENT + b"id: 2\nda"
HALF_AN_EVENT = HEAD_ONLY + b"8\r\nid: 1\nda\r\n"
JOIN_TIMEOUT_S = 10.0
MAX_SILENCE_S = 18.0 / 6
"""A sixth of the 18 s in which a job is due, so that an item of five seconds can lose this time at
two replicas and still finish in time."""


class ItemRunTest(unittest.TestCase):
    """A replica that sends part of an answer, then nothing more or the end of the connection."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(JOIN_TIMEOUT_S)
        self.addCleanup(self.listener.close)
        address = Endpoint("127.0.0.1", self.listener.getsockname()[1])
        self.replica = Replica(ReplicaEntry("engine-1", "engine", address, "x", slots=4))
        self.connections = ReplicaConnections(LinkFilter())
        self.addCleanup(self.connections.close)
        self.item = CoordinatedItem(0, JobItem(REQUEST_ID, "/r/1", {}, b"", 10))
        self.item.run = RunHandle()
        self.outcomes: list[object] = []

    def run_until_answered(self, answer: bytes) -> tuple[threading.Thread, socket.socket]:
        """Start a run, and return after the replica has received the request and sent a part."""
        thread = threading.Thread(target=self._run, daemon=True)
        thread.start()
        connection, _ = self.listener.accept()
        self.addCleanup(connection.close)
        connection.recv(4096)
        connection.sendall(answer)
        wait_until(lambda: self.item.run._cancel is not None, "the item can be cancelled")
        return thread, connection

    def _run(self) -> None:
        protocol = GATEWAY_PROTOCOL.items
        outcome = run_item(self.item, "host", self.replica, self.connections, protocol)
        self.outcomes.append(outcome)

    def outcome_of(self, thread: threading.Thread) -> ItemCut:
        thread.join(JOIN_TIMEOUT_S)
        (outcome,) = self.outcomes
        self.assertIsInstance(outcome, ItemCut)
        return outcome

    @params(NO_HEAD, HEAD_ONLY, HALF_AN_EVENT, UNFRAMED_EVENT)
    def test_a_preempted_item_does_not_blame_the_replica(self, answer: bytes) -> None:
        thread, _ = self.run_until_answered(answer)
        if answer is UNFRAMED_EVENT:
            wait_until(lambda: self.item.texts, "the event was received")
        self.item.run.preempt()
        self.assertFalse(self.outcome_of(thread).blames_replica)

    @params(NO_HEAD, HEAD_ONLY, HALF_AN_EVENT, UNFRAMED_HEAD, UNFRAMED_HALF_AN_EVENT)
    def test_a_replica_that_closes_the_connection_is_blamed(self, answer: bytes) -> None:
        thread, connection = self.run_until_answered(answer)
        connection.close()
        self.assertTrue(self.outcome_of(thread).blames_replica)

    def test_an_item_is_done_when_a_stream_without_framing_ends_after_an_event(self) -> None:
        thread, connection = self.run_until_answered(UNFRAMED_EVENT)
        connection.close()
        thread.join(JOIN_TIMEOUT_S)
        self.assertEqual([ItemDone()], self.outcomes)
        self.assertEqual(["a"], self.item.texts)

    def test_an_item_in_an_unreachable_zone_is_given_up_immediately(self) -> None:
        thread, _ = self.run_until_answered(NO_HEAD)
        began = boot_clock.now()
        with mock.patch.object(Replica, "unreachable", True):
            self.outcome_of(thread)
        self.assertLess(boot_clock.now() - began, SILENCE_TIMEOUT_S)

    @params(NO_HEAD, HEAD_ONLY, HALF_AN_EVENT)
    def test_an_item_at_an_unresponsive_replica_is_given_up(self, answer: bytes) -> None:
        began = boot_clock.now()
        thread, connection = self.run_until_answered(answer)
        outcome = self.outcome_of(thread)
        self.assertLess(boot_clock.now() - began, MAX_SILENCE_S)
        self.assertTrue(outcome.blames_replica)
        self.assertEqual(b"", connection.recv(1), "the connection to the replica was not closed")
