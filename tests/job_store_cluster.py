"""Three disk nodes in one process over loopback, with links to cut and disks to wipe."""

from __future__ import annotations

import shutil
import tempfile
import time
import unittest
import uuid
from collections.abc import Callable
from pathlib import Path

import msgspec

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.job_messages import (
    Accepted,
    AppendItems,
    CommitFile,
    CompletedItems,
    CompleteItems,
    CompletionVerdict,
    CreateFile,
    CreateJob,
    GetJob,
    Item,
    ItemCompletion,
    ItemRef,
    JobRecord,
    JobState,
    LeasedItem,
    LeasedItems,
    LeaseItems,
    ReadResults,
    ResultPage,
)
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.job_store.client import JobStoreClient
from quaymill.process.job_store.group import Group
from quaymill.process.job_store.replica import Role
from quaymill.process.job_store.schema import STATE_TABLES
from quaymill.process.job_store.service import JobStoreService
from quaymill.process.settings import LogSettings, NodeSettings
from quaymill.version.configuration import Tuning

DEADLINE_S = 15.0
TEST_TIMING = LogSettings(heartbeat_s=0.04, election_timeout_s=0.3)
SERVICE = "drafting"


def wait_until(condition: Callable[[], object], what: str, deadline_s: float = DEADLINE_S):
    """Poll until ``condition`` holds, and return its value."""
    end = time.monotonic() + deadline_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise AssertionError(f"not within {deadline_s} s: {what}")


class FakeObject(msgspec.Struct):
    """An object as the platform's client returns it."""

    spec: msgspec.Raw


class FakePlatform:
    """Objects by name, created once; answers nothing while ``down``."""

    def __init__(self) -> None:
        self.down = False
        self.objects: dict[str, bytes] = {}

    def get(self, plural, name):
        found = self.objects.get(name)
        return FakeObject(msgspec.Raw(found)) if found and not self.down else None

    def create(self, plural, name, spec):
        if not self.down:
            self.objects.setdefault(name, msgspec.json.encode(spec))


class FakeMembership:
    """Every node sees the same members."""

    def __init__(self) -> None:
        self.by_name: dict[str, Member] = {}

    def live(self):
        return tuple(self.by_name.values())

    members = live


class ClusterNode:
    """One disk node: a server, a client with its own link filter, and the service."""

    def __init__(self, cluster: Cluster, name: str, zone: str) -> None:
        self.cluster = cluster
        self.name = name
        self.zone = zone
        self.folder = cluster.folder / name
        self.links = LinkFilter()
        self.service: JobStoreService | None = None
        self.endpoint = Endpoint("127.0.0.1", 0)
        self.start()

    def start(self) -> None:
        self.server = PeerServer(self.endpoint)
        self.endpoint = self.server.endpoint
        self.settings = NodeSettings(
            name=self.name,
            zone=self.zone,
            region="r",
            address="127.0.0.1",
            http_port=1,
            peer_port=self.endpoint.port,
            platform="127.0.0.1:1",
            data_folder=str(self.folder),
            log=self.cluster.log_settings,
        )
        self.client = PeerClient(self.links)
        self.service = JobStoreService(
            self.settings,
            self.server,
            self.client,
            self.cluster.platform,
            self.cluster.membership,
            lambda: self.cluster.tuning,
        )
        self.server.start()
        self.service.start()
        self.cluster.membership.by_name[self.name] = Member(
            self.name, self.zone, "r", self.endpoint, self.endpoint, has_disk=True
        )

    def stop(self) -> None:
        """Stop as a kill does: connections break and nothing is handed over."""
        if self.service is None:
            return
        self.server.stop()
        self.service.stop()
        self.client.close()
        self.service = None

    def wipe(self) -> None:
        shutil.rmtree(self.folder)

    @property
    def running(self) -> bool:
        return self.service is not None

    @property
    def group(self) -> Group:
        return self.service.groups[0]

    @property
    def leads(self) -> bool:
        return self.running and self.group.replica.role is Role.LEADER


class Cluster:
    """Nodes a, b and c in three zones, with shorter timings than in production."""

    def __init__(
        self,
        names: str = "abc",
        zones: str = "xyz",
        log_settings: LogSettings = TEST_TIMING,
        platform_down: bool = False,
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="job-store-"))
        self.log_settings = log_settings
        self.platform = FakePlatform()
        self.platform.down = platform_down
        self.membership = FakeMembership()
        self.tuning = Tuning()
        self.nodes = {
            name: ClusterNode(self, name, zone) for name, zone in zip(names, zones, strict=True)
        }
        self.client = self.new_client()

    def new_client(self) -> JobStoreClient:
        settings = next(iter(self.nodes.values())).settings
        return JobStoreClient(settings, self.membership, PeerClient(LinkFilter()))

    def close(self) -> None:
        for node in self.nodes.values():
            node.stop()
        shutil.rmtree(self.folder)

    def leader(self) -> ClusterNode:
        """Wait for a leader whose term has begun."""

        def ready():
            leaders = [node for node in self.nodes.values() if node.leads]
            replicas = [node.group.replica for node in leaders]
            if len(leaders) == 1 and replicas[0].commit_index >= replicas[0].term_start_index:
                return leaders[0]
            return None

        return wait_until(ready, "one leader")

    def followers(self) -> list[ClusterNode]:
        leader = self.leader()
        return [node for node in self.nodes.values() if node is not leader and node.running]

    def cut(self, *names: str) -> None:
        """Cut the named nodes from the others, in both directions; no name heals all."""
        inside = {self.nodes[name].endpoint for name in names}
        for node in self.nodes.values():
            others = {other.endpoint for other in self.nodes.values()}
            blocked = others - inside if node.endpoint in inside else inside
            node.links.set_blocked(frozenset(blocked) if names else frozenset())


