"""Asks members for data that some of them hold, until it is found.

Members that respond are asked first, those that are marked as dead only when nobody else is left:
a machine that is gone for good stays in the membership for a while, and calls to it only time out.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs

from quaymill import boot_clock
from quaymill.connection.member import Member, MemberState
from quaymill.connection.peer_link import (
    PeerClient,
    PeerMessage,
    PeerNoReply,
    PeerRefusal,
    PeerUnreachable,
)

HEDGE_DELAY_S = 0.2
"""Time without a reply after which one more member is asked."""
DEAD_MEMBER_TIMEOUT_S = 0.3
"""How long a search waits for members that are marked as dead, once all others have answered."""

_ORDER = {
    MemberState.ALIVE: 0,
    MemberState.DRAINING: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
}


def responsive_first(members: Iterable[Member]) -> list[Member]:
    """Return members in the given order, but suspects after the others, and the dead last."""
    return sorted(members, key=lambda member: _ORDER[member.state])


@attrs.frozen
class SearchOutcome:
    """The replies to a search.

    Attributes
    ----------
    replies
        In the order of their arrival.
    all_replied
        Whether every member has replied.
    """

    replies: tuple[Any, ...]
    all_replied: bool


def search_members(
    peer_client: PeerClient,
    members: Sequence[Member],
    message: Callable[[], PeerMessage],
    reply_type: Any,
    is_found: Callable[[Any], bool],
    deadline: float,
    initial_calls: int = 1,
    settle_s: float = 0.0,
    hedge_delay_s: float = HEDGE_DELAY_S,
) -> SearchOutcome:
    """Ask members in the given order until the data is found or the deadline has passed.

    Parameters
    ----------
    message
        Returns the message for the next member; called for each of them.
    is_found
        Called with each reply; returns whether the search is over.
    deadline
        Time by ``boot_clock`` at which the search returns in any case.
    initial_calls
        Number of members asked at first. Another one is asked for each reply that does not end
        the search, for each failed call, and whenever replies are slow.
    settle_s
        How long to wait for the other calls in progress once the data is found.
    hedge_delay_s
        Time without a reply after which one more member is asked.
    """
    return _Search(
        peer_client,
        members,
        message,
        reply_type,
        is_found,
        deadline,
        initial_calls,
        settle_s,
        hedge_delay_s,
    ).run()


class _Search:
    """The state of one search."""

    def __init__(
        self,
        peer_client: PeerClient,
        members: Sequence[Member],
        message: Callable[[], PeerMessage],
        reply_type: Any,
        is_found: Callable[[Any], bool],
        deadline: float,
        initial_calls: int,
        settle_s: float,
        hedge_delay_s: float,
    ) -> None:
        ordered = responsive_first(members)
        self._unasked = [one for one in ordered if one.state is not MemberState.DEAD]
        self._unasked_dead = [one for one in ordered if one.state is MemberState.DEAD]
        self._members = len(ordered)
        self._peer_client = peer_client
        self._message = message
        self._reply_type = reply_type
        self._is_found = is_found
        self._deadline = deadline
        self._initial_calls = initial_calls
        self._settle_s = settle_s
        self._hedge_delay_s = hedge_delay_s
        self._answers: queue.SimpleQueue[tuple[Member, Any]] = queue.SimpleQueue()
        self._in_flight = 0
        self._in_flight_dead = 0

    def run(self) -> SearchOutcome:
        replies: list[Any] = []
        found = False
        for _ in range(self._initial_calls):
            self._ask_next()
        while self._in_flight or self._in_flight_dead or (not found and self._ask_next()):
            remaining_s = self._deadline - boot_clock.now()
            if remaining_s <= 0:
                break
            try:
                pause_s = remaining_s if found else min(self._hedge_delay_s, remaining_s)
                member, answer = self._answers.get(timeout=pause_s)
            except queue.Empty:
                if not found:
                    self._ask_next()
                continue
            self._record_end(member)
            if not isinstance(answer, PeerUnreachable | PeerRefusal | PeerNoReply):
                replies.append(answer)
                if self._is_found(answer) and not found:
                    found = True
                    self._deadline = min(self._deadline, boot_clock.now() + self._settle_s)
            if not found:
                self._ask_next()
        return SearchOutcome(tuple(replies), len(replies) == self._members)

    def _ask_next(self) -> bool:
        """Ask the next member that responds; without one left, all that are marked as dead."""
        if self._unasked:
            self._in_flight += 1
            self._start_call(self._unasked.pop(0))
            return True
        asked, self._unasked_dead = self._unasked_dead, []
        self._in_flight_dead += len(asked)
        for member in asked:
            self._start_call(member)
        self._limit_wait_for_dead()
        return bool(asked)

    def _record_end(self, member: Member) -> None:
        if member.state is MemberState.DEAD:
            self._in_flight_dead -= 1
        else:
            self._in_flight -= 1
            self._limit_wait_for_dead()

    def _limit_wait_for_dead(self) -> None:
        if self._in_flight_dead and not self._in_flight and not self._unasked:
            self._deadline = min(self._deadline, boot_clock.now() + DEAD_MEMBER_TIMEOUT_S)

    def _start_call(self, member: Member) -> None:
        message = self._message()
        threading.Thread(
            target=self._call, args=(member, message), name="member-search", daemon=True
        ).start()

    def _call(self, member: Member, message: PeerMessage) -> None:
        timeout_s = max(0.05, self._deadline - boot_clock.now())
        answer = self._peer_client.call(member.peer, message, self._reply_type, timeout_s)
        self._answers.put((member, answer))
