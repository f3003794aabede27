"""The configuration in force and the replicas, from the platform's store or from peers.

A configuration is taken whole and only if its version is higher than the one in force, so
nothing goes back within a process's life, whatever the source. What this gateway holds is
told with the membership's datagrams; one that is behind pulls from one that is ahead.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from typing import Any

import attrs
from eliot import log_message

from quaymill.connection.control_messages import ControlState, PullControl, ReplicaRecord
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member, MemberState
from quaymill.connection.object_store import (
    Changes,
    Listing,
    ObjectKind,
    ObjectStore,
    StoredObject,
)
from quaymill.connection.peer_link import PeerClient, PeerServer
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.process.control.follower import Follower
from quaymill.process.control.version_check import VersionCheck
from quaymill.process.membership.membership import Membership
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.version.request_routes import NO_ROUTES, RequestRoutes

PULL_CHECK_INTERVAL_S = 0.5
PULL_TIMEOUT_S = 0.8
PULL_RETRY_S = 0.1
PULL_GRACE_S = 0.15


@attrs.frozen
class ControlProtocol:
    """How the operator's document and replicas' entries are read.

    Attributes
    ----------
    configuration_name
        Name of the object that holds the configuration.
    read_configuration, read_replica
        Return what is read, or a value with a ``reason`` if it cannot be understood.
    """

    configuration_name: str
    read_configuration: Callable[[Any], RequestRoutes | Any]
    read_replica: Callable[[StoredObject], ReplicaEntry | Any]


class ControlPlaneView:
    """What this gateway knows; safe to read from any thread.

    Attributes
    ----------
    routes
        The configuration in force; version 0 while none is known.
    """

    def __init__(
        self,
        store: ObjectStore,
        protocol: ControlProtocol,
        table: ReplicaTable,
        membership: Membership,
        peer_client: PeerClient,
        peer_server: PeerServer,
        watch_s: float,
        check_s: float,
    ) -> None:
        self.routes = NO_ROUTES
        self._protocol = protocol
        self._table = table
        self._membership = membership
        self._peer_client = peer_client
        self._lock = threading.Lock()
        self._document: Any = None
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._listeners: list[Callable[[RequestRoutes], None]] = []
        self._followers = (
            Follower(
                store,
                ObjectKind.CONFIGURATION,
                watch_s,
                self._take_configurations,
                self._take_configuration_changes,
            ),
            Follower(
                store,
                ObjectKind.REPLICAS,
                watch_s,
                self._take_replicas,
                self._take_replica_changes,
            ),
        )
        self._check = VersionCheck(membership, check_s, lambda: self._check_store(store))
        peer_server.register(PullControl, self._answer_pull)

    @property
    def ready(self) -> bool:
        """Whether a configuration and a list of replicas are known."""
        return self.routes.version > 0 and self._table.revision > 0

    def subscribe(self, listener: Callable[[RequestRoutes], None]) -> None:
        """Call ``listener`` with each configuration that comes into force."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Begin to follow the store, and peers that are ahead."""
        self._membership.subscribe(self._wake.set)
        for follower in self._followers:
            follower.start()
        self._check.start()
        threading.Thread(target=self._pull_loop, name="control-pull", daemon=True).start()

    def stop(self) -> None:
        """Follow no more."""
        self._stopping.set()
        self._wake.set()
        for follower in self._followers:
            follower.stop()
        self._check.stop()

    def heard_from_store_s(self) -> float:
        """Return how long ago the store was last heard, in seconds."""
        return time.monotonic() - max(follower.heard_at for follower in self._followers)

    # From the store.

    def _take_configurations(self, listing: Listing) -> None:
        for stored in listing.objects:
            self._take_configuration_object(stored)

    def _take_configuration_changes(self, changes: Changes) -> None:
        for change in changes.changes:
            if not change.gone:
                self._take_configuration_object(change.object)

    def _take_configuration_object(self, stored: StoredObject) -> None:
        if stored.name == self._protocol.configuration_name:
            self._offer_configuration(stored.spec, "store")

    def _check_store(self, store: ObjectStore) -> None:
        """Read what a watch may have missed."""
        stored = store.get(ObjectKind.CONFIGURATION, self._protocol.configuration_name)
        if isinstance(stored, StoredObject):
            self._take_configuration_object(stored)
        listing = store.list(ObjectKind.REPLICAS)
        if isinstance(listing, Listing):
            self._take_replicas(listing)

    def _take_replicas(self, listing: Listing) -> None:
        self._table.replace_all(self._read_replicas(listing.objects), listing.revision)
        self._tell_versions()

    def _take_replica_changes(self, changes: Changes) -> None:
        # Of several changes to one entry the last one holds.
        last_by_name = {change.object.name: change for change in changes.changes}
        present = [change.object for change in last_by_name.values() if not change.gone]
        gone = [name for name, change in last_by_name.items() if change.gone]
        self._table.apply(self._read_replicas(present), gone, changes.revision)
        self._tell_versions()

    def _read_replicas(self, objects) -> list[ReplicaEntry]:
        entries = []
        for stored in objects:
            entry = self._protocol.read_replica(stored)
            if isinstance(entry, ReplicaEntry):
                entries.append(entry)
            else:
                log_message("control:replica_unread", replica=stored.name, reason=entry.reason)
        return entries

    def _offer_configuration(self, document: Any, source: str) -> None:
        routes = self._protocol.read_configuration(document)
        if not isinstance(routes, RequestRoutes):
            log_message("control:configuration_unread", source=source, reason=routes.reason)
            return
        with self._lock:
            before = self.routes.version
            if routes.version <= before:
                return
            self.routes = routes
            self._document = document
        log_message(
            "control:configuration",
            version=routes.version,
            before=before,
            source=source,
            routes=len(routes.routes),
        )
        for listener in self._listeners:
            listener(routes)
        self._tell_versions()

    def _tell_versions(self) -> None:
        local = self._membership.local()
        held = (self.routes.version, self._table.revision)
        if held != (local.configuration_generation, local.machine_list_version):
            self._membership.publish(*held)

    # From peers.

    def _pull_loop(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait(PULL_CHECK_INTERVAL_S)
            self._wake.clear()
            if self._peer_ahead() is None:
                continue
            # The own watch usually brings the same news within moments.
            self._stopping.wait(PULL_GRACE_S)
            peer = self._peer_ahead()
            if peer is not None and not self._pull_from(peer):
                self._stopping.wait(PULL_RETRY_S)
                self._wake.set()

    def _peer_ahead(self) -> Member | None:
        """Return a random peer with something newer than this gateway."""
        local = self._membership.local()
        ahead = [
            member
            for member in self._membership.members()
            if member.state is not MemberState.DEAD
            and member.name != local.name
            and (
                member.configuration_generation > self.routes.version
                or member.machine_list_version > self._table.revision
            )
        ]
        return random.choice(ahead) if ahead else None

    def _pull_from(self, peer: Member) -> bool:
        """Take what a peer has; return whether it answered."""
        message = PullControl(self.routes.version, self._table.revision)
        reply = self._peer_client.call(peer.peer, message, ControlState, PULL_TIMEOUT_S)
        if not isinstance(reply, ControlState):
            return False
        if reply.configuration is not None:
            self._offer_configuration(reply.configuration, f"peer {peer.name}")
        if reply.replicas is not None and reply.replicas_revision > self._table.revision:
            entries = [_entry(record) for record in reply.replicas]
            self._table.replace_all(entries, reply.replicas_revision)
            log_message("control:replicas_pulled", peer=peer.name, revision=reply.replicas_revision)
            self._tell_versions()
        return True

    def _answer_pull(self, message: PullControl) -> ControlState:
        with self._lock:
            newer = self.routes.version > message.configuration_version
            document = self._document if newer else None
        revision = self._table.revision
        if revision <= message.replicas_revision:
            return ControlState(document)
        records = tuple(_record(entry) for entry in self._table.entries())
        return ControlState(document, records, revision)


def _record(entry: ReplicaEntry) -> ReplicaRecord:
    return ReplicaRecord(
        entry.id,
        entry.service,
        str(entry.address),
        entry.zone,
        entry.slots,
        entry.draining,
        entry.cold_left_s,
    )


def _entry(record: ReplicaRecord) -> ReplicaEntry:
    return ReplicaEntry(
        record.id,
        record.service,
        Endpoint.parse(record.address),
        record.zone,
        record.slots,
        record.draining,
        record.cold_left_s,
    )
