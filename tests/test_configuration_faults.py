"""An accepted configuration comes into force on all nodes and never reverts under faults."""

from __future__ import annotations

import os
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import msgspec
import urllib3
from nose2.tools import params

from control_node import ControlNodeOptions
from fleet_support import OPTIONS, ControlNode, Fleet, PlatformCase, control, eventually, set_faults
from quaymill.connection.configuration_messages import ConfigurationProblem
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Machine, MachineRole, Member
from quaymill.connection.platform_client import CONFIGURATION_NAME, CONFIGURATIONS
from quaymill.connection.platform_objects import ObjectList, PlatformObject
from quaymill.process.configuration.disk_copy import COPY_NAME, load_copy
from quaymill.process.configuration.editor import ConfigurationEditor, EditAccepted
from quaymill.process.configuration.problems import ProblemLog
from quaymill.process.configuration.reader import SET_BACK_DELAY_S, MachineListFollower
from quaymill.process.configuration.service import ConfigurationService, ConfigurationTiming
from quaymill.process.machine_list import MachineListHolder
from quaymill.process.membership.ranking import reader_nodes
from quaymill.version.configuration import ServingConfiguration
from quaymill.version.edits import Edit, EditedCell, new_edit_id

SLOW_DISK_S = 2.0
STALLED_S = 4.0
ZONES = ("a", "a", "a", "b", "b", "b")


class FleetCase(PlatformCase):
    """Six nodes in two zones, the first one with a disk, at generation 1."""

    options = OPTIONS

    def setUp(self):
        super().setUp()
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = Fleet(self.platform, ZONES, (folder / "0",), self.options)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.generation = 0
        self.edit()
        self.expect_in_force()

    def edit(self) -> None:
        """Submit an edit and check that it is accepted."""
        cell = EditedCell("tuning/batch_reserve", self.generation + 1, self.generation + 2)
        result = ConfigurationEditor(self.client).submit(Edit(new_edit_id(), "ana", (cell,)))
        self.generation += 1
        self.assertEqual(result, EditAccepted(self.generation))

    def expect_in_force(self, nodes: list[ControlNode] | None = None) -> None:
        """Wait until the latest edit is in force on all nodes, with the same content."""
        nodes = self.fleet.nodes if nodes is None else nodes
        eventually(
            lambda: all(node.generation == self.generation for node in nodes),
            why=f"generation {self.generation}: {[node.generation for node in nodes]}",
        )
        self.assertEqual(len({msgspec.json.encode(node.holder.current()) for node in nodes}), 1)

    def readers(self, zone: str) -> list[ControlNode]:
        live = self.fleet.nodes[0].membership.live()
        names = [member.name for member in reader_nodes(live, zone)]
        return [node for node in self.fleet.nodes if node.settings.name in names]

    def problems(self) -> list[ConfigurationProblem]:
        return [problem for node in self.fleet.nodes for problem in node.service.report().problems]

    def put(self, document: object) -> None:
        version = self.client.get_version(CONFIGURATIONS, CONFIGURATION_NAME)
        self.client.replace(CONFIGURATIONS, CONFIGURATION_NAME, document, version)


