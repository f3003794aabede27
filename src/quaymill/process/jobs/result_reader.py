"""Reads results of jobs at any gateway: from the coordinator, else from store and storage nodes."""

from __future__ import annotations

import threading
from collections.abc import Callable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.job_storage_messages import NotCoordinator, ReadResults, ResultsPage
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.jobs.coordinated_job import CoordinatedJob, make_page
from quaymill.process.jobs.coordinator import JobCoordinator
from quaymill.process.jobs.job_lookup import JobLookup, NoSuchJob, Unsure
from quaymill.process.jobs.listing import (
    JobListings,
    Listing,
    ListingDocument,
    ListingUnknown,
)
from quaymill.process.jobs.storage_client import JobStorageClient, NotFound

MAX_WAIT_S = 1.0
"""Longest time that a read waits for a result."""
READ_TIME_S = 1.2
"""Time for a read in addition to that wait. It bounds all its steps together, so that callers get
an answer while they still wait for it."""
COORDINATOR_TIME_S = 0.8
"""Part of it that a coordinator may take; the rest is for reading without it."""
MAX_WAITING_READS = 24
"""Maximum number of reads that wait for a result at the same time; each occupies a thread."""
MAX_KNOWN_COORDINATORS = 2000
"""Maximum number of jobs whose coordinator is remembered; when it is reached, all are forgotten."""


