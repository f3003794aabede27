"""The callers' completion routes, against engine stand-ins."""

import unittest

from nose2.tools import params

from gateway_rig import MODEL, GatewayRig, chat, streamed_text
from quaymill_standins.text import chat_prompt, expected_text

PROMPT = "which deductions?"
EXPECTED = expected_text(MODEL, chat_prompt([("user", PROMPT)]), 8)


class CompletionsTest(unittest.TestCase):
    """Whole and streamed answers, and refusals that name what is wrong."""

    @classmethod
    def setUpClass(cls):
        cls.rig = GatewayRig()
        cls.rig.add_engine()
        cls.rig.add_application()
        cls.rig.start()

    @classmethod
    def tearDownClass(cls):
        cls.rig.stop()

    def test_whole_answer(self):
        reply = self.rig.request("POST", "/v1/chat/completions", chat(PROMPT))
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.json()["choices"][0]["message"]["content"], EXPECTED)

    def test_streamed_answer(self):
        reply = self.rig.request("POST", "/v1/chat/completions", chat(PROMPT, stream=True))
        self.assertEqual(streamed_text(reply.body), (EXPECTED, True, []))

    def test_text_completion(self):
        body = {"model": MODEL, "prompt": PROMPT, "max_tokens": 3}
        reply = self.rig.request("POST", "/v1/completions", body)
        self.assertEqual(reply.json()["choices"][0]["text"], expected_text(MODEL, PROMPT, 3))

    def test_request_id_goes_to_the_engine_and_back(self):
        reply = self.rig.request("POST", "/v1/chat/completions", chat(), X_Request_Id="desk-7")
        self.assertEqual(reply.headers["x-request-id"], "desk-7")
        self.assertTrue(any(r["request_id"].startswith("desk-7.") for r in self.rig.runs()))

    def test_models(self):
        reply = self.rig.request("GET", "/v1/models")
        self.assertEqual([model["id"] for model in reply.json()["data"]], [MODEL])

    def test_scheduler_of_the_replica_is_told(self):
        self.rig.request("POST", "/v1/chat/completions", chat())
        self.assertIn("engine-1", self.rig.notices)

    @params(
        ("unknown key", {"key": "other"}, chat(), 401, None),
        ("no key", {"key": ""}, chat(), 401, None),
        ("unknown model", {}, chat() | {"model": "none"}, 404, "model"),
        ("an application is no model", {}, chat() | {"model": "filing"}, 404, "model"),
        ("no messages", {}, {"model": MODEL}, 400, "messages"),
        ("empty messages", {}, chat() | {"messages": []}, 400, "messages"),
        ("bad role", {}, chat() | {"messages": [{"role": 1}]}, 400, "messages[0].role"),
        ("no tokens", {}, chat(tokens=0), 400, "max_tokens"),
        ("not JSON", {}, b"{", 400, None),
        ("not an object", {}, b"[1]", 400, None),
        ("too long", {}, b"x" * (4 * 1024 * 1024 + 1), 413, None),
        ("bad timeout", {"Quaymill_Timeout_S": "-1"}, chat(), 400, None),
    )
    def test_refusal(self, _, request, body, status, parameter):
        reply = self.rig.request("POST", "/v1/chat/completions", body, **request)
        self.assertEqual(reply.status, status)
        self.assertEqual(reply.headers["quaymill-outcome"], "not-run")
        self.assertEqual(reply.json()["error"]["param"], parameter)

    @params(("/healthz", 200), ("/readyz", 200), ("/metrics", 200), ("/status", 200), ("/x", 404))
    def test_open_paths(self, path, status):
        self.assertEqual(self.rig.request("GET", path, key="").status, status)


class ServicesTest(unittest.TestCase):
    """Calls of applications."""

    def setUp(self):
        self.rig = GatewayRig()
        self.rig.add_application()
        self.rig.start()
        self.addCleanup(self.rig.stop)

    def test_call_runs_once_and_a_resend_gets_its_answer(self):
        first = self.rig.request(
            "POST", "/services/filing/submit?x=1", b"return", Idempotency_Key="k"
        )
        again = self.rig.request(
            "POST", "/services/filing/submit?x=1", b"return", Idempotency_Key="k"
        )
        self.assertEqual((first.status, again.status), (200, 200))
        self.assertEqual(first.json(), again.json())
        self.assertEqual(len(self.rig.runs()), 1)

    def test_key_is_required(self):
        reply = self.rig.request("POST", "/services/filing/submit", b"return")
        self.assertEqual((reply.status, reply.headers["quaymill-outcome"]), (400, "not-run"))
        self.assertEqual(self.rig.runs(), [])

    def test_same_key_with_other_content_is_refused(self):
        self.rig.request("POST", "/services/filing/submit", b"one", Idempotency_Key="k")
        reply = self.rig.request("POST", "/services/filing/submit", b"two", Idempotency_Key="k")
        self.assertEqual((reply.status, reply.headers["quaymill-outcome"]), (422, "not-run"))
        self.assertEqual(len(self.rig.runs()), 1)
