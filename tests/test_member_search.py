"""Reads must not wait for machines that are gone before they ask those that respond."""

from __future__ import annotations

import threading
import time
import unittest

import msgspec
from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_document import JobResult, ResultState
from quaymill.connection.job_storage_messages import (
    FetchBody,
    FetchedBody,
    FetchedResults,
    FetchResults,
    FindJob,
    JobFound,
    JobUnknown,
    KeyedResult,
    NotCoordinator,
    ResultKey,
    ResultsPage,
)
from quaymill.connection.member import Member, MemberState
from quaymill.connection.peer_link import PeerNoReply
from quaymill.process.job_copies import CopyRules
from quaymill.process.jobs.job_lookup import JobLookup, Unsure
from quaymill.process.jobs.listing import JobListings, ListedResult, Listing, ListingDocument
from quaymill.process.jobs.result_reader import READ_TIME_S, ResultReader
from quaymill.process.jobs.storage_client import JobStorageClient, NotFound
from quaymill.process.membership.ranking import rank_nodes

JOB = "job"
KEY = ResultKey(0, "digest")
RESULT = JobResult("item", ResultState.SUCCEEDED, "text")
AT_ONCE_S = 0.15
CLIENT_WAITS_S = 1.5
"""How much longer than the wait that they ask for clients wait for results."""


def ranked_members(count: int) -> list[Member]:
    """Return storage nodes in the order in which they rank for the job."""
    members = [
        Member(f"s{number}", "a", "r", Endpoint(f"s{number}", 1), Endpoint("h", 1), has_disk=True)
        for number in range(count)
    ]
    return list(rank_nodes(JOB, members))


def with_state(member: Member, state: MemberState) -> Member:
    return msgspec.structs.replace(member, state=state)


class Peers:
    """Storage nodes of which some hold the job and some never answer."""

    def __init__(self, holders: list[str], silent: list[str]) -> None:
        self.holders = holders
        self.silent = silent
        self.asked: list[str] = []
        self.release = threading.Event()

    def call(self, endpoint, message, reply_type, timeout_s):
        self.asked.append(endpoint.host)
        if endpoint.host in self.silent:
            self.release.wait(timeout_s)
            return PeerNoReply(endpoint, "silent")
        has_job = endpoint.host in self.holders
        match message:
            case FindJob():
                return JobFound("gone#1", False, 1, None) if has_job else JobUnknown()
            case FetchBody():
                return FetchedBody(b"body") if has_job else JobUnknown()
            case FetchResults():
                results = (KeyedResult(KEY, RESULT),) if has_job else ()
                return FetchedResults(results)
        return NotCoordinator("unexpected")


class SearchCase(unittest.TestCase):
    """Six storage nodes; the three that rank first for the job are gone."""

    GONE = MemberState.DEAD

    def setUp(self) -> None:
        ranked = ranked_members(6)
        self.members = [with_state(member, self.GONE) for member in ranked[:3]] + ranked[3:]
        self.peers = Peers([ranked[5].name], [member.name for member in ranked[:3]])
        self.addCleanup(self.peers.release.set)
        self.storage = JobStorageClient(
            self.peers,
            lambda: tuple(self.members[3:]),
            lambda: tuple(self.members),
            CopyRules(2),
            "a",
        )

    def timed(self, call):
        began = time.monotonic()
        result = call()
        return result, time.monotonic() - began


class DepartedFirstRankTest(SearchCase):
    """Jobs could not be read once the machines that held them first had left for good."""

    def test_job_is_found_at_once(self) -> None:
        found, took_s = self.timed(lambda: self.storage.find_job(JOB))
        self.assertIsInstance(found, JobFound)
        self.assertLess(took_s, AT_ONCE_S)

    def test_results_are_fetched_at_once(self) -> None:
        found, took_s = self.timed(lambda: self.storage.fetch_results(JOB, [KEY]))
        self.assertEqual({KEY: RESULT}, found)
        self.assertLess(took_s, AT_ONCE_S)

    def test_body_is_fetched_at_once(self) -> None:
        body, took_s = self.timed(lambda: self.storage.fetch_body(JOB, "item"))
        self.assertEqual(b"body", body)
        self.assertLess(took_s, AT_ONCE_S)

    def test_dead_nodes_are_asked_if_no_other_has_the_job(self) -> None:
        self.peers.holders, self.peers.silent = self.peers.silent[:1], self.peers.silent[1:]
        self.assertIsInstance(self.storage.find_job(JOB), JobFound)
        self.assertEqual(b"body", self.storage.fetch_body(JOB, "item"))
        self.assertEqual({KEY: RESULT}, self.storage.fetch_results(JOB, [KEY]))

    def test_job_that_nobody_has_is_uncertain_soon(self) -> None:
        self.peers.holders = []
        found, took_s = self.timed(lambda: self.storage.find_job(JOB))
        self.assertEqual(NotFound(certain=False), found)
        self.assertLess(took_s, 0.5)

    def test_job_is_certainly_missing_if_all_nodes_say_so(self) -> None:
        self.peers.holders = self.peers.silent = []
        self.assertEqual(NotFound(certain=True), self.storage.find_job(JOB))
        self.assertEqual(NotFound(certain=True), self.storage.fetch_body(JOB, "item"))


