"""The set of evacuated zones: revisions, reading, and exchange between gateways.

Gateways of these tests have a control view only and call each other in process.
"""

from __future__ import annotations

import itertools
import unittest
from typing import Any
from unittest import mock

import msgspec
from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.control_messages import ControlState, PullControl
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.object_store import (
    HistoryGone,
    Listing,
    ObjectKind,
    StoredObject,
    StoreRefused,
    UnreadableObject,
)
from quaymill.connection.peer_link import PeerUnreachable
from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.process.control.evacuations import EvacuatedZones, zones_in
from quaymill.process.control.read_history import OUTAGE_S
from quaymill.process.control.state import ControlPlaneView
from quaymill.process.membership.member_table import MemberTable
from quaymill.process.membership.messages import Probe, decode_datagram, encode_datagram
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.process.serving_settings import Bounds, ServingSettings
from quaymill_bench.fleet_world import configuration

A, B = frozenset({"zone-a"}), frozenset({"zone-b"})
NONE = frozenset()
REFUSED = StoreRefused("the store answered 503")


class EvacuatedZonesTest(unittest.TestCase):
    """Order of sets, whoever brings them."""

    def setUp(self) -> None:
        self.evacuated = EvacuatedZones()
        self.changes: list[tuple[frozenset[str], frozenset[str]]] = []
        self.evacuated.subscribe(lambda begun, ended: self.changes.append((begun, ended)))

    def test_late_answers_of_earlier_states_change_nothing(self) -> None:
        # Withdrawn and requested again quickly; answers to earlier reads arrive last.
        for revision, zones in ((10, A), (20, NONE), (30, A)):
            self.evacuated.apply(zones, revision, "store")
        for revision, zones in ((20, NONE), (10, A), (15, NONE), (30, NONE)):
            self.assertFalse(self.evacuated.apply(zones, revision, "peer x"))
        self.assertTrue(self.evacuated.is_evacuated("zone-a"))
        self.assertEqual([(A, NONE), (NONE, A), (A, NONE)], self.changes)

    def test_revision_stays_while_zones_are_the_same(self) -> None:
        # Otherwise all gateways would exchange the same set after every write to the store.
        self.evacuated.apply(A, 10, "store")
        self.assertFalse(self.evacuated.apply(A, 11, "store"))
        self.assertEqual(10, self.evacuated.revision)

    def test_listeners_see_the_new_zones_and_ended_ones_are_released_before(self) -> None:
        """Guards against requests refused as if both the old and the new zone were evacuated."""
        seen: list[tuple[str, frozenset[str]]] = []
        self.evacuated.apply(A, 10, "store")
        self.evacuated.before_release(lambda ended: seen.append(("release", self.evacuated.zones)))
        self.evacuated.subscribe(lambda *_: seen.append(("listener", self.evacuated.zones)))
        self.evacuated.apply(B, 20, "store")
        self.assertEqual([("release", A), ("listener", B)], seen)

    @params("before_release", "subscribe")
    def test_callback_that_raises_does_not_hold_back_the_set(self, register) -> None:
        """Guards against zones that stay evacuated although a later set says otherwise."""
        self.evacuated.apply(A, 10, "store")
        getattr(self.evacuated, register)(mock.Mock(side_effect=RuntimeError))
        with self.assertRaises(RuntimeError):
            self.evacuated.apply(B, 20, "store")
        self.assertEqual((B, 20), self.evacuated.snapshot())

    def test_empty_set_counts_as_known(self) -> None:
        # Otherwise no gateway would ever be ready while nothing is evacuated.
        self.evacuated.apply((), 7, "store")
        self.assertEqual(7, self.evacuated.revision)
        self.assertEqual([], self.changes)

    def test_ignored_set_of_higher_revision_raises_the_revision(self) -> None:
        # This gateway read the same zones at 10 and 30 and missed the withdrawal at 20. The peer
        # that has only the withdrawal must see that it is behind, and pull.
        self.evacuated.apply(A, 10, "store")
        self.evacuated.apply(A, 30, "store")
        self.evacuated.apply_from_peer(NONE, 20, "peer x")
        self.assertEqual((A, 30), self.evacuated.snapshot())

    def test_same_zones_from_a_newer_peer_are_not_requested_again(self) -> None:
        self.evacuated.apply(A, 10, "store")
        self.evacuated.apply_from_peer(A, 30, "peer x")
        self.assertEqual((A, 30), self.evacuated.snapshot())

    def test_unreadable_counts_and_marked_for_deletion_does_not(self) -> None:
        listing = Listing(
            (StoredObject("zone-a", 3, {}), StoredObject("zone-c", 4, {}, deleting=True)),
            9,
            (UnreadableObject("zone-b", "no JSON"), UnreadableObject("", "no JSON, no name")),
        )
        self.assertEqual(A | B, zones_in(listing))


