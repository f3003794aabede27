"""The batch scheduler of one replica.

It starts items while there is room, and gives room up at once when online work starts: by a
gateway's notice, by the load report when the notice was lost, or because the engine preempted
a stream. Items that gave way are resumed from the tokens they hold.
"""

from __future__ import annotations

import threading
from collections import Counter, deque
from typing import TYPE_CHECKING

import msgspec
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.engine_client import EngineClient
from quaymill.process.batch.application_item import ApplicationItem, CallParts
from quaymill.process.batch.item_outcome import (
    ItemBroken,
    ItemFinished,
    ItemGaveWay,
    ItemNotStarted,
    ItemOutcome,
    error_body,
)
from quaymill.process.batch.item_stream import ItemStream
from quaymill.process.batch.lease_book import LeaseBook
from quaymill.process.batch.replica_health import ReplicaHealth
from quaymill.process.batch.report import ReplicaBatch
from quaymill.process.batch.room import LoadSample, Room, RoomLimits, prefetch_count
from quaymill.process.batch.work_item import WorkItem
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.settings import NodeSettings
from quaymill.version.configuration import ServiceKind, ServingConfiguration

if TYPE_CHECKING:
    from quaymill.process.replicas.replica import ReplicaView

STEP_INTERVAL_S = 0.05
RATE_WINDOW_S = 1.0
MAX_BROKEN_STREAMS = 3
NO_STATUS = 0


class SchedulerParts(msgspec.Struct, frozen=True):
    """What every scheduler of this node uses."""

    settings: NodeSettings
    holder: ConfigurationHolder
    book: LeaseBook
    engine_client: EngineClient
    call_parts: CallParts


class _Running(msgspec.Struct, eq=False):
    """One item in service."""

    work: WorkItem
    run: ItemStream | ApplicationItem
    started_s: float
    giving_way: bool = False


