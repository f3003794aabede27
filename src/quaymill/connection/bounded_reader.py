"""Reads answers from a connection within bounds, however fast or slowly their bytes arrive.

The time-out of a socket bounds a single read, and a sender that never stops satisfies it for ever.
``BoundedReader`` therefore checks a deadline before each read of the socket, and counts the bytes
of each part of an answer that consists of lines.
"""

from __future__ import annotations

import contextlib
import enum
import http.client
import io
import math
import socket

import attrs

from quaymill import boot_clock
from quaymill.connection.readable import is_readable

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of the status line and the headers, together with all interim answers."""
MAX_CHUNK_LINE_BYTES = 64 * 1024
"""Maximum size of a line that states the size of a chunk, with its extensions."""
MAX_TRAILER_BYTES = 64 * 1024
"""Maximum size of all lines after the last chunk."""


class AnswerPart(enum.Enum):
    """Parts of an answer that are bounded; ``SURPLUS`` is what follows after a whole answer."""

    HEAD = "head"
    CHUNK_LINE = "chunk line"
    TRAILERS = "trailers"
    EVENT = "event"
    BODY = "body"
    SURPLUS = "surplus"


_MAX_BYTES = {
    AnswerPart.HEAD: MAX_HEAD_BYTES,
    AnswerPart.CHUNK_LINE: MAX_CHUNK_LINE_BYTES,
    AnswerPart.TRAILERS: MAX_TRAILER_BYTES,
}


class PartTooLongError(http.client.HTTPException):
    """A part of an answer is longer than allowed."""

    def __init__(self, part: AnswerPart, reason: str) -> None:
        super().__init__(f"part '{part.value}' of the answer {reason}")
        self.part = part


@attrs.define
class ReadBounds:
    """When reads of a connection fail; shared by the connection and the readers of its answers.

    Attributes
    ----------
    deadline
        Time by ``boot_clock``; infinite if only the time-out of the socket applies.
    strict
        Whether bytes that have arrived by the deadline cannot be read after it either.
    part
        The part to which the lines that are read now belong.
    received_bytes
        Number of bytes received on the connection.
    inside_line
        Whether the end of a line is being waited for.
    """

    deadline: float = math.inf
    strict: bool = False
    part: AnswerPart = AnswerPart.HEAD
    received_bytes: int = 0
    inside_line: bool = False

    def end_after(self, seconds: float) -> None:
        """Let reads fail once ``seconds`` have passed."""
        self.deadline = boot_clock.now() + seconds


class _LookAhead(enum.Enum):
    """Where bytes are looked for that can be read without waiting."""

    BUFFER = "buffer"
    SOCKET = "socket"


class DeadlineIO(io.RawIOBase):
    """Reads a socket until a deadline.

    Parameters
    ----------
    raw
        The unbuffered file of the socket, which is closed with this one.

    Attributes
    ----------
    look_ahead
        If set, a read that would have to wait returns ``None`` instead of raising an error.
    """

    def __init__(self, raw: io.RawIOBase, connection: socket.socket, bounds: ReadBounds) -> None:
        self._raw = raw
        self._connection = connection
        self._bounds = bounds
        self.look_ahead: _LookAhead | None = None

    def readable(self) -> bool:
        """Return ``True``."""
        return True

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self._raw.fileno()

    def readinto(self, buffer: bytearray) -> int | None:
        """Receive into a buffer; raises ``TimeoutError`` after the deadline."""
        if self.look_ahead is not None:
            return self._read_ahead(buffer)
        bounds = self._bounds
        if bounds.deadline < math.inf:
            left_s = bounds.deadline - boot_clock.now()
            if left_s <= 0 and bounds.strict:
                raise TimeoutError("timed out")
            self._connection.settimeout(left_s if left_s > 0 else 0.0)
        try:
            received_bytes = self._connection.recv_into(buffer)
        except BlockingIOError as error:
            raise TimeoutError("timed out") from error
        bounds.received_bytes += received_bytes
        return received_bytes

    def _read_ahead(self, buffer: bytearray) -> int | None:
        if self.look_ahead is _LookAhead.BUFFER:
            return None
        self._connection.settimeout(0.0)
        try:
            return self._connection.recv_into(buffer)
        except BlockingIOError:
            return None

    def close(self) -> None:
        """Close the file; the socket is closed by its owner."""
        self._raw.close()
        super().close()


class BoundedReader:
    """Reads the lines and the body of one answer.

    Parameters
    ----------
    raw
        The unbuffered file of ``connection``.

    Attributes
    ----------
    has_surplus
        Whether more bytes than the answer had arrived when the reader was closed.
    """

    def __init__(self, raw: io.RawIOBase, connection: socket.socket, bounds: ReadBounds) -> None:
        self._io = DeadlineIO(raw, connection, bounds)
        self._file = io.BufferedReader(self._io)
        self._connection = connection
        self._bounds = bounds
        self.has_surplus = False
        self.read1 = self._file.read1
        self.begin_part(AnswerPart.HEAD)

    def __getattr__(self, name: str) -> object:
        return getattr(self._file, name)

    def begin_part(self, part: AnswerPart) -> None:
        """Count the lines that follow for another part."""
        self._bounds.part = part
        self._max_bytes = _MAX_BYTES[part]
        self._left_bytes = self._max_bytes

    def readline(self, limit_bytes: int = -1) -> bytes:
        """Read a line with its line feed, or ``limit_bytes`` of a longer line.

        Raises
        ------
        ConnectionResetError
            The connection ended within the line or, in the head, between two lines.
        PartTooLongError
            The lines of this part are longer than allowed.
        TimeoutError
            The deadline has passed.
        """
        bounds = self._bounds
        bounds.inside_line = True
        line = self._file.readline(limit_bytes)
        bounds.inside_line = False
        self._left_bytes -= len(line)
        if self._left_bytes < 0:
            raise PartTooLongError(bounds.part, f"is longer than {self._max_bytes} bytes")
        if bounds.part is AnswerPart.CHUNK_LINE:
            self._left_bytes = self._max_bytes
        if line.endswith(b"\n") or len(line) == limit_bytes:
            return line
        if line or bounds.part is AnswerPart.HEAD:
            raise ConnectionResetError("the connection ended within the head or a line")
        return line

    def close(self) -> None:
        """Close the reader, once the whole answer has been read or the connection has failed."""
        if not self._file.closed:
            with contextlib.suppress(OSError):
                self.has_surplus = self._finds_surplus()
        self._file.close()

    def _finds_surplus(self) -> bool:
        if self._peek(_LookAhead.BUFFER):
            return True
        return is_readable(self._connection, 0.0) and bool(self.look_ahead())

    def look_ahead(self) -> bytes:
        """Return some bytes that can be read without waiting, and leave them unread.

        This may leave the socket non-blocking.
        """
        return self._peek(_LookAhead.SOCKET)

    def _peek(self, where: _LookAhead) -> bytes:
        self._io.look_ahead = where
        try:
            return self._file.peek(1)
        finally:
            self._io.look_ahead = None
