"""How the end of an answer is marked, and whether a stream ends inside an event."""

from __future__ import annotations

import unittest

from nose2.tools import params
from urllib3._collections import HTTPHeaderDict

from quaymill.connection.replica_answer import BodyFraming, read_framing
from quaymill.request.event_stream import EventBoundary

LENGTH = BodyFraming.LENGTH
CHUNKED = BodyFraming.CHUNKED
CONNECTION_CLOSE = BodyFraming.CONNECTION_CLOSE
INVALID = BodyFraming.INVALID


class BodyFramingTest(unittest.TestCase):
    """The framing that the headers of an answer state."""

    @params(
        ({"Content-Length": "12"}, LENGTH),
        ({"Content-Length": "0"}, LENGTH),
        ({"content-length": "12"}, LENGTH),
        ({"Transfer-Encoding": "chunked"}, CHUNKED),
        ({"Transfer-Encoding": "Chunked"}, CHUNKED),
        ({"Transfer-Encoding": "chunked", "Content-Length": "12"}, CHUNKED),
        ({}, CONNECTION_CLOSE),
        ({"Connection": "close"}, CONNECTION_CLOSE),
        ({"Keep-Alive": "timeout=5"}, CONNECTION_CLOSE),
        ({"Content-Length": ""}, INVALID),
        ({"Content-Length": "-1"}, INVALID),
        ({"Content-Length": "+12"}, INVALID),
        ({"Content-Length": "1.5"}, INVALID),
        ({"Content-Length": "twelve"}, INVALID),
        ({"Content-Length": "\u0661\u0662"}, INVALID),
        ({"Content-Length": "12, 12"}, INVALID),
        ({"Content-Length": "12, 13"}, INVALID),
        ({"Transfer-Encoding": ""}, INVALID),
        ({"Transfer-Encoding": "gzip"}, INVALID),
        ({"Transfer-Encoding": "gzip, chunked"}, INVALID),
        ({"Transfer-Encoding": "identity"}, INVALID),
    )
    def test_headers(self, headers: dict[str, str], framing: BodyFraming) -> None:
        self.assertEqual(framing, read_framing(200, HTTPHeaderDict(headers)))

    @params(204, 304)
    def test_answers_without_a_body_need_no_length(self, status: int) -> None:
        self.assertEqual(LENGTH, read_framing(status, HTTPHeaderDict()))


class EventBoundaryTest(unittest.TestCase):
    """Whether a stream ends inside an event, however its bytes arrive."""

    @params(
        (b"", False),
        (b"id: 1\ndata: a\n\n", False),
        (b"id: 1\r\ndata: a\r\n\r\n", False),
        (b"id: 1\rdata: a\r\r", False),
        (b"data: a\n\r\n", False),
        (b"data: a\n\n\n", False),
        (b"i", True),
        (b"id: 1\ndata: a", True),
        (b"id: 1\ndata: a\n", True),
        (b"id: 1\r\ndata: a\r\n", True),
        (b"id: 1\r\ndata: a\r\n\r", False),
        (b"id: 1\ndata: a\n\nid: 2", True),
        (b"id: 1\ndata: a\n\nid: 2\n", True),
    )
    def test_end(self, stream: bytes, inside_event: bool) -> None:
        for block_bytes in (1, 2, 3, len(stream) + 1):
            boundary = EventBoundary()
            for start in range(0, len(stream), block_bytes):
                boundary.feed(stream[start : start + block_bytes])
            self.assertEqual(inside_event, boundary.inside_event, f"blocks of {block_bytes}")
