"""One replica as this process sees it: its entry, its load and its recent failures."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Iterable

import attrs
import xxhash
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.replica_entry import ReplicaEntry, ReportedLoad, SlownessReading
from quaymill.process.replica_set.slowness import SlownessRecord

REPORT_HALF_LIFE_S = 1.0
POOL_VIEW_LIFETIME_S = 0.6
"""How long the keeper's word of a replica counts; a gateway with requests asks twice as often."""
BATCH_ITEM_LOAD = 0.25
"""Part of a request that a batch item counts for: it gives way at once, but that has a price."""
FAILURE_HALF_LIFE_S = 2.0
EJECTION_PENALTY = 1.5
"""Failures, weighted by their age, from which on a replica counts as ejected."""
DEFAULT_SLOTS = 8
LATENCY_WEIGHT = 0.2
LEAST_SILENCE_S = 0.5
OWN_FAILURE_S = 1.0
"""How long a failure of this process's own counts as one that happens now."""
WARNING_LIFETIME_S = 2.0
MIN_WARNINGS = 2
SILENCE_FACTOR = 6.0
"""Silence, in usual times to the first byte, from which on a replica counts as silent."""
QUEUED_SILENCE_S = 2.0
"""The same where all requests from here may still wait for a slot: as long as a stream waits for
its first event before another replica is tried."""
REPORT_SHOWS_QUEUE_S = 1.0
"""How long a replica's own word that its slots are taken counts: a few requests' service times."""


@attrs.frozen
class _Warning:
    """What another gateway said of a replica.

    Attributes
    ----------
    zone
        Where that gateway runs.
    at
        Monotonic time when it came.
    """

    zone: str
    at: float


@attrs.frozen
class _PoolView:
    """What the keeper of room told of the replica.

    Attributes
    ----------
    online_elsewhere
        Online requests of other gateways.
    batch
        Batch items of all gateways.
    at
        Monotonic time when it came.
    """

    online_elsewhere: int
    batch: int
    at: float


