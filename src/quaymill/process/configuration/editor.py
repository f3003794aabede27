"""Submits edits to the platform by compare-and-swap and returns their results."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from quaymill import boot_clock
from quaymill.connection.platform_client import (
    CONFIGURATION_NAME,
    CONFIGURATIONS,
    STATUS_NAME,
    STATUSES,
    PlatformClient,
)
from quaymill.connection.platform_objects import (
    AlreadyExists,
    Conflict,
    NotFound,
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
    restored_edit,
)
from quaymill.version.status import ServingStatus

RETRY_INTERVAL_S = 0.1
DEFAULT_TIMEOUT_S = 15.0


class StoredTable(msgspec.Struct, frozen=True):
    """The stored configuration; ``resource_version`` is empty if the platform holds none."""

    configuration: ServingConfiguration
    resource_version: str = ""


class EditAccepted(msgspec.Struct, frozen=True):
    """The edit is committed as ``generation`` and will come into force on all nodes."""

    generation: int


class EditUnknown(msgspec.Struct, frozen=True):
    """An attempt was not answered, and the edit may or may not be committed."""

    edit_id: str
    reason: str

    def __str__(self) -> str:
        return (
            f"it is not known whether edit {self.edit_id} was committed: {self.reason}; "
            f"run the same command again with --edit-id {self.edit_id}: it is applied at most once"
        )


class EditNotSent(msgspec.Struct, frozen=True):
    """No attempt to write succeeded, and nothing was changed."""

    reason: str

    def __str__(self) -> str:
        return f"nothing was changed: {self.reason}; try again when the platform answers"


class TableSetBack(msgspec.Struct, frozen=True):
    """The stored table is older than the one in force, so an edit would never come into force."""

    stored_generation: int
    generation_in_force: int

    def __str__(self) -> str:
        return (
            f"the platform holds generation {self.stored_generation}, but "
            f"{self.generation_in_force} is in force: its object was set back to an old copy; "
            "store the table in force again by `quaymill config restore --node HOST:PORT`, "
            "then edit"
        )


class NothingToRestore(msgspec.Struct, frozen=True):
    """The stored table is valid and no older than the one to restore; nothing was changed."""

    stored_generation: int

    def __str__(self) -> str:
        return (
            f"the stored table is valid and at generation {self.stored_generation}, not older "
            "than the one to restore; change it by `quaymill config set`"
        )


EditResult = (
    EditAccepted
    | EditConflict
    | EditInvalid
    | EditUnknown
    | EditNotSent
    | InvalidConfiguration
    | TableSetBack
    | NothingToRestore
)
Write = PlatformObject | Conflict | Refused | PlatformUnavailable


class ConfigurationEditor:
    """Reads the stored configuration and submits edits to it."""

    def __init__(
        self, platform_client: PlatformClient, clock: Callable[[], float] = time.time
    ) -> None:
        self.platform = platform_client
        self._clock = clock

    def read(
        self,
    ) -> StoredTable | InvalidConfiguration | Refused | PlatformUnavailable:
        """Return the stored configuration; the empty one if the platform holds none."""
        result = self.platform.get(CONFIGURATIONS, CONFIGURATION_NAME)
        if isinstance(result, NotFound):
            return StoredTable(EMPTY_CONFIGURATION)
        if not isinstance(result, PlatformObject):
            return result
        configuration = decode_configuration(bytes(result.spec))
        if isinstance(configuration, InvalidConfiguration):
            return configuration
        return StoredTable(configuration, result.resource_version)

    def submit(self, edit: Edit, timeout_s: float = DEFAULT_TIMEOUT_S) -> EditResult:
        """Commit an edit, or return why it is not committed.

        A conflict of versions is resolved by reading again and merging. If a response is lost, the
        document is read again and shows by the id of the edit whether it was committed.
        """
        return self._retry(edit.id, lambda: self._try_edit(edit), timeout_s)

    def restore(
        self, held: ServingConfiguration, edit_id: str, author: str, timeout_s: float = 15.0
    ) -> EditResult:
        """Store the table in force over one that was set back, deleted or made invalid.

        The new generation is higher than both, so that it comes into force on all nodes.
        """
        return self._retry(edit_id, lambda: self._try_restore(held, edit_id, author), timeout_s)

    def _retry(
        self, edit_id: str, attempt: Callable[[], EditResult | Write], timeout_s: float
    ) -> EditResult:
        """Repeat attempts until one has a definite result or ``timeout_s`` is over."""
        deadline = boot_clock.now() + timeout_s
        may_have_acted = False
        while True:
            result = attempt()
            if not isinstance(result, Conflict | Refused | PlatformUnavailable):
                return result
            if isinstance(result, PlatformUnavailable):
                may_have_acted = may_have_acted or result.may_have_acted
            if boot_clock.now() >= deadline or isinstance(result, Refused):
                return _undecided_result(edit_id, result, may_have_acted)
            if isinstance(result, PlatformUnavailable):
                time.sleep(RETRY_INTERVAL_S)

    def _try_edit(self, edit: Edit) -> EditResult | Write:
        # The status is read first, so a table that is older than it must have been set back.
        in_force = self._generation_in_force()
        stored = self.read()
        if not isinstance(stored, StoredTable):
            return stored
        if stored.configuration.generation < in_force:
            return TableSetBack(stored.configuration.generation, in_force)
        outcome = apply_edit(stored.configuration, edit, self._clock())
        if isinstance(outcome, EditAlreadyApplied):
            return EditAccepted(outcome.generation)
        if not isinstance(outcome, ServingConfiguration):
            return outcome
        return self._write(stored.resource_version, outcome)

    def _try_restore(
        self, held: ServingConfiguration, edit_id: str, author: str
    ) -> EditResult | Write:
        stored = self.platform.get(CONFIGURATIONS, CONFIGURATION_NAME)
        generation, version = 0, ""
        if isinstance(stored, PlatformObject):
            version = stored.resource_version
            decoded = decode_configuration(bytes(stored.spec))
            generation = decoded.generation
            if isinstance(decoded, ServingConfiguration):
                if edit_id in decoded.recent_edits:
                    return EditAccepted(decoded.generation)
                if generation >= held.generation:
                    return NothingToRestore(generation)
        elif not isinstance(stored, NotFound):
            return stored
        return self._write(
            version,
            restored_edit(held, max(generation, held.generation), edit_id, author, self._clock()),
        )

    def _generation_in_force(self) -> int:
        """Return the highest generation reported by the nodes; 0 if the status cannot be read."""
        stored = self.platform.get(STATUSES, STATUS_NAME)
        if not isinstance(stored, PlatformObject):
            return 0
        try:
            return msgspec.json.decode(bytes(stored.spec), type=ServingStatus).generation
        except msgspec.MsgspecError:
            return 0

    def _write(
        self, resource_version: str, configuration: ServingConfiguration
    ) -> EditAccepted | Write:
        if resource_version:
            result = self.platform.replace(
                CONFIGURATIONS, CONFIGURATION_NAME, configuration, resource_version
            )
        else:
            result = self.platform.create(CONFIGURATIONS, CONFIGURATION_NAME, configuration)
        if isinstance(result, AlreadyExists | NotFound):
            return Conflict(CONFIGURATION_NAME, "the object was created or removed concurrently")
        if isinstance(result, PlatformObject):
            return EditAccepted(configuration.generation)
        return result


def _undecided_result(
    edit_id: str, failure: Conflict | Refused | PlatformUnavailable, may_have_acted: bool
) -> EditUnknown | EditNotSent:
    match failure:
        case Conflict():
            reason = "other edits kept changing the configuration"
        case Refused():
            reason = f"the platform refused the write with {failure.status}: {failure.reason}"
        case _:
            reason = failure.reason
    if may_have_acted:
        return EditUnknown(edit_id, reason)
    return EditNotSent(reason)
