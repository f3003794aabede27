"""State of one replica in this process: its entry, its load and its recent failures."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Iterable

import attrs
import xxhash
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.replica_entry import ReplicaEntry, ReportedLoad, SlownessReading
from quaymill.connection.slot_messages import ColdReport
from quaymill.process.regions import ONE_REGION, Distance, RegionMap
from quaymill.process.replica_set.cold_start import (
    REPORT_LIFETIME_S,
    ColdPermits,
    ColdRule,
    ColdRuleOf,
    ColdState,
    no_cold_rule,
)
from quaymill.process.replica_set.slowness import SlownessRecord

REPORT_HALF_LIFE_S = 1.0
"""Time after which the last report counts half in the estimated load of other processes."""
POOL_VIEW_LIFETIME_S = 0.6
"""How long the allocator's report on a replica is used; twice the usual interval of reports."""
BATCH_ITEM_LOAD = 0.25
"""Load of a batch item, in online requests: it is preempted for them, which takes some time."""
FAILURE_HALF_LIFE_S = 2.0
EJECTION_PENALTY = 1.5
"""Penalty (failures weighted by their age) from which a replica is ejected."""
DEFAULT_SLOTS = 8
"""Slots of a replica whose entry does not state any."""
LATENCY_WEIGHT = 0.2
"""Weight of the newest value in the moving average of the time to the first byte."""
MIN_SILENCE_S = 0.5
"""Minimum time without any data until a replica counts as silent."""
RECENT_FAILURE_S = 1.0
"""How long a failure seen by this process justifies a warning to other gateways."""
WARNING_LIFETIME_S = 2.0
MIN_WARNINGS = 2
"""Gateways that must warn of a replica before it is avoided."""
SILENCE_FACTOR = 6.0
"""Time without any data until a replica counts as silent, as a multiple of its average time to the
first byte."""
QUEUED_SILENCE_S = 2.0
"""Time without any data until a replica counts as silent although all requests of this process may
still wait for a slot there."""
FULL_REPORT_LIFETIME_S = 1.0
"""How long a replica's report that all its slots are in use is relied on."""


@attrs.frozen
class _Warning:
    """A warning of another gateway that a replica fails.

    Attributes
    ----------
    zone
        Zone of that gateway.
    at
        Monotonic time when the warning was received.
    """

    zone: str
    at: float


@attrs.frozen
class _PoolView:
    """Load of the replica as reported by the slot allocator.

    Attributes
    ----------
    online_elsewhere
        Online requests of other gateways.
    batch
        Batch items of all gateways.
    at
        Monotonic time when the report was received.
    """

    online_elsewhere: int
    batch: int
    at: float