class _Store:
    """Configuration and lists in memory; reads of the kinds in ``refused`` fail."""

    def __init__(self) -> None:
        self.refused: set[ObjectKind] = set()
        self.configuration: Any = configuration(1)
        self.zones: frozenset[str] = NONE
        self.listed: list[ObjectKind] = []
        self._revisions = itertools.count(5)

    def list(self, kind: ObjectKind) -> Any:
        self.listed.append(kind)
        if kind in self.refused:
            return REFUSED
        revision = next(self._revisions)
        if kind is ObjectKind.CONFIGURATION:
            return Listing(self._stored_configuration(revision), revision)
        names = self.zones if kind is ObjectKind.EVACUATIONS else ()
        return Listing(tuple(StoredObject(name, revision, {}) for name in names), revision)

    def watch(self, kind: ObjectKind, revision: int, wait_s: float) -> Any:
        # Without any history, so that each read of the configuration lists it.
        return REFUSED if kind in self.refused else HistoryGone()

    def _stored_configuration(self, revision: int) -> tuple[StoredObject, ...]:
        if self.configuration is None:
            return ()
        return (StoredObject("main", revision, self.configuration),)


class _Membership:
    """One gateway's membership; all gateways know each other's versions at once."""

    def __init__(self, name: str, all_members: dict[str, Member]) -> None:
        self._name = name
        self._members = all_members
        self.confirmed_at: float | None = None
        self.notices = 0
        all_members[name] = Member(name, "zone-a", "region", Endpoint(name, 1), Endpoint(name, 1))

    def local(self) -> Member:
        return self._members[self._name]

    def members(self) -> tuple[Member, ...]:
        return tuple(self._members.values())

    live = members

    def publish(self, generation: int, machines: int, evacuations: int) -> None:
        self._members[self._name] = msgspec.structs.replace(
            self.local(),
            configuration_generation=generation,
            machine_list_version=machines,
            evacuations_revision=evacuations,
        )

    def confirm_versions(self, at: float) -> None:
        self.confirmed_at = at

    def confirmed_age_s(self) -> float:
        return 0.0

    def send_notice(self, members: Any) -> None:
        self.notices += 1


