"""New connections that cannot be read soon are closed unread, and the others are served.

Guards against a gateway that reads more requests than it can serve while most callers of a zone
reach it, and against callers who wait there until they give up.
"""

from __future__ import annotations

import contextlib
import http.client
import socket
import threading
import time
import unittest
from unittest import mock

from nose2.tools import params

from fleet_support import eventually
from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.process.front.http_server import AnswerWriter, FrontRequest, HttpServer
from quaymill.process.front.read_gate import (
    FORGET_S,
    LOG_INTERVAL_S,
    MAX_WAIT_S,
    TRIAL_INTERVAL_S,
    ReadGate,
)

THREADS = 4
SERVICE_S = 0.1
TIMEOUT_S = 10.0


class GateTest(unittest.TestCase):
    """Which connections are admitted, by the waits of recent ones."""

    def setUp(self) -> None:
        self.now = 100.0
        clock = mock.patch.object(boot_clock, "now", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)
        self.has_room = True
        self.gate = ReadGate(lambda: self.has_room)

    def wait_long(self, times: int = 20) -> None:
        for _ in range(times):
            self.gate.record_wait(3 * MAX_WAIT_S)

    def admitted(self, count: int, interval_s: float = 0.001) -> int:
        admitted = 0
        for _ in range(count):
            admitted += self.gate.admits()
            self.now += interval_s
        return admitted

    def test_all_are_admitted_while_waits_are_short(self) -> None:
        for _ in range(50):
            self.gate.record_wait(MAX_WAIT_S / 2)
        self.assertEqual(100, self.admitted(100))

    def test_one_long_wait_closes_nothing(self) -> None:
        self.gate.record_wait(2 * MAX_WAIT_S)
        self.assertEqual(10, self.admitted(10))

    def test_few_are_admitted_while_waits_are_long(self) -> None:
        self.wait_long()
        self.assertLessEqual(self.admitted(100), 100 * 0.001 / TRIAL_INTERVAL_S + 1)
        self.assertGreater(self.gate.closed, 90)

    def test_all_are_admitted_again_after_short_waits(self) -> None:
        self.wait_long()
        for _ in range(20):
            self.gate.record_wait(0.0)
        self.assertEqual(10, self.admitted(10))

    def test_old_waits_do_not_count(self) -> None:
        self.wait_long()
        self.now += FORGET_S + 0.01
        self.assertEqual(10, self.admitted(10))

    def test_few_are_admitted_without_room(self) -> None:
        """Guards against a gateway that takes no new connection at all while it is ready."""
        self.has_room = False
        self.assertEqual(1, self.admitted(10))
        self.now += TRIAL_INTERVAL_S
        self.assertEqual(1, self.admitted(10))

    def test_one_line_a_second_tells_how_many_were_closed(self) -> None:
        self.has_room = False
        with mock.patch("quaymill.process.front.read_gate.log_message") as log:
            self.admitted(11)
            self.now += LOG_INTERVAL_S
            self.admitted(2)
        self.assertEqual([1, 10], [call.kwargs["connections"] for call in log.call_args_list])


class FloodTest(unittest.TestCase):
    """A server with few workers and many new connections."""

    def setUp(self) -> None:
        self.room = True
        self.server = HttpServer(
            Endpoint("127.0.0.1", 0), self.handle, THREADS, has_room=lambda: self.room
        )
        self.server.start_serving()
        self.addCleanup(self.server.stop)
        self.address = self.server.bind_addr

    def handle(self, request: FrontRequest, writer: AnswerWriter) -> None:
        time.sleep(SERVICE_S)
        writer.answer(200, (), b"ok")

    def close_gate(self) -> None:
        """Leave no room, and let no trial connection pass."""
        self.room = False
        gate = self.server.read_gate
        gate._next_trial_at = boot_clock.now() + TIMEOUT_S

    def send(self) -> tuple[str, float]:
        """Send one request on a new connection; return what came of it, and when."""
        began = time.monotonic()
        connection = http.client.HTTPConnection(*self.address[:2], timeout=TIMEOUT_S)
        outcome = "closed"
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("GET", "/x")
            outcome = str(connection.getresponse().status)
        connection.close()
        return outcome, time.monotonic() - began

    @params(4.0)
    def test_requests_that_are_read_are_answered_soon(self, excess: float) -> None:
        """Guards against a queue in which every caller waits as long as the flood lasts."""
        results: list[tuple[str, float]] = []
        threads = []
        per_s = excess * THREADS / SERVICE_S
        for _ in range(int(3.0 * per_s)):
            thread = threading.Thread(target=lambda: results.append(self.send()), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(1.0 / per_s)
        for thread in threads:
            thread.join(TIMEOUT_S)
        times = sorted(took_s for outcome, took_s in results if outcome == "200")
        closed = [took_s for outcome, took_s in results if outcome == "closed"]
        self.assertEqual(len(threads), len(times) + len(closed))
        # The workers are never idle, and whoever is read is served within a second.
        self.assertGreater(len(times), 0.6 * 3.0 * THREADS / SERVICE_S)
        self.assertLess(times[int(0.9 * len(times))], 1.0)
        self.assertLess(sorted(closed)[int(0.9 * len(closed))], 0.5)

    def test_all_are_served_after_the_flood(self) -> None:
        for _ in range(20):
            self.server.read_gate.record_wait(1.0)
        eventually(lambda: self.send()[0] == "200" and self.send()[0] == "200", TIMEOUT_S)
        self.assertEqual(["200"] * 10, [self.send()[0] for _ in range(10)])

    def test_kept_connection_is_served_when_new_ones_are_closed(self) -> None:
        connection = http.client.HTTPConnection(*self.address[:2], timeout=TIMEOUT_S)
        self.addCleanup(connection.close)
        for _ in range(3):
            connection.request("GET", "/x")
            answer = connection.getresponse()
            answer.read()
            self.assertEqual(200, answer.status)
            self.close_gate()
            self.assertEqual("closed", self.send()[0])

    def test_connection_without_room_is_closed_before_anything_is_read(self) -> None:
        self.close_gate()
        connection = socket.create_connection(self.address[:2], timeout=TIMEOUT_S)
        with connection, contextlib.suppress(ConnectionResetError):
            self.assertEqual(b"", connection.recv(1))


if __name__ == "__main__":
    unittest.main()
