"""What must hold when replicas die, are cut off or lose their answers."""

from __future__ import annotations

import contextlib
import threading
import uuid
from unittest import mock

from nose2.tools import params

from job_store_cluster import Caller, ClusterCase, wait_for_same_state, wait_until
from quaymill.connection import call_record_messages
from quaymill.connection import job_messages as m
from quaymill.connection.peer_link import PeerRefusal
from quaymill.process.job_store.reads import confirm_leadership
from quaymill.request.outcome import NotRun, OutcomeUnknown


class DyingReplicasTest(ClusterCase):
    """One replica dies, or the leader of the moment."""

    @params("leader", "follower")
    def test_work_goes_on_without_one_replica(self, victim):
        job_id = self.caller.job(40)
        leased = self.caller.lease(10)
        self.caller.complete(leased[:5])
        node = self.cluster.leader() if victim == "leader" else self.cluster.followers()[0]
        node.stop()
        self.caller.complete(leased[5:])
        self.finish(job_id, 40)
        node.start()
        wait_until(
            lambda: (
                node.group.replica.applied_index
                >= self.cluster.leader().group.replica.applied_index
            ),
            "the replica that was away catches up",
        )

    def test_leader_that_dies_between_commit_and_answer(self):
        """The client's resend after the lost answer finds what was committed, once."""
        job_id = self.caller.job(10)
        leased = self.caller.lease(10)
        leader = self.cluster.leader()
        committed = threading.Event()
        original = leader.group.write

        def write_and_lose_the_answer(message):
            answer = original(message)
            if isinstance(message, m.CompleteItems):
                committed.set()
                leader.server.stop()  # The connection breaks before the answer is sent.
            return answer

        leader.group.write = write_and_lose_the_answer
        killer = threading.Thread(target=lambda: (committed.wait(10), leader.stop()))
        killer.start()
        verdicts = self.caller.complete(leased)
        killer.join()
        self.assertEqual([m.CompletionVerdict.RECORDED] * 10, list(verdicts))
        self.assertNotEqual(leader, self.cluster.leader())
        self.assertEqual(10, self.caller.record(job_id).completed)

    def test_lost_answer_of_begin_still_lets_its_attempt_run(self):
        begin = call_record_messages.BeginCall(0, "t", "s", "k", "attempt-1", "d", "n")
        self.caller.ask(begin, call_record_messages.CallRecord)
        self.cluster.leader().stop()
        self.assertIs(
            call_record_messages.CallState.NEW,
            self.caller.ask(begin, call_record_messages.CallRecord).state,
        )
        other = call_record_messages.BeginCall(0, "t", "s", "k", "attempt-2", "d", "n")
        record = self.caller.ask(other, call_record_messages.CallRecord)
        self.assertEqual(
            (call_record_messages.CallState.BEGUN, "attempt-1"), (record.state, record.attempt)
        )

    def test_all_replicas_restart_while_the_platform_is_down(self):
        job_id = self.caller.job(20)
        self.cluster.platform.down = True
        for node in self.cluster.nodes.values():
            node.stop()
        for node in self.cluster.nodes.values():
            node.start()
        self.finish(job_id, 20)

    def test_new_leader_restarts_leases_in_full(self):
        self.caller.job(1)
        leased = self.caller.lease(1, lease_s=1.0)
        wait_for_same_state(self, self.cluster)  # So that the new leader has the lease already.
        self.cluster.leader().stop()
        self.cluster.leader()
        self.assertEqual([], self.caller.lease(1))
        anew = wait_until(lambda: self.caller.lease(1), "the lease lapses at last")
        self.assertEqual(leased[0].attempt + 1, anew[0].attempt)

    def test_planned_hand_over_loses_no_request(self):
        leader = self.cluster.leader()
        job_id = self.caller.job(60)
        answers = []

        def work(name):
            caller = Caller(self.cluster.new_client())
            while leased := caller.lease(2, worker=name):
                answers.extend(caller.complete(leased))

        workers = [threading.Thread(target=work, args=(name,)) for name in "xyz"]
        for worker in workers:
            worker.start()
        self.assertTrue(leader.service.hand_over_leadership())
        self.assertIsNot(leader, self.cluster.leader())
        for worker in workers:
            worker.join()
        self.assertEqual([m.CompletionVerdict.RECORDED] * 60, answers)
        self.assertEqual(60, self.caller.record(job_id).completed)


