"""Runs the items of jobs: claims slots, starts items in granted slots and records the outcomes.

One thread claims slots for all jobs; each running item has a thread of its own.
"""

from __future__ import annotations

import itertools
import threading
from collections import Counter
from collections.abc import Callable

import attrs
import msgspec
import xxhash
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.job_document import Job, ResultState
from quaymill.connection.replica_connection import ReplicaConnections
from quaymill.connection.slot_messages import ClaimSlots, ItemsAt, RunningAt, WantedItems
from quaymill.process.jobs.coordinated_job import CoordinatedItem, CoordinatedJob, ItemState
from quaymill.process.jobs.engine_pool import EnginePool, pools_of
from quaymill.process.jobs.item_run import (
    ItemCut,
    ItemDone,
    ItemFailed,
    ItemImpossible,
    ItemOutcome,
    ItemProtocol,
    identity_of_item,
    run_item,
)
from quaymill.process.jobs.item_urgency import INFEASIBLE_DUE_S, RoutePaces, time_left_s
from quaymill.process.jobs.run_handle import RunHandle
from quaymill.process.jobs.slot_claims import AVOID_ALLOCATOR_S, ClaimSlotsCall
from quaymill.process.regions import ONE_REGION, RegionMap
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.request.poison import NoGuard, PoisonGuard, RequestIdentity
from quaymill.version.request_routes import RequestRoute, RequestRoutes

DISPATCH_INTERVAL_S = 0.2
CLAIM_PAUSE_S = 0.05
"""Minimum time between two claims, so that items that end close together share one."""
MAX_VERSION_WAIT_S = 1.0
"""How long an item waits for a replica of the software version that it began at."""
RETRY_PAUSE_S = 0.3
MAX_RETRY_PAUSE_S = 2.0
"""Upper bound of the pause of an item whose runs were cut off one after another. The pause doubles
each time, so that an item is not run again and again while replicas crash."""
MAX_RUNNING_ITEMS = 96
"""Number of running items from which no more slots are claimed; one claim may exceed it."""
NOT_URGENT_DUE_S = 0.5 * INFEASIBLE_DUE_S
"""Due time stated in another region for waiting items that are not urgent: they get the slots that
no item of that region needs."""
MAX_POOLS_ASKED = 3
"""Maximum number of engine pools in which waiting items claim slots in one round."""
RESERVE_SHARES = ((0.3, 0.15), (0.0, 0.0))
"""Pairs of a share of a job's time and a share of an engine's slots. While at least this share of
the time is left, the job's items leave this share of slots free. The first match applies."""
GIVE_UP_MARGIN_S = 5.0
"""Tolerance for the time since a job was sent, which is imprecise after a change of coordinator."""
ROUTE_GONE_S = 6.0
"""How long a job's route must be missing before its remaining items are given up."""


@attrs.frozen
class DispatcherParts:
    """Dependencies of a dispatcher.

    Attributes
    ----------
    name, zone
        Process name and zone of the coordinator whose items it runs.
    guard
        Is told of items that replicas serve. Items are run whatever has crashed replicas: an
        accepted item is owed, and a crash while it runs does not show that it is the cause.
    """

    name: str
    zone: str
    routes: Callable[[], RequestRoutes]
    choose_service: Callable[[RequestRoute], str]
    table: ReplicaTable
    connections: ReplicaConnections
    claim_slots: ClaimSlotsCall
    protocol: ItemProtocol
    guard: PoisonGuard = attrs.field(factory=NoGuard)
    regions: RegionMap = ONE_REGION


@attrs.frozen
class _Waiting:
    """An item that waits for a slot, and the time until it is due."""

    left_s: float
    job: CoordinatedJob
    item: CoordinatedItem


@attrs.frozen
class _Running:
    """A run of an item that is under way."""

    job: CoordinatedJob
    item: CoordinatedItem
    run: RunHandle


