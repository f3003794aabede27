"""Records crashes of replicas by request content, and decides when a content is refused.

Callers repeat a request that crashes replicas under new ids and at any gateway, and each run ends
a replica with all the requests that it was serving. Requests are therefore identified by a content
digest, and a content is refused ("barred") after it has crashed several replicas.

This module only decides; the current time is a parameter. ``process/poison`` detects crashes and
shares the records among gateways.
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
"""Number of crashed replicas from which on a content is refused; the operators allow three more
runs at gateways that do not know of them yet. At 2, of 83,986 requests at replicas that ended for
other reasons 997 instead of 69 would be refused, while fewer streams are cut by crashing requests
(391 instead of 644 in 40 runs of ``tests/test_poison_load.py``)."""
BARRED_S = 3600.0
"""How long a content is refused after its last crash. Fixing or rolling back a model takes minutes,
and a request that still crashes replicas afterwards costs ``MAX_CRASHES`` of them an hour."""
SUSPECT_S = 600.0
"""How long fewer than ``MAX_CRASHES`` crashes are remembered; covers repeats by hand."""
MAX_RECORDS = 1024
"""Maximum number of recorded contents, about 150 bytes each.

Every crash adds a record for each request that was running at the replica."""


@attrs.frozen
class RequestIdentity:
    """By what a request is recognized when it, or a similar one, is sent again.

    Attributes
    ----------
    content
        Content digest, see ``ForwardedRequest``.
    parts
        Keys of the parts of its prompt that other requests may share.
    """

    content: str
    parts: tuple[str, ...] = ()


class PoisonGuard(Protocol):
    """Decides whether a request or batch item may be run, by the crashes of earlier runs."""

    def barred_for_s(self, identity: RequestIdentity) -> float:
        """Return for how many seconds a request must not be run; 0 if it may be run."""

    def handle_early_close(
        self, identity: RequestIdentity, incarnation: str, address: Endpoint, *, begun: bool
    ) -> None:
        """Handle a connection that closed before the answer was complete, maybe by a crash.

        ``begun`` tells whether the replica had sent an event of this run.
        """

    def record_served(self, identity: RequestIdentity) -> None:
        """Record that a replica has completely answered a request."""


class NoGuard:
    """A ``PoisonGuard`` that records nothing."""

    def barred_for_s(self, identity: RequestIdentity) -> float:
        """Return 0."""
        return 0.0

    def handle_early_close(
        self, identity: RequestIdentity, incarnation: str, address: Endpoint, *, begun: bool
    ) -> None:
        """Do nothing."""

    def record_served(self, identity: RequestIdentity) -> None:
        """Do nothing."""


@attrs.define
class _Crashes:
    """The known crashes of one content.

    Attributes
    ----------
    replicas
        Incarnations of replicas that crashed while running it.
    unrelated
        Those that do not count, since the content was served here after they had crashed.
    last_crash_at
        Monotonic time of the last crash in seconds.
    """

    replicas: frozenset[str]
    unrelated: frozenset[str]
    last_crash_at: float

    @property
    def count(self) -> int:
        return len(self.replicas - self.unrelated)


class PoisonRecords:
    """Crashes by content; thread-safe.

    Records of several gateways are merged by union, so the result does not depend on the order in
    which they arrive. That a content was served is recorded only locally.

    Parameters
    ----------
    max_crashes
        Number of crashes from which on a content is refused.
    """

    def __init__(self, max_crashes: int = MAX_CRASHES) -> None:
        self._max_crashes = max_crashes
        self._lock = threading.Lock()
        self._by_content: dict[str, _Crashes] = {}

    def barred_for_s(self, content: str, now: float) -> float:
        """Return for how many seconds a content must not be run; 0 if it may be run."""
        crashes = self._by_content.get(content)
        if crashes is None or not self._is_barred(crashes):
            return 0.0
        return max(0.0, self._remaining_s(crashes, now))

    def add(self, content: str, incarnation: str, now: float) -> CrashRecord | None:
        """Record a crash; return the changed record, or ``None`` if the crash was known."""
        changed = self.merge([CrashRecord(content, (incarnation,), 0.0)], now)
        return changed[0] if changed else None

    def discount_crashes(self, content: str) -> None:
        """Record that a content was served; earlier crashes no longer count against it."""
        if content not in self._by_content:
            return
        with self._lock:
            crashes = self._by_content.get(content)
            if crashes is not None:
                crashes.unrelated = crashes.replicas

    def merge(self, records: Iterable[CrashRecord], now: float) -> list[CrashRecord]:
        """Merge records of another gateway; return those that have changed."""
        with self._lock:
            self._drop_expired(now)
            changed = [record.content for record in records if self._merge_one(record, now)]
            self._drop_excess()
            return [
                self._record_of(content, now) for content in changed if content in self._by_content
            ]

    def records(self, now: float) -> tuple[CrashRecord, ...]:
        """Return all records."""
        with self._lock:
            self._drop_expired(now)
            return tuple(self._record_of(content, now) for content in self._by_content)

    def digest(self, now: float) -> int:
        """Return a digest of all crashes; 0 if there are none."""
        with self._lock:
            self._drop_expired(now)
            total = 0
            for content, crashes in self._by_content.items():
                key = f"{content} {' '.join(sorted(crashes.replicas))}"
                total ^= xxhash.xxh3_64_intdigest(key.encode()) >> 16
            return total

    def count(self, *, barred: bool) -> int:
        """Return how many contents are barred, or how many have crashes but are not barred."""
        return sum(
            self._is_barred(crashes) is barred for crashes in list(self._by_content.values())
        )

    def crash_count(self, content: str) -> int:
        """Return how many crashes count against a content; those before it was served do not."""
        crashes = self._by_content.get(content)
        return 0 if crashes is None else crashes.count

    def _is_barred(self, crashes: _Crashes) -> bool:
        return crashes.count >= self._max_crashes

    def _remaining_s(self, crashes: _Crashes, now: float) -> float:
        """Return for how many seconds the record is still kept."""
        kept_s = BARRED_S if self._is_barred(crashes) else SUSPECT_S
        return kept_s - (now - crashes.last_crash_at)

    def _merge_one(self, record: CrashRecord, now: float) -> bool:
        """Merge one record; return whether it added a crash."""
        known = self._by_content.get(record.content)
        known_replicas = known.replicas if known else frozenset()
        merged = _Crashes(
            known_replicas | frozenset(record.incarnations),
            known.unrelated if known else frozenset(),
            max(now - max(0.0, record.age_s), known.last_crash_at if known else -BARRED_S),
        )
        if merged.replicas == known_replicas or self._remaining_s(merged, now) <= 0:
            return False
        self._by_content[record.content] = merged
        return True

    def _record_of(self, content: str, now: float) -> CrashRecord:
        crashes = self._by_content[content]
        age_s = round(now - crashes.last_crash_at, 3)
        return CrashRecord(content, tuple(sorted(crashes.replicas)), age_s)

    def _drop_expired(self, now: float) -> None:
        """Drop expired records."""
        self._by_content = {
            content: crashes
            for content, crashes in self._by_content.items()
            if self._remaining_s(crashes, now) > 0
        }

    def _drop_excess(self) -> None:
        """Drop the oldest records above ``MAX_RECORDS``; barred contents are dropped last."""
        by_content = self._by_content
        if len(by_content) > MAX_RECORDS:
            ranked = sorted(
                by_content,
                key=lambda name: (
                    self._is_barred(by_content[name]),
                    by_content[name].last_crash_at,
                ),
            )
            self._by_content = {content: by_content[content] for content in ranked[-MAX_RECORDS:]}
