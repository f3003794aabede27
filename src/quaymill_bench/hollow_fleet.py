"""A fleet of hollow nodes in a few worker processes, with what it takes to measure it."""

from __future__ import annotations

import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill_bench.hollow import hollow_settings
from quaymill_bench.hollow_worker import (
    Answer,
    AwaitDeath,
    Command,
    DeathKnown,
    GenerationTimes,
    GetGenerationTimes,
    GetReport,
    Killed,
    KillNode,
    Report,
    StartNodes,
)
from quaymill_bench.processes import wait_until
from quaymill_bench.scale_sizes import zone_name

NODES_PER_WORKER = 16
SEEDS = 3
JOIN_TIMEOUT_S = 240.0
DEATH_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0


class _Worker:
    """One worker process; it ends when its standard input is closed."""

    def __init__(self) -> None:
        self._child = subprocess.Popen(
            [sys.executable, "-m", "quaymill_bench.hollow_worker"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def tell(self, command: Command, answer_type: type) -> Answer:
        """Send one command and wait for its answer."""
        self._child.stdin.write(msgspec.json.encode(command) + b"\n")
        self._child.stdin.flush()
        line = self._child.stdout.readline()
        if not line:
            raise RuntimeError(f"hollow worker ended with {self._child.wait()}")
        return msgspec.json.decode(line, type=answer_type)

    def end(self) -> None:
        """End the process at once."""
        self._child.kill()
        self._child.wait(STOP_TIMEOUT_S)
        self._child.stdin.close()
        self._child.stdout.close()


class HollowFleet:
    """Some hollow nodes beside the platform and the real nodes of a cluster.

    Parameters
    ----------
    seeds
        Peers to join through; the first hollow nodes themselves if there are none.
    """

    def __init__(
        self, count: int, platform_port: int, seeds: tuple[Endpoint, ...], load_view: bool = False
    ) -> None:
        self.count = count
        self._load_view = load_view
        self._settings = []
        for index in range(count):
            settings = hollow_settings(
                f"hollow-{index:04d}", zone_name(index), platform_port, seeds
            )
            self._settings.append(settings)
            if len(seeds) < SEEDS:
                seeds = (*seeds, settings.peer_endpoint)
        workers = -(-count // NODES_PER_WORKER)
        self._workers = [_Worker() for _ in range(workers)]
        self._threads = ThreadPoolExecutor(workers)

    def __enter__(self) -> HollowFleet:
        return self

    def __exit__(self, *error: object) -> None:
        self._threads.shutdown(wait=False, cancel_futures=True)
        for worker in self._workers:
            worker.end()

    def start(self, members: int, generation: int, machines: int) -> float:
        """Start all nodes; return the seconds until each knows everything."""
        began = time.monotonic()
        shares = [
            StartNodes(tuple(self._settings[number :: len(self._workers)]), self._load_view)
            for number in range(len(self._workers))
        ]
        list(
            self._threads.map(
                lambda pair: pair[0].tell(pair[1], Report), zip(self._workers, shares, strict=True)
            )
        )
        wait_until(
            lambda: self._is_complete(members, generation, machines),
            JOIN_TIMEOUT_S,
            f"{members} members and {machines} machines known on {self.count} nodes",
            0.25,
        )
        return time.monotonic() - began

    def reports(self) -> list[Report]:
        """Return what each worker has used so far."""
        return self._tell_all(GetReport(), Report)

    def seconds_until_in_force(self, generation: int, began: float, timeout_s: float) -> float:
        """Wait until a generation is in force on all nodes; return the seconds since ``began``."""
        times: list[float] = []

        def is_everywhere() -> bool:
            answers = self._tell_all(GetGenerationTimes(generation), GenerationTimes)
            times[:] = [at for answer in answers for at in answer.times]
            return len(times) == self.count

        wait_until(is_everywhere, timeout_s, f"generation {generation} in force")
        return max(max(times) - began, 0.0)

    def kill_one(self) -> tuple[float, float]:
        """Stop one node without a word.

        Returns
        -------
        Seconds until the first other node, and until every other node, knows it as dead.
        """
        killed = self._workers[0].tell(KillNode(), Killed)
        self.count -= 1
        answers = self._tell_all(AwaitDeath(killed.name, DEATH_TIMEOUT_S), DeathKnown)
        if any(answer.last is None for answer in answers):
            raise RuntimeError(f"{killed.name} not known as dead within {DEATH_TIMEOUT_S} s")
        first = min(answer.first for answer in answers)
        return first - killed.at, max(answer.last for answer in answers) - killed.at

    def _is_complete(self, members: int, generation: int, machines: int) -> bool:
        return all(
            report.fewest_live >= members
            and report.lowest_generation >= generation
            and report.fewest_machines >= machines
            for report in self.reports()
        )

    def _tell_all(self, command: Command, answer_type: type) -> list:
        return list(
            self._threads.map(lambda worker: worker.tell(command, answer_type), self._workers)
        )
