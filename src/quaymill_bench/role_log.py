"""What the log costs its leader and its followers: by call, by item, and by size of jobs."""

from __future__ import annotations

import sqlite3
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from quaymill.connection.job_messages import (
    Accepted,
    AppendItems,
    CommitFile,
    CompletedItems,
    CompleteItems,
    CreateFile,
    CreateJob,
    Item,
    ItemCompletion,
    ItemRef,
    LeasedItem,
    LeasedItems,
    LeaseItems,
)
from quaymill.connection.peer_link import PeerMessage
from quaymill.process.job_store.client import JobStoreClient
from quaymill_bench.role_cluster import LogRoles, RoleCluster
from quaymill_bench.role_fit import MICRO, Sample, Slope, fit_slopes, measure_window, resident_bytes

SERVICE = "slopes"
TENANT = "office"
CHUNK_POINTS = ((200, 10), (100, 10), (120, 50), (40, 200), (20, 500))
"""Calls, and items of each."""
SINGLE_POINTS = (10, 20, 40)
"""Items that each of ``THREADS`` leases and completes one by one, as schedulers do."""
EMPTY_POINTS = (100, 200, 400)
"""Requests for items of a service that has none."""
THREADS = 16
JOB_SIZES = (10_000, 50_000, 130_000)
JOB_CHUNK = 500
IDLE_S = 3.0
LEASE_S = 900.0
CALL_TIMEOUT_S = 20.0
BODY = msgspec.Raw(b'{"model":"slopes","prompt":"' + b"p" * 400 + b'","max_tokens":64}')
RESPONSE = msgspec.Raw(b'{"choices":[{"text":"' + b"t" * 700 + b'","finish_reason":"length"}]}')


class OperationSlopes(msgspec.Struct, frozen=True):
    """Costs of one kind of call: processor time of leader and follower, bytes in the log."""

    leader_by: dict[str, Slope]
    follower_by: dict[str, Slope]
    log_bytes_by: dict[str, Slope]


class LogSlopes(msgspec.Struct, frozen=True):
    """Costs of the log, by second of being there, call and item.

    Attributes
    ----------
    single_leader_by, single_follower_by
        Processor time by item that is leased and completed in calls of its own, by 16
        threads at once, so that commits are shared.
    empty_leader_by
        Processor time by request for items when there are none.
    leader_memory_by, follower_memory_by
        Resident bytes by item of the files and jobs held.
    """

    accept: OperationSlopes
    lease: OperationSlopes
    complete: OperationSlopes
    single_leader_by: dict[str, Slope]
    single_follower_by: dict[str, Slope]
    empty_leader_by: dict[str, Slope]
    leader_memory_by: dict[str, Slope]
    follower_memory_by: dict[str, Slope]
    leader_resident_mb: tuple[float, ...]
    body_bytes: int
    response_bytes: int


class _Point(msgspec.Struct):
    calls: int
    items: int
    sample: Sample
    log_bytes: int


