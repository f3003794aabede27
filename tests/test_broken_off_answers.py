"""Answers that replicas break off: no caller gets a part as the whole answer."""

from __future__ import annotations

import socket
import unittest

import urllib3
from nose2.tools import params

from fleet_rig import FleetRig
from quaymill_bench.fleet_world import HOST
from quaymill_standins.fleet_replica import ReplicaBehaviour, event_bytes

EVENTS = 6
REQUEST_ID = "broken-off"
WHOLE_STREAM = b"".join(event_bytes(REQUEST_ID, number) for number in range(1, EVENTS + 1))


class BrokenOffStreamTest(unittest.TestCase):
    """Streams in chunks, and streams that end with their connection."""

    def setUp(self) -> None:
        self.rig = FleetRig(gateways=1, storage=0).start()
        self.addCleanup(self.rig.stop)

    def ask(self, path: str, **behaviour: object) -> bytes:
        """Return the body of a stream; raises ``ProtocolError`` if it is incomplete."""
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(events=EVENTS, **behaviour)
        return self.rig.ask("gateway-0", path, REQUEST_ID, tokens=True).data

    def check_incomplete(self, path: str, **behaviour: object) -> None:
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.ask(path, **behaviour)

    @params("/stream/x", "/resumable/x")
    def test_stream_without_framing_is_complete_at_its_end(self, path: str) -> None:
        self.assertEqual(WHOLE_STREAM, self.ask(path, unframed=True))

    def test_stream_without_framing_cut_inside_an_event_is_not_complete(self) -> None:
        self.check_incomplete("/stream/x", unframed=True, cut_at_event=3)

    def test_resumable_stream_without_framing_cut_inside_an_event_is_not_complete(self) -> None:
        self.check_incomplete("/resumable/x", unframed=True, cut_at_event=3)

    def test_stream_that_is_reset_between_events_is_not_complete(self) -> None:
        self.check_incomplete("/stream/x", unframed=True, resets=True, end_after_event=3)

    def test_stream_in_chunks_cut_between_events_is_not_complete(self) -> None:
        self.check_incomplete("/stream/x", end_after_event=3)

    def test_stream_that_ends_regularly_inside_an_event_is_not_complete(self) -> None:
        self.check_incomplete("/stream/x", end_inside_event=3)

    @params({"unframed": True, "resets": True}, {})
    def test_resumable_stream_that_breaks_off_between_events_is_resumed(
        self, behaviour: dict[str, bool]
    ) -> None:
        body = self.ask("/resumable/x", end_after_event=3, **behaviour)
        self.assertEqual(WHOLE_STREAM, body)

    def test_stream_without_framing_that_ends_before_its_first_event_is_a_failure(self) -> None:
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(unframed=True, events=0)
        answer = self.rig.ask("gateway-0", "/stream/x", REQUEST_ID, tokens=True)
        self.assertEqual(502, answer.status)

    def test_resumed_stream_without_framing_may_have_nothing_left(self) -> None:
        self.rig.ask("gateway-0", "/resumable/x", "begun", tokens=True)
        headers = {"Last-Event-Id": str(EVENTS), "Resumes": "begun"}
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(unframed=True, events=EVENTS)
        answer = self.rig.ask("gateway-0", "/resumable/x", REQUEST_ID, tokens=True, headers=headers)
        self.assertEqual((200, b""), (answer.status, answer.data))


class BrokenOffWholeAnswerTest(unittest.TestCase):
    """Whole answers that end with their connection."""

    def setUp(self) -> None:
        self.rig = FleetRig(gateways=1, storage=0, engines=0).start()
        self.addCleanup(self.rig.stop)

    def ask(self, path: str, behaviour: ReplicaBehaviour) -> tuple[int, bytes]:
        """Return status and body of an answer."""
        for replica in self.rig.of_service("application"):
            replica.behaviour = behaviour
        answer = self.rig.ask("gateway-0", path, REQUEST_ID)
        return answer.status, answer.data

    @params("/read/x", "/write/x")
    def test_answer_without_framing_is_complete_at_its_end(self, path: str) -> None:
        body = b"answer to " + REQUEST_ID.encode()
        self.assertEqual((200, body), self.ask(path, ReplicaBehaviour(unframed=True)))

    @params(
        ("/read/x", {"unframed": True, "resets": True}),
        ("/write/x", {"unframed": True, "resets": True}),
        ("/read/x", {}),
        ("/write/x", {}),
    )
    def test_cut_answer_is_a_failure(self, path: str, behaviour: dict[str, bool]) -> None:
        status, body = self.ask(path, ReplicaBehaviour(cut_body=True, **behaviour))
        self.assertEqual(502, status)
        self.assertNotIn(b"answer to", body)


class CallerWithoutChunksTest(unittest.TestCase):
    """Callers that speak HTTP/1.0, whose streams end with the connection."""

    def setUp(self) -> None:
        self.rig = FleetRig(gateways=1, storage=0).start()
        self.addCleanup(self.rig.stop)

    def receive(self, **behaviour: object) -> bytes:
        """Return the body of a stream; raises ``ConnectionResetError`` if it is incomplete."""
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(events=EVENTS, **behaviour)
        address = (self.rig.settings["gateway-0"].address, self.rig.ports("gateway-0")[0])
        with socket.create_connection(address, timeout=10.0) as connection:
            head = f"POST /stream/x HTTP/1.0\r\nHost: {HOST}\r\nRequest-Id: {REQUEST_ID}\r\n"
            connection.sendall(f"{head}Token-Count: 1,1\r\nContent-Length: 0\r\n\r\n".encode())
            received = b""
            while block := connection.recv(4096):
                received += block
        return received.partition(b"\r\n\r\n")[2]

    def test_whole_stream_ends_with_a_close(self) -> None:
        self.assertEqual(WHOLE_STREAM, self.receive())

    def test_stream_that_breaks_off_ends_with_a_reset(self) -> None:
        with self.assertRaises(ConnectionResetError):
            self.receive(end_after_event=3)
