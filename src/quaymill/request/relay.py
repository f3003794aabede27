"""Relays a streamed completion to its caller; an incomplete one ends with an error event.

A stream that fails is resumed on another replica from the tokens already relayed. Relayed events
are kept as bytes and parsed only when a resume needs their tokens or many have accumulated.
"""

from __future__ import annotations

from array import array
from collections.abc import Callable, Generator, Iterator

import msgspec

from quaymill.connection.engine_client import EVENT_END, EngineStream, token_ids, with_resumed_usage
from quaymill.request.outcome import Failed, Failure, NotRun, OutcomeUnknown
from quaymill.request.presence import CallerPresence

MAX_UNPARSED_BLOCKS = 1024
"""Maximum number of blocks of one stream kept as bytes; limits the memory of long answers."""


class OpenStream(msgspec.Struct):
    """A stream that has started.

    Attributes
    ----------
    first_events
        The events that have been read already.
    ended
        Called once when the stream ends, with its failure or ``None``.
    """

    stream: EngineStream
    attempt_id: str
    first_events: bytes
    ended: Callable[[OutcomeUnknown | None], None] = lambda failure: None


class _RelayedTokens:
    """The tokens of the events relayed so far; parsed lazily."""

    def __init__(self) -> None:
        self.event_count = 0
        self._unparsed: list[bytes] = []
        self._tokens = array("L")

    def add(self, events: bytes) -> None:
        self.event_count += events.count(EVENT_END)
        self._unparsed.append(events)
        if len(self._unparsed) >= MAX_UNPARSED_BLOCKS:
            self._parse()

    def tokens(self) -> list[int]:
        self._parse()
        return self._tokens.tolist()

    def _parse(self) -> None:
        for events in self._unparsed:
            self._tokens.extend(token_ids(events))
        self._unparsed.clear()


Resume = Callable[[list[int]], OpenStream | Failure]
FormatError = Callable[[Failure], bytes]


class StreamRelay:
    """Iterates over blocks of complete events for the caller.

    Parameters
    ----------
    first
        The stream that has been opened.
    resume
        Opens a stream that continues after the given tokens; ``None`` if this request
        cannot be resumed.
    format_error
        Returns the error event that ends an incomplete stream.

    Attributes
    ----------
    failure
        Why the stream could not be completed; ``None`` if it was, or has not ended.
    """

    def __init__(
        self,
        first: OpenStream,
        resume: Resume | None,
        format_error: FormatError,
        presence: CallerPresence,
    ) -> None:
        self._presence = presence
        self._current: OpenStream | None = first
        self._first_id = first.attempt_id.encode()
        self._resume = resume
        self._format_error = format_error
        self._relayed = _RelayedTokens()
        self._resumed_tokens = 0
        self.failure: Failure | None = None

    @property
    def token_count(self) -> int:
        """Number of events relayed so far; approximately the number of tokens."""
        return self._relayed.event_count

    def __iter__(self) -> Iterator[bytes]:
        while self._current is not None:
            current = self._current
            yield self._record_for_caller(current.first_events, current)
            failure: Failure | None = yield from self._relay_rest(current)
            self._end_current(failure)
            if failure is None or self._presence.gone:
                return
            failure = self._resume_stream(failure)
            if failure is not None:
                self.failure = failure
                yield self._format_error(failure)

    def close(self) -> None:
        """Cancel the stream that is still open, if any."""
        if self._current is not None:
            self._current.stream.abandon()
            self._end_current(None)

    def _relay_rest(self, current: OpenStream) -> Generator[bytes, None, OutcomeUnknown | None]:
        stream = current.stream
        while not stream.complete:
            events = stream.next_events()
            if isinstance(events, OutcomeUnknown):
                return events
            yield self._record_for_caller(events, current)
        stream.finish()
        return None

    def _record_for_caller(self, events: bytes, current: OpenStream) -> bytes:
        """Record and return events; replace attempt id and usage in those of a resumed stream."""
        attempt_id = current.attempt_id.encode()
        if attempt_id != self._first_id:
            events = events.replace(attempt_id, self._first_id)
            events = with_resumed_usage(events, self._resumed_tokens)
        self._relayed.add(events)
        return events

    def _resume_stream(self, failure: OutcomeUnknown) -> Failure | None:
        """Resume on another replica; return the failure if that is not possible."""
        if self._resume is None:
            return failure
        tokens = self._relayed.tokens()
        resumed = self._resume(tokens)
        if isinstance(resumed, NotRun | OutcomeUnknown | Failed):
            return resumed
        self._current = resumed
        self._resumed_tokens = len(tokens)
        return None

    def _end_current(self, failure: OutcomeUnknown | None) -> None:
        current, self._current = self._current, None
        current.ended(failure)
