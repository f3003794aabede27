"""Listens for callers before the rest of a gateway is loaded.

Loading takes 0.4 s of processor time, and a second or more on a weak machine. After many gateways
were killed at once a caller that meets closed ports twice has used up its tries; one whose
connection stands waits a moment. Only the standard library is used here, and little of it.
"""

from __future__ import annotations

import socket
import tomllib
from pathlib import Path

LISTEN_BACKLOG = 512
"""Connections that wait to be accepted: what comes to one gateway while it is loading."""


def open_listener(settings_file: Path) -> socket.socket | None:
    """Listen at the callers' address of a settings file.

    Returns
    -------
    ``None`` where that cannot be; whoever loads the settings and listens later tells why.
    """
    try:
        settings = tomllib.loads(settings_file.read_text())
        host, _, port = settings["listen"]["callers"].rpartition(":")
        if not host:
            return None
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Without it the second part of an answer waits 40 ms for the caller's acknowledgement.
        # Accepted connections have it from here.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((host, int(port)))
        listener.listen(LISTEN_BACKLOG)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
    return listener
