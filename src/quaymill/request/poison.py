"""Records crashes of replicas by request content and prompt part, and decides what is refused.

Callers repeat a request that crashes replicas under new ids and at any gateway, and each run ends
a replica with all the requests that it was serving. Requests are therefore identified by a content
digest, and a content is refused ("barred") after it has crashed several replicas.

Requests that are all different may share a prompt part that crashes replicas. A part is judged by
the requests with it that were waiting for the begin of their answers when a replica crashed. Sound
parts are among them too, so a crash does not count against a part that was served shortly before,
or that is served afterwards; and a part is barred only once requests of the same model without it
have been served since its first crash. The crashes of a barred part do not count against contents
that ran beside it.

Batch items are not judged: an accepted item is run until it succeeds or its time is over, and a
crash while it runs counts against nothing. Items that are served are evidence for their parts.

This module only decides; the current time is a parameter. ``process/poison`` detects crashes and
shares the records among gateways.
"""

from __future__ import annotations

import math
import threading
from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

import attrs
import xxhash

from quaymill.connection.crash_messages import CrashRecord
from quaymill.connection.endpoint import Endpoint

MAX_CRASHES = 3
"""Number of crashed replicas from which on a content or part is refused. The operators allow three
more runs at gateways that do not know of them yet."""
BARRED_S = 3600.0
"""How long a content is refused after its last crash. Fixing or rolling back a model takes minutes,
and a request that still crashes replicas afterwards costs ``MAX_CRASHES`` of them an hour."""
SERVED_S = 600.0
"""How long after a prompt part was served crashes do not count against it."""
MAX_SERVED_PARTS = 4096
"""Maximum number of served parts that are remembered."""
SUSPECT_S = 600.0
"""How long fewer than ``MAX_CRASHES`` crashes are remembered; covers repeats by hand."""
MAX_RECORDS = 1024
"""Maximum number of recorded contents and parts, about 150 bytes each.

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

    @property
    def keys(self) -> tuple[str, ...]:
        """All keys by which crashes are recorded."""
        return (self.content, *self.parts)


PART_PREFIX = "part"
KEY_SEPARATOR = "-"


def part_key(model: str, part_id: str) -> str:
    """Return the key of a prompt part of a model."""
    digests = (xxhash.xxh3_64_hexdigest(text.encode()) for text in (model, part_id))
    return KEY_SEPARATOR.join((PART_PREFIX, *digests))


def _model_of(key: str) -> str:
    """Return the digest of a part's model; empty if the key is that of a content."""
    prefix, _, rest = key.partition(KEY_SEPARATOR)
    return rest.partition(KEY_SEPARATOR)[0] if prefix == PART_PREFIX else ""


class PoisonGuard(Protocol):
    """Decides whether a request may be run, by the crashes of earlier runs."""

    def barred_for_s(self, identity: RequestIdentity) -> float:
        """Return for how many seconds a request must not be run; 0 if it may be run."""

    def handle_early_close(
        self, identity: RequestIdentity, incarnation: str, address: Endpoint, *, begun: bool
    ) -> None:
        """Handle a connection that closed before the answer was complete, maybe by a crash.

        ``begun`` tells whether the replica had sent an event of this run.
        """

    def record_begun(self, identity: RequestIdentity) -> None:
        """Record that a replica has begun to answer a request."""

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

    def record_begun(self, identity: RequestIdentity) -> None:
        """Do nothing."""

    def record_served(self, identity: RequestIdentity) -> None:
        """Do nothing."""


@attrs.define
class _Crashes:
    """The known crashes of one content or part.

    Attributes
    ----------
    replicas
        Incarnations of replicas that crashed while running it.
    unrelated
        Those that do not count, since the content was served here after they had crashed.
    excused
        Those that do not count at any gateway, since the part was served.
    contrasted
        Whether requests of the same model without the part were served since the first crash.
    last_crash_at
        Monotonic time of the last crash in seconds.
    """

    replicas: frozenset[str]
    last_crash_at: float
    unrelated: frozenset[str] = frozenset()
    excused: frozenset[str] = frozenset()
    contrasted: bool = False

    @property
    def counted(self) -> frozenset[str]:
        """The incarnations whose crashes count."""
        return self.replicas - self.unrelated - self.excused


