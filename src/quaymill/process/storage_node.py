"""A storage node process: builds its parts, starts them and stops them in order."""

from __future__ import annotations

import threading
from pathlib import Path

import attrs
from eliot import log_message

from quaymill.connection.object_store import Changes, Listing, ObjectKind, ObjectStore
from quaymill.process.control.follower import Follower
from quaymill.process.job_storage.database import JobDatabase
from quaymill.process.job_storage.leases import Leases
from quaymill.process.job_storage.orphans import OrphanWatch
from quaymill.process.job_storage.repair import Repair
from quaymill.process.job_storage.retirement import Retirement
from quaymill.process.job_storage.service import JobStorageService, Retention
from quaymill.process.node_registry import NodeRegistry
from quaymill.process.peer_network import PeerNetwork
from quaymill.process.serving_settings import ServingSettings
from quaymill.process.streams.archive import StreamArchive

SWEEP_INTERVAL_S = 5.0
RETENTION_MARGIN_S = 30.0
WATCH_TIMEOUT_S = 5.0
"""Longest wait of a watch, so that a watch whose connection has failed is detected."""
JOBS_FOLDER = "jobs"
BYTES_PER_MB = 1024 * 1024


@attrs.frozen
class StorageProtocol:
    """What an adapter provides for a storage node: statuses of a retirement request."""

    retirement_active: object
    retirement_succeeded: object


class StorageNode:
    """A storage node with all its parts."""

    def __init__(
        self, settings: ServingSettings, store: ObjectStore, protocol: StorageProtocol
    ) -> None:
        self._settings = settings
        self._stopping = threading.Event()
        self.network = PeerNetwork.from_settings(settings)
        network = self.network
        rules = network.rules
        self._database = JobDatabase(Path(settings.data_folder) / JOBS_FOLDER)
        leases = Leases()
        self._service = JobStorageService(
            self._database, leases, network.server, settings.machine.disk_mb * BYTES_PER_MB
        )
        self._repair = Repair(
            settings.name,
            self._database,
            leases,
            network.client,
            network.storage_nodes,
            rules,
            network.holding_storage_nodes,
        )
        self._orphans = OrphanWatch(
            settings.name,
            self._database,
            leases,
            network.client,
            network.holding_storage_nodes,
            network.gateways,
            network.is_replaced,
            rules,
            may_have_ended=network.may_have_ended,
        )
        self._retention = Retention(
            self._database, leases, settings.bounds.job_retention_s + RETENTION_MARGIN_S
        )
        self._retirement = Retirement(
            settings.name,
            store,
            self._database,
            self._service,
            network.client,
            network.storage_nodes,
            network.known_storage_nodes,
            network.recent_storage_nodes,
            rules,
            network.membership.announce_draining,
            protocol.retirement_active,
            protocol.retirement_succeeded,
            network.membership.withdraw_draining,
        )
        self._retirement_follower = Follower(
            store,
            ObjectKind.RETIREMENTS,
            WATCH_TIMEOUT_S,
            self._handle_retirements,
            self._handle_retirement_changes,
        )
        self._streams = StreamArchive(Path(settings.data_folder), network.server)
        self._registry = NodeRegistry(store, network.membership, self._lacks_peers)

    def start(self) -> None:
        """Start the parts, each after those that it uses."""
        self.network.start()
        self._repair.start()
        self._orphans.start()
        self._retirement_follower.start()
        self._registry.start()
        threading.Thread(target=self._sweep, name="retention", daemon=True).start()
        log_message(
            "node:started",
            name=self._settings.name,
            zone=self._settings.zone,
            process=self.network.process_name,
            jobs=len(self._database.by_id),
        )

    def stop(self) -> None:
        """Stop; data on the disk is kept."""
        self._stopping.set()
        self.network.membership.announce_draining()
        self._retirement_follower.stop()
        self._registry.stop()
        self._retirement.stop()
        self._orphans.stop()
        self._repair.stop()
        self.network.stop()
        self._database.close()
        log_message("node:stopped")

    def _sweep(self) -> None:
        while not self._stopping.wait(SWEEP_INTERVAL_S):
            self._retention.sweep()

    def _handle_retirements(self, listing: Listing) -> None:
        if any(stored.name == self._settings.name for stored in listing.objects):
            self._retirement.begin()
        else:
            self._retirement.cancel()

    def _handle_retirement_changes(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.object.name != self._settings.name:
                continue
            if change.deleted:
                self._retirement.cancel()
            else:
                self._retirement.begin()

    def _lacks_peers(self) -> bool:
        return not self.network.gateways()
