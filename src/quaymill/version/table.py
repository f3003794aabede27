"""Renders the configuration as tables for a terminal, and as CSV for a spreadsheet.

In CSV each table starts with a line whose first cell is its name in brackets, followed by the
names of the columns; its rows have an empty first cell. The first line contains the generation
from which the file was exported.
"""

from __future__ import annotations

import csv
import io
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from quaymill.version.cells import (
    ROW_TYPES,
    CellPath,
    CellProblem,
    cells_of_row,
    format_value,
    is_list,
    parse_value,
    rows_of,
)
from quaymill.version.configuration import CellValue, ServingConfiguration

ROW_NAME_COLUMNS = {
    "zone_groups": ("zone_group",),
    "services": ("service",),
    "routes": ("service", "zone_group"),
    "tenants": ("tenant",),
    "tuning": (),
}
GENERATION_LABEL = "generation"
MAX_CELL_WIDTH = 40


class ImportedTable(msgspec.Struct, frozen=True):
    """Cells of an imported file, and the generation from which it was exported."""

    generation: int
    cells: dict[str, CellValue]


class TableProblem(msgspec.Struct, frozen=True):
    """The reason why a file cannot be imported."""

    line: int
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.reason}; {self.remedy}"


def render_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Format rows in aligned columns."""
    lines = [tuple(header), *(tuple(_truncate(cell) for cell in row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def render_configuration(configuration: ServingConfiguration) -> str:
    """Format all tables for a terminal."""
    parts = [f"generation {configuration.generation}"]
    for table, row_type in ROW_TYPES.items():
        header = (*ROW_NAME_COLUMNS[table], *row_type.__struct_fields__)
        rows = list(_rows(configuration, table))
        if rows:
            parts.append(f"{table}\n{render_table(header, rows)}")
    return "\n\n".join(parts)


def export_csv(configuration: ServingConfiguration) -> str:
    """Return the configuration as CSV."""
    buffer = io.StringIO()
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow((GENERATION_LABEL, configuration.generation))
    for table, row_type in ROW_TYPES.items():
        writer.writerow((f"[{table}]", *ROW_NAME_COLUMNS[table], *row_type.__struct_fields__))
        for row in _rows(configuration, table):
            writer.writerow(("", *row))
    return buffer.getvalue()


def import_csv(text: str) -> ImportedTable | TableProblem | CellProblem:
    """Parse an exported and edited file; columns may be reordered or omitted."""
    lines = [(number, line) for number, line in enumerate(csv.reader(io.StringIO(text)), 1)]
    lines = [(number, line) for number, line in lines if any(cell.strip() for cell in line)]
    if not lines or lines[0][1][0] != GENERATION_LABEL or not _has_generation(lines[0][1]):
        return TableProblem(1, "the generation is missing", "start from `quaymill config export`")
    cells: dict[str, CellValue] = {}
    table, header = "", ()
    for number, line in lines[1:]:
        if line[0]:
            table, header = line[0].strip("[]"), tuple(line[1:])
            problem = _check_header(number, table, header)
            if problem is not None:
                return problem
            continue
        if not table:
            return TableProblem(number, "row is before any table", "put it below a [table] line")
        problem = _read_row(table, dict(zip(header, line[1:], strict=False)), cells)
        if problem is not None:
            return problem
    return ImportedTable(int(lines[0][1][1]), cells)


def _rows(configuration: ServingConfiguration, table: str) -> Iterator[tuple[str, ...]]:
    for names, row in rows_of(configuration, table):
        cells = (format_value(value) for _, value in cells_of_row(table, names, row))
        yield (*names, *cells)


def _has_generation(line: list[str]) -> bool:
    return len(line) > 1 and line[1].isdigit()


def _check_header(number: int, table: str, header: tuple[str, ...]) -> TableProblem | None:
    if table not in ROW_TYPES:
        return TableProblem(
            number, f"{table!r} is not a table", f"use one of {', '.join(ROW_TYPES)}"
        )
    known = {*ROW_NAME_COLUMNS[table], *ROW_TYPES[table].__struct_fields__, ""}
    for column in header:
        if column not in known:
            return TableProblem(
                number, f"{column!r} is not a column of {table}", "correct the line"
            )
    for column in ROW_NAME_COLUMNS[table]:
        if column not in header:
            return TableProblem(number, f"column {column!r} is missing", "add the column")
    return None


def _read_row(table: str, row: dict[str, str], cells: dict[str, CellValue]) -> CellProblem | None:
    names = tuple(row.get(column, "").strip() for column in ROW_NAME_COLUMNS[table])
    for column in ROW_TYPES[table].__struct_fields__:
        text = row.get(column)
        if text is None:
            continue
        path = CellPath.parse("/".join((table, *names, column)))
        if isinstance(path, CellProblem):
            return path
        # An empty cell is an empty list or, for any other type, an unset cell.
        value = parse_value(path, text) if text.strip() or is_list(path) else None
        if isinstance(value, CellProblem):
            return value
        cells[str(path)] = value
    return None


def _truncate(cell: str) -> str:
    return cell if len(cell) <= MAX_CELL_WIDTH else cell[: MAX_CELL_WIDTH - 3] + "..."
