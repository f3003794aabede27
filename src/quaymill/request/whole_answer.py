"""Assembles the chunks of a streamed completion into a whole answer.

The gateway requests a stream from the engine even if the caller wants a whole answer. This way it
detects frozen replicas and failed answers early, and can resume from the tokens received.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from quaymill.connection.engine_client import EVENT_END

_DATA = b"data: "
_WHOLE_OBJECTS = {"chat.completion.chunk": "chat.completion"}
_REPLACED_KEYS = frozenset({"index", "role", "type", "id"})
"""Fields whose later values replace earlier ones, as does ``finish_reason``; other strings are
concatenated."""
_DROPPED_KEYS = frozenset({"token_ids"})


def assemble(blocks: Iterable[bytes], *, keep_token_ids: bool = False) -> dict[str, Any]:
    """Return the whole answer assembled from the events in ``blocks``."""
    answer: dict[str, Any] = {}
    choices: dict[int, dict[str, Any]] = {}
    for chunk in _chunks(blocks):
        for choice in chunk.pop("choices", ()):
            _add_choice(choices.setdefault(choice.get("index", 0), {}), choice, keep_token_ids)
        usage = chunk.pop("usage", None)
        for name, value in chunk.items():
            answer.setdefault(name, value)
        if usage is not None:
            answer["usage"] = usage
    answer["object"] = _WHOLE_OBJECTS.get(answer.get("object"), answer.get("object"))
    answer["choices"] = [choices[index] for index in sorted(choices)]
    return answer


def _chunks(blocks: Iterable[bytes]) -> Iterable[dict[str, Any]]:
    for block in blocks:
        for event in block.split(EVENT_END):
            if event.startswith(_DATA + b"{"):
                yield msgspec.json.decode(event[len(_DATA) :])


def _add_choice(whole: dict[str, Any], choice: dict[str, Any], keep_token_ids: bool) -> None:
    delta = choice.pop("delta", None)
    if delta is not None:
        _merge(whole.setdefault("message", {}), delta)
    dropped = frozenset() if keep_token_ids else _DROPPED_KEYS
    _merge(whole, {name: value for name, value in choice.items() if name not in dropped})


def _merge(whole: dict[str, Any], part: dict[str, Any]) -> None:
    """Merge the fields of a chunk into ``whole``.

    Strings and lists are extended, objects are merged recursively, other values are replaced. A
    field that is ``None`` in the chunk keeps its value, unless it is in ``_REPLACED_KEYS``.
    """
    for name, value in part.items():
        existing = whole.get(name)
        if existing is None or name in _REPLACED_KEYS:
            whole[name] = value
        elif value is None:
            continue
        elif isinstance(existing, str) and isinstance(value, str) and name != "finish_reason":
            whole[name] = existing + value
        elif isinstance(existing, dict) and isinstance(value, dict):
            _merge(existing, value)
        elif isinstance(existing, list) and isinstance(value, list):
            _merge_list(existing, value)
        else:
            whole[name] = value


def _merge_list(existing: list[Any], value: list[Any]) -> None:
    """Append elements; those with the same ``index`` (tool calls) are merged."""
    by_index = {
        element["index"]: element
        for element in existing
        if isinstance(element, dict) and "index" in element
    }
    for element in value:
        if isinstance(element, dict) and element.get("index") in by_index:
            _merge(by_index[element["index"]], element)
        else:
            existing.append(element)
