"""Checks the objects that reader nodes receive and passes them to the holders."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from quaymill import boot_clock
from quaymill.connection.member import Machine
from quaymill.connection.platform_client import (
    CONFIGURATION_NAME,
    CONFIGURATIONS,
    MACHINES,
    PlatformClient,
)
from quaymill.connection.platform_objects import ObjectList, PlatformObject
from quaymill.process.configuration.problems import ProblemLog
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.machine_list import MachineList, MachineListHolder
from quaymill.version.checks import InvalidConfiguration, decode_configuration

CONFIGURATION_OBJECT = f"{CONFIGURATIONS}/{CONFIGURATION_NAME}"
VERSIONS_PER_EPOCH = 2**40
SET_BACK_DELAY_S = 30.0


class ConfigurationFollower:
    """Applies each newer valid configuration, and reports invalid, old or missing ones."""

    def __init__(
        self, platform: PlatformClient, holder: ConfigurationHolder, problems: ProblemLog
    ) -> None:
        self._platform = platform
        self._holder = holder
        self._problems = problems
        self._seen_version = ""

    def on_list(self, listed: ObjectList) -> None:
        """Handle the configuration object of a list, or report that it is missing."""
        for item in listed.items:
            if item.name == CONFIGURATION_NAME:
                self.on_change(item)
                return
        if self._holder.current().generation:
            self._report_missing()

    def on_change(self, changed: PlatformObject) -> None:
        """Check a changed configuration object and apply it if it is valid and not older."""
        if changed.name != CONFIGURATION_NAME or changed.resource_version == self._seen_version:
            return
        self._seen_version = changed.resource_version
        decoded = decode_configuration(bytes(changed.spec))
        self._problems.clear(CONFIGURATION_OBJECT)
        if isinstance(decoded, InvalidConfiguration):
            self._report_invalid(decoded)
            return
        held = self._holder.current().generation
        if decoded.generation < held:
            self._problems.report(
                CONFIGURATION_OBJECT,
                f"holds generation {decoded.generation}, older than {held}, which stays in force",
                "the platform was set back: run `quaymill config restore` to store the table "
                "in force again",
            )
            return
        self._holder.offer(decoded)

    def on_delete(self, deleted: PlatformObject) -> None:
        """Report a deleted configuration object; the configuration in force stays."""
        if deleted.name == CONFIGURATION_NAME:
            self._report_missing()

    def is_current(self) -> bool:
        """Return whether the stored version is the one seen last; true if it cannot be read."""
        return self._platform.get_version(CONFIGURATIONS, CONFIGURATION_NAME) in (
            self._seen_version,
            "",
        )

    def _report_missing(self) -> None:
        self._seen_version = ""
        self._problems.report(
            CONFIGURATION_OBJECT,
            f"does not exist; generation {self._holder.current().generation} stays in force",
            "run `quaymill config restore` to store the table in force again",
        )

    def _report_invalid(self, invalid: InvalidConfiguration) -> None:
        held = self._holder.current().generation
        for problem in invalid.problems:
            self._problems.report(
                f"{CONFIGURATION_OBJECT}: {problem.cell}",
                f"{problem.reason}; generation {held} stays in force",
                problem.remedy,
                group=CONFIGURATION_OBJECT,
            )


class MachineListFollower:
    """Applies each change of the platform's machine list.

    A version of the list consists of an epoch and the platform's version. If the platform returns
    versions below the current one for ``SET_BACK_DELAY_S`` seconds, it was reset to an old copy; a
    reader then begins the next epoch, so that nodes accept the list again. Older lists are
    ignored until then, because they may be results of delayed reads.

    Parameters
    ----------
    clock
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        holder: MachineListHolder,
        problems: ProblemLog,
        clock: Callable[[], float] = boot_clock.now,
    ) -> None:
        self._holder = holder
        self._problems = problems
        self._clock = clock
        self._older_since: float | None = None

    def on_list(self, listed: ObjectList) -> None:
        """Apply a whole list; an older one than the current only after a reset of the platform."""
        if not listed.resource_version.isdigit():
            return
        version = int(listed.resource_version)
        epoch, held_version = divmod(self._holder.current().version, VERSIONS_PER_EPOCH)
        if version < held_version:
            if not self._is_set_back(version, held_version):
                return
            epoch += 1
        self._older_since = None
        self._problems.clear(MACHINES)
        machines = tuple(machine for item in listed.items if (machine := self._decode(item)))
        self._holder.offer(MachineList(epoch * VERSIONS_PER_EPOCH + version, machines))

    def on_change(self, changed: PlatformObject) -> None:
        """Add or replace one machine."""
        machine = self._decode(changed)
        if machine is not None:
            self._offer(changed.resource_version, lambda held: held | {machine.name: machine})

    def on_delete(self, deleted: PlatformObject) -> None:
        """Remove one machine."""
        self._offer(
            deleted.resource_version,
            lambda held: {name: machine for name, machine in held.items() if name != deleted.name},
        )

    def is_current(self) -> bool:
        """Return whether a watch may be resumed; ``False`` after a list that was too old."""
        return self._older_since is None

    def _is_set_back(self, version: int, held_version: int) -> bool:
        """Return whether the list has been older for longer than a delayed read explains."""
        now = self._clock()
        if self._older_since is None:
            self._older_since = now
        self._problems.report(
            MACHINES,
            f"are listed at version {version}, older than {held_version}, which is kept",
            f"wait {SET_BACK_DELAY_S:.0f} s: if the platform was reset, its list is applied then",
        )
        return now - self._older_since >= SET_BACK_DELAY_S

    def _offer(
        self,
        resource_version: str,
        change: Callable[[dict[str, Machine]], dict[str, Machine]],
    ) -> None:
        held = self._holder.current()
        epoch, held_version = divmod(held.version, VERSIONS_PER_EPOCH)
        if not resource_version.isdigit() or int(resource_version) <= held_version:
            return
        machines = change({machine.name: machine for machine in held.machines})
        version = epoch * VERSIONS_PER_EPOCH + int(resource_version)
        self._holder.offer(MachineList(version, tuple(machines.values())))

    def _decode(self, item: PlatformObject) -> Machine | None:
        subject = f"machines/{item.name}"
        try:
            machine = msgspec.json.decode(bytes(item.spec), type=Machine)
        except msgspec.MsgspecError as error:
            self._problems.report(
                subject, f"is not a machine: {error}", "correct or remove the object"
            )
            return None
        self._problems.clear(subject)
        return machine
