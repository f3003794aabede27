"""The load of all replicas, polled by this node or pulled from the nodes that poll them.

Each replica is polled by the node that ranks first for its name in its zone; that node also
runs its batch scheduler. In the local zone, reports are pulled from each polling node; for
another zone, one of its nodes returns all reports that it has. When a polling node dies, its
reports become outdated and the load is unknown until the next node in the ranking polls.

The number of polls and the bytes of pulled reports per second are limited for each node, so the
intervals become longer in a large fleet.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.load_messages import GetLoad, LoadReports
from quaymill.connection.member import Machine, MachineRole, Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.replica_connection import ReplicaConnections
from quaymill.process.machine_list import MachineList, MachineListHolder
from quaymill.process.membership.ranking import rank_nodes
from quaymill.process.replicas.replica import ReplicaView
from quaymill.process.replicas.replica_poller import poll_replica
from quaymill.process.settings import NodeSettings

if TYPE_CHECKING:
    from quaymill.process.membership.membership import Membership

POLL_INTERVAL_S = 0.25
POLLS_PER_S = 10.0
PULL_INTERVAL_S = 0.5
PULL_TIMEOUT_S = 1.0
LOCAL_ZONE_BYTES_PER_S = 2_500.0
OTHER_ZONES_BYTES_PER_S = 1_000.0
REPORT_BYTES = 45.0
"""Approximate size of one report in a message."""
ASSIGN_INTERVAL_S = 0.25
REPLICA_ROLES = (MachineRole.ENGINE, MachineRole.APPLICATION)


class LoadView:
    """Keeps a ``ReplicaView`` for each replica in the machine list.

    Parameters
    ----------
    link_filter
        Fault injection: blocked replicas cannot be polled.
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
        self._replicas: dict[str, ReplicaView] = {}
        self._by_service: dict[str, tuple[ReplicaView, ...]] = {}
        self._by_zone: dict[str, tuple[ReplicaView, ...]] = {}
        self._scheduled_here: frozenset[str] = frozenset()
        self._schedulers: dict[str, Member] = {}
        self._assigned_for: tuple[int, frozenset[tuple[str, Endpoint]]] | None = None
        self._replicas_being_polled: set[str] = set()
        self._peers_to_pull_from: dict[Endpoint, str] = {}
        self._peers_being_pulled: set[Endpoint] = set()
        self._stopping = threading.Event()
        peer_server.register(GetLoad, self._answer_get_load)

    def start(self) -> None:
        """Begin to poll replicas and to pull reports from other nodes."""
        self._machine_list.subscribe(self._update_replicas)
        _start_thread("load-view", self._assign_periodically)

    def stop(self) -> None:
        """Stop polling and pulling."""
        self._stopping.set()
        self._connections.close()

    @property
    def machines_known(self) -> bool:
        """Whether a machine list has been received."""
        return self._machine_list.current().version > 0

    def replicas(self, service: str) -> tuple[ReplicaView, ...]:
        """Return the views of a service's replicas, which stay up to date."""
        return self._by_service.get(service, ())

    def services(self) -> tuple[str, ...]:
        """Return the services that have replicas in the machine list."""
        return tuple(self._by_service)

    def all_replicas(self) -> tuple[ReplicaView, ...]:
        """Return every replica in the machine list."""
        return tuple(self._replicas.values())

    def scheduled_here(self) -> tuple[ReplicaView, ...]:
        """Return the replicas that this node polls and for which it schedules batch work."""
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

    def _update_replicas(self, machine_list: MachineList) -> None:
        listed = [machine for machine in machine_list.machines if machine.role in REPLICA_ROLES]
        replicas = {machine.name: self._view_of(machine) for machine in listed}
        views = tuple(replicas.values())
        self._replicas = replicas
        self._by_service = _grouped(views, lambda view: view.machine.service)
        self._by_zone = _grouped(views, lambda view: view.machine.zone)

    def _view_of(self, machine: Machine) -> ReplicaView:
        view = self._replicas.get(machine.name)
        if view is None or view.machine.endpoint != machine.endpoint:
            return ReplicaView(machine)
        view.set_machine(machine)
        return view

    def _assign_periodically(self) -> None:
        while True:
            self._assign()
            self._start_missing_threads()
            if self._stopping.wait(ASSIGN_INTERVAL_S):
                return

    def _assign(self) -> None:
        """Recompute the assignments if the machines or the live nodes have changed."""
        live = self._membership.live()
        version = self._machine_list.current().version
        assigned_for = (version, frozenset((member.name, member.peer) for member in live))
        if assigned_for != self._assigned_for:
            self._assigned_for = assigned_for
            self._schedulers = {}
            self._scheduled_here = frozenset(self._replicas_ranked_here(live))
            self._peers_to_pull_from = self._choose_peers_to_pull_from(live)

    def _start_missing_threads(self) -> None:
        """Start a thread for each newly assigned replica or peer; they end by themselves."""
        for name in self._scheduled_here - self._replicas_being_polled:
            self._replicas_being_polled.add(name)
            _start_thread(f"poll-{name}", self._poll, name)
        for peer in self._peers_to_pull_from.keys() - self._peers_being_pulled:
            self._peers_being_pulled.add(peer)
            _start_thread(f"pull-{peer}", self._pull, peer)

    def _replicas_ranked_here(self, live: tuple[Member, ...]) -> set[str]:
        """Return the names of the replicas for which this node ranks first."""
        live_zones = {member.zone for member in live}
        ranked_here: set[str] = set()
        for name, view in self._replicas.items():
            zone = view.machine.zone
            # A replica whose zone has live nodes is never scheduled from another zone.
            if zone in live_zones and zone != self._settings.zone:
                continue
            if rank_nodes(name, live, zone)[0].name == self._settings.name:
                ranked_here.add(name)
        return ranked_here

    def _choose_peers_to_pull_from(self, live: tuple[Member, ...]) -> dict[Endpoint, str]:
        """Return the peers to pull from, each with the zone to request (empty: what it polls)."""
        peers: dict[Endpoint, str] = {}
        for zone, views in self._by_zone.items():
            if zone == self._settings.zone:
                schedulers = [self.scheduler_of(view) for view in views]
                peers |= {member.peer: "" for member in schedulers if member is not None}
                continue
            in_zone = [member for member in live if member.zone == zone]
            if in_zone:
                # The choice depends on this node's name, so that the zone's nodes share the work.
                responder = rank_nodes(f"load/{zone}/{self._settings.name}", in_zone)[0]
                peers[responder.peer] = zone
            else:
                schedulers = [self.scheduler_of(view) for view in views]
                peers |= {member.peer: "" for member in schedulers if member is not None}
        peers.pop(self._membership.local().peer, None)
        return peers

    def _poll(self, name: str) -> None:
        """Poll one replica until another node becomes its scheduler."""
        while not self._stopping.wait(self._poll_interval_s()):
            view = self._replicas.get(name)
            if view is None or name not in self._scheduled_here:
                break
            report = poll_replica(self._connections, view)
            if report is not None:
                view.offer_report(report)
        self._replicas_being_polled.discard(name)

    def _poll_interval_s(self) -> float:
        return max(POLL_INTERVAL_S, len(self._scheduled_here) / POLLS_PER_S)

    def _pull(self, peer: Endpoint) -> None:
        """Pull reports from one node until it is no longer assigned."""
        zone = self._peers_to_pull_from.get(peer, "")
        while not self._stopping.wait(self._pull_interval_s(zone)):
            if peer not in self._peers_to_pull_from:
                break
            zone = self._peers_to_pull_from[peer]
            reply = self._peer_client.call(peer, GetLoad(zone), LoadReports, PULL_TIMEOUT_S)
            if isinstance(reply, LoadReports):
                self._record_reports(reply)
        self._peers_being_pulled.discard(peer)

    def _pull_interval_s(self, zone: str) -> float:
        """Return the interval of pulls that keeps their replies within the byte budget."""
        replicas_in_local_zone = len(self._by_zone.get(self._settings.zone, ()))
        if zone:
            answer_bytes = (len(self._replicas) - replicas_in_local_zone) * REPORT_BYTES
            return max(PULL_INTERVAL_S, answer_bytes / OTHER_ZONES_BYTES_PER_S)
        return max(PULL_INTERVAL_S, replicas_in_local_zone * REPORT_BYTES / LOCAL_ZONE_BYTES_PER_S)

    def _record_reports(self, reply: LoadReports) -> None:
        for report in reply.reports:
            view = self._replicas.get(report.replica)
            if view is not None:
                view.offer_report(report)

    def _answer_get_load(self, message: GetLoad) -> LoadReports:
        views = self._by_zone.get(message.zone, ()) if message.zone else self.scheduled_here()
        reports = [view.report() for view in views]
        return LoadReports(tuple(report for report in reports if report is not None))


def _grouped(
    views: tuple[ReplicaView, ...], key: Callable[[ReplicaView], str]
) -> dict[str, tuple[ReplicaView, ...]]:
    groups: dict[str, list[ReplicaView]] = {}
    for view in views:
        groups.setdefault(key(view), []).append(view)
    return {name: tuple(members) for name, members in groups.items()}


def _start_thread(name: str, target: Callable[..., None], *arguments: object) -> None:
    threading.Thread(target=target, args=arguments, name=name, daemon=True).start()
