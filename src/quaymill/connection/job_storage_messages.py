"""Messages about batch jobs between gateways and storage nodes."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from quaymill.connection.job_document import Job, JobResult
from quaymill.connection.peer_link import PeerMessage
from quaymill.connection.store_messages import SharedObject

# Gateway to storage node.


LEASE_S = 2.5
"""How long a storage node takes a coordinator for alive after it has renewed."""


class StoreJob(PeerMessage, frozen=True):
    """Keep a job; answered by ``JobStored`` once it is on the disk."""

    repeatable: ClassVar[bool] = True

    job: Job
    coordinator: str


class JobStored(PeerMessage, frozen=True):
    """The job is on the disk.

    Attributes
    ----------
    coordinator
        Who runs the job, as this node knows it: the sender itself unless another was first.
    """

    coordinator: str
    ended: bool = False


class ResultKey(msgspec.Struct, frozen=True, array_like=True):
    """Names the content of one item's result."""

    index: int
    digest: str


class KeyedResult(msgspec.Struct, frozen=True, array_like=True):
    """A result with its key."""

    key: ResultKey
    result: JobResult


class StoreResults(PeerMessage, frozen=True):
    """Keep contents of results; answered by ``ResultsStored`` once they are on the disk."""

    repeatable: ClassVar[bool] = True

    job_id: str
    results: tuple[KeyedResult, ...]


class ResultsStored(PeerMessage, frozen=True):
    """The contents are on the disk."""


class FetchResults(PeerMessage, frozen=True):
    """Ask for contents of results."""

    repeatable: ClassVar[bool] = True

    job_id: str
    keys: tuple[ResultKey, ...]


class FetchedResults(PeerMessage, frozen=True):
    """Those of the contents that the node has."""

    results: tuple[KeyedResult, ...]


class ItemProgress(msgspec.Struct, frozen=True, array_like=True):
    """What is known of an item that is not finished.

    Attributes
    ----------
    last_event_id, texts
        The last event that came, and the data of all that came from ``first`` on.
    failures
        Runs that the replica answered with an error.
    first
        Events before these; 0 where all are told.
    """

    index: int
    last_event_id: str | None
    texts: tuple[str, ...]
    failures: int = 0
    first: int = 0

    def extended_by(self, later: ItemProgress) -> ItemProgress:
        """Return this progress with the next part of it; unchanged if that does not follow it."""
        if later.first != self.first + len(self.texts):
            return self
        texts = self.texts + later.texts
        failures = max(self.failures, later.failures)
        return ItemProgress(self.index, later.last_event_id, texts, failures, self.first)


class StoreProgress(PeerMessage, frozen=True):
    """Keep what runs of a job's items have brought so far; answered by ``ProgressStored``.

    It is kept at one storage node only: whoever adopts the job goes on from it if it is there.

    Attributes
    ----------
    lineage
        Names the texts that these parts belong to. Only parts of one lineage may be joined: a run
        continues exactly where it was asked to, and two coordinators asked at different events.
    """

    repeatable: ClassVar[bool] = True

    job_id: str
    lineage: str
    progress: tuple[ItemProgress, ...]


class ProgressStored(PeerMessage, frozen=True):
    """The progress is on the disk."""


class FindJob(PeerMessage, frozen=True):
    """Ask for a job.

    Attributes
    ----------
    whole
        Whether its items are wanted too.
    """

    repeatable: ClassVar[bool] = True

    job_id: str
    whole: bool = False


class JobFound(PeerMessage, frozen=True):
    """The node has the job.

    Attributes
    ----------
    total
        Number of items.
    job
        The job, if it was asked for whole.
    """

    coordinator: str
    ended: bool
    total: int
    job: Job | None = None


class JobUnknown(PeerMessage, frozen=True):
    """The node does not have the job."""


class FetchBody(PeerMessage, frozen=True):
    """Ask for the body of one item."""

    repeatable: ClassVar[bool] = True

    job_id: str
    item_id: str


class FetchedBody(PeerMessage, frozen=True):
    """The body; ``None`` if the job has no such item."""

    body: bytes | None


class EndJob(PeerMessage, frozen=True):
    """Mark a job as ended; answered by ``JobEnded`` once that is on the disk."""

    repeatable: ClassVar[bool] = True

    job_id: str


class JobEnded(PeerMessage, frozen=True):
    """The mark is on the disk."""

    coordinator: str


class HandedOverJob(msgspec.Struct, frozen=True, array_like=True):
    """A job, and who runs it from now on."""

    job_id: str
    successor: str


class KnownOrder(msgspec.Struct, frozen=True, array_like=True):
    """Which items of a job its coordinator knows to be listed.

    Attributes
    ----------
    listed
        Bit mask over the indexes of the items, in hexadecimal: 25 bytes for 100 items.
    """

    job_id: str
    listed: str


