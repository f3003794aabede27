"""Least squares of the role experiment, and the rows worked out from them."""

from __future__ import annotations

import unittest
from pathlib import Path

import msgspec
from nose2.tools import params

from quaymill_bench.role_configuration import ConfigurationSlopes
from quaymill_bench.role_fit import Slope, fit_slopes
from quaymill_bench.role_size import SizeRow
from quaymill_bench.role_size_rows import size_rows
from quaymill_bench.role_slopes import RoleSlopes
from quaymill_bench.role_tables import render_size, render_slopes

DOCS = Path(__file__).parent.parent / "docs"
SLOPE = Slope(2.0, 0.5, "us", 4)


def row(kind: str, core: float, size: float, memory: float) -> SizeRow:
    return SizeRow("role", kind, 1.0, size, core, memory, "")


class FitTest(unittest.TestCase):
    """Slopes and their standard errors."""

    def test_finds_the_costs_that_made_the_points(self):
        seconds, items = [1.0, 2.0, 3.0, 4.0], [0, 10, 5, 40]
        values = [0.05 * s + 0.003 * n for s, n in zip(seconds, items, strict=True)]
        found = fit_slopes({"second": seconds, "item": items}, values, "us", 1e6)
        self.assertEqual((50_000.0, 3_000.0), (found["second"].value, found["item"].value))
        self.assertAlmostEqual(0.0, found["item"].error, places=2)

    def test_tells_the_error_of_scattered_points(self):
        found = fit_slopes({"one": [1.0] * 4}, [1.0, 3.0, 1.0, 3.0], "us")["one"]
        # The standard error of a mean: sqrt(sum of squares / (n - 1) / n).
        self.assertEqual((2.0, 0.577), (found.value, found.error))

    def test_refuses_points_that_leave_no_error(self):
        with self.assertRaises(ValueError):
            fit_slopes({"second": [1.0, 2.0], "item": [0, 1]}, [1.0, 2.0], "us")


class SizeTest(unittest.TestCase):
    """Rows against the budget."""

    @params(
        ("control", 0.016, 4000.0, 256.0, "yes"),
        ("control", 0.017, 4000.0, 256.0, "no: core"),
        ("store", 0.001, 4001.0, 257.0, "no: bytes, memory"),
        ("data", 9.0, 1e9, 1e9, "not held to it"),
    )
    def test_verdict(self, kind, core, size, memory, verdict):
        line = render_size((row(kind, core, size, memory),)).splitlines()[-1]
        self.assertEqual(verdict, line.split(" | ")[-1].removesuffix(" |"))

    def test_rows_of_the_parts_measured_so_far(self):
        by = {"tenant": SLOPE}
        slopes = RoleSlopes(
            configuration=ConfigurationSlopes(by, by, by, by, 480_000, 20.0, 4.0, 1.5, 200, 10**6)
        )
        watch = size_rows(slopes)[0]
        # 3,600 changes a day are one in 24 s.
        self.assertAlmostEqual(20_000.0, watch.bytes_per_s)
        self.assertAlmostEqual(0.001, watch.core_share)
        self.assertEqual(("bytes",), watch.excess)
        self.assertIn(
            "| configuration | bytes | tenant | 2.0 | 0.5 | us | 4 |", render_slopes(slopes)
        )

    def test_page_shows_the_slopes_that_it_was_worked_out_from(self):
        document = (DOCS / "capacity" / "slopes.json").read_bytes()
        slopes = msgspec.json.decode(document, type=RoleSlopes)
        self.assertIn(render_slopes(slopes), (DOCS / "CAPACITY.md").read_text())
        sums = [row.role for row in size_rows(slopes) if row.role.startswith("sum of control")]
        self.assertEqual(2, len(sums))
