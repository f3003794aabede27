"""Callers whose requests never end, at a gateway process: threads, memory, connections."""

from __future__ import annotations

import contextlib
import socket
import tempfile
import time
import unittest
from pathlib import Path

import attrs
import psutil
from nose2.tools import params

from process_resources import expect_resources_returned
from quaymill_bench.fleet_processes import LocalFleet
from quaymill_bench.fleet_world import HOST

DEADLINE_S = 2.0
SLACK_S = 3.0
"""Time beside the deadline: the interval of checks of heads, and a busy machine."""
HEADER_TIMEOUT_S = 3.0
SLOW_INTERVAL_S = 0.1
MAX_SENT_S = 12.0
FIRST_LINES = (
    f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: endless\r\nDeadline-Ms: 2000\r\n"
).encode()
CHUNKED = FIRST_LINES + b"Transfer-Encoding: chunked\r\n\r\n"


@attrs.frozen
class Endless:
    """A request whose bytes never end: ``repeated`` follows ``start`` again and again."""

    start: bytes
    repeated: bytes


FORMS = {
    "header": Endless(FIRST_LINES + b"X: ", b"x"),
    "headers": Endless(FIRST_LINES, b"X: x\r\n"),
    "chunk extension": Endless(CHUNKED + b"4\r\nbody\r\n4;x=", b"x"),
    "trailers": Endless(CHUNKED + b"4\r\nbody\r\n0\r\n", b"X: x\r\n"),
    "chunks": Endless(CHUNKED, b"4\r\nbody\r\n"),
    "large chunk": Endless(CHUNKED + b"fffffffff\r\n", b"x"),
}
SLOW_FORMS = FORMS | {
    "body": Endless(FIRST_LINES + b"Content-Length: 100000\r\n\r\n", b"x"),
}


class EndlessRequestTest(unittest.TestCase):
    """One gateway process without replicas."""

    @classmethod
    def setUpClass(cls) -> None:
        folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        cls.fleet = LocalFleet(folder / "fleet", gateways=1, storage=0, engines=0)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        cls.gateway = cls.fleet.gateways[0]
        cls.process = psutil.Process(cls.gateway.process.pid)

    def send_until_closed(self, form: Endless, interval_s: float) -> float:
        """Send a request until the gateway closes the connection; return the time it took."""
        address = (self.gateway.address, self.gateway.callers_port)
        repeated = form.repeated[:1] if interval_s else form.repeated * (8192 // len(form.repeated))
        began = time.monotonic()
        with socket.create_connection(address, timeout=MAX_SENT_S) as caller:
            caller.sendall(form.start)
            with contextlib.suppress(OSError):
                while time.monotonic() - began < MAX_SENT_S:
                    caller.sendall(repeated)
                    time.sleep(interval_s)
        return time.monotonic() - began

    def check(self, form: Endless, interval_s: float) -> None:
        with expect_resources_returned(self, self.process):
            took_s = self.send_until_closed(form, interval_s)
            self.assertLess(took_s, max(DEADLINE_S, HEADER_TIMEOUT_S) + SLACK_S)

    @params(*FORMS)
    def test_fast_bytes_are_refused(self, name: str) -> None:
        """Guards against a request that is read, and kept, for as long as its caller sends."""
        self.check(FORMS[name], 0.0)

    @params(*SLOW_FORMS)
    def test_slow_bytes_end_at_the_deadline(self, name: str) -> None:
        """Guards against bytes that keep each read within its time-out."""
        self.check(SLOW_FORMS[name], SLOW_INTERVAL_S)
