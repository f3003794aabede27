"""Temporarily excludes failing replicas from routing, at most half of those of each service."""

from __future__ import annotations

import statistics
import threading
from collections.abc import Iterable

from quaymill import boot_clock
from quaymill.process.replicas.replica import ReplicaView

CONSECUTIVE_FAILURES = 2
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
SLOW_FACTOR = 4.0
SLOW_FIRST_BYTE_S = 0.25
MIN_ANSWERS_FOR_SLOW = 5
FIRST_BYTE_SMOOTHING = 0.2


class _FailureRecord:
    def __init__(self) -> None:
        self.failures = 0
        self.ejection_s = FIRST_EJECTION_S
        self.answers = 0
        self.first_byte_s = 0.0

    def add_answer(self, first_byte_s: float) -> None:
        self.failures = 0
        self.answers += 1
        weight = max(FIRST_BYTE_SMOOTHING, 1.0 / self.answers)
        self.first_byte_s += weight * (first_byte_s - self.first_byte_s)


class Ejector:
    """Tracks consecutive failures and the time to the first byte of each replica.

    A replica is ejected after ``CONSECUTIVE_FAILURES``, or when its first bytes are much later
    than those of the others. When its ejection ends it receives requests again, and the next
    ejection lasts twice as long. An answer resets the failures, and also the ejection
    time unless the replica is slow or ejected.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: dict[str, _FailureRecord] = {}

    def record_success(
        self, replica: ReplicaView, same_service: Iterable[ReplicaView], first_byte_s: float
    ) -> None:
        """Record an answer of the replica and its time to the first byte."""
        with self._lock:
            record = self._records.setdefault(replica.name, _FailureRecord())
            record.add_answer(first_byte_s)
            if self._is_slow(replica, record, same_service):
                self._eject(replica, record, same_service)
                record.answers = 0
            elif not replica.ejected:
                record.ejection_s = FIRST_EJECTION_S

    def record_failure(
        self, replica: ReplicaView, same_service: Iterable[ReplicaView], *, certain: bool = False
    ) -> None:
        """Record a failure of the replica.

        Parameters
        ----------
        same_service
            All replicas of the service; at most half of them may be ejected at a time.
        certain
            Whether to eject after this single failure, as when the connection was refused or
            the replica is frozen.
        """
        with self._lock:
            record = self._records.setdefault(replica.name, _FailureRecord())
            record.failures += 1
            if certain or record.failures >= CONSECUTIVE_FAILURES:
                self._eject(replica, record, same_service)

    def _eject(
        self, replica: ReplicaView, record: _FailureRecord, same_service: Iterable[ReplicaView]
    ) -> None:
        if replica.ejected:
            return
        replicas = list(same_service)
        ejected = sum(1 for other in replicas if other.ejected)
        if (ejected + 1) * 2 > len(replicas):
            return
        replica.ejected_until = boot_clock.now() + record.ejection_s
        record.ejection_s = min(MAX_EJECTION_S, 2 * record.ejection_s)

    def _is_slow(
        self, replica: ReplicaView, record: _FailureRecord, same_service: Iterable[ReplicaView]
    ) -> bool:
        if record.answers < MIN_ANSWERS_FOR_SLOW or record.first_byte_s < SLOW_FIRST_BYTE_S:
            return False
        others = [
            self._records[other.name].first_byte_s
            for other in same_service
            if other is not replica and other.name in self._records
        ]
        return bool(others) and record.first_byte_s > SLOW_FACTOR * statistics.median(others)

    def forget(self) -> None:
        """Clear the failures and answer times of all replicas."""
        with self._lock:
            self._records.clear()
