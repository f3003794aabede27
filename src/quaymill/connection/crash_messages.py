"""Messages by which gateways share records of requests that crashed replicas."""

from __future__ import annotations

import msgspec

from quaymill.connection.peer_link import PeerMessage


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """Crashes of replicas while they ran the same request, or requests with the same prompt part.

    Attributes
    ----------
    key
        Digest of the content of the request, or key of the part, see ``RequestIdentity``.
    incarnations
        Incarnations of the replicas that crashed while they ran it.
    age_s
        Time since the last of these crashes.
    excused
        Parts only: those of ``incarnations`` that do not count, since the part was served.
    contrasted
        Parts only: whether requests of the same model without the part were served since the first
        crash.
    """

    key: str
    incarnations: tuple[str, ...]
    age_s: float
    excused: tuple[str, ...] = ()
    contrasted: bool = False


class ShareCrashes(PeerMessage, frozen=True):
    """Send crash records to a peer; answered by ``KnownCrashes``.

    Attributes
    ----------
    wants_all
        Whether the receiver is to return all its records.
    """

    records: tuple[CrashRecord, ...]
    wants_all: bool = False


class KnownCrashes(PeerMessage, frozen=True):
    """The records were received.

    Attributes
    ----------
    records
        All records of the answering gateway, if they were requested.
    settled
        Whether the answering gateway, since its start, has fetched earlier records from another
        gateway or from the store.
    """

    records: tuple[CrashRecord, ...] = ()
    settled: bool = False
