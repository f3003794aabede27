"""Messages by which gateways tell each other of replicas that fail."""

from __future__ import annotations

from quaymill.connection.peer_link import PeerMessage


class WarnOfReplicas(PeerMessage, frozen=True):
    """These replicas fail for the sender now; answered by ``Warned``.

    Attributes
    ----------
    gateway, zone
        Who sends, and where it runs: a cut between two zones looks like failing replicas.
    """

    gateway: str
    zone: str
    replica_ids: tuple[str, ...]


class Warned(PeerMessage, frozen=True):
    """The warning was noted."""
