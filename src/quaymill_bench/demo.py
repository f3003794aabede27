"""``make demo``: one small system, started, used, looked at and stopped.

The counts of the last line come from the stand-ins' journals and from the answers compared
with the texts that the stand-ins must give, not from what the product says about itself.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

from quaymill_bench.caller import Answer, BatchLine
from quaymill_bench.cluster import LocalCluster, run_quaymill
from quaymill_bench.cluster_members import Node, expect_status
from quaymill_bench.cluster_shape import APPLICATION, MODEL, ClusterShape
from quaymill_bench.journals import (
    Prompt,
    Tally,
    answer_text,
    finished_runs,
    result_texts,
    runs_by_key,
    tally_calls,
    tally_prompts,
)
from quaymill_bench.processes import exit_on_sigterm, wait_until

ONLINE_REQUESTS = 12
ONLINE_TOKENS = 24
BATCH_ITEMS = 60
BATCH_TOKENS = 16
CALLS = 3
BATCH_TIMEOUT_S = 60.0
REQUEST_TIMEOUT_S = 30.0
WEIGHT_CELL = f"routes/{MODEL}/zone-c/weight"
WEIGHT = "0.5"


class Demo:
    """The steps of the demonstration, with what each one was answered."""

    def __init__(self, cluster: LocalCluster) -> None:
        self._cluster = cluster
        self._started_at = time.monotonic()
        self._online = list(_prompts("question", ONLINE_REQUESTS, ONLINE_TOKENS))
        self._items = list(_prompts("draft", BATCH_ITEMS, BATCH_TOKENS))
        self._call_keys = [f"declaration-{number}" for number in range(CALLS)]
        self._texts: dict[str, str] = {}

    def say(self, text: str) -> None:
        """Print one line of progress with the seconds since the start."""
        print(f"[{time.monotonic() - self._started_at:5.1f} s] {text}", flush=True)

    def run(self) -> int:
        """Run all steps; return the exit code."""
        self._start()
        batch_id = self._submit_batch()
        self._stream_online()
        self._call_application()
        self._set_weight()
        self._show_status()
        self._read_batch(batch_id)
        return self._stop_and_count()

    def _start(self) -> None:
        cluster = self._cluster
        self.say("starting the platform, 3 engines and 1 application")
        cluster.start_platform()
        cluster.start_back_ends()
        cluster.register_machines()
        cluster.create_configuration()
        self.say(f"starting {len(cluster.nodes)} nodes in {len(cluster.shape.zones)} zones")
        cluster.start_nodes()
        for node in cluster.nodes:
            self.say(f"  {node.name} answers on {node.base_url}")

    def _submit_batch(self) -> str:
        node = self._cluster.nodes[0]
        lines = [
            BatchLine(f"item-{number}", "/v1/completions", item.completion_body())
            for number, item in enumerate(self._items)
        ]
        uploaded = node.caller.upload_batch_file(lines, "demo-file", REQUEST_TIMEOUT_S)
        file_id = expect_status(uploaded, 200).json()["id"]
        created = node.caller.create_batch(
            file_id, "/v1/completions", "demo-batch", REQUEST_TIMEOUT_S
        )
        batch_id = expect_status(created, 200).json()["id"]
        self.say(f"submitted {batch_id} with {len(lines)} items through {node.name}")
        return batch_id

    def _stream_online(self) -> None:
        self.say(f"streaming {ONLINE_REQUESTS} online requests through all nodes")
        nodes = self._cluster.nodes
        with ThreadPoolExecutor(max_workers=ONLINE_REQUESTS) as pool:
            answers = pool.map(
                lambda pair: _stream(nodes[pair[0] % len(nodes)], pair[1]),
                enumerate(self._online),
            )
            for prompt, answer in zip(self._online, answers, strict=True):
                self._texts[prompt.digest] = answer_text(answer)
                if not self._texts[prompt.digest]:
                    self.say(f"  not whole: {answer.status} {answer.error} {answer.body[:200]}")
        self.say(f"  for example: {self._online[0].text!r} -> {answer_preview(self._texts)}")

    def _call_application(self) -> None:
        self.say(f"calling the application {CALLS} times, each sent twice with the same key")
        nodes = self._cluster.nodes
        for number, key in enumerate(self._call_keys):
            for attempt in range(2):
                caller = nodes[(number + attempt) % len(nodes)].caller
                answer = caller.post_json(
                    f"/services/{APPLICATION}/submit",
                    {"declaration": number},
                    {"Idempotency-Key": key},
                    REQUEST_TIMEOUT_S,
                )
                expect_status(answer, 200)

    def _set_weight(self) -> None:
        self.say(f"quaymill config set {WEIGHT_CELL} {WEIGHT}")
        platform = f"127.0.0.1:{self._cluster.platform.port}"
        output = run_quaymill(
            ["config", "set", f"{WEIGHT_CELL}={WEIGHT}", "--platform", platform],
            self._cluster.folder / "operator.out",
        )
        _print_indented(output)

    def _show_status(self) -> None:
        self.say("quaymill status")
        platform = f"127.0.0.1:{self._cluster.platform.port}"
        output = run_quaymill(
            ["status", "--platform", platform],
            self._cluster.folder / "operator.out",
        )
        _print_indented(output)

    def _read_batch(self, batch_id: str) -> None:
        caller = self._cluster.nodes[2].caller
        last_count = -1

        def has_completed() -> bool:
            nonlocal last_count
            batch = caller.batch(batch_id).json()
            count = batch.get("request_counts", {}).get("completed", 0)
            if count != last_count:
                self.say(f"  {batch_id}: {count} of {BATCH_ITEMS} items completed")
                last_count = count
            return batch.get("status") == "completed"

        wait_until(has_completed, BATCH_TIMEOUT_S, "the batch is completed", interval_s=0.2)
        file_id = caller.batch(batch_id).json()["output_file_id"]
        content = expect_status(caller.file_content(file_id), 200).body
        by_id = {f"item-{number}": item for number, item in enumerate(self._items)}
        self._texts.update(result_texts(content, by_id))
        self.say(f"read {len(content.splitlines())} results through {self._cluster.nodes[2].name}")

    def _stop_and_count(self) -> int:
        cluster = self._cluster
        self.say("stopping the nodes in order")
        codes = cluster.stop_nodes_in_order()
        finished = finished_runs(cluster.engines)
        online = tally_prompts(self._online, self._texts, finished)
        items = tally_prompts(self._items, self._texts, finished)
        calls = tally_calls(self._call_keys, runs_by_key(cluster.applications))
        codes += cluster.stop_stand_ins()
        self.say(f"all stopped; exit codes {codes}")
        return _conclude([online, items, calls], codes)


def _conclude(tallies: list[Tally], codes: list[int]) -> int:
    online, items, _ = tallies
    lost = sum(tally.lost for tally in tallies)
    doubled = sum(tally.doubled for tally in tallies)
    print(
        f"demo: {online.completed} answered, {items.completed} completed, "
        f"{lost} lost, {doubled} doubled"
    )
    return 1 if lost or doubled or any(codes) else 0


def answer_preview(texts: dict[str, str]) -> str:
    """Return the beginning of the first text."""
    first = next(iter(texts.values()), "")
    return repr(first[:60] + ("..." if len(first) > 60 else ""))


def _stream(node: Node, prompt: Prompt) -> Answer:
    return node.caller.stream(
        "/v1/completions", prompt.completion_body(), timeout_s=REQUEST_TIMEOUT_S
    )


def _prompts(subject: str, count: int, max_tokens: int) -> Iterator[Prompt]:
    for number in range(count):
        yield Prompt(MODEL, f"{subject} {number} of the demonstration", max_tokens)


def _print_indented(output: str) -> None:
    for line in output.splitlines():
        print(f"          | {line}", flush=True)


def main() -> int:
    """Run the demonstration."""
    exit_on_sigterm()
    cluster = LocalCluster(ClusterShape())
    try:
        return Demo(cluster).run()
    finally:
        cluster.close()


if __name__ == "__main__":
    sys.exit(main())
