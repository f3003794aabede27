"""Emptying a storage node: it leaves only where others enough can keep what comes."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.object_store import ObjectMissing
from quaymill.connection.peer_server import PeerServer
from quaymill.process.job_copies import CopyRules
from quaymill.process.job_storage import retirement as retirement_module
from quaymill.process.job_storage.database import JobDatabase
from quaymill.process.job_storage.leases import Leases
from quaymill.process.job_storage.retirement import Retirement
from quaymill.process.job_storage.service import JobStorageService


def member(name: str) -> Member:
    endpoint = Endpoint("127.0.0.1", 1)
    return Member(name, "z", "r", endpoint, endpoint, has_disk=True)


class LeavingTest(unittest.TestCase):
    """A node that was asked to be emptied, with others as the test says; two copies are needed."""

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
    def test_it_leaves_once_others_enough_live(self, others, leaves) -> None:
        self.others = others
        self.assertEqual(leaves, self.retirement._leave())
        self.assertEqual((leaves, int(leaves)), (self.service.retiring.is_set(), self.announced))

    def test_until_then_it_takes_what_comes(self) -> None:
        self.others = ["a"]
        with mock.patch.object(retirement_module, "CHECK_INTERVAL_S", 0.01):
            self.retirement.begin()
            self.addCleanup(self.retirement.stop)
            self.assertFalse(self.service.retiring.wait(0.2))
            self.others = ["a", "b"]
            self.assertTrue(self.service.retiring.wait(5.0))


if __name__ == "__main__":
    unittest.main()
