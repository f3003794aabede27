"""Sockets whose descriptors are too high for ``select.select``."""

from __future__ import annotations

import fcntl
import resource
import socket
import unittest

from quaymill.connection.readable import is_readable
from quaymill.connection.replica_connection import Exchange

HIGH_DESCRIPTOR = 1500


class HighDescriptorTest(unittest.TestCase):
    """A descriptor above 1023, as in a gateway with more than a thousand connections."""

    def setUp(self) -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft != resource.RLIM_INFINITY and soft <= HIGH_DESCRIPTOR:
            resource.setrlimit(resource.RLIMIT_NOFILE, (HIGH_DESCRIPTOR + 64, hard))
            self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
        low, self.peer_socket = socket.socketpair()
        self.addCleanup(self.peer_socket.close)
        with low:
            descriptor = fcntl.fcntl(low.fileno(), fcntl.F_DUPFD, HIGH_DESCRIPTOR)
        self.connection = socket.socket(fileno=descriptor)
        self.addCleanup(self.connection.close)

    def test_waits_for_data(self) -> None:
        self.assertFalse(is_readable(self.connection, 0.01))
        self.peer_socket.sendall(b"x")
        self.assertTrue(is_readable(self.connection, 1.0))

    def test_end_of_stream_is_readable(self) -> None:
        self.peer_socket.close()
        self.assertTrue(is_readable(self.connection, 1.0))

    def test_closed_socket_is_readable(self) -> None:
        self.connection.close()
        self.assertTrue(is_readable(self.connection, 0.0))

    def test_exchange_waits_on_a_high_descriptor(self) -> None:
        exchange = Exchange.__new__(Exchange)
        exchange._socket = self.connection
        self.peer_socket.sendall(b"HTTP/1.1 200 OK")
        self.assertTrue(exchange.wait_readable(1.0))
