"""Submits a job by way of another gateway where storage nodes do not answer this one in time.

A gateway may be cut off from the storage nodes, from some of them, or from the platform's store,
while it reaches other gateways, and learns of it only when calls run out. Whoever sent the job
has a fraction of a second. So the same job goes to another gateway as well once the own way takes
longer than usual, and to a second one if that takes long too: a job is taken once, whichever way
it comes.
"""

from __future__ import annotations

import functools
import queue
import threading
from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill.connection.job_document import Job
from quaymill.connection.job_storage_messages import JobSubmitted, SubmitJob
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient, PeerNoReply
from quaymill.process.jobs.route_quota import OverQuota
from quaymill.process.membership.ranking import rank_nodes

RELAY_AFTER_S = 0.12
"""Wait for one way before the next is tried as well: several times what storing takes, a third of
the shortest objective that was met for accepting a job (0.4 s)."""
RELAYS = 2
"""Other gateways that are asked: the first may be cut off too."""
RELAY_TIMEOUT_S = 0.5
"""Time for one of them: more than a caller's objective, and less than its patience."""


@attrs.frozen
class Submitted:
    """What came of one way.

    Attributes
    ----------
    may_run
        Whether a part of a job that is not accepted may run all the same.
    over_quota
        Set if the job is not accepted since it does not fit.
    """

    accepted: bool
    reason: str = ""
    may_run: bool = False
    over_quota: OverQuota | None = None


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

    def submit(self, job: Job, own_way: Callable[[], Submitted]) -> Submitted:
        """Return the first acceptance, or what came of all ways.

        Parameters
        ----------
        own_way
            Called in a thread of its own, and to its end whatever comes first.
        """
        outcomes: queue.SimpleQueue[Submitted] = queue.SimpleQueue()
        under_way = 0
        if self._can_store():
            _in_thread(own_way, outcomes)
            under_way = 1
            own = _next_outcome(outcomes, RELAY_AFTER_S)
            if own is not None:
                return own
        others = iter(rank_nodes(f"relay/{self._name}", self._other_gateways())[:RELAYS])
        ended: list[Submitted] = []
        while True:
            member = next(others, None)
            if member is not None:
                _in_thread(functools.partial(self._relay, member, job), outcomes)
                under_way += 1
            elif not under_way:
                return _merged(ended)
            # With another gateway left to ask, a way that takes long is not waited for.
            outcome = _next_outcome(outcomes, RELAY_AFTER_S if member is not None else None)
            if outcome is None:
                continue
            if outcome.accepted:
                return outcome
            ended.append(outcome)
            under_way -= 1

    def _relay(self, member: Member, job: Job) -> Submitted:
        """Ask another gateway to accept the job; what it may have done does no harm."""
        reply = self._peer_client.call(member.peer, SubmitJob(job), JobSubmitted, RELAY_TIMEOUT_S)
        log_message(
            "job:relayed",
            job=job.id,
            gateway=member.name,
            outcome=type(reply).__name__,
            accepted=getattr(reply, "accepted", False),
        )
        if isinstance(reply, JobSubmitted):
            return Submitted(reply.accepted, reply.reason, reply.may_run)
        may_run = isinstance(reply, PeerNoReply)
        return Submitted(False, f"{member.name} did not accept the job", may_run)


def _merged(ended: list[Submitted]) -> Submitted:
    """Return what is to be told when no way led to an acceptance."""
    over_quota = next((one.over_quota for one in ended if one.over_quota is not None), None)
    reason = ended[0].reason if ended else "no storage node and no other gateway is known"
    return Submitted(False, reason, any(one.may_run for one in ended), over_quota)


def _next_outcome(
    outcomes: queue.SimpleQueue[Submitted], timeout_s: float | None
) -> Submitted | None:
    try:
        return outcomes.get(timeout=timeout_s)
    except queue.Empty:
        return None


def _in_thread(way: Callable[[], Submitted], outcomes: queue.SimpleQueue[Submitted]) -> None:
    def run() -> None:
        try:
            outcomes.put(way())
        except Exception as error:  # A bug in one way must not leave the caller waiting.
            log_message("job:submission_error", error=repr(error))
            outcomes.put(Submitted(False, "an internal error; see the log", may_run=True))

    threading.Thread(target=run, name="submission", daemon=True).start()
