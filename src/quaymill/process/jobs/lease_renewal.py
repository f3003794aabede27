"""Renews a coordinator's leases with storage nodes, and compares the orders of its jobs.

A lease tells who runs a job, and nothing of its order. What tells of the order is that the
content of a result is on storage nodes before the result is listed: as long as none of them has
a content that the coordinator does not know to be listed, nobody has listed more.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator

import attrs

from quaymill.connection.job_storage_messages import HandedOverJob, JobsRenewed, RenewJobs
from quaymill.connection.member import Member, MemberState
from quaymill.connection.peer_link import PeerClient
from quaymill.process.job_copies import CopyRules

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
    unlisted
        Jobs of which a storage node has a result beyond the order as it was told.
    confirmed
        Jobs whose order, as it was told, was the newest when the renewal began: every storage
        node that may have a result beyond it has answered that it has none.
    """

    ended: frozenset[str]
    taken: frozenset[str]
    unlisted: frozenset[str] = frozenset()
    confirmed: frozenset[str] = frozenset()


@attrs.frozen
class _Answer:
    """What one storage node said to its part of a renewal."""

    part: RenewJobs
    reply: JobsRenewed


class LeaseRenewal:
    """Splits renewals by storage node, sends them at once, and puts the answers together.

    Parameters
    ----------
    storage_nodes
        Returns the live storage nodes, none that is leaving.
    result_holders
        Returns all that may be the only ones to hold a result, also those that are leaving or do
        not answer now.
    rules
        On which of the live ones the copies of a job lie.
    """

    def __init__(
        self,
        peer_client: PeerClient,
        storage_nodes: Callable[[], tuple[Member, ...]],
        result_holders: Callable[[], tuple[Member, ...]],
        rules: CopyRules,
    ) -> None:
        self._peer_client = peer_client
        self._storage_nodes = storage_nodes
        self._result_holders = result_holders
        self._rules = rules

    def renew(self, message: RenewJobs) -> RenewalOutcome:
        """Renew, complete, release and hand over what a message names."""
        holders = self._result_holders()
        asked = tuple(member for member in holders if member.state is not MemberState.DEAD)
        parts = list(self._parts(message, self._storage_nodes(), asked))
        answers: list[_Answer] = []
        threads = [
            threading.Thread(target=self._renew_at, args=(member, part, answers), daemon=True)
            for member, part in parts
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(RENEW_TIMEOUT_S)
        outcome = _merged(list(answers), len(parts))
        all_asked = bool(holders) and len(asked) == len(holders)
        return outcome if all_asked else attrs.evolve(outcome, confirmed=frozenset())

    def _renew_at(self, member: Member, part: RenewJobs, answers: list[_Answer]) -> None:
        reply = self._peer_client.call(member.peer, part, JobsRenewed, RENEW_TIMEOUT_S)
        if isinstance(reply, JobsRenewed):
            answers.append(_Answer(part, reply))

    def _parts(
        self, message: RenewJobs, live: tuple[Member, ...], asked: tuple[Member, ...]
    ) -> Iterator[tuple[Member, RenewJobs]]:
        """Yield what concerns each storage node: leases that it keeps, and the orders."""
        handed_over = [job.job_id for job in message.handed_over_jobs]
        job_ids = {
            *message.open_jobs,
            *message.complete_jobs,
            *message.released_jobs,
            *handed_over,
        }
        holders_by_job = {job_id: self._rules.holders(job_id, live) for job_id in job_ids}
        for member in asked:

            def is_held(job: str | HandedOverJob, member: Member = member) -> bool:
                job_id = job.job_id if isinstance(job, HandedOverJob) else job
                return member in holders_by_job[job_id]

            part = RenewJobs(
                message.coordinator,
                tuple(filter(is_held, message.open_jobs)),
                tuple(filter(is_held, message.complete_jobs)),
                tuple(filter(is_held, message.released_jobs)),
                tuple(filter(is_held, message.handed_over_jobs)),
                message.orders,
            )
            if part != RenewJobs(message.coordinator, ()):
                yield member, part


def _merged(answers: list[_Answer], asked: int) -> RenewalOutcome:
    ended = {job_id for answer in answers for job_id in answer.reply.ended_jobs}
    taken = {job_id for answer in answers for job_id in answer.reply.taken_jobs}
    unlisted = {
        order.job_id
        for answer in answers
        for order in answer.part.orders
        if order.job_id not in answer.reply.confirmed_jobs
    }
    confirmed = set()
    if answers and len(answers) == asked:
        confirmed = {order.job_id for order in answers[0].part.orders} - unlisted
    return RenewalOutcome(
        frozenset(ended), frozenset(taken), frozenset(unlisted), frozenset(confirmed)
    )
