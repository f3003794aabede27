"""Callers that leave after their answer, while its connection carries the answer of another."""

from __future__ import annotations

import contextlib
import http.client
import random
import socket
import tempfile
import threading
import time
import unittest
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from unittest import mock

import urllib3
from nose2.tools import params

from fleet_rig import FleetRig, wait_until
from quaymill.connection.replica_connection import Exchange
from quaymill.process.front.http_server import AnswerWriter
from quaymill_bench.fleet_processes import LocalFleet
from quaymill_bench.fleet_world import HOST
from raw_replica import RawReplica, RawRequest

TIMEOUT_S = 10.0
FIRST_HALF = b"first half, "
SECOND_HALF = b"second half\n\n"
WHOLE = FIRST_HALF + SECOND_HALF
FRAMINGS = {
    "length": (f"Content-Length: {len(WHOLE)}",),
    "close": (),
    "events": ("Content-Type: text/event-stream",),
}
CALLERS = 16
REQUESTS = 3000
UNFRAMED_SHARE = 0.1
PAUSE_S = 0.05


class ForcedOrderTest(unittest.TestCase):
    """A gateway whose write to the first caller waits, after the answer has been read."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.rig = FleetRig(gateways=1, storage=0, engines=0).start()
        cls.addClassCleanup(cls.rig.stop)

    def setUp(self) -> None:
        self.go_on = threading.Event()
        self.writing = threading.Event()
        self.fail_write = threading.Event()
        self.connection_by_path: dict[str, socket.socket] = {}
        self.replica = RawReplica(self._answer)
        self.addCleanup(self.replica.stop)
        self.addCleanup(self.go_on.set)
        self.addCleanup(self.fail_write.set)
        name = f"raw-{self.replica.port}"
        self.rig.store.put("servers", name, self.replica.entry("engine"))
        self.addCleanup(self.rig.store.remove, "servers", name)
        wait_until(self.is_known, "the replica is known")
        self.enterContext(mock.patch.object(AnswerWriter, "write", self._delayed_write()))

    def _delayed_write(self) -> Callable[[AnswerWriter, bytes], None]:
        write = AnswerWriter.write

        def delayed(writer: AnswerWriter, block: bytes) -> None:
            if block == b"leaving":
                self.writing.set()
                self.fail_write.wait(TIMEOUT_S)
                raise ConnectionResetError
            write(writer, block)

        return delayed

    def notice(self, owner: type, method: str) -> threading.Event:
        """Return an event that is set after each call of a method."""
        called = threading.Event()
        original = getattr(owner, method)

        def noticed(*args: object) -> None:
            original(*args)
            called.set()

        self.enterContext(mock.patch.object(owner, method, noticed))
        return called

    def _answer(self, request: RawRequest) -> bool:
        path = request.path.removeprefix("/stream/")
        self.connection_by_path[path] = request.connection
        if path not in FRAMINGS:
            request.send_whole(path.encode())
            return True
        request.connection.sendall(request.head(*FRAMINGS[path]) + FIRST_HALF)
        self.go_on.wait(TIMEOUT_S)
        request.connection.sendall(SECOND_HALF)
        return path == "length"

    def ask(self, path: str) -> urllib3.BaseHTTPResponse:
        return self.rig.ask("gateway-0", f"/stream/{path}", path)

    def is_known(self) -> bool:
        return self.ask("ready").status == 200 and "ready" in self.connection_by_path

    def begin_leaving(self) -> socket.socket:
        """Send a request; return its caller's connection once its answer has been read."""
        settings = self.rig.settings["gateway-0"]
        caller = socket.create_connection((settings.address, self.rig.ports("gateway-0")[0]))
        self.addCleanup(caller.close)
        lines = ("GET /stream/leaving HTTP/1.1", f"Host: {HOST}", "Request-Id: leaving", "", "")
        caller.sendall("\r\n".join(lines).encode())
        self.assertTrue(self.writing.wait(TIMEOUT_S))
        return caller

    @params(*((path, noticed) for path in FRAMINGS for noticed in ("watch", "write")))
    def test_caller_that_leaves_does_not_cut_the_answer_of_another(
        self, path: str, noticed_by: str
    ) -> None:
        """Guards against a cancel that reaches the next exchange of its connection."""
        cancelled = self.notice(Exchange, "cancel")
        aborted = self.notice(AnswerWriter, "abort")
        leaving = self.begin_leaving()
        with ThreadPoolExecutor(1) as executor:
            other = executor.submit(self.ask, path)
            wait_until(lambda: path in self.connection_by_path, "the second request is sent")
            if noticed_by == "watch":
                leaving.close()
                self.assertTrue(cancelled.wait(TIMEOUT_S))
            else:
                self.fail_write.set()
                self.assertTrue(aborted.wait(TIMEOUT_S))
            self.go_on.set()
            answer = other.result(TIMEOUT_S)
        self.assertIs(self.connection_by_path["leaving"], self.connection_by_path[path])
        self.assertEqual((200, WHOLE), (answer.status, answer.data))


class ShortConnectionsTest(unittest.TestCase):
    """Callers of a gateway process that open a connection for each request."""

    def setUp(self) -> None:
        self.random = random.Random(69)
        self.replica = RawReplica(self._answer)
        self.addCleanup(self.replica.stop)
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = LocalFleet(folder / "fleet", gateways=1, storage=0, engines=0)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.fleet.store.put("servers", "raw", self.replica.entry("engine"))
        wait_until(lambda: self.ask()[0] == 200, "the replica is known")

    def _answer(self, request: RawRequest) -> bool:
        if self.random.random() >= UNFRAMED_SHARE:
            request.send_whole(WHOLE)
            return True
        request.connection.sendall(request.head() + FIRST_HALF)
        time.sleep(PAUSE_S)
        request.connection.sendall(SECOND_HALF)
        return False

    def ask(self) -> tuple[int, bytes]:
        """Send one request on its own connection, and close that after the answer."""
        gateway = self.fleet.gateways[0]
        address = (gateway.address, gateway.callers_port)
        with contextlib.closing(http.client.HTTPConnection(*address, timeout=TIMEOUT_S)) as caller:
            caller.request("GET", "/stream/x", headers={"Host": HOST, "Request-Id": "r"})
            answer = caller.getresponse()
            return answer.status, answer.read()

    def test_every_answer_is_whole(self) -> None:
        """Guards against a cancel that reaches the next exchange of its connection."""
        with ThreadPoolExecutor(CALLERS) as executor:
            asked = [executor.submit(self.ask) for _ in range(REQUESTS)]
            answers = Counter(one.result() for one in asked)
        self.assertEqual({(200, WHOLE): REQUESTS}, answers)
