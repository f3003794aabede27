"""Checks of what a process still uses after a request."""

from __future__ import annotations

import contextlib
import time
import unittest
from collections.abc import Iterator

import psutil

MAX_GROWTH_BYTES = 24 * 1024 * 1024
IDLE_CHECK_S = 1.0
MAX_IDLE_SHARE = 0.5
"""Share of a core that an idle process may use; a thread that spins uses a whole one."""


@contextlib.contextmanager
def expect_resources_returned(case: unittest.TestCase, process: psutil.Process) -> Iterator[None]:
    """Expect that a process keeps neither memory nor a busy thread after the enclosed requests."""
    memory_before = process.memory_info().rss
    yield
    case.assertLess(process.memory_info().rss - memory_before, MAX_GROWTH_BYTES)
    before = process.cpu_times()
    time.sleep(IDLE_CHECK_S)
    after = process.cpu_times()
    used_s = after.user + after.system - before.user - before.system
    case.assertLess(used_s, MAX_IDLE_SHARE * IDLE_CHECK_S)