class PlatformFaultTest(FleetCase):
    """Faults of the platform: delays, errors, lost connections, outages and old data."""

    @params(
        {"delay_s": 0.5},
        {"error_probability": 0.5, "seed": 1},
        {"drop_probability": 0.5, "seed": 1},
        {"truncate_probability": 0.5, "seed": 1},
        {"watch_silent": True},
    )
    def test_edit_comes_into_force_despite_platform_faults(self, faults):
        set_faults(self.platform, **faults)
        self.edit()
        self.expect_in_force()

    def test_outage_keeps_what_is_in_force_and_is_reported(self):
        set_faults(self.platform, down=True)
        eventually(lambda: any(problem.subject == "platform" for problem in self.problems()))
        self.assertTrue(self.fleet.all_hold(1))
        set_faults(self.platform)
        self.edit()
        self.expect_in_force()
        eventually(lambda: not self.problems(), why=str(self.problems()))

    def test_objects_are_listed_again_when_the_history_is_gone(self):
        set_faults(self.platform, watch_silent=True)
        self.edit()
        control(self.platform, "forget-history")
        set_faults(self.platform)
        self.expect_in_force()
        self.edit()
        self.expect_in_force()

    def test_history_set_back_is_refused_reported_and_restored(self):
        control(self.platform, "snapshot", "old")
        self.edit()
        self.edit()
        self.expect_in_force()
        control(self.platform, "restore", "old")
        eventually(lambda: any("older than 3" in problem.reason for problem in self.problems()))
        self.assertTrue(self.fleet.all_hold(3))
        held = self.fleet.nodes[0].holder.current()
        restored = ConfigurationEditor(self.client).restore(held, "r", "ana")
        self.assertEqual(restored, EditAccepted(4))
        self.generation = 4
        self.expect_in_force()
        eventually(lambda: not self.problems(), why=str(self.problems()))
        self.assertEqual(self.fleet.nodes[0].holder.current().tuning, held.tuning)

    @params(
        ({"generation": 2, "tuning": {"batch_reserve": -1}}, "tuning/batch_reserve"),
        ({"generation": 2, "routes": {"x": {"y": {"weight": "z"}}}}, "routes/x/y/weight"),
        ("no table at all", "document"),
    )
    def test_invalid_object_leaves_the_last_valid_one_in_force(self, document, cell):
        self.put(document)
        eventually(lambda: any(cell in problem.subject for problem in self.problems()))
        self.assertTrue(all(problem.remedy for problem in self.problems()))
        self.assertTrue(self.fleet.all_hold(1))
        self.put(ServingConfiguration(generation=2))
        self.generation = 2
        self.expect_in_force()
        eventually(lambda: not self.problems(), why=str(self.problems()))

    def test_deleted_object_leaves_the_last_one_in_force_and_is_reported(self):
        path = f"/apis/quaymill.io/v1/{CONFIGURATIONS}/{CONFIGURATION_NAME}"
        urllib3.request("DELETE", f"http://127.0.0.1:{self.platform.port}{path}")
        eventually(lambda: any("does not exist" in p.reason for p in self.problems()))
        self.assertTrue(self.fleet.all_hold(1))
        held = self.fleet.nodes[0].holder.current()
        ConfigurationEditor(self.client).restore(held, "r", "ana")
        self.generation = 2
        self.expect_in_force()
        eventually(lambda: not self.problems(), why=str(self.problems()))

    def test_all_nodes_restart_while_the_platform_is_down(self):
        set_faults(self.platform, down=True)
        for node in self.fleet.nodes:
            node.stop()
        for index in range(len(ZONES)):
            self.fleet.restart(index)
        self.expect_in_force()
        set_faults(self.platform)
        self.edit()
        self.expect_in_force()


class SlowDiskTest(FleetCase):
    """A disk on which each write of the copy takes longer than a change may take."""

    def setUp(self):
        super().setUp()
        fsync = os.fsync

        def slow_fsync(descriptor: int) -> None:
            time.sleep(SLOW_DISK_S)
            fsync(descriptor)

        self.enterContext(
            mock.patch("quaymill.process.configuration.disk_copy.os.fsync", slow_fsync)
        )

    def test_copy_does_not_hold_up_the_next_configuration(self):
        """Guards against changes that wait until the copy of an earlier one is on disk."""
        for _ in range(3):
            self.edit()
            began = time.monotonic()
            self.expect_in_force()
            self.assertLess(time.monotonic() - began, SLOW_DISK_S)

    def test_node_that_stops_has_stored_what_was_in_force(self):
        self.edit()
        self.expect_in_force()
        set_faults(self.platform, down=True)
        for node in self.fleet.nodes:
            node.stop()
        for index in range(len(ZONES)):
            self.fleet.restart(index)
        self.expect_in_force()


