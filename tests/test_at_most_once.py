"""Calls that may not be repeated run at most once, and "not run" is true."""

import socket
import threading
import unittest

from nose2.tools import params

from gateway_rig import HOST, KEY, FakeStore, GatewayRig, Reply, begin, wait_until
from quaymill.connection.call_record_messages import CallState
from quaymill.request.outcome import NotRun, OutcomeUnknown
from quaymill_standins.faults import Faults

PATH = "/services/filing/submit"
STORE_AWAY = NotRun(503, "no majority", "come back", 1.0)
ANSWER_LOST = OutcomeUnknown(504, "no answer", "ask again", 1.0)


class OneNodeTest(unittest.TestCase):
    """Faults of the application and of the job store, on one node."""

    @classmethod
    def setUpClass(cls):
        cls.rig = GatewayRig()
        cls.filing = [cls.rig.add_application(), cls.rig.add_application()]
        cls.lookup = [cls.rig.add_application("lookup"), cls.rig.add_application("lookup")]
        cls.rig.start()

    @classmethod
    def tearDownClass(cls):
        cls.rig.stop()

    def setUp(self):
        self.rig.heal()
        self.rig.store.failures.clear()
        self.rig.store.applies_before_failure = False

    def switch(self, faults: Faults) -> None:
        """Bring a fault about at both replicas of the service that may not be repeated."""
        for application in self.filing:
            application.switches.replace(faults)

    def call(self, key: str, body: bytes = b"return") -> Reply:
        return self.rig.request("POST", PATH, body, Idempotency_Key=key)

    def runs(self, key: str) -> int:
        return sum(run["key"] == key for run in self.rig.runs())

    @params(
        ("dropped before the effect", Faults(drop_probability=1.0), 502, "unknown", 0),
        ("answer lost", Faults(lose_answer_probability=1.0), 502, "unknown", 1),
        ("truncated", Faults(truncate_probability=1.0, seed=1), 502, "unknown", 1),
        ("crossed", Faults(cross_probability=1.0), 502, "unknown", 1),
        ("refused", Faults(refuse=True), 503, "not-run", 0),
        ("error after the effect", Faults(error_probability=1.0), 500, "failed", 1),
    )
    def test_fault_of_the_application(self, name, faults, status, outcome, runs):
        self.switch(faults)
        reply = self.call(name)
        self.assertEqual((reply.status, reply.headers["quaymill-outcome"]), (status, outcome))
        self.assertEqual(self.runs(name), runs)
        self.rig.heal()
        again = self.call(name)
        if outcome == "not-run":
            self.assertEqual((again.status, self.runs(name)), (200, 1))
        elif outcome == "unknown":
            self.assertEqual(again.headers["quaymill-outcome"], "unknown")
            self.assertEqual(self.runs(name), runs)
        else:
            self.assertEqual((again.status, again.body), (reply.status, reply.body))
            self.assertEqual(self.runs(name), runs)

    def test_deadline_passes_before_the_answer(self):
        self.switch(Faults(freeze=True))
        reply = self.rig.request(
            "POST", PATH, b"x", Idempotency_Key="slow", Quaymill_Timeout_S="0.3"
        )
        self.assertEqual((reply.status, reply.headers["quaymill-outcome"]), (504, "unknown"))
        self.rig.heal()
        self.assertEqual(self.call("slow", b"x").headers["quaymill-outcome"], "unknown")
        self.assertLessEqual(self.runs("slow"), 1)

    @params(("store away", False), ("answer of begin lost", True))
    def test_begin_fails(self, name, applied):
        self.rig.store.applies_before_failure = applied
        self.rig.store.failures.append(ANSWER_LOST if applied else STORE_AWAY)
        reply = self.call(name)
        self.assertEqual((reply.status, reply.headers["quaymill-outcome"]), (503, "not-run"))
        self.assertIn("retry-after", reply.headers)
        self.assertEqual(self.runs(name), 0)
        self.assertEqual((self.call(name).status, self.runs(name)), (200, 1))

    def test_finish_fails_and_is_made_up_for(self):
        store = self.rig.store
        key = ("office", "filing", "late finish")
        original = store.call

        def fail_once(message, reply_type, timeout_s):
            store.call = original if type(message).__name__ == "FinishCall" else fail_once
            if type(message).__name__ == "FinishCall":
                return ANSWER_LOST
            return original(message, reply_type, timeout_s)

        store.call = fail_once
        self.assertEqual(self.call("late finish").status, 200)
        wait_until(lambda: store.calls[key][1].state is CallState.FINISHED)
        self.assertEqual((self.call("late finish").status, self.runs("late finish")), (200, 1))

    def test_caller_leaves_and_the_answer_is_kept(self):
        self.switch(Faults(delay_s=0.3))
        connection = self.rig.connect()
        connection.request(
            "POST",
            PATH,
            b"return",
            {"Authorization": "Bearer key-of-office", "Idempotency-Key": "left"},
        )
        wait_until(lambda: ("office", "filing", "left") in self.rig.store.calls)
        connection.close()
        stored = self.rig.store.calls
        wait_until(lambda: stored["office", "filing", "left"][1].state is CallState.FINISHED)
        self.assertEqual((self.call("left").status, self.runs("left")), (200, 1))

    def test_call_whose_body_is_cut_short_does_not_run(self):
        with socket.create_connection((HOST, self.rig.gateway.endpoint.port), 5.0) as caller:
            head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
            caller.sendall(f"{head}Idempotency-Key: half\r\nContent-Length: 9\r\n\r\nhalf".encode())
            caller.shutdown(socket.SHUT_WR)
            answer = caller.recv(65536)
        self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), answer)
        self.assertIn(b"Quaymill-Outcome: not-run", answer)
        self.assertEqual(self.runs("half"), 0)

    def test_resends_at_once_run_once(self):
        self.switch(Faults(delay_s=0.2))
        replies = []
        threads = [
            threading.Thread(target=lambda: replies.append(self.call("twice"))) for _ in range(6)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.runs("twice"), 1)
        self.assertEqual(sum(reply.status == 200 for reply in replies), 1)
        for reply in replies:
            if reply.status != 200:
                self.assertEqual((reply.status, reply.headers["retry-after"]), (409, "1"))
                self.assertEqual(reply.headers["quaymill-outcome"], "unknown")

    def test_repeatable_service_is_tried_again_elsewhere(self):
        self.lookup[0].switches.replace(Faults(drop_probability=1.0))
        for number in range(10):
            reply = self.rig.request("GET", f"/services/lookup/{number}")
            self.assertEqual(reply.status, 200)
        self.assertGreater(self.lookup[0].switches.injected()["drop"], 0)

    def test_unknown_service(self):
        self.assertEqual(self.rig.request("GET", "/services/none/x").status, 404)


