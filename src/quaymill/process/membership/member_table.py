"""One node's table of all members, and the rules by which records are merged into it.

Of two records of a member, the one with the higher incarnation wins. Within an incarnation, DEAD
overrides SUSPECT, and SUSPECT overrides ALIVE and DRAINING; generation and machine list version
only increase. Only the member itself raises its incarnation: when it starts, announces that it is
draining, or refutes a report about itself.
"""

from __future__ import annotations

import threading

import msgspec
import xxhash

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member, MemberState

BUCKETS = 16
DEAD_MEMBER_RETENTION_S = 1800.0
_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.DRAINING: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
}


class MemberTable:
    """The members by name; safe to use from any thread.

    Parameters
    ----------
    local
        Record of this node, the first in the table.
    """

    def __init__(self, local: Member) -> None:
        self._lock = threading.Lock()
        self._local_name = local.name
        self._members: dict[str, Member] = {local.name: local}
        self._suspect_since: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        self.revision = 0
        """Incremented with every change, so that a reader can detect changes."""

    def local(self) -> Member:
        """Return the record of this node."""
        return self._members[self._local_name]

    def get(self, name: str) -> Member | None:
        """Return the record of a member."""
        return self._members.get(name)

    def all(self) -> tuple[Member, ...]:
        """Return every member, this node and the dead included."""
        with self._lock:
            return tuple(self._members.values())

    def peers(self) -> tuple[Member, ...]:
        """Return every other member that is not marked as dead."""
        return tuple(
            member
            for member in self.all()
            if member.name != self._local_name and member.state is not MemberState.DEAD
        )

    def dead_for_s(self, name: str) -> float:
        """Return how long ago a member was marked as dead; 0 if it is not."""
        with self._lock:
            since = self._dead_since.get(name)
        return 0.0 if since is None else boot_clock.now() - since

    def dead(self) -> tuple[Member, ...]:
        """Return the members marked as dead."""
        return tuple(member for member in self.all() if member.state is MemberState.DEAD)

    def update_local(self, **fields: object) -> Member:
        """Change fields of the record of this node."""
        with self._lock:
            local = msgspec.structs.replace(self._members[self._local_name], **fields)
            self._members[self._local_name] = local
            self.revision += 1
            return local

    def merge(self, record: Member) -> Member | None:
        """Merge a received record; return the record to be spread, ``None`` if there is none."""
        with self._lock:
            if record.name == self._local_name:
                return self._refute(record)
            known = self._members.get(record.name)
            if known is not None and not _is_newer(record, known):
                self._raise_versions(known, record)
                return None
            if known is not None and record.incarnation == known.incarnation:
                record = _with_versions(record, known)
            self._store(record)
            return record

    def record_versions(
        self, name: str, incarnation: int, generation: int, machines: int, evacuations: int = 0
    ) -> None:
        """Record the versions that a member reports in a datagram."""
        with self._lock:
            known = self._members.get(name)
            if known is None or name == self._local_name or known.incarnation != incarnation:
                return
            if (generation, machines, evacuations) == _versions(known):
                return
            reported = msgspec.structs.replace(
                known,
                configuration_generation=generation,
                machine_list_version=machines,
                evacuations_revision=evacuations,
            )
            self._raise_versions(known, reported)

    def suspect(self, name: str) -> Member | None:
        """Mark a member as suspect; return its record if it was alive or draining until now."""
        known = self._members.get(name)
        if known is None or known.state not in (MemberState.ALIVE, MemberState.DRAINING):
            return None
        return self.merge(msgspec.structs.replace(known, state=MemberState.SUSPECT))

    def expire_suspects(self, suspicion_s: float) -> list[Member]:
        """Mark members as dead that were suspect for ``suspicion_s``; return their records."""
        deadline = boot_clock.now() - suspicion_s
        with self._lock:
            names = [name for name, since in self._suspect_since.items() if since <= deadline]
            newly_dead = []
            for name in names:
                record = msgspec.structs.replace(self._members[name], state=MemberState.DEAD)
                self._store(record)
                newly_dead.append(record)
        return newly_dead

    def postpone_suspicions(self, seconds: float) -> None:
        """Extend the time of every suspect, after this process itself was paused."""
        with self._lock:
            for name in self._suspect_since:
                self._suspect_since[name] += seconds

    def forget_dead(self) -> None:
        """Remove members that were marked as dead ``DEAD_MEMBER_RETENTION_S`` ago."""
        deadline = boot_clock.now() - DEAD_MEMBER_RETENTION_S
        with self._lock:
            for name in [name for name, since in self._dead_since.items() if since <= deadline]:
                del self._dead_since[name]
                del self._members[name]

    def endpoint_of(self, name: str) -> Endpoint | None:
        """Return a member's peer endpoint; ``None`` if the member is not known."""
        member = self._members.get(name)
        return member.peer if member else None

    def digests(self) -> tuple[int, ...]:
        """Return a digest for each bucket of names, over the members not marked as dead."""
        buckets = [0] * BUCKETS
        for member in self.all():
            if member.state is not MemberState.DEAD:
                buckets[_bucket_of(member.name)] ^= _digest_of(member)
        return tuple(buckets)

    def in_buckets(self, buckets: frozenset[int]) -> list[Member]:
        """Return the members, the dead included, whose names fall into ``buckets``."""
        return [member for member in self.all() if _bucket_of(member.name) in buckets]

    def _refute(self, record: Member) -> Member | None:
        """Refute a report about this node if necessary; the caller holds the lock.

        Returns the record to be spread, ``None`` if there is none.
        """
        local = self._members[self._local_name]
        reported_failed = record.state in (MemberState.SUSPECT, MemberState.DEAD)
        if record.incarnation < local.incarnation:
            # The report is about a former process of this node. Its sender may not know the current
            # process, so the current record is spread again.
            return local if reported_failed else None
        if record.incarnation == local.incarnation and not reported_failed:
            return None
        local = msgspec.structs.replace(local, incarnation=record.incarnation + 1)
        self._members[self._local_name] = local
        self.revision += 1
        return local

    def _raise_versions(self, known: Member, reported: Member) -> None:
        if reported.incarnation == known.incarnation:
            updated = _with_versions(known, reported)
            if updated != known:
                self._members[known.name] = updated
                self.revision += 1

    def _store(self, record: Member) -> None:
        """Store a record and when its state began; the caller holds the lock."""
        now = boot_clock.now()
        self._members[record.name] = record
        self.revision += 1
        if record.state is MemberState.SUSPECT:
            self._suspect_since.setdefault(record.name, now)
        else:
            self._suspect_since.pop(record.name, None)
        if record.state is MemberState.DEAD:
            self._dead_since.setdefault(record.name, now)
        else:
            self._dead_since.pop(record.name, None)


def _is_newer(record: Member, known: Member) -> bool:
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    return _PRECEDENCE[record.state] > _PRECEDENCE[known.state]


def _with_versions(record: Member, other: Member) -> Member:
    """Return ``record`` with the higher versions of two records of one incarnation."""
    generation = max(record.configuration_generation, other.configuration_generation)
    machines = max(record.machine_list_version, other.machine_list_version)
    evacuations = max(record.evacuations_revision, other.evacuations_revision)
    if (generation, machines, evacuations) == _versions(record):
        return record
    return msgspec.structs.replace(
        record,
        configuration_generation=generation,
        machine_list_version=machines,
        evacuations_revision=evacuations,
    )


def _versions(member: Member) -> tuple[int, int, int]:
    return (
        member.configuration_generation,
        member.machine_list_version,
        member.evacuations_revision,
    )


def _bucket_of(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS


def _digest_of(member: Member) -> int:
    identity = f"{member.name}\0{member.incarnation}\0{member.state}"
    return xxhash.xxh3_64_intdigest(identity.encode())
