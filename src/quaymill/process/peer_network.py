"""A process's access to its peers: membership, and client and server of the peer protocol."""

from __future__ import annotations

import attrs

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.member import Member, MemberState
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.job_copies import CopyRules
from quaymill.process.membership.membership import Membership
from quaymill.process.membership.zone_reachability import ZoneReachability
from quaymill.process.serving_settings import ServingSettings
from quaymill.process.settings import MembershipSettings, NodeSettings

TIMING = MembershipSettings(
    probe_interval_s=0.5,
    probe_timeout_s=0.25,
    suspicion_s=1.0,
    rejoin_interval_s=0.7,
    join_period_s=4.0,
)
PROCESS_NAME_SEPARATOR = "#"
REPAIRED_AFTER_S = 10.0
"""Time after which other nodes have copies of everything that a dead storage node held; includes a
margin for repairs."""


@attrs.frozen
class PeerNetwork:
    """The peers of one process.

    Attributes
    ----------
    rules
        How many copies of a job there are, and which storage nodes hold them.
    zones_lost_at_once
        How many zones may be cut off at once; with 0 all zones count as reachable.
    """

    membership: Membership
    server: PeerServer
    client: PeerClient
    zone_reachability: ZoneReachability
    rules: CopyRules
    zones_lost_at_once: int = 0

    @classmethod
    def from_settings(cls, settings: ServingSettings) -> PeerNetwork:
        """Bind the sockets; peers get no answers before ``start``."""
        node_settings = NodeSettings(
            name=settings.name,
            zone=settings.zone,
            region=settings.region,
            address=settings.address,
            http_port=settings.peer_port,
            peer_port=settings.peer_port,
            platform=settings.store,
            seeds=tuple(str(seed) for seed in settings.seed_endpoints),
            data_folder=settings.data_folder,
            cores=settings.machine.cores,
            membership=TIMING,
        )
        link_filter = LinkFilter()
        membership = Membership(node_settings, link_filter)
        zone_reachability = ZoneReachability(settings.zone, membership)
        return cls(
            membership,
            PeerServer(Endpoint(settings.address, settings.peer_port)),
            PeerClient(link_filter, zone_reachability if settings.zones_lost_at_once else None),
            zone_reachability,
            CopyRules.from_settings(settings),
            settings.zones_lost_at_once,
        )

    def start(self) -> None:
        """Start answering peers; all handlers must be registered before."""
        self.server.start()
        self.membership.start()
        if self.zones_lost_at_once:
            self.zone_reachability.start()

    def stop(self) -> None:
        """Stop without notifying peers; their failure detection finds out."""
        self.server.stop()
        self.zone_reachability.stop()
        self.membership.stop()
        self.client.close()

    @property
    def process_name(self) -> str:
        """Name of this process; it changes with each restart."""
        return process_name(self.membership.local())

    def storage_nodes(self) -> tuple[Member, ...]:
        """Return the live storage nodes that are not draining."""
        return tuple(member for member in self.membership.live() if member.has_disk)

    def holding_storage_nodes(self) -> tuple[Member, ...]:
        """Return the live storage nodes, with the draining ones, which still hold their data."""
        return tuple(
            member for member in self.known_storage_nodes() if member.state is not MemberState.DEAD
        )

    def known_storage_nodes(self) -> tuple[Member, ...]:
        """Return the storage nodes that may hold data, including unresponsive ones."""
        return tuple(member for member in self.membership.members() if member.has_disk)

    def result_holders(self) -> tuple[Member, ...]:
        """Return the storage nodes that may be the only ones to hold a result.

        Nodes that have been dead for long are left out, as repair has copied their data to others.
        Exception, where a zone may be lost: if as many nodes are unresponsive as a result needs
        copies, they may be alive in a zone that is cut off and store results there, so that all
        known nodes are returned.
        """
        known = self.known_storage_nodes()
        recent = self.recent_storage_nodes()
        unresponsive = [one for one in known if one not in recent and not one.draining]
        may_be_cut_off = self.rules.zones > 1 and len(unresponsive) >= self.rules.needed
        return known if may_be_cut_off else recent

    def recent_storage_nodes(self) -> tuple[Member, ...]:
        """Return the storage nodes that are alive or have been dead for a short time only."""
        return tuple(
            member
            for member in self.known_storage_nodes()
            if self.membership.dead_for_s(member.name) < REPAIRED_AFTER_S
        )

    def gateways(self) -> tuple[Member, ...]:
        """Return the live gateways that are not draining."""
        return tuple(member for member in self.membership.live() if not member.has_disk)

    def known_gateways(self) -> tuple[Member, ...]:
        """Return the gateways that are live or unresponsive, but not those that were stopped."""
        return tuple(
            member
            for member in self.membership.members()
            if not member.has_disk and not member.draining
        )

    def other_gateways(self) -> tuple[Member, ...]:
        """Return the live gateways except this one."""
        name = self.membership.local().name
        return tuple(member for member in self.gateways() if member.name != name)

    def reached_gateways(self) -> tuple[Member, ...]:
        """Return the other live gateways in reachable zones; all of them if there are none."""
        return self.zone_reachability.prefer_reachable(self.other_gateways())

    def process(self, name: str) -> Member | None:
        """Return the node that runs the process; ``None`` if it is unknown or has ended."""
        node_name, _, _ = name.rpartition(PROCESS_NAME_SEPARATOR)
        for member in self.membership.members():
            if member.name == node_name and process_name(member) == name:
                return None if member.state is MemberState.DEAD else member
        return None

    def may_have_ended(self, name: str) -> bool:
        """Return whether a process that does not respond may have ended.

        If more zones are unreachable than may be lost at once, the local zone is the one that is
        cut off, and processes in the unreachable zones are assumed to be running.
        """
        if self.zone_reachability.unreachable_zones <= self.zones_lost_at_once:
            return True
        node_name, _, _ = name.rpartition(PROCESS_NAME_SEPARATOR)
        members = self.membership.members()
        zone = next((member.zone for member in members if member.name == node_name), "")
        return not self.zone_reachability.is_unreachable(zone)

    def is_replaced(self, name: str) -> bool:
        """Return whether the process has been replaced by a live one on the same node."""
        node_name, _, _ = name.rpartition(PROCESS_NAME_SEPARATOR)
        for member in self.membership.live():
            if member.name == node_name:
                return process_name(member) != name
        return False


def process_name(member: Member) -> str:
    """Return the name of the process that a member's record describes."""
    return f"{member.name}{PROCESS_NAME_SEPARATOR}{member.process_id}"
