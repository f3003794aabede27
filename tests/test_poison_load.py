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
RESTART_S = 4.0
POISON_INTERVAL_S = (0.2, 3.0)
LENGTH_S = 60.0
POISON = "poison"
NO_LIMIT = 10_000


@attrs.define
class Outcome:
    """Results of a simulation.

    Attributes
    ----------
    served, lost
        Streams that were served, and that were not served in any attempt.
    aborted
        Runs of streams that a crash aborted.
    refused
        Streams that were wrongly refused, since replicas happened to crash while running them.
    crashes
        Replicas that the poisonous request crashed.
    """

    served: int = 0
    lost: int = 0
    aborted: int = 0
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
    poison_requests
        How often the poisonous request is sent.
    other_crashes, other_interval_s
        Number of unrelated crashes, and the minimum and maximum time between two of them.
    tries
        Maximum number of runs of a stream, including retries of its caller and of the gateway.
    """

    poison_requests: int = 0
    other_crashes: int = 0
    other_interval_s: tuple[float, float] = (0.05, 1.0)
    tries: int = 2


POISONED = Load(poison_requests=20)
FLAPPING = Load(other_crashes=60, tries=4)
BOTH = Load(poison_requests=20, other_crashes=30, tries=4)


@attrs.define(eq=False)
class _Run:
    content: str
    tries_left: int
    replica: int


class _Simulation:
    """One simulation; events are tuples (time, tie-breaker, function, arguments)."""

    def __init__(self, seed: int, load: Load, max_crashes: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._records = PoisonRecords(max_crashes)
        self._tie_breakers = itertools.count()
        self._events: list = []
        self._restarted_at = [0.0] * REPLICAS
        self._incarnations = [0] * REPLICAS
        self._running: dict[int, list[_Run]] = {index: [] for index in range(REPLICAS)}
        self.outcome = Outcome()

    def simulate(self) -> Outcome:
        at = 0.0
        while at < LENGTH_S:
            at += self._random.expovariate(STREAMS_PER_S)
            self._schedule(
                at, self._send, f"stream-{next(self._tie_breakers)}", self._load.tries - 1
            )
        at = 5.0
        for _ in range(self._load.poison_requests):
            at += self._random.uniform(*POISON_INTERVAL_S)
            self._schedule(at, self._send, POISON, 0)
        at = 5.0
        for _ in range(self._load.other_crashes):
            at += self._random.uniform(*self._load.other_interval_s)
            self._schedule(at, self._crash, self._random.randrange(REPLICAS))
        while self._events:
            now, _, function, arguments = heapq.heappop(self._events)
            function(now, *arguments)
        return self.outcome

    def _schedule(self, when: float, function, *arguments) -> None:
        heapq.heappush(self._events, (when, next(self._tie_breakers), function, arguments))

    def _send(self, now: float, content: str, tries_left: int) -> None:
        serving = [index for index in range(REPLICAS) if self._restarted_at[index] <= now]
        barred = self._records.barred_for_s(content, now) > 0
        if barred and content != POISON:
            self.outcome.refused += 1
        if barred or not serving:
            self._lose(content)
            return
        run = _Run(content, tries_left, self._random.choice(serving))
        self._running[run.replica].append(run)
        if content == POISON:
            self._schedule(now + CRASH_AFTER_S, self._crash_by, run)
        else:
            self._schedule(now + self._random.uniform(*STREAM_S), self._end, run)

    def _end(self, now: float, run: _Run) -> None:
        if run in self._running[run.replica]:
            self._running[run.replica].remove(run)
            self._records.discount_crashes(run.content)
            self.outcome.served += 1

    def _crash_by(self, now: float, culprit: _Run) -> None:
        if culprit in self._running[culprit.replica]:
            self.outcome.crashes += 1
            self._crash(now, culprit.replica)

    def _crash(self, now: float, replica: int) -> None:
        aborted, self._running[replica] = self._running[replica], []
        self._incarnations[replica] += 1
        self._restarted_at[replica] = now + RESTART_S
        for run in aborted:
            self.outcome.aborted += run.content != POISON
            self._records.add(run.content, f"{replica}/{self._incarnations[replica]}", now)
            if run.tries_left:
                self._schedule(now, self._send, run.content, run.tries_left - 1)
            else:
                self._lose(run.content)

    def _lose(self, content: str) -> None:
        self.outcome.lost += content != POISON


def simulate(seed: int, load: Load = POISONED, max_crashes: int = MAX_CRASHES) -> Outcome:
    """Simulate a load once."""
    return _Simulation(seed, load, max_crashes).simulate()


def total(load: Load, max_crashes: int, seeds: int = 40) -> Outcome:
    """Return the sum of the outcomes of a load over several seeds."""
    outcomes = [attrs.astuple(simulate(seed, load, max_crashes)) for seed in range(seeds)]
    return Outcome(*(sum(column) for column in zip(*outcomes, strict=True)))


class PoisonLoadTest(unittest.TestCase):
    """The poisonous request is stopped, and other requests are rarely lost or refused."""

    @params(*range(1, 9))
    def test_poisonous_request_is_stopped_and_others_are_served(self, seed: int) -> None:
        without = simulate(seed, max_crashes=NO_LIMIT)
        outcome = simulate(seed)
        self.assertEqual(MAX_CRASHES, outcome.crashes)
        self.assertGreater(without.crashes, 4 * MAX_CRASHES)
        self.assertLess(outcome.aborted, without.aborted / 2)
        self.assertLess(outcome.lost_share, 0.005)

    def test_unrelated_crashes_seldom_cause_refusals(self) -> None:
        refused, other_limit = total(FLAPPING, MAX_CRASHES, 8), total(FLAPPING, MAX_CRASHES - 1, 8)
        self.assertLess(refused.refused / (refused.served + refused.lost), 0.002)
        self.assertGreater(other_limit.refused, 5 * refused.refused)

    def test_fewer_are_lost_with_both_kinds_of_crashes(self) -> None:
        self.assertLess(total(BOTH, MAX_CRASHES, 8).lost, total(BOTH, NO_LIMIT, 8).lost / 1.5)


if __name__ == "__main__":
    for load in (POISONED, FLAPPING, BOTH):
        for limit in (1, 2, 3, 4, NO_LIMIT):
            print(load, limit, total(load, limit))
