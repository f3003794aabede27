"""One replica of one group: its role, its term, and what it does with the leader's entries.

Roles: FOLLOWER -> CANDIDATE when the leader is silent and a majority would vote;
CANDIDATE -> LEADER with a majority's votes; LEADER or CANDIDATE -> FOLLOWER when a higher
term is seen, and LEADER -> FOLLOWER when no majority has answered for a time. A replica
whose disk fails is STOPPED until its process starts anew.

Two locks, always taken in this order: ``storage.lock`` by whoever changes the log, term or
state tables, fsync included, and ``lock`` for the fields in memory, never held over a wait
for the disk, except for a vote.
"""

from __future__ import annotations

import enum
import sqlite3
import threading
from collections.abc import Callable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.log_messages import (
    Appended,
    AppendEntries,
    GroupMembership,
    LogEntry,
    ReplicaAddress,
    RequestVote,
    Vote,
)
from quaymill.connection.peer_link import PeerRefusal
from quaymill.process.job_store.commands import (
    COMMAND_DECODER,
    ChangeMembership,
    LoggedCommand,
)
from quaymill.process.job_store.log_storage import LogStorage
from quaymill.process.job_store.state_machine import Result, StateMachine
from quaymill.process.settings import LogSettings

MAX_READ_BYTES = 1024 * 1024
QUORUM_CONTACT_ELECTION_TIMEOUTS = 1.5


