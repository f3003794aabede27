"""The jobs that this gateway coordinates: runs their items and lists their results.

Threads: one dispatcher for all jobs, one publisher for each job, one for each running item,
and one that renews the leases.
"""

from __future__ import annotations

import itertools
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable

import attrs
from eliot import log_message

from quaymill.connection.job_document import Job, ResultState
from quaymill.connection.job_storage_messages import (
    HandOverJob,
    ItemProgress,
    KeyedResult,
    RenewJobs,
)
from quaymill.connection.replica_connection import ReplicaConnections
from quaymill.connection.room_messages import ClaimRoom, ItemsAt, WantedItems
from quaymill.process.jobs.coordinated_job import (
    CoordinatedJob,
    ItemState,
    RunningItem,
    listed_result,
)
from quaymill.process.jobs.item_run import (
    ItemCut,
    ItemDone,
    ItemFailed,
    ItemImpossible,
    ItemOutcome,
    ItemProtocol,
    run_item,
)
from quaymill.process.jobs.lease_renewal import LeaseRenewal
from quaymill.process.jobs.listing import JobListings, Listing, ListingDocument, ListingUnknown
from quaymill.process.jobs.room_keeper import Claim
from quaymill.process.jobs.storage_client import JobStorageClient
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.version.request_routes import RequestRoute, RequestRoutes

DISPATCH_INTERVAL_S = 0.2
CLAIM_PAUSE_S = 0.05
"""Least time between two claims: items that end close together share one."""
PUBLISH_INTERVAL_S = 0.4
"""Least time between two appends to a listing: results that end close together share one."""
PUBLISH_RETRY_S = 0.5
RENEW_INTERVAL_S = 0.6
RETRY_PAUSE_S = 0.3
MAX_RUNNING_ITEMS = 96
RESERVE_SHARES = ((0.6, 0.35), (0.3, 0.25), (0.0, 0.15))
"""Part of a job's time that is left, and the part of the slots that its items then leave free:
a job with time to spare keeps well out of the way of online requests."""
GIVE_UP_MARGIN_S = 5.0
"""The time since a job was sent is known only so well after its coordinator has changed."""
ROUTE_GONE_S = 6.0
"""How long a job's route must be missing before its items are given up."""
RETAINED_JOBS = 200


@attrs.frozen
class CoordinatorParts:
    """What a coordinator uses."""

    name: str
    zone: str
    routes: Callable[[], RequestRoutes]
    choose_service: Callable[[RequestRoute], str]
    table: ReplicaTable
    connections: ReplicaConnections
    claim_room: Claim
    storage: JobStorageClient
    leases: LeaseRenewal
    listings: JobListings
    protocol: ItemProtocol
    is_live: Callable[[str], bool]
    """Whether a coordinator of that name is known to live."""


