"""The head of a replica's answer, reduced to what the gateway needs."""

from __future__ import annotations

import attrs

from quaymill.connection.replica_entry import ReportedLoad


@attrs.frozen
class AnswerHead:
    """Status line and headers of an answer.

    Attributes
    ----------
    headers
        Headers for the caller, without the hop-by-hop headers.
    request_id
        Request id echoed by the replica; empty if there is none.
    not_executed
        Whether the replica reports that it has not run the request and never will.
    misdirected
        Whether a different replica than the intended one answers at the address.
    length
        Size of the body in bytes; ``None`` if unknown.
    keep_alive_s
        How long the connection may stay idle afterwards; 0 if it must not be reused.
    cold_left_s
        Remaining warm-up time that the replica states; ``None`` if it states none, NaN if it is
        invalid.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    request_id: str
    not_executed: bool = False
    misdirected: bool = False
    load: ReportedLoad | None = None
    length: int | None = None
    keep_alive_s: float = 0.0
    cold_left_s: float | None = None
