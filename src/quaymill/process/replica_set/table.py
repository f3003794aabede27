"""Table of the replicas by identity and by service, kept in line with the platform's list.

Lists come from the store and from other gateways, whose knowledge may be older than what is known
here. Each entry has the revision at which it was written: one that is older than the entry known
here, or than a list in which the replica was missing, is outdated and does not bring it back.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.connection.stream_messages import ServiceVersion
from quaymill.process.regions import ONE_REGION, RegionMap
from quaymill.process.replica_set.cold_start import ColdRuleOf, no_cold_rule
from quaymill.process.replica_set.replica import Replica
from quaymill.request.stream_version import StreamVersion

DEPARTED_RETENTION_S = 30.0
"""How long a replica stays in the table after the platform has removed it from its list."""
STORE_SOURCE = "store"
"""Source of a list that this gateway has read itself, in the log."""
EXPIRY_SOURCE = "expiry"
"""Source of a departure that no list has told: an entry did not return after an outage."""


@attrs.frozen
class _Origin:
    """Where a list of replicas comes from: its source, and its revision in the platform's store."""

    source: str
    revision: int

    def log_change(self, event: str, entry: ReplicaEntry, **fields: Any) -> None:
        """Log a change of a replica that this list makes known."""
        log_message(
            event,
            replica=entry.id,
            service=entry.service,
            source=self.source,
            revision=self.revision,
            **fields,
        )


