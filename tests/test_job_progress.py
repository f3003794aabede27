"""After a coordinator dies, progress must not be lost and the job must be adopted in time."""

from __future__ import annotations

import sqlite3
import tempfile
import unittest
from contextlib import closing
from pathlib import Path
from unittest import mock

from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_document import Job, JobDocument, JobItem, JobResult, ResultState
from quaymill.connection.job_storage_messages import (
    LEASE_S,
    AdoptJob,
    FetchLeases,
    ItemProgress,
    JobAdopted,
    KeyedResult,
    Leases,
    ResultKey,
)
from quaymill.connection.member import Member
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.process.job_copies import CopyRules
from quaymill.process.job_storage.database import FILE_NAME, JobDatabase
from quaymill.process.job_storage.leases import Leases as LeaseTable
from quaymill.process.job_storage.orphans import REPLACED_FOR_S, OrphanWatch
from quaymill.process.jobs.coordinated_job import CoordinatedJob, ItemState
from quaymill.process.jobs.progress_saver import ProgressSaver
from quaymill.request.stream_version import StreamVersion

JOB = "job"
V1 = StreamVersion("engine", "v1")


def job(items: int = 2) -> Job:
    document = JobDocument(tuple(JobItem(f"i{n}", "/x", {}, b"", 10) for n in range(items)))
    return Job(JOB, "h", "/jobs/x", document)


def progress_of(first: int, texts: str, index: int = 0) -> ItemProgress:
    return ItemProgress(index, str(first + len(texts)), tuple(texts), 0, first, V1.service, V1.name)


def member(name: str) -> Member:
    endpoint = Endpoint("127.0.0.1", 1)
    return Member(name, "z", "r", endpoint, endpoint, has_disk=name.startswith("storage"))


