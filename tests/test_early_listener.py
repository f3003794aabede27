"""Callers can connect while a gateway is still loading."""

from __future__ import annotations

import socket
import tempfile
import threading
import unittest
from pathlib import Path

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.process.early_listener import open_listener
from quaymill.process.front.http_server import HttpServer
from quaymill_bench.ports import free_port

TIMEOUT_S = 10.0


class EarlyListenerTest(unittest.TestCase):
    """The early listener alone and when it is passed to a server."""

    def write_settings(self, text: str) -> Path:
        folder = Path(tempfile.mkdtemp(prefix="quaymill-listener-"))
        file = folder / "node.toml"
        file.write_text(text)
        return file

    def test_a_request_sent_while_loading_is_served_once_the_server_runs(self) -> None:
        port = free_port()
        listener = open_listener(self.write_settings(f'[listen]\ncallers = "127.0.0.1:{port}"\n'))
        with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as caller:
            caller.sendall(b"GET /early HTTP/1.1\r\nHost: h\r\n\r\n")
            paths: list[str] = []

            def answer(request, writer) -> None:
                paths.append(request.path)
                writer.answer(200, (), b"here")

            server = HttpServer(Endpoint("127.0.0.1", port), answer, 4, listener=listener)
            server.start_serving()
            self.addCleanup(server.stop)
            received = b""
            while b"here" not in received and (block := caller.recv(4096)):
                received += block
        self.assertIn(b"here", received)
        self.assertEqual(["/early"], paths)

    def test_answers_in_two_parts_do_not_wait_for_the_callers_acknowledgement(self) -> None:
        port = free_port()
        listener = open_listener(self.write_settings(f'[listen]\ncallers = "127.0.0.1:{port}"\n'))
        self.addCleanup(listener.close)
        with socket.create_connection(("127.0.0.1", port), TIMEOUT_S):
            accepted, _ = listener.accept()
            with accepted:
                self.assertTrue(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

    def test_connecting_does_not_block(self) -> None:
        port = free_port()
        listener = open_listener(self.write_settings(f'[listen]\ncallers = "127.0.0.1:{port}"\n'))
        self.addCleanup(listener.close)
        connected = threading.Event()

        def connect() -> None:
            with socket.create_connection(("127.0.0.1", port), TIMEOUT_S):
                connected.set()

        threading.Thread(target=connect, daemon=True).start()
        self.assertTrue(connected.wait(TIMEOUT_S))

    @params("", "[listen]\n", '[listen]\ncallers = ""\n', "no toml", '[listen]\ncallers = "x:y"\n')
    def test_invalid_settings_give_no_listener(self, text) -> None:
        self.assertIsNone(open_listener(self.write_settings(text)))

    def test_an_address_in_use_gives_no_listener(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as used:
            port = used.getsockname()[1]
            file = self.write_settings(f'[listen]\ncallers = "127.0.0.1:{port}"\n')
            self.assertIsNone(open_listener(file))
