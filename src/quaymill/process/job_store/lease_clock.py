"""Terms of leases, on the leader's monotonic clock.

Only the leader times leases. That a lease has lapsed takes effect through an entry of the
log; a new leader restarts every term in full, so a lease is never cut short by a failover.
"""

from __future__ import annotations

import heapq
import threading
from collections.abc import Iterable

from quaymill import boot_clock
from quaymill.connection.job_messages import CompleteItems, ItemRef, LeaseItems, ReturnItems
from quaymill.process.job_store.commands import ExpireLeases, LoggedCommand
from quaymill.process.job_store.item_state import ItemState
from quaymill.process.job_store.state_machine import Grants, Result

MAX_EXPIRED_AT_ONCE = 1000
EXPIRY_RETRY_S = 2.0


class LeaseClock:
    """Knows when each lease lapses."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ends_s: dict[ItemRef, float] = {}
        self._heap: list[tuple[float, str, int, int]] = []

    def restart(self, items: ItemState) -> None:
        """Begin the term of every lease in the state anew, at the start of a leadership."""
        now = boot_clock.now()
        leases = items.leased_refs()
        with self._lock:
            self._ends_s = {ref: now + lease_s for ref, lease_s in leases}
            self._rebuild_heap()

    def clear(self) -> None:
        """Forget all leases, as this replica does not lead any more."""
        with self._lock:
            self._ends_s = {}
            self._heap = []

    def follow(self, logged: LoggedCommand, result: Result) -> None:
        """Take over what an applied command means for the leases."""
        command = logged.command
        if isinstance(command, LeaseItems) and isinstance(result, Grants):
            refs = [ItemRef(g.job_id, g.index, g.attempt) for g in result.grants]
            self.start(refs, command.lease_s)
        elif isinstance(command, CompleteItems):
            self._end(completion.ref for completion in command.completions)
        elif isinstance(command, ReturnItems | ExpireLeases):
            self._end(command.items)

    def start(self, refs: Iterable[ItemRef], lease_s: float) -> None:
        """Begin terms of ``lease_s`` seconds, or begin them anew."""
        end_s = boot_clock.now() + lease_s
        with self._lock:
            for ref in refs:
                self._ends_s[ref] = end_s
                heapq.heappush(self._heap, _heap_entry(end_s, ref))
            if len(self._heap) > 4 * len(self._ends_s) + MAX_EXPIRED_AT_ONCE:
                self._rebuild_heap()

    def take_expired(self) -> tuple[ItemRef, ...]:
        """Return lapsed leases; they are returned again later unless they are ended."""
        now = boot_clock.now()
        expired: list[ItemRef] = []
        with self._lock:
            while self._heap and self._heap[0][0] <= now and len(expired) < MAX_EXPIRED_AT_ONCE:
                end_s, *names = heapq.heappop(self._heap)
                ref = ItemRef(*names)
                if self._ends_s.get(ref) == end_s:
                    expired.append(ref)
            for ref in expired:
                self._ends_s[ref] = now + EXPIRY_RETRY_S
                heapq.heappush(self._heap, _heap_entry(now + EXPIRY_RETRY_S, ref))
        return tuple(expired)

    def _end(self, refs: Iterable[ItemRef]) -> None:
        with self._lock:
            for ref in refs:
                self._ends_s.pop(ref, None)

    def _rebuild_heap(self) -> None:
        self._heap = [_heap_entry(end_s, ref) for ref, end_s in self._ends_s.items()]
        heapq.heapify(self._heap)


def _heap_entry(end_s: float, ref: ItemRef) -> tuple[float, str, int, int]:
    return (end_s, ref.job_id, ref.index, ref.attempt)
