"""How urgent batch items are: the one that is due first goes first, a hopeless one last.

An item that cannot be done any more by the time it is due earns little, whenever it is done.
If it went before those that can still be done, each of them would become hopeless in turn.
"""

from __future__ import annotations

import threading

from quaymill.process.jobs.coordinated_job import CoordinatedJob, RunningItem

HOPELESS_DUE_S = 1e6
"""Stands for the time left of a hopeless item: after every other one."""
SAFE_SHARE = 1.2
"""By how much the time left must exceed the time that an item is expected to need yet, or it is
hopeless. Sizes differ by a quarter among the items of a route, and runs are cut: one that would
only just be in time mostly is not, and where more comes than engines can do every item would be
started at that very moment. In the loads of ``tests/test_load_player.py`` with twice as much work
as engines can do .43 of the items were in time with 0.7, .59 with 1.2 and .61 with 1.5; with a
little too much .916, .934 and .923."""
PACE_WEIGHT = 0.1
"""Weight of the newest item in the averages: about ten items decide."""


class RunPace:
    """How long items have run of late; safe to use from any thread.

    Attributes
    ----------
    events_per_item, s_per_event
        Averages; 0 until an item was done.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.events_per_item = 0.0
        self.s_per_event = 0.0

    def record(self, events: int, events_in_run: int, run_s: float) -> None:
        """Note an item that is done, and its last run."""
        if events_in_run <= 0:
            return
        with self._lock:
            self.events_per_item = _averaged(self.events_per_item, events)
            self.s_per_event = _averaged(self.s_per_event, run_s / events_in_run)

    def remaining_s(self, events: int) -> float:
        """Return how long an item with so many events is likely to run yet."""
        return max(0.0, self.events_per_item - events) * self.s_per_event


def time_left_s(job: CoordinatedJob, item: RunningItem, now: float, pace: RunPace) -> float:
    """Return the time until an item is due; ``HOPELESS_DUE_S`` if it cannot be done by then.

    Parameters
    ----------
    now
        Monotonic time.
    """
    left_s = job.due_at() - now
    if left_s <= SAFE_SHARE * pace.remaining_s(len(item.texts)):
        return HOPELESS_DUE_S
    return left_s


def _averaged(average: float, newest: float) -> float:
    return newest if not average else average + PACE_WEIGHT * (newest - average)
