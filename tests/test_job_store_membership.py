"""Snapshots for those who were away, and the formation of a group."""

from __future__ import annotations

import unittest
from unittest import mock

from nose2.tools import params

from job_store_cluster import (
    Caller,
    Cluster,
    state_of,
    voters,
    wait_for_same_state,
    wait_until,
)
from quaymill.connection import job_messages as m
from quaymill.process.job_store import formation, log_tail, snapshots
from quaymill.process.settings import LogSettings
from quaymill.request.outcome import NotRun


class SnapshotTest(unittest.TestCase):
    """The log is short, so that whoever was away is sent the state."""

    def setUp(self):
        for name, value in (("MAX_TAIL_BYTES", 1000), ("MAX_PART_ROWS", 5)):
            module = log_tail if name == "MAX_TAIL_BYTES" else snapshots
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.cluster = Cluster(
            log_settings=LogSettings(heartbeat_s=0.04, election_timeout_s=0.3, kept_bytes=20_000)
        )
        self.addCleanup(self.cluster.close)
        self.caller = Caller(self.cluster.client)

    def fill(self):
        """Write much more than the log keeps, with rows in every state table."""
        self.caller.job(400)
        self.caller.complete(self.caller.lease(300))
        self.caller.lease(20)
        call = m.BeginCall(0, "t", "s", "k", "a", "d", "n")
        self.caller.ask(call, m.CallRecord)
        answer = m.StoredAnswer(200, "text/plain", b"\x00\xff")
        self.caller.ask(m.FinishCall(0, "t", "s", "k", "a", answer), m.Accepted)
        for _ in range(30):
            self.caller.upload(50)
        storage = self.cluster.leader().group.replica.storage
        wait_until(lambda: storage.log_bytes <= 20_000, "the log is compacted")
        self.assertGreater(storage.snapshot_index, 0)

    @params("absent", "wiped", "restarted during the transfer")
    def test_replica_catches_up_from_the_state(self, fault):
        node = self.cluster.followers()[0]
        self.caller.job(5)
        wait_for_same_state(self, self.cluster)
        node.stop()
        if fault == "wiped":
            node.wipe()
        self.fill()
        node.start()
        before = state_of(node)
        receiver = node.group.snapshots
        wait_until(lambda: receiver.next_part > 5, "some parts of the state have come")
        if fault.startswith("restarted"):
            self.assertEqual(before, state_of(node))
            node.stop()
            node.start()
        identity = node.group.replica.identity
        wait_until(lambda: identity in voters(self.cluster), "it is a voter")
        wait_for_same_state(self, self.cluster)
        other = next(x for x in self.cluster.followers() if x is not node)
        other.stop()
        self.caller.job(5)
        self.assertEqual(3, len(voters(self.cluster)))


class FormationTest(unittest.TestCase):
    """How three empty disk nodes become a group."""

    def cluster(self, **options):
        cluster = Cluster(**options)
        self.addCleanup(cluster.close)
        return cluster

    def test_platform_down_at_the_first_start(self):
        cluster = self.cluster(platform_down=True)
        refused = Caller(cluster.client, 0.5).ask(m.ListJobs(0, "t"), m.JobList)
        self.assertIsInstance(refused, NotRun)
        cluster.platform.down = False
        cluster.leader()

    def test_five_nodes_form_one_group_of_three_zones(self):
        cluster = self.cluster(names="abcde", zones="xxyyz")
        membership = cluster.leader().group.replica.membership
        self.assertEqual({"x", "y", "z"}, {voter.zone for voter in membership.voters})
        identities = {voter.identity for voter in membership.voters}
        carriers = [node for node in cluster.nodes.values() if node.service.groups]
        self.assertEqual(identities, {node.group.replica.identity for node in carriers})
        Caller(cluster.client).job(3)

    def test_fewer_than_three_zones_only_after_a_wait(self):
        with mock.patch.object(formation, "WAIT_FOR_THREE_ZONES_S", 0.5):
            cluster = self.cluster(zones="xxy")
            self.assertFalse(cluster.platform.objects)
            self.assertEqual(3, len(voters(cluster)))

    def test_newcomer_learns_of_the_group_while_the_platform_is_down(self):
        cluster = self.cluster()
        node = cluster.followers()[0]
        cluster.platform.down = True
        node.stop()
        node.wipe()
        node.start()
        identity = node.group.replica.identity
        wait_until(lambda: identity in voters(cluster), "it joins without the platform")

    def test_second_process_on_one_folder_is_kept_out(self):
        cluster = self.cluster()
        node = cluster.nodes["a"]
        with self.assertRaises(Exception) as raised:
            node.service.start()
        self.assertIn("in use by another process", str(raised.exception))
