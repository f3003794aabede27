"""Messages by which gateways share which requests have crashed replicas."""

from __future__ import annotations

import msgspec

from quaymill.connection.peer_link import PeerMessage


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """Crashes under one request.

    Attributes
    ----------
    content
        Digest of what the request asks for.
    incarnations
        Starts of replicas that crashed while they ran it.
    age_s
        Time since the last of these crashes.
    """

    content: str
    incarnations: tuple[str, ...]
    age_s: float


class ShareCrashes(PeerMessage, frozen=True):
    """These crashes are known to the sender; answered by ``KnownCrashes``.

    Attributes
    ----------
    wants_all
        Whether the sender wants all records of the receiver.
    """

    records: tuple[CrashRecord, ...]
    wants_all: bool = False


class KnownCrashes(PeerMessage, frozen=True):
    """The records were taken.

    Attributes
    ----------
    records
        What the answering gateway knows, if it was asked for.
    settled
        Whether it has learned, since its start, what was known before.
    """

    records: tuple[CrashRecord, ...] = ()
    settled: bool = False
