"""Works out from measured slopes what each role costs at the size that the users plan for.

Control and data plane are told apart: relaying tokens and executing batch items is the work
itself; the budget holds for what a node spends beside it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quaymill.connection.load_messages import LoadReport, Noted, OnlineStarts
from quaymill.process.limits.limiter import RENEW_INTERVAL_S
from quaymill.process.replicas.load_view import POLL_INTERVAL_S, PULL_INTERVAL_S

if TYPE_CHECKING:
    from quaymill_bench.role_slopes_experiment import RoleSlopes

NODES = 330
REPLICAS = 2_800
REQUESTS_PER_S = 1_600
TOKENS_PER_S = 510_000
ITEMS_PER_DAY = 450_000_000
TENANTS = 3_100
MODELS = 26
REGIONS = 6
ZONES = 21
CHANGES_PER_DAY = 3_600
TOKEN_GAP_S = 0.070
DAY_S = 86_400
MICRO = 1e-6

BUDGET_CORE_SHARE = 0.016
BUDGET_MB = 256.0
BUDGET_BYTES_PER_S = 4_000.0

LOG_GROUPS = NODES // 3
"""One replica of a group on each node, if each had a disk."""
BULK_ITEMS = 16
"""Items of a lease or report in the bulk variant: about a second of a node's work."""


class SizeRow(msgspec.Struct, frozen=True):
    """One role at the users' size, for one node.

    Attributes
    ----------
    kind
        ``control`` counts against the budget; ``data`` does not; ``change`` is the control
        of a design that is not built, worked out from the same slopes.
    messages_per_s, bytes_per_s
        Both directions of what the role sends or answers, JSON lines or HTTP, without TCP/IP.
    """

    role: str
    kind: str
    messages_per_s: float | None
    bytes_per_s: float | None
    core_share: float | None
    memory_mb: float | None
    basis: str

    @property
    def excess(self) -> tuple[str, ...]:
        """The parts of the budget that the row alone exceeds."""
        parts = (
            ("core", self.core_share, BUDGET_CORE_SHARE),
            ("bytes", self.bytes_per_s, BUDGET_BYTES_PER_S),
            ("memory", self.memory_mb, BUDGET_MB),
        )
        return tuple(name for name, value, limit in parts if value is not None and value > limit)


def size_rows(slopes: RoleSlopes) -> tuple[SizeRow, ...]:
    """Return the rows of all parts that are measured."""
    rows: list[SizeRow] = []
    if slopes.gateway is not None:
        rows += _gateway_rows(slopes)
    if slopes.scheduler is not None:
        rows += _scheduler_rows(slopes)
    if slopes.log is not None:
        rows += _log_rows(slopes)
    if slopes.limits is not None:
        rows += _limit_rows(slopes)
    if slopes.configuration is not None:
        rows += _configuration_rows(slopes)
    if slopes.load_reports is not None:
        rows += _load_rows(slopes)
    return tuple(rows)


def requests_per_node_s() -> float:
    """Return the online requests a second that begin at one node."""
    return REQUESTS_PER_S / NODES


def streams_per_node() -> float:
    """Return the open streams of a node, if tokens come as slowly as is still allowed."""
    return TOKENS_PER_S / NODES * TOKEN_GAP_S


def items_per_s() -> float:
    """Return the batch items a second of the whole fleet, evenly over the day."""
    return ITEMS_PER_DAY / DAY_S


def _gateway_rows(slopes: RoleSlopes) -> list[SizeRow]:
    cpu, memory = slopes.gateway.processor_by, slopes.gateway.memory_by
    requests, tokens = requests_per_node_s(), TOKENS_PER_S / NODES
    notice = _encoded(OnlineStarts(("engine-zone-a-0001",))) + _encoded(Noted())
    streams_mb = memory["stream"].value * streams_per_node() / 1e6
    return [
        SizeRow(
            "gateway: relaying tokens",
            "data",
            tokens,
            None,
            tokens * cpu["token"].value * MICRO,
            streams_mb,
            f"{tokens:.0f} tokens/s, {streams_per_node():.0f} open streams",
        ),
        SizeRow(
            "gateway: requests",
            "data",
            requests,
            None,
            requests * cpu["request"].value * MICRO,
            memory["process"].value / 1e6,
            f"{requests:.2f} requests/s; memory of the whole process without streams",
        ),
        SizeRow(
            "gateway: notices to schedulers",
            "control",
            requests,
            requests * notice,
            None,
            None,
            f"one of {notice} bytes a request; its processor time is within the request's",
        ),
    ]


def _scheduler_rows(slopes: RoleSlopes) -> list[SizeRow]:
    cpu, memory = slopes.scheduler.processor_by, slopes.scheduler.memory_by
    items = items_per_s() / NODES
    return [
        SizeRow(
            "batch scheduler: items",
            "data",
            items,
            None,
            items * cpu["item"].value * MICRO,
            memory["running item"].value * 16 * REPLICAS / NODES / 1e6,
            f"{items:.1f} items/s without their tokens; 16 running items at each replica",
        )
    ]


def _log_rows(slopes: RoleSlopes) -> list[SizeRow]:
    log = slopes.log
    rows = []
    for groups in (1, LOG_GROUPS):
        items = items_per_s() / groups
        rows.append(_single_row("log leader", groups, items, log.single_leader_by, log))
        rows.append(_single_row("log follower", groups, items, log.single_follower_by, log))
    items = items_per_s() / LOG_GROUPS
    for role in ("leader", "follower"):
        rows.append(_bulk_row(role, items, log))
    return rows


