"""Coordinates the jobs of this gateway from their acceptance or adoption to their end.

Threads: one that renews the leases, in addition to those of the dispatcher, the publisher and the
progress saver.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Iterable

import msgspec
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.job_document import Job
from quaymill.connection.job_storage_messages import (
    HandOverJob,
    ItemProgress,
    KeyedResult,
    RenewJobs,
)
from quaymill.connection.slot_messages import ItemsAt
from quaymill.process.jobs.coordinated_job import CoordinatedJob, ItemState
from quaymill.process.jobs.item_dispatcher import DispatcherParts, ItemDispatcher
from quaymill.process.jobs.lease_renewal import LeaseRenewal
from quaymill.process.jobs.listing import Listing, shared_listing
from quaymill.process.jobs.progress_saver import ProgressSaver
from quaymill.process.jobs.result_publisher import PublisherParts, ResultPublisher
from quaymill.version.request_routes import RequestRoute

RENEW_INTERVAL_S = 0.6
RENEWAL_DELAY_S = 0.05
"""Delay before each renewal, so that jobs which arrive together share it."""
RETAINED_JOBS = 200
"""Number of stopped jobs that stay in memory."""


class JobCoordinator:
    """Coordinates jobs until all their results are listed; safe to use from any thread.

    Parameters
    ----------
    listing_valid_s
        For how long a confirmed listing counts as the newest (seconds).
    """

    def __init__(
        self,
        dispatcher: DispatcherParts,
        publisher: PublisherParts,
        leases: LeaseRenewal,
        listing_valid_s: float,
    ) -> None:
        self.name = publisher.name
        """Name of this coordinator at storage nodes and gateways; changes at each restart."""
        self._leases = leases
        self._listing_valid_s = listing_valid_s
        self._lock = threading.Lock()
        self._jobs_by_id: dict[str, CoordinatedJob] = {}
        self._stopping = threading.Event()
        self._newly_complete: list[str] = []
        self._renew_soon = threading.Event()
        self._dispatcher = ItemDispatcher(dispatcher, self.open_jobs)
        self._publisher = ResultPublisher(publisher, self._dispatcher.wake, self._record_complete)
        self._progress = ProgressSaver(publisher.storage, self.open_jobs)

    def start(self) -> None:
        """Start running items, saving progress and renewing leases."""
        self._dispatcher.start()
        self._progress.start()
        threading.Thread(target=self._renew, name="job-leases", daemon=True).start()

    def wake(self) -> None:
        """Check at once whether items can be started."""
        self._dispatcher.wake()

    def get(self, job_id: str) -> CoordinatedJob | None:
        """Return a job that is coordinated here; ``None`` if it is not."""
        job = self._jobs_by_id.get(job_id)
        return None if job is None or job.abandoned or job.yielded else job

    def open_jobs(self) -> list[CoordinatedJob]:
        """Return the jobs that are not stopped."""
        return [job for job in list(self._jobs_by_id.values()) if not job.stopped]

    def route_of(self, job: Job) -> RequestRoute | None:
        """Return the job's route in the current configuration; ``None`` if it has none."""
        return self._dispatcher.route_of(job)

    def jobs(self) -> list[CoordinatedJob]:
        """Return all jobs in memory, including stopped ones."""
        return list(self._jobs_by_id.values())

    def preempt_items(self, items: tuple[ItemsAt, ...]) -> None:
        """Preempt items at once, because online requests wait at their replicas."""
        self._dispatcher.preempt_items(items)

    def running_items(self) -> int:
        """Return the number of running items."""
        return self._dispatcher.running_items()

    @property
    def items_to_other_region(self) -> int:
        """Number of items sent to replicas of another region since this process started."""
        return self._dispatcher.items_to_other_region

    def accept(self, job: Job) -> None:
        """Coordinate a job that was submitted here."""
        self._begin(job, adopted=False)

    def adopt(
        self,
        job: Job,
        progress: Iterable[ItemProgress] = (),
        unlisted: Iterable[KeyedResult] = (),
        listing: Listing | None = None,
        *,
        await_renewal: bool = False,
    ) -> bool:
        """Coordinate a job that another gateway ran before; return whether it is adopted.

        Parameters
        ----------
        progress
            What the previous coordinator's runs have produced so far.
        unlisted
            Results that the previous coordinator had not listed yet.
        listing
            The listing as the previous coordinator knew it. Its items are not run again, even
            if the store cannot be read now.
        await_renewal
            Start no item before the first renewal, which tells whether a client has ended the
            job. A storage node that was cut off at that time may have assigned it nevertheless.
        """
        if self._stopping.is_set():
            return False
        progress = tuple(progress)
        log_message(
            "job:adopted",
            job=job.id,
            items=len(job.document.items),
            events=sum(len(item_progress.texts) for item_progress in progress),
        )
        self._begin(
            job,
            adopted=True,
            progress=progress,
            unlisted=unlisted,
            listing=listing,
            await_renewal=await_renewal,
        )
        return True

    def end(self, job_id: str) -> bool:
        """Stop a job that a client ended; return whether it is coordinated here."""
        job = self.get(job_id)
        if job is None:
            return False
        if not job.ended:
            log_message("job:stopped", job=job_id)
        job.stop(ended=True)
        return True

    def stop(self) -> list[HandOverJob]:
        """Stop all jobs and return the messages that hand the open ones to other gateways."""
        self._stopping.set()
        self._renew_soon.set()
        self._dispatcher.stop()
        self._publisher.stop()
        self._progress.stop()
        open_jobs = self.open_jobs()
        for job in open_jobs:
            job.stop(ended=False)
        return [_hand_over_message(job) for job in open_jobs]

    def _begin(
        self,
        job: Job,
        *,
        adopted: bool,
        progress: Iterable[ItemProgress] = (),
        unlisted: Iterable[KeyedResult] = (),
        listing: Listing | None = None,
        await_renewal: bool = False,
    ) -> None:
        with self._lock:
            known = self._jobs_by_id.get(job.id)
            if known is not None and not known.abandoned and not known.yielded:
                return
            coordinated = CoordinatedJob(
                job, self._dispatcher.route_of(job), self.name, self._listing_valid_s
            )
            for item_progress in progress:
                coordinated.items[item_progress.index].resume_from(item_progress)
            coordinated.awaits_renewal = await_renewal
            coordinated.add_finished(unlisted)
            if listing is not None:
                # It may have grown since, so it is not confirmed as the newest.
                coordinated.update_listing(listing, -math.inf)
            self._jobs_by_id[job.id] = coordinated
            self._forget_old_jobs()
        # The first renewal confirms the listing; until then a store call precedes each empty page.
        self._renew_soon.set()
        try:
            self._publisher.follow(coordinated, adopted=adopted)
        except RuntimeError:
            # Without its thread the results would never be listed: another gateway shall adopt it.
            with self._lock:
                del self._jobs_by_id[job.id]
            coordinated.stop(ended=False)
            raise

    def _record_complete(self, job_id: str) -> None:
        with self._lock:
            self._newly_complete.append(job_id)

    def _forget_old_jobs(self) -> None:
        """Remove the oldest stopped jobs from memory; storage nodes have their results."""
        stopped_jobs = [job for job in self._jobs_by_id.values() if job.stopped]
        for job in stopped_jobs[: max(0, len(stopped_jobs) - RETAINED_JOBS)]:
            del self._jobs_by_id[job.id]

    def _renew(self) -> None:
        unlisted_before: frozenset[str] = frozenset()
        while True:
            self._renew_soon.wait(RENEW_INTERVAL_S)
            if self._stopping.wait(RENEWAL_DELAY_S):
                return
            self._renew_soon.clear()
            try:
                unlisted_before = self._renew_once(unlisted_before)
            except Exception as error:  # A failure must not end the renewals of all jobs.
                log_message("job:renewal_error", error=repr(error))

    def _renew_once(self, unlisted_before: frozenset[str]) -> frozenset[str]:
        """Renew the leases of all jobs, and handle what the storage nodes know of them.

        Takes and returns the jobs with results that are missing in the known listing.
        """
        jobs = self.open_jobs()
        open_jobs = tuple(job.id for job in jobs)
        with self._lock:
            complete, self._newly_complete = tuple(self._newly_complete), []
        if not open_jobs and not complete:
            return unlisted_before
        began = boot_clock.now()
        listings = tuple(job.known_listing() for job in jobs)
        try:
            outcome = self._leases.renew(RenewJobs(self.name, open_jobs, complete, orders=listings))
        except Exception:
            with self._lock:
                self._newly_complete += complete
            raise
        for job_id in outcome.ended:
            self.end(job_id)
        self._start_renewed(jobs)
        self._confirm(outcome.confirmed, began)
        # A result may be unlisted in one renewal because this process is just appending it,
        # but in two successive renewals another coordinator has probably listed it.
        for job_id in outcome.taken | (outcome.unlisted & unlisted_before):
            job = self.get(job_id)
            if job is not None:
                self._publisher.yield_if_taken_over(job)
        return outcome.unlisted

    def _start_renewed(self, jobs: Iterable[CoordinatedJob]) -> None:
        """Let items of adopted jobs start, also if no storage node answered the renewal."""
        awaiting = [job for job in jobs if job.awaits_renewal]
        for job in awaiting:
            job.awaits_renewal = False
        if awaiting:
            self._dispatcher.wake()

    def _confirm(self, job_ids: Iterable[str], at: float) -> None:
        for job_id in job_ids:
            job = self.get(job_id)
            if job is not None:
                job.confirm_listing(at)


def _hand_over_message(job: CoordinatedJob) -> HandOverJob:
    """Return the message from which another coordinator continues a job."""
    age_s = boot_clock.now() - job.sent_at
    progress = tuple(
        item.progress()
        for item in job.items
        if item.state in (ItemState.WAITING, ItemState.RUNNING) and (item.texts or item.failures)
    )
    return HandOverJob(
        msgspec.structs.replace(job.job, age_s=age_s),
        progress,
        job.unlisted(),
        shared_listing(job.id, job.listing),
    )
