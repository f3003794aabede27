"""What the soak checks: the promises of the users' pages, from what callers and replicas saw."""

from __future__ import annotations

import threading
from typing import Any

import attrs

from quaymill_bench.fleet_world import item_id, whole_text
from quaymill_standins.fleet_replica import FleetReplica

REFUSED = frozenset({408, 421, 429, 503})


@attrs.frozen
class Sending:
    """One request that was sent, and what came of it.

    Attributes
    ----------
    status
        Status code of the answer; 0 if none came.
    whole
        Whether the answer came whole.
    """

    request_id: str
    kind: str
    gateway: str
    status: int
    body: bytes
    whole: bool


@attrs.define
class JobHistory:
    """What callers saw of one job.

    Attributes
    ----------
    statuses
        Answers to its submissions; 0 for none.
    positions
        Results read, by position.
    """

    id: str
    items: int
    statuses: list[int] = attrs.field(factory=list)
    positions: dict[int, dict[str, Any]] = attrs.field(factory=dict)
    ended_at: float | None = None
    findings: list[str] = attrs.field(factory=list)

    @property
    def accepted(self) -> bool:
        """Whether a submission was answered 202."""
        return 202 in self.statuses


class History:
    """Everything that was sent in one round; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.sendings: list[Sending] = []
        self.jobs: dict[str, JobHistory] = {}

    def add(self, sending: Sending) -> None:
        """Take one sending."""
        with self._lock:
            self.sendings.append(sending)

    def job(self, job_id: str, items: int) -> JobHistory:
        """Return the history of a job, made at its first submission."""
        with self._lock:
            return self.jobs.setdefault(job_id, JobHistory(job_id, items))

    def read_page(self, job: JobHistory, since: int, results: list[dict[str, Any]]) -> None:
        """Take results that were read, and compare them with what was read before."""
        with self._lock:
            for offset, result in enumerate(results):
                held = job.positions.setdefault(since + offset, result)
                if held != result:
                    job.findings.append(f"position {since + offset} has changed")


def check_round(history: History, replicas: list[FleetReplica], cancel_s: float) -> list[str]:
    """Return what is wrong with a round, one line each."""
    findings: list[str] = []
    for sending in history.sendings:
        findings += _check_sending(sending, replicas)
    for job in history.jobs.values():
        findings += job.findings + _check_job(job, replicas, cancel_s)
    return findings


def _check_sending(sending: Sending, replicas: list[FleetReplica]) -> list[str]:
    runs = [run for replica in replicas for run in replica.runs_of(sending.request_id)]
    where = f"{sending.kind} {sending.request_id} at {sending.gateway}"
    findings = []
    if sending.kind in ("write", "stream") and len(runs) > 1:
        findings.append(f"{where}: ran {len(runs)} times")
    if sending.status in REFUSED and runs and sending.kind in ("write", "stream"):
        findings.append(f"{where}: answered {sending.status} and ran")
    if sending.status == 200 and sending.whole and not _is_own(sending):
        findings.append(f"{where}: the answer is not its own: {sending.body[:80]!r}")
    if sending.status == 404:
        findings.append(f"{where}: answered 404")
    return findings


def _is_own(sending: Sending) -> bool:
    if sending.kind in ("read", "write"):
        return sending.body == b"answer to " + sending.request_id.encode()
    data = [line[6:] for line in sending.body.decode().split("\n") if line.startswith("data: ")]
    return "\n".join(data) == whole_text(sending.request_id)


def _check_job(job: JobHistory, replicas: list[FleetReplica], cancel_s: float) -> list[str]:
    findings = []
    ids = [item_id(job.id, index) for index in range(job.items)]
    runs = [run for replica in replicas for one in ids for run in replica.runs_of(one)]
    seen = [result["id"] for result in job.positions.values()]
    if len(seen) != len(set(seen)):
        findings.append(f"job {job.id}: an item stands at two positions")
    for result in job.positions.values():
        if result["state"] == "succeeded" and result["message"] != whole_text(result["id"]):
            findings.append(f"job {job.id}: the text of {result['id']} is not whole")
    if job.accepted and job.ended_at is None and len(job.positions) < job.items:
        findings.append(f"job {job.id}: {len(job.positions)} of {job.items} items are listed")
    if job.statuses and set(job.statuses) <= REFUSED and runs:
        findings.append(f"job {job.id}: only refused, and ran")
    if job.ended_at is not None:
        late = [run for run in runs if run.started_s > job.ended_at + cancel_s]
        if late:
            findings.append(f"job {job.id}: {len(late)} runs after its end")
    return findings
