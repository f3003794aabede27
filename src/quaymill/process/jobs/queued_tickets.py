"""The allocator queues in which the requests of one gateway wait, by region."""

from __future__ import annotations

import threading


class QueuedTickets:
    """Regions in whose allocator queues requests wait, and withdrawals that are yet to be sent.

    Safe to use from any thread. Where there is one region, its name is empty.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._region_by_ticket: dict[str, str] = {}
        self._withdrawn: dict[tuple[str, str], list[str]] = {}

    def join(self, service: str, ticket: str, region: str) -> None:
        """Record that a request is being queued in a region, and withdraw it from an earlier one.

        Recorded before the allocator is asked: its grant may arrive before its answer.
        """
        with self._lock:
            earlier = self._region_by_ticket.get(ticket, region)
            self._region_by_ticket[ticket] = region
            if earlier != region:
                self._withdrawn.setdefault((service, earlier), []).append(ticket)

    def leave(self, ticket: str) -> None:
        """Record that the allocator has granted or refused a request, or did not queue it."""
        with self._lock:
            self._region_by_ticket.pop(ticket, None)

    def granted(self, service: str, ticket: str, region: str) -> bool:
        """Record that a grant of a region was accepted.

        A late grant may come from a region that the request has left: it is withdrawn from the one
        in whose queue it is now. Returns whether it was.
        """
        with self._lock:
            current = self._region_by_ticket.pop(ticket, region)
            if current != region:
                self._withdrawn.setdefault((service, current), []).append(ticket)
            return current != region

    def confirm_queued(self, service: str, ticket: str, region: str) -> None:
        """Record that an allocator has queued a request; withdraw it if its wait has ended."""
        with self._lock:
            if self._region_by_ticket.get(ticket) != region:
                self._withdrawn.setdefault((service, region), []).append(ticket)

    def withdraw(self, service: str, ticket: str) -> None:
        """Record that a request no longer waits; the allocator learns it with the next message."""
        with self._lock:
            region = self._region_by_ticket.pop(ticket, "")
            self._withdrawn.setdefault((service, region), []).append(ticket)

    def take_withdrawn(self, service: str, region: str) -> tuple[str, ...]:
        """Return and clear the withdrawn requests of a service in a region.

        Includes those whose region is unknown; other allocators ignore them.
        """
        if not self._withdrawn:
            return ()
        with self._lock:
            unknown = self._withdrawn.pop((service, ""), ())
            return (*unknown, *self._withdrawn.pop((service, region), ()))

    def has_withdrawn(self, service: str, region: str) -> bool:
        """Return whether a withdrawal for a service in a region is yet to be sent."""
        with self._lock:
            return (service, region) in self._withdrawn

    def has_any(self, region: str) -> bool:
        """Return whether a request waits in a region or is yet to be withdrawn there."""
        with self._lock:
            return region in self._region_by_ticket.values() or any(
                each == region for _, each in self._withdrawn
            )

    def in_region(self, region: str) -> frozenset[str]:
        """Return the requests that wait in a region."""
        with self._lock:
            return frozenset(
                ticket for ticket, each in self._region_by_ticket.items() if each == region
            )
