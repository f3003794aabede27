"""Submits edits to the platform by compare-and-swap and tells what became of them."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from quaymill.connection.platform_client import (
    CONFIGURATION_NAME,
    CONFIGURATIONS,
    AlreadyExists,
    Conflict,
    NotFound,
    PlatformClient,
    PlatformObject,
    PlatformUnavailable,
    Refused,
)
from quaymill.version.checks import InvalidConfiguration, decode_configuration
from quaymill.version.configuration import EMPTY_CONFIGURATION, ServingConfiguration
from quaymill.version.edits import (
    Edit,
    EditAlreadyApplied,
    EditConflict,
    EditInvalid,
    apply_edit,
)

RETRY_INTERVAL_S = 0.1
DEFAULT_TIMEOUT_S = 15.0


class StoredTable(msgspec.Struct, frozen=True):
    """The configuration as the platform holds it; without version if there is none yet."""

    configuration: ServingConfiguration
    resource_version: str = ""


class EditAccepted(msgspec.Struct, frozen=True):
    """The edit is committed as ``generation`` and goes in force everywhere."""

    generation: int


class EditUnknown(msgspec.Struct, frozen=True):
    """The platform stopped answering, and the edit may or may not be committed."""

    edit_id: str
    reason: str

    def __str__(self) -> str:
        return (
            f"it is not known whether edit {self.edit_id} was committed: {self.reason}; "
            f"run the same command again with --edit-id {self.edit_id}, which does it at most once"
        )


class EditNotSent(msgspec.Struct, frozen=True):
    """The platform could not be reached and nothing was changed."""

    reason: str

    def __str__(self) -> str:
        return f"nothing was changed: {self.reason}; try again when the platform answers"


EditResult = (
    EditAccepted | EditConflict | EditInvalid | EditUnknown | EditNotSent | InvalidConfiguration
)


class ConfigurationEditor:
    """Reads the stored configuration and submits edits to it."""

    def __init__(
        self, platform_client: PlatformClient, clock: Callable[[], float] = time.time
    ) -> None:
        self._platform = platform_client
        self._clock = clock

    def read(
        self,
    ) -> StoredTable | InvalidConfiguration | Refused | PlatformUnavailable:
        """Return the stored configuration; the empty one if the platform holds none."""
        result = self._platform.get(CONFIGURATIONS, CONFIGURATION_NAME)
        if isinstance(result, NotFound):
            return StoredTable(EMPTY_CONFIGURATION)
        if not isinstance(result, PlatformObject):
            return result
        configuration = decode_configuration(bytes(result.spec))
        if isinstance(configuration, InvalidConfiguration):
            return configuration
        return StoredTable(configuration, result.resource_version)

    def submit(self, edit: Edit, timeout_s: float = DEFAULT_TIMEOUT_S) -> EditResult:
        """Commit an edit, or say why it is not committed.

        A conflict of versions is resolved by reading again and merging. When an answer is lost,
        the id of the edit in the document read back tells whether it was committed.
        """
        deadline = time.monotonic() + timeout_s
        may_have_acted = False
        while True:
            stored = self.read()
            if isinstance(stored, InvalidConfiguration):
                return stored
            if isinstance(stored, StoredTable):
                outcome = apply_edit(stored.configuration, edit, self._clock())
                if isinstance(outcome, EditAlreadyApplied):
                    return EditAccepted(outcome.generation)
                if not isinstance(outcome, ServingConfiguration):
                    return outcome
                written = self._write(stored, outcome)
                if isinstance(written, PlatformObject):
                    return EditAccepted(outcome.generation)
                failure = written
            else:
                failure = stored
            if isinstance(failure, PlatformUnavailable):
                may_have_acted = may_have_acted or failure.may_have_acted
            if time.monotonic() >= deadline or isinstance(failure, Refused):
                return _given_up(edit, failure, may_have_acted)
            if not isinstance(failure, Conflict):
                time.sleep(RETRY_INTERVAL_S)

    def _write(
        self, stored: StoredTable, configuration: ServingConfiguration
    ) -> PlatformObject | Conflict | Refused | PlatformUnavailable:
        if stored.resource_version:
            result = self._platform.replace(
                CONFIGURATIONS, CONFIGURATION_NAME, configuration, stored.resource_version
            )
        else:
            result = self._platform.create(CONFIGURATIONS, CONFIGURATION_NAME, configuration)
        if isinstance(result, AlreadyExists | NotFound):
            return Conflict(CONFIGURATION_NAME, "the object was created or removed meanwhile")
        return result


def _given_up(
    edit: Edit, failure: Conflict | Refused | PlatformUnavailable, may_have_acted: bool
) -> EditUnknown | EditNotSent:
    match failure:
        case Conflict():
            reason = "others kept changing the configuration"
        case Refused():
            reason = f"the platform refused it with {failure.status}: {failure.reason}"
        case _:
            reason = failure.reason
    if may_have_acted:
        return EditUnknown(edit.id, reason)
    return EditNotSent(reason)
