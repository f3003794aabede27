"""A cluster in which each role has a process of its own.

Zones a, b and c have a disk node each and no engine, so that these carry the log and nothing
else. Zone d has one node without a disk, which is gateway and batch scheduler, and the engines.
"""

from __future__ import annotations

import msgspec

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.job_messages import GetJob, NotLeader, StoreConflict
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.process.job_store.client import JobStoreClient
from quaymill.version.configuration import Route
from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_members import Node
from quaymill_bench.cluster_shape import REGION, ClusterShape
from quaymill_bench.hollow import hollow_settings
from quaymill_bench.processes import wait_until

LOG_ZONES = ("zone-a", "zone-b", "zone-c")
WORK_ZONE = "zone-d"
ENGINES = 2
ENGINE_FLAGS = ("--step-ms", "20", "--slots", "96", "--waiting-limit", "256")
BATCH_LIMIT = 24
LEADER_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 2.0


class LogRoles(msgspec.Struct, frozen=True):
    """Names of the nodes by their part in the log."""

    leader: str
    followers: tuple[str, ...]


class StaticMembers:
    """The disk nodes as members, for clients outside the cluster."""

    def __init__(self, nodes: list[Node]) -> None:
        self._members = tuple(_member(node) for node in nodes)

    def live(self) -> tuple[Member, ...]:
        """Return all of them, always."""
        return self._members


class RoleCluster(LocalCluster):
    """Three log nodes and one node with gateway and scheduler."""

    def __init__(self) -> None:
        shape = ClusterShape(
            zones=(*LOG_ZONES, WORK_ZONE),
            engines_per_zone=ENGINES,
            applications=0,
            engine_flags=ENGINE_FLAGS,
            route=Route(online_limit=96, batch_limit=BATCH_LIMIT),
        )
        super().__init__(shape)
        self.engines = [engine for engine in self.engines if engine.zone == WORK_ZONE]
        self.work_node.settings.pop("data_folder")
        self.work_node.write_settings()

    @property
    def work_node(self) -> Node:
        """The node that is gateway and batch scheduler."""
        return next(node for node in self.nodes if node.zone == WORK_ZONE)

    @property
    def log_nodes(self) -> list[Node]:
        """The nodes that carry the log."""
        return [node for node in self.nodes if node.zone in LOG_ZONES]

    def pids(self) -> dict[str, int]:
        """Return the process ids of the nodes by name."""
        return {node.name: node.process.pid for node in self.nodes}

    def store_client(self) -> JobStoreClient:
        """Return a client of the log from outside the cluster."""
        settings = hollow_settings("bench", WORK_ZONE, self.platform.port)
        return JobStoreClient(settings, StaticMembers(self.log_nodes), PeerClient(LinkFilter()))

    def wait_for_log_roles(self) -> LogRoles:
        """Wait until a node leads the log, and return who does what."""
        client = PeerClient(LinkFilter())
        leaders: list[str] = []

        def found() -> bool:
            leaders[:] = [node.name for node in self.log_nodes if _leads(client, node)]
            return len(leaders) == 1

        wait_until(found, LEADER_TIMEOUT_S, "a node leads the log")
        client.close()
        followers = [node.name for node in self.log_nodes if node.name not in leaders]
        return LogRoles(leaders[0], tuple(followers))


def _leads(client: PeerClient, node: Node) -> bool:
    question = GetJob(0, "batch_0_none")
    answer = client.call(
        Endpoint.parse(node.peer_address), question, NotLeader | StoreConflict, CALL_TIMEOUT_S
    )
    return isinstance(answer, StoreConflict)


def _member(node: Node) -> Member:
    endpoint = Endpoint.parse(node.peer_address)
    return Member(node.name, node.zone, REGION, endpoint, endpoint, has_disk=True)
