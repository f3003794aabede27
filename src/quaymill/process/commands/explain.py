"""``quaymill explain``: one request's or job's story out of the logs of many processes.

Lines are put in the order of their times. Clocks of machines differ; where a line shows an
effect before its cause, the clock of the effect's machine is taken to be late by that much.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs

from quaymill.process.commands.platform_option import EXIT_OK, EXIT_REFUSED

ID_FIELDS = ("request_id", "job")
HIDDEN_FIELDS = frozenset({"timestamp", "node", "message_type", "task_uuid", "task_level"})
CAUSES = {
    "job:accepted": "job:stored",
    "job:listed": "item:run",
    "job:over": "job:accepted",
}
"""Kinds of lines of one job, and the kind that must come before them."""
LEAST_STEP_S = 0.001
STORY_MARKS = frozenset({"log:dropped", "node:started", "node:stopped", "node:draining"})
"""Lines of a process that bear on every story it took part in."""


@attrs.frozen
class LogLine:
    """One line of one process."""

    node: str
    time_s: float
    kind: str
    fields: dict[str, Any]


def explain(request_id: str, *files: Path) -> int:
    """Print what the logs tell of a request, a batch item or a batch job.

    Parameters
    ----------
    request_id
        The id of the request, item or job.
    files
        Log files of gateways and storage nodes, as many as there are.
    """
    lines = list(read_lines(files))
    story = find_story(lines, request_id)
    if not story:
        print(f"nothing is logged of {request_id}: it may not have come, or its lines were dropped")
        for line in lines:
            if line.kind == "log:dropped":
                print(f"  {line.node} left lines out: {line.fields}")
        return EXIT_REFUSED
    for text in tell(story, estimate_offsets_s(story)):
        print(text)
    return EXIT_OK


def read_lines(files: Iterable[Path]) -> Iterator[LogLine]:
    """Read the lines of several files; what is no log line is passed over."""
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as opened:
            for text in opened:
                begin = text.find("{")
                try:
                    fields = json.loads(text[begin:]) if begin >= 0 else None
                except json.JSONDecodeError:
                    continue
                if isinstance(fields, dict) and "message_type" in fields:
                    yield LogLine(
                        str(fields.get("node", file.name)),
                        float(fields.get("timestamp", 0.0)),
                        fields["message_type"],
                        fields,
                    )


def find_story(lines: list[LogLine], wanted: str) -> list[LogLine]:
    """Return the lines of an id, those of its job, and marks of the processes concerned."""
    own = [line for line in lines if wanted in _ids(line)]
    jobs = {line.fields["job"] for line in own if "job" in line.fields}
    of_jobs = [
        line
        for line in lines
        if line.fields.get("job") in jobs
        and (line.kind != "item:run" or line.fields.get("request_id") == wanted or wanted in jobs)
    ]
    story = own + [line for line in of_jobs if line not in own]
    if not story:
        return []
    nodes = {line.node for line in story}
    first = min(line.time_s for line in story)
    last = max(line.time_s for line in story)
    marks = [
        line
        for line in lines
        if line.kind in STORY_MARKS and line.node in nodes and first <= line.time_s <= last
    ]
    return story + marks


def estimate_offsets_s(story: list[LogLine]) -> dict[str, float]:
    """Return by how much each process's clock is to be moved so that causes come first."""
    offsets_by_node = {line.node: 0.0 for line in story}
    for effect in story:
        cause_kind = CAUSES.get(effect.kind)
        causes = [
            line
            for line in story
            if line.kind == cause_kind
            and line.node != effect.node
            and line.fields.get("job") == effect.fields.get("job")
        ]
        for cause in causes[:1]:
            late_s = cause.time_s + offsets_by_node[cause.node] + LEAST_STEP_S - effect.time_s
            if late_s > offsets_by_node[effect.node]:
                offsets_by_node[effect.node] = late_s
    return offsets_by_node


def tell(story: list[LogLine], offsets_s: dict[str, float]) -> list[str]:
    """Return the story as text, one line each, with seconds since its beginning."""
    timed = sorted(
        ((line.time_s + offsets_s[line.node], index, line) for index, line in enumerate(story)),
        key=lambda entry: entry[:2],
    )
    begin = timed[0][0]
    texts = [f"{at - begin:9.3f} s  {line.node:24} {_text(line)}" for at, _, line in timed]
    moved = {node: moved_s for node, moved_s in offsets_s.items() if moved_s}
    texts += [f"clock of {node} moved by {moved_s:+.3f} s" for node, moved_s in moved.items()]
    return texts


def _text(line: LogLine) -> str:
    shown = {
        name: value
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS and value not in ("", None)
    }
    return f"{line.kind}  " + "  ".join(f"{name}={value}" for name, value in shown.items())


def _ids(line: LogLine) -> set[str]:
    return {str(line.fields[name]) for name in ID_FIELDS if name in line.fields}
