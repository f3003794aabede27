"""Reads the platform's store for all gateways: one of them at a time, whoever ranks first.

What a gateway holds is confirmed when the store was read and nothing newer stood there. The
one that reads tells all others, so that theirs is confirmed too. Each waits a little longer
than the one before it in rank: while the first ones do their work the others are silent, and
when they are frozen, gone or turned away by the store the next one reads.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from eliot import log_message

from quaymill import boot_clock

TICK_S = 0.05
STAGGER_S = 0.1
MAX_STAGGERED = 8
LAST_JITTER_S = 0.5
FIRST_WAIT_S = 0.05
"""Time after the start before the first read: peers that run already bring everything sooner."""
FIRST_JITTER_S = 0.2
"""Spread of the first reads: after a kill of all gateways those that read first tell the others."""
FIRST_PAUSE_S = 0.3
MAX_PAUSE_S = 1.5


class StoreReader:
    """One thread that reads when nobody else has for a while.

    Parameters
    ----------
    read
        Reads the store; returns why that failed, or an empty text.
    confirmed_age_s
        Returns how long ago what is held here was known to be the newest.
    rank
        Returns this gateway's rank among the live ones, 0 for the first.
    interval_s
        Time after which the first in rank reads again.
    """

    def __init__(
        self,
        read: Callable[[], str],
        confirmed_age_s: Callable[[], float],
        rank: Callable[[], int],
        interval_s: float,
    ) -> None:
        self._read = read
        self._confirmed_age_s = confirmed_age_s
        self._rank = rank
        self._interval_s = interval_s
        self._stopping = threading.Event()
        self._failures = 0
        # Peers that run already bring everything sooner than a read of the own.
        self._not_before = boot_clock.now() + FIRST_WAIT_S + random.uniform(0.0, FIRST_JITTER_S)

    def start(self) -> None:
        """Begin to read."""
        threading.Thread(target=self._run, name="store-reader", daemon=True).start()

    def stop(self) -> None:
        """Read no more."""
        self._stopping.set()

    def _run(self) -> None:
        jitter_s = random.uniform(0.0, LAST_JITTER_S)
        while not self._stopping.wait(self._next_look_s()):
            if self._confirmed_age_s() <= self._interval_s:
                continue
            rank = self._rank()
            limit_s = self._interval_s + STAGGER_S * min(rank, MAX_STAGGERED)
            if rank > MAX_STAGGERED:
                limit_s += jitter_s
            if self._confirmed_age_s() > limit_s and boot_clock.now() >= self._not_before:
                self._read_once()

    def _next_look_s(self) -> float:
        """Return the time until nobody may have confirmed for so long that a read is due.

        Twenty looks a second with a rank each, which is a hash of every gateway's name, took 5.75
        thousandths of a core in a fleet of 60 gateways.
        """
        return max(TICK_S, self._interval_s - self._confirmed_age_s())

    def _read_once(self) -> None:
        reason = self._read()
        if not reason:
            if self._failures:
                log_message("control:store_regained", failures=self._failures)
            self._failures = 0
            return
        if not self._failures:
            log_message("control:store_lost", reason=reason)
        self._failures += 1
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self._failures)
        self._not_before = boot_clock.now() + pause_s * random.uniform(0.7, 1.3)
