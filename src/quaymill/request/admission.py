"""Bounds the requests in service at once; refuses at once what is over the limit."""

from __future__ import annotations

import threading

from quaymill import boot_clock
from quaymill.request.outcome import NotRun

SMOOTHING = 0.1
FIRST_SERVICE_TIME_S = 1.0
MAX_RETRY_AFTER_S = 30.0


class Admission:
    """Counts requests in service.

    The limit lies below the number of the server's threads, so that health checks and
    refusals always find a free thread.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._in_service = 0
        self._mean_service_s = FIRST_SERVICE_TIME_S
        self._changed = threading.Condition()

    @property
    def in_service(self) -> int:
        """Requests in service now."""
        return self._in_service

    def enter(self) -> NotRun | None:
        """Take a place, or refuse with the time until one is likely to be free."""
        with self._changed:
            if self._in_service < self._limit:
                self._in_service += 1
                return None
            # Places come free one after the other, each after a mean service time / limit;
            # a caller that comes back after a few of these finds room.
            wait_s = min(MAX_RETRY_AFTER_S, self._mean_service_s / 2)
        return NotRun(
            503,
            f"{self._limit} requests are in service on this node, which is its limit",
            "send the request again after the time given, or to another node",
            wait_s,
        )

    def leave(self, started_at: float) -> None:
        """Give a place back; ``started_at`` is the monotonic time of ``enter``."""
        service_s = boot_clock.now() - started_at
        with self._changed:
            self._in_service -= 1
            self._mean_service_s += SMOOTHING * (service_s - self._mean_service_s)
            self._changed.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until nothing is in service; return whether that came true."""
        with self._changed:
            return self._changed.wait_for(lambda: self._in_service == 0, timeout_s)
