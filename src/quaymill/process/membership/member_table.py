"""What one node knows of all members, and the rules by which news changes it.

Of two records of a member the one with the higher incarnation holds. Within an incarnation
DEAD goes before SUSPECT, and SUSPECT before ALIVE and DRAINING; generation and machine list
version only rise. A member alone raises its incarnation, to refute what is said of it.
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
        The record of this node, which is in the table from the start.
    """

    def __init__(self, local: Member) -> None:
        self._lock = threading.Lock()
        self._local_name = local.name
        self._members: dict[str, Member] = {local.name: local}
        self._suspect_since: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        self.revision = 0
        """Raised with every change, so that a reader can tell whether there was one."""

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
        """Return every other member that is not known as dead."""
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
        """Return the members known as dead."""
        return tuple(member for member in self.all() if member.state is MemberState.DEAD)

    def update_local(self, **fields: object) -> Member:
        """Change fields of the record of this node."""
        with self._lock:
            local = msgspec.structs.replace(self._members[self._local_name], **fields)
            self._members[self._local_name] = local
            self.revision += 1
            return local

    def merge(self, record: Member) -> Member | None:
        """Take news of a member; return its new record if it has to be passed on."""
        with self._lock:
            if record.name == self._local_name:
                return self._refute(record)
            known = self._members.get(record.name)
            if known is not None and not _is_newer(record, known):
                self._raise_versions(known, record)
                return None
            if known is not None and record.incarnation == known.incarnation:
                record = _with_versions(record, known)
            self._put(record)
            return record

    def record_versions(self, name: str, incarnation: int, generation: int, machines: int) -> None:
        """Take the versions that a member told in the head of a datagram."""
        with self._lock:
            known = self._members.get(name)
            if known is None or name == self._local_name or known.incarnation != incarnation:
                return
            if (generation, machines) == (
                known.configuration_generation,
                known.machine_list_version,
            ):
                return
            reported = msgspec.structs.replace(
                known, configuration_generation=generation, machine_list_version=machines
            )
            self._raise_versions(known, reported)

    def suspect(self, name: str) -> Member | None:
        """Mark an answerless member; return its record if the mark is new."""
        known = self._members.get(name)
        if known is None or known.state not in (MemberState.ALIVE, MemberState.DRAINING):
            return None
        return self.merge(msgspec.structs.replace(known, state=MemberState.SUSPECT))

    def expire_suspects(self, suspicion_s: float) -> list[Member]:
        """Mark as dead who has been suspect for ``suspicion_s``; return their records."""
        deadline = boot_clock.now() - suspicion_s
        with self._lock:
            names = [name for name, since in self._suspect_since.items() if since <= deadline]
            newly_dead = []
            for name in names:
                record = msgspec.structs.replace(self._members[name], state=MemberState.DEAD)
                self._put(record)
                newly_dead.append(record)
        return newly_dead

    def postpone_suspicions(self, seconds: float) -> None:
        """Give every suspect more time, after this process itself was paused."""
        with self._lock:
            for name in self._suspect_since:
                self._suspect_since[name] += seconds

    def forget_dead(self) -> None:
        """Drop members that have been dead for long."""
        deadline = boot_clock.now() - DEAD_MEMBER_RETENTION_S
        with self._lock:
            for name in [name for name, since in self._dead_since.items() if since <= deadline]:
                del self._dead_since[name]
                del self._members[name]

    def endpoint_of(self, name: str) -> Endpoint | None:
        """Return where a member is reached."""
        member = self._members.get(name)
        return member.peer if member else None

    def digests(self) -> tuple[int, ...]:
        """Return one digest for each bucket of names, of the members not known as dead."""
        buckets = [0] * BUCKETS
        for member in self.all():
            if member.state is not MemberState.DEAD:
                buckets[_bucket_of(member.name)] ^= _digest_of(member)
        return tuple(buckets)

    def in_buckets(self, buckets: frozenset[int]) -> list[Member]:
        """Return the members, the dead included, whose names fall into ``buckets``."""
        return [member for member in self.all() if _bucket_of(member.name) in buckets]

    def _refute(self, record: Member) -> Member | None:
        """Answer what is said of this node; the caller holds the lock."""
        local = self._members[self._local_name]
        reported_failed = record.state in (MemberState.SUSPECT, MemberState.DEAD)
        if record.incarnation < local.incarnation:
            # Said of a former process of this node: who says so does not know the present one.
            # Unanswered, a member that restarted stayed unknown to some for 10 s in 1 of 27 runs.
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

    def _put(self, record: Member) -> None:
        """Store a record and its times; the caller holds the lock."""
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
    if (generation, machines) == (record.configuration_generation, record.machine_list_version):
        return record
    return msgspec.structs.replace(
        record, configuration_generation=generation, machine_list_version=machines
    )


def _bucket_of(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS


def _digest_of(member: Member) -> int:
    identity = f"{member.name}\0{member.incarnation}\0{member.state}"
    return xxhash.xxh3_64_intdigest(identity.encode())
