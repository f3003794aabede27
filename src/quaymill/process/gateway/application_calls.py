"""Sends one call to an application, at the replicas that the router chooses."""

from __future__ import annotations

import msgspec

from quaymill.connection.application_client import ApplicationAnswer, ApplicationClient
from quaymill.connection.replica_connection import Exchange, ReplicaRequest
from quaymill.process.replicas.replica import ReplicaView
from quaymill.request.attempt import RequestAttempts
from quaymill.request.first_byte_wait import wait_for_first_byte
from quaymill.request.outcome import Failure, OutcomeUnknown


class ApplicationCall(msgspec.Struct, frozen=True):
    """One call on its way; ``run`` makes as many attempts as are allowed."""

    client: ApplicationClient
    attempts: RequestAttempts
    request: ReplicaRequest
    repeatable: bool

    def run(self) -> ApplicationAnswer | Failure:
        """Return the answer, or what all attempts add up to."""
        return self.attempts.run(self._send_once)

    def _send_once(self, replica: ReplicaView, attempt_id: str) -> ApplicationAnswer | Failure:
        deadline = self.attempts.deadline

        def wait(exchange: Exchange) -> OutcomeUnknown | None:
            if self.repeatable:
                self.attempts.presence.attach(exchange.cancel)
            return wait_for_first_byte(exchange, replica, deadline, whole=True)

        ticket = replica.begin()
        try:
            return self.client.call(
                replica.machine.endpoint,
                self.request,
                attempt_id,
                deadline,
                wait,
                repeatable=self.repeatable,
            )
        finally:
            self.attempts.presence.detach()
            self.attempts.end(replica, ticket)
