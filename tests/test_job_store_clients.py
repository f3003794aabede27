"""Workers and tenants that lapse, resend and race."""

from __future__ import annotations

import threading
import uuid
from concurrent.futures import ThreadPoolExecutor

from job_store_cluster import SERVICE, Caller, ClusterCase, completion, item, ref, wait_until
from quaymill.connection import job_messages as m


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

    def test_repeated_lease_request_gets_its_items_though_no_others_are_left(self):
        self.caller.job(4)
        request = m.LeaseItems(0, "w", SERVICE, 4, 30.0, request_id="r")
        leased = self.caller.ask(request, m.LeasedItems)
        self.assertEqual(4, len(leased.items))
        self.assertEqual(leased, self.caller.ask(request, m.LeasedItems))

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
            with ThreadPoolExecutor(1) as worker:
                completed = worker.submit(self.caller.complete, leased)
                cancelled = self.caller.ask(m.CancelJob(0, job_id), m.JobRecord)
            verdicts = completed.result()
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
