"""Keeps enough copies: each storage node fetches what it should hold and lacks.

A job belongs on the nodes that rank first for it among the live ones. Nodes compare
summaries in turn; a node whose disk was lost is whole again after it has compared itself
with the others.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

import attrs
from eliot import log_message

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
from quaymill.process.job_storage.database import JobDatabase
from quaymill.process.job_storage.leases import Leases
from quaymill.process.membership.ranking import rank_nodes

COMPARE_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 3.0
RESULTS_PER_FETCH = 64


@attrs.frozen
class CopyRules:
    """How many copies there are.

    Attributes
    ----------
    needed
        Copies on disks before anything is acknowledged; repair keeps up one more where there
        are nodes enough.
    """

    needed: int

    @property
    def kept(self) -> int:
        """Copies that repair keeps up."""
        return self.needed + 1


class Repair:
    """Compares this node with every other storage node, each on a thread of its own.

    Parameters
    ----------
    storage_nodes
        Returns the live storage nodes, this one included, none that is leaving.
    """

    def __init__(
        self,
        name: str,
        database: JobDatabase,
        leases: Leases,
        peer_client: PeerClient,
        storage_nodes: Callable[[], tuple[Member, ...]],
        rules: CopyRules,
    ) -> None:
        self._name = name
        self._database = database
        self._leases = leases
        self._peer_client = peer_client
        self._storage_nodes = storage_nodes
        self._rules = rules
        self._stopping = threading.Event()
        self._comparing: set[str] = set()
        self.summaries_by_node: dict[str, dict[str, JobSummary]] = {}

    def start(self) -> None:
        """Begin to compare."""
        threading.Thread(target=self._keep_comparing, name="repair", daemon=True).start()

    def stop(self) -> None:
        """Compare no more."""
        self._stopping.set()

    def _keep_comparing(self) -> None:
        """Give each other node a thread; it ends by itself when the node is gone."""
        while not self._stopping.wait(COMPARE_INTERVAL_S / 2):
            for member in self._storage_nodes():
                if member.name != self._name and member.name not in self._comparing:
                    self._comparing.add(member.name)
                    threading.Thread(
                        target=self._compare_with, args=(member,), name="repair-peer", daemon=True
                    ).start()

    def _compare_with(self, member: Member) -> None:
        digest = ""
        nodes: frozenset[str] = frozenset()
        while not self._stopping.wait(COMPARE_INTERVAL_S):
            live = {node.name: node for node in self._storage_nodes()}
            present = live.get(member.name)
            if present is None or present.peer != member.peer:
                break
            if nodes != live.keys():
                # The ranking has changed: jobs may belong here that did not before.
                nodes = frozenset(live)
                digest = ""
            reply = self._peer_client.call(
                member.peer, CompareJobs(digest), JobSummaries, CALL_TIMEOUT_S
            )
            if not isinstance(reply, JobSummaries) or reply.unchanged:
                continue
            summaries = {summary.job_id: summary for summary in reply.jobs}
            self.summaries_by_node[member.name] = summaries
            if self._take_all(member, summaries):
                digest = reply.digest
        self.summaries_by_node.pop(member.name, None)
        self._comparing.discard(member.name)

    def _take_all(self, member: Member, summaries: dict[str, JobSummary]) -> bool:
        """Fetch what belongs here; return whether nothing is missing any more."""
        return all([self._take(member, summary) for summary in summaries.values()])

    def _take(self, member: Member, summary: JobSummary) -> bool:
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
        ranked = rank_nodes(job_id, self._storage_nodes())
        return self._name in {member.name for member in ranked[: self._rules.kept]}

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
