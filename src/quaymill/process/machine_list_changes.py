"""Differences between versions of the machine list."""

from __future__ import annotations

import threading
from collections import deque

from quaymill.connection.configuration_messages import MachineListChanges
from quaymill.process.machine_list import MachineList

MAX_KEPT_CHANGES = 256


def find_machine_changes(base: MachineList, target: MachineList) -> MachineListChanges:
    """Return the changes that turn ``base`` into ``target``."""
    base_by_name = {machine.name: machine for machine in base.machines}
    names = {machine.name for machine in target.machines}
    return MachineListChanges(
        base.version,
        target.version,
        tuple(machine for machine in target.machines if base_by_name.get(machine.name) != machine),
        tuple(name for name in base_by_name if name not in names),
    )


def apply_machine_changes(base: MachineList, changes: MachineListChanges) -> MachineList | None:
    """Return the list after the changes; ``None`` if they do not start from ``base``."""
    if changes.base_version not in (0, base.version):
        return None
    machines = {}
    if changes.base_version:
        machines = {machine.name: machine for machine in base.machines}
    for name in changes.removed:
        machines.pop(name, None)
    machines.update({machine.name: machine for machine in changes.changed})
    return MachineList(changes.version, tuple(machines.values()))


class MachineListLog:
    """The latest changes of this node's machine list, for peers with an older version."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._newest = MachineList()
        self._changes: deque[MachineListChanges] = deque(maxlen=MAX_KEPT_CHANGES)

    def add(self, machine_list: MachineList) -> None:
        """Record the changes from the previous list to this one."""
        with self._lock:
            self._changes.append(find_machine_changes(self._newest, machine_list))
            self._newest = machine_list

    def since(self, version: int, current: MachineList) -> MachineListChanges:
        """Return the changes since a version; the whole list if some are no longer kept."""
        with self._lock:
            later = [kept for kept in self._changes if kept.base_version >= version]
        if not version or not later or later[0].base_version != version:
            return find_machine_changes(MachineList(), current)
        changed: dict = {}
        removed: dict[str, None] = {}
        for changes in later:
            for name in changes.removed:
                changed.pop(name, None)
                removed[name] = None
            for machine in changes.changed:
                removed.pop(machine.name, None)
                changed[machine.name] = machine
        return MachineListChanges(
            version, later[-1].version, tuple(changed.values()), tuple(removed)
        )
