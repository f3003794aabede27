"""Batch work alone: how soon it gives slots up, and how near it comes to the engines' capacity.

Slots are given up on a notice to the batch scheduler; the time runs until the engine's own
journal shows the streams as ended. Throughput is counted in tokens of the journals, with the
engines fed directly by this process and then by a batch job through the nodes.
"""

from __future__ import annotations

import itertools
import sys
import threading
import time
from pathlib import Path

import msgspec

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.load_messages import Noted, OnlineStarts
from quaymill.connection.peer_link import PeerClient
from quaymill.version.configuration import Route, Tuning
from quaymill_bench.caller import BatchLine
from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_members import Node, StandIn, expect_status
from quaymill_bench.cluster_shape import MODEL, ClusterShape
from quaymill_bench.plots import plot_bars
from quaymill_bench.processes import wait_until

SLOTS = 16
STEP_MS = 10.0
NOTICES = 8
TRIALS = 10
LONG_TOKENS = 4000
SHORT_TOKENS = 64
ITEMS = 1200
WARM_UP_S = 3.0
WINDOW_S = 6.0
ROUNDS = 3
TIMEOUT_S = 60.0
PATH = "/v1/completions"


class BatchResult(msgspec.Struct, frozen=True):
    """Figures of batch work.

    Attributes
    ----------
    freed_p50_ms, freed_max_ms
        From sending a notice for ``NOTICES`` requests until the engine had ended as many streams.
    step_ms
        Time of one engine step.
    batch_share
        Tokens a second by a batch job over those with the engines fed directly.
    capacity_share
        Tokens a second by a batch job over slots by steps, the engines' nominal capacity.
    node_cpu_share
        Processor time of the nodes in the window, in cores, for all of them.
    """

    freed_p50_ms: float
    freed_max_ms: float
    step_ms: float
    trials: int
    batch_share: float
    capacity_share: float
    batch_tokens_per_s: float
    direct_tokens_per_s: float
    node_cpu_share: float


