"""Entry point of ``quaymill``."""

from __future__ import annotations

import sys
from pathlib import Path

import defopt

from quaymill.process.commands import config
from quaymill.process.commands.check import check, check_serving
from quaymill.process.commands.explain import explain
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


def run(arguments: list[str]) -> int:
    """Run the subcommand that ``arguments`` name and return its exit status."""
    commands = {
        "node": node,
        "check": check,
        "check-serving": check_serving,
        "explain": explain,
        "status": status,
        "config": {
            "show": config.show,
            "set": config.set_cells,
            "export": config.export,
            "import": config.import_table,
            "restore": config.restore,
        },
    }
    if arguments[:1] == ["batch"]:
        from quaymill.process.commands import batch

        commands["batch"] = batch.COMMANDS
    return defopt.run(commands, no_negated_flags=True, argv=arguments)


def main() -> None:
    """Run the command line of this process."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