class StalledPullTest(FleetCase):
    """Peers that do not send the configuration."""

    def setUp(self):
        self.stalled = False
        pull = ConfigurationService._pull_configuration

        def stalled_pull(service: ConfigurationService, peer: Member) -> bool:
            if not self.stalled:
                return pull(service, peer)
            time.sleep(STALLED_S)
            return False

        self.enterContext(
            mock.patch.object(ConfigurationService, "_pull_configuration", stalled_pull)
        )
        super().setUp()

    def test_list_of_machines_is_pulled_meanwhile(self):
        """Guards against one list of the platform holding up the other."""
        self.stalled = True
        self.edit()
        readers = [*self.readers("a"), *self.readers("b")]
        self.expect_in_force(readers)
        machine = Machine("m1", MachineRole.ENGINE, "a", Endpoint("127.0.0.1", 9), "drafting")
        began = time.monotonic()
        self.client.create("machines", "m1", machine)
        eventually(
            lambda: all(machine in node.machines.current().machines for node in self.fleet.nodes)
        )
        self.assertLess(time.monotonic() - began, STALLED_S)


class SilentWatchTest(FleetCase):
    """Long watches whose connections fail unnoticed."""

    options = ControlNodeOptions(ConfigurationTiming(0.3, 60.0, 60.0))

    def test_version_check_finds_an_edit_that_the_watches_miss(self):
        set_faults(self.platform, watch_silent=True)
        self.edit()
        self.expect_in_force()


class NodeFaultTest(FleetCase):
    """Failures of nodes and network partitions."""

    def test_edit_comes_into_force_after_both_readers_of_a_zone_stop(self):
        readers = self.readers("a")
        rest = [node for node in self.fleet.nodes if node not in readers]
        for reader in readers:
            reader.stop()
        self.edit()
        self.expect_in_force(rest)
        eventually(lambda: any(node.service.is_reader() for node in rest[:1]))

    def test_readers_without_the_platform_pull_from_peers(self):
        for reader in self.readers("a"):
            reader.links.set_blocked(frozenset((reader.platform.endpoint,)))
        self.edit()
        self.expect_in_force()

    def test_zone_cut_off_from_peers_reads_the_platform_itself(self):
        self.fleet.cut(self.fleet.in_zone("b"), with_platform=False)
        self.edit()
        self.expect_in_force()

    def test_zone_cut_off_from_all_keeps_its_generation_and_catches_up(self):
        cut = self.fleet.in_zone("b")
        self.fleet.cut(cut)
        eventually(
            lambda: len(cut[0].membership.live()) == 3, why="the other zone is considered dead"
        )
        for _ in range(3):
            self.edit()
        self.expect_in_force(self.fleet.in_zone("a"))
        self.assertEqual({node.generation for node in cut}, {1})
        self.fleet.heal()
        self.expect_in_force()
        eventually(lambda: all(len(node.membership.live()) == 6 for node in self.fleet.nodes))

    def test_node_without_known_differences_pulls_the_whole_configuration(self):
        cut = self.fleet.nodes[5]
        self.fleet.cut([cut])
        for _ in range(3):
            self.edit()
        for node in self.fleet.nodes[:5]:
            node.service._differences._differences.clear()
        self.fleet.heal()
        self.expect_in_force()

    def test_restarted_node_gets_the_configuration_from_peers(self):
        self.fleet.nodes[4].stop()
        set_faults(self.platform, down=True)
        self.fleet.restart(4)
        self.expect_in_force()

    @params(b"", b'{"generation":9,"tuning":{"batch_reserve":-1}}', b'{"generation":')
    def test_invalid_copy_on_disk_is_reported_and_not_applied(self, content):
        node = self.fleet.nodes[0]
        copy = Path(node.settings.data_folder) / COPY_NAME
        eventually(copy.exists)
        node.stop()
        self.assertEqual(msgspec.json.decode(copy.read_bytes())["generation"], 1)
        copy.write_bytes(content)
        problems = ProblemLog()
        self.assertIsNone(load_copy(copy.parent, problems))
        self.assertEqual([problem.subject for problem in problems.all()], [str(copy)])
        restarted = self.fleet.restart(0)
        self.expect_in_force()
        eventually(lambda: not restarted.service.report().problems)
        self.assertEqual(msgspec.json.decode(copy.read_bytes())["generation"], 1)


