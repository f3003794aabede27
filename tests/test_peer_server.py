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


class Ask(PeerMessage, frozen=True):
    """Requests its own text."""

    text: str


class Block(PeerMessage, frozen=True):
    """A message whose handler waits for ``go_on``."""


class Told(PeerMessage, frozen=True):
    """Answer to ``Ask`` and ``Block``."""

    text: str


class Odd(PeerMessage, frozen=True):
    """A message whose reply cannot be encoded."""


class PeerServerCase(unittest.TestCase):
    """One server, and connections to it."""

    def setUp(self):
        self.go_on = threading.Event()
        self.addCleanup(self.go_on.set)
        self.server = PeerServer(LOOPBACK)
        self.server.register(Ask, lambda message: Told(message.text))
        self.server.register(Block, self._block)
        self.server.register(Odd, lambda message: object())
        self.server.start()
        self.addCleanup(self.server.stop)

    def _block(self, message: Block) -> Told:
        self.go_on.wait(TIMEOUT_S)
        return Told("late")

    def connect(self) -> socket.socket:
        address = (self.server.endpoint.host, self.server.endpoint.port)
        connection = socket.create_connection(address, TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    def ask(self, connection: socket.socket, text: str) -> str:
        connection.sendall(msgspec.json.encode(Ask(text)) + b"\n")
        return self.read(connection)

    def read(self, connection: socket.socket) -> str:
        with connection.makefile("rb") as lines:
            return msgspec.json.decode(lines.readline(), type=Told).text

    def threads(self) -> int:
        return sum(thread.name == "peer" for thread in threading.enumerate())


class ManyPeersTest(PeerServerCase):
    """Many peers with one connection each."""

    def test_peers_that_rest_cost_no_threads(self):
        before = self.threads()
        connections = [self.connect() for _ in range(PEERS)]
        for index, connection in enumerate(connections):
            self.assertEqual(self.ask(connection, f"first {index}"), f"first {index}")
        for index, connection in enumerate(reversed(connections)):
            self.assertEqual(self.ask(connection, f"second {index}"), f"second {index}")
        self.assertLessEqual(self.threads() - before, MIN_IDLE_WORKERS + 1)

    def test_messages_that_wait_hold_nobody_else_up(self):
        blocked = [self.connect() for _ in range(20)]
        for connection in blocked:
            connection.sendall(msgspec.json.encode(Block()) + b"\n")
        self.assertEqual(self.ask(self.connect(), "quick"), "quick")
        self.go_on.set()
        self.assertEqual([self.read(connection) for connection in blocked], ["late"] * 20)

    def test_threads_that_are_not_needed_any_more_end(self):
        with mock.patch("quaymill.connection.peer_server.POLL_TIMEOUT_S", 0.05):
            before = self.threads()
            blocked = [self.connect() for _ in range(20)]
            for connection in blocked:
                connection.sendall(msgspec.json.encode(Block()) + b"\n")
            eventually(lambda: self.threads() - before >= 20, TIMEOUT_S)
            self.go_on.set()
            eventually(lambda: self.threads() <= before + MIN_IDLE_WORKERS, 2 * TIMEOUT_S)


class LinesTest(PeerServerCase):
    """Lines that arrive in pieces, together or incomplete, and replies that cannot be sent."""

    def test_line_that_comes_in_pieces_is_answered_once_it_is_whole(self):
        connection = self.connect()
        line = msgspec.json.encode(Ask("in pieces")) + b"\n"
        for begin in range(0, len(line), 5):
            connection.sendall(line[begin : begin + 5])
            self.assertEqual(self.ask(self.connect(), "another"), "another")
        self.assertEqual(self.read(connection), "in pieces")

    def test_long_lines_go_both_ways(self):
        text = "x" * 3_000_000
        self.assertEqual(self.ask(self.connect(), text), text)

    def test_lines_that_come_together_are_answered_in_their_order(self):
        connection = self.connect()
        connection.sendall(b"".join(msgspec.json.encode(Ask(text)) + b"\n" for text in "abc"))
        with connection.makefile("rb") as lines:
            answers = [msgspec.json.decode(lines.readline(), type=Told).text for _ in "abc"]
        self.assertEqual(answers, ["a", "b", "c"])

    def test_peer_that_goes_away_midway_is_forgotten(self):
        connection = self.connect()
        connection.sendall(b'{"kind":')
        eventually(lambda: len(self.server._connections) == 1, TIMEOUT_S)
        connection.close()
        eventually(lambda: not self.server._connections, TIMEOUT_S)

    def test_replies_that_cannot_be_sent_end_their_connections_only(self):
        for _ in range(MIN_IDLE_WORKERS + 2):
            connection = self.connect()
            connection.sendall(msgspec.json.encode(Odd()) + b"\n")
            self.assertEqual(connection.recv(1), b"")
        self.assertEqual(self.ask(self.connect(), "still served"), "still served")

    def test_stop_closes_connections_that_rest(self):
        connection = self.connect()
        self.ask(connection, "once")
        self.server.stop()
        self.assertEqual(connection.recv(1), b"")


if __name__ == "__main__":
    unittest.main()
