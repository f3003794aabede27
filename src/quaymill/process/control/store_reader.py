"""Reads the platform's store on behalf of all gateways; usually only the first in rank reads.

A gateway's view is confirmed when a read of the store has been applied to it. The gateway that
reads notifies all others; those with the same versions confirm their views too. Each gateway
waits a little longer than the one before it in rank, so it reads only if those before it are
frozen or stopped, or if the store refuses them.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from eliot import log_message

from quaymill import boot_clock

MIN_CHECK_INTERVAL_S = 0.05
STAGGER_S = 0.1
"""Additional delay of a gateway for each gateway before it in rank."""
MAX_STAGGERED = 8
"""Highest rank up to which the delay grows."""
UNSTAGGERED_JITTER_S = 0.5
"""Maximum random delay of gateways with a higher rank, which otherwise wait equally long."""
FIRST_READ_DELAY_S = 0.05
"""Delay of the first read after the start: running peers usually send everything sooner."""
FIRST_READ_JITTER_S = 0.2
"""Random extra delay of the first read, so that gateways started together do not all read."""
FIRST_PAUSE_S = 0.3
MAX_PAUSE_S = 1.5


class StoreReader:
    """One thread that reads the store when no gateway has done so for a while.

    Parameters
    ----------
    read
        Reads the store; returns the reason of a failure, or an empty string.
    confirmed_age_s
        Returns the time since this gateway's view was last confirmed to be the newest.
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
        self._not_before = (
            boot_clock.now() + FIRST_READ_DELAY_S + random.uniform(0.0, FIRST_READ_JITTER_S)
        )

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, name="store-reader", daemon=True).start()

    def stop(self) -> None:
        """Stop reading; the thread ends soon after."""
        self._stopping.set()

    def _run(self) -> None:
        jitter_s = random.uniform(0.0, UNSTAGGERED_JITTER_S)
        while not self._stopping.wait(self._next_check_s()):
            if self._confirmed_age_s() <= self._interval_s:
                continue
            rank = self._rank()
            limit_s = self._interval_s + STAGGER_S * min(rank, MAX_STAGGERED)
            if rank > MAX_STAGGERED:
                limit_s += jitter_s
            if self._confirmed_age_s() > limit_s and boot_clock.now() >= self._not_before:
                self._read_once()

    def _next_check_s(self) -> float:
        """Return the time until the earliest moment at which a read can be due.

        The rank is computed only then, because it hashes the name of every gateway.
        """
        return max(MIN_CHECK_INTERVAL_S, self._interval_s - self._confirmed_age_s())

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
