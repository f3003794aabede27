"""Submits a job through another gateway if this one cannot store it in time.

A gateway may be unable to reach storage nodes or the platform's store while it still reaches other
gateways. It finds this out only when calls time out, which may be too late for the client. So if
storing the job takes longer than usual, the job is also sent to another gateway, and to a second
one if the first does not answer quickly. A job that arrives several times is accepted once.
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
"""Time after which the next attempt starts while the previous one is still running."""
RELAYS = 2
"""Maximum number of other gateways that are asked."""
RELAY_TIMEOUT_S = 0.5
"""Timeout of a call of another gateway."""


@attrs.frozen
class Submitted:
    """Outcome of an attempt to submit a job.

    Attributes
    ----------
    may_run
        Whether items of a job that is not accepted may run anyway.
    over_quota
        Set if the job is not accepted because it exceeds the quota.
    """

    accepted: bool
    reason: str = ""
    may_run: bool = False
    over_quota: OverQuota | None = None


class SubmissionRelay:
    """Submits jobs from this gateway and, if that takes long, through other gateways.

    Parameters
    ----------
    name
        Name of this gateway.
    other_gateways
        Returns the live gateways without this one.
    can_store
        Returns whether enough storage nodes are known to be alive.
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
        """Return the first acceptance, or the merged outcome if all attempts fail.

        Parameters
        ----------
        own_way
            Submits the job from this gateway. It runs in a thread of its own and to its end, even
            if another attempt succeeds first.
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
            # While there may be another gateway to ask, do not wait long for an outcome.
            outcome = _next_outcome(outcomes, RELAY_AFTER_S if member is not None else None)
            if outcome is None:
                continue
            if outcome.accepted:
                return outcome
            ended.append(outcome)
            under_way -= 1

    def _relay(self, member: Member, job: Job) -> Submitted:
        """Ask another gateway to accept the job; it is harmless if several accept it."""
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
    """Merge the outcomes of failed attempts; the reason is that of the first."""
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
        except Exception as error:  # A bug in one attempt must not leave the client waiting.
            log_message("job:submission_error", error=repr(error))
            outcomes.put(Submitted(False, "an internal error; see the log", may_run=True))

    threading.Thread(target=run, name="submission", daemon=True).start()
