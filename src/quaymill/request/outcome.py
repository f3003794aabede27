"""The three kinds of failure of a request, which are never mixed.

``NotRun`` is a promise: no part of the request was executed anywhere. ``OutcomeUnknown``
says that bytes left for a back end and no whole answer came. ``Failed`` says that the
request ran and reported an error. Callers read the kind in the header
``Quaymill-Outcome``.
"""

from __future__ import annotations

import msgspec

OUTCOME_HEADER = "Quaymill-Outcome"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
FAILED = "failed"


class NotRun(msgspec.Struct, frozen=True, tag="not-run"):
    """The request was not executed, and it is safe to send it again.

    Attributes
    ----------
    status
        HTTP status code for the caller.
    reason
        What stood in the way, for a person.
    remedy
        What the caller or the operator can do about it.
    retry_after_s
        Seconds until a new try makes sense; ``None`` if a new try cannot help.
    by_replica
        Whether a replica said so itself, as one that is draining does.
    """

    status: int
    reason: str
    remedy: str
    retry_after_s: float | None = None
    by_replica: bool = False


class OutcomeUnknown(msgspec.Struct, frozen=True, tag="unknown"):
    """The request may have been executed; no whole answer came back.

    Attributes
    ----------
    connection_closed
        Whether the back end's side closed the connection, and not a time-out here.
    """

    status: int
    reason: str
    remedy: str
    retry_after_s: float | None = None
    connection_closed: bool = False


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """The request was executed and the back end reported an error."""

    status: int
    reason: str
    remedy: str
    retry_after_s: float | None = None


Failure = NotRun | OutcomeUnknown | Failed
