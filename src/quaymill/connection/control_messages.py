"""Messages by which gateways send each other configuration, replicas and evacuated zones."""

from __future__ import annotations

from typing import Any, ClassVar

import msgspec

from quaymill.connection.peer_link import PeerMessage

ANY_VERSION = 2**53 - 1
"""Version or revision that nothing is newer than: in a pull, it asks for no such data."""


class PullControl(PeerMessage, frozen=True):
    """Request the configuration and the lists that are newer than the sender's.

    Attributes
    ----------
    configuration_version
        Version of the sender's active configuration.
    replicas_revision
        Revision up to which the sender's list of replicas is current.
    evacuations_revision
        Revision of the sender's set of evacuated zones; 0 if it has none. Left out of the encoded
        message where the deployment has no evacuations.
    """

    configuration_version: int
    replicas_revision: int
    evacuations_revision: int | msgspec.UnsetType = 0


class ReplicaRecord(msgspec.Struct, frozen=True, array_like=True):
    """One replica's entry.

    Attributes
    ----------
    cold_left_s
        Remaining warm-up time as known by the sender; negative if unknown, which older builds take
        as 0.
    listed_left_s
        Remaining warm-up time as it stands in the platform's list; ``None`` if unknown.
    version
        Software version, as in ``ReplicaEntry``; ``None`` also from an older build.
    revision
        Revision of the entry, as in ``ReplicaEntry``; 0 also from an older build.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_left_s: float
    started_ms: int = msgspec.field(default=0, name="born_ms")
    listed_left_s: float | None = None
    version: str | None = None
    revision: int = 0


class ControlState(PeerMessage, frozen=True):
    """Answer to ``PullControl``.

    Attributes
    ----------
    configuration
        The operator's document as stored by the platform; ``None`` if it is not newer.
    replicas
        All listed replicas; ``None`` if the list is not newer. Those that the sender only keeps
        after an outage of the store are not among them.
    evacuated_zones
        All evacuated zones; ``None`` if the set is not newer. It and its revision are left out of
        the encoded message where the deployment has no evacuations.
    """

    configuration: Any | None = None
    replicas: tuple[ReplicaRecord, ...] | None = None
    replicas_revision: int = 0
    evacuated_zones: tuple[str, ...] | msgspec.UnsetType | None = None
    evacuations_revision: int | msgspec.UnsetType = 0


class QueryStoreReads(PeerMessage, frozen=True):
    """Ask for how long a gateway knows that the platform's store was read."""

    repeatable: ClassVar[bool] = True


class StoreReads(PeerMessage, frozen=True):
    """Answer to ``QueryStoreReads``.

    Attributes
    ----------
    read_for_s
        Seconds for which the store was read without a gap in which replica entries may have
        expired; 0 during such a gap.
    """

    read_for_s: float


class PullConfiguration(PeerMessage, frozen=True):
    """Request a part of the next configuration after the sender's; answered by a part.

    Attributes
    ----------
    sender
        Name of the gateway that requests it.
    version
        Version of the sender's active configuration.
    digest, offset
        The transfer to continue, and how many of its bytes the sender has; empty and 0 to begin.
    max_bytes
        Maximum number of bytes in the answer.
    """

    repeatable: ClassVar[bool] = True

    sender: str
    version: int
    digest: str = ""
    offset: int = 0
    max_bytes: int = 0


class ConfigurationPart(PeerMessage, frozen=True, omit_defaults=True):
    """Answer to ``PullConfiguration``: part of a transfer, which may continue at another gateway.

    Attributes
    ----------
    base_version
        Version that the transferred step starts from; 0 if it holds the whole document.
    version
        Version that the step leads to; 0 if the answering gateway has nothing newer.
    digest, total_bytes
        Digest and size of the encoded step.
    offset, data
        Position and bytes of this part.
    """

    base_version: int = 0
    version: int = 0
    digest: str = ""
    total_bytes: int = 0
    offset: int = 0
    data: bytes = b""