class UnnoticedFailureTest(SearchCase):
    """The first nodes have just failed, and nobody knows that yet."""

    GONE = MemberState.ALIVE

    def test_calls_return_by_their_deadline(self) -> None:
        for call in (
            lambda until: self.storage.find_job(JOB, deadline=until),
            lambda until: self.storage.fetch_results(JOB, [KEY], deadline=until),
            lambda until: self.storage.fetch_body(JOB, "item", deadline=until),
        ):
            self.peers.holders = []
            _, took_s = self.timed(lambda call=call: call(boot_clock.now() + 0.3))
            self.assertLess(took_s, 0.3 + AT_ONCE_S)

    def test_slow_nodes_do_not_hide_those_that_have_the_job(self) -> None:
        for call in (
            lambda: self.storage.find_job(JOB),
            lambda: self.storage.fetch_body(JOB, "item"),
            lambda: self.storage.fetch_results(JOB, [KEY]),
        ):
            found, took_s = self.timed(call)
            self.assertTrue(found)
            self.assertLess(took_s, CLIENT_WAITS_S)


class LargeContentsTest(unittest.TestCase):
    """Contents that take long to transfer, such as those of a long job on a slow link.

    Guards against a read that fetches everything, and gets nothing in time.
    """

    RESULT_S = 0.02

    def setUp(self) -> None:
        self.keys = [ResultKey(number, "digest") for number in range(150)]
        self.storage = JobStorageClient(
            self, lambda: (), lambda: tuple(ranked_members(1)), CopyRules(2), "a"
        )

    def call(self, endpoint, message, reply_type, timeout_s):
        """Answer after the time that the requested contents take, if that is within the timeout."""
        took_s = self.RESULT_S * len(message.keys)
        time.sleep(min(took_s, timeout_s))
        if took_s > timeout_s:
            return PeerNoReply(endpoint, "too slow")
        return FetchedResults(tuple(KeyedResult(key, RESULT) for key in message.keys))

    def test_read_gets_the_first_results_in_time(self) -> None:
        began = time.monotonic()
        deadline = boot_clock.now() + READ_TIME_S
        found = self.storage.fetch_results(JOB, self.keys, deadline=deadline)
        self.assertLess(time.monotonic() - began, READ_TIME_S)
        self.assertEqual(self.keys[: len(found)], list(found))
        self.assertGreater(len(found), 4)

    def test_coordinator_gets_all_results(self) -> None:
        self.assertEqual(self.keys, list(self.storage.fetch_results(JOB, self.keys)))


class _Store:
    """The platform's store, which may take long."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s

    def read(self, job_id: str) -> Listing:
        time.sleep(self.delay_s)
        listed = ListedResult(KEY.index, KEY.digest, ResultState.SUCCEEDED)
        return Listing(ListingDocument("gone#1", 1, (listed,)), 1)

    read_until = JobListings.read_until


class _NoCoordinator:
    name = "g#1"

    def get(self, job_id: str) -> None:
        return None


class _Server:
    def register(self, message_type, handler) -> None:
        pass


class WholeReadTest(SearchCase):
    """All steps of a read together must end while the client still waits."""

    def reader(self, store_delay_s: float = 0.0) -> ResultReader:
        listings = _Store(store_delay_s)
        return ResultReader(
            _NoCoordinator(),
            self.storage,
            listings,
            JobLookup(self.storage, listings),
            self.peers,
            _Server(),
            lambda name: next((one for one in self.members if name == f"{one.name}#1"), None),
        )

    @params(0.0, 0.5)
    def test_result_is_read_although_the_first_nodes_are_gone(self, wait_s) -> None:
        reader = self.reader()
        page, took_s = self.timed(lambda: reader.read(JOB, 0, wait_s))
        self.assertIsInstance(page, ResultsPage)
        self.assertEqual((RESULT,), page.results)
        self.assertLess(took_s, AT_ONCE_S)

    def test_slow_store_does_not_outlast_the_client(self) -> None:
        reader = self.reader(store_delay_s=3.0)
        page, took_s = self.timed(lambda: reader.read(JOB, 0, 0.0))
        self.assertIsInstance(page, Unsure)
        self.assertLess(took_s, CLIENT_WAITS_S)

    def test_silent_coordinator_does_not_outlast_the_client(self) -> None:
        reader = self.reader()
        reader._remember_coordinator(JOB, f"{self.peers.silent[0]}#1")
        page, took_s = self.timed(lambda: reader.read(JOB, 0, 0.0))
        self.assertIsInstance(page, ResultsPage)
        self.assertEqual((RESULT,), page.results)
        self.assertLess(took_s, READ_TIME_S)

    def test_unknown_job_is_uncertain_in_time(self) -> None:
        self.peers.holders = []
        reader = self.reader(store_delay_s=3.0)
        page, took_s = self.timed(lambda: reader.read(JOB, 0, 0.0))
        self.assertIsInstance(page, Unsure)
        self.assertLess(took_s, CLIENT_WAITS_S)


if __name__ == "__main__":
    unittest.main()
