"""Structured logs: one JSON object a line, by eliot, to a file or to standard error.

A thread of its own encodes and writes, so that no request waits for the log's disk. What was
logged within the last ``WRITE_INTERVAL_S`` is lost when the process is killed.
"""

from __future__ import annotations

import sys
import threading
from collections import deque
from typing import Any, BinaryIO

import msgspec
from eliot import add_destinations, add_global_fields, remove_destination

WRITE_INTERVAL_S = 0.1
MAX_WAITING_MESSAGES = 100_000
STOP_TIMEOUT_S = 5.0


class LogWriter:
    """An eliot destination that writes in the background.

    Parameters
    ----------
    stream
        Where the lines go; left open by ``stop``.
    """

    def __init__(self, stream: BinaryIO) -> None:
        self._stream = stream
        # When the disk cannot follow, the oldest messages give way: memory stays bounded.
        self._waiting: deque[dict[str, Any]] = deque(maxlen=MAX_WAITING_MESSAGES)
        self._encoder = msgspec.json.Encoder(enc_hook=repr)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message of eliot."""
        self._waiting.append(message)

    def stop(self) -> None:
        """Write what waits, then end the thread."""
        self._stopping.set()
        self._thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping.wait(WRITE_INTERVAL_S):
            self._write_waiting()
        self._write_waiting()

    def _write_waiting(self) -> None:
        lines = []
        while self._waiting:
            lines.append(self._encode(self._waiting.popleft()))
        if lines:
            self._stream.write(b"".join(lines))
            self._stream.flush()

    def _encode(self, message: dict[str, Any]) -> bytes:
        try:
            return self._encoder.encode(message) + b"\n"
        except Exception as error:  # One message that cannot be encoded must not end the log.
            return self._encoder.encode({"log_error": repr(error)}) + b"\n"


class Logs:
    """The logs of this process from ``start_logs`` on."""

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer

    def stop(self) -> None:
        """Write what waits; later messages go nowhere."""
        remove_destination(self._writer)
        self._writer.stop()


def start_logs(node_name: str, log_file: str = "", stream: BinaryIO | None = None) -> Logs:
    """Send every log message of this process to a file or a stream.

    Parameters
    ----------
    node_name
        Written into each message, so that logs of many nodes can be read together.
    log_file
        Where the lines go; to ``stream`` if empty, and to standard error without that.
    """
    add_global_fields(node=node_name)
    if log_file:
        stream = open(log_file, "ab")  # noqa: SIM115
    stream = stream or sys.stderr.buffer
    writer = LogWriter(stream)
    add_destinations(writer)
    return Logs(writer)
