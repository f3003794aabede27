"""Decides whether a new connection is read, or closed unread so that its caller tries elsewhere.

Callers reach a gateway that somebody else chooses for them, and at times most of them reach the
same one. A request that waits there for a worker is late or given up, while a caller whose
connection is closed unread sends it to another gateway at once, whatever its kind.

The gate observes how long new connections wait for a worker, which covers workers that are all in
use as well as a processor that is. It admits all while the wait is short and there is room for
another request. Otherwise it admits a few, which show whether the wait is over.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable

from eliot import log_message

from quaymill import boot_clock

MAX_WAIT_S = 0.2
"""Recent wait for a worker above which new connections are closed unread."""
SMOOTHING = 0.3
"""Weight of the newest wait in the average."""
TRIAL_INTERVAL_S = 0.05
"""Time between two connections that are admitted while the wait is long or there is no room."""
FORGET_S = 0.5
"""Time without a new wait after which the average no longer counts."""
LOG_INTERVAL_S = 1.0


class ReadGate:
    """Admits or rejects new connections; safe to use from any thread.

    Parameters
    ----------
    has_room
        Returns whether another request may be taken into service.

    Attributes
    ----------
    closed
        Connections that were closed unread since the start.
    """

    def __init__(self, has_room: Callable[[], bool] = lambda: True) -> None:
        self._has_room = has_room
        self._lock = threading.Lock()
        self._wait_s = 0.0
        self._waited_at = -math.inf
        self._next_trial_at = -math.inf
        self._logged_at = -math.inf
        self._closed_before_log = 0
        self.closed = 0

    def record_wait(self, wait_s: float) -> None:
        """Record how long a new connection waited for the worker that reads it."""
        now = boot_clock.now()
        with self._lock:
            if now - self._waited_at > FORGET_S:
                self._wait_s = 0.0
            self._wait_s += SMOOTHING * (wait_s - self._wait_s)
            self._waited_at = now

    def admits(self) -> bool:
        """Return whether a new connection is read; otherwise it must be closed at once."""
        now = boot_clock.now()
        with self._lock:
            if self._may_read(now):
                return True
            self.closed += 1
            if now - self._logged_at < LOG_INTERVAL_S:
                return False
            self._logged_at = now
            closed = self.closed - self._closed_before_log
            self._closed_before_log = self.closed
            wait_s = self._wait_s
        log_message("front:closed_unread", connections=closed, wait_s=round(wait_s, 3))
        return False

    def _may_read(self, now: float) -> bool:
        waits_long = self._wait_s > MAX_WAIT_S and now - self._waited_at <= FORGET_S
        if self._has_room() and not waits_long:
            return True
        if now < self._next_trial_at:
            return False
        self._next_trial_at = now + TRIAL_INTERVAL_S
        return True
