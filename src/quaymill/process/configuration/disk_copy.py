"""Copy of the configuration in a node's data folder, used to start without the platform."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from quaymill.process.configuration.problems import ProblemLog
from quaymill.version.checks import InvalidConfiguration, decode_configuration
from quaymill.version.configuration import ServingConfiguration

COPY_NAME = "configuration.json"


def store_copy(folder: Path, configuration: ServingConfiguration, problems: ProblemLog) -> None:
    """Replace the copy atomically, so that a crash leaves either the old or the new one."""
    path = folder / COPY_NAME
    temporary = path.with_suffix(".tmp")
    try:
        folder.mkdir(parents=True, exist_ok=True)
        with temporary.open("wb") as file:
            file.write(msgspec.json.encode(configuration))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
    except OSError as error:
        problems.report(str(path), f"cannot be written: {error}", "replace the disk")
        return
    problems.clear(str(path))


def load_copy(folder: Path, problems: ProblemLog) -> ServingConfiguration | None:
    """Return the copy; ``None`` if it is missing, unreadable or invalid."""
    path = folder / COPY_NAME
    try:
        document = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        problems.report(str(path), f"cannot be read: {error}", "replace the disk")
        return None
    decoded = decode_configuration(document)
    if isinstance(decoded, InvalidConfiguration):
        problems.report(str(path), f"is invalid: {decoded}", "remove the file")
        return None
    return decoded
