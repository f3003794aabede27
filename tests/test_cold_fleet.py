"""A fleet whose engines return cold: what arrives at them, and what callers get."""

from __future__ import annotations

import itertools
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

from fleet_rig import FleetRig, wait_until
from quaymill.process.replica_set.cold_start import DELAY_SPREAD_S, RANKED_FIRST_S
from quaymill.process.serving_settings import Bounds
from quaymill_bench.fleet_world import configuration, route
from quaymill_standins.fleet_replica import FleetReplica, ReplicaBehaviour

RATE = 12.0
BOUND = 23
"""Requests that may arrive at a cold replica in a second: 12 x 1.5 + 5."""
BOUNDS = Bounds(leave_s=0.3, grace_s=6.0, cold_rate_factor=1.5, cold_rate_slack=5.0)
WARM_UP_S = 3.0
COLD_MS = 25_000
CHECK_DELAY_S = 0.5
"""Time by which a test may notice later than the gateways that one of them has ended."""
CALLERS = 12
"""Callers of each gateway; each sends its next request when the last one is answered."""


ROUTES = (
    route("stream", "/stream/", "streaming", max_attempts=1),
    route("read", "/read/", "idempotent", max_attempts=3, timeout_ms=6000),
)
JOBS = route("jobs", "/jobs/", "batch", due_ms=20000, max_wait_s=60, timeout_ms=30000)


def cold_configuration(version: int, routes: tuple[dict, ...]) -> dict:
    """Return a configuration whose engines declare a rate."""
    found = configuration(version, routes)
    for service in found["services"]:
        if service["name"] == "engine":
            service |= {"cold_start_s": WARM_UP_S, "cold_per_s": RATE}
    return found


class ColdFleetCase(unittest.TestCase):
    """Gateways in two zones, and an engine in each zone."""

    GATEWAYS = 4
    STORAGE = 0
    ROUTES = ROUTES
    SETTINGS_BOUNDS = BOUNDS

    def setUp(self) -> None:
        zones = ("zone-a", "zone-b")
        self.rig = FleetRig(
            self.GATEWAYS, self.STORAGE, 2, zones, bounds=self.SETTINGS_BOUNDS
        ).start()
        self.addCleanup(self.rig.stop)
        self.rig.store.put("config", "main", cold_configuration(2, self.ROUTES))
        self.wait_for_gateways(lambda one: one.control.routes.version == 2, "the rate is known")
        self.engines = self.rig.of_service("engine")
        for engine in self.engines:
            engine.behaviour = ReplicaBehaviour(answer_s=0.02)
        self.wait_for_gateways(
            lambda one: not any(self.is_cold(one, engine) for engine in self.engines),
            "the engines are warm",
        )
        self.numbers = itertools.count()
        self.stopping = threading.Event()
        self.statuses: list[int] = []
        self.callers: list[threading.Thread] = []
        self.addCleanup(self.stop_callers)

    def wait_for_gateways(self, condition, what: str) -> None:
        wait_until(lambda: all(condition(one) for one in self.rig.gateways.values()), what)

    def is_cold(self, gateway, engine: FleetReplica) -> bool:
        replica = gateway._table.get(engine.id)
        return replica is not None and replica.cold

    def wait_until_an_allocator_may_grant(self) -> str:
        """Wait until one gateway may grant, and return its name."""
        return wait_until(
            lambda: next(
                (name for name, one in self.rig.gateways.items() if one._cold_watch._granting), ""
            ),
            "an allocator may grant",
        )

    def make_cold(self, *engines: FleetReplica) -> float:
        """Let engines state that they are cold; return when all gateways know."""
        for engine in engines:
            engine.become_cold(COLD_MS / 1000)
            self.rig.store.put("servers", engine.id, engine.entry(seq=2))
        self.wait_for_gateways(
            lambda one: all(self.is_cold(one, engine) for engine in engines), "engines are cold"
        )
        return time.monotonic()

    def start_callers(self, *gateways: str) -> None:
        for name in gateways or tuple(self.rig.gateways):
            for _ in range(CALLERS):
                caller = threading.Thread(target=self.call_repeatedly, args=(name,), daemon=True)
                self.callers.append(caller)
                caller.start()

    def call_repeatedly(self, gateway: str) -> None:
        while not self.stopping.is_set():
            try:
                self.statuses.append(self.ask(gateway).status)
            except Exception:  # The gateway was killed.
                return

    def ask(self, gateway: str, request_id: str = "", **fields):
        request_id = request_id or f"{gateway}/{next(self.numbers)}"
        return self.rig.ask(gateway, "/read/x", request_id, **fields)

    def stop_callers(self) -> None:
        self.stopping.set()
        for caller in self.callers:
            caller.join()

    def arrivals(self, engine: FleetReplica, since: float) -> list[float]:
        return sorted(run.started_s for run in tuple(engine.runs) if run.started_s >= since)

    def assert_within_bound(self, engine: FleetReplica, since: float, bound: int = BOUND) -> None:
        arrivals = self.arrivals(engine, since)
        for index, at in enumerate(arrivals):
            in_second = sum(one < at + 1.0 for one in arrivals[index:])
            self.assertLessEqual(in_second, bound)

    def wait_for_arrivals(self, engine: FleetReplica, since: float, count: int = 40) -> None:
        wait_until(lambda: len(self.arrivals(engine, since)) >= count, f"{count} arrivals")


