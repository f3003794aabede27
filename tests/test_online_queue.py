"""Which online requests are queued while every engine is full, and in which order they leave.

Guards against requests that queue at full engines and make all later requests late.
"""

from __future__ import annotations

import threading
import time
import unittest
from unittest import mock

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.process.replica_set import online_queue as online_queue_module
from quaymill.process.replica_set.online_queue import MIN_REMAINING_TIME_SAMPLES, OnlineQueue
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.deadline import Deadline
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.presence import CallerPresence
from quaymill.version.request_routes import RequestRoute, RouteKind, WeightedService

SERVICE = "engine"
SLOTS = 4
CALLER_TIMEOUT_S = 8.0
OBJECTIVE_S = 0.4
SERVICE_S = 0.8
ROUTE = RequestRoute(
    "online", "h", "/", RouteKind.STREAMING, (WeightedService(SERVICE, 1.0),), 8.0, OBJECTIVE_S
)
WAIT_S = 5.0


class QueueCase(unittest.TestCase):
    """Two engines whose loads the test sets, and a queue with a known service time."""

    def setUp(self) -> None:
        self.table = ReplicaTable()
        entries = [
            ReplicaEntry(name, SERVICE, Endpoint("127.0.0.1", 1), "z", SLOTS) for name in "ab"
        ]
        self.table.replace_all(entries, 1)
        self.queue = OnlineQueue(self.table)
        self.queue.record(SERVICE, SERVICE_S, 0.05)
        self.dispatched: list[str] = []
        self.presences: dict[str, CallerPresence] = {}
        self.threads: list[threading.Thread] = []
        self.addCleanup(self.end_all)

    def end_all(self) -> None:
        for presence in self.presences.values():
            presence.leave()
        for thread in self.threads:
            thread.join()

    def report_load(self, online: int, batch: int = 0) -> None:
        for replica in self.table.replicas():
            replica.record_pool_view(online, batch)
        self.queue.recheck()

    def keep_reporting_load(self, online: int) -> None:
        """Repeat the load report, as reports of the allocator expire."""
        stop = threading.Event()

        def repeat_report() -> None:
            while not stop.wait(0.1):
                self.report_load(self.online)

        self.online = online
        self.report_load(online)
        thread = threading.Thread(target=repeat_report)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(stop.set)

    def send(
        self,
        name: str,
        age_s: float = 0.0,
        timeout_s: float = CALLER_TIMEOUT_S,
        tenant: str | None = None,
    ) -> None:
        """Send a request of a caller that made its first attempt ``age_s`` ago."""
        deadline = Deadline.after(timeout_s - age_s)
        request = ForwardedRequest(name, "POST", "/x", (), b"", deadline, tenant=tenant)
        presence = self.presences[name] = CallerPresence()

        def run() -> None:
            self.queue.wait_for_slot(SERVICE, ROUTE, request, presence)
            self.dispatched.append(name)

        thread = threading.Thread(target=run)
        self.threads.append(thread)
        thread.start()

    def learn_remaining_time(self) -> None:
        """Let the queue learn the remaining time of first attempts."""
        self.report_load(0)
        for index in range(2 * MIN_REMAINING_TIME_SAMPLES):
            self.send(f"sample-{index}")
        self.wait_dispatched(2 * MIN_REMAINING_TIME_SAMPLES)
        self.dispatched.clear()

    def wait_dispatched(self, count: int) -> None:
        deadline = time.monotonic() + WAIT_S
        while len(self.dispatched) < count:
            self.assertLess(time.monotonic(), deadline, f"only {self.dispatched} were dispatched")
            time.sleep(0.005)

    def wait_queued(self, count: int) -> None:
        deadline = time.monotonic() + WAIT_S
        while self.queue.waiting_requests != count:
            self.assertLess(time.monotonic(), deadline, f"{self.queue.waiting_requests} are queued")
            time.sleep(0.005)


