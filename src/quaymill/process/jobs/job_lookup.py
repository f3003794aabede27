"""Looks up jobs that another gateway runs, and decides when a job certainly does not exist."""

from __future__ import annotations

import attrs

from quaymill import boot_clock
from quaymill.process.jobs.listing import JobListings, Listing
from quaymill.process.jobs.storage_client import JobStorageClient, NotFound

DISCOVERY_TIME_S = 6.0
"""Time after its start by which a gateway has discovered all reachable storage nodes."""


@attrs.frozen
class Unsure:
    """The gateway cannot answer with certainty now."""

    reason: str


@attrs.frozen
class NoSuchJob:
    """The job does not exist."""


class JobLookup:
    """Looks up jobs at the storage nodes and in the listings."""

    def __init__(self, storage: JobStorageClient, listings: JobListings) -> None:
        self._storage = storage
        self._listings = listings
        self._started_at = boot_clock.now()

    def check_absence(
        self, job_id: str, not_found: NotFound, deadline: float | None = None
    ) -> NoSuchJob | Unsure:
        """Return ``NoSuchJob`` only if it is certain that the job does not exist.

        A new gateway may not know all storage nodes yet, and a known node may just have lost
        its disk. A job with results also has a listing in the platform's store.

        Parameters
        ----------
        deadline
            Time by ``boot_clock`` until which an answer is useful.
        """
        if not not_found.certain:
            return Unsure("not all storage nodes answered")
        if boot_clock.now() - self._started_at < DISCOVERY_TIME_S:
            return Unsure("this gateway may not know all storage nodes yet")
        if deadline is None:
            listing = self._listings.read(job_id)
        else:
            listing = self._listings.read_until(job_id, deadline)
        if listing is not None:
            return Unsure("no storage node has the job, but it has or may have a listing")
        return NoSuchJob()

    def is_known(self, job_id: str) -> bool | None:
        """Return whether a storage node has a job; ``None`` if that is not certain."""
        found = self._storage.find_job(job_id)
        if not isinstance(found, NotFound):
            return True
        return False if isinstance(self.check_absence(job_id, found), NoSuchJob) else None

    def is_over(self, job_id: str) -> bool:
        """Return whether a job is certainly over: never stored, ended, or completely listed."""
        found = self._storage.find_job(job_id)
        if isinstance(found, NotFound):
            return isinstance(self.check_absence(job_id, found), NoSuchJob)
        if found.ended:
            return True
        listing = self._listings.read(job_id)
        if not isinstance(listing, Listing):
            return False
        return len(listing.document.results) >= listing.document.total