class ReturnTest(ColdFleetCase):
    """An engine that becomes cold again while all gateways send requests."""

    def test_burst_at_an_engine_that_returns_cold(self) -> None:
        """Guards against gateways that each send what one of them may send."""
        self.wait_until_an_allocator_may_grant()
        self.start_callers()
        cold_at = self.make_cold(self.engines[0])
        self.wait_for_arrivals(self.engines[0], cold_at)
        self.stop_callers()
        self.assert_within_bound(self.engines[0], cold_at + 0.1)
        self.assertEqual({200}, set(self.statuses))

    def test_request_in_flight_stays_as_its_engine_becomes_cold(self) -> None:
        engine = self.engines[0]
        for one in self.engines:
            one.behaviour = ReplicaBehaviour(events=40, event_s=0.1)
        with ThreadPoolExecutor(8) as executor:
            answers = [
                executor.submit(self.rig.ask, "gateway-0", "/stream/x", f"long-{n}", tokens=True)
                for n in range(8)
            ]
            wait_until(lambda: engine.running, "a request runs there")
            self.make_cold(engine)
            self.assertEqual({200}, {answer.result().status for answer in answers})
        self.assertTrue(all(run.finished for run in engine.runs))

    def test_engine_that_becomes_cold_after_the_choice_gets_nothing(self) -> None:
        """Guards against a choice that is older than what the gateway knows as it sends."""
        self.make_cold(self.engines[0])
        gateway = self.rig.gateways["gateway-0"]
        chosen = [gateway._table.get(engine.id) for engine in self.engines]

        def choose(service, prompt, excluded):
            return next(replica for replica in chosen if replica.id not in excluded)

        with (
            mock.patch.object(gateway._router, "choose", choose),
            mock.patch.object(gateway._queue, "wait_for_slot", lambda *_: None),
        ):
            self.assertEqual(200, self.ask("gateway-0", "late").status)
        self.assertEqual([0, 1], [len(engine.runs_of("late")) for engine in self.engines])

    def test_killed_allocator_is_followed_after_its_grants_have_left_the_windows(self) -> None:
        allocator = self.wait_until_an_allocator_may_grant()
        cold_at = self.make_cold(self.engines[0])
        self.start_callers()
        self.wait_for_arrivals(self.engines[0], cold_at, 10)
        killed = threading.Thread(target=self.rig.gateways.pop(allocator).kill)
        killed.start()
        seen_by = [one.network for one in self.rig.gateways.values()]
        wait_until(
            lambda: any(allocator not in {m.name for m in one.gateways()} for one in seen_by),
            "its end is noticed",
        )
        noticed_at = time.monotonic()
        killed.join()
        self.wait_until_an_allocator_may_grant()
        self.wait_for_arrivals(self.engines[0], noticed_at + RANKED_FIRST_S, 20)
        self.stop_callers()
        # Requests whose grants were on their way arrive within half a second.
        later = self.arrivals(self.engines[0], noticed_at + DELAY_SPREAD_S)
        self.assertGreaterEqual(later[0], noticed_at + RANKED_FIRST_S - CHECK_DELAY_S)
        self.assert_within_bound(self.engines[0], cold_at + 0.1)

    def test_halves_of_a_partition_stay_within_the_bound_together(self) -> None:
        """Guards against two allocators that each grant the whole bound."""
        self.wait_until_an_allocator_may_grant()
        self.rig.cut_zone("zone-b")
        granting = lambda: sum(  # noqa: E731
            bool(one._cold_watch._granting) for one in self.rig.gateways.values()
        )
        wait_until(lambda: granting() == 2, "both halves have an allocator that may grant")
        cold_at = self.make_cold(self.engines[0])
        self.start_callers()
        self.wait_for_arrivals(self.engines[0], cold_at, 100)
        self.stop_callers()
        self.assert_within_bound(self.engines[0], cold_at)


