"""Messages between the replicas of one group of the replicated log.

The protocol is Raft: terms, votes, log matching and commit on a majority. Every message contains
the identity of its recipient. A replica that restarts with an empty disk has a new identity and
refuses messages to the old one, so that it cannot vote or acknowledge entries on behalf of the
replica that lost its data.
"""

from __future__ import annotations

import enum

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.peer_link import PeerMessage


class ReplicaAddress(msgspec.Struct, frozen=True):
    """One replica of a group: its random identity and the node that stores it."""

    identity: str
    node: str
    zone: str
    peer: Endpoint


class GroupMembership(msgspec.Struct, frozen=True):
    """The replicas of a group. Learners receive the log but do not count for a majority."""

    voters: tuple[ReplicaAddress, ...]
    learners: tuple[ReplicaAddress, ...] = ()

    def replicas(self) -> tuple[ReplicaAddress, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    def majority(self) -> int:
        """Return the number of voters that are a majority."""
        return len(self.voters) // 2 + 1

    def is_voter(self, identity: str) -> bool:
        """Return whether the replica counts for a majority."""
        return any(voter.identity == identity for voter in self.voters)

    def find(self, identity: str) -> ReplicaAddress | None:
        """Return the voter or learner with an identity."""
        for replica in self.replicas():
            if replica.identity == identity:
                return replica
        return None


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes
    ----------
    changes_membership
        Whether ``command`` changes the group's membership, which takes effect as soon as the entry
        is in the log.
    command
        A ``LoggedCommand`` in JSON.
    """

    index: int
    term: int
    changes_membership: bool
    command: msgspec.Raw


class RequestVote(PeerMessage, frozen=True):
    """Ask for a vote in ``term``.

    Attributes
    ----------
    pre_vote
        Only ask whether the vote would be granted, without a change at the voter. This prevents a
        replica that was disconnected from forcing an unnecessary election.
    hand_over
        Whether the leader asked the candidate to start the election. Voters may then grant the vote
        although they still receive messages from the leader.
    """

    group: int
    recipient: str
    candidate: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    hand_over: bool = False


class Vote(PeerMessage, frozen=True):
    """Answer to ``RequestVote``."""

    voter: str
    term: int
    granted: bool
    reason: str = ""


class AppendEntries(PeerMessage, frozen=True):
    """The leader's entries after ``previous_index``; a heartbeat if there are none."""

    group: int
    recipient: str
    leader: str
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[LogEntry, ...] = ()


class Appended(PeerMessage, frozen=True):
    """Answer to ``AppendEntries``.

    Attributes
    ----------
    matched
        Whether the log matched at ``previous_index``; the entries are then on disk.
    last_index
        Last index known to match if ``matched``. Otherwise the last index that may match; the
        leader sends entries from the next one on.
    """

    replica: str
    term: int
    matched: bool
    last_index: int


class InstallSnapshot(PeerMessage, frozen=True):
    """A part of the leader's state, for a replica whose next entry was removed from the log.

    Attributes
    ----------
    snapshot
        Random id of this transfer, whose messages are sent in the order of ``part``.
    table
        Name of the state table that ``rows`` belong to.
    rows
        Values in the order of the table's columns; binary values are base64.
    last_part
        Whether this is the last part; the new state then replaces the old one.
    """

    group: int
    recipient: str
    leader: str
    term: int
    snapshot: str
    part: int
    last_index: int
    last_term: int
    membership: GroupMembership
    table: str
    rows: tuple[tuple[str | int | float | None, ...], ...]
    last_part: bool


class SnapshotReceived(PeerMessage, frozen=True):
    """Answer to ``InstallSnapshot``; unless ``accepted``, the transfer must be restarted."""

    replica: str
    term: int
    accepted: bool


class TimeoutNow(PeerMessage, frozen=True):
    """Ask the recipient to start an election at once, since the leader hands over."""

    group: int
    recipient: str
    term: int


class HandOverTaken(PeerMessage, frozen=True):
    """Answer to ``TimeoutNow``."""


class GetFormation(PeerMessage, frozen=True):
    """Request a disk node's replica of a group and what it knows of the group."""

    group: int


class GroupKnowledge(PeerMessage, frozen=True):
    """Answer to ``GetFormation``: the local replica, and the initial membership if known."""

    replica: ReplicaAddress
    formation: GroupMembership | None = None
    leader: Endpoint | None = None


class JoinState(enum.StrEnum):
    """State that the leader assigns to a replica that asks to join.

    LEARNER -> VOTER when it has caught up; NOT_NEEDED while the group is complete without it.
    """

    VOTER = "voter"
    LEARNER = "learner"
    NOT_NEEDED = "not_needed"


class JoinGroup(PeerMessage, frozen=True):
    """Ask the leader to add a replica to the group."""

    group: int
    replica: ReplicaAddress


class JoinAnswer(PeerMessage, frozen=True):
    """Answer to ``JoinGroup``."""

    state: JoinState
