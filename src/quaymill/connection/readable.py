"""Waiting for a socket to become readable, with any file descriptor number."""

from __future__ import annotations

import select
import socket

MILLISECONDS_PER_SECOND = 1000.0


def is_readable(connection: socket.socket, timeout_s: float) -> bool:
    """Return whether a read returns at once, with data, the end of the stream or an error.

    Uses ``poll`` since ``select.select`` does not support descriptors above 1023. A closed socket
    counts as readable; the next read reports the error.
    """
    descriptor = connection.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(max(timeout_s, 0.0) * MILLISECONDS_PER_SECOND))
