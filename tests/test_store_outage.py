"""Outages of the platform's store: how many calls are made, and which results callers get."""

from __future__ import annotations

import math
import time
import unittest
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any
from unittest import mock

from nose2.tools import params

from fleet_rig import wait_until
from quaymill.connection.object_store import ObjectKind, StoreRefused
from quaymill.platform.object_store import CALL_TIMEOUT_S
from quaymill.process.control.store_circuit import (
    FIRST_PROBE_DELAY_S,
    GUARDED_KINDS,
    OPEN_AFTER_FAILURES,
    PROBE_GROWTH,
    PROBE_JITTER,
)
from quaymill.process.control.store_helpers import MAX_HELPERS_ASKED
from quaymill.process.jobs.result_publisher import ResultPublisher
from quaymill.process.serving_settings import MS_PER_S, Bounds
from quaymill_bench.fleet_world import configuration, item_id
from quaymill_standins.fleet_store import FleetStoreFaults
from store_rig import ListingFleet, finish
from test_fleet_faults import FaultCase

GATEWAYS = 50
JOBS_EACH = 2
ITEMS = 12
OUTAGE_S = 5.0
CONFIGURATION_S = Bounds().configuration_ms / MS_PER_S
ITEM_S = 0.5
"""Time between the ends of two items of a job."""


def max_probes(outage_s: float, max_delay_s: float) -> int:
    """Return the largest number of probes that a gateway makes, with the shortest delays."""
    probes = 0
    pause_s = FIRST_PROBE_DELAY_S
    at = 0.0
    while (at := at + (1.0 - PROBE_JITTER) * pause_s) < outage_s:
        probes += 1
        pause_s = min(max_delay_s, PROBE_GROWTH * pause_s)
    return probes


