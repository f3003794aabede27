"""Rules by which records of members are merged, spread and compared."""

from __future__ import annotations

import unittest

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member, MemberState
from quaymill.process.membership.dissemination import Dissemination
from quaymill.process.membership.member_table import MemberTable
from quaymill.process.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MemberRecord,
    Notice,
    decode_datagram,
    encode_datagram,
    encoded_size,
)
from quaymill.process.membership.ranking import rank_nodes, reader_nodes

ALIVE, SUSPECT, DRAINING, DEAD = (
    MemberState.ALIVE,
    MemberState.SUSPECT,
    MemberState.DRAINING,
    MemberState.DEAD,
)


def member(name: str = "x", state: MemberState = ALIVE, incarnation: int = 5, **fields) -> Member:
    endpoint = Endpoint("10.0.0.1", 7000)
    return Member(
        name, fields.pop("zone", "a"), "r", endpoint, endpoint, state, incarnation, **fields
    )


class MergeTest(unittest.TestCase):
    """Precedence of two records of a member."""

    def setUp(self):
        self.table = MemberTable(member("self"))

    @params((DEAD, 4, True), (SUSPECT, 4, True), (ALIVE, 4, False), (DRAINING, 4, False))
    def test_failure_report_about_a_former_process_is_answered(self, state, incarnation, answered):
        update = self.table.merge(member("self", state, incarnation))
        self.assertEqual(self.table.local() if answered else None, update)
        self.assertEqual(5, self.table.local().incarnation)

    @params(
        (ALIVE, 5, SUSPECT, 5, SUSPECT),
        (SUSPECT, 5, ALIVE, 5, SUSPECT),
        (SUSPECT, 5, ALIVE, 6, ALIVE),
        (SUSPECT, 5, DEAD, 5, DEAD),
        (DEAD, 5, ALIVE, 5, DEAD),
        (DEAD, 5, SUSPECT, 5, DEAD),
        (DEAD, 5, ALIVE, 6, ALIVE),
        (ALIVE, 6, DEAD, 5, ALIVE),
        (ALIVE, 5, ALIVE, 5, ALIVE),
        (ALIVE, 6, SUSPECT, 5, ALIVE),
        (ALIVE, 5, DRAINING, 6, DRAINING),
        (DRAINING, 6, ALIVE, 5, DRAINING),
        (DRAINING, 6, SUSPECT, 6, SUSPECT),
    )
    def test_record_with_higher_precedence_wins(
        self, known_state, known_incarnation, received_state, received_incarnation, result
    ):
        self.table.merge(member("x", known_state, known_incarnation))
        update = self.table.merge(member("x", received_state, received_incarnation))
        self.assertEqual(self.table.get("x").state, result)
        merged = result == received_state and (known_state, known_incarnation) != (
            received_state,
            received_incarnation,
        )
        self.assertEqual(update is not None, merged)

    @params(
        (SUSPECT, 5, 6), (DEAD, 5, 6), (DEAD, 9, 10), (ALIVE, 9, 10), (ALIVE, 5, 5), (DEAD, 4, 5)
    )
    def test_node_refutes_reports_about_itself(self, state, incarnation, expected_incarnation):
        self.table.merge(member("self", state, incarnation))
        self.assertEqual(self.table.local().state, ALIVE)
        self.assertEqual(self.table.local().incarnation, expected_incarnation)

    def test_draining_node_refutes_and_stays_draining(self):
        self.table.update_local(state=DRAINING, draining=True, incarnation=6)
        self.table.merge(member("self", DEAD, 6))
        local = self.table.local()
        self.assertEqual((local.state, local.draining, local.incarnation), (DRAINING, True, 7))

    def test_suspect_keeps_its_draining_flag(self):
        self.table.merge(member("x", DRAINING, 6, draining=True))
        self.assertTrue(self.table.suspect("x").draining)

    def test_versions_only_rise_within_an_incarnation(self):
        self.table.merge(member("x", configuration_generation=4, machine_list_version=9))
        self.table.merge(member("x", configuration_generation=3, machine_list_version=12))
        self.table.record_versions("x", 5, 2, 2)
        known = self.table.get("x")
        self.assertEqual((known.configuration_generation, known.machine_list_version), (4, 12))
        self.table.record_versions("x", 4, 99, 99)
        self.assertEqual(self.table.get("x").configuration_generation, 4, "an older incarnation")
        self.table.merge(member("x", incarnation=6, configuration_generation=1))
        self.assertEqual(self.table.get("x").configuration_generation, 1, "a newer incarnation")

    def test_suspect_is_marked_dead_only_after_the_suspicion_time(self):
        self.table.merge(member("x"))
        self.table.suspect("x")
        self.assertEqual(self.table.expire_suspects(60.0), [])
        self.table.postpone_suspicions(60.0)
        self.assertEqual(self.table.expire_suspects(0.0), [])
        self.table.postpone_suspicions(-60.0)
        self.assertEqual([record.state for record in self.table.expire_suspects(0.0)], [DEAD])

    def test_digests_differ_only_where_the_tables_differ(self):
        other = MemberTable(member("self"))
        for number in range(50):
            self.table.merge(member(f"n{number}"))
            other.merge(member(f"n{number}"))
        self.assertEqual(self.table.digests(), other.digests())
        other.suspect("n7")
        pairs = zip(self.table.digests(), other.digests(), strict=True)
        differing = frozenset(n for n, (left, right) in enumerate(pairs) if left != right)
        self.assertEqual(len(differing), 1)
        self.assertIn("n7", [record.name for record in other.in_buckets(differing)])


