"""The body of a request as it comes in, checked against what its headers announce."""

from __future__ import annotations

from typing import BinaryIO

READ_BLOCK_BYTES = 64 * 1024
MAX_DISCARDED_BYTES = 32 * 1024 * 1024


class BrokenBodyError(Exception):
    """The body ended early, is badly framed, or did not come in time."""


class RequestBody:
    """Reads a body block by block.

    Parameters
    ----------
    length
        Announced size in bytes; ``None`` when the body is chunked.
    """

    def __init__(self, reader: BinaryIO, length: int | None) -> None:
        self._reader = reader
        self._left_bytes = length
        self._ended = length == 0

    def read(self, size: int = READ_BLOCK_BYTES) -> bytes:
        """Return up to ``size`` bytes, and nothing at the proper end.

        Raises
        ------
        BrokenBodyError
            The body is not whole; nothing of it may be acted on.
        """
        if self._ended:
            return b""
        if self._left_bytes is not None:
            if self._left_bytes < 0:
                raise BrokenBodyError("the announced length is below 0")
            size = min(size, self._left_bytes)
        try:
            block = self._reader.read(size)
        except (OSError, ValueError) as error:
            raise BrokenBodyError(str(error)) from error
        if self._left_bytes is None:
            self._ended = not block
            return block
        if not block:
            raise BrokenBodyError(f"{self._left_bytes} bytes of the body are missing")
        self._left_bytes -= len(block)
        self._ended = self._left_bytes == 0
        return block

    def discard_rest(self) -> bool:
        """Read what nobody wanted, so that its sender comes to read the answer.

        Returns whether the connection may carry another request: not if the rest is very
        long or broken, for then its bytes would be taken for the next request.
        """
        try:
            for _ in range(0, MAX_DISCARDED_BYTES, READ_BLOCK_BYTES):
                if not self.read(READ_BLOCK_BYTES):
                    return True
        except BrokenBodyError:
            pass
        return False
