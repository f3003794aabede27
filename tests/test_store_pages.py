"""Guards against an invalid entry in the store that makes valid entries unreadable.

Each invalid entry is read alone, and in a list and a watch between two valid entries.
"""

from __future__ import annotations

import json
import unittest
from unittest import mock

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from nose2.tools import params

from quaymill.connection.object_store import Listing, StoredObject, UnreadableObject
from quaymill.connection.replica_entry import MAX_VERSION_LENGTH, ReplicaEntry
from quaymill.platform.configuration import decode_configuration, decode_replica
from quaymill.platform.store_pages import (
    ListPage,
    MalformedPage,
    WatchPage,
    read_list_page,
    read_object,
    read_watch_page,
)
from quaymill.process.control.entries import EntryReader
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.version.request_routes import RequestRoutes
from quaymill_bench.fleet_world import configuration

VALID_SPEC = {
    "service": "engine",
    "address": "10.0.0.1:8080",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}
REVISION = 530


def item(name: str, spec: object = None, revision: object = 7) -> bytes:
    """Return an object as the store sends it."""
    spec = VALID_SPEC if spec is None else spec
    return json.dumps({"metadata": {"name": name, "revision": revision}, "spec": spec}).encode()


def spec_bytes(text: bytes) -> bytes:
    """Return an object whose ``spec`` is the given bytes."""
    return b'{"metadata":{"name":"bad","revision":7},"spec":' + text + b"}"


def with_fields(**fields: object) -> bytes:
    """Return a replica's object with some fields replaced."""
    return item("bad", VALID_SPEC | fields)


def without_field(field: str) -> bytes:
    """Return a replica's object without one field."""
    return item("bad", {key: value for key, value in VALID_SPEC.items() if key != field})


UNREADABLE = {
    "no metadata": json.dumps({"spec": VALID_SPEC}).encode(),
    "metadata is null": b'{"metadata":null,"spec":{}}',
    "metadata is a list": b'{"metadata":["bad"],"spec":{}}',
    "the name is a number": b'{"metadata":{"name":7,"revision":1},"spec":{}}',
    "the name is missing": b'{"metadata":{"revision":1},"spec":{}}',
    "the name is empty": item(""),
    "the revision is a text": item("bad", revision="seven"),
    "the revision is negative text": item("bad", revision="-1"),
    "wrong UTF-8 in a value": spec_bytes(b'{"service":"\xff\xfe"}'),
    "wrong UTF-8 in a key": spec_bytes(b'{"\xc3\x28":1}'),
    "not a number": spec_bytes(b'{"slots":NaN}'),
    "infinity": spec_bytes(b'{"slots":-Infinity}'),
    "no value": spec_bytes(b""),
    "a truncated value": spec_bytes(b'{"slots":1'),
    "a truncated text": spec_bytes(b'{"service":"eng'),
    "a closing bracket too many": spec_bytes(b"{}}"),
    "brackets that do not match": spec_bytes(b"[{]}"),
    "nested without an end": spec_bytes(b"[" * 10_000 + b"]" * 10_000),
    "not JSON at all": spec_bytes(b"\x00\x01\x02\xfe"),
    "a text": b'"bad"',
    "a list": b"[1,2]",
}
"""Entries that are not valid objects of the store."""
INVALID_REPLICAS = {
    "the spec is null": item("bad", [None]),
    "the spec is a text": item("bad", "engine"),
    "the service is missing": without_field("service"),
    "the service is empty": with_fields(service=""),
    "the service is a number": with_fields(service=7),
    "the address is missing": without_field("address"),
    "the address has no port": with_fields(address="10.0.0.1"),
    "the address is a name": with_fields(address="engine.example:80"),
    "the port is huge": with_fields(address="10.0.0.1:99999999"),
    "the port is 0": with_fields(address="10.0.0.1:0"),
    "the zone is missing": without_field("zone"),
    "the zone is a list": with_fields(zone=["a"]),
    "the slots are a text": with_fields(slots="4"),
    "the slots are negative": with_fields(slots=-4),
    "the slots are huge": with_fields(slots=10**30),
    "the state is missing": without_field("state"),
    "the state is unknown": with_fields(state="resting"),
    "the state is null": with_fields(state=None),
    "the start is a text": with_fields(born="today"),
    "the start is a fraction": with_fields(born=1.5),
}
"""Valid objects whose ``spec`` is not a valid replica entry."""


def list_of(*entries: bytes) -> bytes:
    """Return a page of a list."""
    return b'{"items":[' + b",".join(entries) + b'],"more":false,"at":%d}' % REVISION


def events_of(*entries: bytes) -> bytes:
    """Return the answer to a watch."""
    events = b",".join(b'{"gone":false,"object":' + entry + b"}" for entry in entries)
    return b'{"events":[' + events + b'],"at":%d}' % REVISION