class DisseminationTest(unittest.TestCase):
    """Records are sent in a bounded number of datagrams of bounded size."""

    def test_record_is_sent_a_bounded_number_of_times(self):
        updates = Dissemination()
        updates.add(member())
        sent = sum(len(updates.take_records(1000, members=330)) for _ in range(1000))
        self.assertEqual(sent, 27)

    def test_records_fill_a_datagram_without_exceeding_it(self):
        updates = Dissemination()
        for number in range(300):
            updates.add(member(f"node-{number}"))
        notice = Notice("node-1", 5)
        selected = updates.take_records(MAX_DATAGRAM_BYTES - len(encode_datagram(notice)), 300)
        notice.records = tuple(MemberRecord.of(record) for record in selected)
        self.assertEqual([record.member() for record in notice.records], selected)
        self.assertGreater(len(notice.records), 2)
        self.assertLessEqual(len(encode_datagram(notice)), MAX_DATAGRAM_BYTES)
        self.assertEqual(decode_datagram(encode_datagram(notice)), notice)

    def test_newer_record_of_a_member_replaces_the_older(self):
        updates = Dissemination()
        updates.add(member(state=SUSPECT))
        updates.add(member(state=DEAD))
        self.assertEqual([record.state for record in updates.take_records(10_000, 10)], [DEAD])

    @params(b"", b"\n", b"{}", b"[1]", b'{"kind":"Probe"}', b"\xff\xfe", b'{"kind":"Nonsense"}\n')
    def test_invalid_line_is_decoded_as_none(self, line):
        self.assertIsNone(decode_datagram(line))

    def test_record_of_long_names_fits(self):
        record = member("n" * 100, zone="z" * 100)
        self.assertLess(encoded_size(record), MAX_DATAGRAM_BYTES / 2)


class RankingTest(unittest.TestCase):
    """Nodes that know the same members rank them equally."""

    def test_given_zone_ranks_first_and_removed_member_moves_only_its_own_keys(self):
        members = [member(f"n{number}", zone="ab"[number % 2]) for number in range(20)]
        ranked = rank_nodes("key", members, "b")
        self.assertEqual({m.zone for m in ranked[:10]}, {"b"})
        self.assertEqual(ranked, rank_nodes("key", reversed(members), "b"))
        keys = [f"key-{number}" for number in range(200)]
        first = {key: rank_nodes(key, members)[0].name for key in keys}
        fewer = [m for m in members if m.name != "n3"]
        moved = [key for key in keys if rank_nodes(key, fewer)[0].name != first[key]]
        self.assertEqual(moved, [key for key in keys if first[key] == "n3"])

    def test_reader_nodes_are_two_of_the_zone(self):
        members = [member(f"n{number}", zone="ab"[number % 2]) for number in range(20)]
        self.assertEqual([m.zone for m in reader_nodes(members, "a")], ["a", "a"])
        self.assertEqual(reader_nodes(members, "c"), ())
