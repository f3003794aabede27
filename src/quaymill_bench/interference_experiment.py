"""What batch work costs online requests, and what share of the idle capacity it gets.

Each round measures the same bursts of online load first without and then with a batch that
fills the engines, then the batch alone, then the engines fed directly. The rounds repeat, so
that other work on the machine hits all four alike.
"""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec

from quaymill.version.configuration import Route, Tuning
from quaymill_bench.batch_load import (
    DirectFeed,
    LongJob,
    tokens_per_s,
    wait_until_idle,
    wait_until_running,
)
from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_shape import MODEL, TENANT_KEY, ClusterShape
from quaymill_bench.latency import LatencyHistogram
from quaymill_bench.load import LoadCounts, run_load
from quaymill_bench.load_plan import LoadPlan, Phase
from quaymill_bench.plots import plot_percentiles
from quaymill_bench.processes import load_average

ROUNDS = 3
STEP_MS = 20.0
SLOTS = 32
BATCH_RESERVE = 1
ONLINE_TOKENS = 32
BATCH_TOKENS = 64
BATCH_ITEMS = 4000
CALM = Phase(2.5, 6.0)
BURST = Phase(1.0, 60.0)
BURSTS = 4
LOAD_PROCESSES = 2
SETTLE_MARGIN_SLOTS = 2
THROUGHPUT_WINDOW_S = 6.0


class InterferenceResult(msgspec.Struct, frozen=True):
    """Online latencies with batch on against batch off, and the batch's throughput.

    Attributes
    ----------
    first_token_p99_ratio, token_gap_p99_ratio
        Batch on divided by batch off.
    first_token_p99_added_steps
        Batch on less batch off, in engine steps: the time from a burst to freed slots.
    batch_share
        Tokens a second of the batch alone, divided by those of engines fed directly.
    load_average
        Of the machine, at the end.
    """

    first_token_p99_ratio: float
    token_gap_p99_ratio: float
    batch_share: float
    first_token_p99_added_steps: float
    first_token_p50_off_ms: float
    first_token_p50_on_ms: float
    first_token_p99_off_ms: float
    first_token_p99_on_ms: float
    token_gap_p50_off_ms: float
    token_gap_p50_on_ms: float
    token_gap_p99_off_ms: float
    token_gap_p99_on_ms: float
    batch_tokens_per_s: float
    direct_tokens_per_s: float
    online_requests: int
    not_whole: int
    load_average: float


class _Online:
    """Sum of the online runs of one side."""

    def __init__(self) -> None:
        self.first_token = LatencyHistogram()
        self.token_gap = LatencyHistogram()
        self.counts = LoadCounts()

    def run(self, cluster: LocalCluster, seed: int, label: str) -> None:
        """Send the bursts once."""
        plan = LoadPlan(
            base_urls=tuple(node.base_url for node in cluster.nodes),
            key=TENANT_KEY,
            model=MODEL,
            phases=(CALM, BURST) * BURSTS,
            seed=seed,
            max_tokens=ONLINE_TOKENS,
            label=label,
        )
        result = run_load(plan, LOAD_PROCESSES)
        self.first_token.add(result.histograms["first_token"])
        self.token_gap.add(result.histograms["token_gap"])
        self.counts.add(result.report.counts)


class _Interference:
    """The rounds, and what they add up to."""

    def __init__(self, cluster: LocalCluster, seed: int) -> None:
        self._cluster = cluster
        self._seed = seed
        self.off = _Online()
        self.on = _Online()
        self.batch_rates: list[float] = []
        self.direct_rates: list[float] = []

    def run_round(self, number: int) -> None:
        """Measure the four once."""
        seed = self._seed + number
        engines = self._cluster.engines
        self.off.run(self._cluster, seed, "off")
        job = LongJob(self._cluster, f"interference-{number}", BATCH_ITEMS, BATCH_TOKENS)
        wait_until_running(engines, SLOTS - BATCH_RESERVE - SETTLE_MARGIN_SLOTS)
        self.on.run(self._cluster, seed, "on")
        wait_until_running(engines, SLOTS - BATCH_RESERVE - SETTLE_MARGIN_SLOTS)
        self.batch_rates.append(tokens_per_s(engines, THROUGHPUT_WINDOW_S))
        job.cancel()
        wait_until_idle(engines)
        self.direct_rates.append(self._direct_rate())
        wait_until_idle(engines)

    def _direct_rate(self) -> float:
        engines = self._cluster.engines
        feed = DirectFeed(engines, SLOTS, BATCH_TOKENS)
        feed.start()
        wait_until_running(engines, SLOTS - SETTLE_MARGIN_SLOTS)
        rate = tokens_per_s(engines, THROUGHPUT_WINDOW_S)
        feed.stop()
        return rate

    def result(self) -> InterferenceResult:
        """Return the sums."""
        off, on = self.off, self.on
        off_p99, on_p99 = off.first_token.percentile_ms(99), on.first_token.percentile_ms(99)
        off_gap, on_gap = off.token_gap.percentile_ms(99), on.token_gap.percentile_ms(99)
        both = (off.counts, on.counts)
        return InterferenceResult(
            first_token_p99_ratio=round(on_p99 / off_p99, 3),
            token_gap_p99_ratio=round(on_gap / off_gap, 3),
            batch_share=round(sum(self.batch_rates) / sum(self.direct_rates), 3),
            first_token_p99_added_steps=round((on_p99 - off_p99) / STEP_MS, 2),
            first_token_p50_off_ms=off.first_token.percentile_ms(50),
            first_token_p50_on_ms=on.first_token.percentile_ms(50),
            first_token_p99_off_ms=off_p99,
            first_token_p99_on_ms=on_p99,
            token_gap_p50_off_ms=off.token_gap.percentile_ms(50),
            token_gap_p50_on_ms=on.token_gap.percentile_ms(50),
            token_gap_p99_off_ms=off_gap,
            token_gap_p99_on_ms=on_gap,
            batch_tokens_per_s=round(sum(self.batch_rates) / len(self.batch_rates), 1),
            direct_tokens_per_s=round(sum(self.direct_rates) / len(self.direct_rates), 1),
            online_requests=on.counts.sent,
            not_whole=sum(counts.sent - counts.whole for counts in both),
            load_average=load_average(),
        )


def run(out: Path | None = None, seed: int = 1) -> InterferenceResult:
    """Run the experiment on three nodes and three engines."""
    flags = ("--step-ms", str(STEP_MS), "--slots", str(SLOTS))
    shape = ClusterShape(
        applications=0,
        engine_flags=flags,
        route=Route(batch_limit=SLOTS),
        tuning=Tuning(batch_reserve=BATCH_RESERVE),
    )
    with LocalCluster(shape) as cluster:
        experiment = _Interference(cluster, seed)
        for number in range(ROUNDS):
            experiment.run_round(number)
            print(f"interference: round {number + 1} of {ROUNDS}", file=sys.stderr, flush=True)
    plot_percentiles(
        out,
        "First token of online bursts, with and without batch work",
        {"batch off": experiment.off.first_token, "batch on": experiment.on.first_token},
        "ms since the intended start",
    )
    return experiment.result()
