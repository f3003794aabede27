"""The one clock by which the product measures time; it runs on while the machine is suspended.

The steady clock that waits go by stands still while a machine is suspended. A lease, a claim of
room, an allowance or a caller's deadline goes on for everybody else meanwhile, so by that clock a
process that comes back holds what others have long given away. By this one it finds on its return
that the time has passed, as after any other stop of the process; waits alone last longer by
the time of the suspension, and what is decided after a wait asks this clock again.
"""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds since the machine started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_s() -> float:
    """Return for how long the machine has been suspended since it started, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
