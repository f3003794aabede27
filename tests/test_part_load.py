"""Simulates a load in which one prompt part crashes replicas, to test the judgement of parts.

In virtual time, streams whose prompts share parts run at a constant rate on a few replicas. All
share the first part; a second part is one of many, some of them rare. Requests with a bad second
part, no two alike, crash the replica that begins to answer them; other replicas crash for
unrelated reasons. ``PoisonRecords`` decides whether a request may run.
"""

from __future__ import annotations

import heapq
import itertools
import random
import unittest

import attrs
from nose2.tools import params

from quaymill.request.poison import MAX_CRASHES, PoisonRecords, RequestIdentity, part_key

REPLICAS = 6
STREAMS_PER_S = 35.0
FIRST_EVENT_S = (0.05, 0.3)
STREAM_S = (0.3, 1.2)
CRASH_AFTER_S = 0.1
RESTART_S = 4.0
BAD_INTERVAL_S = (0.1, 2.0)
LENGTH_S = 60.0
DOCUMENTS = 400
COMMON, BAD = part_key("m", "common"), part_key("m", "bad")


@attrs.frozen
class Load:
    """Parameters of a simulation: bad requests, unrelated crashes, and runs of a stream."""

    bad_requests: int = 0
    other_crashes: int = 0
    tries: int = 3
    first_crash_s: float = 5.0


@attrs.define
class Outcome:
    """Sound streams served and refused, and replicas that the bad part crashed."""

    served: int = 0
    refused: int = 0
    crashes: int = 0


@attrs.define(eq=False)
class _Run:
    identity: RequestIdentity
    tries_left: int
    replica: int
    begun: bool = False

    @property
    def is_bad(self) -> bool:
        return BAD in self.identity.parts


class _Simulation:
    """One simulation; events are tuples (time, tie-breaker, function, arguments)."""

    def __init__(self, seed: int, load: Load, max_crashes: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._records = PoisonRecords(max_crashes)
        self._numbers = itertools.count()
        self._events: list = []
        self._restarted_at = [0.0] * REPLICAS
        self._running: list[list[_Run]] = [[] for _ in range(REPLICAS)]
        self.outcome = Outcome()

    def simulate(self) -> Outcome:
        at = 0.0
        while at < LENGTH_S:
            at += self._random.expovariate(STREAMS_PER_S)
            document = int(DOCUMENTS * self._random.random() ** 2)
            self._schedule(at, self._send, self._identity(f"document-{document}"), self._load.tries)
        at = self._load.first_crash_s
        for _ in range(self._load.bad_requests):
            at += self._random.uniform(*BAD_INTERVAL_S)
            self._schedule(at, self._send, self._identity("bad"), 1)
        for _ in range(self._load.other_crashes):
            at = self._random.uniform(self._load.first_crash_s, LENGTH_S)
            self._schedule(at, self._crash, self._random.randrange(REPLICAS))
        while self._events:
            now, _, function, arguments = heapq.heappop(self._events)
            function(now, *arguments)
        return self.outcome

    def _identity(self, part_id: str) -> RequestIdentity:
        return RequestIdentity(f"content-{next(self._numbers)}", (COMMON, part_key("m", part_id)))

    def _schedule(self, when: float, function, *arguments) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), function, arguments))

    def _send(self, now: float, identity: RequestIdentity, tries: int) -> None:
        serving = [index for index in range(REPLICAS) if self._restarted_at[index] <= now]
        if any(self._records.barred_for_s(key, now) > 0 for key in identity.keys):
            self.outcome.refused += BAD not in identity.parts
            return
        if not serving:
            return
        run = _Run(identity, tries - 1, self._random.choice(serving))
        self._running[run.replica].append(run)
        if run.is_bad:
            self._schedule(now + CRASH_AFTER_S, self._crash_by, run)
        else:
            first_s = self._random.uniform(*FIRST_EVENT_S)
            self._schedule(now + first_s, self._begin, run)
            self._schedule(now + first_s + self._random.uniform(*STREAM_S), self._end, run)

    def _begin(self, now: float, run: _Run) -> None:
        if run in self._running[run.replica]:
            run.begun = True
            self._records.record_parts_served(run.identity.parts, now)

    def _end(self, now: float, run: _Run) -> None:
        if run in self._running[run.replica]:
            self._running[run.replica].remove(run)
            self._records.discount_crashes(run.identity.content)
            self.outcome.served += 1

    def _crash_by(self, now: float, culprit: _Run) -> None:
        if culprit in self._running[culprit.replica]:
            self.outcome.crashes += 1
            self._crash(now, culprit.replica)

    def _crash(self, now: float, replica: int) -> None:
        aborted, self._running[replica] = self._running[replica], []
        self._restarted_at[replica] = now + RESTART_S
        incarnation = f"{replica}/{next(self._numbers)}"
        for run in aborted:
            for key in (run.identity.content,) if run.begun else run.identity.keys:
                self._records.add(key, incarnation, now)
            if run.tries_left:
                self._schedule(now, self._send, run.identity, run.tries_left)


def simulate(load: Load, seeds: int, max_crashes: int = MAX_CRASHES) -> Outcome:
    """Simulate a load with several seeds; return the sums."""
    total = Outcome()
    for seed in range(seeds):
        outcome = _Simulation(seed, load, max_crashes).simulate()
        total.served += outcome.served
        total.refused += outcome.refused
        total.crashes += outcome.crashes
    return total


class PartLoadTest(unittest.TestCase):
    """What callers get while a part crashes replicas, and while replicas crash anyway."""

    SEEDS = 10

    @params(Load(bad_requests=20), Load(bad_requests=20, first_crash_s=0.0))
    def test_bad_part_crashes_few_replicas_and_sound_requests_are_served(self, load) -> None:
        outcome = simulate(load, self.SEEDS)
        self.assertLessEqual(outcome.crashes, (MAX_CRASHES + 1) * self.SEEDS)
        self.assertLess(outcome.refused, outcome.served / 1000)

    @params(Load(other_crashes=60), Load(other_crashes=60, first_crash_s=0.0))
    def test_crashes_for_other_reasons_bar_hardly_anybody(self, load) -> None:
        outcome = simulate(load, self.SEEDS)
        self.assertLess(outcome.refused, outcome.served / 1000)

    def test_bad_part_is_found_beside_crashes_for_other_reasons(self) -> None:
        outcome = simulate(Load(bad_requests=20, other_crashes=40), self.SEEDS)
        self.assertLessEqual(outcome.crashes, (MAX_CRASHES + 1) * self.SEEDS)
        self.assertLess(outcome.refused, outcome.served / 1000)


if __name__ == "__main__":
    unittest.main()
