"""Elects the status writer and writes the status at a bounded rate."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.configuration_messages import ConfigurationReport
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.platform_client import PlatformClient
from quaymill.process.membership.membership import Membership
from quaymill.process.membership.ranking import rank_nodes
from quaymill.process.status.collector import RowProvider, StatusCollector, without_load
from quaymill.process.status.status_writer import StatusSuperseded, StatusWriter
from quaymill.process.status.writer_lease import LEASE_DURATION_S, WriterLease
from quaymill.version.status import ServingStatus

WRITER_KEY = "status-writer"


class StatusTiming(msgspec.Struct, frozen=True):
    """Intervals of the status writer, in seconds.

    Attributes
    ----------
    check_interval_s
        Time between two checks of whether this node is the writer and the status has changed.
    news_interval_s
        Minimum time between two writes of changes, and between two collections while nodes lag.
    load_interval_s
        Time between two writes if only the load has changed.
    collect_interval_s
        Time between two collections while all nodes have the same generation.
    lease_duration_s
        Duration of the writer's lease from each renewal.
    """

    check_interval_s: float = 1.0
    news_interval_s: float = 2.0
    load_interval_s: float = 15.0
    collect_interval_s: float = 15.0
    lease_duration_s: float = LEASE_DURATION_S


class StatusService:
    """Runs on every node; the node that ranks first among the live ones writes the status.

    Parameters
    ----------
    local_report
        Returns the report of this node (``ConfigurationService.report``).
    """

    def __init__(
        self,
        membership: Membership,
        platform_client: PlatformClient,
        peer_client: PeerClient,
        local_report: Callable[[], ConfigurationReport],
        timing: StatusTiming | None = None,
    ) -> None:
        self._membership = membership
        self._timing = timing or StatusTiming()
        self._collector = StatusCollector(membership, peer_client, local_report)
        name = membership.local().name
        self._lease = WriterLease(platform_client, name, self._timing.lease_duration_s)
        self._writer = StatusWriter(platform_client)
        self._written = ServingStatus()
        self._written_at = 0.0
        self._collected_at = 0.0
        self._stopping = threading.Event()

    def add_provider(self, provider: RowProvider) -> None:
        """Add a function that provides rows, called on the writer and for ``GET /status``."""
        self._collector.add_provider(provider)

    def start(self) -> None:
        """Start the thread, which takes part in the election of the writer."""
        threading.Thread(target=self._run, name="status", daemon=True).start()

    def stop(self) -> None:
        """Stop writing; the lease expires."""
        self._stopping.set()

    def document(self) -> ServingStatus:
        """Return the status as known to this node, for ``GET /status``."""
        local = self._membership.local()
        return msgspec.structs.replace(self._collector.compose(), writer=local.name)

    def is_candidate(self) -> bool:
        """Return whether this node ranks first among the live ones."""
        ranked = rank_nodes(WRITER_KEY, self._membership.live())
        return bool(ranked) and ranked[0].name == self._membership.local().name

    def _run(self) -> None:
        while not self._stopping.wait(self._timing.check_interval_s):
            if not self.is_candidate():
                self._lease.release()
                continue
            token = self._lease.acquire_or_renew()
            if token is not None:
                self._write_if_due(token)

    def _write_if_due(self, token: int) -> None:
        self._collect_if_due()
        status = msgspec.structs.replace(
            self._collector.compose(), token=token, writer=self._membership.local().name
        )
        has_changes = without_load(status) != without_load(self._written)
        interval_s = self._timing.news_interval_s if has_changes else self._timing.load_interval_s
        now = boot_clock.now()
        if now - self._written_at < interval_s or self._lease.token() != token:
            return
        self._written_at = now
        result = self._writer.write(status)
        if result is None:
            self._written = status
        elif isinstance(result, StatusSuperseded):
            self._lease.release()
            log_message("status:superseded", token=token, by=result.token)
        else:
            log_message("status:not_written", reason=result.reason)

    def _collect_if_due(self) -> None:
        lagging = any(zone.current < zone.live for zone in self._collector.compose().zones)
        interval_s = self._timing.news_interval_s if lagging else self._timing.collect_interval_s
        now = boot_clock.now()
        if now - self._collected_at >= interval_s:
            self._collected_at = now
            self._collector.collect()
