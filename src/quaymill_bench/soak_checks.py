"""What the soak checks: the promises of the users' pages, from what callers and replicas saw."""

from __future__ import annotations

import math
import threading
import time
from typing import Any

import attrs

from quaymill_bench.fleet_world import is_whole_text, item_id, versions_in
from quaymill_bench.soak_senders import CRASH_PART
from quaymill_bench.soak_tenants import FLOOD_KEY, OFFICE, OFFICE_KEYS, SoakTenants
from quaymill_standins.fleet_replica import FleetReplica

REFUSED = frozenset({408, 421, 429, 503})
GONE = frozenset({404, 410})
SETTLE_S = 1.0
"""Time after which what was accepted or read must be there at every gateway."""
RESEND_REFUSALS = 3
"""Refusals of an accepted job that is sent again from which on they break a promise."""


@attrs.frozen
class JobCall:
    """One call about a job: at which gateway, and the monotonic time when it was sent."""

    gateway: str
    sent_at: float

    def __str__(self) -> str:
        return f"{self.gateway}, sent at {self.sent_at:.3f}"


MAX_CRASHES = 3
MAX_PART_CRASHES = 5
CONTACT_S = 3.0
"""Time after the third crash within which gateways may not know of it yet."""
MAX_LATE_RUNS = 3
OWN_CALL = JobCall("reader", 0.0)


@attrs.frozen
class Sending:
    """One request that was sent, and what came of it.

    Attributes
    ----------
    status
        Status code of the answer; 0 if none came.
    body
        What came of the answer; of a stream that its caller took up, the events of all tries.
    whole
        Whether the answer came whole.
    key
        The key that it showed; empty for none.
    """

    request_id: str
    kind: str
    gateway: str
    status: int
    body: bytes
    whole: bool
    key: str = OFFICE_KEYS[0]


@attrs.define
class JobHistory:
    """What callers saw of one job.

    Attributes
    ----------
    statuses
        Answers to its submissions; 0 for none.
    accepted_at
        Monotonic time of the first 202.
    positions
        Results read, by position.
    read_at
        Monotonic time when each position was first read.
    resend_refusals
        How often the accepted job was refused with a 4xx when it was sent again.
    """

    id: str
    items: int
    statuses: list[int] = attrs.field(factory=list)
    positions: dict[int, dict[str, Any]] = attrs.field(factory=dict)
    accepted_at: float = math.inf
    read_at: dict[int, float] = attrs.field(factory=dict)
    resend_refusals: int = 0
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

    def read_page(
        self, job: JobHistory, since: int, results: list[dict[str, Any]], call: JobCall = OWN_CALL
    ) -> None:
        """Take results that were read, and compare them with what was read before."""
        now = time.monotonic()
        with self._lock:
            known_since = job.read_at.get(since, math.inf)
            if not results and known_since < call.sent_at - SETTLE_S:
                job.findings.append(
                    f"{call}: nothing at position {since}, read {call.sent_at - known_since:.2f} s"
                    " before the read was sent"
                )
            for offset, result in enumerate(results):
                held = job.positions.setdefault(since + offset, result)
                job.read_at.setdefault(since + offset, now)
                if held != result:
                    job.findings.append(f"{call}: position {since + offset} has changed")

    def read_refused(self, job: JobHistory, call: JobCall, status: int) -> None:
        """Take a read that was answered with another status than 200."""
        if status in GONE and job.accepted_at < call.sent_at - SETTLE_S:
            job.findings.append(f"{call}: a read is answered {status}")

    def read_body(
        self, job: JobHistory, call: JobCall, item: str, status: int, body: bytes, expected: bytes
    ) -> None:
        """Take what came of asking for an item's body."""
        with self._lock:
            listed = any(result["id"] == item for result in job.positions.values())
        settled = job.accepted_at < call.sent_at - SETTLE_S
        if status in GONE and settled and not listed and job.ended_at is None:
            job.findings.append(f"{call}: the body of {item} is answered {status}")
        if status == 200 and body != expected:
            job.findings.append(f"{call}: the body of {item} is not the one that was sent")

    def sent_again(self, job: JobHistory, call: JobCall, status: int) -> None:
        """Take the answer to an accepted job that was sent again."""
        if 400 <= status < 500 and job.accepted_at < call.sent_at - SETTLE_S:
            job.resend_refusals += 1
            if job.resend_refusals == RESEND_REFUSALS:
                job.findings.append(f"{call}: an accepted job is refused with {status} again")

    def read_by_another(self, job: JobHistory, call: JobCall, status: int) -> None:
        """Take what another tenant was answered that asked for a job."""
        if status == 200:
            job.findings.append(f"{call}: another tenant reads the job")

    def ended_again(self, job: JobHistory, call: JobCall, status: int) -> None:
        """Take the answer to a repeated end."""
        if 400 <= status < 500 and job.accepted_at < call.sent_at - SETTLE_S:
            job.findings.append(f"{call}: a repeated end is answered {status}")


