"""Evacuation of a zone in a fleet: from the operator's write to the arrivals at the replicas."""

from __future__ import annotations

import itertools
import threading
import time
import unittest
from concurrent.futures import Future, ThreadPoolExecutor
from unittest import mock

from fleet_rig import FleetRig, wait_until
from quaymill.connection.object_store import ObjectKind, StoreRefused
from quaymill.platform.object_store import PlatformObjectStore
from quaymill.process.gateway_node import GatewayNode
from quaymill.process.replica_set import online_queue
from quaymill.process.serving_settings import Bounds
from quaymill_standins.fleet_replica import FleetReplica, ReplicaBehaviour, ReplicaRun, event_bytes
from quaymill_standins.fleet_store import FleetStoreFaults

KIND = "evacuations"
_LIST = PlatformObjectStore.list
BOUND_S = 5.0
BOUNDS = Bounds(leave_s=0.3, grace_s=6.0, evacuation_ms=BOUND_S * 1000)
LATER_REQUESTS = 20
"""Requests that each sender completes before a zone counts as left alone."""
SENT_S = 8.0


class EvacuationCase(unittest.TestCase):
    """A fleet with one engine in each of its zones."""

    def start(self, bounds: Bounds = BOUNDS, **fields: object) -> FleetRig:
        self.rig = FleetRig(bounds=bounds, **fields).start()
        self.addCleanup(self.rig.stop)
        return self.rig

    def evacuate(self, *zones: str) -> None:
        """Request the evacuation of zones, and wait until every gateway knows of it."""
        for zone in zones:
            self.rig.store.put(KIND, zone, {})
        self.wait_for_zones(*zones)

    def wait_for_zones(self, *zones: str) -> None:
        expected = frozenset(zones)
        wait_until(
            lambda: all(one.evacuations.zones == expected for one in self.rig.gateways.values()),
            f"all gateways know of the evacuation of {zones or 'no zone'}",
        )

    def replicas_in(self, zone: str) -> list[FleetReplica]:
        return [one for one in self.rig.replicas.values() if one.zone == zone]

    def runs_in(self, zone: str) -> list[ReplicaRun]:
        return [run for replica in self.replicas_in(zone) for run in list(replica.runs)]

    def stream(self, gateway: str, request_id: str, path: str = "/stream/x") -> int:
        return self.rig.ask(gateway, path, request_id, tokens=True, timeout_s=SENT_S * 2).status


class Senders:
    """Threads that send one request after the other until they are stopped.

    Attributes
    ----------
    statuses
        Statuses of the answers, by thread.
    """

    def __init__(self, case: EvacuationCase) -> None:
        self._rig = case.rig
        self._stopping = threading.Event()
        self.statuses: dict[tuple[str, str], list[int]] = {}
        self._threads = []
        for gateway, path in itertools.product(self._rig.gateways, ("/stream/x", "/read/x")):
            self.statuses[gateway, path] = []
            self._threads.append(threading.Thread(target=self._run, args=(gateway, path)))
        case.addCleanup(self.stop)
        for thread in self._threads:
            thread.start()

    def _run(self, gateway: str, path: str) -> None:
        answered = self.statuses[gateway, path]
        while not self._stopping.is_set():
            request_id = f"{gateway}{path}{len(answered)}".replace("/", "-")
            tokens = path.startswith("/stream")
            answered.append(self._rig.ask(gateway, path, request_id, tokens=tokens).status)

    def wait_for_more(self) -> None:
        """Wait until each thread has completed some further requests."""
        counts = {key: len(answered) for key, answered in self.statuses.items()}
        wait_until(
            lambda: all(
                len(answered) >= counts[key] + LATER_REQUESTS
                for key, answered in self.statuses.items()
            ),
            "further requests are answered",
        )

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()


