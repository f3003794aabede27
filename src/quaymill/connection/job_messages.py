"""Messages of the job store: files, jobs, leases, completions and at-most-once calls.

Every node may receive them; a node that is not the leader of the group answers ``NotLeader``.
Any answer other than ``NotLeader``, ``StoreUnavailable`` or a refusal is sent only after the
change is committed on a majority of the group's disks.
"""

from __future__ import annotations

import enum

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.peer_link import PeerMessage


class JobState(enum.StrEnum):
    """States of a batch job, named as in OpenAI's batch API.

    IN_PROGRESS -> COMPLETED when every item has ended;
    IN_PROGRESS -> CANCELLED when the tenant cancels. Both of these states are final.
    """

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


class CompletionVerdict(enum.StrEnum):
    """How the job store handled a reported completion."""

    RECORDED = "recorded"
    ALREADY_COMPLETE = "already_complete"
    JOB_CANCELLED = "job_cancelled"
    RETRY_LATER = "retry_later"
    NO_SUCH_ITEM = "no_such_item"


class NotLeader(PeerMessage, frozen=True):
    """The answering node is not the leader of the group; ``leader`` may be."""

    leader: Endpoint | None = None


class StoreUnavailable(PeerMessage, frozen=True):
    """It is unknown whether the change was committed; retry with the same ids.

    Attributes
    ----------
    proposed
        Whether the change may be in the log; ``False`` if it certainly is not.
    """

    reason: str
    proposed: bool = True


class StoreConflict(PeerMessage, frozen=True):
    """The request contradicts what is stored; nothing was changed."""

    reason: str
    remedy: str


class Accepted(PeerMessage, frozen=True):
    """The change is committed; ``id`` names the file or job, which may have existed before."""

    id: str = ""


class Item(msgspec.Struct, frozen=True):
    """One batch item: a line of the input file, with its body unchanged."""

    index: int
    custom_id: str
    url: str
    body: msgspec.Raw


class CreateFile(PeerMessage, frozen=True):
    """Create a file. A retry with the same ``idempotency_key`` returns the existing file."""

    group: int
    file_id: str
    tenant: str
    name: str
    idempotency_key: str = ""


class AppendItems(PeerMessage, frozen=True):
    """Append one chunk of items; a chunk that is already stored is accepted and ignored."""

    group: int
    file_id: str
    chunk_index: int
    items: tuple[Item, ...]


class CommitFile(PeerMessage, frozen=True):
    """Seal a file; refused with a conflict if chunks are missing.

    ``digest`` (xxh128 of the raw bytes, hexadecimal) distinguishes a retry from a different file
    with the same idempotency key.
    """

    group: int
    file_id: str
    chunk_count: int
    item_count: int
    byte_count: int
    digest: str


class CreateJob(PeerMessage, frozen=True):
    """Create a job for a sealed file of the same group.

    Attributes
    ----------
    service
        Model or application that runs the items.
    deadline_unix_s
        Time by which the tenant needs the results; determines the order of a tenant's jobs.
    """

    group: int
    job_id: str
    file_id: str
    tenant: str
    endpoint: str
    service: str
    created_unix_s: float
    deadline_unix_s: float
    idempotency_key: str = ""
    metadata: dict[str, str] = {}


class GetJob(PeerMessage, frozen=True):
    """Request one job, as confirmed by a majority."""

    group: int
    job_id: str


class ListJobs(PeerMessage, frozen=True):
    """Request the jobs of a tenant, newest first."""

    group: int
    tenant: str
    limit: int = 100


class JobRecord(PeerMessage, frozen=True):
    """A stored job. ``failed`` is the number of items that ended with an error."""

    job_id: str
    file_id: str
    tenant: str
    endpoint: str
    service: str
    state: JobState
    created_unix_s: float
    deadline_unix_s: float
    total: int
    completed: int
    failed: int
    ended_unix_s: float | None = None
    metadata: dict[str, str] = {}


class JobList(PeerMessage, frozen=True):
    """Answer to ``ListJobs``."""

    jobs: tuple[JobRecord, ...]


class FileRecord(PeerMessage, frozen=True):
    """Answer to ``GetFile``.

    Attributes
    ----------
    first_item
        The first item of a sealed file. The gateway has checked that all items of the file are
        for the same service.
    """

    file_id: str
    tenant: str
    name: str
    sealed: bool
    item_count: int
    byte_count: int
    created_unix_s: float
    first_item: Item | None = None


class GetFile(PeerMessage, frozen=True):
    """Request one file, as confirmed by a majority."""

    group: int
    file_id: str


class CancelJob(PeerMessage, frozen=True):
    """Cancel a job; a job that has ended is unchanged. Answered by ``JobRecord``."""

    group: int
    job_id: str


class LeaseItems(PeerMessage, frozen=True):
    """Request up to ``count`` items of a service for ``worker``.

    Attributes
    ----------
    request_id
        Random id of this request, so that a retry after a lost answer returns the same items. The
        client of the job store sets it if it is empty.
    """

    group: int
    worker: str
    service: str
    count: int
    lease_s: float
    request_id: str = ""


class LeasedItem(msgspec.Struct, frozen=True):
    """An item and the number of the attempt that the worker reports."""

    job_id: str
    tenant: str
    attempt: int
    item: Item


class LeasedItems(PeerMessage, frozen=True):
    """Answer to ``LeaseItems``; empty if there are no items to run."""

    items: tuple[LeasedItem, ...]


class ItemRef(msgspec.Struct, frozen=True):
    """Identifies one attempt at one item."""

    job_id: str
    index: int
    attempt: int


class RenewLeases(PeerMessage, frozen=True):
    """Extend leases by ``lease_s``; the answer lists the items to stop."""

    group: int
    worker: str
    lease_s: float
    items: tuple[ItemRef, ...]


class RenewedLeases(PeerMessage, frozen=True):
    """Items to stop at once: the job was cancelled, or they are complete or leased again."""

    stop: tuple[ItemRef, ...]


class ReturnItems(PeerMessage, frozen=True):
    """Return leases of unfinished items, without counting a failed attempt."""

    group: int
    worker: str
    items: tuple[ItemRef, ...]


class ItemCompletion(msgspec.Struct, frozen=True):
    """The result of one attempt.

    Attributes
    ----------
    status
        HTTP status of the engine's or application's answer; 0 if there was none.
    response
        JSON body of the answer, unchanged.
    retryable
        Whether another attempt may succeed; limited by the maximum number of attempts.
    """

    ref: ItemRef
    status: int
    response: msgspec.Raw
    retryable: bool = False


class CompleteItems(PeerMessage, frozen=True):
    """Report the results of several attempts."""

    group: int
    worker: str
    completions: tuple[ItemCompletion, ...]


class CompletedItems(PeerMessage, frozen=True):
    """One verdict for each completion, in the order of the request."""

    verdicts: tuple[CompletionVerdict, ...]


class ReadResults(PeerMessage, frozen=True):
    """Request results of a job with index above ``after_index``, in the order of indexes.

    Attributes
    ----------
    failed
        Whether to return the items that ended with an error, instead of the successful ones.
    """

    group: int
    job_id: str
    after_index: int
    limit: int
    failed: bool = False


class ItemResult(msgspec.Struct, frozen=True):
    """The recorded result of one item."""

    index: int
    custom_id: str
    status: int
    response: msgspec.Raw


class ResultPage(PeerMessage, frozen=True):
    """Answer to ``ReadResults``; ``more`` is true if a further page may have results."""

    results: tuple[ItemResult, ...]
    more: bool
