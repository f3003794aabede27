"""Empties this storage node on request of the operator."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from eliot import log_message

from quaymill.connection.job_storage_messages import CompareJobs, JobSummaries, JobSummary
from quaymill.connection.member import Member
from quaymill.connection.object_store import (
    ObjectKind,
    ObjectMissing,
    ObjectStore,
    StoredObject,
)
from quaymill.connection.peer_link import PeerClient
from quaymill.process.job_copies import CopyRules
from quaymill.process.job_storage.database import JobDatabase, JobRecord
from quaymill.process.job_storage.departures import Departures
from quaymill.process.job_storage.service import JobStorageService

CHECK_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 1.0


class Retirement:
    """Carries out a request to empty this node.

    States of the request: requested -> active (``begin``) -> leaving (all nodes agree that this one
    leaves; new data is refused) -> succeeded (all data is stored on enough nodes that stay, in
    enough zones; the status is written to the platform).
    leaving -> active if too few nodes are left to store data, so that this one is still needed.
    any -> in service when the request is withdrawn (``cancel``).

    Parameters
    ----------
    storage_nodes, known_storage_nodes
        Return the live storage nodes that are not leaving, and all that are not known to have
        left permanently.
    recent_storage_nodes
        Returns those that are live or have been dead for a short time only.
    announce, withdraw
        Notify the other nodes that this one is leaving, so that they copy its data, and that it
        is not leaving any more.
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
        withdraw: Callable[[], None] = lambda: None,
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
        self._withdraw = withdraw
        self._departures = Departures(name, store)
        self._leaving: frozenset[str] = frozenset()
        self._requested = threading.Event()
        self._stopping = threading.Event()
        self._wake = threading.Event()
        self._thread: threading.Thread | None = None

    def begin(self) -> None:
        """Start emptying the node; further calls have no effect."""
        if self._requested.is_set():
            return
        self._requested.set()
        log_message("retirement:begun", node=self._name, jobs=len(self._database.by_id))
        self._wake.set()
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="retirement", daemon=True)
            self._thread.start()

    def cancel(self) -> None:
        """Return the node to service, since the operator has withdrawn the request."""
        if self._requested.is_set():
            self._requested.clear()
            log_message("retirement:withdrawn", node=self._name)
            self._wake.set()

    def stop(self) -> None:
        """Stop the thread when the process ends."""
        self._stopping.set()
        self._wake.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait()
            self._wake.clear()
            if self._requested.is_set():
                self._carry_out()
            while not self._requested.is_set() and self._service.retiring.is_set():
                self._return_to_service()
                if self._stopping.wait(CHECK_INTERVAL_S):
                    return

    def _carry_out(self) -> None:
        """Empty the node; return once that is done, or the request was withdrawn."""
        self._write_status(self._active_status)
        while self._requested.is_set() and not self._stopping.wait(CHECK_INTERVAL_S):
            if self._advance():
                log_message("retirement:succeeded", node=self._name)
                return

    def _advance(self) -> bool:
        """Take the next step; return whether the request has succeeded."""
        if not self._service.retiring.is_set():
            self._begin_leaving()
            return False
        if not self._enough_stay(self._leaving):
            if self._return_to_service():
                leaving = sorted(self._leaving)
                log_message("retirement:still_needed", node=self._name, leaving=leaving)
            return False
        if self._missing_copies() != 0:
            return False
        # Others may have agreed to leave since; what only they hold does not count.
        leaving = self._departures.leaving()
        if leaving is None or self._name not in leaving:
            return False
        self._leaving = leaving
        return self._missing_copies() == 0 and self._try_write_status(self._succeeded_status)

    def _begin_leaving(self) -> bool:
        """Refuse new data if all agree that this node may leave; return whether it is refused."""
        if not self._enough_stay(frozenset()):
            return False
        leaving = self._departures.join(self._enough_stay)
        if leaving is None:
            return False
        self._leaving = leaving
        self._service.retiring.set()
        self._announce()
        return True

    def _return_to_service(self) -> bool:
        """Take new data again; return whether the other nodes can know of it."""
        if not self._departures.withdraw():
            return False
        self._service.retiring.clear()
        self._withdraw()
        return True

    def _enough_stay(self, leaving: frozenset[str]) -> bool:
        """Return whether enough other live nodes stay if these leave."""
        return len(self._staying(self._storage_nodes(), leaving)) >= self._rules.needed

    def _staying(self, members: Iterable[Member], leaving: frozenset[str]) -> list[Member]:
        """Return the other nodes that are not leaving."""
        gone = leaving | {self._name}
        return [one for one in members if one.name not in gone and not one.draining]

    def _missing_copies(self) -> int | None:
        """Return the number of jobs without enough copies on other nodes; ``None`` if unknown."""
        # A node that is down briefly still counts, so that its absence does not lower the number.
        known = [one for one in self._known_storage_nodes() if one.name not in self._leaving]
        needed = min(self._rules.needed, len(self._others(known)))
        # Zones that have been unreachable for long or are being emptied do not count: otherwise
        # two nodes that are each the last one of their zone would wait for each other.
        staying = self._staying(self._recent_storage_nodes(), self._leaving)
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
        """Return the summaries of the live nodes that stay, by job id."""
        summaries = []
        for member in self._staying(self._storage_nodes(), self._leaving):
            reply = self._peer_client.call(
                member.peer, CompareJobs(""), JobSummaries, CALL_TIMEOUT_S
            )
            if isinstance(reply, JobSummaries):
                summaries.append((member, {summary.job_id: summary for summary in reply.jobs}))
        return summaries

    def _write_status(self, status: object) -> None:
        """Write the status of the request; repeated until it is stored or no longer needed."""
        while self._requested.is_set() and not self._try_write_status(status):
            if self._stopping.wait(CHECK_INTERVAL_S):
                return

    def _try_write_status(self, status: object) -> bool:
        """Write the status of the request; return whether it is stored or the request is gone."""
        held = self._store.get(ObjectKind.RETIREMENTS, self._name)
        if isinstance(held, ObjectMissing):
            return True
        if not isinstance(held, StoredObject):
            return False
        if held.status == status:
            return True
        written = self._store.replace_status(
            ObjectKind.RETIREMENTS, self._name, status, held.revision
        )
        return isinstance(written, StoredObject)


def _has_all(summary: JobSummary | None, record: JobRecord) -> bool:
    """Return whether another node has the same results of a job and knows of its end, if any."""
    if summary is None or summary.results_digest != record.results.digest:
        return False
    return summary.ended or not record.ended
