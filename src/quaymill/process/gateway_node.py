"""A gateway process: builds its parts, starts them and stops them in order."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import attrs
from eliot import log_message
from prometheus_client import CollectorRegistry

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.object_store import ObjectStore
from quaymill.connection.replica_connection import ReplicaConnections
from quaymill.connection.slot_messages import QueueTerms
from quaymill.process.control.evacuations import EvacuatedZones
from quaymill.process.control.state import ControlPlaneView, ControlProtocol
from quaymill.process.control.store_sharing import SharingStore
from quaymill.process.front.caller_protocol import CallerProtocol
from quaymill.process.front.front_service import FrontService
from quaymill.process.front.http_server import HttpServer
from quaymill.process.front.metrics import FrontMetrics
from quaymill.process.front.monitoring_servers import MetricsServer, ReadinessServer
from quaymill.process.gateway.caller_watch import CallerWatch
from quaymill.process.gateway_gauges import (
    add_endless_gauge,
    add_gauges,
    add_queue_gauge,
    add_replica_gauge,
)
from quaymill.process.gateway_parts import (
    build_circuit_store,
    build_limiter,
    names_no_other_seed,
)
from quaymill.process.jobs.allocator_calls import AllocatorCalls
from quaymill.process.jobs.batch_quota import BatchQuota
from quaymill.process.jobs.cold_grant_watch import ColdGrantWatch
from quaymill.process.jobs.cold_grants import ColdGrants, ColdRules
from quaymill.process.jobs.coordinated_job import LISTING_VALID_SHARE
from quaymill.process.jobs.coordinator import JobCoordinator
from quaymill.process.jobs.coordinator_check import coordinator_check
from quaymill.process.jobs.engine_loads import EngineLoads, ReportProtocol
from quaymill.process.jobs.item_dispatcher import DispatcherParts
from quaymill.process.jobs.item_run import ItemProtocol
from quaymill.process.jobs.job_lookup import JobLookup
from quaymill.process.jobs.lease_renewal import LeaseRenewal
from quaymill.process.jobs.listing import JobListings
from quaymill.process.jobs.online_reporter import OnlineReporter
from quaymill.process.jobs.quota_ledger import QuotaLedgers
from quaymill.process.jobs.quota_sweep import LedgerSweep
from quaymill.process.jobs.result_publisher import PublisherParts
from quaymill.process.jobs.result_reader import ResultReader
from quaymill.process.jobs.service import JobService
from quaymill.process.jobs.slot_allocator import SlotAllocator
from quaymill.process.jobs.slot_claims import SlotClaims
from quaymill.process.jobs.storage_client import JobStorageClient
from quaymill.process.jobs.submission_relay import SubmissionRelay
from quaymill.process.membership.ranking import rank_nodes
from quaymill.process.node_registry import NodeRegistry
from quaymill.process.peer_network import PeerNetwork
from quaymill.process.poison.barred_store import BarredStore
from quaymill.process.poison.guard import CrashGuard
from quaymill.process.poison.sharing import CrashSharing
from quaymill.process.process_context import ProcessContext
from quaymill.process.regions import RegionMap
from quaymill.process.replica_set.online_queue import OnlineQueue, Queued
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.router import Router
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.process.replica_set.warnings import ReplicaWarnings
from quaymill.process.serving_settings import MS_PER_S, ServingSettings
from quaymill.process.streams.records import StreamRecords
from quaymill.process.streams.served_versions import ServedVersions
from quaymill.process.streams.sharing import StreamVersionSharing
from quaymill.process.streams.versions import StreamVersions
from quaymill.request.answer_buffer import BufferedAnswers
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.forwarding import Forwarder, ReplicaProtocol
from quaymill.request.poison import PoisonRecords
from quaymill.request.replica_choice import CannotServeInTime
from quaymill.version.request_routes import NO_ROUTES, RequestRoutes
from quaymill.version.tenants import TenantLimits

CONNECT_TIMEOUT_S = 0.3
ZONE_LOST_CONNECT_TIMEOUT_S = 0.15
"""Connect timeout where a zone may be cut off: half of callers' shortest latency target (0.3 s), so
that a request can still be served on time in another zone."""
THREADS = 160
ADMISSION_LIMIT = 144
STOP_MARGIN_S = 0.7
"""Part of the grace period that is reserved for stopping after the drain."""
FINAL_ANSWER_TIME_S = 0.2
"""Time before the end of the drain at which requests in service are interrupted; their answers may
take as long again after it."""
IDLE_BEFORE_EXIT_S = 0.4
"""How long a draining gateway must be idle before it stops."""
IDLE_CHECK_INTERVAL_S = 0.05
JOIN_TIMEOUT_S = 3.0
"""Time after the start at which a gateway is ready even without enough storage nodes."""


@attrs.frozen
class GatewayProtocol:
    """The protocols that an adapter provides for a gateway."""

    callers: CallerProtocol
    replicas: ReplicaProtocol
    reports: ReportProtocol
    items: ItemProtocol
    control: ControlProtocol
    ready_path: str


@attrs.frozen
class GatewayFeatures:
    """Properties of the deployment that enable optional parts of a gateway.

    Attributes
    ----------
    callers_may_read_slowly
        Whether answers are buffered for callers that read more slowly than replicas send.
    """

    callers_may_read_slowly: bool = False


class GatewayNode:
    """A gateway with all its parts.

    States: starting, ready (after ``start``, with a known configuration and replicas), draining
    (after ``stop``: not ready, requests in flight are completed), stopped.
    """

    def __init__(
        self,
        settings: ServingSettings,
        store: ObjectStore,
        protocol: GatewayProtocol,
        metrics_endpoint: Endpoint | None,
        store_calls: Callable[[], int] = lambda: 0,
        context: ProcessContext | None = None,
        features: GatewayFeatures = GatewayFeatures(),
    ) -> None:
        self._settings = settings
        self._store_calls = store_calls
        self._context = context or ProcessContext()
        self._started_at = boot_clock.now()
        self.network = PeerNetwork.from_settings(settings)
        self._connections = ReplicaConnections(
            LinkFilter(),
            ZONE_LOST_CONNECT_TIMEOUT_S if settings.zones_lost_at_once else CONNECT_TIMEOUT_S,
        )
        self.evacuations = EvacuatedZones(self.network.membership.confirmed_age_s)
        self.regions = RegionMap(settings.zone, settings.region, settings.zone_regions)
        self.network.membership.on_round_trip(self.regions.record_round_trip)
        self._table = ReplicaTable(
            self._forget_replica,
            self.network.zone_reachability.is_unreachable,
            is_evacuated=self.evacuations.is_evacuated,
            regions=self.regions,
            cold_rule_of=ColdRules(lambda: self.control.routes, settings.bounds).of,
        )
        self.network.zone_reachability.watch_replicas(
            self._table.replicas,
            lambda endpoint: self._connections.responds(endpoint, protocol.reports.request()),
        )
        self._circuit_store = build_circuit_store(settings, self.network, store)
        self.control = ControlPlaneView(
            self._circuit_store,
            protocol.control,
            self._table,
            self.network.membership,
            self.network.client,
            self.network.server,
            settings.read_interval_s,
            self.evacuations if settings.bounds.evacuation_ms else None,
            self.regions,
        )
        shared_store = SharingStore(
            self._circuit_store,
            self.network.client,
            self.network.server,
            self.network.reached_gateways,
        )
        listings = JobListings(shared_store)
        storage = JobStorageClient(
            self.network.client,
            self.network.storage_nodes,
            self.network.known_storage_nodes,
            self.network.rules,
            settings.zone,
        )
        leases = LeaseRenewal(
            self.network.client,
            self.network.storage_nodes,
            self.network.result_holders,
            self.network.rules,
        )
        poison_records = PoisonRecords()
        self._crash_sharing = CrashSharing(
            poison_records,
            BarredStore(shared_store),
            self.network.membership,
            self.network.client,
            self.network.server,
            self.network.other_gateways,
            self.network.gateways,
        )
        self._guard = CrashGuard(poison_records, self._connections, self._crash_sharing.report)
        self._poison_records = poison_records
        self._warnings = ReplicaWarnings(
            settings.name,
            settings.zone,
            self._table,
            self.network.client,
            self.network.server,
            self.network.other_gateways,
        )
        self._stream_records = StreamRecords()
        self._stream_sharing = StreamVersionSharing(
            settings.name,
            self._stream_records,
            self.network.client,
            self.network.server,
            self.network.gateways,
            self.network.storage_nodes,
        )
        self._served_versions = ServedVersions(
            settings.name,
            self.network.client,
            self._table.served_versions,
            self.network.gateways,
            self.network.storage_nodes,
            self.network.rules.needed,
        )
        self._stream_versions = StreamVersions(
            self._stream_sharing, self._served_versions, self.network.membership.confirmed_age_s
        )
        self._router = Router(
            self._table,
            settings.zone,
            settings.name,
            lambda first, constraints: self._online_reporter.place(first, constraints),
            lambda service: self._queue.service_s(service),
            lambda service: service in self.control.routes.allocated_services,
        )
        self._loads = EngineLoads(self._connections, protocol.reports)
        # The next four parts call one another; lambdas look up those that are built later.
        self._queue = OnlineQueue(
            self._table,
            self._request_slot,
            self.network.process_name,
            lambda replica: self._online_reporter.release_slot(replica),
            lambda service, ticket: self._online_reporter.withdraw(service, ticket),
        )
        self._allocator_calls = AllocatorCalls(
            self.network.process_name,
            lambda items: self.coordinator.preempt_items(items),
            lambda: self.coordinator.wake(),
            self.network.client,
            self.network.server,
            self.network.process,
            lambda grants: self._online_reporter.accept_grants(grants),
            lambda grant, accepted: self._slot_allocator.grant_answered(grant, accepted),
            self.regions.travel_s,
        )
        self._cold_grants = ColdGrants(
            lambda pool: self._cold_watch.may_grant(pool),
            lambda pool: self._cold_watch.eligible_in_s(pool),
        )
        self._slot_allocator = SlotAllocator(
            self._table,
            self._loads,
            self.network.server,
            self._allocator_calls.send,
            self._allocator_calls.wake,
            self._allocator_calls.send_grant,
            self._cold_grants,
        )
        self._cold_watch = ColdGrantWatch(
            settings.name,
            self._table,
            lambda: self.control.routes.cold_services,
            self.network.gateways,
            self.network.known_gateways,
            self.network.zone_reachability.prefer_reachable,
            self._slot_allocator.grant_waiting,
            regions=self.regions,
            may_be_alone=names_no_other_seed(settings),
        )
        self._online_reporter = OnlineReporter(
            settings.name,
            settings.zone,
            self._table,
            self._slot_allocator,
            self.network.client,
            self.network.gateways,
            lambda: self.control.routes.allocated_services,
            self._queue.recheck,
            self.network.zone_reachability.prefer_reachable,
            allocator_lost=self._queue.leave_allocator_queue,
            dispatch_granted=self._queue.accept_grant,
            regions=self.regions,
            paused_recently=self._cold_watch.paused_recently,
        )
        claims = SlotClaims(
            settings.name,
            self._slot_allocator,
            self.network.client,
            self.network.gateways,
            self.network.zone_reachability.prefer_reachable,
            self.regions,
        )
        self.coordinator = JobCoordinator(
            DispatcherParts(
                name=self.network.process_name,
                zone=settings.zone,
                routes=self._routes_when_ready,
                choose_service=self._router.choose_service,
                table=self._table,
                connections=self._connections,
                claim_slots=claims.claim,
                protocol=protocol.items,
                guard=self._guard,
                regions=self.regions,
            ),
            PublisherParts(
                name=self.network.process_name,
                storage=storage,
                listings=listings,
                coordinates=coordinator_check(self.network.process, self.network.client),
                await_store=self._circuit_store.wait_for_retry,
            ),
            leases,
            LISTING_VALID_SHARE * settings.bounds.settle_ms / MS_PER_S,
        )
        lookup = JobLookup(storage, listings)
        self.quota = self._build_quota(QuotaLedgers(shared_store), lookup)
        self.jobs = JobService(
            self.coordinator,
            storage,
            leases,
            self.quota,
            SubmissionRelay(
                settings.name, self.network.client, self.network.reached_gateways, self._can_store
            ),
            ResultReader(
                self.coordinator,
                storage,
                listings,
                lookup,
                self.network.client,
                self.network.server,
                self.network.process,
            ),
            lookup,
            self.network.client,
            self.network.server,
            self.network.process,
            self.network.other_gateways,
        )
        self._limiter = build_limiter(settings, self.network, self._limits_of)
        self._registry = NodeRegistry(
            self._circuit_store, self.network.membership, self._lacks_peers
        )
        self._buffered_answers = BufferedAnswers.for_process_memory(settings.machine.memory_mb)
        self._metrics = FrontMetrics(CollectorRegistry())
        self._add_gauges()
        self._front = self._build_front(protocol)
        self._watch = CallerWatch()
        self._server = HttpServer(
            Endpoint.parse(settings.listen.callers),
            self._front.handle,
            THREADS,
            self._watch.watch,
            self._watch.unwatch,
            listener=self._context.callers_listener,
            buffered_answers=self._buffered_answers if features.callers_may_read_slowly else None,
            has_room=lambda: self._front.in_service < ADMISSION_LIMIT,
        )
        self._readiness = ReadinessServer(
            Endpoint.parse(settings.listen.readiness), protocol.ready_path, self._is_ready
        )
        self._metrics_server = (
            MetricsServer(metrics_endpoint, self._metrics.registry) if metrics_endpoint else None
        )

    def _request_slot(
        self, service: str, request: ForwardedRequest, terms: QueueTerms
    ) -> Replica | Queued | CannotServeInTime | None:
        found = self._router.constraints_of(service, request.prompt, request.stream_version)
        return None if found is None else self._online_reporter.request_slot(*found, terms)

    def _limits_of(self, tenant: str) -> TenantLimits | None:
        found = (self.control.routes.tenants or {}).get(tenant)
        return None if found is None else found.limits

    def _build_quota(self, ledgers: QuotaLedgers, lookup: JobLookup) -> BatchQuota:
        sweep = LedgerSweep(ledgers, self._ranks_first_for, lookup.is_over)
        return BatchQuota(
            self._settings.name,
            ledgers,
            lambda: self.control.routes,
            self.coordinator.jobs,
            lambda: len(self.network.gateways()),
            lookup.is_known,
            self._settings.bounds.quota_overrun_share,
            sweep,
        )

    def _ranks_first_for(self, route: str) -> bool:
        ranked = rank_nodes(f"quota/{route}", self.network.gateways())
        return bool(ranked) and ranked[0].name == self._settings.name

    def _routes_when_ready(self) -> RequestRoutes:
        """Return the routes in force; none before it is known where requests may be sent."""
        return self.control.routes if self.control.ready else NO_ROUTES

    def _build_front(self, protocol: GatewayProtocol) -> FrontService:
        forwarder = Forwarder(
            self._router,
            self._connections,
            protocol.replicas,
            self._online_reporter,
            self._queue,
            self._guard,
            self._stream_versions,
        )
        return FrontService(
            protocol.callers,
            self._routes_when_ready,
            forwarder,
            self.jobs,
            self._limiter,
            self._metrics,
            ADMISSION_LIMIT,
        )

    def _add_gauges(self) -> None:
        gauges = {
            "configuration_version": lambda: self.control.routes.version,
            "control_age_seconds": self.network.membership.confirmed_age_s,
            "requests_in_service": lambda: self._front.in_service,
            "requests_held": lambda: self._queue.waiting_requests,
            "requests_to_other_region": lambda: self._online_reporter.sent_to_other_region,
            "batch_items_to_other_region": lambda: self.coordinator.items_to_other_region,
            "request_body_bytes": lambda: self._front.body_bytes,
            "answer_bytes_held": lambda: self._buffered_answers.held_bytes,
            "connections_closed_unread": lambda: self._server.read_gate.closed,
            "answers_ended": lambda: self._buffered_answers.ended,
            "line_tenants": lambda: self._slot_allocator.queues.tenants,
            "line_refused": lambda: self._slot_allocator.queues.refused_early,
            "batch_items_running": self.coordinator.running_items,
            "batch_jobs_open": lambda: len(self.coordinator.open_jobs()),
            "requests_barred": lambda: self._poison_records.count(barred=True),
            "requests_suspected": lambda: self._poison_records.count(barred=False),
            "stream_records": lambda: len(self._stream_records),
            "storage_nodes": lambda: len(self.network.storage_nodes()),
            "gateways": lambda: len(self.network.gateways()),
            "zones_evacuated": lambda: len(self.evacuations.zones),
            "zones_unreachable": lambda: self.network.zone_reachability.unreachable_zones,
            "replica_connections_opened": lambda: self._connections.opened_count,
            "store_calls": self._store_calls,
            "store_calls_saved": lambda: self._circuit_store.rejected_calls,
            "store_circuit_open": lambda: self._circuit_store.is_open,
            "cold_grants": lambda: self._cold_grants.granted,
            "log_lines_dropped": self._context.log_lines_dropped,
        }
        add_gauges(self._metrics.registry, gauges)
        add_replica_gauge(self._metrics.registry, self._table)
        add_endless_gauge(self._metrics.registry, self._connections)
        add_queue_gauge(self._metrics.registry, self._slot_allocator.queues.lengths)

    def start(self) -> None:
        """Start the parts, each after those that it uses."""
        self.network.start()
        self.control.subscribe(self._apply_limits)
        # Requests in a queue are refused at once if no replica is left.
        self.evacuations.before_release(self._mark_zones_cold)
        self.evacuations.subscribe(self._handle_evacuations)
        self.control.start()
        self._warnings.start()
        self._stream_sharing.start()
        self._served_versions.start()
        self._crash_sharing.start()
        self.coordinator.start()
        self.quota.start()
        self._online_reporter.start()
        self._cold_watch.start()
        self._limiter.start()
        self._watch.start()
        self._server.start_serving()
        self._readiness.start_serving()
        if self._metrics_server is not None:
            self._metrics_server.start_serving()
        self._registry.start()
        log_message(
            "node:started",
            name=self._settings.name,
            zone=self._settings.zone,
            process=self.network.process_name,
        )

    def stop(self) -> None:
        """Stop without aborting requests: notify peers and callers, then drain."""
        began = boot_clock.now()
        deadline = began + self._settings.bounds.grace_s - STOP_MARGIN_S
        log_message("node:draining", in_service=self._front.in_service)
        self._front.drain.begin(deadline - FINAL_ANSWER_TIME_S)
        self.network.membership.announce_draining()
        handing_over = threading.Thread(target=self.jobs.hand_over_all, daemon=True)
        handing_over.start()
        # New connections still arrive until the platform notices that this gateway is not ready.
        time.sleep(self._settings.bounds.leave_s)
        self._server.stop_accepting()
        idle = self._wait_until_idle(deadline - FINAL_ANSWER_TIME_S)
        if not idle:
            interrupted = self._front.drain.interrupt_all()
            log_message("node:requests_interrupted", requests=interrupted)
            self._wait_until_answered(deadline + FINAL_ANSWER_TIME_S)
        handing_over.join(max(0.0, deadline - boot_clock.now()))
        self.quota.stop()
        log_message("node:stopped", idle=idle, took_s=round(boot_clock.now() - began, 2))
        self._stop_background_parts()

    def _wait_until_idle(self, deadline: float) -> bool:
        """Wait until the gateway has been idle for a while; return ``False`` at the deadline.

        A short idle period is required, as a request that has just arrived is not counted yet.
        """
        idle_since = boot_clock.now()
        while boot_clock.now() < deadline:
            if self._front.in_service or self._server.busy:
                idle_since = boot_clock.now()
            elif boot_clock.now() - idle_since >= IDLE_BEFORE_EXIT_S:
                return True
            time.sleep(IDLE_CHECK_INTERVAL_S)
        return False

    def _wait_until_answered(self, deadline: float) -> None:
        """Wait until no request is in service, at most until ``deadline``."""
        while self._front.in_service and boot_clock.now() < deadline:
            time.sleep(IDLE_CHECK_INTERVAL_S)

    def _is_ready(self) -> bool:
        return self.control.ready and self._has_joined() and not self._front.drain.begun

    def _can_store(self) -> bool:
        return len(self.network.storage_nodes()) > self._settings.disks_lost_at_once

    def _has_joined(self) -> bool:
        """Return whether enough storage nodes are known, or the time for finding them has passed.

        Otherwise a gateway that has just started would receive jobs that it must refuse. Without
        storage nodes it still serves online requests.
        """
        if self._can_store():
            return True
        return boot_clock.now() - self._started_at > JOIN_TIMEOUT_S

    def kill(self) -> None:
        """Stop as a crashing process does, without notifying peers and callers."""
        self._stop_background_parts()
        self.coordinator.stop()
        self.quota.stop()
        self._watch.stop()
        self._server.stop()
        self._readiness.stop()

    def _stop_background_parts(self) -> None:
        """Stop the parts that contact peers, the store or replicas in the background."""
        self.control.stop()
        self._registry.stop()
        self._loads.stop()
        self._warnings.stop()
        self._stream_sharing.stop()
        self._served_versions.stop()
        self._crash_sharing.stop()
        self._online_reporter.stop()
        self._cold_watch.stop()
        self._limiter.stop()
        self._allocator_calls.stop()
        self.network.stop()
        self._connections.close()

    def _lacks_peers(self) -> bool:
        return not self.network.storage_nodes() or not self.network.other_gateways()

    def _apply_limits(self, routes: RequestRoutes) -> None:
        self._server.idle_timeout_s = routes.limits.idle_timeout_s
        self._server.header_timeout_s = routes.limits.header_timeout_s

    def _mark_zones_cold(self, zones: frozenset[str]) -> None:
        for zone in zones:
            self._table.mark_zone_cold(zone)

    def _handle_evacuations(self, begun: frozenset[str], ended: frozenset[str]) -> None:
        self._queue.recheck()

    def _forget_replica(self, replica: Replica) -> None:
        self._connections.drop_idle(replica.entry.address)
