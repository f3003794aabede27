"""Confirmed reads: a majority says, after the read began, that the leader still leads.

A leader that was frozen may have been replaced without knowing. It answers no read from its
state until heartbeats that it sent after the read began were answered by a majority.
"""

from __future__ import annotations

from quaymill import boot_clock
from quaymill.connection.job_messages import NotLeader, StoreUnavailable
from quaymill.process.job_store.replica import Replica, Role

READ_TIMEOUT_S = 3.0


def confirm_leadership(replica: Replica) -> NotLeader | StoreUnavailable | None:
    """Wait until the state may be read; return why it may not.

    After ``None`` the state holds all that was acknowledged before this call.
    """
    deadline_s = boot_clock.now() + READ_TIMEOUT_S
    with replica.lock:
        if replica.role is not Role.LEADER:
            return NotLeader(replica.leader_endpoint())
        term = replica.term

        def over() -> bool:
            return replica.role is not Role.LEADER or replica.term != term

        # Until its own first entry is committed, a new leader does not know what was.
        replica.lock.wait_for(
            lambda: over() or replica.commit_index >= replica.term_start_index,
            deadline_s - boot_clock.now(),
        )
        began_s = boot_clock.now()
        replica.read_wanted_s = began_s
        replica.to_send.notify_all()
        read_index = replica.commit_index

        def confirmed() -> bool:
            return (
                read_index >= replica.term_start_index
                and replica.applied_index >= read_index
                and _majority_answered_since(replica, began_s)
            )

        replica.lock.wait_for(lambda: over() or confirmed(), deadline_s - boot_clock.now())
        if over():
            return NotLeader(replica.leader_endpoint())
        if not confirmed():
            return StoreUnavailable("no majority confirms the leader", proposed=False)
    return None


def _majority_answered_since(replica: Replica, began_s: float) -> bool:
    answered = sum(
        1
        for voter in replica.membership.voters
        if voter.identity == replica.identity
        or replica.peer_contact_s.get(voter.identity, 0.0) >= began_s
    )
    return answered >= replica.membership.majority()
