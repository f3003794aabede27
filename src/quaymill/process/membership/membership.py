"""SWIM-style membership over UDP: which nodes are alive or draining, and their versions.

Each period, a node probes one other node, in a shuffled order that covers all nodes. A node that
answers neither directly nor through others becomes SUSPECT, and DEAD unless it refutes that in
time. Updates are piggybacked on the probes. A periodic comparison with a random node, sometimes
one marked as dead, transfers all that was missed, also after a partition has healed.

One thread receives datagrams and one sends probes; a third one joins the fleet after the start.
"""

from __future__ import annotations

import math
import random
import secrets
import threading
import time
from collections.abc import Callable, Iterable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.member import Member, MemberState
from quaymill.process.membership.dissemination import Dissemination
from quaymill.process.membership.failure_detector import FailureDetector, RoundTripListener
from quaymill.process.membership.member_socket import MemberSocket, Traffic
from quaymill.process.membership.member_table import MemberTable
from quaymill.process.membership.messages import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    MemberRecord,
    Notice,
    Probe,
    ProbeReply,
    ProbeRequest,
    Sync,
    SyncAnswer,
    encode_datagram,
)
from quaymill.process.membership.ranking import reader_nodes
from quaymill.process.membership.synchronisation import Synchronisation
from quaymill.process.settings import NodeSettings

NOTICE_FANOUT = 4
DRAINING_FANOUT = 8
SYNC_INTERVAL_S = 10.0
JOIN_INTERVAL_S = 0.2
STOP_TIMEOUT_S = 5.0
PROCESS_ID_BYTES = 4

MAX_CONFIRMED_AGE_S = 60.0
"""Age at which a confirmation is no longer reported to other nodes."""
MIN_LOGGED_SUSPENSION_S = 0.2
"""Shortest suspension that is logged; no timeout that other nodes rely on is shorter."""

Listener = Callable[[], None]
ConfirmationListener = Callable[[int, int, int, float], None]
"""Receives generation, machine list version, revision of the evacuated zones, and when they were
known to be the newest."""
CrashListener = Callable[[str, int], None]
"""Receives a node's name and its digest of crashes."""
DatagramListener = Callable[[str], None]
"""Receives the name of the node that sent a datagram."""
UNAWAITED_SEQUENCE = 0
"""Sequence number of probes whose reply nobody waits for; the failure detector's begin at 1."""


