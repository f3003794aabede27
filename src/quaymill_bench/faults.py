"""Rounds of random faults against real processes, checked by the stand-ins' journals.

The cluster is kept between rounds and healed after each. Every round leaves a history:
its schedule, each request with its answer, and the findings. A round can be replayed by its
seed and number; what earlier rounds left in the cluster is not replayed with it.
"""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import msgspec

from quaymill.version.configuration import Tuning
from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_shape import ClusterShape
from quaymill_bench.fault_checks import Journals, RoundCheck, Violations
from quaymill_bench.fault_injection import FaultInjector
from quaymill_bench.fault_schedule import draw_schedule
from quaymill_bench.fault_workload import Workload
from quaymill_bench.healing import heal
from quaymill_bench.history import History
from quaymill_bench.processes import ConditionNotMetError

ITEM_MAX_ATTEMPTS = 1000
CLIENT_PATIENCE_S = 20.0
START_DELAY_S = 0.05
LAST_LOOK_DELAY_S = 2.0
# Leases and elections are shorter than most freezes, so that a thawed node finds others in
# its place.
NODE_SETTINGS = {
    "drain_timeout_s": 10.0,
    "membership": {"probe_interval_s": 0.3, "probe_timeout_s": 0.2, "suspicion_s": 1.0},
    "log": {"heartbeat_s": 0.1, "election_timeout_s": 0.5},
    "batch": {
        "lease_s": 1.0,
        "poll_interval_s": 0.1,
        "first_byte_timeout_s": 2.0,
        "token_gap_timeout_s": 1.0,
        "application_timeout_s": 5.0,
    },
}


class FaultsResult(msgspec.Struct, frozen=True):
    """The JSON line of a run."""

    rounds: int
    lost: int
    doubled: int
    unreadable: int
    false_not_run: int
    crossed: int
    uncancelled: int
    unhealed: int
    seed: int
    failed_rounds: tuple[int, ...]
    online_requests: int
    online_whole: int
    seconds: float
    history: str


class FaultRounds:
    """Runs rounds one after the other and sums up what was broken."""

    def __init__(self, seed: int, folder: Path) -> None:
        self._seed = seed
        self._folder = folder
        self._clusters = 0
        self._journals = Journals()
        self._workloads: dict[int, Workload] = {}
        self.violations = Violations()
        self.failed_rounds: list[int] = []
        self.online_requests = 0
        self.online_whole = 0

    def run(self, round_numbers: list[int]) -> None:
        """Run these rounds; a cluster that does not heal is replaced by a new one."""
        remaining = list(round_numbers)
        while remaining:
            with LocalCluster(fault_shape(), self._new_cluster_folder()) as cluster:
                heal(cluster)
                while remaining and self._run_round(cluster, remaining.pop(0)):
                    pass
                self._look_last(cluster)

    def _new_cluster_folder(self) -> Path:
        self._clusters += 1
        self._journals = Journals()
        self._workloads = {}
        return self._folder / f"cluster-{self._clusters}"

    def _run_round(self, cluster: LocalCluster, number: int) -> bool:
        """Run one round; return whether the cluster can be used for the next."""
        started_at = time.monotonic()
        schedule = draw_schedule(self._seed, number)
        history = History(self._folder / f"round-{number:04}.jsonl")
        history.write("schedule", schedule=schedule)
        workload = Workload(cluster.nodes, f"s{self._seed}r{number}", self._seed, history)
        self._workloads[number] = workload
        injector = FaultInjector(cluster, schedule, history, self._journals.save)
        begin_at = time.monotonic() + START_DELAY_S
        workload.start(begin_at)
        injector.start(begin_at)
        injector.wait()
        healed = self._heal(cluster, injector, history)
        workload.give_up_after(CLIENT_PATIENCE_S)
        workload.wait()
        check = self._check(cluster, workload, injector.failures + healed)
        history.write("findings", findings=check.findings, violations=check.violations)
        history.close()
        self._count(number, check, workload)
        kinds = ", ".join(event.kind for event in schedule.events)
        verdict = "; ".join(check.findings[:3]) or "ok"
        _say(f"round {number} ({time.monotonic() - started_at:.1f} s, {kinds}): {verdict}")
        return not healed

    def _heal(self, cluster: LocalCluster, injector: FaultInjector, history: History) -> list[str]:
        try:
            seconds = heal(cluster)
        except (ConditionNotMetError, RuntimeError) as error:
            history.write("not_healed", error=str(error))
            return [f"not healed: {error}"]
        history.write("healed", seconds=seconds, failures=injector.failures)
        return []

    def _check(self, cluster: LocalCluster, workload: Workload, failures: list[str]) -> RoundCheck:
        check = RoundCheck(
            self._journals.engine_runs(cluster), self._journals.application_runs(cluster)
        )
        check.check(workload)
        check.violations.unhealed += len(failures)
        check.findings += [f"unhealed: {failure}" for failure in failures]
        return check

    def _look_last(self, cluster: LocalCluster) -> None:
        """Look for late runs of all rounds when the cluster has been quiet for a while."""
        time.sleep(LAST_LOOK_DELAY_S)
        engine_runs = self._journals.engine_runs(cluster)
        application_runs = self._journals.application_runs(cluster)
        for number, workload in self._workloads.items():
            if number in self.failed_rounds:
                continue  # Its findings are counted already.
            check = RoundCheck(engine_runs, application_runs)
            check.check_runs_again(workload)
            if check.violations.any():
                _say(f"round {number}, late: {check.findings[:3]}")
                self._count_failure(number, check)

    def _count(self, number: int, check: RoundCheck, workload: Workload) -> None:
        self.online_requests += len(workload.online)
        self.online_whole += sum(
            record.answer.status == 200 and record.answer.text == record.request.prompt.expected
            for record in workload.online
        )
        if check.violations.any():
            self._count_failure(number, check)

    def _count_failure(self, number: int, check: RoundCheck) -> None:
        self.failed_rounds.append(number)
        self.violations.add(check.violations)


def fault_shape() -> ClusterShape:
    """Return the cluster that the rounds run on: timings short, so that rounds are."""
    return ClusterShape(
        applications=2,
        engine_flags=("--step-ms", "5", "--slots", "4"),
        node_settings=NODE_SETTINGS,
        tuning=Tuning(item_max_attempts=ITEM_MAX_ATTEMPTS),
    )


def run_rounds(
    seed: int, rounds: int, only: int | None = None, keep: Path | None = None
) -> FaultsResult:
    """Run rounds ``0 .. rounds - 1`` of a seed, or the round ``only`` alone."""
    folder = keep or Path(tempfile.mkdtemp(prefix="quaymill-faults-"))
    folder.mkdir(parents=True, exist_ok=True)
    numbers = list(range(rounds)) if only is None else [only]
    started_at = time.monotonic()
    fault_rounds = FaultRounds(seed, folder)
    fault_rounds.run(numbers)
    return FaultsResult(
        rounds=len(numbers),
        **msgspec.structs.asdict(fault_rounds.violations),
        seed=seed,
        failed_rounds=tuple(fault_rounds.failed_rounds),
        online_requests=fault_rounds.online_requests,
        online_whole=fault_rounds.online_whole,
        seconds=round(time.monotonic() - started_at, 1),
        history=str(folder),
    )


def _say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
