"""The load of all replicas: polled here or heard from the node that polls them.

A replica is polled by one node, the one that ranks first for its name in its zone; that node
also runs its batch scheduler. Other nodes ask for the reports. When the polling node dies,
reports grow old and count as unknown until membership names the next node.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import msgspec

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.load_messages import GetLoad, LoadReport, LoadReports
from quaymill.connection.member import Machine, MachineRole, Member
from quaymill.connection.peer_link import PeerClient, PeerServer
from quaymill.connection.replica_connection import ReplicaConnections, ReplicaRequest
from quaymill.process.machine_list import MachineList, MachineListHolder
from quaymill.process.membership.ranking import rank_nodes
from quaymill.process.replicas.replica import ReplicaView
from quaymill.process.settings import NodeSettings
from quaymill.request.outcome import NotRun, OutcomeUnknown

if TYPE_CHECKING:
    from quaymill.process.membership.membership import Membership

POLL_INTERVAL_S = 0.25
POLL_TIMEOUT_S = 1.0
PULL_INTERVAL_S = 0.5
PULL_TIMEOUT_S = 1.0
REASSIGN_INTERVAL_S = 0.25
MAX_LOAD_DOCUMENT_BYTES = 64 * 1024
REPLICA_ROLES = (MachineRole.ENGINE, MachineRole.APPLICATION)


class _LoadDocument(msgspec.Struct):
    running: int = 0
    waiting: int = 0
    batch_running: int = 0
    slots: int = 0
    draining: bool = False
    age_s: float = 0.0


class LoadView:
    """Keeps a ``ReplicaView`` for each replica in the machine list.

    Parameters
    ----------
    link_filter
        Cuts for tests, for the polls of replicas.
    """

    def __init__(
        self,
        settings: NodeSettings,
        machine_list: MachineListHolder,
        membership: Membership,
        peer_client: PeerClient,
        peer_server: PeerServer,
        link_filter: LinkFilter | None = None,
    ) -> None:
        self._settings = settings
        self._machine_list = machine_list
        self._membership = membership
        self._peer_client = peer_client
        self._connections = ReplicaConnections(link_filter or LinkFilter())
        self._lock = threading.Lock()
        self._replicas: dict[str, ReplicaView] = {}
        self._by_service: dict[str, tuple[ReplicaView, ...]] = {}
        self._scheduled_here: frozenset[str] = frozenset()
        self._schedulers: dict[str, Member] = {}
        self._ranked_for: tuple[int, frozenset[tuple[str, Endpoint]]] | None = None
        self._pulled_peers: set[Endpoint] = set()
        self._polled: set[str] = set()
        self._stopping = threading.Event()
        peer_server.register(GetLoad, self._answer_get_load)

    def start(self) -> None:
        """Begin to poll, and to ask the other nodes."""
        self._machine_list.subscribe(self._take_machine_list)
        self._assign()
        threading.Thread(target=self._keep_assigned, name="load-view", daemon=True).start()

    def stop(self) -> None:
        """Stop polling and asking."""
        self._stopping.set()
        self._connections.close()

    def replicas(self, service: str) -> tuple[ReplicaView, ...]:
        """Return the replicas of a service, live views all of them."""
        return self._by_service.get(service, ())

    def services(self) -> tuple[str, ...]:
        """Return the services of which replicas are listed."""
        return tuple(self._by_service)

    def all_replicas(self) -> tuple[ReplicaView, ...]:
        """Return every listed replica."""
        return tuple(self._replicas.values())

    def scheduled_here(self) -> tuple[ReplicaView, ...]:
        """Return the replicas that this node polls and schedules batch work for."""
        replicas = self._replicas
        return tuple(replicas[name] for name in self._scheduled_here if name in replicas)

    def scheduler_of(self, replica: ReplicaView) -> Member | None:
        """Return the node that schedules batch work for a replica."""
        scheduler = self._schedulers.get(replica.name)
        if scheduler is None:
            ranked = rank_nodes(replica.name, self._membership.live(), replica.machine.zone)
            scheduler = ranked[0] if ranked else None
            if scheduler is not None:
                self._schedulers[replica.name] = scheduler
        return scheduler

    def _take_machine_list(self, machine_list: MachineList) -> None:
        listed = [machine for machine in machine_list.machines if machine.role in REPLICA_ROLES]
        with self._lock:
            replicas = {machine.name: self._view_of(machine) for machine in listed}
            by_service: dict[str, list[ReplicaView]] = {}
            for view in replicas.values():
                by_service.setdefault(view.machine.service, []).append(view)
            self._replicas = replicas
            self._by_service = {service: tuple(views) for service, views in by_service.items()}

    def _view_of(self, machine: Machine) -> ReplicaView:
        view = self._replicas.get(machine.name)
        if view is None or view.machine.endpoint != machine.endpoint:
            return ReplicaView(machine)
        view.set_machine(machine)
        return view

    def _keep_assigned(self) -> None:
        while not self._stopping.wait(REASSIGN_INTERVAL_S):
            self._assign()

    def _assign(self) -> None:
        """Rank the nodes anew if the machines or the live nodes changed, and follow it."""
        live = self._membership.live()
        replicas = self._replicas
        version = self._machine_list.current().version
        ranked_for = (version, frozenset((member.name, member.peer) for member in live))
        if ranked_for == self._ranked_for:
            return
        self._ranked_for = ranked_for
        self._schedulers = {}
        live_zones = {member.zone for member in live}
        here: set[str] = set()
        for name, view in replicas.items():
            zone = view.machine.zone
            # A replica whose zone has live nodes is never scheduled from another zone.
            if zone in live_zones and zone != self._settings.zone:
                continue
            if rank_nodes(name, live, zone)[0].name == self._settings.name:
                here.add(name)
        self._scheduled_here = frozenset(here)
        self._start_pollers()
        self._start_pullers(live)

    def _start_pollers(self) -> None:
        for name in self._scheduled_here:
            if name not in self._polled:
                self._polled.add(name)
                threading.Thread(
                    target=self._poll_replica, args=(name,), name=f"poll-{name}", daemon=True
                ).start()

    def _start_pullers(self, live: tuple[Member, ...]) -> None:
        for member in live:
            if member.name != self._settings.name and member.peer not in self._pulled_peers:
                self._pulled_peers.add(member.peer)
                threading.Thread(
                    target=self._pull_peer,
                    args=(member.peer,),
                    name=f"pull-{member.name}",
                    daemon=True,
                ).start()

    def _poll_replica(self, name: str) -> None:
        """Poll one replica until another node becomes its scheduler."""
        while not self._stopping.wait(POLL_INTERVAL_S):
            view = self._replicas.get(name)
            if view is None or name not in self._scheduled_here:
                break
            report = self._poll_once(view)
            if report is not None:
                view.offer_report(report)
        self._polled.discard(name)

    def _poll_once(self, view: ReplicaView) -> LoadReport | None:
        """Ask a replica once; ``None`` if it answers, but does not tell its load.

        Then the report held grows old, and the load counts as unknown.
        """
        deadline = time.monotonic() + POLL_TIMEOUT_S
        unreachable = LoadReport(replica=view.name, age_s=0.0, reachable=False)
        request = ReplicaRequest("GET", "/load", {})
        exchange = self._connections.send(view.machine.endpoint, request)
        if isinstance(exchange, NotRun | OutcomeUnknown):
            return unreachable
        if not exchange.wait_readable(POLL_TIMEOUT_S):
            exchange.abandon()
            return unreachable
        if exchange.read_head(POLL_TIMEOUT_S) is not None:
            return unreachable
        body = exchange.read_body(MAX_LOAD_DOCUMENT_BYTES, deadline)
        if isinstance(body, OutcomeUnknown):
            return unreachable
        exchange.release()
        try:
            document = msgspec.json.decode(body, type=_LoadDocument)
        except msgspec.MsgspecError:
            return None
        if exchange.status != 200:
            return None
        return LoadReport(
            replica=view.name,
            age_s=max(0.0, document.age_s),
            running=document.running,
            waiting=document.waiting,
            batch_running=document.batch_running,
            slots=document.slots,
            draining=document.draining,
        )

    def _pull_peer(self, peer: Endpoint) -> None:
        """Ask one node for its reports while it is live."""
        while not self._stopping.wait(PULL_INTERVAL_S):
            if all(member.peer != peer for member in self._membership.live()):
                break
            reply = self._peer_client.call(peer, GetLoad(), LoadReports, PULL_TIMEOUT_S)
            if isinstance(reply, LoadReports):
                for report in reply.reports:
                    view = self._replicas.get(report.replica)
                    if view is not None:
                        view.offer_report(report)
        self._pulled_peers.discard(peer)

    def _answer_get_load(self, message: GetLoad) -> LoadReports:
        reports = [view.report() for view in self.scheduled_here()]
        return LoadReports(tuple(report for report in reports if report is not None))
