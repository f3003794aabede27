"""The newest log entries in memory, so that replication need not read them back from disk."""

from __future__ import annotations

import threading
from collections import deque

from quaymill.connection.log_messages import LogEntry

MAX_TAIL_BYTES = 16 * 1024 * 1024
ENTRY_OVERHEAD_BYTES = 200


class LogTail:
    """A bounded run of consecutive entries that ends with the last entry of the log."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._entries: deque[LogEntry] = deque()
        self._bytes = 0
        self._durable_index = 0

    def append(self, entry: LogEntry) -> None:
        """Add the entry that follows the newest one."""
        with self._lock:
            self._entries.append(entry)
            self._bytes += _size(entry)

    def mark_durable(self, index: int) -> None:
        """Note that entries up to ``index`` are on disk, and may be dropped to save memory."""
        with self._lock:
            self._durable_index = index
            while self._bytes > MAX_TAIL_BYTES and self._entries[0].index <= index:
                self._bytes -= _size(self._entries.popleft())

    def truncate_from(self, index: int) -> None:
        """Drop the entries from ``index`` on."""
        with self._lock:
            while self._entries and self._entries[-1].index >= index:
                self._bytes -= _size(self._entries.pop())

    def clear(self) -> None:
        """Drop everything."""
        with self._lock:
            self._entries.clear()
            self._bytes = 0

    def read(self, first_index: int, max_bytes: int) -> tuple[LogEntry, ...] | None:
        """Return entries from ``first_index`` on; ``None`` if that one is not held.

        At least one entry is returned, and no more than fit in ``max_bytes`` after it.
        """
        with self._lock:
            if not self._entries or first_index < self._entries[0].index:
                return None
            start = first_index - self._entries[0].index
            chosen: list[LogEntry] = []
            size = 0
            for position in range(start, len(self._entries)):
                entry = self._entries[position]
                size += _size(entry)
                if chosen and size > max_bytes:
                    break
                chosen.append(entry)
            return tuple(chosen)


def _size(entry: LogEntry) -> int:
    return len(bytes(entry.command)) + ENTRY_OVERHEAD_BYTES
