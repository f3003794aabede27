"""Answers without end to requests that no caller waits for: none holds its thread."""

from __future__ import annotations

import threading
import time
import unittest
from collections.abc import Callable

from nose2.tools import params

from quaymill.connection.application_client import ApplicationClient
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.engine_client import EngineClient
from quaymill.connection.job_document import JobItem
from quaymill.connection.object_store import ObjectKind, StoreUnanswered
from quaymill.connection.replica_connection import Exchange, ReplicaConnections, ReplicaRequest
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.platform.object_store import PlatformObjectStore
from quaymill.process.jobs.coordinated_job import CoordinatedItem
from quaymill.process.jobs.engine_loads import EngineLoads
from quaymill.process.jobs.item_run import ItemCut, run_item
from quaymill.process.jobs.run_handle import RunHandle
from quaymill.process.replica_set.replica import Replica
from quaymill.request.deadline import Deadline
from quaymill.request.outcome import OutcomeUnknown
from raw_replica import RawReplica, RawRequest

MAX_S = 8.0
"""Longer than any of the time-outs, which are 5 s at most."""
SLOW_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 1.0
CHUNKED = "Transfer-Encoding: chunked"
FORMS: dict[str, tuple[tuple[str, ...] | None, bytes, bytes]] = {
    "interim answers": (None, b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "header": (None, b"HTTP/1.1 200 OK\r\nX: ", b"x"),
    "trailers": ((CHUNKED,), b"0\r\n", b"X: x\r\n"),
    "body": ((), b"", b"x"),
}
EVENT_FORMS = {
    "event": (("Content-Type: text/event-stream",), b"", b"data: x\n"),
    "line": (("Content-Type: text/event-stream",), b"data: ", b"x"),
}


class EndlessWorkTest(unittest.TestCase):
    """Each kind of work that reads answers."""

    def setUp(self) -> None:
        self.stopping = threading.Event()
        self.replica = RawReplica(self._answer)
        self.addCleanup(self.replica.stop)
        self.addCleanup(self.stopping.set)
        self.endpoint = Endpoint("127.0.0.1", self.replica.port)
        self.connections = ReplicaConnections(LinkFilter())
        self.addCleanup(self.connections.close)

    def _answer(self, request: RawRequest) -> bool:
        headers, start, repeated = (FORMS | EVENT_FORMS)[self.form]
        head = b"" if headers is None else request.head(*headers)
        request.connection.sendall(head + start)
        block = repeated[:1] if self.interval_s else repeated * (8192 // len(repeated))
        while not self.stopping.wait(self.interval_s):
            request.connection.sendall(block)
        return False

    def check(self, form: str, interval_s: float, work: Callable[[], object], kind: type) -> None:
        self.form, self.interval_s = form, interval_s
        began = time.monotonic()
        result = work()
        self.assertLess(time.monotonic() - began, MAX_S)
        self.assertIsInstance(result, kind)
        until = time.monotonic() + MAX_S
        while self.replica.open_connections and time.monotonic() < until:
            time.sleep(0.01)
        self.assertEqual(0, self.replica.open_connections)

    @params(*((form, pace) for form in FORMS | EVENT_FORMS for pace in (0.0, SLOW_INTERVAL_S)))
    def test_item(self, form: str, interval_s: float) -> None:
        """Guards against an item whose run is held for good."""
        entry = ReplicaEntry("engine-1", "engine", self.endpoint, "x", slots=4)
        item = CoordinatedItem(0, JobItem("00000000000000aa", "/r", {}, b"", 10))
        item.run = RunHandle()
        protocol = GATEWAY_PROTOCOL.items
        self.check(
            form,
            interval_s,
            lambda: run_item(item, "host", Replica(entry), self.connections, protocol),
            ItemCut,
        )

    @params(*((form, pace) for form in FORMS for pace in (0.0, SLOW_INTERVAL_S)))
    def test_platform_store(self, form: str, interval_s: float) -> None:
        store = PlatformObjectStore(self.endpoint)
        self.addCleanup(store.close)
        kind = next(iter(ObjectKind))
        self.check(form, interval_s, lambda: store.get(kind, "name"), StoreUnanswered)

    @params(*((form, pace) for form in FORMS for pace in (0.0, SLOW_INTERVAL_S)))
    def test_engine_report(self, form: str, interval_s: float) -> None:
        loads = EngineLoads(self.connections, GATEWAY_PROTOCOL.reports)
        replica = Replica(ReplicaEntry("engine-1", "engine", self.endpoint, "x", slots=4))
        self.check(form, interval_s, lambda: loads._fetch_report(replica), type(None))

    @params(*((form, pace) for form in FORMS for pace in (0.0, SLOW_INTERVAL_S)))
    def test_probe(self, form: str, interval_s: float) -> None:
        request = GATEWAY_PROTOCOL.reports.request()
        probe = self.connections.responds
        self.check(form, interval_s, lambda: probe(self.endpoint, request), bool)

    @params(*((form, pace) for form in FORMS for pace in (0.0, SLOW_INTERVAL_S)))
    def test_application(self, form: str, interval_s: float) -> None:
        client = ApplicationClient(LinkFilter())
        self.addCleanup(client.close)
        request = ReplicaRequest("GET", "/x", {})

        def call() -> object:
            deadline = Deadline.after(CALL_TIMEOUT_S)
            return client.call(
                self.endpoint, request, "id", deadline, lambda exchange: None, repeatable=True
            )

        self.check(form, interval_s, call, OutcomeUnknown)

    @params(*((form, pace) for form in FORMS | EVENT_FORMS for pace in (0.0, SLOW_INTERVAL_S)))
    def test_engine_stream(self, form: str, interval_s: float) -> None:
        client = EngineClient(LinkFilter())
        self.addCleanup(client.close)
        self.check(form, interval_s, lambda: self._read_stream(client), OutcomeUnknown)

    def _read_stream(self, client: EngineClient) -> object:
        exchange = client.send(self.endpoint, "/x", b"", "")
        self.assertIsInstance(exchange, Exchange)
        # A caller who leaves ends what a time-out between events does not.
        end = threading.Timer(MAX_S / 2, exchange.cancel)
        end.start()
        self.addCleanup(end.cancel)
        stream = client.read_stream(exchange, "")
        if isinstance(stream, OutcomeUnknown):
            return stream
        stream.set_stall_timeout(CALL_TIMEOUT_S)
        return stream.next_events()
