"""The load generator: arrivals, latencies from the intended start, verdicts on answers."""

import threading
import time
import unittest

from nose2.tools import params

from quaymill_bench.caller import Answer
from quaymill_bench.journals import Prompt
from quaymill_bench.load import LoadRecorder, judge_answer, send_open_loop
from quaymill_bench.load_plan import LoadPlan, Phase, PlannedRequest, planned_requests, split_plan

PROMPT = Prompt("drafting", "a question", 6)
REQUEST = PlannedRequest(0.0, "http://127.0.0.1:1", PROMPT)
WHOLE = PROMPT.expected


def plan(**changes) -> LoadPlan:
    phases = (Phase(20.0, 10.0), Phase(10.0, 100.0))
    fields = {"base_urls": ("a", "b"), "key": "", "model": "drafting", "phases": phases}
    return LoadPlan(**{**fields, **changes})


class LoadPlanTest(unittest.TestCase):
    """Arrivals are Poisson at the rate of each phase, and depend on the seed alone."""

    def test_the_same_seed_gives_the_same_requests(self):
        self.assertEqual(planned_requests(plan(seed=3)), planned_requests(plan(seed=3)))
        self.assertNotEqual(planned_requests(plan(seed=3)), planned_requests(plan(seed=4)))

    def test_each_phase_has_its_rate(self):
        starts = [request.start_s for request in planned_requests(plan())]
        calm = sum(start_s < 20.0 for start_s in starts)
        # Within five standard deviations of a Poisson count.
        self.assertAlmostEqual(calm, 200, delta=5 * 200**0.5)
        self.assertAlmostEqual(len(starts) - calm, 1000, delta=5 * 1000**0.5)
        self.assertEqual(starts, sorted(starts))

    def test_parts_of_a_plan_add_up_and_ask_different_prompts(self):
        parts = [planned_requests(part) for part in split_plan(plan(), 3)]
        prompts = {request.prompt for part in parts for request in part}
        self.assertEqual(len(prompts), sum(len(part) for part in parts))
        self.assertAlmostEqual(len(prompts), 1200, delta=5 * 1200**0.5)


class OpenLoopTest(unittest.TestCase):
    """A slow answer neither delays later requests nor hides their waiting."""

    def test_latency_counts_from_the_intended_start_when_every_sender_is_busy(self):
        recorder = LoadRecorder()
        requests = [PlannedRequest(0.0, "", PROMPT) for _ in range(3)]
        service_s = 0.1

        def send(request, intended_at):
            started_at = time.monotonic()
            time.sleep(service_s)
            now = time.monotonic()
            answer = Answer(200, whole=True, text=WHOLE, token_times=[now], ended_at=now)
            recorder.record(request, intended_at, started_at, answer)

        send_open_loop(requests, time.monotonic(), 1, send)
        # One sender serves the three in turn: the last waited for both others.
        slowest_ms = recorder.histograms["first_token"].percentile_ms(100)
        self.assertGreaterEqual(slowest_ms, 3 * service_s * 1000 - 1)
        self.assertEqual(recorder.counts.whole, 3)

    def test_requests_start_on_time_although_the_first_is_not_answered(self):
        release = threading.Event()
        started = []

        def send(request, intended_at):
            started.append(request.start_s)
            if request.start_s == 0.0:
                release.wait(10.0)
            elif len(started) == 3:
                release.set()

        requests = [PlannedRequest(start_s, "", PROMPT) for start_s in (0.0, 0.01, 0.02)]
        send_open_loop(requests, time.monotonic(), 3, send)
        self.assertTrue(release.is_set())


class JudgeAnswerTest(unittest.TestCase):
    """Only the whole expected text counts as an answer."""

    @params(
        ("whole", Answer(200, whole=True, text=WHOLE)),
        ("truncated", Answer(200, whole=True, text=WHOLE[:-3])),
        ("truncated", Answer(200, whole=True)),
        ("cut", Answer(200, whole=False, text=WHOLE)),
        ("cut", Answer(200, whole=True, text=WHOLE, error="error event")),
        ("crossed", Answer(200, whole=True, text=" another text")),
        ("crossed", Answer(200, whole=True, text=WHOLE + "x")),
        ("crossed", Answer(200, whole=False, text="x", error="error event")),
        ("not_run", Answer(503, outcome="not-run")),
        ("unknown", Answer(504, outcome="unknown")),
        ("failed", Answer(502, outcome="failed")),
        ("no_answer", Answer(0, error="refused")),
    )
    def test_verdict(self, verdict, answer):
        self.assertEqual(judge_answer(REQUEST, answer), verdict)
