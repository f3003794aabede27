"""Messages by which gateways warn each other of failing replicas."""

from __future__ import annotations

from quaymill.connection.peer_link import PeerMessage


class WarnOfReplicas(PeerMessage, frozen=True):
    """Requests of the sender to these replicas fail now; answered by ``Warned``.

    Attributes
    ----------
    gateway, zone
        Name and zone of the sender. The zone matters since a network cut between two zones looks
        like failing replicas.
    """

    gateway: str
    zone: str
    replica_ids: tuple[str, ...]


class Warned(PeerMessage, frozen=True):
    """The warning was received."""
