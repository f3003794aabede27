"""Detects which zones this process can reach, from the messages that it receives itself.

A zone that is cut off neither answers nor refuses connections, so each call to it waits for its
timeout. When a peer has an overdue answer, or a replica an overdue first byte, this process probes
some peers of the zone. If none of them answers and nothing else was received from the zone in the
meantime, the zone counts as unreachable. Any message from the zone ends that state at once.
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
"""Time after which an unanswered call to a peer makes this process probe the peer's zone: several
times a normal response time. An unnecessary probe costs only a few datagrams."""
REPLICA_PROBE_AFTER_S = 0.1
"""The same for a replica, whose first byte normally takes tens of milliseconds."""
REPROBE_AFTER_S = 0.25
"""Time without a message from a zone after which an outstanding request is a reason to probe it,
although the zone has sent something since the request began. The request may just take long, or
the zone may have been cut off after its last message."""
SILENT_AFTER_S = 0.1
"""Time without a reply after which a probed peer counts as silent. It is short enough that a cut
zone is detected, and its requests are sent elsewhere, within the shortest latency objective
of 0.3 s."""
REQUIRED_SILENT_PEERS = 3
"""Number of peers that must be silent, since two machines may fail at once; in a smaller zone all
peers must be."""
MIN_REQUIRED_SILENT_PEERS = 2
"""Lower bound of the required silent peers. One silent machine says nothing about its zone, so a
zone with a single peer never counts as unreachable."""
PEERS_PROBED_AT_ONCE = 3
UNREACHABLE_PROBE_INTERVAL_S = 0.25
"""Time between two probes of an unreachable zone."""
UNANSWERED_RETENTION_S = 2.0
"""Time for which a call that ended without an answer is taken into account."""
FAST_FAILURE_S = 0.02
"""A call that fails sooner was refused by a reachable machine or not sent at all, so it does not
count as unanswered."""
PROCESS_PAUSE_S = 0.1
"""If a check is late by more than this, this process itself is assumed to have been paused, so that
answers may have arrived without having been read."""


class Reachability(enum.Enum):
    """Whether a zone is reachable; an ``UNCERTAIN`` zone is to be probed."""

    REACHABLE = enum.auto()
    UNCERTAIN = enum.auto()
    UNREACHABLE = enum.auto()


@attrs.frozen
class Evidence:
    """What this process has observed of one zone; times are of the boot clock.

    Attributes
    ----------
    last_received_at
        When the last message from the zone was received.
    peers
        Number of peers in the zone that are not known to be dead.
    peer_calls_since
        Start times of the calls to peers that have no answer.
    replicas_silent_since
        Since when replicas with an outstanding request have sent nothing. Calls and requests may
        take long for other reasons, so they are only a reason to probe. In a zone without live
        peers, silent replicas alone make the zone unreachable.
    probed_at
        When peers were probed, by name; a reachable peer replies at once.
    """

    last_received_at: float
    peers: int
    peer_calls_since: Collection[float] = ()
    replicas_silent_since: Collection[float] = ()
    probed_at: Mapping[str, float] = attrs.field(factory=dict)

    def silent_peers(self, now: float, silent_after_s: float) -> tuple[str, ...]:
        """Return the probed peers after whose probe nothing was received from the zone."""
        return tuple(
            name
            for name, at in self.probed_at.items()
            if at > self.last_received_at and now - at >= silent_after_s
        )


def assess(evidence: Evidence, now: float, silent_after_s: float = SILENT_AFTER_S) -> Reachability:
    """Return whether another zone is reachable.

    Parameters
    ----------
    silent_after_s
        Time without a reply after which a probed peer counts as silent.
    """
    last_received_at = evidence.last_received_at
    if not evidence.peers:
        return _assess_by_replicas(evidence, now)
    required_silent = max(MIN_REQUIRED_SILENT_PEERS, min(REQUIRED_SILENT_PEERS, evidence.peers))
    if len(evidence.silent_peers(now, silent_after_s)) >= required_silent:
        return Reachability.UNREACHABLE
    outstanding = (
        (evidence.peer_calls_since, PEER_PROBE_AFTER_S),
        (evidence.replicas_silent_since, REPLICA_PROBE_AFTER_S),
    )
    overdue = any(
        _is_overdue(since, last_received_at, now, probe_after_s)
        for pending_since, probe_after_s in outstanding
        for since in pending_since
    )
    probed = any(at > last_received_at for at in evidence.probed_at.values())
    return Reachability.UNCERTAIN if overdue or probed else Reachability.REACHABLE


def _assess_by_replicas(evidence: Evidence, now: float) -> Reachability:
    """Assess a zone whose members are all dead, although its replicas may still run."""
    silent = [
        since
        for since in evidence.replicas_silent_since
        if since > evidence.last_received_at and now - since >= REPLICA_PROBE_AFTER_S
    ]
    return (
        Reachability.UNREACHABLE
        if len(silent) >= MIN_REQUIRED_SILENT_PEERS
        else Reachability.REACHABLE
    )


def _is_overdue(since: float, last_received_at: float, now: float, probe_after_s: float) -> bool:
    """Return whether an answer outstanding since then is a reason to probe the zone."""
    if since > last_received_at:
        return now - since >= probe_after_s
    # The zone has sent something in the meantime, so this one answer may just take long.
    return now - last_received_at >= REPROBE_AFTER_S


class MembershipLink(Protocol):
    """The part of the membership that zone reachability uses."""

    @property
    def timeout_factor(self) -> float:
        """Factor by which timeouts are extended now; at least 1."""

    def members(self) -> tuple[Member, ...]:
        """Return every member known, this node and the dead included."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of members."""

    def on_datagram(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with the name of each sender of a datagram."""

    def probe(self, members: Iterable[Member]) -> None:
        """Send a probe to each of these members."""


class WatchedReplica(Protocol):
    """The part of a replica that zone reachability uses."""

    @property
    def entry(self) -> ReplicaEntry:
        """The replica's entry, with its address."""

    @property
    def zone(self) -> str:
        """The zone in which the replica runs."""

    @property
    def last_received_at(self) -> float:
        """When this process last received something from the replica."""

    @property
    def unanswered_since(self) -> float | None:
        """Since when it has sent nothing for a request of this process; ``None`` without one."""


@attrs.define
class _Zone:
    """State of one other zone.

    Attributes
    ----------
    probed_at_by_name
        When peers were probed since the last message from the zone.
    unreachable_since, last_probed_at
        Since when the zone is unreachable, and when it was last probed in this state.
    """

    members: tuple[Member, ...] = ()
    last_received_at: float = -math.inf
    probed_at_by_name: dict[str, float] = attrs.field(factory=dict)
    unreachable_since: float = 0.0
    last_probed_at: float = -math.inf

    def live_members(self) -> list[Member]:
        """Return the members that should answer: those not marked as dead."""
        return [member for member in self.members if member.state is not MemberState.DEAD]

    def discard_answered_probes(self) -> None:
        """Discard all probes if one of them was sent before the zone's last message."""
        if any(at <= self.last_received_at for at in self.probed_at_by_name.values()):
            self.probed_at_by_name.clear()


class ZoneReachability:
    """Tracks which zones this process can reach; safe to use from any thread.

    It is notified of each call to a peer (``began``, ``ended``) and of each datagram, and checks
    the replicas periodically. Until ``start`` every zone counts as reachable.

    Parameters
    ----------
    local_zone
        The zone of this process, which always counts as reachable.
    """

    def __init__(self, local_zone: str, membership: MembershipLink) -> None:
        self._local_zone = local_zone
        self._membership = membership
        self._replicas: Callable[[], Iterable[WatchedReplica]] = tuple
        self._responds: Callable[[Endpoint], bool] = lambda endpoint: False
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
        responds: Callable[[Endpoint], bool] = lambda endpoint: False,
    ) -> None:
        """Take these replicas into account as well.

        Parameters
        ----------
        responds
            Sends a request to an endpoint; returns whether it answers or refuses the connection.
        """
        self._replicas = replicas
        self._responds = responds

    def start(self) -> None:
        """Subscribe to the membership and begin the periodic checks."""
        self._membership.subscribe(self._on_members_changed)
        self._membership.on_datagram(self._on_datagram)
        self._checked_at = boot_clock.now()
        threading.Thread(target=self._run, name="zone-reach", daemon=True).start()

    def stop(self) -> None:
        """Stop the periodic checks."""
        self._stopping.set()

    def is_unreachable(self, zone: str) -> bool:
        """Return whether a zone is unreachable now."""
        return zone in self._unreachable

    def prefer_reachable(self, members: Iterable[Member]) -> tuple[Member, ...]:
        """Return the members in reachable zones, or all members if no zone of them is reachable."""
        members = tuple(members)
        if not self._unreachable:
            return members
        return tuple(one for one in members if one.zone not in self._unreachable) or members

    @property
    def unreachable_zones(self) -> int:
        """Number of zones that are unreachable now."""
        return len(self._unreachable)

    # Notifications of the peer client about its calls.

    def refuses(self, endpoint: Endpoint) -> bool:
        """Return whether a call to this endpoint would go to an unreachable zone."""
        if not self._unreachable:
            return False
        member = self._members_by_endpoint.get(endpoint)
        return member is not None and member.zone in self._unreachable

    def began(self, endpoint: Endpoint) -> int:
        """Record the start of a call to a peer; return the token for ``ended``."""
        token = next(self._tokens)
        self._open_calls[token] = (endpoint, boot_clock.now())
        return token

    def ended(self, token: int, reply: object) -> None:
        """Record the end of a call and its reply or failure."""
        endpoint, began = self._open_calls.pop(token)
        if isinstance(reply, PeerMessage):
            self._record_message(self._members_by_endpoint.get(endpoint))
        elif boot_clock.now() - began >= FAST_FAILURE_S:
            self._unanswered[endpoint] = began

    # Other messages.

    def _on_datagram(self, name: str) -> None:
        self._record_message(self._members_by_name.get(name))

    def _record_message(self, member: Member | None) -> None:
        """Record a message of a member; its zone is reachable from now on."""
        zone = None if member is None else self._zones.get(member.zone)
        if zone is None:
            return
        zone.last_received_at = boot_clock.now()
        if member.zone in self._unreachable:
            with self._lock:
                self._set_reachable(member.zone, member.name)

    def _on_members_changed(self) -> None:
        self._members_changed = True

    # The periodic check, on its own thread.

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            try:
                self.check()
            except Exception as error:  # A bug must not end the checks of this process.
                log_message("zone:check_error", error=repr(error))

    def check(self) -> None:
        """Update the state of all zones from messages received and answers outstanding."""
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
        """Discard all probes, since replies may be unread after a pause of this process."""
        for zone in self._zones.values():
            zone.probed_at_by_name.clear()

    def _update_members(self) -> None:
        self._members_changed = False
        members = self._membership.members()
        self._members_by_name = {member.name: member for member in members}
        # If two members have one address, the one that is not dead is mapped.
        dead_first = sorted(members, key=lambda one: one.state is not MemberState.DEAD)
        self._members_by_endpoint = {member.peer: member for member in dead_first}
        by_zone: dict[str, list[Member]] = {}
        for member in members:
            if member.zone != self._local_zone:
                by_zone.setdefault(member.zone, []).append(member)
        for name, zone_members in by_zone.items():
            self._zones.setdefault(name, _Zone()).members = tuple(zone_members)
        for name in self._zones.keys() - by_zone.keys():  # Zones without any member left.
            del self._zones[name]
            self._unreachable -= {name}

    def _record_replica_responses(self) -> None:
        """Update each zone's time of the last message from its replicas."""
        for replica in self._replicas():
            zone = self._zones.get(replica.zone)
            if zone is not None and replica.last_received_at > zone.last_received_at:
                zone.last_received_at = replica.last_received_at

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
        """Probe an unreachable zone; mark it reachable if it has sent anything."""
        if zone.last_received_at > zone.unreachable_since:
            self._set_reachable(name, "a replica")
        elif now - zone.last_probed_at >= UNREACHABLE_PROBE_INTERVAL_S:
            zone.last_probed_at = now
            self._membership.probe([self._random.choice(zone.members)])
            if not zone.live_members():
                self._try_replica(name)

    def _try_replica(self, zone: str) -> None:
        """Send a request to a replica of a zone whose members are all dead."""
        in_zone = [replica for replica in self._replicas() if replica.zone == zone]
        if in_zone:
            replica = self._random.choice(in_zone)
            arguments = (zone, replica)
            threading.Thread(target=self._probe_replica, args=arguments, daemon=True).start()

    def _probe_replica(self, zone: str, replica: WatchedReplica) -> None:
        if not self._responds(replica.entry.address):
            return
        with self._lock:
            if zone in self._zones:
                self._zones[zone].last_received_at = boot_clock.now()
            self._set_reachable(zone, "a probe of a replica")

    def _probe_zones(self, statuses: Mapping[str, Reachability], now: float) -> None:
        """Probe the uncertain zones, and the reachable ones without a very recent message.

        If the local zone is cut off, this finds all other zones unreachable at about the same
        time, so that a request is not sent from one unreachable zone to the next.
        """
        for name, status in statuses.items():
            zone = self._zones[name]
            quiet = now - zone.last_received_at > CHECK_INTERVAL_S
            if status is Reachability.UNCERTAIN or (status is Reachability.REACHABLE and quiet):
                self._probe_some_members(zone, now)

    def _evidence(self, name: str, zone: _Zone, now: float) -> Evidence:
        call_starts = [
            since
            for one, since in self._calls_without_answer(now, zone.last_received_at)
            if self._zone_of(one) == name
        ]
        silent_since = [
            replica.unanswered_since for replica in self._replicas() if replica.zone == name
        ]
        return Evidence(
            zone.last_received_at,
            len(zone.live_members()),
            call_starts,
            [since for since in silent_since if since is not None],
            zone.probed_at_by_name,
        )

    def _zone_of(self, endpoint: Endpoint) -> str:
        member = self._members_by_endpoint.get(endpoint)
        return "" if member is None else member.zone

    def _calls_without_answer(
        self, now: float, last_received_at: float
    ) -> list[tuple[Endpoint, float]]:
        """Return open calls, and unanswered ones that began after ``last_received_at``."""
        for endpoint, began in list(self._unanswered.items()):
            if now - began > UNANSWERED_RETENTION_S:
                del self._unanswered[endpoint]
        ended = [call for call in list(self._unanswered.items()) if call[1] > last_received_at]
        return [*list(self._open_calls.values()), *ended]

    def _probe_some_members(self, zone: _Zone, now: float) -> None:
        """Probe some members that were not probed since the last message from their zone."""
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
        zone.last_probed_at = now
        self._unreachable |= {name}
        log_message(
            "zone:unreachable",
            lost_zone=name,
            silent=sorted(evidence.silent_peers(now, silent_after_s)),
            silent_s=round(now - min(evidence.probed_at.values(), default=now), 3),
            calls_unanswered=len(evidence.peer_calls_since),
            replicas_silent=len(evidence.replicas_silent_since),
            heard_s_ago=round(min(now - evidence.last_received_at, 999.0), 3),
        )
        zone.probed_at_by_name.clear()

    def _set_reachable(self, name: str, heard_from: str) -> None:
        """Mark a zone as reachable again; the caller holds the lock."""
        if name not in self._unreachable:
            return
        self._unreachable -= {name}
        log_message(
            "zone:reachable",
            lost_zone=name,
            heard_from=heard_from,
            lost_for_s=round(boot_clock.now() - self._zones[name].unreachable_since, 3),
        )
