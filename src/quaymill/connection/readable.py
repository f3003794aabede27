"""Waits for a socket to become readable, whatever its descriptor's number."""

from __future__ import annotations

import select
import socket

MILLISECONDS = 1000.0


def is_readable(connection: socket.socket, timeout_s: float) -> bool:
    """Return whether there is something to read, an end or an error included.

    ``select.select`` takes no descriptor above 1023, and a busy gateway has more. A socket that
    was closed meanwhile counts as readable: the read that follows tells.
    """
    descriptor = connection.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(max(timeout_s, 0.0) * MILLISECONDS))
