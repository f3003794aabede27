"""Each part of an answer is bounded, wherever its bytes are split."""

from __future__ import annotations

import itertools
import threading
import time
import unittest
from unittest import mock

from nose2.tools import params
from prometheus_client import CollectorRegistry

from quaymill import boot_clock
from quaymill.connection import replica_connection
from quaymill.connection.bounded_reader import MAX_HEAD_BYTES, MAX_TRAILER_BYTES, AnswerPart
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.replica_connection import (
    MAX_LATE_BYTES,
    Exchange,
    ReplicaConnections,
    ReplicaRequest,
)
from quaymill.connection.strict_http import MAX_INTERIM_ANSWERS
from quaymill.process.gateway_gauges import add_endless_gauge
from quaymill.request.event_stream import MAX_EVENT_BYTES, EventFramer
from quaymill.request.outcome import OutcomeUnknown
from raw_replica import RawReplica, RawRequest

TIMEOUT_S = 5.0
DEADLINE_S = 0.4
BYTE_INTERVAL_S = 0.02
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;name=value\r\nbody\r\n"
LAST_CHUNK = b"0\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
ENDLESS = {
    "interim": (AnswerPart.HEAD, b"", INTERIM),
    "early hints": (AnswerPart.HEAD, b"", EARLY_HINTS),
    "status line": (AnswerPart.HEAD, b"HTTP/1.1 200 ", b"x"),
    "header": (AnswerPart.HEAD, b"HTTP/1.1 200 OK\r\nX: ", b"x"),
    "chunk extension": (AnswerPart.CHUNK_LINE, CHUNKED + b"4;x=", b"x"),
    "trailers": (AnswerPart.TRAILERS, CHUNKED + LAST_CHUNK, b"X: x\r\n"),
    "trailer": (AnswerPart.TRAILERS, CHUNKED + LAST_CHUNK + b"X: ", b"x"),
}


class BoundsCase(unittest.TestCase):
    """A replica that sends what a test names."""

    def setUp(self) -> None:
        self.sent = b""
        self.endless = b""
        self.interval_s = 0.0
        self.stopping = threading.Event()
        self.replica = RawReplica(self._answer)
        self.addCleanup(self.replica.stop)
        self.addCleanup(self.stopping.set)
        self.connections = ReplicaConnections(LinkFilter())
        self.addCleanup(self.connections.close)

    def _answer(self, request: RawRequest) -> bool:
        request.connection.sendall(self.sent)
        block = self.endless if self.interval_s else self.endless * 1000
        while block and not self.stopping.wait(self.interval_s):
            request.connection.sendall(block)
        return True

    def send(self) -> Exchange:
        endpoint = Endpoint("127.0.0.1", self.replica.port)
        exchange = self.connections.send(endpoint, ReplicaRequest("GET", "/", {}, id="request"))
        self.assertIsInstance(exchange, Exchange)
        self.addCleanup(exchange.abandon)
        return exchange

    def read(self, exchange: Exchange, deadline_s: float = TIMEOUT_S) -> bytes | OutcomeUnknown:
        deadline = boot_clock.now() + deadline_s
        failure = exchange.read_head(deadline_s)
        if failure is not None:
            return failure
        return exchange.read_body(MAX_LATE_BYTES, deadline)

    def check_closed(self) -> None:
        until = time.monotonic() + TIMEOUT_S
        while self.replica.open_connections and time.monotonic() < until:
            time.sleep(0.01)
        self.assertEqual(0, self.replica.open_connections)


class EndlessPartTest(BoundsCase):
    """Parts whose bytes never end."""

    @params(*ENDLESS)
    def test_fast_bytes_are_refused_at_the_bound(self, name: str) -> None:
        part, self.sent, self.endless = ENDLESS[name]
        exchange = self.send()
        self.assertIsInstance(self.read(exchange), OutcomeUnknown)
        self.assertEqual(1, self.connections.endless_by_part[part])
        self.check_closed()

    @params(*ENDLESS)
    def test_slow_bytes_end_at_the_deadline(self, name: str) -> None:
        part, self.sent, self.endless = ENDLESS[name]
        self.endless, self.interval_s = self.endless[:1], BYTE_INTERVAL_S
        exchange = self.send()
        began = time.monotonic()
        self.assertIsInstance(self.read(exchange, DEADLINE_S), OutcomeUnknown)
        self.assertLess(time.monotonic() - began, DEADLINE_S + TIMEOUT_S / 2)
        self.assertEqual(1, self.connections.endless_by_part[part])
        self.check_closed()

    @params(UNFRAMED + b"bo", CHUNKED + b"4\r\nbo", CHUNKED)
    def test_body_that_stalls_does_not_count_as_endless(self, answer: bytes) -> None:
        self.sent = answer
        self.assertIsInstance(self.read(self.send(), DEADLINE_S), OutcomeUnknown)
        self.assertEqual({0}, set(self.connections.endless_by_part.values()))

    def test_endless_answer_is_counted_and_logged(self) -> None:
        part, self.sent, self.endless = ENDLESS["header"]
        registry = CollectorRegistry()
        add_endless_gauge(registry, self.connections)
        with mock.patch.object(replica_connection, "log_message") as logged:
            self.read(self.send())
        labels = {"part": part.value}
        self.assertEqual(1, registry.get_sample_value("quaymill_endless_answers", labels))
        (call,) = logged.call_args_list
        self.assertEqual(("replica:endless_answer",), call.args)
        self.assertEqual(("request", "head"), (call.kwargs["request_id"], call.kwargs["part"]))
        self.assertGreater(call.kwargs["received_bytes"], MAX_HEAD_BYTES)

    @params(UNFRAMED, CHUNKED)
    def test_body_that_goes_on_after_its_time_is_given_up(self, head: bytes) -> None:
        self.sent = head
        self.endless = b"x" * 100 if head is UNFRAMED else b"64\r\n" + b"x" * 100 + b"\r\n"
        exchange = self.send()
        self.assertIsNone(exchange.read_head(TIMEOUT_S))
        exchange.set_read_timeout(0.0)
        read_bytes = 0
        while isinstance(block := exchange.read_block(), bytes):
            read_bytes += len(block)
            self.assertLessEqual(read_bytes, MAX_LATE_BYTES)
        self.check_closed()


