"""Submits, reads and ends batch jobs for clients, at any gateway."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.job_document import Job
from quaymill.connection.job_storage_messages import (
    AdoptJob,
    HandedOverJob,
    HandOverJob,
    JobAdopted,
    JobStopped,
    JobSubmitted,
    RenewJobs,
    ResultsPage,
    StopJob,
    SubmitJob,
)
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient, PeerRefusal
from quaymill.connection.peer_server import PeerServer
from quaymill.process.jobs.batch_quota import BatchQuota
from quaymill.process.jobs.coordinator import JobCoordinator
from quaymill.process.jobs.job_lookup import JobLookup, NoSuchJob, Unsure
from quaymill.process.jobs.lease_renewal import LeaseRenewal
from quaymill.process.jobs.listing import read_shared_listing
from quaymill.process.jobs.result_reader import READ_TIME_S, ResultReader
from quaymill.process.jobs.route_quota import OverQuota, QuotaUnknown
from quaymill.process.jobs.storage_client import JobStorageClient, NotFound, NotStored
from quaymill.process.jobs.submission_relay import SubmissionOutcome, SubmissionRelay
from quaymill.process.membership.ranking import rank_nodes
from quaymill.version.request_routes import RequestRoute

STOP_TIMEOUT_S = 0.5
HAND_OVER_TIMEOUT_S = 1.5


@attrs.frozen
class Accepted:
    """Enough storage nodes have stored the job."""


@attrs.frozen
class NotAccepted:
    """The job is not accepted.

    Attributes
    ----------
    may_run
        Whether some of its items may run anyway, because it may have been stored.
    """

    reason: str
    may_run: bool


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
    reader
        Reads results, wherever a job is coordinated.
    gateway_of
        Returns the live gateway on which a coordinator runs; ``None`` if there is none.
    other_gateways
        Returns the other live gateways.
    """

    def __init__(
        self,
        coordinator: JobCoordinator,
        storage: JobStorageClient,
        leases: LeaseRenewal,
        quota: BatchQuota,
        relay: SubmissionRelay,
        reader: ResultReader,
        lookup: JobLookup,
        peer_client: PeerClient,
        peer_server: PeerServer,
        gateway_of: Callable[[str], Member | None],
        other_gateways: Callable[[], tuple[Member, ...]],
    ) -> None:
        self._coordinator = coordinator
        self._storage = storage
        self._leases = leases
        self._quota = quota
        self._relay = relay
        self._peer_client = peer_client
        self._gateway_of = gateway_of
        self._other_gateways = other_gateways
        self._reader = reader
        self._lookup = lookup
        peer_server.register(SubmitJob, self._answer_submit)
        peer_server.register(AdoptJob, self._answer_adopt)
        peer_server.register(HandOverJob, self._answer_hand_over)
        peer_server.register(StopJob, self._answer_stop)

    # Requests of clients.

    def submit(self, job: Job, route: RequestRoute) -> Accepted | NotAccepted | OverQuota:
        """Store a job and run it; a job that is already known is accepted again."""
        if self._coordinator.get(job.id) is not None:
            return Accepted()
        submitted = self._relay.submit(job, lambda: self._count_and_store(job, route))
        if submitted.accepted:
            return Accepted()
        if submitted.over_quota is not None and not submitted.may_run:
            return submitted.over_quota
        return NotAccepted(submitted.reason, submitted.may_run)

    def _count_and_store(self, job: Job, route: RequestRoute) -> SubmissionOutcome:
        """Count a job against its quota, then store it: a job over the quota must never run."""
        decision = self._quota.admit(job.id, route, job.document.tokens, job.tenant)
        if isinstance(decision, QuotaUnknown):
            return SubmissionOutcome(False, decision.reason)
        if isinstance(decision, OverQuota):
            return SubmissionOutcome(
                False, "the job does not fit the quota now", over_quota=decision
            )
        stored = self._store(job)
        if not stored.accepted and not stored.may_run:
            self._quota.withdraw(job.id, route, decision, job.tenant)
        return stored

    def _store(self, job: Job) -> SubmissionOutcome:
        """Store a job on storage nodes, and coordinate it unless another gateway does."""
        stored = self._storage.store_job(job, self._coordinator.name)
        if isinstance(stored, NotStored):
            log_message(
                "job:not_kept", job=job.id, reason=stored.reason, may_run=stored.maybe_stored
            )
            return SubmissionOutcome(False, stored.reason, stored.maybe_stored)
        log_message(
            "job:accepted",
            job=job.id,
            items=len(job.document.items),
            coordinator=stored.coordinator,
            ended=stored.ended,
        )
        if stored.coordinator == self._coordinator.name and not stored.ended:
            self._coordinator.accept(job)
        return SubmissionOutcome(True)

    def read(self, job_id: str, since: int, wait_s: float) -> ResultsPage | NoSuchJob | Unsure:
        """Return results from position ``since`` on, wherever the job is coordinated."""
        return self._reader.read(job_id, since, wait_s)

    def read_body(self, job_id: str, item_id: str) -> bytes | NoSuchJob | NoSuchItem | Unsure:
        """Return the body of an item."""
        coordinated = self._coordinator.get(job_id)
        if coordinated is not None:
            bodies = (item.body for item in coordinated.job.document.items if item.id == item_id)
            body = next(bodies, None)
            # An empty body is valid.
            return NoSuchItem() if body is None else body
        deadline = boot_clock.now() + READ_TIME_S
        body = self._storage.fetch_body(job_id, item_id, deadline=deadline)
        if isinstance(body, NotFound):
            return self._lookup.check_absence(job_id, body, deadline)
        return NoSuchItem() if body is None else body

    def end(self, job_id: str) -> Ended | NoSuchJob | Unsure:
        """End a job; repeated calls have the same outcome."""
        found = self._storage.find_job(job_id)
        if isinstance(found, NotFound):
            return self._lookup.check_absence(job_id, found)
        recorded, coordinators = self._storage.end_job(job_id)
        if not recorded:
            return Unsure("too few storage nodes have recorded the end of the job")
        if not self._coordinator.end(job_id):
            for name in coordinators | {found.coordinator}:
                self._stop_elsewhere(job_id, name)
        return Ended()

    def hand_over_all(self) -> None:
        """Stop, and hand every open job over to another gateway with the progress of its items."""
        for message in self._coordinator.stop():
            # Two gateways are asked at most: each call may take ``HAND_OVER_TIMEOUT_S``.
            ranked = rank_nodes(message.job.id, self._other_gateways())
            successors = (self._hand_over(message, member) for member in ranked[:2])
            successor = next(filter(None, successors), "")
            handed = (HandedOverJob(message.job.id, successor),) if successor else ()
            released = () if successor else (message.job.id,)
            # Without delay: the successor cannot renew a lease that this coordinator still holds.
            self._leases.renew(RenewJobs(self._coordinator.name, (), (), released, handed))

    # Helpers.

    def _stop_elsewhere(self, job_id: str, coordinator: str) -> None:
        member = self._gateway_of(coordinator)
        if member is not None:
            self._peer_client.call(member.peer, StopJob(job_id), JobStopped, STOP_TIMEOUT_S)

    def _hand_over(self, message: HandOverJob, member: Member) -> str:
        """Offer a job to a gateway; return the name of its coordinator, empty if not adopted."""
        reply = self._peer_client.call(member.peer, message, JobAdopted, HAND_OVER_TIMEOUT_S)
        log_message(
            "job:handed_over",
            job=message.job.id,
            gateway=member.name,
            outcome=type(reply).__name__,
        )
        return reply.coordinator if isinstance(reply, JobAdopted) else ""

    # Messages of peers.

    def _answer_submit(self, message: SubmitJob) -> JobSubmitted:
        """Accept a job for another gateway; it is not relayed to a third one."""
        job = message.job
        route = self._coordinator.route_of(job)
        if route is None:
            return JobSubmitted(False, "this gateway has no route for the job")
        outcome = self._count_and_store(job, route)
        return JobSubmitted(outcome.accepted, outcome.reason, outcome.may_run)

    def _answer_adopt(self, message: AdoptJob) -> JobAdopted | PeerRefusal:
        adopted = self._coordinator.adopt(message.job, message.progress, await_renewal=True)
        return self._adoption_reply(adopted)

    def _answer_hand_over(self, message: HandOverJob) -> JobAdopted | PeerRefusal:
        listing = read_shared_listing(message.order)
        adopted = self._coordinator.adopt(message.job, message.progress, message.unlisted, listing)
        return self._adoption_reply(adopted)

    def _adoption_reply(self, adopted: bool) -> JobAdopted | PeerRefusal:
        if adopted:
            return JobAdopted(self._coordinator.name)
        return PeerRefusal("this gateway is stopping")

    def _answer_stop(self, message: StopJob) -> JobStopped:
        self._coordinator.end(message.job_id)
        return JobStopped()
