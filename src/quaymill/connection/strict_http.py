"""HTTP connections whose answers are never cut off unnoticed.

``http.client`` takes the end of the connection for the end of the head, and for the end of a line
that states the size of a chunk: the head ``HTTP/1.1 200 OK`` without its headers is an answer
without a body, and the chunk size ``0`` of a cut ``04f2`` marks a complete body. Here both raise
``ConnectionResetError``.
"""

from __future__ import annotations

import http.client
import io
import itertools

from urllib3.connection import HTTPConnection


class _LineReader:
    """Reads a connection; ``readline`` fails if the connection ends within a line or the head.

    Attributes
    ----------
    in_head
        Whether the end of the connection between two lines is an error as well.
    """

    def __init__(self, file: io.BufferedReader) -> None:
        self._file = file
        self.in_head = True
        self.read1 = file.read1

    def __getattr__(self, name: str) -> object:
        return getattr(self._file, name)

    def readline(self, limit_bytes: int = -1) -> bytes:
        """Read a line with its line feed, or ``limit_bytes`` of a longer line."""
        line = self._file.readline(limit_bytes)
        if line.endswith(b"\n") or len(line) == limit_bytes:
            return line
        if line or self.in_head:
            raise ConnectionResetError("the connection ended within the head or a line")
        return line


class StrictHTTPResponse(http.client.HTTPResponse):
    """An answer whose head and chunks are complete."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.fp = _LineReader(self.fp)

    def begin(self) -> None:
        """Read the status line and the headers."""
        super().begin()
        self.fp.in_head = False


_connection_numbers = itertools.count(1)


class StrictHTTPConnection(HTTPConnection):
    """A connection that returns only answers with a complete head.

    Attributes
    ----------
    number
        Identifies the connection in the log lines of this process.
    exchange_count
        Number of exchanges that the connection has carried, the current one included.
    """

    response_class = StrictHTTPResponse

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.number = next(_connection_numbers)
        self.exchange_count = 0
