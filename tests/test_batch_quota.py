"""The quota of a batch route must hold across gateways, failures and outages of the store."""

from __future__ import annotations

import itertools
import unittest
from unittest import mock

from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_document import Job, JobDocument, JobItem, ResultState
from quaymill.connection.object_store import ObjectKind
from quaymill.platform.configuration import decode_configuration
from quaymill.platform.object_store import PlatformObjectStore
from quaymill.process.jobs.batch_quota import (
    ALLOWANCE_RENEWAL_S,
    ALLOWANCE_TERM_S,
    FIRST_ALLOWANCE_DELAY_S,
    MAX_RETRY_AFTER_S,
    BatchQuota,
)
from quaymill.process.jobs.coordinated_job import CoordinatedJob, ItemState
from quaymill.process.jobs.quota_ledger import (
    Allowance,
    JobTokens,
    LedgerDocument,
    QuotaLedgers,
    allowance_for,
    fits,
    is_ledger_of,
    ledger_name,
)
from quaymill.process.jobs.quota_sweep import (
    ALLOWANCE_ORPHANED_AFTER_S,
    ORPHANED_AFTER_S,
    SWEEP_INTERVAL_S,
    LedgerSweep,
)
from quaymill.process.jobs.route_quota import (
    ENTER_FROM_SHARE,
    Admitted,
    OverQuota,
    QuotaUnknown,
)
from quaymill.version.request_routes import RequestRoute, RequestRoutes, RouteKind, WeightedService
from quaymill.version.tenants import RequestTenant
from quaymill_standins.fleet_store import FleetStore, FleetStoreFaults

ITEM_TOKENS = 100
SMALL = 1000
LARGE = 1_000_000


def batch_route(quota: int) -> RequestRoute:
    services = (WeightedService("engine", 1.0),)
    return RequestRoute(
        "jobs", "h", "/jobs/", RouteKind.BATCH, services, 15.0, 0.4, max_unfinished_tokens=quota
    )


def coordinated(
    job_id: str, items: int, route: RequestRoute, tenant: str | None = None
) -> CoordinatedJob:
    document = JobDocument(
        tuple(JobItem(f"{job_id}-{n}", "/x", {}, b"", ITEM_TOKENS) for n in range(items))
    )
    job = Job(job_id, "h", "/jobs/x", document, tenant=tenant)
    return CoordinatedJob(job, route, "me")


class Gateway:
    """The quota of one gateway, with jobs and storage nodes set by the test."""

    def __init__(self, case: QuotaCase, name: str, sweeps: bool = False) -> None:
        self.case = case
        self.jobs: dict[str, CoordinatedJob] = {}
        self.known: bool | None = False
        self.over = True
        ledgers = QuotaLedgers(PlatformObjectStore(Endpoint("127.0.0.1", case.store.port)))
        self.quota = BatchQuota(
            name,
            ledgers,
            lambda: RequestRoutes(1, (case.route,), tenants=case.tenants),
            lambda: list(self.jobs.values()),
            lambda: 2,
            lambda job_id: self.known,
            sweep=LedgerSweep(ledgers, lambda route: sweeps, lambda job_id: self.over),
        )

    def admit(self, job_id: str, items: int = 5, tenant: str | None = None):
        """Count a job; if admitted, it runs here."""
        decision = self.quota.admit(job_id, self.case.route, items * ITEM_TOKENS, tenant)
        if isinstance(decision, Admitted):
            self.jobs[job_id] = coordinated(job_id, items, self.case.route, tenant)
        return decision

    def take_allowance(self) -> None:
        self.case.now += max(FIRST_ALLOWANCE_DELAY_S, ALLOWANCE_RENEWAL_S)
        self.quota.reconcile()


