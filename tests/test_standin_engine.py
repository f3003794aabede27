"""Contract of the engine stand-in: protocol, batching, cancel, cache, load and faults."""

from __future__ import annotations

import socket
import threading
import time
import unittest
from unittest import mock

import openai
import urllib3
from nose2.tools import params

from quaymill_standins.completion_format import AnswerFormat, CompletionBody
from quaymill_standins.engine import Engine, EngineSettings
from quaymill_standins.lagged import LaggedValue
from quaymill_standins.prefix_cache import CacheEventLog, PrefixCache, prefix_blocks
from quaymill_standins.run import Run, TokenStream, token_source
from quaymill_standins.step_scheduler import PREFILL_TOKENS_PER_STEP
from quaymill_standins.text import (
    PROMPT_CHARACTERS_PER_TOKEN,
    digest,
    expected_text,
    expected_tokens,
    tokens_text,
)
from standin_support import StandinClient, read_raw, sse_events, wait_until

MODEL = "drafting"
SLOTS = 4
WAITING_LIMIT = 3
LONG = 100_000
CHAT = "/v1/chat/completions"
COMPLETIONS = "/v1/completions"
EARLY_END = (urllib3.exceptions.ProtocolError, urllib3.exceptions.IncompleteRead)


def completion(prompt: str, tokens: int, **fields: object) -> dict:
    return {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True, **fields}


def choice_text(choice: dict) -> str:
    if "text" in choice:
        return choice["text"]
    return (choice.get("delta") or choice.get("message") or {}).get("content") or ""


class EngineCase(unittest.TestCase):
    """One engine for a class of tests, left without faults and runs after each."""

    settings = EngineSettings(
        model=MODEL, slots=SLOTS, waiting_limit=WAITING_LIMIT, step_ms=2.0, load_lag_s=0.05
    )

    @classmethod
    def setUpClass(cls) -> None:
        cls.engine = Engine(cls.settings)
        cls.engine.start()
        cls.client = StandinClient(cls.engine.port)

    @classmethod
    def tearDownClass(cls) -> None:
        cls.client.close()
        cls.engine.stop()

    def setUp(self) -> None:
        self.opened: list[urllib3.BaseHTTPResponse] = []
        self.client.set_faults()

    def tearDown(self) -> None:
        """Leave no fault and no run behind for the next test."""
        self.client.set_faults()
        for response in self.opened:
            response.close()
        wait_until(lambda: not self.client.runs(outcome="running"), "all runs have ended")

    def stream(self, request_id: str, tokens: int = LONG, **fields: object):
        response = self.client.open(
            "POST", COMPLETIONS, completion("p", tokens, **fields), {"X-Request-Id": request_id}
        )
        self.opened.append(response)
        return response

    def wait_for_outcome(self, request_id: str, outcome: str) -> None:
        wait_until(
            lambda: self.client.runs(request_id=request_id, outcome=outcome),
            f"{request_id} is {outcome}",
        )

    def wait_for_tokens(self, request_id: str) -> None:
        wait_until(lambda: self.client.runs(request_id=request_id)[0]["tokens"], "a token came")


