"""The chosen routing policy against random, round robin and least loaded by report.

Three gateways inside the bench send the same open-loop load straight to nine engines of one
zone, each by its own view: reports that lag, and its own requests in flight. The product's
router runs as it is. Answers have very different lengths, prompts share long beginnings, and
one engine is slow. What a request waited is the time of its whole answer less that of its
tokens at the usual step.
"""

from __future__ import annotations

import itertools
import sys
import threading
import time
from pathlib import Path

import msgspec
import numpy

from quaymill.version.configuration import ServingConfiguration
from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_members import StandIn
from quaymill_bench.cluster_shape import MODEL, ClusterShape, first_configuration
from quaymill_bench.journals import Prompt, answer_text
from quaymill_bench.latency import LatencyHistogram
from quaymill_bench.load import send_open_loop
from quaymill_bench.load_plan import LoadPlan, Phase, PlannedRequest, planned_requests
from quaymill_bench.plots import plot_percentiles
from quaymill_bench.processes import load_average
from quaymill_bench.routing_policies import GatewayView, Policy, ReportPoller, policy_makers

ROUNDS = 3
RUN_S = 8.0
REQUESTS_PER_S = 100.0
ENGINES = 9
GATEWAYS = 3
STEP_MS = 20.0
SLOTS = 8
SLOW_FACTOR = 2.0
MEDIAN_TOKENS = 16
TOKENS_SIGMA = 0.8
MOST_TOKENS = 128
PREFIXES = 60
PREFIX_CHARACTERS = 6000
CACHE_BLOCKS = 1500
SENDERS = 400
PREFIX_KEY_CHARACTERS = 256
REPORTS_WARM_UP_S = 1.0


class PolicyResult(msgspec.Struct, frozen=True):
    """What requests waited under one policy."""

    wait_p50_ms: float
    wait_p90_ms: float
    wait_p99_ms: float
    not_whole: int


class RoutingResult(msgspec.Struct, frozen=True):
    """One result for each policy, and the load they ran under."""

    policies: dict[str, PolicyResult]
    requests_per_policy: int
    requests_per_s: float
    load_average: float


class _PolicyRun:
    """Sum of the runs of one policy."""

    def __init__(self) -> None:
        self.wait = LatencyHistogram()
        self.not_whole = 0
        self.requests = 0
        self._lock = threading.Lock()

    def record(self, prompt: Prompt, seconds: float, text: str) -> None:
        """Count one answer."""
        ideal_s = prompt.max_tokens * STEP_MS / 1000.0
        with self._lock:
            self.requests += 1
            self.not_whole += text != prompt.expected
            self.wait.record(max(seconds - ideal_s, 0.0))

    def result(self) -> PolicyResult:
        """Return the percentiles."""
        return PolicyResult(
            self.wait.percentile_ms(50),
            self.wait.percentile_ms(90),
            self.wait.percentile_ms(99),
            self.not_whole,
        )


def run(out: Path | None = None, seed: int = 1) -> RoutingResult:
    """Run the experiment."""
    shape = ClusterShape(
        zones=("zone-a",),
        nodes_per_zone=0,
        disk_nodes_per_zone=0,
        engines_per_zone=ENGINES,
        applications=0,
        engine_flags=(
            *("--step-ms", str(STEP_MS), "--slots", str(SLOTS)),
            *("--cache-blocks", str(CACHE_BLOCKS)),
        ),
    )
    configuration = first_configuration(shape)
    runs = {name: _PolicyRun() for name in policy_makers(configuration)}
    with LocalCluster(shape) as cluster:
        cluster.engines[0].set_faults(slow_factor=SLOW_FACTOR)
        for number in range(ROUNDS):
            for name, sums in runs.items():
                _run_policy(cluster.engines, configuration, name, seed + number, sums)
            print(f"routing: round {number + 1} of {ROUNDS} done", file=sys.stderr, flush=True)
    plot_percentiles(
        out,
        "What requests waited, by routing policy",
        {name: sums.wait for name, sums in runs.items()},
        "ms beyond the time of the answer's tokens",
    )
    return RoutingResult(
        policies={name: sums.result() for name, sums in runs.items()},
        requests_per_policy=runs["chosen"].requests,
        requests_per_s=REQUESTS_PER_S,
        load_average=load_average(),
    )


def _run_policy(
    engines: list[StandIn],
    configuration: ServingConfiguration,
    name: str,
    seed: int,
    sums: _PolicyRun,
) -> None:
    """Send the load of one round once, by one policy."""
    make_policy = policy_makers(configuration)[name]
    views = [GatewayView(engines) for _ in range(GATEWAYS)]
    policies = [make_policy(view, seed + number) for number, view in enumerate(views)]
    engines_by_name = {engine.name: engine for engine in engines}
    poller = ReportPoller(engines, views)
    poller.start()
    time.sleep(REPORTS_WARM_UP_S)
    numbers = itertools.count()

    def send(request: PlannedRequest, intended_at: float) -> None:
        policy = policies[next(numbers) % GATEWAYS]
        text = _send_by(policy, engines_by_name, request.prompt)
        sums.record(request.prompt, time.monotonic() - intended_at, text)

    requests = _requests(seed, name)
    send_open_loop(requests, time.monotonic(), SENDERS, send)
    poller.stop()


def _send_by(policy: Policy, engines: dict[str, StandIn], prompt: Prompt) -> str:
    replica = policy.choose(prompt.text[:PREFIX_KEY_CHARACTERS])
    ticket = replica.begin()
    try:
        answer = engines[replica.name].caller.post_json("/v1/completions", prompt.completion_body())
    finally:
        replica.end(ticket)
    return answer_text(answer)


def _requests(seed: int, label: str) -> list[PlannedRequest]:
    """Return the same arrivals and lengths for each policy, with prompts of its own."""
    plan = LoadPlan(
        base_urls=("",),
        key="",
        model=MODEL,
        phases=(Phase(RUN_S, REQUESTS_PER_S),),
        seed=seed,
        prefixes=PREFIXES,
        prefix_characters=PREFIX_CHARACTERS,
        label=f"{label}-{seed}",
    )
    generator = numpy.random.default_rng(seed)
    requests = []
    for request in planned_requests(plan):
        tokens = generator.lognormal(numpy.log(MEDIAN_TOKENS), TOKENS_SIGMA)
        max_tokens = int(min(max(tokens, 1), MOST_TOKENS))
        prompt = msgspec.structs.replace(request.prompt, max_tokens=max_tokens)
        requests.append(msgspec.structs.replace(request, prompt=prompt))
    return requests
