"""Finds the entries of a JSON array by its brackets, without decoding them.

Used for documents that are not valid JSON because of single invalid entries.
"""

from __future__ import annotations

import re

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]', re.DOTALL)
"""A string or a bracket: the tokens that determine where an entry ends."""


def array_start(body: bytes, key: bytes) -> int | None:
    """Return the offset of the first entry in the array under ``key``; ``None`` if missing."""
    depth = 0
    key_seen = False
    for token in _TOKEN.finditer(body):
        text = token.group()
        if text in (b"{", b"["):
            if key_seen and text == b"[":
                return token.end()
            depth += 1
        elif text in (b"}", b"]"):
            depth -= 1
        else:
            key_seen = depth == 1 and text == key
    return None


def next_entry(body: bytes, at: int) -> int | None:
    """Return the offset of the array's next entry; ``None`` at the end of the array."""
    for token in _TOKEN.finditer(body, at):
        if token.group() in (b"{", b"["):
            return token.start()
        if token.group() == b"]":
            return None
    return None


def matching_end(body: bytes, start: int) -> int | None:
    """Return the end of the entry that begins at ``start``; ``None`` if brackets do not match."""
    open_brackets = bytearray()
    closing = {ord("{"): ord("}"), ord("["): ord("]")}
    for token in _TOKEN.finditer(body, start):
        bracket = token.group()[0]
        if bracket in closing:
            open_brackets.append(closing[bracket])
        elif bracket in (ord("}"), ord("]")):
            if open_brackets.pop() != bracket:
                return None
            if not open_brackets:
                return token.end()
    return None