class ResultReader:
    """Reads results of jobs, and answers other gateways that read from this coordinator.

    Parameters
    ----------
    gateway_of
        Returns the live gateway on which a coordinator runs; ``None`` if there is none.
    """

    def __init__(
        self,
        coordinator: JobCoordinator,
        storage: JobStorageClient,
        listings: JobListings,
        lookup: JobLookup,
        peer_client: PeerClient,
        peer_server: PeerServer,
        gateway_of: Callable[[str], Member | None],
    ) -> None:
        self._coordinator = coordinator
        self._storage = storage
        self._listings = listings
        self._lookup = lookup
        self._peer_client = peer_client
        self._gateway_of = gateway_of
        self._waiting_reads = threading.Semaphore(MAX_WAITING_READS)
        self._coordinators_by_job: dict[str, str] = {}
        peer_server.register(ReadResults, self._answer_read)

    def read(self, job_id: str, since: int, wait_s: float) -> ResultsPage | NoSuchJob | Unsure:
        """Return results from position ``since`` on, wherever the job is coordinated."""
        wait_s = min(wait_s, MAX_WAIT_S)
        deadline = boot_clock.now() + wait_s + READ_TIME_S
        page, source = self._read(job_id, since, wait_s, deadline)
        if isinstance(page, ResultsPage) and not page.results:
            log_message("job:read_empty", job=job_id, since=since, source=source, outcome="empty")
        return page

    def _read(
        self, job_id: str, since: int, wait_s: float, deadline: float
    ) -> tuple[ResultsPage | NoSuchJob | Unsure, str]:
        """Return results and the name of their coordinator; empty if read from the store."""
        coordinated = self._coordinator.get(job_id)
        if coordinated is not None:
            return self._page(job_id, since, wait_s, deadline), self._coordinator.name
        coordinator = self._coordinators_by_job.get(job_id)
        page = self._read_from_coordinator(job_id, since, deadline, coordinator)
        if page is not None:
            return page, coordinator or ""
        found = self._storage.find_job(job_id, deadline=deadline)
        if isinstance(found, NotFound):
            return self._lookup.check_absence(job_id, found, deadline), ""
        if found.coordinator != coordinator:
            page = self._read_from_coordinator(job_id, since, deadline, found.coordinator)
            if page is not None:
                self._remember_coordinator(job_id, found.coordinator)
                return page, found.coordinator
        return self._read_directly(job_id, since, found.total, deadline), ""

    def _page(
        self, job_id: str, since: int, wait_s: float, deadline: float
    ) -> ResultsPage | Unsure:
        coordinated = self._coordinator.get(job_id)
        if coordinated is None:
            return Unsure("the job has just moved to another gateway")
        # Waiting reads occupy threads; beyond the maximum, reads are answered at once.
        may_wait = wait_s > 0 and self._waiting_reads.acquire(blocking=False)
        try:
            page = coordinated.page(since, wait_s if may_wait else 0.0)
        finally:
            if may_wait:
                self._waiting_reads.release()
        if page.results:
            return page
        return self._page_from_current_listing(coordinated, since, deadline)

    def _page_from_current_listing(
        self, coordinated: CoordinatedJob, since: int, deadline: float
    ) -> ResultsPage | Unsure:
        """Return the page again, from a listing that is known to be recent enough.

        The position may already be listed in the store, and clients may have read it there. It may
        have been listed by this process, in a write that is not answered yet, by the previous
        coordinator, or by a second one. Leases do not rule this out. Only a read of the
        store does, or a check that no storage node has a result missing in the known listing.
        """
        if not coordinated.listing_is_current():
            began = boot_clock.now()
            listing = self._listings.read_until(coordinated.id, deadline)
            if isinstance(listing, ListingUnknown):
                return Unsure(f"the listing of the job cannot be read: {listing.reason}")
            coordinated.update_listing(
                listing or Listing(ListingDocument("", coordinated.total)), began
            )
        return self._page_with_contents(coordinated, since, deadline)

    def _page_with_contents(
        self, coordinated: CoordinatedJob, since: int, deadline: float
    ) -> ResultsPage | Unsure:
        """Return the page again, after fetching contents that an adopted job may lack.

        A listed position may have been read already, so it is never reported as empty.
        """
        missing = coordinated.missing_contents(since)
        if missing:
            coordinated.add_contents(
                self._storage.fetch_results(coordinated.id, missing, deadline=deadline)
            )
        page = coordinated.page(since, 0.0)
        if page.results:
            return page
        listed = len(coordinated.listing.document.results)
        if since < listed:
            return Unsure("a listed result cannot be read now")
        log_message(
            "job:order_told",
            job=coordinated.id,
            since=since,
            listed=listed,
            revision=coordinated.listing.revision,
            age_s=round(coordinated.listing_age_s(), 3),
            outcome="empty",
        )
        return page

    def _read_from_coordinator(
        self, job_id: str, since: int, deadline: float, coordinator: str | None
    ) -> ResultsPage | None:
        """Return the page of another gateway; ``None`` if it has none or no time is left."""
        remaining_s = deadline - boot_clock.now() - (READ_TIME_S - COORDINATOR_TIME_S)
        if remaining_s <= 0:
            return None
        if not coordinator:
            return None
        if coordinator == self._coordinator.name:
            return None
        member = self._gateway_of(coordinator)
        if member is None:
            return None
        reply = self._peer_client.call(
            member.peer,
            ReadResults(job_id, since, max(0.0, remaining_s - COORDINATOR_TIME_S)),
            ResultsPage | NotCoordinator,
            remaining_s,
        )
        if isinstance(reply, ResultsPage):
            return reply
        log_message(
            "job:coordinator_unsure",
            job=job_id,
            coordinator=coordinator,
            outcome=type(reply).__name__,
            reason=reply.reason,
        )
        return None

    def _remember_coordinator(self, job_id: str, coordinator: str) -> None:
        if len(self._coordinators_by_job) >= MAX_KNOWN_COORDINATORS:
            self._coordinators_by_job.clear()
        self._coordinators_by_job[job_id] = coordinator

    def _read_directly(
        self, job_id: str, since: int, total: int, deadline: float
    ) -> ResultsPage | Unsure:
        """Read the listing from the platform's store and the contents from storage nodes."""
        listing = self._listings.read_until(job_id, deadline)
        if isinstance(listing, ListingUnknown):
            return Unsure(f"the listing of the job cannot be read: {listing.reason}")
        document = ListingDocument("", total) if listing is None else listing.document
        keys = tuple(listed.key for listed in document.results[since:])
        contents = self._storage.fetch_results(job_id, keys, deadline=deadline)
        page = make_page(document, contents, since)
        if keys and not page.results:
            return Unsure("a listed result cannot be read now")
        return page

    def _answer_read(self, message: ReadResults) -> ResultsPage | NotCoordinator:
        if self._coordinator.get(message.job_id) is None:
            return NotCoordinator("this gateway does not coordinate the job")
        deadline = boot_clock.now() + message.wait_s + COORDINATOR_TIME_S
        page = self._page(message.job_id, message.since, message.wait_s, deadline)
        return page if isinstance(page, ResultsPage) else NotCoordinator(page.reason)