class ProtocolTest(EngineCase):
    """OpenAI's protocol, token ids and resume."""

    @params(
        (CHAT, {"messages": [{"role": "user", "content": "hi"}]}, "user: hi"),
        (COMPLETIONS, {"prompt": "hi"}, "hi"),
    )
    def test_answers_are_the_expected_tokens(self, path: str, fields: dict, prompt: str) -> None:
        body = {"model": MODEL, "max_tokens": 7, "return_token_ids": True, **fields}
        request_id = f"answers{path}"
        headers = {"X-Request-Id": request_id}
        whole = self.client.request("POST", path, body, headers)
        streamed = self.client.open("POST", path, {**body, "stream": True}, headers)
        chunks = list(sse_events(streamed))
        choices = [chunk["choices"][0] for chunk in chunks]
        expected = expected_text(MODEL, prompt, 7)
        self.assertEqual(choice_text(whole.json()["choices"][0]), expected)
        self.assertEqual("".join(map(choice_text, choices)), expected)
        token_ids = [token for choice in choices for token in choice.get("token_ids", [])]
        self.assertEqual(token_ids, expected_tokens(MODEL, prompt, 7))
        self.assertEqual(choices[-1]["finish_reason"], "length")
        self.assertEqual({chunk["id"] for chunk in chunks}, {request_id})
        self.assertEqual(streamed.headers["X-Request-Id"], request_id)
        runs = self.client.runs(request_id=request_id)
        self.assertEqual([run["prompt_digest"] for run in runs], [digest(prompt)] * 2)
        self.assertEqual([run["outcome"] for run in runs], ["finished"] * 2)

    def test_official_client_reads_streams_and_usage(self) -> None:
        with openai.OpenAI(base_url=self.client.base_url + "/v1", api_key="none") as client:
            stream = client.chat.completions.create(
                model=MODEL,
                messages=[{"role": "user", "content": "hi"}],
                max_completion_tokens=3,
                stream=True,
                stream_options={"include_usage": True},
            )
            chunks = list(stream)
            models = [model.id for model in client.models.list()]
        content = "".join(chunk.choices[0].delta.content or "" for chunk in chunks[:-1])
        self.assertEqual(content, expected_text(MODEL, "user: hi", 3))
        self.assertEqual(chunks[-1].usage.completion_tokens, 3)
        self.assertEqual(models, [MODEL])

    @params((3, 5), (8, 0), (9, 0))
    def test_resume_sends_only_what_is_missing(self, resumed: int, missing: int) -> None:
        before = expected_tokens(MODEL, "p", resumed)
        response = self.stream("resume", 8, resume_token_ids=before, return_token_ids=True)
        choices = [chunk["choices"][0] for chunk in sse_events(response)]
        sent = [token for choice in choices for token in choice.get("token_ids", [])]
        self.assertEqual(sent, expected_tokens(MODEL, "p", 8)[resumed:])
        self.assertEqual(len(sent), missing)

    def test_resume_from_foreign_tokens_leads_elsewhere(self) -> None:
        foreign = expected_tokens(MODEL, "another prompt", 3)
        response = self.stream("foreign", 8, resume_token_ids=foreign)
        content = "".join(choice_text(chunk["choices"][0]) for chunk in sse_events(response))
        self.assertNotEqual(content, tokens_text(expected_tokens(MODEL, "p", 8)[3:]))

    @params(
        (b"", 400),
        (b"{", 400),
        (b"[]", 400),
        ({"prompt": "p"}, 400),
        (completion("p", 0), 400),
        (completion("p", 3, resume_token_ids=[-1]), 400),
        (completion("p", 3, model="unknown"), 404),
    )
    def test_bad_requests_are_refused(self, body: object, status: int) -> None:
        answer = self.client.request("POST", COMPLETIONS, body)
        self.assertEqual(answer.status, status)
        self.assertTrue(answer.json()["error"]["message"])


