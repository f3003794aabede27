"""Checks of the soak: where requests may be sent, from what replicas saw and when faults were on.

- No request reaches a replica of an evacuated zone later than the bound after the store's
  acknowledgement and before the withdrawal, if its sender was in working order.
- A cold replica gets no more requests in any second than its service declares, whoever sends.

A gateway is in working order at a time if for ``CONTACT_S`` before it no fault disturbed it (it ran
all the time, neither suspended nor started anew), and it could learn of evacuations: from the
store, or from such a gateway whose own path to the store and whose links with it were sound.
An evacuation counts from its acknowledgement; where the store or all paths to it were disturbed
just then, at the earliest from when one gateway could read the store undisturbed for ``CONTACT_S``.
"""

from __future__ import annotations

import bisect
import math
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

import attrs

from quaymill_bench.soak_checks import CONTACT_S
from quaymill_standins.fleet_replica import Arrival, FleetReplica
from quaymill_standins.fleet_store import StoreChange

STORE = "the store"
COLD_WINDOW_S = 1.0
LINK_DELAY_S = 0.2
"""Time by which a disturbed path holds back what it delivers."""


def path_to(source: str, target: str) -> str:
    """Return the name of the path between two parties."""
    return f"{source} to {target}"


def stopping(gateway: str) -> str:
    """Return the name for the stop of a gateway: it still sends, but may tell others nothing."""
    return f"{gateway} stops"


class Disturbances:
    """When which process or path was disturbed by a fault; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def begin(self, *names: str) -> Callable[[], None]:
        """Note that processes or paths are disturbed from now on, until the result is called."""
        begun = time.monotonic()
        with self._lock:
            for name in names:
                self._spans[name].append((begun, math.inf))

        def end() -> None:
            ended = time.monotonic()
            with self._lock:
                for name in names:
                    self._spans[name].remove((begun, math.inf))
                    self._spans[name].append((begun, ended))

        return end

    def add(self, name: str, begun: float, ended: float) -> None:
        """Note a span that is over."""
        with self._lock:
            self._spans[name].append((begun, ended))

    def any_within(self, begin: float, end: float, names: Iterable[str]) -> bool:
        """Return whether one of them was disturbed at some time of a span."""
        with self._lock:
            spans = [span for name in names for span in self._spans.get(name, ())]
        return any(begun <= end and ended >= begin for begun, ended in spans)

    def ends(self) -> list[float]:
        """Return when spans ended."""
        with self._lock:
            return [ended for spans in self._spans.values() for _, ended in spans]


@attrs.frozen
class Senders:
    """The gateways of a round, and whether they were in working order.

    Attributes
    ----------
    names_by_address
        All gateways. A sender at another address may be any of them.
    """

    names_by_address: dict[str, str]
    disturbances: Disturbances

    def name_of(self, address: str) -> str:
        """Return who sends from an address."""
        return self.names_by_address.get(address, "an unknown gateway")

    def in_order(self, address: str, at: float) -> bool:
        """Return whether the sender at an address was in working order at a time."""
        name = self.names_by_address.get(address)
        if name is None:
            return all(self._is_in_order(one, at) for one in self.names_by_address.values())
        return self._is_in_order(name, at)

    def known_from(self, acknowledged_at: float) -> float:
        """Return when at the latest some gateway knew of an evacuation."""
        since = [acknowledged_at, *self.disturbances.ends()]
        times = sorted(at + CONTACT_S for at in since if acknowledged_at <= at < math.inf)
        gateways = self.names_by_address.values()
        for at in times:
            # A span that ended exactly at the start of this one doesn't overlap it.
            if any(self._is_sound(at, *_reading(one), STORE, after=True) for one in gateways):
                return at
        return math.inf

    def _is_in_order(self, name: str, at: float) -> bool:
        if not self._is_sound(at, name):
            return False
        if self._is_sound(at, path_to(name, STORE), STORE):
            return True
        return any(
            self._is_sound(at, *_reading(one), path_to(one, name), path_to(name, one))
            for one in self.names_by_address.values()
            if one != name
        )

    def _is_sound(self, at: float, *names: str, after: bool = False) -> bool:
        """Return whether nothing was disturbed for the contact time before, or just after it."""
        begin = at - CONTACT_S
        if after:
            begin = math.nextafter(begin, math.inf)
        return not self.disturbances.any_within(begin, at, names)


def _reading(gateway: str) -> tuple[str, ...]:
    """Return what must be undisturbed for a gateway to read the store and to tell others."""
    return (gateway, stopping(gateway), path_to(gateway, STORE))


@attrs.frozen
class Evacuation:
    """One evacuation: monotonic times of its acknowledgement and its withdrawal."""

    zone: str
    begun: float
    ended: float


def evacuations_of(changes: Sequence[StoreChange]) -> list[Evacuation]:
    """Return the evacuations that the store's changes amount to; open ones have no end."""
    begun_by_zone: dict[str, float] = {}
    found = []
    for change in changes:
        if not change.gone:
            begun_by_zone.setdefault(change.name, change.at_s)
        elif change.name in begun_by_zone:
            begun = begun_by_zone.pop(change.name)
            found.append(Evacuation(change.name, begun, change.at_s))
    return found + [Evacuation(zone, at, math.inf) for zone, at in begun_by_zone.items()]


