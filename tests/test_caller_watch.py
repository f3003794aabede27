"""The watch of callers' connections takes nobody for gone who still waits."""

from __future__ import annotations

import os
import select
import socket
import threading
import unittest

from gateway_rig import HOST, MODEL, GatewayRig, begin, chat, streamed_text, wait_until
from quaymill.process.gateway.caller_watch import CallerWatch
from quaymill_standins.text import chat_prompt, expected_text

PATH = "/v1/chat/completions"
TIMEOUT_S = 10.0
CALLERS = 8
STREAMS_PER_CALLER = 100
TOKENS = 4


class _HeldPoll:
    """An epoll object that reports its first events only when it is released."""

    def __init__(self) -> None:
        self._poll = select.epoll()
        self.has_events = threading.Event()
        self.released = threading.Event()
        self.polled_again = threading.Event()
        self.register = self._poll.register
        self.unregister = self._poll.unregister
        self.close = self._poll.close

    def poll(self, timeout_s: float) -> list[tuple[int, int]]:
        if self.released.is_set():
            self.polled_again.set()
        events = self._poll.poll(timeout_s)
        if events:
            self.has_events.set()
            self.released.wait(TIMEOUT_S)
        return events


class ReusedDescriptorTest(unittest.TestCase):
    """A connection that has the descriptor of one that has just been closed."""

    def connect(self) -> tuple[socket.socket, socket.socket]:
        pair = socket.socketpair()
        for end in pair:
            self.addCleanup(end.close)
        return pair

    def test_event_of_a_closed_connection_does_not_end_the_next_one(self) -> None:
        """Guards against a 499 for a caller that still waits."""
        held = _HeldPoll()
        watch = CallerWatch()
        watch._poll = held
        watch.start()
        self.addCleanup(watch.stop)
        first, first_caller = self.connect()
        watch.watch(first)
        first_caller.close()
        self.assertTrue(held.has_events.wait(TIMEOUT_S))
        descriptor = first.fileno()
        watch.unwatch(first)
        accepted, caller = self.connect()
        second = socket.socket(fileno=os.dup2(accepted.fileno(), first.detach()))
        self.addCleanup(second.close)
        accepted.close()
        self.assertEqual(descriptor, second.fileno())
        presence = watch.watch(second)
        held.released.set()
        self.assertTrue(held.polled_again.wait(TIMEOUT_S))
        self.assertFalse(presence.gone)
        caller.close()
        wait_until(lambda: presence.gone, TIMEOUT_S)


class ShortConnectionsTest(unittest.TestCase):
    """Streams on new connections, beside connections that end as soon as they are answered."""

    def setUp(self) -> None:
        self.rig = GatewayRig()
        self.rig.add_engine(slots=64, step_ms=1.0)
        self.rig.start()
        self.addCleanup(self.rig.stop)
        self.streaming = threading.Event()
        self.faults: list[str] = []

    def probe(self) -> None:
        while self.streaming.is_set():
            with socket.create_connection((HOST, self.rig.gateway.endpoint.port)) as connection:
                connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                connection.recv(1)

    def stream(self, caller: int) -> None:
        for number in range(STREAMS_PER_CALLER):
            prompt = f"caller {caller} question {number}"
            connection = self.rig.connect()
            response = begin(connection, "POST", PATH, chat(prompt, TOKENS, stream=True))
            text, ended, errors = streamed_text(response.read())
            connection.close()
            expected = expected_text(MODEL, chat_prompt([("user", prompt)]), TOKENS)
            if (response.status, text, ended, errors) != (200, expected, True, []):
                self.faults.append(f"{prompt}: {response.status} {text!r} {errors}")

    def test_every_stream_is_whole(self) -> None:
        """Guards against a 499 for a caller that still waits."""
        self.streaming.set()
        probes = [threading.Thread(target=self.probe) for _ in range(CALLERS)]
        streams = [
            threading.Thread(target=self.stream, args=(caller,)) for caller in range(CALLERS)
        ]
        for thread in (*probes, *streams):
            thread.start()
        for thread in streams:
            thread.join()
        self.streaming.clear()
        for thread in probes:
            thread.join()
        self.assertEqual([], self.faults)


if __name__ == "__main__":
    unittest.main()
