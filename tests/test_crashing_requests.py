"""A request that crashes each replica that runs it is blocked at all gateways.

Guards against a caller that sends such a request repeatedly, with new ids and to any gateway, and
so crashes all replicas of a service.
"""

from __future__ import annotations

import itertools
import threading
import time
import unittest
from unittest import mock

from nose2.tools import params

from fleet_rig import FleetRig, wait_until
from quaymill import boot_clock
from quaymill.process.jobs.item_dispatcher import MAX_RETRY_PAUSE_S, RETRY_PAUSE_S
from quaymill_bench.fleet_world import item_id, whole_text
from quaymill_standins.fleet_replica import FleetReplica, ReplicaBehaviour, ReplicaRun

CRASHES_ALLOWED = 3
"""Replicas that a request may crash before it is blocked."""
RETRIES_ALLOWED = 3
"""Runs that may start later than ``CRASH_KNOWN_AFTER_S`` after the third crash."""
CRASH_KNOWN_AFTER_S = 3.0
"""Time within which all gateways must know of a crash."""
REPLACED_AFTER_S = 0.3
REPEATED_REQUESTS = 10
SUFFIX = "crash"
CRASHING = ReplicaBehaviour(crash_suffix=SUFFIX)


class CrashRig(FleetRig):
    """A fleet whose crashed replicas are replaced after a short time, with new ids."""

    def __init__(self, gateways: int = 3, storage: int = 0, engines: int = 5) -> None:
        super().__init__(gateways, storage, engines)
        self.stopping = False
        self._numbers = itertools.count()

    def add_replica(self, service: str, zone: str, slots: int = 4) -> FleetReplica:
        """Start a replica that crashes when it runs certain requests, and list it."""
        name = f"{service}-{next(self._numbers)}"
        replica = FleetReplica(name, service, zone, slots, on_crash=self._replace)
        replica.behaviour = CRASHING
        replica.start()
        self.replicas[replica.id] = replica
        self.store.put("servers", replica.id, replica.entry())
        return replica

    def stop(self) -> None:
        """Stop the fleet and the replacement of replicas."""
        self.stopping = True
        super().stop()

    def count_crashes(self) -> int:
        """Return how many replicas have crashed."""
        return sum(replica.crashed for replica in list(self.replicas.values()))

    def crashing_runs(self) -> list[ReplicaRun]:
        """Return the runs of the requests that crash replicas, in the order of their start."""
        runs = [run for replica in list(self.replicas.values()) for run in replica.runs]
        crashing = [run for run in runs if run.target.endswith(SUFFIX)]
        return sorted(crashing, key=lambda run: run.started_s)

    def late_runs(self) -> list[ReplicaRun]:
        """Return the crashing runs that started after all gateways had to know of three crashes."""
        runs = self.crashing_runs()
        if len(runs) < CRASHES_ALLOWED:
            return []
        third_at = runs[CRASHES_ALLOWED - 1].started_s
        return [run for run in runs if run.started_s > third_at + CRASH_KNOWN_AFTER_S]

    def count_running(self, service: str) -> int:
        """Return how many replicas of a service are running."""
        return sum(not replica.crashed for replica in self.of_service(service))

    def _replace(self, replica: FleetReplica) -> None:
        def replace() -> None:
            self.store.remove("servers", replica.id)
            time.sleep(REPLACED_AFTER_S)
            if not self.stopping:
                self.add_replica(replica.service, replica.zone, replica.slots)

        threading.Thread(target=replace, daemon=True).start()


class CrashCase(unittest.TestCase):
    """A new fleet for each test."""

    GATEWAYS = 3
    STORAGE = 0
    ENGINES = 5

    def setUp(self) -> None:
        self.rig = CrashRig(self.GATEWAYS, self.STORAGE, self.ENGINES).start()
        self.addCleanup(self.rig.stop)

    def send(self, path: str, number: int, gateway: str = "") -> int:
        """Send the crashing request once more; return the status."""
        service = "engine" if "stream" in path or "resumable" in path else "application"
        listed = {"engine": self.ENGINES, "application": 2}[service]
        wait_until(
            lambda: self.rig.count_running(service) >= listed, f"all replicas of {service} serve"
        )
        gateway = gateway or f"gateway-{number % self.GATEWAYS}"
        wait_until(
            lambda: self.lists_running_replica(gateway, service), f"{gateway} lists {service}"
        )
        request_id = f"{path}-{number}"
        tokens = service == "engine"
        answer = self.rig.ask(gateway, f"{path}{SUFFIX}", request_id, b"one body", tokens=tokens)
        return answer.status

    def lists_running_replica(self, gateway: str, service: str) -> bool:
        """Return whether a gateway lists a running replica."""
        table = self.rig.gateways[gateway].control._table
        listed = {replica.id for replica in table.of_service(service) if not replica.leaving}
        return any(
            replica.id in listed and not replica.crashed for replica in self.rig.of_service(service)
        )

    def send_until_barred(self, path: str) -> int:
        """Send until the request has crashed three replicas, then wait ``CRASH_KNOWN_AFTER_S``."""
        number = 0
        while self.rig.count_crashes() < CRASHES_ALLOWED:
            number += 1
            self.assertLess(number, 2 * REPEATED_REQUESTS, "the request is not run at all")
            self.send(path, number)
        time.sleep(CRASH_KNOWN_AFTER_S)
        return number


