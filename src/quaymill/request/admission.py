"""Limits the number of concurrent requests; refuses requests above the limit at once."""

from __future__ import annotations

import threading

from quaymill import boot_clock
from quaymill.request.outcome import NotRun

SERVICE_TIME_SMOOTHING = 0.1
INITIAL_SERVICE_TIME_S = 1.0
MAX_RETRY_AFTER_S = 30.0


class Admission:
    """Counts requests in service; thread-safe.

    The limit must be smaller than the server's number of threads, so that a thread is always free
    for health checks and refusals.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._in_service = 0
        self._mean_service_s = INITIAL_SERVICE_TIME_S
        self._changed = threading.Condition()

    @property
    def in_service(self) -> int:
        """Number of requests in service."""
        return self._in_service

    def enter(self) -> NotRun | None:
        """Count a request, or refuse it with the time after which capacity is expected."""
        with self._changed:
            if self._in_service < self._limit:
                self._in_service += 1
                return None
            # About half of the requests in service end within half of the mean service time.
            wait_s = min(MAX_RETRY_AFTER_S, self._mean_service_s / 2)
        return NotRun(
            503,
            f"{self._limit} requests are in service on this node, which is its limit",
            "send the request again after the given time, or to another node",
            wait_s,
        )

    def leave(self, started_at: float) -> None:
        """Stop counting a request; ``started_at`` is the monotonic time of ``enter``."""
        service_s = boot_clock.now() - started_at
        with self._changed:
            self._in_service -= 1
            self._mean_service_s += SERVICE_TIME_SMOOTHING * (service_s - self._mean_service_s)
            self._changed.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in service; return ``False`` after the timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self._in_service == 0, timeout_s)
