"""Small stand-ins of the parts around the batch schedulers, for tests."""

from __future__ import annotations

import threading
import time
import unittest
from collections.abc import Callable

import msgspec
import urllib3

from quaymill.connection.call_record_messages import (
    AbandonCall,
    BeginCall,
    CallRecord,
    CallState,
    FinishCall,
)
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.job_messages import (
    Accepted,
    CompletedItems,
    CompleteItems,
    CompletionVerdict,
    Item,
    ItemCompletion,
    LeasedItem,
    LeasedItems,
    LeaseItems,
    RenewedLeases,
    RenewLeases,
    ReturnItems,
)
from quaymill.connection.load_messages import LoadReport, Noted, OnlineStarts
from quaymill.connection.member import Machine, MachineRole
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.replica_connection import ReplicaConnections
from quaymill.process.batch.scheduler import BatchSchedulers
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.gateway.at_most_once import AtMostOnceCalls
from quaymill.process.replicas.replica_poller import poll_replica
from quaymill.process.settings import BatchSettings, NodeSettings
from quaymill.request.outcome import NotRun
from quaymill.version.configuration import (
    Route,
    Service,
    ServiceKind,
    ServingConfiguration,
    Tuning,
    ZoneGroup,
)
from quaymill_standins import text
from quaymill_standins.engine import Engine, EngineSettings

STEP_MS = 4.0
ITEMS = 24
TOKENS = 20
JOB_ID = "batch_0_test"
MODEL = "model"
APPLICATION = "filing"
ZONE = "zone-a"
_connections = ReplicaConnections(LinkFilter())


