"""The fault rounds: schedules are reproducible, and each broken promise is noticed."""

import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

import msgspec
from nose2.tools import params

from quaymill_bench.caller import Answer
from quaymill_bench.fault_checks import Journals, RoundCheck, Violations
from quaymill_bench.fault_jobs import JobClient, JobOutcome, JobPlan
from quaymill_bench.fault_schedule import FaultKind, draw_schedule
from quaymill_bench.fault_workload import CallRecord, CallSend, OnlineRecord
from quaymill_bench.history import History
from quaymill_bench.journals import Prompt
from quaymill_bench.load_plan import PlannedRequest

PROMPTS = [Prompt("drafting", f"item {number}", 4) for number in range(3)]
ITEMS_PLAN = JobPlan(name="job", prompts=PROMPTS)
CALLS_PLAN = JobPlan(name="calls", call_bodies=[{"item": 1}])
CANCELLED_PLAN = JobPlan(name="job", prompts=PROMPTS, cancels=True)


class FaultScheduleTest(unittest.TestCase):
    """Schedules depend on seed and round alone, and stay within what is promised."""

    def test_a_round_can_be_replayed_by_seed_and_number(self):
        self.assertEqual(draw_schedule(7, 12), draw_schedule(7, 12))
        self.assertNotEqual(draw_schedule(7, 12), draw_schedule(7, 13))

    def test_every_kind_comes_and_at_most_one_disk_is_wiped_in_a_round(self):
        schedules = [draw_schedule(1, number) for number in range(400)]
        kinds = {event.kind for schedule in schedules for event in schedule.events}
        self.assertEqual(kinds, set(FaultKind))
        for schedule in schedules:
            wiped = [event for event in schedule.events if event.kind == FaultKind.NODE_WIPED]
            self.assertLessEqual(len(wiped), 1)


def item_line(number: int, text: str | None = None) -> dict:
    text = PROMPTS[number].expected if text is None else text
    body = {"choices": [{"text": text}]}
    return {"custom_id": f"job-{number}", "response": {"body": body}, "error": None}


def job_outcome(**changes) -> JobOutcome:
    counts = {"completed": 3, "failed": 0}
    fields = {
        "batch_ids": {"batch_0_1"},
        "final": {"status": "completed", "request_counts": counts},
        "results": [item_line(number) for number in range(3)],
        "errors": [],
    }
    return JobOutcome(**{**fields, **changes})


def ended(status: str, completed: int, failed: int = 0) -> dict:
    return {"status": status, "request_counts": {"completed": completed, "failed": failed}}


ITEM_CASES = (
    ("nothing is wrong", {}, {}),
    ("no submission was acknowledged", {"batch_ids": set()}, {"unhealed": 1}),
    ("a resend made a second job", {"batch_ids": {"a", "b"}}, {"doubled": 1}),
    ("the job is gone", {"gone": True}, {"lost": 1}),
    ("the state cannot be read", {"final": {}}, {"unreadable": 1}),
    ("the job does not end", {"final": ended("in_progress", 2)}, {"lost": 1}),
    ("the results cannot be read", {"results": None}, {"unreadable": 1}),
    (
        "an item has no result, and the counts admit it",
        {"final": ended("completed", 2), "results": [item_line(0), item_line(1)]},
        {"lost": 1},
    ),
    (
        "an item has two results",
        {"final": ended("completed", 4), "results": [item_line(n) for n in (0, 1, 2, 2)]},
        {"doubled": 1},
    ),
    (
        "an item has another item's result",
        {"results": [item_line(0), item_line(1), item_line(2, PROMPTS[0].expected)]},
        {"crossed": 1},
    ),
    (
        "an item ended as failed",
        {
            "final": ended("completed", 2, 1),
            "results": [item_line(0), item_line(1)],
            "errors": [{"custom_id": "job-2", "error": {"code": "item_failed"}}],
        },
        {"lost": 1},
    ),
)
CANCEL_CASES = (
    ("it stopped", ended("cancelled", 1), "cancelled", 0),
    ("an item was completed afterwards", ended("cancelled", 2), "cancelled", 1),
    ("it went on to its end", ended("completed", 3), "cancelled", 1),
    ("it was complete before the cancel", ended("completed", 3), "completed", 0),
)