class ReplicaScheduler:
    """Sends batch items to one replica."""

    def __init__(self, view: ReplicaView, parts: SchedulerParts) -> None:
        self._name = view.machine.name
        self._service = view.machine.service
        self._parts = parts
        self._changed = threading.Condition()
        self._view = view
        self._sample: LoadSample | None = None
        self._room = Room()
        self._health = ReplicaHealth()
        self._running: set[_Running] = set()
        self._ends_s: deque[float] = deque()
        self._ended: Counter[str] = Counter()
        self._retired = False
        self._thread = threading.Thread(target=self._run, name=f"batch-{self._name}", daemon=True)

    def start(self) -> None:
        """Begin to run items."""
        self._thread.start()

    def observe(self, view: ReplicaView) -> None:
        """Take in the latest view of the replica."""
        report = view.report()
        application = self._is_application()
        with self._changed:
            self._view = view
            if report is None or not report.reachable:
                self._sample = None
            else:
                if application:
                    # An application does not tell batch calls from others.
                    own = min(report.running, len(self._running))
                    report = msgspec.structs.replace(report, batch_running=own)
                self._sample = LoadSample(report, boot_clock.now() - report.age_s)

    def online_starts(self, count: int) -> None:
        """Make room now for ``count`` online requests; streams are closed before it returns."""
        with self._changed:
            now_s = boot_clock.now()
            for _ in range(count):
                self._room.notice(now_s)
            self._make_room(now_s)

    def retire(self) -> None:
        """Start nothing more and cancel the streams; application calls run to their end."""
        with self._changed:
            self._retired = True
            self._cancel_streams(len(self._running))
            self._changed.notify_all()
        self._parts.book.set_demand(self._name, self._service, 0)

    def wait_until_idle(self, deadline_s: float) -> None:
        """Wait until no item is in service, at most until the monotonic time given."""
        with self._changed:
            self._changed.wait_for(
                lambda: not self._running, max(0.0, deadline_s - boot_clock.now())
            )

    def report(self) -> ReplicaBatch:
        """Return what is in service and what bounds it."""
        with self._changed:
            allowed = self._allowed(boot_clock.now())
            return ReplicaBatch(
                replica=self._name,
                service=self._service,
                running=len(self._running),
                allowed=allowed,
                reason=self._reason(allowed),
                ended=dict(self._ended),
            )

    def _run(self) -> None:
        with self._changed:
            while not self._retired:
                self._step()
                self._changed.wait(STEP_INTERVAL_S)

    def _step(self) -> None:
        """Work out the room, close what exceeds it, start what fits."""
        now_s = boot_clock.now()
        self._make_room(now_s)
        while (running := self._take_next(now_s)) is not None:
            threading.Thread(
                target=self._run_items, args=(running,), name=f"item-{self._name}", daemon=True
            ).start()
        self._state_demand(now_s)

    def _state_demand(self, now_s: float) -> None:
        allowed = self._allowed(now_s)
        free = max(0, allowed - len(self._running))
        prefetched = prefetch_count(
            allowed, self._items_per_s(now_s), self._parts.book.lease_latency_s
        )
        self._parts.book.set_demand(self._name, self._service, free + prefetched)

    def _allowed(self, now_s: float) -> int:
        """Return how many items may be in service for new ones to be started."""
        if self._retired or self._view.draining or self._view.ejected:
            return 0
        return self._health.limit(self._room.allowed, now_s)

    def _items_per_s(self, now_s: float) -> float:
        while self._ends_s and self._ends_s[0] < now_s - RATE_WINDOW_S:
            self._ends_s.popleft()
        return len(self._ends_s) / RATE_WINDOW_S

    def _reason(self, allowed: int) -> str:
        if self._view.draining:
            return "the replica is draining"
        if self._view.ejected:
            return "the replica is ejected after failures"
        if self._health.failing:
            return f"backing off after a failure: {self._health.last_failure}"
        if len(self._running) < allowed:
            return self._parts.book.shortage_reason(self._service)
        return self._room.reason

    def _make_room(self, now_s: float) -> None:
        """Work out the allowed concurrency and close the streams beyond it."""
        configuration = self._parts.holder.current()
        limits = _limits(configuration, self._service, self._view.machine.zone)
        staying = sum(1 for running in self._running if not running.giving_way)
        allowed = self._room.update(self._sample, limits, staying, now_s)
        if staying > allowed:
            self._cancel_streams(staying - allowed)

    def _cancel_streams(self, count: int) -> None:
        """Close the youngest streams, which hold the fewest tokens to be read anew."""
        staying = [running for running in self._running if not running.giving_way]
        staying.sort(key=lambda running: running.started_s, reverse=True)
        for running in staying[:count]:
            running.giving_way = True
            running.run.cancel()

    def _take_next(self, now_s: float) -> _Running | None:
        """Put the next item in service if there is room and an item is here."""
        if len(self._running) >= self._allowed(now_s):
            return None
        work = self._parts.book.take(self._service)
        if work is None:
            return None
        run = self._new_run(work)
        running = _Running(work, run, now_s)
        self._running.add(running)
        work.on_unwanted(run.cancel)
        return running

    def _new_run(self, work: WorkItem) -> ItemStream | ApplicationItem:
        parts = self._parts
        endpoint = self._view.machine.endpoint
        if self._is_application():
            idempotent = parts.holder.current().services[self._service].idempotent
            return ApplicationItem(work, endpoint, idempotent, parts.call_parts)
        return ItemStream(work, endpoint, parts.engine_client, parts.settings.batch)

    def _is_application(self) -> bool:
        service = self._parts.holder.current().services.get(self._service)
        return service is not None and service.kind == ServiceKind.APPLICATION

    def _run_items(self, running: _Running | None) -> None:
        """Run an item, then the next one on the same thread while there is room."""
        while running is not None:
            outcome = self._run_item(running)
            running.work.on_unwanted(None)
            with self._changed:
                now_s = boot_clock.now()
                self._running.discard(running)
                self._ends_s.append(now_s)
                self._settle(running.work, outcome)
                running = self._take_next(now_s)
                if running is None:
                    self._changed.notify_all()

    def _run_item(self, running: _Running) -> ItemOutcome:
        try:
            return running.run.run()
        except Exception as error:  # A bug must not leave the item held for ever.
            log_message("batch:item_bug", item=repr(running.work.ref), error=repr(error))
            return ItemBroken(f"internal error: {error!r}")

    def _settle(self, work: WorkItem, outcome: ItemOutcome) -> None:
        """Report, keep or give back the item, and learn about the replica from it."""
        now_s = boot_clock.now()
        book = self._parts.book
        match outcome:
            case ItemFinished(status=status, response=response, retryable=retryable):
                self._ended["finished"] += 1
                if retryable:
                    self._health.failed(f"status {status}", now_s)
                else:
                    self._health.succeeded()
                book.complete(work, status, response, retryable)
            case ItemGaveWay(by_engine=by_engine):
                self._ended["gave-way"] += 1
                if by_engine:
                    self._room.preempted(len(self._running), now_s)
                book.put_back(work)
            case ItemNotStarted(reason=reason):
                self._ended["not-started"] += 1
                self._health.failed(reason, now_s)
                log_message("batch:not_started", item=repr(work.ref), reason=reason)
                book.put_back(work)
            case ItemBroken(reason=reason):
                self._ended["broken"] += 1
                self._health.failed(reason, now_s)
                log_message("batch:stream_broken", item=repr(work.ref), reason=reason)
                self._settle_broken(work, reason)

    def _settle_broken(self, work: WorkItem, reason: str) -> None:
        """Resume from the tokens held a few times; then report a failed attempt."""
        work.broken_streams += 1
        resumable = work.partial.resumable and work.partial.token_ids
        if resumable and work.broken_streams < MAX_BROKEN_STREAMS:
            self._parts.book.put_back(work)
            return
        self._parts.book.complete(
            work, NO_STATUS, error_body(reason, "replica_failed"), retryable=True
        )


def _limits(configuration: ServingConfiguration, service: str, zone: str) -> RoomLimits:
    """Return the cells for a replica; without a route for its zone it takes no batch work."""
    reserve = configuration.tuning.batch_reserve
    for group_name, route in configuration.routes.get(service, {}).items():
        group = configuration.zone_groups.get(group_name)
        if group is not None and zone in group.zones:
            return RoomLimits(route.batch_limit, reserve)
    return RoomLimits(0, reserve)
