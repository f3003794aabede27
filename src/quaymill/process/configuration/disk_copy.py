"""Copy of the configuration in a node's data folder, used to start without the platform."""

from __future__ import annotations

import os
import threading
from pathlib import Path

import msgspec

from quaymill.process.configuration.problems import ProblemLog
from quaymill.version.checks import InvalidConfiguration, decode_configuration
from quaymill.version.configuration import ServingConfiguration

COPY_NAME = "configuration.json"
STOP_TIMEOUT_S = 5.0
"""Maximum time for which a node that stops waits until its copy is on disk."""


class CopyWriter:
    """One thread that stores the newest configuration, so that a slow disk holds up nobody.

    A configuration that is replaced while an earlier one is written is never stored itself.
    """

    def __init__(self, folder: Path, problems: ProblemLog) -> None:
        self._folder = folder
        self._problems = problems
        self._changed = threading.Condition()
        self._pending: ServingConfiguration | None = None
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="configuration-copy", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Wait until the newest configuration is stored, for ``STOP_TIMEOUT_S`` at most."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        if self._thread.is_alive():
            self._thread.join(STOP_TIMEOUT_S)

    def store(self, configuration: ServingConfiguration) -> None:
        """Store a configuration soon; return at once."""
        with self._changed:
            self._pending = configuration
            self._changed.notify_all()

    def _run(self) -> None:
        while (configuration := self._next()) is not None:
            store_copy(self._folder, configuration, self._problems)

    def _next(self) -> ServingConfiguration | None:
        """Wait for the next configuration to store; return ``None`` at the end."""
        with self._changed:
            while self._pending is None and not self._stopping:
                self._changed.wait()
            configuration, self._pending = self._pending, None
            return configuration


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
