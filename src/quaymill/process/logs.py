"""Structured logs: one JSON object per line, written by eliot to a file or a stream.

A separate thread encodes and writes the lines, so that no request waits for a disk or for the
reader of the stream. Messages of the last ``WRITE_INTERVAL_S`` are lost if the process is killed.
The queue is bounded, and so is the rate of lines if a budget is given; ordinary lines are dropped
first. A line of its own reports the number of dropped lines.
"""

from __future__ import annotations

import sys
import threading
import time
from collections import deque
from typing import Any, BinaryIO

import msgspec
from eliot import add_destinations, add_global_fields, remove_destination

from quaymill import boot_clock
from quaymill.process.log_events import is_ordinary

WRITE_INTERVAL_S = 0.1
MAX_QUEUED_MESSAGES = 5_000
STOP_TIMEOUT_S = 0.5
LINES_PER_S = 400.0
BURST_LINES = 2000.0
ORDINARY_SHARE = 0.5
"""Share of the burst that ordinary lines may use; the rest is reserved for other lines."""
DROPPED_TYPE = "log:dropped"


class LineBudget:
    """A token bucket that limits the lines per second and allows a burst."""

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES) -> None:
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._available = burst
        self._refilled_at = boot_clock.now()
        self._lock = threading.Lock()

    def consume(self, ordinary: bool) -> bool:
        """Consume one line of the budget; return whether one was available."""
        with self._lock:
            now = boot_clock.now()
            added = (now - self._refilled_at) * self._lines_per_s
            self._refilled_at = now
            self._available = min(self._burst, self._available + added)
            reserved = self._burst * (1 - ORDINARY_SHARE) if ordinary else 0.0
            if self._available < reserved + 1.0:
                return False
            self._available -= 1.0
            return True


class LogWriter:
    """An eliot destination that writes on a background thread.

    Parameters
    ----------
    stream
        Stream for the lines; ``stop`` does not close it.
    budget
        Limits the lines per second; ``None`` for no limit.

    Attributes
    ----------
    dropped_ordinary, dropped_other
        Lines dropped since the start.
    """

    def __init__(self, stream: BinaryIO, budget: LineBudget | None = None) -> None:
        self._stream = stream
        self._budget = budget
        self._queue: deque[dict[str, Any]] = deque()
        self._encoder = msgspec.json.Encoder(enc_hook=repr)
        self._stopping = threading.Event()
        self.dropped_ordinary = 0
        self.dropped_other = 0
        self._reported_dropped = 0
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self.dropped_ordinary + self.dropped_other

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue or drop one message of eliot."""
        ordinary = is_ordinary(message)
        full = len(self._queue) >= MAX_QUEUED_MESSAGES
        if full or (self._budget is not None and not self._budget.consume(ordinary)):
            if ordinary:
                self.dropped_ordinary += 1
            else:
                self.dropped_other += 1
            return
        self._queue.append(message)

    def stop(self) -> None:
        """Write the queued messages, then end the thread."""
        self._stopping.set()
        self._thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping.wait(WRITE_INTERVAL_S):
            self._write_queued()
        self._write_queued()

    def _write_queued(self) -> None:
        lines = []
        while self._queue:
            lines.append(self._encode(self._queue.popleft()))
        dropped = self.dropped
        if dropped != self._reported_dropped:
            self._reported_dropped = dropped
            lines.append(self._encode(self._dropped_message()))
        if lines:
            self._stream.write(b"".join(lines))
            self._stream.flush()

    def _dropped_message(self) -> dict[str, Any]:
        return {
            "message_type": DROPPED_TYPE,
            "ordinary": self.dropped_ordinary,
            "other": self.dropped_other,
            "timestamp": time.time(),
        }

    def _encode(self, message: dict[str, Any]) -> bytes:
        if message.get("task_level") == [1] and "action_status" not in message:
            # A message outside any action: the task's fields contain no information.
            message = {
                name: value
                for name, value in message.items()
                if name not in ("task_uuid", "task_level")
            }
        try:
            return self._encoder.encode(message) + b"\n"
        except Exception as error:  # One message that cannot be encoded must not end the log.
            return self._encoder.encode({"log_error": repr(error)}) + b"\n"


class Logs:
    """The running logs of this process; returned by ``start_logs``."""

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self._writer.dropped

    def stop(self) -> None:
        """Write the queued messages; later messages are discarded."""
        remove_destination(self._writer)
        self._writer.stop()


def start_logs(
    node_name: str,
    log_file: str = "",
    stream: BinaryIO | None = None,
    budget: LineBudget | None = None,
) -> Logs:
    """Send every log message of this process to a file or a stream.

    Parameters
    ----------
    node_name
        Added to each message, so that logs of several nodes can be merged.
    log_file
        Path of the log file; if empty, lines go to ``stream``, or to standard error without one.
    budget
        Limits the lines per second; ``None`` for no limit.
    """
    add_global_fields(node=node_name)
    if log_file:
        stream = open(log_file, "ab")  # noqa: SIM115
    stream = stream or sys.stderr.buffer
    writer = LogWriter(stream, budget)
    add_destinations(writer)
    return Logs(writer)
