"""Failure detection: probes one peer after another, directly and then through others."""

from __future__ import annotations

import random
import threading
from collections import deque
from collections.abc import Callable

import msgspec

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member, MemberState
from quaymill.process.membership.member_table import MemberTable
from quaymill.process.membership.messages import Datagram, Probe, ProbeReply, ProbeRequest
from quaymill.process.settings import MembershipSettings

INDIRECT_PROBES = 3
PROCESS_PAUSE_S = 1.0
"""If a round of probing is late by more than this, this process itself was probably paused."""
MAX_RELAYED_PROBES = 1000
RELAYED_PROBE_LIFETIME_S = 5.0
MAX_TIMEOUT_FACTOR = 8.0
"""Upper bound of the timeout factor: with probes every 0.5 s, one is then sent every 4 s. A fleet
of 195 nodes takes longer than that to be probed once."""
TIMEOUT_FACTOR_GROWTH = 2.0
"""Factor by which a late reply extends the timeouts."""
TIMEOUT_FACTOR_DECAY = 0.8
"""Factor by which an early reply shortens the timeouts. About three early replies undo a late one,
which avoids oscillation in a fleet that is barely fast enough."""
EARLY_SHARE = 0.5
"""Fraction of the timeout within which a reply is early. It is below ``TIMEOUT_FACTOR_DECAY``, so
an early reply would also have met the shortened timeout."""
REMEMBERED_ABANDONED_PROBES = 16
"""Abandoned probes whose replies are still recognised as late."""

RoundTripListener = Callable[[Member, float], None]
Send = Callable[[Endpoint, Datagram, tuple[Member, ...]], None]


class _RelayedProbe(msgspec.Struct, frozen=True):
    """A probe sent on behalf of another node, to which the reply is forwarded."""

    requester: Endpoint
    sequence: int
    expires: float


