"""The batch schedulers of a node: one for each replica whose batch work it sends."""

from __future__ import annotations

import threading
from collections import Counter
from typing import TYPE_CHECKING

from quaymill import boot_clock
from quaymill.connection.application_client import ApplicationClient
from quaymill.connection.endpoint import LinkFilter
from quaymill.connection.engine_client import EngineClient
from quaymill.connection.load_messages import Noted, OnlineStarts
from quaymill.connection.peer_server import PeerServer
from quaymill.process.batch.application_item import CallParts
from quaymill.process.batch.job_store import JobStore
from quaymill.process.batch.lease_book import LeaseBook
from quaymill.process.batch.replica_scheduler import ReplicaScheduler, SchedulerParts
from quaymill.process.batch.report import ReplicaBatch
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.gateway.at_most_once import AtMostOnceCalls
from quaymill.process.settings import NodeSettings

if TYPE_CHECKING:
    from quaymill.process.replicas.load_view import LoadView

OBSERVE_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 5.0


class BatchSchedulers:
    """Keeps one scheduler for each replica that this node schedules."""

    def __init__(
        self,
        settings: NodeSettings,
        holder: ConfigurationHolder,
        load_view: LoadView,
        job_store_client: JobStore,
        peer_server: PeerServer,
        link_filter: LinkFilter,
        at_most_once: AtMostOnceCalls,
    ) -> None:
        book = LeaseBook(settings.name, settings.batch, job_store_client, settings.log.groups)
        application_client = ApplicationClient(link_filter)
        self._load_view = load_view
        self._parts = SchedulerParts(
            settings=settings,
            holder=holder,
            book=book,
            engine_client=EngineClient(link_filter),
            call_parts=CallParts(settings.batch, at_most_once, application_client),
        )
        self._schedulers: dict[str, ReplicaScheduler] = {}
        self._stopping = threading.Event()
        self._supervisor = threading.Thread(
            target=self._supervise, name="batch-schedulers", daemon=True
        )
        peer_server.register(OnlineStarts, self._online_starts)

    def start(self) -> None:
        """Begin to lease and run items."""
        self._parts.book.start()
        self._supervisor.start()

    def stop(self) -> None:
        """Cancel the streams, let application calls end, and give the leases back."""
        self._stopping.set()
        self._supervisor.join()
        for scheduler in self._schedulers.values():
            scheduler.retire()
        deadline = boot_clock.now() + self._parts.settings.drain_timeout_s
        for scheduler in self._schedulers.values():
            scheduler.wait_until_idle(deadline)
        self._parts.book.stop(STOP_TIMEOUT_S)
        self._parts.engine_client.close()
        self._parts.call_parts.application_client.close()

    def replicas(self) -> tuple[ReplicaBatch, ...]:
        """Return what each scheduler does now."""
        return tuple(scheduler.report() for scheduler in self._schedulers.values())

    def leases_held(self) -> int:
        """Return how many leases this node holds."""
        return self._parts.book.held()

    def _supervise(self) -> None:
        while not self._stopping.is_set():
            views = {view.machine.name: view for view in self._load_view.scheduled_here()}
            schedulers = dict(self._schedulers)
            for name in schedulers.keys() - views.keys():
                schedulers.pop(name).retire()
            for name, view in views.items():
                if name not in schedulers:
                    schedulers[name] = ReplicaScheduler(view, self._parts)
                    schedulers[name].start()
                schedulers[name].observe(view)
            self._schedulers = schedulers
            self._stopping.wait(OBSERVE_INTERVAL_S)

    def _online_starts(self, message: OnlineStarts) -> Noted:
        for name, count in Counter(message.replicas).items():
            scheduler = self._schedulers.get(name)
            if scheduler is not None:
                scheduler.online_starts(count)
        return Noted()
