"""A replica that does not read a request is given up early if another may be tried."""

from __future__ import annotations

import http.server
import socket
import threading
import time
import unittest

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.replica_connection import ReplicaConnections
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.platform.gateway_role import REPLICA_PROTOCOL
from quaymill.process.replica_set.router import Router
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.deadline import Deadline
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.forwarding import MIN_SEND_TIMEOUT_S, Forwarder
from quaymill.request.forwarding_result import Delivered, GivenUp
from quaymill.request.presence import CallerPresence
from quaymill.version.request_routes import RequestRoute, RouteKind, WeightedService

SERVICE = "s"
BODY_BYTES = 512 * 1024
ROUTE_TIMEOUT_S = 10.0
MARGIN_S = 1.5


class ReadingHandler(http.server.BaseHTTPRequestHandler):
    """Reads each request completely and answers it."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(200)
        self.send_header("Request-Id", self.headers["Request-Id"])
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")

    def log_message(self, *args) -> None:
        """Log nothing."""


class RecordedAnswer:
    """An ``AnswerWriter`` that collects the body."""

    started = False
    pending = False

    def __init__(self) -> None:
        self.body = b""

    def start(self, *args) -> None:
        self.started = True

    def write(self, block: bytes) -> None:
        self.body += block

    def abort(self) -> None:
        """Do nothing."""


class SlowReplicaTest(unittest.TestCase):
    """Two replicas; the one in the local zone accepts connections and reads nothing."""

    def setUp(self) -> None:
        silent_listener = socket.socket()
        silent_listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        silent_listener.bind(("127.0.0.1", 0))
        silent_listener.listen()
        self.addCleanup(silent_listener.close)
        reader = http.server.ThreadingHTTPServer(("127.0.0.1", 0), ReadingHandler)
        threading.Thread(target=reader.serve_forever, daemon=True).start()
        self.addCleanup(reader.server_close)
        self.addCleanup(reader.shutdown)
        self.table = ReplicaTable()
        addresses = {"near": silent_listener.getsockname(), "far": reader.server_address}
        self.table.replace_all(
            [
                ReplicaEntry(name, SERVICE, Endpoint(*address[:2]), name, 8)
                for name, address in addresses.items()
            ],
            1,
        )
        # With a small send buffer, sending blocks until the replica reads.
        options = ((socket.SOL_SOCKET, socket.SO_SNDBUF, 16 * 1024),)
        self.forwarder = Forwarder(
            Router(self.table, "near", "seed"),
            ReplicaConnections(LinkFilter(), socket_options=options),
            REPLICA_PROTOCOL,
        )

    def send(self, kind: RouteKind) -> tuple[object, float]:
        """Send a request; return its result, and after how many seconds it ended."""
        route = RequestRoute(
            "r",
            "h",
            "/",
            kind,
            (WeightedService(SERVICE, 1.0),),
            ROUTE_TIMEOUT_S,
            1.0,
            max_attempts=2,
        )
        request = ForwardedRequest(
            id="q",
            method="POST",
            target="/",
            headers=(),
            body=b"x" * BODY_BYTES,
            deadline=Deadline.after(ROUTE_TIMEOUT_S),
        )
        began = time.monotonic()
        result = self.forwarder.forward(request, route, RecordedAnswer(), CallerPresence())
        return result, time.monotonic() - began

    def test_another_replica_is_tried_early(self) -> None:
        result, took_s = self.send(RouteKind.IDEMPOTENT)
        self.assertEqual(Delivered(200, "far"), result)
        self.assertGreater(took_s, MIN_SEND_TIMEOUT_S)
        self.assertLess(took_s, MIN_SEND_TIMEOUT_S + MARGIN_S)

    def test_non_repeatable_request_waits_longer_and_may_have_run(self) -> None:
        result, took_s = self.send(RouteKind.NON_IDEMPOTENT)
        self.assertIsInstance(result, GivenUp)
        self.assertTrue(result.may_have_run)
        self.assertGreater(took_s, MIN_SEND_TIMEOUT_S + MARGIN_S)
