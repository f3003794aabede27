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

TURN_WAY_S = 0.02
"""From a slot's end to the next request's start there, beyond what an engine takes: three messages
among peers. Whoever has less time left is late already."""
SURE_FACTOR = 1.5
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

    asked: PlaceOnline
    came_at: float
    target_at: float
    dispatch_by: float
    gone_at: float
    start_tag: float

    @property
    def ticket(self) -> str:
        """Names the request."""
        return self.asked.terms.ticket

    @property
    def process(self) -> str:
        """Name of its gateway's process; a gateway that starts again has another."""
        return self.asked.terms.process


class PoolQueue:
    """Who waits for one pool."""

    def __init__(self) -> None:
        self._shares = FairShares()
        self._waiter_by_ticket: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._waiter_by_ticket)

    @property
    def tenants(self) -> int:
        """Tenants that have requests in the line."""
        return len({one.asked.terms.tenant for one in self.waiters()})

    def join(self, asked: PlaceOnline, now: float) -> QueuedRequest:
        """Put a request into the line; one that asks again keeps its number."""
        terms = asked.terms
        before = self._waiter_by_ticket.get(terms.ticket)
        tag = before.start_tag if before else self._shares.start_tag(terms.tenant)
        waiter = QueuedRequest(
            asked,
            now - terms.waited_s,
            now + terms.target_in_s,
            now + terms.dispatch_by_s,
            now + terms.left_s,
            tag,
        )
        self._waiter_by_ticket[terms.ticket] = waiter
        return waiter

    def pass_by(self, tenant: str | None) -> None:
        """Count a tenant's request that goes without waiting."""
        self._shares.serve(self._shares.start_tag(tenant))

    def waiters(self) -> tuple[QueuedRequest, ...]:
        """Return who waits, in no order."""
        return tuple(self._waiter_by_ticket.values())

    def ordered(self, now: float) -> list[QueuedRequest]:
        """Return who waits, whose turn is next first; those past their last call are dropped.

        Their gateways let them go by themselves.
        """
        self._forget_past(now)
        return sorted(self._waiter_by_ticket.values(), key=lambda one: _order(one, now))

    def _forget_past(self, now: float) -> None:
        for waiter in self.waiters():
            if waiter.dispatch_by < now:
                self.leave(waiter)

    def serve(self, waiter: QueuedRequest) -> None:
        """Take a request out whose turn has come."""
        self._waiter_by_ticket.pop(waiter.ticket, None)
        self._shares.serve(waiter.start_tag)

    def leave(self, waiter: QueuedRequest) -> None:
        """Take a request out that will not be served from here."""
        self._waiter_by_ticket.pop(waiter.ticket, None)
        self._shares.take_back(waiter.asked.terms.tenant)

    def depart(self, tickets: Iterable[str]) -> None:
        """Take out requests that wait no more."""
        for ticket in tickets:
            waiter = self._waiter_by_ticket.get(ticket)
            if waiter is not None:
                self.leave(waiter)

    def drop_process(self, process: str) -> int:
        """Take out what a gateway holds that does not answer; return how much that was."""
        dropped = [one for one in self._waiter_by_ticket.values() if one.process == process]
        for waiter in dropped:
            self.leave(waiter)
        return len(dropped)

    def wait_s(self, waiter: QueuedRequest, slots: int, now: float) -> float:
        """Return how long a request waits at least, at the pace of ``slots`` slots."""
        service_s = waiter.asked.terms.service_s
        mine = _order(waiter, now)
        ahead = sum(_order(one, now) < mine for one in self._waiter_by_ticket.values())
        return ahead * service_s / max(1, slots)

    def retry_after_s(self, waiter: QueuedRequest, slots: int, now: float) -> float | None:
        """Return after how many seconds a request may come again; ``None`` if it may be served.

        It cannot be if its expected wait is ``SURE_FACTOR`` times what its caller waits yet; once
        the excess is over, the line is short enough for a caller that waits as long.
        """
        self._forget_past(now)
        # The whole line bounds the wait, which mostly spares a look at who is ahead.
        left_s = waiter.gone_at - now
        most_s = len(self) * waiter.asked.terms.service_s / max(1, slots)
        if most_s <= SURE_FACTOR * left_s:
            return None
        wait_s = self.wait_s(waiter, slots, now)
        return None if wait_s <= SURE_FACTOR * left_s else wait_s - left_s


def _order(waiter: QueuedRequest, now: float) -> tuple[bool, int, float, float]:
    terms = waiter.asked.terms
    needs_s = terms.first_byte_s + TURN_WAY_S
    return dispatch_order(
        waiter.target_at, terms.rank, waiter.came_at, needs_s, now, waiter.start_tag
    )
