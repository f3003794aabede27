"""What the load view costs at the users' size."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quaymill.connection.load_messages import LoadReport
from quaymill.process.replicas.load_view import POLL_INTERVAL_S, PULL_INTERVAL_S
from quaymill_bench.role_size import (
    MICRO,
    NODES,
    REPLICAS,
    SizeRow,
    encoded_bytes,
    requests_per_node_s,
)

if TYPE_CHECKING:
    from quaymill_bench.role_slopes import RoleSlopes


def load_rows(slopes: RoleSlopes) -> list[SizeRow]:
    """Return the rows of polls, pulls and answers, and of a design without pulls."""
    costs = slopes.load_reports
    replicas = REPLICAS / NODES
    polls = replicas / POLL_INTERVAL_S
    pulls = (NODES - 1) / PULL_INTERVAL_S
    pull_size = costs.pull_bytes_by["pull"].value + replicas * costs.pull_bytes_by["report"].value
    poll_core = replicas * costs.poll_by["replica second"].value * MICRO
    cost = _pull_cost(costs.pull_by, replicas), _pull_cost(costs.answer_by, replicas)
    return [
        SizeRow(
            "load view: polls of engines",
            "control",
            polls,
            polls * costs.poll_bytes,
            poll_core,
            None,
            f"{replicas:.1f} replicas, four polls a second each",
        ),
        SizeRow(
            "load view: reports pulled from all other nodes",
            "control",
            pulls,
            pulls * pull_size,
            pulls * cost[0] * MICRO,
            None,
            f"{NODES - 1} peers, two pulls a second each",
        ),
        SizeRow(
            "load view: answers to the other nodes",
            "control",
            pulls,
            pulls * pull_size,
            pulls * cost[1] * MICRO,
            None,
            "as many as are pulled",
        ),
        *_changed_load_rows(slopes, poll_core, replicas, cost),
    ]


def _changed_load_rows(
    slopes: RoleSlopes, poll_core: float, replicas: float, cost: tuple[float, float]
) -> list[SizeRow]:
    report = LoadReport("engine-zone-a-0001", 0.21875, 24, 2, 12, 32)
    # A replica is named by its place in the machine list.
    compact = encoded_bytes((1234, *msgspec.structs.astuple(report)[1:]))
    notices = requests_per_node_s()
    return [
        SizeRow(
            "load view: an engine polled once in 2 s",
            "change",
            replicas / 2,
            replicas / 2 * slopes.load_reports.poll_bytes,
            poll_core * POLL_INTERVAL_S / 2,
            None,
            "a node's own notices and answers show changes in between",
        ),
        SizeRow(
            "load view: reports come with the answer to a notice",
            "change",
            notices,
            notices * replicas * compact,
            notices * sum(cost) * MICRO,
            None,
            f"no pulls; {replicas:.1f} reports of {compact} bytes as arrays; both sides' time",
        ),
    ]


def _pull_cost(by: dict, replicas: float) -> float:
    return by["pull"].value + replicas * max(0.0, by["report"].value)
