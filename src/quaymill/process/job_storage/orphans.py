"""Finds orphaned jobs, which no coordinator runs, and assigns each to a gateway.

Only the storage node that ranks first among those that have the job does so, and only if no other
storage node has a valid lease for it or knows that a client has ended it. Nodes that are leaving
rank last: they do so while no other node has the job yet. A lease is ignored if the process that
holds it is known to have ended because its node runs another process now.
"""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.job_storage_messages import (
    AdoptJob,
    FetchLeases,
    JobAdopted,
)
from quaymill.connection.job_storage_messages import Leases as LeasesMessage
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.process.job_copies import CopyRules
from quaymill.process.job_storage.database import JobDatabase, JobRecord
from quaymill.process.job_storage.leases import LEASE_S, Leases
from quaymill.process.jobs.parallel_calls import call_members
from quaymill.process.membership.ranking import rank_nodes

CHECK_INTERVAL_S = 0.2
REPLACED_FOR_S = 0.3
"""Time for which a node must be seen with a new process; outdated gossip does not last as long."""
LEASE_QUERY_TIMEOUT_S = 0.7
ADOPT_TIMEOUT_S = 1.0


class OrphanWatch:
    """Periodically assigns jobs whose lease has expired.

    Parameters
    ----------
    storage_nodes
        Returns the live storage nodes, with the leaving ones.
    gateways
        Returns the live gateways, except those that are leaving.
    is_replaced
        Returns whether the node of a process is known to run another process now.
    may_have_ended
        Returns whether an unresponsive process may have ended; otherwise it keeps its jobs.
    """

    def __init__(
        self,
        name: str,
        database: JobDatabase,
        leases: Leases,
        peer_client: PeerClient,
        storage_nodes: Callable[[], tuple[Member, ...]],
        gateways: Callable[[], tuple[Member, ...]],
        is_replaced: Callable[[str], bool],
        rules: CopyRules,
        may_have_ended: Callable[[str], bool] = lambda process: True,
    ) -> None:
        self._name = name
        self._database = database
        self._leases = leases
        self._peer_client = peer_client
        self._storage_nodes = storage_nodes
        self._gateways = gateways
        self._is_replaced = is_replaced
        self._rules = rules
        self._may_have_ended = may_have_ended
        self._replaced_since: dict[str, float] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._watch, name="orphans", daemon=True).start()

    def stop(self) -> None:
        """Stop checking."""
        self._stopping.set()

    def _watch(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            try:
                self.check()
            except Exception as error:  # A failure must not leave all later orphans unassigned.
                log_message("job:orphan_check_error", error=repr(error))

    def check(self) -> None:
        """Assign the orphaned jobs for which this node is responsible."""
        open_jobs = [
            record
            for record in list(self._database.by_id.values())
            if not record.complete and not record.ended
        ]
        self._update_replaced({self._holder(record) for record in open_jobs})
        orphans = [
            record
            for record in open_jobs
            if self._has_no_lease(record) and self._may_have_ended(self._holder(record))
        ]
        for record in self._without_lease_elsewhere(orphans):
            self._assign(record)

    def _holder(self, record: JobRecord) -> str:
        return self._leases.holder(record.id, record.coordinator)

    def _update_replaced(self, coordinators: set[str]) -> None:
        """Record since when each coordinator's node has been seen with another process."""
        now = boot_clock.now()
        self._replaced_since = {
            name: self._replaced_since.get(name, now)
            for name in coordinators
            if self._is_replaced(name)
        }

    def _has_no_lease(self, record: JobRecord) -> bool:
        return self._leases.left_s(record.id) == 0.0 or self._has_ended(record)

    def _has_ended(self, record: JobRecord) -> bool:
        """Return whether the process that runs a job is known to have ended.

        If the lease was renewed after its node was seen with another process, the holder is that
        newer process.
        """
        since = self._replaced_since.get(self._holder(record))
        if since is None or self._leases.renewed_at(record.id) > since:
            return False
        return boot_clock.now() - since >= REPLACED_FOR_S

    def _without_lease_elsewhere(self, orphans: list[JobRecord]) -> list[JobRecord]:
        """Return those that no other node has a lease for and that this node is to assign."""
        if not orphans:
            return []
        job_ids = tuple(record.id for record in orphans)
        ended_holders = tuple(
            self._holder(record) if self._has_ended(record) else "" for record in orphans
        )
        members = self._storage_nodes()
        replies = self._ask_others(members, FetchLeases(job_ids, ended_holders))
        leased_elsewhere: set[str] = set()
        ended_elsewhere: set[str] = set()
        lacking_by_node: dict[str, frozenset[str]] = {}
        for name, reply in replies.items():
            for job_id, left_s in zip(job_ids, reply.left_s, strict=True):
                if left_s > 0:
                    leased_elsewhere.add(job_id)
                    self._leases.extend(job_id, min(left_s, LEASE_S))
            ended_elsewhere |= set(itertools.compress(job_ids, reply.ended))
            held = frozenset(itertools.compress(job_ids, reply.held))
            lacking_by_node[name] = frozenset(job_ids) - held if reply.held else frozenset()
        self._mark_as_ended(ended_elsewhere)
        return [
            record
            for record in orphans
            if record.id not in leased_elsewhere | ended_elsewhere
            and self._is_first_holder(record.id, members, lacking_by_node)
        ]

    def _ask_others(
        self, members: tuple[Member, ...], message: FetchLeases
    ) -> dict[str, LeasesMessage]:
        """Ask all other nodes at once; return the replies by the node's name."""
        others = [member for member in members if member.name != self._name]
        if not others:
            return {}
        outcome = call_members(
            self._peer_client,
            others,
            message,
            LeasesMessage,
            needed=len(others),
            timeout_s=LEASE_QUERY_TIMEOUT_S,
        )
        return {member.name: reply for member, reply in outcome.replies}

    def _is_first_holder(
        self,
        job_id: str,
        members: tuple[Member, ...],
        lacking_by_node: dict[str, frozenset[str]],
    ) -> bool:
        """Return whether all nodes that rank before this one have said that they lack the job."""
        ranked = sorted(self._rules.rank(job_id, members), key=lambda member: member.draining)
        before = itertools.takewhile(lambda member: member.name != self._name, ranked)
        return all(job_id in lacking_by_node.get(member.name, ()) for member in before)

    def _mark_as_ended(self, job_ids: set[str]) -> None:
        """Mark jobs that ended while this node was cut off; repair may learn of it too late."""
        for job_id in job_ids:
            self._database.end_job(job_id)
            log_message("job:ended_elsewhere", job=job_id)

    def _assign(self, record: JobRecord) -> None:
        job = self._database.job(record.id)
        ranked = rank_nodes(record.id, self._gateways())
        if job is None or not ranked:
            return
        adoption = AdoptJob(job, self._database.progress(record.id))
        # The first gateway may have failed unnoticed, so two are tried in each check.
        for member in ranked[:2]:
            reply = self._peer_client.call(member.peer, adoption, JobAdopted, ADOPT_TIMEOUT_S)
            log_message(
                "job:given_away",
                job=record.id,
                gateway=member.name,
                before=self._holder(record),
                outcome=type(reply).__name__,
            )
            if isinstance(reply, JobAdopted):
                self._leases.release(record.id, self._leases.holder(record.id))
                self._leases.renew([record.id], reply.coordinator)
                self._database.set_coordinator(record.id, reply.coordinator)
                return
