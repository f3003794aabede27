"""Tries replicas for one request, one after the other, and merges the failures.

The merged failure is ``NotRun`` only if every attempt was ``NotRun``.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import Protocol, TypeVar

from eliot import start_action

from quaymill import boot_clock
from quaymill.connection.member import Machine
from quaymill.request.deadline import Deadline
from quaymill.request.outcome import Failed, Failure, NotRun, OutcomeUnknown
from quaymill.request.presence import CallerGoneError, CallerPresence
from quaymill.request.retry_budget import RetryBudget
from quaymill.request.service_queue import ServiceQueue

MAX_ATTEMPTS = 4
ATTEMPT_ID_BYTES = 6


class Replica(Protocol):
    """The part of a replica's interface that an attempt uses."""

    @property
    def name(self) -> str: ...  # noqa: D102
    @property
    def machine(self) -> Machine: ...  # noqa: D102
    def begin(self) -> int: ...  # noqa: D102
    def end(self, ticket: int) -> None: ...  # noqa: D102


class Chooser(Protocol):
    """The part of the router's interface that attempts use."""

    def choose(  # noqa: D102
        self, service: str, prefix_key: str = "", exclude: frozenset[str] = frozenset()
    ) -> Replica | NotRun: ...
    def record_success(self, replica: Replica, first_byte_s: float) -> None: ...  # noqa: D102
    def record_failure(self, replica: Replica, failure: Failure) -> None: ...  # noqa: D102


Answer = TypeVar("Answer")
SendOnce = Callable[[Replica, str], Answer | Failure]


class RequestAttempts:
    """The attempts of one request.

    Parameters
    ----------
    request_id
        Prefix of the attempt ids, so that a log search for it finds all attempts.
    prefix_key
        Passed to the chooser; identifies the start of the prompt.
    repeatable
        Whether another attempt is allowed after one that may have run.
    """

    def __init__(
        self,
        chooser: Chooser,
        budget: RetryBudget,
        deadline: Deadline,
        service: str,
        request_id: str,
        presence: CallerPresence,
        service_queue: ServiceQueue,
        prefix_key: str = "",
        repeatable: bool = True,
    ) -> None:
        self.deadline = deadline
        self.presence = presence
        self._service_queue = service_queue
        self._chooser = chooser
        self._budget = budget
        self._service = service
        self._request_id = request_id
        self._prefix_key = prefix_key
        self._repeatable = repeatable
        self._excluded: frozenset[str] = frozenset()
        self._attempt_count = 0
        self._failure: Failure | None = None

    def run(self, send_once: SendOnce[Answer], *, progressed: bool = False) -> Answer | Failure:
        """Try replicas until one answers or no further attempt is allowed.

        Parameters
        ----------
        send_once
            Makes one attempt, given the replica and the attempt's id.
        progressed
            Whether the previous attempt returned a part of the answer; the next attempt then
            does not draw on the retry budget.

        Raises
        ------
        CallerGoneError
            The caller has disconnected; no further attempt is made.
        """
        free_retry = progressed
        while self._attempt_count < MAX_ATTEMPTS:
            if self._attempt_count > 0 and not free_retry and not self._budget.take_retry():
                break
            free_retry = False
            if self.presence.interrupted:
                self._merge_failure(_node_stopping())
                break
            if self.deadline.passed():
                self._merge_failure(_deadline_passed())
                break
            replica = self._choose_replica()
            if isinstance(replica, NotRun) and replica.status == 429:
                replica = self._service_queue.wait_for_capacity(
                    self._choose_replica, self.deadline, self.presence
                )
            if isinstance(replica, NotRun):
                self._merge_failure(replica)
                break
            result = self._attempt(replica, send_once)
            if not isinstance(result, NotRun | OutcomeUnknown | Failed):
                return result
            if self.presence.gone:
                raise CallerGoneError
            if not self._may_retry(result):
                break
        return self._failure

    def record_stream_failure(self, replica: Replica, failure: OutcomeUnknown) -> None:
        """Record that the answer of an attempt failed after it had started."""
        if self.presence.gone:
            return
        self._chooser.record_failure(replica, failure)
        self._excluded |= {replica.name}
        self._merge_failure(failure)

    def end(self, replica: Replica, ticket: int) -> None:
        """Stop counting an attempt at its replica, and wake the queued requests."""
        replica.end(ticket)
        self._service_queue.record_end()

    def _choose_replica(self) -> Replica | NotRun:
        return self._chooser.choose(self._service, self._prefix_key, self._excluded)

    def _attempt(self, replica: Replica, send_once: SendOnce[Answer]) -> Answer | Failure:
        self._attempt_count += 1
        attempt_id = f"{self._request_id}.{secrets.token_hex(ATTEMPT_ID_BYTES)}"
        with start_action(
            action_type="request:attempt",
            request_id=self._request_id,
            attempt_id=attempt_id,
            replica=replica.name,
        ) as action:
            sent_at = boot_clock.now()
            result = send_once(replica, attempt_id)
            if self.presence.gone:
                action.add_success_fields(outcome="caller gone")
            elif isinstance(result, NotRun | OutcomeUnknown | Failed):
                action.add_success_fields(
                    outcome=type(result).__name__, status=result.status, reason=result.reason
                )
                self._chooser.record_failure(replica, result)
                self._excluded |= {replica.name}
                self._merge_failure(result)
            else:
                self._chooser.record_success(replica, boot_clock.now() - sent_at)
        return result

    def _may_retry(self, failure: Failure) -> bool:
        if isinstance(failure, NotRun):
            return True
        if isinstance(failure, Failed) and failure.status < 500 and failure.status != 429:
            return False
        return self._repeatable

    def _merge_failure(self, failure: Failure) -> None:
        self._failure = merge_failures(self._failure, failure)


def merge_failures(earlier: Failure | None, later: Failure) -> Failure:
    """Merge the failures of two attempts; the less certain kind of failure is kept."""
    if earlier is None:
        return later
    if isinstance(later, NotRun) and not isinstance(earlier, NotRun):
        return type(earlier)(
            earlier.status,
            f"{earlier.reason}; then: {later.reason}",
            earlier.remedy,
            later.retry_after_s or earlier.retry_after_s,
        )
    if isinstance(earlier, OutcomeUnknown) and isinstance(later, Failed):
        return OutcomeUnknown(
            later.status, f"{later.reason}; before: {earlier.reason}", later.remedy
        )
    return later


def _node_stopping() -> NotRun:
    return NotRun(503, "the node is stopping", "send the request to another node", 1.0)


def _deadline_passed() -> NotRun:
    return NotRun(504, "the request's deadline has passed", "allow more time")
