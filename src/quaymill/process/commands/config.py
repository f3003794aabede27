"""``quaymill config``: operators' edits of the serving configuration."""

from __future__ import annotations

import getpass
import sys
import time
from pathlib import Path

from quaymill import boot_clock
from quaymill.connection.configuration_messages import PullConfiguration, WholeConfiguration
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.platform_client import PlatformClient
from quaymill.process.commands.platform_option import (
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    connect_platform,
    fail,
)
from quaymill.process.commands.status import read_status
from quaymill.process.configuration.editor import (
    ConfigurationEditor,
    EditAccepted,
    EditResult,
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

DEFAULT_WAIT_S = 10.0
STATUS_INTERVAL_S = 0.25
PULL_TIMEOUT_S = 5.0


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
    wait: float = DEFAULT_WAIT_S,
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
    wait
        Seconds to wait until the status says that the edit is in force on all nodes.
    """
    editor = _editor(platform)
    current = _read(editor).configuration
    if expect and len(expect) != len(assignments):
        fail("--expect: give as many values as there are cells")
    cells = tuple(
        _edited_cell(current, assignment, expect[index] if expect else None)
        for index, assignment in enumerate(assignments)
    )
    return _submit(editor, Edit(edit_id or new_edit_id(), author or getpass.getuser(), cells), wait)


def import_table(
    file: Path,
    *,
    platform: str = "",
    author: str = "",
    edit_id: str = "",
    wait: float = DEFAULT_WAIT_S,
) -> int:
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
    wait
        Seconds to wait until the status says that the edit is in force on all nodes.
    """
    imported = import_csv(file.read_text())
    if not isinstance(imported, ImportedTable):
        fail(f"{file}: {imported}")
    editor = _editor(platform)
    base = undo_records(_read(editor).configuration, imported.generation)
    if base is None:
        fail(
            f"{file}: generation {imported.generation} cannot be compared with the stored table: "
            "the records do not reach back to it; export again"
        )
    cells = []
    for cell, value in imported.cells.items():
        seen = read_cell(base, CellPath.parse(cell))
        if seen != value:
            cells.append(EditedCell(cell, seen, value))
    if not cells:
        print("no cell differs")
        return EXIT_OK
    edit = Edit(edit_id or new_edit_id(), author or getpass.getuser(), tuple(cells))
    return _submit(editor, edit, wait)


def restore(
    *, node: str, platform: str = "", author: str = "", wait: float = DEFAULT_WAIT_S
) -> int:
    """Store the table that a node has in force over one set back, deleted or made invalid.

    Parameters
    ----------
    node
        HOST:PORT of the peer port of a node that holds the highest generation.
    platform
        HOST:PORT of the platform's object API.
    author
        Who restores; your user name if it is not given.
    wait
        Seconds to wait until the status says that the table is in force on all nodes.
    """
    client = connect_platform(platform)
    try:
        endpoint = Endpoint.parse(node)
    except ValueError as error:
        fail(f"--node: {error}")
    reply = PeerClient(LinkFilter()).call(
        endpoint, PullConfiguration(-1), WholeConfiguration, PULL_TIMEOUT_S
    )
    if not isinstance(reply, WholeConfiguration):
        fail(f"--node: {endpoint} gives no configuration: {reply.reason}; name another node")
    result = ConfigurationEditor(client).restore(
        reply.configuration, new_edit_id(), author or getpass.getuser()
    )
    return _report(client, result, wait)


def _editor(platform: str) -> ConfigurationEditor:
    return ConfigurationEditor(connect_platform(platform))


def _read(editor: ConfigurationEditor) -> StoredTable:
    stored = editor.read()
    if isinstance(stored, InvalidConfiguration):
        fail(
            f"the stored configuration is invalid: {stored}; or run `quaymill config restore "
            "--node HOST:PORT` to store the one in force again"
        )
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


def _submit(editor: ConfigurationEditor, edit: Edit, wait_s: float) -> int:
    result = editor.submit(edit)
    if isinstance(result, EditAccepted):
        for cell in edit.cells:
            print(f"{cell.cell}: {format_value(cell.expected)} -> {format_value(cell.value)}")
    return _report(editor.platform, result, wait_s)


def _report(client: PlatformClient, result: EditResult, wait_s: float) -> int:
    if isinstance(result, EditUnknown):
        fail(result, EXIT_UNKNOWN)
    if not isinstance(result, EditAccepted):
        fail(result, EXIT_REFUSED)
    print(f"accepted as generation {result.generation}", flush=True)
    if wait_s > 0:
        _wait_until_in_force(client, result.generation, wait_s)
    return EXIT_OK


def _wait_until_in_force(client: PlatformClient, generation: int, wait_s: float) -> None:
    """Say when the status shows a generation in force everywhere, or what it shows in the end."""
    deadline = boot_clock.now() + wait_s
    while True:
        written = read_status(client)
        if isinstance(written, str):
            print(f"not known where it is in force: {written}")
            return
        live = sum(zone.live for zone in written.zones)
        current = sum(zone.current for zone in written.zones)
        if written.generation >= generation and current == live:
            print(f"in force on {current} of {live} nodes")
            return
        if boot_clock.now() >= deadline:
            break
        time.sleep(STATUS_INTERVAL_S)
    holders = current if written.generation >= generation else 0
    print(f"after {wait_s:g} s in force on {holders} of {live} nodes; see `quaymill status`")