class MachineListTest(FleetCase):
    """The machine list reaches all nodes, and does not change the membership."""

    def machine(self, name: str, port: int, **fields: object) -> Machine:
        return Machine(name, MachineRole.NODE, "a", Endpoint("127.0.0.1", port), **fields)

    def names_everywhere(self, *names: str) -> bool:
        return all(
            sorted(machine.name for machine in node.machines.current().machines) == sorted(names)
            for node in self.fleet.nodes
        )

    def test_changes_reach_every_node(self):
        first = self.client.create("machines", "m1", self.machine("m1", 1))
        self.client.create("machines", "m2", self.machine("m2", 2))
        eventually(lambda: self.names_everywhere("m1", "m2"))
        draining = self.machine("m1", 1, draining=True)
        self.client.replace("machines", "m1", draining, first.resource_version)
        eventually(
            lambda: all(draining in node.machines.current().machines for node in self.fleet.nodes)
        )

    def test_machine_list_does_not_change_the_membership(self):
        self.client.create("machines", "ghost", self.machine("ghost", 1))
        self.client.create("machines", "node-0", self.machine("node-0", 1, draining=True))
        eventually(lambda: self.names_everywhere("ghost", "node-0"))
        names = {member.name for member in self.fleet.nodes[3].membership.live()}
        self.assertEqual(names, {node.settings.name for node in self.fleet.nodes})

    def test_invalid_machine_is_reported_and_the_others_are_applied(self):
        self.client.create("machines", "m1", self.machine("m1", 1))
        self.client.create("machines", "odd", {"role": "toaster"})
        eventually(lambda: self.names_everywhere("m1"))
        eventually(lambda: any(p.subject == "machines/odd" for p in self.problems()))


class MachineListVersionTest(unittest.TestCase):
    """Results of delayed reads are ignored; a platform that was set back is followed later."""

    def setUp(self):
        self.now = 0.0
        self.holder = MachineListHolder()
        self.problems = ProblemLog()
        self.follower = MachineListFollower(self.holder, self.problems, lambda: self.now)
        self.follower.on_list(self.listed(9, "a", "b"))

    def listed(self, version: int, *names: str) -> ObjectList:
        return ObjectList(str(version), tuple(self.item(version, name) for name in names))

    def item(self, version: int, name: str) -> PlatformObject:
        machine = Machine(name, MachineRole.ENGINE, "a", Endpoint("127.0.0.1", 1))
        return PlatformObject(name, str(version), msgspec.Raw(msgspec.json.encode(machine)))

    def names(self) -> list[str]:
        return [machine.name for machine in self.holder.current().machines]

    def test_delayed_read_changes_nothing(self):
        self.follower.on_list(self.listed(7, "a"))
        self.follower.on_change(self.item(8, "c"))
        self.assertEqual(self.names(), ["a", "b"])
        self.assertFalse(self.follower.is_current())
        self.assertIn("older than 9", self.problems.all()[0].reason)
        self.follower.on_list(self.listed(9, "a", "b"))
        self.assertTrue(self.follower.is_current())
        self.assertEqual(self.problems.all(), ())

    def test_list_that_stays_older_starts_a_new_epoch(self):
        before = self.holder.current().version
        self.follower.on_list(self.listed(5, "a"))
        self.now = SET_BACK_DELAY_S
        self.follower.on_list(self.listed(6, "c"))
        self.assertEqual(self.names(), ["c"])
        self.assertGreater(self.holder.current().version, before)
        self.follower.on_change(self.item(7, "d"))
        self.assertEqual(self.names(), ["c", "d"])
