"""What the job store bears: items a second, failover, memory and commit latency.

The baseline is SQLite alone on one disk: the same commands applied to the same tables with
the same number of commands in each commit, without network and without replicas.
"""

from __future__ import annotations

import sqlite3
import statistics
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from quaymill.connection import job_messages as m
from quaymill.process.job_store.commands import Command, LoggedCommand
from quaymill.process.job_store.log_storage import LogStorage
from quaymill.process.job_store.state_machine import Grants, StateMachine
from quaymill_bench.plots import plot_bars
from quaymill_bench.processes import wait_until
from quaymill_bench.store_cluster import (
    SERVICE,
    StoreCaller,
    StoreCluster,
    complete_items,
    create_job,
    make_chunks,
)

ITEM_BYTES = 400
CHUNK_ITEMS = 1000
BATCH_ITEMS = 100
WORKERS = 6
THROUGHPUT_ITEMS = 60_000
THROUGHPUT_RUNS = 3
ITEMS_BY_BATCH = {1: 1_000, 10: 8_000, 100: 40_000, 1000: 60_000}
LARGE_JOB_ITEMS = 520_000
LARGE_JOB_COMPLETED_ITEMS = 50_000
KILLS = 5
PROBES = 300
PROBE_INTERVAL_S = 0.005
RESTART_TIMEOUT_S = 30.0
BYTES_PER_MB = 1024 * 1024


class StoreReport(msgspec.Struct, frozen=True):
    """Result of ``experiment store``.

    Attributes
    ----------
    items_per_s
        Items accepted, leased and completed a second through one group of three; the median
        of runs that alternate with those of the baseline.
    baseline_items_per_s
        The same by SQLite alone on one disk.
    items_per_s_by_batch
        Items leased and completed a second, by the number of items in each message.
    failover_s
        Longest time without a committed write when the leader is killed.
    failover_median_s
        Median of the kills.
    leader_memory_mb
        Most resident memory of the leader during a job of ``large_job_items`` items.
    commit_ms
        Median time of one small write, as its caller sees it.
    fsync_ms
        Median time of one small commit of SQLite on the same disk.
    commit_fsyncs
        The former divided by the latter.
    """

    items_per_s: float
    items_per_s_runs: tuple[float, ...]
    baseline_items_per_s: float
    items_per_s_by_batch: dict[int, float]
    failover_s: float
    failover_median_s: float
    leader_memory_mb: float
    large_job_items: int
    commit_ms: float
    fsync_ms: float
    commit_fsyncs: float


def run(out: Path | None = None, seed: int = 1) -> StoreReport:
    """Measure a group of three processes; nothing in it is random, so ``seed`` is not used."""
    with StoreCluster() as cluster:
        fsync_ms, commit_ms = _commit_latency_ms(cluster)
        baselines: list[float] = []
        whole_paths: list[float] = []
        for _ in range(THROUGHPUT_RUNS):
            baselines.append(_baseline_items_per_s())
            whole_paths.append(_items_per_s(cluster, THROUGHPUT_ITEMS, BATCH_ITEMS))
        by_batch = {
            batch: _lease_and_complete_per_s(cluster, count, batch)
            for batch, count in ITEMS_BY_BATCH.items()
        }
    with StoreCluster() as cluster:
        gaps = [_failover_s(cluster) for _ in range(KILLS)]
    with StoreCluster() as cluster:
        memory_mb = _leader_memory_mb(cluster)
    plot_bars(
        out,
        "Items leased and completed a second, by items in each message",
        {"group of three": {str(batch): rate for batch, rate in by_batch.items()}},
        "items/s",
    )
    return StoreReport(
        items_per_s=statistics.median(whole_paths),
        items_per_s_runs=tuple(whole_paths),
        baseline_items_per_s=statistics.median(baselines),
        items_per_s_by_batch=by_batch,
        failover_s=max(gaps),
        failover_median_s=statistics.median(gaps),
        leader_memory_mb=memory_mb,
        large_job_items=LARGE_JOB_ITEMS,
        commit_ms=commit_ms,
        fsync_ms=fsync_ms,
        commit_fsyncs=commit_ms / fsync_ms,
    )


def _items_per_s(cluster: StoreCluster, count: int, batch: int) -> float:
    """Upload, lease and complete; the clock covers all three."""
    chunks = make_chunks(count, CHUNK_ITEMS, ITEM_BYTES)
    started_s = time.monotonic()
    caller = cluster.new_caller()
    caller.start_job(caller.upload(chunks))
    _work_off(cluster, batch)
    return count / (time.monotonic() - started_s)


def _lease_and_complete_per_s(cluster: StoreCluster, count: int, batch: int) -> float:
    caller = cluster.new_caller()
    caller.start_job(caller.upload(make_chunks(count, CHUNK_ITEMS, ITEM_BYTES)))
    started_s = time.monotonic()
    _work_off(cluster, batch)
    return count / (time.monotonic() - started_s)


def _work_off(cluster: StoreCluster, batch: int) -> None:
    """Lease and complete until there is nothing left."""

    def work(number: int) -> None:
        caller = cluster.new_caller()
        worker = f"worker-{number}"
        while leased := caller.lease(worker, batch):
            caller.complete(worker, leased)

    with ThreadPoolExecutor(WORKERS) as pool:
        list(pool.map(work, range(WORKERS)))


