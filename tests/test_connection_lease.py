"""The connection of an exchange cannot be closed by an exchange that used it before."""

from __future__ import annotations

import socket
import threading
import unittest

from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.connection_lease import LeaseState
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.replica_connection import Exchange, ReplicaConnections, ReplicaRequest
from quaymill.request.outcome import OutcomeUnknown
from raw_replica import RawReplica, RawRequest

TIMEOUT_S = 5.0
FIRST_HALF = b"first half, "
SECOND_HALF = b"second half"
FRAMINGS = {
    "/length": (f"Content-Length: {len(FIRST_HALF + SECOND_HALF)}",),
    "/close": (),
    "/chunked": ("Transfer-Encoding: chunked",),
}


def in_framing(path: str, block: bytes) -> bytes:
    """Return a part of the body as it is sent."""
    return b"%x\r\n%b\r\n" % (len(block), block) if path == "/chunked" else block


class LeaseCase(unittest.TestCase):
    """A replica that sends the second half of an answer when the test tells it to."""

    def setUp(self) -> None:
        self.go_on = threading.Event()
        self.addCleanup(self.go_on.set)
        self.replica = RawReplica(self._answer)
        self.addCleanup(self.replica.stop)
        self.connections = ReplicaConnections(LinkFilter())
        self.addCleanup(self.connections.close)
        self.endpoint = Endpoint("127.0.0.1", self.replica.port)

    def _answer(self, request: RawRequest) -> bool:
        if request.path == "/whole":
            request.send_whole(b"whole")
            return True
        if request.path == "/silent":
            return self.go_on.wait(TIMEOUT_S)
        head = request.head(*FRAMINGS[request.path])
        request.connection.sendall(head + in_framing(request.path, FIRST_HALF))
        self.go_on.wait(TIMEOUT_S)
        last = b"0\r\n\r\n" if request.path == "/chunked" else b""
        request.connection.sendall(in_framing(request.path, SECOND_HALF) + last)
        return request.path != "/close"

    def send(self, path: str) -> Exchange:
        exchange = self.connections.send(self.endpoint, ReplicaRequest("GET", path, {}))
        self.assertIsInstance(exchange, Exchange)
        self.addCleanup(exchange.abandon)
        return exchange

    def read(self, exchange: Exchange) -> bytes | OutcomeUnknown:
        self.assertIsNone(exchange.read_head(TIMEOUT_S))
        return exchange.read_body(1024, boot_clock.now() + TIMEOUT_S)

    def finished(self) -> Exchange:
        """Return an exchange that has ended, with its connection back in the pool."""
        exchange = self.send("/whole")
        self.assertEqual(b"whole", self.read(exchange))
        exchange.release()
        return exchange


class StaleHandleTest(LeaseCase):
    """Guards against an answer that is cut as the caller of an earlier one leaves."""

    @params(*((end, path) for end in ("cancel", "abandon") for path in FRAMINGS))
    def test_ended_exchange_does_not_cut_the_next_answer(self, end: str, path: str) -> None:
        first = self.finished()
        second = self.send(path)
        self.assertTrue(second.reused)
        self.assertIsNone(second.read_head(TIMEOUT_S))
        self.assertEqual(FIRST_HALF, second.read_block())
        getattr(first, end)()
        self.go_on.set()
        rest = second.read_body(1024, boot_clock.now() + TIMEOUT_S)
        self.assertEqual(SECOND_HALF, rest)
        self.assertEqual(1, self.replica.accepted)

    @params("cancel", "abandon")
    def test_ended_exchange_does_not_close_an_idle_connection(self, end: str) -> None:
        getattr(self.finished(), end)()
        self.finished()
        self.assertEqual(1, self.replica.accepted)


class CancelledExchangeTest(LeaseCase):
    """A cancel reaches its own exchange in each of its states."""

    def test_cancel_before_the_answer(self) -> None:
        exchange = self.send("/silent")
        exchange.cancel()
        self.assertIsInstance(exchange.read_head(TIMEOUT_S), OutcomeUnknown)

    @params(*FRAMINGS)
    def test_cancel_within_the_answer(self, path: str) -> None:
        exchange = self.send(path)
        self.assertIsNone(exchange.read_head(TIMEOUT_S))
        self.assertEqual(FIRST_HALF, exchange.read_block())
        exchange.cancel()
        self.assertIsInstance(exchange.read_block(), OutcomeUnknown)
        self.assertIs(LeaseState.CLOSED, exchange.lease.state)

    def test_connection_cancelled_before_its_release_is_not_reused(self) -> None:
        exchange = self.send("/whole")
        self.assertEqual(b"whole", self.read(exchange))
        exchange.cancel()
        exchange.release()
        self.assertIs(LeaseState.CLOSED, exchange.lease.state)
        self.finished()
        self.assertEqual(2, self.replica.accepted)

    def test_cancels_beside_reuse_reach_nobody_else(self) -> None:
        """Guards against a lock that is let go between the check and the close."""
        ended: list[Exchange] = []
        stopping = threading.Event()

        def cancel_ended() -> None:
            while not stopping.is_set():
                for exchange in ended[-2:]:
                    exchange.cancel()

        canceller = threading.Thread(target=cancel_ended)
        canceller.start()
        try:
            for _ in range(300):
                ended.append(self.finished())
        finally:
            stopping.set()
            canceller.join(TIMEOUT_S)
        self.assertEqual(1, self.replica.accepted)


class ClosedSocketTest(LeaseCase):
    """A handle never reaches a descriptor that was given to another connection."""

    def test_cancel_after_the_close_leaves_its_descriptor_alone(self) -> None:
        exchange = self.finished()
        descriptor = exchange.descriptor
        self.connections.close()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            new = socket.create_connection(listener.getsockname())
            self.addCleanup(new.close)
            accepted, _ = listener.accept()
            self.addCleanup(accepted.close)
            self.assertIn(descriptor, (new.fileno(), accepted.fileno(), listener.fileno()))
            exchange.cancel()
            new.sendall(b"x")
            self.assertEqual(b"x", accepted.recv(1))