class OutageLoadTest(unittest.TestCase):
    """Number of calls to the store by many gateways with open jobs."""

    def setUp(self) -> None:
        self.fleet = ListingFleet(GATEWAYS)
        self.store = self.fleet.store
        self.jobs = {}
        for gateway in self.fleet.gateways:
            for number in range(JOBS_EACH):
                name = f"{gateway}-job-{number}"
                self.jobs[name] = self.fleet.open_job(gateway, name, ITEMS)
        self.addCleanup(self.end_jobs)
        self.ended = 0

    def end_jobs(self) -> None:
        for job in self.jobs.values():
            job.stop(ended=True)

    def end_items(self, until: float) -> None:
        """End one item of each job every ``ITEM_S`` seconds."""
        while time.monotonic() < until:
            for job in self.jobs.values():
                finish(job, self.ended)
            self.ended += 1
            time.sleep(ITEM_S)

    def all_listed(self) -> bool:
        return all(len(self.fleet.listed(name)) == self.ended for name in self.jobs)

    def read_configuration(self) -> None:
        """Read the configuration as the gateway that reads for all does."""
        self.fleet.gateways["g0"].circuit.get(ObjectKind.CONFIGURATION, "main")

    def test_all_gateways_are_refused(self) -> None:
        self.end_items(time.monotonic() + ITEM_S)
        wait_until(self.all_listed, "the first items are listed")
        self.store.calls.clear()
        self.store.refused = frozenset(self.fleet.gateways)
        self.end_items(time.monotonic() + OUTAGE_S)
        outage_calls = self.store.calls.total()
        # One call of each job and one for each gateway that asks for help may be in progress at
        # the opening.
        before_opening = OPEN_AFTER_FAILURES + JOBS_EACH + MAX_HELPERS_ASKED
        probes = max_probes(OUTAGE_S + ITEM_S, self.fleet.max_probe_delay_s)
        self.assertLessEqual(outage_calls, GATEWAYS * (before_opening + probes))

        self.store.calls.clear()
        self.store.refused = frozenset()
        began = time.monotonic()
        self.read_configuration()
        wait_until(self.all_listed, "all waiting results are listed", 2 * self.fleet.settle_s)
        took_s = time.monotonic() - began
        # One append of each job, and a probe in progress at each gateway.
        self.assertLessEqual(self.store.calls.total(), len(self.jobs) + GATEWAYS)
        most_per_s = self.store.calls.total() / max(took_s, 1.0)
        self.assertLess(most_per_s, self.fleet.writes_per_s)
        for name in self.jobs:
            self.assertEqual(list(range(self.ended)), sorted(self.fleet.listed(name)))

    def test_one_gateway_is_refused(self) -> None:
        self.store.refused = frozenset({"g0"})
        began = time.monotonic()
        self.end_items(began + OUTAGE_S)
        wait_until(
            self.all_listed, "all results are listed, also those of the refused gateway", 2.0
        )
        probes = max_probes(time.monotonic() - began, self.fleet.max_probe_delay_s)
        most = OPEN_AFTER_FAILURES + JOBS_EACH + probes
        self.assertLessEqual(self.store.calls["g0"], most)
        self.assertFalse(any(self.fleet.gateways[name].circuit.is_open for name in ("g1", "g2")))

    def test_half_of_the_gateways_are_refused(self) -> None:
        names = list(self.fleet.gateways)
        self.store.refused = frozenset(names[: GATEWAYS // 2])
        self.end_items(time.monotonic() + OUTAGE_S)
        wait_until(self.all_listed, "all results are listed", 2 * self.fleet.settle_s)
        appends = len(self.jobs) * self.ended
        refused = sum(self.store.calls[name] for name in self.store.refused)
        probes = max_probes(OUTAGE_S + 2 * self.fleet.settle_s, self.fleet.max_probe_delay_s)
        most_refused = GATEWAYS / 2 * (OPEN_AFTER_FAILURES + JOBS_EACH + MAX_HELPERS_ASKED + probes)
        self.assertLessEqual(refused, most_refused)
        self.assertLessEqual(self.store.calls.total() - refused, math.ceil(1.1 * appends))


class _RefusingStore:
    """A store that refuses the calls of one gateway for some kinds of objects.

    Attributes
    ----------
    calls
        Number of calls made, by kind.
    """

    def __init__(self, own: Any, refused_kinds: frozenset[ObjectKind]) -> None:
        self._wrapped = own
        self._refused_kinds = refused_kinds
        self.calls: Counter[ObjectKind] = Counter()

    def guarded_calls(self) -> int:
        """Return the number of calls for the kinds that an open circuit rejects."""
        return sum(self.calls[kind] for kind in GUARDED_KINDS)

    def __getattr__(self, name: str) -> Callable[..., Any]:
        def call(kind: ObjectKind, *fields: Any, **named: Any) -> Any:
            self.calls[kind] += 1
            if kind not in self._refused_kinds:
                return getattr(self._wrapped, name)(kind, *fields, **named)
            return StoreRefused("the store answered 503")

        return call


class OutageFleetTest(FaultCase):
    """Gateways and storage nodes that use the stand-in of the store."""

    ITEMS = 12
    SETTLE_S = 1.0
    MAX_PROBE_DELAY_S = 1.0
    """Follows from the bounds of the rig."""

    def setUp(self) -> None:
        super().setUp()
        self.slow_engines(0.05, 10)

    def refuse_gateway(
        self, gateway: str, kinds: Iterable[ObjectKind] = ObjectKind
    ) -> _RefusingStore:
        """Let the store refuse the calls of one gateway."""
        store = self.rig.gateways[gateway]._circuit_store
        store._wrapped = _RefusingStore(store._wrapped, frozenset(kinds))
        return store._wrapped

    def all_run(self) -> bool:
        return all(self.runs(item_id("job", index)) for index in range(self.ITEMS))

    def check_results(self, gateway: str) -> None:
        """Check that every item is listed once and ran once."""
        results = self.rig.wait_results(gateway, "job", self.ITEMS)
        self.assertEqual(self.ITEMS, len({result["id"] for result in results}))
        self.assertEqual(self.ITEMS, len(results))
        for index in range(self.ITEMS):
            self.assertEqual(1, len(self.runs(item_id("job", index))))

    @params(
        ("refuses", FleetStoreFaults(down=True)),
        ("silent", FleetStoreFaults(silent=True)),
        ("late", FleetStoreFaults(late_writes_s=CALL_TIMEOUT_S + 0.5)),
    )
    def test_results_are_listed_soon_after_the_recovery(self, _, faults) -> None:
        self.rig.submit("gateway-0", "job", self.ITEMS)
        self.rig.wait_results("gateway-1", "job", 1)
        self.rig.store.faults = faults
        wait_until(self.all_run, "all items run")
        time.sleep(OUTAGE_S / 2)
        self.rig.store.faults = FleetStoreFaults()
        began = time.monotonic()
        self.check_results("gateway-1")
        # A probe, an earlier call that times out, and the append.
        self.assertLess(
            time.monotonic() - began, self.MAX_PROBE_DELAY_S + 2 * CALL_TIMEOUT_S + self.SETTLE_S
        )
        wait_until(
            lambda: not any(one._circuit_store.is_open for one in self.rig.gateways.values()),
            "both circuits close",
            CONFIGURATION_S,
        )

    def test_number_of_calls_while_the_store_refuses(self) -> None:
        self.rig.submit("gateway-0", "job", self.ITEMS)
        self.rig.wait_results("gateway-1", "job", 1)
        counts = [self.refuse_gateway(gateway, ()) for gateway in self.rig.gateways]
        self.rig.store.faults = FleetStoreFaults(down=True)
        until = time.monotonic() + OUTAGE_S
        while time.monotonic() < until:
            for gateway in self.rig.gateways:
                self.rig.read_results(gateway, "job", self.ITEMS)
            time.sleep(0.05)
        calls = [count.guarded_calls() for count in counts]
        self.rig.store.faults = FleetStoreFaults()
        self.check_results("gateway-1")
        # One call each of the job, its ledger and a reader may be in progress at the opening.
        opening = OPEN_AFTER_FAILURES + 3
        self.assertLessEqual(max(calls), opening + max_probes(OUTAGE_S, self.MAX_PROBE_DELAY_S))

    def test_refused_gateway_lists_through_another(self) -> None:
        refused_store = self.refuse_gateway("gateway-0")
        began = time.monotonic()
        self.rig.submit("gateway-0", "job", self.ITEMS)
        self.check_results("gateway-1")
        self.check_results("gateway-0")
        self.assertTrue(self.rig.gateways["gateway-0"]._circuit_store.is_open)
        self.assertFalse(self.rig.gateways["gateway-1"]._circuit_store.is_open)
        probes = max_probes(time.monotonic() - began, self.MAX_PROBE_DELAY_S)
        most = OPEN_AFTER_FAILURES + 3 + probes
        self.assertLessEqual(refused_store.guarded_calls(), most)

    def test_configuration_comes_into_force_while_appends_are_rejected(self) -> None:
        for gateway in self.rig.gateways:
            self.refuse_gateway(gateway, GUARDED_KINDS)
        self.rig.submit("gateway-0", "job", self.ITEMS)
        wait_until(
            lambda: self.rig.gateways["gateway-0"]._circuit_store.is_open, "the circuit is open"
        )
        self.rig.store.put("config", "main", configuration(2))
        wait_until(
            lambda: all(one.control.routes.version == 2 for one in self.rig.gateways.values()),
            "the configuration is in force",
            CONFIGURATION_S,
        )

    def test_job_handed_over_during_an_outage_repeats_no_listed_item(self) -> None:
        self.rig.submit("gateway-0", "job", self.ITEMS)
        before = self.rig.wait_results("gateway-1", "job", 3)
        self.rig.store.faults = FleetStoreFaults(down=True)
        self.rig.gateways.pop("gateway-0").stop()
        wait_until(self.all_run, "all items run")
        self.rig.store.faults = FleetStoreFaults()
        results = self.rig.wait_results("gateway-1", "job", self.ITEMS)
        self.assertEqual(before, results[: len(before)])
        self.assertEqual(self.ITEMS, len({result["id"] for result in results}))
        for result in before:
            self.assertEqual(1, len(self.runs(result["id"])))

    def test_adoption_does_not_read_a_listing_that_it_received(self) -> None:
        self.rig.submit("gateway-0", "job", self.ITEMS)
        self.rig.wait_results("gateway-1", "job", 3)
        with mock.patch.object(ResultPublisher, "_read_listing") as read:
            self.rig.gateways.pop("gateway-0").stop()
            self.rig.wait_results("gateway-1", "job", self.ITEMS)
        read.assert_not_called()
