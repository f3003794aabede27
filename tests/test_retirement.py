"""Emptying a storage node: it leaves only if enough other nodes can store its data."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_storage_messages import JobSummaries, JobSummary
from quaymill.connection.member import Member
from quaymill.connection.object_store import ObjectMissing
from quaymill.connection.peer_server import PeerServer
from quaymill.process.job_copies import CopyRules
from quaymill.process.job_storage import retirement as retirement_module
from quaymill.process.job_storage.database import HeldResults, JobDatabase, JobRecord
from quaymill.process.job_storage.leases import Leases
from quaymill.process.job_storage.retirement import Retirement
from quaymill.process.job_storage.service import JobStorageService


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
        store = mock.Mock()
        store.get.return_value = ObjectMissing()
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
