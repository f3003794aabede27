"""A planned stop of a gateway process: each request that was read gets an answer."""

from __future__ import annotations

import http.client
import socket
import tempfile
import threading
import time
import unittest
from pathlib import Path

import attrs
from nose2.tools import params

from quaymill import boot_clock
from quaymill.process.front.drain import MIN_DURATIONS, Drain
from quaymill.request.presence import CallerPresence
from quaymill.version.request_routes import RequestRoute, RouteKind
from quaymill_bench.fleet_processes import GRACE_S, LocalFleet, wait_until
from quaymill_bench.fleet_world import HOST
from raw_replica import RawReplica, RawRequest

WRITE = "/write/x"
READ = "/read/x"
STREAM = "/stream/x"
BODY = b"whole answer"
AT_ONCE_S = 1.0


@attrs.define
class Call:
    """A request and its answer; status 0 if the connection was closed without one.

    Attributes
    ----------
    headers
        Headers of the answer, by names in lower case.
    """

    request_id: str
    status: int = 0
    took_s: float = 0.0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""


class PlannedStopTest(unittest.TestCase):
    """One gateway process gets SIGTERM while callers go on sending to it.

    Guards against requests that were taken late in the grace period and cut at its end.
    """

    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = LocalFleet(folder / "fleet", gateways=1, storage=0, engines=0)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.gateway = self.fleet.gateways[0]
        self.answer_s = 0.0
        self.ran: list[str] = []
        self.stopping = threading.Event()
        self.addCleanup(self.stopping.set)
        for service in ("engine", "application"):
            replica = RawReplica(self._answer)
            self.addCleanup(replica.stop)
            self.fleet.store.put("servers", f"raw-{service}", replica.entry(service))
        for replica_id in self.fleet.replicas:
            self.fleet.store.remove("servers", replica_id)
        for path in (READ, STREAM):
            wait_until(lambda path=path: self.is_served_here(path), "only these replicas serve")
        self.ran.clear()

    def is_served_here(self, path: str) -> bool:
        answers = [self.call("ready", path).body for _ in range(4)]
        return answers == [BODY] * 4

    def _answer(self, request: RawRequest) -> bool:
        self.ran.append(request.id)
        self.stopping.wait(self.answer_s)
        request.send_whole(BODY)
        return True

    def connect(self) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(
            self.gateway.address, self.gateway.callers_port, timeout=15.0
        )
        self.addCleanup(connection.close)
        return connection

    def call(
        self, request_id: str, path: str, connection: http.client.HTTPConnection | None = None
    ) -> Call:
        call = Call(request_id)
        connection = connection or self.connect()
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "8000"}
        began = time.monotonic()
        try:
            connection.request("POST", path, b"", headers)
            answer = connection.getresponse()
            call.body = answer.read()
            call.status = answer.status
            call.headers = {name.lower(): value for name, value in answer.getheaders()}
        except (OSError, http.client.HTTPException):
            call.status = 0
        call.took_s = time.monotonic() - began
        return call

    def call_all(
        self, path: str, connections: list[http.client.HTTPConnection | None], prefix: str
    ) -> list[Call]:
        """Send a request on each connection at the same time; ``None`` is a new connection."""
        calls: list[Call] = []

        def send(number: int, connection: http.client.HTTPConnection | None) -> None:
            calls.append(self.call(f"{prefix}-{number}", path, connection))

        threads = [threading.Thread(target=send, args=pair) for pair in enumerate(connections)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return calls

    def kept_connections(self, count: int) -> list[http.client.HTTPConnection]:
        """Return connections that have carried a request."""
        connections = [self.connect() for _ in range(count)]
        for connection in connections:
            self.assertEqual(200, self.call("warm", READ, connection).status)
        return connections

    def stop_gateway(self) -> threading.Thread:
        """Send SIGTERM; return a thread that ends with the process."""
        thread = threading.Thread(target=self.gateway.terminate)
        thread.start()
        self.addCleanup(thread.join)
        return thread

    def check_refused_at_once(self, calls: list[Call]) -> None:
        for call in calls:
            self.assertEqual(503, call.status, call)
            self.assertLess(call.took_s, AT_ONCE_S)
            self.assertIn("retry-after", call.headers)
            self.assertNotIn(call.request_id, self.ran)

    def test_requests_that_must_not_be_repeated_are_refused_if_they_may_not_end(self) -> None:
        kept = self.kept_connections(8)
        self.answer_s = GRACE_S
        self.stop_gateway()
        time.sleep(0.2)
        new = self.call_all(WRITE, [None] * 8, "new")
        self.check_refused_at_once(new)
        self.check_refused_at_once(self.call_all(WRITE, kept[:4], "kept"))
        self.check_refused_at_once(self.call_all(STREAM, kept[4:], "stream"))

    @params(READ, WRITE)
    def test_request_in_service_at_the_end_gets_a_final_answer(self, path: str) -> None:
        self.answer_s = 2 * GRACE_S
        calls: list[Call] = []
        caller = threading.Thread(
            target=lambda: calls.extend(self.call_all(path, [None] * 8, "long"))
        )
        caller.start()
        wait_until(lambda: len(self.ran) == 8, "all run")
        self.stop_gateway().join()
        caller.join()
        self.assertEqual([502] * 8, [call.status for call in calls])

    def test_repeatable_request_that_comes_late_gets_an_answer(self) -> None:
        self.answer_s = 2 * GRACE_S
        self.stop_gateway()
        time.sleep(0.2)
        for call in self.call_all(READ, [None] * 8, "late"):
            self.assertEqual(502 if call.request_id in self.ran else 503, call.status)

    def test_fast_requests_are_served_to_the_end(self) -> None:
        for number in range(MIN_DURATIONS):
            self.assertEqual(200, self.call(f"fast-{number}", WRITE).status)
        self.stop_gateway()
        time.sleep(0.2)
        for call in self.call_all(WRITE, [None] * 8, "late"):
            self.assertEqual(200, call.status)

    def test_body_that_is_being_read_at_the_end_gets_a_final_answer(self) -> None:
        with socket.create_connection((self.gateway.address, self.gateway.callers_port)) as caller:
            head = f"POST {READ} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: slow\r\n"
            caller.sendall(f"{head}Content-Length: 100\r\n\r\nhalf".encode())
            time.sleep(0.2)
            stopping = self.stop_gateway()
            caller.settimeout(2 * GRACE_S)
            self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 503 "))
            stopping.join()
        self.assertEqual([], self.ran)


def route(kind: RouteKind) -> RequestRoute:
    return RequestRoute("r", "h", "/", kind, (), timeout_s=8.0, objective_s=0.5)


class DrainTest(unittest.TestCase):
    """Which requests are taken while a gateway stops."""

    ONCE = RouteKind.NON_IDEMPOTENT
    AGAIN = RouteKind.IDEMPOTENT

    @params(
        ("unknown duration", ONCE, [], 8.0, False),
        ("unknown duration, repeatable", AGAIN, [], 8.0, True),
        ("ends with its caller", ONCE, [], 3.0, True),
        ("too few are known", ONCE, [0.1] * (MIN_DURATIONS - 1), 8.0, False),
        ("fast enough", ONCE, [0.1] * MIN_DURATIONS, 8.0, True),
        ("one was slow", ONCE, [0.1] * MIN_DURATIONS + [3.0], 8.0, False),
        ("one was slow, repeatable", AGAIN, [0.1] * MIN_DURATIONS + [3.0], 8.0, True),
        ("most are too slow, repeatable", AGAIN, [6.0, 6.0, 0.1], 8.0, False),
    )
    def test_only_what_will_end_is_taken(self, _, kind, durations, waits_s, taken) -> None:
        drain = Drain()
        self.assertTrue(drain.may_take(route(kind), waits_s))
        for duration in durations:
            drain.record_duration(route(kind), duration)
        drain.begin(boot_clock.now() + 5.0)
        self.assertIs(taken, drain.may_take(route(kind), waits_s))

    @params(RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT)
    def test_nothing_is_taken_after_the_end(self, kind) -> None:
        drain = Drain()
        for _ in range(MIN_DURATIONS):
            drain.record_duration(route(kind), 0.0)
        drain.begin(boot_clock.now() - 0.1)
        self.assertFalse(drain.may_take(route(kind), 1.0))

    def test_requests_in_service_are_interrupted(self) -> None:
        drain, running, ended = Drain(), CallerPresence(), CallerPresence()
        with drain.in_service(ended):
            pass
        with drain.in_service(running):
            self.assertEqual(1, drain.interrupt_all())
        self.assertTrue(running.interrupted)
        self.assertFalse(ended.interrupted)


if __name__ == "__main__":
    unittest.main()
