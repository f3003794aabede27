"""Restores missing copies: each storage node fetches data that it should hold but lacks.

A job belongs on the nodes that rank first for it among the live ones. Each node regularly compares
summaries with every other node, so a node that lost its disk gets all of its data back.
"""

from __future__ import annotations

import math
import queue
import threading
from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.job_storage_messages import (
    CompareJobs,
    FetchedResults,
    FetchResultKeys,
    FetchResults,
    FindJob,
    JobFound,
    JobSummaries,
    JobSummary,
    JobUnknown,
    ResultKeys,
)
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.process.job_copies import CopyRules
from quaymill.process.job_storage.database import JobDatabase
from quaymill.process.job_storage.leases import Leases

COMPARE_INTERVAL_S = 0.5
"""Minimum time between two comparisons with the same node."""
COMPARISONS_PER_S = 16.0
"""Maximum rate at which a node begins comparisons. Among 30 nodes each other one is compared every
1.8 s, which leaves time to fetch data within the 4.8 s allowed for replacing a lost machine. With
``COMPARE_INTERVAL_S`` for every other node, 12 idle nodes used 9.9 thousandths of a core each,
three of them 1.7."""
WORKERS = 4
"""Number of threads, so that an unresponsive node or a large fetch does not block the others."""
MIN_SCHEDULE_INTERVAL_S = 0.1
"""Minimum time between two checks for due comparisons."""
NODE_UPDATE_INTERVAL_S = 0.25
"""Time between two updates of the set of storage nodes."""
CALL_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 3.0
RESULTS_PER_FETCH = 64


@attrs.define
class _Comparison:
    """State of this node's comparisons with another storage node.

    Attributes
    ----------
    member
        The other node, as of the last update of the set of nodes.
    digest
        Digest of the other node's summaries at the last comparison that left nothing missing here;
        empty before the first one.
    due_at
        Monotonic time of the next comparison.
    running
        Whether the comparison is queued for a worker or in progress.
    """

    member: Member
    digest: str = ""
    due_at: float = 0.0
    running: bool = False


