"""Imports point from process to connection and request, and from all to version; never back."""

from __future__ import annotations

import ast
import graphlib
import unittest
from pathlib import Path

SOURCES = Path(__file__).parent.parent / "src" / "quaymill"
ALLOWED = {
    "version": {"version", "connection"},
    "connection": {"connection", "version", "request"},
    "request": {"request", "connection", "version"},
    "process": {"process", "request", "connection", "version"},
}


def imported_parts(path: Path) -> set[str]:
    """Return the parts of quaymill that a module imports."""
    parts = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("quaymill."):
            parts.add(node.module.split(".")[1])
    return parts


class DirectionTest(unittest.TestCase):
    """One row for each part."""

    def test_imports(self) -> None:
        wrong = []
        for part, allowed in ALLOWED.items():
            for path in sorted((SOURCES / part).rglob("*.py")):
                for other in sorted(imported_parts(path) - allowed):
                    wrong.append(f"{path.relative_to(SOURCES)} imports {other}")
        self.assertEqual([], wrong)


def imported_modules(path: Path, names: set[str]) -> set[str]:
    """Return those of ``names`` that a module imports, also for type checking only."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
    return found & names


class CircleTest(unittest.TestCase):
    """No module imports itself by way of others."""

    def test_imports_run_in_no_circle(self) -> None:
        root = SOURCES.parent
        paths_by_name = {
            ".".join(path.relative_to(root).with_suffix("").parts): path
            for path in root.rglob("*.py")
            if path.name != "__init__.py"
        }
        names = set(paths_by_name)
        graph = {
            name: imported_modules(path, names) - {name} for name, path in paths_by_name.items()
        }
        graphlib.TopologicalSorter(graph).prepare()
