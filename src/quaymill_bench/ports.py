"""Ports and addresses on loopback for processes that come and go: no two users get the same one.

Each process that asks takes whole blocks of ports. It keeps a socket bound to the first port
of a block while it lives, so that another process asking at the same moment takes another
block; the rest of the block is then free also for a process that is down and will be back.

Addresses of 127.0.0.0/8 follow from the blocks, one network of addresses for each: nodes that
listen on a port which is the same everywhere (that of their metrics) do not meet those of
another run on the same machine.
"""

from __future__ import annotations

import random
import socket
import threading

# Below Linux's range of ephemeral ports, so that an outgoing connection cannot take the port
# of a process that is down and about to come back.
FIRST_PORT = 10_000
LAST_PORT = 32_000
BLOCK_SIZE = 50
LOOPBACK = "127.0.0.1"
NETWORKS_A_BYTE = 250
HOSTS_A_NETWORK = 250


class _PortBlocks:
    """The blocks that this process holds, and the ports of them not given yet."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._random = random.Random()
        self._claims: list[socket.socket] = []
        self._unused: list[int] = []
        self._unused_addresses: list[str] = []

    def take_address(self) -> str:
        with self._lock:
            if not self._unused_addresses:
                self._claim_block()
            return self._unused_addresses.pop(0)

    def take(self) -> int:
        with self._lock:
            while True:
                if not self._unused:
                    self._claim_block()
                port = self._unused.pop(0)
                if _is_free(port):
                    return port

    def _claim_block(self) -> None:
        while True:
            first = self._random.randrange(FIRST_PORT, LAST_PORT - BLOCK_SIZE, BLOCK_SIZE)
            claim = socket.socket()
            try:
                claim.bind((LOOPBACK, first))
            except OSError:
                claim.close()
                continue
            self._claims.append(claim)
            self._unused = list(range(first + 1, first + BLOCK_SIZE))
            high, low = divmod(first // BLOCK_SIZE, NETWORKS_A_BYTE)
            network = f"127.{high + 1}.{low + 1}"
            self._unused_addresses = [f"{network}.{n + 1}" for n in range(HOSTS_A_NETWORK)]
            return


_blocks = _PortBlocks()


def free_port() -> int:
    """Return a port that is free for TCP and UDP on loopback and was not given before."""
    return _blocks.take()


def loopback_address() -> str:
    """Return an address that no other process which asks here was given while it lives."""
    return _blocks.take_address()


def free_ports(count: int) -> list[int]:
    """Return ``count`` different free ports."""
    return [free_port() for _ in range(count)]


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