class Repair:
    """Compares this node with every other storage node and fetches missing data.

    Parameters
    ----------
    storage_nodes
        Returns the live storage nodes including this one, except those that are leaving.
    sources
        Returns the live storage nodes from which data is fetched, with the leaving ones.
    """

    def __init__(
        self,
        name: str,
        database: JobDatabase,
        leases: Leases,
        peer_client: PeerClient,
        storage_nodes: Callable[[], tuple[Member, ...]],
        rules: CopyRules,
        sources: Callable[[], tuple[Member, ...]] | None = None,
    ) -> None:
        self._name = name
        self._database = database
        self._leases = leases
        self._peer_client = peer_client
        self._storage_nodes = storage_nodes
        self._sources = sources or storage_nodes
        self._ranked_names: frozenset[str] = frozenset()
        self._rules = rules
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._by_node: dict[str, _Comparison] = {}
        self._next_node_update = 0.0
        self._due: queue.SimpleQueue[_Comparison | None] = queue.SimpleQueue()

    def start(self) -> None:
        """Start the threads."""
        threading.Thread(target=self._schedule, name="repair-schedule", daemon=True).start()
        for _ in range(WORKERS):
            threading.Thread(target=self._work, name="repair", daemon=True).start()

    def stop(self) -> None:
        """Stop comparing."""
        self._stopping.set()
        for _ in range(WORKERS):
            self._due.put(None)

    def _schedule(self) -> None:
        """Queue due comparisons for the workers."""
        while not self._stopping.wait(self._schedule_delay_s()):
            for comparison in self._start_due():
                self._due.put(comparison)

    def _work(self) -> None:
        while (comparison := self._due.get()) is not None and not self._stopping.is_set():
            try:
                self._compare(comparison)
            except Exception as error:  # One failure must not end the worker.
                log_message(
                    "job:comparison_error", source=comparison.member.name, error=repr(error)
                )
            finally:
                self._reschedule(comparison)

    def _schedule_delay_s(self) -> float:
        """Return the time until a comparison or the next update of the nodes is due."""
        with self._lock:
            waiting = (one.due_at for one in self._by_node.values() if not one.running)
            pause_s = min(waiting, default=math.inf) - boot_clock.now()
        return min(NODE_UPDATE_INTERVAL_S, max(MIN_SCHEDULE_INTERVAL_S, pause_s))

    def _start_due(self) -> list[_Comparison]:
        """Mark the due comparisons as running and return them, the longest overdue first."""
        now = boot_clock.now()
        with self._lock:
            if now >= self._next_node_update:
                self._next_node_update = now + NODE_UPDATE_INTERVAL_S
                self._update_nodes()
            due = [one for one in self._by_node.values() if not one.running and one.due_at <= now]
            for comparison in due:
                comparison.running = True
        return sorted(due, key=lambda one: one.due_at)

    def _update_nodes(self) -> None:
        """Reset all comparisons if a node joined, is leaving, left or changed its address.

        The ranking may then have changed, so other jobs may belong on this node. The caller holds
        the lock.
        """
        others = {node.name: node for node in self._sources() if node.name != self._name}
        ranked_names = frozenset(node.name for node in self._storage_nodes())
        for name, comparison in self._by_node.items():
            if name in others and comparison.member.peer == others[name].peer:
                comparison.member = others[name]
        known = {name: one.member.peer for name, one in self._by_node.items()}
        listed = {name: node.peer for name, node in others.items()}
        if (known, self._ranked_names) != (listed, ranked_names):
            self._by_node = {name: _Comparison(node) for name, node in others.items()}
            self._ranked_names = ranked_names

    def _reschedule(self, comparison: _Comparison) -> None:
        with self._lock:
            pause_s = max(COMPARE_INTERVAL_S, len(self._by_node) / COMPARISONS_PER_S)
            comparison.due_at = boot_clock.now() + pause_s
            comparison.running = False

    def _compare(self, comparison: _Comparison) -> None:
        member = comparison.member
        reply = self._peer_client.call(
            member.peer, CompareJobs(comparison.digest), JobSummaries, CALL_TIMEOUT_S
        )
        if not isinstance(reply, JobSummaries) or reply.unchanged:
            return
        summaries = {summary.job_id: summary for summary in reply.jobs}
        if self._fetch_all_missing(member, summaries):
            comparison.digest = reply.digest

    def _fetch_all_missing(self, member: Member, summaries: dict[str, JobSummary]) -> bool:
        """Fetch all data that belongs here; return whether nothing is missing any more."""
        return all([self._fetch_missing(member, summary) for summary in summaries.values()])

    def _fetch_missing(self, member: Member, summary: JobSummary) -> bool:
        record = self._database.by_id.get(summary.job_id)
        if record is None:
            if not self._belongs_here(summary.job_id):
                return True
            if not self._fetch_job(member, summary):
                return False
            record = self._database.by_id[summary.job_id]
        if summary.ended and not record.ended:
            self._database.end_job(summary.job_id)
        if summary.complete and not record.complete:
            self._database.complete_job(summary.job_id)
        if summary.results_digest not in (0, record.results.digest):
            return self._fetch_results(member, summary.job_id)
        return True

    def _belongs_here(self, job_id: str) -> bool:
        holders = self._rules.holders(job_id, self._storage_nodes())
        return self._name in {member.name for member in holders}

    def _fetch_job(self, member: Member, summary: JobSummary) -> bool:
        reply = self._peer_client.call(
            member.peer,
            FindJob(summary.job_id, whole=True),
            JobFound | JobUnknown,
            FETCH_TIMEOUT_S,
        )
        if isinstance(reply, JobUnknown):
            return True
        if not isinstance(reply, JobFound) or reply.job is None:
            return False
        self._database.store_job(reply.job, reply.coordinator, reply.ended)
        self._leases.extend(summary.job_id, summary.lease_left_s)
        log_message("job:copied", job=summary.job_id, source=member.name)
        return True

    def _fetch_results(self, member: Member, job_id: str) -> bool:
        reply = self._peer_client.call(
            member.peer, FetchResultKeys(job_id), ResultKeys, CALL_TIMEOUT_S
        )
        if not isinstance(reply, ResultKeys):
            return False
        held = set(self._database.result_keys(job_id))
        missing = [key for key in reply.keys if key not in held]
        for begin in range(0, len(missing), RESULTS_PER_FETCH):
            keys = tuple(missing[begin : begin + RESULTS_PER_FETCH])
            fetched = self._peer_client.call(
                member.peer, FetchResults(job_id, keys), FetchedResults, FETCH_TIMEOUT_S
            )
            if not isinstance(fetched, FetchedResults):
                return False
            self._database.store_results(job_id, fetched.results)
        return True