def check_round(
    history: History,
    replicas: list[FleetReplica],
    cancel_s: float,
    tenants: SoakTenants | None = None,
) -> list[str]:
    """Return what is wrong with a round, one line each."""
    tenants = tenants or SoakTenants()
    findings: list[str] = []
    for sending in history.sendings:
        findings += _check_sending(sending, replicas)
        findings += _check_key(sending, replicas, tenants)
    findings += _check_crashing(replicas)
    findings += _check_crashing_parts(replicas)
    findings += tenants.check_limit(replicas)
    for job in history.jobs.values():
        findings += [f"job {job.id}: {text}" for text in job.findings]
        findings += _check_job(job, replicas, cancel_s)
    return findings


def _check_crashing(replicas: list[FleetReplica]) -> list[str]:
    """Check that a request that crashes replicas is soon run no more, whoever sends it."""
    runs_by_body: dict[bytes, list[float]] = {}
    for replica in replicas:
        for run in replica.runs:
            if run.crashed:
                runs_by_body.setdefault(run.body, []).append(run.started_s)
    findings = []
    for body, starts in runs_by_body.items():
        starts.sort()
        late = [at for at in starts if at > starts[min(2, len(starts) - 1)] + CONTACT_S]
        if len(starts) > MAX_CRASHES and len(late) > MAX_LATE_RUNS:
            name = body.decode(errors="replace")
            findings.append(f"{name}: crashed {len(starts)} replicas, {len(late)} of them late")
    return findings


def _check_crashing_parts(replicas: list[FleetReplica]) -> list[str]:
    """Check that requests with a part that crashes replicas are soon run no more."""
    starts = sorted(
        run.started_s
        for replica in replicas
        for run in replica.runs
        if run.crashed and CRASH_PART in run.headers.get("prompt-prefix", "")
    )
    if len(starts) <= MAX_PART_CRASHES:
        return []
    late = [at for at in starts if at > starts[MAX_PART_CRASHES - 1] + CONTACT_S]
    if len(late) <= MAX_LATE_RUNS:
        return []
    return [f"the part {CRASH_PART}: crashed {len(starts)} replicas, {len(late)} of them late"]


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
    if sending.kind == "resumable" and len(versions_in("\n".join(_data_of(sending.body)))) > 1:
        findings.append(f"{where}: events of two software versions: {sending.body!r}")
    if sending.status == 404:
        findings.append(f"{where}: answered 404")
    return findings


def _check_key(sending: Sending, replicas: list[FleetReplica], tenants: SoakTenants) -> list[str]:
    """Check as whom a request ran, and that no key that is held was refused."""
    where = f"{sending.kind} {sending.request_id} at {sending.gateway}"
    allowed = tenants.may_run_as(sending.key)
    findings = []
    for replica in replicas:
        for run in replica.runs_of(sending.request_id):
            ran_as = run.headers.get("tenant", OFFICE)
            if ran_as not in allowed:
                findings.append(f"{where}: ran as {ran_as}, its key is of {sorted(allowed)}")
            if "authorization" in run.headers:
                findings.append(f"{where}: its key was passed on")
    if sending.status == 401 and tenants.always_held(sending.key):
        findings.append(f"{where}: answered 401 though its key is held")
    if sending.status == 429 and sending.key != FLOOD_KEY:
        findings.append(f"{where}: answered 429 though its tenant has no limit")
    return findings


def _data_of(body: bytes) -> list[str]:
    return [line[6:] for line in body.decode().split("\n") if line.startswith("data: ")]


def _is_own(sending: Sending) -> bool:
    if sending.kind in ("read", "write"):
        return sending.body == b"answer to " + sending.request_id.encode()
    data = _data_of(sending.body)
    return is_whole_text("\n".join(data), sending.request_id)


def _check_job(job: JobHistory, replicas: list[FleetReplica], cancel_s: float) -> list[str]:
    findings = []
    ids = [item_id(job.id, index) for index in range(job.items)]
    runs = [run for replica in replicas for one in ids for run in replica.runs_of(one)]
    seen = [result["id"] for result in job.positions.values()]
    if len(seen) != len(set(seen)):
        findings.append(f"job {job.id}: an item stands at two positions")
    for result in job.positions.values():
        is_whole = is_whole_text(result["message"], result["id"])
        if result["state"] == "succeeded" and not is_whole:
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
