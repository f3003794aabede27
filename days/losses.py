"""Says where the time of batch items went, from the log lines of one played day.

Reads what ``fleetbench run ... --log edge`` printed: lines of simulated time, machine and the
JSON of one of our log lines. For each job it tells how long its items waited, ran and stood
finished before they were listed, and how often their runs were cut and why.

Usage: python3 days/losses.py LOG [DUE_S]
"""

from __future__ import annotations

import json
import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from pathlib import Path

import attrs

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")
DEFAULT_DUE_S = 18.0


@attrs.define
class Item:
    """One item's runs, as (start, end, outcome, reason, whether it gave way)."""

    runs: list[tuple[float, float, str, str, bool]] = attrs.field(factory=list)

    @property
    def ran_s(self) -> float:
        """Time in service."""
        return sum(end - start for start, end, *_ in self.runs)

    @property
    def done_at(self) -> float | None:
        """When its last run brought a result; ``None`` if none did."""
        ends = [end for _, end, outcome, *_ in self.runs if outcome in ("ItemDone", "ItemImpossible")]
        return ends[0] if ends else None


@attrs.define
class JobStory:
    """One job."""

    accepted_at: float
    size: int
    items: dict[str, Item] = attrs.field(factory=lambda: defaultdict(Item))
    coordinators: list[str] = attrs.field(factory=list)
    listed: list[tuple[float, int]] = attrs.field(factory=list)


def read_lines(path: Path) -> Iterator[tuple[float, str, dict]]:
    """Yield time, machine and fields of each log line."""
    for line in path.read_text(errors="replace").splitlines():
        match = LINE.match(line)
        if match is None:
            continue
        try:
            fields = json.loads(match.group(3))
        except json.JSONDecodeError:
            continue
        yield float(match.group(1)), match.group(2), fields


def read_jobs(path: Path) -> dict[str, JobStory]:
    """Collect what the log tells of each job."""
    by_id: dict[str, JobStory] = {}
    for at, machine, fields in read_lines(path):
        kind, job_id = fields.get("message_type"), fields.get("job")
        if kind == "job:accepted":
            by_id.setdefault(job_id, JobStory(at, fields["items"]))
        job = by_id.get(job_id)
        if job is None:
            continue
        if kind in ("job:accepted", "job:adopted"):
            job.coordinators.append(f"{machine}@{at:.1f}")
        elif kind == "item:run":
            run = (at - fields["took_s"], at, fields["outcome"], fields["reason"], fields["giving_way"])
            job.items[fields["request_id"]].runs.append(run)
        elif kind == "job:listed":
            job.listed.append((at, fields["results"]))
    return by_id


def print_jobs(by_id: dict[str, JobStory], due_s: float) -> None:
    """Print a line a job, and the sums."""
    reasons: Counter[str] = Counter()
    lost_s: Counter[str] = Counter()
    print("accepted items late | mean s waited, ran | runs cut for online, else | coordinators")
    for job_id, job in sorted(by_id.items(), key=lambda pair: pair[1].accepted_at):
        due_at = job.accepted_at + due_s
        done = sorted(one.done_at for one in job.items.values() if one.done_at is not None)
        late = job.size - sum(at <= due_at for at in done)
        ran = [one.ran_s for one in job.items.values()]
        waited = [(one.done_at or due_at) - job.accepted_at - one.ran_s for one in job.items.values()]
        gave_way = others = 0
        for one in job.items.values():
            for start, end, outcome, reason, giving_way in one.runs:
                gave_way += outcome == "ItemCut" and giving_way
                others += outcome == "ItemCut" and not giving_way
                if outcome != "ItemDone" and not giving_way:
                    key = re.sub(r"[\d.]+:\d+|\d+\.\d+ s|0x\w+", "#", reason)[:70]
                    reasons[key] += 1
                    lost_s[key] += end - start
        count = max(1, len(ran))
        print(
            f"{job.accepted_at:7.1f} {job.size:4d} {late:4d} | {sum(waited) / count:5.1f}"
            f" {sum(ran) / count:5.1f} | {gave_way:4d} {others:4d} | {' '.join(job.coordinators)}"
        )
    print("runs that ended without a result, not for online work, and how long they had run:")
    for reason, times in reasons.most_common(12):
        print(f"{times:5d} {lost_s[reason]:7.1f} s  {reason}")


if __name__ == "__main__":
    due = float(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_DUE_S
    print_jobs(read_jobs(Path(sys.argv[1])), due)