class CutOffTest(ColdFleetCase):
    """A gateway without a link to the allocator."""

    def setUp(self) -> None:
        super().setUp()
        allocator = self.wait_until_an_allocator_may_grant()
        self.cut = next(name for name in self.rig.gateways if name != allocator)
        nodes = self.rig.gateways
        endpoints = {name: one.network.membership.local().peer for name, one in nodes.items()}
        for name, node in nodes.items():
            blocked = (
                frozenset(endpoints.values()) - {endpoints[name]}
                if name == self.cut
                else frozenset({endpoints[self.cut]})
            )
            node.network.client._link_filter.set_blocked(blocked)

    def wait_until_alone(self) -> None:
        wait_until(
            lambda: len(self.rig.gateways[self.cut].network.gateways()) == 1, "it sees no other one"
        )

    def test_it_sends_nothing_to_cold_engines(self) -> None:
        """Guards against a gateway that chooses by itself, or grants to itself when it is alone."""
        self.make_cold(self.engines[0])
        self.start_callers(self.cut)
        self.wait_until_alone()
        answered = len(self.statuses)
        wait_until(lambda: len(self.statuses) > answered + 300, "300 more answers")
        self.stop_callers()
        self.assertEqual({200}, set(self.statuses))
        runs = [run for run in self.engines[0].runs if run.request_id.startswith(self.cut)]
        self.assertEqual([], runs)

    def test_request_is_refused_if_only_cold_engines_are_left(self) -> None:
        self.make_cold(*self.engines)
        for request_id in ("before", "alone"):
            answer = self.ask(self.cut, request_id, deadline_ms=2000)
            self.assertEqual(503, answer.status)
            self.assertIn("cold", answer.data.decode())
            self.assertEqual([], [run for one in self.engines for run in one.runs_of(request_id)])
            self.wait_until_alone()


class ItemTest(ColdFleetCase):
    """Batch items while all engines are cold."""

    GATEWAYS = 2
    STORAGE = 3
    ROUTES = (*ROUTES, JOBS)

    def test_items_run_by_grants(self) -> None:
        """Guards against items that no window counts, and against items that never run."""
        self.wait_until_an_allocator_may_grant()
        cold_at = self.make_cold(*self.engines)
        self.rig.submit("gateway-0", "job", 30)
        results = self.rig.wait_results("gateway-1", "job", 30)
        self.assertEqual({"succeeded"}, {one["state"] for one in results})
        for engine in self.engines:
            self.assertGreater(len(self.arrivals(engine, cold_at)), 0)
            self.assert_within_bound(engine, cold_at, BOUND // 2)
