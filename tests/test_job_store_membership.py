"""Lost disks, newcomers, snapshots and the formation of a group."""

from __future__ import annotations

import random
import shutil
import unittest
from unittest import mock

from nose2.tools import params

from job_store_cluster import (
    Caller,
    Cluster,
    ClusterCase,
    ClusterNode,
    state_of,
    wait_for_same_state,
    wait_until,
)
from quaymill.connection import call_record_messages
from quaymill.connection import job_messages as m
from quaymill.connection.log_messages import RequestVote
from quaymill.process.job_store import formation, log_tail, membership_change, snapshots
from quaymill.process.job_store.replica import Role
from quaymill.process.settings import LogSettings
from quaymill.request.outcome import NotRun


def voters(cluster):
    return {voter.identity for voter in cluster.leader().group.replica.membership.voters}


class LostDiskTest(ClusterCase):
    """A data folder is lost after its replica has acknowledged entries."""

    def wipe(self, node):
        node.stop()
        node.wipe()
        node.start()

    @params("leader", "follower")
    def test_wiped_replica_comes_back_as_a_learner_and_becomes_voter(self, victim):
        job_id = self.caller.job(30)
        node = self.cluster.leader() if victim == "leader" else self.cluster.followers()[0]
        old_identity = node.group.replica.identity
        self.wipe(node)
        new_identity = node.group.replica.identity
        self.assertNotEqual(old_identity, new_identity)
        wait_until(lambda: new_identity in voters(self.cluster), "the newcomer is a voter")
        self.assertEqual(3, len(voters(self.cluster)))
        self.assertNotIn(old_identity, voters(self.cluster))
        self.cluster.followers()[0].stop()  # The newcomer now counts for the majority.
        self.finish(job_id, 30)

    def test_empty_replica_does_not_elect_a_log_that_lacks_entries(self):
        stale, wiped = self.cluster.followers()
        holder = self.cluster.leader()
        stale.stop()
        job_id = self.caller.job(5)  # Acknowledged by the holder and the replica to be wiped.
        holder.stop()
        self.wipe(wiped)
        stale.start()
        refused = Caller(self.cluster.client, timeout_s=2.0).ask(m.GetJob(0, job_id), m.JobRecord)
        self.assertIsInstance(refused, NotRun)
        self.assertFalse(stale.leads or wiped.leads)
        holder.start()
        self.finish(job_id, 5)
        wait_until(
            lambda: wiped.group.replica.identity in voters(self.cluster), "the wiped disk rejoins"
        )

    def test_empty_replica_refuses_votes_and_entries_meant_for_the_old_one(self):
        node = self.cluster.followers()[0]
        old_identity = node.group.replica.identity
        self.cluster.cut(node.name)  # No leader can admit it meanwhile.
        self.wipe(node)
        replica = node.group.replica
        for recipient in (old_identity, replica.identity):
            ask = RequestVote(0, recipient, "candidate", 99, 99, 99, hand_over=True)
            self.assertFalse(replica.handle_vote(ask).granted)
        self.assertEqual(0, replica.storage.term)
        self.cluster.cut()

    def test_wiped_twice_while_joining(self):
        node = self.cluster.followers()[0]
        self.caller.job(5)
        self.wipe(node)
        wait_until(
            lambda: self.cluster.leader().group.replica.membership.find(
                node.group.replica.identity
            ),
            "it is admitted",
        )
        self.wipe(node)
        identity = node.group.replica.identity
        wait_until(lambda: identity in voters(self.cluster), "the last identity is a voter")
        self.assertEqual(3, len(voters(self.cluster)))

    def test_machine_of_another_name_takes_the_place_of_an_absent_one(self):
        job_id = self.caller.job(5)
        absent = self.cluster.followers()[0]
        with (
            mock.patch.object(membership_change, "REPLACE_ABSENT_AFTER_S", 1.0),
            mock.patch.object(formation, "NOT_NEEDED_INTERVAL_S", 0.2),
        ):
            absent.stop()
            spare = ClusterNode(self.cluster, "d", absent.zone)
            self.cluster.nodes["d"] = spare
            identity = spare.group.replica.identity
            wait_until(lambda: identity in voters(self.cluster), "the spare is a voter")
        self.assertEqual(3, len(voters(self.cluster)))
        absent.start()  # It was removed, and must not disturb the group.
        term = self.cluster.leader().group.replica.term
        self.finish(job_id, 5)
        self.assertEqual(term, self.cluster.leader().group.replica.term)

    @params("half a frame more", "half a frame less")
    def test_torn_last_write(self, tear):
        job_id = self.caller.job(20)
        node = self.cluster.followers()[0]
        copy = self.cluster.folder / "copy"
        shutil.copytree(node.folder, copy, ignore=shutil.ignore_patterns("*-shm"))
        wal = copy / "group-0.sqlite3-wal"
        content = wal.read_bytes()
        torn = random.Random(7).randbytes(2000)
        wal.write_bytes(content + torn if "more" in tear else content[:-2000])
        node.stop()
        node.wipe()
        copy.rename(node.folder)
        node.start()
        other = next(x for x in self.cluster.followers() if x is not node)
        other.stop()  # The torn replica is needed for the majority.
        self.finish(job_id, 20)
        wait_for_same_state(self, self.cluster)

    def test_disk_that_fails_stops_its_replica_only(self):
        job_id = self.caller.job(20)
        leader = self.cluster.leader()
        storage = leader.group.replica.storage
        with storage.lock:
            pages = storage.connection.execute("PRAGMA page_count").fetchone()[0]
            storage.connection.execute(f"PRAGMA max_page_count = {pages}")
        self.caller.job(500)
        self.assertIs(Role.STOPPED, leader.group.replica.role)
        self.assertIsNot(leader, self.cluster.leader())
        record = self.caller.record(job_id)
        self.assertEqual(20, record.total)


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
        call = call_record_messages.BeginCall(0, "t", "s", "k", "a", "d", "n")
        self.caller.ask(call, call_record_messages.CallRecord)
        answer = call_record_messages.StoredAnswer(200, "text/plain", b"\x00\xff")
        self.caller.ask(call_record_messages.FinishCall(0, "t", "s", "k", "a", answer), m.Accepted)
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
        outside = [
            node for node in cluster.nodes.values() if node.group.replica.identity not in identities
        ]
        self.assertEqual(2, len(outside))
        for node in outside:
            self.assertIsNone(node.group.replica.membership)
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