class Membership:
    """Membership protocol of one node.

    Parameters
    ----------
    settings
        Name, zone, addresses, seeds and timing of this node.
    link_filter
        Fault injection: nothing is sent to a blocked endpoint.
    """

    def __init__(self, settings: NodeSettings, link_filter: LinkFilter | None = None) -> None:
        self._timing = settings.membership
        self._random = random.Random(f"{settings.name}/{time.time_ns()}")
        self._table = MemberTable(_local_member(settings))
        self._updates = Dissemination()
        self._seeds_lock = threading.Lock()
        self._seeds = {Endpoint.parse(seed) for seed in settings.seeds}
        self._seeds.discard(settings.peer_endpoint)
        self._listeners: list[Listener] = []
        self._confirmation_listener: ConfirmationListener | None = None
        self._confirmed_at: float | None = None
        self._crash_digest = 0
        self._crash_listener: CrashListener | None = None
        self._datagram_listener: DatagramListener | None = None
        self._corrected_at_by_name: dict[str, float] = {}
        self._logged_lock = threading.Lock()
        self._logged_states: dict[str, tuple[MemberState, str]] = {}
        self._suspended_s = boot_clock.suspended_s()
        self._stopping = threading.Event()
        self._prober: threading.Thread | None = None
        self._socket = MemberSocket(settings.peer_endpoint, link_filter or LinkFilter())
        self._detector = FailureDetector(
            self._table, self._timing, self._send, self._header_fields, self._random
        )
        self._synchronisation = Synchronisation(
            self._table, self._socket, self._header_fields, self._random
        )

    @property
    def traffic(self) -> Traffic:
        """Datagrams and bytes that this node's membership has sent and received."""
        return self._socket.traffic

    def start(self) -> None:
        """Begin to answer datagrams and to probe other nodes."""
        self._socket.start(self._handle)
        self._prober = threading.Thread(target=self._probe_loop, name="member-probe", daemon=True)
        self._prober.start()
        if self._timing.join_period_s:
            threading.Thread(target=self._join, name="member-join", daemon=True).start()

    def stop(self) -> None:
        """Stop without notifying peers, which then detect the failure.

        For a planned stop, call ``announce_draining`` first.
        """
        self._stopping.set()
        if self._prober is not None:
            self._prober.join(STOP_TIMEOUT_S)
        self._socket.stop()

    def members(self) -> tuple[Member, ...]:
        """Return every member known, this node and the dead included."""
        return self._table.all()

    def dead_for_s(self, name: str) -> float:
        """Return how long ago a member was marked as dead; 0 if it is not."""
        return self._table.dead_for_s(name)

    def live(self) -> tuple[Member, ...]:
        """Return the members that may receive work: alive or suspect, and not draining."""
        return tuple(
            member
            for member in self._table.all()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT) and not member.draining
        )

    def local(self) -> Member:
        """Return the record of this node."""
        return self._table.local()

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` after each change of members or versions; it must not block."""
        self._listeners.append(listener)

    def on_confirmation(self, listener: ConfirmationListener) -> None:
        """Call ``listener`` with the versions that other nodes report as the newest."""
        self._confirmation_listener = listener

    def on_crash_digest(self, listener: CrashListener) -> None:
        """Call ``listener`` when a node reports a digest of crashes other than the local one."""
        self._crash_listener = listener

    def on_round_trip(self, listener: RoundTripListener) -> None:
        """Call ``listener`` with each member that answers a probe early, and the time it took."""
        self._detector.on_round_trip = listener

    def on_datagram(self, listener: DatagramListener) -> None:
        """Call ``listener`` with the sender's name of each datagram; it must not block."""
        self._datagram_listener = listener

    @property
    def timeout_factor(self) -> float:
        """Factor by which probe intervals and timeouts are extended now; at least 1."""
        return self._detector.timeout_factor

    def probe(self, members: Iterable[Member]) -> None:
        """Probe these members in addition to the periodic probes, without waiting.

        Replies are passed to the datagram listener.
        """
        for member in members:
            self._send(member.peer, Probe(**self._header_fields(), sequence=UNAWAITED_SEQUENCE))

    def publish_crash_digest(self, digest: int) -> None:
        """Include this digest of the locally known crashes in each datagram."""
        self._crash_digest = digest

    def confirm_versions(self, at: float) -> None:
        """Record that the published versions were the newest at this time of the boot clock."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def confirmed_age_s(self) -> float:
        """Return how long ago the published versions were known to be the newest."""
        at = self._confirmed_at
        return float("inf") if at is None else boot_clock.now() - at

    def send_notice(self, members: Iterable[Member]) -> None:
        """Send a notice with pending updates to these members at once."""
        for member in members:
            self._send(member.peer, Notice(**self._header_fields()))

    def add_seeds(self, endpoints: Iterable[Endpoint]) -> None:
        """Add nodes through which to join, such as those of the machine list."""
        with self._seeds_lock:
            self._seeds.update(endpoints)
            self._seeds.discard(self.local().peer)

    def announce_draining(self) -> None:
        """Announce that this node is about to stop, so that it receives no new work."""
        local = self._table.update_local(
            state=MemberState.DRAINING, draining=True, incarnation=self.local().incarnation + 1
        )
        self._updates.add(local)
        self._notify_peers(DRAINING_FANOUT)
        self._notify_listeners()

    def withdraw_draining(self) -> None:
        """Announce that this node does not stop after all."""
        local = self._table.update_local(
            state=MemberState.ALIVE, draining=False, incarnation=self.local().incarnation + 1
        )
        self._updates.add(local)
        self._notify_peers(DRAINING_FANOUT)
        self._notify_listeners()

    def publish(
        self,
        configuration_generation: int | None = None,
        machine_list_version: int | None = None,
        evacuations_revision: int | None = None,
    ) -> None:
        """Publish this node's versions: to some peers at once, to all others with the probes."""
        fields = {}
        if configuration_generation is not None:
            fields["configuration_generation"] = configuration_generation
        if machine_list_version is not None:
            fields["machine_list_version"] = machine_list_version
        if evacuations_revision is not None:
            fields["evacuations_revision"] = evacuations_revision
        self._table.update_local(**fields)
        self._notify_peers(NOTICE_FANOUT)

    def _handle(self, datagram: Datagram, source: Endpoint, delayed: bool = False) -> None:
        """Handle one datagram; runs on the receiving thread."""
        if self._datagram_listener is not None:
            self._datagram_listener(datagram.sender)
        revision = self._table.revision
        for record in datagram.records:
            update = self._table.merge(record.member())
            # Records received in a comparison are not spread, since other nodes receive them in
            # comparisons of their own. A refutation by this node is always spread.
            if update is not None and (
                not isinstance(datagram, SyncAnswer) or update.name == self.local().name
            ):
                self._updates.add(update)
        self._table.record_versions(
            datagram.sender,
            datagram.incarnation,
            datagram.generation,
            datagram.machines,
            datagram.evacuations,
        )
        self._handle_header(datagram, delayed)
        match datagram:
            case Probe():
                name = self.local().name
                reply = ProbeReply(
                    **self._header_fields(), sequence=datagram.sequence, subject=name
                )
                self._send(source, reply)
            case ProbeReply():
                self._detector.on_reply(datagram)
            case ProbeRequest():
                self._detector.relay(datagram, source)
            case Sync():
                self._synchronisation.answer(datagram, source)
            case SyncAnswer() if datagram.wanted:
                self._synchronisation.send_records(source, frozenset(datagram.wanted))
        self._correct_sender(datagram, source)
        if self._table.revision != revision:
            self._notify_listeners()

    def _handle_header(self, datagram: Datagram, delayed: bool) -> None:
        """Pass the confirmation and the crash digest of a datagram to the listeners.

        The age of a confirmation counts from when it was sent, so one that waited is not used.
        """
        is_confirmation = datagram.confirmed_ms_ago >= 0 and not delayed
        if is_confirmation and self._confirmation_listener is not None:
            at = boot_clock.now() - datagram.confirmed_ms_ago / 1000
            self._confirmation_listener(
                datagram.generation, datagram.machines, datagram.evacuations, at
            )
        if self._crash_listener is not None and datagram.crashes != self._crash_digest:
            self._crash_listener(datagram.sender, datagram.crashes)

    def _correct_sender(self, datagram: Datagram, source: Endpoint) -> None:
        """Start a comparison with an unknown sender; notify one that is marked as dead."""
        if isinstance(datagram, SyncAnswer):
            return
        known = self._table.get(datagram.sender)
        if known is not None and known.state is not MemberState.DEAD:
            return
        # The rate limit keeps two nodes that mark each other as dead from an endless exchange.
        now = boot_clock.now()
        if (
            now - self._corrected_at_by_name.get(datagram.sender, -math.inf)
            < self._timing.probe_interval_s
        ):
            return
        self._corrected_at_by_name[datagram.sender] = now
        if known is None:
            self._synchronisation.begin(source)
        else:
            self._send(source, Notice(**self._header_fields()), first_records=(known,))

    def _probe_loop(self) -> None:
        interval_s = self._timing.probe_interval_s
        next_probe = boot_clock.now()
        next_sync = next_probe
        next_rejoin = next_probe
        while not self._stopping.is_set():
            now = boot_clock.now()
            self._log_suspension()
            if now >= next_rejoin:
                self._rejoin()
                next_rejoin = now + self._timing.rejoin_interval_s * self._random.uniform(0.8, 1.2)
            if now >= next_sync:
                self._sync_with_random_peer()
                next_sync = now + SYNC_INTERVAL_S * self._random.uniform(0.8, 1.2)
            self._probe_once()
            pause_s = interval_s * self._detector.timeout_factor
            next_probe = max(next_probe + pause_s, boot_clock.now() - interval_s)
            self._stopping.wait(max(next_probe - boot_clock.now(), 0.0))

    def _log_suspension(self) -> None:
        """Log if the machine was suspended since the last check.

        Timeouts need no correction, since the boot clock also runs during a suspension.
        """
        suspended_s = boot_clock.suspended_s()
        for_s = suspended_s - self._suspended_s
        if for_s >= MIN_LOGGED_SUSPENSION_S:
            self._suspended_s = suspended_s
            log_message("node:suspended", for_s=round(for_s, 3))

    def _probe_once(self) -> None:
        suspect = self._detector.probe_next()
        newly_dead = self._detector.expire_suspects()
        self._table.forget_dead()
        for record in newly_dead:
            log_message("membership:dead", node=record.name, zone=record.zone)
        changed = [*newly_dead] if suspect is None else [suspect, *newly_dead]
        for record in changed:
            self._updates.add(record)
        if changed:
            self._notify_listeners()

    def _log_changes(self) -> None:
        """Log each member whose state or process has changed since it was last logged."""
        with self._logged_lock:
            for member in self._table.all():
                state_and_process = (_logged_state(member), member.process_id)
                if (
                    self._logged_states.get(member.name) == state_and_process
                    or member.name == self.local().name
                ):
                    continue
                self._logged_states[member.name] = state_and_process
                log_message(
                    "membership:member",
                    member=member.name,
                    zone=member.zone,
                    state=state_and_process[0].value,
                    process=member.process_id,
                )

    def _join(self) -> None:
        """Contact seeds and members frequently during the first seconds.

        When many nodes start together, a seed may not listen yet at the first attempt, and nodes
        that join a moment later would only become known with the slower periodic comparison.
        """
        until = boot_clock.now() + self._timing.join_period_s
        while boot_clock.now() < until and not self._stopping.wait(JOIN_INTERVAL_S):
            for seed in self._unknown_seeds():
                self._synchronisation.begin(seed)
            self._sync_with_random_peer()

    def _unknown_seeds(self) -> set[Endpoint]:
        """Return the seeds that are not among the known live members."""
        member_endpoints = {member.peer for member in self._table.peers()}
        with self._seeds_lock:
            return {seed for seed in self._seeds if seed not in member_endpoints}

    def _rejoin(self) -> None:
        """Start a comparison with an unknown seed or a dead member, which may be back."""
        targets = self._unknown_seeds()
        targets.update(member.peer for member in self._table.dead())
        if targets:
            self._synchronisation.begin(self._random.choice(sorted(targets)))

    def _sync_with_random_peer(self) -> None:
        peers = self._table.peers()
        if peers:
            self._synchronisation.begin(self._random.choice(peers).peer)

    def _notify_peers(self, fanout: int) -> None:
        """Send a notice at once to random peers and to the reader nodes of this zone."""
        peers = self._table.peers()
        chosen = {member.name: member for member in reader_nodes(peers, self.local().zone)}
        for member in self._random.sample(peers, min(fanout, len(peers))):
            chosen[member.name] = member
        self.send_notice(chosen.values())

    def _header_fields(self) -> dict[str, str | int]:
        local = self._table.local()
        age_s = self.confirmed_age_s()
        return {
            "sender": local.name,
            "incarnation": local.incarnation,
            "generation": local.configuration_generation,
            "machines": local.machine_list_version,
            "confirmed_ms_ago": int(age_s * 1000) if age_s < MAX_CONFIRMED_AGE_S else -1,
            "crashes": self._crash_digest,
            "evacuations": local.evacuations_revision,
        }

    def _send(
        self, target: Endpoint, datagram: Datagram, first_records: tuple[Member, ...] = ()
    ) -> None:
        """Send a datagram with the records ``first_records`` and as many updates as fit."""
        datagram.records = tuple(MemberRecord.of(record) for record in first_records)
        remaining_bytes = MAX_DATAGRAM_BYTES - len(encode_datagram(datagram))
        names = {record.name for record in first_records}
        updates = self._updates.take_records(remaining_bytes, len(self._table.all()))
        datagram.records += tuple(
            MemberRecord.of(record) for record in updates if record.name not in names
        )
        self._socket.send(target, datagram)

    def _notify_listeners(self) -> None:
        self._log_changes()
        for listener in self._listeners:
            listener()


def _logged_state(member: Member) -> MemberState:
    return MemberState.DRAINING if member.draining else member.state


def _local_member(settings: NodeSettings) -> Member:
    return Member(
        name=settings.name,
        zone=settings.zone,
        region=settings.region,
        peer=settings.peer_endpoint,
        http=settings.http_endpoint,
        # The time puts a restarted node above the incarnation that its peers remember. If its
        # clock was set back, refutation raises the number further.
        incarnation=int(time.time() * 1000),
        has_disk=bool(settings.data_folder),
        process_id=secrets.token_hex(PROCESS_ID_BYTES),
        cores=settings.cores,
    )
