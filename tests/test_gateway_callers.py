"""Callers that leave, read slowly or come in bursts; schedulers that are gone."""

import http.client
import io
import socket
import threading
import time
import unittest

import psutil

from gateway_rig import (
    HOST,
    KEY,
    MODEL,
    GatewayRig,
    begin,
    chat,
    streamed_text,
    wait_until,
)
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.process.settings import GatewaySettings
from quaymill_standins.faults import Faults
from quaymill_standins.text import chat_prompt, expected_text

PATH = "/v1/chat/completions"


def expected(prompt: str, tokens: int) -> str:
    return expected_text(MODEL, chat_prompt([("user", prompt)]), tokens)


class LeavingCallerTest(unittest.TestCase):
    """A caller that leaves has its engine stream cancelled, at whatever point."""

    @classmethod
    def setUpClass(cls):
        cls.rig = GatewayRig()
        cls.rig.add_engine(slots=1, step_ms=5.0)
        cls.rig.start()

    @classmethod
    def tearDownClass(cls):
        cls.rig.stop()

    def running(self) -> int:
        return sum(run["outcome"] == "running" for run in self.rig.runs())

    def leave(self, stream: bool, after_first_token: bool) -> None:
        connection = self.rig.connect()
        if after_first_token:
            begin(connection, "POST", PATH, chat("a", 5000, stream=stream)).read1(1)
        else:
            headers = {"Authorization": f"Bearer {KEY}"}
            body = (
                b'{"model":"drafting","messages":[{"role":"user"}],"max_tokens":5000,"stream":%s}'
            )
            content = body % (b"true" if stream else b"false")
            connection.request("POST", PATH, content, headers)
            wait_until(lambda: self.running() > 0)
        # The response holds the socket too; only a shutdown ends the connection at once.
        connection.sock.shutdown(socket.SHUT_RDWR)
        connection.close()

    def test_leaves_in_mid_stream_before_the_answer_and_while_it_waits(self):
        for stream, after_first_token in ((True, True), (True, False), (False, False)):
            self.leave(stream, after_first_token)
            wait_until(lambda: self.running() == 0)
        holder = self.rig.connect()
        held = begin(holder, "POST", PATH, chat("holder", 5000, stream=True))
        held.read1(1)
        runs = len(self.rig.runs())
        waiter = self.rig.connect()
        waiter.request(
            "POST",
            PATH,
            b'{"model":"drafting","messages":[{"role":"u"}],"stream":true}',
            {"Authorization": f"Bearer {KEY}"},
        )
        wait_until(lambda: len(self.rig.runs()) == runs + 1)
        waiter.close()
        wait_until(lambda: self.rig.runs()[-1]["outcome"] == "cancelled")
        self.assertEqual(self.running(), 1)
        holder.sock.shutdown(socket.SHUT_RDWR)
        holder.close()
        wait_until(lambda: self.rig.load_view.replicas(MODEL)[0].local_in_flight == 0)
        wait_until(lambda: self.rig.gateway.admission.in_service == 0)


