"""What a process has before its parts are built."""

from __future__ import annotations

import socket
from collections.abc import Callable

import attrs


@attrs.frozen
class ProcessContext:
    """What is handed to the parts of a role.

    Attributes
    ----------
    log_lines_dropped
        Returns how many log lines were left out since the start.
    callers_listener
        Where callers' connections wait already; ``None`` if nobody listens yet.
    """

    log_lines_dropped: Callable[[], int] = lambda: 0
    callers_listener: socket.socket | None = None
