"""What this node refused or could not reach, kept until it is mended, for status."""

from __future__ import annotations

import threading
import time

from eliot import log_message

from quaymill.connection.configuration_messages import ConfigurationProblem

MAX_PROBLEMS = 50


class ProblemLog:
    """The present problems by subject; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._problems: dict[str, ConfigurationProblem] = {}
        self._groups: dict[str, str] = {}

    def report(self, subject: str, reason: str, remedy: str, group: str = "") -> None:
        """Keep a problem; ``group`` names the subject whose ``clear`` ends it."""
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
        """End the problems of a group."""
        with self._lock:
            for subject in [name for name, held in self._groups.items() if held == group]:
                del self._problems[subject]
                del self._groups[subject]

    def all(self) -> tuple[ConfigurationProblem, ...]:
        """Return the present problems."""
        with self._lock:
            return tuple(self._problems.values())
