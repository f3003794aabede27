"""Contract of the application stand-in: journal of runs, load, draining and faults."""

from __future__ import annotations

import threading
import unittest

import urllib3
from nose2.tools import params

from quaymill_standins.application import Application, ApplicationSettings
from quaymill_standins.faults import Faults, FaultSwitches
from quaymill_standins.http_support import CONTROL_THREADS, StandinServer, json_response
from quaymill_standins.text import digest
from standin_support import StandinClient, wait_until

SLOTS = 2


class ApplicationCase(unittest.TestCase):
    """One application for a class of tests."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.application = Application(ApplicationSettings(slots=SLOTS, load_lag_s=0.05))
        cls.application.start()
        cls.client = StandinClient(cls.application.port)

    @classmethod
    def tearDownClass(cls) -> None:
        cls.client.close()
        cls.application.stop()

    def setUp(self) -> None:
        self.client.set_faults()

    def call(self, key: str, body: bytes = b"content", **kwargs) -> urllib3.BaseHTTPResponse:
        headers = {"Idempotency-Key": key, "X-Request-Id": f"id-{key}"}
        return self.client.request("POST", "/returns/file", body, headers, **kwargs)


class CallTest(ApplicationCase):
    """Calls, the journal, load and draining."""

    def test_each_run_is_journalled_so_that_doubles_show(self) -> None:
        answers = [self.call("twice"), self.call("twice"), self.call("once")]
        self.assertEqual([answer.json()["run"] for answer in answers], [1, 2, 1])
        self.assertEqual(answers[0].json()["body_digest"], digest(b"content"))
        self.assertEqual(answers[0].headers["X-Request-Id"], "id-twice")
        runs = self.client.runs(key="twice")
        self.assertEqual([run["finished"] for run in runs], [True, True])
        self.assertEqual((runs[0]["method"], runs[0]["path"]), ("POST", "/returns/file"))

    def test_draining_refuses_as_not_run(self) -> None:
        self.client.request("POST", "/drain", {"draining": True})
        self.addCleanup(self.client.request, "POST", "/drain", {"draining": False})
        answer = self.call("draining")
        self.assertEqual((answer.status, answer.headers["Quaymill-Outcome"]), (503, "not-run"))
        self.assertEqual(self.client.request("GET", "/health").status, 503)
        wait_until(lambda: self.client.get("/load")["draining"], "the load says draining")
        self.assertEqual(self.client.runs(key="draining"), [])

    def test_load_counts_running_and_waiting(self) -> None:
        self.addCleanup(self.client.set_faults)
        slow = Application(ApplicationSettings(slots=SLOTS, run_ms=60_000, load_lag_s=0.0))
        slow.start()
        client = StandinClient(slow.port)
        callers = [
            threading.Thread(target=_ignore_errors, args=(client, f"/{number}"))
            for number in range(SLOTS + 1)
        ]
        for caller in callers:
            caller.start()
        wait_until(lambda: client.get("/load")["waiting"] == 1, "one waits")
        self.assertEqual(client.get("/load")["running"], SLOTS)
        self.assertEqual(len(client.runs(finished=False)), SLOTS)
        slow.stop()
        for caller in callers:
            caller.join()
        client.close()


class FaultTest(ApplicationCase):
    """Each row: switches, status or none, runs in the journal."""

    @params(
        ("refuse", {"refuse": True}, 503, 0),
        ("drop", {"drop_probability": 1}, None, 0),
        ("down", {"down": True}, None, 0),
        ("error", {"error_probability": 1}, 500, 1),
        ("lose_answer", {"lose_answer_probability": 1}, None, 1),
        ("truncate", {"truncate_probability": 1}, None, 1),
        ("delay", {"delay_s": 0.1}, 200, 1),
    )
    def test_runs_by_fault(self, name: str, faults: dict, status: int | None, runs: int) -> None:
        before = self.client.injected().get(name, 0)
        self.client.set_faults(**faults)
        try:
            answered = self.call(name).status
        except urllib3.exceptions.HTTPError:
            answered = None
        self.assertEqual((answered, len(self.client.runs(key=name))), (status, runs))
        self.assertEqual(self.client.injected()[name], before + 1)

    @params({"delay_s": 1.0}, {"freeze": True})
    def test_a_late_call_runs_after_its_caller_left(self, faults: dict) -> None:
        key = f"late-{'-'.join(faults)}"
        self.client.set_faults(**faults)
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            self.call(key, timeout_s=0.1)
        self.assertEqual(self.client.runs(key=key), [])
        self.client.set_faults()
        wait_until(lambda: self.client.runs(key=key, finished=True), "it ran")

    def test_crossed_answer_is_of_another_request(self) -> None:
        self.client.set_faults(cross_probability=1)
        answer = self.call("mine")
        self.assertNotEqual(answer.headers["X-Request-Id"], "id-mine")
        self.assertNotEqual(answer.json()["key"], "mine")
        self.assertNotEqual(answer.json()["body_digest"], digest(b"content"))
        self.assertEqual(len(self.client.runs(key="mine")), 1)


class ThreadTest(unittest.TestCase):
    """Control requests find a free thread while the data plane has none left."""

    def test_control_is_served_while_all_data_threads_are_held(self) -> None:
        switches = FaultSwitches(Faults(freeze=True))
        server = StandinServer(
            "127.0.0.1",
            0,
            switches,
            handle_data=lambda request, faults: json_response(200, {}),
            handle_control=lambda request: json_response(200, {}),
            is_control=lambda path: path == "/health",
            threads=CONTROL_THREADS + 2,
        )
        server.start()
        client = StandinClient(server.port)
        held = [
            threading.Thread(target=_ignore_errors, args=(client, f"/{number}"))
            for number in range(2)
        ]
        for caller in held:
            caller.start()
        wait_until(lambda: client.injected().get("freeze") == 2, "two are held")
        refused = client.request("GET", "/third")
        self.assertEqual((refused.status, refused.headers["Quaymill-Outcome"]), (503, "not-run"))
        self.assertEqual(client.request("GET", "/health").status, 200)
        client.set_faults()
        for caller in held:
            caller.join()
        server.stop()
        client.close()


def _ignore_errors(client: StandinClient, path: str) -> None:
    """Call, whatever comes of it."""
    try:
        client.request("POST", path, b"")
    except urllib3.exceptions.HTTPError:
        return


if __name__ == "__main__":
    unittest.main()
