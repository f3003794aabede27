"""What control costs a node, against the numbers of nodes and of replicas.

Hollow nodes in worker processes run the real membership, configuration and status code over
loopback, beside a few real nodes, against a table of the users' size. Several sizes are
measured, and a plane is fitted to each quantity; its value at the users' size is worked out.
"""

from __future__ import annotations

import time
from pathlib import Path

import msgspec
import numpy
import psutil

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.platform_client import (
    CONFIGURATION_NAME,
    CONFIGURATIONS,
    MACHINES,
    PlatformClient,
)
from quaymill.process.configuration.editor import ConfigurationEditor, EditAccepted
from quaymill.version.edits import Edit, EditedCell, new_edit_id
from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_members import HOST, StandIn
from quaymill_bench.cluster_shape import ClusterShape
from quaymill_bench.hollow_fleet import HollowFleet
from quaymill_bench.hollow_worker import Report
from quaymill_bench.plots import plot_slopes
from quaymill_bench.scale_sizes import (
    USER_NODES,
    USER_REPLICAS,
    replica_machines,
    user_configuration,
    zone_name,
)
from quaymill_bench.slopes import Slope, fit_slope

REAL_NODES = 3
SETTLE_TIMEOUT_S = 240.0
SETTLE_STEP_S = 5.0
SETTLED_BYTES_PER_DATAGRAM = 260.0
QUIET_S = 20.0
EDITS = 6
EDIT_INTERVAL_S = 3.0
KILLS = 3
IN_FORCE_TIMEOUT_S = 60.0
NODE_FRACTIONS = (0.25, 0.5, 0.75, 1.0)
REPLICA_FRACTIONS = (0.25, 0.5)
LOAD_VIEW_FRACTIONS = ((0.125, 0.25), (0.25, 0.25), (0.375, 0.25), (0.25, 0.125))
UNUSED_ENDPOINT = Endpoint(HOST, 1)
LARGEST_MEMORY_SHARE = 0.5
CELL = "tuning/batch_reserve"


class ScalePoint(msgspec.Struct, frozen=True):
    """What was measured at one size; all rates are of one hollow node, sent and received.

    Attributes
    ----------
    cpu_share
        Of a core, in quiet.
    edit_cpu_s, edit_bytes
        What one edit of the table costs a node beyond that.
    memory_mb
        Resident memory of the workers, their interpreters included, by node.
    real_cpu_share, real_memory_mb
        Of one real node, all its parts included, in quiet.
    platform_reads_per_s, platform_writes_per_s
        Requests that the platform answered in quiet, watches included, of all nodes together.
    death_known_s
        Until every node knew a killed one as dead; the mean of some kills.
    """

    nodes: int
    replicas: int
    join_s: float
    datagrams_per_s: float
    membership_bytes_per_s: float
    call_bytes_per_s: float
    cpu_share: float
    memory_mb: float
    edit_cpu_s: float
    edit_bytes: float
    in_force_p50_s: float
    in_force_max_s: float
    death_first_s: float
    death_known_s: float
    platform_reads_per_s: float
    platform_writes_per_s: float
    real_cpu_share: float
    real_memory_mb: float


class LoadViewPoint(msgspec.Struct, frozen=True):
    """What the load view costs a hollow node beyond the rest, sent and received."""

    nodes: int
    replicas: int
    load_view_bytes_per_s: float
    load_view_calls_per_s: float
    load_view_cpu_share: float


class ScaleResult(msgspec.Struct, frozen=True):
    """All points, the planes through them, and their values at the users' size."""

    points: tuple[ScalePoint, ...]
    load_view_points: tuple[LoadViewPoint, ...]
    slopes: tuple[Slope, ...]
    at_user_size: dict[str, float]


class _Sample(msgspec.Struct, frozen=True):
    """Counters of the whole fleet at one moment."""

    at: float
    cpu_s: float
    resident_bytes: int
    udp_datagrams: int
    udp_bytes: int
    calls: int
    call_bytes: int
    reads: int
    writes: int
    real_cpu_s: float


def run(nodes: int, replicas: int, out: Path | None = None, seed: int = 1) -> ScaleResult:
    """Measure several sizes up to ``nodes`` and ``replicas``; the seed is not used."""
    points = [_measure(*size) for size in _sizes(nodes, replicas)]
    load_view_points = [_measure_load_view(*size) for size in _load_view_sizes(nodes, replicas)]
    slopes = (*_slopes(points), *_slopes(load_view_points))
    result = ScaleResult(
        tuple(points),
        tuple(load_view_points),
        slopes,
        {slope.quantity: slope.at(USER_NODES, USER_REPLICAS) for slope in slopes},
    )
    plot_slopes(out, points)
    return result


