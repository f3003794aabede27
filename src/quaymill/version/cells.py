"""Paths and types of the serving configuration's cells, and functions to read and replace them.

A path is ``TABLE/ROW/COLUMN``; a row of ``routes`` has two names, the service and the
zone group, and ``tuning`` has a single row without a name. A cell of a row that does not exist
reads as ``None``, and a row whose cells are all set to ``None`` in one edit is removed.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from typing import Any, get_type_hints

import msgspec

from quaymill.version.configuration import (
    CellValue,
    Route,
    Service,
    ServingConfiguration,
    Tenant,
    Tuning,
    ZoneGroup,
)

ROW_TYPES: dict[str, type] = {
    "zone_groups": ZoneGroup,
    "services": Service,
    "routes": Route,
    "tenants": Tenant,
    "tuning": Tuning,
}
ROW_NAME_COUNTS = {"zone_groups": 1, "services": 1, "routes": 2, "tenants": 1, "tuning": 0}
VALID_NAME = re.compile(r'[^\s/=,"]+')


class CellProblem(msgspec.Struct, frozen=True):
    """A problem in one cell and how to correct it."""

    cell: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.cell}: {self.reason}; {self.remedy}"


class CellPath(msgspec.Struct, frozen=True, order=True):
    """Path of a cell; ``names`` are the names of its row."""

    table: str
    names: tuple[str, ...]
    column: str

    def __str__(self) -> str:
        return "/".join((self.table, *self.names, self.column))

    @property
    def row(self) -> str:
        """Path of the row that the cell belongs to."""
        return "/".join((self.table, *self.names))

    @classmethod
    def parse(cls, text: str) -> CellPath | CellProblem:
        """Parse a path such as ``routes/drafting/old-site/weight``."""
        table, *rest = text.split("/")
        if table not in ROW_TYPES:
            return CellProblem(text, "unknown table", f"use one of {', '.join(ROW_TYPES)}")
        if len(rest) != ROW_NAME_COUNTS[table] + 1:
            return CellProblem(text, "is not the path of a cell", f"use {path_pattern(table)}")
        *names, column = rest
        columns = ROW_TYPES[table].__struct_fields__
        if column not in columns:
            return CellProblem(text, "unknown column", f"use one of {', '.join(columns)}")
        if not all(is_valid_name(name) for name in names):
            return CellProblem(
                text, "has an empty or malformed name", "use names without space, '/', '=', ','"
            )
        return cls(table, tuple(names), column)


class CellChange(msgspec.Struct, frozen=True):
    """A cell and its new value."""

    cell: str
    value: CellValue


def path_pattern(table: str) -> str:
    """Return the pattern of a table's cell paths for error messages."""
    names = {0: "", 1: "NAME/", 2: "SERVICE/ZONE_GROUP/"}[ROW_NAME_COUNTS[table]]
    return f"{table}/{names}COLUMN"


def is_valid_name(name: str) -> bool:
    """Return whether ``name`` is allowed as the name of a row."""
    return name.isprintable() and VALID_NAME.fullmatch(name) is not None


def cell_type(path: CellPath) -> Any:
    """Return the type of the values of a cell."""
    return get_type_hints(ROW_TYPES[path.table])[path.column]


def is_list(path: CellPath) -> bool:
    """Return whether a cell holds a list of strings."""
    return cell_type(path) == tuple[str, ...]


def parse_value(path: CellPath, text: str) -> CellValue | CellProblem:
    """Parse a value from an operator's input; the items of a list are separated by commas."""
    raw: Any = text.strip()
    if is_list(path):
        raw = [part.strip() for part in raw.split(",") if part.strip()]
    try:
        value = msgspec.convert(raw, cell_type(path), strict=False)
    except msgspec.ValidationError as error:
        return CellProblem(str(path), f"invalid value {text!r}: {error}", "use a valid value")
    return _to_cell_value(value)


