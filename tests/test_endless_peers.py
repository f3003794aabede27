"""Answers and messages without end between nodes, and from the platform."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
import unittest
from unittest import mock

from nose2.tools import params

from quaymill.connection import peer_link, peer_server, platform_client
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.peer_link import PeerClient, PeerMessage, PeerNoReply
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.platform_client import PlatformClient
from quaymill.connection.platform_objects import PlatformUnavailable, WatchEnded

TIMEOUT_S = 1.0
SLACK_S = 4.0
MAX_BYTES = 1024 * 1024
SLOW_INTERVAL_S = 0.05


class Question(PeerMessage, frozen=True):
    """A message of these tests."""


class EndlessServer:
    """Answers each connection with some bytes, and then with others without end.

    Attributes
    ----------
    closed
        Set once the other end has closed a connection.
    """

    def __init__(self, start: bytes, repeated: bytes, interval_s: float) -> None:
        self._start, self._repeated, self._interval_s = start, repeated, interval_s
        self._stopping = threading.Event()
        self.closed = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.endpoint = Endpoint("127.0.0.1", self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Send no more."""
        self._stopping.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._send, args=(connection,), daemon=True).start()

    def _send(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.recv(4096)
            connection.sendall(self._start)
            while not self._stopping.wait(self._interval_s):
                connection.sendall(self._repeated)
        self.closed.set()


class EndlessCase(unittest.TestCase):
    """Bounds that are lowered, so that the tests move few bytes."""

    def setUp(self) -> None:
        for module, name in (
            (peer_link, "MAX_LINE_BYTES"),
            (peer_server, "MAX_LINE_BYTES"),
            (platform_client, "MAX_ANSWER_BYTES"),
        ):
            self.enterContext(mock.patch.object(module, name, MAX_BYTES))

    def serve(self, start: bytes, repeated: bytes, interval_s: float) -> EndlessServer:
        server = EndlessServer(start, repeated if interval_s else repeated * 4096, interval_s)
        self.addCleanup(server.stop)
        return server


class PeerTest(EndlessCase):
    """Nodes that send without end."""

    @params(0.0, SLOW_INTERVAL_S)
    def test_reply_without_end_is_no_reply(self, interval_s: float) -> None:
        server = self.serve(b"", b"x", interval_s)
        client = PeerClient(LinkFilter())
        self.addCleanup(client.close)
        began = time.monotonic()
        reply = client.call(server.endpoint, Question(), Question, TIMEOUT_S)
        self.assertIsInstance(reply, PeerNoReply)
        self.assertLess(time.monotonic() - began, TIMEOUT_S + SLACK_S)
        self.assertTrue(server.closed.wait(SLACK_S))

    def test_message_without_end_is_refused(self) -> None:
        """Guards against a sender that is faster than the thread that reads from it."""
        server = PeerServer(Endpoint("127.0.0.1", 0))
        server.register(Question, lambda message: message)
        server.start()
        self.addCleanup(server.stop)
        address = (server.endpoint.host, server.endpoint.port)
        with socket.create_connection(address, timeout=TIMEOUT_S + SLACK_S) as sender:
            sent_bytes = 0
            with contextlib.suppress(ConnectionError):
                while sent_bytes < 64 * MAX_BYTES:
                    sent_bytes += sender.send(b"x" * 65536)
        self.assertLess(sent_bytes, 64 * MAX_BYTES)


class PlatformTest(EndlessCase):
    """A platform that sends without end."""

    FORMS = (
        (b"HTTP/1.1 200 OK\r\nX: ", b"x"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X: x\r\n"),
    )

    def client_of(self, form: tuple[bytes, bytes], interval_s: float) -> PlatformClient:
        self.server = self.serve(*form, interval_s)
        client = PlatformClient(self.server.endpoint)
        self.addCleanup(client.close)
        return client

    @params(*((form, interval_s) for form in FORMS for interval_s in (0.0, SLOW_INTERVAL_S)))
    def test_answer_without_end_is_unavailable(
        self, form: tuple[bytes, bytes], interval_s: float
    ) -> None:
        client = self.client_of(form, interval_s)
        began = time.monotonic()
        answer = client.get("kinds", "name", TIMEOUT_S)
        self.assertIsInstance(answer, PlatformUnavailable)
        self.assertLess(time.monotonic() - began, TIMEOUT_S + SLACK_S)
        self.assertTrue(self.server.closed.wait(SLACK_S))

    @params(*((form, interval_s) for form in FORMS[:2] for interval_s in (0.0, SLOW_INTERVAL_S)))
    def test_watch_without_end_of_a_line_ends(
        self, form: tuple[bytes, bytes], interval_s: float
    ) -> None:
        client = self.client_of(form, interval_s)
        began = time.monotonic()
        events = list(client.watch("kinds", "1", TIMEOUT_S))
        self.assertIsInstance(events[-1], WatchEnded)
        self.assertLess(time.monotonic() - began, TIMEOUT_S + SLACK_S)
        self.assertTrue(self.server.closed.wait(SLACK_S))
