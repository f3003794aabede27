"""Spreads updates of members: each record is piggybacked on a bounded number of datagrams."""

from __future__ import annotations

import math
import threading

import msgspec

from quaymill.connection.member import Member
from quaymill.process.membership.messages import encoded_size

TRANSMISSIONS_PER_LOG2_MEMBERS = 3


class _PendingUpdate(msgspec.Struct):
    record: Member
    size_bytes: int
    sent: int = 0


class Dissemination:
    """Selects the records to send, those sent least often first, and of these the newest first.

    A record is dropped after ``TRANSMISSIONS_PER_LOG2_MEMBERS * log2(members)`` transmissions,
    after which nearly all members have it; the periodic synchronisation reaches the others.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pending: dict[str, _PendingUpdate] = {}

    def add(self, record: Member) -> None:
        """Start to spread a record, replacing an older one of the same member."""
        with self._lock:
            self._pending.pop(record.name, None)
            self._pending[record.name] = _PendingUpdate(record, encoded_size(record))

    def take_records(self, budget_bytes: int, members: int) -> list[Member]:
        """Return records for one datagram, with an encoded size of at most ``budget_bytes``."""
        if not self._pending:
            return []
        max_transmissions = TRANSMISSIONS_PER_LOG2_MEMBERS * max(
            math.ceil(math.log2(members + 1)), 1
        )
        selected = []
        with self._lock:
            for update in sorted(reversed(self._pending.values()), key=lambda update: update.sent):
                if update.size_bytes > budget_bytes:
                    break
                budget_bytes -= update.size_bytes
                selected.append(update.record)
                update.sent += 1
                if update.sent >= max_transmissions:
                    del self._pending[update.record.name]
        return selected
