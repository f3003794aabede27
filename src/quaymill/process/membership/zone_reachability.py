"""Which zones this process can reach, told from what it hears itself.

A zone that is cut off sends nothing and refuses nothing: each call there waits for its time-out.
One peer that owes an answer, or one replica that is late with the first byte, makes this process
ask some peers of the zone. If none of these answers, and nothing at all was heard from the zone
meanwhile, the zone cannot be reached. Any word from there ends that at once.
"""

from __future__ import annotations

import enum
import itertools
import math
import random
import threading
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Protocol

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member, MemberState
from quaymill.connection.peer_link import PeerMessage
from quaymill.connection.replica_entry import ReplicaEntry

CHECK_INTERVAL_S = 0.05
PEER_PROBE_AFTER_S = 0.03
"""Silence of a peer that was called after which its zone is asked: several times what an answer
takes with nothing in its way. To ask for nothing costs a few datagrams."""
REPLICA_PROBE_AFTER_S = 0.1
"""The same of a replica, where the first byte takes tens of milliseconds with nothing wrong."""
REPROBE_AFTER_S = 0.25
"""Silence of a zone after which it is asked while something waits there that had begun before the
last word: what it waits for may take its time, or the zone was cut off just then."""
SILENT_AFTER_S = 0.1
"""Silence from which on a peer that was asked counts as silent. With the time until it is asked,
a request that waits in vain goes elsewhere within callers' shortest objective (0.3 s)."""
REQUIRED_SILENT_PEERS = 3
"""Different peers that must be silent, all of a smaller zone: two machines may fail at once."""
MIN_REQUIRED_SILENT_PEERS = 2
"""A zone with fewer peers is never judged: one silent machine says nothing of its zone."""
PEERS_PROBED_AT_ONCE = 3
UNREACHABLE_PROBE_INTERVAL_S = 0.25
"""Time between two questions to a zone that cannot be reached."""
UNANSWERED_RETENTION_S = 2.0
"""How long a call that ended without an answer counts."""
FAST_FAILURE_S = 0.02
"""A call that fails sooner was refused by a machine that is reached, or not sent at all."""
PROCESS_PAUSE_S = 0.1
"""Lateness of a check from which on this process itself was held up: what waited for an answer
meanwhile may have it unread."""


class Reachability(enum.Enum):
    """What is known of a zone."""

    REACHABLE = enum.auto()
    UNCERTAIN = enum.auto()
    UNREACHABLE = enum.auto()


@attrs.frozen
class Evidence:
    """What a process knows of one zone; times are of the boot clock.

    Attributes
    ----------
    heard_at
        When something was heard last from there.
    peers
        How many peers live there, as far as is known.
    peers_owe_since, replicas_owe_since
        Since when peers that were called owe an answer, and since when replicas that were sent
        requests have been silent. Either may have a good reason, so they lead to questions only.
    asked_at
        When peers were asked for a word, by name; they give it at once.
    """

    heard_at: float
    peers: int
    peer_calls_since: Collection[float] = ()
    replicas_silent_since: Collection[float] = ()
    probed_at: Mapping[str, float] = attrs.field(factory=dict)

    def silent(self, now: float, silent_after_s: float) -> tuple[str, ...]:
        """Return the peers that were asked, with nothing heard from the zone since."""
        return tuple(
            name
            for name, at in self.probed_at.items()
            if at > self.heard_at and now - at >= silent_after_s
        )


def assess(evidence: Evidence, now: float, silent_after_s: float = SILENT_AFTER_S) -> Reachability:
    """Return what is known of another zone.

    Parameters
    ----------
    silent_after_s
        Silence from which on a peer that was asked counts as silent.
    """
    heard_at = evidence.heard_at
    if not evidence.peers:
        return _assess_by_replicas(evidence, now)
    needed = max(MIN_REQUIRED_SILENT_PEERS, min(REQUIRED_SILENT_PEERS, evidence.peers))
    if len(evidence.silent(now, silent_after_s)) >= needed:
        return Reachability.UNREACHABLE
    waiting = (
        (evidence.peer_calls_since, PEER_PROBE_AFTER_S),
        (evidence.replicas_silent_since, REPLICA_PROBE_AFTER_S),
    )
    overdue = any(
        _is_overdue(since, heard_at, now, probe_after_s)
        for pending_since, probe_after_s in waiting
        for since in pending_since
    )
    probed = any(at > heard_at for at in evidence.probed_at.values())
    return Reachability.UNCERTAIN if overdue or probed else Reachability.REACHABLE


