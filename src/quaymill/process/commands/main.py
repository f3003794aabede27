"""Entry point of ``quaymill``."""

from __future__ import annotations

import sys
from pathlib import Path

import defopt

from quaymill.process.commands import config
from quaymill.process.commands.check import check
from quaymill.process.commands.platform_option import fail
from quaymill.process.commands.status import status
from quaymill.process.settings import SettingsError, load_settings


def node(*, settings: Path) -> int:
    """Run a node until it is told to stop.

    Parameters
    ----------
    settings
        The node's settings file.
    """
    loaded = load_settings(settings)
    if isinstance(loaded, SettingsError):
        fail(loaded)
    # Imported here so that the operators' commands start fast.
    from quaymill.process.node import run_node

    return run_node(loaded)


def main() -> None:
    """Run the subcommand named on the command line."""
    commands = {
        "node": node,
        "check": check,
        "status": status,
        "config": {
            "show": config.show,
            "set": config.set_cells,
            "export": config.export,
            "import": config.import_table,
        },
    }
    if sys.argv[1:2] == ["batch"]:
        from quaymill.process.commands import batch

        commands["batch"] = batch.COMMANDS
    sys.exit(defopt.run(commands, no_negated_flags=True))


if __name__ == "__main__":
    main()
