"""Buffers answers for callers that read slowly, within a share of the process's memory.

A caller may read an answer more slowly than its replica sends it. Reading the whole answer from the
replica frees its slot and keeps the replica from aborting a stalled connection; data that the
caller has not read is buffered here. Nothing is buffered for callers that keep up. When the budget
is exceeded, the largest buffered answer is ended: its caller sees an incomplete answer, and all
others are delivered.
"""

from __future__ import annotations

import contextlib
import os
import select
import socket
import threading

from eliot import log_message

MEGABYTE = 1024 * 1024
BUFFER_MEMORY_SHARE = 1 / 16
"""Share of the process's memory that may be buffered for slow callers.

The buffers of the HTTP library may take as much again; the rest is needed for requests in service.
"""
DEFAULT_BUDGET_BYTES = 16 * MEGABYTE
"""Budget if the memory of the process is unknown."""
MAX_ANSWER_SHARE = 1 / 8
"""Share of the budget that one answer may take, so that several slow callers fit at once."""
FULL_BUFFER_TIMEOUT_S = 2.0
"""How long a caller with a full buffer may read nothing.

The replica's connection is not read meanwhile, and a replica aborts an answer that is not read for
some seconds."""
UNREAD_TIMEOUT_S = 25.0
"""How long a caller may read nothing of an answer that has been received completely.

Applies only if the caller's connection has no timeout of its own."""
SEND_BYTES = 64 * 1024
MILLISECONDS = 1000.0


class AnswerEndedError(OSError):
    """The answer was ended before its caller had read all of it."""


class BufferedAnswers:
    """The buffered answers of all callers of this process; thread-safe.

    Attributes
    ----------
    held_bytes
        Bytes that are buffered now.
    ended
        Number of answers that were ended early since the start.
    """

    def __init__(self, budget_bytes: int) -> None:
        self.budget_bytes = budget_bytes
        self.max_answer_bytes = int(budget_bytes * MAX_ANSWER_SHARE)
        self.held_bytes = 0
        self.ended = 0
        self._lock = threading.Lock()
        self._with_unread: set[BufferedAnswer] = set()

    @classmethod
    def for_process_memory(cls, memory_mb: float) -> BufferedAnswers:
        """Return an instance with a budget for a process with ``memory_mb`` MB; 0 if unknown."""
        budget_bytes = int(memory_mb * MEGABYTE * BUFFER_MEMORY_SHARE)
        return cls(budget_bytes or DEFAULT_BUDGET_BYTES)

    def add(self, answer: BufferedAnswer, block: bytes | memoryview) -> None:
        """Buffer a block of an answer; end the largest answers while the budget is exceeded.

        Raises
        ------
        AnswerEndedError
            This answer was ended.
        """
        with self._lock:
            if not answer.ended:
                answer.unread += block
                self.held_bytes += len(block)
                self._with_unread.add(answer)
            while self.held_bytes > self.budget_bytes:
                largest = max(self._with_unread, key=lambda buffered: len(buffered.unread))
                self._end(largest, "the answer buffer is full, and this answer is the largest")
        answer.raise_if_ended()

    def record_sent(self, answer: BufferedAnswer, sent: int) -> None:
        """Record that the first ``sent`` bytes of the buffer have been sent."""
        with self._lock:
            if not answer.ended:
                self._release(answer, sent)

    def end(self, answer: BufferedAnswer, reason: str) -> None:
        """End an answer whose caller reads nothing."""
        with self._lock:
            self._end(answer, reason)

    def drop(self, answer: BufferedAnswer) -> None:
        """Discard the buffer of an answer that is finished."""
        with self._lock:
            self._release(answer, len(answer.unread))

    def _release(self, answer: BufferedAnswer, size: int) -> None:
        del answer.unread[:size]
        self.held_bytes -= size
        if not answer.unread:
            self._with_unread.discard(answer)

    def _end(self, answer: BufferedAnswer, reason: str) -> None:
        """End an answer, from any thread; the lock must be held."""
        if answer.ended:
            return
        self.ended += 1
        log_message(
            "request:answer_ended",
            request_id=answer.request_id,
            unread_bytes=len(answer.unread),
            held_bytes=self.held_bytes,
            budget_bytes=self.budget_bytes,
            reason=reason,
        )
        answer.ended = True
        self._release(answer, len(answer.unread))
        # Wakes the thread that serves the caller. Since some of the answer was still buffered, the
        # connection cannot be in use for a later request.
        answer.shut_down()