class Role(enum.StrEnum):
    """Roles of a replica; see the module's text for the transitions."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"


class Replica:
    """Role, term and log of one replica.

    Parameters
    ----------
    address
        Returns the current address of a replica, which may have moved since it was admitted.

    Attributes
    ----------
    lock
        Guards the fields below; notified whenever one of them changes.
    to_send, to_commit
        Conditions on the same lock: there is something for the peers, or for the thread that
        commits and applies. Apart, so that a message does not wake every thread.
    leader_contact_s
        Monotonic time at which the leader was last heard, or an election was last held.
    peer_contact_s
        On the leader: monotonic time at which the last answered request to a peer was sent.
    match_index
        On the leader: last index known to be on each peer's disk.
    kept_for_snapshots
        On the leader: last index of each snapshot under way; what follows must stay.
    read_wanted_s
        On the leader: monotonic time of the latest read that waits to be confirmed.
    term_start_index
        On the leader: index of the first entry of its term.
    """

    def __init__(
        self,
        group: int,
        storage: LogStorage,
        settings: LogSettings,
        address: Callable[[ReplicaAddress], Endpoint],
    ) -> None:
        self.group = group
        self.storage = storage
        self.settings = settings
        self.state = StateMachine(storage.connection)
        self.address = address
        self._mutex = threading.RLock()
        self.lock = threading.Condition(self._mutex)
        self.to_send = threading.Condition(self._mutex)
        self.to_commit = threading.Condition(self._mutex)
        self.role = Role.FOLLOWER
        self.term = storage.term
        self.leader = ""
        self.leader_contact_s = boot_clock.now()
        self.busy_with_leader = 0
        self.commit_index = storage.applied_index
        self.applied_index = storage.applied_index
        self.last_index = storage.last_index
        self.membership = storage.membership()
        self.match_index: dict[str, int] = {}
        self.peer_contact_s: dict[str, float] = {}
        self.term_start_index = 0
        self.read_wanted_s = 0.0
        self.kept_for_snapshots: dict[str, int] = {}
        self.on_role_change: Callable[[], None] = lambda: None

    @property
    def identity(self) -> str:
        """The random id of this replica."""
        return self.storage.identity

    def wake_all(self) -> None:
        """Let every thread of the replica look at what has changed; ``lock`` is held."""
        for condition in (self.lock, self.to_send, self.to_commit):
            condition.notify_all()

    # Role and term

    def step_down(self, term: int, leader: str = "") -> None:
        """Become follower in ``term``; the caller holds ``storage.lock``."""
        with self.lock:
            if term > self.term:
                self.storage.save_vote(term, "")
                self.term = term
            was_leader = self.role is Role.LEADER
            if self.role is not Role.STOPPED:
                self.role = Role.FOLLOWER
            self.leader = leader
            self.leader_contact_s = boot_clock.now()
            self.wake_all()
        if was_leader:
            log_message("store:leader_steps_down", group=self.group, term=term)
            self.on_role_change()

    def observe_term(self, term: int) -> None:
        """Step down if a peer is in a higher term."""
        if term <= self.term:
            return
        with self.storage.lock:
            if term > self.term:
                self.step_down(term)

    def stop_for_fault(self, error: Exception) -> None:
        """Take no further part, as the disk cannot be trusted any more."""
        log_message(
            "store:replica_stopped",
            group=self.group,
            error=repr(error),
            remedy="mend or empty the data folder's disk, then restart the node",
        )
        with self.lock:
            self.role = Role.STOPPED
            self.leader = ""
            self.wake_all()
        self.on_role_change()

    def become_leader(self) -> None:
        """Lead in the current term; the caller holds both locks and has a majority's votes."""
        self.role = Role.LEADER
        self.leader = self.identity
        self.term_start_index = self.last_index + 1
        self.match_index = {}
        now = boot_clock.now()
        self.peer_contact_s = {replica.identity: now for replica in self.membership.replicas()}
        self.wake_all()
        log_message("store:leader_elected", group=self.group, term=self.term)

    def leader_endpoint(self) -> Endpoint | None:
        """Return where the leader is, as far as this replica knows."""
        with self.lock:
            if self.membership is None or not self.leader:
                return None
            leader = self.membership.find(self.leader)
        return self.address(leader) if leader else None

    def has_quorum_contact(self) -> bool:
        """Return whether a majority answered this leader lately; ``lock`` is held."""
        limit_s = self.settings.election_timeout_s * QUORUM_CONTACT_ELECTION_TIMEOUTS
        oldest = boot_clock.now() - limit_s
        in_contact = sum(
            1
            for voter in self.membership.voters
            if voter.identity == self.identity
            or self.peer_contact_s.get(voter.identity, 0.0) >= oldest
        )
        return in_contact >= self.membership.majority()

    def hears_leader(self) -> bool:
        """Return whether there is a leader that need not be replaced; ``lock`` is held."""
        if self.role is Role.LEADER:
            return self.has_quorum_contact()
        if not self.leader:
            return False
        silent_s = boot_clock.now() - self.leader_contact_s
        return bool(self.busy_with_leader) or silent_s < self.settings.election_timeout_s

    def refusal_for(self, recipient: str) -> PeerRefusal | None:
        """Return why a message for ``recipient`` is not acted on; ``None`` if it is."""
        if recipient != self.identity:
            return PeerRefusal(reason="this replica has another identity: its disk was lost")
        if self.role is Role.STOPPED:
            return PeerRefusal(reason="the replica is stopped, as its disk failed")
        return None

    # Votes

    def handle_vote(self, message: RequestVote) -> Vote:
        """Grant or refuse a vote; a granted vote is on disk before it is answered."""
        with self.storage.lock, self.lock:
            refusal = self._vote_refusal(message)
            if refusal:
                return Vote(self.identity, self.term, granted=False, reason=refusal)
            if message.pre_vote:
                return Vote(self.identity, self.term, granted=True)
            if message.term > self.term:
                self.step_down(message.term)
            self.storage.save_vote(message.term, message.candidate)
            self.leader_contact_s = boot_clock.now()
            return Vote(self.identity, self.term, granted=True)

    def _vote_refusal(self, message: RequestVote) -> str:
        """Return why the vote is refused; empty if it is granted."""
        refusal = self.refusal_for(message.recipient)
        if refusal:
            return refusal.reason
        if self.membership is None:
            return "the replica has not been admitted to the group"
        if message.term < self.term:
            return "the term is over"
        if not message.hand_over and self.hears_leader():
            return "there is a leader"
        if (message.last_term, message.last_index) < (
            self.storage.last_term,
            self.storage.last_index,
        ):
            return "the candidate lacks entries"
        voted_for = self.storage.voted_for
        if message.term == self.term and voted_for not in ("", message.candidate):
            return "the vote of this term is given"
        return ""

    # Entries from the leader

    def handle_append(self, message: AppendEntries) -> Appended | PeerRefusal:
        """Take entries from the leader; they are on disk before this is answered.

        They are applied afterwards, by the thread that commits, so that the leader does not
        wait for it.
        """
        refusal = self.refusal_for(message.recipient)
        if refusal:
            return refusal
        with self.lock:
            if message.term == self.term and self.role is Role.FOLLOWER:
                self.leader_contact_s = boot_clock.now()
                if self._is_quiet_heartbeat(message):
                    return self._appended(True, message.previous_index)
            self.busy_with_leader += 1
        try:
            with self.storage.lock:
                return self._append_under_lock(message)
        except sqlite3.Error as error:
            self.stop_for_fault(error)
            return PeerRefusal(reason=f"the disk failed: {error}")
        finally:
            with self.lock:
                self.busy_with_leader -= 1
                self.leader_contact_s = boot_clock.now()

    def _is_quiet_heartbeat(self, message: AppendEntries) -> bool:
        """Return whether nothing is to be written or applied for this message."""
        return (
            not message.entries
            and message.leader == self.leader
            and message.previous_index <= self.commit_index
            and message.commit_index <= self.commit_index
        )

    def _append_under_lock(self, message: AppendEntries) -> Appended:
        with self.lock:
            if message.term < self.term:
                return self._appended(False, 0)
            if message.term > self.term or self.role is not Role.FOLLOWER:
                self.step_down(message.term, message.leader)
            self.leader = message.leader
        if not self._matches(message):
            with self.lock:
                hint = min(self.last_index, message.previous_index - 1)
                return self._appended(False, max(hint, self.commit_index))
        written = self._write_new(message.entries)
        end = message.previous_index + len(message.entries)
        with self.lock:
            self.commit_index = max(self.commit_index, min(message.commit_index, end))
        if written:
            self.storage.commit()
        with self.lock:
            self.last_index = self.storage.last_index
            self.lock.notify_all()
            self.to_commit.notify()
        return self._appended(True, end)

    def _matches(self, message: AppendEntries) -> bool:
        if message.previous_index <= self.storage.snapshot_index:
            return True  # What a snapshot holds is committed, so every leader's log has it.
        return self.storage.term_at(message.previous_index) == message.previous_term

    def _write_new(self, entries: tuple[LogEntry, ...]) -> bool:
        """Write what the log does not hold yet; return whether anything was written."""
        for position, entry in enumerate(entries):
            if entry.index <= self.commit_index:
                continue
            held_term = self.storage.term_at(entry.index)
            if held_term == entry.term:
                continue
            if held_term is not None:
                self.storage.truncate_from(entry.index)
                self.set_membership(self.storage.membership())
            self.write_entries(entries[position:])
            return True
        return False

    def write_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Write entries, and put a changed membership in force at once."""
        self.storage.append(entries)
        for entry in entries:
            if entry.changes_membership:
                change = COMMAND_DECODER.decode(entry.command).command
                assert isinstance(change, ChangeMembership)
                self.storage.save_membership(entry.index, change.membership)
                self.set_membership(change.membership)

    def set_membership(self, membership: GroupMembership | None) -> None:
        """Put a membership in force."""
        with self.lock:
            self.membership = membership
            self.wake_all()
        self.on_role_change()

    def _appended(self, matched: bool, last_index: int) -> Appended:
        return Appended(self.identity, self.term, matched, last_index)

    # Commit and application

    def advance_commit_index(self) -> None:
        """Commit what a majority of voters has on disk, if it is of this leader's term."""
        with self.lock:
            if self.role is not Role.LEADER:
                return
            held = sorted(
                (self.match_index.get(v.identity, 0) for v in self.membership.voters),
                reverse=True,
            )
            index = held[self.membership.majority() - 1]
            # Entries of earlier terms are committed only together with one of this term.
            if index >= self.term_start_index and index > self.commit_index:
                self.commit_index = index
                self.lock.notify_all()
                self.to_commit.notify()

    def apply_committed(
        self, on_result: Callable[[LogEntry, LoggedCommand, Result], None] | None = None
    ) -> None:
        """Apply committed entries to the state; the caller holds ``storage.lock``."""
        target = self.commit_index
        while self.storage.applied_index < target:
            first = self.storage.applied_index + 1
            entries = self.storage.read_entries(first, MAX_READ_BYTES)
            for entry in entries:
                if entry.index > target:
                    break
                self.storage.begin()
                logged = COMMAND_DECODER.decode(entry.command)
                result = self.state.apply(logged)
                self.storage.applied_index = entry.index
                if on_result:
                    on_result(entry, logged, result)
        with self.lock:
            self.applied_index = self.storage.applied_index
            self.lock.notify_all()
