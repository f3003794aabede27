"""The queue for replicas at their limit: first in, first out, with limits and refusals."""

import threading
import time
import unittest

from gateway_rig import wait_until
from quaymill.request.deadline import Deadline
from quaymill.request.outcome import NotRun
from quaymill.request.presence import CallerGoneError, CallerPresence
from quaymill.request.service_queue import ServiceQueue

FULL = NotRun(429, "full", "")
NO_REPLICA = NotRun(503, "no replica", "")


class Replicas:
    """Slots that a test frees one by one."""

    def __init__(self) -> None:
        self.free = 0

    def choose(self) -> str | NotRun:
        if self.free == 0:
            return FULL
        self.free -= 1
        return "replica"


class ServiceQueueTest(unittest.TestCase):
    """Requests wait on threads of their own until the test frees slots."""

    def setUp(self):
        self.replicas = Replicas()
        self.served: list[tuple[int, object]] = []

    def start_requests(self, queue: ServiceQueue, count: int, timeout_s: float = 9.0) -> None:
        """Start queued requests one by one, so that their order is known."""
        for number in range(count):
            waiting = queue.waiting
            thread = threading.Thread(target=self._wait, args=(queue, number, timeout_s))
            thread.start()
            self.addCleanup(thread.join)
            self.addCleanup(self.serve_all, queue)
            wait_until(lambda w=waiting: queue.waiting == w + 1)

    def serve_all(self, queue: ServiceQueue) -> None:
        self.replicas.free = 100
        queue.record_end()

    def _wait(self, queue: ServiceQueue, number: int, timeout_s: float) -> None:
        choice = queue.wait_for_capacity(
            self.replicas.choose, Deadline.after(timeout_s), CallerPresence()
        )
        self.served.append((number, choice))

    def test_first_come_first_served(self):
        queue = ServiceQueue(limit=10)
        self.start_requests(queue, 4)
        for expected in range(1, 5):
            self.replicas.free = 1
            queue.record_end()
            wait_until(lambda e=expected: len(self.served) == e)
        self.assertEqual(self.served, [(number, "replica") for number in range(4)])

    def test_full_queue_refuses_at_once_with_the_expected_wait(self):
        queue = ServiceQueue(limit=3)
        for _ in range(10):
            queue.record_end()
        self.start_requests(queue, 3)
        started_at = time.monotonic()
        refusal = queue.wait_for_capacity(
            self.replicas.choose, Deadline.after(60.0), CallerPresence()
        )
        self.assertLess(time.monotonic() - started_at, 0.5)
        # Ten requests ended in the last 5 s, so the fourth in the queue is served after 2 s.
        self.assertEqual((refusal.status, refusal.retry_after_s), (429, 2.0))

    def test_wait_longer_than_the_deadline_is_refused_at_once(self):
        queue = ServiceQueue(limit=10)
        queue.record_end()
        self.start_requests(queue, 1)
        started_at = time.monotonic()
        refusal = queue.wait_for_capacity(
            self.replicas.choose, Deadline.after(2.0), CallerPresence()
        )
        self.assertLess(time.monotonic() - started_at, 1.0)
        self.assertEqual((refusal.status, refusal.retry_after_s), (429, 10.0))

    def test_deadline_ends_a_wait(self):
        queue = ServiceQueue(limit=10)
        refusal = queue.wait_for_capacity(
            self.replicas.choose, Deadline.after(0.3), CallerPresence()
        )
        self.assertEqual((refusal.status, queue.waiting), (429, 0))

    def test_other_refusal_ends_a_wait(self):
        queue = ServiceQueue(limit=10)
        refusal = queue.wait_for_capacity(lambda: NO_REPLICA, Deadline.after(5.0), CallerPresence())
        self.assertEqual(refusal, NO_REPLICA)

    def test_disconnected_caller_is_removed_from_the_queue(self):
        queue = ServiceQueue(limit=10)
        presence = CallerPresence()
        threading.Timer(0.1, presence.leave).start()
        with self.assertRaises(CallerGoneError):
            queue.wait_for_capacity(self.replicas.choose, Deadline.after(5.0), presence)
        self.assertEqual(queue.waiting, 0)
