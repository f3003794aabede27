"""Results of forwarding a request, and of each attempt at a replica."""

from __future__ import annotations

import attrs

from quaymill.request.outcome import OutcomeUnknown


@attrs.frozen
class Delivered:
    """The caller received the complete answer of a replica."""

    status: int
    replica_id: str


@attrs.frozen
class CallerLeft:
    """The caller disconnected before the answer was complete."""


@attrs.frozen
class GivenUp:
    """No complete answer of a replica could be delivered.

    Attributes
    ----------
    may_have_run
        Whether a replica may have run the request.
    timed_out
        Whether the request's deadline passed.
    retry_after_s
        Seconds after which the caller may retry; ``None`` if unknown.
    """

    reason: str
    may_have_run: bool
    timed_out: bool = False
    retry_after_s: float | None = None


@attrs.frozen
class KeyChanged:
    """The request was not run, since its API key no longer belongs to the tenant that sent it.

    Attributes
    ----------
    revoked
        Whether the key was revoked; otherwise it belongs to another tenant now.
    """

    revoked: bool


ForwardingResult = Delivered | CallerLeft | GivenUp | KeyChanged


@attrs.frozen
class Refused:
    """The replica refused the request without running it, or no connection could be opened."""

    reason: str


@attrs.frozen
class NotSent:
    """The request was not sent: the replica must not get it any more since it was chosen.

    Attributes
    ----------
    lacks_grant
        Whether the replica may get it later, with a new grant of the slot allocator.
    """

    reason: str
    lacks_grant: bool = False


@attrs.frozen
class Broken:
    """The attempt may have run, but its answer is missing, incomplete or an error.

    Attributes
    ----------
    connection_closed
        Whether the replica closed the connection before the answer was complete.
    """

    reason: str
    connection_closed: bool = False


AttemptResult = Delivered | CallerLeft | Refused | NotSent | Broken


def broken_attempt(failure: OutcomeUnknown) -> Broken:
    """Return the result of an attempt whose exchange failed."""
    return Broken(failure.reason, failure.connection_closed)
