"""Emptying a storage node: it leaves only if enough other nodes can store its data."""

from __future__ import annotations

import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

from nose2.tools import params

from fleet_support import eventually
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_storage_messages import JobSummaries, JobSummary
from quaymill.connection.member import Member
from quaymill.connection.object_store import (
    Listing,
    ObjectKind,
    ObjectMissing,
    RevisionConflict,
    StoredObject,
    StoreUnanswered,
)
from quaymill.connection.peer_server import PeerServer
from quaymill.process.job_copies import CopyRules
from quaymill.process.job_storage import retirement as retirement_module
from quaymill.process.job_storage.database import HeldResults, JobDatabase, JobRecord
from quaymill.process.job_storage.leases import Leases
from quaymill.process.job_storage.retirement import Retirement
from quaymill.process.job_storage.service import JobStorageService


class ObjectsInMemory:
    """The platform's store: objects by kind and name, changed by compare-and-swap.

    Attributes
    ----------
    down
        Whether calls get no answer.
    before_write
        Called before each write to the set of leaving nodes, to let another node be faster.
    """

    def __init__(self) -> None:
        self._objects: dict[tuple[ObjectKind, str], StoredObject] = {}
        self._lock = threading.RLock()
        self._revision = 0
        self.down = False
        self.before_write = lambda: None

    def put(self, kind: ObjectKind, name: str, spec: object, status: object = None) -> StoredObject:
        with self._lock:
            self._revision += 1
            stored = StoredObject(name, self._revision, spec, status)
            self._objects[kind, name] = stored
            return stored

    def list(self, kind: ObjectKind) -> object:
        if self.down:
            return StoreUnanswered("down")
        found = tuple(one for (of, _), one in self._objects.items() if of is kind)
        return Listing(found, self._revision)

    def get(self, kind: ObjectKind, name: str) -> object:
        if self.down:
            return StoreUnanswered("down")
        return self._objects.get((kind, name)) or ObjectMissing()

    def create(self, kind: ObjectKind, name: str, spec: object) -> object:
        return self.replace(kind, name, spec, 0)

    def replace(self, kind: ObjectKind, name: str, spec: object, revision: int) -> object:
        before_write, self.before_write = self.before_write, lambda: None
        before_write()
        with self._lock:
            held = self._objects.get((kind, name))
            if (held.revision if held else 0) != revision:
                return RevisionConflict(held)
            return self.put(kind, name, spec)

    def replace_status(self, kind: ObjectKind, name: str, status: object, revision: int) -> object:
        if self.down:
            return StoreUnanswered("down")
        return self.put(kind, name, self._objects[kind, name].spec, status)

    def leaving(self) -> set[str]:
        held = self._objects.get((ObjectKind.DEPARTURES, "storage"))
        return set(held.spec["leaving"]) if held else set()


def member(name: str) -> Member:
    endpoint = Endpoint("127.0.0.1", 1)
    return Member(name, "z", "r", endpoint, endpoint, has_disk=True)


