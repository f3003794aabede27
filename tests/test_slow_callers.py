"""Callers that send slowly, or disconnect before their request is read, at a gateway's server."""

from __future__ import annotations

import socket
import threading
import time
import unittest

from quaymill.connection.endpoint import Endpoint
from quaymill.process.front.http_server import HttpServer
from quaymill.process.gateway.caller_watch import CallerWatch
from quaymill_bench.ports import free_port

THREADS = 4
TIMEOUT_S = 2.0
HEADER_TIMEOUT_S = 0.5
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n"


class SlowCallersTest(unittest.TestCase):
    """A server with few worker threads."""

    def setUp(self) -> None:
        self.handled: list[str] = []
        self.found_disconnected: list[str] = []
        self.release = threading.Event()
        self.addCleanup(self.release.set)
        watch = CallerWatch()
        watch.start()
        self.addCleanup(watch.stop)
        self.endpoint = Endpoint("127.0.0.1", free_port())
        self.server = HttpServer(self.endpoint, self._handle, THREADS, watch.watch, watch.unwatch)
        self.server.start_serving()
        self.addCleanup(self.server.stop)

    def _handle(self, request, writer) -> None:
        name = request.header("Request-Id")
        if request.presence.gone:
            self.found_disconnected.append(name)
            writer.abort()
            return
        self.handled.append(name)
        if name == "wait":
            self.release.wait(TIMEOUT_S * 3)
        writer.answer(200, (), name.encode())

    def connect(self, sent: bytes = b"") -> socket.socket:
        connection = socket.create_connection((self.endpoint.host, self.endpoint.port))
        self.addCleanup(connection.close)
        connection.settimeout(TIMEOUT_S)
        connection.sendall(sent)
        return connection

    def answer_to(self, connection: socket.socket) -> bytes:
        """Return the body of an answer, which may arrive after its head."""
        with connection.makefile("rb") as lines:
            length = 0
            while (line := lines.readline().strip()) != b"":
                name, _, value = line.partition(b":")
                length = int(value) if name.lower() == b"content-length" else length
            return lines.read(length)

    def test_slow_request_heads_block_no_worker(self) -> None:
        slow = [self.connect(REQUEST[:20]) for _ in range(3 * THREADS)]
        silent = [self.connect() for _ in range(3 * THREADS)]
        self.assertEqual(b"quick", self.answer_to(self.connect(REQUEST % b"quick")))
        slow[0].sendall((REQUEST % b"slow")[20:])
        self.assertEqual(b"slow", self.answer_to(slow[0]))
        silent[0].sendall(REQUEST % b"late")
        self.assertEqual(b"late", self.answer_to(silent[0]))

    def test_head_that_takes_too_long_is_given_up(self) -> None:
        self.server.header_timeout_s = HEADER_TIMEOUT_S
        slow = self.connect(REQUEST[:20])
        slow.settimeout(TIMEOUT_S * 5)
        self.assertEqual(b"", slow.recv(4096))
        self.assertEqual([], self.handled)

    def test_server_is_busy_while_a_head_is_being_sent(self) -> None:
        self.connect()
        self.assertFalse(self.server.busy)
        slow = self.connect(REQUEST[:20])
        until = time.monotonic() + TIMEOUT_S
        while not self.server.busy and time.monotonic() < until:
            time.sleep(0.01)
        self.assertTrue(self.server.busy)
        slow.sendall((REQUEST % b"slow")[20:])
        self.assertEqual(b"slow", self.answer_to(slow))

    def test_two_requests_on_one_connection(self) -> None:
        kept = self.connect(REQUEST % b"first" + REQUEST % b"second")
        received = b""
        while b"second" not in received:
            received += kept.recv(4096)
        self.assertEqual(["first", "second"], self.handled)

    def test_request_of_a_disconnected_caller_is_not_handled(self) -> None:
        held = [self.connect(REQUEST % b"wait") for _ in range(THREADS)]
        until = time.monotonic() + TIMEOUT_S
        while len(self.handled) < THREADS and time.monotonic() < until:
            time.sleep(0.01)
        names = [b"left-%d" % number for number in range(20)]
        for name in names:
            self.connect(REQUEST % name).close()
        self.release.set()
        for connection in held:
            self.answer_to(connection)
        self.assertEqual(b"after", self.answer_to(self.connect(REQUEST % b"after")))
        self.assertEqual(["wait"] * THREADS + ["after"], self.handled)
