"""What callers do during a round of faults, and what they were answered.

Three kinds of callers run beside the faults: online requests at an open-loop rate, batch jobs
that are submitted with ``Idempotency-Key`` and resent until they are acknowledged, and
at-most-once calls, some of them resent or sent twice at once to different nodes.
"""

from __future__ import annotations

import itertools
import random
import threading
import time

import msgspec

from quaymill_bench.caller import Answer
from quaymill_bench.cluster_members import Node
from quaymill_bench.cluster_shape import APPLICATION, MODEL
from quaymill_bench.fault_jobs import JobClient, JobPlan
from quaymill_bench.fault_schedule import ROUND_ACTIVE_S
from quaymill_bench.history import History
from quaymill_bench.journals import Prompt
from quaymill_bench.load import OUTCOME_UNKNOWN, send_open_loop
from quaymill_bench.load_plan import LoadPlan, Phase, PlannedRequest, planned_requests
from quaymill_standins.text import digest

ONLINE_REQUESTS_PER_S = 12.0
ONLINE_TOKENS = 24
ONLINE_SENDERS = 48
ONLINE_TIMEOUT_S = 10.0
CALLS = 14
CALL_TIMEOUT_S = 4.0
RESEND_PROBABILITY = 0.6
TWICE_AT_ONCE_PROBABILITY = 0.3
RETRY_PAUSE_S = 0.25
IN_PROGRESS = 409
MODEL_JOBS = 2
SMALL_JOBS = 8
SMALL_JOB_ITEMS = 3
MODEL_ITEMS = 50
MODEL_ITEM_TOKENS = 24
CALL_ITEMS = 8
CANCELLED_ITEMS = 80


class OnlineRecord(msgspec.Struct, frozen=True):
    """One online request and its answer."""

    request_id: str
    request: PlannedRequest
    answer: Answer


class CallSend(msgspec.Struct, frozen=True):
    """One send of an at-most-once call."""

    request_id: str
    node: str
    status: int
    outcome: str
    body: bytes


class CallRecord(msgspec.Struct):
    """One at-most-once call with all of its sends."""

    key: str
    body: dict
    sends: list[CallSend] = msgspec.field(default_factory=list)

    @property
    def body_digest(self) -> str:
        """Digest under which the application journals the body."""
        return digest(msgspec.json.encode(self.body))

    def answered(self) -> list[CallSend]:
        """Return the sends that got the application's answer."""
        return [send for send in self.sends if send.status == 200]


