"""Urgency of batch items: the earliest due time first, infeasible items last.

An item that can no longer finish by its due time has little value, whenever it finishes. If such
items ran first under overload, the feasible items would become infeasible one after another.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable

from quaymill.connection.slot_messages import RoutePace
from quaymill.process.jobs.coordinated_job import CoordinatedItem, CoordinatedJob

INFEASIBLE_DUE_S = 1e6
"""Time left of an infeasible item, in place of its real one: sorts it after all others."""
SAFETY_FACTOR = 1.2
"""An item is infeasible if its time left is less than this many times its expected remaining run
time. The margin covers varying item sizes and preemptions. With twice the work that the engines can
do, 0.43 of the items were on time at 0.7, 0.59 at 1.2 and 0.61 at 1.5; with slightly too much work
0.916, 0.934 and 0.923 (``tests/test_load_player.py``)."""
PACE_WEIGHT = 0.1
"""Weight of the newest item in the moving averages."""


class RunPace:
    """Moving averages of the size and speed of one route's items.

    Attributes
    ----------
    events_per_item, s_per_event
        Averages over finished items; 0 until an item has finished.
    """

    def __init__(self) -> None:
        self.events_per_item = 0.0
        self.s_per_event = 0.0

    def add(self, events_per_item: float, s_per_event: float, items: int) -> None:
        """Add the means of some finished items to the averages."""
        weight = 1.0 - (1.0 - PACE_WEIGHT) ** items
        self.events_per_item = _averaged(self.events_per_item, events_per_item, weight)
        self.s_per_event = _averaged(self.s_per_event, s_per_event, weight)

    def remaining_s(self, events: int) -> float:
        """Return the expected remaining run time in seconds of an item that has some events."""
        return max(0.0, self.events_per_item - events) * self.s_per_event


NO_PACE = RunPace()
"""Pace of a route of which no item has finished."""


class RoutePaces:
    """Paces by route, as known to a coordinator or a slot allocator.

    Safe to use from any thread.

    Coordinators report the paces of their own items to the slot allocator, and receive the averages
    over all coordinators. Otherwise, with more gateways than jobs, most coordinators would not have
    seen any item finish when they must decide which items are still feasible.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_route: dict[str, RunPace] = {}
        self._unreported: list[RoutePace] = []

    def of(self, route: str) -> RunPace:
        """Return the pace of a route."""
        return self._by_route.get(route, NO_PACE)

    def record(self, route: str, events: int, events_in_run: int, run_s: float) -> None:
        """Record a finished item of this coordinator.

        Parameters
        ----------
        events
            Events of the whole item.
        events_in_run, run_s
            Events and duration of its last run.
        """
        if events_in_run <= 0:
            return
        done = RoutePace(route, float(events), run_s / events_in_run, 1)
        with self._lock:
            self._unreported.append(done)
            self._add(done)

    def take_unreported(self) -> tuple[RoutePace, ...]:
        """Return the paces recorded since the last call."""
        with self._lock:
            unreported, self._unreported = tuple(self._unreported), []
        return unreported

    def add_all(self, done: Iterable[RoutePace]) -> None:
        """Update the averages with the paces that a coordinator reports."""
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
        """Replace the averages with those over all coordinators."""
        with self._lock:
            for one in paces:
                pace = self._by_route.setdefault(one.route, RunPace())
                pace.events_per_item, pace.s_per_event = one.events_per_item, one.s_per_event

    def _add(self, done: RoutePace) -> None:
        pace = self._by_route.setdefault(done.route, RunPace())
        pace.add(done.events_per_item, done.s_per_event, done.items)


def time_left_s(job: CoordinatedJob, item: CoordinatedItem, now: float, pace: RunPace) -> float:
    """Return the time until an item is due; ``INFEASIBLE_DUE_S`` if it cannot finish by then.

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
