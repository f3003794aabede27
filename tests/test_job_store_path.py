"""The job store without faults: a job from its upload to its results."""

from __future__ import annotations

import unittest

from job_store_cluster import Caller, Cluster
from quaymill.connection.job_messages import CompletionVerdict, JobState, ReadResults, ResultPage


class JobPathTest(unittest.TestCase):
    """One cluster for all cases; each case has jobs of its own."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = Cluster()
        cls.caller = Caller(cls.cluster.client)

    @classmethod
    def tearDownClass(cls):
        cls.cluster.close()

    def test_job_runs_from_upload_to_results(self):
        job_id = self.caller.job(120)
        seen = []
        while leased := self.caller.lease(50):
            verdicts = self.caller.complete(leased)
            self.assertEqual({CompletionVerdict.RECORDED}, set(verdicts))
            seen += [x.item.index for x in leased]
        self.assertEqual(list(range(120)), sorted(seen))
        record = self.caller.record(job_id)
        self.assertEqual(
            (JobState.COMPLETED, 120, 0), (record.state, record.completed, record.failed)
        )
        page = self.caller.ask(ReadResults(0, job_id, 99, 50), ResultPage)
        self.assertEqual([f"id-{n}" for n in range(100, 120)], [r.custom_id for r in page.results])
        self.assertFalse(page.more)
