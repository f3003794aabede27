"""One message to several peers at once, until enough of them have answered."""

from __future__ import annotations

import queue
import threading
from collections.abc import Sequence
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


def call_members(
    peer_client: PeerClient,
    members: Sequence[Member],
    message: PeerMessage,
    reply_type: Any,
    needed: int,
    timeout_s: float,
    at_once: int | None = None,
) -> CallOutcome:
    """Call members in their order until ``needed`` have answered or none is left.

    Parameters
    ----------
    at_once
        How many are called together at first, ``needed`` if left out; others follow for each
        that fails, and when answers are slow.
    """
    return _Calls(peer_client, members, message, reply_type, timeout_s).run(
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
    ) -> None:
        self._peer_client = peer_client
        self._waiting = list(members)
        self._message = message
        self._reply_type = reply_type
        self._deadline = boot_clock.now() + timeout_s
        self._answers: queue.SimpleQueue[tuple[Member, Any]] = queue.SimpleQueue()
        self._in_flight = 0

    def run(self, needed: int, at_once: int) -> CallOutcome:
        replies: list[tuple[Member, Any]] = []
        maybe_acted = False
        for _ in range(at_once):
            self._start_next()
        while len(replies) < needed and (self._in_flight or self._start_next()):
            remaining_s = self._deadline - boot_clock.now()
            if remaining_s <= 0:
                break
            try:
                member, answer = self._answers.get(timeout=min(HEDGE_S, remaining_s))
            except queue.Empty:
                self._start_next()
                continue
            self._in_flight -= 1
            if isinstance(answer, PeerUnreachable | PeerRefusal | PeerNoReply):
                maybe_acted = maybe_acted or isinstance(answer, PeerNoReply)
                self._start_next()
            else:
                replies.append((member, answer))
        return CallOutcome(tuple(replies), maybe_acted or self._in_flight > 0)

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
