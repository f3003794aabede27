"""What must hold when replicas die, are cut off or lose their answers."""

from __future__ import annotations

import threading
import unittest
import uuid

from nose2.tools import params

from job_store_cluster import (
    SERVICE,
    Caller,
    Cluster,
    completion,
    item,
    ref,
    wait_until,
)
from quaymill.connection import job_messages as m
from quaymill.process.job_store.reads import confirm_leadership
from quaymill.request.outcome import NotRun, OutcomeUnknown


class ClusterCase(unittest.TestCase):
    """A new cluster for each test."""

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.caller = Caller(self.cluster.client)

    def finish(self, job_id, total):
        """Run a job to its end and check that each item ended once."""
        while leased := self.caller.lease(20):
            self.caller.complete(leased)
        record = self.caller.record(job_id)
        self.assertEqual((m.JobState.COMPLETED, total), (record.state, record.completed))
        page = self.caller.ask(m.ReadResults(0, job_id, -1, 1000), m.ResultPage)
        self.assertEqual(list(range(total)), [result.index for result in page.results])


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
        begin = m.BeginCall(0, "t", "s", "k", "attempt-1", "d", "n")
        self.caller.ask(begin, m.CallRecord)
        self.cluster.leader().stop()
        self.assertIs(m.CallState.NEW, self.caller.ask(begin, m.CallRecord).state)
        other = m.BeginCall(0, "t", "s", "k", "attempt-2", "d", "n")
        record = self.caller.ask(other, m.CallRecord)
        self.assertEqual((m.CallState.BEGUN, "attempt-1"), (record.state, record.attempt))

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
        self.cluster.leader().stop()
        self.cluster.leader()
        self.assertEqual([], self.caller.lease(1))
        anew = wait_until(lambda: self.caller.lease(1), "the lease lapses at last")
        self.assertEqual(leased[0].attempt + 1, anew[0].attempt)

    def test_planned_hand_over_loses_no_request(self):
        leader = self.cluster.leader()
        job_id = self.caller.job(60)
        answers = []

        def work():
            caller = Caller(self.cluster.new_client())
            while leased := caller.lease(2):
                answers.extend(caller.complete(leased))

        workers = [threading.Thread(target=work) for _ in range(3)]
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
        for node in self.cluster.followers():
            node.stop()
        caller = Caller(self.cluster.client, timeout_s=2.0)
        outcome = caller.ask(m.CreateFile(0, file_id, "t", "n"), m.Accepted)
        self.assertIsInstance(outcome, OutcomeUnknown)
        self.assertGreater(leader.group.replica.last_index, leader.group.replica.commit_index)
        for node in self.cluster.nodes.values():
            if not node.running:
                node.start()
        resent = self.caller.ask(m.CreateFile(0, file_id, "t", "n"), m.Accepted)
        self.assertEqual(m.Accepted(file_id), resent)


class ClientsTest(ClusterCase):
    """Workers and tenants that lapse, resend and race."""

    def test_worker_frozen_past_its_lease_completes_late(self):
        job_id = self.caller.job(1)
        frozen = self.caller.lease(1, worker="frozen", lease_s=0.3)
        anew = wait_until(lambda: self.caller.lease(1, worker="other"), "the lease lapses")
        stop = self.caller.ask(
            m.RenewLeases(0, "frozen", 5.0, (ref(frozen[0]), ref(anew[0]))), m.RenewedLeases
        ).stop
        self.assertEqual((ref(frozen[0]),), stop)
        verdict = m.CompletionVerdict
        self.assertEqual((verdict.RECORDED,), self.caller.complete(frozen, "late but first"))
        self.assertEqual((verdict.ALREADY_COMPLETE,), self.caller.complete(anew, "second"))
        page = self.caller.ask(m.ReadResults(0, job_id, -1, 9), m.ResultPage)
        self.assertEqual(b'"late but first"', bytes(page.results[0].response))

    def test_renewed_lease_does_not_lapse(self):
        self.caller.job(1)
        leased = self.caller.lease(1, lease_s=0.4)
        for _ in range(8):
            threading.Event().wait(0.1)
            renew = m.RenewLeases(0, "w", 0.4, (ref(leased[0]),))
            self.assertEqual((), self.caller.ask(renew, m.RenewedLeases).stop)
            self.assertEqual([], self.caller.lease(1))

    def test_client_resends_at_once_to_another_node(self):
        """Two clients upload the same file and start the same job at the same moment."""
        results = []

        def upload():
            caller = Caller(self.cluster.new_client())
            file_id = caller.upload(100, chunk=10, key="file-key")
            job_id = f"batch_0_{uuid.uuid4().hex}"
            create = m.CreateJob(
                0, job_id, file_id, "t", "/v1/completions", SERVICE, 1.0, 2.0, "job-key"
            )
            results.append((file_id, caller.ask(create, m.Accepted).id))

        clients = [threading.Thread(target=upload) for _ in range(3)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        self.assertEqual((3, 1), (len(results), len(set(results))))
        self.finish(results[0][1], 100)

    def test_key_with_changed_content_is_a_conflict(self):
        file_id = self.caller.upload(10, key="k")
        changed = m.AppendItems(0, file_id, 0, (item(0),))
        self.assertIsInstance(self.caller.ask(changed, m.Accepted), m.StoreConflict)

    def test_cancel_races_completion(self):
        for _ in range(5):
            job_id = self.caller.job(8)
            leased = self.caller.lease(8)
            verdicts = []
            worker = threading.Thread(
                target=lambda x=leased, verdicts=verdicts: verdicts.extend(self.caller.complete(x))
            )
            worker.start()
            cancelled = self.caller.ask(m.CancelJob(0, job_id), m.JobRecord)
            worker.join()
            record = self.caller.record(job_id)
            recorded = verdicts.count(m.CompletionVerdict.RECORDED)
            self.assertEqual(recorded, record.completed)
            self.assertEqual(cancelled.state, record.state)
            self.assertEqual([], self.caller.lease(8))

    def test_item_that_keeps_failing_ends_over_the_whole_path(self):
        job_id = self.caller.job(1)
        for _ in range(self.cluster.tuning.item_max_attempts):
            failed = completion(self.caller.lease(1)[0], "why", status=500, retryable=True)
            self.caller.ask(m.CompleteItems(0, "w", (failed,)), m.CompletedItems)
        self.assertEqual(1, self.caller.record(job_id).failed)


class ManyGroupsTest(unittest.TestCase):
    """Keys spread over the groups of the settings."""

    def test_group_of_a_key_is_stable_and_within_range(self):
        cluster = Cluster(names="")
        self.addCleanup(cluster.close)
