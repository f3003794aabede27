"""Nodes discover each other and detect failures, with network and process faults."""

from __future__ import annotations

import random
import signal
import socket
import subprocess
import sys
import time
import unittest
from pathlib import Path
from unittest import mock

import msgspec

from fleet_support import eventually, settings_for
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.member import Member, MemberState
from quaymill.process.membership.failure_detector import (
    MAX_TIMEOUT_FACTOR,
    TIMEOUT_FACTOR_GROWTH,
    FailureDetector,
)
from quaymill.process.membership.member_socket import MemberSocket, Receiver
from quaymill.process.membership.member_table import MemberTable
from quaymill.process.membership.membership import Membership
from quaymill.process.membership.messages import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    MemberRecord,
    Notice,
    Probe,
    ProbeReply,
    decode_datagram,
    encode_datagram,
)
from quaymill.process.settings import MembershipSettings

PROGRAM = Path(__file__).with_name("control_node_process.py")
HEADER_FIELDS = {
    "sender": "own",
    "incarnation": 1,
    "generation": 0,
    "machines": 0,
    "confirmed_ms_ago": -1,
}
"""Fields of every datagram."""


def live_member(name: str) -> Member:
    """Return the record of a live member."""
    return Member(
        name=name,
        zone="a",
        region="r",
        peer=Endpoint("127.0.0.1", 1),
        http=Endpoint("127.0.0.1", 2),
        incarnation=1,
        process_id="p",
    )


def forty_members() -> list[Membership]:
    """Return forty members in four zones, not started, with the first one as their seed."""
    seed = settings_for("m0", "a", 1)
    settings = [seed] + [
        settings_for(f"m{index}", "abcd"[index % 4], 1, (seed.peer_endpoint,))
        for index in range(1, 40)
    ]
    return [Membership(each) for each in settings]


class FiveMembersCase(unittest.TestCase):
    """Five members that have discovered each other through the first."""

    def setUp(self):
        self.settings = []
        seeds: tuple[Endpoint, ...] = ()
        for index in range(5):
            self.settings.append(settings_for(f"n{index}", "ab"[index % 2], 1, seeds))
            seeds = seeds or (self.settings[0].peer_endpoint,)
        self.link_filters = [LinkFilter() for _ in self.settings]
        self.members: list[Membership] = []
        for index in range(5):
            self.members.append(self.start(index))
        self.expect_live(range(5))

    def start(self, index: int) -> Membership:
        membership = Membership(self.settings[index], self.link_filters[index])
        membership.start()
        self.addCleanup(membership.stop)
        return membership

    def block(self, index: int, *targets: int) -> None:
        """Block datagrams from one node to others, in this direction only."""
        endpoints = frozenset(self.settings[target].peer_endpoint for target in targets)
        self.link_filters[index].set_blocked(endpoints)

    def live_of(self, index: int) -> set[str]:
        return {member.name for member in self.members[index].live()}

    def expect_live(self, indexes, seen_by=None) -> None:
        names = {f"n{index}" for index in indexes}
        seen_by = list(indexes if seen_by is None else seen_by)
        eventually(
            lambda: all(self.live_of(index) == names for index in seen_by),
            why=f"{names} for {seen_by}: {[self.live_of(index) for index in seen_by]}",
        )

    def state_of(self, name: str, seen_by: int) -> MemberState:
        return next(m.state for m in self.members[seen_by].members() if m.name == name)