class WholePathTest(EvacuationCase):
    """All kinds of requests through all gateways while a zone is evacuated."""

    def test_from_the_operators_write_to_the_last_arrival(self) -> None:
        rig = self.start(gateways=3, engines=3)
        senders = Senders(self)
        self.submit_until_items_run_in("zone-b")
        rig.store.put(KIND, "zone-b", {})
        written = time.monotonic()
        self.wait_for_zones("zone-b")
        senders.wait_for_more()  # Requests that were being sent have arrived now.
        arrived = len(self.runs_in("zone-b"))
        rig.submit("gateway-0", "job-later", items=40)
        rig.wait_results("gateway-0", "job-later", 40)
        senders.wait_for_more()
        self.assertEqual(arrived, len(self.runs_in("zone-b")))
        last_s = max(run.started_s for run in self.runs_in("zone-b")) - written
        self.assertLess(last_s, BOUND_S)
        metrics = rig.gateways["gateway-0"]._metrics.registry
        self.assertEqual(1, metrics.get_sample_value("quaymill_zones_evacuated"))
        states = [
            metrics.get_sample_value("quaymill_replicas", {"state": state})
            for state in ("evacuated", "leaving")
        ]
        self.assertEqual([len(self.replicas_in("zone-b")), 0], states)
        rig.store.remove(KIND, "zone-b")
        wait_until(lambda: len(self.runs_in("zone-b")) > arrived, "the zone is used again")
        senders.stop()
        statuses = {status for answered in senders.statuses.values() for status in answered}
        self.assertEqual({200}, statuses)

    def submit_until_items_run_in(self, zone: str) -> None:
        """Submit jobs until an item runs in a zone, so that the check of items proves something."""
        for number in range(20):
            self.assertLess(self.rig.submit("gateway-0", f"job-{number}", items=20).status, 300)
            self.rig.wait_results("gateway-0", f"job-{number}", 20)
            if any("-item-" in run.request_id for run in self.runs_in(zone)):
                return
        self.fail(f"no item ran in {zone}")

    def test_deployment_without_the_bound_knows_no_evacuations(self) -> None:
        rig = self.start(Bounds(leave_s=0.3, grace_s=6.0), gateways=2, storage=0)
        rig.store.put(KIND, "zone-a", {})
        rig.configure(2)
        for index in range(10):
            self.assertEqual(200, self.stream("gateway-0", f"r{index}"))
        self.assertTrue(self.runs_in("zone-a"))
        for gateway in rig.gateways.values():
            self.assertEqual(0, gateway.network.membership.local().evacuations_revision)


class StoreTest(EvacuationCase):
    """What the store may do to the list."""

    def setUp(self) -> None:
        self.start(gateways=2, storage=0, engines=3)

    def test_list_is_right_after_the_store_has_lost_its_history(self) -> None:
        self.rig.store.put(KIND, "zone-b", {})
        self.rig.store.put(KIND, "zone-c", {})
        self.rig.store.remove(KIND, "zone-c")
        self.rig.store.forget_history()
        self.wait_for_zones("zone-b")

    def test_unreadable_object_beside_a_good_one_and_an_unknown_zone(self) -> None:
        self.rig.store.put(KIND, "zone-b", {})
        self.rig.store.put(KIND, "zone-x", {})
        self.rig.store.put(KIND, "zone-c", {})
        self.rig.store.read(KIND, "zone-c")["metadata"]["revision"] = "not a number"
        self.wait_for_zones("zone-b", "zone-c", "zone-x")
        for index in range(10):
            self.assertEqual(200, self.stream("gateway-1", f"r{index}"))
        self.assertEqual([], self.runs_in("zone-b") + self.runs_in("zone-c"))

    def test_withdrawn_and_requested_again_in_quick_succession(self) -> None:
        for _ in range(5):
            self.rig.store.put(KIND, "zone-b", {})
            self.rig.store.remove(KIND, "zone-b")
        self.evacuate("zone-b")
        for _ in range(5):
            self.rig.store.remove(KIND, "zone-b")
            self.rig.store.put(KIND, "zone-b", {})
        self.rig.store.put(KIND, "zone-c", {})  # Shows that this state has been read.
        self.wait_for_zones("zone-b", "zone-c")
        wait_until(
            lambda: len({one.evacuations.revision for one in self.rig.gateways.values()}) == 1,
            "the gateways have the same revision, and exchange nothing",
        )

    def test_gateway_restarted_with_the_store_down_sends_nothing_before_it_knows(self) -> None:
        self.evacuate("zone-b")
        self.rig.gateways.pop("gateway-1").kill()
        knowing = self.rig.gateways["gateway-0"]
        link = knowing.network.client._link_filter
        settings = self.rig.settings["gateway-1"]
        peer = knowing.network.membership.local().peer
        link.set_blocked(frozenset({type(peer)(settings.address, peer.port)}))
        self.rig.store.faults = FleetStoreFaults(down=True)
        restarted = self.rig.start_gateway("gateway-1", settings.zone)
        # Fails to read the store several times.
        calls = self.rig.store.calls["GET"]
        wait_until(lambda: self.rig.store.calls["GET"] > calls + 4, "it tries to read the store")
        self.assertEqual(503, self.rig.get("gateway-1", "/v1/ready", port=self.ready_port).status)
        self.assertEqual(503, self.stream("gateway-1", "early"))
        early = [run for one in self.rig.replicas.values() for run in one.runs_of("early")]
        self.assertEqual([], early)
        link.set_blocked(frozenset())
        wait_until(lambda: restarted.control.ready, "it has learned from its peer")
        self.assertEqual(frozenset({"zone-b"}), restarted.evacuations.zones)
        for index in range(10):
            self.assertEqual(200, self.stream("gateway-1", f"r{index}"))
        self.assertEqual([], self.runs_in("zone-b"))

    @property
    def ready_port(self) -> int:
        return self.rig.ports("gateway-1")[1]


