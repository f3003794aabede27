"""A replica whose answers a test writes byte by byte."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

import attrs

RECEIVE_BYTES = 64 * 1024


@attrs.frozen
class RawRequest:
    """A request that a ``RawReplica`` has received.

    Attributes
    ----------
    connection
        The connection that it came on, and to which the answer is written.
    number
        Which request it is on its connection; the first one is 1.
    """

    connection: socket.socket
    path: str
    id: str
    number: int

    def head(self, *lines: str, status: str = "200 OK") -> bytes:
        """Return the head of an answer, with further header lines."""
        own = (f"HTTP/1.1 {status}", f"Request-Id: {self.id}", "Response-Seal: seal")
        return "\r\n".join([*own, *lines, "", ""]).encode()

    def send_whole(self, body: bytes) -> None:
        """Send an answer with a length."""
        self.connection.sendall(self.head(f"Content-Length: {len(body)}") + body)


Answer = Callable[[RawRequest], bool]
"""Writes the answer to one request; returns whether the connection stays open."""


class RawReplica:
    """Answers health checks by itself, and all other requests with a function of the test.

    Attributes
    ----------
    accepted
        Number of connections that were opened to it.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.accepted = 0
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, service: str) -> dict[str, object]:
        """Return the entry of the replica in the platform's store."""
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }

    @property
    def open_connections(self) -> int:
        """Number of connections that the other end has not closed, as far as reads have shown."""
        return len(self._open)

    def stop(self) -> None:
        """Close the listener and all connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.accepted += 1
            with self._lock:
                self._open.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        number = 0
        try:
            while (request := _read_request(connection, number + 1)) is not None:
                number += 1
                if request.path == "/health":
                    request.send_whole(b"")
                elif not self._answer(request):
                    break
        except OSError:
            pass  # The gateway has closed the connection.
        finally:
            with self._lock:
                self._open.discard(connection)
            connection.close()


def _read_request(connection: socket.socket, number: int) -> RawRequest | None:
    """Read one request without a body; ``None`` if the connection has ended."""
    received = b""
    while b"\r\n\r\n" not in received:
        block = connection.recv(RECEIVE_BYTES)
        if not block:
            return None
        received += block
    first, *lines = received.decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
    return RawRequest(connection, first.split(" ")[1], headers.get("request-id", ""), number)
