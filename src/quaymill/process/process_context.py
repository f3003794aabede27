"""Objects of a process that exist before its parts are built."""

from __future__ import annotations

import socket
from collections.abc import Callable

import attrs


@attrs.frozen
class ProcessContext:
    """Objects that are passed to the parts of a process.

    Attributes
    ----------
    log_lines_dropped
        Returns the number of log lines dropped since the start.
    callers_listener
        Socket that already listens for callers; ``None`` if there is none.
    """

    log_lines_dropped: Callable[[], int] = lambda: 0
    callers_listener: socket.socket | None = None
