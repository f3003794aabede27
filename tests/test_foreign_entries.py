"""Objects of other writers in the store, and replicas that restart under the same id.

Guards against gateways that drop valid replicas or fail to start because of such objects, and
against state of an earlier start that is applied to the next one.
"""

from __future__ import annotations

import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from fleet_rig import FleetRig, wait_until
from quaymill.process.control.entries import UNREADABLE_KEPT_S
from quaymill.request.poison import MAX_CRASHES
from quaymill_bench.fleet_world import ROUTES, configuration, item_id, route, whole_text
from quaymill_standins.fleet_replica import FleetReplica, ReplicaBehaviour

FOREIGN = (7, "text", [], {}, {"service": 1}, {"service": "application", "state": "resting"})
OWN_KINDS = (
    "quaymill-nodes",
    "quaymill-job-listings",
    "quaymill-quota-ledgers",
    "quaymill-barred-requests",
)
START_DELAY_MS = 60_000


class FleetCase(unittest.TestCase):
    """Two gateways, two applications, one engine."""

    STORAGE = 0

    def setUp(self) -> None:
        self.rig = FleetRig(gateways=2, storage=self.STORAGE, engines=1).start()
        self.addCleanup(self.rig.stop)

    def listed(self, gateway: str) -> set[str]:
        table = self.rig.gateways[gateway].control._table
        return {entry.id for entry in table.entries()}

    def is_served(self, gateway: str, path: str = "/read/x") -> bool:
        return self.rig.ask(gateway, path, f"probe-{time.monotonic()}").status == 200


class ForeignEntryTest(FleetCase):
    """Objects that were not written by a replica."""

    def test_foreign_objects_are_ignored_and_hide_no_replica(self) -> None:
        for number, spec in enumerate(FOREIGN):
            self.rig.store.put("servers", f"a-foreign-{number}", spec)
        added = self.rig.add_replica("application", "zone-c")
        for name in self.rig.gateways:
            wait_until(
                lambda name=name: added.id in self.listed(name), f"{name} lists the new replica"
            )
            self.assertEqual(set(self.rig.replicas), self.listed(name))
        self.rig.gateways.pop("gateway-1").kill()
        self.rig.start_gateway("gateway-1", "zone-b")
        wait_until(
            lambda: self.listed("gateway-1") == set(self.rig.replicas),
            "a new gateway lists all replicas",
        )

    def test_last_valid_entry_is_kept_for_a_while_after_an_overwrite(self) -> None:
        replica = self.rig.of_service("application")[0]
        self.rig.store.put("servers", replica.id, {"service": 7})
        added = self.rig.add_replica("application", "zone-c")
        wait_until(lambda: added.id in self.listed("gateway-0"), "the list was read")
        self.assertIn(replica.id, self.listed("gateway-0"))
        gone = lambda: replica.id not in self.listed("gateway-0")  # noqa: E731
        wait_until(
            gone, "it is removed like a replica that writes no entry", UNREADABLE_KEPT_S + 5.0
        )
        self.rig.store.put("servers", replica.id, replica.entry(seq=9))
        wait_until(
            lambda: replica.id in self.listed("gateway-0"), "it is listed again by its own entry"
        )

    def test_unreadable_configuration_leaves_the_earlier_one_in_force(self) -> None:
        self.rig.store.put("config", "main", {"version": "x"})
        added = self.rig.add_replica("application", "zone-c")
        wait_until(lambda: added.id in self.listed("gateway-0"), "replicas are still read")
        self.assertTrue(self.is_served("gateway-0"))
        added_route = route("added", "/added/", "idempotent", service="application")
        self.rig.store.put("config", "main", configuration(5, (*ROUTES, added_route)))
        wait_until(
            lambda: self.is_served("gateway-1", "/added/x"), "the next configuration is in force"
        )

    def test_foreign_objects_of_our_own_kinds_do_not_stop_a_gateway(self) -> None:
        for kind in OWN_KINDS:
            for number, spec in enumerate(FOREIGN):
                self.rig.store.put(kind, f"foreign-{number}", spec)
        answer = self.rig.read_results("gateway-0", "foreign-1")
        self.assertIn(answer.status, (404, 503))
        self.rig.start_gateway("gateway-2", "zone-c")
        wait_until(lambda: self.is_served("gateway-2"), "a new gateway serves")


