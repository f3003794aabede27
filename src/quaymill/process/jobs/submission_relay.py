"""Submits a job by way of another gateway where storage nodes do not answer this one in time.

A gateway may be cut off from the storage nodes, or from some of them, while it reaches other
gateways, and learns of it only when calls run out. Whoever sent the job has a fraction of a
second. So the same job goes to another gateway as well once the own way takes longer than usual:
a job is taken once, whichever way it comes.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill.connection.job_document import Job
from quaymill.connection.job_storage_messages import JobSubmitted, SubmitJob
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient, PeerNoReply
from quaymill.process.membership.ranking import rank_nodes

RELAY_AFTER_S = 0.12
"""Wait for the own way: several times what storing takes, a fraction of a caller's objective."""
RELAYS = 2
"""Other gateways that are asked, one after the other: the first may be cut off too."""
RELAY_TIMEOUT_S = 0.5
"""Time for one of them: two fit into what a caller waits, beside the own way."""


@attrs.frozen
class Submitted:
    """What came of one way.

    Attributes
    ----------
    may_run
        Whether a part of a job that is not accepted may run all the same.
    """

    accepted: bool
    reason: str = ""
    may_run: bool = False


class SubmissionRelay:
    """Tries the own way and, when that takes long, the way by another gateway.

    Parameters
    ----------
    other_gateways
        Returns the live gateways but this one.
    can_store
        Whether storage nodes enough are known to live.
    """

    def __init__(
        self,
        name: str,
        peer_client: PeerClient,
        other_gateways: Callable[[], tuple[Member, ...]],
        can_store: Callable[[], bool],
    ) -> None:
        self._name = name
        self._peer_client = peer_client
        self._other_gateways = other_gateways
        self._can_store = can_store

    def submit(self, job: Job, store: Callable[[], Submitted]) -> Submitted:
        """Return the first acceptance, or what came of all ways.

        Parameters
        ----------
        store
            The own way; called in a thread of its own, and to its end whatever comes first.
        """
        if not self._can_store():
            return self._relay(job)
        outcomes: queue.SimpleQueue[Submitted] = queue.SimpleQueue()
        _in_thread(lambda: outcomes.put(store()))
        try:
            return outcomes.get(timeout=RELAY_AFTER_S)
        except queue.Empty:
            _in_thread(lambda: outcomes.put(self._relay(job)))
        first = outcomes.get()
        if first.accepted:
            return first
        second = outcomes.get()
        if second.accepted:
            return second
        return Submitted(False, first.reason, first.may_run or second.may_run)

    def _relay(self, job: Job) -> Submitted:
        """Ask other gateways until one accepts the job; what one may have done does no harm."""
        may_run = False
        for member in rank_nodes(f"relay/{self._name}", self._other_gateways())[:RELAYS]:
            reply = self._peer_client.call(
                member.peer, SubmitJob(job), JobSubmitted, RELAY_TIMEOUT_S
            )
            log_message(
                "job:relayed",
                job=job.id,
                gateway=member.name,
                outcome=type(reply).__name__,
                accepted=getattr(reply, "accepted", False),
            )
            if isinstance(reply, JobSubmitted) and reply.accepted:
                return Submitted(True)
            untold = isinstance(reply, PeerNoReply)
            may_run = may_run or untold or getattr(reply, "may_run", False)
        return Submitted(False, "no other gateway accepted the job", may_run)


def _in_thread(work: Callable[[], None]) -> None:
    threading.Thread(target=work, name="submission", daemon=True).start()
