"""Renews a coordinator's leases at the storage nodes, and checks that its listings are the newest.

A lease says who runs a job, but not whether the coordinator's copy of the listing is the newest.
The content of a result is on storage nodes before the result is listed. So if no storage node has
a result which is missing in the copy, no other coordinator has listed more.
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
    """The combined answers of the storage nodes; each attribute holds ids of jobs.

    Attributes
    ----------
    ended
        Jobs that clients ended.
    taken
        Jobs whose lease another coordinator holds at some storage node. The listing decides which
        of the two coordinators leaves the job.
    unlisted
        Jobs of which a storage node may have a result that the coordinator's listing lacks.
    confirmed
        Jobs whose listing was the newest when the renewal began: every storage node that may have
        a result which is missing in it has answered that it has none.
    """

    ended: frozenset[str]
    taken: frozenset[str]
    unlisted: frozenset[str] = frozenset()
    confirmed: frozenset[str] = frozenset()


@attrs.frozen
class _NodeReply:
    """The reply of one storage node, and the message it replied to."""

    node_message: RenewJobs
    reply: JobsRenewed


class LeaseRenewal:
    """Splits renewals by storage node, sends them in parallel, and merges the answers.

    Parameters
    ----------
    storage_nodes
        Returns the live storage nodes, without leaving ones.
    result_holders
        Returns all storage nodes that may hold the only copy of a result, including those that
        are leaving or do not answer now.
    rules
        Decide which live storage nodes hold the copies of a job.
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
        """Renew, complete, release and hand over the leases of the jobs named in a message."""
        possible_holders = self._result_holders()
        asked = tuple(member for member in possible_holders if member.state is not MemberState.DEAD)
        node_messages = list(self._node_messages(message, self._storage_nodes(), asked))
        node_replies: list[_NodeReply] = []
        threads = [
            threading.Thread(
                target=self._renew_at, args=(member, node_message, node_replies), daemon=True
            )
            for member, node_message in node_messages
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(RENEW_TIMEOUT_S)
        outcome = _merge(list(node_replies), len(node_messages))
        all_asked = bool(possible_holders) and len(asked) == len(possible_holders)
        return outcome if all_asked else attrs.evolve(outcome, confirmed=frozenset())

    def _renew_at(
        self, member: Member, node_message: RenewJobs, node_replies: list[_NodeReply]
    ) -> None:
        reply = self._peer_client.call(member.peer, node_message, JobsRenewed, RENEW_TIMEOUT_S)
        if isinstance(reply, JobsRenewed):
            node_replies.append(_NodeReply(node_message, reply))

    def _node_messages(
        self, message: RenewJobs, live: tuple[Member, ...], asked: tuple[Member, ...]
    ) -> Iterator[tuple[Member, RenewJobs]]:
        """Yield the message for each storage node: the leases it keeps, and all listings."""
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

            node_message = RenewJobs(
                message.coordinator,
                tuple(filter(is_held, message.open_jobs)),
                tuple(filter(is_held, message.complete_jobs)),
                tuple(filter(is_held, message.released_jobs)),
                tuple(filter(is_held, message.handed_over_jobs)),
                message.orders,
            )
            if node_message != RenewJobs(message.coordinator, ()):
                yield member, node_message


def _merge(node_replies: list[_NodeReply], messages_sent: int) -> RenewalOutcome:
    ended = {job_id for node_reply in node_replies for job_id in node_reply.reply.ended_jobs}
    taken = {job_id for node_reply in node_replies for job_id in node_reply.reply.taken_jobs}
    unlisted = {
        listed_items.job_id
        for node_reply in node_replies
        for listed_items in node_reply.node_message.orders
        if listed_items.job_id not in node_reply.reply.confirmed_jobs
    }
    confirmed = set()
    if node_replies and len(node_replies) == messages_sent:
        confirmed = {
            listed_items.job_id for listed_items in node_replies[0].node_message.orders
        } - unlisted
    return RenewalOutcome(
        frozenset(ended), frozenset(taken), frozenset(unlisted), frozenset(confirmed)
    )
