"""Accepted jobs must survive the loss or isolation of a zone.

There are two zones of three storage nodes. The jobs of these tests would have all copies in one
zone if the ranking ignored zones.
"""

from __future__ import annotations

import itertools
import json
import threading
import time
import unittest
from typing import Any
from unittest import mock

import attrs
import msgspec

from fleet_rig import FleetRig, wait_until
from quaymill.connection.job_document import JobResult, ResultState
from quaymill.connection.job_storage_messages import KeyedResult, ResultKey
from quaymill.process.job_copies import CopyRules
from quaymill.process.jobs import result_publisher as result_publisher_module
from quaymill.process.jobs import storage_client as storage_client_module
from quaymill.process.jobs.coordinated_job import CoordinatedJob
from quaymill.process.membership.ranking import rank_nodes
from quaymill_bench.fleet_world import item_id
from quaymill_standins.fleet_replica import ReplicaBehaviour

ZONES = ("zone-a", "zone-b")
LOST_ZONE = ZONES[0]
RULES = CopyRules(2, zones=2)
ACCEPTED_WITHIN_S = 0.8
"""Time within which a client must learn that its job is accepted."""
VISIBLE_WITHIN_S = 1.0
"""Time after which a position that was read must be visible at every gateway."""
DETECTED_WITHIN_S = 10.0
"""Time within which isolated nodes are detected as dead, and later as alive again."""


class ZoneCase(unittest.TestCase):
    """Base of the tests: gateway 0 and half of the storage nodes are in the lost zone."""

    SETTINGS = {"zones_lost_at_once": 1}

    def setUp(self) -> None:
        self.rig = FleetRig(2, 6, 2, zones=ZONES, **self.SETTINGS).start()
        self.addCleanup(self.rig.stop)

    def nodes(self, zone: str) -> list[str]:
        return [name for name in self.rig.storage if self.rig.settings[name].zone == zone]

    def members(self) -> list:
        return [node.network.membership.local() for node in self.rig.storage.values()]

    def job_in_one_zone(self, zone: str = LOST_ZONE) -> str:
        """Return the id of a job whose copies would all be in one zone if zones were ignored."""
        for number in itertools.count():
            ranked = rank_nodes(f"job-{number}", self.members())
            if {member.zone for member in ranked[: RULES.kept]} == {zone}:
                return f"job-{number}"
        raise AssertionError("unreachable")

    def slow_engines(self, event_s: float = 0.1, events: int = 10) -> None:
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(event_s=event_s, events=events)

    def runs(self) -> int:
        return sum(len(replica.runs) for replica in self.rig.replicas.values())

    def read_all(self, gateway: str, job_id: str, count: int) -> list[dict]:
        """Read pages until there are ``count`` results, and return these."""
        results: list[dict] = []

        def read_one() -> bool:
            answer = self.rig.read_results(gateway, job_id, len(results))
            if answer.status == 200:
                results.extend(json.loads(answer.data)["results"])
            return len(results) >= count

        wait_until(read_one, f"{count} results of {job_id} at {gateway}")
        return results

    def holders(self, job_id: str) -> set[str]:
        return {name for name, node in self.rig.storage.items() if job_id in node._database.by_id}

    def wait_until_copied(self, job_id: str) -> None:
        """Wait until each holder of a job has the job with all its results."""

        def is_copied() -> bool:
            names = {member.name for member in RULES.holders(job_id, self.members())}
            if not names <= self.holders(job_id):
                return False
            records = [self.rig.storage[name]._database.by_id[job_id] for name in names]
            everywhere = [self.rig.storage[name] for name in self.holders(job_id)]
            most = {node._database.by_id[job_id].results.digest for node in everywhere}
            return {one.results.digest for one in records} == most and len(most) == 1

        wait_until(is_copied, f"copies of {job_id} lie in both zones")

    def wait_until_isolated(self) -> None:
        """Wait until each side has detected that the other one is unreachable."""
        nodes = [*self.rig.gateways.values(), *self.rig.storage.values()]
        wait_until(
            lambda: all(len(node.network.storage_nodes()) == 3 for node in nodes),
            "each side knows only its own storage nodes",
        )

    def wait_until_reunited(self) -> None:
        nodes = [*self.rig.gateways.values(), *self.rig.storage.values()]
        wait_until(
            lambda: all(len(node.network.storage_nodes()) == 6 for node in nodes),
            "all storage nodes are known again",
        )


