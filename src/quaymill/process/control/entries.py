"""Reads replica entries from a list that may also hold objects of other writers."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import attrs
from eliot import log_message

from quaymill.connection.object_store import Listing, StoredObject
from quaymill.connection.replica_entry import ReplicaEntry

UNREADABLE_KEPT_S = 3.6
"""Time for which a replica is kept after its entry became unreadable: three heartbeats of about
1.2 s, as for a replica that stops writing its entry."""


class EntryReader:
    """Parses replica entries, and keeps the last valid one while an entry is unreadable.

    Another writer may overwrite a replica's entry. A live replica writes it again within a
    heartbeat; until then its last valid entry stays in use, for ``UNREADABLE_KEPT_S`` at most.

    Parameters
    ----------
    read_replica
        Returns the entry of an object, or a value with a ``reason`` if it is no replica entry.
    last_entry
        Returns the last valid entry of a replica; ``None`` if the replica is not listed.
    uses_warm_up
        Returns whether the warm-up times of a service's replicas are used, so that invalid ones are
        logged.
    """

    def __init__(
        self,
        read_replica: Callable[[StoredObject], ReplicaEntry | Any],
        last_entry: Callable[[str], ReplicaEntry | None],
        uses_warm_up: Callable[[str], bool] = lambda service: True,
    ) -> None:
        self._uses_warm_up = uses_warm_up
        self._read_replica = read_replica
        self._last_entry = last_entry
        self._read_at_by_id: dict[str, float] = {}
        self._logged_by_name: dict[str, tuple[int, str]] = {}
        self._invalid_warm_up: set[str] = set()

    def read(self, listing: Listing, now: float) -> list[ReplicaEntry]:
        """Return the entries of a list, with recent valid ones in place of unreadable ones."""
        unreadable = [one.name for one in listing.unreadable]
        entries = []
        for stored in listing.objects:
            entry = self._read_replica(stored)
            if isinstance(entry, ReplicaEntry):
                entries.append(self._without_invalid_warm_up(entry))
            else:
                unreadable.append(stored.name)
                self._log_unreadable(stored, entry.reason)
        self._logged_by_name = {
            name: self._logged_by_name.get(name, (0, "")) for name in unreadable
        }
        self._read_at_by_id |= dict.fromkeys((entry.id for entry in entries), now)
        return entries + self._kept(unreadable, now)

    def _without_invalid_warm_up(self, entry: ReplicaEntry) -> ReplicaEntry:
        """Return an entry whose warm-up time is unknown if it states an invalid one."""
        if entry.cold_left_s is None or not math.isnan(entry.cold_left_s):
            self._invalid_warm_up.discard(entry.id)
            return entry
        if entry.id not in self._invalid_warm_up and self._uses_warm_up(entry.service):
            self._invalid_warm_up.add(entry.id)
            log_message("control:warm_up_invalid", replica=entry.id)
        return attrs.evolve(entry, cold_left_s=None)

    def _kept(self, unreadable: list[str], now: float) -> list[ReplicaEntry]:
        """Return the last valid entries of unreadable objects that were readable recently."""
        self._read_at_by_id = {
            name: at for name, at in self._read_at_by_id.items() if now - at <= UNREADABLE_KEPT_S
        }
        last_entries = (
            self._last_entry(name) for name in unreadable if name in self._read_at_by_id
        )
        return [entry for entry in last_entries if entry is not None]

    def _log_unreadable(self, stored: StoredObject, reason: str) -> None:
        """Log that an object is no replica entry, once for each revision and reason."""
        if self._logged_by_name.get(stored.name) != (stored.revision, reason):
            self._logged_by_name[stored.name] = (stored.revision, reason)
            log_message("control:replica_unread", replica=stored.name, reason=reason)