class BufferedAnswer:
    """The buffer of one answer; used by the thread that serves its caller.

    Attributes
    ----------
    request_id
        Id of the request, for log lines.
    unread, ended
        Data that has not been sent to the caller, and whether the answer was ended; changed only
        by ``BufferedAnswers``.
    """

    def __init__(self, buffers: BufferedAnswers, connection: socket.socket) -> None:
        self.request_id = ""
        self.unread = bytearray()
        self.ended = False
        self._buffers = buffers
        self._connection = connection

    @property
    def pending(self) -> bool:
        """Whether some data has not been sent to the caller yet."""
        return bool(self.unread)

    def send(self, data: bytes) -> None:
        """Send what the caller's connection accepts at once, and buffer the rest.

        Blocks while the buffer is larger than one answer may take.

        Raises
        ------
        AnswerEndedError
            The answer was ended.
        OSError
            The caller's connection failed.
        """
        self.raise_if_ended()
        unsent: bytes | memoryview = data
        if not self.pending:
            sent = self._write(data)
            if sent == len(data):
                return
            unsent = memoryview(data)[sent:]
        self._buffers.add(self, unsent)
        self._send_some()
        while len(self.unread) > self._buffers.max_answer_bytes:
            self._wait_or_end(FULL_BUFFER_TIMEOUT_S)

    def send_buffered(self, timeout_s: float, readable: int = -1) -> bool:
        """Send buffered data as soon as the caller accepts some, or return once data can be read.

        Parameters
        ----------
        readable
            Descriptor of the connection that is watched for data to read; -1 for none.

        Returns
        -------
        Whether one of the connections became ready within the timeout.
        """
        descriptor = self._connection.fileno()
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        if readable >= 0:
            poll.register(readable, select.POLLIN)
        ready = poll.poll(max(timeout_s, 0.0) * MILLISECONDS)
        if any(ready_descriptor == descriptor for ready_descriptor, _ in ready):
            self._send_some()
        return bool(ready)

    def finish(self) -> None:
        """Wait until all buffered data has been sent to the caller.

        Raises
        ------
        AnswerEndedError
            The caller read nothing for too long, or the budget was exceeded.
        OSError
            The caller's connection failed.
        """
        while self.pending:
            self._wait_or_end(self._connection.gettimeout() or UNREAD_TIMEOUT_S)
        self.raise_if_ended()

    def drop(self) -> None:
        """Discard the buffer."""
        if self.pending:
            self._buffers.drop(self)

    def shut_down(self) -> None:
        """Shut down the caller's connection."""
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)

    def raise_if_ended(self) -> None:
        """Raise ``AnswerEndedError`` if the answer was ended."""
        if self.ended:
            raise AnswerEndedError("the answer was ended before its caller had read all of it")

    def _wait_or_end(self, timeout_s: float) -> None:
        if not self.send_buffered(timeout_s):
            self._buffers.end(self, f"the caller read nothing for {timeout_s:g} s")
        self.raise_if_ended()

    def _send_some(self) -> None:
        """Send as much as the caller's connection accepts now."""
        while block := bytes(self.unread[:SEND_BYTES]):
            sent = self._write(block)
            self._buffers.record_sent(self, sent)
            if sent < len(block):
                return

    def _write(self, data: bytes | memoryview) -> int:
        # ``socket.send`` would wait up to the connection's timeout; the descriptor of a connection
        # with a timeout is non-blocking.
        try:
            return os.write(self._connection.fileno(), data)
        except BlockingIOError:
            return 0