class PoisonRecords:
    """Crashes by content and by part; thread-safe.

    Records of several gateways are merged by union, so the result does not depend on the order in
    which they arrive. That a content was served is recorded only locally; that a part was served is
    part of its record, as otherwise each gateway would have to find out by itself.

    Parameters
    ----------
    max_crashes
        Number of crashes from which on a content or part is refused.
    """

    def __init__(self, max_crashes: int = MAX_CRASHES) -> None:
        self._max_crashes = max_crashes
        self._lock = threading.Lock()
        self._by_key: dict[str, _Crashes] = {}
        self._suspected_parts: tuple[str, ...] = ()
        # Incarnations that barred parts crashed.
        self._explained: frozenset[str] = frozenset()
        self._part_served_at: OrderedDict[str, float] = OrderedDict()

    def barred_for_s(self, key: str, now: float) -> float:
        """Return for how many seconds a content or part must not be run; 0 if it may be run."""
        crashes = self._by_key.get(key)
        if crashes is None or not self._is_barred(key, crashes):
            return 0.0
        return max(0.0, self._remaining_s(key, crashes, now))

    def add(self, key: str, incarnation: str, now: float) -> CrashRecord | None:
        """Record a crash; return the changed record, or ``None`` if nothing has changed.

        The crash of a part that was served shortly before is not recorded.
        """
        if now - self._part_served_at.get(key, -math.inf) < SERVED_S:
            return None
        changed = self.merge([CrashRecord(key, (incarnation,), 0.0)], now)
        return changed[0] if changed else None

    def discount_crashes(self, content: str) -> None:
        """Record that a content was served; earlier crashes no longer count against it."""
        if content not in self._by_key:
            return
        with self._lock:
            crashes = self._by_key.get(content)
            if crashes is not None:
                crashes.unrelated = crashes.replicas

    def record_parts_served(self, parts: tuple[str, ...], now: float) -> list[CrashRecord]:
        """Record that a request with these parts was answered; return the changed records."""
        if not parts:
            return []
        with self._lock:
            for key in parts:
                self._part_served_at[key] = now
                self._part_served_at.move_to_end(key)
            while len(self._part_served_at) > MAX_SERVED_PARTS:
                self._part_served_at.popitem(last=False)
            model = _model_of(parts[0])
            changed = [
                key
                for key in self._suspected_parts
                if _model_of(key) == model and self._weigh(key, was_served=key in parts)
            ]
            if changed:
                self._index_parts()
            return [self._record_of(key, now) for key in changed]

    def _weigh(self, key: str, *, was_served: bool) -> bool:
        """Excuse a part that was served, or contrast one that another request lacks.

        Returns whether that has changed its record.
        """
        crashes = self._by_key[key]
        if was_served:
            changed = crashes.excused != crashes.replicas
            crashes.excused = crashes.replicas
        else:
            changed = not crashes.contrasted
            crashes.contrasted = True
        return changed

    def merge(self, records: Iterable[CrashRecord], now: float) -> list[CrashRecord]:
        """Merge records of another gateway; return those that have changed."""
        with self._lock:
            self._drop_expired(now)
            changed = [record.key for record in records if self._merge_one(record, now)]
            self._drop_excess()
            self._index_parts()
            return [self._record_of(key, now) for key in changed if key in self._by_key]

    def records(self, now: float) -> tuple[CrashRecord, ...]:
        """Return all records."""
        with self._lock:
            self._drop_expired(now)
            return tuple(self._record_of(key, now) for key in self._by_key)

    def digest(self, now: float) -> int:
        """Return a digest of all records; 0 if there are none."""
        with self._lock:
            self._drop_expired(now)
            total = 0
            for key, crashes in self._by_key.items():
                text = f"{key} {' '.join(sorted(crashes.replicas))}"
                if crashes.excused or crashes.contrasted:
                    text += f" {' '.join(sorted(crashes.excused))} {crashes.contrasted}"
                total ^= xxhash.xxh3_64_intdigest(text.encode()) >> 16
            return total

    def count(self, *, barred: bool) -> int:
        """Return how many contents and parts are barred, or have crashes but are not barred."""
        return sum(
            self._is_barred(key, crashes) is barred for key, crashes in list(self._by_key.items())
        )

    def crash_count(self, key: str) -> int:
        """Return how many crashes count against a content or part."""
        crashes = self._by_key.get(key)
        return 0 if crashes is None else self._count(key, crashes)

    def _count(self, key: str, crashes: _Crashes) -> int:
        explained = frozenset() if _model_of(key) else self._explained
        return len(crashes.counted - explained)

    def _is_barred(self, key: str, crashes: _Crashes) -> bool:
        is_judged = crashes.contrasted or not _model_of(key)
        return is_judged and self._count(key, crashes) >= self._max_crashes

    def _remaining_s(self, key: str, crashes: _Crashes, now: float) -> float:
        """Return for how many seconds the record is still kept."""
        kept_s = BARRED_S if self._is_barred(key, crashes) else SUSPECT_S
        return kept_s - (now - crashes.last_crash_at)

    def _merge_one(self, record: CrashRecord, now: float) -> bool:
        """Merge one record; return whether that has changed anything."""
        known = self._by_key.get(record.key) or _Crashes(frozenset(), -math.inf)
        merged = _Crashes(
            known.replicas | frozenset(record.incarnations),
            max(now - max(0.0, record.age_s), known.last_crash_at),
            known.unrelated,
            known.excused | frozenset(record.excused),
            known.contrasted or record.contrasted,
        )
        if now - self._part_served_at.get(record.key, -math.inf) < SERVED_S:
            merged.excused = merged.replicas
        is_known = (merged.replicas, merged.excused, merged.contrasted) == (
            known.replicas,
            known.excused,
            known.contrasted,
        )
        if is_known or self._remaining_s(record.key, merged, now) <= 0:
            return False
        self._by_key[record.key] = merged
        return True

    def _record_of(self, key: str, now: float) -> CrashRecord:
        crashes = self._by_key[key]
        return CrashRecord(
            key,
            tuple(sorted(crashes.replicas)),
            round(now - crashes.last_crash_at, 3),
            tuple(sorted(crashes.excused)),
            crashes.contrasted,
        )

    def _drop_expired(self, now: float) -> None:
        """Drop expired records."""
        self._by_key = {
            key: crashes
            for key, crashes in self._by_key.items()
            if self._remaining_s(key, crashes, now) > 0
        }
        self._index_parts()

    def _index_parts(self) -> None:
        """Find the parts with records, and the crashes that barred ones explain."""
        parts = {key: crashes for key, crashes in self._by_key.items() if _model_of(key)}
        self._suspected_parts = tuple(parts)
        barred = (crashes for key, crashes in parts.items() if self._is_barred(key, crashes))
        self._explained = frozenset().union(*(crashes.counted for crashes in barred))

    def _drop_excess(self) -> None:
        """Drop the oldest records above ``MAX_RECORDS``; barred ones are dropped last."""
        by_key = self._by_key
        if len(by_key) > MAX_RECORDS:
            ranked = sorted(
                by_key,
                key=lambda key: (self._is_barred(key, by_key[key]), by_key[key].last_crash_at),
            )
            self._by_key = {key: by_key[key] for key in ranked[-MAX_RECORDS:]}
