"""A storage node must not grant the lease of a job to two coordinators at the same time."""

from __future__ import annotations

import unittest
from unittest import mock

from quaymill import boot_clock
from quaymill.process.job_storage.leases import LEASE_S, Leases


class LeasesTest(unittest.TestCase):
    """Leases in memory; the clock is simulated."""

    def setUp(self) -> None:
        self.now = 1000.0
        patch = mock.patch.object(boot_clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.leases = Leases()

    def test_all_jobs_count_as_leased_for_a_term_after_a_restart(self) -> None:
        self.assertEqual(LEASE_S, self.leases.left_s("job"))
        self.now += LEASE_S
        self.assertEqual(0.0, self.leases.left_s("job"))

    def test_renewal_by_another_is_refused_until_the_lease_expires(self) -> None:
        self.assertEqual([], self.leases.renew(["job"], "a"))
        self.now += LEASE_S / 2
        self.assertEqual(["job"], self.leases.renew(["job"], "b"))
        self.assertEqual("a", self.leases.holder("job"))
        self.now += LEASE_S / 2
        self.assertEqual([], self.leases.renew(["job"], "b"))
        self.assertEqual(["job"], self.leases.renew(["job"], "a"))

    def test_only_the_holder_can_hand_a_lease_over(self) -> None:
        self.leases.renew(["job"], "a")
        self.leases.hand_over("job", "x", "y")
        self.assertEqual("a", self.leases.holder("job"))
        self.leases.hand_over("job", "a", "b")
        self.assertEqual([], self.leases.renew(["job"], "b"))

    def test_only_the_holder_can_release_a_lease(self) -> None:
        self.leases.renew(["job"], "a")
        self.leases.release("job", "b")
        self.assertGreater(self.leases.left_s("job"), 0.0)
        self.leases.release("job", "a")
        self.assertEqual(0.0, self.leases.left_s("job"))

    def test_no_lease_is_assumed_for_an_ended_process_after_a_restart(self) -> None:
        """Nodes without the job must also report no lease, or they would delay its adoption."""
        self.assertEqual(0.0, self.leases.left_s("job", ended_holder="a"))

    def test_ended_process_does_not_hide_a_newer_holder(self) -> None:
        self.leases.renew(["job"], "b")
        self.assertEqual(LEASE_S, self.leases.left_s("job", ended_holder="a"))
        self.assertEqual(0.0, self.leases.left_s("job", ended_holder="b"))