class QuotaCase(unittest.TestCase):
    """Base of tests with two gateways and a store; the clock is simulated."""

    quota = SMALL
    tenants: dict[str, RequestTenant] | None = None

    def setUp(self) -> None:
        self.now = 1000.0
        patch = mock.patch.object(boot_clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = FleetStore()
        self.store.start()
        self.addCleanup(self.store.stop)
        self.route = batch_route(self.quota)
        self.one = Gateway(self, "one")
        self.two = Gateway(self, "two")

    def held(self) -> dict[str, int]:
        ledger = QuotaLedgers(PlatformObjectStore(Endpoint("127.0.0.1", self.store.port)))
        document = ledger.read(self.route.name).document
        return {job_id: entry.tokens for job_id, entry in document.jobs.items()}


class LedgerTest(QuotaCase):
    """Jobs that are counted in the ledger."""

    def test_two_gateways_do_not_both_assign_the_last_tokens(self) -> None:
        self.assertIsInstance(self.one.admit("a", 6), Admitted)
        self.assertIsInstance(self.two.admit("b", 4), Admitted)
        for gateway in (self.one, self.two):
            decision = gateway.admit("c", 1)
            self.assertIsInstance(decision, OverQuota)
            self.assertGreater(decision.retry_after_s, 0)
        self.assertEqual({"a": 600, "b": 400}, self.held())

    def test_finished_items_free_their_tokens(self) -> None:
        self.one.admit("a", 10)
        job = self.one.jobs["a"]
        self.assertIsInstance(self.two.admit("b", 3), OverQuota)
        for item in job.items[:3]:
            job.finish(item, ResultState.SUCCEEDED, "")
        self.one.quota.reconcile()
        self.assertIsInstance(self.two.admit("b", 3), Admitted)

    def test_retry_time_follows_the_rate_of_freed_tokens(self) -> None:
        self.one.admit("a", 10)
        slow = self.one.admit("b", 3).retry_after_s
        job = self.one.jobs["a"]
        for item in job.items[:2]:
            job.finish(item, ResultState.SUCCEEDED, "")
        self.one.quota.reconcile()
        # Two items were freed in ten seconds and one is missing: 5 s, which is also the maximum.
        self.assertEqual(MAX_RETRY_AFTER_S, slow)
        self.assertAlmostEqual(MAX_RETRY_AFTER_S, self.one.admit("b", 3).retry_after_s)
        for item in job.items[2:9]:
            job.finish(item, ResultState.SUCCEEDED, "")
        self.one.quota.reconcile()
        self.assertAlmostEqual(100 / 90, self.one.admit("c", 10).retry_after_s, places=2)

    @params("ended", "dead")
    def test_a_job_that_is_over_holds_no_tokens(self, how: str) -> None:
        self.one.admit("a", 10)
        job = self.one.jobs["a"]
        if how == "ended":
            job.stop(ended=True)
        else:
            for item in job.items:
                job.finish(item, ResultState.DEAD, "not done in time")
        self.one.quota.reconcile()
        self.assertEqual({}, self.held())

    def test_a_job_submitted_again_counts_once(self) -> None:
        self.one.admit("a", 6)
        self.assertIsInstance(self.two.admit("a", 6), Admitted)
        self.assertEqual({"a": 600}, self.held())

    @params((True, Admitted), (None, QuotaUnknown), (False, OverQuota))
    def test_a_stored_job_is_never_refused(self, known, expected) -> None:
        self.one.admit("a", 10)
        self.two.known = known
        self.assertIsInstance(self.two.admit("b", 1), expected)

    def test_a_job_that_was_not_stored_is_withdrawn(self) -> None:
        admitted = self.one.admit("a", 10)
        del self.one.jobs["a"]
        self.one.quota.withdraw("a", self.route, admitted)
        self.one.quota.reconcile()
        self.assertEqual({}, self.held())

    def test_a_job_that_another_gateway_has_accepted_stays_counted(self) -> None:
        """One gateway could not store the job, but the one it relayed the job to could."""
        admitted = self.one.admit("a", 6)
        del self.one.jobs["a"]
        self.two.admit("a", 6)
        self.one.quota.withdraw("a", self.route, admitted)
        self.one.quota.reconcile()
        self.assertEqual({"a": 600}, self.held())

    def test_a_relay_gateway_does_not_withdraw_the_count(self) -> None:
        self.one.admit("a", 6)
        relayed = self.two.admit("a", 6)
        del self.two.jobs["a"]
        self.two.quota.withdraw("a", self.route, relayed)
        self.two.quota.reconcile()
        self.assertEqual({"a": 600}, self.held())

    def test_a_lowered_quota_applies_at_once(self) -> None:
        self.one.admit("a", 6)
        self.route = batch_route(500)
        self.assertIsInstance(self.one.admit("b", 1), OverQuota)

    def test_no_quota_means_no_call_of_the_store(self) -> None:
        self.route = batch_route(0)
        self.assertIsInstance(self.one.admit("a", 1000), Admitted)
        self.one.quota.reconcile()
        self.assertEqual(0, sum(self.store.calls.values()))

    def test_an_adopted_job_is_entered(self) -> None:
        self.two.jobs["a"] = coordinated("a", 12, self.route)
        self.two.quota.reconcile()
        # It was accepted before, so it counts even if it does not fit.
        self.assertEqual({"a": 1200}, self.held())

    def test_a_job_that_was_handed_over_keeps_its_entry(self) -> None:
        self.one.admit("a", 6)
        self.one.jobs["a"].stop(ended=False)
        self.one.quota.reconcile()
        self.assertEqual({"a": 600}, self.held())

    def test_no_job_is_counted_while_the_store_is_down(self) -> None:
        self.store.faults = FleetStoreFaults(down=True)
        self.assertIsInstance(self.one.admit("a", 1), QuotaUnknown)
        self.store.faults = FleetStoreFaults()
        self.assertEqual({}, self.held())

    def test_a_job_counts_once_if_the_answer_of_the_store_is_lost(self) -> None:
        self.one.admit("first", 1)
        self.store.faults = FleetStoreFaults(lose_writes=True)
        with mock.patch("quaymill.platform.object_store.CALL_TIMEOUT_S", 0.2):
            decision = self.one.admit("a", 5)
        self.assertIsInstance(decision, Admitted)
        self.assertEqual({"first": 100, "a": 500}, self.held())

    def test_no_change_of_several_gateways_is_lost(self) -> None:
        gateways = [Gateway(self, f"g{n}") for n in range(4)]
        for gateway in gateways:
            gateway.admit(f"warm-{gateway.quota._name}", 1)
        # By now each gateway knows an old ledger and must apply its change to a newer one.
        for gateway in gateways:
            gateway.admit(f"job-{gateway.quota._name}", 1)
        self.assertEqual(8, len(self.held()))


class AllowanceTest(QuotaCase):
    """Jobs that are counted under an allowance, without a call of the store."""

    quota = LARGE

    def test_jobs_are_admitted_under_the_allowance_during_an_outage(self) -> None:
        self.one.take_allowance()
        self.store.faults = FleetStoreFaults(down=True)
        self.assertEqual(Admitted("allowance"), self.one.admit("a", 100))
        self.store.faults = FleetStoreFaults()
        self.one.quota.reconcile()
        # Counted under the allowance until this is renewed, then as an entry of its own.
        self.assertGreaterEqual(self.allowance_of("one"), 10_000)
        self.one.take_allowance()
        self.assertEqual({"a": 10_000}, self.held())

    def allowance_of(self, gateway: str) -> int:
        ledgers = QuotaLedgers(PlatformObjectStore(Endpoint("127.0.0.1", self.store.port)))
        return ledgers.read(self.route.name).document.allowances[gateway].tokens

    def test_a_short_job_costs_no_call_and_returns_its_tokens(self) -> None:
        self.one.take_allowance()
        calls = sum(self.store.calls.values())
        remaining = self.one.quota._state_of(self.route.name).remaining
        self.one.admit("a", 100)
        self.one.quota.reconcile()
        self.one.jobs["a"].stop(ended=True)
        self.one.quota.reconcile()
        self.assertEqual(calls, sum(self.store.calls.values()))
        self.assertEqual(remaining, self.one.quota._state_of(self.route.name).remaining)

    def test_an_old_ledger_is_read_before_it_is_changed(self) -> None:
        """A change on an old ledger would conflict and need a second write."""
        self.one.take_allowance()
        self.two.take_allowance()
        self.now += ALLOWANCE_RENEWAL_S
        writes = self.store.calls["PUT"]
        self.one.quota.reconcile()
        self.assertEqual(1, self.store.calls["PUT"] - writes)

    def test_a_failed_read_returns_the_known_ledger(self) -> None:
        self.one.take_allowance()
        ledgers = self.one.quota._ledgers
        known = self.one.quota._state_of(self.route.name).ledger
        self.store.faults = FleetStoreFaults(down=True)
        self.assertIs(known, ledgers.newer(self.route.name, known))

    def test_a_charged_job_that_was_handed_over_stays_counted(self) -> None:
        self.one.take_allowance()
        remaining = self.one.quota._state_of(self.route.name).remaining
        self.one.admit("a", 100)
        self.one.quota.reconcile()
        self.one.jobs["a"].yielded = True
        self.one.quota.reconcile()
        self.assertEqual(remaining - 10_000, self.one.quota._state_of(self.route.name).remaining)

    def test_jobs_are_entered_once_enough_of_the_allowance_is_used(self) -> None:
        self.one.take_allowance()
        allowed = self.allowance_of("one")
        items = int(ENTER_FROM_SHARE * allowed) // ITEM_TOKENS
        self.one.admit("a", items)
        self.one.quota.reconcile()
        self.assertEqual({}, self.held())
        self.one.admit("b", 1)
        self.one.quota.reconcile()
        self.assertEqual({"a": items * ITEM_TOKENS, "b": ITEM_TOKENS}, self.held())
        self.assertEqual(allowed, self.one.quota._state_of(self.route.name).remaining)

    def test_no_more_jobs_are_admitted_than_the_allowance_fits(self) -> None:
        self.one.take_allowance()
        self.store.faults = FleetStoreFaults(down=True)
        decisions = [self.one.admit(f"job-{n}", 300) for n in range(10)]
        allowed = allowance_for(LedgerDocument(), "one", 2, LARGE)
        self.assertEqual(allowed // 30_000, sum(isinstance(one, Admitted) for one in decisions))

    def test_an_old_allowance_is_not_used(self) -> None:
        self.one.take_allowance()
        self.store.faults = FleetStoreFaults(down=True)
        self.now += ALLOWANCE_TERM_S
        self.assertIsInstance(self.one.admit("a", 1), QuotaUnknown)

    def test_an_allowance_under_a_larger_quota_is_not_used(self) -> None:
        self.one.take_allowance()
        self.store.faults = FleetStoreFaults(down=True)
        self.route = batch_route(LARGE // 2)
        self.assertIsInstance(self.one.admit("a", 1), QuotaUnknown)

    def test_no_allowance_is_taken_right_after_the_start(self) -> None:
        self.one.quota.reconcile()
        self.store.faults = FleetStoreFaults(down=True)
        self.assertIsInstance(self.one.admit("a", 1), QuotaUnknown)

    def test_a_job_of_a_dead_gateway_is_entered_by_its_adopter(self) -> None:
        self.one.take_allowance()
        self.one.admit("a", 100)
        self.two.jobs["a"] = self.one.jobs["a"]
        self.two.quota.reconcile()
        self.assertEqual({"a": 10_000}, self.held())

    def test_all_gateways_together_stay_within_the_quota(self) -> None:
        gateways = [Gateway(self, f"g{n}") for n in range(5)]
        for gateway in gateways:
            gateway.take_allowance()
        accepted = 0
        for number, gateway in itertools.product(range(120), gateways):
            if isinstance(gateway.admit(f"{number}-{gateway.quota._name}", 30), Admitted):
                accepted += 30 * ITEM_TOKENS
            if number % 7 == 0:
                gateway.quota.reconcile()
        self.assertLessEqual(accepted, LARGE * 1.1)
        self.assertGreater(accepted, LARGE * 0.7)


class SweepTest(QuotaCase):
    """Entries that dead gateways leave in a ledger."""

    quota = LARGE

    def setUp(self) -> None:
        super().setUp()
        self.sweeper = Gateway(self, "sweeper", sweeps=True)

    def sweep_for(self, time_s: float) -> None:
        until = self.now + time_s
        while self.now < until:
            self.now += SWEEP_INTERVAL_S
            self.sweeper.quota.reconcile()

    def test_an_orphaned_entry_is_removed_once_its_job_is_over(self) -> None:
        self.one.admit("a", 5)
        self.sweep_for(ORPHANED_AFTER_S / 2)
        self.assertEqual({"a": 500}, self.held())
        self.sweep_for(2 * ORPHANED_AFTER_S)
        self.assertEqual({}, self.held())

    def test_an_entry_of_a_job_that_may_run_is_not_removed(self) -> None:
        self.one.admit("a", 5)
        self.sweeper.over = False
        self.sweep_for(5 * ORPHANED_AFTER_S)
        self.assertEqual({"a": 500}, self.held())

    def test_an_orphaned_allowance_is_removed_long_after_its_term(self) -> None:
        self.one.take_allowance()
        self.sweep_for(ALLOWANCE_TERM_S + ORPHANED_AFTER_S)
        self.assertIn("one", self._allowances())
        self.sweep_for(ALLOWANCE_ORPHANED_AFTER_S)
        self.assertNotIn("one", self._allowances())

    def _allowances(self) -> dict[str, Allowance]:
        ledgers = QuotaLedgers(PlatformObjectStore(Endpoint("127.0.0.1", self.store.port)))
        return ledgers.read(self.route.name).document.allowances


class LedgerRulesTest(unittest.TestCase):
    """The rules by which jobs and allowances fit a quota."""

    @params((1000, True), (1001, False))
    def test_a_job_fits_up_to_the_quota(self, tokens: int, expected: bool) -> None:
        self.assertEqual(expected, fits(LedgerDocument(), tokens, 1000, 0.1))

    def test_allowances_use_the_tolerated_overrun_first(self) -> None:
        document = LedgerDocument({}, {"one": Allowance(80)})
        self.assertTrue(fits(document, 1000, 1000, 0.1))
        self.assertFalse(fits(document.with_allowance("two", 1), 1000, 1000, 0.1))

    def test_all_allowances_together_are_bounded(self) -> None:
        document = LedgerDocument()
        for name in "abcdefgh":
            document = document.with_allowance(name, allowance_for(document, name, 2, LARGE))
        self.assertLessEqual(document.allowance_tokens, 0.25 * LARGE)

    def test_no_allowance_while_jobs_hold_many_tokens(self) -> None:
        document = LedgerDocument({"a": JobTokens(LARGE // 3)})
        self.assertEqual(0, allowance_for(document, "one", 2, LARGE))

    def test_a_running_item_counts_until_it_is_finished(self) -> None:
        job = coordinated("a", 3, batch_route(SMALL))
        job.items[0].state = ItemState.RUNNING
        self.assertEqual(300, job.unfinished_tokens())
        job.finish(job.items[0], ResultState.SUCCEEDED, "")
        self.assertEqual(200, job.unfinished_tokens())


class ConfigurationTest(unittest.TestCase):
    """How the platform's configuration gives the quota."""

    def test_quota_comes_from_the_route_and_not_from_the_engine(self) -> None:
        route = {
            "name": "jobs",
            "host": "h",
            "path_prefix": "/jobs/",
            "kind": "batch",
            "service": "engine",
            "max_queued_tokens": 1200,
        }
        engine = {"slots": 8, "kv_capacity_tokens": 1, "max_queued_tokens": 12}
        decoded = decode_configuration(
            {
                "version": 1,
                "routes": [route, route | {"name": "open", "max_queued_tokens": 0}],
                "services": [{"name": "engine", "engine": engine}],
            }
        )
        self.assertEqual([1200, 0], [one.max_unfinished_tokens for one in decoded.routes])

    def test_ledgers_have_an_object_kind_of_their_own(self) -> None:
        self.assertIn(ObjectKind.QUOTA_LEDGERS, ObjectKind)


if __name__ == "__main__":
    unittest.main()


class TenantQuotaTest(QuotaCase):
    """If there are tenants, each has a quota of its own."""

    tenants = {name: RequestTenant(name) for name in ("office", "kiosk", "idle")}

    def ledgers(self) -> QuotaLedgers:
        return QuotaLedgers(PlatformObjectStore(Endpoint("127.0.0.1", self.store.port)))

    def held_by(self, tenant: str) -> int:
        return self.ledgers().read(ledger_name("jobs", tenant)).document.job_tokens

    def test_jobs_of_one_tenant_use_no_quota_of_another(self) -> None:
        self.assertIsInstance(self.one.admit("office~a", 10, "office"), Admitted)
        self.assertIsInstance(self.two.admit("office~b", 3, "office"), OverQuota)
        self.assertIsInstance(self.two.admit("kiosk~a", 10, "kiosk"), Admitted)

    def test_finished_items_free_tokens_of_their_tenant(self) -> None:
        self.one.admit("office~a", 10, "office")
        job = self.one.jobs["office~a"]
        for item in job.items:
            job.finish(item, ResultState.SUCCEEDED, "")
        self.one.quota.reconcile()
        self.assertEqual(0, self.held_by("office"))
        self.assertIsInstance(self.two.admit("office~b", 10, "office"), Admitted)

    def test_tenants_without_jobs_have_no_ledger(self) -> None:
        self.one.admit("office~a", 1, "office")
        self.one.take_allowance()
        self.assertEqual((ledger_name("jobs", "office"),), self.ledgers().names())

    def test_orphaned_entries_of_any_tenant_are_removed(self) -> None:
        self.one.admit("office~a", 10, "office")
        sweeper = Gateway(self, "three", sweeps=True)
        for _ in range(4):
            sweeper.quota.reconcile()
            self.now += max(SWEEP_INTERVAL_S, ORPHANED_AFTER_S)
        self.assertEqual(0, self.held_by("office"))

    def test_names_of_ledgers_are_unique(self) -> None:
        routes = ("jobs", "jobs~a", "jobs/a", "")
        names = {ledger_name(route, name) for route in routes for name in ("", "a", "a~b")}
        self.assertEqual(12, len(names))
        self.assertFalse(is_ledger_of(ledger_name("jobs~a", "x"), "jobs"))
