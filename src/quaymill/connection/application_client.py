"""Calls applications over plain HTTP, with exact failure kinds."""

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
    """A whole answer of an application, also one with an error status."""

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
            Is sent with the header ``X-Request-Id: attempt_id``.
        wait
            Waits until the answer begins; abandons the exchange if it fails.
        repeatable
            Whether an idle connection may be used, on which the application might close
            just as the call goes out.
        """
        headers = {**request.headers, "X-Request-Id": attempt_id}
        request = msgspec.structs.replace(request, headers=headers)
        exchange = self._connections.send(endpoint, request, fresh=not repeatable)
        if not isinstance(exchange, Exchange):
            return exchange
        failure = wait(exchange) or exchange.read_head(HEAD_TIMEOUT_S)
        if failure is not None:
            return failure
        if exchange.header("X-Request-Id") not in ("", attempt_id):
            exchange.abandon()
            return OutcomeUnknown(
                502,
                f"{endpoint} answered another request",
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
