"""Which requests a stopping gateway still takes, and how it ends those that are left.

A request is taken if it will end before the process does, because its caller waits no longer than
that, or because requests of its route have lately been fast enough. Any other is refused at once,
as another gateway can serve it. What is in service when the time is over is interrupted, so that
its caller gets a final answer before the process ends.
"""

from __future__ import annotations

import contextlib
import math
import statistics
import threading
from collections import defaultdict, deque
from collections.abc import Iterator

from quaymill import boot_clock
from quaymill.request.presence import CallerPresence
from quaymill.version.request_routes import RequestRoute

REMEMBERED_DURATIONS = 64
MIN_DURATIONS = 16
"""Number of requests of a route from which the longest duration of the next one is estimated."""
DURATION_FACTOR = 2.0
"""The estimate, as a multiple of the longest duration that is remembered."""


class Drain:
    """The time that a gateway has left, and the requests in service; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._stop_at = math.inf
        self._in_service: set[CallerPresence] = set()
        self._durations_by_route: defaultdict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=REMEMBERED_DURATIONS)
        )

    @property
    def begun(self) -> bool:
        """Whether the gateway is stopping."""
        return self._stop_at < math.inf

    @property
    def remaining_s(self) -> float:
        """Time until requests are interrupted; infinite if the gateway is not stopping."""
        return self._stop_at - boot_clock.now()

    def begin(self, stop_at: float) -> None:
        """Take only requests that will end until ``stop_at``, a time by ``boot_clock``."""
        self._stop_at = stop_at

    def may_take(self, route: RequestRoute, caller_waits_s: float) -> bool:
        """Return whether a request will end in time.

        A request that must not be repeated has to end with near certainty, since a caller whose
        request was interrupted cannot send it again. Any other is refused only if it is likely to
        be interrupted.

        Parameters
        ----------
        caller_waits_s
            Time after which the request ends in any case.
        """
        remaining_s = self.remaining_s
        if caller_waits_s <= remaining_s:
            return True
        with self._lock:
            durations = list(self._durations_by_route[route.name])
        if route.repeatable:
            return remaining_s > (statistics.median(durations) if durations else 0.0)
        is_known = len(durations) >= MIN_DURATIONS
        return is_known and DURATION_FACTOR * max(durations) <= remaining_s

    def record_duration(self, route: RequestRoute, took_s: float) -> None:
        """Record how long a request took that was answered."""
        with self._lock:
            self._durations_by_route[route.name].append(took_s)

    @contextlib.contextmanager
    def in_service(self, presence: CallerPresence) -> Iterator[None]:
        """Count a request as in service, so that it can be interrupted."""
        with self._lock:
            self._in_service.add(presence)
        try:
            yield
        finally:
            with self._lock:
                self._in_service.discard(presence)

    def interrupt_all(self) -> int:
        """Interrupt the requests in service; return their number."""
        with self._lock:
            left = tuple(self._in_service)
        for presence in left:
            presence.interrupt()
        return len(left)
