"""Probes of one peer after another: directly, then through others."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member, MemberState
from quaymill.process.membership.member_table import MemberTable
from quaymill.process.membership.messages import Datagram, Probe, ProbeReply, ProbeRequest
from quaymill.process.settings import MembershipSettings

INDIRECT_PROBES = 3
PAUSE_THRESHOLD_S = 1.0
MAX_RELAYED_PROBES = 1000
RELAYED_PROBE_LIFETIME_S = 5.0

Send = Callable[[Endpoint, Datagram, tuple[Member, ...]], None]


class _RelayedProbe(msgspec.Struct, frozen=True):
    """A probe made for another node, to which the reply is passed on."""

    asker: Endpoint
    sequence: int
    expires: float


class FailureDetector:
    """Decides which peer to suspect, and passes on the probes of others.

    Parameters
    ----------
    send
        Sends a datagram with news, and with the given records first.
    head
        Gives the fields that every datagram has.
    """

    def __init__(
        self,
        table: MemberTable,
        timing: MembershipSettings,
        send: Send,
        head: Callable[[], dict[str, str | int]],
        chance: random.Random,
    ) -> None:
        self._table = table
        self._timing = timing
        self._send = send
        self._head = head
        self._random = chance
        self._order: list[str] = []
        self._replies: dict[int, threading.Event] = {}
        self._relayed: dict[int, _RelayedProbe] = {}
        self._sequence = 0
        self._sequence_lock = threading.Lock()
        self._last_round = time.monotonic()

    def probe_next(self) -> Member | None:
        """Probe the next peer for one period; return its record if it is newly suspect."""
        target = self._next_target()
        if target is None:
            return None
        began = time.monotonic()
        if self._is_answered(target):
            return None
        took_s = time.monotonic() - began
        if took_s > self._longest_round_s() + PAUSE_THRESHOLD_S:
            return None  # This process was paused; the reply may wait unread in its socket.
        return self._table.suspect(target.name)

    def bury_suspects(self) -> list[Member]:
        """Mark as dead who did not refute in time; return their records."""
        now = time.monotonic()
        pause_s = now - self._last_round - self._longest_round_s()
        self._last_round = now
        if pause_s > PAUSE_THRESHOLD_S:
            # This process was paused: its suspects had no chance to be heard.
            self._table.postpone_suspicions(pause_s)
        return self._table.bury_suspects(self._timing.suspicion_s)

    def on_reply(self, reply: ProbeReply) -> None:
        """Take a reply, which may belong to a probe made for another node."""
        answered = self._replies.get(reply.sequence)
        if answered is not None:
            answered.set()
        relayed = self._relayed.pop(reply.sequence, None)
        if relayed is not None:
            passed_on = ProbeReply(**self._head(), sequence=relayed.sequence, subject=reply.subject)
            self._send(relayed.asker, passed_on, ())

    def relay(self, request: ProbeRequest, asker: Endpoint) -> None:
        """Probe a node that ``asker`` does not reach."""
        now = time.monotonic()
        if len(self._relayed) >= MAX_RELAYED_PROBES:
            self._relayed = {
                sequence: relayed
                for sequence, relayed in self._relayed.items()
                if relayed.expires > now
            }
        sequence = self._next_sequence()
        expires = now + RELAYED_PROBE_LIFETIME_S
        self._relayed[sequence] = _RelayedProbe(asker, request.sequence, expires)
        self._send(request.target, Probe(**self._head(), sequence=sequence), ())

    def _is_answered(self, target: Member) -> bool:
        sequence = self._next_sequence()
        answered = threading.Event()
        self._replies[sequence] = answered
        # A suspect is shown its record, so that it can refute it.
        shown = (target,) if target.state is MemberState.SUSPECT else ()
        try:
            self._send(target.peer, Probe(**self._head(), sequence=sequence), shown)
            if answered.wait(self._timing.probe_timeout_s):
                return True
            self._probe_indirectly(target, sequence)
            return answered.wait(self._indirect_timeout_s())
        finally:
            del self._replies[sequence]

    def _probe_indirectly(self, target: Member, sequence: int) -> None:
        helpers = [
            member
            for member in self._table.peers()
            if member.name != target.name and member.state is not MemberState.SUSPECT
        ]
        for helper in self._random.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
            request = ProbeRequest(**self._head(), sequence=sequence, target=target.peer)
            self._send(helper.peer, request, ())

    def _next_target(self) -> Member | None:
        """Return the next member of a shuffled round over all."""
        while True:
            if not self._order:
                self._order = [member.name for member in self._table.peers()]
                self._random.shuffle(self._order)
                if not self._order:
                    return None
            member = self._table.get(self._order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _indirect_timeout_s(self) -> float:
        remaining_s = self._timing.probe_interval_s - self._timing.probe_timeout_s
        return max(remaining_s, self._timing.probe_timeout_s)

    def _longest_round_s(self) -> float:
        longest_probe_s = self._timing.probe_timeout_s + self._indirect_timeout_s()
        return max(longest_probe_s, self._timing.probe_interval_s)

    def _next_sequence(self) -> int:
        with self._sequence_lock:
            self._sequence += 1
            return self._sequence
