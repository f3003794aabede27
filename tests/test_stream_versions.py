"""Replicas of several software versions in one service: no stream holds events of two versions."""

from __future__ import annotations

import time
import unittest
from unittest import mock

import urllib3
from nose2.tools import params

from fleet_rig import FleetRig, wait_until
from quaymill import boot_clock
from quaymill.process.replica_set.router import LAST_RESORT_DEPARTED_S
from quaymill.process.streams import served_versions, versions
from quaymill.process.streams.records import MAX_RECORDS, RECORD_LIFETIME_S, StreamRecords
from quaymill.request.stream_version import StreamVersion
from quaymill_bench.fleet_world import ZONES, item_id
from quaymill_standins.fleet_replica import (
    FIRST_VERSION,
    FleetReplica,
    ReplicaBehaviour,
    event_bytes,
    event_data,
)

EVENTS = 6
NEXT_VERSION = "v1.1"
REQUEST_ID = "began"
RETURN_ID = "returned"
AT_ONCE_S = 0.5


def stream_of(request_id: str, first: int, version: str = FIRST_VERSION) -> bytes:
    """Return the events of a stream from number ``first`` on."""
    return b"".join(event_bytes(request_id, number, version) for number in range(first, EVENTS + 1))


class VersionCase(unittest.TestCase):
    """A service with replicas of two versions, behind two gateways."""

    STORAGE = 0

    def setUp(self) -> None:
        self.rig = FleetRig(gateways=2, storage=self.STORAGE, engines=0).start()
        self.addCleanup(self.rig.stop)
        self.first = self.add_engine(FIRST_VERSION)

    def add_engine(self, version: str, **behaviour: object) -> FleetReplica:
        """Start an engine, and wait until both gateways list it."""
        replica = self.rig.add_replica("engine", ZONES[0], version=version)
        replica.behaviour = ReplicaBehaviour(events=EVENTS, **behaviour)
        wait_until(
            lambda: all(
                any(entry.id == replica.id for entry in gateway._table.entries())
                for gateway in self.rig.gateways.values()
            ),
            f"{replica.id} is listed",
        )
        return replica

    def wait_until_known(self, gateway: str) -> None:
        """Wait until a gateway that has just started knows which versions have served until now."""
        node = self.rig.gateways[gateway]
        wait_until(
            lambda: (
                node._served_versions.complete
                and node.network.membership.confirmed_age_s() < versions.MAX_VIEW_AGE_S
            ),
            f"{gateway} knows the versions",
        )

    def ask(self, gateway: str = "gateway-0", request_id: str = REQUEST_ID) -> bytes:
        """Return the body of a stream; raises ``ProtocolError`` if it is incomplete."""
        return self.rig.ask(gateway, "/resumable/x", request_id, tokens=True).data

    def begin(self, gateway: str = "gateway-0", request_id: str = REQUEST_ID) -> None:
        """Receive the first events of a stream, and close the connection."""
        answer = self.rig.ask(gateway, "/resumable/x", request_id, tokens=True, preload=False)
        self.assertIn(b"id: 1", answer.read1())
        answer.close()

    def take_up(self, gateway: str, request_id: str = RETURN_ID) -> urllib3.BaseHTTPResponse:
        """Send the request that takes the stream up after its second event."""
        headers = {"Last-Event-Id": "2", "Resumes": REQUEST_ID}
        return self.rig.ask(gateway, "/resumable/x", request_id, tokens=True, headers=headers)


class ResumedAnswerTest(VersionCase):
    """The gateway resumes a stream inside one answer."""

    def test_stream_goes_on_at_a_replica_of_its_version(self) -> None:
        same = self.add_engine(FIRST_VERSION)
        resumed = 0
        other = self.add_engine(NEXT_VERSION, shed=True)
        for number in range(10):
            request_id = f"{REQUEST_ID}-{number}"
            cutting, sound = (self.first, same) if number % 2 else (same, self.first)
            cutting.behaviour = ReplicaBehaviour(events=EVENTS, cut_at_event=3)
            sound.behaviour = ReplicaBehaviour(events=EVENTS)
            self.assertEqual(stream_of(request_id, 1), self.ask(request_id=request_id))
            resumed += bool(cutting.runs_of(request_id))
        self.assertEqual([], [run for run in other.runs if run.after_event])
        self.assertGreater(resumed, 0, "no stream was resumed")

    def test_stream_ends_at_once_if_no_replica_of_its_version_is_left(self) -> None:
        self.first.behaviour = ReplicaBehaviour(events=EVENTS, cut_at_event=3)
        other = self.add_engine(NEXT_VERSION, shed=True)
        began = time.monotonic()
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.ask()
        self.assertLess(time.monotonic() - began, AT_ONCE_S)
        self.assertEqual([], other.runs)

    def test_stream_is_not_resumed_at_another_version(self) -> None:
        self.first.behaviour = ReplicaBehaviour(events=EVENTS, cut_at_event=3)
        other = self.add_engine(NEXT_VERSION)
        for number in range(10):
            request_id = f"{REQUEST_ID}-{number}"
            try:
                body = self.ask(request_id=request_id)
            except urllib3.exceptions.ProtocolError:
                continue
            self.assertEqual(stream_of(request_id, 1, NEXT_VERSION), body)
        self.assertEqual([], [run for run in other.runs if run.after_event])


