"""Reports this gateway's online requests in flight to the slot allocators of their pools.

An engine serves requests in the order of their arrival, so an online request at an engine that is
full of batch items waits until one of them ends or is preempted. The engine's own report would
reach the allocator too late. A load report sent together with the request arrives within a few
milliseconds; its answer contains the load of all gateways at each engine.

The allocator also places requests if it answers in time, because only it knows what other gateways
have placed in the last few milliseconds.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.replica_entry import SlownessReading
from quaymill.connection.slot_messages import (
    NO_QUEUE,
    ColdGrant,
    ColdReport,
    ItemsAt,
    LoadOffset,
    OnlineGrant,
    OnlineInFlight,
    OnlinePlaced,
    PlaceOnline,
    PoolLoads,
    QueueTerms,
    ReplicaLoad,
    SlownessReport,
)
from quaymill.process.jobs.engine_pool import EnginePool, pool_of, pools_of
from quaymill.process.jobs.queued_tickets import QueuedTickets
from quaymill.process.jobs.region_choice import (
    PoolState,
    serves_sooner,
    terms_in_other_region,
)
from quaymill.process.jobs.slot_allocator import SlotAllocator
from quaymill.process.jobs.slot_claims import AllocatorChoice, ReachableOf
from quaymill.process.regions import ONE_REGION, RegionMap
from quaymill.process.replica_set.online_queue import QUEUED, Queued
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.router import PlacementConstraints
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.replica_choice import CannotServeInTime, ChosenReplica

REPORT_TIMEOUT_S = 0.2
"""Timeout of a load report; by then the engine's own report has reached the allocator."""
PLACE_TIMEOUT_S = 0.05
"""A request that has waited this long for the allocator is placed by its own gateway, so that it
can still meet its latency target. A sixth of the shortest target of a stream (0.3 s)."""
PLACE_PAUSE_S = 0.25
"""How long this gateway places requests itself after an allocator did not answer in time. By then a
load report has shown whether the allocator is alive."""
FULLNESS_LIFETIME_S = 1.0
"""How long a pool counts as nearly full after a report: four times ``REPEAT_INTERVAL_S``."""
NEARLY_FULL_SHARE = 0.6
"""Share of a pool's slots above which ends of requests are reported immediately. Doing so only once
requests are queued would be too late: the allocator would still count requests that have ended."""
ENDS_INTERVAL_S = 0.05
"""Delay of a report of ended requests if there are few gateways. A report of a started request also
contains them, and ends the delay."""
ENDS_INTERVAL_PER_GATEWAY_S = 0.002
"""If there are many gateways, the delay is this value times the number of live gateways instead.
This limits the reports of ended requests that one allocator receives to 500 per second."""
SLOWNESS_LIFETIME_S = 1.0
"""Age above which a replica's slowness reading is no longer reported."""
REPEAT_INTERVAL_S = 0.25
"""Time after which unchanged counts are reported again. The allocator trusts them for four times as
long, and this gateway trusts the loads in the answer for more than twice as long."""


OVERFLOW_SHARE = 0.85
"""Share of a pool's slots above which the loads of other regions are requested, so that they are
known before requests have to wait."""
OTHER_REGION_PAUSE_S = 2.0
"""How long no placement is requested in another region after its allocator did not answer. Longer
than ``PLACE_PAUSE_S``: the own region's allocator serves in the meantime, and a request that waits
for an answer over a slow link in vain may miss its latency target."""


