"""The soak's checks can fail: a row for each kind of broken promise."""

from __future__ import annotations

import unittest

from nose2.tools import params

from quaymill_bench.fleet_world import item_id, whole_text
from quaymill_bench.soak_checks import History, JobHistory, Sending, check_round
from quaymill_standins.fleet_replica import FleetReplica, ReplicaRun, event_bytes

CANCEL_S = 3.0
WHOLE_STREAM = b"".join(event_bytes("r", number) for number in (1, 2, 3))


def replica_with(*runs: tuple[str, float]) -> FleetReplica:
    replica = FleetReplica("replica", "engine", "zone")
    replica.runs += [ReplicaRun(one, "POST", "/", {}, b"", at) for one, at in runs]
    return replica


def succeeded(job: str, index: int) -> dict:
    name = item_id(job, index)
    return {"id": name, "state": "succeeded", "message": whole_text(name)}


class SendingTest(unittest.TestCase):
    """Requests of callers."""

    @params(
        ("good", "read", 200, b"answer to r", 1, None),
        ("good stream", "stream", 200, WHOLE_STREAM, 1, None),
        ("read may run twice", "read", 200, b"answer to r", 2, None),
        ("true refusal", "write", 503, b"", 0, None),
        ("write ran twice", "write", 200, b"answer to r", 2, "ran 2 times"),
        ("stream ran twice", "stream", 200, WHOLE_STREAM, 2, "ran 2 times"),
        ("refused and ran", "write", 503, b"", 1, "answered 503 and ran"),
        ("another's answer", "read", 200, b"answer to s", 1, "not its own"),
        ("a piece is missing", "resumable", 200, WHOLE_STREAM[:20], 1, "not its own"),
        ("route unknown", "read", 404, b"", 0, "404"),
    )
    def test_sending(self, _, kind, status, body, runs, finding):
        history = History()
        history.add(Sending("r", kind, "gateway", status, body, whole=True))
        found = check_round(history, [replica_with(*[("r", 0.0)] * runs)], CANCEL_S)
        self.assertEqual(finding is not None, bool(found))
        if finding is not None:
            self.assertIn(finding, found[0])


class JobTest(unittest.TestCase):
    """Jobs."""

    def check(self, job: JobHistory, *runs: tuple[str, float]) -> list[str]:
        history = History()
        history.jobs[job.id] = job
        return check_round(history, [replica_with(*runs)], CANCEL_S)

    def test_good_job(self):
        positions = {0: succeeded("j", 1), 1: succeeded("j", 0)}
        self.assertEqual([], self.check(JobHistory("j", 2, [0, 202], positions)))

    @params(
        ("lost item", JobHistory("j", 2, [202], {0: succeeded("j", 0)}), "1 of 2"),
        (
            "item at two positions",
            JobHistory("j", 2, [202], {0: succeeded("j", 0), 1: succeeded("j", 0)}),
            "two positions",
        ),
        (
            "text not whole",
            JobHistory("j", 1, [202], {0: succeeded("j", 0) | {"message": "j"}}),
            "not whole",
        ),
    )
    def test_broken_job(self, _, job, finding):
        self.assertIn(finding, self.check(job)[0])

    def test_only_refused_and_ran(self):
        found = self.check(JobHistory("j", 1, [503, 429]), (item_id("j", 0), 1.0))
        self.assertIn("only refused", found[0])

    def test_run_after_the_end(self):
        job = JobHistory("j", 1, [202], {}, ended_at=10.0)
        self.assertEqual([], self.check(job, (item_id("j", 0), 12.0)))
        self.assertIn("after its end", self.check(job, (item_id("j", 0), 13.5))[0])

    def test_position_that_changes(self):
        history = History()
        job = history.job("j", 1)
        history.read_page(job, 0, [succeeded("j", 0)])
        history.read_page(job, 0, [succeeded("j", 0) | {"message": "other"}])
        self.assertIn("position 0 has changed", check_round(history, [], CANCEL_S)[0])
