"""Contract of the fleet's stand-ins: cold replicas, their journal, and times of store changes."""

from __future__ import annotations

import socket
import time
import unittest

import msgspec
from nose2.tools import params

from quaymill_standins.fleet_replica import (
    ENDLESS_FORMS,
    SURPLUS,
    FleetReplica,
    ReplicaBehaviour,
    event_bytes,
)
from quaymill_standins.fleet_store import FleetStore
from standin_support import StandinClient, wait_until

LONG_S = 60.0
MOST_PER_S = 3
EXTRA_S = 0.2


class EndlessAnswerTest(unittest.TestCase):
    """Answers whose bytes go on until the connection is closed."""

    @params(*((form, interval_s) for form in ENDLESS_FORMS for interval_s in (0.0, 0.01)))
    def test_goes_on_until_the_connection_is_closed(self, form: str, interval_s: float) -> None:
        replica = FleetReplica("replica", "engine", "zone")
        replica.behaviour = ReplicaBehaviour(endless=form, endless_interval_s=interval_s)
        replica.start()
        self.addCleanup(replica.stop)
        with socket.create_connection(("127.0.0.1", replica.port), timeout=10.0) as connection:
            head = b"POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n"
            connection.sendall(head)
            start = ENDLESS_FORMS[form].start
            received = b""
            while len(received) < len(start) + 500:
                received += connection.recv(4096)
            self.assertIn(start, received)
            self.assertEqual(form == SURPLUS, b"answer to r" in received)
        wait_until(lambda: replica.runs_of("r")[0].cancelled, "the replica has noticed the close")


