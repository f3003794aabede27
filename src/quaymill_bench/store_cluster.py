"""Three disk nodes of the job store as processes, and a caller that fills in ids."""

from __future__ import annotations

import shutil
import sys
import tempfile
import uuid
from pathlib import Path

import msgspec

from quaymill.connection import job_messages as m
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.peer_link import PeerClient, PeerMessage
from quaymill.process.job_store.client import JobStoreClient
from quaymill_bench.ports import free_ports
from quaymill_bench.processes import ManagedProcess, wait_until
from quaymill_bench.store_node import StaticMembership, node_settings

START_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 30.0
DIRECT_TIMEOUT_S = 1.0
NAMES = ("a", "b", "c")
TENANT = "tenant"
SERVICE = "service"
FAR_DEADLINE_UNIX_S = 4e9


class StoreCluster:
    """Starts, watches and ends the three nodes; use as a context."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="quaymill-store-"))
        self._ports = dict(zip(NAMES, free_ports(len(NAMES)), strict=True))
        self._membership = StaticMembership(self._ports)
        self._client = PeerClient(LinkFilter())
        nodes = [f"{name}:{port}" for name, port in self._ports.items()]
        self.processes = {
            name: ManagedProcess(
                name,
                [
                    sys.executable,
                    "-m",
                    "quaymill_bench.store_node",
                    name,
                    str(self.folder),
                    *nodes,
                ],
                self.folder / f"{name}.log",
            )
            for name in NAMES
        }

    def __enter__(self) -> StoreCluster:
        for process in self.processes.values():
            process.start()
        wait_until(lambda: self.leader() is not None, START_TIMEOUT_S, "a leader")
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.kill()
        shutil.rmtree(self.folder)

    def leader(self) -> str | None:
        """Return the name of the node that leads, as only a leader answers a read."""
        question = m.ListJobs(0, TENANT, 1)
        answers = m.JobList | m.NotLeader | m.StoreUnavailable
        for name, port in self._ports.items():
            endpoint = Endpoint("127.0.0.1", port)
            answer = self._client.call(endpoint, question, answers, DIRECT_TIMEOUT_S)
            if isinstance(answer, m.JobList):
                return name
        return None

    def new_caller(self) -> StoreCaller:
        """Return a caller with connections of its own."""
        settings = node_settings("a", self._ports["a"], self.folder)
        return StoreCaller(JobStoreClient(settings, self._membership, PeerClient(LinkFilter())))


class StoreCaller:
    """Asks the store what gateways and batch schedulers ask."""

    def __init__(self, client: JobStoreClient) -> None:
        self._client = client

    def ask(
        self, message: PeerMessage, reply_type: type, timeout_s: float = CALL_TIMEOUT_S
    ) -> PeerMessage:
        """Send a message; raises ``RuntimeError`` if it is not answered as expected."""
        answer = self._client.call(message, reply_type, timeout_s)
        if not isinstance(answer, reply_type):
            raise RuntimeError(f"{type(message).__name__}: {answer}")
        return answer

    def write_probe(self) -> None:
        """Commit one small entry."""
        self.ask(m.CreateFile(0, f"probe-{uuid.uuid4().hex}", TENANT, "probe"), m.Accepted)

    def upload(self, chunks: list[tuple[m.Item, ...]]) -> str:
        """Store and seal a file; return its id."""
        file_id = f"file-0-{uuid.uuid4().hex}"
        self.ask(m.CreateFile(0, file_id, TENANT, "items"), m.Accepted)
        for number, items in enumerate(chunks):
            self.ask(m.AppendItems(0, file_id, number, items), m.Accepted)
        count = sum(len(items) for items in chunks)
        seal = m.CommitFile(0, file_id, len(chunks), count, count, file_id)
        self.ask(seal, m.Accepted)
        return file_id

    def start_job(self, file_id: str) -> str:
        """Start a job over a file; return its id."""
        job_id = f"batch_0_{uuid.uuid4().hex}"
        self.ask(create_job(job_id, file_id), m.Accepted)
        return job_id

    def lease(self, worker: str, count: int) -> tuple[m.LeasedItem, ...]:
        """Lease items for a minute."""
        return self.ask(m.LeaseItems(0, worker, SERVICE, count, 60.0), m.LeasedItems).items

    def complete(self, worker: str, leased: tuple[m.LeasedItem, ...]) -> int:
        """Report items as done; return how many were recorded."""
        verdicts = self.ask(complete_items(worker, leased), m.CompletedItems).verdicts
        return verdicts.count(m.CompletionVerdict.RECORDED)


def make_chunks(count: int, chunk_size: int, item_bytes: int) -> list[tuple[m.Item, ...]]:
    """Return ``count`` items with bodies of about ``item_bytes``, in chunks."""
    body = msgspec.Raw(msgspec.json.encode({"prompt": "x" * item_bytes}))
    return [
        tuple(
            m.Item(index, f"item-{index}", "/v1/completions", body)
            for index in range(first, min(first + chunk_size, count))
        )
        for first in range(0, count, chunk_size)
    ]


def create_job(job_id: str, file_id: str) -> m.CreateJob:
    """Return the message that starts a job."""
    return m.CreateJob(
        group=0,
        job_id=job_id,
        file_id=file_id,
        tenant=TENANT,
        endpoint="/v1/completions",
        service=SERVICE,
        created_unix_s=0.0,
        deadline_unix_s=FAR_DEADLINE_UNIX_S,
    )


def complete_items(worker: str, leased: tuple[m.LeasedItem, ...]) -> m.CompleteItems:
    """Return the message that reports items as done, with answers as long as their bodies."""
    return m.CompleteItems(
        group=0,
        worker=worker,
        completions=tuple(
            m.ItemCompletion(m.ItemRef(x.job_id, x.item.index, x.attempt), 200, x.item.body)
            for x in leased
        ),
    )