class UnreadableEntryTest(unittest.TestCase):
    """Entries that are not valid objects are skipped and reported."""

    @params(*UNREADABLE)
    def test_invalid_entry_in_a_list_is_skipped(self, form: str) -> None:
        page = read_list_page(list_of(item("first"), UNREADABLE[form], item("last")))
        self.assertIsInstance(page, ListPage)
        self.assertEqual(["first", "last"], [found.name for found in page.objects])
        self.assertEqual((REVISION, "last", False), (page.revision, page.last_name, page.more))

    @params(*UNREADABLE)
    def test_invalid_event_of_a_watch_is_skipped(self, form: str) -> None:
        page = read_watch_page(events_of(item("first"), UNREADABLE[form], item("last")))
        self.assertIsInstance(page, WatchPage)
        self.assertEqual(["first", "last"], [change.object.name for change in page.changes])
        self.assertEqual(REVISION, page.revision)

    @params(*UNREADABLE)
    def test_invalid_object_is_unreadable(self, form: str) -> None:
        self.assertIsInstance(read_object(UNREADABLE[form]), UnreadableObject)

    @params(*UNREADABLE)
    def test_invalid_last_entry_is_skipped(self, form: str) -> None:
        page = read_list_page(list_of(item("first"), UNREADABLE[form]))
        self.assertIsInstance(page, ListPage)
        self.assertEqual(["first"], [found.name for found in page.objects])
        self.assertEqual(REVISION, page.revision)

    def test_name_of_an_invalid_entry_is_reported(self) -> None:
        page = read_list_page(list_of(UNREADABLE["not a number"], item("last")))
        self.assertEqual(["bad"], [found.name for found in page.unreadable])

    @params(1, 40, 200)
    def test_truncated_page_is_rejected(self, missing: int) -> None:
        page = list_of(item("first"), item("last"))
        self.assertIsInstance(read_list_page(page[:-missing]), MalformedPage)

    def test_latest_revision_of_a_name_is_kept(self) -> None:
        page = read_list_page(list_of(item("x", revision=8), item("x", {}, revision=7)))
        self.assertEqual([8], [found.revision for found in page.objects])


class InvalidReplicaTest(unittest.TestCase):
    """Objects of the replicas' kind that are not valid replica entries."""

    @params(*INVALID_REPLICAS)
    def test_invalid_replica_is_rejected(self, form: str) -> None:
        page = read_list_page(list_of(item("first"), INVALID_REPLICAS[form], item("last")))
        read = {found.name: decode_replica(found) for found in page.objects}
        valid = [name for name, entry in read.items() if isinstance(entry, ReplicaEntry)]
        self.assertEqual(["first", "last"], valid)

    @params(-1, 1e300, 10**400, 86_400_001, "3000", True, [3000], {"ms": 3000})
    def test_invalid_warm_up_counts_as_unknown_and_is_logged_once(self, cold_left_ms) -> None:
        """Guards against a replica that is dropped, or taken as warm, because of one bad field."""
        reader = EntryReader(decode_replica, lambda replica_id: None)
        stored = [
            StoredObject(name, 1, VALID_SPEC | {"cold_left_ms": left_ms})
            for name, left_ms in (("first", 1500), ("bad", cold_left_ms), ("last", 0))
        ]
        logged: list[dict] = []
        with mock.patch(
            "quaymill.process.control.entries.log_message",
            lambda event, **fields: logged.append(fields | {"event": event}),
        ):
            for now in (10.0, 11.0):
                entries = reader.read(Listing(stored, 1), now)
        self.assertEqual([1.5, None, 0.0], [entry.cold_left_s for entry in entries])
        self.assertEqual([{"event": "control:warm_up_invalid", "replica": "bad"}], logged)

    def test_missing_warm_up_is_unknown(self) -> None:
        spec = {name: value for name, value in VALID_SPEC.items() if name != "cold_left_ms"}
        self.assertIsNone(decode_replica(StoredObject("x", 1, spec)).cold_left_s)

    @params("v1", "v1.2", "2026-12-03+build.7", "\u00fc", "v" * MAX_VERSION_LENGTH, "")
    def test_software_version_is_kept_as_stated(self, version: str) -> None:
        spec = VALID_SPEC | {"version": version}
        self.assertEqual(version, decode_replica(StoredObject("x", 1, spec)).version)

    @params(1, 1.2, None, True, ["v1"], {"v": 1}, "v" * (MAX_VERSION_LENGTH + 1))
    def test_invalid_software_version_is_unknown(self, version: object) -> None:
        spec = VALID_SPEC | {"version": version}
        self.assertIsNone(decode_replica(StoredObject("x", 1, spec)).version)

    def test_missing_software_version_is_empty(self) -> None:
        spec = {name: value for name, value in VALID_SPEC.items() if name != "version"}
        self.assertEqual("", decode_replica(StoredObject("x", 1, spec)).version)

    def test_unknown_fields_are_ignored(self) -> None:
        stored = StoredObject("x", 1, VALID_SPEC | {"colour": "red", "models": [{"name": 1}]})
        self.assertIsInstance(decode_replica(stored), ReplicaEntry)

    def test_unknown_zone_is_accepted(self) -> None:
        self.assertEqual(
            "moon", decode_replica(StoredObject("x", 1, VALID_SPEC | {"zone": "moon"})).zone
        )


