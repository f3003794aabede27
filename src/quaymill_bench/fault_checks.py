"""Judges a round of faults by what the stand-ins' journals and the answers say."""

from __future__ import annotations

from collections import Counter

import msgspec

from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_members import StandIn
from quaymill_bench.fault_jobs import JobClient
from quaymill_bench.fault_workload import CallRecord, OnlineRecord, Workload
from quaymill_bench.journals import response_text
from quaymill_bench.load import judge_answer

NOT_RUN = "not-run"
RUNNING = "running"
KILLED = "killed"
CANCELLED = "cancelled"


class Violations(msgspec.Struct):
    """Broken promises by kind; all zero in a good run.

    Attributes
    ----------
    lost
        Acknowledged items without a result, acknowledged jobs that are gone or never end,
        answers of calls that no application ran.
    doubled
        Items with two results, keys with two jobs, calls or call items that ran twice.
    unreadable
        Results or stored answers that could not be read after everything was healed.
    false_not_run
        Refusals that said "not run" although a back end had begun the request.
    crossed
        Answers with text that does not belong to the request, or that end early as if whole.
    uncancelled
        Cancelled jobs that went on.
    unhealed
        Faults that could not be brought about or taken back, nodes that did not recover.
    """

    lost: int = 0
    doubled: int = 0
    unreadable: int = 0
    false_not_run: int = 0
    crossed: int = 0
    uncancelled: int = 0
    unhealed: int = 0

    def add(self, other: Violations) -> None:
        """Add the counts of another round."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def any(self) -> bool:
        """Return whether a promise was broken."""
        return any(getattr(self, name) for name in self.__struct_fields__)


class Journals:
    """All runs of a cluster's back ends, those of engines that were killed included."""

    def __init__(self) -> None:
        self._saved: dict[str, dict[str, dict]] = {}

    def save(self, engine: StandIn) -> None:
        """Keep the journal of an engine; what it runs ends if it is killed now."""
        runs = self._saved.setdefault(engine.name, {})
        for run in runs.values():
            if run["outcome"] == RUNNING:
                run["outcome"] = KILLED
        for run in engine.journal():
            runs[run["request_id"]] = run

    def engine_runs(self, cluster: LocalCluster) -> list[dict]:
        """Return every run known of any engine."""
        for engine in cluster.engines:
            self.save(engine)
        return [run for runs in self._saved.values() for run in runs.values()]

    @staticmethod
    def application_runs(cluster: LocalCluster) -> list[dict]:
        """Return every run of any application."""
        return [run for entry in cluster.applications for run in entry.journal()]


