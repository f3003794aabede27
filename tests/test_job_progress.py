"""After a coordinator dies, progress must not be lost and the job must be adopted in time."""

from __future__ import annotations

import tempfile
import unittest
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
from quaymill.process.job_copies import CopyRules
from quaymill.process.job_storage.database import JobDatabase
from quaymill.process.job_storage.leases import Leases as LeaseTable
from quaymill.process.job_storage.orphans import REPLACED_FOR_S, OrphanWatch
from quaymill.process.jobs.coordinated_job import CoordinatedJob, ItemState
from quaymill.process.jobs.progress_saver import ProgressSaver

JOB = "job"


def job(items: int = 2) -> Job:
    document = JobDocument(tuple(JobItem(f"i{n}", "/x", {}, b"", 10) for n in range(items)))
    return Job(JOB, "h", "/jobs/x", document)


def part(first: int, texts: str, index: int = 0) -> ItemProgress:
    return ItemProgress(index, str(first + len(texts)), tuple(texts), 0, first)


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


class KeptProgressTest(DatabaseCase):
    """Stored progress must never have gaps or mix events of two coordinators."""

    @params(
        ((part(0, "ab"), part(2, "cd")), "abcd"),
        ((part(0, "ab"), part(1, "bcd")), "ab"),
        ((part(0, "ab"), part(3, "d")), "ab"),
        ((part(2, "cd"),), ""),
    )
    def test_only_what_is_known_without_a_gap_counts(self, parts, expected) -> None:
        for one in parts:
            self.database.store_progress(JOB, "one", [one])
        found = self.database.progress(JOB)[0]
        self.assertEqual(expected, "".join(found.texts))
        self.assertEqual(str(len(expected)) if expected else None, found.last_event_id)

    def test_texts_of_two_coordinators_are_never_joined(self) -> None:
        # The second coordinator resumed after event 1, the first one after event 2.
        self.database.store_progress(JOB, "one", [part(0, "ab")])
        self.database.store_progress(JOB, "two", [part(0, "a"), part(1, "BC")])
        self.database.store_progress(JOB, "two", [part(3, "D")])
        self.database.store_progress(JOB, "one", [part(2, "c")])
        (found,) = self.database.progress(JOB)
        self.assertEqual(("a", "B", "C", "D"), found.texts)

    def test_progress_outlives_the_process(self) -> None:
        self.database.store_progress(JOB, "one", [part(0, "ab", 1)])
        self.assertEqual((part(0, "ab", 1),), self.open().progress(JOB))

    def test_progress_goes_with_the_result(self) -> None:
        self.database.store_progress(JOB, "one", [part(0, "ab"), part(0, "xy", 1)])
        result = JobResult("i0", ResultState.SUCCEEDED, "a\nb")
        self.database.store_results(JOB, [KeyedResult(ResultKey(0, "d"), result)])
        self.assertEqual([1], [one.index for one in self.database.progress(JOB)])

    def test_nothing_is_kept_of_jobs_that_are_over_or_unknown(self) -> None:
        self.database.store_progress("other", "one", [part(0, "ab")])
        self.database.end_job(JOB)
        self.database.store_progress(JOB, "one", [part(0, "ab")])
        self.assertEqual((), self.database.progress("other") + self.database.progress(JOB))


class FixedStorage:
    """A storage node that records the progress sent to it."""

    def __init__(self) -> None:
        self.node = "storage-0"
        self.fails = False
        self.lineages: set[str] = set()
        self.told: list[tuple[str, ItemProgress]] = []

    def progress_node(self, job_id: str) -> str:
        return self.node

    def store_progress(self, job_id: str, lineage: str, progress, node: str) -> bool:
        self.lineages.add(lineage)
        self.told += [(node, one) for one in progress]
        return not self.fails


