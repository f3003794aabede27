"""Malformed status lines of replicas and of the store must not reach callers as answers."""

from __future__ import annotations

import threading
import unittest

from nose2.tools import params

from fleet_rig import FleetRig, wait_until
from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.job_document import JobItem
from quaymill.connection.object_store import ObjectKind, StoreUnanswered
from quaymill.connection.replica_connection import Exchange, ReplicaConnections, ReplicaRequest
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.platform.object_store import PlatformObjectStore
from quaymill.process.commands.gateway_client import GatewayClient, GatewayError
from quaymill.process.jobs.coordinated_job import CoordinatedItem
from quaymill.process.jobs.engine_loads import EngineLoads
from quaymill.process.jobs.item_run import ItemCut, run_item
from quaymill.process.jobs.run_handle import RunHandle
from quaymill.process.replica_set.replica import Replica
from quaymill.request.outcome import OutcomeUnknown
from raw_replica import RawReplica, RawRequest

TIMEOUT_S = 2.0
MALFORMED = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 700 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 -200 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 2_00 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1 \xb2\xb0\xb0 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b" HTTP/1.1 200 OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\rK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1",
    b"HTTP/1.10 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/1 200 OK",
    b"http/1.1 200 OK",
    b"ICY 200 OK",
)
WELL_FORMED = (
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 200",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 200 Tr\xe8s bien, merci",
)
SOME_MALFORMED = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 0200 OK",
)


class StatusLineCase(unittest.TestCase):
    """A server whose status line the test sets."""

    def setUp(self) -> None:
        self.status_line = b"HTTP/1.1 200 OK"
        self.headers: tuple[str, ...] = ("Content-Length: 2",)
        self.body = b"{}"
        self.replica = RawReplica(self._answer)
        self.addCleanup(self.replica.stop)
        self.endpoint = Endpoint("127.0.0.1", self.replica.port)
        self.connections = ReplicaConnections(LinkFilter())
        self.addCleanup(self.connections.close)

    def _answer(self, request: RawRequest) -> bool:
        head = request.head(*self.headers).partition(b"\r\n")[2]
        request.connection.sendall(self.status_line + b"\r\n" + head + self.body)
        return True


class ExchangeTest(StatusLineCase):
    """Answers of replicas, whole or streamed, are read through an exchange."""

    def read(self) -> bytes | OutcomeUnknown:
        exchange = self.connections.send(self.endpoint, ReplicaRequest("GET", "/x", {}))
        self.assertIsInstance(exchange, Exchange)
        failure = exchange.read_head(TIMEOUT_S)
        if failure is not None:
            return failure
        self.assertEqual(200, exchange.status)
        body = exchange.read_body(100, boot_clock.now() + TIMEOUT_S)
        exchange.release()
        return body

    @params(*MALFORMED)
    def test_malformed_status_line_is_no_answer(self, line: bytes) -> None:
        self.status_line = line
        self.assertIsInstance(self.read(), OutcomeUnknown)

    @params(*WELL_FORMED)
    def test_well_formed_status_line_is_an_answer(self, line: bytes) -> None:
        self.status_line = line
        self.assertEqual(b"{}", self.read())

    def test_final_answer_after_a_malformed_interim_one_is_no_answer(self) -> None:
        self.status_line = b"HTTP/1.1 +100 Continue\r\n\r\nHTTP/1.1 200 OK"
        self.assertIsInstance(self.read(), OutcomeUnknown)

    def test_interim_answer_is_skipped(self) -> None:
        self.status_line = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"
        self.assertEqual(b"{}", self.read())


class OtherPathsTest(StatusLineCase):
    """Everything else that reads answers."""

    def setUp(self) -> None:
        super().setUp()
        self.listed = Replica(ReplicaEntry("engine-1", "engine", self.endpoint, "x", slots=4))

    def run_item(self) -> object:
        self.body = b"id: 1\ndata: a\n\n"
        self.headers = ("Content-Type: text/event-stream", f"Content-Length: {len(self.body)}")
        item = CoordinatedItem(0, JobItem("r", "/x", {}, b"", 10))
        item.run = RunHandle()
        return run_item(item, "host", self.listed, self.connections, GATEWAY_PROTOCOL.items)

    def test_item_is_done_with_a_well_formed_status_line(self) -> None:
        self.assertNotIsInstance(self.run_item(), ItemCut)

    @params(*SOME_MALFORMED)
    def test_item_is_not_done(self, line: bytes) -> None:
        self.status_line = line
        self.assertIsInstance(self.run_item(), ItemCut)

    @params(*SOME_MALFORMED)
    def test_probe_of_reachability_fails(self, line: bytes) -> None:
        self.status_line = line
        self.assertFalse(self.connections.responds(self.endpoint, ReplicaRequest("GET", "/x", {})))

    @params(*SOME_MALFORMED)
    def test_load_report_is_not_used(self, line: bytes) -> None:
        self.body = b'{"waiting":1,"running":2,"kv_used":3,"kv_total":4}'
        self.headers = (f"Content-Length: {len(self.body)}",)
        loads = EngineLoads(self.connections, GATEWAY_PROTOCOL.reports)
        self.assertIsNotNone(loads._fetch_report(self.listed))
        self.status_line = line
        self.assertIsNone(loads._fetch_report(self.listed))

    @params(*SOME_MALFORMED)
    def test_store_has_not_answered(self, line: bytes) -> None:
        self.status_line = line
        store = PlatformObjectStore(self.endpoint)
        self.addCleanup(store.close)
        self.assertIsInstance(store.get(ObjectKind.JOB_LISTINGS, "job"), StoreUnanswered)
        written = store.create(ObjectKind.JOB_LISTINGS, "job", {})
        self.assertIsInstance(written, StoreUnanswered)

    @params(*SOME_MALFORMED)
    def test_command_line_reports_an_error(self, line: bytes) -> None:
        self.status_line = line
        client = GatewayClient(str(self.endpoint), "key")
        self.assertIsInstance(client.download("file", None, lambda *_: None), GatewayError)


class CallerTest(unittest.TestCase):
    """Callers of a gateway whose only replica sends malformed status lines."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.rig = FleetRig(gateways=1, storage=0, engines=0).start()
        cls.addClassCleanup(cls.rig.stop)
        cls.status_line = b""
        cls.lock = threading.Lock()
        cls.replica = RawReplica(cls._answer)
        cls.addClassCleanup(cls.replica.stop)
        cls.rig.store.put("servers", "raw", cls.replica.entry("engine"))
        wait_until(
            lambda: cls.rig.gateways["gateway-0"]._table.get("raw") is not None, "it is known"
        )

    @classmethod
    def _answer(cls, request: RawRequest) -> bool:
        headers = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        if "resumable" not in request.path:
            headers = ("Content-Length: 2",)
        head = request.head(*headers).partition(b"\r\n")[2]
        body = b"b\r\nid: 1\ndata\n\r\n0\r\n\r\n" if "resumable" in request.path else b"{}"
        request.connection.sendall(cls.status_line + b"\r\n" + head + body)
        return False

    @params(*((path, line) for path in ("/stream/x", "/resumable/x") for line in SOME_MALFORMED))
    def test_caller_gets_an_error(self, path: str, line: bytes) -> None:
        type(self).status_line = line
        answer = self.rig.ask("gateway-0", path, "r", tokens=True, deadline_ms=2000)
        self.assertIn(answer.status, (502, 503, 504))
        self.assertNotIn("Response-Seal", answer.headers)


if __name__ == "__main__":
    unittest.main()
