"""Replicas are kept after an outage of the store, and not after an absence of one gateway.

Guards against a gateway that takes its own suspension or partition for an outage.
"""

from __future__ import annotations

import unittest
from unittest import mock

from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.control_messages import QueryStoreReads, StoreReads
from quaymill.process.control import outage_check
from quaymill.process.control.outage_check import OutageCheck
from quaymill.process.control.read_history import MISSING_KEPT_S, OUTAGE_S, ReadHistory
from quaymill.process.jobs.parallel_calls import CallOutcome


def history(*reads_at: float, known_since: float = 0.0) -> ReadHistory:
    found = ReadHistory(known_since)
    for at in reads_at:
        found.record_read(at, at)
    return found


class ReadHistoryTest(unittest.TestCase):
    """Times of reads, all counted from the start of the process."""

    @params(
        ("read regularly", (1.0, 2.0, 3.0, 4.0, 5.0), 5.5, False),
        ("never read", (), 5.0, True),
        ("just before the entries may expire", (1.0, 2.0, 5.0, 6.0, 7.0), 2.0 + OUTAGE_S, False),
        ("during an outage", (1.0, 2.0), 2.1 + OUTAGE_S, True),
        ("soon after it", (1.0, 2.0, 8.0), 7.9 + MISSING_KEPT_S, True),
        ("long after it", (1.0, 2.0, 8.0, 9.0, 10.0), 8.1 + MISSING_KEPT_S, False),
    )
    def test_entries_may_have_expired(self, _, reads_at, now, expected) -> None:
        known = history(*(at for at in reads_at if at <= now))
        self.assertEqual(expected, known.may_have_expired(now))

    @params(
        ("read regularly", (1.0, 2.0, 3.0), 3.5, 2.5),
        ("after an outage", (1.0, 2.0, 8.0, 9.0), 9.5, 1.5),
        ("during an outage", (1.0, 2.0), 8.0, 0.0),
        ("never read", (), 8.0, 0.0),
    )
    def test_time_read_without_a_gap(self, _, reads_at, now, expected) -> None:
        self.assertEqual(expected, history(*reads_at).read_for_s(now))

    @params(
        ("since the last read", (1.0, 2.0), 8.0, 6.0),
        ("since the last read before the gap", (1.0, 2.0, 8.0), 9.0, 7.0),
        ("since the start", (8.0,), 9.0, 9.0),
    )
    def test_time_that_is_in_doubt(self, _, reads_at, now, expected) -> None:
        self.assertEqual(expected, history(*reads_at).doubtful_s(now))

    def test_reads_told_late_or_twice_change_nothing(self) -> None:
        known = history(1.0, 2.0, 3.0)
        known.record_read(2.5, 3.1)
        known.record_read(3.0, 3.2)
        self.assertFalse(known.may_have_expired(3.3))
        self.assertEqual(3.0, known.last_read_at)

    def test_dismissed_outage_counts_as_read_throughout(self) -> None:
        known = history(1.0, 2.0, 8.0)
        known.dismiss_outage(8.1)
        self.assertFalse(known.may_have_expired(8.2))
        self.assertAlmostEqual(6.2, known.read_for_s(8.2))


class _Client:
    """Answers for gateways that know of reads for a time, or do not answer (``None``)."""

    def __init__(self, known_s: tuple[float | None, ...]) -> None:
        self.known_s = known_s
        self.asked = 0

    def call_members(self, client, members, message, reply_type, needed, timeout_s) -> CallOutcome:
        self.asked += 1
        replies = [
            (member, StoreReads(self.known_s[member.number]))
            for member in members
            if self.known_s[member.number] is not None
        ]
        return CallOutcome(tuple(replies), False)


class OutageCheckTest(unittest.TestCase):
    """One gateway knew of no read for 6 s; the others know of reads for some time."""

    def check_of(self, *known_s: float | None) -> tuple[OutageCheck, _Client]:
        client = _Client(known_s)
        members = [mock.Mock(number=number) for number in range(len(known_s))]
        for number, member in enumerate(members):
            member.name = f"gateway-{number}"
        self.now = 0.0
        self.enterContext(mock.patch.object(boot_clock, "now", lambda: self.now))
        self.enterContext(mock.patch.object(outage_check, "call_members", client.call_members))
        check = OutageCheck(client, mock.Mock(), lambda: members)
        for self.now in (1.0, 2.0, 3.0, 9.0):
            check.record_read(self.now)
        return check, client

    @params(
        ("one knows of reads throughout", (0.0, 60.0, None), False),
        ("all know of the same gap", (0.5, 0.0, 0.2), True),
        ("they know of a part", (5.9, 5.0, 5.9), True),
        ("nobody answers", (None, None, None), True),
        ("there is nobody", (), True),
    )
    def test_confirmation_by_other_gateways(self, _, known_s, expected) -> None:
        check, _ = self.check_of(*known_s)
        self.assertEqual(expected, check.confirm_may_have_expired())
        self.assertEqual(expected, check.may_have_expired())

    def test_others_are_asked_once_about_one_outage(self) -> None:
        check, client = self.check_of(0.5, 0.0, 0.2)
        for _ in range(3):
            self.assertTrue(check.confirm_may_have_expired())
        self.assertEqual(1, client.asked)
        self.now = 20.0
        self.assertTrue(check.confirm_may_have_expired())
        self.assertEqual(2, client.asked)

    def test_others_are_asked_again_after_no_answer(self) -> None:
        check, client = self.check_of(None, None)
        check.confirm_may_have_expired()
        client.known_s = (60.0, None)
        self.assertFalse(check.confirm_may_have_expired())

    def test_nobody_is_asked_while_the_store_is_read(self) -> None:
        check, client = self.check_of(0.5)
        for self.now in (10.0, 11.0, 12.0):
            check.record_read(self.now)
        self.assertFalse(check.confirm_may_have_expired())
        self.assertEqual(0, client.asked)

    def test_answer_to_another_gateway(self) -> None:
        check, _ = self.check_of()
        self.now = 10.0
        self.assertEqual(StoreReads(1.0), check._answer_query(QueryStoreReads()))
