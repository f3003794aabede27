"""What the gateway adds to the first token, against the engines asked directly.

The load through the gateways and the load on the engines alternate in short runs, so that
other work on the machine hits both alike.
"""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec

from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_shape import MODEL, TENANT_KEY, ClusterShape
from quaymill_bench.latency import LatencyHistogram
from quaymill_bench.load import LoadCounts, LoadResult, run_load
from quaymill_bench.load_plan import LoadPlan, Phase
from quaymill_bench.plots import plot_percentiles
from quaymill_bench.processes import load_average

RUNS = 6
RUN_S = 5.0
REQUESTS_PER_S = 24.0
MAX_TOKENS = 32
LOAD_PROCESSES = 2
WARM_UP = (Phase(2.0, 10.0),)


class OverheadResult(msgspec.Struct, frozen=True):
    """First token through the gateway against the engine directly.

    Attributes
    ----------
    added_p50_ms, added_p99_ms
        Difference of the percentiles of the first token.
    added_gap_p99_ms
        Difference of the 99th percentile of the time between tokens.
    requests_per_s_per_core
        Requests a second that one core of the nodes bears, from their processor time.
    tokens_per_s_per_core
        The same for streamed tokens.
    load_average
        Of the machine, at the end.
    """

    added_p50_ms: float
    added_p99_ms: float
    added_gap_p99_ms: float
    direct_p50_ms: float
    direct_p99_ms: float
    gateway_p50_ms: float
    gateway_p99_ms: float
    requests_per_s_per_core: float
    tokens_per_s_per_core: float
    requests: int
    not_whole: int
    load_average: float


class _Side:
    """Sum of the runs of one side."""

    def __init__(self) -> None:
        self.first_token = LatencyHistogram()
        self.token_gap = LatencyHistogram()
        self.counts = LoadCounts()

    def add(self, result: LoadResult) -> None:
        self.first_token.add(result.histograms["first_token"])
        self.token_gap.add(result.histograms["token_gap"])
        self.counts.add(result.report.counts)


def run(out: Path | None = None, seed: int = 1) -> OverheadResult:
    """Run the experiment on three nodes and three engines."""
    with LocalCluster(ClusterShape(applications=0)) as cluster:
        direct_urls = tuple(engine.caller.base_url for engine in cluster.engines)
        gateway_urls = tuple(node.base_url for node in cluster.nodes)
        for urls in (direct_urls, gateway_urls):
            run_load(_plan(urls, seed, WARM_UP, "warm-up"))
        direct, gateway = _Side(), _Side()
        node_cpu_s = 0.0
        for number in range(RUNS):
            phases = (Phase(RUN_S, REQUESTS_PER_S),)
            direct.add(run_load(_plan(direct_urls, seed + number, phases, "d"), LOAD_PROCESSES))
            cpu_before_s = _node_cpu_s(cluster)
            gateway.add(run_load(_plan(gateway_urls, seed + number, phases, "g"), LOAD_PROCESSES))
            node_cpu_s += _node_cpu_s(cluster) - cpu_before_s
            print(f"overhead: run {number + 1} of {RUNS} done", file=sys.stderr, flush=True)
    plot_percentiles(
        out,
        "First token: through the gateway and from the engine directly",
        {"direct": direct.first_token, "gateway": gateway.first_token},
        "ms since the intended start",
    )
    return _result(direct, gateway, node_cpu_s)


def _result(direct: _Side, gateway: _Side, node_cpu_s: float) -> OverheadResult:
    direct_p50, direct_p99 = _percentiles(direct.first_token)
    gateway_p50, gateway_p99 = _percentiles(gateway.first_token)
    gap_difference = gateway.token_gap.percentile_ms(99) - direct.token_gap.percentile_ms(99)
    both = (direct.counts, gateway.counts)
    return OverheadResult(
        added_p50_ms=round(gateway_p50 - direct_p50, 3),
        added_p99_ms=round(gateway_p99 - direct_p99, 3),
        added_gap_p99_ms=round(gap_difference, 3),
        direct_p50_ms=direct_p50,
        direct_p99_ms=direct_p99,
        gateway_p50_ms=gateway_p50,
        gateway_p99_ms=gateway_p99,
        requests_per_s_per_core=round(gateway.counts.whole / node_cpu_s, 1),
        tokens_per_s_per_core=round(gateway.counts.whole * MAX_TOKENS / node_cpu_s, 1),
        requests=gateway.counts.sent,
        not_whole=sum(counts.sent - counts.whole for counts in both),
        load_average=load_average(),
    )


def _percentiles(histogram: LatencyHistogram) -> tuple[float, float]:
    return histogram.percentile_ms(50), histogram.percentile_ms(99)


def _plan(urls: tuple[str, ...], seed: int, phases: tuple[Phase, ...], label: str) -> LoadPlan:
    return LoadPlan(
        base_urls=urls,
        key=TENANT_KEY,
        model=MODEL,
        phases=phases,
        seed=seed,
        max_tokens=MAX_TOKENS,
        label=label,
    )


def _node_cpu_s(cluster: LocalCluster) -> float:
    return sum(node.process.cpu_seconds() for node in cluster.nodes)
