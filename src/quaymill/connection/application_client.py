"""Client for applications, called over plain HTTP."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.replica_connection import Exchange, ReplicaConnections, ReplicaRequest
from quaymill.request.deadline import Deadline
from quaymill.request.outcome import NOT_RUN, OUTCOME_HEADER, NotRun, OutcomeUnknown

MAX_ANSWER_BYTES = 16 * 1024 * 1024
HEAD_TIMEOUT_S = 5.0
RETRY_AFTER_REFUSED_S = 1.0

Wait = Callable[[Exchange], OutcomeUnknown | None]


class ApplicationAnswer(msgspec.Struct, frozen=True):
    """A complete answer of an application, with any status."""

    status: int
    content_type: str
    body: bytes


class ApplicationClient:
    """Sends calls to applications."""

    def __init__(self, link_filter: LinkFilter) -> None:
        self._connections = ReplicaConnections(link_filter)

    def call(
        self,
        endpoint: Endpoint,
        request: ReplicaRequest,
        attempt_id: str,
        deadline: Deadline,
        wait: Wait,
        *,
        repeatable: bool,
    ) -> ApplicationAnswer | NotRun | OutcomeUnknown:
        """Send one call and read its answer.

        Parameters
        ----------
        request
            The request, to which the header ``X-Request-Id: attempt_id`` is added.
        wait
            Waits for the start of the answer. Returns a failure after abandoning the exchange.
        repeatable
            Whether the call may be repeated. If so, an idle connection may be reused, which the
            application may close while the call is being sent.
        """
        headers = {**request.headers, "X-Request-Id": attempt_id}
        request = msgspec.structs.replace(request, headers=headers, id=attempt_id)
        exchange = self._connections.send(endpoint, request, new_connection=not repeatable)
        if not isinstance(exchange, Exchange):
            return exchange
        failure = wait(exchange) or exchange.read_head(HEAD_TIMEOUT_S)
        if failure is not None:
            return failure
        if exchange.header("X-Request-Id") not in ("", attempt_id):
            exchange.abandon()
            return OutcomeUnknown(
                502,
                f"{endpoint} sent the answer to another request",
                "look up the request before you send it again, unless it may be repeated",
            )
        body = exchange.read_body(MAX_ANSWER_BYTES, boot_clock.now() + deadline.remaining_s())
        if isinstance(body, OutcomeUnknown):
            return body
        exchange.release()
        if exchange.header(OUTCOME_HEADER) == NOT_RUN:
            return NotRun(
                exchange.status,
                f"{endpoint} refused the call: {body[:200].decode(errors='replace')}",
                "send the request again",
                RETRY_AFTER_REFUSED_S,
                by_replica=True,
            )
        content_type = exchange.header("Content-Type") or "application/octet-stream"
        return ApplicationAnswer(exchange.status, content_type, body)

    def close(self) -> None:
        """Close all idle connections."""
        self._connections.close()
