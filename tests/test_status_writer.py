"""Election of the status writer; an older writer never overwrites a newer status."""

from __future__ import annotations

import time
import unittest

import msgspec
from nose2.tools import params

from fleet_support import Fleet, PlatformCase, eventually, set_faults
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import MemberState
from quaymill.connection.platform_client import STATUS_NAME, STATUSES, PlatformClient
from quaymill.connection.platform_objects import PlatformUnavailable
from quaymill.process.configuration.editor import ConfigurationEditor
from quaymill.process.status.collector import _listed
from quaymill.process.status.service import StatusService, StatusTiming
from quaymill.process.status.status_writer import (
    StatusNotWritten,
    StatusSuperseded,
    StatusWriter,
)
from quaymill.process.status.writer_lease import WriterLease
from quaymill.version.edits import Edit, EditedCell, new_edit_id
from quaymill.version.status import (
    NodeStatus,
    ReplicaStatus,
    ServingStatus,
    StatusNote,
    StatusRows,
)

LEASE_S = 10.0
FAST = StatusTiming(
    check_interval_s=0.05,
    news_interval_s=0.1,
    load_interval_s=0.5,
    collect_interval_s=0.3,
    lease_duration_s=1.0,
)


class Clock:
    """Monotonic clock that a test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class AnswerLost(PlatformClient):
    """Creates objects, but reports their responses as lost."""

    def create(self, *arguments, **options):
        super().create(*arguments, **options)
        return PlatformUnavailable("answer lost", may_have_acted=True)


class LeaseTest(PlatformCase):
    """Two nodes compete for the lease, each with its own clock."""

    def setUp(self):
        super().setUp()
        self.clocks = Clock(), Clock()
        self.first, self.second = (
            WriterLease(self.client, name, LEASE_S, clock)
            for name, clock in zip(("n1", "n2"), self.clocks, strict=True)
        )

    def advance(self, seconds: float) -> None:
        for clock in self.clocks:
            clock.now += seconds

    def test_holder_renews_and_the_other_node_waits(self):
        self.assertEqual(self.first.acquire_or_renew(), 1)
        for _ in range(10):
            self.advance(LEASE_S / 2)
            self.assertEqual(self.first.acquire_or_renew(), 1)
            self.assertIsNone(self.second.acquire_or_renew())

    def test_lease_of_a_paused_holder_expires_and_the_token_rises(self):
        self.first.acquire_or_renew()
        self.assertIsNone(self.second.acquire_or_renew())
        self.advance(LEASE_S + 1)
        self.assertEqual(self.second.acquire_or_renew(), 2)
        self.assertIsNone(self.first.token(), "the resumed holder still considers its lease valid")
        self.assertIsNone(self.first.acquire_or_renew())

    def test_wait_begins_when_the_version_is_first_seen(self):
        self.first.acquire_or_renew()
        self.advance(LEASE_S * 5)
        self.assertIsNone(self.second.acquire_or_renew(), "the lease was first seen at this moment")
        self.advance(LEASE_S)
        self.assertEqual(self.second.acquire_or_renew(), 2)

    def test_holder_that_cannot_renew_loses_the_lease_by_its_own_clock(self):
        self.first.acquire_or_renew()
        set_faults(self.platform, down=True)
        self.advance(LEASE_S * 0.9)
        self.first.acquire_or_renew()
        self.advance(LEASE_S * 0.2)
        self.assertIsNone(self.first.acquire_or_renew())

    def test_released_lease_is_taken_at_once_with_a_higher_token(self):
        self.first.acquire_or_renew()
        self.assertIsNone(self.second.acquire_or_renew())
        self.first.release()
        self.assertEqual(self.second.acquire_or_renew(), 2)
        self.first.release()
        self.assertEqual(
            self.second.acquire_or_renew(), 2, "a release without the lease changes nothing"
        )
        self.assertIsNone(self.first.acquire_or_renew())

    def test_next_holder_waits_after_a_failed_release(self):
        self.first.acquire_or_renew()
        set_faults(self.platform, down=True)
        self.first.release()
        set_faults(self.platform)
        self.assertIsNone(self.first.token())
        self.assertIsNone(self.second.acquire_or_renew())
        self.advance(LEASE_S)
        self.assertEqual(self.second.acquire_or_renew(), 2)

    def test_restarted_holder_acquires_its_lease_with_a_higher_token(self):
        self.first.acquire_or_renew()
        restarted = WriterLease(self.client, "n1", LEASE_S, self.clocks[0])
        self.assertEqual(restarted.acquire_or_renew(), 2)

    def test_lost_answer_leaves_one_holder(self):
        losing = AnswerLost(self.client.endpoint)
        self.addCleanup(losing.close)
        lease = WriterLease(losing, "n1", LEASE_S, self.clocks[0])
        self.assertIsNone(lease.acquire_or_renew())
        self.assertIsNone(self.second.acquire_or_renew())
        self.assertEqual(lease.acquire_or_renew(), 2)

    def test_one_of_two_nodes_acquires_an_expired_lease(self):
        self.first.acquire_or_renew()
        third = WriterLease(self.client, "n3", LEASE_S, self.clocks[1])
        self.assertEqual((self.second.acquire_or_renew(), third.acquire_or_renew()), (None, None))
        self.advance(LEASE_S)
        self.assertEqual([self.second.acquire_or_renew(), third.acquire_or_renew()], [2, None])


class FencingTest(PlatformCase):
    """Writes of an older and a newer writer, in the orders that pauses of a writer cause."""

    def written(self) -> ServingStatus:
        return msgspec.json.decode(self.client.get(STATUSES, STATUS_NAME).spec, type=ServingStatus)

    def test_paused_writer_cannot_overwrite_a_newer_status(self):
        old, new = StatusWriter(self.client), StatusWriter(self.client)
        self.assertIsNone(old.write(ServingStatus(token=1, generation=1)))
        self.assertIsNone(new.write(ServingStatus(token=2, generation=2)))
        for _ in range(2):
            refused = old.write(ServingStatus(token=1, generation=1))
            self.assertEqual(refused, StatusSuperseded(2))
        self.assertEqual(self.written().generation, 2)

    def test_newer_writer_overwrites_a_late_write_of_the_older(self):
        old, new = StatusWriter(self.client), StatusWriter(self.client)
        old.write(ServingStatus(token=1))
        new._read(2)
        old.write(ServingStatus(token=1, generation=1))
        self.assertIsNone(new.write(ServingStatus(token=2, generation=2)))
        self.assertEqual(self.written().token, 2)

    @params({"down": True}, {"lose_answer_probability": 1.0}, {"error_probability": 1.0})
    def test_writer_continues_after_a_platform_fault(self, faults):
        writer = StatusWriter(self.client)
        set_faults(self.platform, **faults)
        self.assertIsInstance(writer.write(ServingStatus(token=1)), StatusNotWritten)
        set_faults(self.platform)
        self.assertIsNone(writer.write(ServingStatus(token=1, generation=5)))
        self.assertEqual(self.written().generation, 5)

    def test_unreadable_document_is_overwritten(self):
        self.client.create(STATUSES, STATUS_NAME, "nonsense")
        self.assertIsNone(StatusWriter(self.client).write(ServingStatus(token=1)))


class StatusFleetTest(PlatformCase):
    """Four nodes, one of which writes the status."""

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(self.platform, ("a", "a", "b", "b"))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.services = []
        for node in self.fleet.nodes:
            service = StatusService(
                node.membership, node.platform, node.peer_client, node.service.report, FAST
            )
            self.addCleanup(service.stop)
            service.start()
            self.services.append(service)

    def written(self) -> ServingStatus:
        stored = self.client.get(STATUSES, STATUS_NAME)
        if not hasattr(stored, "spec"):
            return ServingStatus()
        return msgspec.json.decode(stored.spec, type=ServingStatus)

    def edit(self, value: int) -> None:
        cell = EditedCell("tuning/batch_reserve", value - 1, value)
        ConfigurationEditor(self.client).submit(Edit(new_edit_id(), "ana", (cell,)))

    def test_status_shows_generations_and_rows_of_providers(self):
        for service in self.services:
            service.add_provider(
                lambda: StatusRows(
                    replicas=(ReplicaStatus("drafting", "old-site", live=2),),
                    notes=(StatusNote("tenants/acme", "at its limit"),),
                )
            )
        self.edit(2)
        eventually(lambda: self.written().generation == 1)
        eventually(lambda: [zone.current for zone in self.written().zones] == [2, 2])
        written = self.written()
        self.assertEqual(
            {node.name: node.generation for node in written.nodes},
            {f"node-{index}": 1 for index in range(4)},
        )
        self.assertEqual(written.replicas[0].live, 2)
        self.assertEqual(written.notes[0].text, "at its limit")

    def test_lagging_draining_and_dead_nodes_are_shown(self):
        cut, draining = self.fleet.nodes[0], self.fleet.nodes[2]
        self.edit(2)
        eventually(lambda: self.fleet.all_hold(1))
        draining.membership.announce_draining()
        eventually(lambda: sum(zone.draining for zone in self.written().zones) == 1)
        cut.stop()
        eventually(lambda: sum(zone.dead for zone in self.written().zones) == 1, 15.0)
        states = {node.name: node.state for node in self.written().nodes}
        self.assertEqual(states["node-0"], MemberState.DEAD)
        self.assertEqual(states["node-2"], MemberState.DRAINING)

    def test_problem_of_a_reader_reaches_the_status(self):
        self.edit(2)
        eventually(lambda: self.fleet.all_hold(1))
        version = self.client.get_version("servingconfigurations", "serving")
        bad = {"generation": 2, "tuning": {"batch_reserve": -1}}
        self.client.replace("servingconfigurations", "serving", bad, version)
        eventually(lambda: any("batch_reserve" in p.subject for p in self.written().problems))

    def test_next_node_writes_when_the_writer_stops(self):
        eventually(lambda: self.written().writer)
        before = self.written()
        index = int(before.writer.removeprefix("node-"))
        self.services[index].stop()
        self.fleet.nodes[index].stop()
        eventually(lambda: self.written().writer not in ("", before.writer), 15.0)
        self.assertGreater(self.written().token, before.token)

    def test_rate_of_writes_is_bounded(self):
        eventually(lambda: self.written().writer)
        counted = CountingPlatform(self.client.endpoint)
        writer = self.services[int(self.written().writer.removeprefix("node-"))]
        writer._writer._platform = counted
        for value in range(2, 22):
            self.edit(value)
        eventually(lambda: self.written().generation == 20)
        self.assertLessEqual(counted.writes, counted.seconds() / FAST.news_interval_s + 2)


class CountingPlatform(PlatformClient):
    """A platform client that counts its writes."""

    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__(endpoint)
        self.writes = 0
        self._began = time.monotonic()

    def replace(self, *arguments, **options):
        self.writes += 1
        return super().replace(*arguments, **options)

    def seconds(self) -> float:
        return time.monotonic() - self._began


class ListedNodesTest(unittest.TestCase):
    """Which nodes the status of a large fleet lists."""

    def test_large_fleet_lists_only_abnormal_nodes(self):
        nodes = [NodeStatus(f"n{n}", "a", MemberState.ALIVE, 9) for n in range(330)]
        nodes[7] = NodeStatus("n7", "a", MemberState.ALIVE, 8)
        nodes[8] = NodeStatus("n8", "a", MemberState.SUSPECT, 9)
        self.assertEqual([node.name for node in _listed(tuple(nodes), 9)], ["n7", "n8"])
        self.assertEqual(len(_listed(tuple(nodes[:64]), 9)), 64)
