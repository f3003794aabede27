"""Simulates a load with a request that crashes replicas, to test the records of crashes.

In virtual time, streams run at a constant rate on a few replicas. One request is sent repeatedly
and crashes the replica that runs it; other replicas crash for unrelated reasons. A crash aborts
all streams of the replica, and their callers retry. Replicas are chosen at random and restart some
seconds after a crash. ``PoisonRecords`` decides whether a request may run.
"""

from __future__ import annotations

import heapq
import itertools
import random
import unittest

import attrs
from nose2.tools import params

from quaymill.request.poison import MAX_CRASHES, PoisonRecords

REPLICAS = 6
STREAMS_PER_S = 35.0
STREAM_S = (0.3, 1.2)
CRASH_AFTER_S = 0.1
BACK_AFTER_S = 4.0
POISON_EVERY_S = (0.2, 3.0)
LENGTH_S = 60.0
POISON = "poison"
NO_LIMIT = 10_000


@attrs.define
class Outcome:
    """Results of a simulation.

    Attributes
    ----------
    served, lost
        Streams that were served, and that were not served by any try.
    cut
        Runs of streams that a crash aborted.
    refused
        Streams that were wrongly refused, since replicas happened to crash while running them.
    crashes
        Replicas that the poisonous request crashed.
    """

    served: int = 0
    lost: int = 0
    cut: int = 0
    refused: int = 0
    crashes: int = 0

    @property
    def lost_share(self) -> float:
        """Share of the streams that were not served."""
        return self.lost / (self.served + self.lost)


@attrs.frozen
class Load:
    """Parameters of a simulation.

    Attributes
    ----------
    sendings
        How often the poisonous request is sent.
    other_crashes, other_every_s
        Number of unrelated crashes, and the minimum and maximum time between two of them.
    tries
        Maximum number of runs of a stream, including retries of its caller and of the gateway.
    """

    sendings: int = 0
    other_crashes: int = 0
    other_every_s: tuple[float, float] = (0.05, 1.0)
    tries: int = 2


POISONED = Load(sendings=20)
FLAPPING = Load(other_crashes=60, tries=4)
BOTH = Load(sendings=20, other_crashes=30, tries=4)


@attrs.define(eq=False)
class _Run:
    content: str
    tries_left: int
    replica: int


class _Player:
    """One simulation; events are tuples (time, tie-breaker, function, arguments)."""

    def __init__(self, seed: int, load: Load, max_crashes: int) -> None:
        self._load = load
        self._chance = random.Random(seed)
        self._records = PoisonRecords(max_crashes)
        self._ties = itertools.count()
        self._events: list = []
        self._back_at = [0.0] * REPLICAS
        self._lives = [0] * REPLICAS
        self._running: dict[int, list[_Run]] = {index: [] for index in range(REPLICAS)}
        self.outcome = Outcome()

    def play(self) -> Outcome:
        at = 0.0
        while at < LENGTH_S:
            at += self._chance.expovariate(STREAMS_PER_S)
            self._at(at, self._send, f"stream-{next(self._ties)}", self._load.tries - 1)
        at = 5.0
        for _ in range(self._load.sendings):
            at += self._chance.uniform(*POISON_EVERY_S)
            self._at(at, self._send, POISON, 0)
        at = 5.0
        for _ in range(self._load.other_crashes):
            at += self._chance.uniform(*self._load.other_every_s)
            self._at(at, self._crash, self._chance.randrange(REPLICAS))
        while self._events:
            now, _, do, arguments = heapq.heappop(self._events)
            do(now, *arguments)
        return self.outcome

    def _at(self, when: float, do, *arguments) -> None:
        heapq.heappush(self._events, (when, next(self._ties), do, arguments))

    def _send(self, now: float, content: str, tries_left: int) -> None:
        serving = [index for index in range(REPLICAS) if self._back_at[index] <= now]
        barred = self._records.barred_for_s(content, now) > 0
        if barred and content != POISON:
            self.outcome.refused += 1
        if barred or not serving:
            self._lose(content)
            return
        run = _Run(content, tries_left, self._chance.choice(serving))
        self._running[run.replica].append(run)
        if content == POISON:
            self._at(now + CRASH_AFTER_S, self._crash_by, run)
        else:
            self._at(now + self._chance.uniform(*STREAM_S), self._end, run)

    def _end(self, now: float, run: _Run) -> None:
        if run in self._running[run.replica]:
            self._running[run.replica].remove(run)
            self._records.excuse(run.content)
            self.outcome.served += 1

    def _crash_by(self, now: float, culprit: _Run) -> None:
        if culprit in self._running[culprit.replica]:
            self.outcome.crashes += 1
            self._crash(now, culprit.replica)

    def _crash(self, now: float, replica: int) -> None:
        cut, self._running[replica] = self._running[replica], []
        self._lives[replica] += 1
        self._back_at[replica] = now + BACK_AFTER_S
        for run in cut:
            self.outcome.cut += run.content != POISON
            self._records.add(run.content, f"{replica}/{self._lives[replica]}", now)
            if run.tries_left:
                self._at(now, self._send, run.content, run.tries_left - 1)
            else:
                self._lose(run.content)

    def _lose(self, content: str) -> None:
        self.outcome.lost += content != POISON


def play(seed: int, load: Load = POISONED, max_crashes: int = MAX_CRASHES) -> Outcome:
    """Simulate a load once."""
    return _Player(seed, load, max_crashes).play()


def total(load: Load, max_crashes: int, seeds: int = 40) -> Outcome:
    """Return the sum of the outcomes of a load over several seeds."""
    plays = [attrs.astuple(play(seed, load, max_crashes)) for seed in range(seeds)]
    return Outcome(*(sum(column) for column in zip(*plays, strict=True)))


class PoisonLoadTest(unittest.TestCase):
    """The poisonous request is stopped, and other requests are rarely lost or refused."""

    @params(*range(1, 9))
    def test_crashes_end_and_others_are_served(self, seed: int) -> None:
        without = play(seed, max_crashes=NO_LIMIT)
        outcome = play(seed)
        self.assertEqual(MAX_CRASHES, outcome.crashes)
        self.assertGreater(without.crashes, 4 * MAX_CRASHES)
        self.assertLess(outcome.cut, without.cut / 2)
        self.assertLess(outcome.lost_share, 0.005)

    def test_who_ran_beside_replicas_that_end_otherwise_is_seldom_refused(self) -> None:
        refused, other_limit = total(FLAPPING, MAX_CRASHES, 8), total(FLAPPING, MAX_CRASHES - 1, 8)
        self.assertLess(refused.refused / (refused.served + refused.lost), 0.002)
        self.assertGreater(other_limit.refused, 5 * refused.refused)

    def test_fewer_are_lost_where_both_come_together(self) -> None:
        self.assertLess(total(BOTH, MAX_CRASHES, 8).lost, total(BOTH, NO_LIMIT, 8).lost / 1.5)


if __name__ == "__main__":
    for load in (POISONED, FLAPPING, BOTH):
        for limit in (1, 2, 3, 4, NO_LIMIT):
            print(load, limit, total(load, limit))