class DatabaseCase(unittest.TestCase):
    """Base of tests with the database of a storage node that has one job."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.database = self.open()
        self.database.store_job(job(), "g#1")

    def open(self) -> JobDatabase:
        database = JobDatabase(self.folder)
        self.addCleanup(database.close)
        return database


class StoredProgressTest(DatabaseCase):
    """Stored progress must never have gaps or mix events of two coordinators."""

    @params(
        ((progress_of(0, "ab"), progress_of(2, "cd")), "abcd"),
        ((progress_of(0, "ab"), progress_of(1, "bcd")), "ab"),
        ((progress_of(0, "ab"), progress_of(3, "d")), "ab"),
        ((progress_of(2, "cd"),), ""),
    )
    def test_progress_ends_at_the_first_gap(self, parts, expected) -> None:
        for one in parts:
            self.database.store_progress(JOB, "one", [one])
        found = self.database.progress(JOB)[0]
        self.assertEqual(expected, "".join(found.texts))
        self.assertEqual(str(len(expected)) if expected else None, found.last_event_id)

    def test_events_of_two_coordinators_are_never_joined(self) -> None:
        # The second coordinator resumed after event 1, the first one after event 2.
        self.database.store_progress(JOB, "one", [progress_of(0, "ab")])
        self.database.store_progress(JOB, "two", [progress_of(0, "a"), progress_of(1, "BC")])
        self.database.store_progress(JOB, "two", [progress_of(3, "D")])
        self.database.store_progress(JOB, "one", [progress_of(2, "c")])
        (found,) = self.database.progress(JOB)
        self.assertEqual(("a", "B", "C", "D"), found.texts)

    def test_progress_survives_a_restart(self) -> None:
        self.database.store_progress(JOB, "one", [progress_of(0, "ab", 1)])
        self.assertEqual((progress_of(0, "ab", 1),), self.open().progress(JOB))

    def test_progress_in_a_database_without_versions_has_an_unknown_one(self) -> None:
        self.database.store_progress(JOB, "one", [progress_of(0, "ab")])
        self.database.close()
        with closing(sqlite3.connect(self.folder / FILE_NAME)) as connection, connection:
            connection.execute("ALTER TABLE progress DROP COLUMN service")
            connection.execute("ALTER TABLE progress DROP COLUMN version")
        (found,) = self.open().progress(JOB)
        self.assertEqual((("a", "b"), None), (found.texts, found.version))
        item = CoordinatedJob(job(), None, "g#1").items[0]
        item.resume_from(found)
        address = Endpoint("127.0.0.1", 1)
        self.assertFalse(item.may_run_at(ReplicaEntry("r", "engine", address, "x", 4)))

    def test_progress_is_deleted_when_the_result_is_stored(self) -> None:
        self.database.store_progress(JOB, "one", [progress_of(0, "ab"), progress_of(0, "xy", 1)])
        result = JobResult("i0", ResultState.SUCCEEDED, "a\nb")
        self.database.store_results(JOB, [KeyedResult(ResultKey(0, "d"), result)])
        self.assertEqual([1], [one.index for one in self.database.progress(JOB)])

    def test_no_progress_is_stored_for_ended_or_unknown_jobs(self) -> None:
        self.database.store_progress("other", "one", [progress_of(0, "ab")])
        self.database.end_job(JOB)
        self.database.store_progress(JOB, "one", [progress_of(0, "ab")])
        self.assertEqual((), self.database.progress("other") + self.database.progress(JOB))


class RecordingStorage:
    """A storage node that records the progress sent to it."""

    def __init__(self) -> None:
        self.node = "storage-0"
        self.fails = False
        self.lineages: set[str] = set()
        self.sent: list[tuple[str, ItemProgress]] = []

    def progress_node(self, job_id: str) -> str:
        return self.node

    def store_progress(self, job_id: str, lineage: str, progress, node: str) -> bool:
        self.lineages.add(lineage)
        self.sent += [(node, one) for one in progress]
        return not self.fails


class ProgressSaverTest(unittest.TestCase):
    """Which progress a coordinator sends, and when it sends it again."""

    def setUp(self) -> None:
        self.storage = RecordingStorage()
        self.job = CoordinatedJob(job(), None, "g#1")
        self.item = self.job.items[0]
        self.item.state = ItemState.RUNNING
        self.saver = ProgressSaver(self.storage, lambda: [self.job])

    def save(self) -> list[tuple[str, ItemProgress]]:
        self.storage.sent = []
        self.saver.save()
        return self.storage.sent

    def test_each_event_is_sent_once(self) -> None:
        self.item.add_events(["a", "b"], "2", V1)
        self.assertEqual([("storage-0", progress_of(0, "ab"))], self.save())
        self.assertEqual([], self.save())
        self.item.add_events(["c"], "3", V1)
        self.assertEqual([("storage-0", progress_of(2, "c"))], self.save())

    def test_progress_that_was_not_stored_is_sent_again(self) -> None:
        self.storage.fails = True
        self.item.add_events(["a"], "1", V1)
        self.save()
        self.storage.fails = False
        self.item.add_events(["b"], "2", V1)
        self.assertEqual([("storage-0", progress_of(0, "ab"))], self.save())

    def test_all_progress_is_sent_to_a_new_node(self) -> None:
        self.item.add_events(["a"], "1", V1)
        self.save()
        self.storage.node = "storage-1"
        self.assertEqual([("storage-1", progress_of(0, "a"))], self.save())

    def test_a_job_that_is_adopted_again_starts_a_new_lineage(self) -> None:
        self.item.add_events(["a"], "1", V1)
        self.save()
        self.job = CoordinatedJob(job(), None, "g#1")
        self.job.items[0].resume_from(progress_of(0, "xyz"))
        self.assertEqual([("storage-0", progress_of(0, "xyz"))], self.save())
        self.assertEqual(2, len(self.storage.lineages))

    def test_events_before_and_after_a_fresh_start_are_never_joined(self) -> None:
        self.item.add_events(["a", "b"], "2", V1)
        self.save()
        self.item.discard_events()
        self.item.add_events(["x", "y", "z"], "3", V1)
        self.assertEqual([("storage-0", progress_of(0, "xyz"))], self.save())
        self.assertEqual(2, len(self.storage.lineages))

    def test_progress_of_finished_items_is_not_sent(self) -> None:
        self.item.add_events(["a"], "1", V1)
        self.job.finish(self.item, ResultState.SUCCEEDED, "a")
        self.assertEqual([], self.save())


class FixedPeers:
    """Peers with fixed replies that record the messages they receive."""

    def __init__(self) -> None:
        self.lease_left_s = 0.0
        self.ended = False
        self.lease_queries: list[FetchLeases] = []
        self.adopted: list[AdoptJob] = []

    def call(self, endpoint, message, reply_type, timeout_s):
        if isinstance(message, AdoptJob):
            self.adopted.append(message)
            return JobAdopted("g#2")
        self.lease_queries.append(message)
        return Leases(
            tuple(self.lease_left_s for _ in message.job_ids),
            tuple(self.ended for _ in message.job_ids),
        )


class AdoptionTest(DatabaseCase):
    """When a storage node assigns a job to another gateway; the clock is simulated."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 1000.0
        patch = mock.patch.object(boot_clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.replaced_processes: set[str] = set()
        self.unreachable_processes: set[str] = set()
        self.peers = FixedPeers()
        self.leases = LeaseTable()
        self.leases.renew([JOB], "g#1")
        self.watch = OrphanWatch(
            "storage-0",
            self.database,
            self.leases,
            self.peers,
            lambda: (member("storage-0"), member("storage-1")),
            lambda: (member("g"), member("h")),
            lambda name: name in self.replaced_processes,
            CopyRules(2),
            may_have_ended=lambda name: name not in self.unreachable_processes,
        )
        # Otherwise the job's id decides which of the two storage nodes acts.
        patch = mock.patch.object(self.watch, "_is_first_holder", lambda *_: True)
        patch.start()
        self.addCleanup(patch.stop)

    def adopted_after(self, time_s: float) -> bool:
        self.now += time_s
        self.watch.check()
        return bool(self.peers.adopted)

    def test_job_is_adopted_after_its_lease_expires(self) -> None:
        self.assertFalse(self.adopted_after(LEASE_S - 0.1))
        self.assertTrue(self.adopted_after(0.2))

    def test_jobs_of_unreachable_processes_are_not_adopted(self) -> None:
        self.unreachable_processes.add("g#1")
        self.assertFalse(self.adopted_after(10 * LEASE_S))
        self.unreachable_processes.clear()
        self.assertTrue(self.adopted_after(0.1))

    def test_jobs_of_an_ended_process_are_adopted_early(self) -> None:
        self.database.store_progress(JOB, "one", [progress_of(0, "ab")])
        self.replaced_processes.add("g#1")
        self.assertFalse(self.adopted_after(0.1))
        self.assertTrue(self.adopted_after(REPLACED_FOR_S + 0.05))
        self.assertEqual(("g#1",), self.peers.lease_queries[0].ended_holders)
        self.assertEqual((progress_of(0, "ab"),), self.peers.adopted[0].progress)
        self.assertEqual("g#2", self.leases.holder(JOB))
        self.assertEqual("g#2", self.open().by_id[JOB].coordinator)

    def test_renewal_after_a_restart_prevents_early_adoption(self) -> None:
        self.replaced_processes.add("g#1")
        self.adopted_after(0.1)
        self.now += 0.1
        self.leases.renew([JOB], "g#1")
        self.assertFalse(self.adopted_after(REPLACED_FOR_S + 0.05))

    def test_lease_at_another_storage_node_prevents_adoption(self) -> None:
        self.peers.lease_left_s = 1.0
        self.replaced_processes.add("g#1")
        self.adopted_after(0.1)
        self.assertFalse(self.adopted_after(REPLACED_FOR_S + 0.05))

    def test_job_that_ended_elsewhere_is_not_adopted(self) -> None:
        """A node that was cut off while a client ended the job must not have it run again."""
        self.peers.ended = True
        self.assertFalse(self.adopted_after(LEASE_S + 0.1))
        self.assertTrue(self.database.by_id[JOB].ended)
        self.assertTrue(self.open().by_id[JOB].ended)

    def test_coordinator_is_read_from_disk_after_a_restart(self) -> None:
        self.leases.forget(JOB)
        self.replaced_processes.add("g#1")
        self.adopted_after(0.1)
        self.assertTrue(self.adopted_after(REPLACED_FOR_S + 0.05))


if __name__ == "__main__":
    unittest.main()
