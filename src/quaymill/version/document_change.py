"""Differences between two versions of a JSON document, which are small where little changed.

Lists whose entries are objects with unique names are compared entry by entry; any other value is
replaced as a whole. Unchanged values are shared between the old and the new document, so neither
may be modified.
"""

from __future__ import annotations

from typing import Any

import msgspec

ENTRY_NAME = "name"
"""Key that names an entry of a list."""


class ListChange(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes of a list of named entries.

    Attributes
    ----------
    removed
        Names of the entries that are gone.
    put
        Changed entries, which stay in their places, and new ones, which follow all others.
    """

    removed: tuple[str, ...] = ()
    put: tuple[Any, ...] = ()


class DocumentChange(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes from one version of a document to another.

    Attributes
    ----------
    removed
        Keys that are gone.
    values
        New values by key.
    lists
        Changes of lists of named entries by key.
    """

    removed: tuple[str, ...] = ()
    values: dict[str, Any] = {}
    lists: dict[str, ListChange] = {}


def difference(old: dict[str, Any], new: dict[str, Any]) -> DocumentChange:
    """Return the changes that turn one document into another."""
    values: dict[str, Any] = {}
    lists: dict[str, ListChange] = {}
    for key, value in new.items():
        if key in old and old[key] == value:
            continue
        list_change = _list_difference(old.get(key), value)
        if list_change is None:
            values[key] = value
        else:
            lists[key] = list_change
    return DocumentChange(tuple(key for key in old if key not in new), values, lists)


def apply_change(old: dict[str, Any], change: DocumentChange) -> dict[str, Any]:
    """Return the document after a change; raises ``ValueError`` if the change does not fit."""
    new = {key: value for key, value in old.items() if key not in change.removed}
    new.update(change.values)
    for key, list_change in change.lists.items():
        entries = _by_name(old.get(key))
        if entries is None:
            raise ValueError(f"{key!r} is not a list of named entries")
        new[key] = _apply_list_change(entries, list_change)
    return new


def _list_difference(old: Any, new: Any) -> ListChange | None:
    """Return the changes of a list of named entries; ``None`` if it must be sent whole."""
    old_by_name, new_by_name = _by_name(old), _by_name(new)
    if old_by_name is None or new_by_name is None:
        return None
    change = ListChange(
        tuple(name for name in old_by_name if name not in new_by_name),
        tuple(entry for name, entry in new_by_name.items() if old_by_name.get(name) != entry),
    )
    keeps_order = _apply_list_change(old_by_name, change) == new
    return change if keeps_order else None


def _apply_list_change(old_by_name: dict[str, Any], change: ListChange) -> list[Any]:
    new_by_name = dict(old_by_name)
    for name in change.removed:
        new_by_name.pop(name, None)
    for entry in change.put:
        new_by_name[entry[ENTRY_NAME]] = entry
    return list(new_by_name.values())


def _by_name(entries: Any) -> dict[str, Any] | None:
    """Return a list's entries by name; ``None`` if they are not objects with unique names."""
    if not isinstance(entries, list):
        return None
    by_name = {}
    for entry in entries:
        name = entry.get(ENTRY_NAME) if isinstance(entry, dict) else None
        if not isinstance(name, str) or name in by_name:
            return None
        by_name[name] = entry
    return by_name
