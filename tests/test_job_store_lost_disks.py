"""Disks that are lost, torn, damaged or full, and machines that are replaced."""

from __future__ import annotations

import random
import shutil
from unittest import mock

from nose2.tools import params

from job_store_cluster import (
    Caller,
    ClusterCase,
    ClusterNode,
    voters,
    wait_for_same_state,
    wait_until,
)
from quaymill.connection import job_messages as m
from quaymill.connection.log_messages import RequestVote
from quaymill.process.job_store import formation, membership_change
from quaymill.process.job_store.replica import Role
from quaymill.request.outcome import NotRun


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
            del self.cluster.membership.by_name[absent.name]
            spare = ClusterNode(self.cluster, "d", absent.zone)
            self.cluster.nodes["d"] = spare
            wait_until(lambda: spare.service.groups, "the spare is preferred now")
            identity = spare.group.replica.identity
            wait_until(lambda: identity in voters(self.cluster), "the spare is a voter")
        self.assertEqual(3, len(voters(self.cluster)))
        absent.start()  # It was removed, and must not disturb the group.
        term = self.cluster.leader().group.replica.term
        self.finish(job_id, 5)
        self.assertEqual(term, self.cluster.leader().group.replica.term)

    def test_learner_that_vanishes_is_dropped(self):
        absent = self.cluster.followers()[0]
        changer = membership_change.MembershipChanger
        with (
            mock.patch.object(membership_change, "REPLACE_ABSENT_AFTER_S", 1.0),
            mock.patch.object(formation, "NOT_NEEDED_INTERVAL_S", 0.2),
            mock.patch.object(changer, "_has_caught_up", return_value=False),
        ):
            absent.stop()
            del self.cluster.membership.by_name[absent.name]
            spare = ClusterNode(self.cluster, "d", absent.zone)
            self.cluster.nodes["d"] = spare
            replica = self.cluster.leader().group.replica
            wait_until(lambda: replica.membership.learners, "the spare is a learner")
            spare.stop()
            wait_until(lambda: not replica.membership.learners, "the learner is dropped")
        self.caller.job(3)

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

    def test_damaged_database_counts_as_a_lost_disk(self):
        job_id = self.caller.job(20)
        node = self.cluster.followers()[0]
        node.stop()
        path = node.folder / "group-0.sqlite3"
        path.write_bytes(random.Random(7).randbytes(50_000))
        node.start()
        identity = node.group.replica.identity
        wait_until(lambda: identity in voters(self.cluster), "the newcomer is a voter")
        self.assertEqual(1, len(list(node.folder.glob("*.damaged-*"))))
        self.finish(job_id, 20)

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
