"""Takes failing replicas out of the choice for a time, never more than half of a set."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable

from quaymill.process.replicas.replica import ReplicaView

CONSECUTIVE_FAILURES = 2
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0


class _Record:
    def __init__(self) -> None:
        self.failures = 0
        self.ejection_s = FIRST_EJECTION_S


class Ejector:
    """Counts failures in a row for each replica.

    A replica is ejected after ``CONSECUTIVE_FAILURES``; after its time it takes requests
    again, and the next failure ejects it for twice as long. A success clears its record.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: dict[str, _Record] = {}

    def record_success(self, replica: ReplicaView) -> None:
        """Note that the replica answered."""
        with self._lock:
            self._records.pop(replica.name, None)
        replica.ejected_until = 0.0

    def record_failure(
        self, replica: ReplicaView, same_service: Iterable[ReplicaView], *, certain: bool = False
    ) -> bool:
        """Note a failure; return whether the replica is ejected now.

        Parameters
        ----------
        same_service
            All replicas of the service: at most half of them may be ejected at a time.
        certain
            Eject at once, because one failure says enough: the connection was refused, or
            the replica is frozen.
        """
        with self._lock:
            record = self._records.setdefault(replica.name, _Record())
            record.failures += 1
            if record.failures < CONSECUTIVE_FAILURES and not certain:
                return False
            if replica.ejected:
                return True
            replicas = list(same_service)
            ejected = sum(1 for other in replicas if other.ejected)
            if (ejected + 1) * 2 > len(replicas):
                return False
            replica.ejected_until = time.monotonic() + record.ejection_s
            record.ejection_s = min(MAX_EJECTION_S, 2 * record.ejection_s)
            return True

    def forget(self) -> None:
        """Forget all failures."""
        with self._lock:
            self._records.clear()