class SaverTest(unittest.TestCase):
    """Which progress a coordinator sends, and when it sends it again."""

    def setUp(self) -> None:
        self.storage = FixedStorage()
        self.job = CoordinatedJob(job(), None, "g#1")
        self.item = self.job.items[0]
        self.item.state = ItemState.RUNNING
        self.saver = ProgressSaver(self.storage, lambda: [self.job])

    def save(self) -> list[tuple[str, ItemProgress]]:
        self.storage.told = []
        self.saver.save()
        return self.storage.told

    def test_each_event_is_told_once(self) -> None:
        self.item.take_events(["a", "b"], "2")
        self.assertEqual([("storage-0", part(0, "ab"))], self.save())
        self.assertEqual([], self.save())
        self.item.take_events(["c"], "3")
        self.assertEqual([("storage-0", part(2, "c"))], self.save())

    def test_what_was_not_kept_is_told_again(self) -> None:
        self.storage.fails = True
        self.item.take_events(["a"], "1")
        self.save()
        self.storage.fails = False
        self.item.take_events(["b"], "2")
        self.assertEqual([("storage-0", part(0, "ab"))], self.save())

    def test_another_node_is_told_everything(self) -> None:
        self.item.take_events(["a"], "1")
        self.save()
        self.storage.node = "storage-1"
        self.assertEqual([("storage-1", part(0, "a"))], self.save())

    def test_a_job_that_was_adopted_anew_begins_a_lineage_of_its_own(self) -> None:
        self.item.take_events(["a"], "1")
        self.save()
        self.job = CoordinatedJob(job(), None, "g#1")
        self.job.items[0].resume_from(part(0, "xyz"))
        self.assertEqual([("storage-0", part(0, "xyz"))], self.save())
        self.assertEqual(2, len(self.storage.lineages))

    def test_finished_items_are_not_told(self) -> None:
        self.item.take_events(["a"], "1")
        self.job.finish(self.item, ResultState.SUCCEEDED, "a")
        self.assertEqual([], self.save())


class FixedPeers:
    """Peers with fixed replies that record the messages they receive."""

    def __init__(self) -> None:
        self.left_s = 0.0
        self.asked: list[FetchLeases] = []
        self.adopted: list[AdoptJob] = []

    def call(self, endpoint, message, reply_type, timeout_s):
        if isinstance(message, AdoptJob):
            self.adopted.append(message)
            return JobAdopted("g#2")
        self.asked.append(message)
        return Leases(tuple(self.left_s for _ in message.job_ids))


class AdoptionTest(DatabaseCase):
    """When a storage node assigns a job to another gateway; the clock is simulated."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 1000.0
        patch = mock.patch.object(boot_clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.replaced: set[str] = set()
        self.out_of_reach: set[str] = set()
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
            lambda name: name in self.replaced,
            CopyRules(2),
            may_have_ended=lambda name: name not in self.out_of_reach,
        )
        # Otherwise the job's id decides which of the two storage nodes acts.
        patch = mock.patch.object(self.watch, "_acts_for", lambda job_id: True)
        patch.start()
        self.addCleanup(patch.stop)

    def check_after(self, time_s: float) -> bool:
        self.now += time_s
        self.watch.check()
        return bool(self.peers.adopted)

    def test_a_lease_that_runs_out(self) -> None:
        self.assertFalse(self.check_after(LEASE_S - 0.1))
        self.assertTrue(self.check_after(0.2))

    def test_jobs_of_processes_beyond_a_cut_stay_their_own(self) -> None:
        self.out_of_reach.add("g#1")
        self.assertFalse(self.check_after(10 * LEASE_S))
        self.out_of_reach.clear()
        self.assertTrue(self.check_after(0.1))

    def test_a_process_known_to_have_ended_is_not_waited_for(self) -> None:
        self.database.store_progress(JOB, "one", [part(0, "ab")])
        self.replaced.add("g#1")
        self.assertFalse(self.check_after(0.1))
        self.assertTrue(self.check_after(REPLACED_FOR_S + 0.05))
        self.assertEqual(("g#1",), self.peers.asked[0].ended_holders)
        self.assertEqual((part(0, "ab"),), self.peers.adopted[0].progress)
        self.assertEqual("g#2", self.leases.holder(JOB))
        self.assertEqual("g#2", self.open().by_id[JOB].coordinator)

    def test_one_that_renews_afterwards_is_the_newer_process(self) -> None:
        self.replaced.add("g#1")
        self.check_after(0.1)
        self.now += 0.1
        self.leases.renew([JOB], "g#1")
        self.assertFalse(self.check_after(REPLACED_FOR_S + 0.05))

    def test_a_lease_that_another_storage_node_knows_of_counts(self) -> None:
        self.peers.left_s = 1.0
        self.replaced.add("g#1")
        self.check_after(0.1)
        self.assertFalse(self.check_after(REPLACED_FOR_S + 0.05))

    def test_after_a_start_the_disk_tells_who_ran_the_job(self) -> None:
        self.leases.forget(JOB)
        self.replaced.add("g#1")
        self.check_after(0.1)
        self.assertTrue(self.check_after(REPLACED_FOR_S + 0.05))


if __name__ == "__main__":
    unittest.main()