class ReturnTest(VersionCase):
    """A caller takes its stream up with a new request."""

    def setUp(self) -> None:
        super().setUp()
        self.first.behaviour = ReplicaBehaviour(events=EVENTS, event_s=0.1)
        self.begin()
        self.other = self.add_engine(NEXT_VERSION)

    def check_goes_on(self, gateway: str) -> None:
        for number in range(6):
            request_id = f"{RETURN_ID}-{number}"
            answer = self.take_up(gateway, request_id)
            self.assertEqual(200, answer.status, answer.data)
            self.assertEqual(stream_of(request_id, 3), answer.data)

    def test_caller_that_returns_to_the_same_gateway_goes_on_at_its_version(self) -> None:
        self.check_goes_on("gateway-0")

    def test_caller_that_returns_to_another_gateway_goes_on_at_its_version(self) -> None:
        self.check_goes_on("gateway-1")

    def test_caller_returns_after_the_first_gateway_has_died(self) -> None:
        self.rig.gateways["gateway-0"].kill()
        self.check_goes_on("gateway-1")


class RefusedReturnTest(VersionCase):
    """A stream cannot go on at its version: the caller is told so at once, and nothing runs."""

    def check_refused(self, gateway: str, headers: dict[str, str]) -> None:
        runs_before = [len(replica.runs) for replica in self.rig.replicas.values()]
        began = time.monotonic()
        answer = self.rig.ask(gateway, "/resumable/x", RETURN_ID, tokens=True, headers=headers)
        self.assertLess(time.monotonic() - began, AT_ONCE_S)
        self.assertEqual(503, answer.status)
        self.assertEqual(runs_before, [len(replica.runs) for replica in self.rig.replicas.values()])

    def test_no_replica_of_the_version_is_left(self) -> None:
        self.begin()
        self.add_engine(NEXT_VERSION)
        self.rig.store.remove("servers", self.first.id)
        wait_until(
            lambda: (
                not any(
                    entry.id == self.first.id
                    for gateway in self.rig.gateways.values()
                    for entry in gateway._table.entries()
                )
            ),
            "the first engine is gone",
        )
        time.sleep(LAST_RESORT_DEPARTED_S)
        for gateway in self.rig.gateways:
            self.check_refused(gateway, {"Last-Event-Id": "2", "Resumes": REQUEST_ID})

    def test_nobody_knows_the_stream(self) -> None:
        self.add_engine(NEXT_VERSION)
        self.check_refused("gateway-0", {"Last-Event-Id": "2", "Resumes": "unheard-of"})

    def test_caller_names_no_stream_and_several_versions_serve(self) -> None:
        self.add_engine(NEXT_VERSION)
        self.check_refused("gateway-0", {"Last-Event-Id": "2"})

    def test_gateway_that_is_cut_off_from_all_others_cannot_know(self) -> None:
        self.rig.cut_zone(ZONES[0])
        self.begin("gateway-0")
        self.add_engine(NEXT_VERSION)
        headers = {"Last-Event-Id": "2", "Resumes": REQUEST_ID}
        self.check_refused("gateway-1", headers)

    def test_stream_of_a_replica_with_an_invalid_version_goes_on_nowhere(self) -> None:
        changed = {"version": 7, "born": self.first.started_ms + 1}
        self.rig.store.put("servers", self.first.id, self.first.entry() | changed)
        wait_until(
            lambda: all(
                gateway._table.get(self.first.id).entry.version is None
                for gateway in self.rig.gateways.values()
            ),
            "the version is known to be invalid",
        )
        self.begin()
        self.check_refused("gateway-0", {"Last-Event-Id": "2", "Resumes": REQUEST_ID})


