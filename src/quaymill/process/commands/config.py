"""``quaymill config``: operators' edits of the serving configuration."""

from __future__ import annotations

import getpass
import sys
from pathlib import Path

from quaymill.process.commands.platform_option import (
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    connect_platform,
    fail,
)
from quaymill.process.configuration.editor import (
    ConfigurationEditor,
    EditAccepted,
    EditUnknown,
    StoredTable,
)
from quaymill.version.cells import CellPath, CellProblem, format_value, parse_value, read_cell
from quaymill.version.checks import InvalidConfiguration
from quaymill.version.configuration import CellValue, ServingConfiguration
from quaymill.version.edits import Edit, EditedCell, new_edit_id, undo_records
from quaymill.version.table import (
    ImportedTable,
    export_csv,
    import_csv,
    render_configuration,
)


def show(*, platform: str = "") -> int:
    """Show the stored configuration as tables.

    Parameters
    ----------
    platform
        HOST:PORT of the platform's object API.
    """
    print(render_configuration(_read(_editor(platform)).configuration))
    return EXIT_OK


def export(*, platform: str = "", output: Path | None = None) -> int:
    """Write the stored configuration as CSV for a spreadsheet.

    Parameters
    ----------
    platform
        HOST:PORT of the platform's object API.
    output
        The file to write; standard output if none is given.
    """
    text = export_csv(_read(_editor(platform)).configuration)
    if output is None:
        sys.stdout.write(text)
    else:
        output.write_text(text)
    return EXIT_OK


def set_cells(
    *assignments: str,
    expect: list[str] | None = None,
    platform: str = "",
    author: str = "",
    edit_id: str = "",
) -> int:
    """Set cells, all of them or none.

    Parameters
    ----------
    assignments
        CELL=VALUE, such as routes/drafting/old-site/weight=3; an empty value unsets the cell.
    expect
        The value that you saw in each cell, in the order of the assignments; without it, the
        value that stands there when the command starts.
    platform
        HOST:PORT of the platform's object API.
    author
        Who makes the edit; your user name if it is not given.
    edit_id
        Id of an earlier try whose fate is unknown; it is then done at most once.
    """
    editor = _editor(platform)
    current = _read(editor).configuration
    if expect and len(expect) != len(assignments):
        fail("--expect: give as many values as there are cells")
    cells = tuple(
        _edited_cell(current, assignment, expect[index] if expect else None)
        for index, assignment in enumerate(assignments)
    )
    return _submit(editor, Edit(edit_id or new_edit_id(), author or getpass.getuser(), cells))


def import_table(file: Path, *, platform: str = "", author: str = "", edit_id: str = "") -> int:
    """Apply the cells of an edited CSV file as one edit.

    Cells that others changed since the export and that the file leaves as they were stay
    changed. Rows that are missing in the file are left alone.

    Parameters
    ----------
    file
        A file made by ``quaymill config export`` and edited.
    platform
        HOST:PORT of the platform's object API.
    author
        Who makes the edit; your user name if it is not given.
    edit_id
        Id of an earlier try whose fate is unknown; it is then done at most once.
    """
    imported = import_csv(file.read_text())
    if not isinstance(imported, ImportedTable):
        fail(f"{file}: {imported}")
    editor = _editor(platform)
    base = undo_records(_read(editor).configuration, imported.generation)
    if base is None:
        fail(f"{file}: generation {imported.generation} is too old to compare with; export again")
    cells = []
    for cell, value in imported.cells.items():
        seen = read_cell(base, CellPath.parse(cell))
        if seen != value:
            cells.append(EditedCell(cell, seen, value))
    if not cells:
        print("no cell differs")
        return EXIT_OK
    return _submit(
        editor, Edit(edit_id or new_edit_id(), author or getpass.getuser(), tuple(cells))
    )


def _editor(platform: str) -> ConfigurationEditor:
    return ConfigurationEditor(connect_platform(platform))


def _read(editor: ConfigurationEditor) -> StoredTable:
    stored = editor.read()
    if isinstance(stored, InvalidConfiguration):
        fail(f"the stored configuration is invalid: {stored}")
    if not isinstance(stored, StoredTable):
        fail(f"the configuration cannot be read: {stored.reason}; try again later")
    return stored


def _edited_cell(
    current: ServingConfiguration, assignment: str, expected: str | None
) -> EditedCell:
    cell, separator, text = assignment.partition("=")
    if not separator:
        fail(f"{assignment}: is no assignment; write CELL=VALUE")
    path = CellPath.parse(cell)
    if isinstance(path, CellProblem):
        fail(path)
    seen = read_cell(current, path) if expected is None else _value(path, expected)
    return EditedCell(cell, seen, _value(path, text))


def _value(path: CellPath, text: str) -> CellValue:
    value = parse_value(path, text) if text else None
    if isinstance(value, CellProblem):
        fail(value)
    return value


def _submit(editor: ConfigurationEditor, edit: Edit) -> int:
    result = editor.submit(edit)
    if isinstance(result, EditUnknown):
        fail(result, EXIT_UNKNOWN)
    if not isinstance(result, EditAccepted):
        fail(result, EXIT_REFUSED)
    for cell in edit.cells:
        print(f"{cell.cell}: {format_value(cell.expected)} -> {format_value(cell.value)}")
    print(f"accepted as generation {result.generation}")
    return EXIT_OK
