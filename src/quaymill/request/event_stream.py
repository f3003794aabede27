"""Splits event streams (``text/event-stream``) into complete events and reads their ids."""

from __future__ import annotations

import re

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024
LATE_EVENT = "did not end in time"
TOO_LONG_EVENT = f"is longer than {MAX_EVENT_BYTES} bytes"
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_BLANK_LINE = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)\Z")
_BLANK_LINE_BYTES = 4
_DATA_LINE = re.compile(rb"^data:[ ]?([^\r\n]*)", re.MULTILINE)


def take_events(partial: bytearray, block: bytes) -> bytes:
    """Add a block to an incomplete event; remove and return the complete events.

    The cost of an event that comes in many blocks is linear in its size.
    """
    if not partial and block.endswith(EVENT_END):
        return block
    # The end of an event may be split over two blocks.
    searched_bytes = max(0, len(partial) - len(EVENT_END) + 1)
    partial += block
    end = partial.rfind(EVENT_END, searched_bytes) + len(EVENT_END)
    if end < len(EVENT_END):
        return b""
    events = bytes(partial[:end])
    del partial[:end]
    return events


class EventFramer:
    """Splits a stream of bytes into complete events, and leaves out repeated ones.

    An event is repeated if it has an id that is not later than ``last_id``.

    Attributes
    ----------
    last_id
        Id of the last complete event returned; ``None`` before the first event with an id.
    partial
        Bytes of the event that is still incomplete.
    has_completed
        Whether the last block completed an event, even if it was a repeated one.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.partial = bytearray()
        self.has_completed = False

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event is longer than ``MAX_EVENT_BYTES``."""
        return len(self.partial) > MAX_EVENT_BYTES

    def feed(self, block: bytes) -> bytes:
        """Add a block; return the events that it completes, without repeated ones."""
        events = take_events(self.partial, block)
        self.has_completed = bool(events)
        return self._without_repeated(events) if events else b""

    def _without_repeated(self, events: bytes) -> bytes:
        ids = _ID_LINE.findall(events)
        if not ids:
            return events
        if self.last_id is not None and not is_later(ids[0].decode(), self.last_id):
            events = self._later_events(events)
            ids = _ID_LINE.findall(events)
        if ids:
            self.last_id = ids[-1].decode()
        return events

    def _later_events(self, events: bytes) -> bytes:
        later = []
        for event in events.split(EVENT_END)[:-1]:
            found = _ID_LINE.search(event)
            if found is None or is_later(found[1].decode(), self.last_id or ""):
                later.append(event + EVENT_END)
        return b"".join(later)


class EventBoundary:
    """Tracks whether a stream that is passed on block by block is between two events.

    An event ends with a blank line; lines end with LF, CR or CRLF.
    """

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, block: bytes) -> None:
        """Add a block."""
        self._tail = (self._tail + block)[-_BLANK_LINE_BYTES:]

    @property
    def inside_event(self) -> bool:
        """Whether the blocks so far end inside an event."""
        return bool(self._tail) and not _BLANK_LINE.search(self._tail)


def is_later(event_id: str, other_id: str) -> bool:
    """Return whether an event id is later than another.

    Ids that are not numbers count as later if they differ.
    """
    try:
        return int(event_id) > int(other_id)
    except ValueError:
        return event_id != other_id


def data_of_events(events: bytes) -> list[str]:
    """Return the data of each event; its data lines are joined by line feeds."""
    data = []
    for event in events.split(EVENT_END)[:-1]:
        lines = [line.decode() for line in _DATA_LINE.findall(event)]
        if lines:
            data.append("\n".join(lines))
    return data
