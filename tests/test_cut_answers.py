"""Answers that are cut off below the level of events: heads, chunks, lengths, cancelled reads."""

from __future__ import annotations

import socket
import struct
import threading
import unittest
from unittest import mock

from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection import replica_connection
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.replica_connection import Exchange, ReplicaConnections, ReplicaRequest
from quaymill.request.outcome import OutcomeUnknown

TIMEOUT_S = 5.0
UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class CutAnswerCase(unittest.TestCase):
    """An exchange with a replica whose bytes the test sends."""

    def setUp(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        connections = ReplicaConnections(LinkFilter())
        self.addCleanup(connections.close)
        endpoint = Endpoint("127.0.0.1", listener.getsockname()[1])
        exchange = connections.send(endpoint, ReplicaRequest("GET", "/", {}))
        self.assertIsInstance(exchange, Exchange)
        self.exchange = exchange
        self.addCleanup(exchange.abandon)
        self.replica, _ = listener.accept()
        self.addCleanup(self.replica.close)
        self.replica.recv(4096)

    def send_and_close(self, answer: bytes) -> None:
        self.replica.sendall(answer)
        self.replica.close()

    def reset(self) -> None:
        self.replica.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.replica.close()

    def read(self) -> bytes | OutcomeUnknown:
        """Read the whole answer; return its body."""
        failure = self.exchange.read_head(TIMEOUT_S)
        if failure is not None:
            return failure
        return self.exchange.read_body(1024, boot_clock.now() + TIMEOUT_S)


class CutHeadTest(CutAnswerCase):
    """The connection ends before the head is complete."""

    @params(
        b"",
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 404 Not Found\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r",
    )
    def test_cut_head_is_no_answer(self, head: bytes) -> None:
        self.send_and_close(head)
        answer = self.read()
        self.assertIsInstance(answer, OutcomeUnknown)
        self.assertTrue(answer.connection_closed)

    def test_whole_head_is_an_answer(self) -> None:
        self.send_and_close(UNFRAMED + b"body")
        self.assertEqual(b"body", self.read())


class CutChunkTest(CutAnswerCase):
    """The connection ends before the last chunk."""

    @params(
        b"",
        b"4\r\nbo",
        b"4\r\nbody\r\n",
        b"0004\r\nbody\r\n0",
        b"0004\r\nbody\r\n00",
    )
    def test_cut_chunks_are_no_body(self, chunks: bytes) -> None:
        self.send_and_close(CHUNKED + chunks)
        self.assertIsInstance(self.read(), OutcomeUnknown)

    @params(b"4\r\nbody\r\n0\r\n\r\n", b"0004\r\nbody\r\n0000\r\n\r\n", b"4\r\nbody\r\n0\r\n")
    def test_body_is_whole_with_its_last_chunk(self, chunks: bytes) -> None:
        self.send_and_close(CHUNKED + chunks)
        self.assertEqual(b"body", self.read())


class InvalidFramingTest(CutAnswerCase):
    """The head does not tell how the body ends."""

    @params(b"Content-Length: -1", b"Content-Length: four", b"Transfer-Encoding: gzip, chunked")
    def test_body_without_a_known_end_is_no_answer(self, header: bytes) -> None:
        self.send_and_close(b"HTTP/1.1 200 OK\r\n" + header + b"\r\n\r\nbody")
        self.assertIsInstance(self.read(), OutcomeUnknown)


class CancelledReadTest(CutAnswerCase):
    """The gateway closes the connection itself while an answer is read."""

    def test_cancelled_answer_is_not_complete(self) -> None:
        self.replica.sendall(UNFRAMED + b"bo")
        results: list[bytes | OutcomeUnknown] = []
        reader = threading.Thread(target=lambda: results.append(self.read()))
        reader.start()
        self.exchange.cancel()
        reader.join(TIMEOUT_S)
        self.assertIsInstance(results[0], OutcomeUnknown)

    def test_answer_that_failed_once_stays_failed(self) -> None:
        self.replica.sendall(UNFRAMED + b"bo")
        self.assertIsNone(self.exchange.read_head(TIMEOUT_S))
        self.assertEqual(b"bo", self.exchange.read_block())
        self.reset()
        for _ in range(2):
            self.assertIsInstance(self.exchange.read_block(), OutcomeUnknown)


class ResetWhileBufferedTest(CutAnswerCase):
    """The connection is reset while the gateway waits for its caller to read."""

    def test_reset_found_by_looking_ahead_is_not_the_end(self) -> None:
        self.replica.sendall(UNFRAMED + b"bo")
        self.assertIsNone(self.exchange.read_head(TIMEOUT_S))
        self.assertEqual(b"bo", self.exchange.read_block())
        self.reset()
        # The reset arrives after the check of the socket and before the look ahead.
        with mock.patch.object(replica_connection, "is_readable", return_value=False):
            self.assertTrue(self.exchange.is_read_ready())
        self.assertIsInstance(self.exchange.read_block(), OutcomeUnknown)