class Caller:
    """What gateways and schedulers ask of the store, with ids filled in."""

    def __init__(self, client: JobStoreClient, timeout_s: float = DEADLINE_S) -> None:
        self.client = client
        self.timeout_s = timeout_s

    def ask(self, message, reply_type):
        return self.client.call(message, reply_type, self.timeout_s)

    def upload(self, count: int, tenant: str = "t", chunk: int = 50, key: str = "") -> str:
        """Store a sealed file of ``count`` items and return its id."""
        file_id = f"file-0-{uuid.uuid4().hex}"
        file_id = self.ask(CreateFile(0, file_id, tenant, "items", key), Accepted).id
        chunks = range(0, count, chunk)
        for number, first in enumerate(chunks):
            items = tuple(item(n) for n in range(first, min(first + chunk, count)))
            self.ask(AppendItems(0, file_id, number, items), Accepted)
        seal = CommitFile(0, file_id, len(chunks), count, 10 * count, f"digest-{count}")
        assert isinstance(self.ask(seal, Accepted), Accepted)
        return file_id

    def job(self, count: int, tenant: str = "t", deadline_unix_s: float = 1e10) -> str:
        """Start a job of ``count`` items and return its id."""
        file_id = self.upload(count, tenant)
        job_id = f"batch_0_{uuid.uuid4().hex}"
        create = create_job(job_id, file_id, tenant=tenant, deadline_unix_s=deadline_unix_s)
        return self.ask(create, Accepted).id

    def lease(self, count: int, worker: str = "w", lease_s: float = 30.0) -> list[LeasedItem]:
        reply = self.ask(LeaseItems(0, worker, SERVICE, count, lease_s), LeasedItems)
        return list(reply.items)

    def complete(self, leased: list[LeasedItem], text: str = "done") -> tuple:
        completions = tuple(completion(x, text) for x in leased)
        return self.ask(CompleteItems(0, "w", completions), CompletedItems).verdicts

    def record(self, job_id: str) -> JobRecord:
        return self.ask(GetJob(0, job_id), JobRecord)


def item(index: int) -> Item:
    return Item(index, f"id-{index}", "/v1/completions", msgspec.Raw(b'{"prompt":"p"}'))


def ref(leased: LeasedItem) -> ItemRef:
    return ItemRef(leased.job_id, leased.item.index, leased.attempt)


def completion(
    leased: LeasedItem, text: str = "done", status: int = 200, retryable: bool = False
) -> ItemCompletion:
    response = msgspec.Raw(msgspec.json.encode(text))
    return ItemCompletion(ref(leased), status, response, retryable)


def create_job(job_id: str, file_id: str, **changes) -> CreateJob:
    fields = {"tenant": "t", "deadline_unix_s": 1e10, **changes}
    return CreateJob(
        group=0,
        job_id=job_id,
        file_id=file_id,
        endpoint="/v1/completions",
        service=SERVICE,
        created_unix_s=1.0,
        **fields,
    )


def state_of(node):
    """Return the rows of all state tables of a node."""
    storage = node.group.replica.storage
    with storage.lock:
        return {
            table.name: storage.connection.execute(
                f"SELECT * FROM {table.name} ORDER BY 1, 2"
            ).fetchall()
            for table in STATE_TABLES
        }


def wait_for_same_state(test, cluster):
    leader = cluster.leader()
    for node in cluster.followers():
        wait_until(
            lambda node=node: (
                node.group.replica.applied_index == leader.group.replica.applied_index
            ),
            "every replica applies all entries",
        )
        test.assertEqual(state_of(leader), state_of(node))


class ClusterCase(unittest.TestCase):
    """A new cluster for each test."""

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.caller = Caller(self.cluster.client)

    def finish(self, job_id, total):
        """Run a job to its end and check that each item ended once."""
        while leased := self.caller.lease(20):
            verdicts = set(self.caller.complete(leased))
            self.assertEqual({CompletionVerdict.RECORDED}, verdicts)
        record = self.caller.record(job_id)
        self.assertEqual((JobState.COMPLETED, total), (record.state, record.completed))
        page = self.caller.ask(ReadResults(0, job_id, -1, 1000), ResultPage)
        self.assertEqual(list(range(total)), [result.index for result in page.results])
