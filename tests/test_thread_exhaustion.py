"""Jobs are completed although a process cannot start threads for a while.

An operating system limits the threads of all processes together. No item of an accepted job may be
left unlisted because one thread could not be started or has ended.
"""

from __future__ import annotations

import contextlib
import threading
import unittest
from collections.abc import Iterator
from unittest import mock

from nose2.tools import params
from urllib3.exceptions import HTTPError

from fleet_rig import FleetRig, wait_until
from quaymill.process.job_storage.orphans import OrphanWatch
from quaymill_standins.fleet_replica import ReplicaBehaviour

ITEMS = 6
FAILED_STARTS = 4
COMPLETE_WITHIN_S = 20.0


@contextlib.contextmanager
def failing_starts(target: str, failures: int = FAILED_STARTS) -> Iterator[list[str]]:
    """Let the first starts of threads with a target of this name fail."""
    start = threading.Thread.start
    failed: list[str] = []

    def start_or_fail(thread: threading.Thread) -> None:
        name = getattr(thread._target, "__name__", "")
        if name == target and len(failed) < failures:
            failed.append(name)
            raise RuntimeError("can't start new thread")
        start(thread)

    with mock.patch.object(threading.Thread, "start", start_or_fail):
        yield failed


class ThreadExhaustionTest(unittest.TestCase):
    """Two gateways and three storage nodes; threads of one kind cannot be started."""

    def setUp(self) -> None:
        self.rig = FleetRig(2, 3, 2).start()
        self.addCleanup(self.rig.stop)
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(events=3, event_s=0.1)

    def submit(self, job_id: str) -> None:
        """Send a job until it is accepted: the connection of a failed submission is closed."""

        def is_accepted() -> bool:
            with contextlib.suppress(HTTPError):
                return self.rig.submit("gateway-0", job_id, ITEMS).status == 202
            return False

        wait_until(is_accepted, f"{job_id} is accepted")

    def assert_completes(self, job_id: str) -> None:
        def is_complete() -> bool:
            answer = self.rig.read_results("gateway-1", job_id)
            return answer.status == 200 and answer.data.count(b'"id"') == ITEMS

        wait_until(is_complete, f"{job_id} is complete", COMPLETE_WITHIN_S)

    @params("_run_item", "_call", "_renew_at", "_publish")
    def test_job_is_completed(self, target: str) -> None:
        """Guards against an item that is left lying for good."""
        self.rig.submit("gateway-0", "first", ITEMS)
        self.rig.wait_results("gateway-1", "first", 1)
        with failing_starts(target) as failed:
            self.submit("second")
            wait_until(lambda: failed, "a start fails")
            for job_id in ("first", "second"):
                self.assert_completes(job_id)

    def test_job_is_adopted_by_a_gateway_that_could_not_renew_leases(self) -> None:
        """Its items wait for the first renewal, which must not fail for good."""
        self.rig.submit("gateway-0", "warm-up", ITEMS)
        with failing_starts("_renew_at") as failed:
            wait_until(lambda: len(failed) == FAILED_STARTS, "starts fail")
            self.assert_completes("warm-up")
        self.rig.submit("gateway-1", "job", ITEMS)
        self.rig.gateways.pop("gateway-0").kill()
        self.rig.wait_results("gateway-1", "job", ITEMS)

    def test_orphans_are_assigned_after_a_failed_check(self) -> None:
        check = OrphanWatch.check
        failures = {name: RuntimeError(name) for name in self.rig.storage}

        def check_or_fail(watch: OrphanWatch) -> None:
            failure = failures.pop(watch._name, None)
            if failure is not None:
                raise failure
            check(watch)

        with mock.patch.object(OrphanWatch, "check", check_or_fail):
            wait_until(lambda: not failures, "each node's check has failed once")
            for replica in self.rig.of_service("engine"):
                replica.behaviour = ReplicaBehaviour(events=10, event_s=0.2)
            self.rig.submit("gateway-0", "job", ITEMS)
            self.rig.gateways.pop("gateway-0").kill()
            self.rig.wait_results("gateway-1", "job", ITEMS)


if __name__ == "__main__":
    unittest.main()