def _single_row(role: str, groups: int, items: float, single: dict, log) -> SizeRow:
    """Items leased and completed one by one, accepted in chunks of 500."""
    by = "leader_by" if role == "log leader" else "follower_by"
    accept = getattr(log.accept, by)
    accepted_us = accept["item"].value + accept["call"].value / 500
    busy = items * (single["call"].value + accepted_us) * MICRO
    log_bytes = (
        log.accept.log_bytes_by["item"].value
        + log.lease.log_bytes_by["call"].value
        + log.complete.log_bytes_by["item"].value
        + log.complete.log_bytes_by["call"].value
    )
    copies = 2 if role == "log leader" else 1
    memory = log.leader_memory_by if role == "log leader" else log.follower_memory_by
    return SizeRow(
        f"{role}, {groups} group{'s' if groups > 1 else ''}, items one by one",
        "data",
        items * 2 * (1 + copies),
        items * log_bytes * copies,
        busy,
        memory["process"].value / 1e6,
        f"{items:.1f} items/s; bytes are those of the log between replicas",
    )


def _bulk_row(role: str, items: float, log) -> SizeRow:
    by = f"{role}_by"
    core = 0.0
    size = 0.0
    for operation, bulk in ((log.accept, 500), (log.lease, BULK_ITEMS), (log.complete, BULK_ITEMS)):
        cpu, size_by = getattr(operation, by), operation.log_bytes_by
        core += items * (cpu["item"].value + cpu["call"].value / bulk) * MICRO
        size += items * (size_by["item"].value + size_by["call"].value / bulk)
    copies = 2 if role == "leader" else 1
    return SizeRow(
        f"log {role}, {LOG_GROUPS} groups, {BULK_ITEMS} items a call",
        "change",
        items * 2 * (1 + copies) / BULK_ITEMS,
        size * copies,
        core,
        None,
        "leases and reports gathered for about a second",
    )


def _limit_rows(slopes: RoleSlopes) -> list[SizeRow]:
    limits = slopes.limits
    requests = requests_per_node_s()
    renewals = streams_per_node() * limits.renewals_by["tenant in service"].value
    messages = 2 * requests + renewals
    size = requests * (limits.borrow_bytes + limits.return_bytes) + renewals * limits.return_bytes
    basis = f"{requests:.2f} borrowed, as many returned, {renewals:.0f} renewals/s"
    # Bundled: one renewal for each granter of the region each 10 s, 30 bytes a tenant.
    granters = NODES / REGIONS
    bundled = 2 * requests + granters / 10
    bundled_size = (
        requests * (limits.borrow_bytes + limits.return_bytes)
        + granters / 10 * limits.return_bytes
        + streams_per_node() / 10 * 30
    )
    # And with the return of a request on the next message to the same granter.
    lean = requests + granters / 10
    lean_size = (
        requests * (limits.borrow_bytes + 30)
        + granters / 10 * limits.return_bytes
        + streams_per_node() / 10 * 30
    )
    roles = (("gateway's limits", limits.gateway_by), ("credit granter", limits.granter_by))
    rows = []
    for role, cpu in roles:
        cost = cpu["message"].value * MICRO
        rows.append(SizeRow(role, "control", messages, size, messages * cost, None, basis))
        rows.append(
            SizeRow(
                f"{role}, renewals bundled by granter each {6 * RENEW_INTERVAL_S:.0f} s",
                "change",
                bundled,
                bundled_size,
                bundled * cost,
                None,
                "slot leases of 30 s",
            )
        )
        rows.append(
            SizeRow(
                f"{role}, and returns carried by the next borrowing",
                "change",
                lean,
                lean_size,
                lean * cost,
                None,
                "30 bytes a return",
            )
        )
    return rows


def _configuration_rows(slopes: RoleSlopes) -> list[SizeRow]:
    costs = slopes.configuration
    changes = CHANGES_PER_DAY / DAY_S
    held_mb = costs.held_bytes / 1e6
    read_s = (costs.full_decode_ms + costs.full_check_ms) / 1000
    return [
        SizeRow(
            "configuration, at a reader node: the platform's watch",
            "control",
            changes,
            changes * costs.full_bytes,
            changes * read_s,
            held_mb,
            f"an event carries the whole document, {costs.full_bytes / 1000:.0f} kB",
        ),
        SizeRow(
            "configuration, at any other node: a difference",
            "control",
            changes,
            changes * costs.difference_bytes,
            changes * costs.full_apply_difference_ms / 1000,
            held_mb,
            f"{costs.difference_bytes} bytes for one cell, without its edit record",
        ),
        SizeRow(
            "configuration, at a reader node, in 32 objects",
            "change",
            changes,
            changes * costs.full_bytes / 32,
            changes * read_s,
            held_mb,
            "tenants spread over 32 objects by hash; the whole is still checked",
        ),
    ]


def _load_rows(slopes: RoleSlopes) -> list[SizeRow]:
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
    compact = _encoded(msgspec.structs.astuple(report))
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


def _encoded(message: object) -> int:
    return len(msgspec.json.encode(message)) + 1
