"""Fault switches of the stand-ins: what goes wrong, how often, and how it is drawn.

All three stand-ins share these switches. They are set by the flag ``--faults JSON`` or by
``POST /standin/faults``, which replaces all of them. Each draw is a pure function of the
seed, the name of the switch and the number of the request, so that the same seed gives the
same faults in the same order of requests.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable
from typing import Annotated, Literal

import msgspec
import xxhash

Probability = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0)]
Factor = Annotated[float, msgspec.Meta(gt=0.0)]

_DRAW_RANGE = 2.0**64


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The switches; the defaults are no fault at all.

    Attributes
    ----------
    delay_s, delay_probability
        Wait before a request is handled, and the share of requests that wait.
    refuse
        Every request is refused with 503 and ``Quaymill-Outcome: not-run``.
    error_probability
        Answered with 500: before any effect by the platform and the engine, after the run
        by the application.
    drop_probability
        The connection is closed without an answer, before any effect.
    lose_answer_probability
        The request takes effect, then the connection is closed without an answer.
    truncate_probability
        The connection is closed in the middle of the answer.
    cross_probability
        The answer carries the request id and the content of another request.
    freeze
        Requests are accepted and nothing is answered until the switch is off.
    down
        Connections that carry requests are closed at once, those in service included.
    load_lies
        What ``GET /load`` says instead of the truth: the state at the time of the switch
        (``stale``), an idle replica (``zero``), or nothing but 503 (``none``).
    slow_factor
        Multiplies the duration of an engine step.
    watch_silent
        Watches of the platform stay open and say nothing.
    """

    delay_s: Seconds = 0.0
    delay_probability: Probability = 1.0
    refuse: bool = False
    error_probability: Probability = 0.0
    drop_probability: Probability = 0.0
    lose_answer_probability: Probability = 0.0
    truncate_probability: Probability = 0.0
    cross_probability: Probability = 0.0
    freeze: bool = False
    down: bool = False
    load_lies: Literal["", "stale", "zero", "none"] = ""
    slow_factor: Factor = 1.0
    watch_silent: bool = False
    seed: int = 0


class RequestFaults(msgspec.Struct, frozen=True):
    """The faults drawn for one request.

    Attributes
    ----------
    cut_at
        Where a truncated answer ends, as a share of its length from 0 up to 1.
    """

    delay_s: float = 0.0
    error: bool = False
    drop: bool = False
    lose_answer: bool = False
    truncate: bool = False
    cross: bool = False
    cut_at: float = 0.0


class FaultSwitches:
    """The switches in force, shared by all threads of a stand-in."""

    def __init__(self, faults: Faults | None = None) -> None:
        self._changed = threading.Condition()
        self._faults = faults or Faults()
        self._requests_drawn = 0
        self._injected: Counter[str] = Counter()
        self._subscribers: list[Callable[[Faults], None]] = []
        self._stopping = False

    def current(self) -> Faults:
        """Return the switches in force."""
        return self._faults

    def subscribe(self, callback: Callable[[Faults], None]) -> None:
        """Call ``callback`` each time after the switches were replaced."""
        self._subscribers.append(callback)

    def replace(self, faults: Faults) -> None:
        """Put other switches in force; draws start again from the first request."""
        with self._changed:
            self._faults = faults
            self._requests_drawn = 0
            self._changed.notify_all()
        for callback in self._subscribers:
            callback(faults)

    def stop(self) -> None:
        """Let all frozen requests go, because the stand-in stops."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def injected(self) -> dict[str, int]:
        """Return how many times each fault was brought about since the start."""
        with self._changed:
            return dict(self._injected)

    def count(self, name: str) -> None:
        """Note that the fault ``name`` was brought about."""
        with self._changed:
            self._injected[name] += 1

    def draw(self) -> RequestFaults:
        """Draw the faults of the next request."""
        with self._changed:
            faults = self._faults
            number = self._requests_drawn
            self._requests_drawn += 1
        delayed = faults.delay_s > 0.0 and _draw(faults.seed, "delay", number) < (
            faults.delay_probability
        )
        return RequestFaults(
            delay_s=faults.delay_s if delayed else 0.0,
            error=_draw(faults.seed, "error", number) < faults.error_probability,
            drop=_draw(faults.seed, "drop", number) < faults.drop_probability,
            lose_answer=_draw(faults.seed, "lose_answer", number) < faults.lose_answer_probability,
            truncate=_draw(faults.seed, "truncate", number) < faults.truncate_probability,
            cross=_draw(faults.seed, "cross", number) < faults.cross_probability,
            cut_at=_draw(faults.seed, "cut_at", number),
        )

    def wait_while_frozen(self) -> None:
        """Return when ``freeze`` is off or the stand-in stops."""
        with self._changed:
            if self._faults.freeze:
                self._injected["freeze"] += 1
            self._changed.wait_for(lambda: not self._faults.freeze or self._stopping)

    def wait(self, timeout_s: float) -> bool:
        """Wait ``timeout_s`` seconds; return early with true when the stand-in stops."""
        with self._changed:
            return self._changed.wait_for(lambda: self._stopping, timeout_s)


def _draw(seed: int, name: str, number: int) -> float:
    """Return a number from 0 up to 1 that depends on the arguments alone."""
    return xxhash.xxh3_64_intdigest(f"{seed}/{name}/{number}".encode()) / _DRAW_RANGE
