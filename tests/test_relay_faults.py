"""Faulty replicas: every caller gets the whole answer to its own request or an explicit error."""

import threading
import time
import unittest

from nose2.tools import params

from gateway_rig import (
    MODEL,
    GatewayRig,
    begin,
    chat,
    send,
    streamed_text,
    wait_until,
)
from quaymill.connection.endpoint import Endpoint
from quaymill_standins.faults import Faults
from quaymill_standins.text import chat_prompt, expected_text

PATH = "/v1/chat/completions"
TOKENS = 40
REQUESTS = 12


def expected(prompt: str, tokens: int = TOKENS) -> str:
    return expected_text(MODEL, chat_prompt([("user", prompt)]), tokens)


class OneFaultyReplicaTest(unittest.TestCase):
    """One of two replicas is faulty; every caller still gets a whole answer."""

    @classmethod
    def setUpClass(cls):
        cls.rig = GatewayRig()
        cls.faulty = cls.rig.add_engine()
        cls.rig.add_engine()
        cls.rig.start()

    @classmethod
    def tearDownClass(cls):
        cls.rig.stop()

    def setUp(self):
        self.rig.heal()

    @params(
        ("down", Faults(down=True)),
        ("refusing", Faults(refuse=True)),
        ("frozen", Faults(freeze=True)),
        ("crossed", Faults(cross_probability=1.0)),
        ("truncated in a token", Faults(truncate_probability=1.0, seed=1)),
        ("truncated at times", Faults(truncate_probability=0.5, seed=2)),
        ("dropping", Faults(drop_probability=1.0)),
        ("losing answers", Faults(lose_answer_probability=1.0)),
        ("failing", Faults(error_probability=1.0)),
        ("late", Faults(delay_s=0.3)),
        ("slow", Faults(slow_factor=5.0)),
        ("lying that it is idle", Faults(load_lies="zero")),
        ("lying and crossed", Faults(load_lies="zero", cross_probability=0.5)),
        ("silent about its load", Faults(load_lies="none")),
    )
    def test_answers_are_whole(self, _, faults):
        self.faulty.switches.replace(faults)
        for stream in (True, False):
            self._request_all(stream)

    def _request_all(self, stream: bool) -> None:
        replies: dict[str, object] = {}

        def ask(prompt: str) -> None:
            replies[prompt] = self.rig.request("POST", PATH, chat(prompt, TOKENS, stream=stream))

        prompts = [f"question {number}" for number in range(REQUESTS)]
        threads = [threading.Thread(target=ask, args=(prompt,)) for prompt in prompts]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for prompt in prompts:
            reply = replies[prompt]
            self.assertEqual(reply.status, 200, reply.body)
            if stream:
                self.assertEqual(streamed_text(reply.body), (expected(prompt), True, []))
            else:
                content = reply.json()["choices"][0]["message"]["content"]
                self.assertEqual(content, expected(prompt))

    def test_replica_killed_in_mid_stream_is_resumed_from_the_tokens_relayed(self):
        connections = [self.rig.connect() for _ in range(REQUESTS)]
        prompts = [f"question {number}" for number in range(REQUESTS)]
        responses = [
            begin(connection, "POST", PATH, chat(prompt, 200, stream=True))
            for connection, prompt in zip(connections, prompts, strict=True)
        ]
        starts = [response.read1(1) for response in responses]
        self.faulty.switches.replace(Faults(down=True))
        for prompt, start, response in zip(prompts, starts, responses, strict=True):
            text, ended, errors = streamed_text(start + response.read())
            self.assertEqual((text, ended, errors), (expected(prompt, 200), True, []))
        for connection in connections:
            connection.close()
        resumed = [run for run in self.rig.runs() if run["resumed_tokens"] > 0]
        self.assertGreater(len(resumed), 0)

    def test_chunks_of_a_resumed_stream_carry_one_id(self):
        self.faulty.switches.replace(Faults(truncate_probability=1.0, seed=1))
        for number in range(4):
            reply = self.rig.request("POST", PATH, chat(f"q{number}", TOKENS, stream=True))
            ids = {part.split(b'"')[0] for part in reply.body.split(b'"id":"')[1:]}
            self.assertEqual(len(ids), 1)

    def test_usage_of_a_resumed_answer_counts_all_its_tokens(self):
        self.faulty.switches.replace(Faults(truncate_probability=1.0, seed=1))
        options = {"stream_options": {"include_usage": True}}
        for number in range(4):
            whole = self.rig.request("POST", PATH, chat(f"w{number}", TOKENS))
            self.assertEqual(whole.json()["usage"]["completion_tokens"], TOKENS)
            body = chat(f"s{number}", TOKENS, stream=True) | options
            streamed = self.rig.request("POST", PATH, body)
            self.assertIn(b'"completion_tokens":%d' % TOKENS, streamed.body)