class OnlineQueueTest(QueueCase):
    """Queueing and dispatch of requests."""

    @params((0, 0), (SLOTS - 1, 0), (0, SLOTS))
    def test_request_is_dispatched_at_once_if_a_slot_is_free_or_held_by_batch_items(
        self, online, batch
    ) -> None:
        self.learn_remaining_time()
        self.report_load(online, batch)
        self.send("r", age_s=3.0)
        self.wait_dispatched(1)

    def test_first_attempt_is_dispatched_to_a_full_engine_if_it_can_be_in_time(self) -> None:
        self.learn_remaining_time()
        self.keep_reporting_load(SLOTS)
        self.send("fresh")
        self.wait_dispatched(1)

    def test_late_request_waits_for_a_free_slot(self) -> None:
        self.learn_remaining_time()
        self.keep_reporting_load(SLOTS)
        self.send("late", age_s=3.0)
        self.wait_queued(1)
        self.send("fresh")
        self.wait_dispatched(1)
        self.assertEqual(["fresh"], self.dispatched)
        self.online = SLOTS - 1
        self.wait_dispatched(2)

    def test_late_request_waits_before_the_first_answer(self) -> None:
        """After a complete outage, a backlog arrives before the first answer."""
        self.queue = OnlineQueue(self.table)
        self.learn_remaining_time()
        self.keep_reporting_load(SLOTS)
        self.send("late", age_s=3.0)
        self.wait_queued(1)
        self.send("fresh")
        self.wait_dispatched(1)
        self.assertEqual(["fresh"], self.dispatched)

    def test_first_attempt_overtakes_late_requests_at_once(self) -> None:
        self.learn_remaining_time()
        self.report_load(SLOTS)
        self.send("late", age_s=3.0)
        self.wait_queued(1)
        with mock.patch.object(online_queue_module, "RECHECK_INTERVAL_S", WAIT_S):
            self.report_load(SLOTS)
            began = time.monotonic()
            self.send("fresh")
            self.wait_dispatched(1)
        self.assertEqual(["fresh"], self.dispatched)
        self.assertLess(time.monotonic() - began, WAIT_S / 2)

    def test_request_is_dispatched_before_its_caller_times_out(self) -> None:
        self.learn_remaining_time()
        self.keep_reporting_load(10 * SLOTS)
        began = time.monotonic()
        self.send("late", age_s=CALLER_TIMEOUT_S - 3.0)
        self.wait_dispatched(1)
        # Dispatched early enough to be served, although no slot is free.
        self.assertLess(time.monotonic() - began, 3.0 - SERVICE_S)

    def test_request_of_a_disconnected_caller_is_removed(self) -> None:
        self.learn_remaining_time()
        self.keep_reporting_load(10 * SLOTS)
        self.send("late", age_s=3.0)
        self.wait_queued(1)
        self.presences["late"].leave()
        self.wait_dispatched(1)
        self.wait_queued(0)

    def test_without_load_reports_nothing_is_queued(self) -> None:
        self.learn_remaining_time()
        self.report_load(10 * SLOTS)
        for replica in self.table.replicas():
            replica._pool_view = None
        self.send("late", age_s=3.0)
        self.wait_dispatched(1)

    def test_longer_timeouts_of_another_tenant_make_no_request_late(self) -> None:
        """Otherwise a large tenant would make the requests of all others look like retries."""
        self.report_load(0)
        for index in range(2 * MIN_REMAINING_TIME_SAMPLES):
            self.send(f"patient-{index}", timeout_s=CALLER_TIMEOUT_S, tenant="large")
        self.wait_dispatched(2 * MIN_REMAINING_TIME_SAMPLES)
        self.dispatched.clear()
        self.keep_reporting_load(SLOTS)
        self.send("late", age_s=3.0, tenant="large")
        self.wait_queued(1)
        began = time.monotonic()
        self.send("fresh", timeout_s=CALLER_TIMEOUT_S / 2, tenant="small")
        self.wait_dispatched(1)
        self.assertEqual(["fresh"], self.dispatched)
        # Its dispatch deadline is later, so it was not dispatched because of that.
        self.assertLess(time.monotonic() - began, 1.0)

    def test_samples_of_many_tenants_are_bounded(self) -> None:
        self.report_load(0)
        with mock.patch.object(online_queue_module, "MAX_REMAINING_TIME_KEYS", 4):
            for index in range(8):
                self.send(f"r{index}", tenant=f"t{index}")
            self.wait_dispatched(8)
        self.assertEqual(4, len(self.queue._remaining_times_by_key))

    def test_a_few_longer_timeouts_make_no_request_late(self) -> None:
        self.learn_remaining_time()
        for index in range(3):
            self.send(f"patient-{index}", timeout_s=30.0)
        self.wait_dispatched(3)
        self.dispatched.clear()
        self.keep_reporting_load(SLOTS)
        self.send("fresh")
        self.wait_dispatched(1)


if __name__ == "__main__":
    unittest.main()
