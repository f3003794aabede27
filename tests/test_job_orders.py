"""A listing is confirmed as the newest only if no storage node has a result missing in it."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_document import Job, JobDocument, JobItem, JobResult, ResultState
from quaymill.connection.job_storage_messages import (
    JobsRenewed,
    KeyedResult,
    ListedItems,
    RenewJobs,
    ResultKey,
)
from quaymill.connection.member import Member, MemberState
from quaymill.connection.peer_link import PeerNoReply
from quaymill.process.job_copies import CopyRules
from quaymill.process.job_storage.database import JobDatabase
from quaymill.process.jobs.coordinated_job import CoordinatedJob
from quaymill.process.jobs.lease_renewal import LeaseRenewal
from quaymill.process.jobs.listing import ListedResult, Listing, ListingDocument

RESULT = JobResult("item", ResultState.SUCCEEDED, "text")


def keyed(index: int, digest: str = "d") -> KeyedResult:
    return KeyedResult(ResultKey(index, digest), RESULT)


def job(items: int = 3) -> Job:
    document = JobDocument(tuple(JobItem(str(index), "/x", {}, b"") for index in range(items)))
    return Job("job", "host", "/jobs/x", document)


class UnlistedResultsTest(unittest.TestCase):
    """A storage node must notice every result that a coordinator does not know to be listed."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.database = JobDatabase(self.folder)
        self.addCleanup(lambda: self.database.close())

    @params(
        ("no results", (), 0b000, False),
        ("all results are listed", (0, 2), 0b101, False),
        ("fewer results than listed", (0,), 0b111, False),
        ("one more result than listed", (0, 2), 0b001, True),
        ("another result than listed", (1,), 0b101, True),
    )
    def test_results_that_are_not_listed(self, _, stored, listed, has_unlisted) -> None:
        self.database.store_job(job(), "g#1")
        self.database.store_results("job", [keyed(index) for index in stored])
        self.assertEqual(has_unlisted, self.database.has_results_beyond("job", listed))

    def test_results_stored_before_their_job_count(self) -> None:
        self.database.store_results("job", [keyed(1)])
        self.assertTrue(self.database.has_results_beyond("job", 0))
        record = self.database.store_job(job(), "g#1")
        self.assertNotEqual(0, record.results.digest)

    def test_results_count_after_a_restart(self) -> None:
        record = self.database.store_job(job(), "g#1")
        self.database.store_results("job", [keyed(1), keyed(2)])
        self.database.store_results("job", [keyed(2), keyed(1)])
        before = record.results.digest
        self.database.close()
        self.database = JobDatabase(self.folder)
        self.assertEqual(before, self.database.by_id["job"].results.digest)
        self.assertTrue(self.database.has_results_beyond("job", 0b010))
        self.assertFalse(self.database.has_results_beyond("job", 0b110))


class _FixedPeers:
    """Peers with fixed replies."""

    def __init__(self, replies: dict[str, object]) -> None:
        self._replies = replies

    def call(self, endpoint, message, reply_type, timeout_s):
        return self._replies[endpoint.host]


CONFIRMED = JobsRenewed(confirmed_jobs=("job",))
UNLISTED = JobsRenewed()
TAKEN = JobsRenewed(taken_jobs=("job",), confirmed_jobs=("job",))
NO_REPLY = PeerNoReply(Endpoint("host", 1), "nothing came")
DEAD = None
"""Instead of a reply: the node is dead and not called."""


def _storage_node(name: str, state: MemberState) -> Member:
    place = Endpoint(name, 1)
    return Member(name, "zone", "region", place, place, state, has_disk=True)


class ConfirmedListingTest(unittest.TestCase):
    """A listing is confirmed only if all storage nodes that may hold results confirm it."""

    @params(
        ("no unlisted results", (CONFIRMED,) * 4, 4, True),
        ("unlisted result at one node", (CONFIRMED, UNLISTED, CONFIRMED, CONFIRMED), 4, False),
        ("unlisted, node without lease", (CONFIRMED, CONFIRMED, CONFIRMED, UNLISTED), 4, False),
        ("one node does not answer", (CONFIRMED, CONFIRMED, NO_REPLY, CONFIRMED), 4, False),
        ("one node is dead", (CONFIRMED, CONFIRMED, CONFIRMED, DEAD), 3, False),
        ("leaving node without results", (CONFIRMED,) * 4, 3, True),
        ("leaving node, unlisted result", (CONFIRMED, CONFIRMED, CONFIRMED, UNLISTED), 3, False),
        ("lease of another coordinator", (CONFIRMED, TAKEN, CONFIRMED, CONFIRMED), 4, True),
        ("no storage nodes", (), 0, False),
    )
    def test_all_result_holders_must_confirm(self, _, replies, live, confirmed) -> None:
        members = tuple(
            _storage_node(f"s{index}", MemberState.DEAD if reply is DEAD else MemberState.ALIVE)
            for index, reply in enumerate(replies)
        )
        peers = _FixedPeers({f"s{index}": reply for index, reply in enumerate(replies)})
        renewal = LeaseRenewal(peers, lambda: members[:live], lambda: members, CopyRules(2))
        outcome = renewal.renew(RenewJobs("g#1", ("job",), orders=(ListedItems("job", "0"),)))
        self.assertEqual({"job"} if confirmed else set(), outcome.confirmed)


class CurrentListingTest(unittest.TestCase):
    """When a coordinator may treat its copy of the listing as the newest."""

    def test_listing_of_a_new_job_is_not_current(self) -> None:
        self.assertFalse(CoordinatedJob(job(), None, "g#1").listing_is_current())

    def test_age_of_a_listing_counts_from_the_start_of_its_read(self) -> None:
        coordinated = CoordinatedJob(job(), None, "g#1", listing_valid_s=1000.0)
        listing = Listing(ListingDocument("g#1", 3), 1)
        coordinated.update_listing(listing, as_of=-1e9)
        self.assertFalse(coordinated.listing_is_current())

    def test_known_listing_names_the_listed_items(self) -> None:
        coordinated = CoordinatedJob(job(), None, "g#1")
        results = tuple(ListedResult(index, "d", ResultState.SUCCEEDED) for index in (2, 0))
        coordinated.update_listing(Listing(ListingDocument("g#1", 3, results), 1), as_of=0.0)
        self.assertEqual(ListedItems("job", "5"), coordinated.known_listing())
