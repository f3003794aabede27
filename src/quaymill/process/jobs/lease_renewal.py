"""Renews a coordinator's leases with the storage nodes that hold its jobs."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator

import attrs

from quaymill.connection.job_storage_messages import HandedOverJob, JobsRenewed, RenewJobs
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.process.membership.ranking import rank_nodes

RENEW_TIMEOUT_S = 0.6


@attrs.frozen
class RenewalOutcome:
    """What the storage nodes said.

    Attributes
    ----------
    ended
        Jobs that were ended.
    taken
        Jobs whose lease another coordinator has at some storage node; which of the two is to
        leave the job, its listing tells.
    """

    ended: frozenset[str]
    taken: frozenset[str]


class LeaseRenewal:
    """Splits renewals by storage node, sends them at once, and puts the answers together.

    Parameters
    ----------
    storage_nodes
        Returns the live storage nodes, none that is leaving.
    holders
        How many of those that rank first for a job hold it.
    """

    def __init__(
        self,
        peer_client: PeerClient,
        storage_nodes: Callable[[], tuple[Member, ...]],
        holders: int,
    ) -> None:
        self._peer_client = peer_client
        self._storage_nodes = storage_nodes
        self._holders = holders

    def renew(self, message: RenewJobs) -> RenewalOutcome:
        """Renew, complete, release and hand over what a message names."""
        answers: list[JobsRenewed] = []
        threads = [
            threading.Thread(target=self._renew_at, args=(member, part, answers), daemon=True)
            for member, part in self._parts(message)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(RENEW_TIMEOUT_S)
        return _merged(list(answers))

    def _renew_at(self, member: Member, part: RenewJobs, answers: list[JobsRenewed]) -> None:
        reply = self._peer_client.call(member.peer, part, JobsRenewed, RENEW_TIMEOUT_S)
        if isinstance(reply, JobsRenewed):
            answers.append(reply)

    def _parts(self, message: RenewJobs) -> Iterator[tuple[Member, RenewJobs]]:
        """Yield what concerns each storage node."""
        members = self._storage_nodes()
        for member in members:

            def is_held(job: str | HandedOverJob, member: Member = member) -> bool:
                job_id = job.job_id if isinstance(job, HandedOverJob) else job
                return member in rank_nodes(job_id, members)[: self._holders]

            part = RenewJobs(
                message.coordinator,
                tuple(filter(is_held, message.open_jobs)),
                tuple(filter(is_held, message.complete_jobs)),
                tuple(filter(is_held, message.released_jobs)),
                tuple(filter(is_held, message.handed_over_jobs)),
            )
            if part != RenewJobs(message.coordinator, ()):
                yield member, part


def _merged(answers: list[JobsRenewed]) -> RenewalOutcome:
    ended = {job_id for reply in answers for job_id in reply.ended_jobs}
    taken = {job_id for reply in answers for job_id in reply.taken_jobs}
    return RenewalOutcome(frozenset(ended), frozenset(taken))