class OneVersionTest(VersionCase):
    """All replicas have the same version, but none of the gateways ran before they started."""

    def check_known_after_the_retention(self, headers: dict[str, str]) -> None:
        began = time.monotonic()
        answer = self.rig.ask("gateway-1", "/resumable/x", RETURN_ID, tokens=True, headers=headers)
        self.assertLess(time.monotonic() - began, AT_ONCE_S)
        self.assertEqual(503, answer.status)
        self.assertEqual([], self.first.runs)
        with mock.patch.object(served_versions, "VERSION_RETENTION_S", 0.0):
            answer = self.rig.ask(
                "gateway-1", "/resumable/x", RETURN_ID, tokens=True, headers=headers
            )
        self.assertEqual(stream_of(RETURN_ID, 3), answer.data)

    def test_caller_that_names_no_stream_goes_on(self) -> None:
        self.check_known_after_the_retention({"Last-Event-Id": "2"})

    def test_unknown_stream_goes_on_once_earlier_versions_would_have_been_seen(self) -> None:
        self.check_known_after_the_retention({"Last-Event-Id": "2", "Resumes": REQUEST_ID})


class OneVersionWithStorageTest(VersionCase):
    """All replicas have the same version, and storage nodes know of no other one."""

    STORAGE = 3

    @params({"Last-Event-Id": "2"}, {"Last-Event-Id": "2", "Resumes": "unheard-of"})
    def test_caller_goes_on_soon_after_the_start(self, headers: dict[str, str]) -> None:
        self.wait_until_known("gateway-1")
        answer = self.rig.ask("gateway-1", "/resumable/x", RETURN_ID, tokens=True, headers=headers)
        self.assertEqual(stream_of(RETURN_ID, 3), answer.data)


class AllGatewaysRestartTest(VersionCase):
    """All gateways die at once and return, between two software versions.

    Guards against a take-up that is answered by another version than the one that began the stream.
    """

    STORAGE = 3

    def setUp(self) -> None:
        super().setUp()
        self.first.behaviour = ReplicaBehaviour(events=EVENTS, event_s=0.1)
        self.begin()
        wait_until(
            lambda: self.rig.gateways["gateway-0"]._served_versions.complete, "it reports versions"
        )

    def restart_all(self) -> None:
        for gateway in self.rig.gateways.values():
            gateway.kill()
        for index, name in enumerate(list(self.rig.gateways)):
            self.rig.start_gateway(name, ZONES[index])
        self.rig.wait_ready()

    def replace_first(self) -> FleetReplica:
        """Start a replica of the next version, and let the first one leave the list."""
        other = self.add_engine(NEXT_VERSION)
        wait_until(lambda: self.is_archived(NEXT_VERSION), "storage nodes know the next version")
        self.rig.store.remove("servers", self.first.id)
        wait_until(
            lambda: all(
                gateway._table.listed_entry(self.first.id) is None
                for gateway in self.rig.gateways.values()
            ),
            "the first engine is gone",
        )
        return other

    def is_archived(self, version: str) -> bool:
        return all(
            version in node._streams._history.of_service("engine")
            for node in self.rig.storage.values()
        )

    def resume(self, gateway: str, headers: dict[str, str]) -> urllib3.BaseHTTPResponse:
        headers = {"Last-Event-Id": "2"} | headers
        began = time.monotonic()
        answer = self.rig.ask(gateway, "/resumable/x", RETURN_ID, tokens=True, headers=headers)
        if answer.status != 200:
            self.assertLess(time.monotonic() - began, AT_ONCE_S)
        return answer

    @params({}, {"Resumes": REQUEST_ID}, {"Resumes": "unheard-of"})
    def test_stream_does_not_go_on_at_the_next_version(self, headers: dict[str, str]) -> None:
        other = self.replace_first()
        self.restart_all()
        for _ in range(3):
            for gateway in self.rig.gateways:
                self.assertEqual(503, self.resume(gateway, headers).status)
        self.assertEqual([], other.runs)

    def test_storage_nodes_that_restart_as_well_still_know_the_versions(self) -> None:
        other = self.replace_first()
        for index, name in enumerate(list(self.rig.storage)):
            self.rig.storage[name].stop()
            self.rig.start_storage(name, ZONES[index])
        self.restart_all()
        for gateway in self.rig.gateways:
            self.assertEqual(503, self.resume(gateway, {}).status)
        self.assertEqual([], other.runs)

    def test_named_stream_goes_on_while_its_version_serves(self) -> None:
        self.add_engine(NEXT_VERSION)
        self.restart_all()
        for gateway in self.rig.gateways:
            answer = self.resume(gateway, {"Resumes": REQUEST_ID})
            self.assertEqual(stream_of(RETURN_ID, 3), answer.data)
            self.assertEqual(503, self.resume(gateway, {}).status)

    @params({}, {"Resumes": REQUEST_ID}, {"Resumes": "unheard-of"})
    def test_stream_goes_on_if_only_one_version_ever_served(self, headers: dict[str, str]) -> None:
        self.restart_all()
        for gateway in self.rig.gateways:
            self.wait_until_known(gateway)
            self.assertEqual(stream_of(RETURN_ID, 3), self.resume(gateway, headers).data)

    def test_nothing_goes_on_before_storage_nodes_are_asked(self) -> None:
        other = self.replace_first()
        for gateway in self.rig.gateways.values():
            gateway.kill()
        for node in self.rig.storage.values():
            node.stop()
        self.rig.storage.clear()
        self.rig.start_gateway("gateway-0", ZONES[0])
        del self.rig.gateways["gateway-1"]
        wait_until(
            lambda: self.rig.ask("gateway-0", "/stream/x", "ready", tokens=True).status == 200,
            "the gateway serves",
        )
        runs = len(other.runs)
        for headers in ({}, {"Resumes": REQUEST_ID}):
            self.assertEqual(503, self.resume("gateway-0", headers).status)
        self.assertEqual(runs, len(other.runs))


