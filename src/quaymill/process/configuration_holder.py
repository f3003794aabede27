"""The configuration in force in this process: the one with the highest generation so far."""

from __future__ import annotations

import threading
from collections.abc import Callable

from quaymill.version.configuration import EMPTY_CONFIGURATION, ServingConfiguration

Listener = Callable[[ServingConfiguration], None]


class ConfigurationHolder:
    """Holds one immutable configuration and notifies listeners of each newer one."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._current = EMPTY_CONFIGURATION
        self._listeners: list[Listener] = []

    def current(self) -> ServingConfiguration:
        """Return the configuration in force."""
        return self._current

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` now and after every change, in the order of generations."""
        with self._lock:
            self._listeners.append(listener)
            listener(self._current)

    def offer(self, candidate: ServingConfiguration) -> bool:
        """Put ``candidate`` in force if its generation is higher; return whether it was.

        The caller has checked the candidate; an invalid one must not be offered.
        """
        with self._lock:
            if candidate.generation <= self._current.generation:
                return False
            self._current = candidate
            for listener in self._listeners:
                listener(candidate)
            return True