class UnframedAnswerTest(unittest.TestCase):
    """Answers with neither a length nor chunks, whole and cut."""

    WHOLE = b"answer to r"
    STREAM = b"".join(event_bytes("r", number) for number in (1, 2, 3))

    def receive(self, *, stream: bool, **behaviour: object) -> bytes:
        """Return all bytes of an answer; raises ``ConnectionResetError`` if it is reset."""
        replica = FleetReplica("replica", "engine", "zone")
        replica.behaviour = ReplicaBehaviour(**behaviour)
        replica.start()
        self.addCleanup(replica.stop)
        with socket.create_connection(("127.0.0.1", replica.port), timeout=10.0) as connection:
            tokens = "Token-Count: 1,1\r\n" if stream else ""
            head = f"POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n{tokens}"
            connection.sendall(head.encode() + b"Content-Length: 0\r\n\r\n")
            received = b""
            while block := connection.recv(4096):
                received += block
        return received

    @params((False, WHOLE), (True, STREAM))
    def test_ends_with_its_connection(self, stream: bool, body: bytes) -> None:
        head, _, received = self.receive(stream=stream, unframed=True).partition(b"\r\n\r\n")
        self.assertEqual(body, received)
        self.assertIn(b"200 OK", head)
        for name in (b"content-length", b"transfer-encoding"):
            self.assertNotIn(name, head.lower())

    @params(
        (False, {"cut_body": True}, WHOLE[: len(WHOLE) // 2]),
        (True, {"cut_at_event": 1}, event_bytes("r", 1)[: len(event_bytes("r", 1)) // 2]),
        (True, {"end_after_event": 1}, event_bytes("r", 1)),
    )
    def test_is_cut(self, stream: bool, cut: dict[str, object], body: bytes) -> None:
        received = self.receive(stream=stream, unframed=True, **cut)
        self.assertEqual(body, received.partition(b"\r\n\r\n")[2])
        with self.assertRaises(ConnectionResetError):
            self.receive(stream=stream, unframed=True, resets=True, **cut)

    def test_cut_answer_with_a_length_is_short(self) -> None:
        received = self.receive(stream=False, cut_body=True)
        self.assertIn(f"content-length: {len(self.WHOLE)}".encode(), received.lower())
        self.assertTrue(received.endswith(self.WHOLE[: len(self.WHOLE) // 2]))


class ColdReplicaTest(unittest.TestCase):
    """A replica that says that it is cold, and is."""

    def start(self, cold_s: float = 0.0, **behaviour: float) -> FleetReplica:
        replica = FleetReplica("replica", "engine", "zone", cold_s=cold_s)
        replica.behaviour = ReplicaBehaviour(**behaviour)
        replica.start()
        self.addCleanup(replica.stop)
        self.client = StandinClient(replica.port)
        self.addCleanup(self.client.close)
        return replica

    def send(self, request_id: str = "r", **headers: str):
        return self.client.request("POST", "/x", headers={"Request-Id": request_id, **headers})

    def check_cold(self, replica: FleetReplica, cold: bool) -> None:
        """Check what the entry and both health answers say."""
        self.assertEqual(cold, replica.entry()["cold_left_ms"] > 0)
        for path in ("/v1/report", "/health"):
            left_ms = int(self.client.request("GET", path).headers["Cold-Ms"])
            self.assertEqual(cold, 0 < left_ms <= 1000 * LONG_S, path)

    def test_cold_from_its_start(self) -> None:
        """Guards against a replica that starts warm, or says so."""
        self.check_cold(self.start(LONG_S), cold=True)

    def test_cold_on_command(self) -> None:
        """Guards against a state that does not change while the replica runs."""
        replica = self.start()
        self.check_cold(replica, cold=False)
        replica.become_cold(LONG_S)
        self.check_cold(replica, cold=True)
        replica.become_cold(0.0)
        self.check_cold(replica, cold=False)

    def test_becomes_warm_by_itself(self) -> None:
        """Guards against a replica that stays cold."""
        replica = self.start(0.2)
        wait_until(lambda: not replica.cold_left_ms, "the replica is warm")
        self.check_cold(replica, cold=False)

    def test_refuses_above_its_rate_only_while_cold(self) -> None:
        """Guards against a cold replica that serves any rate, and a warm one that refuses."""
        replica = self.start(LONG_S, cold_most_per_s=MOST_PER_S)
        answers = [self.send() for _ in range(3 * MOST_PER_S)]
        refused = [one for one in answers if one.status == 503]
        self.assertTrue(refused)
        self.assertEqual({"1"}, {one.headers["Not-Executed"] for one in refused})
        self.assertEqual(len(answers) - len(refused), len(replica.runs))
        replica.become_cold(0.0)
        self.assertEqual({200}, {self.send().status for _ in range(3 * MOST_PER_S)})

    def test_slower_while_cold(self) -> None:
        """Guards against a cold replica as quick as a warm one, for answers and for events."""
        replica = self.start(LONG_S, cold_extra_s=EXTRA_S, event_s=0.0)
        for headers, least_s in (({}, EXTRA_S), ({"Token-Count": "50,10"}, 3 * EXTRA_S)):
            begun = time.monotonic()
            self.assertEqual(200, self.send(**headers).status)
            self.assertGreaterEqual(time.monotonic() - begun, least_s)
        replica.become_cold(0.0)
        replica.behaviour = msgspec.structs.replace(replica.behaviour, cold_extra_s=LONG_S)
        self.assertEqual(200, self.send().status)

    def test_journal_holds_every_request_meant_for_it(self) -> None:
        """Guards against refused requests that are missing, and others that are counted."""
        replica = self.start(LONG_S, cold_most_per_s=1)
        begun = time.monotonic()
        for name in ("first", "second"):
            self.send(name)
        self.send("elsewhere", **{"Expect-Instance": "another"})
        self.client.request("GET", "/health")
        replica.become_cold(0.0)
        self.send("warm")
        found = [(one.request_id, one.sender, one.cold) for one in replica.arrivals]
        here = "127.0.0.1"
        expected = [("first", here, True), ("second", here, True), ("warm", here, False)]
        self.assertEqual(expected, found)
        times = [begun, *(one.at_s for one in replica.arrivals), time.monotonic()]
        self.assertEqual(sorted(times), times)


class StoreChangeTest(unittest.TestCase):
    """The store says when it did what."""

    def test_changes_of_a_kind(self) -> None:
        """Guards against times of another kind's writes, and times that history takes along."""
        store = FleetStore()
        begun = time.monotonic()
        store.put("evacuations", "zone-a", {})
        store.put("servers", "replica", {})
        store.remove("evacuations", "zone-a")
        store.remove("evacuations", "zone-b")
        store.forget_history()
        changes = store.changes_of("evacuations")
        self.assertEqual([("zone-a", False), ("zone-a", True)], [(c.name, c.gone) for c in changes])
        times = [begun, *(change.at_s for change in changes), time.monotonic()]
        self.assertEqual(sorted(times), times)
