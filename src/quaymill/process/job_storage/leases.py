"""The leases of coordinators on this storage node, on the monotonic clock.

A lease says that somebody runs a job. It is kept in memory only: after a start every job
counts as leased for one full term, so that its coordinator has time to renew.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable

from quaymill import boot_clock
from quaymill.connection.job_storage_messages import LEASE_S


class Leases:
    """When the lease of each job runs out, and who holds it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._expires_by_job: dict[str, float] = {}
        self._holder_by_job: dict[str, str] = {}
        self._renewed_at_by_job: dict[str, float] = {}
        self._first_expiry = boot_clock.now() + LEASE_S

    def renew(self, job_ids: Iterable[str], holder: str) -> list[str]:
        """Start a full term of each job's lease; return the jobs whose lease another has."""
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
        """Give a lease that ``holder`` has to its successor, for a full term."""
        with self._lock:
            if self._holder_by_job.get(job_id, holder) == holder:
                self._expires_by_job[job_id] = boot_clock.now() + LEASE_S
                self._holder_by_job[job_id] = successor

    def extend(self, job_id: str, left_s: float) -> None:
        """Note that the lease still runs elsewhere."""
        with self._lock:
            self._expires_by_job[job_id] = boot_clock.now() + left_s

    def release(self, job_id: str, holder: str) -> None:
        """End a lease at once, if ``holder`` has it."""
        with self._lock:
            if self._holder_by_job.get(job_id, holder) == holder:
                self._expires_by_job[job_id] = 0.0

    def forget(self, job_id: str) -> None:
        """Drop what is known of a job."""
        with self._lock:
            self._expires_by_job.pop(job_id, None)
            self._holder_by_job.pop(job_id, None)
            self._renewed_at_by_job.pop(job_id, None)

    def holder(self, job_id: str, recorded: str = "") -> str:
        """Return who renewed last; ``recorded`` if nobody did since the start."""
        return self._holder_by_job.get(job_id, recorded)

    def renewed_at(self, job_id: str) -> float:
        """Return when a lease was renewed last (monotonic); 0 if it was not since the start."""
        return self._renewed_at_by_job.get(job_id, 0.0)

    def left_s(self, job_id: str, ended_holder: str = "") -> float:
        """Return the time left, in seconds; 0 if there is none.

        Parameters
        ----------
        ended_holder
            Process that had the lease and is known to have ended. Its lease does not count, nor
            does the term after a start, which only waits for it to renew.
        """
        if ended_holder and self.holder(job_id) in ("", ended_holder):
            return 0.0
        expires = self._expires_by_job.get(job_id, self._first_expiry)
        return max(0.0, expires - boot_clock.now())
