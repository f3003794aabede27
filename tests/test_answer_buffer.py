"""Callers that read an answer more slowly than its replica sends it, over real connections."""

from __future__ import annotations

import io
import socket
import threading
import time
import unittest
from unittest import mock

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.replica_connection import ReplicaConnections, ReplicaRequest
from quaymill.platform import gateway_role
from quaymill.platform.replica_calls import read_answer_head
from quaymill.process.front.http_server import HttpServer
from quaymill.process.serving_settings import Machine, ServingSettings
from quaymill.request import answer_buffer
from quaymill.request.answer_buffer import BufferedAnswers
from quaymill.request.answer_relay import AnswerRelay
from quaymill.request.deadline import Deadline
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.version.request_routes import RequestRoute, RouteKind, WeightedService
from quaymill_bench.ports import free_port

MEGABYTE = 1024 * 1024
EVENT = b"data: " + b"x" * 506
ANSWER_BYTES = 1280 * 1024
READ_PAUSE_S = 3.0
MAX_SEND_S = 2.0
TIMEOUT_S = 20.0
END_MARK = b"\r\n0\r\n\r\n"
ROUTE = RequestRoute("r", "h", "/", RouteKind.STREAMING, (WeightedService("s", 1.0),), 30.0, 1.0)


def body_of(answer: bytes) -> bytes:
    """Return the body of a complete chunked answer."""
    lines = io.BytesIO(answer.partition(b"\r\n\r\n")[2])
    parts: list[bytes] = []
    while size := int(lines.readline(), 16):
        parts.append(lines.read(size))
        lines.readline()
    return b"".join(parts)


