"""Who a replica is: a random id that lives and dies with its database.

A disk that was lost comes back with another id. The log entries a majority relies on are
known to be held by an id, so an empty replica is never mistaken for the one that held them.
"""

from __future__ import annotations

import fcntl
import os
import uuid
from pathlib import Path


class FolderInUseError(Exception):
    """Another process has the data folder open; one replica must not run twice."""


def new_identity() -> str:
    """Return a random identity."""
    return uuid.uuid4().hex


class FolderLock:
    """Keeps a second process out of a data folder until ``release``."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._file = os.open(folder / "in-use.lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._file)
            raise FolderInUseError(
                f"{folder} is in use by another process; stop it or choose another data_folder"
            ) from error

    def release(self) -> None:
        """Let other processes open the folder."""
        os.close(self._file)
