"""Connections to replicas: read timeouts and preemption notices."""

import socket
import time
import unittest

from gateway_rig import GatewayRig, wait_until
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.replica_connection import ReplicaConnections, ReplicaRequest
from quaymill.process.replicas.notifier import PreemptionNotifier
from quaymill.request.outcome import OutcomeUnknown
from quaymill_bench.loopback_proxy import LinkState, LoopbackProxy


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


class ProbeTest(unittest.TestCase):
    """Whether a replica responds, behind a proxy that accepts connections in its place."""

    def setUp(self) -> None:
        rig = GatewayRig()
        self.replica = rig.add_engine()
        self.addCleanup(self.replica.stop)
        self.proxy = LoopbackProxy(("127.0.0.1", self.replica.port))
        self.addCleanup(self.proxy.stop)
        self.connections = ReplicaConnections(LinkFilter())

    def responds(self, port: int, path: str = "/load") -> bool:
        request = ReplicaRequest("GET", path, {})
        return self.connections.responds(Endpoint("127.0.0.1", port), request)

    def test_any_answer_counts(self) -> None:
        for path in ("/load", "/no-such-page"):
            self.assertTrue(self.responds(self.proxy.port, path))

    def test_accepted_connection_alone_does_not_count(self) -> None:
        """Guards against requests that are sent beyond a partition."""
        for state in (LinkState.SILENT, LinkState.ANSWERS_LOST, LinkState.RESET):
            self.proxy.set_state(state)
            self.assertFalse(self.responds(self.proxy.port))

    def test_refused_connection_counts(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        self.assertTrue(self.responds(port))


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
