"""Messages about the software versions that began streams, and that serve."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from quaymill.connection.peer_link import PeerMessage


class StreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """The beginning of a stream.

    Attributes
    ----------
    request_id
        Id of the request whose answer brought the first event.
    service, version
        Service and software version of the replica; ``None`` if its version is not known.
    """

    request_id: str
    service: str
    version: str | None


class ShareStreams(PeerMessage, frozen=True):
    """Send records of streams to a peer; answered by ``StreamsShared``."""

    repeatable: ClassVar[bool] = True

    records: tuple[StreamRecord, ...]


class StreamsShared(PeerMessage, frozen=True):
    """The records were received."""


class FindStream(PeerMessage, frozen=True):
    """Request the record of a stream; answered by ``StreamFound``."""

    repeatable: ClassVar[bool] = True

    request_id: str


class StreamFound(PeerMessage, frozen=True):
    """The record of a stream; ``None`` if the peer has none."""

    record: StreamRecord | None = None


class ServiceVersion(msgspec.Struct, frozen=True, array_like=True):
    """A software version of a service's replicas.

    Attributes
    ----------
    version
        ``None`` if the version that a replica states is invalid.
    age_s
        How long ago a replica of this version was last known to serve.
    """

    service: str
    version: str | None
    age_s: float = 0.0


class ExchangeVersions(PeerMessage, frozen=True):
    """Send the versions that serve now; answered by ``KnownVersions``."""

    repeatable: ClassVar[bool] = True

    versions: tuple[ServiceVersion, ...]


class KnownVersions(PeerMessage, frozen=True):
    """The versions that have served lately, as far as the sender knows."""

    versions: tuple[ServiceVersion, ...]
