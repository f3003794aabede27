"""Messages between gateways about running at-most-once calls."""

from __future__ import annotations

from quaymill.connection.peer_link import PeerMessage


class GetAttempt(PeerMessage, frozen=True):
    """Ask the node that started a call whether its attempt is still running."""

    attempt: str


class AttemptState(PeerMessage, frozen=True):
    """Answer to ``GetAttempt``."""

    in_service: bool
