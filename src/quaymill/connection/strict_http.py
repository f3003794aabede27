"""HTTP connections whose answers are bounded, well-formed, and never cut off unnoticed.

``http.client`` takes the end of the connection for the end of the head, and for the end of a line
that states the size of a chunk: the head ``HTTP/1.1 200 OK`` without its headers is an answer
without a body, and the chunk size ``0`` of a cut ``04f2`` marks a complete body. Here both raise
``ConnectionResetError``. It also reads interim answers and trailers without end, which raises
``PartTooLongError`` here. And it parses a status code as any integer up to 999, so that ``+200``
and ``0200`` are a success; a status line that RFC 9112 does not allow raises ``BadStatusLine``.
"""

from __future__ import annotations

import functools
import http.client
import itertools
import re
import socket

from urllib3.connection import HTTPConnection

from quaymill.connection.bounded_reader import (
    MAX_HEAD_BYTES,
    AnswerPart,
    BoundedReader,
    PartTooLongError,
    ReadBounds,
)

MAX_INTERIM_ANSWERS = 16
MAX_SHOWN_BYTES = 80
"""Part of a malformed status line that its error shows."""

_STATUS_LINE = re.compile(
    rb"(?P<version>HTTP/1\.[0-9]) (?P<code>[1-5][0-9]{2})"
    rb"(?: (?P<reason>[\t \x21-\x7e\x80-\xff]*))?\r?\n"
)
"""A status line (RFC 9112, section 4) with a code of one of the five classes.

Some servers leave out the space before an empty reason phrase, and some send a bare LF; neither
makes the line ambiguous."""

_connection_numbers = itertools.count(1)


class StrictHTTPResponse(http.client.HTTPResponse):
    """An answer whose head and chunks are complete.

    Parameters
    ----------
    read_bounds
        When reads of the answer fail.
    """

    def __init__(
        self, sock: socket.socket, *args: object, read_bounds: ReadBounds, **kwargs: object
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp = BoundedReader(self.fp.detach(), sock, read_bounds)

    def begin(self) -> None:
        """Read the status line and the headers."""
        super().begin()
        self.fp.begin_part(AnswerPart.CHUNK_LINE)

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line of the final answer; skip the interim answers before it."""
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            version, status, reason = self._read_status_line()
            if status >= 200:
                return version, status, reason
            http.client.parse_headers(self.fp)
        raise PartTooLongError(
            AnswerPart.HEAD, f"follows more than {MAX_INTERIM_ANSWERS} interim answers"
        )

    def _read_status_line(self) -> tuple[str, int, str]:
        """Read one status line; the reader raises an error if there is none."""
        line = self.fp.readline(MAX_HEAD_BYTES + 1)
        parts = _STATUS_LINE.fullmatch(line)
        # No request asks for another protocol, so nothing may switch to one.
        if parts is None or int(parts["code"]) == http.HTTPStatus.SWITCHING_PROTOCOLS:
            raise http.client.BadStatusLine(repr(line[:MAX_SHOWN_BYTES]))
        reason = (parts["reason"] or b"").decode("latin-1").strip()
        return parts["version"].decode(), int(parts["code"]), reason

    def _read_and_discard_trailer(self) -> None:
        self.fp.begin_part(AnswerPart.TRAILERS)
        super()._read_and_discard_trailer()


class StrictHTTPConnection(HTTPConnection):
    """A connection that returns only answers with a complete head.

    Attributes
    ----------
    number
        Identifies the connection in the log lines of this process.
    exchange_count
        Number of exchanges that the connection has carried, the current one included.
    read_bounds
        When reads of answers fail.
    """

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.number = next(_connection_numbers)
        self.exchange_count = 0
        self.read_bounds = ReadBounds()
        self.response_class = functools.partial(StrictHTTPResponse, read_bounds=self.read_bounds)
