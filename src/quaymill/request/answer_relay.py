"""Relays a replica's answer to the caller, either whole or as a stream of events."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from quaymill import boot_clock
from quaymill.connection.bounded_reader import AnswerPart
from quaymill.connection.replica_answer import AnswerHead, BodyFraming
from quaymill.connection.replica_connection import Exchange
from quaymill.request.event_stream import LATE_EVENT, TOO_LONG_EVENT, EventBoundary, EventFramer
from quaymill.request.forwarded_request import ForwardedRequest, Headers
from quaymill.request.forwarding_result import AttemptResult, Broken, Delivered, broken_attempt
from quaymill.request.outcome import OutcomeUnknown
from quaymill.request.replica_choice import ChosenReplica
from quaymill.request.stream_version import StreamVersion
from quaymill.version.request_routes import RequestRoute

MAX_BUFFERED_BYTES = 256 * 1024
"""Larger answers are sent to the caller while they are still being read."""
EVENT_GAP_TIMEOUT_S = 1.0
"""Maximum time from the end of an event to that of the next, if another replica may be tried."""
EVENT_STREAM = "text/event-stream"


class AnswerWriter(Protocol):
    """Writes the answer to the caller.

    Attributes
    ----------
    started
        Whether the head has been sent.
    """

    started: bool

    @property
    def pending(self) -> bool:
        """Whether some data is buffered that has not been sent to the caller yet."""

    def start(self, status: int, reason: str, headers: Headers, length: int | None = None) -> None:
        """Send the head."""

    def write(self, block: bytes) -> None:
        """Send a block of the body."""

    def send_buffered(self, timeout_s: float, readable: int = -1) -> bool:
        """Send buffered data, or return once the descriptor ``readable`` has data to read.

        Returns ``False`` if neither was possible within the timeout.
        """

    def abort(self) -> None:
        """Close the connection without completing the answer."""


class FaultyReplica(Protocol):
    """The part of a replica's interface that records its failures."""

    def record_failure(self) -> None:
        """Count a failure; too many of them eject the replica."""