class BatchingTest(EngineCase):
    """Slots, queue, priorities, cancel and draining."""

    def test_online_preempts_the_youngest_batch_run(self) -> None:
        batch = [self.stream(f"batch-{number}", priority=10) for number in range(SLOTS)]
        for number in range(SLOTS):
            self.wait_for_tokens(f"batch-{number}")
        online = self.stream("online", 3, priority=0)
        self.assertEqual(len(list(sse_events(online))), 4)
        last = list(sse_events(batch[-1]))[-1]
        self.assertEqual(last["choices"][0]["finish_reason"], "preempted")
        self.wait_for_outcome(f"batch-{SLOTS - 1}", "preempted")
        running = [run["request_id"] for run in self.client.runs(outcome="running")]
        self.assertEqual(running, [f"batch-{number}" for number in range(SLOTS - 1)])

    def test_equal_priority_waits_and_a_full_queue_refuses(self) -> None:
        first = [self.stream(f"equal-{number}", priority=5) for number in range(SLOTS)]
        for number in range(WAITING_LIMIT):
            self.stream(f"queued-{number}", 2, priority=5)
        refused = self.client.request("POST", COMPLETIONS, completion("p", 2))
        self.assertEqual(refused.status, 503)
        self.assertEqual(refused.headers["Quaymill-Outcome"], "not-run")
        self.assertEqual(self.client.runs(request_id="queued-0")[0]["tokens"], 0)
        first[0].close()
        self.wait_for_outcome(f"queued-{WAITING_LIMIT - 1}", "finished")
        self.wait_for_outcome("equal-0", "cancelled")

    def test_a_waiting_client_that_leaves_is_noticed_with_nothing_written(self) -> None:
        for number in range(SLOTS):
            self.stream(f"holder-{number}")
        waiting = self.stream("leaver")
        wait_until(lambda: self.client.get("/load")["waiting"] == 1, "one waits")
        waiting.close()
        self.wait_for_outcome("leaver", "cancelled")
        self.assertEqual(self.client.runs(request_id="leaver")[0]["tokens"], 0)

    def test_a_slow_reader_holds_nobody_up_and_loses_nothing(self) -> None:
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        ours.setblocking(False)
        body = CompletionBody(model=MODEL, prompt="p", max_tokens=20_000)
        connection = _FakeConnection(ours)
        stream = TokenStream(connection, AnswerFormat(body, COMPLETIONS, "slow"))
        run = Run(body, "p", "slow", connection, token_source(body, "p"), stream)
        run.advance()
        theirs.setblocking(False)
        with self.assertRaises(BlockingIOError, msg="no token may overtake the headers"):
            theirs.recv(1)
        theirs.setblocking(True)
        stream.open()
        while not run.advance():
            pass
        writer = threading.Thread(target=stream.finish, args=(run,))
        writer.start()
        received = b""
        while b"[DONE]" not in received[-200:]:
            received += theirs.recv(1 << 20)
        writer.join()
        theirs.close()
        self.assertEqual(received.count(b'"finish_reason":null'), 20_000)

    def test_a_connection_closed_by_its_request_ends_no_other_run(self) -> None:
        """The closed descriptor is taken by the next connection, whose run goes on."""
        scheduler = self.engine._scheduler
        gone, far_end = socket.socketpair()
        self.addCleanup(far_end.close)
        closed_run = _whole_run("closed", gone, tokens=100_000)
        scheduler.submit(closed_run)
        gone.close()
        next_one, next_far_end = socket.socketpair()
        self.addCleanup(next_one.close)
        self.addCleanup(next_far_end.close)
        next_run = _whole_run("next", next_one, tokens=100_000)
        self.assertEqual(next_run.descriptor, closed_run.descriptor)
        scheduler.submit(next_run)
        scheduler.cancel(closed_run)
        self.assertEqual(closed_run.journal.outcome, "cancelled")
        self.assertEqual(next_run.journal.outcome, "running")
        next_far_end.close()
        self.wait_for_outcome("next", "cancelled")

    def test_requests_are_released_when_the_step_thread_fails(self) -> None:
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        run = _whole_run("unlucky", ours, tokens=100_000)
        run.advance = _fail
        with mock.patch("threading.excepthook"):
            self.engine._scheduler.submit(run)
            wait_until(run.done.is_set, "the request is released")

    def test_draining_refuses_new_work_and_finishes_old(self) -> None:
        old = self.stream("old", 60)
        self.client.request("POST", "/drain", {"draining": True})
        self.addCleanup(self.client.request, "POST", "/drain", {"draining": False})
        refused = self.client.request("POST", COMPLETIONS, completion("p", 2))
        self.assertEqual(refused.status, 503)
        self.assertEqual(refused.headers["Quaymill-Outcome"], "not-run")
        self.assertEqual(self.client.request("GET", "/health").status, 503)
        self.assertEqual(len(list(sse_events(old))), 61)
        wait_until(lambda: self.client.get("/load")["draining"], "the load says draining")


def _whole_run(request_id: str, sock: socket.socket, tokens: int) -> Run:
    """Return a run whose answer is sent whole."""
    body = CompletionBody(model=MODEL, prompt=request_id, max_tokens=tokens)
    source = token_source(body, request_id)
    return Run(body, request_id, request_id, _FakeConnection(sock), source, None)


def _fail() -> bool:
    raise RuntimeError("a fault of the stand-in")


