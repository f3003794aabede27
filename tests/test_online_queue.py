"""Which online requests are held while every engine is full, and which go first."""

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
PATIENCE_S = 8.0
OBJECTIVE_S = 0.4
SERVICE_S = 0.8
ROUTE = RequestRoute(
    "online", "h", "/", RouteKind.STREAMING, (WeightedService(SERVICE, 1.0),), 8.0, OBJECTIVE_S
)
WAIT_S = 5.0


class QueueCase(unittest.TestCase):
    """Two engines whose loads the test tells, and a queue that knows how long they serve."""

    def setUp(self) -> None:
        self.table = ReplicaTable()
        entries = [
            ReplicaEntry(name, SERVICE, Endpoint("127.0.0.1", 1), "z", SLOTS) for name in "ab"
        ]
        self.table.replace_all(entries, 1)
        self.queue = OnlineQueue(self.table)
        self.queue.record(SERVICE, SERVICE_S, 0.05)
        self.gone: list[str] = []
        self.presences: dict[str, CallerPresence] = {}
        self.threads: list[threading.Thread] = []
        self.addCleanup(self.release_all)

    def release_all(self) -> None:
        for presence in self.presences.values():
            presence.leave()
        for thread in self.threads:
            thread.join()

    def load(self, online: int, batch: int = 0) -> None:
        for replica in self.table.replicas():
            replica.take_pool_view(online, batch)
        self.queue.recheck()

    def keep_loaded(self, online: int) -> None:
        """Tell the same load again and again: a keeper's word ages."""
        stop = threading.Event()

        def tell() -> None:
            while not stop.wait(0.1):
                self.load(self.online)

        self.online = online
        self.load(online)
        thread = threading.Thread(target=tell)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(stop.set)

    def send(
        self,
        name: str,
        age_s: float = 0.0,
        left_s: float = PATIENCE_S,
        tenant: str | None = None,
    ) -> None:
        """Send a request of a caller that has tried for a while."""
        deadline = Deadline.after(left_s - age_s)
        request = ForwardedRequest(name, "POST", "/x", (), b"", deadline, tenant=tenant)
        presence = self.presences[name] = CallerPresence()

        def run() -> None:
            self.queue.wait_for_slot(SERVICE, ROUTE, request, presence)
            self.gone.append(name)

        thread = threading.Thread(target=run)
        self.threads.append(thread)
        thread.start()

    def know_patience(self) -> None:
        """Let the queue learn how long a fresh caller waits."""
        self.load(0)
        for index in range(2 * MIN_REMAINING_TIME_SAMPLES):
            self.send(f"sample-{index}")
        self.wait_gone(2 * MIN_REMAINING_TIME_SAMPLES)
        self.gone.clear()

    def wait_gone(self, count: int) -> None:
        deadline = time.monotonic() + WAIT_S
        while len(self.gone) < count:
            self.assertLess(time.monotonic(), deadline, f"only {self.gone} went")
            time.sleep(0.005)

    def wait_held(self, count: int) -> None:
        deadline = time.monotonic() + WAIT_S
        while self.queue.held != count:
            self.assertLess(time.monotonic(), deadline, f"{self.queue.held} are held")
            time.sleep(0.005)