class _Gateways:
    """Control views that share one store and call each other in process."""

    def __init__(self, *names: str, enabled: bool = True) -> None:
        self.store = _Store()
        self.members: dict[str, Member] = {}
        self.handlers: dict[str, Any] = {}
        self.pulled = 0
        self.views: dict[str, ControlPlaneView] = {}
        self.sets: dict[str, EvacuatedZones] = {}
        self.memberships: dict[str, _Membership] = {}
        for name in names:
            self.add(name, enabled=enabled)

    def add(self, name: str, *, enabled: bool = True) -> ControlPlaneView:
        """Add a gateway, or restart it: it knows nothing then."""
        self.memberships[name] = _Membership(name, self.members)
        self.sets[name] = EvacuatedZones()
        self.handlers.pop(name, None)
        server = _Server(self.handlers, name)
        self.views[name] = ControlPlaneView(
            self.store,
            GATEWAY_PROTOCOL.control,
            ReplicaTable(),
            self.memberships[name],
            self,
            server,
            1.0,
            self.sets[name] if enabled else None,
        )
        return self.views[name]

    def call(self, endpoint: Endpoint, message: Any, reply_type: type, timeout_s: float) -> Any:
        """Call a peer as ``PeerClient`` does."""
        self.pulled += 1
        handlers = self.handlers.get(endpoint.host)
        if handlers is None:
            return PeerUnreachable(endpoint, "it has ended")
        return handlers[type(message)](message)

    def kill(self, name: str) -> None:
        """End a gateway; its peers do not notice."""
        del self.handlers[name]

    def pull(self, name: str) -> bool:
        """Let a gateway pull once from a peer that is ahead; return whether there was one."""
        view = self.views[name]
        version = view.routes.version
        view._pull.pull_once()
        peer = view._peer_ahead()
        pulled_lists = peer is not None and view._pull_from(peer)
        return pulled_lists or view.routes.version > version

    def zones(self, name: str) -> frozenset[str]:
        return self.sets[name].zones


class _Server:
    def __init__(self, handlers: dict[str, Any], name: str) -> None:
        self._handlers, self._name = handlers, name

    def register(self, message_type: type, handler: Any) -> None:
        self._handlers.setdefault(self._name, {})[message_type] = handler


