"""Requests that crash the replicas that run them: what is remembered, and when one is refused.

A caller sends such a request again and again, under new ids and at any gateway. Without a memory
of the request itself each sending costs a replica, with all that it was running: on a recorded day
two requests ended 37 replicas of six places within 70 s, and a third of the streams beside them.

The functions and records here decide; time is a parameter. ``process/poison`` finds out whether a
replica has crashed, and shares the records between gateways.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable
from typing import Protocol

import attrs
import xxhash

from quaymill.connection.crash_messages import CrashRecord
from quaymill.connection.endpoint import Endpoint

MAX_CRASHES = 3
"""Replicas that may crash under one request: the operators' figure, who allow three runs more for
gateways that could not be told yet. At 2 a crashing request cuts fewer streams beside it (391
instead of 644 in 40 plays), but of 83,986 beside replicas that end for other reasons 997 instead
of 69 would be refused that another replica could serve (``tests/test_poison_load.py``)."""
BARRED_S = 3600.0
"""How long a request is refused after its last crash: operators who mend a model or roll it back
take minutes, and a request that still crashes then costs ``MAX_CRASHES`` replicas an hour."""
SUSPECT_S = 600.0
"""How long fewer crashes are remembered: callers that repeat a request by hand come back within
minutes."""
MAX_RECORDS = 1024
"""Requests remembered at once, 150 bytes each; every crash adds what ran at the replica (19 slots
at most on the deployments known), so 50 crashes within ``SUSPECT_S`` fit."""


class PoisonGuard(Protocol):
    """What a request or a batch item needs to know of earlier runs of its content."""

    def barred_for_s(self, content: str) -> float:
        """Return for how long a content must not be run; 0 if it may be."""

    def note_closed(self, content: str, incarnation: str, address: Endpoint) -> None:
        """Note that a replica closed the connection before the answer to a content was whole."""

    def note_served(self, content: str) -> None:
        """Note that a replica has run a content to its end."""


class NoGuard:
    """Stands for: nothing is remembered."""

    def barred_for_s(self, content: str) -> float:
        """Return 0."""
        return 0.0

    def note_closed(self, content: str, incarnation: str, address: Endpoint) -> None:
        """Do nothing."""

    def note_served(self, content: str) -> None:
        """Do nothing."""


@attrs.define
class _Crashes:
    """What is known of one content.

    Attributes
    ----------
    replicas
        Starts of replicas that crashed while they ran it.
    excused
        Those of them after which it was served here: they crashed of something else.
    last_at
        Monotonic time of the last crash.
    """

    replicas: frozenset[str]
    excused: frozenset[str]
    last_at: float

    @property
    def count(self) -> int:
        return len(self.replicas - self.excused)


class PoisonRecords:
    """Crashes by content; safe to use from any thread.

    Records of two gateways are merged by union, so that they come out alike in whatever order
    they arrive. That a content was served is kept to the gateway that saw it.

    Parameters
    ----------
    max_crashes
        Crashes from which on a content is refused.
    """

    def __init__(self, max_crashes: int = MAX_CRASHES) -> None:
        self._max_crashes = max_crashes
        self._lock = threading.Lock()
        self._by_content: dict[str, _Crashes] = {}

    def barred_for_s(self, content: str, now: float) -> float:
        """Return for how long a content must not be run; 0 if it may be."""
        crashes = self._by_content.get(content)
        if crashes is None or not self._is_barred(crashes):
            return 0.0
        return max(0.0, self._left_s(crashes, now))

    def add(self, content: str, incarnation: str, now: float) -> CrashRecord | None:
        """Note a crash; return the record, or ``None`` if it was known."""
        changed = self.merge([CrashRecord(content, (incarnation,), 0.0)], now)
        return changed[0] if changed else None

    def excuse(self, content: str) -> None:
        """Note that a content was served: the replicas before crashed of something else."""
        if content not in self._by_content:
            return
        with self._lock:
            crashes = self._by_content.get(content)
            if crashes is not None:
                crashes.excused = crashes.replicas

    def merge(self, records: Iterable[CrashRecord], now: float) -> list[CrashRecord]:
        """Take records; return those that stand otherwise than before."""
        with self._lock:
            self._forget(now)
            changed = [record.content for record in records if self._take(record, now)]
            self._drop_beyond_bound()
            return [
                self._record(content, now) for content in changed if content in self._by_content
            ]

    def records(self, now: float) -> tuple[CrashRecord, ...]:
        """Return all that is remembered."""
        with self._lock:
            self._forget(now)
            return tuple(self._record(content, now) for content in self._by_content)

    def digest(self, now: float) -> int:
        """Return a digest of all crashes; 0 if there are none."""
        with self._lock:
            self._forget(now)
            total = 0
            for content, crashes in self._by_content.items():
                key = f"{content} {' '.join(sorted(crashes.replicas))}"
                total ^= xxhash.xxh3_64_intdigest(key.encode()) >> 16
            return total

    def count(self, *, barred: bool) -> int:
        """Return how many contents are refused, or have crashed fewer replicas."""
        return sum(
            self._is_barred(crashes) is barred for crashes in list(self._by_content.values())
        )

    def crashes_of(self, content: str) -> int:
        """Return how many replicas have crashed under a content, as far as is known here."""
        crashes = self._by_content.get(content)
        return 0 if crashes is None else crashes.count

    def _is_barred(self, crashes: _Crashes) -> bool:
        return crashes.count >= self._max_crashes

    def _left_s(self, crashes: _Crashes, now: float) -> float:
        """Return for how long crashes are still remembered."""
        kept_s = BARRED_S if self._is_barred(crashes) else SUSPECT_S
        return kept_s - (now - crashes.last_at)

    def _take(self, record: CrashRecord, now: float) -> bool:
        """Merge one record; return whether it brought a crash that was not known."""
        known = self._by_content.get(record.content)
        before = known.replicas if known else frozenset()
        taken = _Crashes(
            before | frozenset(record.incarnations),
            known.excused if known else frozenset(),
            max(now - max(0.0, record.age_s), known.last_at if known else -BARRED_S),
        )
        if taken.replicas == before or self._left_s(taken, now) <= 0:
            return False
        self._by_content[record.content] = taken
        return True

    def _record(self, content: str, now: float) -> CrashRecord:
        crashes = self._by_content[content]
        age_s = round(now - crashes.last_at, 3)
        return CrashRecord(content, tuple(sorted(crashes.replicas)), age_s)

    def _forget(self, now: float) -> None:
        """Drop what has been remembered for long enough."""
        self._by_content = {
            content: crashes
            for content, crashes in self._by_content.items()
            if self._left_s(crashes, now) > 0
        }

    def _drop_beyond_bound(self) -> None:
        """Drop the oldest beyond the bound, those that are refused last."""
        held = self._by_content
        if len(held) > MAX_RECORDS:
            ranked = sorted(
                held, key=lambda name: (self._is_barred(held[name]), held[name].last_at)
            )
            self._by_content = {content: held[content] for content in ranked[-MAX_RECORDS:]}
