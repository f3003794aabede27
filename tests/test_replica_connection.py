"""Connections to replicas: read timeouts and preemption notices."""

import socket
import time
import unittest

from gateway_rig import GatewayRig, wait_until
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.replica_connection import ReplicaConnections, ReplicaRequest
from quaymill.process.replicas.notifier import PreemptionNotifier
from quaymill.request.outcome import OutcomeUnknown


class ReplicaConnectionTest(unittest.TestCase):
    """A replica that accepts a connection and never answers."""

    def test_read_head_times_out(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        connections = ReplicaConnections(LinkFilter())
        endpoint = Endpoint("127.0.0.1", listener.getsockname()[1])
        exchange = connections.send(endpoint, ReplicaRequest("GET", "/load", {}))
        started_s = time.monotonic()
        self.assertIsInstance(exchange.read_head(0.2), OutcomeUnknown)
        self.assertLess(time.monotonic() - started_s, 2.0)


class NotifierTest(unittest.TestCase):
    """Preemption notices to the batch scheduler of a replica."""

    def test_batched_notices_count_every_request(self) -> None:
        rig = GatewayRig()
        rig.add_engine()
        rig.start()
        self.addCleanup(rig.stop)
        notifier = PreemptionNotifier(rig.load_view, rig.peer_client)
        self.addCleanup(notifier.stop)
        replica = rig.load_view.all_replicas()[0]
        for _ in range(50):
            notifier.notify(replica)
        wait_until(lambda: len(rig.notices) >= 50)
        self.assertEqual(rig.notices, ["engine-1"] * 50)


if __name__ == "__main__":
    unittest.main()
