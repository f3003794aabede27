"""Server of the internal protocol: threads grow with the messages handled, not with the peers."""

from __future__ import annotations

import socket
import threading
import unittest
from unittest import mock

import msgspec

from fleet_support import eventually
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.peer_link import PeerMessage
from quaymill.connection.peer_server import MIN_IDLE_WORKERS, PeerServer

LOOPBACK = Endpoint("127.0.0.1", 0)
TIMEOUT_S = 10.0
PEERS = 300


class EchoRequest(PeerMessage, frozen=True):
    """Requests its own text."""

    text: str


class BlockingRequest(PeerMessage, frozen=True):
    """A message whose handler waits for ``release_handlers``."""


class EchoReply(PeerMessage, frozen=True):
    """Answer to ``EchoRequest`` and ``BlockingRequest``."""

    text: str


class UnencodableRequest(PeerMessage, frozen=True):
    """A message whose reply cannot be encoded."""


class PeerServerCase(unittest.TestCase):
    """One server, and connections to it."""

    def setUp(self):
        self.release_handlers = threading.Event()
        self.addCleanup(self.release_handlers.set)
        self.server = PeerServer(LOOPBACK)
        self.server.register(EchoRequest, lambda message: EchoReply(message.text))
        self.server.register(BlockingRequest, self._block)
        self.server.register(UnencodableRequest, lambda message: object())
        self.server.start()
        self.addCleanup(self.server.stop)

    def _block(self, message: BlockingRequest) -> EchoReply:
        self.release_handlers.wait(TIMEOUT_S)
        return EchoReply("late")

    def connect(self) -> socket.socket:
        address = (self.server.endpoint.host, self.server.endpoint.port)
        connection = socket.create_connection(address, TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    def request(self, connection: socket.socket, text: str) -> str:
        connection.sendall(msgspec.json.encode(EchoRequest(text)) + b"\n")
        return self.read_text(connection)

    def read_text(self, connection: socket.socket) -> str:
        with connection.makefile("rb") as lines:
            return msgspec.json.decode(lines.readline(), type=EchoReply).text

    def worker_threads(self) -> int:
        return sum(thread.name == "peer" for thread in threading.enumerate())


class ManyPeersTest(PeerServerCase):
    """Many peers with one connection each."""

    def test_idle_peers_need_no_threads(self):
        before = self.worker_threads()
        connections = [self.connect() for _ in range(PEERS)]
        for index, connection in enumerate(connections):
            self.assertEqual(self.request(connection, f"first {index}"), f"first {index}")
        for index, connection in enumerate(reversed(connections)):
            self.assertEqual(self.request(connection, f"second {index}"), f"second {index}")
        self.assertLessEqual(self.worker_threads() - before, MIN_IDLE_WORKERS + 1)

    def test_blocked_handlers_do_not_delay_other_messages(self):
        blocked = [self.connect() for _ in range(20)]
        for connection in blocked:
            connection.sendall(msgspec.json.encode(BlockingRequest()) + b"\n")
        self.assertEqual(self.request(self.connect(), "quick"), "quick")
        self.release_handlers.set()
        self.assertEqual([self.read_text(connection) for connection in blocked], ["late"] * 20)

    def test_unneeded_threads_end(self):
        with mock.patch("quaymill.connection.peer_server.POLL_TIMEOUT_S", 0.05):
            before = self.worker_threads()
            blocked = [self.connect() for _ in range(20)]
            for connection in blocked:
                connection.sendall(msgspec.json.encode(BlockingRequest()) + b"\n")
            eventually(lambda: self.worker_threads() - before >= 20, TIMEOUT_S)
            self.release_handlers.set()
            eventually(lambda: self.worker_threads() <= before + MIN_IDLE_WORKERS, 2 * TIMEOUT_S)


class LinesTest(PeerServerCase):
    """Lines that arrive in pieces, together or incomplete, and replies that cannot be sent."""

    def test_line_in_pieces_is_answered_when_complete(self):
        connection = self.connect()
        line = msgspec.json.encode(EchoRequest("in pieces")) + b"\n"
        for begin in range(0, len(line), 5):
            connection.sendall(line[begin : begin + 5])
            self.assertEqual(self.request(self.connect(), "another"), "another")
        self.assertEqual(self.read_text(connection), "in pieces")

    def test_long_lines_in_both_directions(self):
        text = "x" * 3_000_000
        self.assertEqual(self.request(self.connect(), text), text)

    def test_lines_received_together_are_answered_in_order(self):
        connection = self.connect()
        connection.sendall(
            b"".join(msgspec.json.encode(EchoRequest(text)) + b"\n" for text in "abc")
        )
        with connection.makefile("rb") as lines:
            answers = [msgspec.json.decode(lines.readline(), type=EchoReply).text for _ in "abc"]
        self.assertEqual(answers, ["a", "b", "c"])

    def test_connection_closed_within_a_line_is_removed(self):
        connection = self.connect()
        connection.sendall(b'{"kind":')
        eventually(lambda: len(self.server._connections) == 1, TIMEOUT_S)
        connection.close()
        eventually(lambda: not self.server._connections, TIMEOUT_S)

    def test_unencodable_reply_closes_only_its_connection(self):
        for _ in range(MIN_IDLE_WORKERS + 2):
            connection = self.connect()
            connection.sendall(msgspec.json.encode(UnencodableRequest()) + b"\n")
            self.assertEqual(connection.recv(1), b"")
        self.assertEqual(self.request(self.connect(), "still served"), "still served")

    def test_stop_closes_idle_connections(self):
        connection = self.connect()
        self.request(connection, "once")
        self.server.stop()
        self.assertEqual(connection.recv(1), b"")


if __name__ == "__main__":
    unittest.main()
