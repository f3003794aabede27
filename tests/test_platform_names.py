"""Checks that the platform's names occur in one folder only, and that it contains no decisions."""

from __future__ import annotations

import ast
import subprocess
import sys
import unittest
from pathlib import Path

SOURCES = Path(__file__).parent.parent / "src" / "quaymill"
ADAPTER = SOURCES / "platform"
NAMES = (
    '"Request-Id"',
    "Deadline-Ms",
    "Expect-Instance",
    "Last-Event-Id",
    "Server-Load",
    "Not-Executed",
    "Prompt-Prefix",
    "Token-Count",
    "Response-Seal",
    "Wait-Ms",
    "Kv-",
    "/v1/ready",
    "/v1/report",
    "/v1/lots",
    "/v1/items",
    "/v1/objects",
    '"servers"',
    '"retirements"',
    "since_rev",
    "next_token",
    "wait_ms",
    "dead_letter",
    "slo_ms",
    "max_conns",
    "QUAYMILL_BOOT",
    "cold_left_ms",
    "Cold-Ms",
)
MAX_ADAPTER_LINES = 1200
FORBIDDEN_MODULES = {"threading", "random", "select", "queue", "sched", "asyncio"}
"""Modules for waiting, random choice and concurrency, which only decisions need."""


def adapter_files() -> list[Path]:
    return sorted(ADAPTER.rglob("*.py"))


class PlatformNamesTest(unittest.TestCase):
    """No other folder uses the platform's names or imports the adapter."""

    def test_no_other_folder_contains_the_platforms_names(self) -> None:
        found = [
            f"{path.relative_to(SOURCES)}: {name}"
            for path in sorted(SOURCES.rglob("*.py"))
            if ADAPTER not in path.parents
            for name in NAMES
            if name in path.read_text()
        ]
        self.assertEqual([], found)

    def test_no_other_folder_imports_the_adapter(self) -> None:
        found = [
            str(path.relative_to(SOURCES))
            for path in sorted(SOURCES.rglob("*.py"))
            if ADAPTER not in path.parents and "quaymill.platform" in path.read_text()
        ]
        self.assertEqual([], found)


class AdapterSizeTest(unittest.TestCase):
    """The adapter only translates and stays small."""

    def test_line_count_is_bounded(self) -> None:
        lines = sum(len(path.read_text().splitlines()) for path in adapter_files())
        self.assertLessEqual(lines, MAX_ADAPTER_LINES)

    def test_no_threads_timers_or_random_choices(self) -> None:
        for path in adapter_files():
            imported = set()
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Import):
                    imported |= {name.name.split(".")[0] for name in node.names}
                elif isinstance(node, ast.ImportFrom) and node.module:
                    imported.add(node.module.split(".")[0])
            self.assertEqual(set(), imported & FORBIDDEN_MODULES, path.name)


class RoleModulesTest(unittest.TestCase):
    """A role imports its own modules only, which keeps its start fast."""

    def test_a_storage_node_loads_nothing_of_a_gateway(self) -> None:
        program = (
            "import sys; from quaymill.platform import roles; "
            "roles.LOADERS[roles.ServingRole.JOB_STORAGE](); "
            "print(*(name for name in sys.modules if 'gateway' in name or 'cheroot' in name))"
        )
        run = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        self.assertEqual("", run.stdout.strip())
