"""What the batch scheduler costs by item, by token and by running item."""

from __future__ import annotations

import time

import msgspec

from quaymill_bench.batch_load import LongJob, engine_load, wait_until_idle
from quaymill_bench.cluster_members import Node
from quaymill_bench.processes import wait_until
from quaymill_bench.role_cluster import BATCH_LIMIT, RoleCluster
from quaymill_bench.role_fit import MICRO, Sample, Slope, fit_slopes, measure_window, resident_bytes

TOKEN_POINTS = (2, 8, 32, 96, 4)
"""Tokens of each item of a job."""
WINDOW_S = 4.0
ITEMS = 2500
START_TIMEOUT_S = 20.0
RAMP_S = 12.0
RAMP_INTERVAL_S = 0.25
LONG_ITEM_TOKENS = 2000
NODE = "node"


class SchedulerSlopes(msgspec.Struct, frozen=True):
    """Costs of the batch schedulers of one node.

    Attributes
    ----------
    processor_by
        By second of being there, by item completed and by token received.
    memory_by
        Resident bytes by process and by running item.
    items_per_s
        Items completed a second in each window, by tokens of an item.
    """

    processor_by: dict[str, Slope]
    memory_by: dict[str, Slope]
    items_per_s: dict[str, float]


class _Point(msgspec.Struct):
    sample: Sample
    items: int
    tokens: int


def measure_scheduler(cluster: RoleCluster) -> SchedulerSlopes:
    """Measure jobs of several lengths, then memory while the running items grow in number."""
    idle = measure_window(_pids(cluster), lambda: time.sleep(WINDOW_S))
    points = [_Point(idle, 0, 0)]
    points += [
        _run_job(cluster, f"job-{number}", tokens) for number, tokens in enumerate(TOKEN_POINTS)
    ]
    columns = {
        "second": [point.sample.wall_s for point in points],
        "item": [point.items for point in points],
        "token": [point.tokens for point in points],
    }
    rates = {
        f"{tokens} tokens (window {number})": round(point.items / point.sample.wall_s, 1)
        for number, (tokens, point) in enumerate(zip(TOKEN_POINTS, points[1:], strict=True), 1)
    }
    return SchedulerSlopes(
        processor_by=fit_slopes(columns, [p.sample.cpu_s[NODE] for p in points], "us", MICRO),
        memory_by=_measure_memory(cluster),
        items_per_s=rates,
    )


def _pids(cluster: RoleCluster) -> dict[str, int]:
    return {NODE: cluster.work_node.process.pid}


def _run_job(cluster: RoleCluster, name: str, tokens: int) -> _Point:
    job = LongJob(cluster, name, ITEMS, tokens)
    wait_until(lambda: job.completed() > BATCH_LIMIT, START_TIMEOUT_S, "items are completed")
    before = job.completed()
    sample = measure_window(_pids(cluster), lambda: time.sleep(WINDOW_S))
    items = job.completed() - before
    job.cancel()
    wait_until_idle(cluster.engines)
    return _Point(sample, items, items * tokens)


def _measure_memory(cluster: RoleCluster) -> dict[str, Slope]:
    """Sample the resident memory while a job of long items takes more and more room."""
    node: Node = cluster.work_node
    job = LongJob(cluster, "long", 4 * BATCH_LIMIT, LONG_ITEM_TOKENS)
    running, sizes = [], []
    end_s = time.monotonic() + RAMP_S
    while time.monotonic() < end_s:
        running.append(sum(engine_load(engine).batch_running for engine in cluster.engines))
        sizes.append(resident_bytes(node.process.pid))
        time.sleep(RAMP_INTERVAL_S)
    job.cancel()
    wait_until_idle(cluster.engines)
    columns = {"process": [1.0] * len(sizes), "running item": running}
    return fit_slopes(columns, sizes, "bytes")
