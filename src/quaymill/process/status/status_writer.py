"""Writes the status document so that an older writer never overwrites a newer one."""

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
    """The platform did not store the document."""

    reason: str


class StatusWriter:
    """Writes by compare-and-swap, based on the version that it wrote or read last.

    If another node has become the writer while this one was paused, the next write here conflicts.
    The document is then read again; it has the token of the newer writer, so this one stops.
    """

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._version: str | None = None

    def write(self, status: ServingStatus) -> StatusSuperseded | StatusNotWritten | None:
        """Store a document; return ``None`` if it is stored, or else the reason."""
        for _ in range(MAX_TRIES):
            if self._version is None:
                failure = self._read(status.token)
                if failure is not None:
                    return failure
            result = self._put(status)
            if isinstance(result, PlatformObject):
                self._version = result.resource_version
                return None
            self._version = None
            if not isinstance(result, Conflict | AlreadyExists | NotFound):
                return StatusNotWritten(result.reason)
        return StatusNotWritten("the status object kept changing")

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
            written = ServingStatus()  # An unreadable document may be overwritten.
        if written.token > token:
            return StatusSuperseded(written.token)
        self._version = stored.resource_version
        return None
