"""The platform's object store as the product sees it: typed calls, results and failures.

The calls themselves are made by an adapter. Failures are of two kinds that are never mixed:
``StoreRefused`` says that nothing was done, ``StoreUnanswered`` that the call may have been
done, or may yet be done while its condition holds.
"""

from __future__ import annotations

import enum
from typing import Any, Protocol

import attrs


class ObjectKind(enum.Enum):
    """Kinds of objects that the product reads or writes."""

    CONFIGURATION = enum.auto()
    REPLICAS = enum.auto()
    RETIREMENTS = enum.auto()
    NODES = enum.auto()
    JOB_LISTINGS = enum.auto()
    QUOTA_LEDGERS = enum.auto()
    BARRED_REQUESTS = enum.auto()


@attrs.frozen
class StoredObject:
    """One object, at one revision; ``spec`` and ``status`` are plain JSON values."""

    name: str
    revision: int
    spec: Any
    status: Any = None
    deleting: bool = False


@attrs.frozen
class UnreadObject:
    """An object that is not of a form in which anything is stored here.

    Attributes
    ----------
    name
        Empty if not even that can be read.
    """

    name: str
    reason: str


@attrs.frozen
class ObjectChange:
    """One event of a watch."""

    object: StoredObject
    gone: bool


@attrs.frozen
class Listing:
    """All objects of a kind, at one revision of the store.

    Attributes
    ----------
    unread
        Those that were left out.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    unread: tuple[UnreadObject, ...] = ()


@attrs.frozen
class Changes:
    """What a watch brought; it goes on from ``revision``.

    Attributes
    ----------
    unread
        Objects that have changed and were left out.
    """

    changes: tuple[ObjectChange, ...]
    revision: int
    unread: tuple[UnreadObject, ...] = ()


@attrs.frozen
class HistoryGone:
    """The store no longer knows what happened since the revision asked for."""


@attrs.frozen
class ObjectMissing:
    """There is no such object."""


@attrs.frozen
class RevisionConflict:
    """The condition of a write did not hold; ``object`` is what stands now, if told."""

    object: StoredObject | None = None


@attrs.frozen
class StoreRefused:
    """Nothing was done: the store was not reached, or it turned the call away.

    Attributes
    ----------
    retry_after_s
        Time after which it is worth trying again; 0 where that is not known.
    """

    reason: str
    retry_after_s: float = 0.0


@attrs.frozen
class CallRejected(StoreRefused):
    """The store answers, and will not take this call however often it is made."""


@attrs.frozen
class StoreUnanswered:
    """The call was sent and not answered; it may have been done, or may yet be."""

    reason: str


@attrs.frozen
class ObjectUnreadable(StoreUnanswered):
    """The object is there, and cannot be read: nobody knows what it should say."""


StoreFailure = StoreRefused | StoreUnanswered
WriteResult = StoredObject | RevisionConflict | ObjectMissing | StoreRefused | StoreUnanswered


def store_is_away(result: object) -> bool:
    """Return whether the store did not serve a call, so that another try may succeed.

    What it rejects, or holds in a form that cannot be read, is so for everybody.
    """
    if isinstance(result, CallRejected | ObjectUnreadable):
        return False
    return isinstance(result, StoreRefused | StoreUnanswered)


class ObjectStore(Protocol):
    """Calls of the store; each is bounded in time by the adapter."""

    def list(self, kind: ObjectKind) -> Listing | StoreFailure:
        """Return all objects of a kind."""

    def get(
        self, kind: ObjectKind, name: str, *, may_be_old: bool = False
    ) -> StoredObject | ObjectMissing | StoreFailure:
        """Return one object; with ``may_be_old`` as it was some seconds ago, at a lower price."""

    def watch(
        self, kind: ObjectKind, revision: int, wait_s: float
    ) -> Changes | HistoryGone | StoreFailure:
        """Wait up to ``wait_s`` for changes after ``revision``."""

    def create(self, kind: ObjectKind, name: str, spec: Any) -> WriteResult:
        """Make an object; a conflict if it exists."""

    def replace(self, kind: ObjectKind, name: str, spec: Any, revision: int) -> WriteResult:
        """Replace an object's ``spec`` if ``revision`` is still the object's."""

    def replace_status(
        self, kind: ObjectKind, name: str, status: Any, revision: int
    ) -> WriteResult:
        """Replace an object's ``status`` if ``revision`` is still the object's."""

    def delete(self, kind: ObjectKind, name: str) -> WriteResult:
        """Remove an object."""
