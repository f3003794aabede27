"""What the log costs at the users' size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quaymill.connection.job_messages import ItemRef, LeasedItems, LeaseItems
from quaymill.process.batch.lease_book import MAX_POLL_BACKOFF, RENEWALS_PER_LEASE
from quaymill.process.settings import BatchSettings
from quaymill_bench.role_size import (
    BULK_ITEMS,
    LOG_GROUPS,
    MICRO,
    NODES,
    REPLICAS,
    SizeRow,
    encoded_bytes,
    items_per_s,
)

if TYPE_CHECKING:
    from quaymill_bench.role_fit import Slope
    from quaymill_bench.role_log import LogSlopes
    from quaymill_bench.role_slopes import RoleSlopes


SERVICES_PER_NODE = 8
"""Services of a node's 8.5 replicas, for which it asks for items."""
ITEMS_AT_REPLICA = 16
HOME_GROUPS = 2
RENEWAL_INTERVAL_S = BatchSettings().lease_s / RENEWALS_PER_LEASE


def log_rows(slopes: RoleSlopes) -> list[SizeRow]:
    """Return the rows of leader and followers, of idle time, empty requests and renewals."""
    log = slopes.log
    rows = []
    for groups in (1, LOG_GROUPS):
        items = items_per_s() / groups
        rows.append(_single_row("log leader", groups, items, log.single_leader_by, log))
        rows.append(_single_row("log follower", groups, items, log.single_follower_by, log))
    items = items_per_s() / LOG_GROUPS
    for role in ("leader", "follower"):
        rows.append(_bulk_row(role, items, log))
    rows += _idle_rows(log)
    for groups in (1, LOG_GROUPS):
        rows += _lease_rows(groups, log)
    return [*rows, *_home_group_rows(log)]


def _idle_rows(log: LogSlopes) -> list[SizeRow]:
    """Return what nodes with a replica of one group use when there is no work at all."""
    parts = (("leader", log.accept.leader_by), ("follower", log.accept.follower_by))
    return [
        SizeRow(
            f"log {role}, idle",
            "control",
            None,
            None,
            by["second"].value * MICRO,
            None,
            "whole process in a cluster of four nodes: heartbeats, membership, load view",
        )
        for role, by in parts
    ]


def _lease_rows(groups: int, log: LogSlopes) -> list[SizeRow]:
    """Return what leases cost beside the items: requests in vain, and renewals."""
    interval_s = BatchSettings().poll_interval_s * min(groups, MAX_POLL_BACKOFF)
    in_vain = NODES * SERVICES_PER_NODE / interval_s
    held = ITEMS_AT_REPLICA * REPLICAS / NODES
    renewing = NODES * min(1.0, held / groups) / RENEWAL_INTERVAL_S
    return [
        _leader_row(
            f"requests for items when there are none, {groups} groups", "control", in_vain, 0, log
        ),
        _leader_row(
            f"renewals of leases, {groups} groups",
            "control",
            renewing,
            NODES * held / groups / RENEWAL_INTERVAL_S,
            log,
        ),
    ]


def _home_group_rows(log: LogSlopes) -> list[SizeRow]:
    """Return the same if each node leases from two groups, and waits at their leaders."""
    share = NODES * HOME_GROUPS / LOG_GROUPS
    held = ITEMS_AT_REPLICA * REPLICAS / NODES / HOME_GROUPS
    return [
        _leader_row(
            f"requests for items, {HOME_GROUPS} home groups, waiting 30 s",
            "change",
            share * SERVICES_PER_NODE / 30,
            0,
            log,
        ),
        _leader_row(
            f"renewals of leases of 60 s, {HOME_GROUPS} home groups",
            "change",
            share / 15,
            share * held / 15,
            log,
        ),
    ]


def _leader_row(role: str, kind: str, calls: float, refs: float, log: LogSlopes) -> SizeRow:
    """Return a row of calls that a majority confirms and that leave nothing in the log."""
    ref = encoded_bytes(ItemRef("batch_0_" + 32 * "0", 123_456, 1))
    empty = LeaseItems(0, "node-zone-a-0/01234567", "model-00", 8, 10.0, 32 * "0")
    size = encoded_bytes(empty) + encoded_bytes(LeasedItems(()))
    return SizeRow(
        f"log leader: {role}",
        kind,
        calls,
        calls * size + refs * ref,
        calls * log.empty_leader_by["call"].value * MICRO,
        None,
        f"each as dear as a request in vain; {size} bytes, {ref} bytes an item renewed",
    )


def _single_row(
    role: str, groups: int, items: float, single: dict[str, Slope], log: LogSlopes
) -> SizeRow:
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
        "store",
        items * 2 * (1 + copies),
        items * log_bytes * copies,
        busy,
        memory["process"].value / 1e6,
        f"{items:.1f} items/s; bytes are those of the log between replicas",
    )


def _bulk_row(role: str, items: float, log: LogSlopes) -> SizeRow:
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
