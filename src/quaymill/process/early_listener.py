"""Listens for callers before the rest of a gateway is loaded.

Loading the other modules can take more than a second. Meanwhile a caller would find the port
closed and might use up its retries, while a connection to a listening socket just waits. This
module imports only a few modules of the standard library, so that it loads quickly.
"""

from __future__ import annotations

import socket
import tomllib
from pathlib import Path

LISTEN_BACKLOG = 512
"""Most connections that wait to be accepted, also after the start."""


def open_listener(settings_file: Path) -> socket.socket | None:
    """Listen on the callers' address of a settings file.

    Returns
    -------
    ``None`` if that fails; the error is reported when the settings are loaded later.
    """
    try:
        settings = tomllib.loads(settings_file.read_text())
        host, _, port = settings["listen"]["callers"].rpartition(":")
        if not host:
            return None
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Otherwise the second part of an answer waits for the caller's delayed acknowledgement.
        # Accepted connections inherit the option.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((host, int(port)))
        listener.listen(LISTEN_BACKLOG)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
    return listener
