"""Sends one message to several peers in parallel until enough of them have replied."""

from __future__ import annotations

import queue
import threading
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from quaymill import boot_clock
from quaymill.connection.member import Member
from quaymill.connection.peer_link import (
    PeerClient,
    PeerMessage,
    PeerNoReply,
    PeerRefusal,
    PeerUnreachable,
)

HEDGE_DELAY_S = 0.2
"""Time without a reply after which more members are called."""
MIN_LINK_BYTES_PER_S = 1024 * 1024
"""Assumed throughput of the slowest links. While calls in progress may be sending, further ones
would only delay them."""
OTHER_ZONE_WAIT_S = 0.4
"""Time after which ``needed`` replies suffice even if they come from too few zones: half of the
shortest time within which clients expect their job to be accepted (0.8 s)."""


@attrs.frozen
class ZoneRule:
    """The number of zones that replies should come from, if they arrive in time.

    Attributes
    ----------
    needed
        Number of zones.
    local
        The zone of this process: its members are reachable even if no other zone is.
    """

    needed: int
    local: str


@attrs.frozen
class CallOutcome:
    """The replies to parallel calls.

    Attributes
    ----------
    replies
        The replies, each with the member that sent it.
    maybe_acted
        Whether a peer that did not reply may have processed the message anyway.
    """

    replies: tuple[tuple[Member, Any], ...]
    maybe_acted: bool

    @property
    def zones(self) -> frozenset[str]:
        """The zones of the members that replied."""
        return frozenset(_zones_of(self.replies))


def call_members(
    peer_client: PeerClient,
    members: Sequence[Member],
    message: PeerMessage,
    reply_type: Any,
    needed: int,
    timeout_s: float,
    initial_calls: int | None = None,
    zones: ZoneRule | None = None,
    message_bytes: int = 0,
) -> CallOutcome:
    """Call members in the given order until ``needed`` have replied or none is left.

    Parameters
    ----------
    initial_calls
        Number of members called at first; ``needed`` by default. Another one is called for each
        failed call, and more if replies are slow.
    zones
        ``None`` if the zones of the replying members do not matter.
    message_bytes
        Approximate size of the message, if it may be large.
    """
    calls = _ParallelCalls(
        peer_client, members, message, reply_type, timeout_s, zones, message_bytes
    )
    return calls.run(needed, initial_calls or needed)


class _ParallelCalls:
    """The calls of one message to several members."""

    def __init__(
        self,
        peer_client: PeerClient,
        members: Sequence[Member],
        message: PeerMessage,
        reply_type: Any,
        timeout_s: float,
        zones: ZoneRule | None,
        message_bytes: int,
    ) -> None:
        self._peer_client = peer_client
        self._uncalled = list(members)
        self._message = message
        self._reply_type = reply_type
        began = boot_clock.now()
        self._deadline = began + timeout_s
        self._other_zone_deadline = began + OTHER_ZONE_WAIT_S
        self._zones = zones
        self._send_s = message_bytes / MIN_LINK_BYTES_PER_S
        self._answer_queue: queue.SimpleQueue[tuple[Member, Any]] = queue.SimpleQueue()
        self._in_flight = 0

    def run(self, needed: int, initial_calls: int) -> CallOutcome:
        replies: list[tuple[Member, Any]] = []
        maybe_acted = False
        for _ in range(initial_calls):
            self._start_next()
        while self._lacks_replies(replies, needed) and (self._in_flight or self._start_next()):
            deadline = self._deadline if len(replies) < needed else self._other_zone_deadline
            remaining_s = deadline - boot_clock.now()
            if remaining_s <= 0:
                break
            try:
                hedge_delay_s = HEDGE_DELAY_S + self._in_flight * self._send_s
                member, answer = self._answer_queue.get(timeout=min(hedge_delay_s, remaining_s))
            except queue.Empty:
                self._hedge(replies, needed)
                continue
            self._in_flight -= 1
            if isinstance(answer, PeerUnreachable | PeerRefusal | PeerNoReply):
                maybe_acted = maybe_acted or isinstance(answer, PeerNoReply)
                self._start_next()
            else:
                replies.append((member, answer))
            if len(replies) >= needed:
                self._skip_zones(_zones_of(replies))
        return CallOutcome(tuple(replies), maybe_acted or self._in_flight > 0)

    def _lacks_replies(self, replies: list[tuple[Member, Any]], needed: int) -> bool:
        if len(replies) < needed:
            return True
        return self._zones is not None and len(_zones_of(replies)) < self._zones.needed

    def _hedge(self, replies: list[tuple[Member, Any]], needed: int) -> None:
        """Call more members because replies are slow.

        Without a zone rule, one member is called. With one, a zone may be unreachable: one member
        is called for each missing reply, starting with those in the local zone and in zones that
        have replied. If enough members but too few zones have replied, one member is called, from
        another zone if possible.
        """
        if self._zones is None:
            self._start_next()
            return
        reached = _zones_of(replies) | {self._zones.local}
        reachable = [member for member in self._uncalled if member.zone in reached]
        others = [member for member in self._uncalled if member.zone not in reached]
        self._uncalled = reachable + others if len(replies) < needed else others + reachable
        for _ in range(max(1, needed - len(replies))):
            self._start_next()

    def _skip_zones(self, zones: set[str]) -> None:
        """Stop calling members of these zones: only replies from other zones can be missing now."""
        self._uncalled = [member for member in self._uncalled if member.zone not in zones]

    def _start_next(self) -> bool:
        if not self._uncalled:
            return False
        member = self._uncalled.pop(0)
        self._in_flight += 1
        threading.Thread(target=self._call, args=(member,), name="peer-call", daemon=True).start()
        return True

    def _call(self, member: Member) -> None:
        timeout_s = max(0.05, self._deadline - boot_clock.now())
        answer = self._peer_client.call(member.peer, self._message, self._reply_type, timeout_s)
        self._answer_queue.put((member, answer))


def _zones_of(replies: Iterable[tuple[Member, Any]]) -> set[str]:
    return {member.zone for member, _ in replies}
