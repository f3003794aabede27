"""Simulates a load of batch items in virtual time, to test the order in which items run.

Slots are assigned as the slot allocator does: the most urgent items start first, and the least
urgent ones are preempted when online requests need slots. A preempted item resumes later. The
urgency is computed by the real function.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from quaymill.process.jobs.item_urgency import RunPace, time_left_s

STEP_S = 0.1
EVENT_S = 0.0277
"""Time that an engine needs for one event of an item."""
MEAN_EVENTS = 169.0
EVENTS_SPREAD = 0.25
MAX_EVENTS = 271
RESTART_S = 0.03
"""Time to process prompt and output again after a preemption."""


@attrs.frozen
class Load:
    """A load to simulate.

    Attributes
    ----------
    slots
        Slots of all running engines at a time in seconds.
    online
        Slots used by online requests at a time in seconds.
    jobs_per_s, items_per_job
        Means.
    due_s
        Time from a job's arrival until its items are due.
    length_s
        Time during which jobs arrive.
    """

    slots: Callable[[float], int]
    online: Callable[[float], int]
    jobs_per_s: float
    items_per_job: float = 10.0
    due_s: float = 18.0
    length_s: float = 60.0


@attrs.define(eq=False)
class _Job:
    arrived_at: float
    due_s: float

    def due_at(self) -> float:
        return self.arrived_at + self.due_s


@attrs.define(eq=False)
class _Item:
    job: _Job
    events: int
    done: float = 0.0
    events_at_start: float = 0.0
    started_at: float = 0.0

    @property
    def texts(self) -> range:
        return range(int(self.done))


@attrs.define
class Outcome:
    """Results of a simulation.

    Attributes
    ----------
    in_time, late, undone
        Numbers of items; undone ones had not finished ``due_s`` after the last arrivals.
    cuts
        Runs preempted because online requests needed the slot.
    slot_s_late
        Slot seconds spent on late items.
    """

    in_time: int = 0
    late: int = 0
    undone: int = 0
    cuts: int = 0
    slot_s_late: float = 0.0

    @property
    def total(self) -> int:
        """Number of all items."""
        return self.in_time + self.late + self.undone


class _Player:
    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._pace = RunPace()
        self._waiting: list[_Item] = []
        self._running: list[_Item] = []
        self.outcome = Outcome()

    def run(self) -> Outcome:
        steps = int((self._load.length_s + self._load.due_s) / STEP_S)
        for step in range(steps):
            now = step * STEP_S
            if now < self._load.length_s:
                self._arrive(now)
            self._serve(now)
            self._assign_slots(now + STEP_S)
        self.outcome.undone = len(self._waiting) + len(self._running)
        return self.outcome

    def _arrive(self, now: float) -> None:
        if self._random.random() >= self._load.jobs_per_s * STEP_S:
            return
        job = _Job(now, self._load.due_s)
        spread = 0.4 * self._load.items_per_job
        for _ in range(max(1, round(self._random.gauss(self._load.items_per_job, spread)))):
            events = self._random.gauss(MEAN_EVENTS, EVENTS_SPREAD * MEAN_EVENTS)
            self._waiting.append(_Item(job, int(min(MAX_EVENTS, max(20.0, events)))))

    def _serve(self, now: float) -> None:
        for item in list(self._running):
            item.done += STEP_S / EVENT_S
            if item.done >= item.events:
                self._running.remove(item)
                self._record_done(item, now + STEP_S)

    def _record_done(self, item: _Item, now: float) -> None:
        events_in_run = int(item.events - item.events_at_start)
        if events_in_run > 0:
            self._pace.add(item.events, (now - item.started_at) / events_in_run, 1)
        if now <= item.job.due_at():
            self.outcome.in_time += 1
        else:
            self.outcome.late += 1
            self.outcome.slot_s_late += item.events * EVENT_S

    def _assign_slots(self, now: float) -> None:
        free = self._load.slots(now) - self._load.online(now) - len(self._running)
        if free > 0:
            for item in self._by_urgency(self._waiting, now)[:free]:
                self._waiting.remove(item)
                item.started_at = now
                item.events_at_start = item.done
                self._running.append(item)
        elif free < 0:
            for item in self._by_urgency(self._running, now)[free:]:
                self._running.remove(item)
                item.done = max(0.0, item.done - RESTART_S / EVENT_S)
                self._waiting.append(item)
                self.outcome.cuts += 1

    def _by_urgency(self, items: list[_Item], now: float) -> list[_Item]:
        return sorted(
            items, key=lambda item: (time_left_s(item.job, item, now, self._pace), -item.done)
        )


def play(load: Load, seed: int) -> Outcome:
    """Simulate a load; the same seed gives the same arrivals."""
    return _Player(load, seed).run()
