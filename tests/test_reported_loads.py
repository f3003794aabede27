"""Parsing of the load header with which a replica reports its load."""

from __future__ import annotations

import unittest

from nose2.tools import params

from quaymill.connection.replica_entry import ReportedLoad
from quaymill.platform.replica_calls import read_load


class ReportedLoadTest(unittest.TestCase):
    """The header has three numbers and an optional fourth, the slowness in percent."""

    @params(
        ("3,1,8", ReportedLoad(3, 1, 8)),
        ("3, 1, 8", ReportedLoad(3, 1, 8)),
        ("3,1,8,100", ReportedLoad(3, 1, 8, 1.0)),
        ("3,1,8,250", ReportedLoad(3, 1, 8, 2.5)),
        ("3,1,8,92.5", ReportedLoad(3, 1, 8, 0.925)),
        ("3,1,8,250,7", ReportedLoad(3, 1, 8, 2.5)),
    )
    def test_valid_header(self, text: str, expected: ReportedLoad) -> None:
        self.assertEqual(expected, read_load(text))

    @params("", "fast", "nan", "inf", "0", "-250")
    def test_invalid_slowness_is_ignored(self, fourth: str) -> None:
        self.assertEqual(ReportedLoad(3, 1, 8), read_load(f"3,1,8,{fourth}"))

    @params("", "3", "3,1", "3,1,x", "3,1,x,250")
    def test_invalid_counts_give_no_load(self, text: str) -> None:
        self.assertIsNone(read_load(text))

    def test_extreme_slowness_is_clamped(self) -> None:
        self.assertLessEqual(read_load("3,1,8,99999999").slowness, 10.0)
        self.assertGreaterEqual(read_load("3,1,8,1").slowness, 0.1)
