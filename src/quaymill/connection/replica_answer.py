"""The head of a replica's answer, as far as the product decides by it."""

from __future__ import annotations

import attrs

from quaymill.connection.replica_entry import ReportedLoad


@attrs.frozen
class AnswerHead:
    """Status line and headers of an answer.

    Attributes
    ----------
    headers
        What the caller gets: without those that concern one connection only.
    request_id
        The id that the replica echoes; empty if it echoes none.
    not_executed
        Whether the replica says that it did not run the request and never will.
    misdirected
        Whether another replica than the one meant answers at the address.
    length
        Size of the body in bytes, if told.
    keep_s
        How long the connection may lie idle afterwards; 0 if it must not be used again.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    request_id: str
    not_executed: bool = False
    misdirected: bool = False
    load: ReportedLoad | None = None
    length: int | None = None
    keep_s: float = 0.0
