"""A client of the batch interface under faults: submits, resends, cancels and reads one job."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable

import msgspec

from quaymill_bench.caller import Answer, BatchLine, read_json_lines
from quaymill_bench.cluster_members import Node
from quaymill_bench.cluster_shape import APPLICATION
from quaymill_bench.history import History
from quaymill_bench.journals import Prompt
from quaymill_standins.text import digest

REQUEST_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.2
POLL_PAUSE_S = 0.25
LONGEST_CANCEL_DELAY_S = 1.0
RESEND_AFTER_ACK_PROBABILITY = 0.4
ENDED = frozenset({"completed", "cancelled"})


class JobPlan(msgspec.Struct, frozen=True):
    """One job: items of the model, or calls of the application.

    Attributes
    ----------
    cancels
        Whether the client cancels the job soon after it was acknowledged.
    """

    name: str
    prompts: list[Prompt] = []
    call_bodies: list[dict] = []
    cancels: bool = False

    @property
    def endpoint(self) -> str:
        """Endpoint of the job."""
        return "/v1/completions" if self.prompts else f"/services/{APPLICATION}"

    def lines(self) -> list[BatchLine]:
        """Return the lines of the input file."""
        bodies = [prompt.completion_body() for prompt in self.prompts] or self.call_bodies
        url = self.endpoint if self.prompts else f"{self.endpoint}/submit"
        return [BatchLine(f"{self.name}-{number}", url, body) for number, body in enumerate(bodies)]

    def call_digests(self) -> list[str]:
        """Return the digests under which the application journals the calls."""
        return [digest(msgspec.json.encode(body)) for body in self.call_bodies]


class JobOutcome(msgspec.Struct):
    """What the client learned about its job.

    Attributes
    ----------
    batch_ids
        Every id that an acknowledged submission named; more than one is a doubled job.
    cancelled_counts
        Counts of items in the answer that acknowledged the cancel.
    final
        The last state read.
    gone
        Whether an acknowledged job was answered with 404.
    results, errors
        Lines of the output and the error file; ``None`` if they could not be read.
    """

    batch_ids: set[str] = msgspec.field(default_factory=set)
    cancel_status: str = ""
    cancelled_counts: dict = msgspec.field(default_factory=dict)
    final: dict = msgspec.field(default_factory=dict)
    gone: bool = False
    results: list[dict] | None = None
    errors: list[dict] | None = None


class JobClient:
    """Runs one job from its submission to the reading of its results.

    Attributes
    ----------
    give_up_at
        Monotonic time after which nothing more is tried.
    """

    def __init__(self, plan: JobPlan, nodes: list[Node], history: History) -> None:
        self.plan = plan
        self.outcome = JobOutcome()
        self.give_up_at = float("inf")
        self._nodes = nodes
        self._history = history
        self._choices = random.Random(plan.name)

    def run(self, start_at: float) -> None:
        """Submit at ``start_at`` (monotonic) and follow the job to its end."""
        time.sleep(max(start_at - time.monotonic(), 0.0))
        batch_id = self._submit()
        if batch_id is None:
            return
        if self.plan.cancels:
            self._cancel(batch_id)
        if self._wait_for_end(batch_id):
            self.outcome.results = self._read_file(f"output-{batch_id}")
            self.outcome.errors = self._read_file(f"errors-{batch_id}")

    def read_again(self) -> Answer:
        """Read the state of the job once more, for checks after the round."""
        batch_id = next(iter(self.outcome.batch_ids))
        return self._try("again", lambda node: node.caller.batch(batch_id, REQUEST_TIMEOUT_S))

    def _submit(self) -> str | None:
        """Submit until a node acknowledges; sometimes resend to another node after that."""
        file_id = self._until_answered("upload", self._upload)
        if file_id is None:
            return None
        batch_id = self._until_answered("create", lambda node: self._create(node, file_id))
        if batch_id is None:
            return None
        self.outcome.batch_ids.add(batch_id)
        if self._choices.random() < RESEND_AFTER_ACK_PROBABILITY:
            thread = threading.Thread(target=self._resend, daemon=True)
            thread.start()
            thread.join()
        return batch_id

    def _resend(self) -> None:
        """Send file and job once more to another node, as a client that saw no answer would."""
        node = self._choices.choice(self._nodes)
        uploaded = self._logged("resend_upload", node, self._upload(node))
        if uploaded.status != 200:
            return
        created = self._logged("resend_create", node, self._create(node, uploaded.json()["id"]))
        if created.status == 200:
            self.outcome.batch_ids.add(created.json()["id"])

    def _upload(self, node: Node) -> Answer:
        key = f"{self.plan.name}-file"
        return node.caller.upload_batch_file(self.plan.lines(), key, REQUEST_TIMEOUT_S)

    def _create(self, node: Node, file_id: str) -> Answer:
        key = f"{self.plan.name}-job"
        return node.caller.create_batch(file_id, self.plan.endpoint, key, REQUEST_TIMEOUT_S)

    def _cancel(self, batch_id: str) -> None:
        time.sleep(self._choices.uniform(0.0, LONGEST_CANCEL_DELAY_S))
        answer = self._until(
            "cancel", lambda node: node.caller.cancel_batch(batch_id, REQUEST_TIMEOUT_S)
        )
        if answer is not None:
            document = answer.json()
            self.outcome.cancel_status = document.get("status", "")
            self.outcome.cancelled_counts = document.get("request_counts", {})

    def _wait_for_end(self, batch_id: str) -> bool:
        while time.monotonic() < self.give_up_at:
            answer = self._try("poll", lambda node: node.caller.batch(batch_id, REQUEST_TIMEOUT_S))
            if answer.status == 404:
                self.outcome.gone = True
                return False
            if answer.status == 200:
                self.outcome.final = answer.json()
                if self.outcome.final.get("status") in ENDED:
                    return True
            time.sleep(POLL_PAUSE_S)
        return False

    def _read_file(self, file_id: str) -> list[dict] | None:
        answer = self._until(
            "read", lambda node: node.caller.file_content(file_id, REQUEST_TIMEOUT_S)
        )
        return None if answer is None else read_json_lines(answer.body)

    def _until_answered(self, step: str, send: Callable[[Node], Answer]) -> str | None:
        answer = self._until(step, send)
        return None if answer is None else answer.json()["id"]

    def _until(self, step: str, send: Callable[[Node], Answer]) -> Answer | None:
        """Send to one node after the other until one answers 200 with a whole body."""
        while time.monotonic() < self.give_up_at:
            answer = self._try(step, send)
            if answer.status == 200 and answer.whole:
                return answer
            time.sleep(RETRY_PAUSE_S)
        return None

    def _try(self, step: str, send: Callable[[Node], Answer]) -> Answer:
        node = self._choices.choice(self._nodes)
        return self._logged(step, node, send(node))

    def _logged(self, step: str, node: Node, answer: Answer) -> Answer:
        self._history.write(
            "job",
            job=self.plan.name,
            step=step,
            node=node.name,
            status=answer.status,
            outcome=answer.outcome,
            error=answer.error,
            body=answer.body[:400].decode(errors="replace"),
        )
        return answer
