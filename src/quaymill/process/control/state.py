"""Configuration, list of replicas and evacuated zones, from the platform's store or from peers.

A configuration is applied as a whole and only if its version is higher than the one in force, so
the version never decreases while the process runs, whatever the source. Membership datagrams
publish the versions that this gateway has; a gateway that is behind pulls from one that is ahead.
The versions are compared individually, and the configuration is read and pulled by threads of its
own, so that a large configuration does not hold up the lists, nor one list another.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from typing import Any

import attrs
import msgspec
import xxhash
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.control_messages import (
    ANY_VERSION,
    ControlState,
    PullControl,
    ReplicaRecord,
)
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member, MemberState
from quaymill.connection.object_store import (
    Listing,
    ObjectKind,
    ObjectStore,
    StoredObject,
    StoreFailure,
    is_store_unavailable,
)
from quaymill.connection.peer_link import PeerClient, PeerRefusal
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.process.control.active_configuration import ActiveConfiguration
from quaymill.process.control.configuration_compiler import ConfigurationCompiler
from quaymill.process.control.configuration_feed import ConfigurationFeed
from quaymill.process.control.configuration_pull import ConfigurationPull
from quaymill.process.control.entries import EntryReader
from quaymill.process.control.evacuations import EvacuatedZones, zones_in
from quaymill.process.control.outage_check import OutageCheck
from quaymill.process.control.store_reader import StoreReader
from quaymill.process.membership.membership import Membership
from quaymill.process.regions import ONE_REGION, RegionMap
from quaymill.process.replica_set.table import STORE_SOURCE, ReplicaTable
from quaymill.version.request_routes import RequestRoutes

PULL_CHECK_INTERVAL_S = 0.5
PULL_TIMEOUT_S = 0.8
PULL_RETRY_S = 0.1
UNKNOWN_LEFT_S = -1.0
"""Warm-up time of a replica that states none, in a message: older builds expect a number."""
MAX_PULLS_AT_ONCE = 4
"""Maximum number of pulls answered at once; other gateways retry, possibly with another peer."""


@attrs.frozen
class ControlProtocol:
    """Parsers of the operator's configuration document and of replica entries.

    Attributes
    ----------
    configuration_name
        Name of the object that holds the configuration.
    routes_key
        Key of the list of routes in the configuration document.
    read_configuration, read_replica
        Return the parsed value, or a value with a ``reason`` if parsing failed.
    """

    configuration_name: str
    routes_key: str
    read_configuration: Callable[[Any], RequestRoutes | Any]
    read_replica: Callable[[StoredObject], ReplicaEntry | Any]


class ControlPlaneView:
    """A gateway's view of the control plane; safe to read from any thread.

    Parameters
    ----------
    evacuations
        Set of evacuated zones to be kept current; ``None`` if the deployment has no evacuations.
    regions
        Regions of the gateways, by which the nearest one with a newer configuration is found.
    """

    def __init__(
        self,
        store: ObjectStore,
        protocol: ControlProtocol,
        table: ReplicaTable,
        membership: Membership,
        peer_client: PeerClient,
        peer_server: PeerServer,
        read_interval_s: float,
        evacuations: EvacuatedZones | None = None,
        regions: RegionMap = ONE_REGION,
    ) -> None:
        self._evacuations = evacuations
        self._protocol = protocol
        self._table = table
        self._membership = membership
        self._peer_client = peer_client
        self._outages = OutageCheck(peer_client, peer_server, self._other_gateways)
        self._entries = EntryReader(protocol.read_replica, table.listed_entry, table.has_cold_rule)
        self._pulls = threading.Semaphore(MAX_PULLS_AT_ONCE)
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._store = store
        self._active = ActiveConfiguration(
            ConfigurationCompiler(protocol.read_configuration, protocol.routes_key)
        )
        self._feed = ConfigurationFeed(
            store, protocol.configuration_name, self._rank, self._offer_stored
        )
        self._pull = ConfigurationPull(self._active, membership, peer_client, peer_server, regions)
        self._reader = StoreReader(
            self._read_store, membership.confirmed_age_s, self._rank, read_interval_s
        )
        peer_server.register(PullControl, self._answer_pull)

    @property
    def routes(self) -> RequestRoutes:
        """The configuration in force; its version is 0 while none is known."""
        return self._active.routes

    @property
    def ready(self) -> bool:
        """Whether configuration, replicas and, if there are any, evacuations are known."""
        evacuations_known = self._evacuations is None or self._evacuations.revision > 0
        return self.routes.version > 0 and self._table.revision > 0 and evacuations_known

    @property
    def _evacuations_revision(self) -> int:
        return 0 if self._evacuations is None else self._evacuations.revision

    def subscribe(self, listener: Callable[[RequestRoutes], None]) -> None:
        """Call ``listener`` with each new configuration when it comes into force."""
        self._active.subscribe(listener)

    def start(self) -> None:
        """Start reading the store and pulling from peers that are ahead."""
        self._active.subscribe(lambda routes: self._publish_versions())
        self._membership.subscribe(self._wake_pulls)
        self._membership.on_confirmation(self._handle_confirmation)
        self._reader.start()
        self._feed.start()
        self._pull.start()
        threading.Thread(target=self._pull_loop, name="control-pull", daemon=True).start()

    def stop(self) -> None:
        """Stop reading the store and pulling from peers."""
        self._stopping.set()
        self._wake.set()
        self._reader.stop()
        self._feed.stop()
        self._pull.stop()

    def _wake_pulls(self) -> None:
        self._wake.set()
        self._pull.wake()

    # From the store.

    def _read_store(self) -> str:
        """Read everything from the store; return the reason of a failure, or an empty string.

        A failure to read one list does not hold back the other, and both are read even if there is
        no configuration. Unless all reads succeed, the view is not confirmed. If the store does not
        answer the first call, no other one is made.
        """
        began = boot_clock.now()
        failure = self._feed.check()
        if is_store_unavailable(failure):
            return failure.reason
        failure = self._read_replicas() or failure
        if self._evacuations is not None:
            failure = self._read_evacuations(self._evacuations) or failure
        self._publish_versions()
        if failure is not None:
            return failure.reason
        self._membership.confirm_versions(began)
        self._membership.send_notice(self._other_gateways())
        return ""

    def _read_replicas(self) -> StoreFailure | None:
        """Read and apply the replicas; return the failure if there was one."""
        listing = self._store.list(ObjectKind.REPLICAS)
        if not isinstance(listing, Listing):
            return listing
        now = boot_clock.now()
        # While only the evacuations cannot be read, nothing is confirmed, but this is no outage.
        self._outages.record_read(now)
        entries = self._entries.read(listing, now)
        kept = self._table.replace_all(
            entries, listing.revision, keep_missing=self._may_keep_missing(entries)
        )
        self._log_kept(kept, STORE_SOURCE, listing.revision)
        return None

    def _may_keep_missing(self, entries: list[ReplicaEntry]) -> bool:
        """Return whether replicas that are missing in a list are kept, as after an outage."""
        if self._table.lacks_any(entries):
            return self._outages.confirm_may_have_expired()
        return self._outages.may_have_expired()

    def _log_kept(self, kept: int, source: str, revision: int) -> None:
        if kept:
            log_message("control:lapsed_kept", replicas=kept, source=source, revision=revision)

    def _offer_stored(self, stored: StoredObject, took_s: float | None) -> None:
        self._active.offer_document(stored.spec, "store", took_s)

    def _read_evacuations(self, evacuations: EvacuatedZones) -> StoreFailure | None:
        """Read and apply the evacuated zones; return the failure if there was one."""
        listing = self._store.list(ObjectKind.EVACUATIONS)
        if not isinstance(listing, Listing):
            return listing
        if evacuations.apply(zones_in(listing), listing.revision, "store"):
            self._log_unknown_zones(evacuations)
        return None

    def _log_unknown_zones(self, evacuations: EvacuatedZones) -> None:
        """Log evacuated zones without any replica or node; the operator may have misspelt them."""
        known = {replica.zone for replica in self._table.replicas()}
        known |= {member.zone for member in self._membership.members()}
        unknown = evacuations.zones - known
        if unknown:
            log_message("control:evacuated_zone_unknown", zones=sorted(unknown))

    def _rank(self) -> int:
        """Return this gateway's rank among the live ones."""
        name = self._membership.local().name
        others = (member.name for member in self._other_gateways())
        return sum(1 for other in others if _reader_rank_key(other) < _reader_rank_key(name))

    def _other_gateways(self) -> list[Member]:
        name = self._membership.local().name
        live = self._membership.live()
        return [member for member in live if not member.has_disk and member.name != name]

    def _handle_confirmation(
        self, version: int, revision: int, evacuations_revision: int, at: float
    ) -> None:
        """Handle another gateway's report of the newest versions in the store."""
        self._outages.record_read(at)
        reads_evacuations = self._evacuations is not None
        if (
            self.routes.version < version
            or self._table.revision < revision
            or (reads_evacuations and self._evacuations_revision < evacuations_revision)
        ):
            self._wake_pulls()
        elif evacuations_revision or not reads_evacuations:
            # A gateway that does not read evacuations, such as one of an older build, cannot
            # confirm them.
            self._membership.confirm_versions(at)

    def _publish_versions(self) -> None:
        local = self._membership.local()
        versions = (self.routes.version, self._table.revision, self._evacuations_revision)
        if versions != (
            local.configuration_generation,
            local.machine_list_version,
            local.evacuations_revision,
        ):
            self._membership.publish(*versions)

    # From peers.

    def _pull_loop(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait(PULL_CHECK_INTERVAL_S)
            self._wake.clear()
            self._drop_presumed()
            peer = self._peer_ahead()
            if peer is not None and not self._pull_from(peer):
                self._stopping.wait(PULL_RETRY_S)
                self._wake.set()

    def _drop_presumed(self) -> None:
        """Give up the replicas whose entries have not returned in time after an outage."""
        if not self._outages.may_have_expired():
            self._table.drop_presumed()

    def _peer_ahead(self) -> Member | None:
        """Return a random peer with a newer list; ``None`` if there is none."""
        local = self._membership.local()
        ahead = [
            member
            for member in self._membership.members()
            if member.state is not MemberState.DEAD
            and member.name != local.name
            and (
                member.machine_list_version > self._table.revision
                or (
                    self._evacuations is not None
                    and member.evacuations_revision > self._evacuations.revision
                )
            )
        ]
        return random.choice(ahead) if ahead else None

    def _pull_from(self, peer: Member) -> bool:
        """Pull newer lists from a peer and apply them; return whether the peer answered."""
        evacuations_revision = (
            msgspec.UNSET if self._evacuations is None else self._evacuations.revision
        )
        message = PullControl(ANY_VERSION, self._table.revision, evacuations_revision)
        began = boot_clock.now()
        reply = self._peer_client.call(peer.peer, message, ControlState, PULL_TIMEOUT_S)
        if not isinstance(reply, ControlState):
            log_message(
                "control:pull_failed",
                peer=peer.name,
                version=peer.configuration_generation,
                reason=reply.reason,
                took_s=round(boot_clock.now() - began, 3),
            )
            return False
        if reply.replicas is not None and reply.replicas_revision > self._table.revision:
            entries = [_entry(record) for record in reply.replicas]
            kept = self._table.replace_from_peer(
                entries,
                reply.replicas_revision,
                peer.name,
                keep_missing=self._may_keep_missing(entries),
            )
            self._log_kept(kept, f"peer {peer.name}", reply.replicas_revision)
            log_message("control:replicas_pulled", peer=peer.name, revision=reply.replicas_revision)
        if reply.evacuated_zones not in (None, msgspec.UNSET) and self._evacuations is not None:
            source = f"peer {peer.name}"
            if self._evacuations.apply_from_peer(
                reply.evacuated_zones, reply.evacuations_revision, source
            ):
                self._log_unknown_zones(self._evacuations)
        self._publish_versions()
        return True

    def _answer_pull(self, message: PullControl) -> ControlState | PeerRefusal:
        """Answer a pull with newer data; refuse if too many are being answered already."""
        if not self._pulls.acquire(blocking=False):
            return PeerRefusal("too many pulls are being answered; retry with another gateway")
        try:
            return self._newer_than(message)
        finally:
            self._pulls.release()

    def _newer_than(self, message: PullControl) -> ControlState:
        # Only gateways of an older build request the configuration together with the lists.
        is_newer = self.routes.version > message.configuration_version
        state = ControlState(self._active.document if is_newer else None)
        revision = self._table.revision
        if revision > message.replicas_revision:
            records = tuple(_record(entry) for entry in self._table.shared_entries())
            state = msgspec.structs.replace(state, replicas=records, replicas_revision=revision)
        if self._evacuations is None:
            return msgspec.structs.replace(
                state, evacuated_zones=msgspec.UNSET, evacuations_revision=msgspec.UNSET
            )
        if self._evacuations.revision > (message.evacuations_revision or 0):
            zones, revision = self._evacuations.snapshot()
            state = msgspec.structs.replace(
                state, evacuated_zones=tuple(sorted(zones)), evacuations_revision=revision
            )
        return state


def _reader_rank_key(name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"store-reader\0{name}".encode())


def _record(entry: ReplicaEntry) -> ReplicaRecord:
    return ReplicaRecord(
        entry.id,
        entry.service,
        str(entry.address),
        entry.zone,
        entry.slots,
        entry.draining,
        UNKNOWN_LEFT_S if entry.cold_left_s is None else entry.cold_left_s,
        entry.started_ms,
        entry.listed_left_s,
        entry.version,
        entry.revision,
    )


def _entry(record: ReplicaRecord) -> ReplicaEntry:
    return ReplicaEntry(
        record.id,
        record.service,
        Endpoint.parse(record.address),
        record.zone,
        record.slots,
        record.draining,
        None if record.cold_left_s < 0 else record.cold_left_s,
        record.started_ms,
        record.listed_left_s,
        record.version,
        record.revision,
    )
