"""What readers do with the objects they see: check them, and offer them to the holders."""

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
SET_BACK_S = 30.0


class ConfigurationFollower:
    """Puts each newer valid document in force, and reports one that is not."""

    def __init__(
        self, platform: PlatformClient, holder: ConfigurationHolder, problems: ProblemLog
    ) -> None:
        self._platform = platform
        self._holder = holder
        self._problems = problems
        self._seen_version = ""

    def on_list(self, listed: ObjectList) -> None:
        """Take the one object that matters."""
        for item in listed.items:
            if item.name == CONFIGURATION_NAME:
                self.on_change(item)
                return
        if self._holder.current().generation:
            self._report_missing()

    def on_change(self, changed: PlatformObject) -> None:
        """Check a document and offer it."""
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
        """Keep what is in force when the object is gone."""
        if deleted.name == CONFIGURATION_NAME:
            self._report_missing()

    def is_current(self) -> bool:
        """Compare the stored version with the one seen last."""
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
    """Keeps the machine list of the platform, one offer for each change.

    Versions of the list are the platform's, above an epoch. When the platform goes on for
    ``SET_BACK_S`` with versions below the one that is held, it was set back to an old copy; a
    reader then begins the next epoch, so that nodes follow the list again. A list that is
    older for a shorter time comes from a late read, and is not taken.

    Parameters
    ----------
    clock
        Monotonic seconds.
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
        """Take the whole list, unless it is older than the one held."""
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
        """Put one machine in."""
        machine = self._decode(changed)
        if machine is not None:
            self._offer(changed.resource_version, lambda held: held | {machine.name: machine})

    def on_delete(self, deleted: PlatformObject) -> None:
        """Take one machine out."""
        self._offer(
            deleted.resource_version,
            lambda held: {name: machine for name, machine in held.items() if name != deleted.name},
        )

    def is_current(self) -> bool:
        """Trust a watch that ended in order, unless the list was older than the one held."""
        return self._older_since is None

    def _is_set_back(self, version: int, held_version: int) -> bool:
        """Return whether the list has been older for so long that it is no late read."""
        now = self._clock()
        if self._older_since is None:
            self._older_since = now
        self._problems.report(
            MACHINES,
            f"are listed at version {version}, older than {held_version}, which is kept",
            f"wait {SET_BACK_S:.0f} s: if the platform was set back, its list is taken then",
        )
        return now - self._older_since >= SET_BACK_S

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
            self._problems.report(subject, f"is not a machine: {error}", "mend the object")
            return None
        self._problems.clear(subject)
        return machine
