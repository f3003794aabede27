"""Batch work for experiments: long jobs through the product, and engines fed directly."""

from __future__ import annotations

import itertools
import threading
import time

import msgspec

from quaymill_bench.caller import BatchLine, Caller
from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_members import StandIn, expect_status
from quaymill_bench.cluster_shape import MODEL
from quaymill_bench.journals import Prompt
from quaymill_bench.processes import wait_until

UPLOAD_TIMEOUT_S = 60.0
SETTLE_TIMEOUT_S = 30.0


class EngineLoad(msgspec.Struct, frozen=True):
    """The part of an engine's load report that experiments read."""

    running: int
    waiting: int
    batch_running: int


class LongJob:
    """One job with more items than an experiment can complete; cancelled at its end."""

    def __init__(self, cluster: LocalCluster, name: str, items: int, max_tokens: int) -> None:
        self._caller = cluster.nodes[0].caller
        lines = [
            BatchLine(f"item-{number}", "/v1/completions", prompt.completion_body())
            for number, prompt in enumerate(_prompts(name, items, max_tokens))
        ]
        uploaded = self._caller.upload_batch_file(lines, f"{name}-file", UPLOAD_TIMEOUT_S)
        file_id = expect_status(uploaded, 200).json()["id"]
        created = self._caller.create_batch(
            file_id, "/v1/completions", f"{name}-job", UPLOAD_TIMEOUT_S
        )
        self.batch_id = expect_status(created, 200).json()["id"]

    def completed(self) -> int:
        """Return how many items are completed."""
        batch = expect_status(self._caller.batch(self.batch_id), 200).json()
        return batch["request_counts"]["completed"]

    def cancel(self) -> None:
        """Stop the job."""
        expect_status(self._caller.cancel_batch(self.batch_id), 200)


class DirectFeed:
    """Keeps every slot of every engine busy, without the product: the idle capacity."""

    def __init__(self, engines: list[StandIn], slots: int, max_tokens: int) -> None:
        self._stopping = threading.Event()
        self._numbers = itertools.count()
        self._max_tokens = max_tokens
        self._threads = [
            threading.Thread(target=self._feed, args=(engine.caller,), daemon=True)
            for engine in engines
            for _ in range(slots)
        ]

    def start(self) -> None:
        """Begin to feed."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Let the requests under way finish."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _feed(self, caller: Caller) -> None:
        while not self._stopping.is_set():
            prompt = Prompt(MODEL, f"direct {next(self._numbers)}", self._max_tokens)
            caller.post_json("/v1/completions", {**prompt.completion_body(), "priority": 10})


def engine_load(engine: StandIn) -> EngineLoad:
    """Return what an engine says of its load."""
    answer = expect_status(engine.caller.request("GET", "/load"), 200)
    return msgspec.json.decode(answer.body, type=EngineLoad)


def wait_until_running(engines: list[StandIn], at_least: int) -> None:
    """Wait until every engine runs at least so many requests."""
    wait_until(
        lambda: all(engine_load(engine).running >= at_least for engine in engines),
        SETTLE_TIMEOUT_S,
        f"every engine runs {at_least} requests",
    )


def wait_until_idle(engines: list[StandIn]) -> None:
    """Wait until no engine runs anything."""
    wait_until(
        lambda: all(engine_load(engine).running == 0 for engine in engines),
        SETTLE_TIMEOUT_S,
        "the engines are idle",
    )


def generated_tokens(engines: list[StandIn]) -> int:
    """Return the tokens that all engines have generated so far."""
    return sum(run["tokens"] for engine in engines for run in engine.journal())


def tokens_per_s(engines: list[StandIn], window_s: float) -> float:
    """Measure the tokens a second over a window."""
    tokens_before = generated_tokens(engines)
    begin_at = time.monotonic()
    time.sleep(window_s)
    tokens = generated_tokens(engines) - tokens_before
    return tokens / (time.monotonic() - begin_at)


def _prompts(name: str, items: int, max_tokens: int) -> list[Prompt]:
    return [Prompt(MODEL, f"{name} item {number}", max_tokens) for number in range(items)]
