"""The fault soak: real processes under random faults from outside, checked while they run.

Each round draws faults and load from its seed, heals everything, waits for the jobs to end, and
compares what callers and replicas saw with the promises. With ``--placement`` zones are evacuated
and replicas return cold beside the other faults, which stay those of the seed. A round that failed
is kept with its logs and a timeline of each job or request concerned; ``--only`` plays one again.
"""

from __future__ import annotations

import random
import re
import shutil
import time
from collections.abc import Callable
from pathlib import Path

import attrs

from quaymill_bench.fleet_processes import (
    COLD_MOST_PER_S,
    EVACUATION_S,
    LocalFleet,
    wait_until,
)
from quaymill_bench.soak_checks import History, check_round
from quaymill_bench.soak_faults import SoakFaults
from quaymill_bench.soak_load import CANCEL_S, SoakLoad
from quaymill_bench.soak_placement import (
    Disturbances,
    Senders,
    check_cold,
    check_evacuations,
    evacuations_of,
)
from quaymill_bench.soak_tenants import SoakTenants
from quaymill_bench.soak_timeline import Timeline

LOAD_S = 12.0
HEAL_TIMEOUT_S = 60.0
SETTLE_S = 0.5
MOST_LINKED_PROCESSES = 12
"""Each pair of processes has two proxies: each is a thread and a listener of the soak itself."""
END_ALL_CHANCE = 0.2
"""Part of the rounds at whose end every process is killed at once."""
WORK_NAME = re.compile(r"(?:job|read|write|stream|resumable)-[\w-]+")


@attrs.frozen
class SoakResult:
    """What a soak found, by failed round."""

    rounds: int
    requests: int
    jobs: int
    findings: dict[int, list[str]]


class SoakRound:
    """One round on a running fleet."""

    def __init__(self, fleet: LocalFleet, tenants: SoakTenants, seed: int, number: int) -> None:
        self._fleet = fleet
        self._tenants = tenants
        self._name = f"{seed}-{number}"
        self.history = History()
        self.timeline = Timeline()

    def run(self) -> list[str]:
        """Load, disturb, heal, wait and check; return the findings."""
        faults = SoakFaults(self._fleet, self._tenants, self._name, self.timeline)
        planned = faults.plan(LOAD_S)
        load = SoakLoad(self._fleet, self._name, self.history, self.timeline, LOAD_S)
        load.start()
        faults.play(planned, LOAD_S)
        if random.Random(f"{self._name}/end").random() < END_ALL_CHANCE:
            faults.end_everything()
        load.stop(HEAL_TIMEOUT_S)
        replicas = list(self._fleet.replicas.values())
        found = check_round(self.history, replicas, CANCEL_S, self._tenants)
        found += faults.turnover.findings
        if self._fleet.placement_limits:
            found += self._check_placement(faults.disturbances)
        return found + self._start_ended()

    def _check_placement(self, disturbances: Disturbances) -> list[str]:
        replicas = list(self._fleet.replicas.values())
        names = {one.address: one.name for one in self._fleet.gateways}
        evacuations = evacuations_of(self._fleet.store.changes_of("evacuations"))
        senders = Senders(names, disturbances)
        found = check_evacuations(replicas, evacuations, senders, EVACUATION_S)
        return found + check_cold(replicas, COLD_MOST_PER_S)

    def _start_ended(self) -> list[str]:
        """Start processes that have ended by themselves, and tell of them."""
        ended = [one for one in self._fleet.processes.values() if one.ended_by_itself]
        for process in ended:
            process.start()
        return [f"{one.name} ended by itself" for one in ended]


@attrs.frozen
class SoakPlan:
    """What is to be run.

    Attributes
    ----------
    only
        The one round to play, counted from 0; ``None`` for all.
    zones_lost
        Zones that may be lost at once; above 0 zones are cut off, too.
    placement
        Whether zones are evacuated and replicas return cold.
    """

    folder: Path
    seed: int
    rounds: int
    only: int | None = None
    gateways: int = 3
    storage: int = 3
    engines: int = 3
    zones_lost: int = 0
    placement: bool = False


def run_soak(plan: SoakPlan, tell: Callable[[str], None]) -> SoakResult:
    """Run rounds on one fleet; logs of failed rounds are kept in the plan's folder."""
    tenants = SoakTenants()
    fleet = LocalFleet(
        plan.folder / "fleet",
        plan.gateways,
        plan.storage,
        plan.engines,
        linked=plan.gateways + plan.storage <= MOST_LINKED_PROCESSES,
        tenants=tenants.table(),
        zones_lost_at_once=plan.zones_lost,
        placement_limits=plan.placement,
    ).start()
    findings: dict[int, list[str]] = {}
    requests = jobs = 0
    numbers = [plan.only] if plan.only is not None else list(range(plan.rounds))
    try:
        for number in numbers:
            one = SoakRound(fleet, tenants, plan.seed, number)
            found = one.run()
            requests += len(one.history.sendings)
            jobs += len(one.history.jobs)
            faults = "; ".join(one.timeline.faults())
            tell(f"seed {plan.seed} round {number}: {len(found)} findings: {faults}")
            if found:
                findings[number] = found
                _keep(plan.folder, fleet, number, one.timeline, found)
            _settle(fleet)
    finally:
        fleet.stop()
    return SoakResult(len(numbers), requests, jobs, findings)


def _settle(fleet: LocalFleet) -> None:
    """Wait until the fleet is whole again, and forget what was run."""
    fleet.wait_ready()
    wait_until(lambda: not any(one.running for one in fleet.replicas.values()), "nothing runs")
    time.sleep(SETTLE_S)
    for replica in fleet.replicas.values():
        replica.runs.clear()
        replica.arrivals.clear()


def _keep(
    folder: Path, fleet: LocalFleet, number: int, timeline: Timeline, found: list[str]
) -> None:
    kept = folder / f"round-{number:04}"
    kept.mkdir(parents=True, exist_ok=True)
    logs = [process.log_file for process in fleet.processes.values()]
    for log in logs:
        shutil.copy(log, kept / log.name)
    (kept / "findings.txt").write_text("\n".join([*timeline.faults(), *found]) + "\n")
    for name in sorted({match for text in found for match in WORK_NAME.findall(text)}):
        story = timeline.story_of(name, logs)
        (kept / f"{name}.timeline.txt").write_text("\n".join(story) + "\n")
