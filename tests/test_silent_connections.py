"""Idle connections that were silently dropped, without a reset, while new connections work.

Guards against each of several dropped connections delaying another request by its whole timeout.
"""

from __future__ import annotations

import threading
import time
import unittest
from typing import ClassVar

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.peer_link import PeerClient, PeerMessage
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.replica_connection import ReplicaConnections, ReplicaRequest
from quaymill.request.outcome import OutcomeUnknown
from quaymill_bench.loopback_proxy import LoopbackProxy
from quaymill_standins.fleet_replica import FleetReplica

IDLE_CONNECTIONS = 8
TIMEOUT_S = 0.4
LONG_TIMEOUT_S = 5.0


class Once(PeerMessage, frozen=True):
    """A message that must not be received twice."""


class Again(PeerMessage, frozen=True):
    """A message that may be received twice."""

    repeatable: ClassVar[bool] = True


class Done(PeerMessage, frozen=True):
    """Answer to both messages."""


class PeerTest(unittest.TestCase):
    """Idle connections to a healthy peer, all silently dropped."""

    def setUp(self) -> None:
        self.all_arrived = threading.Barrier(IDLE_CONNECTIONS)
        self.wait_for_all = True
        server = PeerServer(Endpoint("127.0.0.1", 0))
        server.register(Once, self._answer)
        server.register(Again, self._answer)
        server.start()
        self.addCleanup(server.stop)
        self.proxy = LoopbackProxy(("127.0.0.1", server.endpoint.port))
        self.addCleanup(self.proxy.stop)
        self.endpoint = Endpoint("127.0.0.1", self.proxy.port)
        self.client = PeerClient(LinkFilter())
        self.addCleanup(self.client.close)
        threads = [
            threading.Thread(target=self.call, args=(Once(), LONG_TIMEOUT_S))
            for _ in range(IDLE_CONNECTIONS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.wait_for_all = False
        self.proxy.silence_open()

    def _answer(self, message: PeerMessage) -> Done:
        if self.wait_for_all:
            self.all_arrived.wait(LONG_TIMEOUT_S)
        return Done()

    def call(self, message: PeerMessage, timeout_s: float = TIMEOUT_S) -> bool:
        reply = self.client.call(self.endpoint, message, Done, timeout_s)
        return isinstance(reply, Done)

    def test_only_one_non_repeatable_call_is_lost(self) -> None:
        began = time.monotonic()
        self.assertEqual([False, True], [self.call(Once()) for _ in range(2)])
        self.assertLess(time.monotonic() - began, 2 * TIMEOUT_S)

    def test_no_repeatable_call_is_lost(self) -> None:
        self.assertEqual(
            [True] * IDLE_CONNECTIONS, [self.call(Again()) for _ in range(IDLE_CONNECTIONS)]
        )


class ReplicaTest(unittest.TestCase):
    """Idle connections to a healthy replica, all silently dropped."""

    def setUp(self) -> None:
        replica = FleetReplica("application-0", "application", "zone", slots=IDLE_CONNECTIONS)
        replica.start()
        self.addCleanup(replica.stop)
        self.proxy = LoopbackProxy(("127.0.0.1", replica.port))
        self.addCleanup(self.proxy.stop)
        self.endpoint = Endpoint("127.0.0.1", self.proxy.port)
        self.connections = ReplicaConnections(LinkFilter())
        self.addCleanup(self.connections.close)
        exchanges = [self.send(str(number)) for number in range(IDLE_CONNECTIONS)]
        for exchange in exchanges:
            self.assertIsNone(exchange.read_head(LONG_TIMEOUT_S))
            exchange.read_body(1024, time.monotonic() + LONG_TIMEOUT_S)
            exchange.release()
        self.proxy.silence_open()

    def send(self, name: str):
        headers = {"Request-Id": name, "Expect-Instance": "application-0"}
        return self.connections.send(self.endpoint, ReplicaRequest("POST", "/x", headers))

    def test_only_one_request_is_lost(self) -> None:
        failure = self.send("lost").read_head(TIMEOUT_S)
        self.assertIsInstance(failure, OutcomeUnknown)
        self.assertIsNone(self.send("after it").read_head(LONG_TIMEOUT_S))
