"""Reads the bodies of callers' requests within bounds in time and in bytes."""

from __future__ import annotations

import socket
from typing import BinaryIO

from cheroot.makefile import StreamReader

from quaymill.connection.bounded_reader import (
    MAX_CHUNK_LINE_BYTES,
    MAX_TRAILER_BYTES,
    DeadlineIO,
    ReadBounds,
)

READ_BLOCK_BYTES = 256 * 1024
_CRLF = b"\r\n"


class BrokenBodyError(Exception):
    """The caller's body ended early or is malformed."""


class BodyTooLargeError(Exception):
    """The caller's body is longer than the limit."""


class BodyTooSlowError(Exception):
    """The caller's body did not arrive in time."""


class BoundedStreamReader(StreamReader):
    """Reads a caller's connection.

    Attributes
    ----------
    bounds
        When reads fail, apart from the time-out of the socket.
    """

    def __init__(self, connection: socket.socket, buffer_bytes: int) -> None:
        super().__init__(connection, "rb", buffer_bytes)
        self.bounds = ReadBounds(strict=True)
        self._raw = DeadlineIO(self.raw, connection, self.bounds)


def read_with_length(file: BinaryIO, length: int) -> bytes:
    """Read a body whose length is known.

    Raises
    ------
    BrokenBodyError
        The connection ended before.
    """
    blocks: list[bytes] = []
    left_bytes = length
    while left_bytes and (block := file.read(min(left_bytes, READ_BLOCK_BYTES))):
        blocks.append(block)
        left_bytes -= len(block)
    if left_bytes:
        raise BrokenBodyError(f"received {length - left_bytes} of {length} bytes")
    return b"".join(blocks)


def read_chunked(file: BinaryIO, limit_bytes: int) -> bytes:
    """Read a body in chunks with its trailers, which are discarded.

    Raises
    ------
    BrokenBodyError, BodyTooLargeError
        It is malformed or incomplete, or longer than the limit.
    """
    blocks: list[bytes] = []
    total_bytes = 0
    while size := _read_chunk_size(file):
        total_bytes += size
        if total_bytes > limit_bytes:
            raise BodyTooLargeError
        blocks.append(read_with_length(file, size))
        if file.read(len(_CRLF)) != _CRLF:
            raise BrokenBodyError("a chunk does not end with CRLF")
    _skip_trailers(file)
    return b"".join(blocks)


def _read_chunk_size(file: BinaryIO) -> int:
    line = file.readline(MAX_CHUNK_LINE_BYTES + 1)
    if not line.endswith(b"\n"):
        raise BrokenBodyError("the size of a chunk is incomplete or too long")
    size = line.partition(b";")[0].strip()
    # ``int`` accepts signs, underscores and a prefix as well.
    if not size.isalnum() or size[:2].lower() == b"0x":
        raise BrokenBodyError(f"the size of a chunk is not a number: {size[:16]!r}")
    try:
        return int(size, 16)
    except ValueError as error:
        raise BrokenBodyError(f"the size of a chunk is not a number: {size[:16]!r}") from error


def _skip_trailers(file: BinaryIO) -> None:
    left_bytes = MAX_TRAILER_BYTES
    while (line := file.readline(left_bytes + 1)) != _CRLF:
        left_bytes -= len(line)
        if left_bytes < 0:
            raise BrokenBodyError(f"the trailers are longer than {MAX_TRAILER_BYTES} bytes")
        if not line.endswith(_CRLF):
            raise BrokenBodyError("a trailer does not end with CRLF")