class ControlTest(unittest.TestCase):
    """Who reads, and how the set reaches the others."""

    def test_reader_that_dies_before_telling_is_followed_by_the_next(self) -> None:
        gateways = _Gateways("g0", "g1", "g2")
        gateways.store.zones = A
        gateways.views["g0"]._read_store()
        gateways.kill("g0")
        self.assertFalse(gateways.pull("g2"))
        gateways.views["g1"]._read_store()
        for _ in range(20):  # A pull chooses a peer at random, and may choose the dead one.
            gateways.pull("g2")
        self.assertEqual((A, A), (gateways.zones("g1"), gateways.zones("g2")))

    def test_restarted_gateway_is_not_ready_before_it_knows_the_set(self) -> None:
        gateways = _Gateways("g0", "g1")
        gateways.store.zones = A
        gateways.views["g0"]._read_store()
        gateways.store.refused = set(ObjectKind)
        restarted = gateways.add("g1")
        self.assertNotEqual("", restarted._read_store())
        self.assertFalse(restarted.ready)
        self.assertTrue(gateways.pull("g1"))
        self.assertTrue(restarted.ready)
        self.assertEqual(A, gateways.zones("g1"))

    def test_view_without_the_set_is_not_ready(self) -> None:
        # Configuration and replicas are known, so the gateway would serve.
        gateways = _Gateways("g0")
        gateways.store.refused = {ObjectKind.EVACUATIONS}
        self.assertNotEqual("", gateways.views["g0"]._read_store())
        self.assertEqual(1, gateways.views["g0"].routes.version)
        self.assertFalse(gateways.views["g0"].ready)

    def test_failed_read_of_the_set_is_not_confirmed(self) -> None:
        # The others would wait for a full interval before they read it themselves.
        gateways = _Gateways("g0")
        gateways.store.refused = {ObjectKind.EVACUATIONS}
        gateways.views["g0"]._read_store()
        membership = gateways.memberships["g0"]
        self.assertEqual((None, 0), (membership.confirmed_at, membership.notices))

    def test_missing_configuration_does_not_hide_an_evacuation(self) -> None:
        gateways = _Gateways("g0")
        gateways.views["g0"]._read_store()
        gateways.store.configuration = None
        gateways.store.zones = A
        gateways.views["g0"]._read_store()
        self.assertEqual(A, gateways.zones("g0"))

    def test_unreadable_list_of_replicas_does_not_hide_an_evacuation(self) -> None:
        gateways = _Gateways("g0")
        gateways.store.zones = A
        gateways.store.refused = {ObjectKind.REPLICAS}
        self.assertNotEqual("", gateways.views["g0"]._read_store())
        self.assertEqual(A, gateways.zones("g0"))

    def test_failing_list_of_evacuations_is_no_outage_of_the_list_of_replicas(self) -> None:
        """Guards against departed replicas that stay listed while only evacuations fail."""
        gateways = _Gateways("g0")
        view = gateways.views["g0"]
        gateways.store.refused = {ObjectKind.EVACUATIONS}
        gateways.memberships["g0"].confirmed_age_s = lambda: 100.0
        kept = []
        now = 1000.0
        with (
            mock.patch.object(boot_clock, "now", lambda: now),
            mock.patch.object(
                view._table,
                "replace_all",
                lambda *_, keep_missing: kept.append(keep_missing) or 0,
            ),
        ):
            for _ in range(4):
                view._read_store()
                now += 1.5
            now += OUTAGE_S
            view._read_store()
        self.assertEqual([True, True, False, False, True], kept)

    def test_store_that_does_not_answer_is_called_once(self) -> None:
        # Each further call would wait for its timeout, and delay the return of the configuration.
        gateways = _Gateways("g0")
        gateways.store.refused = set(ObjectKind)
        gateways.views["g0"]._read_store()
        self.assertEqual([ObjectKind.CONFIGURATION], gateways.store.listed)

    def test_last_known_set_applies_while_the_store_is_down(self) -> None:
        gateways = _Gateways("g0")
        gateways.store.zones = A
        gateways.views["g0"]._read_store()
        gateways.store.refused = set(ObjectKind)
        gateways.views["g0"]._read_store()
        self.assertEqual(A, gateways.zones("g0"))

    def test_newer_set_arrives_with_an_older_list_of_replicas(self) -> None:
        # Each number is compared by itself: g1 is ahead in the set and behind in the replicas.
        gateways = _Gateways("g0", "g1")
        gateways.views["g0"]._read_store()
        gateways.sets["g1"].apply(A, 1_000, "store")
        gateways.views["g1"]._publish_versions()
        gateways.views["g0"]._table.replace_all((), 2_000)
        self.assertTrue(gateways.pull("g0"))
        self.assertEqual(A, gateways.zones("g0"))

    def test_confirmation_without_the_set_is_no_confirmation(self) -> None:
        # A reader of an older build confirms what it reads, which excludes evacuations.
        gateways = _Gateways("g0")
        gateways.views["g0"]._read_store()
        membership = gateways.memberships["g0"]
        membership.confirmed_at = None
        gateways.views["g0"]._handle_confirmation(1, 1, 0, 3.0)
        self.assertIsNone(membership.confirmed_at)
        gateways.views["g0"]._handle_confirmation(1, 1, 1_000, 3.0)
        self.assertIsNone(membership.confirmed_at)
        gateways.views["g0"]._handle_confirmation(1, 1, 1, 3.0)
        self.assertEqual(3.0, membership.confirmed_at)

    def test_gateways_with_the_same_set_do_not_pull(self) -> None:
        gateways = _Gateways("g0", "g1")
        gateways.store.zones = A
        for name in ("g0", "g1", "g0", "g1"):
            gateways.views[name]._read_store()
        while gateways.pull("g0") or gateways.pull("g1"):
            self.assertLess(gateways.pulled, 5)

    def test_deployment_without_evacuations_reads_and_confirms_as_before(self) -> None:
        gateways = _Gateways("g0", enabled=False)
        gateways.store.zones = A
        self.assertEqual("", gateways.views["g0"]._read_store())
        self.assertEqual([ObjectKind.CONFIGURATION, ObjectKind.REPLICAS], gateways.store.listed)
        self.assertEqual(0, gateways.members["g0"].evacuations_revision)
        gateways.memberships["g0"].confirmed_at = None
        gateways.views["g0"]._handle_confirmation(1, 1, 0, 3.0)
        self.assertEqual(3.0, gateways.memberships["g0"].confirmed_at)

    def test_gateway_without_evacuations_is_confirmed_by_one_that_reads_them(self) -> None:
        """Guards against a gateway that wakes for a set that it never pulls."""
        gateways = _Gateways("g0", enabled=False)
        gateways.views["g0"]._read_store()
        gateways.memberships["g0"].confirmed_at = None
        gateways.views["g0"]._handle_confirmation(1, 1, 7, 3.0)
        self.assertEqual(3.0, gateways.memberships["g0"].confirmed_at)