def run(out: Path | None = None, seed: int = 1) -> BatchResult:
    """Run the experiment on three nodes and three engines, without a reserve for online work."""
    flags = ("--slots", str(SLOTS), "--step-ms", str(STEP_MS))
    shape = ClusterShape(
        applications=0,
        engine_flags=flags,
        route=Route(batch_limit=SLOTS),
        tuning=Tuning(batch_reserve=0),
    )
    with LocalCluster(shape) as cluster:
        freed_ms = sorted(_measure_freed(cluster))
        print("batch: notices done", file=sys.stderr, flush=True)
        direct, batch, cpu_share = _measure_in_turns(cluster, seed)
    plot_bars(out, "Tokens a second", {"engines": {"direct": direct, "batch": batch}}, "tokens/s")
    capacity = len(shape.zones) * SLOTS * 1000.0 / STEP_MS
    return BatchResult(
        freed_p50_ms=round(freed_ms[len(freed_ms) // 2], 2),
        freed_max_ms=round(freed_ms[-1], 2),
        step_ms=STEP_MS,
        trials=len(freed_ms),
        batch_share=round(batch / direct, 4),
        capacity_share=round(batch / capacity, 4),
        batch_tokens_per_s=round(batch, 1),
        direct_tokens_per_s=round(direct, 1),
        node_cpu_share=round(cpu_share, 3),
    )


def _measure_freed(cluster: LocalCluster) -> list[float]:
    """Return the milliseconds of each trial."""
    job_id = _submit(cluster.nodes[0], "long", 4 * SLOTS, LONG_TOKENS)
    peers = PeerClient(LinkFilter())
    freed_ms = []
    for number in range(TRIALS):
        engine = cluster.engines[number % len(cluster.engines)]
        node = next(node for node in cluster.nodes if node.zone == engine.zone)
        _wait_until_full(engine)
        started_s = time.monotonic()
        endpoint = Endpoint.parse(node.peer_address)
        peers.call(endpoint, OnlineStarts((engine.name,) * NOTICES), Noted, TIMEOUT_S)
        while _running(engine) > SLOTS - NOTICES:
            if time.monotonic() - started_s > TIMEOUT_S:
                raise AssertionError("no room was made")
        freed_ms.append((time.monotonic() - started_s) * 1000.0)
    peers.close()
    expect_status(cluster.nodes[0].caller.cancel_batch(job_id), 200)
    for engine in cluster.engines:
        _wait_until_idle(engine)
    return freed_ms


def _measure_in_turns(cluster: LocalCluster, seed: int) -> tuple[float, float, float]:
    """Return the means of direct feed, batch job and processor share over all rounds.

    The two sides alternate, so that other work on the machine hits both alike.
    """
    direct, batch, cpu_share = 0.0, 0.0, 0.0
    for number in range(ROUNDS):
        direct += _measure_direct(cluster)
        tokens_per_s, used_share = _measure_batch(cluster, f"short-{seed}-{number}")
        batch += tokens_per_s
        cpu_share += used_share
        print(f"batch: round {number + 1} of {ROUNDS} done", file=sys.stderr, flush=True)
    return direct / ROUNDS, batch / ROUNDS, cpu_share / ROUNDS


def _measure_direct(cluster: LocalCluster) -> float:
    """Keep every slot busy from this process; return the tokens a second."""
    stopping = threading.Event()
    numbers = itertools.count()

    def feed(engine: StandIn) -> None:
        while not stopping.is_set():
            body = _body(f"direct {next(numbers)}", SHORT_TOKENS)
            engine.caller.post_json(PATH, {**body, "priority": 10})

    threads = [
        threading.Thread(target=feed, args=(engine,), daemon=True)
        for engine in cluster.engines
        for _ in range(SLOTS)
    ]
    for thread in threads:
        thread.start()
    tokens_per_s = _tokens_per_s(cluster)
    stopping.set()
    for thread in threads:
        thread.join()
    return tokens_per_s


def _measure_batch(cluster: LocalCluster, name: str) -> tuple[float, float]:
    """Run a batch job; return its tokens a second and the processor share of the nodes."""
    job_id = _submit(cluster.nodes[0], name, ITEMS, SHORT_TOKENS)
    before_s = sum(node.process.cpu_seconds() for node in cluster.nodes)
    tokens_per_s = _tokens_per_s(cluster)
    used_s = sum(node.process.cpu_seconds() for node in cluster.nodes) - before_s
    job = expect_status(cluster.nodes[0].caller.batch(job_id), 200).json()
    if job["status"] != "in_progress":
        raise AssertionError("the job ended before the window did; raise ITEMS")
    expect_status(cluster.nodes[0].caller.cancel_batch(job_id), 200)
    for engine in cluster.engines:
        _wait_until_idle(engine)
    return tokens_per_s, used_s / (WARM_UP_S + WINDOW_S)


def _tokens_per_s(cluster: LocalCluster) -> float:
    """Count tokens in the journals over a window, after a warm-up."""
    time.sleep(WARM_UP_S)
    first, first_s = _tokens(cluster), time.monotonic()
    time.sleep(WINDOW_S)
    last, last_s = _tokens(cluster), time.monotonic()
    return (last - first) / (last_s - first_s)


def _tokens(cluster: LocalCluster) -> int:
    return sum(entry["tokens"] for engine in cluster.engines for entry in engine.journal())


def _wait_until_full(engine: StandIn) -> None:
    wait_until(lambda: _running(engine) >= SLOTS, TIMEOUT_S, f"{engine.name} full of batch work")


def _wait_until_idle(engine: StandIn) -> None:
    wait_until(lambda: _running(engine) == 0, TIMEOUT_S, f"{engine.name} idle")


def _running(engine: StandIn) -> int:
    return sum(entry["outcome"] == "running" for entry in engine.journal())


def _submit(node: Node, name: str, count: int, tokens: int) -> str:
    lines = [
        BatchLine(f"item-{number}", PATH, _body(f"{name} {number}", tokens))
        for number in range(count)
    ]
    uploaded = node.caller.upload_batch_file(lines, f"{name}-file", TIMEOUT_S)
    file_id = expect_status(uploaded, 200).json()["id"]
    created = node.caller.create_batch(file_id, PATH, f"{name}-job", TIMEOUT_S)
    return expect_status(created, 200).json()["id"]


def _body(prompt: str, tokens: int) -> dict:
    return {"model": MODEL, "prompt": prompt, "max_tokens": tokens}