class NoReplicaLeftTest(EvacuationCase):
    """All zones of the engines are evacuated."""

    def setUp(self) -> None:
        self.start(gateways=2, engines=2)

    def test_online_requests_and_queued_ones_are_refused_and_running_ones_end(self) -> None:
        # Both engines are full; the requests beyond their slots wait in a queue. Earlier requests
        # have shown the gateways a short service time, and that the allocator has a queue.
        for index in range(6):
            self.assertEqual(200, self.ask(f"first-{index}").status)
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(event_s=0.5, events=10)
        # Queued requests do not look for themselves, so only the news of the evacuation ends them.
        for interval in ("RECHECK_INTERVAL_S", "SLOT_REQUEST_INTERVAL_S"):
            patch = mock.patch.object(online_queue, interval, 60.0)
            patch.start()
            self.addCleanup(patch.stop)
        with ThreadPoolExecutor(20) as executor:
            # One after the other: requests that are placed at the same time may share a slot and
            # leave another one free.
            running = []
            for count in range(1, 9):
                running.append(executor.submit(self.ask, f"running-{count}"))
                wait_until(lambda count=count: self.started("running") == count, "it runs")
                wait_until(lambda count=count: self.counted_by_allocators() == count, "counted")
            queued = [executor.submit(self.ask, f"queued-{index}") for index in range(6)]
            wait_until(
                lambda: sum(one._queue.waiting_requests for one in self.rig.gateways.values()) == 6,
                "the others wait",
            )
            self.evacuate("zone-a", "zone-b")
            new = executor.submit(self.ask, "new")
            self.check_refused(*queued, new)
            self.assertFalse(any(one.done() for one in running))
            self.assertEqual([200] * 8, [one.result().status for one in running])
        self.assertEqual(0, self.started("queued") + self.started("new"))

    def counted_by_allocators(self) -> int:
        counts = [
            counts
            for gateway in self.rig.gateways.values()
            for counts in list(gateway._slot_allocator._counts_by_pool.values())
        ]
        return max((sum(one.online.values()) for one in counts), default=0)

    def check_refused(self, *answers: Future) -> None:
        for answer in answers:
            answered = answer.result()
            self.assertEqual(503, answered.status)
            self.assertIn(b"evacuated", answered.data)
            self.assertGreater(float(answered.headers["Retry-After"]), 0.0)

    def ask(self, request_id: str) -> object:
        gateway = f"gateway-{sum(request_id.encode()) % 2}"
        return self.rig.ask(gateway, "/stream/x", request_id, tokens=True)

    def started(self, prefix: str) -> int:
        runs = [run for one in self.rig.of_service("engine") for run in list(one.runs)]
        return sum(run.request_id.startswith(prefix) for run in runs)

    def test_items_wait_and_go_on_after_the_end(self) -> None:
        self.evacuate("zone-a", "zone-b")
        self.assertLess(self.rig.submit("gateway-0", "job-1", items=3).status, 300)
        coordinator = self.rig.gateways["gateway-0"].coordinator
        wait_until(lambda: coordinator.open_jobs(), "the job is open")
        # Online requests are refused in the meantime, so time passes for the items, too.
        for index in range(10):
            self.assertEqual(503, self.stream("gateway-0", f"r{index}"))
        self.assertEqual(0, self.started("job-1"))
        self.rig.store.remove(KIND, "zone-a")
        results = self.rig.wait_results("gateway-0", "job-1", 3)
        self.assertEqual(3, len(results))
        self.assertEqual(0, len(self.runs_in("zone-b")))


class UnknownSetTest(EvacuationCase):
    """A gateway has everything but the set, as the store refuses to list it."""

    def test_items_of_an_adopted_job_wait_until_the_set_is_known(self) -> None:
        rig = self.start(gateways=1, engines=2)
        for replica in rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(event_s=0.3)
        self.assertLess(rig.submit("gateway-0", "job-1", items=20).status, 300)
        wait_until(self.item_runs, "items run")
        rig.gateways["gateway-0"].kill()
        refused = mock.patch.object(PlatformObjectStore, "list", _list_without_evacuations)
        with refused:
            restarted = rig.start_gateway("gateway-0", "zone-a")
            wait_until(restarted.coordinator.open_jobs, "the job is adopted")
            wait_until(lambda: restarted.control.routes.version, "the configuration is known")
            wait_until(lambda: restarted._table.entries(), "the replicas are known")
            runs = self.item_runs()
            calls = rig.store.calls["GET"]
            wait_until(lambda: rig.store.calls["GET"] > calls + 10, "the store is read repeatedly")
            self.assertEqual(runs, self.item_runs())
        self.assertEqual(20, len(rig.wait_results("gateway-0", "job-1", 20)))

    def item_runs(self) -> int:
        return sum(len(replica.runs) for replica in self.rig.of_service("engine"))


