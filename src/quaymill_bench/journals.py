"""Counts what really ran, from the stand-ins' journals, and checks it against the answers."""

from __future__ import annotations

from collections import Counter

import msgspec

from quaymill_bench.caller import Answer, read_json_lines
from quaymill_bench.cluster_members import StandIn
from quaymill_standins.text import digest, expected_text

FINISHED = "finished"


class Prompt(msgspec.Struct, frozen=True):
    """One request to a model, and the answer that it must get."""

    model: str
    text: str
    max_tokens: int

    @property
    def digest(self) -> str:
        """Digest under which engines journal the prompt."""
        return digest(self.text)

    @property
    def expected(self) -> str:
        """The whole answer."""
        return expected_text(self.model, self.text, self.max_tokens)

    def completion_body(self) -> dict:
        """Return the body for ``/v1/completions``."""
        return {"model": self.model, "prompt": self.text, "max_tokens": self.max_tokens}


class Tally(msgspec.Struct):
    """Requests by what became of them."""

    completed: int = 0
    lost: int = 0
    doubled: int = 0


def finished_runs(engines: list[StandIn]) -> Counter[str]:
    """Count the finished runs of each prompt digest over all engines."""
    return Counter(
        run["prompt_digest"]
        for engine in engines
        for run in engine.journal()
        if run["outcome"] == FINISHED
    )


def runs_by_key(applications: list[StandIn]) -> Counter[str]:
    """Count the runs of each idempotency key over all applications."""
    return Counter(run["key"] for entry in applications for run in entry.journal())


def tally_prompts(prompts: list[Prompt], texts: dict[str, str], finished: Counter[str]) -> Tally:
    """Compare the texts received, by prompt digest, with the runs in the journals."""
    tally = Tally()
    for prompt in prompts:
        runs = finished[prompt.digest]
        whole = texts.get(prompt.digest) == prompt.expected
        tally.completed += runs > 0 and whole
        tally.lost += runs == 0 or not whole
        tally.doubled += max(runs - 1, 0)
    return tally


def tally_calls(keys: list[str], runs: Counter[str]) -> Tally:
    """Count calls that may not be repeated by their runs."""
    tally = Tally()
    for key in keys:
        tally.completed += runs[key] > 0
        tally.lost += runs[key] == 0
        tally.doubled += max(runs[key] - 1, 0)
    return tally


def result_texts(content: bytes, prompts_by_id: dict[str, Prompt]) -> dict[str, str]:
    """Return the text of each result line by prompt digest; a doubled line gives no text."""
    lines = read_json_lines(content)
    times = Counter(line["custom_id"] for line in lines)
    texts = {}
    for line in lines:
        prompt = prompts_by_id.get(line["custom_id"])
        if prompt is not None and times[line["custom_id"]] == 1:
            texts[prompt.digest] = response_text(line["response"]["body"])
    return texts


def response_text(body: dict) -> str:
    """Return the text of a whole completion's first choice."""
    choices = body.get("choices") or [{}]
    message = choices[0].get("message") or {}
    return choices[0].get("text") or message.get("content") or ""


def answer_text(answer: Answer) -> str:
    """Return the text of a streamed or whole answer; empty if it is not whole."""
    if answer.status != 200 or not answer.whole or answer.error:
        return ""
    return answer.text or response_text(answer.json())
