"""Problems of the configuration on this node, kept for the status until they are resolved."""

from __future__ import annotations

import threading
import time

from eliot import log_message

from quaymill.connection.configuration_messages import ConfigurationProblem

MAX_PROBLEMS = 50


class ProblemLog:
    """The current problems by subject; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._problems: dict[str, ConfigurationProblem] = {}
        self._groups: dict[str, str] = {}

    def report(self, subject: str, reason: str, remedy: str, group: str = "") -> None:
        """Add the problem of a subject, or replace it if its reason has changed.

        A problem of a new subject is ignored if there are ``MAX_PROBLEMS`` already. ``clear``
        removes all problems of a ``group``, which is the subject itself if none is given.
        """
        with self._lock:
            held = self._problems.get(subject)
            if held is not None and held.reason == reason:
                return
            if held is None and len(self._problems) >= MAX_PROBLEMS:
                return
            self._problems[subject] = ConfigurationProblem(subject, reason, remedy, time.time())
            self._groups[subject] = group or subject
        log_message("configuration:problem", subject=subject, reason=reason, remedy=remedy)

    def clear(self, group: str) -> None:
        """Remove the problems of a group."""
        with self._lock:
            for subject in [name for name, held in self._groups.items() if held == group]:
                del self._problems[subject]
                del self._groups[subject]

    def all(self) -> tuple[ConfigurationProblem, ...]:
        """Return the current problems."""
        with self._lock:
            return tuple(self._problems.values())
