"""An answer to another request must not be taken for the refusal of the current one.

Guards against a late "not executed" answer after which a running request was sent to a second
replica, or reported as not run.
"""

from __future__ import annotations

import threading
import unittest

from nose2.tools import params

from fleet_rig import FleetRig, wait_until
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.job_document import JobItem
from quaymill.connection.replica_answer import AnswerHead
from quaymill.connection.replica_connection import ReplicaConnections
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.process.jobs.coordinated_job import CoordinatedItem
from quaymill.process.jobs.engine_loads import EngineLoads
from quaymill.process.jobs.item_run import ItemCut, run_item
from quaymill.process.jobs.run_handle import RunHandle
from quaymill.process.replica_set.replica import Replica
from raw_replica import RawReplica, RawRequest

REFUSED = "503 Service Unavailable"
MISDIRECTED = "421 Misdirected Request"
LATE_ID = "Request-Id: late"
NOT_EXECUTED = "Not-Executed: 1"
LOAD = "Server-Load: 9,9,9"


def head(status: str, *lines: str) -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status}", *lines, "Content-Length: 0", "", ""]).encode()


FOREIGN = {
    "refusal": head(REFUSED, LATE_ID, NOT_EXECUTED, LOAD),
    "misdirected": head(MISDIRECTED, LATE_ID, LOAD),
    "answer": head("200 OK", LATE_ID, LOAD),
    "error": head("500 Internal Server Error", LATE_ID, LOAD),
}
OWN_REFUSALS = {
    "without id": head(REFUSED, NOT_EXECUTED),
    "with id": head(REFUSED, "Request-Id: {id}", NOT_EXECUTED),
    "misdirected without id": head(MISDIRECTED),
}


class MatchTest(unittest.TestCase):
    """Which answers belong to a request."""

    def test_request_without_an_id_is_answered_without_one(self) -> None:
        self.assertTrue(AnswerHead(200, "", (), "").is_answer_to(""))
        self.assertFalse(AnswerHead(200, "", (), "s").is_answer_to(""))

    @params(
        ("own", "r", False, True),
        ("own refusal", "r", True, True),
        ("refusal without id", "", True, True),
        ("answer without id", "", False, False),
        ("another one's", "s", False, False),
        ("another one's refusal", "s", True, False),
    )
    def test_id_decides_before_the_meaning(self, _, request_id, not_executed, belongs) -> None:
        answer = AnswerHead(200, "", (), request_id, not_executed=not_executed)
        self.assertIs(belongs, answer.is_answer_to("r"))


class CallerTest(unittest.TestCase):
    """Two replicas; the one that gets a request first answers with bytes of another request."""

    def setUp(self) -> None:
        self.rig = FleetRig(gateways=1, storage=0, engines=0).start()
        self.addCleanup(self.rig.stop)
        self.first_answer = b""
        self.lock = threading.Lock()
        self.ran: list[str] = []
        for name in [replica.id for replica in self.rig.of_service("application")]:
            self.rig.store.remove("servers", name)
        for number in range(2):
            replica = RawReplica(self._answer)
            self.addCleanup(replica.stop)
            self.rig.store.put("servers", f"raw-{number}", replica.entry("application"))
        self.table = self.rig.gateways["gateway-0"]._table
        wait_until(
            lambda: {entry.id for entry in self.table.entries()} == {"raw-0", "raw-1"}, "listed"
        )

    def _answer(self, request: RawRequest) -> bool:
        with self.lock:
            self.ran.append(request.id)
            is_first = self.ran.count(request.id) == 1
        if is_first and self.first_answer:
            answer = self.first_answer.replace(b"{id}", request.id.encode())
            request.connection.sendall(answer)
        request.send_whole(b"whole answer")
        return True

    @params(*FOREIGN)
    def test_request_that_must_not_be_repeated_is_sent_once(self, kind: str) -> None:
        self.first_answer = FOREIGN[kind]
        answer = self.rig.ask("gateway-0", "/write/x", "once")
        self.assertEqual(502, answer.status)
        self.assertEqual(["once"], self.ran)
        self.assertFalse(any(replica.misdirected for replica in self.table.replicas()))

    @params(*FOREIGN)
    def test_repeatable_request_is_served_by_the_other_replica(self, kind: str) -> None:
        self.first_answer = FOREIGN[kind]
        answer = self.rig.ask("gateway-0", "/read/x", "again")
        self.assertEqual((200, b"whole answer"), (answer.status, answer.data))
        self.assertEqual(["again"] * 2, self.ran)

    @params(*OWN_REFUSALS)
    def test_own_refusal_lets_another_replica_run_the_request(self, kind: str) -> None:
        self.first_answer = OWN_REFUSALS[kind]
        answer = self.rig.ask("gateway-0", "/write/x", "refused")
        self.assertEqual((200, b"whole answer"), (answer.status, answer.data))


class ReplicaCase(unittest.TestCase):
    """One replica whose answer the test sets."""

    def setUp(self) -> None:
        self.answer = b""
        raw = RawReplica(self._answer)
        self.addCleanup(raw.stop)
        address = Endpoint("127.0.0.1", raw.port)
        self.replica = Replica(ReplicaEntry("engine-1", "engine", address, "x", slots=4))
        self.connections = ReplicaConnections(LinkFilter())
        self.addCleanup(self.connections.close)

    def _answer(self, request: RawRequest) -> bool:
        request.connection.sendall(self.answer.replace(b"{id}", request.id.encode()))
        return False


class ItemTest(ReplicaCase):
    """Batch items."""

    def run_item(self) -> object:
        item = CoordinatedItem(0, JobItem("00000000000000aa", "/r", {}, b"", 10))
        item.run = RunHandle()
        protocol = GATEWAY_PROTOCOL.items
        return run_item(item, "host", self.replica, self.connections, protocol)

    @params(*FOREIGN)
    def test_answer_to_another_request_blames_the_replica(self, kind: str) -> None:
        self.answer = FOREIGN[kind]
        outcome = self.run_item()
        self.assertIsInstance(outcome, ItemCut)
        self.assertTrue(outcome.blames_replica)
        self.assertFalse(self.replica.misdirected)

    @params("without id", "with id")
    def test_own_refusal_does_not(self, kind: str) -> None:
        self.answer = OWN_REFUSALS[kind]
        outcome = self.run_item()
        self.assertIsInstance(outcome, ItemCut)
        self.assertFalse(outcome.blames_replica)


class ReportTest(ReplicaCase):
    """Reports of engines."""

    REPORT = b'{"waiting":1,"running":2,"kv_used":3,"kv_total":4}'

    @params((b"", True), (b"Request-Id: late\r\n", False))
    def test_answer_to_a_request_is_no_report(self, header: bytes, is_report: bool) -> None:
        length = b"Content-Length: %d\r\n\r\n" % len(self.REPORT)
        self.answer = b"HTTP/1.1 200 OK\r\n" + header + length + self.REPORT
        loads = EngineLoads(self.connections, GATEWAY_PROTOCOL.reports)
        report = loads._fetch_report(self.replica)
        self.assertIs(is_report, report is not None)


if __name__ == "__main__":
    unittest.main()