class OnlineReporter:
    """Reports the online requests of one gateway, and asks allocators to place them.

    Safe to use from any thread.

    Parameters
    ----------
    zone
        Zone of this gateway.
    allocator
        This process's own slot allocator.
    batch_services
        Returns the services whose requests are placed by allocators: those that have batch routes
        in the current configuration or declare a rate for cold replicas.
    gateways
        Returns the live gateways, including this one.
    loads_changed
        Called when an allocator has returned the loads of a pool.
    reachable
        Returns those of the given gateways that are in reachable zones; see ``ReachableOf``.
    allocator_lost
        Called when an allocator does not answer, to dispatch queued requests by local decisions;
        with the tickets that wait in its region where there are several, else with ``None``.
    dispatch_granted
        Dispatches a queued request that was granted a slot, by its ticket and the replica's id;
        returns whether it was dispatched.
    paused_recently
        Returns whether this process was paused, so that grants may have waited for it.
    regions
        Regions of the deployment's zones.

    Attributes
    ----------
    sent_to_other_region
        Number of requests sent to replicas of another region since this process started.
    """

    def __init__(
        self,
        own_name: str,
        zone: str,
        table: ReplicaTable,
        allocator: SlotAllocator,
        client: PeerClient,
        gateways: Callable[[], tuple[Member, ...]],
        batch_services: Callable[[], Collection[str]],
        loads_changed: Callable[[], None] = lambda: None,
        reachable: ReachableOf = tuple,
        allocator_lost: Callable[..., None] = lambda tickets=None: None,
        dispatch_granted: Callable[[str, str], bool] = lambda ticket, replica_id: False,
        regions: RegionMap = ONE_REGION,
        paused_recently: Callable[[], bool] = lambda: False,
    ) -> None:
        self._own_name = own_name
        self._zone = zone
        self._table = table
        self._local_allocator = allocator
        self._client = client
        self._gateways = gateways
        self._regions = regions
        self._allocator_choice = AllocatorChoice(gateways, reachable, regions)
        self._batch_services = batch_services
        self._loads_changed = loads_changed
        self._allocator_lost = allocator_lost
        self._dispatch_granted = dispatch_granted
        self._paused_recently = paused_recently
        self._queueing_allocators: set[str] = set()
        self._tickets = QueuedTickets()
        self._queue_length_by_pool: dict[EnginePool, int] = {}
        self._overflow_until_by_service: dict[str, float] = {}
        self._ask_again_at_by_region: dict[str, float] = {}
        self.sent_to_other_region = 0
        self._nearly_full_until_by_pool: dict[EnginePool, float] = {}
        self._lock = threading.Lock()
        self._in_flight: Counter[str] = Counter()
        self._placed: Counter[str] = Counter()
        self._slowness_by_replica: dict[str, SlownessReading] = {}
        self._place_again_at = 0.0
        self._changed = False
        self._reported_at = 0.0
        self._reported_by_pool: dict[EnginePool, dict[str, int]] = {}
        self._report_now = threading.Event()
        self._report_elsewhere_now = threading.Event()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start sending load reports."""
        threading.Thread(target=self._run, name="online-reporter", daemon=True).start()
        if self._regions.has_several:
            # Calls over a slow link must not delay the reports within the region.
            threading.Thread(
                target=self._run_elsewhere, name="other-regions-reporter", daemon=True
            ).start()

    def stop(self) -> None:
        """Stop sending load reports."""
        self._stopping.set()
        self._report_now.set()
        self._report_elsewhere_now.set()

    def place(self, first: Replica, constraints: PlacementConstraints) -> Replica | None:
        """Ask the allocator to place a request in a replica's pool.

        Returns ``None`` if the allocator was not asked, did not answer in time or chose no usable
        replica. The allocator counts the request at the returned replica: call ``began`` when it is
        sent there, ``release_slot`` if not.

        Parameters
        ----------
        first
            This gateway's own choice for the first attempt; the request is placed in its pool.
        """
        answer = self._request_placement(first, constraints, None)
        return answer if isinstance(answer, Replica) else None

    def request_slot(
        self, first: Replica, constraints: PlacementConstraints, terms: QueueTerms
    ) -> Replica | Queued | CannotServeInTime | None:
        """Ask the allocator to place a request now or to queue it.

        Returns ``None`` if the allocator was not asked, for example because it is not known to have
        a queue, or if it did not answer in time or chose no usable replica.

        Parameters
        ----------
        first
            This gateway's own choice for the first attempt; the request is placed in its pool.
        """
        return self._request_placement(first, constraints, terms)

    def _request_placement(
        self, first: Replica, constraints: PlacementConstraints, terms: QueueTerms | None
    ) -> Replica | Queued | CannotServeInTime | None:
        if first.entry.service not in self._batch_services():
            return None
        pool = pool_of(first, self._table)
        refusal: CannotServeInTime | None = None
        sooner = None if terms is None else self._sooner_elsewhere(pool, terms)
        if sooner is None:
            answer = self._ask_allocator(pool, constraints, terms)
            if terms is None or not isinstance(answer, Queued | CannotServeInTime):
                return answer
            # The allocator's answer contains the current length of its queue.
            sooner = self._sooner_elsewhere(pool, terms)
            if sooner is None:
                return answer
            refusal = answer if isinstance(answer, CannotServeInTime) else None
        answer = self._ask_allocator(sooner, constraints, terms)
        if isinstance(answer, Replica | Queued):
            return answer
        if refusal is not None:
            return refusal
        # It is being withdrawn from the own region's queue if it was there, and joins it again.
        return self._ask_allocator(pool, constraints, terms)

    def _sooner_elsewhere(self, pool: EnginePool, terms: QueueTerms) -> EnginePool | None:
        """Return a pool of another region that would serve a request sooner; ``None`` if none."""
        if not pool.region or self._is_elsewhere(pool):
            return None
        own = self._state_of(pool)
        if own is None or not own.wait_s(terms.service_s):
            return None
        others = [
            (state.wait_s(terms.service_s), other)
            for other in pools_of(pool.service, self._table)
            if self._is_elsewhere(other) and not self._is_paused(other)
            if (state := self._state_of(other)) is not None
            and serves_sooner(state, own, terms.service_s, self._regions.round_trip_s(other.region))
        ]
        return min(others, key=lambda one: one[0])[1] if others else None

    def _state_of(self, pool: EnginePool) -> PoolState | None:
        return PoolState.of(pool.members(self._table), self._queue_length_by_pool.get(pool, 0))

    def _is_elsewhere(self, pool: EnginePool) -> bool:
        """Return whether a pool is in another region than this gateway."""
        return bool(pool.region) and pool.region != self._regions.own_pool_region

    def _is_paused(self, pool: EnginePool) -> bool:
        """Return whether the allocator of a pool failed to answer just now."""
        if self._is_elsewhere(pool):
            return boot_clock.now() < self._ask_again_at_by_region.get(pool.region, 0.0)
        return boot_clock.now() < self._place_again_at

    def _ask_allocator(
        self, pool: EnginePool, constraints: PlacementConstraints, terms: QueueTerms | None
    ) -> Replica | Queued | CannotServeInTime | None:
        now = boot_clock.now()
        if self._is_paused(pool):
            return None
        allocator = self._allocator_of(pool)
        has_queue = self._name_of(allocator) in self._queueing_allocators
        # A request that may have to wait for a cold replica is the first to learn of the queue.
        if terms is not None and not has_queue and not self._table.has_cold_rule(pool.service):
            return None
        with self._lock:
            counts = self._counts_in(pool, self._in_flight + self._placed)
            if pool.pools == 1 and not self._is_elsewhere(pool):
                # The placement message contains all current counts, so no report is needed.
                self._changed = False
                self._reported_at = now
        if terms is not None:
            self._tickets.join(pool.service, terms.ticket, pool.region)
        placed = self._call_place_online(allocator, pool, counts, constraints, terms)
        if placed is None:
            self._record_unanswered(pool, terms)
            return None
        if placed.replica_id:
            counts[placed.replica_id] = counts.get(placed.replica_id, 0) + 1
        self._reported_by_pool[pool] = counts
        self._record_pool_queue(pool, placed.queue_length)
        self._apply_loads(pool, placed.loads, counts)
        if terms is not None and not placed.queued:
            self._tickets.leave(terms.ticket)
        elif terms is not None and pool.region:
            self._tickets.confirm_queued(pool.service, terms.ticket, pool.region)
        if placed.retry_after_s is not None:
            return CannotServeInTime(self._reason_of_refusal(pool), placed.retry_after_s)
        return QUEUED if placed.queued else self._count_placed(placed, now)

    def _reason_of_refusal(self, pool: EnginePool) -> str:
        replicas = pool.members(self._table)
        if replicas and all(replica.cold for replica in replicas):
            return "only cold replicas are left, which cannot serve the request in time"
        return "the queue is too long to serve the request in time"

    def _record_unanswered(self, pool: EnginePool, terms: QueueTerms | None) -> None:
        """Record that the allocator of a pool did not answer a request for a placement."""
        if terms is not None and pool.region:
            # It may have queued the request: the withdrawal has to name the region.
            self._tickets.withdraw(pool.service, terms.ticket)
        elif terms is not None:
            self._tickets.leave(terms.ticket)
        if self._is_elsewhere(pool):
            self._pause_region(pool.region)
            return
        self._place_again_at = boot_clock.now() + PLACE_PAUSE_S
        with self._lock:
            self._changed = True
        self._lose_allocator(pool)

    def _lose_allocator(self, pool: EnginePool) -> None:
        """Decide locally on requests that wait in the pool's region."""
        self._allocator_lost(self._tickets.in_region(pool.region) if pool.region else None)

    def _pause_region(self, region: str) -> None:
        """Request no placements in another region for a while, and decide locally instead.

        Reports continue: its allocator may be alive and drops counts that are not repeated.
        """
        self._ask_again_at_by_region[region] = boot_clock.now() + OTHER_REGION_PAUSE_S
        self._allocator_lost(self._tickets.in_region(region))

    def _record_pool_queue(self, pool: EnginePool, length: int) -> None:
        """Record the length of a pool's queue."""
        if pool.region:
            self._queue_length_by_pool[pool] = length
            if length > 0:
                self._expect_overflow(pool)

    def _expect_overflow(self, pool: EnginePool) -> None:
        """Request the loads of other regions, as requests of the own one may have to wait."""
        if not pool.region or self._is_elsewhere(pool):
            return
        now = boot_clock.now()
        was_expected = self._overflow_until_by_service.get(pool.service, 0.0) > now
        self._overflow_until_by_service[pool.service] = now + FULLNESS_LIFETIME_S
        if not was_expected:
            self._report_elsewhere_now.set()

    def _count_placed(self, placed: OnlinePlaced, asked_at: float) -> Replica | None:
        """Count a placement until its request begins; return its replica, ``None`` if unusable."""
        chosen = self._table.get(placed.replica_id)
        if chosen is not None and placed.cold:
            chosen.add_cold_permits(1, asked_at)
        usable = chosen is not None and not chosen.leaving and not chosen.lacks_permit
        with self._lock:
            if usable:
                self._placed[chosen.id] += 1
            else:
                # The request goes elsewhere: the next load report corrects the allocator's count.
                self._changed = True
        return chosen if usable else None

    def accept_grants(self, grants: Iterable[OnlineGrant]) -> tuple[str, ...]:
        """Dispatch requests that were granted slots; return the tickets of those dispatched."""
        return tuple(grant.ticket for grant in grants if self._accept_grant(grant))

    def _accept_grant(self, grant: OnlineGrant) -> bool:
        replica = self._table.get(grant.replica_id)
        if replica is not None and isinstance(grant, ColdGrant) and not self._paused_recently():
            replica.add_cold_permits(1, boot_clock.now())
        # Counted first: the request may begin before this returns.
        with self._lock:
            self._placed[grant.replica_id] += 1
        if self._dispatch_granted(grant.ticket, grant.replica_id):
            self._leave_queues(grant.ticket, replica)
            return True
        with self._lock:
            self._placed[grant.replica_id] -= 1
        return False

    def _leave_queues(self, ticket: str, replica: Replica | None) -> None:
        """Withdraw a request from the queues of regions other than that of its replica."""
        if replica is None or not replica.region:
            self._tickets.leave(ticket)
        elif self._tickets.granted(replica.entry.service, ticket, replica.region):
            with self._lock:
                self._changed = True
            self._report_elsewhere_now.set()

    def release_slot(self, replica: ChosenReplica) -> None:
        """Record that a placed request is not sent to its replica."""
        with self._lock:
            self._placed[replica.id] -= 1
            self._changed = True
        self._wake_reports(self._regions.is_remote(replica.entry.zone))

    def withdraw(self, service: str, ticket: str) -> None:
        """Record that a queued request no longer waits; the service's next message contains it."""
        self._tickets.withdraw(service, ticket)
        with self._lock:
            self._changed = True
        self._report_elsewhere_now.set()

    def _allocator_of(self, pool: EnginePool) -> Member | None:
        return self._allocator_choice.allocator_of(pool.service, pool.index, pool.region)

    def _name_of(self, member: Member | None) -> str:
        return self._own_name if member is None else member.name

    def _is_local(self, allocator: Member | None) -> bool:
        """Return whether this process's own allocator is to be used."""
        return allocator is None or allocator.name == self._own_name

    def _call_place_online(
        self,
        member: Member | None,
        pool: EnginePool,
        counts: dict[str, int],
        constraints: PlacementConstraints,
        terms: QueueTerms | None,
    ) -> OnlinePlaced | None:
        if terms is not None and self._is_elsewhere(pool):
            terms = terms_in_other_region(terms, self._regions.round_trip_s(pool.region))
        message = PlaceOnline(
            self._own_name,
            self._zone,
            pool.service,
            _items_at(counts),
            tuple(constraints.excluded),
            tuple(LoadOffset(name, offset) for name, offset in constraints.offsets.items()),
            pool.index,
            pool.pools,
            self._take_slowness_reports(pool),
            terms,
            self._tickets.take_withdrawn(pool.service, pool.region),
            pool.region_field,
            self._take_cold_reports(pool),
        )
        if self._is_local(member):
            reply = self._local_allocator.place_online(message)
        else:
            timeout_s = PLACE_TIMEOUT_S + self._regions.travel_s(member)
            reply = self._client.call(member.peer, message, OnlinePlaced, timeout_s)
        if isinstance(reply, OnlinePlaced):
            self._record_queue_length(member, reply.queue_length)
            return reply
        log_message("request:not_placed", service=pool.service, keeper=member.name)
        return None

    def _record_queue_length(self, member: Member | None, length: int) -> None:
        """Record whether an allocator has a queue."""
        if length == NO_QUEUE:
            self._queueing_allocators.discard(self._name_of(member))
        else:
            self._queueing_allocators.add(self._name_of(member))

    def _record_fullness(self, pool: EnginePool, loads: Iterable[ReplicaLoad]) -> None:
        """Record whether a pool is so full that ends of requests are reported immediately."""
        found = [(load, self._table.get(load.replica_id)) for load in loads]
        slots = sum(replica.slots for _, replica in found if replica is not None)
        taken = sum(load.online for load, replica in found if replica is not None)
        if taken > OVERFLOW_SHARE * slots:
            self._expect_overflow(pool)
        is_nearly_full = taken > NEARLY_FULL_SHARE * slots
        self._nearly_full_until_by_pool[pool] = (
            boot_clock.now() + FULLNESS_LIFETIME_S if is_nearly_full else 0.0
        )

    @property
    def _reports_ends_at_once(self) -> bool:
        """Whether ends are reported immediately, because queued requests may need the slots."""
        now = boot_clock.now()
        return bool(self._queueing_allocators) and any(
            until > now for until in tuple(self._nearly_full_until_by_pool.values())
        )

    def began(self, replica: ChosenReplica) -> None:
        """Record that an online request is being sent to a replica."""
        is_elsewhere = self._regions.is_remote(replica.entry.zone)
        with self._lock:
            self._in_flight[replica.id] += 1
            reported = self._placed[replica.id] > 0
            if reported:
                self._placed[replica.id] -= 1
            else:
                self._changed = True
            self.sent_to_other_region += is_elsewhere
        if is_elsewhere:
            log_message(
                "request:to_other_region",
                replica=replica.id,
                service=replica.entry.service,
                region=self._regions.region_of(replica.entry.zone),
            )
        if not reported:
            self._wake_reports(is_elsewhere)

    def ended(self, replica: ChosenReplica) -> None:
        """Record that an online request at a replica has ended."""
        # Counted for every service: it may gain or lose batch routes while the request runs.
        reading = replica.reported_slowness()
        with self._lock:
            self._in_flight[replica.id] -= 1
            self._changed = True
            if reading is not None:
                self._slowness_by_replica[replica.id] = reading
        is_elsewhere = self._regions.is_remote(replica.entry.zone)
        if is_elsewhere or self._reports_ends_at_once:
            self._wake_reports(is_elsewhere)

    def _wake_reports(self, is_elsewhere: bool) -> None:
        """Report now to the allocators of the own region, or to those of the others."""
        (self._report_elsewhere_now if is_elsewhere else self._report_now).set()

    def _take_slowness_reports(self, pool: EnginePool) -> tuple[SlownessReport, ...]:
        """Return and clear the recent slowness readings of a pool's replicas, for its allocator."""
        if not self._slowness_by_replica:
            return ()
        now = boot_clock.now()
        with self._lock:
            readings = [
                (name, self._slowness_by_replica.pop(name))
                for name in list(self._slowness_by_replica)
                if (replica := self._table.get(name)) is None or pool.holds(replica)
            ]
        if self._is_local(self._allocator_of(pool)):
            return ()  # This process's allocator uses the same replica table.
        return tuple(
            SlownessReport(name, reading.slowness, round(now - reading.at, 3))
            for name, reading in readings
            if now - reading.at < SLOWNESS_LIFETIME_S
        )

    def _take_cold_reports(self, pool: EnginePool) -> tuple[ColdReport, ...]:
        """Return and clear what a pool's replicas have newly stated of their warm-up.

        The allocator otherwise learns from the store that a replica is cold again.
        """
        replicas = self._table.of_service(pool.service)
        if not replicas or replicas[0].cold_rule is None:
            return ()
        taken = [one.take_cold_report() for one in replicas if pool.holds(one)]
        if self._is_local(self._allocator_of(pool)):
            return ()  # This process's allocator uses the same replica table.
        return tuple(report for report in taken if report is not None)

    def _run(self) -> None:
        while not self._stopping.is_set():
            # Urgent changes end this wait early; all others are reported after it.
            gateways = len(self._gateways())
            self._report_now.wait(max(ENDS_INTERVAL_S, ENDS_INTERVAL_PER_GATEWAY_S * gateways))
            self._report_now.clear()
            in_flight = self._take_due()
            if in_flight is None:
                continue
            try:
                self._report(in_flight)
            except Exception as error:  # A bug must not stop the reports of this gateway.
                log_message("batch:notice_error", error=repr(error))

    def _take_due(self) -> dict[str, int] | None:
        """Return the counts to be reported now; ``None`` if no report is due."""
        now = boot_clock.now()
        with self._lock:
            self._in_flight = +self._in_flight
            self._placed = +self._placed
            repeat = self._in_flight and now - self._reported_at >= REPEAT_INTERVAL_S
            if not self._changed and not repeat:
                return None
            self._changed = False
            self._reported_at = now
            return dict(self._in_flight + self._placed)

    def _report(self, in_flight: dict[str, int]) -> None:
        for service in self._batch_services():
            for pool in pools_of(service, self._table):
                if self._is_elsewhere(pool):
                    continue
                counts = self._counts_in(pool, in_flight)
                withdraws = bool(pool.region) and self._tickets.has_withdrawn(service, pool.region)
                # Empty counts are reported once, after the last request in the pool has ended.
                if counts or self._reported_by_pool.get(pool) or withdraws:
                    self._reported_by_pool[pool] = counts
                    self._report_pool(pool, counts)

    def _run_elsewhere(self) -> None:
        """Report to the allocators of other regions, as far as this gateway uses their pools."""
        while not self._stopping.is_set():
            self._report_elsewhere_now.wait(REPEAT_INTERVAL_S)
            self._report_elsewhere_now.clear()
            try:
                self._report_elsewhere()
            except Exception as error:  # A bug must not stop the reports of this gateway.
                log_message("batch:notice_error", error=repr(error))
            self._stopping.wait(ENDS_INTERVAL_S)

    def _report_elsewhere(self) -> None:
        """Report to other regions' pools that this gateway uses, or may need soon.

        While the own region has enough free slots, and without requests in another one, nothing is
        sent there: traffic between regions is charged.
        """
        with self._lock:
            in_flight = dict(self._in_flight + self._placed)
        now = boot_clock.now()
        for service in self._batch_services():
            may_overflow = self._overflow_until_by_service.get(service, 0.0) > now
            for pool in pools_of(service, self._table):
                if not self._is_elsewhere(pool):
                    continue
                counts = self._counts_in(pool, in_flight)
                is_used = bool(counts or self._reported_by_pool.get(pool)) or self._tickets.has_any(
                    pool.region
                )
                # A pause is for placements only: an allocator drops counts that are not repeated.
                if is_used or (may_overflow and not self._is_paused(pool)):
                    self._reported_by_pool[pool] = counts
                    self._report_pool(pool, counts)

    def _counts_in(self, pool: EnginePool, in_flight: Mapping[str, int]) -> dict[str, int]:
        """Return this gateway's requests at the replicas of a pool."""
        replicas = ((self._table.get(name), count) for name, count in in_flight.items() if count)
        return {
            replica.id: count
            for replica, count in replicas
            if replica is not None and not replica.leaving and pool.holds(replica)
        }

    def _report_pool(self, pool: EnginePool, counts: dict[str, int]) -> None:
        message = OnlineInFlight(
            self._own_name,
            pool.service,
            _items_at(counts),
            pool.index,
            pool.pools,
            self._take_slowness_reports(pool),
            self._tickets.take_withdrawn(pool.service, pool.region),
            pool.region_field,
            self._take_cold_reports(pool),
        )
        loads = self._call_allocator(pool, message)
        if loads is not None:
            self._record_pool_queue(pool, loads.queue_length)
            self._apply_loads(pool, loads.loads, counts)

    def _apply_loads(
        self, pool: EnginePool, loads: tuple[ReplicaLoad, ...], reported: dict[str, int]
    ) -> None:
        """Apply an allocator's loads to the replicas.

        Parameters
        ----------
        reported
            This gateway's own requests by replica, which are included in these loads.
        """
        self._record_fullness(pool, loads)
        for load in loads:
            replica = self._table.get(load.replica_id)
            if replica is not None:
                replica.record_pool_view(load.online - reported.get(replica.id, 0), load.batch)
        self._loads_changed()

    def _call_allocator(self, pool: EnginePool, message: OnlineInFlight) -> PoolLoads | None:
        member = self._allocator_of(pool)
        if self._is_local(member):
            reply = self._local_allocator.record_online(message)
        else:
            timeout_s = REPORT_TIMEOUT_S + self._regions.travel_s(member)
            reply = self._client.call(member.peer, message, PoolLoads, timeout_s)
        if isinstance(reply, PoolLoads):
            self._record_queue_length(member, reply.queue_length)
            return reply
        self._allocator_choice.avoid(message.service, member)
        self._record_queue_length(member, NO_QUEUE)
        if self._is_elsewhere(pool):
            self._pause_region(pool.region)
        else:
            self._lose_allocator(pool)
        return None


def _items_at(counts: Mapping[str, int]) -> tuple[ItemsAt, ...]:
    return tuple(ItemsAt(replica_id, requests) for replica_id, requests in counts.items())
