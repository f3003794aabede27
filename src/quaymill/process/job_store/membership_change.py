"""Who belongs to a group: the leader admits newcomers one change at a time.

A newcomer is first a learner, which receives the log and does not count. Once it has caught
up, the replica whose place it takes is removed, and then it becomes a voter: two changes of
one replica each, so that any two majorities in force one after the other have a replica in
common. A change is made only when the one before is committed.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.job_messages import NotLeader, StoreUnavailable
from quaymill.connection.log_messages import (
    GroupMembership,
    JoinAnswer,
    JoinGroup,
    JoinState,
    ReplicaAddress,
)
from quaymill.process.job_store.commands import ChangeMembership, Command
from quaymill.process.job_store.replica import Replica, Role

GROUP_SIZE = 3
REPLACE_ABSENT_AFTER_S = 30.0
CAUGHT_UP_ENTRIES = 100
CHANGE_TIMEOUT_S = 5.0
REVIEW_INTERVAL_S = 0.3


class MembershipChanger:
    """Admits and promotes replicas while this replica leads.

    Parameters
    ----------
    propose
        Puts a command into the log.
    """

    def __init__(self, replica: Replica, propose: Callable[[Command], Future]) -> None:
        self._replica = replica
        self._propose = propose
        self._next_review_s = 0.0
        self._under_way: Future | None = None

    def handle_join(self, message: JoinGroup) -> JoinAnswer | NotLeader | StoreUnavailable:
        """Admit a replica as a learner if the group needs it."""
        replica = self._replica
        newcomer = message.replica
        with replica.lock:
            if replica.role is not Role.LEADER:
                return NotLeader(replica.leader_endpoint())
            membership = replica.membership
            if membership.is_voter(newcomer.identity):
                return JoinAnswer(JoinState.VOTER)
            if membership.find(newcomer.identity):
                return JoinAnswer(JoinState.LEARNER)
            if self._old_replica_answered_lately(newcomer, membership):
                return StoreUnavailable("the node's old replica answered", proposed=False)
            if not self._is_needed(newcomer, membership):
                return JoinAnswer(JoinState.NOT_NEEDED)
            # A learner of the same node lost its disk as well; the newcomer takes its place.
            learners = tuple(x for x in membership.learners if x.node != newcomer.node)
            if len(learners) < len(membership.learners):
                change = GroupMembership(membership.voters, learners)
            else:
                change = GroupMembership(membership.voters, (*learners, newcomer))
            proposed = self._change(change)
        if proposed is None:
            return StoreUnavailable("another change is under way", proposed=False)
        try:
            proposed.result(CHANGE_TIMEOUT_S)
        except TimeoutError:
            return StoreUnavailable("the change is not committed yet")
        return JoinAnswer(JoinState.LEARNER)

    def review(self) -> None:
        """Promote a learner that has caught up; called regularly on the leader."""
        now = boot_clock.now()
        if now < self._next_review_s:
            return
        self._next_review_s = now + REVIEW_INTERVAL_S
        replica = self._replica
        with replica.lock:
            if replica.role is not Role.LEADER:
                return
            membership = replica.membership
            for learner in membership.learners:
                if self._has_caught_up(learner):
                    self._change(self._promotion(learner, membership))
                    return

    def _old_replica_answered_lately(
        self, newcomer: ReplicaAddress, membership: GroupMembership
    ) -> bool:
        """Return whether two replicas claim one node, or one was lost a moment ago."""
        limit_s = 2 * self._replica.settings.election_timeout_s
        return any(
            voter.node == newcomer.node
            and boot_clock.now() - self._replica.peer_contact_s.get(voter.identity, 0.0) < limit_s
            for voter in membership.voters
        )

    def _is_needed(self, newcomer: ReplicaAddress, membership: GroupMembership) -> bool:
        return (
            len(membership.voters) < GROUP_SIZE
            or self._voter_to_replace(newcomer, membership) is not None
        )

    def _voter_to_replace(
        self, newcomer: ReplicaAddress, membership: GroupMembership
    ) -> ReplicaAddress | None:
        """Return the voter whose place the newcomer takes.

        That is the voter of the same node, whose disk was lost, or else one that has not
        answered for a time, if the voters that stay are not of the newcomer's zone.
        """
        for voter in membership.voters:
            if voter.node == newcomer.node:
                return voter
        oldest_s = boot_clock.now() - REPLACE_ABSENT_AFTER_S
        for voter in membership.voters:
            if voter.identity == self._replica.identity:
                continue
            others = [other for other in membership.voters if other is not voter]
            absent = self._replica.peer_contact_s.get(voter.identity, 0.0) < oldest_s
            if absent and all(other.zone != newcomer.zone for other in others):
                return voter
        return None

    def _has_caught_up(self, learner: ReplicaAddress) -> bool:
        matched = self._replica.match_index.get(learner.identity, 0)
        return matched > 0 and matched + CAUGHT_UP_ENTRIES >= self._replica.commit_index

    def _promotion(self, learner: ReplicaAddress, membership: GroupMembership) -> GroupMembership:
        """Return the next single change on the way to the learner's vote."""
        without = tuple(x for x in membership.learners if x.identity != learner.identity)
        same_node = any(voter.node == learner.node for voter in membership.voters)
        if len(membership.voters) < GROUP_SIZE and not same_node:
            return GroupMembership((*membership.voters, learner), without)
        replaced = self._voter_to_replace(learner, membership)
        if replaced is None:
            return GroupMembership(membership.voters, without)  # The absent voter is back.
        voters = tuple(v for v in membership.voters if v.identity != replaced.identity)
        return GroupMembership(voters, membership.learners)

    def _change(self, membership: GroupMembership) -> Future | None:
        """Propose a change unless one is under way; ``lock`` is held."""
        replica = self._replica
        if self._under_way is not None and not self._under_way.done():
            return None
        # Without a committed entry of its term, a leader may not know the last change.
        if replica.commit_index < replica.term_start_index:
            return None
        log_message(
            "store:membership_change",
            group=replica.group,
            voters=[voter.node for voter in membership.voters],
            learners=[learner.node for learner in membership.learners],
        )
        self._under_way = self._propose(ChangeMembership(membership))
        return self._under_way
