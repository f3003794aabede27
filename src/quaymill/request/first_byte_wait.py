"""Waits for the first byte of a replica's answer, and detects frozen replicas."""

from __future__ import annotations

from typing import Protocol

from quaymill import boot_clock
from quaymill.connection.replica_connection import Exchange
from quaymill.request.deadline import Deadline
from quaymill.request.outcome import OutcomeUnknown

CHECK_INTERVAL_S = 0.25
FIRST_BYTE_TIMEOUT_S = 2.0
BUSY_FIRST_BYTE_TIMEOUT_S = 10.0
"""Applies while the load reports of the replica show that it is busy."""


class AwaitedReplica(Protocol):
    """The part of a replica's interface that the wait uses."""

    @property
    def reachable(self) -> bool:
        """Whether the replica answered the last poll."""

    def is_busy_since(self, sent_at: float) -> bool:
        """Return whether a report after ``sent_at`` explains a late first byte."""


def wait_for_first_byte(
    exchange: Exchange, replica: AwaitedReplica, deadline: Deadline, *, whole: bool = False
) -> OutcomeUnknown | None:
    """Wait until the replica sends something.

    The exchange is abandoned if the replica is frozen or the deadline passes.

    Parameters
    ----------
    whole
        Whether the replica sends the first byte only when the whole answer is ready. Then it
        counts as frozen only if it does not answer its polls either.

    Returns
    -------
    The failure, or ``None`` once data can be read.
    """
    sent_at = boot_clock.now()
    while not exchange.wait_readable(min(CHECK_INTERVAL_S, deadline.remaining_s())):
        waited_s = boot_clock.now() - sent_at
        if deadline.passed():
            exchange.abandon()
            return OutcomeUnknown(
                504,
                "the deadline passed before the replica answered",
                "allow more time in the header Quaymill-Timeout-S",
            )
        if _is_frozen(replica, sent_at, waited_s, whole):
            exchange.abandon()
            return OutcomeUnknown(
                504,
                f"{exchange.endpoint} sent nothing for {waited_s:.1f} s",
                "send the request again",
                1.0,
            )
    return None


def _is_frozen(replica: AwaitedReplica, sent_at: float, waited_s: float, whole: bool) -> bool:
    if waited_s < FIRST_BYTE_TIMEOUT_S:
        return False
    if not replica.reachable:
        return True
    if whole:
        return False
    return waited_s >= BUSY_FIRST_BYTE_TIMEOUT_S or not replica.is_busy_since(sent_at)
