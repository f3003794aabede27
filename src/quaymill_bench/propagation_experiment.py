"""How long an accepted edit takes until it is in force on the last node, with and without faults.

Real node processes on loopback. The clock starts when the edit is answered as committed and
stops when the last node that is neither cut off nor frozen shows the generation in its own
``GET /status``, which is read all the time.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec
import numpy

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import MemberState
from quaymill.connection.platform_client import PlatformClient
from quaymill.process.configuration.editor import ConfigurationEditor, EditAccepted
from quaymill.process.membership.ranking import reader_nodes
from quaymill.version.edits import Edit, EditedCell, new_edit_id
from quaymill.version.status import ServingStatus
from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_members import HOST, Node
from quaymill_bench.cluster_shape import ClusterShape
from quaymill_bench.plots import plot_bars
from quaymill_bench.processes import wait_until

EDITS_PER_PHASE = 15
EDIT_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.01
IN_FORCE_TIMEOUT_S = 60.0
EDIT_TIMEOUT_S = 60.0
SETTLE_TIMEOUT_S = 30.0
CUT_S = 5.0
NODES_PER_ZONE = 3
CELL = "tuning/result_retention_s"


class PropagationPhase(msgspec.Struct, frozen=True):
    """Seconds from commit to in force on the last reachable node, under one fault.

    Attributes
    ----------
    nodes
        Nodes that had to show the edit.
    healed_s
        Seconds from the end of the fault until the nodes that it held back had caught up.
    """

    name: str
    edits: int
    nodes: int
    p50_s: float
    max_s: float
    healed_s: float | None = None


class PropagationResult(msgspec.Struct, frozen=True):
    """``p50_s`` and ``max_s`` are over all edits of all phases; no generation ever fell."""

    nodes: int
    p50_s: float
    max_s: float
    calm_p50_s: float
    calm_max_s: float
    reverts: int
    phases: tuple[PropagationPhase, ...]


class GenerationWatch:
    """Reads the generation in force on each node, on a thread for each."""

    def __init__(self, nodes: list[Node]) -> None:
        self._nodes = nodes
        self._stopping = threading.Event()
        self.generations: dict[str, int] = {node.name: 0 for node in nodes}
        self.reached: dict[str, dict[int, float]] = {node.name: {} for node in nodes}
        self.reverts = 0
        self._threads = [
            threading.Thread(target=self._watch, args=(node,), daemon=True) for node in nodes
        ]

    def start(self) -> None:
        """Begin to read."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End reading."""
        self._stopping.set()

    def forget(self, node: Node) -> None:
        """Let a node that was restarted begin at any generation."""
        self.generations[node.name] = 0

    def last_reached(self, nodes: list[Node], generation: int) -> float | None:
        """Return when the last of ``nodes`` showed a generation; ``None`` if one has not yet."""
        times = [self._reached_at(node.name, generation) for node in nodes]
        return None if None in times else max(times)

    def _reached_at(self, name: str, generation: int) -> float | None:
        times = [at for held, at in list(self.reached[name].items()) if held >= generation]
        return min(times) if times else None

    def _watch(self, node: Node) -> None:
        while not self._stopping.wait(POLL_INTERVAL_S):
            answer = node.caller.request("GET", "/status", timeout_s=1.0)
            if answer.status != 200:
                continue
            status = msgspec.json.decode(answer.body, type=ServingStatus)
            held = next(row.generation for row in status.nodes if row.name == node.name)
            if held < self.generations[node.name]:
                self.reverts += 1
            if held != self.generations[node.name]:
                self.generations[node.name] = held
                self.reached[node.name][held] = time.monotonic()