def wait_until(condition: Callable[[], object], timeout_s: float = 15.0) -> None:
    """Poll until ``condition`` holds; fails the test at the deadline."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f"condition not met within {timeout_s} s")
        time.sleep(0.005)


def model_items(count: int, max_tokens: int = 20) -> list[Item]:
    """Return items that ask the model for ``max_tokens`` tokens each."""
    return [
        Item(
            index,
            f"item-{index}",
            "/v1/completions",
            msgspec.Raw(
                msgspec.json.encode(
                    {"model": MODEL, "prompt": f"prompt {index}", "max_tokens": max_tokens}
                )
            ),
        )
        for index in range(count)
    ]


def application_items(count: int) -> list[Item]:
    """Return items that call the application."""
    return [
        Item(index, f"item-{index}", f"/services/{APPLICATION}/file/{index}", msgspec.Raw(b"{}"))
        for index in range(count)
    ]


class MemoryJobStore:
    """One job in memory, answering the messages of leases and calls at once."""

    def __init__(self, items: list[Item], lease_s: float | None = None) -> None:
        self.items = items
        self.results: dict[int, ItemCompletion] = {}
        self.late: list[ItemCompletion] = []
        self.retries: list[ItemCompletion] = []
        self.returned: list[int] = []
        self.calls: dict[str, CallRecord] = {}
        self.messages: list[type] = []
        self.down = False
        self.lose_answers: set[type] = set()
        self.cancelled = False
        self._lease_s = lease_s
        self._attempts = [0] * len(items)
        self._lapses_s = [0.0] * len(items)
        self._lock = threading.Lock()
        self._answers = {
            LeaseItems: self._lease,
            RenewLeases: self._renew,
            CompleteItems: self._complete,
            ReturnItems: self._give_back,
            BeginCall: self._begin,
            FinishCall: self._finish,
            AbandonCall: self._abandon,
        }

    def call(self, message, reply_type, timeout_s):
        """Answer like ``JobStoreClient.call``."""
        if self.down:
            return NotRun(503, "the store is down", "wait", 1.0)
        with self._lock:
            self.messages.append(type(message))
            reply = self._answers[type(message)](message)
        if type(message) in self.lose_answers:
            self.lose_answers.discard(type(message))
            return NotRun(503, "the answer was lost", "ask again", 1.0)
        return reply

    def group_of(self, key: str) -> int:
        """Return the only group."""
        return 0

    def lapse(self, index: int) -> None:
        """End the lease of an item."""
        with self._lock:
            self._lapses_s[index] = 0.0

    def held(self) -> int:
        """Return how many items are on lease."""
        now_s = time.monotonic()
        return sum(lapse_s > now_s for lapse_s in self._lapses_s)

    def _lease(self, message: LeaseItems) -> LeasedItems:
        now_s = time.monotonic()
        leased = []
        for item in [] if self.cancelled else self.items:
            free = item.index not in self.results and self._lapses_s[item.index] <= now_s
            if free and len(leased) < message.count:
                self._attempts[item.index] += 1
                self._lapses_s[item.index] = now_s + (self._lease_s or message.lease_s)
                leased.append(LeasedItem(JOB_ID, "tenant", self._attempts[item.index], item))
        return LeasedItems(tuple(leased))

    def _renew(self, message: RenewLeases) -> RenewedLeases:
        stop = []
        for ref in message.items:
            if self.cancelled or ref.attempt != self._attempts[ref.index]:
                stop.append(ref)
            else:
                self._lapses_s[ref.index] = time.monotonic() + message.lease_s
        return RenewedLeases(tuple(stop))

    def _complete(self, message: CompleteItems) -> CompletedItems:
        return CompletedItems(tuple(self._verdict(done) for done in message.completions))

    def _verdict(self, completion: ItemCompletion) -> CompletionVerdict:
        index = completion.ref.index
        if self.cancelled:
            return CompletionVerdict.JOB_CANCELLED
        if index in self.results:
            self.late.append(completion)
            return CompletionVerdict.ALREADY_COMPLETE
        self._lapses_s[index] = 0.0
        if completion.retryable:
            self.retries.append(completion)
            return CompletionVerdict.RETRY_LATER
        self.results[index] = completion
        return CompletionVerdict.RECORDED

    def _give_back(self, message: ReturnItems) -> Accepted:
        for ref in message.items:
            self.returned.append(ref.index)
            if ref.attempt == self._attempts[ref.index]:
                self._lapses_s[ref.index] = 0.0
        return Accepted()

    def _begin(self, message: BeginCall) -> CallRecord:
        record = self.calls.get(message.key)
        if record is None or (
            record.state == CallState.BEGUN and record.attempt == message.attempt
        ):
            self.calls[message.key] = CallRecord(CallState.BEGUN, message.attempt, message.node)
            return CallRecord(CallState.NEW, message.attempt, message.node)
        return record

    def _finish(self, message: FinishCall) -> Accepted:
        node = self.calls[message.key].node
        self.calls[message.key] = CallRecord(
            CallState.FINISHED, message.attempt, node, message.answer
        )
        return Accepted()

    def _abandon(self, message: AbandonCall) -> Accepted:
        record = self.calls.get(message.key)
        if record is not None and record.attempt == message.attempt:
            del self.calls[message.key]
        return Accepted()


class PolledView:
    """A replica's view that asks the replica for its load each time."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.name = machine.name
        self.draining = False
        self.ejected = False

    def report(self) -> LoadReport | None:
        """Return what the replica says now; ``None`` if it says nothing."""
        report = poll_replica(_connections, self)
        return report if report is not None and report.reachable else None


class FixedLoadView:
    """The part of ``LoadView`` that schedulers use."""

    def __init__(self, views: list[PolledView]) -> None:
        self.views = views

    def scheduled_here(self) -> tuple[PolledView, ...]:
        """Return the views given."""
        return tuple(self.views)


class NoMembers:
    """A membership in which every other node is dead."""

    def live(self) -> tuple:
        """Return nobody."""
        return ()


def view_of(name: str, port: int, role: MachineRole = MachineRole.ENGINE) -> PolledView:
    """Return the view of a stand-in on loopback."""
    service = MODEL if role == MachineRole.ENGINE else APPLICATION
    return PolledView(Machine(name, role, ZONE, Endpoint("127.0.0.1", port), service))


