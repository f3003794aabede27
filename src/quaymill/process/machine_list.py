"""The newest version of the platform's machine list that this process has received."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec

from quaymill.connection.member import Machine


class MachineList(msgspec.Struct, frozen=True):
    """The machines at one version of the list; a higher version is newer."""

    version: int = 0
    machines: tuple[Machine, ...] = ()


Listener = Callable[[MachineList], None]


class MachineListHolder:
    """Holds one immutable machine list and notifies listeners of each newer one."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._current = MachineList()
        self._listeners: list[Listener] = []

    def current(self) -> MachineList:
        """Return the newest list received."""
        return self._current

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` now and after every change, in the order of versions."""
        with self._lock:
            self._listeners.append(listener)
            listener(self._current)

    def offer(self, candidate: MachineList) -> bool:
        """Replace the list by ``candidate`` if its version is higher; return whether it was."""
        with self._lock:
            if candidate.version <= self._current.version:
                return False
            self._current = candidate
            for listener in self._listeners:
                listener(candidate)
            return True
