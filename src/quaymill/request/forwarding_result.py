"""What came of forwarding a request, and of each attempt at a replica."""

from __future__ import annotations

import attrs

from quaymill.request.outcome import OutcomeUnknown


@attrs.frozen
class Delivered:
    """The caller got a replica's whole answer."""

    status: int
    replica_id: str


@attrs.frozen
class CallerLeft:
    """The caller left before the answer was whole."""


@attrs.frozen
class GivenUp:
    """No replica's answer can be delivered.

    Attributes
    ----------
    may_have_run
        Whether a replica may have run the request.
    timed_out
        Whether the time of the request ran out.
    retry_after_s
        Time until it may be served; ``None`` if that is not known.
    """

    reason: str
    may_have_run: bool
    timed_out: bool = False
    retry_after_s: float | None = None


@attrs.frozen
class KeyChanged:
    """The request was not run: its key has another holder now, or none.

    Attributes
    ----------
    taken_away
        Whether the key has no holder any more.
    """

    taken_away: bool


ForwardingResult = Delivered | CallerLeft | GivenUp | KeyChanged


@attrs.frozen
class Refused:
    """The attempt did not run at the replica."""

    reason: str


@attrs.frozen
class Broken:
    """The attempt may have run, and its answer is no good.

    Attributes
    ----------
    connection_closed
        Whether the replica's side closed the connection before the answer was whole.
    """

    reason: str
    connection_closed: bool = False


AttemptResult = Delivered | CallerLeft | Refused | Broken


def broken_by(failure: OutcomeUnknown) -> Broken:
    """Return what a failure of the exchange makes of the attempt."""
    return Broken(failure.reason, failure.connection_closed)
