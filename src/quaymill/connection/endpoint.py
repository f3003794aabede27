"""Network addresses, and the filter that blocks links for fault tests."""

from __future__ import annotations

import socket
import threading

import msgspec

MAX_PORT = 65535


class Endpoint(msgspec.Struct, frozen=True, order=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Endpoint:
        """Parse ``HOST:PORT``; raises ``ValueError`` if ``text`` has another form."""
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"{text!r} is not HOST:PORT; write for example 127.0.0.1:7001")
        return cls(host=host, port=int(port))

    @classmethod
    def parse_address(cls, text: str) -> Endpoint:
        """Parse ``IP:PORT`` with an IPv4 address and a port above 0; raises ``ValueError``."""
        endpoint = cls.parse(text)
        if not 0 < endpoint.port <= MAX_PORT:
            raise ValueError(f"{text!r} has no port from 1 to {MAX_PORT}")
        try:
            socket.inet_pton(socket.AF_INET, endpoint.host)
        except OSError as error:
            raise ValueError(f"{text!r} does not begin with an IPv4 address") from error
        return endpoint


class LinkFilter:
    """The endpoints that this process must not send to, for fault tests.

    Clients in this process check ``blocks`` before they send a message or a request.
    Only the outgoing direction is blocked, so that one-way cuts can be simulated.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._blocked: frozenset[Endpoint] = frozenset()

    def set_blocked(self, endpoints: frozenset[Endpoint]) -> None:
        """Replace the set of blocked endpoints."""
        with self._lock:
            self._blocked = endpoints

    def blocks(self, endpoint: Endpoint) -> bool:
        """Return whether ``endpoint`` is blocked."""
        return endpoint in self._blocked