class ReplicaTable:
    """Replicas that are listed, and for a while those that have departed.

    Parameters
    ----------
    on_departed
        Called with each replica that is no longer listed or has started again.
    is_unreachable
        Returns whether a zone is unreachable now.
    is_evacuated
        Returns whether no new request may be sent to replicas in a zone.
    regions
        Regions of the deployment's zones.
    cold_rule_of
        Returns how cold replicas of a service are used; ``None`` if the service declares nothing.
    """

    def __init__(
        self,
        on_departed: Callable[[Replica], None] = lambda replica: None,
        is_unreachable: Callable[[str], bool] = lambda zone: False,
        is_evacuated: Callable[[str], bool] = lambda zone: False,
        regions: RegionMap = ONE_REGION,
        cold_rule_of: ColdRuleOf = no_cold_rule,
    ) -> None:
        self._on_departed = on_departed
        self._is_unreachable = is_unreachable
        self._is_evacuated = is_evacuated
        self._regions = regions
        self._cold_rule_of = cold_rule_of
        self._lock = threading.Lock()
        self._by_id: dict[str, Replica] = {}
        self._by_service: dict[str, tuple[Replica, ...]] = {}
        self._last_list_revision = 0
        self.revision = 0
        """Revision of the platform's store at which the table last changed."""

    def of_service(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of a service, departed ones included."""
        return self._by_service.get(service, ())

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has replicas, and all usable ones are in evacuated zones."""
        usable = [replica for replica in self.of_service(service) if not replica.departing]
        return bool(usable) and all(replica.evacuated for replica in usable)

    def has_cold_rule(self, service: str) -> bool:
        """Return whether a service declares how many requests its cold replicas can handle."""
        return self._cold_rule_of(service) is not None

    def serves_version(self, version: StreamVersion) -> bool:
        """Return whether a replica that gets requests may go on with a stream of a version."""
        return any(
            version.may_resume_at(replica.entry) and not replica.leaving
            for replica in self.of_service(version.service)
        )

    def served_versions(self) -> tuple[ServiceVersion, ...]:
        """Return the software versions of each service, those of departed replicas included."""
        now = boot_clock.now()
        age_by_version: dict[tuple[str, str | None], float] = {}
        for replica in list(self._by_id.values()):
            key = (replica.entry.service, replica.entry.version)
            age_s = 0.0 if replica.departed_at is None else now - replica.departed_at
            age_by_version[key] = min(age_s, age_by_version.get(key, age_s))
        return tuple(ServiceVersion(*key, age_s) for key, age_s in age_by_version.items())

    def get(self, replica_id: str) -> Replica | None:
        """Return a replica by its identity."""
        return self._by_id.get(replica_id)

    def listed_entry(self, replica_id: str) -> ReplicaEntry | None:
        """Return the entry of a replica; ``None`` if it is not listed."""
        replica = self._by_id.get(replica_id)
        return None if replica is None or replica.departed_at is not None else replica.entry

    def replicas(self) -> tuple[Replica, ...]:
        """Return all replicas, departed ones included."""
        return tuple(self._by_id.values())

    def count(self, predicate: Callable[[Replica], bool]) -> int:
        """Return the number of replicas for which ``predicate`` is true."""
        return sum(1 for replica in list(self._by_id.values()) if predicate(replica))

    def entries(self) -> tuple[ReplicaEntry, ...]:
        """Return the entries of all listed replicas."""
        return tuple(
            replica.entry for replica in self._by_id.values() if replica.departed_at is None
        )

    def shared_entries(self) -> tuple[ReplicaEntry, ...]:
        """Return the entries of all listed replicas with the remaining warm-up times as of now.

        Those that are only presumed to be alive are left out: another gateway may know better.
        """
        return tuple(
            replica.shared_entry() for replica in list(self._by_id.values()) if _is_listed(replica)
        )

    def lacks_any(self, entries: Iterable[ReplicaEntry]) -> bool:
        """Return whether replicas that are used here are missing in ``entries``."""
        listed = {entry.id for entry in entries}
        return any(entry.id not in listed for entry in self.entries())

    @property
    def has_several_regions(self) -> bool:
        """Whether the deployment spans several regions."""
        return self._regions.has_several

    def replace_all(
        self,
        entries: Iterable[ReplicaEntry],
        revision: int,
        *,
        keep_missing: bool = False,
        from_peer: bool = False,
        source: str = STORE_SOURCE,
    ) -> int:
        """Replace the listed replicas by the platform's list at ``revision``.

        The revision of the table increases only when its content changes, so that gateways with
        the same replicas do not exchange them. A list that is older than the last one is ignored.
        If the revision of the ignored list is above that of the table, another gateway would keep
        sending it, so the revision of the table is raised to that of the last list.

        Parameters
        ----------
        keep_missing
            Keep the replicas that are missing in ``entries``, as entries that expired during an
            outage of the store may return.
        from_peer
            Another gateway sent the list, which may hold outdated entries. The remaining warm-up
            times are what that gateway knows.
        source
            Where the list comes from, for the log.

        Returns
        -------
        Number of replicas that are missing in ``entries`` and were kept.
        """
        with self._lock:
            if revision < self._last_list_revision:
                if revision > self.revision:
                    self.revision = self._last_list_revision
                return 0
            origin = _Origin(source, revision)
            if from_peer:
                entries = self._without_outdated(entries, origin)
            self._last_list_revision = revision
            listed = {entry.id: self._with_known_version(entry) for entry in entries}
            missing = [
                replica
                for replica in self._by_id.values()
                if replica.departed_at is None and replica.id not in listed
            ]
            kept = len(missing) if keep_missing else 0
            warm_up_changed = self._record_warm_ups(listed, from_peer=from_peer)
            self._record_revisions(listed.values())
            some_depart = len(missing) > kept
            if self.revision and not (
                some_depart or warm_up_changed or listed != self._listed_by_id()
            ):
                return kept
            for entry in listed.values():
                self._update_entry(entry, origin)
            for replica in missing:
                if keep_missing:
                    replica.presumed = True
                else:
                    self._mark_departed(replica, origin)
            self._rebuild(revision)
            return kept

    def replace_from_peer(
        self,
        entries: Iterable[ReplicaEntry],
        revision: int,
        peer: str = "",
        *,
        keep_missing: bool = False,
    ) -> int:
        """Replace the listed replicas by the list of the gateway ``peer`` with a newer revision.

        The revision is raised even if the content is the same, for example after a replica
        departed and returned. Otherwise the same list would be requested again and again.

        Returns
        -------
        Number of replicas that are missing in ``entries`` and were kept.
        """
        kept = self.replace_all(
            entries, revision, keep_missing=keep_missing, from_peer=True, source=f"peer {peer}"
        )
        with self._lock:
            self.revision = max(self.revision, revision)
        return kept

    def drop_presumed(self) -> None:
        """Mark the replicas as departed whose entries have not returned after an outage."""
        with self._lock:
            presumed = [
                replica
                for replica in self._by_id.values()
                if replica.presumed and replica.departed_at is None
            ]
            for replica in presumed:
                self._mark_departed(replica, _Origin(EXPIRY_SOURCE, self._last_list_revision))

    def _without_outdated(
        self, entries: Iterable[ReplicaEntry], origin: _Origin
    ) -> list[ReplicaEntry]:
        """Return the entries of another gateway's list, without what is known to be outdated.

        An entry that is older than the one known here is replaced by that one. One that was
        written before a list in which its replica was missing is left out.
        """
        current = []
        for entry in entries:
            replica = self._by_id.get(entry.id)
            if replica is not None and _is_listed(replica):
                current.append(replica.entry if _is_outdated(entry, replica.entry) else entry)
            elif not 0 < entry.revision <= self._last_list_revision:
                current.append(entry)
            else:
                origin.log_change("replica:outdated_entry", entry)
        return current

    def _update_entry(self, entry: ReplicaEntry, origin: _Origin) -> None:
        replica = self._by_id.get(entry.id)
        if replica is None:
            self._by_id[entry.id] = self._create_replica(entry)
            origin.log_change("replica:listed", entry, zone=entry.zone, version=entry.version)
            return
        if not entry.is_same_start_as(replica.entry):
            origin.log_change("replica:started_again", entry)
            replica.departed_at = boot_clock.now()
            self._on_departed(replica)
            self._by_id[entry.id] = self._create_replica(entry)
            return
        if entry.draining and not replica.entry.draining:
            origin.log_change("replica:draining", entry)
        if replica.departed_at is not None:
            origin.log_change("replica:listed_again", entry)
        replica.record_entry(entry)
        replica.departed_at = None
        replica.presumed = False

    def _with_known_version(self, entry: ReplicaEntry) -> ReplicaEntry:
        """Return an entry with the version known before, if it lacks a valid one.

        A gateway of an older build passes entries on without their versions.
        """
        replica = self._by_id.get(entry.id)
        if entry.version is not None or replica is None:
            return entry
        if entry.started_ms != replica.entry.started_ms:
            return entry
        return attrs.evolve(entry, version=replica.entry.version)

    def _create_replica(self, entry: ReplicaEntry) -> Replica:
        return Replica(
            entry,
            self._is_unreachable,
            is_evacuated=self._is_evacuated,
            regions=self._regions,
            cold_rule_of=self._cold_rule_of,
        )

    def _record_warm_ups(self, listed: Mapping[str, ReplicaEntry], *, from_peer: bool) -> bool:
        """Record the warm-up times of replicas that stay listed; return whether any changes."""
        changed = False
        for entry in listed.values():
            replica = self._by_id.get(entry.id)
            if replica is not None and entry.is_same_start_as(replica.entry):
                changed |= replica.record_warm_up(entry, from_peer=from_peer)
        return changed

    def _listed_by_id(self) -> dict[str, ReplicaEntry]:
        return {
            replica.id: replica.entry for replica in self._by_id.values() if _is_listed(replica)
        }

    def _record_revisions(self, listed: Iterable[ReplicaEntry]) -> None:
        for entry in listed:
            replica = self._by_id.get(entry.id)
            if replica is not None and replica.entry == entry:
                replica.record_revision(entry.revision)

    def mark_zone_cold(self, zone: str) -> None:
        """Treat the replicas of a zone as cold, because its evacuation has ended."""
        for replica in self.replicas():
            if replica.zone == zone and replica.departed_at is None:
                replica.record_evacuation_ended()

    def _mark_departed(self, replica: Replica, origin: _Origin) -> None:
        if replica.departed_at is not None:
            return
        replica.departed_at = boot_clock.now()
        replica.presumed = False
        origin.log_change("replica:departed", replica.entry)
        self._on_departed(replica)

    def _rebuild(self, revision: int) -> None:
        self.revision = revision
        departed_before = boot_clock.now() - DEPARTED_RETENTION_S
        self._by_id = {
            replica_id: replica
            for replica_id, replica in self._by_id.items()
            if replica.departed_at is None or replica.departed_at > departed_before
        }
        by_service: dict[str, list[Replica]] = {}
        for replica in self._by_id.values():
            by_service.setdefault(replica.entry.service, []).append(replica)
        self._by_service = {service: tuple(found) for service, found in by_service.items()}


def _is_listed(replica: Replica) -> bool:
    """Return whether a replica is in the newest list known here, not only presumed to be alive."""
    return replica.departed_at is None and not replica.presumed


def _is_outdated(entry: ReplicaEntry, known: ReplicaEntry) -> bool:
    """Return whether an entry is older than the one known.

    Without a revision, as a gateway of an older build sends it, it is taken as newer, except that
    it does not end the draining of a replica.
    """
    if entry.revision and known.revision:
        return entry.revision < known.revision
    return known.draining and not entry.draining and entry.is_same_start_as(known)