class LostZoneTest(ZoneCase):
    """All processes and disks of a zone are lost."""

    def lose_zone(self) -> None:
        # Isolated first, so that nothing that the nodes send while stopping arrives.
        self.rig.cut_zone(LOST_ZONE)
        self.rig.gateways.pop("gateway-0").kill()
        for name in self.nodes(LOST_ZONE):
            self.rig.storage.pop(name).stop()
            self.rig.wipe(name)
        self.rig.heal()

    def test_accepted_jobs_continue_and_results_keep_their_positions(self) -> None:
        self.slow_engines()
        job_id = self.job_in_one_zone()
        self.assertEqual(202, self.rig.submit("gateway-0", job_id, 8).status)
        before = self.rig.wait_results("gateway-1", job_id, 2)
        self.lose_zone()
        after = self.rig.wait_results("gateway-1", job_id, 8)
        self.assertEqual(before, after[: len(before)])
        self.assertEqual(8, len({result["id"] for result in after}))

    def test_ended_job_does_not_run_again(self) -> None:
        self.slow_engines(0.3)
        job_id = self.job_in_one_zone()
        self.assertEqual(202, self.rig.submit("gateway-0", job_id, 8).status)
        wait_until(self.runs, "an item runs")
        self.assertEqual(200, self.rig.call("gateway-0", "DELETE", f"/v1/lots/{job_id}").status)
        self.lose_zone()
        runs = self.runs()
        time.sleep(4.0)
        self.assertEqual(runs, self.runs())

    def test_zone_that_returns_without_data_gets_its_copies(self) -> None:
        job_id = self.job_in_one_zone()
        self.rig.submit("gateway-0", job_id, 3)
        results = self.rig.wait_results("gateway-1", job_id, 3)
        lost = self.nodes(LOST_ZONE)
        self.lose_zone()
        for name in lost:
            self.rig.start_storage(name, LOST_ZONE)
        self.rig.start_gateway("gateway-0", LOST_ZONE)
        self.wait_until_reunited()
        self.wait_until_copied(job_id)
        for name in self.nodes(ZONES[1]):
            self.rig.storage.pop(name).stop()
        self.assertEqual(results, self.rig.wait_results("gateway-0", job_id, 3))