class SlowReaderTest(unittest.TestCase):
    """A phone that reads slowly costs bounded memory, delays nobody and gets all."""

    TOKENS = 4_000
    MAX_GROWTH_BYTES = 16 * 1024 * 1024

    def test_slow_readers(self):
        rig = GatewayRig()
        rig.add_engine(step_ms=0.2)
        rig.start()
        self.addCleanup(rig.stop)
        phones = [self._begin_slowly(rig, number) for number in range(4)]
        memory_before = psutil.Process().memory_info().rss
        for phone in phones:
            phone.recv(1)
        for number in range(10):
            reply = rig.request("POST", PATH, chat(f"desk {number}", stream=True))
            self.assertEqual(streamed_text(reply.body), (expected(f"desk {number}", 8), True, []))
        growth = psutil.Process().memory_info().rss - memory_before
        self.assertLess(growth, self.MAX_GROWTH_BYTES)
        for number, phone in enumerate(phones):
            response = http.client.HTTPResponse(_Prefixed(phone))
            response.begin()
            text, ended, errors = streamed_text(response.read())
            self.assertEqual((ended, errors), (True, []))
            self.assertEqual(text, expected(f"page {number}", self.TOKENS))
            phone.close()

    def _begin_slowly(self, rig: GatewayRig, number: int) -> socket.socket:
        phone = socket.socket()
        phone.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        phone.settimeout(30.0)
        phone.connect((HOST, rig.gateway.endpoint.port))
        body = (
            f'{{"model":"{MODEL}","stream":true,"max_tokens":{self.TOKENS},'
            f'"messages":[{{"role":"user","content":"page {number}"}}]}}'
        )
        phone.sendall(
            f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        return phone


class _Prefixed:
    """Gives the one byte that was read already back to ``HTTPResponse``."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection

    def makefile(self, mode: str) -> io.BufferedReader:
        raw = self._connection.makefile("rb", buffering=0)
        original = raw.readinto
        first = [b"H"]

        class Reader(io.RawIOBase):
            def readable(self) -> bool:
                return True

            def readinto(self, buffer) -> int | None:
                if first:
                    buffer[:1] = first.pop()
                    return 1
                return original(buffer)

        return io.BufferedReader(Reader())


class BurstTest(unittest.TestCase):
    """Ten times the usual load: what does not fit is refused at once, truly, with a time."""

    USUAL = 16
    STEP_MS = 10.0

    def test_burst(self):
        rig = GatewayRig(gateway=GatewaySettings(threads=32, admission_limit=24, queue_limit=8))
        rig.add_engine(slots=8, step_ms=self.STEP_MS)
        rig.start()
        self.addCleanup(rig.stop)
        rig.configure({"zone-a": 1.0}, online_limit=self.USUAL)
        replies, health_s = [], []

        def ask(number: int) -> None:
            started_at = time.monotonic()
            reply = rig.request("POST", PATH, chat(f"q{number}", 40, stream=True))
            replies.append((number, reply, time.monotonic() - started_at))

        threads = [
            threading.Thread(target=ask, args=(number,)) for number in range(10 * self.USUAL)
        ]
        for thread in threads:
            thread.start()
        for _ in range(5):
            started_at = time.monotonic()
            self.assertEqual(rig.request("GET", "/healthz", key="").status, 200)
            health_s.append(time.monotonic() - started_at)
        for thread in threads:
            thread.join()
        answered = [entry for entry in replies if entry[1].status == 200]
        refused = [entry for entry in replies if entry[1].status != 200]
        self.assertGreaterEqual(len(answered), self.USUAL)
        for number, reply, _ in answered:
            self.assertEqual(streamed_text(reply.body), (expected(f"q{number}", 40), True, []))
        for _, reply, _ in refused:
            self.assertIn(reply.status, (429, 503))
            self.assertEqual(reply.headers["quaymill-outcome"], "not-run")
            self.assertGreaterEqual(int(reply.headers["retry-after"]), 1)
        self.assertEqual(len(rig.runs()), len(answered))
        self.assertLess(max(health_s), 2.0)


class NoticeTest(unittest.TestCase):
    """Online work does not wait for the batch scheduler of its replica."""

    def test_scheduler_node_is_dead_while_a_burst_comes(self):
        rig = GatewayRig()
        rig.add_engine()
        rig.start()
        self.addCleanup(rig.stop)
        with socket.create_server((HOST, 0)) as silent:
            port = silent.getsockname()[1]
            dead = Member("node-9", "zone-a", "region", Endpoint(HOST, port), Endpoint(HOST, 1))
            rig.membership.members_now = (dead,)
            wait_until(lambda: rig.load_view.scheduler_of(rig.load_view.replicas(MODEL)[0]) == dead)
            started_at = time.monotonic()
            for number in range(30):
                self.assertEqual(rig.request("POST", PATH, chat(f"q{number}", 2)).status, 200)
            self.assertLess(time.monotonic() - started_at, 5.0)
            self.assertEqual(rig.notices, [])

    def test_replica_with_old_reports_still_serves(self):
        rig = GatewayRig()
        engine = rig.add_engine()
        rig.start()
        self.addCleanup(rig.stop)
        engine.switches.replace(Faults(load_lies="none"))
        wait_until(lambda: rig.load_view.replicas(MODEL)[0].load() is None)
        self.assertEqual(rig.request("POST", PATH, chat()).status, 200)
