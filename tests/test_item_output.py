"""The output of a batch item is kept in memory, so it must not grow without end."""

from __future__ import annotations

import unittest
from unittest import mock

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.job_document import JobItem
from quaymill.connection.replica_connection import ReplicaConnections
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.process.jobs import item_run
from quaymill.process.jobs.coordinated_job import CoordinatedItem
from quaymill.process.jobs.item_run import ItemCut, ItemDone, run_item
from quaymill.process.jobs.run_handle import RunHandle
from quaymill.process.replica_set.replica import Replica
from raw_replica import RawReplica, RawRequest

EVENT_LENGTH = 90


class OutputTest(unittest.TestCase):
    """Guards against a process that runs out of memory for the output of one item."""

    def setUp(self) -> None:
        self.events = 0
        raw = RawReplica(self._answer)
        self.addCleanup(raw.stop)
        address = Endpoint("127.0.0.1", raw.port)
        self.replica = Replica(ReplicaEntry("engine-1", "engine", address, "x", slots=4))
        self.connections = ReplicaConnections(LinkFilter())
        self.addCleanup(self.connections.close)
        self.item = CoordinatedItem(0, JobItem("00000000000000aa", "/r", {}, b"", 10))

    def _answer(self, request: RawRequest) -> bool:
        head = request.head("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        request.connection.sendall(head)
        for number in range(1, self.events + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_LENGTH)
            request.connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        request.connection.sendall(b"0\r\n\r\n")
        return False

    def run_item(self) -> object:
        self.item.run = RunHandle()
        with mock.patch.object(item_run, "MAX_TEXT_LENGTH", 10 * EVENT_LENGTH):
            return run_item(
                self.item, "host", self.replica, self.connections, GATEWAY_PROTOCOL.items
            )

    def test_too_long_output_is_discarded(self) -> None:
        self.events = 11
        self.assertIsInstance(self.run_item(), ItemCut)
        self.assertEqual(([], None), (self.item.texts, self.item.last_event_id))

    def test_longest_output_is_kept(self) -> None:
        self.events = 10
        self.assertIsInstance(self.run_item(), ItemDone)
        self.assertEqual(10, len(self.item.texts))


if __name__ == "__main__":
    unittest.main()
