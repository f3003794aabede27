"""A confirmation that waited while the process was paused does not count as fresh.

Guards against a gateway that wakes, takes an old confirmation of its list for a new one and passes
it on, so that nobody reads the store.
"""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Iterator
from unittest import mock

import msgspec
from nose2.tools import params

from fleet_rig import wait_until
from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.process.membership.member_socket import MemberSocket
from quaymill.process.membership.membership import Membership
from quaymill.process.membership.messages import Datagram, Notice
from quaymill_bench.ports import free_port
from test_membership_faults import HEADER_FIELDS, settings_for

PAUSE_S = 5.0


class DelayedDatagramTest(unittest.TestCase):
    """Datagrams that one socket receives before and after a pause of its process."""

    def setUp(self) -> None:
        self.times: Iterator[float] = itertools.repeat(0.0)
        self.enterContext(mock.patch.object(boot_clock, "now", lambda: next(self.times)))
        self.received: list[tuple[int, bool]] = []
        self.endpoint = Endpoint("127.0.0.1", free_port())
        self.socket = MemberSocket(self.endpoint, LinkFilter())
        self.addCleanup(self.socket.stop)

    def receive(self, datagram: Datagram, source: Endpoint, delayed: bool) -> None:
        self.received.append((datagram.machines, delayed))

    def send(self, *numbers: int) -> None:
        for number in numbers:
            notice = Notice(**(HEADER_FIELDS | {"machines": number}))
            self.socket.send(self.endpoint, notice)

    def wait_received(self, *expected: tuple[int, bool]) -> None:
        wait_until(lambda: len(self.received) >= len(expected), "all datagrams are received")
        self.assertEqual(list(expected), self.received)

    def test_datagrams_that_waited_are_marked(self) -> None:
        self.send(1, 2, 3)
        # The pause ends as the thread begins to receive.
        self.times = itertools.chain((0.0,), itertools.repeat(PAUSE_S))
        self.socket.start(self.receive)
        self.wait_received((1, True), (2, True), (3, True))
        self.send(4)
        self.wait_received((1, True), (2, True), (3, True), (4, False))

    def test_datagrams_are_not_marked_without_a_pause(self) -> None:
        self.socket.start(self.receive)
        self.send(1, 2)
        self.wait_received((1, False), (2, False))


class ConfirmationTest(unittest.TestCase):
    """The listener of confirmations is not called with one that waited."""

    @params((False, 1), (True, 0))
    def test_confirmation_of_a_datagram(self, delayed: bool, confirmations: int) -> None:
        membership = Membership(settings_for("own", "a", 1))
        self.addCleanup(membership.stop)
        listener = mock.Mock()
        membership.on_confirmation(listener)
        notice = Notice(**HEADER_FIELDS)
        notice = msgspec.structs.replace(notice, confirmed_ms_ago=10)
        membership._handle(notice, Endpoint("127.0.0.1", 1), delayed)
        self.assertEqual(confirmations, listener.call_count)
