"""Decodes pages of the platform's store entry by entry, so that one bad entry affects no other.

Any client can write objects, so an entry may lack fields, have fields of another type, be nested
too deeply or contain invalid bytes. Such an entry is skipped and reported as unreadable. A
truncated page is rejected as a whole, since its remaining entries are unknown.

A page that is valid JSON is split into entries by the JSON library. Any other page is split at
the brackets outside of strings or, where these do not match, at the text with which the store
begins an object.
"""

from __future__ import annotations

import re
from typing import Any

import attrs
import msgspec

from quaymill.connection.json_arrays import array_start, matching_end, next_entry
from quaymill.connection.object_store import ObjectChange, StoredObject, UnreadableObject

_ENTRY_START = re.compile(rb'\{\s*"(?:metadata|object|gone)"\s*:')
"""The text with which the store begins an object or a watch event."""
_PAGE_END = re.compile(rb'\]\s*(?:,\s*"(?:more|at)"\s*:\s*[a-z0-9]+\s*)*\}\s*$')
"""The text with which the store ends a page."""
_AFTER_ENTRY = re.compile(rb"\s*[,\]]")
_SEPARATORS = b", \t\r\n"
_NAME = re.compile(rb'"name"\s*:\s*"([^"\\]{1,200})"')
_NUMBER_AT = re.compile(rb'"at"\s*:\s*(\d{1,18})')
_MORE = re.compile(rb'"more"\s*:\s*true')


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0
    deleting: bool = False


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None
    status: Any = None


class _Event(msgspec.Struct):
    object: _Object
    gone: bool = False


class _ListPage(msgspec.Struct):
    items: list[msgspec.Raw]
    more: bool = False
    at: int = 0


class _WatchPage(msgspec.Struct):
    events: list[msgspec.Raw]
    at: int


@attrs.frozen
class ListPage:
    """One page of a list.

    Attributes
    ----------
    last_name
        Name of the last entry that has one; the next page follows it.
    """

    objects: tuple[StoredObject, ...]
    unreadable: tuple[UnreadableObject, ...]
    more: bool
    revision: int
    last_name: str


@attrs.frozen
class WatchPage:
    """The changes that one watch call returned."""

    changes: tuple[ObjectChange, ...]
    unreadable: tuple[UnreadableObject, ...]
    revision: int


@attrs.frozen
class MalformedPage:
    """The bytes are not a complete page of the store."""

    reason: str


@attrs.frozen
class _SplitPage:
    """A page split into the bytes of its entries."""

    entries: tuple[bytes, ...]
    more: bool
    revision: int


def read_list_page(body: bytes) -> ListPage | MalformedPage:
    """Decode one page of a list; of entries with the same name the latest revision is kept."""
    page = _split_page(body, _ListPage, b'"items"')
    if isinstance(page, MalformedPage):
        return page
    by_name: dict[str, StoredObject] = {}
    unreadable = []
    last_name = ""
    for entry in page.entries:
        found = read_object(entry)
        last_name = found.name or last_name
        if isinstance(found, UnreadableObject):
            unreadable.append(found)
        elif found.name not in by_name or by_name[found.name].revision <= found.revision:
            by_name[found.name] = found
    return ListPage(tuple(by_name.values()), tuple(unreadable), page.more, page.revision, last_name)


def read_watch_page(body: bytes) -> WatchPage | MalformedPage:
    """Decode the answer to a watch."""
    page = _split_page(body, _WatchPage, b'"events"')
    if isinstance(page, MalformedPage):
        return page
    changes = []
    unreadable = []
    for entry in page.entries:
        event = _decode(entry, _Event)
        if isinstance(event, _Event) and event.object.metadata.name:
            changes.append(ObjectChange(_stored(event.object), event.gone))
        else:
            unreadable.append(_unreadable_entry(entry, event))
    return WatchPage(tuple(changes), tuple(unreadable), page.revision)


def read_object(entry: bytes) -> StoredObject | UnreadableObject:
    """Decode one object."""
    found = _decode(entry, _Object)
    if isinstance(found, _Object) and found.metadata.name:
        return _stored(found)
    return _unreadable_entry(entry, found)


def _decode(entry: bytes, target_type: type) -> Any | str:
    """Return the decoded entry, or the error message if it is invalid."""
    try:
        return msgspec.json.decode(entry, type=target_type)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        return str(error)


def _stored(item: _Object) -> StoredObject:
    metadata = item.metadata
    return StoredObject(metadata.name, metadata.revision, item.spec, item.status, metadata.deleting)


def _unreadable_entry(entry: bytes, found: object) -> UnreadableObject:
    name = _NAME.search(entry)
    reason = found if isinstance(found, str) else "it has no name"
    return UnreadableObject(name.group(1).decode(errors="replace") if name else "", reason)


def _split_page(body: bytes, target_type: type, key: bytes) -> _SplitPage | MalformedPage:
    """Split a page into the bytes of its entries."""
    try:
        page = msgspec.json.decode(body, type=target_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        return _split_by_brackets(body, key, str(error))
    entries = page.items if target_type is _ListPage else page.events
    more = target_type is _ListPage and page.more
    return _SplitPage(tuple(bytes(entry) for entry in entries), more, page.at)


def _split_by_brackets(body: bytes, key: bytes, reason: str) -> _SplitPage | MalformedPage:
    """Split a page that is not valid JSON because of one or more invalid entries."""
    begin = array_start(body, key)
    if begin is None:
        return MalformedPage(reason)
    entries = []
    at = begin
    while (start := next_entry(body, at)) is not None:
        end = matching_end(body, start)
        if end is None or not _AFTER_ENTRY.match(body, end):
            # The brackets do not match: the entry ends where the next one or the page end begins.
            following = _ENTRY_START.search(body, start + 1) or _PAGE_END.search(body, start)
            if following is None:
                return MalformedPage(f"the page ends within an entry: {reason}")
            end = following.start()
        entries.append(body[start:end].strip(_SEPARATORS))
        at = end
    revision = _NUMBER_AT.search(body, at) or _NUMBER_AT.search(body, 0, begin)
    if revision is None or not body.rstrip().endswith(b"}"):
        return MalformedPage(f"the page has no end: {reason}")
    more = bool(_MORE.search(body, at) or _MORE.search(body, 0, begin))
    return _SplitPage(tuple(entries), more, int(revision.group(1)))
