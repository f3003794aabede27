"""The head of a replica's answer, reduced to what the gateway needs."""

from __future__ import annotations

import enum

import attrs
from urllib3._collections import HTTPHeaderDict

from quaymill.connection.replica_entry import ReportedLoad

BODILESS_STATUSES = frozenset({204, 304})


class BodyFraming(enum.Enum):
    """How the end of an answer's body is marked (RFC 9112, section 6.3).

    ``CONNECTION_CLOSE`` is a body with neither a length nor chunks, which ends with its connection.
    ``INVALID`` is a length that is not a number, or a transfer coding other than chunks.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_CLOSE = "connection close"
    INVALID = "invalid"


def read_framing(status: int, headers: HTTPHeaderDict) -> BodyFraming:
    """Return how the body of an answer is framed, from its status and headers."""
    if status in BODILESS_STATUSES:
        return BodyFraming.LENGTH
    coding = headers.get("Transfer-Encoding")
    if coding is not None:
        is_chunked = coding.strip().lower() == "chunked"
        return BodyFraming.CHUNKED if is_chunked else BodyFraming.INVALID
    length = headers.get("Content-Length")
    if length is None:
        return BodyFraming.CONNECTION_CLOSE
    is_number = length.isascii() and length.isdigit()
    return BodyFraming.LENGTH if is_number else BodyFraming.INVALID


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
    framing
        How the end of the body is marked.
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
    framing: BodyFraming = BodyFraming.LENGTH
    keep_alive_s: float = 0.0
    cold_left_s: float | None = None

    def is_answer_to(self, request_id: str) -> bool:
        """Return whether the answer is the one to a request.

        An earlier request's answer may come late, in its place. Only refusals, and answers to
        requests without an id, may state none.
        """
        if self.not_executed and not self.request_id:
            return True
        return self.request_id == request_id
