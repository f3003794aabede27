"""The fault soak: real processes under random faults from outside, checked while they run.

Each round draws faults and load from its seed, heals everything, waits for the jobs to end, and
compares what callers and replicas saw with the promises. A round that failed is kept with its
logs; ``--only`` plays one again.
"""

from __future__ import annotations

import json
import random
import shutil
import signal
import threading
import time
from collections.abc import Callable
from pathlib import Path

import attrs
import urllib3

from quaymill_bench.fleet_processes import FleetProcess, LocalFleet, wait_until
from quaymill_bench.loopback_proxy import LinkState
from quaymill_bench.soak_checks import History, JobHistory, Sending, check_round
from quaymill_standins.fleet_replica import ReplicaBehaviour
from quaymill_standins.fleet_store import FleetStoreFaults

LOAD_S = 7.0
CALLERS = 4
JOBS = 3
JOB_ITEMS = 6
HEAL_TIMEOUT_S = 40.0
CANCEL_S = 3.0
SETTLE_S = 0.5

Heal = Callable[[], None]


@attrs.frozen
class SoakResult:
    """What a soak found, by failed round."""

    rounds: int
    requests: int
    jobs: int
    findings: dict[int, list[str]]


class SoakRound:
    """One round on a running fleet."""

    def __init__(self, fleet: LocalFleet, seed: int, number: int) -> None:
        self._fleet = fleet
        self._random = random.Random(f"{seed}/{number}")
        self._name = f"{seed}-{number}"
        self._stopping = threading.Event()
        self.history = History()
        self.schedule: list[str] = []

    def run(self) -> list[str]:
        """Load, disturb, heal, wait and check; return the findings."""
        threads = [
            threading.Thread(target=self._call, args=(index,), daemon=True)
            for index in range(CALLERS)
        ]
        threads += [
            threading.Thread(target=self._follow_job, args=(index,), daemon=True)
            for index in range(JOBS)
        ]
        for thread in threads:
            thread.start()
        heals = self._disturb()
        time.sleep(LOAD_S / 2)
        for heal in heals:
            heal()
        self._stopping.set()
        for thread in threads:
            thread.join(HEAL_TIMEOUT_S)
        return check_round(self.history, list(self._fleet.replicas.values()), CANCEL_S)

    # Load.

    def _call(self, index: int) -> None:
        chance = random.Random(f"{self._name}/{index}")
        kinds = ("read", "write", "stream", "resumable")
        number = 0
        while not self._stopping.is_set():
            number += 1
            kind = chance.choice(kinds)
            gateway = chance.choice(self._fleet.gateways)
            self._send(kind, gateway, f"{kind}-{self._name}-{index}-{number}")
            time.sleep(chance.uniform(0.0, 0.05))

    def _send(self, kind: str, gateway: FleetProcess, request_id: str) -> None:
        headers = {"Request-Id": request_id, "Deadline-Ms": "6000"}
        if kind in ("stream", "resumable"):
            headers["Token-Count"] = "50,10"
        try:
            answer = self._fleet.call(gateway, "POST", f"/{kind}/x", b"", headers)
        except urllib3.exceptions.HTTPError:
            self.history.add(Sending(request_id, kind, gateway.name, 0, b"", whole=False))
            return
        self.history.add(
            Sending(request_id, kind, gateway.name, answer.status, answer.data, whole=True)
        )

    def _follow_job(self, index: int) -> None:
        chance = random.Random(f"{self._name}/job/{index}")
        job = self.history.job(f"job-{self._name}-{index}", JOB_ITEMS)
        time.sleep(chance.uniform(0.0, LOAD_S / 3))
        deadline = time.monotonic() + HEAL_TIMEOUT_S
        while not job.accepted and time.monotonic() < deadline:
            self._submit(job, chance)
        will_end = chance.random() < 0.25
        while job.accepted and time.monotonic() < deadline and len(job.positions) < job.items:
            self._read(job, chance)
            if will_end and len(job.positions) >= 1 and job.ended_at is None:
                self._end(job, chance)
            if job.ended_at is not None and time.monotonic() > job.ended_at + CANCEL_S + 1.0:
                return
            time.sleep(0.1)

    def _submit(self, job: JobHistory, chance: random.Random) -> None:
        gateway = chance.choice(self._fleet.gateways)
        try:
            status = self._fleet.submit(gateway, job.id, job.items).status
        except urllib3.exceptions.HTTPError:
            status = 0
        job.statuses.append(status)
        if status != 202:
            time.sleep(0.2)

    def _read(self, job: JobHistory, chance: random.Random) -> None:
        gateway = chance.choice(self._fleet.gateways)
        since = chance.choice((0, len(job.positions)))
        path = f"/v1/lots/{job.id}?since_rev={since}"
        try:
            answer = self._fleet.call(gateway, "GET", path, b"", {"Wait-Ms": "300"})
        except urllib3.exceptions.HTTPError:
            return
        if answer.status == 200:
            self.history.read_page(job, since, json.loads(answer.data)["results"])
        elif answer.status == 404:
            job.findings.append(f"job {job.id}: {gateway.name} answered 404")

    def _end(self, job: JobHistory, chance: random.Random) -> None:
        gateway = chance.choice(self._fleet.gateways)
        try:
            answer = self._fleet.call(gateway, "DELETE", f"/v1/lots/{job.id}")
        except urllib3.exceptions.HTTPError:
            return
        if answer.status == 200:
            job.ended_at = time.monotonic()

    # Faults.

    def _disturb(self) -> list[Heal]:
        faults = (
            self._kill_gateway,
            self._stop_gateway,
            self._freeze,
            self._kill_storage,
            self._wipe_storage,
            self._store_faults,
            self._store_link,
            self._replica_link,
            self._replica_fails,
            self._replica_leaves,
            self._kill_everything,
        )
        heals = []
        for fault in self._random.sample(faults, self._random.choice((1, 2, 2))):
            time.sleep(self._random.uniform(0.2, LOAD_S / 4))
            self.schedule.append(fault.__name__.strip("_"))
            heals.append(fault())
        return heals

    def _kill_gateway(self) -> Heal:
        process = self._random.choice(self._fleet.gateways)
        process.kill()
        return process.start

    def _stop_gateway(self) -> Heal:
        process = self._random.choice(self._fleet.gateways)
        process.terminate()
        return process.start

    def _freeze(self) -> Heal:
        process = self._random.choice(list(self._fleet.processes.values()))
        process.send(signal.SIGSTOP)
        return lambda: process.send(signal.SIGCONT)

    def _kill_storage(self) -> Heal:
        process = self._random.choice(self._fleet.storage_nodes)
        process.kill()
        return process.start

    def _wipe_storage(self) -> Heal:
        process = self._random.choice(self._fleet.storage_nodes)
        process.kill()
        self._fleet.wipe(process)

        def heal() -> None:
            process.start()
            # The next round may take another disk: this one must be whole by then.
            time.sleep(4.0)

        return heal

    def _kill_everything(self) -> Heal:
        for process in self._fleet.processes.values():
            process.kill()

        def heal() -> None:
            for process in self._fleet.processes.values():
                process.start()

        return heal

    def _store_faults(self) -> Heal:
        self._fleet.store.faults = self._random.choice(
            (
                FleetStoreFaults(down=True),
                FleetStoreFaults(silent=True),
                FleetStoreFaults(lose_writes=True),
            )
        )

        def heal() -> None:
            self._fleet.store.faults = FleetStoreFaults()

        return heal

    def _store_link(self) -> Heal:
        process = self._random.choice(self._fleet.gateways)
        return self._disturb_link(process.store_proxy)

    def _replica_link(self) -> Heal:
        proxy = self._random.choice(list(self._fleet.replica_proxies.values()))
        return self._disturb_link(proxy)

    def _disturb_link(self, proxy) -> Heal:
        state = self._random.choice(
            (LinkState.DELAYED, LinkState.RESET, LinkState.SILENT, LinkState.ANSWERS_LOST)
        )
        self.schedule.append(state.name)
        proxy.set_state(state, delay_s=0.2)

        def heal() -> None:
            # What was held back is not let through late: the connections end.
            proxy.set_state(LinkState.RESET)
            proxy.set_state(LinkState.OPEN)

        return heal

    def _replica_fails(self) -> Heal:
        replica = self._random.choice(list(self._fleet.replicas.values()))
        replica.behaviour = self._random.choice(
            (
                ReplicaBehaviour(break_off=True),
                ReplicaBehaviour(cut_at_event=2),
                ReplicaBehaviour(foreign_id=True),
                ReplicaBehaviour(shed=True),
                ReplicaBehaviour(stall_at_event=2),
            )
        )

        def heal() -> None:
            replica.behaviour = ReplicaBehaviour()

        return heal

    def _replica_leaves(self) -> Heal:
        replica = self._random.choice(list(self._fleet.replicas.values()))
        self._fleet.list_replica(replica, "draining")
        return lambda: self._fleet.list_replica(replica, "ready")


def run_soak(
    folder: Path, seed: int, rounds: int, only: int | None, tell: Callable[[str], None]
) -> SoakResult:
    """Run rounds on one fleet; logs of failed rounds are kept in ``folder``."""
    fleet = LocalFleet(folder / "fleet").start()
    findings: dict[int, list[str]] = {}
    requests = jobs = 0
    numbers = [only] if only is not None else list(range(rounds))
    try:
        for number in numbers:
            one = SoakRound(fleet, seed, number)
            found = one.run()
            requests += len(one.history.sendings)
            jobs += len(one.history.jobs)
            tell(f"round {number}: {' '.join(one.schedule)}: {len(found)} findings")
            if found:
                findings[number] = found
                _keep(folder, fleet, number, one.schedule, found)
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


def _keep(
    folder: Path, fleet: LocalFleet, number: int, schedule: list[str], found: list[str]
) -> None:
    kept = folder / f"round-{number:04}"
    kept.mkdir(parents=True, exist_ok=True)
    for process in fleet.processes.values():
        shutil.copy(process.log_file, kept / process.log_file.name)
    (kept / "findings.txt").write_text("\n".join([" ".join(schedule), *found]) + "\n")
