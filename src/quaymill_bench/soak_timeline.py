"""What happened in one round of the soak, and when: faults, calls, and the processes' own lines."""

from __future__ import annotations

import json
import threading
import time
from pathlib import Path

import attrs


@attrs.frozen
class Happening:
    """One thing that happened.

    Attributes
    ----------
    at_unix_s
        Time of day, as in the processes' logs.
    about
        Name of the job or request; empty for a fault.
    """

    at_unix_s: float
    text: str
    about: str = ""


class Timeline:
    """Collects what happens; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._happenings: list[Happening] = []

    def note(self, text: str, about: str = "") -> None:
        """Note that something happens now."""
        with self._lock:
            self._happenings.append(Happening(time.time(), text, about))

    def faults(self) -> list[str]:
        """Return the faults, in order."""
        return [one.text for one in self._happenings if not one.about]

    def story_of(self, name: str, logs: list[Path]) -> list[str]:
        """Return the lines that name a job or request, beside the faults, by time."""
        mine = [one for one in self._happenings if one.about in ("", name)]
        for log in logs:
            mine += _lines_that_name(name, log)
        mine.sort(key=lambda one: one.at_unix_s)
        start = mine[0].at_unix_s if mine else 0.0
        return [f"{one.at_unix_s - start:9.3f}  {one.text}" for one in mine]


def _lines_that_name(name: str, log: Path) -> list[Happening]:
    found = []
    for line in log.read_text(errors="replace").splitlines():
        if name not in line or not line.startswith("{"):
            continue
        try:
            at_unix_s = float(json.loads(line)["timestamp"])
        except (ValueError, KeyError):
            # A line that was cut off as its process was killed tells no time.
            continue
        found.append(Happening(at_unix_s, f"{log.stem}: {line}", name))
    return found
