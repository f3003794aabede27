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
"""Time after which the next attempt starts while the previous one is still running: several times
what storing a job takes, and a third of the shortest target for accepting one (0.4 s)."""
MAX_RELAYS = 2
"""Maximum number of other gateways that are asked."""
RELAY_TIMEOUT_S = 0.5
"""Timeout of a call of another gateway; longer than a client's latency target, shorter than its
timeout."""


@attrs.frozen
class SubmissionOutcome:
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

    def submit(
        self, job: Job, submit_locally: Callable[[], SubmissionOutcome]
    ) -> SubmissionOutcome:
        """Submit a job locally and, if that takes long, through other gateways.

        Returns the local outcome if it is known within ``RELAY_AFTER_S``, even a failure. Otherwise
        returns the first acceptance, or the merged outcome if all attempts fail.

        Parameters
        ----------
        submit_locally
            Submits the job from this gateway. It has a thread of its own and is not stopped if
            another attempt succeeds first.
        """
        outcomes: queue.SimpleQueue[SubmissionOutcome] = queue.SimpleQueue()
        running = 0
        if self._can_store():
            _start_attempt(submit_locally, outcomes)
            running = 1
            local = _next_outcome(outcomes, RELAY_AFTER_S)
            if local is not None:
                return local
        others = iter(rank_nodes(f"relay/{self._name}", self._other_gateways())[:MAX_RELAYS])
        failed: list[SubmissionOutcome] = []
        while True:
            member = next(others, None)
            if member is not None:
                _start_attempt(functools.partial(self._relay, member, job), outcomes)
                running += 1
            elif not running:
                return _merge_failed(failed)
            # While there may be another gateway to ask, do not wait long for an outcome.
            outcome = _next_outcome(outcomes, RELAY_AFTER_S if member is not None else None)
            if outcome is None:
                continue
            if outcome.accepted:
                return outcome
            failed.append(outcome)
            running -= 1

    def _relay(self, member: Member, job: Job) -> SubmissionOutcome:
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
            return SubmissionOutcome(reply.accepted, reply.reason, reply.may_run)
        may_run = isinstance(reply, PeerNoReply)
        return SubmissionOutcome(False, f"{member.name} did not accept the job", may_run)


def _merge_failed(failed: list[SubmissionOutcome]) -> SubmissionOutcome:
    """Merge the outcomes of failed attempts; the reason is that of the first."""
    over_quota = next(
        (failure.over_quota for failure in failed if failure.over_quota is not None), None
    )
    reason = failed[0].reason if failed else "no storage node and no other gateway is known"
    return SubmissionOutcome(False, reason, any(failure.may_run for failure in failed), over_quota)


def _next_outcome(
    outcomes: queue.SimpleQueue[SubmissionOutcome], timeout_s: float | None
) -> SubmissionOutcome | None:
    try:
        return outcomes.get(timeout=timeout_s)
    except queue.Empty:
        return None


def _start_attempt(
    attempt: Callable[[], SubmissionOutcome], outcomes: queue.SimpleQueue[SubmissionOutcome]
) -> None:
    def run() -> None:
        try:
            outcomes.put(attempt())
        except Exception as error:  # A bug in one attempt must not leave the client waiting.
            log_message("job:submission_error", error=repr(error))
            outcomes.put(SubmissionOutcome(False, "an internal error; see the log", may_run=True))

    threading.Thread(target=run, name="submission", daemon=True).start()
