"""Empties this storage node on request of the operator."""

from __future__ import annotations

import threading
from collections.abc import Callable

from eliot import log_message

from quaymill.connection.job_storage_messages import CompareJobs, JobSummaries, JobSummary
from quaymill.connection.member import Member
from quaymill.connection.object_store import (
    ObjectKind,
    ObjectMissing,
    ObjectStore,
    StoredObject,
    StoreRefused,
    StoreUnanswered,
)
from quaymill.connection.peer_link import PeerClient
from quaymill.process.job_copies import CopyRules
from quaymill.process.job_storage.database import JobDatabase, JobRecord
from quaymill.process.job_storage.service import JobStorageService

CHECK_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 1.0


class Retirement:
    """Carries out a request to empty this node.

    States of the request: requested -> active (``begin``) -> leaving (enough other nodes are live;
    new data is refused) -> succeeded (all data is stored on enough other nodes in enough zones; the
    status is written to the platform).
    Without enough other live nodes the node continues to serve, because it is still needed.

    Parameters
    ----------
    storage_nodes, known_storage_nodes
        Return the live storage nodes that are not leaving, and all that are not known to have
        left permanently.
    recent_storage_nodes
        Returns those that are live or have been dead for a short time only.
    announce
        Notifies the other nodes that this one is leaving, so that they copy its data.
    active_status, succeeded_status
        Statuses that are written to the platform.
    """

    def __init__(
        self,
        name: str,
        store: ObjectStore,
        database: JobDatabase,
        service: JobStorageService,
        peer_client: PeerClient,
        storage_nodes: Callable[[], tuple[Member, ...]],
        known_storage_nodes: Callable[[], tuple[Member, ...]],
        recent_storage_nodes: Callable[[], tuple[Member, ...]],
        rules: CopyRules,
        announce: Callable[[], None],
        active_status: object,
        succeeded_status: object,
    ) -> None:
        self._name = name
        self._store = store
        self._database = database
        self._service = service
        self._peer_client = peer_client
        self._storage_nodes = storage_nodes
        self._known_storage_nodes = known_storage_nodes
        self._recent_storage_nodes = recent_storage_nodes
        self._rules = rules
        self._announce = announce
        self._active_status = active_status
        self._succeeded_status = succeeded_status
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def begin(self) -> None:
        """Start emptying the node; further calls have no effect."""
        if self._thread is not None:
            return
        log_message("retirement:begun", node=self._name, jobs=len(self._database.by_id))
        self._thread = threading.Thread(target=self._run, name="retirement", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread when the process ends."""
        self._stopping.set()

    def _run(self) -> None:
        self._write_status(self._active_status)
        while not self._stopping.wait(CHECK_INTERVAL_S):
            if not self._service.retiring.is_set() and not self._begin_leaving():
                continue
            missing = self._missing_copies()
            if missing is None or missing:
                continue
            if self._write_status(self._succeeded_status):
                log_message("retirement:succeeded", node=self._name)
                return

    def _begin_leaving(self) -> bool:
        """Refuse new data if enough other nodes are live; return whether it is refused."""
        others = self._others(self._storage_nodes())
        if len(others) < self._rules.needed:
            return False
        self._service.retiring.set()
        self._announce()
        return True

    def _missing_copies(self) -> int | None:
        """Return the number of jobs without enough copies on other nodes; ``None`` if unknown."""
        # A node that is down briefly still counts, so that its absence does not lower the number.
        needed = min(self._rules.needed, len(self._others(self._known_storage_nodes())))
        # Zones that have been unreachable for long or are being emptied do not count: otherwise
        # two nodes that are each the last one of their zone would wait for each other.
        staying = [one for one in self._others(self._recent_storage_nodes()) if not one.draining]
        zones_needed = self._rules.zones_needed(staying)
        if needed == 0:
            return None
        summaries = self._summaries_elsewhere()
        missing = 0
        for record in list(self._database.by_id.values()):
            zones = [
                member.zone for member, by_id in summaries if _has_all(by_id.get(record.id), record)
            ]
            missing += len(zones) < needed or len(set(zones)) < zones_needed
        return missing

    def _others(self, members: tuple[Member, ...]) -> list[Member]:
        return [member for member in members if member.name != self._name]

    def _summaries_elsewhere(self) -> list[tuple[Member, dict[str, JobSummary]]]:
        """Return the summaries of the other live nodes, by job id."""
        summaries = []
        for member in self._others(self._storage_nodes()):
            reply = self._peer_client.call(
                member.peer, CompareJobs(""), JobSummaries, CALL_TIMEOUT_S
            )
            if isinstance(reply, JobSummaries):
                summaries.append((member, {summary.job_id: summary for summary in reply.jobs}))
        return summaries

    def _write_status(self, status: object) -> bool:
        """Write the status of the request; return whether it is stored or the request is gone.

        Repeated until it succeeds or the process ends.
        """
        while not self._stopping.is_set():
            held = self._store.get(ObjectKind.RETIREMENTS, self._name)
            if isinstance(held, ObjectMissing):
                return True
            if isinstance(held, StoredObject):
                if held.status == status:
                    return True
                written = self._store.replace_status(
                    ObjectKind.RETIREMENTS, self._name, status, held.revision
                )
                if isinstance(written, StoredObject):
                    return True
                if not isinstance(written, StoreRefused | StoreUnanswered):
                    continue
            self._stopping.wait(CHECK_INTERVAL_S)
        return False


def _has_all(summary: JobSummary | None, record: JobRecord) -> bool:
    """Return whether another node has the same results of a job and knows of its end, if any."""
    if summary is None or summary.results_digest != record.results.digest:
        return False
    return summary.ended or not record.ended