class SplitTest(BoundsCase):
    """Whole answers, split at every place."""

    @params(
        (WHOLE, b"body"),
        (INTERIM + EARLY_HINTS + WHOLE, b"body"),
        (INTERIM * MAX_INTERIM_ANSWERS + WHOLE, b"body"),
        (CHUNKED + LAST_CHUNK + b"X: x\r\n\r\n", b"body"),
    )
    def test_answer_is_read_wherever_it_is_split(self, answer: bytes, body: bytes) -> None:
        places = iter(range(1, len(answer)))

        def split(request: RawRequest) -> bool:
            place = next(places)
            request.connection.sendall(answer[:place])
            time.sleep(0.001)
            request.connection.sendall(answer[place:])
            return True

        self.replica._answer = split
        for _ in range(1, len(answer)):
            exchange = self.send()
            self.assertEqual(body, self.read(exchange))
            exchange.release()
        self.assertEqual(1, self.replica.accepted)

    def test_late_answer_that_has_arrived_is_read(self) -> None:
        self.sent = WHOLE
        exchange = self.send()
        self.assertTrue(exchange.wait_readable(TIMEOUT_S))
        self.assertIsNone(exchange.read_head(0.0))
        self.assertEqual(b"body", exchange.read_body(100, boot_clock.now() - 1.0))

    @params(
        (MAX_HEAD_BYTES, b"", b"HTTP/1.1 200 OK\r\n", b"Content-Length: 0\r\n\r\n"),
        (MAX_TRAILER_BYTES, CHUNKED + LAST_CHUNK, b"", b"\r\n"),
    )
    def test_part_may_be_as_long_as_its_bound(
        self, bound: int, before: bytes, start: bytes, end: bytes
    ) -> None:
        for size, kind in ((bound, bytes), (bound + 1, OutcomeUnknown)):
            self.sent = before + start + lines_of(size - len(start + end)) + end
            exchange = self.send()
            self.assertIsInstance(self.read(exchange), kind)
            exchange.abandon()


def lines_of(size: int) -> bytes:
    """Return header lines of a size in total."""
    whole, rest = divmod(size, 1000)
    line = b"X: " + b"x" * 995 + b"\r\n"
    return line * (whole - 1) + b"X: " + b"x" * (995 + rest) + b"\r\n"


class SurplusTest(BoundsCase):
    """Bytes after a whole answer."""

    @params(WHOLE + b"x", CHUNKED + LAST_CHUNK + b"\r\nx", WHOLE + WHOLE)
    def test_connection_with_bytes_after_the_answer_is_not_reused(self, answer: bytes) -> None:
        self.sent = answer
        exchange = self.send()
        self.assertEqual(b"body", self.read(exchange))
        exchange.release()
        self.assertEqual(1, self.connections.endless_by_part[AnswerPart.SURPLUS])
        second = self.send()
        self.assertFalse(second.reused)

    def test_idle_connection_on_which_bytes_come_is_closed(self) -> None:
        self.sent = WHOLE
        self.endless, self.interval_s = b"x", BYTE_INTERVAL_S
        exchange = self.send()
        self.assertEqual(b"body", self.read(exchange))
        exchange.release()
        self.check_closed()
        self.assertEqual(1, self.connections.endless_by_part[AnswerPart.SURPLUS])

    def test_connection_in_use_is_not_closed_as_idle(self) -> None:
        """Guards against a check of idle connections that closes one that is taken meanwhile."""
        self.sent = WHOLE
        for _ in range(50):
            exchange = self.send()
            self.assertTrue(exchange.wait_readable(TIMEOUT_S))
            self.assertEqual(
                [], self.connections._idle.remove_readable(replica_connection._descriptor_of)
            )
            self.assertEqual(b"body", self.read(exchange))
            exchange.release()
        self.assertEqual(1, self.replica.accepted)


class EventBoundTest(unittest.TestCase):
    """An event that comes in many blocks."""

    def test_event_is_found_wherever_it_is_split(self) -> None:
        events = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        for places in itertools.combinations(range(len(events) + 1), 2):
            framer = EventFramer()
            first, second = places
            blocks = (events[:first], events[first:second], events[second:])
            received = b"".join(framer.feed(block) for block in blocks)
            self.assertEqual((events, "2", b""), (received, framer.last_id, bytes(framer.partial)))

    def test_event_without_end_is_too_long(self) -> None:
        framer = EventFramer()
        for _ in range(MAX_EVENT_BYTES // 1024):
            self.assertEqual(b"", framer.feed(b"x" * 1024))
        self.assertFalse(framer.is_too_long)
        framer.feed(b"x")
        self.assertTrue(framer.is_too_long)

    def test_cost_of_an_event_is_linear_in_its_size(self) -> None:
        """Guards against an unfinished event that is copied and searched for each block."""

        def cost_s(blocks: int) -> float:
            framer = EventFramer()
            began = time.thread_time()
            for _ in range(blocks):
                framer.feed(b"data: 1\n")
            return time.thread_time() - began

        short_s = min(cost_s(10_000) for _ in range(3))
        long_s = min(cost_s(100_000) for _ in range(3))
        self.assertLess(long_s, 40 * short_s)