def format_value(value: CellValue) -> str:
    """Format a value so that ``parse_value`` reads it; ``None`` becomes the empty string."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, tuple):
        return ",".join(value)
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def read_cell(configuration: ServingConfiguration, path: CellPath) -> CellValue:
    """Return the value of a cell, ``None`` if its row does not exist."""
    row = read_row(configuration, path.table, path.names)
    return None if row is None else _to_cell_value(getattr(row, path.column))


def read_row(configuration: ServingConfiguration, table: str, names: tuple[str, ...]) -> Any:
    """Return a row, ``None`` if it does not exist."""
    row = getattr(configuration, table)
    for name in names:
        row = row.get(name)
        if row is None:
            return None
    return row


def rows_of(configuration: ServingConfiguration, table: str) -> Iterator[tuple[tuple, Any]]:
    """Yield the names and the cells of every row of a table."""
    rows = getattr(configuration, table)
    if table == "tuning":
        yield (), rows
    elif table == "routes":
        for service, groups in rows.items():
            for group, route in groups.items():
                yield (service, group), route
    else:
        for name, row in rows.items():
            yield (name,), row


def cells_of_row(table: str, names: tuple[str, ...], row: Any) -> Iterator[tuple[CellPath, Any]]:
    """Yield path and value of every cell of a row."""
    for column in ROW_TYPES[table].__struct_fields__:
        value = None if row is None else _to_cell_value(getattr(row, column))
        yield CellPath(table, names, column), value


def apply_changes(
    configuration: ServingConfiguration, changes: Iterable[CellChange]
) -> ServingConfiguration | CellProblem:
    """Return ``configuration`` with all changes, or the problem of the first invalid change."""
    by_row: dict[tuple[str, tuple[str, ...]], dict[str, CellValue]] = {}
    for change in changes:
        path = CellPath.parse(change.cell)
        if isinstance(path, CellProblem):
            return path
        by_row.setdefault((path.table, path.names), {})[path.column] = change.value
    tables: dict[str, Any] = {}
    for (table, names), columns in by_row.items():
        row = _changed_row(read_row(configuration, table, names), table, names, columns)
        if isinstance(row, CellProblem):
            return row
        _set_row(configuration, tables, table, names, row)
    return msgspec.structs.replace(configuration, **tables)


def _changed_row(
    row: Any, table: str, names: tuple[str, ...], columns: dict[str, CellValue]
) -> Any | CellProblem:
    """Return the row with its changed cells; ``None`` if the change removes it."""
    row_type = ROW_TYPES[table]
    removed = all(value is None for value in columns.values())
    if removed and len(columns) == len(row_type.__struct_fields__) and names:
        return None
    cells = {} if row is None else msgspec.to_builtins(row)
    for column, value in columns.items():
        if value is None:
            cells.pop(column, None)  # An unset cell has its default value.
        else:
            cells[column] = value
    try:
        return msgspec.convert(cells, row_type)
    except msgspec.ValidationError as error:
        cell = "/".join((table, *names))
        return CellProblem(cell, str(error).replace("`$", "`"), "set the cell to a valid value")


def _set_row(
    configuration: ServingConfiguration,
    tables: dict[str, Any],
    table: str,
    names: tuple[str, ...],
    row: Any,
) -> None:
    """Set or remove a row in ``tables``; a table is copied there before its first change."""
    if table == "tuning":
        tables[table] = row
        return
    rows = tables.setdefault(table, dict(getattr(configuration, table)))
    if table == "routes":
        service, name = names
        groups = dict(rows.get(service, {}))
        rows[service] = groups
        _set_or_remove(groups, name, row)
        if not groups:
            del rows[service]
    else:
        _set_or_remove(rows, names[0], row)


def _set_or_remove(rows: dict[str, Any], name: str, row: Any) -> None:
    if row is None:
        rows.pop(name, None)
    else:
        rows[name] = row


def _to_cell_value(value: Any) -> CellValue:
    return msgspec.convert(msgspec.to_builtins(value), CellValue)