class Replica:
    """Load and health of one start of a replica; safe to use from any thread.

    Parameters
    ----------
    is_unreachable
        Returns whether a zone cannot be reached now.

    Attributes
    ----------
    in_flight
        Requests of this process that the replica has now, batch items included.
    items_in_flight
        Those of them that are batch items.
    id_hash
        Spreads replicas over parts of a service, alike in every process.
    departed_at
        Monotonic time since when the platform lists the replica no more.
    heard_at
        Monotonic time when something came from it last.
    """

    def __init__(
        self,
        entry: ReplicaEntry,
        is_unreachable: Callable[[str], bool] = lambda zone: False,
    ) -> None:
        self.entry = entry
        self._is_unreachable = is_unreachable
        self.heard_at = -math.inf
        self.id_hash = xxhash.xxh3_64_intdigest(entry.id.encode())
        self.in_flight = 0
        self.items_in_flight = 0
        self._answering = 0
        self.departed_at: float | None = None
        self.misdirected = False
        self._lock = threading.Lock()
        self._reported: ReportedLoad | None = None
        self._others = 0.0
        self._reported_at = 0.0
        self._slowness = SlownessRecord()
        self._penalty = 0.0
        self._penalty_at = 0.0
        self._first_byte_s = 0.0
        self._told_ejected = False
        self._quiet_since = 0.0
        self._failed_at = -math.inf
        self._warnings: dict[str, _Warning] = {}
        self._pool_view: _PoolView | None = None

    @property
    def id(self) -> str:
        """Identity of this incarnation."""
        return self.entry.id

    @property
    def slots(self) -> int:
        """Requests that the replica works on at once."""
        return self.entry.slots or DEFAULT_SLOTS

    @property
    def leaving(self) -> bool:
        """Whether the replica must get no new work."""
        return self.entry.draining or self.misdirected or self.departed_at is not None

    def begin(self) -> None:
        """Count a request that is being sent."""
        with self._lock:
            if not self.in_flight:
                self._quiet_since = boot_clock.now()
            self.in_flight += 1

    def hear(self) -> None:
        """Note that something came from the replica, whatever it was."""
        self._quiet_since = self.heard_at = boot_clock.now()

    @property
    def zone(self) -> str:
        """Where it runs."""
        return self.entry.zone

    @property
    def owes_since(self) -> float | None:
        """Since when it has been silent with a request from here; ``None`` without one."""
        return self._quiet_since if self.in_flight else None

    @property
    def unreachable(self) -> bool:
        """Whether its zone cannot be reached now."""
        return self._is_unreachable(self.entry.zone)

    def begin_answer(self) -> None:
        """Count a request whose answer has begun to come, or whose connection was closed."""
        self._quiet_since = boot_clock.now()
        with self._lock:
            self._answering += 1

    def end_answer(self) -> None:
        """Stop counting a request whose answer had begun."""
        with self._lock:
            self._answering -= 1

    @property
    def silent(self) -> bool:
        """Whether the replica owes this process answers and nothing at all comes.

        One that is dark or frozen ceases to send on all connections at once, which shows long
        before any single request has waited for long. Where no answer has begun and the slots
        are taken, the requests from here wait for a slot, and say nothing of the replica.
        """
        if not self.in_flight:
            return False
        quiet_s = boot_clock.now() - self._quiet_since
        if quiet_s <= max(LEAST_SILENCE_S, SILENCE_FACTOR * self._first_byte_s):
            return False
        return self._answering > 0 or quiet_s > QUEUED_SILENCE_S or not self._is_full()

    def _is_full(self) -> bool:
        """Return whether all slots are taken, as far as is known here."""
        view = self._pool_view
        if self.has_pool_view:
            own = self.in_flight - self.items_in_flight
            return own + view.online_elsewhere + view.batch >= self.slots
        reported, at = self.reported()
        if reported is None or boot_clock.now() - at > REPORT_SHOWS_QUEUE_S:
            return False
        return reported.running + reported.waiting >= self.slots

    def end(self) -> None:
        """Stop counting a request."""
        with self._lock:
            self.in_flight -= 1

    def begin_item(self) -> None:
        """Count a batch item that is being sent."""
        with self._lock:
            self.items_in_flight += 1
        self.begin()

    def end_item(self) -> None:
        """Stop counting a batch item."""
        self.end()
        with self._lock:
            self.items_in_flight -= 1

    def take_pool_view(self, online_elsewhere: int, batch: int) -> None:
        """Take what the keeper of room knows of all gateways' requests at the replica."""
        self._pool_view = _PoolView(online_elsewhere, batch, boot_clock.now())

    @property
    def has_pool_view(self) -> bool:
        """Whether the keeper's word of the replica is new enough to count."""
        view = self._pool_view
        return view is not None and boot_clock.now() - view.at < POOL_VIEW_LIFETIME_S

    def take_report(self, load: ReportedLoad) -> None:
        """Take what the replica told; it includes this process's own requests."""
        with self._lock:
            self._reported = load
            self._others = max(0.0, load.running + load.waiting - self.in_flight)
            self._reported_at = boot_clock.now()
            self._slowness.take(SlownessReading(load.slowness, self._reported_at))

    def take_slowness(self, slowness: float, age_s: float) -> None:
        """Take what the replica told another gateway so many seconds ago."""
        with self._lock:
            self._slowness.take(SlownessReading(slowness, boot_clock.now() - age_s))

    def reported_slowness(self) -> SlownessReading | None:
        """Return the replica's last word of its slowness; ``None`` where it tells nothing of it."""
        with self._lock:
            return self._slowness.last if self._slowness.tells else None

    def slowness(self) -> float:
        """Return how many times as long as usual work is expected to take now."""
        return self._slowness.at(boot_clock.now())

    def load(self) -> float:
        """Return the estimated number of requests at the replica, as an online request counts.

        The keeper's word goes first while it is new: it knows the requests of all gateways, and
        which of them are batch items that give way. Else requests of other processes are known
        from the last report only, and count for less the older it is: without news the
        estimate falls back to this process's own.
        """
        view = self._pool_view
        if self.has_pool_view:
            own = self.in_flight - self.items_in_flight
            return online_load(own + view.online_elsewhere, view.batch)
        age_s = boot_clock.now() - self._reported_at
        return self.in_flight + self._others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)

    def reported(self) -> tuple[ReportedLoad | None, float]:
        """Return what the replica told last with an answer, and when (monotonic)."""
        with self._lock:
            return self._reported, self._reported_at

    def report_age_s(self) -> float:
        """Return the age of the last report in seconds."""
        return boot_clock.now() - self._reported_at

    def record_success(self, first_byte_s: float) -> None:
        """Note a timely answer."""
        with self._lock:
            self._set_penalty(self._present_penalty() / 2)
            self._first_byte_s += LATENCY_WEIGHT * (first_byte_s - self._first_byte_s)

    def record_failure(self, weight: float = 1.0) -> None:
        """Note a failure; ``weight`` says how much it tells of the replica.

        Where its whole zone cannot be reached, a failure says nothing of the replica.
        """
        if self.unreachable:
            return
        with self._lock:
            self._failed_at = boot_clock.now()
            self._set_penalty(self._present_penalty() + weight)

    def take_warning(self, gateway: str, zone: str) -> None:
        """Note that the replica fails for another gateway."""
        with self._lock:
            self._warnings[gateway] = _Warning(zone, boot_clock.now())
            if self._is_warned_of():
                # So that it is tried again by few at first, once the warnings lapse.
                self._set_penalty(max(EJECTION_PENALTY, self._present_penalty()))

    @property
    def fails_here(self) -> bool:
        """Whether it fails for this process now, whatever others say."""
        failed_just_now = boot_clock.now() - self._failed_at < OWN_FAILURE_S
        return self.silent or (failed_just_now and self.ejected)

    @property
    def avoided(self) -> bool:
        """Whether it gets nothing new while others are sound."""
        if self.unreachable or self.ejected or self.silent:
            return True
        if not self._warnings:
            return False
        with self._lock:
            return self._is_warned_of()

    @property
    def ejected(self) -> bool:
        """Whether recent failures keep the replica from being chosen while others are sound."""
        return self._present_penalty() >= EJECTION_PENALTY

    @property
    def penalty(self) -> float:
        """Recent failures, weighted by their age."""
        return self._present_penalty()

    @property
    def first_byte_s(self) -> float:
        """Smoothed time to the first byte of an answer, in seconds; 0 if unknown."""
        return self._first_byte_s

    def _is_warned_of(self) -> bool:
        """Return whether enough gateways warn of it; the lock is held.

        Gateways of one other zone are not enough: their link to this zone may be cut.
        """
        if not self._warnings:
            return False
        oldest = boot_clock.now() - WARNING_LIFETIME_S
        self._warnings = {
            gateway: warning for gateway, warning in self._warnings.items() if warning.at > oldest
        }
        zones = {warning.zone for warning in self._warnings.values()}
        return len(self._warnings) >= MIN_WARNINGS and (len(zones) > 1 or self.entry.zone in zones)

    def _set_penalty(self, penalty: float) -> None:
        """Store a penalty, and tell when it begins or ceases to eject; the lock is held."""
        self._penalty = penalty
        self._penalty_at = boot_clock.now()
        ejected = penalty >= EJECTION_PENALTY
        if ejected != self._told_ejected:
            self._told_ejected = ejected
            log_message(
                "replica:ejected" if ejected else "replica:restored",
                replica=self.id,
                service=self.entry.service,
                penalty=round(penalty, 2),
            )

    def _present_penalty(self) -> float:
        if not self._penalty:
            return 0.0
        age_s = boot_clock.now() - self._penalty_at
        return self._penalty * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)


def best_group(replicas: Iterable[Replica]) -> list[Replica]:
    """Return the sound ones; if there are none, those in zones that are reached; else all."""
    every = list(replicas)
    sound = [one for one in every if not one.avoided]
    return sound or [one for one in every if not one.unreachable] or every


def online_load(online: int, batch: int) -> float:
    """Return how many requests a replica's work counts as for an online request."""
    return online + BATCH_ITEM_LOAD * batch
