"""The history of one round of faults: one JSON line for each thing that happened."""

from __future__ import annotations

import threading
import time
from pathlib import Path

import msgspec


class History:
    """Appends lines ``{"at_s", "event", ...}`` to a file; safe to share between threads."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self._file = path.open("wb")

    def write(self, event: str, **facts: object) -> None:
        """Add one line."""
        at_s = round(time.monotonic() - self._started_at, 4)
        line = msgspec.json.encode({"at_s": at_s, "unix_s": time.time(), "event": event, **facts})
        with self._lock:
            if not self._file.closed:
                self._file.write(line + b"\n")

    def close(self) -> None:
        """Close the file; lines that come later are dropped."""
        with self._lock:
            self._file.close()
