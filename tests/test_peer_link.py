"""Client of the internal protocol: replies are complete, failures show what may have been sent."""

import socket
import threading
import time
import unittest
from unittest import mock

import msgspec

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.peer_link import (
    PeerClient,
    PeerMessage,
    PeerNoReply,
    PeerRefusal,
    PeerUnreachable,
)
from quaymill.connection.peer_server import PeerServer

LOOPBACK = Endpoint("127.0.0.1", 0)
TIMEOUT_S = 2.0
SHORT_TIMEOUT_S = 0.1


class Echo(PeerMessage, frozen=True):
    """Request the same text."""

    text: str


class Echoed(PeerMessage, frozen=True):
    """Answer to ``Echo``."""

    text: str


class Unhandled(PeerMessage, frozen=True):
    """A message without a handler."""


class RecordingObserver:
    """Records the calls that it is notified of."""

    def __init__(self) -> None:
        self.refused_endpoints: set[Endpoint] = set()
        self.calls: list[Endpoint] = []
        self.replies: dict[int, object] = {}

    def refuses(self, endpoint: Endpoint) -> bool:
        return endpoint in self.refused_endpoints

    def began(self, endpoint: Endpoint) -> int:
        self.calls.append(endpoint)
        return len(self.calls)

    def ended(self, token: int, reply: object) -> None:
        self.replies[token] = reply


class PeerLinkTest(unittest.TestCase):
    """A server with an echo handler and one client."""

    def setUp(self):
        self.release_handler = threading.Event()
        self.link_filter = LinkFilter()
        self.client = PeerClient(self.link_filter)
        self.server = PeerServer(LOOPBACK)
        self.server.register(Echo, self._echo)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.addCleanup(self.client.close)
        self.addCleanup(self.release_handler.set)

    def _echo(self, message: Echo) -> Echoed:
        if message.text == "wait":
            self.release_handler.wait(TIMEOUT_S)
        if message.text == "bug":
            raise RuntimeError("handler bug")
        return Echoed(message.text)

    def _call(self, text: str, timeout_s: float = TIMEOUT_S):
        return self.client.call(self.server.endpoint, Echo(text), Echoed, timeout_s)

    def test_long_reply_is_complete(self):
        text = "x" * 1_000_000
        self.assertEqual(self._call(text), Echoed(text))

    def test_late_reply_never_answers_the_next_request(self):
        self.assertIsInstance(self._call("wait", SHORT_TIMEOUT_S), PeerNoReply)
        self.release_handler.set()
        for number in range(20):
            self.assertEqual(self._call(str(number)), Echoed(str(number)))

    def test_concurrent_calls_do_not_cross(self):
        results: dict[str, object] = {}

        def call_many(prefix: str) -> None:
            for number in range(50):
                text = f"{prefix}-{number}"
                results[text] = self._call(text)

        threads = [threading.Thread(target=call_many, args=(str(n),)) for n in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(results), 400)
        for text, reply in results.items():
            self.assertEqual(reply, Echoed(text))

    def test_handler_error_gives_no_reply(self):
        self.assertIsInstance(self._call("bug"), PeerNoReply)
        self.assertEqual(self._call("next"), Echoed("next"))

    def test_observer_is_notified_of_every_call_and_reply(self):
        observer = RecordingObserver()
        client = PeerClient(self.link_filter, observer)
        self.addCleanup(client.close)
        endpoint = self.server.endpoint
        client.call(endpoint, Echo("a"), Echoed, TIMEOUT_S)
        client.call(endpoint, Echo("wait"), Echoed, SHORT_TIMEOUT_S)
        self.assertEqual([endpoint] * 2, observer.calls)
        self.assertEqual(Echoed("a"), observer.replies[1])
        self.assertIsInstance(observer.replies[2], PeerNoReply)

    def test_call_refused_by_the_observer_is_not_sent(self):
        observer = RecordingObserver()
        observer.refused_endpoints = {self.server.endpoint}
        client = PeerClient(self.link_filter, observer)
        with mock.patch.object(socket, "create_connection") as connect:
            reply = client.call(self.server.endpoint, Echo("a"), Echoed, TIMEOUT_S)
        self.assertIsInstance(reply, PeerUnreachable)
        connect.assert_not_called()
        self.assertEqual([], observer.calls)

    def test_message_without_handler_is_refused(self):
        reply = self.client.call(self.server.endpoint, Unhandled(), Echoed, TIMEOUT_S)
        self.assertIsInstance(reply, PeerRefusal)

    def test_refused_connection_is_unreachable(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        reply = self.client.call(Endpoint("127.0.0.1", port), Echo("a"), Echoed, TIMEOUT_S)
        self.assertIsInstance(reply, PeerUnreachable)

    def test_idle_connection_closed_by_the_peer_is_replaced(self):
        self.assertEqual(self._call("first"), Echoed("first"))
        endpoint = self.server.endpoint
        self.server.stop()
        self.server = PeerServer(endpoint)
        self.server.register(Echo, self._echo)
        self.server.start()
        self.assertEqual(self._call("second"), Echoed("second"))

    def test_connection_with_an_invalid_reply_is_not_reused(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        endpoint = Endpoint("127.0.0.1", listener.getsockname()[1])
        accepted: list[socket.socket] = []

        def answer_twice_at_once() -> None:
            while True:
                try:
                    connection, _ = listener.accept()
                except OSError:
                    return
                accepted.append(connection)
                self.addCleanup(connection.close)
                connection.recv(1024)
                reply = msgspec.json.encode(Echoed("one")) + b"\n"
                connection.sendall(reply + reply)

        threading.Thread(target=answer_twice_at_once, daemon=True).start()
        for number in (1, 2):
            reply = self.client.call(endpoint, Echo("one"), Echoed, TIMEOUT_S)
            self.assertIsInstance(reply, PeerNoReply)
            self.assertEqual(number, len(accepted))

    def test_blocked_link_is_unreachable_until_unblocked(self):
        self.link_filter.set_blocked(frozenset({self.server.endpoint}))
        self.assertIsInstance(self._call("a", SHORT_TIMEOUT_S), PeerUnreachable)
        self.link_filter.set_blocked(frozenset())
        self.assertEqual(self._call("a"), Echoed("a"))

    def test_idle_connection_to_an_unused_peer_is_closed(self):
        other = PeerServer(LOOPBACK)
        other.register(Echo, self._echo)
        other.start()
        self.addCleanup(other.stop)
        with mock.patch("quaymill.connection.peer_link.IDLE_CONNECTION_LIFETIME_S", 0.05):
            self.client.call(other.endpoint, Echo("once"), Echoed, TIMEOUT_S)
            self.assertEqual(len(other._connections), 1)
            deadline = time.monotonic() + TIMEOUT_S
            while other._connections and time.monotonic() < deadline:
                self._call("again")
        self.assertEqual(len(other._connections), 0)
        self.assertEqual(self._call("still served"), Echoed("still served"))