class AllReplicasFaultyTest(unittest.TestCase):
    """All replicas are faulty: the caller gets an accurate error at once, with a retry time."""

    @classmethod
    def setUpClass(cls):
        cls.rig = GatewayRig()
        cls.engines = [cls.rig.add_engine(), cls.rig.add_engine()]
        cls.rig.start()

    @classmethod
    def tearDownClass(cls):
        cls.rig.stop()

    def setUp(self):
        self.rig.heal()

    @params(
        ("refusing", Faults(refuse=True), "not-run"),
        ("dropping", Faults(drop_probability=1.0), "unknown"),
        ("losing answers", Faults(lose_answer_probability=1.0), "unknown"),
        ("failing", Faults(error_probability=1.0), "failed"),
        ("crossed", Faults(cross_probability=1.0), "unknown"),
    )
    def test_error_is_returned_at_once(self, _, faults, outcome):
        runs_before = len(self.rig.runs())
        for engine in self.engines:
            engine.switches.replace(faults)
        for stream in (True, False):
            started_at = time.monotonic()
            reply = self.rig.request("POST", PATH, chat(stream=stream), Quaymill_Timeout_S="60")
            self.assertLess(time.monotonic() - started_at, 2.0)
            self.assertGreaterEqual(reply.status, 500)
            self.assertEqual(reply.headers["quaymill-outcome"], outcome)
            self.assertIn("retry-after", reply.headers)
        if outcome == "not-run":
            self.assertEqual(len(self.rig.runs()), runs_before)

    def test_stream_that_cannot_be_completed_ends_with_an_error_event(self):
        for engine in self.engines:
            engine.switches.replace(Faults(truncate_probability=1.0, seed=1))
        reply = self.rig.request("POST", PATH, chat("q", 2, stream=True))
        text, ended, errors = streamed_text(reply.body)
        if reply.status == 200:
            self.assertFalse(ended)
            self.assertEqual(len(errors), 1)
            self.assertTrue(expected("q", 2).startswith(text))
        else:
            self.assertEqual(reply.headers["quaymill-outcome"], "unknown")

    def test_retries_are_limited_by_the_retry_budget(self):
        for engine in self.engines:
            engine.switches.replace(Faults(drop_probability=1.0))
        requests = 300
        drops_before = self._drops()
        connection = self.rig.connect()
        for _ in range(requests):
            reply = send(connection, "POST", PATH, chat(stream=True))
            self.assertGreaterEqual(reply.status, 500)
        connection.close()
        attempts = self._drops() - drops_before
        # A tenth of the requests, the initial burst of 50, and some for the minimum rate.
        self.assertLess(attempts, requests * 1.1 + 50 + 15)

    def _drops(self) -> int:
        return sum(engine.switches.injected().get("drop", 0) for engine in self.engines)


class PooledConnectionTest(unittest.TestCase):
    """The replica closes an idle connection while a request is being sent on it."""

    def test_request_is_sent_to_the_replica_again(self):
        rig = GatewayRig()
        engine = rig.add_engine()
        rig.start()
        self.addCleanup(rig.stop)
        for number in range(3):
            self.assertEqual(rig.request("POST", PATH, chat(f"a{number}")).status, 200)
            engine.switches.replace(Faults(down=True))
            engine.switches.replace(Faults())
            self.assertEqual(rig.request("POST", PATH, chat(f"b{number}")).status, 200)


class ZoneCutTest(unittest.TestCase):
    """The link to one zone fails while streams are running."""

    def test_streams_are_resumed_in_the_other_zone(self):
        rig = GatewayRig(zone="zone-c")
        for zone in ("zone-a", "zone-b"):
            rig.add_engine(zone=zone)
        rig.start({"zone-a": 1.0, "zone-b": 1.0})
        self.addCleanup(rig.stop)
        connections = [rig.connect() for _ in range(4)]
        responses = [
            begin(connection, "POST", PATH, chat(f"q{number}", 200, stream=True))
            for number, connection in enumerate(connections)
        ]
        starts = [response.read1(1) for response in responses]
        cut_off = rig.engines["engine-1"]
        rig.links.set_blocked(frozenset({Endpoint("127.0.0.1", cut_off.port)}))
        for number, (start, response) in enumerate(zip(starts, responses, strict=True)):
            whole = start + response.read()
            self.assertEqual(streamed_text(whole), (expected(f"q{number}", 200), True, []))
        for connection in connections:
            connection.close()
        wait_until(lambda: not rig.load_view.replicas(MODEL)[0].reachable)
        reply = rig.request("POST", PATH, chat("after", stream=True))
        self.assertEqual(streamed_text(reply.body), (expected("after", 8), True, []))
