"""Stores the results of jobs on storage nodes and appends them to the jobs' listings.

Threads: one for each job until it is over.
"""

from __future__ import annotations

import itertools
import math
import threading
from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.job_storage_messages import KeyedResult
from quaymill.process.jobs.coordinated_job import CoordinatedJob, listed_result
from quaymill.process.jobs.coordinator_check import CoordinatorCheck
from quaymill.process.jobs.listing import JobListings, Listing, ListingDocument, ListingUnknown
from quaymill.process.jobs.storage_client import JobStorageClient

PUBLISH_INTERVAL_S = 0.4
"""Minimum time between two appends to a listing; results that finish within it share one append."""
PUBLISH_RETRY_S = 0.5
BATCH_FACTOR = 4
"""Factor by which fewer results are stored at once after a failure, and more after a success."""
MIN_BATCH_BYTES = 64 * 1024
MAX_TAKEOVER_WRITES = 2
"""Attempts to write the new coordinator into a listing that others change at the same time. Later
appends write it as well."""
PREDECESSOR_SILENCE_S = 5.0
"""Time without a new result of the predecessor after which a paused job goes on."""
UNAVAILABLE_RETRY_S = 2.0
"""Maximum time between two attempts while the store is unavailable: another gateway may reach it
before the circuit breaker of this one closes."""


@attrs.frozen
class PublisherParts:
    """Dependencies of a publisher.

    Attributes
    ----------
    name
        Name of the coordinator whose results are listed.
    coordinates
        Returns whether another coordinator answers that it coordinates a job.
    await_store
        If the store is known to be unavailable, waits until an append should be tried again, at
        most the given time (seconds). Otherwise returns ``False`` at once.
    """

    name: str
    storage: JobStorageClient
    listings: JobListings
    coordinates: CoordinatorCheck
    await_store: Callable[[float], bool]