class RestartTest(unittest.TestCase):
    """A replica that restarts with the same id."""

    def setUp(self) -> None:
        self.departed = []
        self.table = ReplicaTable(self.departed.append)

    def list(self, revision: int, **fields: object) -> None:
        self.table.replace_all(
            [decode_replica(StoredObject("x", 1, VALID_SPEC | fields))], revision
        )

    @params((1000, 2000), (2000, 1000), (0, 1000), (1000, 9_999_999_999_999))
    def test_restarted_replica_keeps_no_former_state(self, before: int, after: int) -> None:
        """The store's revision decides which entry is newer, also if the clock was set back."""
        self.list(1, born=before)
        former = self.table.get("x")
        former.record_failure(9.0)
        former.begin()
        self.list(2, born=after, seq=1)
        present = self.table.get("x")
        self.assertFalse(present.ejected)
        self.assertEqual(0, present.in_flight)
        self.assertTrue(former.leaving)
        self.assertEqual([former], self.departed)
        self.assertNotEqual(former.entry.incarnation, present.entry.incarnation)

    def test_replica_of_another_version_is_another_run_of_it(self) -> None:
        """A replica can change its software only by starting again, whatever its entry says."""
        self.list(1, born=1000, version="v1")
        former = self.table.get("x")
        self.list(2, born=1000, version="v2")
        present = self.table.get("x")
        self.assertEqual(("v1", "v2"), (former.entry.version, present.entry.version))
        self.assertTrue(former.leaving)
        self.assertEqual([former], self.departed)

    def test_version_is_kept_where_a_later_entry_of_the_same_run_lacks_it(self) -> None:
        """A gateway of an older build passes entries on without their versions."""
        self.list(1, born=1000, version="v1")
        present = self.table.get("x")
        self.list(2, born=1000, version=None, slots=5)
        self.assertIs(present, self.table.get("x"))
        self.assertEqual(("v1", 5), (present.entry.version, present.slots))
        self.list(3, born=2000, version=None)
        self.assertIsNone(self.table.get("x").entry.version)

    def test_an_older_list_changes_nothing(self) -> None:
        self.list(2, born=2000)
        present = self.table.get("x")
        self.list(1, born=1000)
        self.assertIs(present, self.table.get("x"))

    def test_same_start_keeps_the_replica(self) -> None:
        self.list(1, born=1000, seq=5)
        present = self.table.get("x")
        self.list(2, born=1000, seq=6, slots=5)
        self.assertIs(present, self.table.get("x"))
        self.assertEqual(5, present.slots)


class ConfigurationTest(unittest.TestCase):
    """An invalid configuration is rejected as a whole."""

    @params(None, 7, "text", [], {}, {"version": "x"}, {"version": 1, "routes": 3})
    def test_invalid_configuration_is_rejected(self, document: object) -> None:
        self.assertNotIsInstance(decode_configuration(document), RequestRoutes)

    @params(
        {"kind": "unheard"},
        {"timeout_ms": "1"},
        {"host": None},
        {"path_prefix": 7},
        {"split": [{"service": 1}]},
        {"max_attempts": 1.5},
    )
    def test_configuration_with_one_invalid_route_is_rejected(
        self, fields: dict[str, object]
    ) -> None:
        document = configuration(3)
        document["routes"][0] = document["routes"][0] | fields
        self.assertNotIsInstance(decode_configuration(document), RequestRoutes)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda values: (
        st.lists(values, max_size=4) | st.dictionaries(st.text(max_size=8), values, max_size=4)
    ),
    max_leaves=12,
)
ARBITRARY_ENTRIES = st.one_of(
    st.binary(max_size=60),
    JSON_VALUES.map(lambda value: json.dumps(value).encode()),
    JSON_VALUES.map(lambda value: spec_bytes(json.dumps(value).encode())),
    st.binary(max_size=30).map(spec_bytes),
)


class FuzzTest(unittest.TestCase):
    """Pages with arbitrary entries between valid ones."""

    @seed(20261203)
    @settings(max_examples=400, deadline=None, database=None)
    @given(st.lists(ARBITRARY_ENTRIES, max_size=4))
    def test_reading_never_raises(self, entries: list[bytes]) -> None:
        page = read_list_page(list_of(item("first"), *entries, item("last")))
        watched = read_watch_page(events_of(item("first"), *entries, item("last")))
        self.assertIsInstance(page, ListPage | MalformedPage)
        self.assertIsInstance(watched, WatchPage | MalformedPage)
        for found in getattr(page, "objects", ()):
            decode_replica(found)
            decode_configuration(found.spec)

    @seed(20261203)
    @settings(max_examples=400, deadline=None, database=None)
    @given(st.lists(JSON_VALUES, max_size=4))
    def test_valid_entries_are_read(self, specs: list[object]) -> None:
        entries = [spec_bytes(json.dumps(spec).encode()) for spec in specs]
        page = read_list_page(list_of(item("first"), *entries, item("last")))
        self.assertIsInstance(page, ListPage)
        names = {found.name for found in page.objects}
        self.assertLessEqual({"first", "last"}, names)
        self.assertIsInstance(Listing(page.objects, page.revision, page.unreadable), Listing)
