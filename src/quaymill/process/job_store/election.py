"""Elections: when to stand, whom to ask, and when a leader gives up.

A candidate first asks whether it would get the votes (pre-vote), so that a replica which was
cut off and returns does not end the term of a leader that a majority hears.
"""

from __future__ import annotations

import queue
import random
import sqlite3
import threading
from collections.abc import Callable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.log_messages import ReplicaAddress, RequestVote, Vote
from quaymill.connection.peer_link import PeerClient
from quaymill.process.job_store.replica import Replica, Role

SHORTEST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.2
LEADER_PAUSE_S = 0.1
LONGEST_WAIT_ELECTION_TIMEOUTS = 1.5
FIRST_RETRY_WAIT_S = 0.05
THREAD_STOP_TIMEOUT_S = 5.0


class Elector:
    """Watches the leader, and stands for election when there is none.

    Parameters
    ----------
    on_tick
        Called in each turn of the thread, for the leader's regular work.
    """

    def __init__(self, replica: Replica, client: PeerClient, on_tick: Callable[[], None]) -> None:
        self._replica = replica
        self._client = client
        self._on_tick = on_tick
        self._random = random.Random(replica.identity)
        self._wait_s = self._random_wait()
        self._not_before_s = 0.0
        self._retry_wait_s = FIRST_RETRY_WAIT_S
        self._asked_term = 0
        self._stand_now = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"group-{replica.group}-election", daemon=True
        )

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()
        self._stand_now.set()
        self._thread.join(THREAD_STOP_TIMEOUT_S)

    def stand_now(self) -> None:
        """Stand at once, as the leader hands over to this replica."""
        self._stand_now.set()

    def refrain(self, duration_s: float) -> None:
        """Do not stand for a time, after this replica has handed its leadership over."""
        self._not_before_s = boot_clock.now() + duration_s

    def _run(self) -> None:
        while not self._stopping.is_set():
            hand_over = self._stand_now.wait(self._pause_s())
            self._stand_now.clear()
            if self._stopping.is_set():
                return
            try:
                if hand_over or self._is_time_to_stand():
                    self._stand(hand_over)
                elif self._has_lost_majority():
                    self._give_up()
                self._on_tick()
            except sqlite3.Error as error:
                self._replica.stop_for_fault(error)
            except Exception as error:  # A bug in one turn must not leave the group unwatched.
                log_message("store:election_error", error=repr(error))

    def _pause_s(self) -> float:
        """Return how long nothing can be due, unless the leader hands over."""
        replica = self._replica
        with replica.lock:
            if replica.role is Role.LEADER:
                return LEADER_PAUSE_S
            if not self._may_stand():
                return LONGEST_PAUSE_S
            due_s = max(replica.leader_contact_s + self._wait_s, self._not_before_s)
        return min(max(due_s - boot_clock.now(), SHORTEST_PAUSE_S), LONGEST_PAUSE_S)

    def _may_stand(self) -> bool:
        replica = self._replica
        if replica.role not in (Role.FOLLOWER, Role.CANDIDATE) or replica.membership is None:
            return False
        return replica.membership.is_voter(replica.identity)

    def _is_time_to_stand(self) -> bool:
        replica = self._replica
        with replica.lock:
            if replica.busy_with_leader or not self._may_stand():
                return False
            now = boot_clock.now()
            if now < replica.leader_contact_s + self._wait_s:
                self._retry_wait_s = FIRST_RETRY_WAIT_S
                return False
            return now >= self._not_before_s

    def _has_lost_majority(self) -> bool:
        with self._replica.lock:
            return self._replica.role is Role.LEADER and not self._replica.has_quorum_contact()

    def _give_up(self) -> None:
        replica = self._replica
        with replica.storage.lock:
            if self._has_lost_majority():
                replica.step_down(replica.term)

    def _stand(self, hand_over: bool) -> None:
        self._wait_s = self._random_wait()
        won = self._collect_votes(pre_vote=True, hand_over=False) if not hand_over else True
        if won and self._begin_term(hand_over) and self._collect_votes(False, hand_over):
            self._take_office()
        if self._replica.role is Role.LEADER:
            self._retry_wait_s = FIRST_RETRY_WAIT_S
            return
        # Random, so that candidates do not meet again; longer each time, so that a replica
        # that was removed from its group troubles nobody.
        wait_s = self._retry_wait_s * self._random.uniform(1, 3)
        self._not_before_s = boot_clock.now() + wait_s
        longest_s = self._replica.settings.election_timeout_s
        self._retry_wait_s = min(2 * self._retry_wait_s, longest_s)

    def _begin_term(self, hand_over: bool) -> bool:
        """Raise the term and vote for itself, unless a leader has appeared meanwhile."""
        replica = self._replica
        with replica.storage.lock, replica.lock:
            if replica.role not in (Role.FOLLOWER, Role.CANDIDATE):
                return False
            if replica.hears_leader() and not hand_over:
                return False
            replica.storage.save_vote(replica.term + 1, replica.identity)
            replica.term += 1
            replica.role = Role.CANDIDATE
            replica.leader = ""
            return True

    def _take_office(self) -> None:
        replica = self._replica
        with replica.storage.lock, replica.lock:
            if replica.role is Role.CANDIDATE and replica.term == self._asked_term:
                replica.become_leader()

    def _collect_votes(self, pre_vote: bool, hand_over: bool) -> bool:
        """Ask every other voter at once; return whether a majority grants."""
        replica = self._replica
        with replica.storage.lock, replica.lock:
            membership = replica.membership
            term = replica.term + 1 if pre_vote else replica.term
            last_index = replica.storage.last_index
            last_term = replica.storage.last_term
        self._asked_term = term
        votes: queue.SimpleQueue[Vote | None] = queue.SimpleQueue()
        others = [v for v in membership.voters if v.identity != replica.identity]
        for voter in others:
            message = RequestVote(
                group=replica.group,
                recipient=voter.identity,
                candidate=replica.identity,
                term=term,
                last_index=last_index,
                last_term=last_term,
                pre_vote=pre_vote,
                hand_over=hand_over,
            )
            threading.Thread(
                target=self._ask, args=(voter, message, votes), name="vote", daemon=True
            ).start()
        granted = int(membership.is_voter(replica.identity))
        for _ in others:
            if granted >= membership.majority():
                break
            vote = votes.get()
            if vote is None:
                continue
            if vote.granted:
                granted += 1
            replica.observe_term(vote.term)
        return granted >= membership.majority()

    def _ask(
        self, voter: ReplicaAddress, message: RequestVote, votes: queue.SimpleQueue[Vote | None]
    ) -> None:
        replica = self._replica
        timeout_s = replica.settings.election_timeout_s
        reply = self._client.call(replica.address(voter), message, Vote, timeout_s)
        known = isinstance(reply, Vote) and reply.voter == voter.identity
        votes.put(reply if known else None)

    def _random_wait(self) -> float:
        shortest_s = self._replica.settings.election_timeout_s
        return self._random.uniform(shortest_s, shortest_s * LONGEST_WAIT_ELECTION_TIMEOUTS)
