"""One node: builds its parts, starts them and stops them in order on SIGTERM or SIGINT."""

from __future__ import annotations

import faulthandler
import signal

import msgspec
from eliot import log_message

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.platform_client import PlatformClient
from quaymill.process.batch.report import BatchCollector, status_rows
from quaymill.process.batch.scheduler import BatchSchedulers
from quaymill.process.configuration.service import ConfigurationService
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.gateway.batches import BatchesApi
from quaymill.process.gateway.files import FilesApi
from quaymill.process.gateway.gateway import Gateway
from quaymill.process.gateway.http import Request, Response
from quaymill.process.job_store.client import JobStoreClient
from quaymill.process.job_store.service import JobStoreService
from quaymill.process.limits.region import build_region_limiter
from quaymill.process.logs import start_logs
from quaymill.process.machine_list import MachineListHolder
from quaymill.process.membership.membership import Membership
from quaymill.process.replicas.load_view import LoadView
from quaymill.process.replicas.router import Router
from quaymill.process.replicas.status_rows import replica_rows
from quaymill.process.settings import NodeSettings
from quaymill.process.status.service import StatusService
from quaymill.process.stop_signal import StopSignal

MAX_FAULT_SWITCH_BYTES = 65536


class BlockedLinks(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /debug/links``: the endpoints to which this node sends nothing."""

    blocked: tuple[str, ...]


class Node:
    """A node with all its parts.

    States: starting, serving, draining (after ``stop``: no new work, requests in flight are
    completed), stopped.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._link_filter = LinkFilter()
        self._peer_server = PeerServer(settings.peer_endpoint)
        self._peer_client = PeerClient(self._link_filter)
        self._holder = ConfigurationHolder()
        self._machine_list = MachineListHolder()
        self._membership = Membership(settings, self._link_filter)
        platform = PlatformClient(Endpoint.parse(settings.platform), self._link_filter)
        self._configuration = ConfigurationService(
            settings,
            self._holder,
            self._machine_list,
            self._membership,
            platform,
            self._peer_client,
            self._peer_server,
        )
        self._job_store = JobStoreService(
            settings,
            self._peer_server,
            self._peer_client,
            platform,
            self._membership,
            lambda: self._holder.current().tuning,
        )
        self._job_store_client = JobStoreClient(settings, self._membership, self._peer_client)
        self._load_view = LoadView(
            settings,
            self._machine_list,
            self._membership,
            self._peer_client,
            self._peer_server,
            self._link_filter,
        )
        self._limiter = build_region_limiter(
            settings, self._holder, self._membership, self._peer_client, self._peer_server
        )
        self._status = StatusService(
            self._membership, platform, self._peer_client, self._configuration.report
        )
        self._status.add_provider(lambda: replica_rows(self._load_view, self._holder.current()))
        self._gateway = self._build_gateway()
        self._batch_schedulers = BatchSchedulers(
            settings,
            self._holder,
            self._load_view,
            self._job_store_client,
            self._peer_server,
            self._link_filter,
            self._gateway.at_most_once,
        )
        self._gateway.metrics.registry.register(
            BatchCollector(self._batch_schedulers.replicas, self._batch_schedulers.leases_held)
        )
        self._status.add_provider(lambda: status_rows(self._batch_schedulers.replicas()))

    def _build_gateway(self) -> Gateway:
        settings = self._settings
        gateway = Gateway(
            settings,
            self._holder,
            self._load_view,
            Router(self._load_view, self._holder, settings),
            self._limiter,
            self._membership,
            self._job_store_client,
            self._peer_client,
            self._peer_server,
            self._link_filter,
            self._status.document,
        )
        max_body_bytes = settings.gateway.max_body_bytes
        FilesApi(self._job_store_client, self._holder, max_body_bytes).add_routes(gateway.routes)
        BatchesApi(self._job_store_client).add_routes(gateway.routes)
        if settings.fault_switch:
            gateway.routes.add("POST", "/debug/links", self._set_links, authenticated=False)
        return gateway

    def start(self) -> None:
        """Start the parts, each after those that it uses."""
        # The peer server starts when all handlers are registered and their parts are running.
        self._membership.start()
        self._configuration.start()
        self._job_store.start()
        self._load_view.start()
        self._limiter.start()
        self._status.start()
        self._batch_schedulers.start()
        self._peer_server.start()
        self._gateway.start()
        log_message("node:started", http=str(self._settings.http_endpoint))

    def stop(self) -> None:
        """Stop without aborting requests.

        Peers and callers are notified first; the batch schedulers return their leases while
        online requests finish; another replica takes over leadership of the log before this one
        stops.
        """
        self._membership.announce_draining()
        self._gateway.begin_drain()
        self._batch_schedulers.stop()
        drained = self._gateway.drain(self._settings.drain_timeout_s)
        log_message("node:drained", all_requests_finished=drained)
        self._job_store.hand_over_leadership()
        self._gateway.stop()
        self._job_store.stop()
        self._status.stop()
        self._limiter.stop()
        self._load_view.stop()
        self._configuration.stop()
        self._peer_server.stop()
        self._membership.stop()
        self._peer_client.close()
        log_message("node:stopped")

    def _set_links(self, request: Request) -> Response:
        """Block the given outgoing links; a fault switch for tests."""
        body = request.read_body(MAX_FAULT_SWITCH_BYTES)
        links = msgspec.json.decode(body, type=BlockedLinks)
        self._link_filter.set_blocked(frozenset(Endpoint.parse(text) for text in links.blocked))
        return Response(200, body=b"{}")


def run_node(settings: NodeSettings) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code."""
    logs = start_logs(settings.name, settings.log_file)
    # SIGUSR1 prints the stacks of all threads, to debug a node that hangs.
    faulthandler.register(signal.SIGUSR1)
    stop_signal = StopSignal()
    node = Node(settings)
    node.start()
    print(f"ready {settings.http_endpoint}", flush=True)
    stop_signal.wait()
    node.stop()
    logs.stop()
    return 0