class CutTest(ClusterCase):
    """Links are cut."""

    def test_leader_cut_off_confirms_no_read_and_takes_no_write(self):
        job_id = self.caller.job(5)
        old = self.cluster.leader()
        leased = self.caller.lease(5)
        self.cluster.cut(old.name)
        self.assertIsNotNone(confirm_leadership(old.group.replica))
        refused = old.group.write(m.CancelJob(0, job_id))
        self.assertIsInstance(refused, m.StoreUnavailable | m.NotLeader)
        self.assertEqual(5, len(self.caller.complete(leased)))
        self.cluster.cut()
        wait_until(lambda: not old.leads, "the old leader steps down")
        self.assertIs(m.JobState.COMPLETED, self.caller.record(job_id).state)

    def test_unacknowledged_entries_of_a_cut_leader_give_way(self):
        job_id = self.caller.job(5)
        old = self.cluster.leader()
        self.cluster.cut(old.name)
        answer = old.group.write(m.CancelJob(0, job_id))
        self.assertTrue(getattr(answer, "proposed", False), answer)
        self.finish(job_id, 5)
        self.cluster.cut()
        newer = self.cluster.leader()
        wait_until(
            lambda: old.group.replica.applied_index >= newer.group.replica.commit_index,
            "the old leader's log follows the new one",
        )
        state = old.group.replica.state.read(m.GetJob(0, job_id)).state
        self.assertIs(m.JobState.COMPLETED, state)

    def test_returning_replica_does_not_end_the_leaders_term(self):
        leader = self.cluster.leader()
        term = leader.group.replica.term
        cut_off = self.cluster.followers()[0]
        self.cluster.cut(cut_off.name)
        election = cut_off.group.replica.settings.election_timeout_s
        replica = cut_off.group.replica
        wait_until(
            lambda: not replica.hears_leader() and replica.leader_contact_s, "it misses the leader"
        )
        threading.Event().wait(4 * election)  # Time for several elections, were they held.
        self.cluster.cut()
        wait_until(replica.hears_leader, "it hears the leader again")
        self.caller.job(3)
        self.assertEqual((leader, term), (self.cluster.leader(), leader.group.replica.term))

    def test_without_a_majority_nothing_is_accepted(self):
        leader = self.cluster.leader()
        for node in self.cluster.followers():
            node.stop()
        wait_until(lambda: not leader.leads, "the leader without a majority steps down")
        caller = Caller(self.cluster.client, timeout_s=1.0)
        refused = caller.ask(m.CreateFile(0, "f", "t", "n"), m.Accepted)
        self.assertIsInstance(refused, NotRun)
        self.assertTrue(refused.reason and refused.remedy and refused.retry_after_s)

    def test_write_that_reached_a_leader_without_majority_is_unknown(self):
        leader = self.cluster.leader()
        file_id = f"file-0-{uuid.uuid4().hex}"
        with contextlib.ExitStack() as stack:
            for node in self.cluster.nodes.values():
                refuse = mock.Mock(return_value=PeerRefusal("the disk is slow"))
                replica = node.group.replica
                stack.enter_context(mock.patch.object(replica, "handle_append", refuse))
            caller = Caller(self.cluster.client, timeout_s=1.0)
            outcome = caller.ask(m.CreateFile(0, file_id, "t", "n"), m.Accepted)
        self.assertIsInstance(outcome, OutcomeUnknown)
        self.assertGreater(leader.group.replica.last_index, 1)
        resent = self.caller.ask(m.CreateFile(0, file_id, "t", "n"), m.Accepted)
        self.assertEqual(m.Accepted(file_id), resent)
