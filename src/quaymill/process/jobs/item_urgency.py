"""How urgent batch items are: the one that is due first goes first, a hopeless one last.

An item that cannot be done any more by the time it is due earns little, whenever it is done.
If it went before those that can still be done, each of them would become hopeless in turn.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable

from quaymill.connection.slot_messages import RoutePace
from quaymill.process.jobs.coordinated_job import CoordinatedJob, RunningItem

INFEASIBLE_DUE_S = 1e6
"""Stands for the time left of a hopeless item: after every other one."""
SAFETY_FACTOR = 1.2
"""By how much the time left must exceed the time that an item is expected to need yet, or it is
hopeless. Sizes differ by a quarter among the items of a route, and runs are cut: one that would
only just be in time mostly is not, and where more comes than engines can do every item would be
started at that very moment. In the loads of ``tests/test_load_player.py`` with twice as much work
as engines can do .43 of the items were in time with 0.7, .59 with 1.2 and .61 with 1.5; with a
little too much .916, .934 and .923."""
PACE_WEIGHT = 0.1
"""Weight of the newest item in the averages: about ten items decide."""


class RunPace:
    """How long items of one route have run of late.

    Attributes
    ----------
    events_per_item, s_per_event
        Averages; 0 until an item was done.
    """

    def __init__(self) -> None:
        self.events_per_item = 0.0
        self.s_per_event = 0.0

    def add(self, events_per_item: float, s_per_event: float, items: int) -> None:
        """Take the means of some done items into the averages."""
        weight = 1.0 - (1.0 - PACE_WEIGHT) ** items
        self.events_per_item = _averaged(self.events_per_item, events_per_item, weight)
        self.s_per_event = _averaged(self.s_per_event, s_per_event, weight)

    def remaining_s(self, events: int) -> float:
        """Return how long an item with so many events is likely to run yet."""
        return max(0.0, self.events_per_item - events) * self.s_per_event


NO_PACE = RunPace()
"""Of a route of which no item was done."""


class RoutePaces:
    """Paces by route, shared by all coordinators; safe to use from any thread.

    A coordinator tells the keeper of room what its own items took, and is told what those of all
    did. Where there are more gateways than jobs, most coordinators have seen no item end when they
    must tell which can still be done in time.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_route: dict[str, RunPace] = {}
        self._unreported: list[RoutePace] = []

    def of(self, route: str) -> RunPace:
        """Return the pace of a route's items."""
        return self._by_route.get(route, NO_PACE)

    def record(self, route: str, events: int, events_in_run: int, run_s: float) -> None:
        """Note an item of this coordinator that is done, and its last run."""
        if events_in_run <= 0:
            return
        done = RoutePace(route, float(events), run_s / events_in_run, 1)
        with self._lock:
            self._unreported.append(done)
            self._add(done)

    def take_unreported(self) -> tuple[RoutePace, ...]:
        """Return what was recorded since the last call."""
        with self._lock:
            unreported, self._unreported = tuple(self._unreported), []
        return unreported

    def add_all(self, done: Iterable[RoutePace]) -> None:
        """Take what a coordinator tells of its items into the averages."""
        with self._lock:
            for one in done:
                self._add(one)

    def averages(self) -> tuple[RoutePace, ...]:
        """Return the averages of all routes."""
        with self._lock:
            return tuple(
                RoutePace(route, round(pace.events_per_item, 1), round(pace.s_per_event, 5), 1)
                for route, pace in self._by_route.items()
            )

    def adopt(self, paces: Iterable[RoutePace]) -> None:
        """Take the averages over all coordinators in place of the own ones."""
        with self._lock:
            for one in paces:
                pace = self._by_route.setdefault(one.route, RunPace())
                pace.events_per_item, pace.s_per_event = one.events_per_item, one.s_per_event

    def _add(self, done: RoutePace) -> None:
        pace = self._by_route.setdefault(done.route, RunPace())
        pace.add(done.events_per_item, done.s_per_event, done.items)


def time_left_s(job: CoordinatedJob, item: RunningItem, now: float, pace: RunPace) -> float:
    """Return the time until an item is due; ``INFEASIBLE_DUE_S`` if it cannot be done by then.

    Parameters
    ----------
    now
        Monotonic time.
    """
    left_s = job.due_at() - now
    if left_s <= SAFETY_FACTOR * pace.remaining_s(len(item.texts)):
        return INFEASIBLE_DUE_S
    return left_s


def _averaged(average: float, newest: float, weight: float) -> float:
    return newest if not average else average + weight * (newest - average)
