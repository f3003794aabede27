"""One message to several peers at once, until enough of them have answered."""

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

HEDGE_S = 0.2
OTHER_ZONE_WAIT_S = 0.4
"""Time after which enough answers suffice without one from a further zone: half of the shortest
time within which callers want to know that their job is accepted (0.8 s)."""


@attrs.frozen
class ZoneRule:
    """In how many zones those who answer must lie, where they can be reached in time.

    Attributes
    ----------
    own
        The caller's zone: members there can be reached when no other zone can.
    """

    needed: int
    own: str


@attrs.frozen
class CallOutcome:
    """What several calls brought.

    Attributes
    ----------
    replies
        The answers, with those who gave them.
    maybe_acted
        Whether a peer that gave no answer may have acted all the same.
    """

    replies: tuple[tuple[Member, Any], ...]
    maybe_acted: bool

    @property
    def zones(self) -> frozenset[str]:
        """The zones of those who answered."""
        return frozenset(_zones_of(self.replies))


def call_members(
    peer_client: PeerClient,
    members: Sequence[Member],
    message: PeerMessage,
    reply_type: Any,
    needed: int,
    timeout_s: float,
    at_once: int | None = None,
    zones: ZoneRule | None = None,
) -> CallOutcome:
    """Call members in their order until ``needed`` have answered or none is left.

    Parameters
    ----------
    at_once
        How many are called together at first, ``needed`` if left out; others follow for each
        that fails, and when answers are slow.
    zones
        Left out if it does not matter in which zones those who answer lie.
    """
    return _Calls(peer_client, members, message, reply_type, timeout_s, zones).run(
        needed, at_once or needed
    )


class _Calls:
    def __init__(
        self,
        peer_client: PeerClient,
        members: Sequence[Member],
        message: PeerMessage,
        reply_type: Any,
        timeout_s: float,
        zones: ZoneRule | None,
    ) -> None:
        self._peer_client = peer_client
        self._waiting = list(members)
        self._message = message
        self._reply_type = reply_type
        began = boot_clock.now()
        self._deadline = began + timeout_s
        self._other_zone_deadline = began + OTHER_ZONE_WAIT_S
        self._zones = zones
        self._answers: queue.SimpleQueue[tuple[Member, Any]] = queue.SimpleQueue()
        self._in_flight = 0

    def run(self, needed: int, at_once: int) -> CallOutcome:
        replies: list[tuple[Member, Any]] = []
        maybe_acted = False
        for _ in range(at_once):
            self._start_next()
        while self._lacks_answers(replies, needed) and (self._in_flight or self._start_next()):
            deadline = self._deadline if len(replies) < needed else self._other_zone_deadline
            remaining_s = deadline - boot_clock.now()
            if remaining_s <= 0:
                break
            try:
                member, answer = self._answers.get(timeout=min(HEDGE_S, remaining_s))
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
                self._leave_out(_zones_of(replies))
        return CallOutcome(tuple(replies), maybe_acted or self._in_flight > 0)

    def _lacks_answers(self, replies: list[tuple[Member, Any]], needed: int) -> bool:
        if len(replies) < needed:
            return True
        return self._zones is not None and len(_zones_of(replies)) < self._zones.needed

    def _hedge(self, replies: list[tuple[Member, Any]], needed: int) -> None:
        """Call more members as answers are slow.

        Silence may mean that a zone is cut off. So as many as are missing are called at once, first
        those of zones that have answered and of the own one; if only a further zone is missing,
        first those of the others.
        """
        if self._zones is None:
            self._start_next()
            return
        heard = _zones_of(replies) | {self._zones.own}
        reachable = [member for member in self._waiting if member.zone in heard]
        others = [member for member in self._waiting if member.zone not in heard]
        self._waiting = reachable + others if len(replies) < needed else others + reachable
        for _ in range(max(1, needed - len(replies))):
            self._start_next()

    def _leave_out(self, zones: set[str]) -> None:
        """Call no more members of these zones: only one of a further zone is missing, if any."""
        self._waiting = [member for member in self._waiting if member.zone not in zones]

    def _start_next(self) -> bool:
        if not self._waiting:
            return False
        member = self._waiting.pop(0)
        self._in_flight += 1
        threading.Thread(target=self._call, args=(member,), name="peer-call", daemon=True).start()
        return True

    def _call(self, member: Member) -> None:
        timeout_s = max(0.05, self._deadline - boot_clock.now())
        answer = self._peer_client.call(member.peer, self._message, self._reply_type, timeout_s)
        self._answers.put((member, answer))


def _zones_of(replies: Iterable[tuple[Member, Any]]) -> set[str]:
    return {member.zone for member, _ in replies}