class Replica:
    """Load and health of one process instance of a replica; safe to use from any thread.

    Parameters
    ----------
    is_unreachable
        Returns whether a zone is unreachable now.
    is_evacuated
        Returns whether no new request may be sent to replicas in a zone.
    regions
        Regions of the deployment's zones.
    cold_rule_of
        Returns how cold replicas of a service are used; ``None`` if the service declares nothing.

    Attributes
    ----------
    in_flight
        Requests of this process at the replica, batch items included.
    items_in_flight
        Batch items of this process at the replica.
    id_hash
        Hash of the identity, the same in every process; spreads replicas over engine pools.
    departed_at
        Monotonic time when the platform removed the replica from its list; ``None`` if it is
        listed.
    presumed
        Whether it is not listed but still used, as its entry may have expired during an outage of
        the platform's store. Other gateways are not told of it.
    last_received_at
        Monotonic time when any data was last received from it.
    misdirected
        Whether it has rejected a request as misdirected, so that its address is no longer valid.
    """

    def __init__(
        self,
        entry: ReplicaEntry,
        is_unreachable: Callable[[str], bool] = lambda zone: False,
        is_evacuated: Callable[[str], bool] = lambda zone: False,
        regions: RegionMap = ONE_REGION,
        cold_rule_of: ColdRuleOf = no_cold_rule,
    ) -> None:
        self.entry = entry
        self._is_unreachable = is_unreachable
        self._is_evacuated = is_evacuated
        self.regions = regions
        self._cold_rule_of = cold_rule_of
        self._cold_state = ColdState.from_entry(
            entry.cold_left_s, boot_clock.now(), entry.listed_left_s
        )
        self._cold_permits = ColdPermits()
        self._known_cold_until: tuple[ColdRule, float] | None = None
        self._unreported_cold: tuple[float, float] | None = None
        self._logged_as_cold = False
        self._logged_invalid_warm_up = False
        self.last_received_at = -math.inf
        self.id_hash = xxhash.xxh3_64_intdigest(entry.id.encode())
        self.in_flight = 0
        self.items_in_flight = 0
        self._answering = 0
        self.departed_at: float | None = None
        self.presumed = False
        self.misdirected = False
        self._lock = threading.Lock()
        self._reported: ReportedLoad | None = None
        self._other_requests = 0.0
        self._reported_at = 0.0
        self._slowness = SlownessRecord()
        self._penalty = 0.0
        self._penalty_at = 0.0
        self._first_byte_s = 0.0
        self._logged_as_ejected = False
        self._quiet_since = 0.0
        self._failed_at = -math.inf
        self._warnings: dict[str, _Warning] = {}
        self._pool_view: _PoolView | None = None

    @property
    def id(self) -> str:
        """Identity of the replica."""
        return self.entry.id

    @property
    def slots(self) -> int:
        """Number of requests that the replica serves concurrently."""
        return self.entry.slots or DEFAULT_SLOTS

    @property
    def leaving(self) -> bool:
        """Whether the replica must not get new work."""
        return self.departing or self.evacuated

    @property
    def departing(self) -> bool:
        """Whether the replica itself is draining, misdirected or departed."""
        return self.entry.draining or self.misdirected or self.departed_at is not None

    @property
    def evacuated(self) -> bool:
        """Whether no new request may be sent to the replicas of its zone."""
        return self._is_evacuated(self.entry.zone)

    @property
    def cold_rule(self) -> ColdRule | None:
        """How it is used while it is cold; ``None`` if its service declares nothing."""
        return self._cold_rule_of(self.entry.service)

    @property
    def cold_until(self) -> float:
        """Monotonic time when it will be warm; 0 if its service declares nothing."""
        rule = self.cold_rule
        if rule is None:
            return 0.0
        known = self._known_cold_until
        if known is None or known[0] is not rule:
            with self._lock:
                known = self._known_cold_until = (rule, self._cold_state.cold_until(rule))
        return known[1]

    @property
    def cold(self) -> bool:
        """Whether it is cold now, so that only requests with a grant may be sent to it."""
        until = self.cold_until
        if not until and not self._logged_as_cold:
            return False  # The usual case, without a look at the clock.
        left_s = until - boot_clock.now()
        if (left_s > 0) != self._logged_as_cold:
            self._log_cold(left_s)
        return left_s > 0

    @property
    def gets_no_grants(self) -> bool:
        """Whether it is cold, and its service declares too low a rate for any grant."""
        rule = self.cold_rule
        return rule is not None and not rule.max_grants and self.cold

    def _log_cold(self, left_s: float) -> None:
        self._logged_as_cold = left_s > 0
        log_message(
            "replica:cold" if left_s > 0 else "replica:warm",
            replica=self.id,
            service=self.entry.service,
            left_s=round(max(0.0, left_s), 2),
            reason=self._cold_state.reason,
        )

    def record_entry(self, entry: ReplicaEntry) -> None:
        """Record a newer entry of the same run."""
        with self._lock:
            if self.departed_at is not None:
                self._cold_state.record_listed_again(
                    entry.cold_left_s, boot_clock.now(), entry.listed_left_s
                )
                self._known_cold_until = None
            self.entry = entry

    def record_revision(self, revision: int) -> None:
        """Record that an equal entry was written at a later revision of the store."""
        if revision > self.entry.revision:
            with self._lock:
                self.entry = attrs.evolve(self.entry, revision=revision)

    def record_warm_up(self, entry: ReplicaEntry, *, from_peer: bool = False) -> bool:
        """Record the warm-up time in a newer entry of the same run, if it is listed.

        Returns whether this changes what is known of its warm-up.
        """
        rule = self.cold_rule
        if rule is None or self.departed_at is not None:
            return False
        with self._lock:
            self._known_cold_until = None
            if from_peer:
                return self._cold_state.record_peer_time(entry.cold_left_s, rule, boot_clock.now())
            if entry == self.entry:
                self.entry = entry
            return self._cold_state.record_entry(entry.cold_left_s, rule, boot_clock.now())

    def record_cold_left(self, left_s: float | None) -> None:
        """Record the remaining warm-up time that an answer of the replica states.

        ``None`` if it states none. An invalid one, which is NaN, is ignored, and logged once if its
        service declares a cold rate.
        """
        if left_s is None:
            return
        if not math.isnan(left_s):
            now = boot_clock.now()
            rule = self.cold_rule
            with self._lock:
                if self._cold_state.record_answer(left_s, rule, now):
                    self._unreported_cold = (left_s, now)
                self._known_cold_until = None
        elif self.cold_rule is not None and not self._logged_invalid_warm_up:
            self._logged_invalid_warm_up = True
            log_message("control:warm_up_invalid", replica=self.id)

    def take_cold_report(self) -> ColdReport | None:
        """Return and clear a new statement of the warm-up for the allocator.

        Returns ``None`` if there is none, or if it is old or the time that it states has passed.
        """
        with self._lock:
            unreported, self._unreported_cold = self._unreported_cold, None
        if unreported is None:
            return None
        stated_left_s, stated_at = unreported
        age_s = boot_clock.now() - stated_at
        left_s = stated_left_s - age_s if stated_left_s else 0.0
        if age_s > REPORT_LIFETIME_S or (stated_left_s and left_s <= 0):
            return None
        return ColdReport(self.id, left_s, round(age_s, 3), self.entry.started_ms)

    def record_cold_report(self, report: ColdReport) -> None:
        """Record what another gateway has received from this run of the replica."""
        if report.started_ms and report.started_ms != self.entry.started_ms:
            return
        now = boot_clock.now()
        with self._lock:
            self._cold_state.record_answer(report.left_s, self.cold_rule, now, report.age_s)
            self._known_cold_until = None

    def record_evacuation_ended(self) -> None:
        """Treat it as cold, because it has had no work for some time."""
        with self._lock:
            self._cold_state.record_evacuation_ended(boot_clock.now())
            self._known_cold_until = None

    def shared_entry(self) -> ReplicaEntry:
        """Return its entry for other gateways, with the remaining warm-up time as of now."""
        until = self.cold_until
        if not until:
            return self.entry
        return attrs.evolve(
            self.entry,
            cold_left_s=max(0.0, until - boot_clock.now()),
            listed_left_s=self._cold_state.entry_left_s,
        )

    def add_cold_permits(self, count: int, at: float) -> None:
        """Record that the slot allocator granted requests to it, although it is cold.

        Parameters
        ----------
        at
            Monotonic time when the grants were requested, or received without a request.
        """
        with self._lock:
            self._cold_permits.add(count, at)

    @property
    def lacks_permit(self) -> bool:
        """Whether it is cold and no grant for it is left, so that nothing may be sent to it."""
        return self.cold and not self._cold_permits.available(boot_clock.now())

    def take_permit(self) -> bool:
        """Use a grant if it is cold; return whether a request may be sent to it now."""
        if not self.cold:
            return True
        with self._lock:
            return self._cold_permits.take(boot_clock.now())

    def begin(self) -> None:
        """Count a request that is being sent."""
        with self._lock:
            if not self.in_flight:
                self._quiet_since = boot_clock.now()
            self.in_flight += 1

    def record_received(self) -> None:
        """Record that any data was received from the replica."""
        self._quiet_since = self.last_received_at = boot_clock.now()

    @property
    def zone(self) -> str:
        """Zone in which the replica runs."""
        return self.entry.zone

    @property
    def region(self) -> str:
        """Region in which the replica runs; empty if the deployment has only one."""
        return self.regions.pool_region(self.entry.zone)

    @property
    def in_other_region(self) -> bool:
        """Whether the replica is in another region than this process."""
        return self.regions.is_remote(self.entry.zone)

    def distance_from(self, zone: str) -> Distance:
        """Return the distance between a zone and that of the replica."""
        return self.regions.distance(zone, self.entry.zone)

    @property
    def unanswered_since(self) -> float | None:
        """Monotonic time since when nothing was received; ``None`` if no request is in flight.

        Counts from the first request of this process if no data has arrived since it was sent.
        """
        return self._quiet_since if self.in_flight else None

    @property
    def unreachable(self) -> bool:
        """Whether its zone is unreachable now."""
        return self._is_unreachable(self.entry.zone)

    def begin_answer(self) -> None:
        """Count a request whose answer has begun, or whose connection was closed."""
        self._quiet_since = boot_clock.now()
        with self._lock:
            self._answering += 1

    def end_answer(self) -> None:
        """Stop counting a request that was counted by ``begin_answer``."""
        with self._lock:
            self._answering -= 1

    @property
    def silent(self) -> bool:
        """Whether the replica has requests of this process but sends no data at all.

        A replica that has failed or is frozen stops sending on all connections at once, which is
        detected long before a single request times out. If no answer is being received and all
        slots are in use, the requests of this process may just wait for a slot; the replica then
        counts as silent only after ``QUEUED_SILENCE_S``.
        """
        if not self.in_flight:
            return False
        quiet_s = boot_clock.now() - self._quiet_since
        if quiet_s <= max(MIN_SILENCE_S, SILENCE_FACTOR * self._first_byte_s):
            return False
        return self._answering > 0 or quiet_s > QUEUED_SILENCE_S or not self._is_full()

    def _is_full(self) -> bool:
        """Return whether all slots are in use, as far as this process knows."""
        view = self._pool_view
        if self.has_pool_view:
            local_online = self.in_flight - self.items_in_flight
            return local_online + view.online_elsewhere + view.batch >= self.slots
        reported, at = self.reported()
        if reported is None or boot_clock.now() - at > FULL_REPORT_LIFETIME_S:
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

    def record_pool_view(self, online_elsewhere: int, batch: int) -> None:
        """Record the slot allocator's report on the load of all gateways at the replica."""
        self._pool_view = _PoolView(online_elsewhere, batch, boot_clock.now())

    @property
    def has_pool_view(self) -> bool:
        """Whether the slot allocator's report on the replica is recent enough to be used."""
        view = self._pool_view
        return view is not None and boot_clock.now() - view.at < POOL_VIEW_LIFETIME_S

    def record_report(self, load: ReportedLoad) -> None:
        """Record the load reported by the replica, which includes requests of this process."""
        with self._lock:
            self._reported = load
            self._other_requests = max(0.0, load.running + load.waiting - self.in_flight)
            self._reported_at = boot_clock.now()
            self._slowness.add(SlownessReading(load.slowness, self._reported_at))

    def record_slowness(self, slowness: float, age_s: float) -> None:
        """Record the slowness that the replica reported to another gateway ``age_s`` ago."""
        with self._lock:
            self._slowness.add(SlownessReading(slowness, boot_clock.now() - age_s))

    def reported_slowness(self) -> SlownessReading | None:
        """Return the last slowness reported by the replica; ``None`` if it does not report any."""
        with self._lock:
            return self._slowness.last if self._slowness.has_reports else None

    def slowness(self) -> float:
        """Return the expected duration of work now, as a multiple of the usual duration."""
        return self._slowness.expected_at(boot_clock.now())

    def load(self) -> float:
        """Return the estimated load of the replica, in online requests.

        The slot allocator's report is used while it is recent, as it covers the requests of all
        gateways and distinguishes batch items. Otherwise the requests of other processes are
        taken from the replica's last report, with a weight that decays with its age.
        """
        view = self._pool_view
        if self.has_pool_view:
            local_online = self.in_flight - self.items_in_flight
            return online_load(local_online + view.online_elsewhere, view.batch)
        age_s = boot_clock.now() - self._reported_at
        return self.in_flight + self._other_requests * 0.5 ** (age_s / REPORT_HALF_LIFE_S)

    def reported(self) -> tuple[ReportedLoad | None, float]:
        """Return the load that the replica last reported, and the monotonic time of the report."""
        with self._lock:
            return self._reported, self._reported_at

    def report_age_s(self) -> float:
        """Return the age of the last report in seconds."""
        return boot_clock.now() - self._reported_at

    def record_success(self, first_byte_s: float) -> None:
        """Record a successful answer and the time to its first byte, and halve the penalty."""
        with self._lock:
            self._set_penalty(self._current_penalty() / 2)
            self._first_byte_s += LATENCY_WEIGHT * (first_byte_s - self._first_byte_s)

    def record_failure(self, weight: float = 1.0) -> None:
        """Record a failure, and add ``weight`` to the penalty.

        Ignored while the whole zone is unreachable, as the replica may be healthy then.
        """
        if self.unreachable:
            return
        with self._lock:
            self._failed_at = boot_clock.now()
            self._set_penalty(self._current_penalty() + weight)

    def record_warning(self, gateway: str, zone: str) -> None:
        """Record that the replica fails for another gateway."""
        with self._lock:
            self._warnings[gateway] = _Warning(zone, boot_clock.now())
            if self._has_enough_warnings():
                # Once the warnings expire, it gets only a few requests at first.
                self._set_penalty(max(EJECTION_PENALTY, self._current_penalty()))

    @property
    def fails_here(self) -> bool:
        """Whether it fails for this process now, regardless of warnings."""
        failed_just_now = boot_clock.now() - self._failed_at < RECENT_FAILURE_S
        return self.silent or (failed_just_now and self.ejected)

    @property
    def avoided(self) -> bool:
        """Whether it is not chosen as long as other replicas are healthy."""
        if self.unreachable or self.ejected or self.silent:
            return True
        if not self._warnings:
            return False
        with self._lock:
            return self._has_enough_warnings()

    @property
    def ejected(self) -> bool:
        """Whether its penalty is so high that it is avoided."""
        return self._current_penalty() >= EJECTION_PENALTY

    @property
    def penalty(self) -> float:
        """Sum of the weights of recent failures, decayed by their age."""
        return self._current_penalty()

    @property
    def first_byte_s(self) -> float:
        """Smoothed time to the first byte of an answer, in seconds; 0 if unknown."""
        return self._first_byte_s

    def _has_enough_warnings(self) -> bool:
        """Return whether enough gateways warn of it; the lock is held.

        Warnings from a single other zone are not enough: its link to this zone may be cut.
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
        """Store a penalty, and log if the replica becomes ejected or restored; the lock is held."""
        self._penalty = penalty
        self._penalty_at = boot_clock.now()
        ejected = penalty >= EJECTION_PENALTY
        if ejected != self._logged_as_ejected:
            self._logged_as_ejected = ejected
            log_message(
                "replica:ejected" if ejected else "replica:restored",
                replica=self.id,
                service=self.entry.service,
                penalty=round(penalty, 2),
            )

    def _current_penalty(self) -> float:
        if not self._penalty:
            return 0.0
        age_s = boot_clock.now() - self._penalty_at
        return self._penalty * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)


def best_group(replicas: Iterable[Replica]) -> list[Replica]:
    """Return the healthy replicas; if there are none, those in reachable zones, or else all."""
    all_replicas = list(replicas)
    healthy = [replica for replica in all_replicas if not replica.avoided]
    return (
        healthy or [replica for replica in all_replicas if not replica.unreachable] or all_replicas
    )


def own_region_first(replicas: list[Replica]) -> list[Replica]:
    """Return the replicas in the region of this process; if there are none, all."""
    if not replicas or not replicas[0].regions.has_several:
        return replicas
    return [replica for replica in replicas if not replica.in_other_region] or replicas


def online_load(online: int, batch: int) -> float:
    """Return the load of online requests and batch items, in online requests."""
    return online + BATCH_ITEM_LOAD * batch