class TwoNodesTest(unittest.TestCase):
    """A call is resent to another node than the one that began it."""

    def setUp(self):
        self.store = FakeStore()
        self.first = GatewayRig(store=self.store)
        self.first.add_application()
        self.first.start()
        self.addCleanup(self.first.stop)
        self.second = GatewayRig(name="node-2", store=self.store)
        self.second.machines = self.first.machines
        self.second.membership = self.first.membership
        self.first.membership.members_now = (self.first.member, self.second.member)
        self.second.start()
        self.addCleanup(self.second.stop)

    def test_in_progress_while_its_node_serves_it_then_its_answer(self):
        self.first.applications["application-1"].switches.replace(Faults(delay_s=1.0))
        connection = self.first.connect()
        starter = threading.Thread(
            target=lambda: begin(connection, "POST", PATH, b"r", Idempotency_Key="k").read()
        )
        starter.start()
        wait_until(lambda: self.store.calls)
        reply = self.second.request("POST", PATH, b"r", Idempotency_Key="k")
        self.assertEqual((reply.status, reply.headers["quaymill-outcome"]), (409, "unknown"))
        starter.join()
        connection.close()
        reply = self.second.request("POST", PATH, b"r", Idempotency_Key="k")
        self.assertEqual((reply.status, len(self.first.runs())), (200, 1))

    def test_unknown_when_its_node_is_gone(self):
        self.first.applications["application-1"].switches.replace(
            Faults(lose_answer_probability=1.0)
        )
        self.first.request("POST", PATH, b"r", Idempotency_Key="k")
        self.first.applications["application-1"].switches.replace(Faults())
        for members in ((self.first.member, self.second.member), (self.second.member,)):
            self.first.membership.members_now = members
            reply = self.second.request("POST", PATH, b"r", Idempotency_Key="k")
            self.assertEqual((reply.status, reply.headers["quaymill-outcome"]), (504, "unknown"))
        self.assertEqual(len(self.first.runs()), 1)
