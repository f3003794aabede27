"""What cancels one run of an item reaches neither a run that has ended nor the next one."""

from __future__ import annotations

import unittest

from quaymill.connection.job_document import JobItem
from quaymill.process.jobs.coordinated_job import CoordinatedItem
from quaymill.process.jobs.run_handle import RunHandle


class RunHandleTest(unittest.TestCase):
    """Cancels before, during and after a run."""

    def setUp(self) -> None:
        self.cancelled: list[str] = []
        self.handle = RunHandle()

    def attach(self) -> None:
        self.handle.attach(lambda: self.cancelled.append("run"))

    def test_item_without_a_run_can_be_cancelled(self) -> None:
        """Guards against the end of a run between the check for its cancel and the call."""
        CoordinatedItem(0, JobItem("id", "/", {}, b"", 1)).run.cancel()

    def test_cancel_within_the_run(self) -> None:
        self.attach()
        self.handle.preempt()
        self.assertEqual(["run"], self.cancelled)
        self.assertTrue(self.handle.preempted)

    def test_cancel_before_the_request_is_sent_takes_effect_then(self) -> None:
        """Guards against an ended job whose item runs on, as it had not been sent yet."""
        self.handle.cancel()
        self.attach()
        self.assertEqual(["run"], self.cancelled)
        self.assertFalse(self.handle.preempted)

    def test_cancel_after_the_run_does_nothing(self) -> None:
        self.attach()
        self.handle.end()
        self.handle.preempt()
        self.assertEqual([], self.cancelled)
        self.assertFalse(self.handle.preempted)

    def test_handle_of_an_earlier_run_does_not_preempt_the_next_one(self) -> None:
        self.attach()
        self.handle.end()
        following = RunHandle()
        following.attach(lambda: self.cancelled.append("next run"))
        self.handle.preempt()
        self.assertEqual([], self.cancelled)
        self.assertFalse(following.preempted)