class IsolatedZoneTest(ZoneCase):
    """A zone is isolated from the other; store, engines and clients reach both sides."""

    def test_job_and_its_results_are_readable_on_both_sides(self) -> None:
        self.slow_engines()
        job_id = self.job_in_one_zone()
        self.rig.submit("gateway-0", job_id, 8)
        before = self.rig.wait_results("gateway-1", job_id, 2)
        self.rig.cut_zone(LOST_ZONE)
        for gateway in self.rig.gateways:
            during = self.rig.wait_results(gateway, job_id, len(before))
            self.assertEqual(before, during[: len(before)])
        # The contents of results listed from now on are only on the coordinator's side.
        self.rig.wait_results("gateway-0", job_id, 8)
        self.wait_until_isolated()
        for gateway in self.rig.gateways:
            during = self.rig.wait_results(gateway, job_id, len(before))
            self.assertEqual(before, during[: len(before)])
        self.rig.heal()
        self.wait_until_reunited()
        pages = [self.read_all(gateway, job_id, 8) for gateway in self.rig.gateways]
        self.assertEqual(pages[0], pages[1])
        self.assertEqual(8, len({result["id"] for result in pages[0]}))
        self.wait_until_copied(job_id)

    def test_read_positions_are_never_reported_empty(self) -> None:
        """Both sides run the job and list results; 503 is allowed for results out of reach."""
        self.slow_engines(0.2)
        job_id = self.job_in_one_zone()
        self.rig.submit("gateway-0", job_id, 24)
        self.rig.wait_results("gateway-1", job_id, 1)
        self.rig.cut_zone(LOST_ZONE)
        read_at_by_count: dict[int, float] = {}
        seen_by_gateway: dict[str, int] = {}
        began = time.monotonic()
        while time.monotonic() - began < DETECTED_WITHIN_S + 5.0:
            for gateway in self.rig.gateways:
                sent_at = time.monotonic()
                due = [
                    one for one, at in read_at_by_count.items() if sent_at - at > VISIBLE_WITHIN_S
                ]
                since = max(due, default=1) - 1
                answer = self.rig.read_results(gateway, job_id, since)
                self.assertIn(answer.status, (200, 503))
                if answer.status == 200:
                    results = json.loads(answer.data)["results"]
                    self.assertTrue(results, f"{gateway}: position {since} is reported empty")
                    read_at_by_count.setdefault(since + len(results), time.monotonic())
                    seen_by_gateway[gateway] = since + len(results)
        self.assertEqual(24, max(seen_by_gateway.values()))
        self.rig.heal()
        for gateway in self.rig.gateways:
            results = self.read_all(gateway, job_id, 24)
            self.assertEqual(24, len({result["id"] for result in results}))

    def test_job_is_not_left_to_a_coordinator_beyond_the_partition(self) -> None:
        """Guards against results that stop short: those of the other side cannot be read here."""
        self.slow_engines()
        job_id = self.job_in_one_zone()
        self.rig.submit("gateway-0", job_id, 24)
        self.rig.wait_results("gateway-1", job_id, 1)
        coordinated = self.rig.gateways["gateway-0"].coordinator.get(job_id)
        other = self.rig.gateways["gateway-1"].coordinator
        other._dispatcher.stop()  # Otherwise it may list items before this side does.
        self.rig.cut_zone(LOST_ZONE)
        self.assertTrue(other.adopt(coordinated.job))
        wait_until(
            lambda: coordinated.listing.document.coordinator == other.name,
            "the former coordinator knows of the takeover",
        )
        self.rig.wait_results("gateway-0", job_id, 24)
        self.assertFalse(coordinated.yielded)

    def adopt_beyond_the_partition(self, job_id: str) -> CoordinatedJob:
        """Let the other side adopt a job, and try to list a result after this side has.

        Returns the job as the other side coordinates it.
        """
        self.slow_engines(0.2)
        self.rig.submit("gateway-0", job_id, 24)
        self.rig.wait_results("gateway-1", job_id, 1)
        coordinated = self.rig.gateways["gateway-0"].coordinator.get(job_id)
        node = self.rig.gateways["gateway-1"]
        last = coordinated.items[-1]
        result = JobResult(last.item.id, ResultState.SUCCEEDED, "from beyond the partition")
        listed_there = threading.Event()
        store_results = node.coordinator._publisher._parts.storage.store_results

        def store_later(*arguments: Any) -> bool:
            listed_there.wait(10.0)
            return store_results(*arguments)

        publisher = node.coordinator._publisher
        publisher._parts = attrs.evolve(
            publisher._parts, storage=mock.Mock(wraps=publisher._parts.storage)
        )
        publisher._parts.storage.store_results = store_later
        self.rig.cut_zone(LOST_ZONE)
        unlisted = [KeyedResult(ResultKey(last.index, "digest"), result)]
        self.assertTrue(node.coordinator.adopt(coordinated.job, unlisted=unlisted))
        adopted = node.coordinator.get(job_id)
        wait_until(lambda: adopted.listing.document.coordinator == node.coordinator.name, "taken")
        taken_at = adopted.listing.revision
        wait_until(
            lambda: (
                coordinated.listing.document.coordinator == coordinated.coordinator
                and coordinated.listing.revision > taken_at
            ),
            "the former coordinator has listed results since the takeover",
        )
        listed_there.set()
        return adopted

    def test_adopter_lists_nothing_while_the_former_coordinator_goes_on(self) -> None:
        """Guards against results of both sides in turn, so that neither side can read on."""
        job_id = self.job_in_one_zone()
        self.adopt_beyond_the_partition(job_id)
        results = self.rig.wait_results("gateway-0", job_id, 24)
        self.assertNotIn("from beyond the partition", json.dumps(results))

    def test_adopter_goes_on_once_the_former_coordinator_is_gone(self) -> None:
        with mock.patch.object(result_publisher_module, "PREDECESSOR_SILENCE_S", 0.5):
            job_id = self.job_in_one_zone()
            adopted = self.adopt_beyond_the_partition(job_id)
            wait_until(adopted.pause_left_s, "the adopter is paused")
            self.rig.gateways.pop("gateway-0").kill()
            wait_until(lambda: adopted.complete, "all results are listed")
        self.rig.heal()
        self.wait_until_reunited()
        results = self.read_all("gateway-1", job_id, 24)
        self.assertEqual(24, len({result["id"] for result in results}))

    def test_results_within_reach_are_delivered_although_later_ones_are_not(self) -> None:
        """Guards against a 503 for results whose contents are on this side."""
        self.slow_engines()
        for node in self.rig.storage.values():
            node._orphans.stop()  # Reads go to the storage nodes while nobody adopts the job.
        job_id = self.job_in_one_zone()
        self.rig.submit("gateway-0", job_id, 24)
        before = self.rig.wait_results("gateway-1", job_id, 2)
        self.rig.cut_zone(LOST_ZONE)
        self.rig.wait_results("gateway-0", job_id, len(before) + 8)
        answer = self.rig.read_results("gateway-1", job_id, 1)
        self.assertEqual(200, answer.status, answer.data)
        results = json.loads(answer.data)["results"]
        self.assertEqual(before[1:], results[: len(before) - 1])

    def test_each_side_accepts_in_time_and_copies_are_completed_afterwards(self) -> None:
        self.rig.submit("gateway-0", "before", 1)
        self.rig.cut_zone(LOST_ZONE)
        with mock.patch.object(storage_client_module, "log_message") as log:
            for gateway in self.rig.gateways:
                began = time.monotonic()
                self.assertEqual(202, self.rig.submit(gateway, f"at-{gateway}", 2).status)
                self.assertLess(time.monotonic() - began, ACCEPTED_WITHIN_S)
        kept = [call.kwargs for call in log.call_args_list if call.kwargs["message"] == "StoreJob"]
        self.assertLessEqual({"at-gateway-0", "at-gateway-1"}, {one["job"] for one in kept})
        self.assertEqual({1}, {len(one["zones"]) for one in kept})
        for gateway in self.rig.gateways:
            self.rig.wait_results(gateway, f"at-{gateway}", 2)
        self.wait_until_isolated()
        self.assertEqual(202, self.rig.submit("gateway-0", "later", 2).status)
        self.rig.heal()
        self.wait_until_reunited()
        for job_id in ("at-gateway-0", "at-gateway-1", "later"):
            self.wait_until_copied(job_id)
            for gateway in self.rig.gateways:
                self.rig.wait_results(gateway, job_id, 2)

    def test_end_is_acknowledged_only_once_both_sides_know_it(self) -> None:
        """The job's coordinator on the other side does not learn of the end and continues."""
        self.slow_engines(0.3)
        job_id = self.job_in_one_zone()
        self.rig.submit("gateway-0", job_id, 40)
        wait_until(self.runs, "an item runs")
        self.rig.cut_zone(LOST_ZONE)
        self.wait_until_isolated()

        def end() -> int:
            return self.rig.call("gateway-1", "DELETE", f"/v1/lots/{job_id}").status

        self.assertEqual(503, end())
        self.rig.heal()
        self.wait_until_reunited()
        wait_until(lambda: end() == 200, "the end is acknowledged")
        coordinators = [gateway.coordinator for gateway in self.rig.gateways.values()]
        wait_until(
            lambda: not any(job_id in map(_id, one.open_jobs()) for one in coordinators),
            "both sides have stopped",
        )
        runs = self.runs()
        time.sleep(2.0)
        self.assertEqual(runs, self.runs())

    def test_listing_is_never_confirmed_by_one_side_alone(self) -> None:
        """Nodes that have been dead for long still count if they may be an isolated zone."""
        self.rig.cut_zone(LOST_ZONE)
        self.wait_until_isolated()
        network = self.rig.gateways["gateway-1"].network
        with mock.patch.object(type(network.membership), "dead_for_s", return_value=1000.0):
            self.assertEqual(6, len(network.result_holders()))
            self.assertEqual(0, len(network.recent_storage_nodes()))


