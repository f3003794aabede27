"""``quaymill check``: checks a settings file without starting anything."""

from __future__ import annotations

from pathlib import Path

from quaymill.process.commands.platform_option import EXIT_OK, EXIT_REFUSED, fail
from quaymill.process.serving_settings import ServingRole, load_serving_settings
from quaymill.process.settings import SettingsError, load_settings


def check(*, settings: Path) -> int:
    """Check a settings file.

    Parameters
    ----------
    settings
        The file to check.
    """
    loaded = load_settings(settings)
    if isinstance(loaded, SettingsError):
        fail(loaded, EXIT_REFUSED)
    print(f"{settings}: good settings of node {loaded.name} in zone {loaded.zone}")
    return EXIT_OK


def check_serving(*, settings: Path, role: ServingRole) -> int:
    """Check the settings file of a gateway or storage node.

    Parameters
    ----------
    settings
        The file to check.
    role
        What the process is to do.
    """
    loaded = load_serving_settings(settings, role)
    if isinstance(loaded, SettingsError):
        fail(loaded, EXIT_REFUSED)
    print(f"{settings}: good settings of {role} {loaded.name} in zone {loaded.zone}")
    return EXIT_OK
