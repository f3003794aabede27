"""A bounded first-in, first-out queue of requests that wait for a replica below its limit."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import TypeVar

from quaymill import boot_clock
from quaymill.request.deadline import Deadline
from quaymill.request.outcome import NotRun
from quaymill.request.presence import CallerGoneError, CallerPresence

MAX_WAIT_S = 10.0
RECHECK_INTERVAL_S = 0.1
RATE_WINDOW_S = 5.0
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0

Choice = TypeVar("Choice")
Choose = Callable[[], Choice | NotRun]


class ServiceQueue:
    """The queue of one service, limited in length and in waiting time.

    A request is refused at once if the queue is full, or if its expected wait exceeds
    ``MAX_WAIT_S`` or its deadline. The refusal contains the time after which capacity is expected,
    which is estimated from the queue length and the rate at which requests ended recently.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._changed = threading.Condition()
        self._waiting: deque[object] = deque()
        self._end_times: deque[float] = deque()

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._waiting)

    def record_end(self) -> None:
        """Record that a request of the service has ended, which may have freed a slot."""
        with self._changed:
            self._end_times.append(boot_clock.now())
            self._drop_old_end_times()
            self._changed.notify_all()

    def wait_for_capacity(
        self, choose: Choose[Choice], deadline: Deadline, presence: CallerPresence
    ) -> Choice | NotRun:
        """Wait until ``choose`` finds a replica with a free slot.

        ``choose`` returns a refusal with status 429 while there is none; any other refusal
        ends the wait and is returned. If the wait takes too long or the node stops, a refusal with
        status 429 is returned.

        Raises
        ------
        CallerGoneError
            The caller disconnected while its request was queued.
        """
        ticket = object()
        with self._changed:
            refusal = self._refuse_if_overloaded(deadline)
            if refusal is not None:
                return refusal
            self._waiting.append(ticket)
        wait_deadline = Deadline.after(min(MAX_WAIT_S, deadline.remaining_s()))
        presence.attach(self._wake)
        try:
            return self._wait(ticket, choose, wait_deadline, presence)
        finally:
            presence.detach()
            with self._changed:
                self._waiting.remove(ticket)
                self._changed.notify_all()

    def _wait(
        self,
        ticket: object,
        choose: Choose[Choice],
        wait_deadline: Deadline,
        presence: CallerPresence,
    ) -> Choice | NotRun:
        while not wait_deadline.passed():
            if presence.gone:
                raise CallerGoneError
            if presence.interrupted:
                break
            if self._waiting[0] is ticket:
                choice = choose()
                if not (isinstance(choice, NotRun) and choice.status == 429):
                    return choice
            with self._changed:
                # Slots are also freed by requests of other nodes, which only load reports show.
                self._changed.wait(min(RECHECK_INTERVAL_S, wait_deadline.remaining_s()))
        return self._refusal("no replica had a free slot in time")

    def _wake(self) -> None:
        with self._changed:
            self._changed.notify_all()

    def _refuse_if_overloaded(self, deadline: Deadline) -> NotRun | None:
        if len(self._waiting) >= self._limit:
            return self._refusal(f"{len(self._waiting)} requests are queued already")
        if self._end_times and self._expected_wait_s() > min(MAX_WAIT_S, deadline.remaining_s()):
            return self._refusal("the expected wait is too long")
        return None

    def _refusal(self, reason: str) -> NotRun:
        wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, self._expected_wait_s()))
        return NotRun(
            429,
            f"all replicas are at their online limit, and {reason}",
            "retry after the given time, or raise online_limit of the routes",
            wait_s,
        )

    def _expected_wait_s(self) -> float:
        """Return the expected wait of a new request in seconds, at the recent rate."""
        self._drop_old_end_times()
        ends_per_s = len(self._end_times) / RATE_WINDOW_S
        if ends_per_s == 0.0:
            return MAX_RETRY_AFTER_S
        return (len(self._waiting) + 1) / ends_per_s

    def _drop_old_end_times(self) -> None:
        horizon = boot_clock.now() - RATE_WINDOW_S
        while self._end_times and self._end_times[0] < horizon:
            self._end_times.popleft()


class ServiceQueues:
    """The queues of all services; thread-safe."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._queues: dict[str, ServiceQueue] = {}

    def of(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        with self._lock:
            return self._queues.setdefault(service, ServiceQueue(self._limit))