def check_evacuations(
    replicas: Iterable[FleetReplica],
    evacuations: Iterable[Evacuation],
    senders: Senders,
    bound_s: float,
) -> list[str]:
    """Return what reached evacuated replicas too late, by replica and sender."""
    replicas = list(replicas)
    findings = []
    for one in evacuations:
        due = max(one.begun + bound_s, senders.known_from(one.begun))
        for replica in replicas:
            if replica.zone == one.zone:
                findings += _check_evacuated(replica, one, due, senders)
    return findings


def _check_evacuated(
    replica: FleetReplica, evacuation: Evacuation, due: float, senders: Senders
) -> list[str]:
    late_by_sender: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in list(replica.arrivals):
        at = _latest_delivery(replica, arrival, senders.disturbances)
        if due < at < evacuation.ended and senders.in_order(arrival.sender, at):
            late_by_sender[senders.name_of(arrival.sender)].append(arrival)
    findings = []
    for sender, late in late_by_sender.items():
        first, last = late[0], late[-1]
        findings.append(
            f"{sender}: {len(late)} requests to {replica.id} in {replica.zone}, first"
            f" {first.request_id} {first.at_s - evacuation.begun:.2f} s, last {last.request_id}"
            f" {last.at_s - evacuation.begun:.2f} s after its evacuation"
        )
    return findings


def _latest_delivery(replica: FleetReplica, arrival: Arrival, disturbances: Disturbances) -> float:
    """Return when a request would have arrived had its path not been disturbed, if it was."""
    path = path_to("all", replica.id)
    held_back = disturbances.any_within(arrival.at_s - LINK_DELAY_S, arrival.at_s, [path])
    return arrival.at_s - (LINK_DELAY_S if held_back else 0.0)


def check_cold(replicas: Iterable[FleetReplica], most: float) -> list[str]:
    """Return what cold replicas got beyond ``most`` requests in a second, the worst of each."""
    findings = []
    for replica in replicas:
        times = [arrival.at_s for arrival in list(replica.arrivals) if arrival.cold]
        counts = [
            bisect.bisect_left(times, at + COLD_WINDOW_S) - index for index, at in enumerate(times)
        ]
        if max(counts, default=0) > most:
            over = sum(count > most for count in counts)
            findings.append(
                f"{replica.id}: {max(counts)} requests in a second while cold, {most:g} allowed,"
                f" {over} windows of {len(times)} beyond it"
            )
    return findings
