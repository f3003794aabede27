"""The part of the job store client that batch work uses."""

from __future__ import annotations

from typing import Protocol

from quaymill.connection.job_messages import StoreConflict
from quaymill.connection.peer_link import PeerMessage
from quaymill.request.outcome import NotRun, OutcomeUnknown


class JobStore(Protocol):
    """Sends messages to the leader of their group."""

    def call(
        self, message: PeerMessage, reply_type: type, timeout_s: float
    ) -> PeerMessage | StoreConflict | NotRun | OutcomeUnknown:
        """Send a message; safe to repeat with the same ids when the outcome is unknown."""
