"""The three kinds of failure of a request.

``NotRun`` guarantees that no part of the request was executed anywhere. ``OutcomeUnknown`` means
that bytes were sent to a back end and no complete answer was received. ``Failed`` means that the
request was executed and returned an error. Callers receive the kind in the header
``Quaymill-Outcome``.
"""

from __future__ import annotations

import msgspec

OUTCOME_HEADER = "Quaymill-Outcome"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
FAILED = "failed"


class NotRun(msgspec.Struct, frozen=True, tag="not-run"):
    """The request was not executed, so it is safe to send it again.

    Attributes
    ----------
    status
        HTTP status code for the caller.
    reason
        Human-readable cause.
    remedy
        Human-readable advice for the caller or the operator.
    retry_after_s
        Seconds after which to retry; ``None`` if a retry cannot help.
    by_replica
        Whether the refusal was sent by a replica, for example while draining.
    """

    status: int
    reason: str
    remedy: str
    retry_after_s: float | None = None
    by_replica: bool = False


class OutcomeUnknown(msgspec.Struct, frozen=True, tag="unknown"):
    """The request may have been executed; no complete answer was received.

    Attributes
    ----------
    connection_closed
        Whether the back end closed the connection, as opposed to a timeout here.
    """

    status: int
    reason: str
    remedy: str
    retry_after_s: float | None = None
    connection_closed: bool = False


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """The request was executed, and the back end returned an error."""

    status: int
    reason: str
    remedy: str
    retry_after_s: float | None = None


Failure = NotRun | OutcomeUnknown | Failed
