"""Messages about batch jobs between gateways and storage nodes."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from quaymill.connection.job_document import Job, JobResult
from quaymill.connection.peer_link import PeerMessage
from quaymill.connection.store_messages import SharedObject

# Gateway to storage node.


LEASE_S = 2.5
"""Duration of a coordinator's lease on a job at a storage node, from each renewal."""


class StoreJob(PeerMessage, frozen=True):
    """Store a job; answered by ``JobStored`` once it is on disk."""

    repeatable: ClassVar[bool] = True

    job: Job
    coordinator: str


class JobStored(PeerMessage, frozen=True):
    """The job is on disk.

    Attributes
    ----------
    coordinator
        Coordinator of the job according to this node: the sender, unless another was first.
    """

    coordinator: str
    ended: bool = False


class ResultKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one version of an item's result by the digest of its content."""

    index: int
    digest: str


class KeyedResult(msgspec.Struct, frozen=True, array_like=True):
    """A result with its key."""

    key: ResultKey
    result: JobResult


class StoreResults(PeerMessage, frozen=True):
    """Store results; answered by ``ResultsStored`` once they are on disk."""

    repeatable: ClassVar[bool] = True

    job_id: str
    results: tuple[KeyedResult, ...]


class ResultsStored(PeerMessage, frozen=True):
    """The results are on disk."""


class FetchResults(PeerMessage, frozen=True):
    """Request stored results."""

    repeatable: ClassVar[bool] = True

    job_id: str
    keys: tuple[ResultKey, ...]


class FetchedResults(PeerMessage, frozen=True):
    """The requested results that the node has."""

    results: tuple[KeyedResult, ...]


class ItemProgress(msgspec.Struct, frozen=True, array_like=True):
    """The partial result of an unfinished item.

    Attributes
    ----------
    last_event_id, texts
        Id of the last event received, and the data of all events received from ``first`` on.
    failures
        Number of runs that a replica answered with an error.
    first
        Number of events before ``texts``; 0 if all events are included.
    service, version
        Service and software version of the replicas that produced the events; ``version`` is
        ``None`` if it is not known, as from an older build.
    """

    index: int
    last_event_id: str | None
    texts: tuple[str, ...]
    failures: int = 0
    first: int = 0
    service: str = ""
    version: str | None = None

    def extended_by(self, later: ItemProgress) -> ItemProgress:
        """Return this progress extended by ``later``; unchanged if ``later`` does not follow it."""
        if later.first != self.first + len(self.texts):
            return self
        texts = self.texts + later.texts
        failures = max(self.failures, later.failures)
        return msgspec.structs.replace(later, texts=texts, failures=failures, first=self.first)


class StoreProgress(PeerMessage, frozen=True):
    """Store partial results of a job's items; answered by ``ProgressStored``.

    They are stored at one storage node only. A gateway that adopts the job continues from them if
    that node still has them.

    Attributes
    ----------
    lineage
        Id of the sequence of texts that ``progress`` belongs to. Only parts of the same lineage may
        be joined, since two coordinators may have resumed an item at different events.
    """

    repeatable: ClassVar[bool] = True

    job_id: str
    lineage: str
    progress: tuple[ItemProgress, ...]


class ProgressStored(PeerMessage, frozen=True):
    """The progress is on disk."""


class FindJob(PeerMessage, frozen=True):
    """Request a job.

    Attributes
    ----------
    whole
        Whether to return the items too.
    """

    repeatable: ClassVar[bool] = True

    job_id: str
    whole: bool = False


class JobFound(PeerMessage, frozen=True):
    """The node has the job.

    Attributes
    ----------
    total
        Number of items in the job.
    job
        The job, if ``FindJob.whole`` was set.
    """

    coordinator: str
    ended: bool
    total: int
    job: Job | None = None


class JobUnknown(PeerMessage, frozen=True):
    """The node does not have the job."""


class FetchBody(PeerMessage, frozen=True):
    """Request the body of one item."""

    repeatable: ClassVar[bool] = True

    job_id: str
    item_id: str


class FetchedBody(PeerMessage, frozen=True):
    """The body; ``None`` if the job has no such item."""

    body: bytes | None


class EndJob(PeerMessage, frozen=True):
    """Mark a job as ended; answered by ``JobEnded`` once the mark is on disk."""

    repeatable: ClassVar[bool] = True

    job_id: str


class JobEnded(PeerMessage, frozen=True):
    """The mark is on disk.

    Attributes
    ----------
    coordinator
        Coordinator of the job according to this node; empty if it knows none.
    """

    coordinator: str


class HandedOverJob(msgspec.Struct, frozen=True, array_like=True):
    """A job and its new coordinator."""

    job_id: str
    successor: str


class ListedItems(msgspec.Struct, frozen=True, array_like=True):
    """The items of a job that are in the listing, as far as its coordinator knows.

    Attributes
    ----------
    listed
        Bit mask over the indexes of the items, in hexadecimal.
    """

    job_id: str
    listed: str


