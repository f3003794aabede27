"""Requests that wait for a replica below its online limit, first come first served."""

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
    """The queue of one service; bounded in length and in time.

    A request that finds the queue full, or whose wait is likely to be longer than it may
    take, is refused at once with the time after which there is likely to be room. That time
    follows from the requests ahead and from how many ended in the last seconds.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._changed = threading.Condition()
        self._waiting: deque[object] = deque()
        self._ended_at: deque[float] = deque()

    @property
    def waiting(self) -> int:
        """Requests that wait now."""
        return len(self._waiting)

    def record_end(self) -> None:
        """Note that a request of the service has ended, so that there may be room."""
        with self._changed:
            self._ended_at.append(boot_clock.now())
            self._forget_old_ends()
            self._changed.notify_all()

    def wait_for_capacity(
        self, choose: Choose[Choice], deadline: Deadline, presence: CallerPresence
    ) -> Choice | NotRun:
        """Wait until ``choose`` finds a replica that has room.

        ``choose`` returns a refusal with status 429 while there is none; another refusal
        ends the wait.

        Raises
        ------
        CallerGoneError
            The caller left while it waited.
        """
        ticket = object()
        with self._changed:
            refusal = self._refuse_wait(deadline)
            if refusal is not None:
                return refusal
            self._waiting.append(ticket)
        patience = Deadline.after(min(MAX_WAIT_S, deadline.remaining_s()))
        presence.attach(self._wake)
        try:
            return self._wait(ticket, choose, patience, presence)
        finally:
            presence.detach()
            with self._changed:
                self._waiting.remove(ticket)
                self._changed.notify_all()

    def _wait(
        self,
        ticket: object,
        choose: Choose[Choice],
        patience: Deadline,
        presence: CallerPresence,
    ) -> Choice | NotRun:
        while not patience.passed():
            if presence.gone:
                raise CallerGoneError
            if presence.interrupted:
                break
            if self._waiting[0] is ticket:
                choice = choose()
                if not (isinstance(choice, NotRun) and choice.status == 429):
                    return choice
            with self._changed:
                # Room may also come from other nodes' requests, which only reports show.
                self._changed.wait(min(RECHECK_INTERVAL_S, patience.remaining_s()))
        return self._refusal("no replica had room in time")

    def _wake(self) -> None:
        with self._changed:
            self._changed.notify_all()

    def _refuse_wait(self, deadline: Deadline) -> NotRun | None:
        if len(self._waiting) >= self._limit:
            return self._refusal(f"{len(self._waiting)} requests wait already")
        if self._ended_at and self._likely_wait_s() > min(MAX_WAIT_S, deadline.remaining_s()):
            return self._refusal("the wait is likely to be too long")
        return None

    def _refusal(self, reason: str) -> NotRun:
        wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, self._likely_wait_s()))
        return NotRun(
            429,
            f"all replicas are at their online limit, and {reason}",
            "come back after the time given, or raise online_limit of the routes",
            wait_s,
        )

    def _likely_wait_s(self) -> float:
        """Seconds until a request that comes now has its turn, at the rate of late."""
        self._forget_old_ends()
        ended_per_s = len(self._ended_at) / RATE_WINDOW_S
        if ended_per_s == 0.0:
            return MAX_RETRY_AFTER_S
        return (len(self._waiting) + 1) / ended_per_s

    def _forget_old_ends(self) -> None:
        horizon = boot_clock.now() - RATE_WINDOW_S
        while self._ended_at and self._ended_at[0] < horizon:
            self._ended_at.popleft()


class ServiceQueues:
    """A waiting room for each service."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._rooms: dict[str, ServiceQueue] = {}

    def of(self, service: str) -> ServiceQueue:
        """Return the waiting room of a service."""
        with self._lock:
            return self._rooms.setdefault(service, ServiceQueue(self._limit))
