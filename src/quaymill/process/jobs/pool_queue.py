"""The line of online requests that wait for a slot of one pool of engines, at its keeper.

The load it answers: bursts above what the engines serve. The keeper alone knows when a slot comes
free, so whoever waits does so here, in one order for all gateways, until one is free: a request
that queues at an engine stands before everybody who comes later, however urgent. State and
decisions only; time is a parameter. Guarded by the keeper's lock.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from quaymill.connection.slot_messages import PlaceOnline
from quaymill.request.dispatch_order import dispatch_order
from quaymill.request.fair_shares import FairShares

GRANT_LATENCY_S = 0.02
"""From a slot's end to the next request's start there, beyond what an engine takes: three messages
among peers. Whoever has less time left is late already."""
REFUSAL_FACTOR = 1.5
"""A request counts as impossible to serve once its wait, by the usual pace, is so many times what
its caller waits yet: the pace is an average."""


@attrs.frozen(eq=False)
class QueuedRequest:
    """A request that waits in the line.

    Attributes
    ----------
    asked
        What its gateway asked with, its terms included.
    came_at, target_at, dispatch_by, gone_at
        Monotonic times: when it came, when its first event is late, when its gateway lets it go
        in any case, and when its caller's patience ends.
    start_tag
        By fair queueing over tenants (``FairShares``): the lowest goes first within a rank.
    """

    message: PlaceOnline
    came_at: float
    target_at: float
    dispatch_by: float
    timeout_at: float
    start_tag: float

    @property
    def ticket(self) -> str:
        """Names the request."""
        return self.message.terms.ticket

    @property
    def process(self) -> str:
        """Name of its gateway's process; a gateway that starts again has another."""
        return self.message.terms.process


class PoolQueue:
    """Who waits for one pool."""

    def __init__(self) -> None:
        self._shares = FairShares()
        self._queued_by_ticket: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._queued_by_ticket)

    @property
    def tenants(self) -> int:
        """Tenants that have requests in the line."""
        return len({one.message.terms.tenant for one in self.waiters()})

    def join(self, message: PlaceOnline, now: float) -> QueuedRequest:
        """Put a request into the line; one that asks again keeps its number."""
        terms = message.terms
        earlier = self._queued_by_ticket.get(terms.ticket)
        tag = earlier.start_tag if earlier else self._shares.start_tag(terms.tenant)
        queued = QueuedRequest(
            message,
            now - terms.waited_s,
            now + terms.target_in_s,
            now + terms.dispatch_by_s,
            now + terms.left_s,
            tag,
        )
        self._queued_by_ticket[terms.ticket] = queued
        return queued

    def record_immediate(self, tenant: str | None) -> None:
        """Count a tenant's request that goes without waiting."""
        self._shares.serve(self._shares.start_tag(tenant))

    def waiters(self) -> tuple[QueuedRequest, ...]:
        """Return who waits, in no order."""
        return tuple(self._queued_by_ticket.values())

    def ordered(self, now: float) -> list[QueuedRequest]:
        """Return who waits, whose turn is next first; those past their last call are dropped.

        Their gateways let them go by themselves.
        """
        self._drop_expired(now)
        return sorted(self._queued_by_ticket.values(), key=lambda one: _sort_key(one, now))

    def _drop_expired(self, now: float) -> None:
        for queued in self.waiters():
            if queued.dispatch_by < now:
                self.leave(queued)

    def serve(self, queued: QueuedRequest) -> None:
        """Take a request out whose turn has come."""
        self._queued_by_ticket.pop(queued.ticket, None)
        self._shares.serve(queued.start_tag)

    def leave(self, queued: QueuedRequest) -> None:
        """Take a request out that will not be served from here."""
        self._queued_by_ticket.pop(queued.ticket, None)
        self._shares.take_back(queued.message.terms.tenant)

    def depart(self, tickets: Iterable[str]) -> None:
        """Take out requests that wait no more."""
        for ticket in tickets:
            queued = self._queued_by_ticket.get(ticket)
            if queued is not None:
                self.leave(queued)

    def drop_process(self, process: str) -> int:
        """Take out what a gateway holds that does not answer; return how much that was."""
        dropped = [one for one in self._queued_by_ticket.values() if one.process == process]
        for queued in dropped:
            self.leave(queued)
        return len(dropped)

    def wait_s(self, queued: QueuedRequest, slots: int, now: float) -> float:
        """Return how long a request waits at least, at the pace of ``slots`` slots."""
        service_s = queued.message.terms.service_s
        own_key = _sort_key(queued, now)
        ahead = sum(_sort_key(one, now) < own_key for one in self._queued_by_ticket.values())
        return ahead * service_s / max(1, slots)

    def retry_after_s(self, queued: QueuedRequest, slots: int, now: float) -> float | None:
        """Return after how many seconds a request may come again; ``None`` if it may be served.

        It cannot be if its expected wait is ``SURE_FACTOR`` times what its caller waits yet; once
        the excess is over, the line is short enough for a caller that waits as long.
        """
        self._drop_expired(now)
        # The whole line bounds the wait, which mostly spares a look at who is ahead.
        left_s = queued.timeout_at - now
        longest_wait_s = len(self) * queued.message.terms.service_s / max(1, slots)
        if longest_wait_s <= REFUSAL_FACTOR * left_s:
            return None
        wait_s = self.wait_s(queued, slots, now)
        return None if wait_s <= REFUSAL_FACTOR * left_s else wait_s - left_s


def _sort_key(queued: QueuedRequest, now: float) -> tuple[bool, int, float, float]:
    terms = queued.message.terms
    needs_s = terms.first_byte_s + GRANT_LATENCY_S
    return dispatch_order(
        queued.target_at, terms.rank, queued.came_at, needs_s, now, queued.start_tag
    )