class WireTest(unittest.TestCase):
    """Builds and deployments without evacuations exchange the same bytes as before."""

    def test_datagram_without_the_set_has_the_bytes_of_before(self) -> None:
        header = {"sender": "a", "incarnation": 5, "generation": 7, "machines": 9}
        probe = Probe(**header, evacuations=0, sequence=3)
        self.assertEqual(
            b'{"kind":"Probe","sender":"a","incarnation":5,"generation":7,"machines":9,'
            b'"sequence":3}\n',
            encode_datagram(probe),
        )

    def test_datagram_carries_the_revision(self) -> None:
        probe = Probe(sender="a", incarnation=5, evacuations=11)
        self.assertEqual(11, decode_datagram(encode_datagram(probe)).evacuations)

    def test_messages_of_a_deployment_without_evacuations_have_the_fields_of_before(self) -> None:
        """Guards against bytes that deployments pay for without using the feature."""
        gateways = _Gateways("g0", "g1", enabled=False)
        gateways.views["g0"]._read_store()
        sent: list[Any] = []

        def call(endpoint: Endpoint, message: Any, reply_type: type, timeout_s: float) -> Any:
            reply = gateways.handlers["g0"][type(message)](message)
            sent.extend((message, reply))
            return reply

        view = gateways.views["g1"]
        view._peer_client = mock.Mock(call=call)
        self.assertTrue(gateways.pull("g1"))
        pull, state = (msgspec.json.decode(msgspec.json.encode(one)) for one in sent)
        self.assertEqual({"kind", "configuration_version", "replicas_revision"}, set(pull))
        self.assertEqual({"kind", "configuration", "replicas", "replicas_revision"}, set(state))
        self.assertEqual(1, gateways.views["g1"].routes.version)

    def test_messages_of_older_builds_are_understood(self) -> None:
        pull = msgspec.json.decode(
            b'{"kind":"PullControl","configuration_version":1,"replicas_revision":2}',
            type=PullControl,
        )
        self.assertEqual(0, pull.evacuations_revision)
        state = msgspec.json.decode(b'{"kind":"ControlState"}', type=ControlState)
        self.assertIsNone(state.evacuated_zones)

    def test_member_table_keeps_the_highest_revision(self) -> None:
        # A record without the number, spread by a third node, must not hide a newer set.
        members: dict[str, Member] = {}
        _Membership("a", members)
        _Membership("b", members)
        table = MemberTable(members["a"])
        table.merge(members["b"])
        table.record_versions("b", 0, 1, 2, 3)
        table.merge(members["b"])
        table.record_versions("b", 0, 1, 2, 0)
        self.assertEqual(3, table.get("b").evacuations_revision)


class IntervalTest(unittest.TestCase):
    """Time between two reads of the store."""

    @params((0.0, 0.9), (5000.0, 0.9), (1000.0, 0.45))
    def test_read_interval_respects_the_bound(self, evacuation_ms: float, expected_s: float):
        settings = ServingSettings(
            "n", "z", "r", "a", "1", "s", bounds=Bounds(evacuation_ms=evacuation_ms)
        )
        self.assertAlmostEqual(expected_s, settings.read_interval_s)
