"""How often storage nodes compare their data, in small and large fleets."""

from __future__ import annotations

import threading
import time
import unittest
from collections import Counter
from unittest import mock

from fleet_support import eventually
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_storage_messages import CompareJobs, JobSummaries
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerNoReply
from quaymill.process.job_copies import CopyRules
from quaymill.process.job_storage import repair as repair_module
from quaymill.process.job_storage.repair import COMPARE_INTERVAL_S, WORKERS, Repair

TIMEOUT_S = 10.0


def node(number: int) -> Member:
    endpoint = Endpoint(f"node-{number}", 1)
    return Member(f"node-{number}", "z", "r", endpoint, endpoint, has_disk=True)


class Peers:
    """Answers comparisons; ``silent`` nodes do not answer until the test ends."""

    def __init__(self) -> None:
        self.asked: Counter[str] = Counter()
        self.digests: dict[str, list[str]] = {}
        self.silent: set[str] = set()
        self.broken: set[str] = set()
        self.release = threading.Event()

    def call(self, endpoint, message: CompareJobs, reply_type, timeout_s):
        self.asked[endpoint.host] += 1
        self.digests.setdefault(endpoint.host, []).append(message.digest)
        if endpoint.host in self.broken:
            raise RuntimeError("a bug")
        if endpoint.host in self.silent:
            self.release.wait(TIMEOUT_S)
            return PeerNoReply(endpoint, "silent")
        return JobSummaries("d1", (), unchanged=message.digest == "d1")


class RepairTest(unittest.TestCase):
    """One node that compares itself with others that hold nothing."""

    def setUp(self):
        self.nodes = [node(number) for number in range(4)]
        self.peers = Peers()
        self.addCleanup(self.peers.release.set)
        self.repair = Repair(
            "node-0", mock.Mock(), mock.Mock(), self.peers, lambda: tuple(self.nodes), CopyRules(2)
        )
        self.addCleanup(self.repair.stop)

    def test_every_other_node_is_compared_repeatedly(self):
        self.repair.start()
        eventually(lambda: all(self.peers.asked[f"node-{n}"] >= 3 for n in (1, 2, 3)), TIMEOUT_S)
        self.assertEqual(0, self.peers.asked["node-0"])
        self.assertEqual(["", "d1", "d1"], self.peers.digests["node-1"][:3])

    def test_comparisons_are_less_frequent_with_many_nodes(self):
        """Guards against a load that grows with the square of the number of nodes."""
        self.nodes = [node(number) for number in range(30)]
        self.repair._update_nodes()
        one = self.repair._start_due()[0]
        self.repair._reschedule(one)
        pause_s = one.due_at - time.monotonic()
        self.assertAlmostEqual(29 / repair_module.COMPARISONS_PER_S, pause_s, delta=0.1)
        self.nodes = self.nodes[:4]
        self.repair._update_nodes()
        one = self.repair._by_node["node-1"]
        self.repair._reschedule(one)
        self.assertAlmostEqual(COMPARE_INTERVAL_S, one.due_at - time.monotonic(), delta=0.1)

    def test_new_node_resets_all_comparisons(self):
        self.repair.start()
        eventually(lambda: self.peers.asked["node-1"] >= 2, TIMEOUT_S)
        self.nodes = [*self.nodes, node(4)]
        eventually(lambda: self.peers.digests["node-1"][1:].count("") == 1, TIMEOUT_S)
        eventually(lambda: self.peers.asked["node-4"] >= 1, TIMEOUT_S)

    def test_leaving_node_is_still_a_source(self):
        """Guards against a job that only leaving nodes hold and that nobody copies."""
        self.repair._sources = lambda: (*self.nodes, node(4))
        self.repair.start()
        eventually(lambda: self.peers.asked["node-4"] >= 2, TIMEOUT_S)
        holders = self.repair._rules.holders("job", self.repair._storage_nodes())
        self.assertNotIn("node-4", {member.name for member in holders})

    def test_node_that_begins_to_leave_resets_all_comparisons(self):
        """Jobs that belonged there belong on other nodes from then on."""
        self.repair._sources = lambda: tuple(node(number) for number in range(4))
        self.repair.start()
        eventually(lambda: self.peers.asked["node-1"] >= 2, TIMEOUT_S)
        self.nodes = self.nodes[:3]
        eventually(lambda: self.peers.digests["node-1"][1:].count("") == 1, TIMEOUT_S)

    def test_exceptions_do_not_end_the_comparisons(self):
        self.peers.broken = {"node-1"}
        self.repair.start()
        # More failures than there are workers.
        eventually(lambda: self.peers.asked["node-1"] > WORKERS, TIMEOUT_S)
        eventually(lambda: self.peers.asked["node-2"] > WORKERS, TIMEOUT_S)

    def test_unresponsive_nodes_do_not_delay_the_others(self):
        self.nodes = [node(number) for number in range(8)]
        self.peers.silent = {f"node-{number}" for number in range(1, WORKERS)}
        self.repair.start()
        eventually(lambda: all(self.peers.asked[f"node-{n}"] >= 3 for n in (5, 6, 7)), TIMEOUT_S)
        self.assertEqual({1}, {self.peers.asked[name] for name in self.peers.silent})


if __name__ == "__main__":
    unittest.main()
