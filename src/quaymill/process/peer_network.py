"""A process's place among its peers: membership, and the internal protocol in both directions."""

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
COORDINATOR_SEPARATOR = "#"
MADE_UP_FOR_AFTER_S = 10.0
"""Time after which copies of all that a dead storage node held stand elsewhere: twice the 4.8 s
within which the users' sheets count a machine as made up for."""


@attrs.frozen
class PeerNetwork:
    """The peers as one process sees them.

    Attributes
    ----------
    rules
        On which of the storage nodes the copies of a job lie.
    zones_lost_at_once
        How many zones may be cut off at once; 0 where all always count as reachable.
    """

    membership: Membership
    server: PeerServer
    client: PeerClient
    zone_reachability: ZoneReachability
    rules: CopyRules
    zones_lost_at_once: int = 0

    @classmethod
    def from_settings(cls, settings: ServingSettings) -> PeerNetwork:
        """Bind the sockets; nothing is answered before ``start``."""
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
        """Answer peers; every handler must be registered."""
        self.server.start()
        self.membership.start()
        if self.zones_lost_at_once:
            self.zone_reachability.start()

    def stop(self) -> None:
        """Leave without a word; peers find out."""
        self.server.stop()
        self.zone_reachability.stop()
        self.membership.stop()
        self.client.close()

    @property
    def process_name(self) -> str:
        """Names this process; another after a restart."""
        return process_name(self.membership.local())

    def storage_nodes(self) -> tuple[Member, ...]:
        """Return the live storage nodes, none that is leaving."""
        return tuple(member for member in self.membership.live() if member.has_disk)

    def known_storage_nodes(self) -> tuple[Member, ...]:
        """Return the storage nodes that may hold something, those that do not answer included."""
        return tuple(member for member in self.membership.members() if member.has_disk)

    def result_holders(self) -> tuple[Member, ...]:
        """Return the storage nodes that may be the only ones to hold a result.

        Not those that have been dead for long: repair has made their copies elsewhere. Where a zone
        may be lost there is one exception: if as many are silent as a result needs copies, they
        may live on beyond a cut and take results there, so that all count.
        """
        known = self.known_storage_nodes()
        recent = self.recent_storage_nodes()
        silent = [one for one in known if one not in recent and not one.draining]
        may_be_cut_off = self.rules.zones > 1 and len(silent) >= self.rules.needed
        return known if may_be_cut_off else recent

    def recent_storage_nodes(self) -> tuple[Member, ...]:
        """Return the storage nodes that live, or have been dead for a short time only."""
        return tuple(
            member
            for member in self.known_storage_nodes()
            if self.membership.dead_for_s(member.name) < MADE_UP_FOR_AFTER_S
        )

    def gateways(self) -> tuple[Member, ...]:
        """Return the live gateways, none that is leaving."""
        return tuple(member for member in self.membership.live() if not member.has_disk)

    def other_gateways(self) -> tuple[Member, ...]:
        """Return the live gateways apart from this process."""
        name = self.membership.local().name
        return tuple(member for member in self.gateways() if member.name != name)

    def reached_gateways(self) -> tuple[Member, ...]:
        """Return the live gateways apart from this process, in zones that can be reached."""
        return self.zone_reachability.prefer_reachable(self.other_gateways())

    def process(self, name: str) -> Member | None:
        """Return the node on which a process of that name runs; ``None`` if it is gone."""
        node_name, _, _ = name.rpartition(COORDINATOR_SEPARATOR)
        for member in self.membership.members():
            if member.name == node_name and process_name(member) == name:
                return None if member.state is MemberState.DEAD else member
        return None

    def may_have_ended(self, name: str) -> bool:
        """Return whether a process that is not heard may have ended.

        With more zones out of reach than may be lost at once, it is the own zone that is cut off:
        the processes of the others go on.
        """
        if self.zone_reachability.unreachable_zones <= self.zones_lost_at_once:
            return True
        node_name, _, _ = name.rpartition(COORDINATOR_SEPARATOR)
        members = self.membership.members()
        zone = next((member.zone for member in members if member.name == node_name), "")
        return not self.zone_reachability.is_unreachable(zone)

    def is_replaced(self, name: str) -> bool:
        """Return whether the node of a process runs another process now, which is alive."""
        node_name, _, _ = name.rpartition(COORDINATOR_SEPARATOR)
        for member in self.membership.live():
            if member.name == node_name:
                return process_name(member) != name
        return False


def process_name(member: Member) -> str:
    """Return the name of the process that a member's record is of."""
    return f"{member.name}{COORDINATOR_SEPARATOR}{member.process_id}"
