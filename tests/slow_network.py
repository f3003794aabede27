"""Control views of many gateways that share one store over links of limited capacity.

Everything runs in the process of the test: calls between gateways and to the store take as long as
their bytes need on the links between the two ends, which all calls share.
"""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import msgspec

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.object_store import (
    Changes,
    HistoryGone,
    Listing,
    ObjectChange,
    ObjectKind,
    StoredObject,
    StoreUnanswered,
)
from quaymill.connection.peer_link import PeerNoReply, PeerRefusal
from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.process.control.state import ControlPlaneView
from quaymill.process.regions import RegionMap
from quaymill.process.replica_set.table import ReplicaTable

CHUNK_BYTES = 4096
"""Bytes that one transfer sends before another one has its turn on the same link."""
STORE_TIMEOUT_S = 1.5
STORE_LATENCY_S = 0.004
REGION_LATENCY_S = 0.012
HISTORY_S = 20.0
STORE = "store"


class Link:
    """One direction of a link; transfers share it chunk by chunk."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.sent_bytes = 0
        self._lock = threading.Lock()
        self._free_at = 0.0

    def reserve(self, size: int) -> float:
        """Return when the link has sent ``size`` further bytes."""
        with self._lock:
            self._free_at = max(self._free_at, boot_clock.now()) + size / self.bytes_per_s
            self.sent_bytes += size
            return self._free_at


@attrs.define
class Node:
    """A gateway or the store, and its own links."""

    region: str
    up: Link
    down: Link


class Network:
    """Links of all nodes, and one link in each direction between two regions."""

    def __init__(self, region_bytes_per_s: float) -> None:
        self.nodes: dict[str, Node] = {}
        self.handlers: dict[str, dict[type, Callable[[Any], Any]]] = {}
        self.stalled: set[str] = set()
        self._region_bytes_per_s = region_bytes_per_s
        self.region_links: dict[tuple[str, str], Link] = {}

    def add(self, name: str, region: str, bytes_per_s: float) -> None:
        """Add a node with links of this capacity in both directions."""
        self.nodes[name] = Node(region, Link(bytes_per_s), Link(bytes_per_s))
        self.handlers[name] = {}

    def transfer(self, sender: str, receiver: str, size: int, deadline: float) -> bool:
        """Wait until the bytes have arrived; return ``False`` at the deadline."""
        links = self._path(sender, receiver)
        for sent in range(0, size, CHUNK_BYTES):
            chunk = min(CHUNK_BYTES, size - sent)
            arrival = max(link.reserve(chunk) for link in links)
            now = boot_clock.now()
            time.sleep(max(0.0, min(arrival, deadline) - now))
            if arrival > deadline:
                return False
        return True

    def _path(self, sender: str, receiver: str) -> list[Link]:
        first, last = self.nodes[sender], self.nodes[receiver]
        if first.region == last.region:
            return [first.up, last.down]
        time.sleep(REGION_LATENCY_S)
        key = (first.region, last.region)
        between = self.region_links.setdefault(key, Link(self._region_bytes_per_s))
        return [first.up, between, last.down]

    def sent_bytes(self) -> int:
        """Return how many bytes all nodes have sent."""
        return sum(node.up.sent_bytes for node in self.nodes.values())


@attrs.define
class _Client:
    """Calls peers as ``PeerClient`` does."""

    network: Network
    name: str

    def call(self, endpoint: Endpoint, message: Any, reply_type: type, timeout_s: float) -> Any:
        deadline = boot_clock.now() + timeout_s
        peer = endpoint.host
        handler = self.network.handlers[peer].get(type(message))
        if peer in self.network.stalled:
            time.sleep(timeout_s)
            return PeerNoReply(endpoint, "timed out")
        reply = PeerRefusal("no handler") if handler is None else handler(message)
        line = msgspec.json.encode(reply)
        if not self.network.transfer(peer, self.name, len(line), deadline):
            return PeerNoReply(endpoint, "timed out")
        return (
            reply if isinstance(reply, PeerRefusal) else msgspec.json.decode(line, type=reply_type)
        )


@attrs.define
class _Server:
    network: Network
    name: str

    def register(self, message_type: type, handler: Callable[[Any], Any]) -> None:
        self.network.handlers[self.name][message_type] = handler


class Store:
    """Objects of the platform's store; ``client`` returns a gateway's access to them."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.changed = threading.Condition()
        self.revision = 10
        self.objects: dict[ObjectKind, dict[str, StoredObject]] = {}
        self.history: list[tuple[float, ObjectKind, ObjectChange]] = []
        self.reads = 0

    def put(self, kind: ObjectKind, name: str, spec: Any) -> float:
        """Write an object; return when the store has confirmed it."""
        with self.changed:
            self.revision += 1
            stored = StoredObject(name, self.revision, spec)
            self.objects.setdefault(kind, {})[name] = stored
            self.history.append((boot_clock.now(), kind, ObjectChange(stored, False)))
            self.changed.notify_all()
        return boot_clock.now()

    def client(self, name: str) -> _StoreClient:
        """Return the store as one gateway reaches it."""
        return _StoreClient(self, name)


