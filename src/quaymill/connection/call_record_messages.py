"""Messages about non-idempotent calls to applications, which are run at most once."""

from __future__ import annotations

import enum

import msgspec

from quaymill.connection.peer_link import PeerMessage


class CallState(enum.StrEnum):
    """States of an at-most-once call.

    BEGUN -> FINISHED when the answer is stored. A call that is begun for the first time is
    answered with NEW; its attempt may be sent only after this answer.
    """

    NEW = "new"
    BEGUN = "begun"
    FINISHED = "finished"


class BeginCall(PeerMessage, frozen=True):
    """Claim a call before any byte is sent to the application.

    Attributes
    ----------
    attempt
        Random id of the only attempt that may be sent. If this message is sent again with the same
        attempt, after a lost answer, it is answered with NEW again.
    digest
        xxh128 of method, path and body; the same key with a different digest is a conflict.
    node
        Name of the node that runs the attempt.
    """

    group: int
    tenant: str
    service: str
    key: str
    attempt: str
    digest: str
    node: str


class StoredAnswer(msgspec.Struct, frozen=True):
    """The application's complete answer; ``body`` is base64 in JSON."""

    status: int
    content_type: str
    body: bytes


class CallRecord(PeerMessage, frozen=True):
    """A stored call. ``node`` and ``attempt`` are those that began it."""

    state: CallState
    attempt: str
    node: str
    answer: StoredAnswer | None = None


class FinishCall(PeerMessage, frozen=True):
    """Store the answer of a call; answered by ``Accepted``."""

    group: int
    tenant: str
    service: str
    key: str
    attempt: str
    answer: StoredAnswer


class AbandonCall(PeerMessage, frozen=True):
    """Delete a begun call of which certainly no byte was sent; answered by ``Accepted``."""

    group: int
    tenant: str
    service: str
    key: str
    attempt: str
