"""Processes that the bench starts, watches and ends; never any other process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import psutil

POLL_INTERVAL_S = 0.02
KILL_TIMEOUT_S = 10.0


class ConditionNotMetError(Exception):
    """A condition that the bench waited for did not come about in time."""


def wait_until(
    condition: Callable[[], bool], timeout_s: float, description: str, interval_s: float = 0.05
) -> float:
    """Poll ``condition`` until it holds; return the seconds waited.

    Raises
    ------
    ConditionNotMetError
        If it does not hold within ``timeout_s``.
    """
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > timeout_s:
            raise ConditionNotMetError(f"not within {timeout_s} s: {description}")
        time.sleep(interval_s)
    return time.monotonic() - start


def load_average() -> float:
    """Return the machine's load of the last minute, which says how far to trust timings."""
    return round(os.getloadavg()[0], 1)


def exit_on_sigterm() -> None:
    """Let SIGTERM raise ``SystemExit``, so that a command ends the processes it started."""
    signal.signal(signal.SIGTERM, lambda number, _frame: sys.exit(128 + number))


class ManagedProcess:
    """One child process with its output in a file.

    States: stopped -> running by ``start``; running -> frozen by ``freeze`` and back by
    ``thaw``; running or frozen -> stopped by ``kill``, or by ``terminate`` and ``wait``.

    Parameters
    ----------
    output_path
        File that takes standard output and error of every run, one after the other.
    """

    def __init__(self, name: str, command: list[str], output_path: Path) -> None:
        self.name = name
        self.command = command
        self.output_path = output_path
        self.frozen = False
        self._child: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Process id of the current run, or of the last one."""
        if self._child is None:
            raise RuntimeError(f"{self.name} was never started")
        return self._child.pid

    def start(self) -> None:
        """Start the process, which must not be running."""
        if self.is_running():
            raise RuntimeError(f"{self.name} is already running")
        with self.output_path.open("ab") as output:
            self._child = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        self.frozen = False

    def is_running(self) -> bool:
        """Return whether the process exists; a frozen one does."""
        return self._child is not None and self._child.poll() is None

    def freeze(self) -> None:
        """Stop the process from running (SIGSTOP); its connections stay open."""
        self._signal(signal.SIGSTOP)
        self.frozen = True

    def thaw(self) -> None:
        """Let a frozen process go on (SIGCONT)."""
        self._signal(signal.SIGCONT)
        self.frozen = False

    def terminate(self) -> None:
        """Ask for a planned stop (SIGTERM); a frozen process is thawed first."""
        if self.frozen:
            self.thaw()
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once (SIGKILL) and wait until it is gone."""
        if self._child is None:
            return
        self._signal(signal.SIGKILL)
        self._child.wait(KILL_TIMEOUT_S)
        self.frozen = False

    def wait(self, timeout_s: float) -> int:
        """Wait for the end and return the exit code; raises ``ConditionNotMetError``."""
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise ConditionNotMetError(f"{self.name} still runs after {timeout_s} s") from error

    def print_stacks(self) -> None:
        """Let a node print the stacks of its threads into its output (SIGUSR1)."""
        self._signal(signal.SIGUSR1)

    def cpu_seconds(self) -> float:
        """Return the processor time used so far, user and system together."""
        times = psutil.Process(self.pid).cpu_times()
        return times.user + times.system

    def resident_bytes(self) -> int:
        """Return the resident memory."""
        return psutil.Process(self.pid).memory_info().rss

    def output_tail(self, lines: int = 20) -> str:
        """Return the last lines of the output, for messages to a person."""
        if not self.output_path.exists():
            return ""
        text = self.output_path.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running():
            self._child.send_signal(number)
