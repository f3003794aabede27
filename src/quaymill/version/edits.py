"""Edits of the serving configuration: merge, conflict and repetition.

An edit contains cells, the values that the operator saw in them and their new values.
It merges with edits to other cells, conflicts with another edit to one of its cells, and is
recognised by its id when it is submitted again after a lost answer.
"""

from __future__ import annotations

import secrets
from collections.abc import Iterator

import msgspec

from quaymill.version.cells import (
    CellChange,
    CellPath,
    CellProblem,
    apply_changes,
    cells_of_row,
    format_value,
    read_cell,
    read_row,
)
from quaymill.version.checks import check_configuration
from quaymill.version.configuration import (
    CellValue,
    EditRecord,
    RecordedChange,
    ServingConfiguration,
)

EDIT_ID_BYTES = 6
MAX_RECENT_EDITS = 256
MAX_EDIT_RECORDS = 64
MAX_RECORDED_CHANGES = 200


class EditedCell(msgspec.Struct, frozen=True):
    """One cell of an edit; ``expected`` is the value that the operator saw."""

    cell: str
    expected: CellValue
    value: CellValue


class Edit(msgspec.Struct, frozen=True):
    """Changes that are applied together or not at all."""

    id: str
    author: str
    cells: tuple[EditedCell, ...]


class EditConflict(msgspec.Struct, frozen=True):
    """Another edit changed a cell after the operator saw it; nothing was changed.

    Attributes
    ----------
    found
        The current value of the cell.
    author
        Author of the current value; empty if the record of that edit is no longer kept.
    """

    cell: str
    expected: CellValue
    found: CellValue
    author: str
    generation: int

    def __str__(self) -> str:
        author = f" by {self.author}" if self.author else ""
        return (
            f"{self.cell}: was changed{author} to {_describe(self.found)} while you saw "
            f"{_describe(self.expected)} (generation {self.generation}); "
            "check the new value and edit again"
        )


class EditInvalid(msgspec.Struct, frozen=True):
    """The edit would make the configuration invalid; nothing was changed."""

    problems: tuple[CellProblem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


class EditAlreadyApplied(msgspec.Struct, frozen=True):
    """An edit with this id has already been applied."""

    generation: int


EditOutcome = ServingConfiguration | EditConflict | EditInvalid | EditAlreadyApplied


def new_edit_id() -> str:
    """Return a random id for one edit."""
    return secrets.token_hex(EDIT_ID_BYTES)


def apply_edit(configuration: ServingConfiguration, edit: Edit, now_unix_s: float) -> EditOutcome:
    """Return the next generation with ``edit`` applied, or the reason why it is rejected."""
    if edit.id in configuration.recent_edits:
        return EditAlreadyApplied(_generation_of(configuration, edit.id))
    paths = [CellPath.parse(cell.cell) for cell in edit.cells]
    problems = tuple(path for path in paths if isinstance(path, CellProblem))
    if problems:
        return EditInvalid(problems)
    for path, cell in zip(paths, edit.cells, strict=True):
        found = read_cell(configuration, path)
        if found not in (cell.expected, cell.value):
            return EditConflict(
                cell.cell,
                cell.expected,
                found,
                _author_of(configuration, cell.cell),
                configuration.generation,
            )
    changed = apply_changes(
        configuration, tuple(CellChange(cell.cell, cell.value) for cell in edit.cells)
    )
    if isinstance(changed, CellProblem):
        return EditInvalid((changed,))
    problems = check_configuration(changed)
    if problems:
        return EditInvalid(problems)
    changes = tuple(_recorded_changes(configuration, changed, paths))
    return _next_generation(configuration, changed, edit, changes, now_unix_s)


def restored_edit(
    configuration: ServingConfiguration,
    generation: int,
    edit_id: str,
    author: str,
    now_unix_s: float,
) -> ServingConfiguration:
    """Return ``configuration`` as ``generation + 1``; the edits before it cannot be undone."""
    record = EditRecord(edit_id, author, generation + 1, now_unix_s, (), truncated=True)
    return _with_record(configuration, record)


def undo_records(
    configuration: ServingConfiguration, generation: int
) -> ServingConfiguration | None:
    """Return the tables of an earlier generation; ``None`` if records are missing."""
    records = [record for record in configuration.edit_records if record.generation > generation]
    if len(records) != configuration.generation - generation:
        return None
    if any(record.truncated for record in records):
        return None
    earlier = configuration
    for record in reversed(records):
        undone = apply_changes(
            earlier, tuple(CellChange(change.cell, change.before) for change in record.changes)
        )
        if isinstance(undone, CellProblem):
            return None
        earlier = undone
    return earlier


def _next_generation(
    before: ServingConfiguration,
    changed: ServingConfiguration,
    edit: Edit,
    changes: tuple[RecordedChange, ...],
    now_unix_s: float,
) -> ServingConfiguration:
    generation = before.generation + 1
    truncated = len(changes) > MAX_RECORDED_CHANGES
    record = EditRecord(
        edit.id, edit.author, generation, now_unix_s, () if truncated else changes, truncated
    )
    return _with_record(changed, record)


def _with_record(configuration: ServingConfiguration, record: EditRecord) -> ServingConfiguration:
    return msgspec.structs.replace(
        configuration,
        generation=record.generation,
        recent_edits=(*configuration.recent_edits, record.id)[-MAX_RECENT_EDITS:],
        edit_records=(*configuration.edit_records, record)[-MAX_EDIT_RECORDS:],
    )


def _recorded_changes(
    before: ServingConfiguration, after: ServingConfiguration, paths: list[CellPath]
) -> Iterator[RecordedChange]:
    """Yield the changed cells in the rows of an edit, also those of new and removed rows."""
    for table, names in dict.fromkeys((path.table, path.names) for path in paths):
        old_cells = cells_of_row(table, names, read_row(before, table, names))
        new_cells = cells_of_row(table, names, read_row(after, table, names))
        for (path, old), (_, new) in zip(old_cells, new_cells, strict=True):
            if old != new:
                yield RecordedChange(str(path), old, new)


def _author_of(configuration: ServingConfiguration, cell: str) -> str:
    for record in reversed(configuration.edit_records):
        if any(change.cell == cell for change in record.changes):
            return record.author
    return ""


def _generation_of(configuration: ServingConfiguration, edit_id: str) -> int:
    """Return the generation of an edit; the current one if its record is no longer kept."""
    for record in configuration.edit_records:
        if record.id == edit_id:
            return record.generation
    return configuration.generation


def _describe(value: CellValue) -> str:
    return "unset" if value is None else format_value(value) or "an empty list"