class Propagation:
    """One cluster and the edits made to it."""

    def __init__(self, cluster: LocalCluster) -> None:
        self.cluster = cluster
        self.watch = GenerationWatch(cluster.nodes)
        platform = PlatformClient(Endpoint(HOST, cluster.platform.port))
        self._editor = ConfigurationEditor(platform)
        self._value = 30 * 24 * 3600.0
        self.generation = 1
        self.phases: list[PropagationPhase] = []
        self.latencies_s: list[float] = []

    def settle(self) -> None:
        """Wait until all nodes know each other and hold the latest generation."""
        wait_until(self._is_settled, SETTLE_TIMEOUT_S, "all nodes are alive and current")

    def phase(
        self, name: str, nodes: list[Node], heal: Callable[[], None] = lambda: None
    ) -> PropagationPhase:
        """Make edits and note how long each takes on ``nodes``; then end the fault."""
        latencies = [self._edit_and_wait(nodes) for _ in range(EDITS_PER_PHASE)]
        held_back = [node for node in self.cluster.nodes if node not in nodes]
        began = time.monotonic()
        heal()
        healed_s = self._wait_for(held_back, began) if held_back else None
        self.latencies_s += latencies
        phase = PropagationPhase(
            name,
            len(latencies),
            len(nodes),
            float(numpy.median(latencies)),
            max(latencies),
            healed_s,
        )
        self.phases.append(phase)
        self.settle()
        return phase

    def readers(self, zone: str) -> list[Node]:
        """Return the nodes of a zone that watch the platform, as a node sees it."""
        status = self._status_of(self.cluster.nodes[0])
        alive = [row for row in status.nodes if row.state is MemberState.ALIVE]
        names = {row.name for row in reader_nodes(alive, zone)}
        return [node for node in self.cluster.nodes if node.name in names]

    def _edit_and_wait(self, nodes: list[Node]) -> float:
        cell = EditedCell(CELL, self._value, self._value + 1)
        result = self._editor.submit(Edit(new_edit_id(), "bench", (cell,)), EDIT_TIMEOUT_S)
        committed = time.monotonic()
        if not isinstance(result, EditAccepted):
            raise RuntimeError(f"edit not accepted: {result}")
        self._value += 1
        self.generation = result.generation
        latency_s = self._wait_for(nodes, committed)
        time.sleep(EDIT_INTERVAL_S)
        return latency_s

    def _wait_for(self, nodes: list[Node], began: float) -> float:
        wait_until(
            lambda: self.watch.last_reached(nodes, self.generation) is not None,
            IN_FORCE_TIMEOUT_S,
            f"generation {self.generation} on {len(nodes)} nodes",
            POLL_INTERVAL_S,
        )
        # A node can show the edit before its answer has reached the editor.
        return max(self.watch.last_reached(nodes, self.generation) - began, 0.0)

    def _is_settled(self) -> bool:
        return all(
            self.watch.generations[node.name] >= self.generation
            and sum(row.state is MemberState.ALIVE for row in self._status_of(node).nodes)
            == len(self.cluster.nodes)
            for node in self.cluster.nodes
        )

    def _status_of(self, node: Node) -> ServingStatus:
        answer = node.caller.request("GET", "/status", timeout_s=5.0)
        if answer.status != 200:
            return ServingStatus()
        return msgspec.json.decode(answer.body, type=ServingStatus)


def run(out: Path | None = None, seed: int = 1) -> PropagationResult:
    """Measure in calm and under each fault; one JSON line by the caller, a plot in ``out``."""
    shape = ClusterShape(nodes_per_zone=NODES_PER_ZONE, applications=0)
    with LocalCluster(shape) as cluster, _watched(cluster) as propagation:
        propagation.settle()
        calm = propagation.phase("calm", cluster.nodes)
        _platform_faults(propagation, seed)
        _node_faults(propagation)
        result = PropagationResult(
            nodes=len(cluster.nodes),
            p50_s=float(numpy.median(propagation.latencies_s)),
            max_s=max(propagation.latencies_s),
            calm_p50_s=calm.p50_s,
            calm_max_s=calm.max_s,
            reverts=propagation.watch.reverts,
            phases=tuple(propagation.phases),
        )
    bars = {
        "median": {phase.name: phase.p50_s for phase in result.phases},
        "slowest": {phase.name: phase.max_s for phase in result.phases},
    }
    plot_bars(out, "From commit to in force on the last node", bars, "seconds")
    return result


@contextmanager
def _watched(cluster: LocalCluster) -> Iterator[Propagation]:
    propagation = Propagation(cluster)
    propagation.watch.start()
    try:
        yield propagation
    finally:
        propagation.watch.stop()


def _platform_faults(propagation: Propagation, seed: int) -> None:
    """Let the platform fail in ways that leave it able to accept an edit."""
    platform = propagation.cluster.platform
    nodes = propagation.cluster.nodes
    faults = {
        "slow platform": {"delay_s": 0.3},
        "platform errors": {"error_probability": 0.3, "seed": seed},
        "answers lost": {"lose_answer_probability": 0.3, "seed": seed},
        "silent watches": {"watch_silent": True},
    }
    for name, switches in faults.items():
        platform.set_faults(**switches)
        propagation.phase(name, nodes, heal=platform.set_faults)


def _node_faults(propagation: Propagation) -> None:
    """Let readers and links fail; the nodes held back have to catch up afterwards."""
    cluster = propagation.cluster
    zone = cluster.shape.zones[0]
    readers = propagation.readers(zone)
    rest = [node for node in cluster.nodes if node not in readers]

    for reader in readers:
        reader.process.freeze()
    propagation.phase("readers frozen", rest, lambda: [r.process.thaw() for r in readers])

    def restart() -> None:
        for reader in readers:
            propagation.watch.forget(reader)
            cluster.restart_node(reader)

    for reader in readers:
        reader.process.kill()
    propagation.phase("readers killed", rest, restart)

    platform_address = f"{HOST}:{cluster.platform.port}"
    for node in (node for node in cluster.nodes if node.zone == zone):
        node.block_links([platform_address])
    propagation.phase("zone without platform", cluster.nodes, cluster.heal_links)

    outside = [node for node in cluster.nodes if node.zone != zone]
    _cut_off(cluster, zone, platform_address)
    propagation.phase("zone cut off", outside, cluster.heal_links)


def _cut_off(cluster: LocalCluster, zone: str, platform_address: str) -> None:
    """Cut a zone off from the other zones, in both directions, and from the platform."""
    cluster.cut_zone(zone)
    outside = [node.peer_address for node in cluster.nodes if node.zone != zone]
    for node in (node for node in cluster.nodes if node.zone == zone):
        node.block_links([*outside, platform_address])
    time.sleep(CUT_S)