class FailureDetector:
    """Decides which peers to suspect, and relays probes for other nodes.

    A reply after its timeout shows that the peer is alive and that timeouts are too short for the
    current load of the network or the processors. Probes are then sent less often and with longer
    timeouts until replies are early again. Without this, an overloaded fleet stays in a state in
    which nodes mark each other as dead: each abandoned probe costs several datagrams and an update
    about a suspect, which delays the next replies even more. A failed node sends no late replies,
    so its detection takes no longer.

    Parameters
    ----------
    send
        Sends a datagram with the given records first and pending updates after them.
    header_fields
        Returns the fields that every datagram has.

    Attributes
    ----------
    on_round_trip
        Called with each peer that has answered a probe early, and the time it took in seconds.
    """

    def __init__(
        self,
        table: MemberTable,
        timing: MembershipSettings,
        send: Send,
        header_fields: Callable[[], dict[str, str | int]],
        random_source: random.Random,
    ) -> None:
        self._table = table
        self._timing = timing
        self._send = send
        self._header_fields = header_fields
        self._random = random_source
        self._probe_order: list[str] = []
        self._awaited_replies: dict[int, threading.Event] = {}
        self._abandoned: deque[int] = deque(maxlen=REMEMBERED_ABANDONED_PROBES)
        self._timeout_factor = 1.0
        self._relayed: dict[int, _RelayedProbe] = {}
        self._sequence = 0
        self._sequence_lock = threading.Lock()
        self._last_round_at = boot_clock.now()
        self.on_round_trip: RoundTripListener = lambda member, took_s: None

    @property
    def timeout_factor(self) -> float:
        """Factor by which probe intervals and timeouts are extended now; at least 1."""
        return self._timeout_factor

    def probe_next(self) -> Member | None:
        """Probe the next peer and wait for its reply; return its record if newly suspect."""
        target = self._next_peer()
        if target is None:
            return None
        began = boot_clock.now()
        if self._probe_is_answered(target):
            return None
        elapsed_s = boot_clock.now() - began
        if elapsed_s > self._max_round_s() + PROCESS_PAUSE_S:
            return None  # This process was paused; the reply may be unread in the socket.
        return self._table.suspect(target.name)

    def expire_suspects(self) -> list[Member]:
        """Mark suspects that did not refute in time as dead; return their records."""
        now = boot_clock.now()
        pause_s = now - self._last_round_at - self._max_round_s()
        self._last_round_at = now
        if pause_s > PROCESS_PAUSE_S:
            # This process was paused, so it may not have read refutations.
            self._table.postpone_suspicions(pause_s)
        return self._table.expire_suspects(self._timing.suspicion_s * self._timeout_factor)

    def on_reply(self, reply: ProbeReply) -> None:
        """Handle a reply, which may belong to a probe sent on behalf of another node."""
        answered = self._awaited_replies.get(reply.sequence)
        if answered is not None:
            answered.set()
        elif reply.sequence in self._abandoned:
            self._abandoned.remove(reply.sequence)
            self._timeout_factor = min(
                MAX_TIMEOUT_FACTOR, TIMEOUT_FACTOR_GROWTH * self._timeout_factor
            )
        relayed = self._relayed.pop(reply.sequence, None)
        if relayed is not None:
            forwarded_reply = ProbeReply(
                **self._header_fields(), sequence=relayed.sequence, subject=reply.subject
            )
            self._send(relayed.requester, forwarded_reply, ())

    def relay(self, request: ProbeRequest, requester: Endpoint) -> None:
        """Probe a node on behalf of ``requester``, which got no reply from it."""
        now = boot_clock.now()
        if len(self._relayed) >= MAX_RELAYED_PROBES:
            self._relayed = {
                sequence: relayed
                for sequence, relayed in self._relayed.items()
                if relayed.expires > now
            }
        sequence = self._next_sequence()
        expires = now + RELAYED_PROBE_LIFETIME_S
        self._relayed[sequence] = _RelayedProbe(requester, request.sequence, expires)
        self._send(request.target, Probe(**self._header_fields(), sequence=sequence), ())

    def _probe_is_answered(self, target: Member) -> bool:
        sequence = self._next_sequence()
        answered = threading.Event()
        self._awaited_replies[sequence] = answered
        # A suspect receives its own record, so that it can refute the suspicion.
        first_records = (target,) if target.state is MemberState.SUSPECT else ()
        timeout_s = self._timing.probe_timeout_s * self._timeout_factor
        began = boot_clock.now()
        try:
            self._send(
                target.peer, Probe(**self._header_fields(), sequence=sequence), first_records
            )
            if answered.wait(EARLY_SHARE * timeout_s):
                self.on_round_trip(target, boot_clock.now() - began)
                self._timeout_factor = max(1.0, TIMEOUT_FACTOR_DECAY * self._timeout_factor)
                return True
            if answered.wait((1.0 - EARLY_SHARE) * timeout_s):
                return True
            self._probe_indirectly(target, sequence)
            if answered.wait(self._indirect_timeout_s()):
                return True
            self._abandoned.append(sequence)
            return False
        finally:
            del self._awaited_replies[sequence]

    def _probe_indirectly(self, target: Member, sequence: int) -> None:
        helpers = [
            member
            for member in self._table.peers()
            if member.name != target.name and member.state is not MemberState.SUSPECT
        ]
        for helper in self._random.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
            request = ProbeRequest(**self._header_fields(), sequence=sequence, target=target.peer)
            self._send(helper.peer, request, ())

    def _next_peer(self) -> Member | None:
        """Return the next peer of a shuffled round over all peers."""
        while True:
            if not self._probe_order:
                self._probe_order = [member.name for member in self._table.peers()]
                self._random.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self._table.get(self._probe_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _indirect_timeout_s(self) -> float:
        remaining_s = self._timing.probe_interval_s - self._timing.probe_timeout_s
        return max(remaining_s, self._timing.probe_timeout_s) * self._timeout_factor

    def _max_round_s(self) -> float:
        """Return the longest time that one probe and the pause after it should take."""
        direct_s = self._timing.probe_timeout_s * self._timeout_factor
        interval_s = self._timing.probe_interval_s * self._timeout_factor
        return max(direct_s + self._indirect_timeout_s(), interval_s)

    def _next_sequence(self) -> int:
        with self._sequence_lock:
            self._sequence += 1
            return self._sequence