def configuration(batch_limit: int = 8, reserve: int = 1, idempotent: bool = True):
    """Return a holder of a configuration with one model and one application."""
    holder = ConfigurationHolder()
    routes = {"site": Route(batch_limit=batch_limit)}
    holder.offer(
        ServingConfiguration(
            generation=1,
            zone_groups={"site": ZoneGroup((ZONE,))},
            services={
                MODEL: Service(ServiceKind.MODEL),
                APPLICATION: Service(ServiceKind.APPLICATION, idempotent),
            },
            routes={MODEL: routes, APPLICATION: routes},
            tuning=Tuning(batch_reserve=reserve),
        )
    )
    return holder


def settings(name: str = "node-1", **batch) -> NodeSettings:
    """Return the settings of a node that listens nowhere."""
    return NodeSettings(
        name=name,
        zone=ZONE,
        region="region",
        address="127.0.0.1",
        http_port=1,
        peer_port=1,
        platform="127.0.0.1:1",
        drain_timeout_s=5.0,
        batch=BatchSettings(**{"poll_interval_s": 0.02, **batch}),
    )


class Node:
    """The batch part of a node, with the stand-ins above around it."""

    def __init__(self, store, views, holder, name: str = "node-1", **batch) -> None:
        self.peer_server = PeerServer(Endpoint("127.0.0.1", 0))
        self.link_filter = LinkFilter()
        self.schedulers = BatchSchedulers(
            settings(name, **batch),
            holder,
            FixedLoadView(views),
            store,
            self.peer_server,
            self.link_filter,
            AtMostOnceCalls(
                name, store, NoMembers(), PeerClient(self.link_filter), self.peer_server
            ),
        )

    def __enter__(self) -> Node:
        self.peer_server.start()
        self.schedulers.start()
        return self

    def __exit__(self, *_) -> None:
        self.schedulers.stop()
        self.peer_server.stop()


class CutStore:
    """A node's own way to the store, which a test can cut: what a killed or frozen node has."""

    def __init__(self, store: MemoryJobStore) -> None:
        self.cut = False
        self._store = store

    def call(self, message, reply_type, timeout_s):
        """Answer like ``JobStoreClient.call``."""
        if self.cut:
            return NotRun(503, "the node is cut off", "wait", 1.0)
        return self._store.call(message, reply_type, timeout_s)

    def group_of(self, key: str) -> int:
        """Return the only group."""
        return 0


class SchedulerCase(unittest.TestCase):
    """Starts engines and nodes, and checks results against the texts that engines must give."""

    def start_engine(self, **settings) -> Engine:
        settings = {"step_ms": STEP_MS, "load_lag_s": 0.05, "slots": 8, **settings}
        engine = Engine(EngineSettings(**settings))
        engine.start()
        self.addCleanup(engine.stop)
        return engine

    def start_node(self, store, engine: Engine, holder=None, **batch) -> Node:
        node = Node(store, [view_of("engine", engine.port)], holder or configuration(), **batch)
        node.__enter__()
        self.addCleanup(node.__exit__)
        return node

    def assert_all_whole(self, store: MemoryJobStore, tokens: int = TOKENS) -> None:
        self.assertEqual(len(store.results), len(store.items))
        for index, completion in sorted(store.results.items()):
            self.assertEqual(completion.status, 200)
            answer = msgspec.json.decode(completion.response)
            expected = text.expected_text(MODEL, f"prompt {index}", tokens)
            self.assertEqual(answer["choices"][0]["text"], expected)
            self.assertEqual(answer["choices"][0]["finish_reason"], "length")
            self.assertEqual(answer["usage"]["completion_tokens"], tokens)


def runs(engine: Engine) -> list:
    return engine._scheduler.journal()


def outcomes(engine: Engine) -> list[str]:
    return [run.outcome for run in runs(engine)]


def batch_running(engine: Engine) -> int:
    return sum(run.outcome == "running" and run.priority > 0 for run in runs(engine))


def notify(node: Node, replicas: list[str]):
    client = PeerClient(LinkFilter())
    try:
        return client.call(node.peer_server.endpoint, OnlineStarts(tuple(replicas)), Noted, 2.0)
    finally:
        client.close()


def ask_online(engine: Engine, tokens: int) -> None:
    body = {"model": MODEL, "prompt": "online", "max_tokens": tokens, "priority": 0}
    urllib3.request("POST", f"http://127.0.0.1:{engine.port}/v1/completions", json=body)