class RoundCheck:
    """Checks one round; ``violations`` counts and ``findings`` explains."""

    def __init__(self, engine_runs: list[dict], application_runs: list[dict]) -> None:
        self.violations = Violations()
        self.findings: list[str] = []
        self._engine_runs = engine_runs
        self._runs_by_key = Counter(run["key"] for run in application_runs)
        self._runs_by_digest = Counter(run["body_digest"] for run in application_runs)
        self._begun_ids = {
            run["request_id"].rpartition(".")[0] for run in [*engine_runs, *application_runs]
        }

    def check(self, workload: Workload) -> None:
        """Check everything that the callers of a round were told."""
        for record in workload.online:
            self._check_online(record)
        for call in workload.calls:
            self._check_call(call)
        for job in workload.jobs:
            self._check_job(job)

    def check_runs_again(self, workload: Workload) -> None:
        """Check only what late runs could have broken; used long after the round."""
        for call in workload.calls:
            self._check_call_runs(call)
        for job in workload.jobs:
            self._check_call_items(job)
            self._check_still_running(job)

    def _found(self, kind: str, finding: str, count: int = 1) -> None:
        setattr(self.violations, kind, getattr(self.violations, kind) + count)
        self.findings.append(f"{kind}: {finding}")

    def _check_online(self, record: OnlineRecord) -> None:
        verdict = judge_answer(record.request, record.answer)
        if verdict in ("crossed", "truncated"):
            self._found("crossed", f"{record.request_id} was answered with {record.answer.text!r}")
        if record.answer.outcome == NOT_RUN and record.request_id in self._begun_ids:
            self._found("false_not_run", f"{record.request_id} had begun at an engine")

    def _check_call(self, call: CallRecord) -> None:
        self._check_call_runs(call)
        for send in call.answered():
            document = msgspec.json.decode(send.body)
            if (document["key"], document["body_digest"]) != (call.key, call.body_digest):
                self._found("crossed", f"{send.request_id} was answered with {document}")
        if call.answered() and not self._runs_by_key[call.key]:
            self._found("lost", f"{call.key} was answered, and no application ran it")

    def _check_call_runs(self, call: CallRecord) -> None:
        runs = self._runs_by_key[call.key]
        if runs > 1:
            self._found("doubled", f"{call.key} ran {runs} times", runs - 1)
        for send in call.sends:
            if send.outcome == NOT_RUN and send.request_id in self._begun_ids:
                self._found("false_not_run", f"{send.request_id} had begun at the application")

    def _check_job(self, job: JobClient) -> None:
        outcome, name = job.outcome, job.plan.name
        self._check_call_items(job)
        if not outcome.batch_ids:
            self._found("unhealed", f"{name} was never acknowledged, though all was healed")
            return
        if len(outcome.batch_ids) > 1:
            self._found("doubled", f"{name} has the ids {sorted(outcome.batch_ids)}")
        if outcome.gone:
            self._found("lost", f"{name} is gone, though it was acknowledged")
            return
        status = outcome.final.get("status")
        if status is None:
            self._found("unreadable", f"the state of {name} cannot be read")
        elif job.plan.cancels:
            self._check_cancelled(job)
        elif status != "completed":
            self._found("lost", f"{name} stays {status}: {outcome.final}")
        if status in ("completed", CANCELLED):
            self._check_results(job)

    def _check_cancelled(self, job: JobClient) -> None:
        outcome, name = job.outcome, job.plan.name
        if outcome.cancel_status != CANCELLED:
            return  # It was completed before the cancel, or the cancel was not acknowledged.
        final_counts = outcome.final.get("request_counts")
        if outcome.final.get("status") != CANCELLED or final_counts != outcome.cancelled_counts:
            self._found(
                "uncancelled",
                f"{name} was cancelled at {outcome.cancelled_counts} and went on: {outcome.final}",
            )

    def _check_still_running(self, job: JobClient) -> None:
        digests = {prompt.digest for prompt in job.plan.prompts}
        running = sum(
            run["outcome"] == RUNNING and run["prompt_digest"] in digests
            for run in self._engine_runs
        )
        if running and job.outcome.final.get("status") == CANCELLED:
            self._found("uncancelled", f"{running} streams of {job.plan.name} still run")

    def _check_results(self, job: JobClient) -> None:
        outcome, name = job.outcome, job.plan.name
        counts = outcome.final["request_counts"]
        if outcome.results is None or outcome.errors is None:
            self._found("unreadable", f"the results of {name} cannot be read")
            return
        if len(outcome.results) != counts["completed"] or len(outcome.errors) != counts["failed"]:
            self._found("lost", f"{name} counts {counts}, but has {len(outcome.results)} results")
        lines = Counter(line["custom_id"] for line in [*outcome.results, *outcome.errors])
        doubled = sum(count - 1 for count in lines.values())
        if doubled:
            self._found("doubled", f"{doubled} items of {name} have more than one result", doubled)
        expected_ids = {line.custom_id for line in job.plan.lines()}
        missing = expected_ids - set(lines)
        if missing and outcome.final["status"] == "completed":
            self._found(
                "lost", f"items of {name} without a result: {sorted(missing)}", len(missing)
            )
        self._check_texts(job)

    def _check_texts(self, job: JobClient) -> None:
        expected = {
            f"{job.plan.name}-{number}": prompt.expected
            for number, prompt in enumerate(job.plan.prompts)
        }
        if not expected:
            return
        for line in job.outcome.results:
            if response_text(line["response"]["body"]) != expected.get(line["custom_id"]):
                self._found("crossed", f"{line['custom_id']} has the result {line['response']}")
        for line in job.outcome.errors:
            self._found("lost", f"{line['custom_id']} ended as failed: {line['error']}")

    def _check_call_items(self, job: JobClient) -> None:
        for digest in job.plan.call_digests():
            runs = self._runs_by_digest[digest]
            if runs > 1:
                self._found("doubled", f"an item of {job.plan.name} ran {runs} times", runs - 1)
        if job.outcome.results is None or not job.plan.call_bodies:
            return
        for line in job.outcome.results:
            digest = line["response"]["body"].get("body_digest")
            if digest not in job.plan.call_digests() or not self._runs_by_digest[digest]:
                self._found("crossed", f"{line['custom_id']} has the result {line['response']}")