class ItemDispatcher:
    """Runs items in granted slots; safe to use from any thread.

    Parameters
    ----------
    open_jobs
        Returns the jobs that are not stopped.
    """

    def __init__(
        self, parts: DispatcherParts, open_jobs: Callable[[], list[CoordinatedJob]]
    ) -> None:
        self._parts = parts
        self._open_jobs = open_jobs
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._running_items = 0
        self._claim_elsewhere_at = 0.0
        self.items_to_other_region = 0
        self._paces = RoutePaces()
        self._first_pool = xxhash.xxh3_64_intdigest(parts.name.encode())

    def start(self) -> None:
        """Start claiming slots and running items."""
        threading.Thread(target=self._dispatch, name="batch-dispatch", daemon=True).start()

    def stop(self) -> None:
        """Start no more items."""
        self._stopping.set()
        self._wake.set()

    def wake(self) -> None:
        """Claim slots without waiting for the next interval."""
        self._wake.set()

    def preempt_items(self, items: tuple[ItemsAt, ...]) -> None:
        """Preempt items immediately, because online requests need their slots."""
        running = self._running()
        for at in items:
            self._preempt(running, at)

    def running_items(self) -> int:
        """Return the number of running items."""
        return self._running_items

    def route_of(self, job: Job) -> RequestRoute | None:
        """Return the route of a job in the current configuration; ``None`` if there is none."""
        return self._parts.routes().find(job.host, job.path)

    def _dispatch(self) -> None:
        while not self._stopping.is_set():
            jobs = sorted(self._open_jobs(), key=CoordinatedJob.due_at)
            try:
                self._dispatch_once(jobs)
            except Exception as error:  # A bug must not stop the batch work of this gateway.
                log_message("batch:dispatch_error", error=repr(error))
            self._stopping.wait(CLAIM_PAUSE_S)
            self._wake.wait(DISPATCH_INTERVAL_S if jobs else None)
            self._wake.clear()

    def _dispatch_once(self, jobs: list[CoordinatedJob]) -> None:
        jobs_by_service: dict[str, list[CoordinatedJob]] = {}
        for job in jobs:
            services = self._update_route(job)
            self._give_up_unstarted(job)
            if services and job.has_work():
                # If the route has several services, one is chosen according to their weights.
                service = self._parts.choose_service(job.route)
                jobs_by_service.setdefault(service, []).append(job)
        for service, claiming in jobs_by_service.items():
            self._claim(service, claiming)

    def _claim(self, service: str, jobs: list[CoordinatedJob]) -> None:
        """Claim slots for the waiting items of some jobs in one engine pool after another.

        Coordinators begin with different pools, so that all pools are used. Pools of other regions
        come last.
        """
        pools = pools_of(service, self._parts.table)
        own_region = self._parts.regions.own_pool_region
        nearby = [pool for pool in pools if pool.region == own_region]
        avoided = self._avoided(service, self._waiting(jobs))
        pools_asked = 0
        for pool in self._rotated(nearby):
            running = self._running_items_in(pool)
            wanted = self._wanted_items(jobs) if pools_asked < MAX_POOLS_ASKED else ()
            if not wanted and not running:
                continue
            pools_asked += bool(wanted)
            self._claim_pool(pool, jobs, running, wanted, avoided)
        if len(nearby) < len(pools):
            elsewhere = [pool for pool in pools if pool.region != own_region]
            has_own_slots = any(pool.members(self._parts.table) for pool in nearby)
            self._claim_elsewhere(elsewhere, jobs, avoided, has_own_slots)
        if self._wanted_items(jobs):
            self._first_pool += MAX_POOLS_ASKED

    def _rotated(self, pools: list[EnginePool]) -> list[EnginePool]:
        """Return the pools, beginning with the one that is to be asked first now."""
        start = self._first_pool % max(1, len(pools))
        return pools[start:] + pools[:start]

    def _claim_elsewhere(
        self,
        pools: list[EnginePool],
        jobs: list[CoordinatedJob],
        avoided: tuple[str, ...],
        has_own_slots: bool,
    ) -> None:
        """Claim slots in other regions for items that found none in the own region.

        An allocator that does not answer is not asked for more slots for a while, as claims within
        the own region wait for its answer. Running items are claimed nevertheless: it would grant
        their slots to others after 1 s.
        """
        pools_asked = 0
        for pool in self._rotated(pools):
            running = self._running_items_in(pool)
            may_ask = pools_asked < MAX_POOLS_ASKED and boot_clock.now() >= self._claim_elsewhere_at
            wanted = self._wanted_items(jobs) if may_ask else ()
            if has_own_slots:
                wanted = tuple(map(_not_urgent, wanted))
            if not wanted and not running:
                continue
            pools_asked += bool(wanted)
            if not self._claim_pool(pool, jobs, running, wanted, avoided):
                self._claim_elsewhere_at = boot_clock.now() + AVOID_ALLOCATOR_S

    def _wanted_items(self, jobs: list[CoordinatedJob]) -> tuple[WantedItems, ...]:
        """Return the waiting items grouped by due time, the earliest first."""
        if self._running_items >= MAX_RUNNING_ITEMS:
            return ()
        by_due: dict[float, list[_Waiting]] = {}
        for waiting in self._waiting(jobs):
            by_due.setdefault(round(waiting.left_s, 1), []).append(waiting)
        return tuple(_wanted_group(left_s, items) for left_s, items in by_due.items())

    def _waiting(self, jobs: list[CoordinatedJob]) -> list[_Waiting]:
        """Return the waiting items, the most urgent first.

        Equally urgent items are sorted by progress, the most advanced first.
        """
        now = boot_clock.now()
        waiting = [
            _Waiting(self._time_left_s(job, item, now), job, item)
            for job in jobs
            for item in job.waiting()
        ]
        return sorted(waiting, key=lambda one: (one.left_s, -len(one.item.texts)))

    def _claim_pool(
        self,
        pool: EnginePool,
        jobs: list[CoordinatedJob],
        running: list[_Running],
        wanted: tuple[WantedItems, ...],
        avoided: tuple[str, ...],
    ) -> bool:
        """Claim slots in one pool, then preempt and start items as the allocator answers.

        Returns whether it answered.
        """
        claimed_at = boot_clock.now()
        granted = self._parts.claim_slots(
            ClaimSlots(
                self._parts.name,
                self._parts.zone,
                pool.service,
                self._running_at(running),
                wanted,
                avoided,
                pool.index,
                pool.pools,
                self._paces.take_unreported(),
                pool.region_field,
            )
        )
        if granted is None:
            return False
        self._paces.adopt(granted.paces)
        for at in granted.preempt:
            self._preempt(running, at)
        waiting = self._waiting(jobs)
        for at in granted.starts:
            replica = self._parts.table.get(at.replica_id)
            if replica is None or replica.leaving:
                continue
            if replica.id in (granted.cold or ()):
                replica.add_cold_permits(at.items, claimed_at)
            if replica.lacks_permit:
                continue
            may_start = (one for one in waiting if self._may_start_at(one.item, replica))
            starting = list(itertools.islice(may_start, at.items))
            for one in starting:
                waiting.remove(one)
                self._start_item(one.job, one.item, replica)
        return True

    def _may_start_at(self, item: CoordinatedItem, replica: Replica) -> bool:
        """Return whether to run an item at a replica.

        An item that has events of another software version would start from the beginning there.
        It waits a while for a replica of its version, if there is one.
        """
        if item.may_run_at(replica.entry) or not self._parts.table.serves_version(item.version):
            return True
        return boot_clock.now() - item.not_before > MAX_VERSION_WAIT_S

    def _time_left_s(self, job: CoordinatedJob, item: CoordinatedItem, now: float) -> float:
        """Return the time until an item is due, ``INFEASIBLE_DUE_S`` if it will be late."""
        return time_left_s(job, item, now, self._paces.of(_route_name(job)))

    def _running_at(self, running: list[_Running]) -> tuple[RunningAt, ...]:
        now = boot_clock.now()
        counts = Counter(
            (one.item.replica_id, round(self._time_left_s(one.job, one.item, now), 1))
            for one in running
        )
        return tuple(
            RunningAt(replica_id, items, left_s) for (replica_id, left_s), items in counts.items()
        )

    def _avoided(self, service: str, waiting: list[_Waiting]) -> tuple[str, ...]:
        """Return the replicas that this process must not use, even if others may.

        They are failing for this process, it knows of an evacuation before the allocator does, or
        all waiting items have events of other software versions.
        """

        def may_start(replica: Replica) -> bool:
            return not waiting or any(self._may_start_at(one.item, replica) for one in waiting)

        return tuple(
            replica.id
            for replica in self._parts.table.of_service(service)
            if replica.avoided or replica.evacuated or not may_start(replica)
        )

    def _running_items_in(self, pool: EnginePool) -> list[_Running]:
        return [one for one in self._running() if self._is_in(pool, one.item)]

    def _running(self) -> list[_Running]:
        """Return the running items, except those that are being preempted."""
        return [
            _Running(job, item, item.run)
            for job in self._open_jobs()
            for item in job.running()
            if not item.run.preempted
        ]

    def _is_in(self, pool: EnginePool, item: CoordinatedItem) -> bool:
        replica = self._parts.table.get(item.replica_id)
        return replica is not None and pool.holds(replica)

    def _update_route(self, job: CoordinatedJob) -> tuple[str, ...]:
        """Update a job's route from the current configuration, and return the route's services."""
        route = self.route_of(job.job)
        if route is None:
            return ()
        job.route = route
        job.routed_at = boot_clock.now()
        return tuple(part.service for part in route.services)

    def _give_up_unstarted(self, job: CoordinatedJob) -> None:
        """Give up a job's waiting items if its route was removed or its time is over."""
        reason = self._reason_to_give_up(job)
        if reason:
            for item in job.unstarted():
                job.finish(item, ResultState.DEAD, reason)

    def _reason_to_give_up(self, job: CoordinatedJob) -> str:
        """Return why a job's remaining items are to be given up; empty if they are not."""
        now = boot_clock.now()
        if self._parts.routes().version and now > job.routed_at + ROUTE_GONE_S:
            return "the job's route was removed"
        if job.route is None or not job.route.max_wait_s:
            return ""
        if now > job.sent_at + job.route.max_wait_s + GIVE_UP_MARGIN_S:
            return "not done in time"
        return ""

    def _start_item(self, job: CoordinatedJob, item: CoordinatedItem, replica: Replica) -> None:
        item.run = RunHandle()
        item.replica_id = replica.id
        item.state = ItemState.RUNNING
        if not item.may_run_at(replica.entry):
            log_message(
                "item:started_over",
                job=job.id,
                request_id=item.item.id,
                replica=replica.id,
                version=replica.entry.version,
                version_before=item.version.name,
                events=len(item.texts),
            )
            item.discard_events()
        item.started_at = boot_clock.now()
        item.events_at_start = len(item.texts)
        item.resumed_after = item.last_event_id
        with self._lock:
            self._running_items += 1
            self.items_to_other_region += replica.in_other_region
        thread = threading.Thread(
            target=self._run_item, args=(job, item, replica), name="item", daemon=True
        )
        try:
            thread.start()
        except RuntimeError as error:  # The process cannot start another thread now.
            with self._lock:
                self._running_items -= 1
            log_message("item:not_started", job=job.id, request_id=item.item.id, error=repr(error))
            job.put_back(item, RETRY_PAUSE_S)

    def _run_item(self, job: CoordinatedJob, item: CoordinatedItem, replica: Replica) -> None:
        identity = identity_of_item(item.item, job.job.host, self._parts.protocol)
        replica.begin_item()
        outcome: ItemOutcome = ItemCut("the run failed")
        try:
            outcome = self._run_at(job, item, replica, identity)
        finally:
            item.run.end()
            replica.end_item()
            with self._lock:
                self._running_items -= 1
            self._record_outcome(job, item, replica, identity.content, outcome)
            self._wake.set()

    def _run_at(
        self,
        job: CoordinatedJob,
        item: CoordinatedItem,
        replica: Replica,
        identity: RequestIdentity,
    ) -> ItemOutcome:
        """Run an item, and tell the poison guard if a replica serves it."""
        if not replica.take_permit():
            return ItemCut("the replica is cold and the grant too old", blames_replica=False)
        events_before = len(item.texts)
        outcome = run_item(
            item,
            job.job.host,
            replica,
            self._parts.connections,
            self._parts.protocol,
            job.job.tenant,
        )
        begun = len(item.texts) > events_before
        if begun:
            item.cuts_in_a_row = 0
            self._parts.guard.record_begun(identity)
        if isinstance(outcome, ItemDone):
            self._parts.guard.record_served(identity)
        return outcome

    def _record_outcome(
        self,
        job: CoordinatedJob,
        item: CoordinatedItem,
        replica: Replica,
        content: str,
        outcome: ItemOutcome,
    ) -> None:
        log_message(
            "item:run",
            job=job.id,
            request_id=item.item.id,
            content=content,
            replica=replica.id,
            version=replica.entry.version,
            resumed_after=item.resumed_after,
            events_until=item.last_event_id,
            took_s=round(boot_clock.now() - item.started_at, 3),
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            giving_way=item.run.preempted,
            connection_closed=getattr(outcome, "connection_closed", False),
        )
        match outcome:
            case ItemDone():
                events = len(item.texts)
                run_s = boot_clock.now() - item.started_at
                self._paces.record(_route_name(job), events, events - item.events_at_start, run_s)
                job.finish(item, ResultState.SUCCEEDED, "\n".join(item.texts))
            case ItemImpossible(reason=reason):
                job.finish(item, ResultState.DEAD, reason)
            case ItemFailed(reason=reason):
                item.failures += 1
                if item.failures >= self._max_attempts(job):
                    job.finish(item, ResultState.DEAD, reason)
                else:
                    job.put_back(item, RETRY_PAUSE_S)
            case ItemCut():
                if outcome.blames_replica and not job.stopped:
                    replica.record_failure()
                job.put_back(item, _pause_after_cut(item, outcome))

    def _max_attempts(self, job: CoordinatedJob) -> int:
        return max(1, job.route.max_attempts) if job.route else 1

    def _preempt(self, running: list[_Running], at: ItemsAt) -> None:
        """Preempt the least urgent items at a replica; among equals, those with least progress."""
        now = boot_clock.now()
        here = [one for one in running if one.item.replica_id == at.replica_id]
        here.sort(
            key=lambda one: (
                -self._time_left_s(one.job, one.item, now),
                len(one.item.texts),
            )
        )
        for one in here[: at.items]:
            one.run.preempt()