class RenewJobs(PeerMessage, frozen=True):
    """Renew the leases of a coordinator, and compare its listings with the stored results.

    Attributes
    ----------
    open_jobs
        Jobs that the coordinator runs.
    complete_jobs
        Jobs whose items are all in the listing.
    released_jobs
        Jobs that the coordinator gives up; other gateways may adopt them at once.
    handed_over_jobs
        Jobs that the coordinator has handed over to another one.
    orders
        Listed items of every open job, including jobs without a lease at the receiving node.
    """

    repeatable: ClassVar[bool] = True

    coordinator: str
    open_jobs: tuple[str, ...]
    complete_jobs: tuple[str, ...] = ()
    released_jobs: tuple[str, ...] = ()
    handed_over_jobs: tuple[HandedOverJob, ...] = ()
    orders: tuple[ListedItems, ...] = ()


class JobsRenewed(PeerMessage, frozen=True):
    """Answer to ``RenewJobs``.

    Attributes
    ----------
    ended_jobs
        Jobs of the coordinator that are marked as ended.
    taken_jobs
        Jobs of the coordinator whose lease another coordinator has.
    confirmed_jobs
        Jobs for which the node has no results other than those listed in ``RenewJobs.orders``.
        For the other jobs, another gateway may have listed more.
    """

    ended_jobs: tuple[str, ...] = ()
    taken_jobs: tuple[str, ...] = ()
    confirmed_jobs: tuple[str, ...] = ()


# Storage node to gateway.


class AdoptJob(PeerMessage, frozen=True):
    """Run a job whose coordinator has stopped, continuing from its stored progress."""

    repeatable: ClassVar[bool] = True

    job: Job
    progress: tuple[ItemProgress, ...] = ()


class JobAdopted(PeerMessage, frozen=True):
    """The job is adopted; ``coordinator`` is the process that runs it now."""

    coordinator: str


# Gateway to gateway.


class HandOverJob(PeerMessage, frozen=True):
    """Take over a job from a coordinator that is stopping.

    Attributes
    ----------
    unlisted
        Results that are not in the listing yet.
    order
        The last listing that the coordinator has read or written; ``None`` if there is none.
    """

    repeatable: ClassVar[bool] = True

    job: Job
    progress: tuple[ItemProgress, ...]
    unlisted: tuple[KeyedResult, ...] = ()
    order: SharedObject | None = None


class SubmitJob(PeerMessage, frozen=True):
    """Accept a job for a gateway that cannot reach storage nodes; answered by ``JobSubmitted``."""

    repeatable: ClassVar[bool] = True

    job: Job


class JobSubmitted(PeerMessage, frozen=True):
    """Whether the job is accepted.

    Attributes
    ----------
    may_run
        Whether some of its items may run although it is not accepted.
    """

    accepted: bool
    reason: str = ""
    may_run: bool = False


class ReadResults(PeerMessage, frozen=True):
    """Request results from the coordinator, starting at the position ``since``."""

    job_id: str
    since: int
    wait_s: float


class ResultsPage(PeerMessage, frozen=True):
    """Results from the requested position on.

    Attributes
    ----------
    following
        Position after the last of these results.
    """

    total: int
    results: tuple[JobResult, ...]
    following: int


class NotCoordinator(PeerMessage, frozen=True):
    """The gateway does not run the job, or cannot return its results now."""

    reason: str = ""


class StopJob(PeerMessage, frozen=True):
    """Notify the coordinator that a job was ended."""

    repeatable: ClassVar[bool] = True

    job_id: str


class JobStopped(PeerMessage, frozen=True):
    """The coordinator starts no more items of the job."""


# Storage node to storage node.


class CompareJobs(PeerMessage, frozen=True):
    """Request summaries of all jobs of a storage node.

    Attributes
    ----------
    digest
        The node's digest at the last comparison that left nothing missing at the sender; empty to
        request the summaries in any case.
    """

    repeatable: ClassVar[bool] = True

    digest: str


class JobSummary(msgspec.Struct, frozen=True, array_like=True):
    """What a storage node has stored for one job.

    Attributes
    ----------
    results_digest
        Digest of the set of stored results; 0 if there are none.
    lease_left_s
        Remaining time of the coordinator's lease at this node.
    """

    job_id: str
    results_digest: int
    ended: bool
    complete: bool
    coordinator: str
    lease_left_s: float


class JobSummaries(PeerMessage, frozen=True):
    """All jobs of a node; none if its digest is the one in the request."""

    digest: str
    jobs: tuple[JobSummary, ...]
    unchanged: bool = False


class FetchResultKeys(PeerMessage, frozen=True):
    """Request the keys of the results that a node has for a job."""

    repeatable: ClassVar[bool] = True

    job_id: str


class ResultKeys(PeerMessage, frozen=True):
    """Answer to ``FetchResultKeys``."""

    keys: tuple[ResultKey, ...]


class FetchLeases(PeerMessage, frozen=True):
    """Request the remaining times of the leases of jobs.

    Attributes
    ----------
    ended_holders
        For each job, its former coordinator if that process is known to have ended; else empty.
    """

    repeatable: ClassVar[bool] = True

    job_ids: tuple[str, ...]
    ended_holders: tuple[str, ...]


class Leases(PeerMessage, frozen=True):
    """State of the requested jobs at a storage node, in the requested order.

    Attributes
    ----------
    left_s
        Remaining time of each lease in seconds; 0 without a lease.
    ended
        Whether each job is known to have been ended by a client; empty from older builds.
    held
        Whether the node has each job; empty from older builds.
    """

    left_s: tuple[float, ...]
    ended: tuple[bool, ...] = ()
    held: tuple[bool, ...] = ()
