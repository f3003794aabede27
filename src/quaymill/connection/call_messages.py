"""Messages between gateways about at-most-once calls in service."""

from __future__ import annotations

from quaymill.connection.peer_link import PeerMessage


class GetAttempt(PeerMessage, frozen=True):
    """Ask the node that began a call whether its attempt is still in service."""

    attempt: str


class AttemptState(PeerMessage, frozen=True):
    """Answer to ``GetAttempt``."""

    in_service: bool
