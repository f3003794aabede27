"""Processes and replicas of the soak: none is left behind, and what is drawn for them."""

from __future__ import annotations

import tempfile
import unittest
from collections import Counter
from pathlib import Path
from unittest import mock

from nose2.tools import params

from quaymill_bench import fleet_processes
from quaymill_bench.fleet_processes import FleetProcess, LocalFleet, wait_until
from quaymill_bench.soak import LOAD_S
from quaymill_bench.soak_faults import COLD_RETURN, EVACUATE, PlannedFault, SoakFaults
from quaymill_bench.soak_tenants import SoakTenants
from quaymill_bench.soak_timeline import Timeline


class FleetProcessTest(unittest.TestCase):
    """Two faults of one round may both start a process again."""

    def test_process_that_runs_is_not_started_twice(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        process = FleetProcess("n", "job-storage", "127.0.0.1", folder / "s", folder / "log")
        with mock.patch("subprocess.Popen") as started:
            started.return_value.poll.return_value = None
            process.start()
            process.start()
            self.assertEqual(1, started.call_count)
            started.return_value.poll.return_value = -9
            process.start()
            self.assertEqual(2, started.call_count)


class LocalFleetTest(unittest.TestCase):
    """A fleet begins on empty disks."""

    def test_disks_of_an_earlier_fleet_are_removed(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory())) / "fleet"
        folder.mkdir()
        (folder / "jobs.sqlite3").touch()
        LocalFleet(folder)
        self.assertFalse((folder / "jobs.sqlite3").exists())


class ColdReturnTest(unittest.TestCase):
    """Replicas that are held down return cold, and only when they are told to."""

    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = LocalFleet(folder / "fleet")
        self.enterContext(mock.patch.object(fleet_processes, "REPLICA_DOWN_S", 0.0))
        self.enterContext(mock.patch.object(self.fleet, "_start_again_later"))
        self.fleet.store.start()
        self.addCleanup(self.fleet.stop)
        self.replica = self.fleet.add_replica("engine", "zone-a")

    def cold_left_ms(self) -> int:
        return self.fleet.store.read("servers", self.replica.id)["spec"]["cold_left_ms"]

    @params(("running", False), ("crashed already", True))
    def test_held_down_until_it_returns(self, _, crashed: bool) -> None:
        """Guards against a replica that starts by itself, or is listed while it is down."""
        if crashed:
            self.replica.crash()
        self.fleet.hold_down(self.replica.id)
        self.fleet._start_again(self.replica)
        self.assertIs(self.replica, self.fleet.replicas[self.replica.id])
        self.fleet.list_replica(self.replica, "ready")
        self.assertIsNone(self.fleet.store.read("servers", self.replica.id))
        self.replica.arrivals.append("kept")
        self.fleet.return_cold(self.replica.id, 0.5)
        again = self.fleet.replicas[self.replica.id]
        self.fleet._start_again(self.replica)
        self.assertIs(again, self.fleet.replicas[self.replica.id])
        self.assertIsNot(again, self.replica)
        self.assertEqual(["kept"], again.arrivals)
        self.assertEqual(self.replica.port, again.port)
        self.assertGreater(self.cold_left_ms(), 0)
        wait_until(lambda: self.cold_left_ms() == 0, "the entry says that it is warm")


class PlacementPlanTest(unittest.TestCase):
    """Faults of placement come beside a seed's other faults."""

    def test_other_faults_stay_as_they_are(self) -> None:
        """Guards against seeds whose known schedules change."""
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        kinds = {EVACUATE, COLD_RETURN}
        drawn = Counter()
        for number in range(10):
            faults, placing = (
                SoakFaults(
                    LocalFleet(folder, placement_limits=placement),
                    SoakTenants(),
                    f"1-{number}",
                    Timeline(),
                )
                for placement in (False, True)
            )
            without, with_them = faults.plan(LOAD_S), placing.plan(LOAD_S)
            added = [fault for fault in with_them if fault.name in kinds]
            self.assertEqual(without, [fault for fault in with_them if fault not in added])
            self.assertTrue(added)
            placing.play([PlannedFault(0.0, 0.0, fault.name) for fault in added], 0.0)
            self.assertEqual(faults._random.getstate(), placing._random.getstate())
            for fault in added:
                self.assertLess(fault.at_s + fault.for_s, LOAD_S)
            drawn.update(fault.name for fault in added)
        self.assertEqual(kinds, set(drawn))