class RepeatedRequestTest(CrashCase):
    """The same request is sent repeatedly with new ids, to every gateway."""

    @params("/stream/", "/resumable/", "/read/", "/write/")
    def test_request_is_blocked_by_every_gateway_after_three_crashes(self, path: str) -> None:
        sent = self.send_until_barred(path)
        for number in range(sent + 1, sent + 1 + REPEATED_REQUESTS):
            self.send(path, number)
        self.assertLessEqual(len(self.rig.late_runs()), RETRIES_ALLOWED)

    def test_blocked_request_is_refused_at_once_and_not_run(self) -> None:
        sent = self.send_until_barred("/write/")
        before = len(self.rig.crashing_runs())
        began = time.monotonic()
        status = self.rig.ask("gateway-0", f"/write/{SUFFIX}", f"late-{sent}", b"one body").status
        self.assertEqual(503, status)
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertEqual(before, len(self.rig.crashing_runs()))

    def test_request_is_blocked_by_a_gateway_that_starts_later(self) -> None:
        sent = self.send_until_barred("/stream/")
        self.rig.start_gateway("gateway-new", "zone-a")
        self.rig.wait_ready()
        time.sleep(CRASH_KNOWN_AFTER_S)
        for number in range(sent + 1, sent + 1 + REPEATED_REQUESTS):
            self.send("/stream/", number, "gateway-new")
        self.assertLessEqual(len(self.rig.late_runs()), RETRIES_ALLOWED)

    def test_request_is_blocked_after_all_gateways_were_killed(self) -> None:
        sent = self.send_until_barred("/stream/")
        for name in list(self.rig.gateways):
            self.rig.gateways[name].kill()
        for name in list(self.rig.gateways):
            self.rig.start_gateway(name, self.rig.settings[name].zone)
        self.rig.wait_ready()
        time.sleep(CRASH_KNOWN_AFTER_S)
        for number in range(sent + 1, sent + 1 + REPEATED_REQUESTS):
            self.send("/stream/", number)
        self.assertLessEqual(len(self.rig.late_runs()), RETRIES_ALLOWED)

    def test_other_requests_are_served_afterwards(self) -> None:
        """A request with the same path and another body is another content."""
        self.send_until_barred("/stream/")
        for number in range(REPEATED_REQUESTS):
            body = f"another body {number}".encode()
            answer = self.rig.ask(
                f"gateway-{number % 3}", "/stream/other", f"other-{number}", body, tokens=True
            )
            self.assertEqual(200, answer.status)


class CrashingItemTest(CrashCase):
    """A job item under which each engine crashes for a while."""

    STORAGE = 3

    def submit(self, job_id: str, items: int, path_suffix: str) -> None:
        accepted = self.rig.submit("gateway-0", job_id, items=items, path_suffix=path_suffix)
        self.assertEqual(202, accepted.status)

    def check_results(self, job_id: str, items: int) -> None:
        """Check that all items of a job succeed."""
        results = self.rig.wait_results("gateway-1", job_id, items)
        expected = {item_id(job_id, index) for index in range(items)}
        self.assertEqual(expected, {result["id"] for result in results})
        self.assertEqual(
            {whole_text(name) for name in expected}, {result["message"] for result in results}
        )

    def test_item_is_run_until_the_crashes_end_and_other_items_succeed(self) -> None:
        self.submit("job-sound", 4, "ok")
        self.submit("job-crash", 1, SUFFIX)
        wait_until(
            lambda: self.rig.count_crashes() >= CRASHES_ALLOWED + 2, "five engines have ended"
        )
        self.check_results("job-sound", 4)
        for replica in list(self.rig.replicas.values()):
            replica.behaviour = ReplicaBehaviour()
        with mock.patch(f"{__name__}.CRASHING", ReplicaBehaviour()):
            self.check_results("job-crash", 1)

    def test_pauses_between_runs_grow_while_engines_crash(self) -> None:
        """Guards against an item that ends all engines of a service within a second."""
        self.submit("job-crash", 1, SUFFIX)
        wait_until(lambda: len(self.rig.crashing_runs()) >= 5, "five runs of the item")
        starts = [run.started_s for run in self.rig.crashing_runs()]
        for run, (before, after) in enumerate(itertools.pairwise(starts)):
            least_s = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2**run)
            self.assertGreaterEqual(after - before, least_s)

    def test_crashes_under_an_item_count_against_no_request(self) -> None:
        """Guards against callers who are refused since items with the same content crashed."""
        self.submit("job-crash", 1, SUFFIX)
        wait_until(lambda: self.rig.count_crashes() > CRASHES_ALLOWED, "four engines have ended")
        for gateway in self.rig.gateways.values():
            self.assertEqual((), gateway._poison_records.records(boot_clock.now()))