class RenewJobs(PeerMessage, frozen=True):
    """Renew the leases of a coordinator, and compare what it knows of the jobs' orders.

    Attributes
    ----------
    open_jobs
        Jobs that it runs.
    complete_jobs
        Jobs all of whose items are listed.
    released_jobs
        Jobs that it gives up; others may adopt them at once.
    handed_over_jobs
        Jobs that it has given to another coordinator.
    orders
        Of every open job, also of those whose lease the node does not keep.
    """

    repeatable: ClassVar[bool] = True

    coordinator: str
    open_jobs: tuple[str, ...]
    complete_jobs: tuple[str, ...] = ()
    released_jobs: tuple[str, ...] = ()
    handed_over_jobs: tuple[HandedOverJob, ...] = ()
    orders: tuple[KnownOrder, ...] = ()


class JobsRenewed(PeerMessage, frozen=True):
    """What the coordinator must know.

    Attributes
    ----------
    ended_jobs
        Those of its jobs that were ended.
    taken_jobs
        Those of its jobs whose lease another coordinator has.
    confirmed_jobs
        Those of its jobs of which the node has no result beyond the order that was told. Of the
        others somebody may have listed more.
    """

    ended_jobs: tuple[str, ...] = ()
    taken_jobs: tuple[str, ...] = ()
    confirmed_jobs: tuple[str, ...] = ()


# Storage node to gateway.


class AdoptJob(PeerMessage, frozen=True):
    """Run a job whose coordinator is gone, from what is known of its progress."""

    repeatable: ClassVar[bool] = True

    job: Job
    progress: tuple[ItemProgress, ...] = ()


class JobAdopted(PeerMessage, frozen=True):
    """Whether the gateway runs the job now, and under which name."""

    coordinator: str


# Gateway to gateway.


class HandOverJob(PeerMessage, frozen=True):
    """Take over a job from a coordinator that stops.

    Attributes
    ----------
    unlisted
        Results that are not listed yet.
    order
        The listing as the coordinator last knew it; ``None`` if it knew none.
    """

    repeatable: ClassVar[bool] = True

    job: Job
    progress: tuple[ItemProgress, ...]
    unlisted: tuple[KeyedResult, ...] = ()
    order: SharedObject | None = None


class SubmitJob(PeerMessage, frozen=True):
    """Accept a job for a gateway that storage nodes do not answer; answered by ``JobSubmitted``."""

    repeatable: ClassVar[bool] = True

    job: Job


class JobSubmitted(PeerMessage, frozen=True):
    """Whether the job is accepted.

    Attributes
    ----------
    may_run
        Whether a part of it may run although it is not accepted.
    """

    accepted: bool
    reason: str = ""
    may_run: bool = False


class ReadResults(PeerMessage, frozen=True):
    """Ask the coordinator for results from a position on."""

    job_id: str
    since: int
    wait_s: float


class ResultsPage(PeerMessage, frozen=True):
    """Results from the position asked for.

    Attributes
    ----------
    following
        Position after them.
    """

    total: int
    results: tuple[JobResult, ...]
    following: int


class NotCoordinator(PeerMessage, frozen=True):
    """The gateway does not run the job, or cannot tell the results now."""

    reason: str = ""


class StopJob(PeerMessage, frozen=True):
    """Tell the coordinator that a job was ended."""

    repeatable: ClassVar[bool] = True

    job_id: str


class JobStopped(PeerMessage, frozen=True):
    """The coordinator starts nothing more of the job."""


# Storage node to storage node.


class CompareJobs(PeerMessage, frozen=True):
    """Ask what a storage node holds; ``digest`` is what the asker saw there last."""

    repeatable: ClassVar[bool] = True

    digest: str


class JobSummary(msgspec.Struct, frozen=True, array_like=True):
    """What a node holds of one job.

    Attributes
    ----------
    results_digest
        Stands for the set of contents of results; 0 for none.
    lease_left_s
        How long the coordinator's lease still runs here.
    """

    job_id: str
    results_digest: int
    ended: bool
    complete: bool
    coordinator: str
    lease_left_s: float


class JobSummaries(PeerMessage, frozen=True):
    """All jobs of a node; none if the digest is still the same."""

    digest: str
    jobs: tuple[JobSummary, ...]
    unchanged: bool = False


class FetchResultKeys(PeerMessage, frozen=True):
    """Ask which contents of results a node holds for a job."""

    repeatable: ClassVar[bool] = True

    job_id: str


class ResultKeys(PeerMessage, frozen=True):
    """The keys."""

    keys: tuple[ResultKey, ...]


class FetchLeases(PeerMessage, frozen=True):
    """Ask how long the leases of jobs still run.

    Attributes
    ----------
    ended_holders
        For each job the process that had it, if that is known to have ended; else empty.
    """

    repeatable: ClassVar[bool] = True

    job_ids: tuple[str, ...]
    ended_holders: tuple[str, ...]


class Leases(PeerMessage, frozen=True):
    """The time left of each, in seconds, in the order asked; 0 if there is none."""

    left_s: tuple[float, ...]