def _pause_after_cut(item: CoordinatedItem, outcome: ItemCut) -> float:
    """Return the time in seconds before an item is run again after a run that was cut."""
    if item.run.preempted:
        return 0.0
    if not outcome.connection_closed:
        return RETRY_PAUSE_S
    item.cuts_in_a_row += 1
    return min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2 ** (item.cuts_in_a_row - 1))


def _route_name(job: CoordinatedJob) -> str:
    return job.route.name if job.route else ""


def _not_urgent(wanted: WantedItems) -> WantedItems:
    """Return a claim with the due time of items that are not urgent.

    A claim that leaves no share of an engine's slots free is returned unchanged. Its items have
    less than 30% of their time left, would be late by the current pace, or have no due time.
    """
    if wanted.reserve_share <= RESERVE_SHARES[-1][1]:
        return wanted
    return msgspec.structs.replace(wanted, due_in_s=NOT_URGENT_DUE_S)


def _wanted_group(left_s: float, waiting: list[_Waiting]) -> WantedItems:
    """Return the message part for waiting items that are due at the same time."""
    route = waiting[0].job.route
    due_s = route.due_s if route else 0.0
    left_share = min(1.0, left_s / due_s) if due_s and left_s < INFEASIBLE_DUE_S else 0.0
    shares = (share for least, share in RESERVE_SHARES if left_share >= least)
    return WantedItems(
        next(shares, RESERVE_SHARES[-1][1]),
        len(waiting),
        max(one.item.item.tokens for one in waiting),
        left_s,
    )