class OnlineQueueTest(QueueCase):
    """Holding and letting go."""

    @params((0, 0), (SLOTS - 1, 0), (0, SLOTS))
    def test_a_request_that_finds_a_slot_or_items_that_give_way_goes_at_once(
        self, online, batch
    ) -> None:
        self.know_patience()
        self.load(online, batch)
        self.send("r", age_s=3.0)
        self.wait_gone(1)

    def test_a_fresh_request_queues_at_an_engine_while_it_will_be_in_time(self) -> None:
        self.know_patience()
        self.keep_loaded(SLOTS)
        self.send("fresh")
        self.wait_gone(1)

    def test_a_late_request_waits_for_a_free_slot(self) -> None:
        self.know_patience()
        self.keep_loaded(SLOTS)
        self.send("late", age_s=3.0)
        self.wait_held(1)
        self.send("fresh")
        self.wait_gone(1)
        self.assertEqual(["fresh"], self.gone)
        self.online = SLOTS - 1
        self.wait_gone(2)

    def test_late_requests_wait_also_before_any_has_been_served(self) -> None:
        """After an outage of everything a backlog comes before the first answer."""
        self.queue = OnlineQueue(self.table)
        self.know_patience()
        self.keep_loaded(SLOTS)
        self.send("late", age_s=3.0)
        self.wait_held(1)
        self.send("fresh")
        self.wait_gone(1)
        self.assertEqual(["fresh"], self.gone)

    def test_a_fresh_request_passes_late_ones_at_once(self) -> None:
        self.know_patience()
        self.load(SLOTS)
        self.send("late", age_s=3.0)
        self.wait_held(1)
        with mock.patch.object(online_queue_module, "RECHECK_INTERVAL_S", WAIT_S):
            self.load(SLOTS)
            began = time.monotonic()
            self.send("fresh")
            self.wait_gone(1)
        self.assertEqual(["fresh"], self.gone)
        self.assertLess(time.monotonic() - began, WAIT_S / 2)

    def test_nothing_is_held_until_its_caller_gives_up(self) -> None:
        self.know_patience()
        self.keep_loaded(10 * SLOTS)
        began = time.monotonic()
        self.send("late", age_s=PATIENCE_S - 3.0)
        self.wait_gone(1)
        # Let go with time enough to be served, although no slot is free.
        self.assertLess(time.monotonic() - began, 3.0 - SERVICE_S)

    def test_a_caller_that_leaves_is_not_held(self) -> None:
        self.know_patience()
        self.keep_loaded(10 * SLOTS)
        self.send("late", age_s=3.0)
        self.wait_held(1)
        self.presences["late"].leave()
        self.wait_gone(1)
        self.wait_held(0)

    def test_without_word_of_the_loads_nothing_is_held(self) -> None:
        self.know_patience()
        self.load(10 * SLOTS)
        for replica in self.table.replicas():
            replica._pool_view = None
        self.send("late", age_s=3.0)
        self.wait_gone(1)

    def test_callers_of_another_tenant_with_more_patience_make_nobody_late(self) -> None:
        """A tenant that sends very much would else have all others count as having tried before."""
        self.load(0)
        for index in range(2 * MIN_REMAINING_TIME_SAMPLES):
            self.send(f"patient-{index}", left_s=PATIENCE_S, tenant="large")
        self.wait_gone(2 * MIN_REMAINING_TIME_SAMPLES)
        self.gone.clear()
        self.keep_loaded(SLOTS)
        self.send("late", age_s=3.0, tenant="large")
        self.wait_held(1)
        began = time.monotonic()
        self.send("fresh", left_s=PATIENCE_S / 2, tenant="small")
        self.wait_gone(1)
        self.assertEqual(["fresh"], self.gone)
        # Its last call would be later.
        self.assertLess(time.monotonic() - began, 1.0)

    def test_samples_of_many_tenants_do_not_grow_without_bound(self) -> None:
        self.load(0)
        with mock.patch.object(online_queue_module, "MAX_REMAINING_TIME_KEYS", 4):
            for index in range(8):
                self.send(f"r{index}", tenant=f"t{index}")
            self.wait_gone(8)
        self.assertEqual(4, len(self.queue._remaining_times_by_key))

    def test_a_few_callers_with_more_patience_make_nobody_late(self) -> None:
        self.know_patience()
        for index in range(3):
            self.send(f"patient-{index}", left_s=30.0)
        self.wait_gone(3)
        self.gone.clear()
        self.keep_loaded(SLOTS)
        self.send("fresh")
        self.wait_gone(1)


if __name__ == "__main__":
    unittest.main()