class UpgradeTest(ZoneCase):
    """Processes that spread copies across zones must work with earlier ones that do not.

    Settings by which no zone may be lost stand for the earlier build.
    """

    SETTINGS = {"zones_lost_at_once": 0}

    def upgrade(self, *names: str) -> None:
        """Replace processes by ones that spread copies; disks and addresses are kept."""
        for name in names:
            settings = self.rig.settings[name]
            self.rig.settings[name] = msgspec.structs.replace(settings, zones_lost_at_once=1)
            if name in self.rig.gateways:
                former = self.rig.gateways.pop(name)
                former.stop()
                former.kill()
                self.rig.start_gateway(name, settings.zone)
            else:
                self.rig.storage.pop(name).stop()
                self.rig.start_storage(name, settings.zone)
        self.rig.wait_ready()

    def test_jobs_of_both_builds_are_found_adopted_ended_and_copied(self) -> None:
        self.slow_engines(0.15)
        by_old = self.job_in_one_zone()
        by_new = self.job_in_one_zone(ZONES[1])
        # One storage node in each zone and one gateway are of the later build.
        self.upgrade("storage-0", "storage-1", "gateway-1")
        self.assertEqual(202, self.rig.submit("gateway-0", by_old, 8).status)
        self.assertEqual(202, self.rig.submit("gateway-1", by_new, 8).status)
        ended = f"ended-{by_old}"
        self.rig.submit("gateway-0", ended, 60)
        self.assertEqual(200, self.rig.call("gateway-1", "DELETE", f"/v1/lots/{ended}").status)
        for gateway, job_id in itertools.product(self.rig.gateways, (by_old, by_new)):
            self.rig.wait_results(gateway, job_id, 1)
        # The coordinator of each build is killed; a gateway of the other build continues.
        for victim, other, job_id in (
            ("gateway-0", "gateway-1", by_old),
            ("gateway-1", "gateway-0", by_new),
        ):
            self.rig.gateways.pop(victim).kill()
            results = self.rig.wait_results(other, job_id, 8)
            self.assertEqual(8, len({result["id"] for result in results}))
            self.rig.start_gateway(victim, self.rig.settings[victim].zone)
            self.rig.wait_ready()
        # Losing a disk during the upgrade must not lose data.
        self.rig.storage.pop("storage-2").stop()
        self.rig.wipe("storage-2")
        self.rig.start_storage("storage-2", LOST_ZONE)
        self.upgrade("gateway-0", "storage-2", "storage-3", "storage-4", "storage-5")
        for job_id in (by_old, by_new):
            self.wait_until_copied(job_id)
        for name in self.nodes(LOST_ZONE):
            self.rig.storage.pop(name).stop()
        for job_id in (by_old, by_new):
            self.rig.wait_results("gateway-1", job_id, 8)
        runs = [run for one in self.rig.replicas.values() for run in one.runs]
        self.assertNotIn(item_id(ended, 59), {run.request_id for run in runs})


def _id(job) -> str:
    return job.id


if __name__ == "__main__":
    unittest.main()