class LogMeasurement:
    """Drives the log of a cluster from outside, one call after the other."""

    def __init__(self, cluster: RoleCluster) -> None:
        self._client: JobStoreClient = cluster.store_client()
        self._roles: LogRoles = cluster.wait_for_log_roles()
        self._pids = cluster.pids()
        leader = next(node for node in cluster.log_nodes if node.name == self._roles.leader)
        self._database = Path(leader.settings["data_folder"]) / "group-0.sqlite3"
        self._leased: list[LeasedItem] = []

    def run(self) -> LogSlopes:
        """Measure accepting, leasing and completing, then memory by size of jobs."""
        idle = self._point(0, 0, lambda: time.sleep(IDLE_S))
        accepts = [self._accept(calls, size) for calls, size in CHUNK_POINTS]
        leases = [
            self._point(calls, size, lambda c=calls, s=size: self._lease(c, s))
            for calls, size in CHUNK_POINTS
        ]
        completes = [
            self._point(calls, size, lambda c=calls, s=size: self._complete(c, s))
            for calls, size in CHUNK_POINTS
        ]
        file_id = self._create_file()
        self._append(file_id, 4, JOB_CHUNK)
        self._create_job(file_id, 4, 4 * JOB_CHUNK)
        singles = [
            self._point(THREADS * n, 1, lambda n=n: self._run_singly(n)) for n in SINGLE_POINTS
        ]
        empties = [self._point(n, 0, lambda n=n: self._ask_in_vain(n)) for n in EMPTY_POINTS]
        sizes, leader_bytes, follower_bytes = self._grow()
        columns = {"process": [1.0] * len(sizes), "item": sizes}
        return LogSlopes(
            accept=self._slopes([idle, *accepts]),
            lease=self._slopes([idle, *leases]),
            complete=self._slopes([idle, *completes]),
            single_leader_by=self._by_call([idle, *singles], (self._roles.leader,)),
            single_follower_by=self._by_call([idle, *singles], self._roles.followers),
            empty_leader_by=self._by_call([idle, *empties], (self._roles.leader,)),
            leader_memory_by=fit_slopes(columns, leader_bytes, "bytes"),
            follower_memory_by=fit_slopes(columns, follower_bytes, "bytes"),
            leader_resident_mb=tuple(round(size / 1e6, 1) for size in leader_bytes),
            body_bytes=len(bytes(BODY)),
            response_bytes=len(bytes(RESPONSE)),
        )

    def _slopes(self, points: list[_Point]) -> OperationSlopes:
        work = {
            "call": [point.calls for point in points],
            "item": [point.items for point in points],
        }
        columns = {"second": [point.sample.wall_s for point in points], **work}
        leader = _mean_cpu_s(points, (self._roles.leader,))
        follower = _mean_cpu_s(points, self._roles.followers)
        return OperationSlopes(
            leader_by=fit_slopes(columns, leader, "us", MICRO),
            follower_by=fit_slopes(columns, follower, "us", MICRO),
            log_bytes_by=fit_slopes(work, [point.log_bytes for point in points], "bytes"),
        )

    def _by_call(self, points: list[_Point], nodes: tuple[str, ...]) -> dict[str, Slope]:
        columns = {
            "second": [point.sample.wall_s for point in points],
            "call": [point.calls for point in points],
        }
        return fit_slopes(columns, _mean_cpu_s(points, nodes), "us", MICRO)

    def _point(self, calls: int, size: int, work: Callable[[], object]) -> _Point:
        before = self._last_index()
        sample = measure_window(self._pids, work)
        return _Point(calls, calls * size, sample, self._log_bytes_after(before))

    def _accept(self, calls: int, size: int) -> _Point:
        file_id = self._create_file()
        point = self._point(calls, size, lambda: self._append(file_id, calls, size))
        self._create_job(file_id, calls, calls * size)
        return point

    def _grow(self) -> tuple[list[int], list[int], list[float]]:
        """Add jobs, and return items held with the memory of leader and followers."""
        held = sum(calls * size for calls, size in CHUNK_POINTS)
        sizes, leader, follower = [], [], []
        for size in (0, *JOB_SIZES):
            if size:
                file_id = self._create_file()
                self._append(file_id, size // JOB_CHUNK, JOB_CHUNK)
                self._create_job(file_id, size // JOB_CHUNK, size)
            held += size
            sizes.append(held)
            leader.append(resident_bytes(self._pids[self._roles.leader]))
            followers = [resident_bytes(self._pids[name]) for name in self._roles.followers]
            follower.append(sum(followers) / len(followers))
        return sizes, leader, follower

    def _create_file(self) -> str:
        file_id = f"file-0-{uuid.uuid4().hex}"
        self._call(CreateFile(0, file_id, TENANT, "items.jsonl"), Accepted)
        return file_id

    def _append(self, file_id: str, calls: int, size: int) -> None:
        for chunk in range(calls):
            first = chunk * size
            items = tuple(
                Item(index, f"item-{index}", "/v1/completions", BODY)
                for index in range(first, first + size)
            )
            self._call(AppendItems(0, file_id, chunk, items), Accepted)

    def _create_job(self, file_id: str, chunks: int, items: int) -> None:
        seal = CommitFile(0, file_id, chunks, items, items * len(bytes(BODY)), "digest")
        self._call(seal, Accepted)
        now_s = time.time()
        job_id = f"batch_0_{uuid.uuid4().hex}"
        job = CreateJob(
            0, job_id, file_id, TENANT, "/v1/completions", SERVICE, now_s, now_s + 86400
        )
        self._call(job, Accepted)

    def _lease(self, calls: int, size: int) -> None:
        for _ in range(calls):
            reply = self._call(LeaseItems(0, "bench", SERVICE, size, LEASE_S), LeasedItems)
            self._leased += reply.items

    def _complete(self, calls: int, size: int) -> None:
        for _ in range(calls):
            ended, self._leased = self._leased[:size], self._leased[size:]
            completions = tuple(ItemCompletion(_ref(one), 200, RESPONSE) for one in ended)
            self._call(CompleteItems(0, "bench", completions), CompletedItems)

    def _run_singly(self, items: int) -> None:
        """Lease and complete items one by one from many threads."""

        def run() -> None:
            for _ in range(items):
                message = LeaseItems(0, "bench", SERVICE, 1, LEASE_S)
                leased = self._call(message, LeasedItems).items[0]
                ended = (ItemCompletion(_ref(leased), 200, RESPONSE),)
                self._call(CompleteItems(0, "bench", ended), CompletedItems)

        with ThreadPoolExecutor(THREADS) as threads:
            for future in [threads.submit(run) for _ in range(THREADS)]:
                future.result()

    def _ask_in_vain(self, calls: int) -> None:
        for _ in range(calls):
            self._call(LeaseItems(0, "bench", "no-such-service", 1, LEASE_S), LeasedItems)

    def _call(self, message: PeerMessage, reply_type: type) -> PeerMessage:
        reply = self._client.call(message, reply_type, CALL_TIMEOUT_S)
        if not isinstance(reply, reply_type):
            raise RuntimeError(f"{type(message).__name__} was answered by {reply}")
        return reply

    def _last_index(self) -> int:
        return self._query("SELECT coalesce(max(log_index), 0) FROM log")

    def _log_bytes_after(self, index: int) -> int:
        return self._query(
            f"SELECT coalesce(sum(length(command)), 0) FROM log WHERE log_index > {index}"
        )

    def _query(self, statement: str) -> int:
        connection = sqlite3.connect(f"file:{self._database}?mode=ro", uri=True)
        try:
            return connection.execute(statement).fetchone()[0]
        finally:
            connection.close()


def _mean_cpu_s(points: list[_Point], nodes: tuple[str, ...]) -> list[float]:
    return [sum(point.sample.cpu_s[name] for name in nodes) / len(nodes) for point in points]


def _ref(leased: LeasedItem) -> ItemRef:
    return ItemRef(leased.job_id, leased.item.index, leased.attempt)