class _BatchSize:
    """Limits the results of a job that are stored at once.

    Many results, sent to several storage nodes, can occupy a slow link for longer than the calls
    may take. So a failure is not repeated with as many results, and those that have finished since.
    """

    def __init__(self) -> None:
        self._limit_bytes = math.inf

    def first_of(self, results: tuple[KeyedResult, ...]) -> tuple[KeyedResult, ...]:
        """Return as many results as may be stored at once, at least one."""
        sizes = itertools.accumulate(len(one.result.text) for one in results)
        count = sum(size <= self._limit_bytes for size in sizes)
        return results[: max(1, count)]

    def record(self, results: tuple[KeyedResult, ...], *, stored: bool) -> None:
        """Record whether results were stored."""
        size = sum(len(one.result.text) for one in results)
        if stored:
            self._limit_bytes *= BATCH_FACTOR
        else:
            self._limit_bytes = max(MIN_BATCH_BYTES, size // BATCH_FACTOR)


class ResultPublisher:
    """Lists results in the order in which they finish, until a job is over.

    Parameters
    ----------
    begin_items
        Called when the items of a job may be run.
    complete
        Called with the id of a job after its last result is listed.
    """

    def __init__(
        self,
        parts: PublisherParts,
        begin_items: Callable[[], None],
        complete: Callable[[str], None],
    ) -> None:
        self._parts = parts
        self._begin_items = begin_items
        self._complete = complete
        self._stopping = threading.Event()

    def stop(self) -> None:
        """End all pauses; each thread ends once its job is over."""
        self._stopping.set()

    def follow(self, job: CoordinatedJob, *, adopted: bool) -> None:
        """Start a thread that lists the results of a job until it is over."""
        threading.Thread(target=self._publish, args=(job, adopted), name="job", daemon=True).start()

    def yield_if_taken_over(self, job: CoordinatedJob) -> None:
        """Leave a job to the coordinator named in its listing, if that is another one."""
        began = boot_clock.now()
        listing = self._parts.listings.read(job.id)
        if isinstance(listing, Listing):
            job.update_listing(listing, began)
            if listing.document.coordinator not in ("", self._parts.name):
                self._handle_takeover(job, listing)

    def _publish(self, job: CoordinatedJob, adopted: bool) -> None:
        """List the results of one job until it is over."""
        if adopted:
            self._attempt(job, self._take_over)
        self._begin_items()
        batch_size = _BatchSize()
        while not job.over:
            self._attempt(job, lambda job: self._publish_next(job, batch_size))
        log_message(
            "job:over",
            job=job.id,
            complete=job.complete,
            ended=job.ended,
            handed_over=job.abandoned,
            listed=len(job.listing.document.results),
            total=job.total,
            took_s=round(boot_clock.now() - job.sent_at, 2),
        )
        if job.complete:
            self._complete(job.id)

    def _attempt(self, job: CoordinatedJob, step: Callable[[CoordinatedJob], None]) -> None:
        """Run a step; log an exception, as the results would never be listed without this thread.

        One is that the process cannot start another thread to call storage nodes in parallel.
        """
        try:
            step(job)
        except Exception as error:
            log_message("job:publish_error", job=job.id, error=repr(error))
            self._stopping.wait(PUBLISH_RETRY_S)

    def _publish_next(self, job: CoordinatedJob, batch_size: _BatchSize) -> None:
        """List the results that have finished, or wait a while for one."""
        if job.pause_left_s() > 0:
            self._wait_while_paused(job)
            return
        with job.changed:
            job.changed.wait_for(lambda: job.over or job.unlisted(), PUBLISH_RETRY_S)
        results = batch_size.first_of(job.unlisted())
        if not results or job.over:
            return
        # Reads update the known listing too, so an append need not conflict with another writer.
        if not job.yielded and job.listing.document.coordinator not in ("", self._parts.name):
            self._handle_takeover(job, job.listing)
            if job.pause_left_s() > 0:
                return
        stored = self._store(job, results)
        batch_size.record(results, stored=stored)
        self._pause(stored and self._append(job, results))

    def _wait_while_paused(self, job: CoordinatedJob) -> None:
        """Wait for the end of a pause; pause again if the predecessor has listed more results."""
        listed_before = len(job.listing.document.results)
        with job.changed:
            job.changed.wait_for(lambda: job.over, job.pause_left_s())
        if job.over or self._stopping.is_set():
            return
        began = boot_clock.now()
        listing = self._parts.listings.read(job.id)
        if isinstance(listing, Listing):
            job.update_listing(listing, began)
            if len(listing.document.results) > listed_before:
                self._handle_takeover(job, listing)
        if not job.yielded and job.pause_left_s() == 0:
            log_message("job:resumed", job=job.id, predecessor=job.predecessor)
            self._write_takeover(job)
            self._begin_items()

    def _pause(self, listed: bool) -> None:
        """Wait before the next append of a job; results that finish meanwhile are part of it."""
        if listed:
            self._stopping.wait(PUBLISH_INTERVAL_S)
        elif not self._parts.await_store(UNAVAILABLE_RETRY_S):
            self._stopping.wait(PUBLISH_RETRY_S)

    def _take_over(self, job: CoordinatedJob) -> None:
        """Write this coordinator into the listing, so that a previous one notices the takeover."""
        # A handed-over listing that has grown since causes a write conflict, which returns the
        # newer one.
        predecessor = ""
        if not job.listing.revision:
            if not self._read_listing(job):
                return
            predecessor = job.listing.document.coordinator
        if self._write_takeover(job):
            job.predecessor = predecessor
        self._fetch_contents(job)

    def _write_takeover(self, job: CoordinatedJob) -> bool:
        """Write this coordinator's name into the listing; return whether it is written."""
        for _ in range(MAX_TAKEOVER_WRITES):
            began = boot_clock.now()
            proposed = job.listing.with_results((), job.coordinator)
            written = self._parts.listings.write(job.id, proposed)
            if isinstance(written, ListingUnknown):
                log_message("job:listing_unknown", job=job.id, reason=written.reason)
                return False
            job.update_listing(written, began)
            if written.document.coordinator == job.coordinator:
                return True
        return False

    def _read_listing(self, job: CoordinatedJob) -> bool:
        """Load the stored listing, if there is one; return whether the store could be read."""
        began = boot_clock.now()
        listing = self._parts.listings.read(job.id)
        if isinstance(listing, ListingUnknown):
            log_message("job:listing_unknown", job=job.id, reason=listing.reason)
            return False
        job.update_listing(listing or Listing(ListingDocument("", job.total)), began)
        return True

    def _store(self, job: CoordinatedJob, results: tuple[KeyedResult, ...]) -> bool:
        """Store the contents of results; return whether they are on enough storage nodes."""
        stored = self._parts.storage.store_results(job.id, results)
        if not stored:
            size = sum(len(one.result.text) for one in results)
            log_message("job:results_not_stored", job=job.id, results=len(results), bytes=size)
        return stored

    def _append(self, job: CoordinatedJob, results: tuple[KeyedResult, ...]) -> bool:
        """Append stored results to the listing; return whether they were appended."""
        proposed = job.listing.with_results(map(listed_result, results), job.coordinator)
        began = boot_clock.now()
        current = self._parts.listings.write(job.id, proposed)
        took_s = round(boot_clock.now() - began, 3)
        if isinstance(current, ListingUnknown):
            log_message("job:listing_unknown", job=job.id, reason=current.reason, took_s=took_s)
            return False
        job.update_listing(current, began)
        if current.document != proposed.document:
            self._handle_takeover(job, current)
            return False
        log_message(
            "job:listed",
            job=job.id,
            results=len(results),
            revision=current.revision,
            took_s=took_s,
        )
        return True

    def _handle_takeover(self, job: CoordinatedJob, current: Listing) -> None:
        """Leave the job to the other coordinator that changed the listing, if it can be reached.

        Callers on this side of a network partition could not read the results of one beyond it. But
        if both list results, callers of neither side can read on. So the one that was there first
        goes on, and the one that took the job over pauses while the other lists results.
        """
        other = current.document.coordinator
        is_own = other == self._parts.name
        yields = not is_own and self._parts.coordinates(other, job.id, job.total)
        pauses = not is_own and not yields and other == job.predecessor
        log_message(
            "job:overtaken",
            job=job.id,
            other=other,
            revision=current.revision,
            outcome="yielded" if yields else "paused" if pauses else "continued",
        )
        if pauses:
            job.pause(PREDECESSOR_SILENCE_S)
        self._fetch_contents(job)
        if yields:
            job.yield_to(other)

    def _fetch_contents(self, job: CoordinatedJob) -> None:
        missing = job.missing_contents()
        if missing:
            job.add_contents(self._parts.storage.fetch_results(job.id, missing))
