"""A test run that hangs is ended, and says where it stood."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

HANGING_TEST = """
import threading, unittest
class Hanging(unittest.TestCase):
    def test_waits_for_ever(self):
        self.where_it_hangs()
    def where_it_hangs(self):
        threading.Event().wait()
"""
RUN = """
import quaymill_bench.hang_guard as guard
guard.HANG_S = 0.5
import nose2
nose2.discover(argv=["nose2", "-s", ".", "--plugin", "quaymill_bench.hang_guard"])
"""
PATIENCE_S = 60.0


class HangGuardTest(unittest.TestCase):
    """The guard in a run of its own."""

    def test_a_run_that_hangs_is_ended_with_its_stacks(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "test_hanging.py").write_text(HANGING_TEST)
            ended = subprocess.run(
                [sys.executable, "-c", RUN],
                cwd=folder,
                env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
                capture_output=True,
                text=True,
                timeout=PATIENCE_S,
                check=False,
            )
        self.assertNotEqual(ended.returncode, 0)
        self.assertIn("where_it_hangs", ended.stderr)