def _list_without_evacuations(store: PlatformObjectStore, kind: ObjectKind) -> object:
    if kind is ObjectKind.EVACUATIONS:
        return StoreRefused("the store answered 503")
    return _LIST(store, kind)


class RetryTest(EvacuationCase):
    """An attempt that ends while another zone is evacuated."""

    def setUp(self) -> None:
        self.start(gateways=2, storage=0, engines=3)

    def test_resumed_streams_go_to_the_zone_that_is_left(self) -> None:
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(event_s=0.2, events=15)
        with ThreadPoolExecutor(9) as executor:
            answers = {
                f"r{index}": executor.submit(self.resumable, f"r{index}") for index in range(9)
            }
            wait_until(lambda: self.begun() == 9, "all streams have begun")
            self.evacuate("zone-b")
            arrived = len(self.runs_in("zone-b"))
            (engine,) = [one for one in self.rig.of_service("engine") if one.zone == "zone-a"]
            broken = len(engine.runs)
            self.assertGreater(broken, 1)
            engine.crash()
            for request_id, answer in answers.items():
                self.assertEqual(200, answer.result().status)
                expected = b"".join(event_bytes(request_id, n) for n in range(1, 16))
                self.assertEqual(expected, answer.result().data)
        self.assertEqual(arrived, len(self.runs_in("zone-b")))
        resumed = [run for run in self.runs_in("zone-c") if run.after_event]
        self.assertEqual(broken, len(resumed))

    def test_retries_go_to_the_zone_that_is_left(self) -> None:
        # Both other zones fail at first, so that the evacuated one would be the next to be tried.
        self.evacuate("zone-b")
        for replica in self.replicas_in("zone-a") + self.replicas_in("zone-c"):
            replica.behaviour = ReplicaBehaviour(shed=True)
        answered = self.rig.ask("gateway-0", "/stream/x", "r", tokens=True)
        self.assertEqual(503, answered.status)
        self.assertEqual([], self.runs_in("zone-b"))

    def resumable(self, request_id: str) -> object:
        return self.rig.ask("gateway-0", "/resumable/x", request_id, tokens=True, deadline_ms=15000)

    def begun(self) -> int:
        runs = [run for one in self.rig.of_service("engine") for run in list(one.runs)]
        return sum(run.events_made > 0 for run in runs)


class UnequalSetsTest(EvacuationCase):
    """Two gateways, one of which allocates the engines' slots, know different sets.

    The deployment has no bound, so that the sets of the test stay as they are.
    """

    def setUp(self) -> None:
        self.start(Bounds(leave_s=0.3, grace_s=6.0), gateways=2, engines=2)
        names = list(self.rig.gateways)
        allocator = self.rig.gateways[names[0]]._online_reporter._allocator_choice.allocator_of(
            "engine", 0
        )
        self.allocator = allocator.name
        (self.other,) = set(names) - {self.allocator}

    def evacuate_at(self, gateway: str) -> GatewayNode:
        node = self.rig.gateways[gateway]
        node.evacuations.apply({"zone-b"}, 1_000_000, "test")
        return node

    def send_many(self, gateway: str) -> None:
        with ThreadPoolExecutor(16) as executor:
            sent = [executor.submit(self.stream, gateway, f"r{index}") for index in range(40)]
            self.assertEqual({200}, {one.result() for one in sent})

    def test_gateway_with_the_newer_set_uses_no_grant_of_the_allocator(self) -> None:
        self.evacuate_at(self.other)
        self.send_many(self.other)
        self.assertEqual([], self.runs_in("zone-b"))
        self.run_job()
        self.assertEqual([], self.runs_in("zone-b"))

    def test_allocator_with_the_newer_set_grants_elsewhere(self) -> None:
        self.evacuate_at(self.allocator)
        self.send_many(self.allocator)
        self.assertEqual([], self.runs_in("zone-b"))
        # The other gateway may still choose the zone itself, but is not granted anything there.
        self.run_job()
        items = [run for run in self.runs_in("zone-b") if "job-1" in run.request_id]
        self.assertEqual([], items)

    def run_job(self) -> None:
        self.assertLess(self.rig.submit(self.other, "job-1", items=20).status, 300)
        self.rig.wait_results(self.other, "job-1", 20)
