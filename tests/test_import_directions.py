"""Imports point from process to connection and request, and from all to version; never back."""

from __future__ import annotations

import ast
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
