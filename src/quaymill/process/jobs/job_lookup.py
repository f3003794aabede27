"""What a gateway finds out about a job that it does not run, and when it may say there is none."""

from __future__ import annotations

import attrs

from quaymill import boot_clock
from quaymill.process.jobs.listing import JobListings, Listing
from quaymill.process.jobs.storage_client import JobStorageClient, NotFound

CERTAIN_AFTER_S = 6.0
"""Time after its start from which a gateway knows all storage nodes that it can reach."""


@attrs.frozen
class Unsure:
    """The gateway asked cannot tell now."""

    reason: str


@attrs.frozen
class NoSuchJob:
    """No storage node has the job."""


class JobLookup:
    """Asks the storage nodes and the order of results."""

    def __init__(self, storage: JobStorageClient, listings: JobListings) -> None:
        self._storage = storage
        self._listings = listings
        self._started_at = boot_clock.now()

    def absence(self, job_id: str, found: NotFound) -> NoSuchJob | Unsure:
        """Say that there is no such job only where that is certain.

        A gateway that is new may not know all storage nodes yet, and one of those that it knows
        may have lost its disk just now; a job that has results has a listing besides.
        """
        if not found.certain:
            return Unsure("not all storage nodes answered")
        if boot_clock.now() - self._started_at < CERTAIN_AFTER_S:
            return Unsure("this gateway may not know all storage nodes yet")
        listing = self._listings.read(job_id)
        if listing is not None:
            return Unsure("the job's order is known, but no storage node tells of the job")
        return NoSuchJob()

    def is_known(self, job_id: str) -> bool | None:
        """Return whether a storage node has a job; ``None`` if that is not certain."""
        found = self._storage.find_job(job_id)
        if not isinstance(found, NotFound):
            return True
        return False if isinstance(self.absence(job_id, found), NoSuchJob) else None

    def is_over(self, job_id: str) -> bool:
        """Return whether a job is certainly over: never kept, ended, or listed whole."""
        found = self._storage.find_job(job_id)
        if isinstance(found, NotFound):
            return isinstance(self.absence(job_id, found), NoSuchJob)
        if found.ended:
            return True
        listing = self._listings.read(job_id)
        if not isinstance(listing, Listing):
            return False
        return len(listing.document.results) >= listing.document.total
