"""Answers callers' requests about batch jobs at any gateway."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill.connection.job_document import Job, JobDocument
from quaymill.connection.job_storage_messages import (
    AdoptJob,
    HandedOverJob,
    HandOverJob,
    JobAdopted,
    JobStopped,
    JobSubmitted,
    NotCoordinator,
    ReadResults,
    RenewJobs,
    ResultsPage,
    StopJob,
    SubmitJob,
)
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient, PeerRefusal, PeerServer
from quaymill.process.jobs.batch_quota import BatchQuota
from quaymill.process.jobs.coordinated_job import CoordinatedJob, make_page
from quaymill.process.jobs.coordinator import JobCoordinator
from quaymill.process.jobs.lease_renewal import LeaseRenewal
from quaymill.process.jobs.listing import JobListings, ListingDocument, ListingUnknown
from quaymill.process.jobs.route_quota import OverQuota, QuotaUnknown
from quaymill.process.jobs.storage_client import JobStorageClient, NotFound, NotKept
from quaymill.process.jobs.submission_relay import SubmissionRelay, Submitted
from quaymill.process.membership.ranking import rank_nodes
from quaymill.version.request_routes import RequestRoute

READ_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 0.5
HAND_OVER_TIMEOUT_S = 1.5
MAX_HELD_READS = 24
KNOWN_COORDINATORS = 2000
CERTAIN_AFTER_S = 6.0
"""Time after which a gateway knows all storage nodes that it can reach."""


@attrs.frozen
class Accepted:
    """The system keeps the whole job from now on."""


@attrs.frozen
class NotAccepted:
    """The job is not accepted.

    Attributes
    ----------
    may_run
        Whether a part of it may run all the same.
    """

    reason: str
    may_run: bool


@attrs.frozen
class Unsure:
    """The gateway asked cannot tell now."""

    reason: str


@attrs.frozen
class NoSuchJob:
    """No storage node has the job."""


@attrs.frozen
class NoSuchItem:
    """The job has no such item."""


@attrs.frozen
class Ended:
    """The job is ended."""


class JobService:
    """Submits, reads and ends jobs.

    Parameters
    ----------
    gateway_of
        Returns the live gateway on which a coordinator runs; ``None`` if there is none.
    gateways
        Returns the other live gateways.
    """

    def __init__(
        self,
        coordinator: JobCoordinator,
        storage: JobStorageClient,
        leases: LeaseRenewal,
        quota: BatchQuota,
        relay: SubmissionRelay,
        listings: JobListings,
        peer_client: PeerClient,
        peer_server: PeerServer,
        gateway_of: Callable[[str], Member | None],
        gateways: Callable[[], tuple[Member, ...]],
    ) -> None:
        self._coordinator = coordinator
        self._storage = storage
        self._leases = leases
        self._quota = quota
        self._relay = relay
        self._listings = listings
        self._peer_client = peer_client
        self._gateway_of = gateway_of
        self._gateways = gateways
        self._held_reads = threading.Semaphore(MAX_HELD_READS)
        self._coordinators_by_job: dict[str, str] = {}
        self._started_at = time.monotonic()
        peer_server.register(SubmitJob, self._answer_submit)
        peer_server.register(AdoptJob, self._answer_adopt)
        peer_server.register(HandOverJob, self._answer_hand_over)
        peer_server.register(ReadResults, self._answer_read)
        peer_server.register(StopJob, self._answer_stop)

    # Calls of callers.

    def submit(
        self, job_id: str, host: str, path: str, document: JobDocument, route: RequestRoute
    ) -> Accepted | NotAccepted | OverQuota:
        """Keep a job and see that it runs; a job that is known already is accepted again."""
        if self._coordinator.get(job_id) is not None:
            return Accepted()
        job = Job(job_id, host, path, document)
        submitted = self._relay.submit(job, lambda: self._count_and_store(job, route))
        if submitted.accepted:
            return Accepted()
        if submitted.over_quota is not None and not submitted.may_run:
            return submitted.over_quota
        return NotAccepted(submitted.reason, submitted.may_run)

    def _count_and_store(self, job: Job, route: RequestRoute) -> Submitted:
        """Count a job against its quota, then keep it: one over the quota must never run."""
        decision = self._quota.admit(job.id, route, job.document.tokens)
        if isinstance(decision, QuotaUnknown):
            return Submitted(False, decision.reason)
        if isinstance(decision, OverQuota):
            return Submitted(False, "the job does not fit the quota now", over_quota=decision)
        stored = self._store(job)
        if not stored.accepted and not stored.may_run:
            self._quota.withdraw(job.id, route, decision)
        return stored

    def _store(self, job: Job) -> Submitted:
        """Keep a job on storage nodes, and coordinate it unless another gateway does."""
        kept = self._storage.store_job(job, self._coordinator.name)
        if isinstance(kept, NotKept):
            log_message("job:not_kept", job=job.id, reason=kept.reason, may_run=kept.maybe)
            return Submitted(False, kept.reason, kept.maybe)
        log_message(
            "job:accepted",
            job=job.id,
            items=len(job.document.items),
            coordinator=kept.coordinator,
            ended=kept.ended,
        )
        if kept.coordinator == self._coordinator.name and not kept.ended:
            self._coordinator.accept(job)
        return Submitted(True)

    def read(self, job_id: str, since: int, wait_s: float) -> ResultsPage | NoSuchJob | Unsure:
        """Return results from a position on, wherever the job is coordinated."""
        page, source = self._read(job_id, since, min(wait_s, READ_TIMEOUT_S))
        if isinstance(page, ResultsPage) and not page.results:
            log_message("job:read_empty", job=job_id, since=since, source=source, outcome="empty")
        return page

    def _read(
        self, job_id: str, since: int, wait_s: float
    ) -> tuple[ResultsPage | NoSuchJob | Unsure, str]:
        """Return results, and the name of who told them; empty for the store's own order."""
        held = self._coordinator.get(job_id)
        if held is not None:
            return self._page(job_id, since, wait_s), self._coordinator.name
        coordinator = self._coordinators_by_job.get(job_id)
        page = self._ask_coordinator(job_id, since, wait_s, coordinator)
        if page is not None:
            return page, coordinator or ""
        found = self._storage.find_job(job_id)
        if isinstance(found, NotFound):
            return self._unknown(job_id, found), ""
        if found.coordinator != coordinator:
            page = self._ask_coordinator(job_id, since, wait_s, found.coordinator)
            if page is not None:
                self._remember_coordinator(job_id, found.coordinator)
                return page, found.coordinator
        return self._read_directly(job_id, since, found.total), ""

    def read_body(self, job_id: str, item_id: str) -> bytes | NoSuchJob | NoSuchItem | Unsure:
        """Return the body of an item."""
        held = self._coordinator.get(job_id)
        if held is not None:
            bodies = (item.body for item in held.job.document.items if item.id == item_id)
            return next(bodies, None) or NoSuchItem()
        body = self._storage.fetch_body(job_id, item_id)
        if isinstance(body, NotFound):
            return self._unknown(job_id, body)
        return NoSuchItem() if body is None else body

    def end(self, job_id: str) -> Ended | NoSuchJob | Unsure:
        """End a job; repeated calls are answered alike."""
        found = self._storage.find_job(job_id)
        if isinstance(found, NotFound):
            return self._unknown(job_id, found)
        kept, coordinators = self._storage.end_job(job_id)
        if not kept:
            return Unsure("too few storage nodes have noted the end")
        if not self._coordinator.end(job_id):
            for name in coordinators | {found.coordinator}:
                self._stop_elsewhere(job_id, name)
        return Ended()

    def hand_over_all(self) -> None:
        """Give every open job to another gateway, with what its runs have brought."""
        for order in self._coordinator.stop():
            ranked = rank_nodes(order.job.id, self._gateways())
            successors = (self._hand_over(order, member) for member in ranked[:2])
            successor = next(filter(None, successors), "")
            handed = (HandedOverJob(order.job.id, successor),) if successor else ()
            released = () if successor else (order.job.id,)
            # At once: the successor cannot renew a lease that this coordinator still has.
            self._leases.renew(RenewJobs(self._coordinator.name, (), (), released, handed))

    # Helpers.

    def _unknown(self, job_id: str, found: NotFound) -> NoSuchJob | Unsure:
        """Say that there is no such job only where that is certain.

        A gateway that is new may not know all storage nodes yet, and one of those that it knows
        may have lost its disk just now; a job that has results has a listing besides.
        """
        if not found.certain:
            return Unsure("not all storage nodes answered")
        if time.monotonic() - self._started_at < CERTAIN_AFTER_S:
            return Unsure("this gateway may not know all storage nodes yet")
        listing = self._listings.read(job_id)
        if listing is not None:
            return Unsure("the job's order is known, but no storage node tells of the job")
        return NoSuchJob()

    def _page(self, job_id: str, since: int, wait_s: float) -> ResultsPage | Unsure:
        held = self._coordinator.get(job_id)
        if held is None:
            return Unsure("the job has just moved")
        # Reads that are held take threads; beyond a bound they are answered at once.
        may_wait = wait_s > 0 and self._held_reads.acquire(blocking=False)
        try:
            page = held.page(since, wait_s if may_wait else 0.0)
        finally:
            if may_wait:
                self._held_reads.release()
        return page if page.results else self._certain_page(held, since)

    def _certain_page(self, held: CoordinatedJob, since: int) -> ResultsPage | Unsure:
        """Make an empty page again from the newest order.

        Another coordinator may have listed this position, and it may have been read: the one
        before, when the job was adopted a moment ago, or one that took it while this process
        stood still.
        """
        if not held.order_is_certain():
            listing = self._listings.read(held.id)
            if isinstance(listing, ListingUnknown):
                return Unsure(f"the order of the results cannot be read: {listing.reason}")
            if listing is not None:
                held.take_listing(listing)
        return self._page_with_contents(held, since)

    def _page_with_contents(self, held: CoordinatedJob, since: int) -> ResultsPage | Unsure:
        """Make a page again after fetching contents that an adopted job may lack.

        A position that is listed may have been read already: it is never told to be empty.
        """
        missing = held.missing_contents(since)
        if missing:
            held.add_contents(self._storage.fetch_results(held.id, missing))
        page = held.page(since, 0.0)
        if page.results:
            return page
        listed = len(held.listing.document.results)
        if since < listed:
            return Unsure("a listed result cannot be read now")
        log_message(
            "job:order_told",
            job=held.id,
            since=since,
            listed=listed,
            revision=held.listing.revision,
            age_s=round(held.order_age_s(), 3),
            outcome="empty",
        )
        return page

    def _ask_coordinator(
        self, job_id: str, since: int, wait_s: float, coordinator: str | None
    ) -> ResultsPage | None:
        if not coordinator:
            return None
        if coordinator == self._coordinator.name:
            return None
        member = self._gateway_of(coordinator)
        if member is None:
            return None
        reply = self._peer_client.call(
            member.peer,
            ReadResults(job_id, since, wait_s),
            ResultsPage | NotCoordinator,
            wait_s + READ_TIMEOUT_S,
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
        if len(self._coordinators_by_job) >= KNOWN_COORDINATORS:
            self._coordinators_by_job.clear()
        self._coordinators_by_job[job_id] = coordinator

    def _read_directly(self, job_id: str, since: int, total: int) -> ResultsPage | Unsure:
        """Read the order from the platform and the contents from storage nodes."""
        listing = self._listings.read(job_id)
        if isinstance(listing, ListingUnknown):
            return Unsure(f"the order of the results cannot be read: {listing.reason}")
        document = ListingDocument("", total) if listing is None else listing.document
        keys = tuple(listed.key for listed in document.results[since:])
        contents = self._storage.fetch_results(job_id, keys) if keys else {}
        if len(contents) < len(set(keys)):
            return Unsure("not all results can be read")
        return make_page(document, contents, since)

    def _stop_elsewhere(self, job_id: str, coordinator: str) -> None:
        member = self._gateway_of(coordinator)
        if member is not None:
            self._peer_client.call(member.peer, StopJob(job_id), JobStopped, STOP_TIMEOUT_S)

    def _hand_over(self, order: HandOverJob, member: Member) -> str:
        """Offer a job to a gateway; return the name of the coordinator that took it."""
        reply = self._peer_client.call(member.peer, order, JobAdopted, HAND_OVER_TIMEOUT_S)
        log_message(
            "job:handed_over",
            job=order.job.id,
            gateway=member.name,
            outcome=type(reply).__name__,
        )
        return reply.coordinator if isinstance(reply, JobAdopted) else ""

    # Calls of peers.

    def _answer_submit(self, message: SubmitJob) -> JobSubmitted:
        """Accept a job for another gateway; it is not handed on a second time."""
        job = message.job
        route = self._coordinator.route_of(job)
        if route is None:
            return JobSubmitted(False, "this gateway knows no route for the job")
        outcome = self._count_and_store(job, route)
        return JobSubmitted(outcome.accepted, outcome.reason, outcome.may_run)

    def _answer_adopt(self, message: AdoptJob) -> JobAdopted | PeerRefusal:
        return self._adopted(self._coordinator.adopt(message.job, message.progress))

    def _answer_hand_over(self, message: HandOverJob) -> JobAdopted | PeerRefusal:
        taken = self._coordinator.adopt(message.job, message.progress, message.unlisted)
        return self._adopted(taken)

    def _adopted(self, taken: bool) -> JobAdopted | PeerRefusal:
        if taken:
            return JobAdopted(self._coordinator.name)
        return PeerRefusal("this gateway is stopping")

    def _answer_read(self, message: ReadResults) -> ResultsPage | NotCoordinator:
        if self._coordinator.get(message.job_id) is None:
            return NotCoordinator("the gateway does not run the job")
        page = self._page(message.job_id, message.since, message.wait_s)
        return page if isinstance(page, ResultsPage) else NotCoordinator(page.reason)

    def _answer_stop(self, message: StopJob) -> JobStopped:
        self._coordinator.end(message.job_id)
        return JobStopped()
