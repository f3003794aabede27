"""Brings the faults of a schedule about in a local cluster, and heals it afterwards."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_members import Node, StandIn
from quaymill_bench.fault_schedule import FaultEvent, FaultKind, RoundSchedule
from quaymill_bench.history import History
from quaymill_bench.processes import ConditionNotMetError, ManagedProcess

STOP_TIMEOUT_S = 20.0
STACKS_DELAY_S = 0.5

SWITCHES = {
    FaultKind.ENGINE_LOST_ANSWERS: {"lose_answer_probability": 0.5},
    FaultKind.ENGINE_TRUNCATED: {"truncate_probability": 0.5},
    FaultKind.ENGINE_CROSSED: {"cross_probability": 0.5},
    FaultKind.ENGINE_SLOW: {"slow_factor": 10.0},
    FaultKind.ENGINE_REFUSING: {"refuse": True},
    FaultKind.ENGINE_LIES: {"load_lies": "zero"},
    FaultKind.APPLICATION_LOST_ANSWERS: {"lose_answer_probability": 0.5},
    FaultKind.APPLICATION_FROZEN: {"freeze": True},
    FaultKind.APPLICATION_DOWN: {"down": True},
    FaultKind.APPLICATION_DROPS: {"drop_probability": 0.5},
    FaultKind.PLATFORM_DOWN: {"down": True},
    FaultKind.PLATFORM_FROZEN: {"freeze": True},
    FaultKind.PLATFORM_LOST_ANSWERS: {"lose_answer_probability": 0.5},
    FaultKind.PLATFORM_WATCH_SILENT: {"watch_silent": True},
}


class FaultInjector:
    """Runs one schedule beside a workload.

    Parameters
    ----------
    before_engine_kill
        Called with an engine that is about to be killed, whose journal dies with it.
    """

    def __init__(
        self,
        cluster: LocalCluster,
        schedule: RoundSchedule,
        history: History,
        before_engine_kill: Callable[[StandIn], None],
    ) -> None:
        self._cluster = cluster
        self._schedule = schedule
        self._history = history
        self._before_engine_kill = before_engine_kill
        self._threads: list[threading.Thread] = []
        self.failures: list[str] = []

    def start(self, begin_at: float) -> None:
        """Start one thread for each fault; times count from ``begin_at`` (monotonic)."""
        for event in self._schedule.events:
            thread = threading.Thread(
                target=self._run_event, args=(event, begin_at), name=event.kind, daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def wait(self) -> None:
        """Wait until each fault was brought about and taken back."""
        for thread in self._threads:
            thread.join()

    def _run_event(self, event: FaultEvent, begin_at: float) -> None:
        time.sleep(max(begin_at + event.start_s - time.monotonic(), 0.0))
        self._history.write("fault_begins", fault=event)
        try:
            self._apply(event)
        except (RuntimeError, ConditionNotMetError) as error:
            self.failures.append(f"{event.kind}: {error}")
            self._history.write("fault_failed", fault=event, error=str(error))
        self._history.write("fault_ends", fault=event)

    def _apply(self, event: FaultEvent) -> None:
        family = event.kind.split("_")[0]
        if event.kind in SWITCHES:
            self._switch(self._stand_in(family, event.target), event)
        elif family == "node":
            self._hit_node(self._pick(self._cluster.nodes, event.target), event)
        elif family == "zone":
            self._cut_zone(event)
        else:
            self._hit_engine(self._pick(self._cluster.engines, event.target), event)

    def _switch(self, stand_in: StandIn, event: FaultEvent) -> None:
        stand_in.set_faults(**SWITCHES[event.kind], seed=self._schedule.round_number)
        time.sleep(event.duration_s)
        stand_in.set_faults()

    def _hit_node(self, node: Node, event: FaultEvent) -> None:
        process = node.process
        if event.kind == FaultKind.NODE_FROZEN:
            process.freeze()
            time.sleep(event.duration_s)
            process.thaw()
            return
        if event.kind == FaultKind.NODE_STOPPED:
            self._stop_in_order(process)
        else:
            process.kill()
        if event.kind == FaultKind.NODE_WIPED:
            node.wipe_data()
        time.sleep(event.duration_s)
        process.start()

    def _stop_in_order(self, process: ManagedProcess) -> None:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except ConditionNotMetError:
            process.print_stacks()
            time.sleep(STACKS_DELAY_S)
            process.kill()
            process.start()
            raise

    def _cut_zone(self, event: FaultEvent) -> None:
        zones = self._cluster.shape.zones
        zone = zones[event.target % len(zones)]
        one_way = event.kind == FaultKind.ZONE_CUT_ONE_WAY
        self._cluster.cut_zone(zone, one_way=one_way)
        time.sleep(event.duration_s)
        self._cluster.heal_links()

    def _hit_engine(self, engine: StandIn, event: FaultEvent) -> None:
        if event.kind == FaultKind.ENGINE_FROZEN:
            engine.process.freeze()
            time.sleep(event.duration_s)
            engine.process.thaw()
            return
        self._before_engine_kill(engine)
        engine.process.kill()
        time.sleep(event.duration_s)
        engine.process.start()

    def _stand_in(self, family: str, target: int) -> StandIn:
        if family == "platform":
            return self._cluster.platform
        group = self._cluster.engines if family == "engine" else self._cluster.applications
        return self._pick(group, target)

    @staticmethod
    def _pick(group: list, target: int) -> Node | StandIn:
        return group[target % len(group)]
