"""The soak's checks can fail: a row for each kind of broken promise."""

from __future__ import annotations

import time
import unittest

from nose2.tools import params

from quaymill_bench.fleet_world import ENGINE_VERSIONS, item_id, whole_text
from quaymill_bench.soak_checks import (
    CONTACT_S,
    RESEND_REFUSALS,
    SETTLE_S,
    History,
    JobCall,
    JobHistory,
    Sending,
    check_round,
)
from quaymill_bench.soak_senders import CRASH_PART
from quaymill_standins.fleet_replica import FleetReplica, ReplicaRun, event_bytes

CANCEL_S = 3.0
LATER_STREAM = b"".join(event_bytes("r", number, ENGINE_VERSIONS[1]) for number in (1, 2, 3))
CUT_MIXED_STREAM = event_bytes("r", 1) + event_bytes("r", 2, ENGINE_VERSIONS[1])
MIXED_STREAM = CUT_MIXED_STREAM + event_bytes("r", 3)
WHOLE_STREAM = b"".join(event_bytes("r", number) for number in (1, 2, 3))


def replica_with(*runs: tuple[str, float]) -> FleetReplica:
    replica = FleetReplica("replica", "engine", "zone")
    replica.runs += [ReplicaRun(one, "POST", "/", {}, b"", at) for one, at in runs]
    return replica


def succeeded(job: str, index: int) -> dict:
    name = item_id(job, index)
    return {"id": name, "state": "succeeded", "message": whole_text(name)}


class CrashingPartTest(unittest.TestCase):
    """Requests with a part that crashes replicas, no two alike."""

    @params((5, 3, None), (5, 4, "9 replicas, 4 of them late"), (4, 0, None))
    def test_late_runs(self, early: int, late: int, finding: str | None) -> None:
        headers = {"prompt-prefix": f"aa:1,{CRASH_PART}:1,last:1"}
        replica = replica_with()
        times = [*range(early), *(early + CONTACT_S + number for number in range(late))]
        replica.runs += [
            ReplicaRun(f"r-{at}", "POST", "/", headers, str(at).encode(), at, crashed=True)
            for at in times
        ]
        found = check_round(History(), [replica], CANCEL_S)
        self.assertEqual(finding is not None, bool(found))
        if finding is not None:
            self.assertIn(finding, found[0])


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
        ("resumable of another version", "resumable", 200, LATER_STREAM, 1, None),
        ("two versions", "resumable", 200, MIXED_STREAM, 1, "not its own"),
        ("two versions, cut", "resumable", 503, CUT_MIXED_STREAM, 1, "two software"),
        ("route unknown", "read", 404, b"", 0, "404"),
    )
    def test_sending(self, _, kind, status, body, runs, finding):
        history = History()
        history.add(Sending("r", kind, "gateway", status, body, whole=True))
        found = check_round(history, [replica_with(*[("r", 0.0)] * runs)], CANCEL_S)
        self.assertEqual(finding is not None, bool(found))
        if finding is not None:
            self.assertIn(finding, found[0])


class CrashTest(unittest.TestCase):
    """Requests that crash the replicas that run them."""

    @params(
        ("three at once", (0.0, 0.1, 0.2), False),
        ("others before it could be known", (0.0, 0.1, 0.2, 1.0, 2.0, 3.0, 3.1), False),
        ("three late runs", (0.0, 0.1, 0.2, 4.0, 5.0, 6.0), False),
        ("four late runs", (0.0, 0.1, 0.2, 4.0, 5.0, 6.0, 7.0), True),
        ("two crashes only", (0.0, 9.0), False),
    )
    def test_late_runs(self, _, starts, broken):
        replicas = []
        for at in starts:
            replica = FleetReplica("replica", "engine", "zone")
            replica.runs.append(ReplicaRun("r", "POST", "/", {}, b"bad", at, crashed=True))
            replicas.append(replica)
        found = check_round(History(), replicas, CANCEL_S)
        self.assertEqual(["bad: crashed 7 replicas, 4 of them late"] if broken else [], found)


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


LATER_S = SETTLE_S + 0.5
SOONER_S = SETTLE_S - 0.5


class ReadTest(unittest.TestCase):
    """What was accepted or read must be there, from a while after that on."""

    def setUp(self) -> None:
        self.history = History()
        self.job = self.history.job("j", 2)
        self.job.statuses.append(202)
        self.now = time.monotonic()
        self.job.accepted_at = self.now

    def call(self, after_s: float) -> JobCall:
        return JobCall("gateway", self.now + after_s)

    def check(self, finding: str | None) -> None:
        found = self.job.findings
        self.assertEqual(finding is not None, bool(found), found)
        if finding is not None:
            self.assertIn(finding, found[0])

    @params(
        ("there", 0, [succeeded("j", 0)], LATER_S, None),
        ("gone again", 0, [], LATER_S, "nothing at position 0"),
        ("gone for a moment", 0, [], SOONER_S, None),
        ("nothing beyond what was read", 1, [], LATER_S, None),
        ("another content", 0, [succeeded("j", 1)], LATER_S, "has changed"),
    )
    def test_position(self, _, since, results, after_s, finding) -> None:
        self.history.read_page(self.job, 0, [succeeded("j", 0)])
        self.history.read_page(self.job, since, results, self.call(after_s))
        self.check(finding)

    @params((404, LATER_S, True), (410, LATER_S, True), (404, SOONER_S, False), (503, 9.0, False))
    def test_refused_read(self, status, after_s, broken) -> None:
        self.history.read_refused(self.job, self.call(after_s), status)
        self.check(f"a read is answered {status}" if broken else None)

    @params(
        ("the one sent", 200, b"body 0", LATER_S, None),
        ("another", 200, b"body 1", LATER_S, "is not the one that was sent"),
        ("gone", 404, b"", LATER_S, "is answered 404"),
        ("not there yet", 404, b"", SOONER_S, None),
        ("not sure", 503, b"", LATER_S, None),
    )
    def test_body(self, _, status, body, after_s, finding) -> None:
        item = item_id("j", 0)
        self.history.read_body(self.job, self.call(after_s), item, status, body, b"body 0")
        self.check(finding)

    def test_body_of_a_listed_item_may_be_gone(self) -> None:
        self.history.read_page(self.job, 0, [succeeded("j", 0)])
        self.history.read_body(self.job, self.call(LATER_S), item_id("j", 0), 404, b"", b"")
        self.check(None)

    @params((429, RESEND_REFUSALS, True), (429, RESEND_REFUSALS - 1, False), (503, 9, False))
    def test_sent_again(self, status, times, broken) -> None:
        for _ in range(times):
            self.history.sent_again(self.job, self.call(LATER_S), status)
        self.check(f"refused with {status} again" if broken else None)

    @params((404, True), (200, False), (503, False))
    def test_ended_again(self, status, broken) -> None:
        self.history.ended_again(self.job, self.call(LATER_S), status)
        self.check(f"a repeated end is answered {status}" if broken else None)
