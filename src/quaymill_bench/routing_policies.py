"""Ways to choose a replica, the product's router among them, over one view of the replicas."""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from quaymill.connection.load_messages import LoadReport
from quaymill.connection.member import Machine, MachineRole
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.replicas.replica import ReplicaView
from quaymill.process.replicas.router import Router
from quaymill.process.settings import NodeSettings
from quaymill.version.configuration import ServingConfiguration
from quaymill_bench.cluster import endpoint_of
from quaymill_bench.cluster_members import StandIn
from quaymill_bench.cluster_shape import MODEL, REGION

POLL_INTERVAL_S = 0.25


class Policy(Protocol):
    """Chooses the replica for one request."""

    def choose(self, prefix_key: str) -> ReplicaView:
        """Return the replica to send to."""


class GatewayView:
    """What one gateway knows of the engines: their reports, and its own requests."""

    def __init__(self, engines: Iterable[StandIn]) -> None:
        self.replicas = tuple(ReplicaView(_machine(engine)) for engine in engines)

    def offer(self, reports: list[LoadReport]) -> None:
        """Take over one report for each replica, in the same order."""
        for replica, report in zip(self.replicas, reports, strict=True):
            replica.offer_report(report)


class ReportPoller:
    """Polls the engines as a scheduler's node does and hands the reports to all gateways."""

    def __init__(self, engines: list[StandIn], views: list[GatewayView]) -> None:
        self._engines = engines
        self._views = views
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="poll", daemon=True)

    def start(self) -> None:
        """Begin to poll."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(POLL_INTERVAL_S):
            reports = [_report(engine) for engine in self._engines]
            for view in self._views:
                view.offer(reports)


class RandomChoice:
    """Any replica."""

    def __init__(self, view: GatewayView, seed: int) -> None:
        self._view = view
        self._random = random.Random(seed)

    def choose(self, prefix_key: str) -> ReplicaView:
        """Return the replica to send to."""
        return self._random.choice(self._view.replicas)


class RoundRobin:
    """Each replica in turn; the gateways begin at different ones."""

    def __init__(self, view: GatewayView, seed: int) -> None:
        self._turns = itertools.cycle(view.replicas)
        for _ in range(seed % len(view.replicas)):
            next(self._turns)
        self._lock = threading.Lock()

    def choose(self, prefix_key: str) -> ReplicaView:
        """Return the replica to send to."""
        with self._lock:
            return next(self._turns)


class LeastReported:
    """The replica with the lowest load by its last report, any of several."""

    def __init__(self, view: GatewayView, seed: int) -> None:
        self._view = view
        self._random = random.Random(seed)

    def choose(self, prefix_key: str) -> ReplicaView:
        """Return the replica to send to."""
        return min(self._view.replicas, key=lambda one: (_reported(one), self._random.random()))


class ProductRouter:
    """The product's router, with or without its affinity for prompt prefixes."""

    def __init__(
        self,
        view: GatewayView,
        seed: int,
        configuration: ServingConfiguration,
        affinity: bool,
    ) -> None:
        holder = ConfigurationHolder()
        holder.offer(configuration)
        settings = NodeSettings("gateway", "zone-a", REGION, "127.0.0.1", 1, 1, "127.0.0.1:1")
        self._router = Router(_ReplicasOf(view), holder, settings, seed)
        self._affinity = affinity

    def choose(self, prefix_key: str) -> ReplicaView:
        """Return the replica to send to."""
        return self._router.choose(MODEL, prefix_key if self._affinity else "")


class _ReplicasOf:
    """The part of ``LoadView`` that the router uses."""

    def __init__(self, view: GatewayView) -> None:
        self._view = view

    def replicas(self, service: str) -> tuple[ReplicaView, ...]:
        return self._view.replicas


PolicyMaker = Callable[[GatewayView, int], Policy]


def policy_makers(configuration: ServingConfiguration) -> dict[str, PolicyMaker]:
    """Return the policies to compare, by name."""
    return {
        "chosen": lambda view, seed: ProductRouter(view, seed, configuration, affinity=True),
        "without_affinity": lambda view, seed: ProductRouter(
            view, seed, configuration, affinity=False
        ),
        "random": RandomChoice,
        "round_robin": RoundRobin,
        "least_reported": LeastReported,
    }


class _EngineReport(msgspec.Struct):
    running: int
    waiting: int
    batch_running: int
    slots: int
    draining: bool
    age_s: float


def _report(engine: StandIn) -> LoadReport:
    asked_at = time.monotonic()
    answer = engine.caller.request("GET", "/load", timeout_s=1.0)
    report = msgspec.json.decode(answer.body, type=_EngineReport)
    return LoadReport(
        replica=engine.name,
        age_s=report.age_s + time.monotonic() - asked_at,
        running=report.running,
        waiting=report.waiting,
        batch_running=report.batch_running,
        slots=report.slots,
        draining=report.draining,
    )


def _reported(replica: ReplicaView) -> int:
    report = replica.report()
    return 0 if report is None else report.running + report.waiting


def _machine(engine: StandIn) -> Machine:
    return Machine(
        engine.name, MachineRole.ENGINE, engine.zone, endpoint_of(engine), engine.service
    )