class AnswerRelay:
    """Relays the answer of one request over all its attempts.

    Parameters
    ----------
    may_try_another
        Returns whether another replica is tried if this one fails to complete the answer.
    on_stream_begun
        Called with the version of a resumable stream before its first event is sent.

    Attributes
    ----------
    version
        Software version that began the stream; ``None`` before the caller has an event.
    """

    def __init__(
        self,
        request: ForwardedRequest,
        route: RequestRoute,
        answer: AnswerWriter,
        may_try_another: Callable[[], bool],
        on_stream_begun: Callable[[StreamVersion], None] = lambda version: None,
    ) -> None:
        self._request = request
        self._route = route
        self._answer = answer
        self._may_try_another = may_try_another
        self._on_stream_begun = on_stream_begun
        self.version: StreamVersion | None = None
        self._framer = EventFramer(request.last_event_id)
        self._boundary = EventBoundary()

    @property
    def last_event_id(self) -> str | None:
        """Id of the last event that was sent to the caller."""
        return self._framer.last_id

    @property
    def inside_event(self) -> bool:
        """Whether the last stream that was received ended inside an event."""
        return bool(self._framer.partial) if self._route.resumable else self._boundary.inside_event

    def relay_answer(
        self, exchange: Exchange, replica: ChosenReplica, head: AnswerHead
    ) -> AttemptResult:
        """Relay the answer whose head has been read.

        Raises
        ------
        OSError
            The caller's connection failed.
        """
        is_stream = _is_stream(head)
        if self._answer.started and not is_stream:
            exchange.abandon()
            return Broken(f"the replica answered {head.status} instead of resuming the stream")
        relay = self._relay_events if is_stream else self._relay_whole
        try:
            return relay(exchange, replica, head)
        except OSError:
            exchange.abandon()
            raise

    def _relay_whole(
        self, exchange: Exchange, replica: ChosenReplica, head: AnswerHead
    ) -> AttemptResult:
        """Relay an answer; unless it is large, send nothing before it has been read completely."""
        blocks: list[bytes] = []
        buffered_bytes = 0
        while True:
            block = self._read_block(exchange, self._request.deadline.remaining_s())
            if isinstance(block, OutcomeUnknown):
                return broken_attempt(block)
            if not block:
                break
            blocks.append(block)
            buffered_bytes += len(block)
            if buffered_bytes > MAX_BUFFERED_BYTES:
                if not self._answer.started:
                    self._answer.start(head.status, head.reason, head.headers, head.length)
                self._answer.write(b"".join(blocks))
                blocks.clear()
                buffered_bytes = 0
        release_connection(exchange, replica, head)
        body = b"".join(blocks)
        if not self._answer.started:
            self._answer.start(head.status, head.reason, head.headers, len(body))
        self._answer.write(body)
        return Delivered(head.status, replica.id)

    def _relay_events(
        self, exchange: Exchange, replica: ChosenReplica, head: AnswerHead
    ) -> AttemptResult:
        """Relay events as they arrive; of a resumable stream, only complete events."""
        resumable = self._route.resumable
        self._framer.partial.clear()
        self._boundary = EventBoundary()
        event_began = boot_clock.now()
        while True:
            block = self._read_block(exchange, self._gap_timeout_s(event_began))
            if isinstance(block, OutcomeUnknown):
                return broken_attempt(block)
            replica.record_received()
            if not block:
                break
            self._boundary.feed(block)
            events = self._framer.feed(block) if resumable else block
            has_completed = bool(events) or self._framer.has_completed
            if not has_completed and (fault := self._event_fault(event_began)):
                return broken_attempt(exchange.abandon_endless(AnswerPart.EVENT, fault))
            if resumable and events and self.version is None:
                self.version = StreamVersion.of_replica(replica.entry)
                self._on_stream_begun(self.version)
            if not self._answer.started:
                self._answer.start(head.status, head.reason, head.headers)
            self._answer.write(events)
            if has_completed:
                # A slow caller may have blocked the write, for which the replica is not to blame.
                event_began = boot_clock.now()
        return self._end_events(exchange, replica, head)

    def _end_events(
        self, exchange: Exchange, replica: ChosenReplica, head: AnswerHead
    ) -> AttemptResult:
        """Return the result of a stream whose body has ended regularly."""
        if self.inside_event:
            exchange.abandon()
            return Broken("the stream ended in the middle of an event", connection_closed=True)
        if not self._answer.started and ends_before_first_event(head, self.last_event_id):
            exchange.abandon()
            return Broken("the stream ended before its first event", connection_closed=True)
        release_connection(exchange, replica, head)
        if not self._answer.started:
            self._answer.start(head.status, head.reason, head.headers)
        return Delivered(head.status, replica.id)

    def _event_fault(self, event_began: float) -> str:
        """Return why the incomplete event is given up; empty if it is not."""
        if self._framer.is_too_long:
            return TOO_LONG_EVENT
        is_late = boot_clock.now() > event_began + EVENT_GAP_TIMEOUT_S
        return LATE_EVENT if is_late and self._may_try_another() else ""

    def _read_block(self, exchange: Exchange, timeout_s: float) -> bytes | OutcomeUnknown:
        """Read the next block; while waiting for it, send buffered data to the caller."""
        give_up_at = boot_clock.now() + timeout_s
        while self._answer.pending and not exchange.is_read_ready():
            if not self._answer.send_buffered(give_up_at - boot_clock.now(), exchange.descriptor):
                break
        exchange.set_read_timeout(give_up_at - boot_clock.now())
        return exchange.read_block()

    def _gap_timeout_s(self, event_began: float) -> float:
        """Return how long to wait for the rest of an event, of which the last one ended then."""
        remaining_s = self._request.deadline.remaining_s()
        if not self._may_try_another():
            return remaining_s
        return min(remaining_s, event_began + EVENT_GAP_TIMEOUT_S - boot_clock.now())


def ends_before_first_event(head: AnswerHead, last_event_id: str | None) -> bool:
    """Return whether a stream that has ended without an event has been broken off.

    Nothing but its events tells a whole stream without framing from one that was broken off. One
    that is resumed may have no events left.
    """
    return head.framing is BodyFraming.CONNECTION_CLOSE and last_event_id is None


def release_connection(exchange: Exchange, replica: FaultyReplica, head: AnswerHead) -> None:
    """Keep the connection for reuse as long as the replica allows, after a complete answer.

    Bytes after the answer count as a failure of the replica.
    """
    if head.keep_alive_s <= 0:
        exchange.abandon()
    elif not exchange.release(head.keep_alive_s):
        replica.record_failure()


def _is_stream(head: AnswerHead) -> bool:
    if head.status != 200:
        return False
    values_by_name = {name.lower(): value for name, value in head.headers}
    return values_by_name.get("content-type", "").startswith(EVENT_STREAM)
