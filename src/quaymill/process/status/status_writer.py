"""Puts the status document into its object so that an older writer never overwrites a newer."""

from __future__ import annotations

import msgspec

from quaymill.connection.platform_client import STATUS_NAME, STATUSES, PlatformClient
from quaymill.connection.platform_objects import AlreadyExists, Conflict, NotFound, PlatformObject
from quaymill.version.status import ServingStatus

MAX_TRIES = 3


class StatusSuperseded(msgspec.Struct, frozen=True):
    """A writer with a higher token has written; this one must stop."""

    token: int


class StatusNotWritten(msgspec.Struct, frozen=True):
    """The platform did not take the document this time."""

    reason: str


class StatusWriter:
    """Writes by compare-and-swap from the version that it wrote or read last.

    A writer that was paused holds an old version, so its next write conflicts; the document
    that it then reads carries the newer writer's token and ends its term.
    """

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._version: str | None = None

    def write(self, status: ServingStatus) -> StatusSuperseded | StatusNotWritten | None:
        """Store a document; return ``None`` when it is stored."""
        for _ in range(MAX_TRIES):
            if self._version is None:
                hindrance = self._read(status.token)
                if hindrance is not None:
                    return hindrance
            result = self._put(status)
            if isinstance(result, PlatformObject):
                self._version = result.resource_version
                return None
            self._version = None
            if not isinstance(result, Conflict | AlreadyExists | NotFound):
                return StatusNotWritten(result.reason)
        return StatusNotWritten("the object kept changing")

    def _put(self, status: ServingStatus) -> object:
        if self._version:
            return self._platform.replace(STATUSES, STATUS_NAME, status, self._version)
        return self._platform.create(STATUSES, STATUS_NAME, status)

    def _read(self, token: int) -> StatusSuperseded | StatusNotWritten | None:
        stored = self._platform.get(STATUSES, STATUS_NAME)
        if isinstance(stored, NotFound):
            self._version = ""
            return None
        if not isinstance(stored, PlatformObject):
            return StatusNotWritten(stored.reason)
        try:
            written = msgspec.json.decode(bytes(stored.spec), type=ServingStatus)
        except msgspec.MsgspecError:
            written = ServingStatus()  # Nobody can read it: any status is better.
        if written.token > token:
            return StatusSuperseded(written.token)
        self._version = stored.resource_version
        return None
