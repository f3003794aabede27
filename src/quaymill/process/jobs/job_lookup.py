"""What a gateway finds out about a job that it does not run."""

from __future__ import annotations

from quaymill.process.jobs.listing import JobListings, Listing
from quaymill.process.jobs.storage_client import JobStorageClient, NotFound


class JobLookup:
    """Asks the storage nodes and the order of results."""

    def __init__(self, storage: JobStorageClient, listings: JobListings) -> None:
        self._storage = storage
        self._listings = listings

    def is_known(self, job_id: str) -> bool | None:
        """Return whether a storage node has a job; ``None`` if that is not certain."""
        found = self._storage.find_job(job_id)
        if not isinstance(found, NotFound):
            return True
        return False if found.certain else None

    def is_over(self, job_id: str) -> bool:
        """Return whether a job is certainly over: never kept, ended, or listed whole."""
        found = self._storage.find_job(job_id)
        if isinstance(found, NotFound):
            return found.certain
        if found.ended:
            return True
        listing = self._listings.read(job_id)
        if not isinstance(listing, Listing):
            return False
        return len(listing.document.results) >= listing.document.total
