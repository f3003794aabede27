"""Agreement on which storage nodes leave, kept in one object of the platform's store.

A node leaves only once its name is in the set of leaving nodes. Names are added by
compare-and-swap, so a node that adds its name has seen all others, and no two nodes can each rely
on the other to stay.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from eliot import log_message

from quaymill.connection.object_store import (
    Listing,
    ObjectKind,
    ObjectMissing,
    ObjectStore,
    StoredObject,
)

OBJECT_NAME = "storage"
MAX_CONFLICTS = 8
"""Number of conflicting writes after which a change is left for the next check."""


class _Document(msgspec.Struct, frozen=True):
    leaving: tuple[str, ...] = ()


class Departures:
    """The set of leaving storage nodes, as seen and changed by one node."""

    def __init__(self, name: str, store: ObjectStore) -> None:
        self._name = name
        self._store = store

    def leaving(self) -> frozenset[str] | None:
        """Return the names of the leaving nodes; ``None`` if the store does not tell."""
        found = self._read()
        return None if found is None else found[0]

    def join(self, may_leave: Callable[[frozenset[str]], bool]) -> frozenset[str] | None:
        """Add this node; return the leaving nodes with it, ``None`` if it was not added.

        Parameters
        ----------
        may_leave
            Called with the names of the nodes that are leaving already; returns whether this one
            may leave as well.
        """
        requested = self._store.list(ObjectKind.RETIREMENTS)
        if not isinstance(requested, Listing):
            return None
        # A machine that is no longer to be emptied may have been added again under its name.
        names = frozenset(stored.name for stored in requested.objects)

        def add(leaving: frozenset[str]) -> frozenset[str] | None:
            leaving &= names
            if self._name in leaving:
                return leaving
            return leaving | {self._name} if may_leave(leaving) else None

        return self._change(add)

    def withdraw(self) -> bool:
        """Remove this node; return whether it is removed."""
        return self._change(lambda leaving: leaving - {self._name}) is not None

    def _change(
        self, change: Callable[[frozenset[str]], frozenset[str] | None]
    ) -> frozenset[str] | None:
        """Replace the set by what ``change`` returns; return the new set if it is stored."""
        for _ in range(MAX_CONFLICTS):
            found = self._read()
            if found is None:
                return None
            leaving, revision = found
            changed = change(leaving)
            if changed is None or changed == leaving:
                return changed
            written = self._write(changed, revision)
            if isinstance(written, StoredObject):
                log_message("retirement:agreed", node=self._name, leaving=sorted(changed))
                return changed
        return None

    def _read(self) -> tuple[frozenset[str], int] | None:
        """Return the set and its revision, 0 if it is not stored; ``None`` if it is unknown."""
        found = self._store.get(ObjectKind.DEPARTURES, OBJECT_NAME)
        if isinstance(found, ObjectMissing):
            return frozenset(), 0
        if not isinstance(found, StoredObject):
            return None
        try:
            document = msgspec.convert(found.spec, _Document)
        except msgspec.ValidationError as error:
            log_message(
                "store:unread", object_kind="DEPARTURES", name=found.name, reason=str(error)
            )
            return None
        return frozenset(document.leaving), found.revision

    def _write(self, leaving: frozenset[str], revision: int) -> object:
        spec = msgspec.to_builtins(_Document(tuple(sorted(leaving))))
        if revision:
            return self._store.replace(ObjectKind.DEPARTURES, OBJECT_NAME, spec, revision)
        return self._store.create(ObjectKind.DEPARTURES, OBJECT_NAME, spec)
