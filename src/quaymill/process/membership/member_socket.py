"""The UDP socket of the membership, which also counts datagrams and bytes."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

import msgspec
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.readable import is_readable
from quaymill.process.membership.messages import Datagram, decode_datagram, encode_datagram

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
RECEIVE_BYTES = 65536
STOP_TIMEOUT_S = 5.0

POLL_INTERVAL_S = 0.2
MIN_PAUSE_S = 0.2
"""Delay of the receiving thread from which on this process counts as paused. Shorter pauses make
what datagrams tell older by less than any timeout that relies on it."""

Receiver = Callable[[Datagram, Endpoint, bool], None]
"""Receives a datagram, its source, and whether it may have waited while this process was paused, so
that ages in it are too low."""


class Traffic(msgspec.Struct):
    """Datagrams and bytes that a node has sent and received, without UDP and IP headers."""

    sent_datagrams: int = 0
    sent_bytes: int = 0
    received_datagrams: int = 0
    received_bytes: int = 0


class MemberSocket:
    """Sends from any thread; receives on its own thread.

    Parameters
    ----------
    endpoint
        Address on which to listen, also the source address of sent datagrams.
    link_filter
        Fault injection: nothing is sent to a blocked endpoint.
    """

    def __init__(self, endpoint: Endpoint, link_filter: LinkFilter) -> None:
        self._link_filter = link_filter
        self._stopping = False
        self._thread: threading.Thread | None = None
        self.traffic = Traffic()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind((endpoint.host, endpoint.port))

    def start(self, receiver: Receiver) -> None:
        """Begin to pass received datagrams to ``receiver``."""
        self._thread = threading.Thread(
            target=self._receive, args=(receiver,), name="member-receive", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """End the receiving thread and close the socket."""
        self._stopping = True
        with contextlib.suppress(OSError):
            # A datagram to the socket itself wakes the receiving thread.
            self._socket.sendto(b"\n", self._socket.getsockname())
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_S)
        self._socket.close()

    def send(self, target: Endpoint, datagram: Datagram) -> None:
        """Send a datagram without any guarantee that it arrives; errors are ignored."""
        if self._link_filter.blocks(target):
            return
        line = encode_datagram(datagram)
        with contextlib.suppress(OSError):
            self._socket.sendto(line, (target.host, target.port))
            self.traffic.sent_datagrams += 1
            self.traffic.sent_bytes += len(line)

    def _receive(self, receiver: Receiver) -> None:
        delayed = False
        polled_at = boot_clock.now()
        while not self._stopping:
            # Until the socket is empty, its datagrams may be from before the end of a pause.
            readable = is_readable(self._socket, 0.0 if delayed else POLL_INTERVAL_S)
            now = boot_clock.now()
            delayed = readable and (delayed or now - polled_at > POLL_INTERVAL_S + MIN_PAUSE_S)
            polled_at = now
            if not readable:
                continue
            try:
                line, address = self._socket.recvfrom(RECEIVE_BYTES)
            except OSError:
                continue  # Reports that an earlier send failed, such as "connection refused".
            datagram = decode_datagram(line)
            if datagram is None:
                continue
            self.traffic.received_datagrams += 1
            self.traffic.received_bytes += len(line)
            try:
                receiver(datagram, Endpoint(*address), delayed)
            except Exception as error:  # One bad datagram must not end the thread.
                log_message("membership:handler_error", error=repr(error))
