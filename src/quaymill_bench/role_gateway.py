"""What the gateway costs by request, by relayed token and by open stream."""

from __future__ import annotations

import http.client
import time

import msgspec

from quaymill_bench.cluster_members import HOST
from quaymill_bench.cluster_shape import MODEL, TENANT_KEY
from quaymill_bench.load import run_load
from quaymill_bench.load_plan import LoadPlan, Phase
from quaymill_bench.role_cluster import RoleCluster
from quaymill_bench.role_fit import MICRO, Sample, Slope, fit_slopes, measure_window, resident_bytes

RATE_POINTS = ((0, 0), (8, 16), (20, 16), (40, 16), (20, 48), (20, 96), (8, 96))
"""Requests a second, and tokens of each answer."""
WINDOW_S = 3.0
STREAM_POINTS = (0, 30, 60, 90)
STREAM_TOKENS = 4000
STREAM_TIMEOUT_S = 20.0
SETTLE_S = 1.5
NODE = "node"


class GatewaySlopes(msgspec.Struct, frozen=True):
    """Costs of a gateway.

    Attributes
    ----------
    processor_by
        By second of being there, by request and by relayed token.
    memory_by
        Resident bytes by process and by open stream.
    not_whole
        Requests that did not get their whole answer; their costs are in the slopes.
    """

    processor_by: dict[str, Slope]
    memory_by: dict[str, Slope]
    requests: int
    not_whole: int


class _Point(msgspec.Struct):
    sample: Sample
    requests: int
    tokens: float
    not_whole: int


def measure_gateway(cluster: RoleCluster, seed: int) -> GatewaySlopes:
    """Measure at several rates and lengths, then with streams held open."""
    _run(cluster, 20, 16, seed)
    points = [
        _run(cluster, rate, tokens, seed + number + 1)
        for number, (rate, tokens) in enumerate(RATE_POINTS)
    ]
    columns = {
        "second": [point.sample.wall_s for point in points],
        "request": [point.requests for point in points],
        "token": [point.tokens for point in points],
    }
    return GatewaySlopes(
        processor_by=fit_slopes(columns, [p.sample.cpu_s[NODE] for p in points], "us", MICRO),
        memory_by=_measure_memory(cluster),
        requests=sum(point.requests for point in points),
        not_whole=sum(point.not_whole for point in points),
    )


def _run(cluster: RoleCluster, rate: int, tokens: int, seed: int) -> _Point:
    pids = {NODE: cluster.work_node.process.pid}
    if not rate:
        return _Point(measure_window(pids, lambda: time.sleep(WINDOW_S)), 0, 0, 0)
    plan = LoadPlan(
        base_urls=(cluster.work_node.base_url,),
        key=TENANT_KEY,
        model=MODEL,
        phases=(Phase(WINDOW_S, float(rate)),),
        seed=seed,
        max_tokens=tokens,
    )
    results = []
    sample = measure_window(pids, lambda: results.append(run_load(plan)))
    report = results[0].report
    counts = report.counts
    relayed = report.tokens_per_s * report.duration_s
    return _Point(sample, counts.sent, relayed, counts.sent - counts.whole)


def _measure_memory(cluster: RoleCluster) -> dict[str, Slope]:
    """Open more and more streams, which nobody reads, and look at the resident memory."""
    connections: list[http.client.HTTPConnection] = []
    sizes = []
    try:
        for count in STREAM_POINTS:
            while len(connections) < count:
                connections.append(_open_stream(cluster, len(connections)))
            time.sleep(SETTLE_S)
            sizes.append(resident_bytes(cluster.work_node.process.pid))
    finally:
        for connection in connections:
            connection.close()
    columns = {"process": [1.0] * len(sizes), "stream": STREAM_POINTS}
    return fit_slopes(columns, sizes, "bytes")


def _open_stream(cluster: RoleCluster, number: int) -> http.client.HTTPConnection:
    port = cluster.work_node.settings["http_port"]
    connection = http.client.HTTPConnection(HOST, port, timeout=STREAM_TIMEOUT_S)
    body = {
        "model": MODEL,
        "prompt": f"held open {number}",
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {TENANT_KEY}", "Content-Type": "application/json"}
    connection.request("POST", "/v1/completions", msgspec.json.encode(body), headers)
    answer = connection.getresponse()
    if answer.status != http.client.OK:
        raise RuntimeError(f"stream {number} was answered by {answer.status}")
    return connection
