"""Results of a job reach the storage nodes over slow links, however many have finished at once."""

from __future__ import annotations

import threading
import time
import unittest
from typing import Any

import attrs

from fleet_rig import wait_until
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_document import ResultState
from quaymill.connection.job_storage_messages import KeyedResult, ResultsStored, StoreResults
from quaymill.connection.member import Member
from quaymill.process.jobs.parallel_calls import MIN_LINK_BYTES_PER_S, call_members
from quaymill.process.jobs.result_publisher import ResultPublisher
from store_rig import ListingFleet

RESULTS = 45
RESULT_BYTES = 11_000
LINK_BYTES = 130_000
"""What the link of the test carries within the timeout of a call."""


class SlowLinkStorage:
    """Storage nodes behind a link that carries a limited number of bytes in one call."""

    def __init__(self, link_bytes: int) -> None:
        self._link_bytes = link_bytes
        self.counts: list[int] = []

    def store_results(self, job_id: str, results: tuple[KeyedResult, ...]) -> bool:
        self.counts.append(len(results))
        return sum(len(one.result.text) for one in results) <= self._link_bytes


class BatchSizeTest(unittest.TestCase):
    """How many results are stored at once."""

    def publish(self, storage: SlowLinkStorage) -> None:
        fleet = ListingFleet(1)
        gateway = fleet.gateways["g0"]
        parts = attrs.evolve(gateway.publisher._parts, storage=storage)
        gateway.publisher = ResultPublisher(parts, lambda: None, lambda job_id: None)
        gateway.publisher.stop()  # Ends all pauses.
        job = fleet.open_job("g0", "job", RESULTS)
        self.addCleanup(job.stop, ended=True)
        with job.changed:  # All results finish at once.
            for item in job.items:
                job.finish(item, ResultState.SUCCEEDED, "x" * RESULT_BYTES)
        wait_until(lambda: job.complete, "all results are listed")

    def test_fewer_results_are_stored_at_once_after_a_failure(self) -> None:
        """Guards against a job whose results fail to be stored all together for good."""
        storage = SlowLinkStorage(LINK_BYTES)
        self.publish(storage)
        self.assertEqual(RESULTS, storage.counts[0])
        self.assertLess(len(storage.counts), 12)

    def test_all_finished_results_are_stored_at_once_without_failures(self) -> None:
        storage = SlowLinkStorage(RESULTS * RESULT_BYTES)
        self.publish(storage)
        self.assertEqual([RESULTS], storage.counts)


class SlowPeers:
    """A peer client whose peers take a while to answer, as a large message takes long to send."""

    def __init__(self, answer_s: float) -> None:
        self._answer_s = answer_s
        self._lock = threading.Lock()
        self.called: list[Endpoint] = []

    def call(self, endpoint: Endpoint, message: Any, reply_type: Any, timeout_s: float) -> Any:
        with self._lock:
            self.called.append(endpoint)
        time.sleep(self._answer_s)
        return ResultsStored()


class LargeMessageTest(unittest.TestCase):
    """Calls of a message to several members."""

    MEMBERS = tuple(
        Member(f"s{number}", "zone", "region", Endpoint(f"s{number}", 1), Endpoint(f"s{number}", 1))
        for number in range(10)
    )

    def count_calls(self, message_bytes: int) -> int:
        peers = SlowPeers(answer_s=0.8)
        message = StoreResults("job", ())
        call_members(
            peers, self.MEMBERS, message, ResultsStored, 2, 2.5, message_bytes=message_bytes
        )
        return len(peers.called)

    def test_no_more_members_are_called_while_a_large_message_may_be_being_sent(self) -> None:
        """Guards against calls that delay each other on a slow link until all time out."""
        self.assertEqual(2, self.count_calls(MIN_LINK_BYTES_PER_S))

    def test_more_members_are_called_if_a_small_message_is_not_answered(self) -> None:
        self.assertGreater(self.count_calls(1000), 2)


if __name__ == "__main__":
    unittest.main()
