"""Leases of coordinators for jobs on this storage node, on the monotonic clock.

A lease means that a coordinator runs the job. Leases are kept in memory only: after a start of the
node every job counts as leased for one full term, so that its coordinator has time to renew.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable

from quaymill import boot_clock
from quaymill.connection.job_storage_messages import LEASE_S


class Leases:
    """Expiry and holder of the lease of each job; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._expires_by_job: dict[str, float] = {}
        self._holder_by_job: dict[str, str] = {}
        self._renewed_at_by_job: dict[str, float] = {}
        self._first_expiry = boot_clock.now() + LEASE_S

    def renew(self, job_ids: Iterable[str], holder: str) -> list[str]:
        """Renew each job's lease for a full term; return the jobs leased to another holder."""
        now = boot_clock.now()
        refused = []
        with self._lock:
            for job_id in job_ids:
                other = self._holder_by_job.get(job_id, holder) != holder
                if other and self._expires_by_job.get(job_id, 0.0) > now:
                    refused.append(job_id)
                    continue
                self._expires_by_job[job_id] = now + LEASE_S
                self._holder_by_job[job_id] = holder
                self._renewed_at_by_job[job_id] = now
        return refused

    def hand_over(self, job_id: str, holder: str, successor: str) -> None:
        """Give a lease to ``successor`` for a full term, unless a third coordinator holds it."""
        with self._lock:
            if self._holder_by_job.get(job_id, holder) == holder:
                self._expires_by_job[job_id] = boot_clock.now() + LEASE_S
                self._holder_by_job[job_id] = successor

    def extend(self, job_id: str, left_s: float) -> None:
        """Set the remaining time of a lease, in seconds, as reported by another node."""
        with self._lock:
            self._expires_by_job[job_id] = boot_clock.now() + left_s

    def release(self, job_id: str, holder: str) -> None:
        """End a lease at once, unless a coordinator other than ``holder`` has it."""
        with self._lock:
            if self._holder_by_job.get(job_id, holder) == holder:
                self._expires_by_job[job_id] = 0.0

    def forget(self, job_id: str) -> None:
        """Remove the lease of a job."""
        with self._lock:
            self._expires_by_job.pop(job_id, None)
            self._holder_by_job.pop(job_id, None)
            self._renewed_at_by_job.pop(job_id, None)

    def holder(self, job_id: str, recorded: str = "") -> str:
        """Return the holder of a job's lease; ``recorded`` if none is known since the start."""
        return self._holder_by_job.get(job_id, recorded)

    def renewed_at(self, job_id: str) -> float:
        """Return the monotonic time of the last renewal; 0 if there was none since the start."""
        return self._renewed_at_by_job.get(job_id, 0.0)

    def left_s(self, job_id: str, ended_holder: str = "") -> float:
        """Return the time left of a job's lease, in seconds; 0 if it has expired.

        Parameters
        ----------
        ended_holder
            Process that held the lease and is known to have ended. Its lease is ignored, and so is
            the initial term after the start of this node.
        """
        if ended_holder and self.holder(job_id) in ("", ended_holder):
            return 0.0
        expires = self._expires_by_job.get(job_id, self._first_expiry)
        return max(0.0, expires - boot_clock.now())
