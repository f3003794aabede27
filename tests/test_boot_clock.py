"""Time limits must include time in which the machine is suspended."""

from __future__ import annotations

import re
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from unittest import mock

from fleet_rig import FleetRig, wait_until
from fleet_support import settings_for
from quaymill import boot_clock
from quaymill.connection.job_storage_messages import LEASE_S
from quaymill.connection.member import MemberState
from quaymill.process.job_storage.leases import Leases
from quaymill.process.membership.membership import Membership
from quaymill.request.deadline import Deadline
from quaymill_standins.fleet_replica import ReplicaBehaviour

SOURCES = Path(__file__).parent.parent / "src" / "quaymill"
MONOTONIC_CLOCK = re.compile(r"time\.(monotonic|perf_counter)|CLOCK_MONOTONIC")
SUSPENDED_S = 10.0


class Suspension:
    """Advances ``CLOCK_BOOTTIME`` only, as the suspension of a machine does."""

    def __init__(self, case: unittest.TestCase) -> None:
        self._suspended_s = 0.0
        self._clock_gettime = time.clock_gettime
        patch = mock.patch.object(boot_clock.time, "clock_gettime", self._read)
        patch.start()
        case.addCleanup(patch.stop)

    def suspend(self, seconds: float = SUSPENDED_S) -> None:
        """Simulate a suspension of this length."""
        self._suspended_s += seconds

    def _read(self, clock_id: int) -> float:
        suspended_s = self._suspended_s if clock_id == time.CLOCK_BOOTTIME else 0.0
        return self._clock_gettime(clock_id) + suspended_s


class SourceTest(unittest.TestCase):
    """Only ``boot_clock`` reads a clock that stops during a suspension."""

    def test_no_other_module_reads_the_monotonic_clock(self) -> None:
        others = [path for path in SOURCES.rglob("*.py") if path.name != "boot_clock.py"]
        self.assertGreater(len(others), 200)
        readers = [path.name for path in others if MONOTONIC_CLOCK.search(path.read_text())]
        self.assertEqual([], readers)


class ClockTest(unittest.TestCase):
    """Time limits that expire during a suspension."""

    def setUp(self) -> None:
        self.suspension = Suspension(self)

    def test_clock_counts_suspended_time(self) -> None:
        before, monotonic_before = boot_clock.now(), time.monotonic()
        self.suspension.suspend()
        self.assertGreaterEqual(boot_clock.now() - before, SUSPENDED_S)
        self.assertLess(time.monotonic() - monotonic_before, SUSPENDED_S)

    def test_a_callers_deadline_expires(self) -> None:
        deadline = Deadline.after(SUSPENDED_S / 2)
        self.suspension.suspend()
        self.assertTrue(deadline.passed())
        self.assertEqual(0.0, deadline.remaining_s())

    def test_a_lease_at_a_storage_node_expires(self) -> None:
        leases = Leases()
        leases.renew(["job"], "gateway")
        self.assertGreater(leases.left_s("job"), 0)
        self.suspension.suspend(LEASE_S)
        self.assertEqual(0.0, leases.left_s("job"))
        self.assertEqual([], leases.renew(["job"], "another"))

    def test_a_suspended_member_declares_nobody_dead_and_logs_the_suspension(self) -> None:
        first = Membership(settings_for("first", "a", 1))
        second = Membership(settings_for("second", "a", 1, (first.local().peer,)))
        for membership in (first, second):
            self.addCleanup(membership.stop)
            membership.start()
        wait_until(lambda: len(first.live()) == len(second.live()) == 2, "they know each other")
        with mock.patch("quaymill.process.membership.membership.log_message") as logged:
            self.suspension.suspend()
            wait_until(
                lambda: [
                    call for call in logged.call_args_list if call.args == ("node:suspended",)
                ],
                "the suspension is logged",
            )
        lines = [call for call in logged.call_args_list if call.args == ("node:suspended",)]
        self.assertAlmostEqual(SUSPENDED_S, lines[0].kwargs["for_s"], delta=0.1)
        states = {member.state for member in (*first.members(), *second.members())}
        self.assertNotIn(MemberState.DEAD, states)


class FleetTest(unittest.TestCase):
    """All processes of a fleet are suspended; the store and the replicas keep running."""

    def setUp(self) -> None:
        self.rig = FleetRig(gateways=2, storage=3, engines=2).start()
        self.addCleanup(self.rig.stop)
        self.suspension = Suspension(self)

    def test_a_request_past_its_deadline_gets_504(self) -> None:
        for replica in self.rig.of_service("application"):
            replica.behaviour = ReplicaBehaviour(answer_s=60.0)
        with ThreadPoolExecutor(1) as executor:
            began = time.monotonic()
            asked = executor.submit(self.rig.ask, "gateway-0", "/write/x", "late", b"")
            wait_until(
                lambda: any(one.runs_of("late") for one in self.rig.of_service("application")),
                "the request runs",
            )
            self.suspension.suspend()
            self.assertEqual(504, asked.result().status)
        self.assertLess(time.monotonic() - began, 4.0)

    def test_jobs_complete_and_their_results_stay(self) -> None:
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(event_s=0.2)
        self.assertEqual(202, self.rig.submit("gateway-0", "job", 6).status)
        before = self.rig.wait_results("gateway-1", "job", 2)
        self.suspension.suspend()
        after = self.rig.wait_results("gateway-1", "job", 6)
        self.assertEqual(before, after[: len(before)])
        self.assertEqual(6, len({result["id"] for result in after}))
        self.assertEqual({"succeeded"}, {result["state"] for result in after})