def _assess_by_replicas(evidence: Evidence, now: float) -> Reachability:
    """Return what is known of a zone all of whose members are dead: its replicas may live."""
    silent = [
        since
        for since in evidence.replicas_silent_since
        if since > evidence.heard_at and now - since >= REPLICA_PROBE_AFTER_S
    ]
    return (
        Reachability.UNREACHABLE
        if len(silent) >= MIN_REQUIRED_SILENT_PEERS
        else Reachability.REACHABLE
    )


def _is_overdue(since: float, heard_at: float, now: float, probe_after_s: float) -> bool:
    """Return whether what is owed since then is reason to ask the zone for a word."""
    if since > heard_at:
        return now - since >= probe_after_s
    # The zone has spoken meanwhile: this one answer may just take long.
    return now - heard_at >= REPROBE_AFTER_S


class MembershipLink(Protocol):
    """What is needed of the membership."""

    @property
    def timeout_factor(self) -> float:
        """By how much answers are waited for longer now; 1 in a calm fleet."""

    def members(self) -> tuple[Member, ...]:
        """Return every member known, this node and the dead included."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after news of members."""

    def on_datagram(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with the name of each sender of a datagram."""

    def probe(self, members: Iterable[Member]) -> None:
        """Ask members for a word."""


class WatchedReplica(Protocol):
    """What is needed of a replica."""

    @property
    def entry(self) -> ReplicaEntry:
        """What it says of itself."""

    @property
    def zone(self) -> str:
        """Where it runs."""

    @property
    def heard_at(self) -> float:
        """When something came from it last."""

    @property
    def owes_since(self) -> float | None:
        """Since when it has been silent with a request from here; ``None`` without one."""


@attrs.define
class _Zone:
    """State of one other zone.

    Attributes
    ----------
    asked_at_by_name
        When peers were asked whether they can be reached, since the zone was last heard.
    lost_at, asked_at
        Since when the zone cannot be reached, and when it was asked last.
    """

    members: tuple[Member, ...] = ()
    heard_at: float = -math.inf
    probed_at_by_name: dict[str, float] = attrs.field(factory=dict)
    unreachable_since: float = 0.0
    probed_at: float = -math.inf

    def live_members(self) -> list[Member]:
        """Return the members that should answer: those that are not held for dead."""
        return [member for member in self.members if member.state is not MemberState.DEAD]

    def discard_answered_probes(self) -> None:
        """Forget what was asked before the zone was heard last."""
        if any(at <= self.heard_at for at in self.probed_at_by_name.values()):
            self.probed_at_by_name.clear()


class ZoneReachability:
    """The zones as this process reaches them; safe to use from any thread.

    It hears of each call to a peer (``began``, ``ended``) and of each datagram; replicas are
    looked at from time to time. Until ``start`` every zone counts as reachable.

    Parameters
    ----------
    own_zone
        Where this process runs; it is always reachable.
    """

    def __init__(self, local_zone: str, membership: MembershipLink) -> None:
        self._local_zone = local_zone
        self._membership = membership
        self._replicas: Callable[[], Iterable[WatchedReplica]] = tuple
        self._is_reached: Callable[[Endpoint], bool] = lambda endpoint: False
        self._random = random.Random()
        self._lock = threading.Lock()
        self._zones: dict[str, _Zone] = {}
        self._members_by_endpoint: dict[Endpoint, Member] = {}
        self._members_by_name: dict[str, Member] = {}
        self._members_changed = True
        self._unreachable: frozenset[str] = frozenset()
        self._tokens = itertools.count()
        self._open_calls: dict[int, tuple[Endpoint, float]] = {}
        self._unanswered: dict[Endpoint, float] = {}
        self._checked_at = boot_clock.now()
        self._stopping = threading.Event()

    def watch_replicas(
        self,
        replicas: Callable[[], Iterable[WatchedReplica]],
        is_reached: Callable[[Endpoint], bool] = lambda endpoint: False,
    ) -> None:
        """Look at these replicas too.

        Parameters
        ----------
        is_reached
            Tries a connection; tells whether anything came back, a refusal included.
        """
        self._replicas = replicas
        self._is_reached = is_reached

    def start(self) -> None:
        """Begin to tell which zones can be reached."""
        self._membership.subscribe(self._on_members_changed)
        self._membership.on_datagram(self._on_datagram)
        self._checked_at = boot_clock.now()
        threading.Thread(target=self._run, name="zone-reach", daemon=True).start()

    def stop(self) -> None:
        """Tell no more."""
        self._stopping.set()

    def is_unreachable(self, zone: str) -> bool:
        """Return whether a zone cannot be reached now."""
        return zone in self._unreachable

    def reachable(self, members: Iterable[Member]) -> tuple[Member, ...]:
        """Return the members in zones that can be reached; all if there is none such."""
        members = tuple(members)
        if not self._unreachable:
            return members
        return tuple(one for one in members if one.zone not in self._unreachable) or members

    @property
    def unreachable_zones(self) -> int:
        """How many zones cannot be reached now."""
        return len(self._unreachable)

    # Calls to peers, as their client tells of them.

    def refuses(self, endpoint: Endpoint) -> bool:
        """Return whether a call would go to a zone that cannot be reached."""
        if not self._unreachable:
            return False
        member = self._members_by_endpoint.get(endpoint)
        return member is not None and member.zone in self._unreachable

    def began(self, endpoint: Endpoint) -> int:
        """Note that a peer is being called; returns what ``ended`` is to be given."""
        token = next(self._tokens)
        self._open_calls[token] = (endpoint, boot_clock.now())
        return token

    def ended(self, token: int, reply: object) -> None:
        """Note what came of a call."""
        endpoint, began = self._open_calls.pop(token)
        if isinstance(reply, PeerMessage):
            self._record_message(self._members_by_endpoint.get(endpoint))
        elif boot_clock.now() - began >= FAST_FAILURE_S:
            self._unanswered[endpoint] = began

    # What is heard otherwise.

    def _on_datagram(self, name: str) -> None:
        self._record_message(self._members_by_name.get(name))

    def _record_message(self, member: Member | None) -> None:
        """Note a word of a member: its zone is reached, if it was not until now."""
        zone = None if member is None else self._zones.get(member.zone)
        if zone is None:
            return
        zone.heard_at = boot_clock.now()
        if member.zone in self._unreachable:
            with self._lock:
                self._set_reachable(member.zone, member.name)

    def _on_members_changed(self) -> None:
        self._members_changed = True

    # The check, on a thread of its own.

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            try:
                self.check()
            except Exception as error:  # A bug here must not end the checks of this process.
                log_message("zone:check_error", error=repr(error))

    def check(self) -> None:
        """Look at all that was heard and is owed, and decide."""
        now = boot_clock.now()
        was_paused = now - self._checked_at > CHECK_INTERVAL_S + PROCESS_PAUSE_S
        self._checked_at = now
        with self._lock:
            if was_paused:
                self._discard_probes()
                return
            if self._members_changed:
                self._update_members()
            self._record_replica_responses()
            statuses = {
                name: self._check_zone(name, zone, now) for name, zone in self._zones.items()
            }
            if Reachability.UNCERTAIN in statuses.values():
                self._probe_zones(statuses, now)

    def _discard_probes(self) -> None:
        """Begin anew: answers may have come while this process was held up, and lie unread."""
        for zone in self._zones.values():
            zone.probed_at_by_name.clear()

    def _update_members(self) -> None:
        self._members_changed = False
        members = self._membership.members()
        self._members_by_name = {member.name: member for member in members}
        # Where an address is used again, the member that lives there counts.
        dead_first = sorted(members, key=lambda one: one.state is not MemberState.DEAD)
        self._members_by_endpoint = {member.peer: member for member in dead_first}
        by_zone: dict[str, list[Member]] = {}
        for member in members:
            if member.zone != self._local_zone:
                by_zone.setdefault(member.zone, []).append(member)
        for name, zone_members in by_zone.items():
            self._zones.setdefault(name, _Zone()).members = tuple(zone_members)
        for name in self._zones.keys() - by_zone.keys():  # All its members have been forgotten.
            del self._zones[name]
            self._unreachable -= {name}

    def _record_replica_responses(self) -> None:
        """Note by zone when something came from a replica last."""
        for replica in self._replicas():
            zone = self._zones.get(replica.zone)
            if zone is not None and replica.heard_at > zone.heard_at:
                zone.heard_at = replica.heard_at

    def _check_zone(self, name: str, zone: _Zone, now: float) -> Reachability:
        if name in self._unreachable:
            self._recheck_unreachable(name, zone, now)
            return Reachability.UNREACHABLE
        zone.discard_answered_probes()
        evidence = self._evidence(name, zone, now)
        silent_after_s = SILENT_AFTER_S * self._membership.timeout_factor
        status = assess(evidence, now, silent_after_s)
        if status is Reachability.UNREACHABLE:
            self._set_unreachable(name, zone, evidence, now, silent_after_s)
        return status

    def _recheck_unreachable(self, name: str, zone: _Zone, now: float) -> None:
        """Ask a zone that is not reached for a word, unless there was one."""
        if zone.heard_at > zone.unreachable_since:
            self._set_reachable(name, "a replica")
        elif now - zone.probed_at >= UNREACHABLE_PROBE_INTERVAL_S:
            zone.probed_at = now
            self._membership.probe([self._random.choice(zone.members)])
            if not zone.live_members():
                self._try_replica(name)

    def _try_replica(self, zone: str) -> None:
        """Try a connection to a replica of a zone whose members are dead, and may stay so."""
        in_zone = [replica for replica in self._replicas() if replica.zone == zone]
        if in_zone:
            replica = self._random.choice(in_zone)
            arguments = (zone, replica)
            threading.Thread(target=self._connect, args=arguments, daemon=True).start()

    def _connect(self, zone: str, replica: WatchedReplica) -> None:
        if not self._is_reached(replica.entry.address):
            return
        with self._lock:
            if zone in self._zones:
                self._zones[zone].heard_at = boot_clock.now()
            self._set_reachable(zone, "a connection to a replica")

    def _probe_zones(self, statuses: Mapping[str, Reachability], now: float) -> None:
        """Ask the zones of which it is not known whether they are reached.

        One that is calm is asked too, if nothing was heard from it just now: where the own zone
        is cut off, a request that leaves one zone must not go on to another that is lost as well.
        """
        for name, status in statuses.items():
            zone = self._zones[name]
            quiet = now - zone.heard_at > CHECK_INTERVAL_S
            if status is Reachability.UNCERTAIN or (status is Reachability.REACHABLE and quiet):
                self._probe_some_members(zone, now)

    def _evidence(self, name: str, zone: _Zone, now: float) -> Evidence:
        call_starts = [
            since
            for one, since in self._calls_without_answer(now, zone.heard_at)
            if self._zone_of(one) == name
        ]
        silent_since = [replica.owes_since for replica in self._replicas() if replica.zone == name]
        return Evidence(
            zone.heard_at,
            len(zone.live_members()),
            call_starts,
            [since for since in silent_since if since is not None],
            zone.probed_at_by_name,
        )

    def _zone_of(self, endpoint: Endpoint) -> str:
        member = self._members_by_endpoint.get(endpoint)
        return "" if member is None else member.zone

    def _calls_without_answer(self, now: float, heard_at: float) -> list[tuple[Endpoint, float]]:
        """Return the calls that have no answer yet, and those since a word that got none."""
        for endpoint, began in list(self._unanswered.items()):
            if now - began > UNANSWERED_RETENTION_S:
                del self._unanswered[endpoint]
        ended = [call for call in list(self._unanswered.items()) if call[1] > heard_at]
        return [*list(self._open_calls.values()), *ended]

    def _probe_some_members(self, zone: _Zone, now: float) -> None:
        """Ask some peers of a zone that have not been asked since it was heard last."""
        unprobed = [
            member for member in zone.live_members() if member.name not in zone.probed_at_by_name
        ]
        probed = self._random.sample(unprobed, min(PEERS_PROBED_AT_ONCE, len(unprobed)))
        zone.probed_at_by_name.update({member.name: now for member in probed})
        self._membership.probe(probed)

    def _set_unreachable(
        self, name: str, zone: _Zone, evidence: Evidence, now: float, silent_after_s: float
    ) -> None:
        zone.unreachable_since = now
        zone.probed_at = now
        self._unreachable |= {name}
        log_message(
            "zone:unreachable",
            lost_zone=name,
            silent=sorted(evidence.silent(now, silent_after_s)),
            silent_s=round(now - min(evidence.probed_at.values(), default=now), 3),
            calls_unanswered=len(evidence.peer_calls_since),
            replicas_silent=len(evidence.replicas_silent_since),
            heard_s_ago=round(min(now - evidence.heard_at, 999.0), 3),
        )
        zone.probed_at_by_name.clear()

    def _set_reachable(self, name: str, heard_from: str) -> None:
        """End the state of a zone; the lock is held."""
        if name not in self._unreachable:
            return
        self._unreachable -= {name}
        log_message(
            "zone:reachable",
            lost_zone=name,
            heard_from=heard_from,
            lost_for_s=round(boot_clock.now() - self._zones[name].unreachable_since, 3),
        )