class RecordsTest(unittest.TestCase):
    """Records of streams."""

    def test_the_first_event_decides(self) -> None:
        records = StreamRecords()
        first, second = StreamVersion("engine", "v1"), StreamVersion("engine", "v2")
        records.add("r", first)
        records.add("r", second)
        self.assertEqual(first, records.find("r"))
        self.assertIsNone(records.find("s"))

    def test_old_records_are_dropped(self) -> None:
        records = StreamRecords()
        now = boot_clock.now()
        records.add("old", StreamVersion("engine", "v1"))
        later = now + RECORD_LIFETIME_S + 1.0
        with mock.patch.object(boot_clock, "now", return_value=later):
            self.assertIsNone(records.find("old"))
            records.add("new", StreamVersion("engine", "v1"))
        self.assertEqual(1, len(records))

    def test_number_of_records_is_bounded(self) -> None:
        records = StreamRecords()
        for number in range(MAX_RECORDS + 10):
            records.add(str(number), StreamVersion("engine", "v1"))
        self.assertEqual(MAX_RECORDS, len(records))
        self.assertIsNone(records.find("0"))


class ItemTest(VersionCase):
    """Batch items whose run is cut."""

    STORAGE = 3

    def test_text_of_an_item_holds_events_of_one_version(self) -> None:
        self.first.behaviour = ReplicaBehaviour(events=EVENTS, cut_at_event=4, event_s=0.05)
        self.assertEqual(202, self.rig.submit("gateway-0", "job", 1).status)
        wait_until(
            lambda: any(run.events_made >= 3 for run in self.first.runs_of(item_id("job", 0))),
            "some events of the item",
        )
        self.rig.store.remove("servers", self.first.id)
        self.add_engine(NEXT_VERSION)
        result = self.rig.wait_results("gateway-0", "job", 1)[0]
        expected = [event_data(result["id"], n, NEXT_VERSION) for n in range(1, EVENTS + 1)]
        self.assertEqual("\n".join(expected), result["message"])

    def test_next_coordinator_does_not_join_events_of_two_versions(self) -> None:
        self.first.behaviour = ReplicaBehaviour(events=EVENTS, event_s=0.7)
        self.assertEqual(202, self.rig.submit("gateway-0", "job", 1).status)
        wait_until(
            lambda: any(run.events_made >= 3 for run in self.first.runs_of(item_id("job", 0))),
            "some events of the item",
        )
        self.add_engine(NEXT_VERSION)
        self.rig.gateways.pop("gateway-0").kill()
        self.rig.store.remove("servers", self.first.id)
        self.first.stop()
        result = self.rig.wait_results("gateway-1", "job", 1)[0]
        expected = [event_data(result["id"], n, NEXT_VERSION) for n in range(1, EVENTS + 1)]
        self.assertEqual("\n".join(expected), result["message"])

    def test_item_goes_on_at_a_replica_of_its_version(self) -> None:
        self.first.behaviour = ReplicaBehaviour(events=EVENTS, cut_at_event=4, event_s=0.05)
        self.assertEqual(202, self.rig.submit("gateway-0", "job", 1).status)
        wait_until(
            lambda: any(run.events_made >= 3 for run in self.first.runs_of(item_id("job", 0))),
            "some events of the item",
        )
        same = self.add_engine(FIRST_VERSION)
        for _ in range(3):
            self.add_engine(NEXT_VERSION)
        self.rig.store.remove("servers", self.first.id)
        result = self.rig.wait_results("gateway-0", "job", 1)[0]
        expected = [event_data(result["id"], n) for n in range(1, EVENTS + 1)]
        self.assertEqual("\n".join(expected), result["message"])
        self.assertEqual([3], [run.after_event for run in same.runs_of(result["id"])])
