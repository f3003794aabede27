"""Random fault schedules: a pure function of seed and round, so that each can be replayed."""

from __future__ import annotations

import enum

import msgspec
import numpy

ROUND_ACTIVE_S = 2.5
EARLIEST_START_S = 0.2
SHORTEST_FAULT_S = 0.3
LONGEST_FAULT_S = 2.0
SECOND_FAULT_PROBABILITY = 0.6


class FaultKind(enum.StrEnum):
    """What goes wrong.

    A name begins with what is hit; ``NODE_WIPED`` is a kill after which the node comes back
    with an empty disk, ``..._LOST_ANSWERS`` takes effect and then closes the connection.
    """

    NODE_KILLED = "node_killed"
    NODE_FROZEN = "node_frozen"
    NODE_WIPED = "node_wiped"
    NODE_STOPPED = "node_stopped"
    ZONE_CUT = "zone_cut"
    ZONE_CUT_ONE_WAY = "zone_cut_one_way"
    ENGINE_KILLED = "engine_killed"
    ENGINE_FROZEN = "engine_frozen"
    ENGINE_LOST_ANSWERS = "engine_lost_answers"
    ENGINE_TRUNCATED = "engine_truncated"
    ENGINE_CROSSED = "engine_crossed"
    ENGINE_SLOW = "engine_slow"
    ENGINE_REFUSING = "engine_refusing"
    ENGINE_LIES = "engine_lies"
    APPLICATION_LOST_ANSWERS = "application_lost_answers"
    APPLICATION_FROZEN = "application_frozen"
    APPLICATION_DOWN = "application_down"
    APPLICATION_DROPS = "application_drops"
    PLATFORM_DOWN = "platform_down"
    PLATFORM_FROZEN = "platform_frozen"
    PLATFORM_LOST_ANSWERS = "platform_lost_answers"
    PLATFORM_WATCH_SILENT = "platform_watch_silent"


# The faults that the promises are about come more often than the milder ones.
WEIGHTS = {
    FaultKind.NODE_KILLED: 4,
    FaultKind.NODE_FROZEN: 4,
    FaultKind.NODE_WIPED: 4,
    FaultKind.NODE_STOPPED: 1,
    FaultKind.ZONE_CUT: 3,
    FaultKind.ZONE_CUT_ONE_WAY: 2,
    FaultKind.ENGINE_KILLED: 2,
    FaultKind.ENGINE_FROZEN: 2,
    FaultKind.APPLICATION_LOST_ANSWERS: 3,
    FaultKind.APPLICATION_FROZEN: 2,
    FaultKind.PLATFORM_DOWN: 2,
}


class FaultEvent(msgspec.Struct, frozen=True):
    """One fault from ``start_s`` on, for ``duration_s``, at the target of that index."""

    kind: FaultKind
    start_s: float
    duration_s: float
    target: int


class RoundSchedule(msgspec.Struct, frozen=True):
    """The faults of one round."""

    seed: int
    round_number: int
    events: tuple[FaultEvent, ...]


def draw_schedule(seed: int, round_number: int, targets: int = 3) -> RoundSchedule:
    """Return the faults of one round: one, or two that overlap in any way.

    At most one of them wipes a disk: with three disks in a group, the loss of a second one
    before the first is restored goes beyond what is promised.

    Parameters
    ----------
    targets
        Number of targets of each kind; events take their index modulo what there is.
    """
    generator = numpy.random.default_rng([seed, round_number])
    count = 2 if generator.random() < SECOND_FAULT_PROBABILITY else 1
    events: list[FaultEvent] = []
    while len(events) < count:
        event = _draw_event(generator, targets)
        if not any(_excludes(event, other) for other in events):
            events.append(event)
    return RoundSchedule(seed, round_number, tuple(events))


def _draw_event(generator: numpy.random.Generator, targets: int) -> FaultEvent:
    kinds = list(FaultKind)
    weights = numpy.array([WEIGHTS.get(kind, 1) for kind in kinds], dtype=float)
    kind = kinds[int(generator.choice(len(kinds), p=weights / weights.sum()))]
    start_s = float(generator.uniform(EARLIEST_START_S, ROUND_ACTIVE_S))
    duration_s = float(generator.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S))
    return FaultEvent(
        kind, round(start_s, 3), round(duration_s, 3), int(generator.integers(targets))
    )


def _excludes(event: FaultEvent, other: FaultEvent) -> bool:
    """Return whether two faults cannot be brought about together."""
    if event.kind == other.kind == FaultKind.NODE_WIPED:
        return True
    same_family = event.kind.split("_")[0] == other.kind.split("_")[0]
    cuts = {FaultKind.ZONE_CUT, FaultKind.ZONE_CUT_ONE_WAY}
    if {event.kind, other.kind} <= cuts:
        return True
    return same_family and event.target == other.target
