"""The proxy of the soak does to connections what its states say."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
import unittest
from unittest import mock

from quaymill_bench.loopback_proxy import LinkState, LoopbackProxy
from quaymill_bench.ports import loopback_address
from quaymill_bench.routed_process import connect_from

SHORT_S = 0.3
DELAY_S = 0.5


class LoopbackProxyTest(unittest.TestCase):
    """Before a server that sends back what it gets."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        threading.Thread(target=self._echo_all, daemon=True).start()
        self.proxy = LoopbackProxy(("127.0.0.1", self.listener.getsockname()[1]))
        self.addCleanup(self.proxy.stop)

    def _echo_all(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._echo, args=(connection,), daemon=True).start()

    def _echo(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while block := connection.recv(1024):
                connection.sendall(block)

    def connect(self) -> socket.socket:
        connection = socket.create_connection(("127.0.0.1", self.proxy.port), timeout=5.0)
        self.addCleanup(connection.close)
        return connection

    def test_target_sees_where_a_client_comes_from(self) -> None:
        """Guards against replicas of the soak that can't tell senders apart."""
        seen = []
        self.enterContext(mock.patch.object(self, "_echo", seen.append))
        address = loopback_address()
        proxy = ("127.0.0.1", self.proxy.port)
        socket.create_connection(proxy, 5.0, (address, 0)).close()
        deadline = time.monotonic() + 5.0
        while not seen and time.monotonic() < deadline:
            time.sleep(0.01)
        self.assertEqual([address], [one.getpeername()[0] for one in seen])

    def test_process_connects_from_its_address(self) -> None:
        """Guards against gateways of the soak that all show the same address."""
        self.enterContext(mock.patch.object(socket.socket, "connect", socket.socket.connect))
        address = loopback_address()
        connect_from(address)
        self.assertEqual(address, self.connect().getsockname()[0])

    def ask(self, connection: socket.socket, timeout_s: float = 5.0) -> bytes:
        """Send a word and return what comes back; empty if nothing does in time."""
        connection.settimeout(timeout_s)
        connection.sendall(b"word")
        try:
            return connection.recv(1024)
        except TimeoutError:
            return b""

    def test_open_connections_go_silent_and_new_ones_work(self) -> None:
        old = self.connect()
        self.assertEqual(b"word", self.ask(old))
        self.proxy.silence_open()
        self.assertEqual(b"", self.ask(old, SHORT_S))
        self.assertEqual(b"word", self.ask(self.connect()))
        self.assertEqual(b"", self.ask(old, SHORT_S), "silent for good")

    def test_only_answers_are_late(self) -> None:
        connection = self.connect()
        self.assertEqual(b"word", self.ask(connection))
        self.proxy.set_state(LinkState.ANSWERS_LATE, DELAY_S)
        began = time.monotonic()
        self.assertEqual(b"word", self.ask(connection))
        self.assertGreaterEqual(time.monotonic() - began, DELAY_S)

    def test_reset_is_not_seen_as_an_end(self) -> None:
        for _ in range(20):
            connection = self.connect()
            self.assertEqual(b"word", self.ask(connection))
            self.proxy.set_state(LinkState.RESET)
            self.proxy.set_state(LinkState.OPEN)
            with self.assertRaises(ConnectionResetError):
                connection.recv(1)

    def test_reset_by_the_target_is_passed_on(self) -> None:
        def reset(target: socket.socket) -> None:
            target.sendall(target.recv(1024))
            target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            target.close()

        self.enterContext(mock.patch.object(self, "_echo", reset))
        for _ in range(20):
            connection = self.connect()
            with self.assertRaises(ConnectionResetError):
                connection.sendall(b"word")
                while connection.recv(1024):
                    pass
