"""Markdown tables of slopes and of the size rows."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

import msgspec

from quaymill_bench.role_fit import Slope

if TYPE_CHECKING:
    from quaymill_bench.role_size import SizeRow
    from quaymill_bench.role_slopes import RoleSlopes

SIZE_COLUMNS = ("role", "kind", "messages/s", "bytes/s", "of a core", "MB", "basis", "fits alone")


def render_size(rows: tuple[SizeRow, ...]) -> str:
    """Return one line for each role."""
    lines = [_line(SIZE_COLUMNS), _line(["---"] * len(SIZE_COLUMNS))]
    lines += [_line(_cells(row)) for row in rows]
    return "\n".join(lines) + "\n"


def render_slopes(slopes: RoleSlopes) -> str:
    """Return one line for each measured slope."""
    columns = ("part", "slope", "by", "value", "standard error", "unit", "points")
    lines = [_line(columns), _line(["---"] * len(columns))]
    for part in slopes.__struct_fields__:
        measured = getattr(slopes, part)
        if measured is None:
            continue
        for name, by, slope in _walk(measured, ""):
            cells = (part, name, by, f"{slope.value:,.1f}", f"{slope.error:,.1f}")
            lines.append(_line((*cells, slope.unit, str(slope.points))))
    return "\n".join(lines) + "\n"


def _cells(row: SizeRow) -> tuple[str, ...]:
    fits = ", ".join(row.excess)
    verdict = "not held to it" if row.kind == "data" else f"no: {fits}" if fits else "yes"
    return (
        row.role,
        row.kind,
        _number(row.messages_per_s, 1),
        _number(row.bytes_per_s, 0),
        "" if row.core_share is None else f"{100 * row.core_share:,.2f}%",
        _number(row.memory_mb, 1),
        row.basis,
        verdict,
    )


def _number(value: float | None, digits: int) -> str:
    return "" if value is None else f"{value:,.{digits}f}"


def _walk(measured: msgspec.Struct, prefix: str) -> Iterator[tuple[str, str, Slope]]:
    for name in measured.__struct_fields__:
        value = getattr(measured, name)
        if isinstance(value, msgspec.Struct):
            yield from _walk(value, f"{name}.")
        elif isinstance(value, dict):
            for by, slope in value.items():
                if isinstance(slope, Slope):
                    yield f"{prefix}{name.removesuffix('_by')}", by, slope


def _line(cells: tuple[str, ...] | list[str]) -> str:
    return f"| {' | '.join(cells)} |"
