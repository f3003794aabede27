"""Waits for the request to stop, whichever thread the system hands the signal to."""

from __future__ import annotations

import signal
import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Notes SIGTERM and SIGINT from its construction on; to be made on the main thread.

    A handler in Python runs on the main thread, and only once that thread wakes. The system
    may deliver the signal to another thread, and then a main thread that waits for a lock
    does not wake. So the main thread waits for a byte that the C handler of any thread sends.
    """

    def __init__(self) -> None:
        self._receiver, self._sender = socket.socketpair()
        self._sender.setblocking(False)
        signal.set_wakeup_fd(self._sender.fileno())
        for number in STOP_SIGNALS:
            signal.signal(number, _ignore)

    def wait(self) -> None:
        """Return when one of the signals has come."""
        while True:
            numbers = self._receiver.recv(1)
            if signal.Signals(numbers[0]) in STOP_SIGNALS:
                return


def _ignore(_number: int, _frame: object) -> None:
    """Do nothing: the byte sent beside the handler tells of the signal."""
