"""Works out from measured slopes what each role costs at the users' size.

Data plane, store and control are told apart: relaying tokens and executing batch items is the
work itself; the budget holds for what a node spends beside it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quaymill.connection.load_messages import Noted, OnlineStarts
from quaymill.process.limits.limiter import RENEW_INTERVAL_S
from quaymill_bench.role_size import (
    CHANGES_PER_DAY,
    DAY_S,
    MICRO,
    NODES,
    REGIONS,
    REPLICAS,
    TOKENS_PER_S,
    SizeRow,
    encoded_bytes,
    items_per_s,
    requests_per_node_s,
    streams_per_node,
)
from quaymill_bench.role_size_load import load_rows
from quaymill_bench.role_size_log import log_rows

if TYPE_CHECKING:
    from quaymill_bench.role_slopes import RoleSlopes

CONTROL_AS_BUILT = (
    "gateway: notices to schedulers",
    "gateway's limits",
    "credit granter",
    "configuration, at a reader node: the platform's watch",
    "load view: polls of engines",
    "load view: reports pulled from all other nodes",
    "load view: answers to the other nodes",
)
CONTROL_CHANGED = (
    "gateway: notices to schedulers",
    "gateway's limits, and returns on the next borrowing, arrays",
    "credit granter, and returns on the next borrowing, arrays",
    "configuration, at a reader node, in 32 objects",
    "load view: an engine polled once in 2 s",
    "load view: reports come with the answer to a notice",
)


def size_rows(slopes: RoleSlopes) -> tuple[SizeRow, ...]:
    """Return the rows of all parts that are measured."""
    rows: list[SizeRow] = []
    if slopes.gateway is not None:
        rows += _gateway_rows(slopes)
    if slopes.scheduler is not None:
        rows += _scheduler_rows(slopes)
    if slopes.log is not None:
        rows += log_rows(slopes)
    if slopes.limits is not None:
        rows += _limit_rows(slopes)
    if slopes.configuration is not None:
        rows += _configuration_rows(slopes)
    if slopes.load_reports is not None:
        rows += load_rows(slopes)
    return (*rows, *_sum_rows(rows))


def _sum_rows(rows: list[SizeRow]) -> list[SizeRow]:
    """Return what a node without a disk spends on control, as built and as it might be."""
    sums = []
    for name, kind, parts in (
        ("sum of control, as built", "control", CONTROL_AS_BUILT),
        ("sum of control, changed", "change", CONTROL_CHANGED),
    ):
        chosen = [row for row in rows if row.role in parts]
        if len(chosen) < len(parts):
            continue
        sums.append(
            SizeRow(
                f"{name}, a reader node without a disk",
                kind,
                sum(row.messages_per_s or 0.0 for row in chosen),
                sum(row.bytes_per_s or 0.0 for row in chosen),
                sum(row.core_share or 0.0 for row in chosen),
                None,
                "without membership, status and leases; both directions of all bytes",
            )
        )
    return sums


def _gateway_rows(slopes: RoleSlopes) -> list[SizeRow]:
    cpu, memory = slopes.gateway.processor_by, slopes.gateway.memory_by
    requests, tokens = requests_per_node_s(), TOKENS_PER_S / NODES
    notice = encoded_bytes(OnlineStarts(("engine-zone-a-0001",))) + encoded_bytes(Noted())
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
    # And with the return of a request on the next borrowing, and arrays for objects.
    lean = requests + granters / 10
    borrow = encoded_bytes(("tenant-00001", "node-zone-a-0", 1, 320, 1, 160)) + encoded_bytes(
        (1, 1)
    )
    renewal = encoded_bytes(("node-zone-a-0", ())) + encoded_bytes(())
    one_tenant = encoded_bytes(("tenant-00001", 1))
    lean_size = requests * borrow + granters / 10 * renewal + streams_per_node() / 10 * one_tenant
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
                f"{role}, and returns on the next borrowing, arrays",
                "change",
                lean,
                lean_size,
                lean * cost,
                None,
                f"{borrow} bytes a borrowing, {one_tenant} a tenant renewed",
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
