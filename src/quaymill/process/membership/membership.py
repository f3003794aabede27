"""SWIM-style membership over UDP: who lives, who drains, and what versions they hold.

Each node probes one other node a period, in a shuffled order that reaches all. A node that
answers neither directly nor through others is SUSPECT; unless it refutes that in time it is
DEAD. News rides on the probes, and a periodic comparison with a random node, sometimes one
held for dead, brings everything that was missed, also after a partition has healed.

Two threads serve a node: one receives, one probes.
"""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time
from collections.abc import Callable, Iterable

import msgspec
from eliot import log_message

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.member import Member, MemberState
from quaymill.process.membership.dissemination import Dissemination
from quaymill.process.membership.member_table import MemberTable
from quaymill.process.membership.messages import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    Notice,
    Probe,
    ProbeReply,
    ProbeRequest,
    Sync,
    SyncAnswer,
    decode_datagram,
    encode_datagram,
    encoded_size,
)
from quaymill.process.membership.ranking import reader_nodes
from quaymill.process.settings import NodeSettings

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
INDIRECT_PROBES = 3
NOTICE_FANOUT = 4
DRAINING_FANOUT = 8
SYNC_INTERVAL_S = 10.0
REJOIN_INTERVAL_S = 3.0
MAX_SYNC_DATAGRAMS = 24
PAUSE_THRESHOLD_S = 1.0
MAX_RELAYED_PROBES = 1000
RELAYED_PROBE_LIFETIME_S = 5.0

Listener = Callable[[], None]


class Traffic(msgspec.Struct):
    """What this node has sent and received, without the headers of UDP and IP."""

    sent_datagrams: int = 0
    sent_bytes: int = 0
    received_datagrams: int = 0
    received_bytes: int = 0


class _RelayedProbe(msgspec.Struct, frozen=True):
    """A probe made for another node, to which the reply is passed on."""

    asker: Endpoint
    sequence: int
    expires: float