class JobCoordinator:
    """Coordinates jobs from their acceptance or adoption until all is listed."""

    def __init__(self, parts: CoordinatorParts) -> None:
        self._parts = parts
        self._lock = threading.Lock()
        self._jobs_by_id: dict[str, CoordinatedJob] = {}
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._running_items = 0
        self._newly_complete: list[str] = []

    @property
    def name(self) -> str:
        """How storage nodes and gateways know this coordinator; another after a restart."""
        return self._parts.name

    def start(self) -> None:
        """Begin to run items and to renew leases."""
        for name, target in (("batch-dispatch", self._dispatch), ("job-leases", self._renew)):
            threading.Thread(target=target, name=name, daemon=True).start()

    def wake(self) -> None:
        """Look at once whether items can be started."""
        self._wake.set()

    def get(self, job_id: str) -> CoordinatedJob | None:
        """Return a job coordinated here."""
        job = self._jobs_by_id.get(job_id)
        return None if job is None or job.abandoned or job.yielded else job

    def open_jobs(self) -> list[CoordinatedJob]:
        """Return the jobs that are not over."""
        return [job for job in list(self._jobs_by_id.values()) if not job.stopped]

    def running_items(self) -> int:
        """Return how many items are in service."""
        return self._running_items

    def accept(self, job: Job) -> None:
        """Coordinate a job that was submitted here."""
        self._begin(job, adopted=False)

    def adopt(
        self,
        job: Job,
        progress: Iterable[ItemProgress] = (),
        unlisted: Iterable[KeyedResult] = (),
    ) -> bool:
        """Coordinate a job that another ran before; return whether this gateway takes it."""
        if self._stopping.is_set():
            return False
        log_message("job:adopted", job=job.id, items=len(job.document.items))
        self._begin(job, adopted=True, progress=progress, unlisted=unlisted)
        return True

    def end(self, job_id: str) -> bool:
        """Stop a job that was ended; return whether it is coordinated here."""
        job = self.get(job_id)
        if job is None:
            return False
        if not job.ended:
            log_message("job:stopped", job=job_id)
        job.stop(ended=True)
        return True

    def stop(self) -> list[HandOverJob]:
        """Start nothing more, cut the runs, and return what others need to go on."""
        self._stopping.set()
        self._wake.set()
        orders = []
        for job in self.open_jobs():
            job.stop(ended=False)
            orders.append(
                HandOverJob(
                    Job(
                        job.id,
                        job.job.host,
                        job.job.path,
                        job.job.document,
                        time.monotonic() - job.sent_at,
                    ),
                    tuple(
                        item.progress()
                        for item in job.items
                        if item.state in (ItemState.WAITING, ItemState.RUNNING)
                        and (item.texts or item.failures)
                    ),
                    job.unlisted(),
                )
            )
        return orders

    def _begin(
        self,
        job: Job,
        *,
        adopted: bool,
        progress: Iterable[ItemProgress] = (),
        unlisted: Iterable[KeyedResult] = (),
    ) -> None:
        with self._lock:
            held = self._jobs_by_id.get(job.id)
            if held is not None and not held.abandoned and not held.yielded:
                return
            coordinated = CoordinatedJob(job, self._route_of(job), self._parts.name)
            for one in progress:
                coordinated.items[one.index].resume_from(one)
            coordinated.add_finished(unlisted)
            self._jobs_by_id[job.id] = coordinated
            self._forget_old_jobs()
        threading.Thread(
            target=self._publish, args=(coordinated, adopted), name="job", daemon=True
        ).start()

    def _route_of(self, job: Job) -> RequestRoute | None:
        return self._parts.routes().find(job.host, job.path)

    def _forget_old_jobs(self) -> None:
        """Keep memory bounded: of jobs that are over, storage nodes have all there is."""
        over = [job for job in self._jobs_by_id.values() if job.stopped]
        for job in over[: max(0, len(over) - RETAINED_JOBS)]:
            del self._jobs_by_id[job.id]

    # Running items.

    def _dispatch(self) -> None:
        while not self._stopping.is_set():
            jobs = sorted(self.open_jobs(), key=CoordinatedJob.due_at)
            try:
                self._dispatch_once(jobs)
            except Exception as error:  # A bug must not end all batch work of this gateway.
                log_message("batch:dispatch_error", error=repr(error))
            self._stopping.wait(CLAIM_PAUSE_S)
            self._wake.wait(DISPATCH_INTERVAL_S if jobs else None)
            self._wake.clear()

    def _dispatch_once(self, jobs: list[CoordinatedJob]) -> None:
        jobs_by_service: dict[str, list[CoordinatedJob]] = {}
        for job in jobs:
            services = self._services_of(job)
            self._give_up_late(job)
            if services and job.has_work():
                # Items of a route that is split go to the service whose turn it is.
                service = self._parts.choose_service(job.route)
                jobs_by_service.setdefault(service, []).append(job)
        for service, claiming in jobs_by_service.items():
            self._claim(service, claiming)

    def _claim(self, service: str, jobs: list[CoordinatedJob]) -> None:
        """Ask for room for the waiting items of some jobs, and do as the answer says."""
        wanted = tuple(one for one in map(_wanted, jobs) if one.items)
        running = Counter(item.replica_id for item in self._running_items_of(service))
        if self._running_items >= MAX_RUNNING_ITEMS:
            wanted = ()
        granted = self._parts.claim_room(
            ClaimRoom(
                self._parts.name,
                self._parts.zone,
                service,
                tuple(ItemsAt(replica_id, items) for replica_id, items in running.items()),
                wanted,
            )
        )
        if granted is None:
            return
        for at in granted.give_back:
            self._give_way(service, at)
        waiting = iter([(job, item) for job in jobs for item in job.waiting()])
        for at in granted.starts:
            replica = self._parts.table.get(at.replica_id)
            if replica is None or replica.leaving:
                continue
            for job, item in itertools.islice(waiting, at.items):
                self._start_item(job, item, replica)

    def _running_items_of(self, service: str) -> list[RunningItem]:
        replica_ids = {replica.id for replica in self._parts.table.of_service(service)}
        return [
            item
            for job in self.open_jobs()
            for item in job.running()
            if item.replica_id in replica_ids and not item.giving_way
        ]

    def _services_of(self, job: CoordinatedJob) -> tuple[str, ...]:
        """Return the services that may run a job's items by the configuration in force."""
        route = self._route_of(job.job)
        if route is None:
            return ()
        job.route = route
        job.routed_at = time.monotonic()
        return tuple(part.service for part in route.services)

    def _give_up_late(self, job: CoordinatedJob) -> None:
        reason = self._reason_to_give_up(job)
        if reason:
            for item in job.waiting():
                job.finish(item, ResultState.DEAD, reason)

    def _reason_to_give_up(self, job: CoordinatedJob) -> str:
        """Return why the rest of a job will never be done; empty if it may be."""
        now = time.monotonic()
        if self._parts.routes().version and now > job.routed_at + ROUTE_GONE_S:
            return "the job's route was removed"
        if job.route is None or not job.route.max_wait_s:
            return ""
        if now > job.sent_at + job.route.max_wait_s + GIVE_UP_MARGIN_S:
            return "not done in time"
        return ""

    def _start_item(self, job: CoordinatedJob, item: RunningItem, replica: Replica) -> None:
        item.state = ItemState.RUNNING
        item.replica_id = replica.id
        item.started_at = time.monotonic()
        item.giving_way = False
        with self._lock:
            self._running_items += 1
        threading.Thread(
            target=self._run_item, args=(job, item, replica), name="item", daemon=True
        ).start()

    def _run_item(self, job: CoordinatedJob, item: RunningItem, replica: Replica) -> None:
        replica.begin()
        outcome: ItemOutcome = ItemCut("the run failed")
        try:
            outcome = run_item(
                item, job.job.host, replica, self._parts.connections, self._parts.protocol
            )
        finally:
            replica.end()
            with self._lock:
                self._running_items -= 1
            self._settle(job, item, replica, outcome)
            self._wake.set()

    def _settle(
        self, job: CoordinatedJob, item: RunningItem, replica: Replica, outcome: ItemOutcome
    ) -> None:
        log_message(
            "item:run",
            job=job.id,
            request_id=item.item.id,
            replica=replica.id,
            events_until=item.last_event_id,
            took_s=round(time.monotonic() - item.started_at, 3),
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            giving_way=item.giving_way,
        )
        match outcome:
            case ItemDone():
                job.finish(item, ResultState.SUCCEEDED, "\n".join(item.texts))
            case ItemImpossible(reason=reason):
                job.finish(item, ResultState.DEAD, reason)
            case ItemFailed(reason=reason):
                item.failures += 1
                if item.failures >= self._max_attempts(job):
                    job.finish(item, ResultState.DEAD, reason)
                else:
                    job.put_back(item, RETRY_PAUSE_S)
            case ItemCut(blames_replica=blames_replica):
                if blames_replica and not job.stopped:
                    replica.record_failure()
                job.put_back(item, 0.0 if item.giving_way else RETRY_PAUSE_S)

    def _max_attempts(self, job: CoordinatedJob) -> int:
        return max(1, job.route.max_attempts) if job.route else 1

    def _give_way(self, service: str, at: ItemsAt) -> None:
        """Cut the youngest items at a replica, which hold the least."""
        items = [
            item for item in self._running_items_of(service) if item.replica_id == at.replica_id
        ]
        items.sort(key=lambda item: item.started_at, reverse=True)
        for item in items[: at.items]:
            item.giving_way = True
            if item.cancel is not None:
                item.cancel()

    # Listing results.

    def _publish(self, job: CoordinatedJob, adopted: bool) -> None:
        """Follow one job to its end."""
        if adopted:
            self._take_over(job)
        self._wake.set()
        while not job.over:
            with job.changed:
                job.changed.wait_for(lambda: job.over or job.unlisted(), PUBLISH_RETRY_S)
            results = job.unlisted()
            if results and not job.over:
                listed = self._list(job, results)
                self._stopping.wait(PUBLISH_INTERVAL_S if listed else PUBLISH_RETRY_S)
        log_message(
            "job:over",
            job=job.id,
            complete=job.complete,
            ended=job.ended,
            handed_over=job.abandoned,
            listed=len(job.listing.document.results),
            total=job.total,
            took_s=round(time.monotonic() - job.sent_at, 2),
        )
        if job.complete:
            with self._lock:
                self._newly_complete.append(job.id)

    def _take_over(self, job: CoordinatedJob) -> None:
        """Enter this coordinator into the listing, so that a former one finds out."""
        listing = self._parts.listings.read(job.id)
        if isinstance(listing, ListingUnknown):
            log_message("job:listing_unknown", job=job.id, reason=listing.reason)
            return
        standing = listing or Listing(ListingDocument("", job.total))
        job.take_listing(standing)
        written = self._parts.listings.write(job.id, standing.with_results((), job.coordinator))
        if isinstance(written, Listing):
            job.take_listing(written)
        self._fetch_contents(job)

    def _list(self, job: CoordinatedJob, results: tuple[KeyedResult, ...]) -> bool:
        """Put results on disks, then into the listing; return whether they stand there."""
        if not self._parts.storage.store_results(job.id, results):
            log_message("job:results_not_stored", job=job.id, results=len(results))
            return False
        wanted = job.listing.with_results(map(listed_result, results), job.coordinator)
        standing = self._parts.listings.write(job.id, wanted)
        if isinstance(standing, ListingUnknown):
            log_message("job:listing_unknown", job=job.id, reason=standing.reason)
            return False
        job.take_listing(standing)
        if standing.document != wanted.document:
            self._meet_other(job, standing)
            return False
        log_message("job:listed", job=job.id, results=len(results), revision=standing.revision)
        return True

    def _meet_other(self, job: CoordinatedJob, standing: Listing) -> None:
        """Another coordinator wrote in between: leave the job to it if it lives."""
        other = standing.document.coordinator
        log_message("job:overtaken", job=job.id, other=other, revision=standing.revision)
        self._fetch_contents(job)
        if other != self._parts.name and self._parts.is_live(other):
            job.yield_to(other)

    def _fetch_contents(self, job: CoordinatedJob) -> None:
        missing = job.missing_contents()
        if missing:
            job.add_contents(self._parts.storage.fetch_results(job.id, missing))

    # Leases.

    def _renew(self) -> None:
        while not self._stopping.wait(RENEW_INTERVAL_S):
            open_jobs = tuple(job.id for job in self.open_jobs())
            with self._lock:
                complete, self._newly_complete = tuple(self._newly_complete), []
            if not open_jobs and not complete:
                continue
            outcome = self._parts.leases.renew(RenewJobs(self._parts.name, open_jobs, complete))
            for job_id in outcome.ended:
                self.end(job_id)
            for job_id in outcome.taken:
                self._check_taken(job_id)

    def _check_taken(self, job_id: str) -> None:
        """Leave a job to another coordinator if that one also stands in the listing."""
        job = self.get(job_id)
        if job is None:
            return
        listing = self._parts.listings.read(job_id)
        if isinstance(listing, Listing):
            job.take_listing(listing)
            if listing.document.coordinator not in ("", self._parts.name):
                self._meet_other(job, listing)


def _wanted(job: CoordinatedJob) -> WantedItems:
    waiting = job.waiting()
    due_s = job.route.due_s if job.route else 0.0
    left = (job.due_at() - time.monotonic()) / due_s if due_s else 0.0
    shares = (share for least, share in RESERVE_SHARES if left >= least)
    return WantedItems(
        next(shares, RESERVE_SHARES[-1][1]),
        len(waiting),
        max((item.item.tokens for item in waiting), default=0),
    )
