"""The listing: the order of a job's results, kept in the platform's store by compare-and-swap.

There is one object for each job, and it is the only state about a job that gateways agree on.
A coordinator appends to the listing that it has read. After a conflict it appends to the newer
listing, without the items that are listed there already. After an unanswered write it reads the
listing to find out whether it was written.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Iterable

import attrs
import msgspec
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.job_document import ResultState
from quaymill.connection.job_storage_messages import ResultKey
from quaymill.connection.object_store import (
    ObjectKind,
    ObjectMissing,
    ObjectStore,
    RevisionConflict,
    StoredObject,
    StoreRefused,
    StoreUnanswered,
)
from quaymill.connection.store_messages import SharedObject


class ListedResult(msgspec.Struct, frozen=True, array_like=True):
    """An entry of a listing: the item, the digest of its result, and how the item ended."""

    index: int
    digest: str
    state: ResultState

    @property
    def key(self) -> ResultKey:
        """Key of the result's content on storage nodes."""
        return ResultKey(self.index, self.digest)


class ListingDocument(msgspec.Struct, frozen=True):
    """The stored document.

    Attributes
    ----------
    coordinator
        Name of the coordinator that wrote the listing last.
    total
        Number of items of the job.
    """

    coordinator: str
    total: int
    results: tuple[ListedResult, ...] = ()


@attrs.frozen
class Listing:
    """A listing at one revision; revision 0 if it is not stored yet."""

    document: ListingDocument
    revision: int = 0

    @property
    def indexes(self) -> frozenset[int]:
        """Indexes of the listed items."""
        return frozenset(result.index for result in self.document.results)

    def with_results(self, results: Iterable[ListedResult], coordinator: str) -> Listing:
        """Append those results whose items are not listed yet; return the new listing."""
        listed = self.indexes
        added = tuple(result for result in results if result.index not in listed)
        document = ListingDocument(coordinator, self.document.total, self.document.results + added)
        return Listing(document, self.revision)


@attrs.frozen
class ListingUnknown:
    """The listing could not be read from or written to the store."""

    reason: str


class JobListings:
    """Reads and writes listings in the platform's store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def read(self, job_id: str) -> Listing | None | ListingUnknown:
        """Return the stored listing; ``None`` if there is none."""
        found = self._store.get(ObjectKind.JOB_LISTINGS, job_id)
        if isinstance(found, ObjectMissing):
            return None
        if isinstance(found, StoreRefused | StoreUnanswered):
            return ListingUnknown(found.reason)
        return _decode_listing(found)

    def read_until(self, job_id: str, deadline: float) -> Listing | None | ListingUnknown:
        """Return the stored listing as ``read`` does, at the latest at ``deadline``.

        Calls to the store have timeouts of their own, which may be longer than a caller waits.
        """
        answers: queue.SimpleQueue[Listing | None | ListingUnknown] = queue.SimpleQueue()

        def read() -> None:
            answers.put(self.read(job_id))

        threading.Thread(target=read, name="read-listing", daemon=True).start()
        try:
            return answers.get(timeout=max(0.0, deadline - boot_clock.now()))
        except queue.Empty:
            return ListingUnknown("the store did not answer in time")

    def write(self, job_id: str, listing: Listing) -> Listing | ListingUnknown:
        """Write a listing on top of the revision at which it was read.

        Returns
        -------
        The listing stored afterwards: the given one, or after a conflict that of another writer.
        """
        spec = msgspec.to_builtins(listing.document)
        if listing.revision:
            written = self._store.replace(ObjectKind.JOB_LISTINGS, job_id, spec, listing.revision)
        else:
            written = self._store.create(ObjectKind.JOB_LISTINGS, job_id, spec)
        if isinstance(written, StoredObject):
            return _decode_listing(written)
        if isinstance(written, RevisionConflict) and written.object is not None:
            return _decode_listing(written.object)
        if isinstance(written, StoreRefused):
            return ListingUnknown(written.reason)
        # Not answered, or a conflict without the stored object: read to find out. A write that is
        # still in progress expects the old revision, so it fails after a later write.
        found = self.read(job_id)
        if found is None:
            return ListingUnknown("the listing was not written")
        return found

    def delete(self, job_id: str) -> None:
        """Delete the listing of a job."""
        self._store.delete(ObjectKind.JOB_LISTINGS, job_id)


def shared_listing(job_id: str, listing: Listing) -> SharedObject | None:
    """Return a listing as sent to another coordinator; ``None`` if it was never stored."""
    if not listing.revision:
        return None
    return SharedObject(job_id, listing.revision, msgspec.to_builtins(listing.document))


def read_shared_listing(shared: SharedObject | None) -> Listing | None:
    """Return a listing received from another coordinator; ``None`` if there is none."""
    if shared is None:
        return None
    listing = _decode_listing(StoredObject(shared.name, shared.revision, shared.spec))
    return listing if isinstance(listing, Listing) else None


def _decode_listing(stored: StoredObject) -> Listing | ListingUnknown:
    """Decode a stored listing; an object of another format counts as unknown."""
    try:
        document = msgspec.convert(stored.spec, ListingDocument)
    except msgspec.ValidationError as error:
        log_message("store:unread", object_kind="JOB_LISTINGS", name=stored.name, reason=str(error))
        return ListingUnknown(f"the listing cannot be decoded: {error}")
    return Listing(document, stored.revision)