@attrs.define
class _StoreClient:
    store: Store
    name: str

    def get(self, kind: ObjectKind, name: str) -> Any:
        with self.store.changed:
            found = self.store.objects[kind][name]
        return self._answer(found, found.spec)

    def list(self, kind: ObjectKind) -> Any:
        with self.store.changed:
            objects = tuple(self.store.objects.get(kind, {}).values())
            revision = self.store.revision
        return self._answer(Listing(objects, revision), [one.spec for one in objects])

    def watch(self, kind: ObjectKind, revision: int, wait_s: float) -> Any:
        until = boot_clock.now() + wait_s
        with self.store.changed:
            while not (found := self._since(kind, revision)):
                remaining_s = until - boot_clock.now()
                if remaining_s <= 0:
                    break
                self.store.changed.wait(remaining_s)
            at = self.store.revision
        if isinstance(found, HistoryGone):
            return found
        return self._answer(Changes(tuple(found), at), [one.object.spec for one in found])

    def _since(self, kind: ObjectKind, revision: int) -> list[ObjectChange] | HistoryGone:
        oldest = boot_clock.now() - HISTORY_S
        if any(at < oldest and one.object.revision > revision for at, _, one in self.store.history):
            return HistoryGone()
        return [
            change
            for _, changed_kind, change in self.store.history
            if changed_kind is kind and change.object.revision > revision
        ]

    def _answer(self, answer: Any, document: Any) -> Any:
        self.store.reads += 1
        deadline = boot_clock.now() + STORE_TIMEOUT_S
        time.sleep(STORE_LATENCY_S)
        size = len(msgspec.json.encode(document))
        arrived = self.store.network.transfer(STORE, self.name, size, deadline)
        # Each reader decodes the bytes itself and gets objects of its own.
        return _copy(answer) if arrived else StoreUnanswered("timed out")


def _copy(answer: Any) -> Any:
    """Return an answer whose documents are copies."""
    if isinstance(answer, StoredObject):
        return attrs.evolve(answer, spec=msgspec.json.decode(msgspec.json.encode(answer.spec)))
    if isinstance(answer, Listing):
        return attrs.evolve(answer, objects=tuple(map(_copy, answer.objects)))
    changes = tuple(attrs.evolve(one, object=_copy(one.object)) for one in answer.changes)
    return attrs.evolve(answer, changes=changes)


class _Membership:
    """One gateway's membership; all gateways know each other's versions at once."""

    def __init__(self, name: str, zone: str, fleet: Fleet) -> None:
        self._name = name
        self._fleet = fleet
        self.listeners: list[Callable[[], None]] = []
        self.confirmation_listeners: list[Callable[[int, int, int, float], None]] = []
        self._confirmed_at: float | None = None
        endpoint = Endpoint(name, 1)
        fleet.members[name] = Member(name, zone, "", endpoint, endpoint)

    def local(self) -> Member:
        return self._fleet.members[self._name]

    def members(self) -> tuple[Member, ...]:
        return tuple(self._fleet.members.values())

    live = members

    def subscribe(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)

    def on_confirmation(self, listener: Callable[[int, int, int, float], None]) -> None:
        self.confirmation_listeners.append(listener)

    def publish(self, generation: int, machines: int, evacuations: int) -> None:
        self._fleet.members[self._name] = msgspec.structs.replace(
            self.local(),
            configuration_generation=generation,
            machine_list_version=machines,
            evacuations_revision=evacuations,
        )
        for membership in list(self._fleet.memberships.values()):
            for listener in membership.listeners:
                listener()

    def confirm_versions(self, at: float) -> None:
        self._confirmed_at = max(at, self._confirmed_at or at)

    def confirmed_age_s(self) -> float:
        at = self._confirmed_at
        return float("inf") if at is None else boot_clock.now() - at

    def send_notice(self, members: Iterable[Member]) -> None:
        local = self.local()
        if self._confirmed_at is None:
            return
        for member in members:
            for listener in self._fleet.memberships[member.name].confirmation_listeners:
                listener(
                    local.configuration_generation,
                    local.machine_list_version,
                    local.evacuations_revision,
                    self._confirmed_at,
                )


class Fleet:
    """Gateways with a control view each, over one network and one store."""

    def __init__(
        self,
        zones_by_region: dict[str, tuple[str, ...]],
        gateways_per_zone: int,
        gateway_bytes_per_s: float,
        region_bytes_per_s: float,
        read_interval_s: float,
    ) -> None:
        self.network = Network(region_bytes_per_s)
        self.network.add(STORE, next(iter(zones_by_region)), 100e6)
        self.store = Store(self.network)
        self.members: dict[str, Member] = {}
        self.memberships: dict[str, _Membership] = {}
        self.views: dict[str, ControlPlaneView] = {}
        self.tables: dict[str, ReplicaTable] = {}
        self.in_force: dict[str, list[tuple[int, float]]] = {}
        self._region_by_zone = {
            zone: region for region, zones in zones_by_region.items() for zone in zones
        }
        self._read_interval_s = read_interval_s
        for zone, index in itertools.product(self._region_by_zone, range(gateways_per_zone)):
            self.add(f"{zone}-{index}", zone, gateway_bytes_per_s)

    def add(self, name: str, zone: str, bytes_per_s: float) -> ControlPlaneView:
        """Add a gateway without starting it."""
        self.network.add(name, self._region_by_zone[zone], bytes_per_s)
        self.memberships[name] = _Membership(name, zone, self)
        self.tables[name] = ReplicaTable()
        view = ControlPlaneView(
            self.store.client(name),
            GATEWAY_PROTOCOL.control,
            self.tables[name],
            self.memberships[name],
            _Client(self.network, name),
            _Server(self.network, name),
            self._read_interval_s,
            regions=RegionMap(zone, zone_regions=self._region_by_zone),
        )
        versions = self.in_force[name] = []
        view.subscribe(lambda routes: versions.append((routes.version, boot_clock.now())))
        self.views[name] = view
        return view

    def start(self) -> None:
        """Start all gateways."""
        for view in self.views.values():
            view.start()

    def stop(self) -> None:
        """Stop all gateways."""
        for view in self.views.values():
            view.stop()

    def behind(self, version: int) -> list[str]:
        """Return the gateways at which neither this version nor a newer one is in force."""
        return [name for name, view in self.views.items() if view.routes.version < version]