def _sizes(nodes: int, replicas: int) -> list[tuple[int, int]]:
    least = REAL_NODES + 1
    sizes = [(max(int(nodes * part), least), replicas) for part in NODE_FRACTIONS]
    sizes += [(max(nodes // 2, least), int(replicas * part)) for part in REPLICA_FRACTIONS]
    return sizes


def _load_view_sizes(nodes: int, replicas: int) -> list[tuple[int, int]]:
    """Return small sizes: each node of a load view asks every other one."""
    return [
        (max(int(nodes * part), REAL_NODES + 1), max(int(replicas * share), 1))
        for part, share in LOAD_VIEW_FRACTIONS
    ]


def _measure(nodes: int, replicas: int) -> ScalePoint:
    """Run one fleet and measure it in quiet, under edits and under kills."""
    with _cluster() as cluster:
        platform = PlatformClient(Endpoint(HOST, cluster.platform.port))
        _fill(platform, replicas, UNUSED_ENDPOINT)
        seeds = tuple(Endpoint.parse(node.peer_address) for node in cluster.nodes)
        with HollowFleet(nodes - REAL_NODES, cluster.platform.port, seeds) as fleet:
            join_s = fleet.start(nodes, 2, replicas + REAL_NODES)
            return _measure_fleet(cluster, fleet, platform, join_s, nodes, replicas)


def _measure_load_view(nodes: int, replicas: int) -> LoadViewPoint:
    """Run one fleet without and with the load view, and return the difference."""
    without = _load_view_rates(nodes, replicas, load_view=False)
    having = _load_view_rates(nodes, replicas, load_view=True)
    return LoadViewPoint(
        nodes,
        replicas,
        *(max(cost - base, 0.0) for cost, base in zip(having, without, strict=True)),
    )


def _load_view_rates(nodes: int, replicas: int, load_view: bool) -> tuple[float, float, float]:
    """Return bytes/s, calls/s and share of a core of one hollow node, all replicas answering."""
    with _cluster(engines_per_zone=1) as cluster:
        platform = PlatformClient(Endpoint(HOST, cluster.platform.port))
        _fill(platform, replicas, Endpoint(HOST, cluster.engines[0].port))
        seeds = tuple(Endpoint.parse(node.peer_address) for node in cluster.nodes)
        hollow = nodes - REAL_NODES
        with HollowFleet(hollow, cluster.platform.port, seeds, load_view) as fleet:
            fleet.start(nodes, 2, replicas + 2 * REAL_NODES)
            before = _settle(cluster, fleet)
            time.sleep(QUIET_S)
            after = _sample(cluster, fleet)
            quiet_s = (after.at - before.at) * hollow
            return (
                _control_bytes(before, after) / quiet_s,
                (after.calls - before.calls) / quiet_s,
                (after.cpu_s - before.cpu_s) / quiet_s,
            )


def _cluster(engines_per_zone: int = 0) -> LocalCluster:
    zones = tuple(zone_name(index) for index in range(REAL_NODES))
    return LocalCluster(
        ClusterShape(zones=zones, engines_per_zone=engines_per_zone, applications=0)
    )


def _fill(platform: PlatformClient, replicas: int, endpoint: Endpoint) -> None:
    """Put the users' table, and the machine list, into the platform."""
    table = msgspec.structs.replace(user_configuration(), generation=2)
    version = platform.get_version(CONFIGURATIONS, CONFIGURATION_NAME)
    platform.replace(CONFIGURATIONS, CONFIGURATION_NAME, table, version)
    for machine in replica_machines(replicas, endpoint):
        platform.create(MACHINES, machine.name, machine)


def _measure_fleet(
    cluster: LocalCluster,
    fleet: HollowFleet,
    platform: PlatformClient,
    join_s: float,
    nodes: int,
    replicas: int,
) -> ScalePoint:
    before = _settle(cluster, fleet)
    time.sleep(QUIET_S)
    quiet = _sample(cluster, fleet)
    latencies = _edit(fleet, platform)
    edited = _sample(cluster, fleet)
    if psutil.virtual_memory().percent > 100 * LARGEST_MEMORY_SHARE:
        raise RuntimeError("more than half of the machine's memory is in use; use fewer nodes")
    hollow = fleet.count
    quiet_s = quiet.at - before.at
    edit_s = edited.at - quiet.at
    cpu_per_s = (quiet.cpu_s - before.cpu_s) / quiet_s
    bytes_per_s = _control_bytes(before, quiet) / quiet_s
    deaths = [fleet.kill_one() for _ in range(KILLS)]
    return ScalePoint(
        nodes=nodes,
        replicas=replicas,
        join_s=join_s,
        datagrams_per_s=(quiet.udp_datagrams - before.udp_datagrams) / quiet_s / hollow,
        membership_bytes_per_s=(quiet.udp_bytes - before.udp_bytes) / quiet_s / hollow,
        call_bytes_per_s=2 * (quiet.call_bytes - before.call_bytes) / quiet_s / hollow,
        cpu_share=cpu_per_s / hollow,
        memory_mb=quiet.resident_bytes / hollow / 1e6,
        edit_cpu_s=max(edited.cpu_s - quiet.cpu_s - cpu_per_s * edit_s, 0.0) / EDITS / hollow,
        edit_bytes=max(_control_bytes(quiet, edited) - bytes_per_s * edit_s, 0.0) / EDITS / hollow,
        in_force_p50_s=float(numpy.median(latencies)),
        in_force_max_s=max(latencies),
        death_first_s=float(numpy.mean([first for first, _ in deaths])),
        death_known_s=float(numpy.mean([last for _, last in deaths])),
        platform_reads_per_s=(quiet.reads - before.reads) / quiet_s,
        platform_writes_per_s=(quiet.writes - before.writes) / quiet_s,
        real_cpu_share=(quiet.real_cpu_s - before.real_cpu_s) / quiet_s / REAL_NODES,
        real_memory_mb=float(
            numpy.mean([node.process.resident_bytes() / 1e6 for node in cluster.nodes])
        ),
    )


def _settle(cluster: LocalCluster, fleet: HollowFleet) -> _Sample:
    """Wait until the news of all the joins has ebbed away; return the counters then."""
    deadline = time.monotonic() + SETTLE_TIMEOUT_S
    sample = _sample(cluster, fleet)
    while time.monotonic() < deadline:
        time.sleep(SETTLE_STEP_S)
        last, sample = sample, _sample(cluster, fleet)
        datagrams = sample.udp_datagrams - last.udp_datagrams
        if (sample.udp_bytes - last.udp_bytes) / max(datagrams, 1) < SETTLED_BYTES_PER_DATAGRAM:
            break
    return sample


def _edit(fleet: HollowFleet, platform: PlatformClient) -> list[float]:
    """Make some edits; return the seconds from commit to in force on the last hollow node."""
    editor = ConfigurationEditor(platform)
    latencies = []
    for value in range(1, EDITS + 1):
        edit = Edit(new_edit_id(), "bench", (EditedCell(CELL, value, value + 1),))
        result = editor.submit(edit)
        committed = time.monotonic()
        if not isinstance(result, EditAccepted):
            raise RuntimeError(f"edit not accepted: {result}")
        latencies.append(
            fleet.seconds_until_in_force(result.generation, committed, IN_FORCE_TIMEOUT_S)
        )
        time.sleep(EDIT_INTERVAL_S)
    return latencies


def _control_bytes(before: _Sample, after: _Sample) -> float:
    """Return bytes between two samples; what a caller exchanges also passes at its peer."""
    return after.udp_bytes - before.udp_bytes + 2 * (after.call_bytes - before.call_bytes)


def _sample(cluster: LocalCluster, fleet: HollowFleet) -> _Sample:
    reports: list[Report] = fleet.reports()
    reads, writes = _platform_requests(cluster.platform)
    return _Sample(
        at=time.monotonic(),
        cpu_s=sum(report.cpu_s for report in reports),
        resident_bytes=sum(report.resident_bytes for report in reports),
        udp_datagrams=sum(report.udp_datagrams for report in reports),
        udp_bytes=sum(report.udp_bytes for report in reports),
        calls=sum(sum(report.calls.values()) for report in reports),
        call_bytes=sum(sum(report.call_bytes.values()) for report in reports),
        reads=reads,
        writes=writes,
        real_cpu_s=sum(node.process.cpu_seconds() for node in cluster.nodes),
    )


def _platform_requests(platform: StandIn) -> tuple[int, int]:
    requests = platform.caller.request("GET", "/standin/state").json()["requests"]
    reads = sum(count for name, count in requests.items() if name.split()[0] in ("GET", "WATCH"))
    return reads, sum(requests.values()) - reads


def _slopes(points: list[ScalePoint]) -> list[Slope]:
    sizes = [(point.nodes, point.replicas) for point in points]
    quantities = [
        name for name in ScalePoint.__struct_fields__ if name not in ("nodes", "replicas")
    ]
    return [
        fit_slope(name, sizes, [getattr(point, name) for point in points]) for name in quantities
    ]