class Membership:
    """One node's part in the membership.

    Parameters
    ----------
    settings
        Name, zone, addresses, seeds and timing of this node.
    link_filter
        Fault switch: nothing is sent to a blocked endpoint.
    """

    def __init__(self, settings: NodeSettings, link_filter: LinkFilter | None = None) -> None:
        self._timing = settings.membership
        self._link_filter = link_filter or LinkFilter()
        self._random = random.Random(f"{settings.name}/{time.time_ns()}")
        self._table = MemberTable(
            Member(
                name=settings.name,
                zone=settings.zone,
                region=settings.region,
                peer=settings.peer_endpoint,
                http=settings.http_endpoint,
                # A restarted node starts above the incarnation that its peers remember;
                # if its clock went back, refutation raises the number further.
                incarnation=int(time.time() * 1000),
                has_disk=bool(settings.data_folder),
            )
        )
        self._news = Dissemination()
        self._seeds_lock = threading.Lock()
        self._seeds = {Endpoint.parse(seed) for seed in settings.seeds}
        self._seeds.discard(settings.peer_endpoint)
        self._listeners: list[Listener] = []
        self._probe_order: list[str] = []
        self._replies: dict[int, threading.Event] = {}
        self._relayed: dict[int, _RelayedProbe] = {}
        self._sequence = 0
        self._sequence_lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self.traffic = Traffic()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind((settings.address, settings.peer_port))

    def start(self) -> None:
        """Begin to answer and to probe."""
        for target, name in ((self._receive, "member-receive"), (self._probe_loop, "member-probe")):
            thread = threading.Thread(target=target, name=name, daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop without a word; peers find the node dead. Announce draining first if planned."""
        self._stopping.set()
        with contextlib.suppress(OSError):
            # A datagram to itself wakes the receiving thread from its wait.
            self._socket.sendto(b"\n", self._socket.getsockname())
        for thread in self._threads:
            thread.join(timeout=5.0)
        self._socket.close()

    def members(self) -> tuple[Member, ...]:
        """Return every member known, this node and the dead included."""
        return self._table.all()

    def live(self) -> tuple[Member, ...]:
        """Return the members that may be given work: alive or suspect, and not draining."""
        return tuple(
            member
            for member in self._table.all()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT) and not member.draining
        )

    def local(self) -> Member:
        """Return the record of this node."""
        return self._table.local()

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` after news of members or of versions; it must not block."""
        self._listeners.append(listener)

    def add_seeds(self, endpoints: Iterable[Endpoint]) -> None:
        """Add nodes to join through, such as those of the machine list."""
        with self._seeds_lock:
            self._seeds.update(endpoints)
            self._seeds.discard(self.local().peer)

    def announce_draining(self) -> None:
        """Tell all nodes that this one is about to stop; they give it no new work."""
        local = self._table.update_local(
            state=MemberState.DRAINING, draining=True, incarnation=self.local().incarnation + 1
        )
        self._news.add(local)
        self._notify(DRAINING_FANOUT)
        self._tell_listeners()

    def publish(
        self, configuration_generation: int | None = None, machine_list_version: int | None = None
    ) -> None:
        """Tell what this node holds now; some peers hear of it at once, all with the probes."""
        fields = {}
        if configuration_generation is not None:
            fields["configuration_generation"] = configuration_generation
        if machine_list_version is not None:
            fields["machine_list_version"] = machine_list_version
        self._table.update_local(**fields)
        self._notify(NOTICE_FANOUT)

    # Receiving.

    def _receive(self) -> None:
        while not self._stopping.is_set():
            try:
                line, address = self._socket.recvfrom(65536)
            except OSError:
                if self._stopping.is_set():
                    return
                continue  # A peer that is gone shows as an error on the socket now and then.
            datagram = decode_datagram(line)
            if datagram is None:
                continue
            self.traffic.received_datagrams += 1
            self.traffic.received_bytes += len(line)
            try:
                self._handle(datagram, Endpoint(*address))
            except Exception as error:  # One strange datagram must not end the membership.
                log_message("membership:handler_error", error=repr(error))

    def _handle(self, datagram: Datagram, source: Endpoint) -> None:
        revision = self._table.revision
        for record in datagram.records:
            self._merge(record)
        self._table.heard_from(
            datagram.sender, datagram.incarnation, datagram.generation, datagram.machines
        )
        match datagram:
            case Probe():
                self._send(
                    source,
                    ProbeReply(
                        **self._head(), sequence=datagram.sequence, subject=self.local().name
                    ),
                )
            case ProbeReply():
                self._on_reply(datagram)
            case ProbeRequest():
                self._relay_probe(datagram, source)
            case Sync():
                self._answer_sync(datagram, source)
            case SyncAnswer() if datagram.wanted:
                self._send_records(source, frozenset(datagram.wanted))
        self._correct_sender(datagram, source)
        if self._table.revision != revision:
            self._tell_listeners()

    def _correct_sender(self, datagram: Datagram, source: Endpoint) -> None:
        """Introduce this node to a stranger, and tell a node that it is held for dead."""
        held = self._table.get(datagram.sender)
        if held is None:
            if not isinstance(datagram, Sync | SyncAnswer):
                self._send_sync(source)
        elif held.state is MemberState.DEAD and not isinstance(datagram, SyncAnswer):
            self._send(source, Notice(**self._head()), first=(held,))

    def _on_reply(self, reply: ProbeReply) -> None:
        event = self._replies.get(reply.sequence)
        if event is not None:
            event.set()
        relayed = self._relayed.pop(reply.sequence, None)
        if relayed is not None:
            self._send(
                relayed.asker,
                ProbeReply(**self._head(), sequence=relayed.sequence, subject=reply.subject),
            )

    def _relay_probe(self, request: ProbeRequest, asker: Endpoint) -> None:
        now = time.monotonic()
        if len(self._relayed) >= MAX_RELAYED_PROBES:
            self._relayed = {
                sequence: relayed
                for sequence, relayed in self._relayed.items()
                if relayed.expires > now
            }
        sequence = self._next_sequence()
        self._relayed[sequence] = _RelayedProbe(
            asker, request.sequence, now + RELAYED_PROBE_LIFETIME_S
        )
        self._send(request.target, Probe(**self._head(), sequence=sequence))

    def _answer_sync(self, sync: Sync, source: Endpoint) -> None:
        own = self._table.digests()
        differing = frozenset(
            bucket
            for bucket, (left, right) in enumerate(zip(own, sync.digests, strict=False))
            if left != right
        )
        if differing:
            self._send_records(source, differing, wanted=tuple(sorted(differing)))

    def _send_records(
        self, target: Endpoint, buckets: frozenset[int], wanted: tuple[int, ...] = ()
    ) -> None:
        """Send the records of some buckets, with the wish for the other side's on the last."""
        members = self._table.in_buckets(buckets)
        self._random.shuffle(members)  # What does not fit now comes with a later exchange.
        batches: list[list[Member]] = [[]]
        room = self._room(wanted)
        for member in members:
            size = encoded_size(member)
            if size > room:
                batches.append([])
                room = self._room(wanted)
            batches[-1].append(member)
            room -= size
        batches = batches[:MAX_SYNC_DATAGRAMS]
        for index, batch in enumerate(batches):
            last = index == len(batches) - 1
            answer = SyncAnswer(**self._head(), wanted=wanted if last else ())
            answer.records = tuple(batch)
            self._transmit(target, answer)

    def _room(self, wanted: tuple[int, ...]) -> int:
        return MAX_DATAGRAM_BYTES - len(encode_datagram(SyncAnswer(**self._head(), wanted=wanted)))

    # Probing.

    def _probe_loop(self) -> None:
        interval_s = self._timing.probe_interval_s
        next_probe = time.monotonic()
        next_sync = next_probe
        next_rejoin = next_probe
        while not self._stopping.is_set():
            now = time.monotonic()
            if now - next_probe > PAUSE_THRESHOLD_S + interval_s:
                # This process was paused: its suspects had no chance to be heard.
                self._table.postpone_suspicions(now - next_probe)
                next_probe = now
            if now >= next_rejoin:
                self._rejoin()
                next_rejoin = now + REJOIN_INTERVAL_S * self._random.uniform(0.8, 1.2)
            if now >= next_sync:
                self._sync_with_one()
                next_sync = now + SYNC_INTERVAL_S * self._random.uniform(0.8, 1.2)
            self._probe_next()
            self._bury_suspects()
            self._table.forget_dead()
            next_probe += interval_s
            self._stopping.wait(max(next_probe - time.monotonic(), 0.0))

    def _probe_next(self) -> None:
        target = self._next_target()
        if target is None:
            return
        sequence = self._next_sequence()
        answered = threading.Event()
        self._replies[sequence] = answered
        try:
            self._send(target.peer, Probe(**self._head(), sequence=sequence), first=_ill(target))
            if answered.wait(self._timing.probe_timeout_s):
                return
            self._probe_indirectly(target, sequence)
            remaining_s = self._timing.probe_interval_s - self._timing.probe_timeout_s
            if answered.wait(max(remaining_s, self._timing.probe_timeout_s)):
                return
        finally:
            del self._replies[sequence]
        record = self._table.suspect(target.name)
        if record is not None:
            self._news.add(record)
            self._tell_listeners()

    def _probe_indirectly(self, target: Member, sequence: int) -> None:
        helpers = [
            member
            for member in self._table.peers()
            if member.name != target.name and member.state is not MemberState.SUSPECT
        ]
        for helper in self._random.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
            request = ProbeRequest(**self._head(), sequence=sequence, target=target.peer)
            self._send(helper.peer, request)

    def _next_target(self) -> Member | None:
        """Return the next member of a shuffled round over all."""
        while True:
            if not self._probe_order:
                self._probe_order = [member.name for member in self._table.peers()]
                self._random.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self._table.get(self._probe_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _bury_suspects(self) -> None:
        buried = self._table.bury_suspects(self._timing.suspicion_s)
        for record in buried:
            log_message("membership:dead", node=record.name, zone=record.zone)
            self._news.add(record)
        if buried:
            self._tell_listeners()

    def _rejoin(self) -> None:
        """Greet a seed that is not a member, or a dead member: it may be back, or reachable."""
        known = {member.peer for member in self._table.peers()}
        with self._seeds_lock:
            strangers = {seed for seed in self._seeds if seed not in known}
        strangers.update(member.peer for member in self._table.dead())
        if strangers:
            self._send_sync(self._random.choice(sorted(strangers)))

    def _sync_with_one(self) -> None:
        peers = self._table.peers()
        if peers:
            self._send_sync(self._random.choice(peers).peer)

    def _send_sync(self, target: Endpoint) -> None:
        self._send(
            target, Sync(**self._head(), digests=self._table.digests()), first=(self.local(),)
        )

    # Sending.

    def _notify(self, fanout: int) -> None:
        """Send news at once to some random peers and to the readers of this zone."""
        peers = self._table.peers()
        chosen = {member.name: member for member in reader_nodes(peers, self.local().zone)}
        for member in self._random.sample(peers, min(fanout, len(peers))):
            chosen[member.name] = member
        for member in chosen.values():
            self._send(member.peer, Notice(**self._head()))

    def _head(self) -> dict[str, str | int]:
        local = self._table.local()
        return {
            "sender": local.name,
            "incarnation": local.incarnation,
            "generation": local.configuration_generation,
            "machines": local.machine_list_version,
        }

    def _send(self, target: Endpoint, datagram: Datagram, first: tuple[Member, ...] = ()) -> None:
        """Send a datagram, filled with news as far as there is room."""
        datagram.records = first
        room = MAX_DATAGRAM_BYTES - len(encode_datagram(datagram))
        names = {record.name for record in first}
        news = self._news.take(room, len(self._table.all()))
        datagram.records = first + tuple(record for record in news if record.name not in names)
        self._transmit(target, datagram)

    def _transmit(self, target: Endpoint, datagram: Datagram) -> None:
        if self._link_filter.blocks(target):
            return
        line = encode_datagram(datagram)
        with contextlib.suppress(OSError):  # A lost datagram is the protocol's business.
            self._socket.sendto(line, (target.host, target.port))
            self.traffic.sent_datagrams += 1
            self.traffic.sent_bytes += len(line)

    def _merge(self, record: Member) -> None:
        news = self._table.merge(record)
        if news is not None:
            self._news.add(news)

    def _next_sequence(self) -> int:
        with self._sequence_lock:
            self._sequence += 1
            return self._sequence

    def _tell_listeners(self) -> None:
        for listener in self._listeners:
            listener()


def _ill(member: Member) -> tuple[Member, ...]:
    """Return the record to show to a suspect, so that it can refute it."""
    return (member,) if member.state is MemberState.SUSPECT else ()
