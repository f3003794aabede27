"""Runs a role on the platform from its settings file until the process is stopped.

A role imports only its own modules, which makes its start faster.
"""

from __future__ import annotations

import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from eliot import log_message

from quaymill.process.logs import LineBudget, start_logs
from quaymill.process.process_context import ProcessContext
from quaymill.process.serving_settings import ServingRole, ServingSettings, load_serving_settings
from quaymill.process.settings import SettingsError
from quaymill.process.stop_signal import StopSignal


class Node(Protocol):
    """The components of a process."""

    def start(self) -> None:
        """Start the components, each after those that it uses."""

    def stop(self) -> None:
        """Stop the components in order."""


BuildNode = Callable[[ServingSettings, ProcessContext], Node]
"""Builds a node from settings and process context."""


def _load_gateway() -> BuildNode:
    from quaymill.platform.gateway_role import build_gateway

    return build_gateway


def _load_storage_node() -> BuildNode:
    from quaymill.platform.storage_role import build_storage_node

    return build_storage_node


LOADERS: dict[ServingRole, Callable[[], BuildNode]] = {
    ServingRole.GATEWAY: _load_gateway,
    ServingRole.JOB_STORAGE: _load_storage_node,
}


def run_role(name: str, path: Path, listener: socket.socket | None) -> int:
    """Run a role with a settings file until a stop signal arrives; return the exit code."""
    role = ServingRole(name)
    settings = load_serving_settings(path, role)
    if isinstance(settings, SettingsError):
        print(settings, file=sys.stderr, flush=True)
        return 1
    logs = start_logs(settings.name, stream=sys.stdout.buffer, budget=LineBudget())
    stop_signal = StopSignal()
    signal.signal(signal.SIGHUP, lambda number, frame: _revalidate_settings(path, role))
    node = LOADERS[role]()(settings, ProcessContext(lambda: logs.dropped, listener))
    node.start()
    stop_signal.wait()
    node.stop()
    logs.stop()
    return 0


def _revalidate_settings(path: Path, role: ServingRole) -> None:
    """Validate the settings file again and log the result; changes apply only after a restart."""
    settings = load_serving_settings(path, role)
    problem = str(settings) if isinstance(settings, SettingsError) else ""
    log_message("node:settings_read_again", problem=problem)