class Workload:
    """All callers of one round.

    Parameters
    ----------
    label
        Beginning of every prompt, key and body of the round; never used before.
    """

    def __init__(self, nodes: list[Node], label: str, seed: int, history: History) -> None:
        self._nodes = nodes
        self._label = label
        self._seed = seed
        self._history = history
        self._random = random.Random(f"{label}/workload")
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._give_up_at = float("inf")
        self.online: list[OnlineRecord] = []
        self.calls: list[CallRecord] = []
        self.jobs = [self._job(plan) for plan in self._job_plans()]

    def start(self, begin_at: float) -> None:
        """Start all callers; times count from ``begin_at`` (monotonic)."""
        self._spawn(self._send_online, begin_at)
        for number in range(CALLS):
            record = CallRecord(
                f"{self._label}-call-{number}", {"submit": f"{self._label}-{number}"}
            )
            self.calls.append(record)
            start_s = self._random.uniform(0.0, ROUND_ACTIVE_S)
            self._spawn(self._make_call, record, begin_at + start_s)
        for job in self.jobs:
            start_s = self._random.uniform(0.0, ROUND_ACTIVE_S)
            self._spawn(job.run, begin_at + start_s)

    def give_up_after(self, timeout_s: float) -> None:
        """Let clients that still wait go on for so long; called when all is healed."""
        self._give_up_at = time.monotonic() + timeout_s
        for job in self.jobs:
            job.give_up_at = self._give_up_at

    def wait(self) -> None:
        """Wait until every caller has its last answer or has given up."""
        for thread in self._threads:
            thread.join()

    def _spawn(self, target, *arguments) -> None:
        thread = threading.Thread(target=target, args=arguments, name="caller", daemon=True)
        thread.start()
        self._threads.append(thread)

    def _send_online(self, begin_at: float) -> None:
        plan = LoadPlan(
            base_urls=tuple(node.base_url for node in self._nodes),
            key="",
            model=MODEL,
            phases=(Phase(ROUND_ACTIVE_S, ONLINE_REQUESTS_PER_S),),
            seed=self._seed,
            max_tokens=ONLINE_TOKENS,
            label=self._label,
        )
        callers = {node.base_url: node.caller for node in self._nodes}
        numbers = itertools.count()

        def send(request: PlannedRequest, intended_at: float) -> None:
            request_id = f"{self._label}-online-{next(numbers)}"
            answer = callers[request.base_url].stream(
                "/v1/completions",
                request.prompt.completion_body(),
                {"X-Request-Id": request_id},
                ONLINE_TIMEOUT_S,
            )
            with self._lock:
                self.online.append(OnlineRecord(request_id, request, answer))
            self._history.write(
                "online",
                request_id=request_id,
                node=request.base_url,
                digest=request.prompt.digest,
                seconds=round(time.monotonic() - intended_at, 3),
                answer=_answer_facts(answer),
            )

        send_open_loop(planned_requests(plan), begin_at, ONLINE_SENDERS, send)

    def _make_call(self, record: CallRecord, start_at: float) -> None:
        choices = random.Random(record.key)
        time.sleep(max(start_at - time.monotonic(), 0.0))
        resends = choices.random() < RESEND_PROBABILITY
        if choices.random() < TWICE_AT_ONCE_PROBABILITY:
            self._spawn(self._send_call, record, choices.choice(self._nodes), 100)
        for number in itertools.count():
            send = self._send_call(record, choices.choice(self._nodes), number)
            if send.status == 200 or not resends or self._is_final(send):
                return
            time.sleep(RETRY_PAUSE_S)

    def _is_final(self, send: CallSend) -> bool:
        """Return whether a resend can change nothing any more, now that all is healed."""
        healed = self._give_up_at < float("inf")
        lost_answer = healed and send.outcome == OUTCOME_UNKNOWN and send.status != IN_PROGRESS
        return lost_answer or time.monotonic() > self._give_up_at

    def _send_call(self, record: CallRecord, node: Node, number: int) -> CallSend:
        request_id = f"{record.key}-{number}"
        headers = {"Idempotency-Key": record.key, "X-Request-Id": request_id}
        path = f"/services/{APPLICATION}/submit"
        answer = node.caller.post_json(path, record.body, headers, CALL_TIMEOUT_S)
        send = CallSend(request_id, node.name, answer.status, answer.outcome, answer.body)
        with self._lock:
            record.sends.append(send)
        self._history.write(
            "call",
            key=record.key,
            request_id=request_id,
            node=node.name,
            answer=_answer_facts(answer),
        )
        return send

    def _job_plans(self) -> list[JobPlan]:
        bodies = [{"item": f"{self._label}-{number}"} for number in range(CALL_ITEMS)]
        return [
            *(self._model_job(f"model-{number}", MODEL_ITEMS) for number in range(MODEL_JOBS)),
            *(self._model_job(f"small-{number}", SMALL_JOB_ITEMS) for number in range(SMALL_JOBS)),
            self._model_job("cancelled", CANCELLED_ITEMS, cancels=True),
            JobPlan(name=f"{self._label}-calls", call_bodies=bodies),
        ]

    def _model_job(self, name: str, items: int, cancels: bool = False) -> JobPlan:
        name = f"{self._label}-{name}"
        prompts = [
            Prompt(MODEL, f"{name} item {number}", MODEL_ITEM_TOKENS) for number in range(items)
        ]
        return JobPlan(name=name, prompts=prompts, cancels=cancels)

    def _job(self, plan: JobPlan) -> JobClient:
        return JobClient(plan, self._nodes, self._history)


def _answer_facts(answer: Answer) -> dict:
    return {
        "status": answer.status,
        "outcome": answer.outcome,
        "whole": answer.whole,
        "error": answer.error,
        "body": answer.body[:300].decode(errors="replace"),
        "tokens": len(answer.token_times),
    }
