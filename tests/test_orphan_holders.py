"""Which storage node assigns an orphaned job while others are being emptied.

Guards against a job that only leaving nodes hold, and that nobody runs after its coordinator's end.
"""

from __future__ import annotations

import threading
import unittest
from unittest import mock

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_storage_messages import Leases as LeasesMessage
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerNoReply
from quaymill.process.job_copies import CopyRules
from quaymill.process.job_storage.database import HeldResults, JobRecord
from quaymill.process.job_storage.orphans import OrphanWatch
from quaymill.process.membership.ranking import rank_nodes

JOB = "job"
NAMES = [
    one.name
    for one in rank_nodes(
        JOB, [Member(name, "z", "r", Endpoint(name, 1), Endpoint("h", 1)) for name in "abc"]
    )
]
"""Three nodes in the order in which they rank for the job."""


class HolderTest(unittest.TestCase):
    """Three nodes ranked first, second and third for a job without a lease."""

    def setUp(self) -> None:
        self.holders: set[str] = set()
        self.leaving: set[str] = set()
        self.silent: set[str] = set()
        self.leased_at: set[str] = set()
        self.older_build = False
        self.release = threading.Event()
        self.addCleanup(self.release.set)

    def members(self) -> tuple[Member, ...]:
        return tuple(
            Member(
                name,
                "z",
                "r",
                Endpoint(name, 1),
                Endpoint("h", 1),
                has_disk=True,
                draining=name in self.leaving,
            )
            for name in NAMES
        )

    def call(self, endpoint, message, reply_type, timeout_s):
        name = endpoint.host
        if name in self.silent:
            self.release.wait(timeout_s)
            return PeerNoReply(endpoint, "silent")
        held = () if self.older_build else (name in self.holders,)
        return LeasesMessage((1.0 if name in self.leased_at else 0.0,), (False,), held)

    def assigns(self, name: str) -> bool:
        """Return whether a node that holds the job would assign it now."""
        leases = mock.Mock()
        leases.left_s.return_value = 0.0
        leases.renewed_at.return_value = 0.0
        record = JobRecord(JOB, 1, "g#1", 0.0, False, False, HeldResults())
        watch = OrphanWatch(
            name,
            mock.Mock(by_id={JOB: record}),
            leases,
            mock.Mock(call=self.call),
            self.members,
            lambda: (),
            lambda process: False,
            CopyRules(2),
        )
        return bool(watch._without_lease_elsewhere([record]))

    def assigning(self) -> list[int]:
        """Return the ranks of the holders that would assign the job."""
        return [
            rank for rank, name in enumerate(NAMES) if name in self.holders and self.assigns(name)
        ]

    @params(
        ("all hold it", (0, 1, 2), (), [0]),
        ("the first lost its disk", (1, 2), (), [1]),
        ("only leaving nodes hold it", (0, 1), (0, 1), [0]),
        ("only the last one holds it, and leaves", (2,), (2,), [2]),
        ("a staying node has a copy", (0, 2), (0, 1), [2]),
        ("all leave", (0, 1, 2), (0, 1, 2), [0]),
    )
    def test_one_holder_assigns_the_job(self, _, holders, leaving, assigning) -> None:
        self.holders = {NAMES[rank] for rank in holders}
        self.leaving = {NAMES[rank] for rank in leaving}
        self.assertEqual(assigning, self.assigning())

    def test_lease_at_a_leaving_node_counts(self) -> None:
        self.holders = set(NAMES)
        self.leaving = self.leased_at = {NAMES[2]}
        self.assertFalse(self.assigns(NAMES[0]))

    def test_node_that_does_not_answer_may_assign_it_itself(self) -> None:
        self.holders = set(NAMES[1:])
        self.silent = {NAMES[0]}
        self.assertEqual([], self.assigning())

    def test_older_build_is_taken_to_hold_it(self) -> None:
        self.older_build = True
        self.holders = set(NAMES[1:])
        self.assertEqual([], self.assigning())


if __name__ == "__main__":
    unittest.main()
