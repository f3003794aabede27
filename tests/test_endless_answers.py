"""Replicas whose bytes never end, at a gateway process: callers, threads, memory, connections."""

from __future__ import annotations

import http.client
import tempfile
import threading
import time
import unittest
from pathlib import Path

import attrs
import psutil
from nose2.tools import params

from process_resources import expect_resources_returned
from quaymill_bench.fleet_processes import LocalFleet, wait_until
from quaymill_bench.fleet_world import HOST
from raw_replica import RawReplica, RawRequest

DEADLINE_S = 2.0
SLACK_S = 1.5
"""Time that the gateway may take beside the deadline, on a busy machine."""
CALLER_TIMEOUT_S = 9.0
SLOW_INTERVAL_S = 0.1
EVENT_STREAM = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"
EVENT = b"id: 1\ndata: a\n\n"


@attrs.frozen
class Endless:
    """An answer whose bytes never end.

    Attributes
    ----------
    path
        Route on which it is sent.
    headers
        Header lines of a complete head; ``None`` if the head is what never ends.
    start, repeated
        Sent after the head, once and without end.
    has_begun
        Whether the caller gets a part of the answer; otherwise it gets an error.
    """

    repeated: bytes
    start: bytes = b""
    headers: tuple[str, ...] | None = None
    path: str = "/stream/x"
    has_begun: bool = False


FORMS = {
    "interim answers": Endless(b"HTTP/1.1 100 Continue\r\n\r\n"),
    "status line": Endless(b"x", b"HTTP/1.1 200 "),
    "header": Endless(b"x", b"HTTP/1.1 200 OK\r\nX: "),
    "headers": Endless(b"X: x\r\n", b"HTTP/1.1 200 OK\r\n"),
    "chunk extension": Endless(b"x", b"4\r\nbody\r\n4;x=", (CHUNKED,)),
    "trailers": Endless(b"X: x\r\n", b"4\r\nbody\r\n0\r\n", (CHUNKED,)),
    "chunks": Endless(b"4\r\nbody\r\n", b"", (CHUNKED,), has_begun=True),
    "body without length": Endless(b"x", b"", (), has_begun=True),
    "event": Endless(b"data: x\n", EVENT, (EVENT_STREAM,), "/resumable/x", has_begun=True),
    "comments": Endless(b": x\n", EVENT, (EVENT_STREAM,), "/resumable/x", has_begun=True),
    "line of an event": Endless(b"x", EVENT, (EVENT_STREAM,), "/resumable/x", has_begun=True),
}
SLOW_FORMS = (
    "interim answers",
    "status line",
    "header",
    "chunk extension",
    "trailers",
    "event",
    "body without length",
)


@attrs.frozen
class Answered:
    """What a caller got: a status, 0 for none, whether its answer was complete, and when."""

    status: int
    complete: bool
    took_s: float


class EndlessAnswerTest(unittest.TestCase):
    """One gateway process and one replica."""

    @classmethod
    def setUpClass(cls) -> None:
        folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        cls.fleet = LocalFleet(folder / "fleet", gateways=1, storage=0, engines=0)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        cls.gateway = cls.fleet.gateways[0]
        cls.process = psutil.Process(cls.gateway.process.pid)

    def setUp(self) -> None:
        self.form: Endless | None = None
        self.interval_s = 0.0
        self.stopping = threading.Event()
        self.replica = RawReplica(self._answer)
        self.addCleanup(self.replica.stop)
        self.addCleanup(self.stopping.set)
        name = f"raw-{self.replica.port}"
        self.fleet.store.put("servers", name, self.replica.entry("engine"))
        self.addCleanup(self.fleet.store.remove, "servers", name)
        wait_until(self.is_known, "the replica is known")

    def is_known(self) -> bool:
        return self.ask("/stream/ready").status == 200 and self.replica.accepted > 0

    def _answer(self, request: RawRequest) -> bool:
        form = self.form
        if form is None:
            request.send_whole(b"ready")
            return True
        head = b"" if form.headers is None else request.head(*form.headers)
        request.connection.sendall(head + form.start)
        block = form.repeated if self.interval_s else form.repeated * (8192 // len(form.repeated))
        while not self.stopping.wait(self.interval_s):
            request.connection.sendall(block)
        return False

    def ask(self, path: str) -> Answered:
        """Send a request, and read its answer to the end."""
        began = time.monotonic()
        caller = http.client.HTTPConnection(
            self.gateway.address, self.gateway.callers_port, timeout=CALLER_TIMEOUT_S
        )
        deadline_ms = str(int(DEADLINE_S * 1000))
        headers = {"Host": HOST, "Request-Id": "endless", "Deadline-Ms": deadline_ms}
        status, complete = 0, False
        try:
            caller.request("GET", path, headers=headers | {"Token-Count": "50,10"})
            answer = caller.getresponse()
            status = answer.status
            while answer.read1(1024 * 1024) and time.monotonic() - began < CALLER_TIMEOUT_S:
                pass
            complete = answer.isclosed()
        except (OSError, http.client.HTTPException):
            pass
        finally:
            caller.close()
        return Answered(status, complete, time.monotonic() - began)

    def check(self, form: Endless, interval_s: float) -> None:
        with expect_resources_returned(self, self.process):
            self.form, self.interval_s = form, interval_s
            answered = self.ask(form.path)
            self.assertLess(answered.took_s, DEADLINE_S + SLACK_S)
            if form.has_begun:
                self.assertFalse(answered.status == 200 and answered.complete, answered)
            else:
                self.assertIn(answered.status, (502, 504))
            wait_until(lambda: not self.replica.open_connections, "its connections are closed")

    @params(*FORMS)
    def test_fast_bytes_hold_nothing_beyond_the_deadline(self, name: str) -> None:
        """Guards against reads without an end, which no time-out of a single read ends."""
        self.check(FORMS[name], 0.0)

    @params(*SLOW_FORMS)
    def test_slow_bytes_hold_nothing_beyond_the_deadline(self, name: str) -> None:
        """Guards against bytes that keep each read within its time-out."""
        self.check(FORMS[name], SLOW_INTERVAL_S)
