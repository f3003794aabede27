"""The queue of online requests for a slot of one engine pool, held by the pool's slot allocator.

It absorbs bursts that exceed the engines' capacity. Only the allocator knows when a slot becomes
free, so the requests of all gateways wait here, in one order. A request that waited at an engine
instead would be served before any later request, however urgent.

This module holds state and decisions only; the current time is a parameter. The allocator's lock
guards it.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from quaymill.connection.slot_messages import PlaceOnline
from quaymill.request.dispatch_order import dispatch_order
from quaymill.request.fair_shares import FairShares

GRANT_LATENCY_S = 0.02
"""Time from the release of a slot to the start of the next request: three messages between peers.
A request whose time left is less than this plus its time to the first byte will miss its target."""
REFUSAL_FACTOR = 1.5
"""A request is refused if its expected wait is more than this many times its caller's remaining
time. The margin is needed because the expected wait is computed from averages."""


@attrs.frozen(eq=False)
class QueuedRequest:
    """A request in the queue.

    Attributes
    ----------
    message
        The gateway's request for a placement, including its queue terms.
    arrived_at, target_at, dispatch_by, timeout_at
        Monotonic times: arrival, when its first event is late, when its gateway dispatches it in
        any case, and when its caller gives up.
    start_tag
        Start tag of fair queueing over tenants (``FairShares``): within a rank, the request with
        the lowest tag is served first.
    """

    message: PlaceOnline
    arrived_at: float
    target_at: float
    dispatch_by: float
    timeout_at: float
    start_tag: float

    @property
    def ticket(self) -> str:
        """Identifies the request."""
        return self.message.terms.ticket

    @property
    def process(self) -> str:
        """Name of its gateway's process; a restarted gateway has a different one."""
        return self.message.terms.process


class PoolQueue:
    """The queued requests of one pool."""

    def __init__(self) -> None:
        self._shares = FairShares()
        self._queued_by_ticket: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._queued_by_ticket)

    @property
    def tenants(self) -> int:
        """Number of tenants with queued requests."""
        return len({one.message.terms.tenant for one in self.queued_requests()})

    def join(self, message: PlaceOnline, now: float) -> QueuedRequest:
        """Add a request to the queue; a request that is sent again keeps its start tag."""
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
        """Count a request that is served immediately as part of its tenant's share."""
        self._shares.serve(self._shares.start_tag(tenant))

    def queued_requests(self) -> tuple[QueuedRequest, ...]:
        """Return the queued requests in no particular order."""
        return tuple(self._queued_by_ticket.values())

    def ordered(self, now: float) -> list[QueuedRequest]:
        """Return the queued requests, next to be served first.

        Requests past their dispatch deadline are dropped: their gateways dispatch them locally.
        """
        self._drop_expired(now)
        return sorted(self._queued_by_ticket.values(), key=lambda one: _sort_key(one, now))

    def _drop_expired(self, now: float) -> None:
        for queued in self.queued_requests():
            if queued.dispatch_by < now:
                self.leave(queued)

    def serve(self, queued: QueuedRequest) -> None:
        """Remove a request that is granted a slot."""
        self._queued_by_ticket.pop(queued.ticket, None)
        self._shares.serve(queued.start_tag)

    def leave(self, queued: QueuedRequest) -> None:
        """Remove a request that will not be served from this queue."""
        self._queued_by_ticket.pop(queued.ticket, None)
        self._shares.cancel(queued.message.terms.tenant)

    def withdraw(self, tickets: Iterable[str]) -> None:
        """Remove the requests with these tickets, which no longer wait."""
        for ticket in tickets:
            queued = self._queued_by_ticket.get(ticket)
            if queued is not None:
                self.leave(queued)

    def drop_process(self, process: str) -> int:
        """Remove the requests of a gateway's process; return how many there were."""
        dropped = [one for one in self._queued_by_ticket.values() if one.process == process]
        for queued in dropped:
            self.leave(queued)
        return len(dropped)

    def wait_s(self, queued: QueuedRequest, slots: float, now: float) -> float:
        """Return the expected wait of a request in seconds, if ``slots`` slots serve the queue.

        A fraction of a slot is what cold replicas can use of theirs.
        """
        service_s = queued.message.terms.service_s
        own_key = _sort_key(queued, now)
        ahead = sum(_sort_key(one, now) < own_key for one in self._queued_by_ticket.values())
        return ahead * service_s / slots

    def retry_after_s(self, queued: QueuedRequest, slots: float, now: float) -> float | None:
        """Return the seconds after which a request may be retried; ``None`` if it is feasible.

        A request is infeasible if its expected wait exceeds ``REFUSAL_FACTOR`` times its caller's
        remaining time. After the returned time the queue is expected to be short enough for a
        caller with the same timeout.
        """
        self._drop_expired(now)
        # The length of the queue bounds the wait, so the exact position is rarely needed.
        left_s = queued.timeout_at - now
        longest_wait_s = len(self) * queued.message.terms.service_s / slots
        if longest_wait_s <= REFUSAL_FACTOR * left_s:
            return None
        wait_s = self.wait_s(queued, slots, now)
        return None if wait_s <= REFUSAL_FACTOR * left_s else wait_s - left_s


def _sort_key(queued: QueuedRequest, now: float) -> tuple[bool, int, float, float]:
    terms = queued.message.terms
    min_left_s = terms.first_byte_s + GRANT_LATENCY_S
    return dispatch_order(
        queued.target_at, terms.rank, queued.arrived_at, min_left_s, now, queued.start_tag
    )