class RestartCase(FleetCase):
    """A replica that restarts with the same id and address."""

    def restart(self, replica: FleetReplica) -> FleetReplica:
        replica.crash()
        wait_until(replica.has_ended, "its port is free")
        restarted = FleetReplica(replica.id, replica.service, replica.zone, port=replica.port)
        restarted.behaviour = replica.behaviour
        restarted.started_ms = replica.started_ms + START_DELAY_MS
        restarted.start()
        self.rig.replicas[replica.id] = restarted
        self.rig.store.put("servers", restarted.id, restarted.entry(seq=0))
        for name in self.rig.gateways:
            wait_until(
                lambda name=name: self.listed_start_ms(name, restarted.id) == restarted.started_ms,
                f"{name} lists the new start",
            )
        return restarted

    def listed_start_ms(self, gateway: str, replica_id: str) -> int:
        return self.rig.gateways[gateway].control._table.get(replica_id).entry.started_ms


class RestartTest(RestartCase):
    """Which state of a replica applies after its restart."""

    def test_restarted_replica_serves_at_once_despite_earlier_failures(self) -> None:
        engine = self.rig.of_service("engine")[0]
        for name in self.rig.gateways:
            self.rig.gateways[name].control._table.get(engine.id).record_failure(9.0)
        restarted = self.restart(engine)
        for name in self.rig.gateways:
            self.assertFalse(self.rig.gateways[name].control._table.get(engine.id).avoided)
            answer = self.rig.ask(name, "/stream/x", f"again-{name}", tokens=True)
            self.assertEqual(200, answer.status)
            self.assertEqual(1, len(restarted.runs_of(f"again-{name}")))

    def test_crashes_of_all_starts_are_counted(self) -> None:
        engine = self.rig.of_service("engine")[0]
        engine.behaviour = ReplicaBehaviour(crash_suffix="crash")
        for number in range(MAX_CRASHES):
            self.rig.ask("gateway-0", "/stream/crash", f"crash-{number}", tokens=True)
            self.assertTrue(engine.crashed)
            engine = self.restart(engine)
        answer = self.rig.ask("gateway-1", "/stream/crash", "crash-late", tokens=True)
        self.assertEqual(503, answer.status)
        self.assertEqual([], engine.runs)


class RestartWhileRunningTest(RestartCase):
    """Work that a replica was running when it restarted."""

    STORAGE = 3

    def test_item_is_run_by_the_restarted_replica(self) -> None:
        engine = self.rig.of_service("engine")[0]
        engine.behaviour = ReplicaBehaviour(event_s=0.5)
        self.assertEqual(202, self.rig.submit("gateway-0", "job", 1).status)
        item = item_id("job", 0)
        wait_until(
            lambda: any(run.events_made for run in engine.runs_of(item)), "an event of the item"
        )
        restarted = self.restart(engine)
        results = self.rig.wait_results("gateway-1", "job", 1)
        self.assertEqual([whole_text(item)], [result["message"] for result in results])
        self.assertEqual(1, len(restarted.runs_of(item)))

    def test_a_call_that_may_not_be_repeated_runs_once(self) -> None:
        first = self.rig.of_service("application")[0]
        for replica in self.rig.of_service("application")[1:]:
            self.rig.store.remove("servers", replica.id)
        wait_until(lambda: len(self.listed("gateway-0")) == 2, "one application is listed")
        first.behaviour = ReplicaBehaviour(answer_s=60.0)
        with ThreadPoolExecutor(1) as executor:
            asked = executor.submit(self.rig.ask, "gateway-0", "/write/x", "once")
            wait_until(lambda: first.runs_of("once"), "the call runs")
            restarted = self.restart(first)
            self.assertEqual(502, asked.result().status)
        self.assertEqual([], restarted.runs_of("once"))