def _commit_latency_ms(cluster: StoreCluster) -> tuple[float, float]:
    """Return the medians of a bare commit and of a write through the group, in turns."""
    caller = cluster.new_caller()
    bare: list[float] = []
    replicated: list[float] = []
    with tempfile.TemporaryDirectory(dir=cluster.folder) as folder:
        storage = LogStorage(Path(folder) / "fsync.sqlite3")
        for number in range(PROBES):
            bare.append(_timed_ms(lambda number=number: storage.save_vote(number, "")))
            replicated.append(_timed_ms(caller.write_probe))
        storage.close()
    return statistics.median(bare), statistics.median(replicated)


def _timed_ms(action) -> float:
    started_s = time.perf_counter()
    action()
    return (time.perf_counter() - started_s) * 1000


def _failover_s(cluster: StoreCluster) -> float:
    """Kill the leader under a stream of small writes; return the longest gap of them."""
    ends_s: list[float] = []
    stop = threading.Event()

    def probe() -> None:
        caller = cluster.new_caller()
        while not stop.wait(PROBE_INTERVAL_S):
            caller.write_probe()
            ends_s.append(time.monotonic())

    prober = threading.Thread(target=probe)
    prober.start()
    wait_until(lambda: len(ends_s) > 100, RESTART_TIMEOUT_S, "writes before the kill")
    victim = cluster.processes[cluster.leader()]
    killed_s = time.monotonic()
    victim.kill()
    wait_until(
        lambda: sum(end_s > killed_s for end_s in ends_s) > 100,
        RESTART_TIMEOUT_S,
        "writes after the kill",
    )
    stop.set()
    prober.join()
    victim.start()
    _wait_until_whole(cluster)
    return max(later - earlier for earlier, later in zip(ends_s, ends_s[1:], strict=False))


def _wait_until_whole(cluster: StoreCluster) -> None:
    """Wait until the restarted node stores what the others store."""
    caller = cluster.new_caller()

    def same_size() -> bool:
        caller.write_probe()
        sizes = [_log_end(cluster.folder / name) for name in cluster.processes]
        return max(sizes) - min(sizes) < 50

    wait_until(same_size, RESTART_TIMEOUT_S, "the restarted node has caught up")


def _log_end(folder: Path) -> int:
    connection = sqlite3.connect(f"file:{folder / 'group-0.sqlite3'}?mode=ro", uri=True)
    try:
        return connection.execute("SELECT MAX(log_index) FROM log").fetchone()[0] or 0
    finally:
        connection.close()


def _leader_memory_mb(cluster: StoreCluster) -> float:
    """Return the most memory of any node, as each may lead, during one large job."""
    most_bytes = 0
    stop = threading.Event()

    def watch() -> None:
        nonlocal most_bytes
        while not stop.wait(0.1):
            for process in cluster.processes.values():
                most_bytes = max(most_bytes, process.resident_bytes())

    watcher = threading.Thread(target=watch)
    watcher.start()
    caller = cluster.new_caller()
    chunks = make_chunks(LARGE_JOB_ITEMS, CHUNK_ITEMS, ITEM_BYTES)
    job_id = caller.start_job(caller.upload(chunks))
    _complete_some(caller, LARGE_JOB_COMPLETED_ITEMS)
    after_index = -1
    while True:
        message = m.ReadResults(0, job_id, after_index, 10_000)
        page = caller.ask(message, m.ResultPage)
        if not page.more:
            break
        after_index = page.results[-1].index
    stop.set()
    watcher.join()
    return most_bytes / BYTES_PER_MB


def _complete_some(caller: StoreCaller, count: int) -> None:
    completed = 0
    while completed < count:
        completed += caller.complete("worker", caller.lease("worker", CHUNK_ITEMS))


def _baseline_items_per_s() -> float:
    """Apply the commands of the whole path to one database, with ``WORKERS`` in a commit."""
    chunks = make_chunks(THROUGHPUT_ITEMS, CHUNK_ITEMS, ITEM_BYTES)
    with tempfile.TemporaryDirectory(prefix="quaymill-store-") as folder:
        storage = LogStorage(Path(folder) / "baseline.sqlite3")
        machine = StateMachine(storage.connection)
        started_s = time.monotonic()
        _apply(storage, machine, [m.CreateFile(0, "f", "tenant", "items")])
        for number, items in enumerate(chunks):
            _apply(storage, machine, [m.AppendItems(0, "f", number, items)])
        seal = m.CommitFile(0, "f", len(chunks), THROUGHPUT_ITEMS, 1, "d")
        _apply(storage, machine, [seal, create_job("j", "f")])
        while True:
            leases = [
                m.LeaseItems(0, f"w{number}", SERVICE, BATCH_ITEMS, 60.0)
                for number in range(WORKERS)
            ]
            leased = [
                machine.leased_items(grants).items
                for grants in _apply(storage, machine, leases)
                if isinstance(grants, Grants)
            ]
            ends: list[Command] = [complete_items("w", items) for items in leased if items]
            if not ends:
                break
            _apply(storage, machine, ends)
        elapsed_s = time.monotonic() - started_s
        storage.close()
    return THROUGHPUT_ITEMS / elapsed_s


def _apply(storage: LogStorage, machine: StateMachine, commands: list[Command]) -> list:
    storage.begin()
    results = [machine.apply(LoggedCommand(0.0, 5, command)) for command in commands]
    storage.commit()
    return results
