"""Brings a cluster back to its full strength after faults, and waits until it is."""

from __future__ import annotations

import time

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.log_messages import (
    GetFormation,
    GroupKnowledge,
    JoinAnswer,
    JoinGroup,
    JoinState,
)
from quaymill.connection.peer_link import PeerClient
from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_members import Node
from quaymill_bench.processes import wait_until

HEAL_TIMEOUT_S = 30.0
ASK_TIMEOUT_S = 1.0
LOG_GROUP = 0


def heal(cluster: LocalCluster) -> float:
    """Take all faults back and wait until every node serves; return the seconds it took.

    Raises
    ------
    ConditionNotMetError
        If a process does not come back, or a replica of the log does not become a voter.
    """
    started_at = time.monotonic()
    for process in cluster.processes:
        if process.frozen:
            process.thaw()
        if not process.is_running():
            process.start()
    for stand_in in [cluster.platform, *cluster.engines, *cluster.applications]:
        path = "/standin/state" if stand_in is cluster.platform else "/health"
        cluster.wait_for_stand_in(stand_in, path)
        stand_in.set_faults()
    for node in cluster.nodes:
        cluster.wait_for_node(node, HEAL_TIMEOUT_S)
        node.block_links([])
    wait_for_voters(cluster, HEAL_TIMEOUT_S)
    return time.monotonic() - started_at


def wait_for_voters(cluster: LocalCluster, timeout_s: float) -> None:
    """Wait until the replica of the log on each disk node has a vote."""
    client = PeerClient(LinkFilter())
    try:
        for node in cluster.nodes:
            if node.settings.get("data_folder"):
                wait_until(
                    lambda node=node: _is_voter(client, node),
                    timeout_s,
                    f"the log replica of {node.name} has a vote",
                )
    finally:
        client.close()


def _is_voter(client: PeerClient, node: Node) -> bool:
    """Ask the group's leader about the node's replica; of a voter, the question changes nothing."""
    endpoint = Endpoint.parse(node.peer_address)
    knowledge = client.call(endpoint, GetFormation(LOG_GROUP), GroupKnowledge, ASK_TIMEOUT_S)
    if not isinstance(knowledge, GroupKnowledge) or knowledge.leader is None:
        return False
    question = JoinGroup(LOG_GROUP, knowledge.replica)
    answer = client.call(knowledge.leader, question, JoinAnswer, ASK_TIMEOUT_S)
    return isinstance(answer, JoinAnswer) and answer.state is JoinState.VOTER
