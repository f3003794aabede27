"""Keeps what callers have not taken yet of their answers, within a part of the process's memory.

A caller may read an answer slower than its replica sends it. Reading on from the replica frees its
slot, and keeps it from cutting the answer off; what the caller has not taken is held here
meanwhile. Nothing is held for callers that keep up. Over the budget the largest answer is ended:
its caller sees that it is incomplete, and all others get theirs.
"""

from __future__ import annotations

import contextlib
import os
import select
import socket
import threading

from eliot import log_message

MEGABYTE = 1024 * 1024
HELD_SHARE = 1 / 16
"""Part of the process's memory that may be held for slow callers: as much again may be on its way
through the library's buffers, and the rest is needed for requests in service."""
UNKNOWN_MEMORY_BUDGET_BYTES = 16 * MEGABYTE
"""Where the process is not told how much memory it has."""
ONE_ANSWER_SHARE = 1 / 8
"""Part of the budget that one answer may take: some slow callers at once are served whole."""
FULL_ANSWER_PATIENCE_S = 2.0
"""How long a caller with so much of its answer unread may take nothing. The replica's side is not
read meanwhile, and a replica cuts an answer off that is unread for some seconds."""
UNREAD_PATIENCE_S = 25.0
"""How long a caller may take nothing of an answer that has come whole, unless its connection has a
limit of its own: as long as a connection may lie idle."""
SEND_BYTES = 64 * 1024
MILLISECONDS = 1000.0


class AnswerEndedError(OSError):
    """The answer was ended before its caller had taken it."""


class BufferedAnswers:
    """What all callers of this process have not taken yet; safe to use from any thread.

    Attributes
    ----------
    held_bytes
        What is held now.
    ended
        Answers that were ended since the start.
    """

    def __init__(self, budget_bytes: int) -> None:
        self.budget_bytes = budget_bytes
        self.one_answer_bytes = int(budget_bytes * ONE_ANSWER_SHARE)
        self.held_bytes = 0
        self.ended = 0
        self._lock = threading.Lock()
        self._open: set[BufferedAnswer] = set()

    @classmethod
    def within_memory(cls, memory_mb: float) -> BufferedAnswers:
        """Return one with a budget for a process of so much memory; 0 if that is not told."""
        budget_bytes = int(memory_mb * MEGABYTE * HELD_SHARE)
        return cls(budget_bytes or UNKNOWN_MEMORY_BUDGET_BYTES)

    def add(self, answer: BufferedAnswer, block: bytes | memoryview) -> None:
        """Hold a part of an answer; over the budget the largest is ended.

        Raises
        ------
        AnswerEndedError
            This answer has been ended.
        """
        with self._lock:
            if not answer.ended:
                answer.unread += block
                self.held_bytes += len(block)
                self._open.add(answer)
            while self.held_bytes > self.budget_bytes:
                largest = max(self._open, key=lambda one: len(one.unread))
                self._end(largest, "callers take too little of their answers")
        answer.raise_if_ended()

    def took(self, answer: BufferedAnswer, sent: int) -> None:
        """Note that the first so many bytes of what is held have been sent."""
        with self._lock:
            if not answer.ended:
                self._release(answer, sent)

    def end(self, answer: BufferedAnswer, reason: str) -> None:
        """End an answer whose caller takes nothing."""
        with self._lock:
            self._end(answer, reason)

    def drop(self, answer: BufferedAnswer) -> None:
        """Forget what is held of an answer: it is over."""
        with self._lock:
            self._release(answer, len(answer.unread))

    def _release(self, answer: BufferedAnswer, size: int) -> None:
        del answer.unread[:size]
        self.held_bytes -= size
        if not answer.unread:
            self._open.discard(answer)

    def _end(self, answer: BufferedAnswer, reason: str) -> None:
        """End an answer, from whichever thread; the lock is held."""
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
        # Wakes the thread that serves the caller. The connection cannot have gone on to another
        # request: something was held of this one.
        answer.cut()


class BufferedAnswer:
    """One answer on its way to its caller; used by the thread that serves it.

    Attributes
    ----------
    request_id
        Names the request in log lines.
    unread, ended
        What the caller has not taken, and whether the answer was ended; changed by
        ``BufferedAnswers`` alone.
    """

    def __init__(self, all_answers: BufferedAnswers, connection: socket.socket) -> None:
        self.request_id = ""
        self.unread = bytearray()
        self.ended = False
        self._all = all_answers
        self._connection = connection

    @property
    def pending(self) -> bool:
        """Whether the caller has not taken all yet."""
        return bool(self.unread)

    def send(self, data: bytes) -> None:
        """Send what the caller takes at once, and hold the rest.

        Raises
        ------
        AnswerEndedError
            The answer has been ended.
        OSError
            The caller's connection broke.
        """
        self.raise_if_ended()
        rest: bytes | memoryview = data
        if not self.pending:
            sent = self._write(data)
            if sent == len(data):
                return
            rest = memoryview(data)[sent:]
        self._all.add(self, rest)
        self._send_some()
        while len(self.unread) > self._all.one_answer_bytes:
            self._wait_or_end(FULL_ANSWER_PATIENCE_S)

    def send_held(self, timeout_s: float, beside: int = -1) -> bool:
        """Wait until the caller takes something, or there is something to read elsewhere.

        Parameters
        ----------
        beside
            Descriptor of that other connection.

        Returns
        -------
        Whether either came true within the timeout.
        """
        descriptor = self._connection.fileno()
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        if beside >= 0:
            poll.register(beside, select.POLLIN)
        ready = poll.poll(max(timeout_s, 0.0) * MILLISECONDS)
        if any(found == descriptor for found, _ in ready):
            self._send_some()
        return bool(ready)

    def finish(self) -> None:
        """Return once the caller has taken all.

        Raises
        ------
        AnswerEndedError
            It takes nothing, or the answer has been ended for the budget's sake.
        OSError
            The caller's connection broke.
        """
        while self.pending:
            self._wait_or_end(self._connection.gettimeout() or UNREAD_PATIENCE_S)
        self.raise_if_ended()

    def drop(self) -> None:
        """Forget what is held."""
        if self.pending:
            self._all.drop(self)

    def cut(self) -> None:
        """End the caller's connection."""
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)

    def raise_if_ended(self) -> None:
        """Raise ``AnswerEndedError`` if the answer has been ended."""
        if self.ended:
            raise AnswerEndedError("the answer was ended before its caller had taken it")

    def _wait_or_end(self, patience_s: float) -> None:
        if not self.send_held(patience_s):
            self._all.end(self, f"the caller took nothing for {patience_s:g} s")
        self.raise_if_ended()

    def _send_some(self) -> None:
        """Send as much as the caller takes now."""
        while block := bytes(self.unread[:SEND_BYTES]):
            sent = self._write(block)
            self._all.took(self, sent)
            if sent < len(block):
                return

    def _write(self, data: bytes | memoryview) -> int:
        # A connection with a timeout does not block below the library, which would wait.
        try:
            return os.write(self._connection.fileno(), data)
        except BlockingIOError:
            return 0