class LossTest(FiveMembersCase):
    """Members stop, restart, drain and freeze."""

    def test_stopped_member_is_marked_dead_and_returns_after_a_restart(self):
        self.members[3].stop()
        self.expect_live((0, 1, 2, 4))
        incarnation = self.members[3].local().incarnation
        self.members[3] = self.start(3)
        self.expect_live(range(5))
        self.assertGreater(self.members[3].local().incarnation, incarnation)

    def test_restart_with_a_lower_incarnation_is_live_again_after_refutation(self):
        self.members[3].stop()
        self.expect_live((0, 1, 2, 4))
        restarted = Membership(self.settings[3], self.link_filters[3])
        restarted._table.update_local(incarnation=1)
        self.addCleanup(restarted.stop)
        restarted.start()
        self.members[3] = restarted
        self.expect_live(range(5))

    def test_member_rejoins_while_its_seed_is_dead(self):
        self.members[0].stop()
        self.members[4].stop()
        self.expect_live((1, 2, 3))
        self.members[4] = self.start(4)
        self.expect_live((1, 2, 3, 4))

    def test_draining_member_is_not_live_and_dead_after_its_stop(self):
        self.members[2].announce_draining()
        self.expect_live((0, 1, 3, 4), seen_by=range(5))
        eventually(lambda: self.state_of("n2", 0) is MemberState.DRAINING)
        self.members[2].stop()
        eventually(lambda: self.state_of("n2", 0) is MemberState.DEAD)
        self.expect_live((0, 1, 3, 4))

    def test_frozen_process_is_marked_dead_and_returns_without_suspecting_others(self):
        settings = settings_for("frozen", "a", 1, (self.settings[0].peer_endpoint,))
        process = subprocess.Popen(
            [sys.executable, str(PROGRAM), msgspec.json.encode(settings).decode()],
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        all_but_frozen = {f"n{index}" for index in range(5)}
        eventually(lambda: all(len(self.live_of(index)) == 6 for index in range(5)), 20.0)
        process.send_signal(signal.SIGSTOP)
        eventually(lambda: all(self.live_of(index) == all_but_frozen for index in range(5)))
        incarnations = [member.local().incarnation for member in self.members]
        process.send_signal(signal.SIGCONT)
        eventually(lambda: all(len(self.live_of(index)) == 6 for index in range(5)))
        self.assertEqual(incarnations, [member.local().incarnation for member in self.members])


class LinkTest(FiveMembersCase):
    """Links are blocked, in one direction or both."""

    def assert_nobody_is_suspected(self) -> None:
        """Expect that nobody is suspected or marked dead during several suspicion times."""
        incarnations = [member.local().incarnation for member in self.members]
        sent_before = [member.traffic.sent_datagrams for member in self.members]
        eventually(
            lambda: all(
                member.traffic.sent_datagrams > before + 60
                for member, before in zip(self.members, sent_before, strict=True)
            ),
            why="probes continue",
        )
        for index in range(5):
            self.assertEqual(self.live_of(index), {f"n{number}" for number in range(5)})
        refuted = [member.local().incarnation for member in self.members]
        self.assertEqual(refuted, incarnations, "no suspicion had to be refuted")

    def test_one_way_cut_marks_nobody_dead(self):
        self.block(0, 1, 2)
        self.assert_nobody_is_suspected()

    def test_cut_between_two_nodes_in_both_directions_marks_nobody_dead(self):
        self.block(0, 1)
        self.block(1, 0)
        self.assert_nobody_is_suspected()

    def test_partition_is_detected_on_both_sides_and_heals(self):
        for index in (0, 1):
            self.block(index, 2, 3, 4)
        for index in (2, 3, 4):
            self.block(index, 0, 1)
        self.expect_live((0, 1))
        self.expect_live((2, 3, 4))
        self.members[4].publish(configuration_generation=7)
        for index in range(5):
            self.block(index)
        self.expect_live(range(5))
        eventually(
            lambda: all(
                member.configuration_generation == 7
                for membership in self.members
                for member in membership.members()
                if member.name == "n4"
            )
        )

    def test_node_that_cannot_send_is_marked_dead(self):
        self.block(0, 1, 2, 3, 4)
        self.expect_live((1, 2, 3, 4))

    def test_invalid_datagrams_and_unknown_senders_are_tolerated(self):
        with socket.socket(type=socket.SOCK_DGRAM) as unknown_sender:
            for line in (b"", b"nonsense", b"{}", encode_datagram(Notice("nobody", 1))):
                unknown_sender.sendto(line, ("127.0.0.1", self.settings[0].peer_port))
        self.members[1].stop()
        self.expect_live((0, 2, 3, 4))


class DeadSenderTest(FiveMembersCase):
    """A node that is marked as dead but sends receives its record, so that it can refute it."""

    def test_dead_sender_receives_its_record(self):
        first = self.settings[0].peer_endpoint
        with socket.socket(type=socket.SOCK_DGRAM) as dead_node_socket:
            dead_node_socket.bind(("127.0.0.1", 0))
            dead_node_socket.settimeout(5.0)
            endpoint = Endpoint(*dead_node_socket.getsockname())
            dead = Member("n9", "a", "r", endpoint, endpoint, MemberState.DEAD, incarnation=5)
            death_notice = Notice("n1", self.members[1].local().incarnation)
            death_notice.records = (MemberRecord.of(dead),)
            dead_node_socket.sendto(encode_datagram(death_notice), (first.host, first.port))
            dead_node_socket.sendto(encode_datagram(Notice("n9", 5)), (first.host, first.port))
            answer = decode_datagram(dead_node_socket.recv(65536))
        self.assertIn(MemberRecord.of(dead), answer.records)


class SlowFleetTest(unittest.TestCase):
    """Forty members on busy processors.

    Guards against a state in which late replies cause suspicions, the datagrams about these delay
    further replies, and members that are alive stay marked as dead.
    """

    def test_slow_members_are_all_seen_alive_in_the_end(self):
        members = forty_members()
        with mock.patch.object(MemberSocket, "start", _start_with_delay):
            for membership in members:
                self.addCleanup(membership.stop)
                membership.start()
        eventually(
            lambda: all(len(each.live()) == 40 for each in members),
            40.0,
            "all members see all others as live",
        )


def _start_with_delay(member_socket: MemberSocket, receiver: Receiver) -> None:
    """Start a socket that takes 10 ms longer for each received datagram."""

    def receive(datagram: Datagram, source: Endpoint, delayed: bool) -> None:
        time.sleep(0.01)
        receiver(datagram, source, delayed)

    START_SOCKET(member_socket, receive)


START_SOCKET = MemberSocket.start


class TimeoutFactorTest(unittest.TestCase):
    """Timeouts are extended after late replies; tested without a network."""

    def setUp(self):
        self.sent: list[Datagram] = []
        local = live_member("own")
        self.table = MemberTable(local)
        self.table.merge(live_member("other"))
        self.detector = FailureDetector(
            self.table,
            MembershipSettings(probe_interval_s=0.04, probe_timeout_s=0.02, suspicion_s=0.2),
            lambda target, datagram, first_records: self.sent.append(datagram),
            lambda: HEADER_FIELDS,
            random.Random(1),
        )

    def reply_to_last(self) -> None:
        probe = next(one for one in reversed(self.sent) if isinstance(one, Probe))
        self.detector.on_reply(
            ProbeReply(**HEADER_FIELDS, sequence=probe.sequence, subject="other")
        )

    def test_only_a_late_reply_extends_timeouts(self):
        self.assertIsNotNone(self.detector.probe_next())
        self.assertEqual(self.detector.timeout_factor, 1.0, "no reply changes nothing")
        self.reply_to_last()
        self.assertEqual(self.detector.timeout_factor, TIMEOUT_FACTOR_GROWTH)
        self.reply_to_last()
        self.assertEqual(
            self.detector.timeout_factor, TIMEOUT_FACTOR_GROWTH, "each probe counts once"
        )

    def test_timeout_factor_is_bounded_and_decays_with_early_replies(self):
        for _ in range(6):
            self.detector.probe_next()
            self.reply_to_last()
        self.assertEqual(self.detector.timeout_factor, MAX_TIMEOUT_FACTOR)
        self.detector._send = self.reply_at_once
        for _ in range(20):
            self.assertIsNone(self.detector.probe_next())
        self.assertEqual(self.detector.timeout_factor, 1.0)

    def reply_at_once(self, target, datagram, first_records) -> None:
        self.sent.append(datagram)
        if isinstance(datagram, Probe):
            self.reply_to_last()


class CorrectionTest(unittest.TestCase):
    """Two nodes that mark each other as dead do not exchange notices without end."""

    def test_dead_sender_is_notified_once_per_probe_interval(self):
        membership = Membership(settings_for("own", "a", 1))
        self.addCleanup(membership.stop)
        other = msgspec.structs.replace(live_member("other"), state=MemberState.DEAD)
        membership._table.merge(other)
        sent = []
        membership._socket.send = lambda target, datagram: sent.append(datagram)
        notice = Notice(**(HEADER_FIELDS | {"sender": "other"}))
        for _ in range(50):
            membership._handle(notice, other.peer)
        self.assertEqual(len(sent), 1)


class RestartTest(unittest.TestCase):
    """A restarted member becomes live for all nodes that marked its former process as dead.

    Guards against a member that ignores reports about its former process and so stays unknown to
    their senders until they contact dead members or make a comparison.
    """

    def test_member_whose_former_process_is_reported_dead_spreads_its_record(self):
        timing = MembershipSettings(
            probe_interval_s=0.1, probe_timeout_s=0.05, suspicion_s=0.3, rejoin_interval_s=600.0
        )
        first = msgspec.structs.replace(settings_for("first", "a", 1), membership=timing)
        seeds = (str(first.peer_endpoint),)
        second = msgspec.structs.replace(
            settings_for("second", "a", 1), seeds=seeds, membership=timing
        )
        members = [Membership(first), Membership(second)]
        for membership in members:
            self.addCleanup(membership.stop)
        former = msgspec.structs.replace(
            members[1].local(), state=MemberState.DEAD, incarnation=1, process_id="former"
        )
        members[0]._table.merge(former)
        for membership in members:
            # No node contacts dead members or starts a comparison.
            membership._synchronisation.begin = lambda target: None
            membership.start()
        members[1]._table.merge(members[0].local())
        eventually(
            lambda: {member.name for member in members[0].live()} == {"first", "second"},
            5.0,
            "the first member sees the second's new process as live",
        )


class LargeFleetTest(unittest.TestCase):
    """Forty members in one process."""

    def test_all_discover_each_other_with_small_datagrams(self):
        members = forty_members()
        for membership in members:
            self.addCleanup(membership.stop)
            membership.start()
        eventually(lambda: all(len(each.live()) == 40 for each in members), 20.0)
        for membership in members:
            traffic = membership.traffic
            mean = traffic.sent_bytes / traffic.sent_datagrams
            self.assertLess(mean, MAX_DATAGRAM_BYTES)
        members[7].publish(configuration_generation=9)
        eventually(
            lambda: (
                sum(
                    any(m.configuration_generation == 9 for m in each.members()) for each in members
                )
                >= 5
            ),
            why="some receive it at once",
        )