class StreamingReplica:
    """Answers each request with a stream of events, as fast as it is read.

    Attributes
    ----------
    sent_after_s
        Time that it took to send each answer completely.
    aborted
        Number of answers whose connection was closed by the gateway.
    """

    def __init__(self, answer_bytes: int) -> None:
        chunk = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
        self._body = chunk * (answer_bytes // len(EVENT)) + b"0\r\n\r\n"
        self.sent_after_s: list[float] = []
        self.aborted = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.endpoint = Endpoint(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection: socket.socket) -> None:
        with connection:
            connection.recv(65536)
            began = time.monotonic()
            head = (
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            )
            try:
                connection.sendall(head + self._body)
            except OSError:
                self.aborted += 1
                return
            self.sent_after_s.append(time.monotonic() - began)


class SlowReaderCase(unittest.TestCase):
    """A server whose handler relays the answer of a streaming replica."""

    budget_bytes = 16 * MEGABYTE
    answer_bytes = ANSWER_BYTES

    def setUp(self) -> None:
        self.replica = StreamingReplica(self.answer_bytes)
        self.addCleanup(self.replica.close)
        self.buffers = BufferedAnswers(self.budget_bytes)
        self.connections = ReplicaConnections(LinkFilter())
        self.endpoint = Endpoint("127.0.0.1", free_port())
        self.server = HttpServer(self.endpoint, self.handle, 40, buffered_answers=self.buffers)
        self.server.start_serving()
        self.addCleanup(self.server.stop)

    def handle(self, request, writer) -> None:
        exchange = self.connections.send(self.replica.endpoint, ReplicaRequest("GET", "/", {}))
        exchange.read_head(TIMEOUT_S)
        forwarded = ForwardedRequest(
            id="q",
            method="GET",
            target="/",
            headers=(),
            body=b"",
            deadline=Deadline.after(TIMEOUT_S),
        )
        writer.name_request("q")
        relay = AnswerRelay(forwarded, ROUTE, writer, lambda: False)
        relay.relay_answer(exchange, mock.Mock(), read_answer_head(exchange))

    def send_request(self) -> socket.socket:
        """Send a request over a connection with a small receive buffer."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.settimeout(TIMEOUT_S)
        connection.connect((self.endpoint.host, self.endpoint.port))
        self.addCleanup(connection.close)
        connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        return connection

    def read_all(self, connection: socket.socket) -> bytes:
        """Return everything received until the end of the connection."""
        received = bytearray()
        while block := connection.recv(65536):
            received += block
        return bytes(received)

    def wait_until(self, condition, what: str, timeout_s: float = TIMEOUT_S) -> None:
        until = time.monotonic() + timeout_s
        while not condition():
            self.assertLess(time.monotonic(), until, what)
            time.sleep(0.01)

    def assert_whole(self, answer: bytes) -> None:
        self.assertTrue(answer.endswith(END_MARK))
        self.assertEqual(EVENT * (self.answer_bytes // len(EVENT)), body_of(answer))


class SlowReaderTest(SlowReaderCase):
    """A single slow caller."""

    def test_caller_that_reads_nothing_for_seconds_gets_the_whole_answer(self) -> None:
        caller = self.send_request()
        time.sleep(READ_PAUSE_S)  # The caller reads nothing during this time.
        self.assertEqual(1, len(self.replica.sent_after_s), "the replica has sent all")
        self.assertLess(self.replica.sent_after_s[0], MAX_SEND_S)
        self.assertGreater(self.buffers.held_bytes, self.answer_bytes // 2)
        self.assert_whole(self.read_all(caller))
        self.wait_until(lambda: self.buffers.held_bytes == 0, "nothing is buffered any more")
        self.assertEqual(0, self.buffers.ended)

    def test_answer_of_a_fast_caller_is_not_buffered(self) -> None:
        with mock.patch.object(self.buffers, "add") as add:
            connection = socket.create_connection((self.endpoint.host, self.endpoint.port))
            self.addCleanup(connection.close)
            connection.settimeout(TIMEOUT_S)
            self.make_answer_short()
            connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            self.assert_whole(self.read_all(connection))
        add.assert_not_called()

    def make_answer_short(self) -> None:
        """Make the replica's answer fit into the buffers of the connections."""
        self.answer_bytes = 64 * 1024
        self.replica = StreamingReplica(self.answer_bytes)
        self.addCleanup(self.replica.close)

    def test_buffer_of_a_disconnected_caller_is_discarded(self) -> None:
        caller = self.send_request()
        self.wait_until(lambda: self.buffers.held_bytes > 0, "something is buffered")
        caller.close()
        self.wait_until(lambda: self.buffers.held_bytes == 0, "nothing is buffered any more")
        self.assertEqual(0, self.buffers.ended)

    def test_caller_that_reads_nothing_of_a_received_answer_is_given_up(self) -> None:
        self.server.timeout = 0.5
        caller = self.send_request()
        self.wait_until(lambda: self.buffers.ended == 1, "the answer is ended")
        self.assertEqual(0, self.buffers.held_bytes)
        self.assertFalse(self.read_all(caller).endswith(END_MARK))


class LongAnswerTest(SlowReaderCase):
    """An answer that is larger than the maximum buffer of one answer."""

    budget_bytes = 4 * MEGABYTE
    answer_bytes = 24 * MEGABYTE

    def test_full_buffer_waits_for_the_caller(self) -> None:
        caller = self.send_request()
        self.wait_until(
            lambda: self.buffers.held_bytes > self.buffers.max_answer_bytes,
            "the answer's buffer is full",
        )
        self.assert_whole(self.read_all(caller))

    def test_caller_that_reads_nothing_is_given_up(self) -> None:
        with mock.patch.object(answer_buffer, "FULL_BUFFER_TIMEOUT_S", 0.2):
            caller = self.send_request()
            self.wait_until(lambda: self.buffers.ended == 1, "the answer is ended")
        self.wait_until(lambda: self.replica.aborted == 1, "the replica's connection is closed")
        self.assertEqual(0, self.buffers.held_bytes)
        self.assertFalse(self.read_all(caller).endswith(END_MARK))


class ManySlowCallersTest(SlowReaderCase):
    """Many slow callers at once."""

    budget_bytes = 3 * MEGABYTE
    answer_bytes = 640 * 1024
    callers = 20

    def test_many_slow_callers_stay_within_the_budget(self) -> None:
        slow = [self.send_request() for _ in range(self.callers)]
        buffered_bytes = []

        def budget_exceeded() -> bool:
            buffered_bytes.append(self.buffers.held_bytes)
            return self.buffers.ended > 0 and len(self.replica.sent_after_s) >= self.callers - 5

        self.wait_until(budget_exceeded, "the budget is exceeded, and most answers are sent")
        fast = self.send_request()
        self.assert_whole(self.read_all(fast))
        # Shows, independent of this machine's speed, that it was served while others read nothing.
        self.assertGreater(self.buffers.held_bytes, 0)
        answers = [self.read_all(one) for one in slow]
        whole = [answer for answer in answers if answer.endswith(END_MARK)]
        self.assertLessEqual(max(buffered_bytes), self.budget_bytes)
        self.assertEqual(self.callers - len(whole), self.buffers.ended)
        self.assertGreater(len(whole), 0)
        for answer in whole:
            self.assert_whole(answer)
        self.wait_until(lambda: self.buffers.held_bytes == 0, "nothing is buffered any more")


class ConfigurationTest(unittest.TestCase):
    """Buffering is on if the contract says so, and its budget follows from the memory."""

    @params(("base,pressure,batch", True), ("base,batch", False), ("", False))
    def test_switch(self, contracts: str, on: bool) -> None:
        settings = ServingSettings(
            "n", "z", "r", "127.0.0.1", "1,2", "127.0.0.1:3", contracts=contracts
        )
        with mock.patch.object(gateway_role, "GatewayNode") as node:
            gateway_role.build_gateway(settings, mock.Mock())
        features = node.call_args.args[-1]
        self.assertEqual(on, features.callers_may_read_slowly)

    def test_budget(self) -> None:
        machine = Machine(memory_mb=200)
        self.assertEqual(
            12.5 * MEGABYTE, BufferedAnswers.for_process_memory(machine.memory_mb).budget_bytes
        )
        self.assertGreater(BufferedAnswers.for_process_memory(0.0).budget_bytes, 0)
