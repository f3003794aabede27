"""Splits event streams (``text/event-stream``) into complete events and reads their ids."""

from __future__ import annotations

import re

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_BLANK_LINE = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)\Z")
_BLANK_LINE_BYTES = 4
_DATA_LINE = re.compile(rb"^data:[ ]?([^\r\n]*)", re.MULTILINE)


class EventFramer:
    """Splits a stream of bytes into complete events, and leaves out repeated ones.

    An event is repeated if it has an id that is not later than ``last_id``.

    Attributes
    ----------
    last_id
        Id of the last complete event returned; ``None`` before the first event with an id.
    partial
        Bytes of the event that is still incomplete.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.partial = b""

    def feed(self, block: bytes) -> bytes:
        """Add a block; return the events that it completes, without repeated ones."""
        data = self.partial + block if self.partial else block
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self.partial = data
            return b""
        self.partial = data[end:]
        return self._without_repeated(data[:end])

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