class RoundCheckTest(unittest.TestCase):
    """What a caller was told against what the journals say."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.history = History(Path(folder.name) / "round.jsonl")
        self.addCleanup(self.history.close)

    def violations(self, engine_runs=(), application_runs=(), **workload) -> Violations:
        check = RoundCheck(list(engine_runs), list(application_runs))
        check.check(SimpleNamespace(**{"online": [], "calls": [], "jobs": [], **workload}))
        return check.violations

    def job(self, plan: JobPlan, outcome: JobOutcome) -> JobClient:
        client = JobClient(plan, [], self.history)
        client.outcome = outcome
        return client

    @params(*ITEM_CASES)
    def test_job_of_model_items(self, _name, changes, expected):
        job = self.job(ITEMS_PLAN, job_outcome(**changes))
        self.assertEqual(self.violations(jobs=[job]), Violations(**expected))

    @params(*CANCEL_CASES)
    def test_cancelled_job(self, _name, final, cancel_status, uncancelled):
        completed = final["request_counts"]["completed"]
        outcome = job_outcome(
            final=final,
            cancel_status=cancel_status,
            cancelled_counts={"completed": 1, "failed": 0},
            results=[item_line(number) for number in range(completed)],
        )
        found = self.violations(jobs=[self.job(CANCELLED_PLAN, outcome)])
        self.assertEqual(found, Violations(uncancelled=uncancelled))

    @params(
        ("ran once", 1, {}),
        ("ran twice", 2, {"doubled": 1}),
        ("has an answer and never ran", 0, {"crossed": 1}),
    )
    def test_item_that_may_not_be_repeated(self, _name, runs, expected):
        digest = CALLS_PLAN.call_digests()[0]
        line = {"custom_id": "calls-0", "response": {"body": {"body_digest": digest}}}
        outcome = job_outcome(final=ended("completed", 1), results=[line])
        run = {"key": "any", "request_id": "any.1", "body_digest": digest}
        found = self.violations(application_runs=[run] * runs, jobs=[self.job(CALLS_PLAN, outcome)])
        self.assertEqual(found, Violations(**expected))

    @params(
        ("answered and ran once", 200, "", 1, {}),
        ("answered and ran twice", 200, "", 2, {"doubled": 1}),
        ("answered and never ran", 200, "", 0, {"lost": 1}),
        ("not run, and it did run", 503, "not-run", 1, {"false_not_run": 1}),
        ("not run", 503, "not-run", 0, {}),
        ("outcome unknown, and it ran", 504, "unknown", 1, {}),
        ("no answer, and it ran twice", 0, "", 2, {"doubled": 1}),
    )
    def test_at_most_once_call(self, _name, status, outcome, runs, expected):
        call = CallRecord("key-1", {"submit": 1})
        answer = {"run": 1, "key": call.key, "body_digest": call.body_digest}
        body = msgspec.json.encode(answer) if status == 200 else b""
        call.sends.append(CallSend("key-1-0", "node", status, outcome, body))
        run = {"key": "key-1", "request_id": "key-1-0.ab", "body_digest": call.body_digest}
        found = self.violations(application_runs=[run] * runs, calls=[call])
        self.assertEqual(found, Violations(**expected))

    @params(
        ("whole", Answer(200, whole=True, text=PROMPTS[0].expected), {}),
        ("another text", Answer(200, whole=True, text=" other"), {"crossed": 1}),
        ("shorter as if whole", Answer(200, whole=True, text=""), {"crossed": 1}),
        ("cut with an error", Answer(200, error="error event"), {}),
        ("not run, and an engine began", Answer(503, outcome="not-run"), {"false_not_run": 1}),
    )
    def test_online_request(self, _name, answer, expected):
        record = OnlineRecord("r1", PlannedRequest(0.0, "", PROMPTS[0]), answer)
        run = {"request_id": "r1.ab", "prompt_digest": PROMPTS[0].digest, "outcome": "cancelled"}
        self.assertEqual(
            self.violations(engine_runs=[run], online=[record]), Violations(**expected)
        )


class JournalsTest(unittest.TestCase):
    """Runs that died with their engine do not count as still running."""

    def test_a_run_of_a_killed_engine_is_not_running(self):
        runs = [{"request_id": "r1", "outcome": "running"}]
        engine = SimpleNamespace(name="engine", journal=lambda: list(runs))
        journals = Journals()
        journals.save(engine)
        runs.clear()
        cluster = SimpleNamespace(engines=[engine])
        self.assertEqual([run["outcome"] for run in journals.engine_runs(cluster)], ["killed"])

    def test_a_run_that_goes_on_is_running(self):
        runs = [{"request_id": "r1", "outcome": "running"}]
        engine = SimpleNamespace(name="engine", journal=lambda: [dict(run) for run in runs])
        journals = Journals()
        cluster = SimpleNamespace(engines=[engine])
        for _ in range(2):
            outcomes = [run["outcome"] for run in journals.engine_runs(cluster)]
        self.assertEqual(outcomes, ["running"])
