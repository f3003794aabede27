"""The size that the users plan for, the budget of a node, and one row of the capacity tables."""

from __future__ import annotations

import msgspec

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
        ``control`` counts against the budget; ``data`` does not; ``store`` keeps items and
        results, which is more than control, and is shown against the budget nevertheless;
        ``change`` is a design that is not built, worked out from the same slopes.
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


def requests_per_node_s() -> float:
    """Return the online requests a second that begin at one node."""
    return REQUESTS_PER_S / NODES


def streams_per_node() -> float:
    """Return the open streams of a node, if tokens come as slowly as is still allowed."""
    return TOKENS_PER_S / NODES * TOKEN_GAP_S


def items_per_s() -> float:
    """Return the batch items a second of the whole fleet, evenly over the day."""
    return ITEMS_PER_DAY / DAY_S


def encoded_bytes(message: object) -> int:
    """Return the bytes of a message as a JSON line."""
    return len(msgspec.json.encode(message)) + 1
