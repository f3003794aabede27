"""Starts a role whose connections to its peers lead through proxies.

Every process listens on an address of its own and on the same port. A table of routes, one for
each process that it calls, leads a connection to the proxy of that pair, so that a link can be
disturbed in one direction and for one pair alone. Datagrams of the membership go their own way.
"""

from __future__ import annotations

import json
import os
import socket
import sys
from pathlib import Path
from typing import Any

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


def run() -> int:
    """Run the role named on the command line with the routes of its file."""
    route_connections(json.loads(Path(os.environ[ROUTES_VARIABLE]).read_text()))
    return main()


if __name__ == "__main__":
    sys.exit(run())
