"""Processes of the soak: none is left behind."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from quaymill_bench.fleet_processes import FleetProcess, LocalFleet


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
