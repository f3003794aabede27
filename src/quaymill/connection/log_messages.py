"""Messages between the replicas of one group of the replicated log.

The rules are those published for Raft: terms, votes, log matching and commit on a majority.
Every message names the identity of the replica it is for. A replica that came back with an
empty disk has a new identity and refuses what is meant for the old one, so that it can
neither vote nor acknowledge in the place of the replica that was lost.
"""

from __future__ import annotations

import enum

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.peer_link import PeerMessage


class ReplicaAddress(msgspec.Struct, frozen=True):
    """One replica of a group: its random identity and the node that carries it."""

    identity: str
    node: str
    zone: str
    peer: Endpoint


class GroupMembership(msgspec.Struct, frozen=True):
    """The replicas of a group. Learners receive the log and do not count for a majority."""

    voters: tuple[ReplicaAddress, ...]
    learners: tuple[ReplicaAddress, ...] = ()

    def replicas(self) -> tuple[ReplicaAddress, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    def majority(self) -> int:
        """Return the least number of voters that decides."""
        return len(self.voters) // 2 + 1

    def is_voter(self, identity: str) -> bool:
        """Return whether the replica counts for a majority."""
        return any(voter.identity == identity for voter in self.voters)

    def find(self, identity: str) -> ReplicaAddress | None:
        """Return the voter or learner of that identity."""
        for replica in self.replicas():
            if replica.identity == identity:
                return replica
        return None


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes
    ----------
    changes_membership
        Whether ``command`` is a change of the group's membership, which holds from the
        moment that the entry is in the log.
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
        Only ask whether the vote would be granted; nothing changes at the voter. A replica
        that returns from a cut finds out in this way that nobody wants a new leader.
    hand_over
        The leader itself asked the candidate to stand, so that voters which still hear the
        leader may grant.
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
    """The leader's entries after ``previous_index``; without entries, a heartbeat."""

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
        Where the leader may go on from: the last index that may match if not ``matched``.
    """

    replica: str
    term: int
    matched: bool
    last_index: int


class InstallSnapshot(PeerMessage, frozen=True):
    """One part of the leader's state, for a replica whose next entry is gone from the log.

    Attributes
    ----------
    snapshot
        Random id of this transfer; parts of one transfer come in the order of ``part``.
    table
        State table that ``rows`` belong to.
    rows
        Values in the order of the table's columns; binary values are base64.
    last_part
        Whether the state is whole with this part; it then takes the place of the old one.
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
    """Answer to ``InstallSnapshot``; not ``accepted`` means that the transfer starts anew."""

    replica: str
    term: int
    accepted: bool


class TimeoutNow(PeerMessage, frozen=True):
    """The leader hands over: the recipient stands for election at once."""

    group: int
    recipient: str
    term: int


class HandOverTaken(PeerMessage, frozen=True):
    """Answer to ``TimeoutNow``."""


class GetFormation(PeerMessage, frozen=True):
    """Ask a disk node for its replica of a group and for what it knows of the group."""

    group: int


class GroupKnowledge(PeerMessage, frozen=True):
    """Answer to ``GetFormation``: the answering replica, and the first membership if known."""

    replica: ReplicaAddress
    formation: GroupMembership | None = None
    leader: Endpoint | None = None


class JoinState(enum.StrEnum):
    """What the leader makes of a replica that asks to join.

    LEARNER -> VOTER when it has caught up; NOT_NEEDED while the group is whole without it.
    """

    VOTER = "voter"
    LEARNER = "learner"
    NOT_NEEDED = "not_needed"


class JoinGroup(PeerMessage, frozen=True):
    """Ask the leader to admit a replica."""

    group: int
    replica: ReplicaAddress


class JoinAnswer(PeerMessage, frozen=True):
    """Answer to ``JoinGroup``."""

    state: JoinState