class _FakeConnection:
    """A connection over a socket pair."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    def fileno(self) -> int:
        return self._socket.fileno()

    def send_raw(self, data: bytes) -> None:
        self._socket.setblocking(True)
        self._socket.sendall(data)

    send = send_raw


class CacheTest(EngineCase):
    """The prefix cache and its events."""

    settings = EngineSettings(
        model=MODEL,
        cache_blocks=4,
        step_ms=2.0,
        cache_event_lag_s=1.0,
        cache_event_gap_probability=0,
    )

    def test_cached_prefixes_are_bounded_and_reported_late(self) -> None:
        prompt = "a" * 256
        events_before = self.client.get("/cache-events")["events"]
        cached = [self._cached_tokens(prompt), self._cached_tokens(prompt)]
        events_early = self.client.get("/cache-events")["events"]
        cached += [self._cached_tokens("b" * 256), self._cached_tokens(prompt)]
        self.assertEqual(cached, [0, 64, 0, 0])
        self.assertEqual((events_before, events_early), ([], []))
        wait_until(lambda: len(self.client.get("/cache-events")["events"]) == 5, "events came")
        events = self.client.get("/cache-events?after=1")["events"]
        kinds = [(event["sequence"], event["kind"]) for event in events]
        self.assertEqual(kinds, [(2, "stored"), (3, "removed"), (4, "stored"), (5, "removed")])
        self.assertEqual(tuple(events[1]["blocks"]), prefix_blocks(prompt))

    def test_a_cache_hit_shortens_the_prefill(self) -> None:
        engine = Engine(EngineSettings(model=MODEL, step_ms=10.0))
        engine.start()
        self.addCleanup(engine.stop)
        client = StandinClient(engine.port)
        self.addCleanup(client.close)
        steps = 50
        prompt = "c" * (steps * PREFILL_TOKENS_PER_STEP * PROMPT_CHARACTERS_PER_TOKEN)
        durations_s = []
        for _ in range(2):
            started_s = time.monotonic()
            client.request("POST", COMPLETIONS, completion(prompt, 1))
            durations_s.append(time.monotonic() - started_s)
        self.assertGreaterEqual(durations_s[0], steps * 0.01)
        self.assertLess(durations_s[1], steps * 0.01)

    def test_only_the_common_prefix_is_cached(self) -> None:
        cache = PrefixCache(100, CacheEventLog(0.0, 0.0))
        cache.store(prefix_blocks("c" * 6400))
        self.assertEqual(cache.cached_characters(prefix_blocks("c" * 128 + "d" * 128)), 128)
        self.assertEqual(cache.cached_characters(prefix_blocks("d" * 128 + "c" * 128)), 0)

    def test_lost_events_leave_gaps(self) -> None:
        log = CacheEventLog(0.0, 0.3)
        for number in range(100):
            log.append("stored", (str(number),))
        sequences = [event.sequence for event in log.after(0)]
        self.assertLess(len(sequences), 100)
        self.assertGreater(sequences[-1], len(sequences))
        self.assertEqual([event.sequence for event in log.after(0)], sequences)

    def _cached_tokens(self, prompt: str) -> int:
        body = completion(prompt, 1, stream=False)
        usage = self.client.request("POST", COMPLETIONS, body).json()["usage"]
        return usage["prompt_tokens_details"]["cached_tokens"]


class LoadTest(EngineCase):
    """The load report and its lies."""

    settings = EngineSettings(model=MODEL, slots=SLOTS, step_ms=2.0, load_lag_s=0.0)

    def test_reads_are_late(self) -> None:
        value = LaggedValue(0, lag_s=0.5)
        value.write(1)
        value.write(2)
        self.assertEqual(value.read(), 0)
        wait_until(lambda: value.read() == 2, "the latest value is seen")

    @params(("", 2), ("stale", 0), ("zero", 0))
    def test_reports_and_lies(self, lie: str, reported: int) -> None:
        wait_until(lambda: self.client.get("/load")["running"] == 0, "idle is reported")
        self.client.set_faults(load_lies=lie)
        for number in range(2):
            self.stream(f"load{lie}-{number}", priority=number * 10)
            self.wait_for_tokens(f"load{lie}-{number}")
        if lie == "":
            wait_until(lambda: self.client.get("/load")["running"] == 2, "two are reported")
            self.assertEqual(self.client.get("/load")["batch_running"], 1)
        self.assertEqual(self.client.get("/load")["running"], reported)
        self.client.set_faults()
        wait_until(lambda: self.client.get("/load")["running"] == 2, "the truth is back")

    def test_no_report(self) -> None:
        self.client.set_faults(load_lies="none")
        self.assertEqual(self.client.request("GET", "/load").status, 503)


class FaultTest(EngineCase):
    """Each row: switches, whole or streamed, status or error, outcomes in the journal."""

    @params(
        ("refuse", {"refuse": True}, 503, []),
        ("error", {"error_probability": 1}, 500, []),
        ("drop", {"drop_probability": 1}, None, []),
        ("down", {"down": True}, None, []),
        ("lose_answer", {"lose_answer_probability": 1}, None, ["finished"]),
        ("delay", {"delay_s": 0.1}, 200, ["finished"]),
    )
    def test_same_for_whole_and_streamed(
        self, name: str, faults: dict, status: int | None, outcomes: list[str]
    ) -> None:
        for streamed in (False, True):
            self.client.set_faults(**faults)
            request_id = f"{name}-{streamed}"
            seen_before = self.client.injected().get(name, 0)
            answer = self._status(request_id, completion("p", 3, stream=streamed))
            self.assertEqual(answer, status)
            self.assertEqual(self.client.injected()[name], seen_before + 1)
            runs = self.client.runs(request_id=request_id)
            self.assertEqual([run["outcome"] for run in runs], outcomes)

    def _status(self, request_id: str, body: dict) -> int | None:
        try:
            headers = {"X-Request-Id": request_id}
            return self.client.request("POST", COMPLETIONS, body, headers).status
        except urllib3.exceptions.ProtocolError:
            return None

    @params(False, True)
    def test_truncated_answers_end_inside_an_event(self, streamed: bool) -> None:
        self.client.set_faults(truncate_probability=1, seed=7)
        request_id = f"cut-{streamed}"
        body = completion("p", 50, stream=streamed)
        headers = {"X-Request-Id": request_id}
        received = read_raw(self.engine.port, "POST", COMPLETIONS, body, headers)
        self.assertIn(b"200 OK", received)
        self.assertFalse(received.endswith((b"\n", b"}")))
        self.wait_for_outcome(request_id, "cancelled" if streamed else "finished")

    def test_crossed_answers_carry_another_id_and_text(self) -> None:
        self.client.set_faults(cross_probability=1)
        response = self.stream("mine", 5)
        chunks = list(sse_events(response))
        content = "".join(choice_text(chunk["choices"][0]) for chunk in chunks)
        self.assertNotEqual(content, expected_text(MODEL, "p", 5))
        self.assertNotIn("mine", [chunk["id"] for chunk in chunks])
        self.assertNotEqual(response.headers["X-Request-Id"], "mine")
        self.assertEqual(self.client.runs(request_id="mine")[0]["prompt_digest"], digest("p"))

    def test_freeze_stops_old_and_new_requests_until_it_is_off(self) -> None:
        old = self.stream("frozen-old", 200)
        self.client.set_faults(freeze=True)
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            self.client.request("POST", COMPLETIONS, completion("p", 2), timeout_s=0.3)
        self.assertEqual(self.client.request("GET", "/health").status, 200)
        before = self.client.runs(request_id="frozen-old")[0]["tokens"]
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            self.client.request("POST", COMPLETIONS, completion("p", 2), timeout_s=0.3)
        self.assertEqual(self.client.runs(request_id="frozen-old")[0]["tokens"], before)
        self.client.set_faults()
        self.assertEqual(len(list(sse_events(old))), 201)

    def test_down_cuts_streams(self) -> None:
        response = self.stream("cut-by-down")
        self.wait_for_tokens("cut-by-down")
        self.client.set_faults(down=True)
        with self.assertRaises(EARLY_END):
            list(sse_events(response))
        self.wait_for_outcome("cut-by-down", "cancelled")

    def test_slow_factor_stretches_steps(self) -> None:
        self.client.set_faults(slow_factor=1e6)
        self.stream("slow", 2)
        wait_until(lambda: self.client.get("/load")["running"] == 1, "it runs")
        self.assertEqual(self.client.runs(request_id="slow")[0]["tokens"], 0)

    @params({"delay": 1}, {"refuse": "yes"}, {"drop_probability": 1.5}, {"load_lies": "maybe"})
    def test_unknown_switches_are_refused(self, faults: dict) -> None:
        answer = self.client.request("POST", "/standin/faults", faults)
        self.assertEqual(answer.status, 400)


if __name__ == "__main__":
    unittest.main()
