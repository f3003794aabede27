"""Starts a role whose connections to its peers lead through proxies, with a clock of its own.

Every process listens on an address of its own and on the same port. A table of routes, one for
each process that it calls, leads a connection to the proxy of that pair, so that a link can be
disturbed in one direction and for one pair alone. Datagrams of the membership go their own way.
"""

from __future__ import annotations

import json
import os
import socket
import struct
import sys
from pathlib import Path
from typing import Any

from quaymill import boot_clock
from quaymill.platform.main import main

ROUTES_VARIABLE = "QUAYMILL_SOAK_ROUTES"
"""Names a JSON file: ``{"ADDRESS:PORT": [ADDRESS, PORT]}``."""


def route_connections(routes: dict[str, list[Any]]) -> None:
    """Lead connections to the addresses in a table elsewhere, from now on."""
    create_connection = socket.create_connection

    def routed(address: tuple[str, int], *arguments: Any, **keywords: Any) -> socket.socket:
        host, port = address[:2]
        target = routes.get(f"{host}:{port}", address)
        return create_connection(tuple(target), *arguments, **keywords)

    socket.create_connection = routed


ADDRESS_VARIABLE = "QUAYMILL_SOAK_ADDRESS"
"""The loopback address from which the process connects; any one if not set."""


def connect_from(address: str) -> None:
    """Have TCP connections on loopback come from an address, so that others see who connects."""
    connect = socket.socket.connect

    def connect_bound(self: socket.socket, target: Any) -> None:
        is_tcp = self.family == socket.AF_INET and self.type == socket.SOCK_STREAM
        if is_tcp and target[0].startswith("127.") and not self.getsockname()[1]:
            self.bind((address, 0))
        connect(self, target)

    socket.socket.connect = connect_bound


CLOCK_VARIABLE = "QUAYMILL_SOAK_CLOCK"
"""Names a file with the seconds by which the boot clock is ahead of the machine's."""
_LEAD = struct.Struct("d")


def write_clock_lead(file: Path, seconds: float) -> None:
    """Say how far a process's boot clock is ahead; what runs now takes it up at once."""
    descriptor = os.open(file, os.O_WRONLY | os.O_CREAT, 0o600)
    try:
        os.pwrite(descriptor, _LEAD.pack(seconds), 0)
    finally:
        os.close(descriptor)


def lead_clock(file: Path) -> None:
    """Let this process's boot clock run ahead of the machine's as a file says, from now on."""
    descriptor = os.open(file, os.O_RDONLY)
    now, suspended_s = boot_clock.now, boot_clock.suspended_s

    def lead_s() -> float:
        return _LEAD.unpack(os.pread(descriptor, _LEAD.size, 0))[0]

    boot_clock.now = lambda: now() + lead_s()
    boot_clock.suspended_s = lambda: suspended_s() + lead_s()


def run() -> int:
    """Run the role named on the command line with the routes and the clock of its files."""
    lead_clock(Path(os.environ[CLOCK_VARIABLE]))
    if ADDRESS_VARIABLE in os.environ:
        connect_from(os.environ[ADDRESS_VARIABLE])
    route_connections(json.loads(Path(os.environ[ROUTES_VARIABLE]).read_text()))
    return main()


if __name__ == "__main__":
    sys.exit(run())