class LeavingTest(unittest.TestCase):
    """A node that is to be emptied while two copies of each job are needed."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        database = JobDatabase(Path(folder.name))
        self.addCleanup(database.close)
        server = PeerServer(Endpoint("127.0.0.1", 0))
        self.addCleanup(server.stop)
        self.service = JobStorageService(database, Leases(), server)
        self.others: list[str] = []
        self.announced = 0
        store = ObjectsInMemory()
        store.put(ObjectKind.RETIREMENTS, "own", {})
        self.retirement = Retirement(
            "own",
            store,
            database,
            self.service,
            mock.Mock(),
            lambda: tuple(map(member, ["own", *self.others])),
            lambda: tuple(map(member, ["own", *self.others])),
            lambda: tuple(map(member, ["own", *self.others])),
            CopyRules(2),
            self.announce,
            "active",
            "succeeded",
        )

    def announce(self) -> None:
        self.announced += 1

    @params(([], False), (["a"], False), (["a", "b"], True))
    def test_node_leaves_once_enough_others_are_live(self, others, leaves) -> None:
        self.others = others
        self.assertEqual(leaves, self.retirement._begin_leaving())
        self.assertEqual((leaves, int(leaves)), (self.service.retiring.is_set(), self.announced))

    def test_node_accepts_data_until_it_leaves(self) -> None:
        self.others = ["a"]
        with mock.patch.object(retirement_module, "CHECK_INTERVAL_S", 0.01):
            self.retirement.begin()
            self.addCleanup(self.retirement.stop)
            self.assertFalse(self.service.retiring.wait(0.2))
            self.others = ["a", "b"]
            self.assertTrue(self.service.retiring.wait(5.0))

    def test_node_does_not_leave_while_the_store_is_down(self) -> None:
        self.others = ["a", "b", "c"]
        self.retirement._store.down = True
        self.assertFalse(self.retirement._begin_leaving())
        self.assertFalse(self.service.retiring.is_set())

    def test_withdrawn_request_returns_the_node_to_service(self) -> None:
        self.others = ["a", "b", "c"]
        with mock.patch.object(retirement_module, "CHECK_INTERVAL_S", 0.01):
            self.addCleanup(self.retirement.stop)
            for _ in range(2):
                self.retirement.begin()
                self.assertTrue(self.service.retiring.wait(5.0))
                self.retirement.cancel()
                eventually(lambda: not self.service.retiring.is_set(), 5.0)
                self.assertEqual(set(), self.retirement._store.leaving())

    def test_node_that_is_needed_again_returns_to_service(self) -> None:
        self.others = ["a", "b"]
        self.assertTrue(self.retirement._begin_leaving())
        self.others = ["a"]
        self.assertFalse(self.retirement._advance())
        self.assertFalse(self.service.retiring.is_set())
        self.assertEqual(set(), self.retirement._store.leaving())


class Node:
    """One of several storage nodes that share a store, and a job that some of them hold."""

    def __init__(self, name: str, store: ObjectsInMemory, names: list[str], holders: set[str]):
        self.service = mock.Mock(retiring=threading.Event())
        self.announced = False
        record = JobRecord("job", 1, "", 0.0, False, False, HeldResults(digest=7))
        peers = mock.Mock()
        peers.call.side_effect = lambda endpoint, *_: JobSummaries(
            "d",
            (JobSummary("job", 7, False, False, "", 0.0),) if endpoint.host in holders else (),
        )

        def members() -> tuple[Member, ...]:
            endpoint = Endpoint("h", 1)
            return tuple(
                Member(one, "z", "r", Endpoint(one, 1), endpoint, has_disk=True) for one in names
            )

        store.put(ObjectKind.RETIREMENTS, name, {})
        self.retirement = Retirement(
            name,
            store,
            mock.Mock(by_id={"job": record}),
            self.service,
            peers,
            members,
            members,
            members,
            CopyRules(2),
            lambda: None,
            "active",
            "succeeded",
        )


class AgreementTest(unittest.TestCase):
    """Nodes that are to be emptied at the same moment; none has heard of the others' leaving.

    Guards against nodes that each rely on the other to stay: too few are left to store data, or
    copies on leaving nodes count as copies.
    """

    def setUp(self) -> None:
        self.store = ObjectsInMemory()
        self.names = ["a", "b", "c", "d"]
        self.holders: set[str] = set()

    def node(self, name: str) -> Node:
        return Node(name, self.store, self.names, self.holders)

    def test_enough_nodes_stay(self) -> None:
        nodes = [self.node(name) for name in self.names]
        left = [node.retirement._begin_leaving() for node in nodes]
        self.assertEqual([True, True, False, False], left)
        self.assertEqual({"a", "b"}, self.store.leaving())
        self.assertEqual(left, [node.service.retiring.is_set() for node in nodes])

    def test_nodes_that_write_at_the_same_time_agree(self) -> None:
        first, second, third = (self.node(name) for name in "abc")
        self.assertTrue(first.retirement._begin_leaving())
        self.store.before_write = second.retirement._begin_leaving
        self.assertFalse(third.retirement._begin_leaving())
        self.assertEqual({"a", "b"}, self.store.leaving())

    def test_copies_on_leaving_nodes_do_not_count(self) -> None:
        self.holders |= {"a", "b", "c"}
        first, second = self.node("a"), self.node("b")
        for node in (first, second):
            self.assertTrue(node.retirement._begin_leaving())
        for node in (first, second):
            self.assertFalse(node.retirement._advance())
        self.holders.add("d")
        for node in (first, second):
            self.assertTrue(node.retirement._advance())

    def test_node_that_agreed_last_is_noticed_before_success(self) -> None:
        self.holders |= {"a", "b", "c"}
        first, second = self.node("a"), self.node("b")
        self.assertTrue(first.retirement._begin_leaving())
        self.assertTrue(second.retirement._begin_leaving())
        self.assertFalse(first.retirement._advance())
        self.assertIsNone(self.store.get(ObjectKind.RETIREMENTS, "a").status)

    def test_copies_are_counted_again_if_the_status_was_not_written(self) -> None:
        self.holders |= {"a", "c", "d"}
        node = self.node("a")
        self.assertTrue(node.retirement._begin_leaving())
        self.store.down = True
        self.assertFalse(node.retirement._advance())
        self.store.down = False
        self.holders.discard("c")
        self.assertFalse(node.retirement._advance())
        self.assertIsNone(self.store.get(ObjectKind.RETIREMENTS, "a").status)

    def test_node_that_was_added_again_counts_as_staying(self) -> None:
        self.store.put(ObjectKind.DEPARTURES, "storage", {"leaving": ["c", "d"]})
        self.assertTrue(self.node("a").retirement._begin_leaving())
        self.assertEqual({"a"}, self.store.leaving())

    def test_restarted_node_goes_on(self) -> None:
        self.assertTrue(self.node("a").retirement._begin_leaving())
        again = self.node("a")
        self.assertTrue(again.retirement._begin_leaving())
        self.assertTrue(again.service.retiring.is_set())


class CopiesElsewhereTest(unittest.TestCase):
    """A node that leaves holds one job, and two copies on other nodes are needed.

    The names of nodes begin with their zone. Nodes that have been dead for long are known but not
    recent; a name in upper case stands for a node that is being emptied.
    """

    def setUp(self) -> None:
        self.live: list[str] = []
        self.recent: list[str] = []
        self.known: list[str] = []
        self.holders: set[str] = set()
        self.draining: set[str] = set()
        record = JobRecord("job", 1, "", 0.0, False, False, HeldResults(digest=7))
        peers = mock.Mock()
        peers.call.side_effect = self.compare
        self.database = mock.Mock(by_id={"job": record})
        self.peers = peers

    def member(self, name: str) -> Member:
        endpoint = Endpoint(name, 1)
        draining = name in self.draining
        return Member(name, name[0], "r", endpoint, endpoint, has_disk=True, draining=draining)

    def compare(self, endpoint, message, reply_type, timeout_s) -> JobSummaries:
        held = (JobSummary("job", 7, False, False, "", 0.0),)
        return JobSummaries("d", held if endpoint.host in self.holders else ())

    def missing(self, zones: int) -> int | None:
        def members_of(field: str):
            return lambda: tuple(map(self.member, ["own", *getattr(self, field)]))

        return Retirement(
            "own",
            mock.Mock(),
            self.database,
            mock.Mock(),
            self.peers,
            members_of("live"),
            members_of("known"),
            members_of("recent"),
            CopyRules(2, zones),
            lambda: None,
            "active",
            "succeeded",
        )._missing_copies()

    @params(
        ("in both zones", 2, "a1 a2 b1", "", "", "a1 b1", 0),
        ("in one zone", 2, "a1 a2 b1", "", "", "a1 a2", 1),
        ("in one zone, with one zone needed", 1, "a1 a2 b1", "", "", "a1 a2", 0),
        ("too few, in both zones", 2, "a1 a2 b1", "", "", "a1", 1),
        ("the other zone was cut off a moment ago", 2, "a1 a2", "b1", "", "a1 a2", 1),
        ("the other zone has been unreachable for long", 2, "a1 a2", "", "b1", "a1 a2", 0),
        ("there is one zone", 2, "a1 a2 a3", "", "", "a1 a3", 0),
        ("the other zone is being emptied too", 2, "a1 a2", "B1", "", "a1 a2", 0),
    )
    def test_copies_count_by_zone(
        self, name, zones, live, recently_dead, dead_for_long, holders, missing
    ) -> None:
        self.draining = {one.lower() for one in recently_dead.split() if one[0].isupper()}
        self.live = live.split()
        self.recent = self.live + recently_dead.lower().split()
        self.known = self.recent + dead_for_long.split()
        self.holders = set(holders.split())
        self.assertEqual(missing, self.missing(zones))


if __name__ == "__main__":
    unittest.main()
