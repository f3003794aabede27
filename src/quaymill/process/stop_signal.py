"""Waits for a stop signal, whichever thread the system delivers it to."""

from __future__ import annotations

import signal
import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Receives SIGTERM and SIGINT after its construction; must be created on the main thread.

    A Python signal handler runs on the main thread only, and only when that thread is not
    blocked. If the system delivers the signal to another thread, a main thread that waits for a
    lock does not wake up. Therefore the main thread waits for a byte from a socket, which the
    interpreter's C handler writes in whichever thread receives the signal.
    """

    def __init__(self) -> None:
        self._receiver, self._sender = socket.socketpair()
        self._sender.setblocking(False)
        signal.set_wakeup_fd(self._sender.fileno())
        for signal_number in STOP_SIGNALS:
            signal.signal(signal_number, _ignore_signal)

    def wait(self) -> None:
        """Return when one of the signals has been received."""
        while True:
            numbers = self._receiver.recv(1)
            if signal.Signals(numbers[0]) in STOP_SIGNALS:
                return


def _ignore_signal(_number: int, _frame: object) -> None:
    """Do nothing: the byte written to the wake-up socket reports the signal."""
