"""Messages about non-idempotent calls of applications, which the job store runs at most once."""

from __future__ import annotations

import enum

import msgspec

from quaymill.connection.peer_link import PeerMessage


class CallState(enum.StrEnum):
    """States of an at-most-once call.

    BEGUN -> FINISHED when the answer is stored; a call that is begun for the first time is
    answered with NEW, and only then may its attempt send.
    """

    NEW = "new"
    BEGUN = "begun"
    FINISHED = "finished"


class BeginCall(PeerMessage, frozen=True):
    """Claim a call before any byte goes to the application.

    Attributes
    ----------
    attempt
        Random id of the one attempt that may send; a resend of this message with the same
        attempt, after a lost answer, is answered with NEW again.
    digest
        xxh128 of method, path and body; the same key with another digest is a conflict.
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
    """The application's whole answer; ``body`` is base64."""

    status: int
    content_type: str
    body: bytes


class CallRecord(PeerMessage, frozen=True):
    """What the store knows of a call. ``node`` and ``attempt`` are those that began it."""

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
    """Forget a begun call of which provably no byte left; answered by ``Accepted``."""

    group: int
    tenant: str
    service: str
    key: str
    attempt: str
