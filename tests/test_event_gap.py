"""The time between two events of a stream: what counts for it, and what does not."""

from __future__ import annotations

import threading
import time
import unittest
from unittest import mock

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.replica_connection import Exchange, ReplicaConnections, ReplicaRequest
from quaymill.platform.replica_calls import read_answer_head
from quaymill.request.answer_relay import EVENT_GAP_TIMEOUT_S, AnswerRelay
from quaymill.request.deadline import Deadline
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.forwarding_result import AttemptResult, Broken, Delivered
from quaymill.version.request_routes import RequestRoute, RouteKind, WeightedService
from raw_replica import RawReplica, RawRequest

TIMEOUT_S = 20.0
ROUTE = RequestRoute(
    "r",
    "h",
    "/",
    RouteKind.STREAMING,
    (WeightedService("s", 1.0),),
    30.0,
    1.0,
    max_attempts=2,
    resumable=True,
)
EVENTS = tuple(b"id: %d\ndata: x\n\n" % number for number in range(1, 4))


class SlowWriter:
    """Takes as long as a slow caller for the first event that is written."""

    pending = False

    def __init__(self, write_s: float) -> None:
        self._write_s = write_s
        self.started = False
        self.written = b""

    def start(self, *args: object) -> None:
        self.started = True

    def write(self, block: bytes) -> None:
        if block and not self.written:
            time.sleep(self._write_s)
        self.written += block


class EventGapTest(unittest.TestCase):
    """A stream that another replica could go on with."""

    def setUp(self) -> None:
        self.blocks: tuple[bytes, ...] = ()
        self.interval_s = 0.0
        self.first_interval_s = 0.0
        self.stopping = threading.Event()
        self.addCleanup(self.stopping.set)
        self.replica = RawReplica(self._answer)
        self.addCleanup(self.replica.stop)
        self.connections = ReplicaConnections(LinkFilter())
        self.addCleanup(self.connections.close)

    def _answer(self, request: RawRequest) -> bool:
        request.connection.sendall(request.head("Content-Type: text/event-stream"))
        for number, block in enumerate(self.blocks):
            request.connection.sendall(block)
            self.stopping.wait(self.interval_s if number else self.first_interval_s)
        return False

    def relay(self, writer: SlowWriter, last_event_id: str | None = None) -> AttemptResult:
        endpoint = Endpoint("127.0.0.1", self.replica.port)
        exchange = self.connections.send(endpoint, ReplicaRequest("GET", "/", {}))
        self.assertIsInstance(exchange, Exchange)
        self.addCleanup(exchange.abandon)
        self.assertIsNone(exchange.read_head(TIMEOUT_S))
        deadline = Deadline.after(TIMEOUT_S)
        request = ForwardedRequest("q", "GET", "/", (), b"", deadline, last_event_id=last_event_id)
        relay = AnswerRelay(request, ROUTE, writer, lambda: True)
        return relay.relay_answer(exchange, mock.Mock(), read_answer_head(exchange))

    def test_time_of_a_slow_caller_does_not_count(self) -> None:
        """Guards against a sound replica that is given up as a write to the caller blocked."""
        self.blocks, self.first_interval_s = EVENTS, 1.5 * EVENT_GAP_TIMEOUT_S
        writer = SlowWriter(1.2 * EVENT_GAP_TIMEOUT_S)
        self.assertIsInstance(self.relay(writer), Delivered)
        self.assertEqual(b"".join(EVENTS), writer.written)

    @params(b"id: 4\n", b": comment\n", b"x")
    def test_bytes_that_complete_no_event_do_not_count_as_progress(self, block: bytes) -> None:
        """Guards against a stream that is held by a byte now and then."""
        self.blocks, self.interval_s = (EVENTS[0], *(block,) * 200), 0.1
        began = time.monotonic()
        writer = SlowWriter(0.0)
        result = self.relay(writer)
        self.assertIsInstance(result, Broken)
        self.assertLess(time.monotonic() - began, TIMEOUT_S / 2)
        self.assertEqual(EVENTS[0], writer.written)

    def test_repeated_events_count_as_progress(self) -> None:
        self.blocks, self.interval_s = EVENTS, 0.6 * EVENT_GAP_TIMEOUT_S
        result = self.relay(SlowWriter(0.0), last_event_id="3")
        self.assertIsInstance(result, Delivered)
