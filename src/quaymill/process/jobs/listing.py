"""The order of a job's results, agreed on by compare-and-swap in the platform's store.

There is one object for each job. This is the only agreement about a job. Whoever appends does
so to the listing that it has read; an append that was overtaken is made again on the newer
listing, without what is listed already. What an unanswered write became is found by reading.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import msgspec
from eliot import log_message

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
    """One position: which item, which content, and how the item ended."""

    index: int
    digest: str
    state: ResultState

    @property
    def key(self) -> ResultKey:
        """Names the content."""
        return ResultKey(self.index, self.digest)


class ListingDocument(msgspec.Struct, frozen=True):
    """What is stored.

    Attributes
    ----------
    coordinator
        Who runs the job: the last one that took it over.
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
        """Items that are listed."""
        return frozenset(result.index for result in self.document.results)

    def with_results(self, results: Iterable[ListedResult], coordinator: str) -> Listing:
        """Return the listing with results appended, those listed already left out."""
        listed = self.indexes
        added = tuple(result for result in results if result.index not in listed)
        document = ListingDocument(coordinator, self.document.total, self.document.results + added)
        return Listing(document, self.revision)


@attrs.frozen
class ListingUnknown:
    """The store could not be asked."""

    reason: str


class JobListings:
    """Reads and writes listings."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def read(self, job_id: str) -> Listing | None | ListingUnknown:
        """Return the listing as it stands; ``None`` if there is none."""
        found = self._store.get(ObjectKind.JOB_LISTINGS, job_id)
        if isinstance(found, ObjectMissing):
            return None
        if isinstance(found, StoreRefused | StoreUnanswered):
            return ListingUnknown(found.reason)
        return _listing(found)

    def write(self, job_id: str, listing: Listing) -> Listing | ListingUnknown:
        """Write a listing over the revision it was read at.

        Returns
        -------
        The listing that stands afterwards: the one given, or another's if that was first.
        """
        spec = msgspec.to_builtins(listing.document)
        if listing.revision:
            written = self._store.replace(ObjectKind.JOB_LISTINGS, job_id, spec, listing.revision)
        else:
            written = self._store.create(ObjectKind.JOB_LISTINGS, job_id, spec)
        if isinstance(written, StoredObject):
            return _listing(written)
        if isinstance(written, RevisionConflict) and written.object is not None:
            return _listing(written.object)
        if isinstance(written, StoreRefused):
            return ListingUnknown(written.reason)
        # Not answered, or a conflict that does not tell with what: only reading tells. A write
        # that is still under way is bound to the revision, and loses against a later one.
        found = self.read(job_id)
        if found is None:
            return ListingUnknown("the listing was not written")
        return found

    def delete(self, job_id: str) -> None:
        """Remove a listing that nobody reads any more."""
        self._store.delete(ObjectKind.JOB_LISTINGS, job_id)


def told_order(job_id: str, listing: Listing) -> SharedObject | None:
    """Return a listing as another coordinator is told it; ``None`` if it is not known here."""
    if not listing.revision:
        return None
    return SharedObject(job_id, listing.revision, msgspec.to_builtins(listing.document))


def read_told_order(told: SharedObject | None) -> Listing | None:
    """Return a listing that another coordinator told; ``None`` if it told none."""
    if told is None:
        return None
    listing = _listing(StoredObject(told.name, told.revision, told.spec))
    return listing if isinstance(listing, Listing) else None


def _listing(stored: StoredObject) -> Listing | ListingUnknown:
    """Return a stored listing; what another writer left in its place tells nothing of the order."""
    try:
        document = msgspec.convert(stored.spec, ListingDocument)
    except msgspec.ValidationError as error:
        log_message("store:unread", object_kind="JOB_LISTINGS", name=stored.name, reason=str(error))
        return ListingUnknown(f"the listing cannot be read: {error}")
    return Listing(document, stored.revision)
