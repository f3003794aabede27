"""Reads the replicas' entries of a list, beside what other writers have left there."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from eliot import log_message

from quaymill.connection.object_store import Listing, StoredObject
from quaymill.connection.replica_entry import ReplicaEntry

UNREAD_KEPT_S = 3.6
"""How long a replica is kept whose entry has become unreadable: as long as one that writes no
entry, three heartbeats of about 1.2 s."""


class EntryReader:
    """Remembers when each replica's entry was last readable.

    A replica that lives writes its entry again within a heartbeat, over whatever another writer
    has left in its place. Until then its last good word holds.

    Parameters
    ----------
    read_replica
        Returns the entry of an object, or a value with a ``reason`` if it names no replica.
    last_word
        Returns what a listed replica last said of itself; ``None`` if it is not listed.
    """

    def __init__(
        self,
        read_replica: Callable[[StoredObject], ReplicaEntry | Any],
        last_word: Callable[[str], ReplicaEntry | None],
    ) -> None:
        self._read_replica = read_replica
        self._last_word = last_word
        self._read_at_by_id: dict[str, float] = {}
        self._told_by_name: dict[str, tuple[int, str]] = {}

    def read(self, listing: Listing, now: float) -> list[ReplicaEntry]:
        """Return the replicas of a list, for those whose entry is unreadable the last good word."""
        unreadable = [one.name for one in listing.unreadable]
        entries = []
        for stored in listing.objects:
            entry = self._read_replica(stored)
            if isinstance(entry, ReplicaEntry):
                entries.append(entry)
            else:
                unreadable.append(stored.name)
                self._tell(stored, entry.reason)
        self._told_by_name = {name: self._told_by_name.get(name, (0, "")) for name in unreadable}
        self._read_at_by_id |= dict.fromkeys((entry.id for entry in entries), now)
        return entries + self._kept(unreadable, now)

    def _kept(self, unreadable: list[str], now: float) -> list[ReplicaEntry]:
        """Return the last good words, of those entries that were readable not long ago."""
        self._read_at_by_id = {
            name: at for name, at in self._read_at_by_id.items() if now - at <= UNREAD_KEPT_S
        }
        words = (self._last_word(name) for name in unreadable if name in self._read_at_by_id)
        return [word for word in words if word is not None]

    def _tell(self, stored: StoredObject, reason: str) -> None:
        """Write a line for each revision of an object that names no replica."""
        if self._told_by_name.get(stored.name) != (stored.revision, reason):
            self._told_by_name[stored.name] = (stored.revision, reason)
            log_message("control:replica_unread", replica=stored.name, reason=reason)
