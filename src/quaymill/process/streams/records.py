"""Records of the software versions that began streams, kept while callers may take them up."""

from __future__ import annotations

import threading
from collections import OrderedDict

import attrs

from quaymill import boot_clock
from quaymill.request.stream_version import StreamVersion

RECORD_LIFETIME_S = 120.0
"""How long after its beginning a stream may be taken up; longer than callers wait for one."""
MAX_RECORDS = 20_000
"""Bounds the memory of the records; the oldest are dropped first."""


@attrs.frozen
class _Record:
    version: StreamVersion
    at: float


class StreamRecords:
    """Versions by the id of the request that brought the first event; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_request_id: OrderedDict[str, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_request_id)

    def add(self, request_id: str, version: StreamVersion) -> None:
        """Record a stream; a record that exists is kept, since the first event decides."""
        now = boot_clock.now()
        with self._lock:
            self._by_request_id.setdefault(request_id, _Record(version, now))
            while self._oldest_is_over(now):
                self._by_request_id.popitem(last=False)

    def find(self, request_id: str) -> StreamVersion | None:
        """Return the version of a stream; ``None`` if it is not recorded."""
        with self._lock:
            record = self._by_request_id.get(request_id)
        if record is None or boot_clock.now() - record.at > RECORD_LIFETIME_S:
            return None
        return record.version

    def _oldest_is_over(self, now: float) -> bool:
        oldest = next(iter(self._by_request_id.values()))
        return len(self._by_request_id) > MAX_RECORDS or now - oldest.at > RECORD_LIFETIME_S
