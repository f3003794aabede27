"""The table of replicas takes newer lists only, and its revision rises with its content.

Guards against gateways that return to old lists or exchange equal lists again and again.
"""

from __future__ import annotations

import unittest

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.process.replica_set.table import ReplicaTable


def entry(
    name: str, *, draining: bool = False, cold_left_s: float = 0.0, revision: int = 0
) -> ReplicaEntry:
    address = Endpoint("127.0.0.1", 1)
    return ReplicaEntry(
        name, "engine", address, "zone", 4, draining, cold_left_s, revision=revision
    )


A, B = entry("a"), entry("b")


class TableTest(unittest.TestCase):
    """Lists from the store and from other gateways, in any order."""

    @params(
        ("same content", ((A, B), 10), ((A, B), 20), {"a", "b"}, 10),
        ("only warmer", ((A,), 10), ((entry("a", cold_left_s=1.0),), 20), {"a"}, 10),
        ("one gone", ((A, B), 10), ((A,), 20), {"a"}, 20),
        ("one draining", ((A,), 10), ((entry("a", draining=True),), 20), {"a"}, 20),
        ("an older list", ((A, B), 20), ((A,), 10), {"a", "b"}, 20),
        ("an empty list", ((A,), 10), ((), 20), set(), 20),
    )
    def test_second_list(self, _, first, second, names, revision):
        table = ReplicaTable()
        table.replace_all(*first)
        table.replace_all(*second)
        self.assertEqual(names, {one.id for one in table.entries()})
        self.assertEqual(revision, table.revision)

    def test_missing_replicas_are_kept_only_if_requested(self):
        table = ReplicaTable()
        table.replace_all((A, B), 10)
        warm = entry("a", cold_left_s=1.0)
        self.assertEqual(1, table.replace_all((warm,), 20, keep_missing=True))
        self.assertEqual({"a", "b"}, {one.id for one in table.entries()})
        self.assertEqual(0, table.replace_all((warm,), 30))
        self.assertEqual({"a"}, {one.id for one in table.entries()})
        self.assertEqual(30, table.revision)

    def test_departed_replica_is_not_kept(self):
        table = ReplicaTable()
        table.replace_all((A, B), 10)
        table.replace_all((A,), 20)
        self.assertEqual(0, table.replace_all((A,), 30, keep_missing=True))
        self.assertTrue(table.get("b").leaving)

    def test_older_list_of_another_gateway_raises_the_revision_above_it(self):
        table = ReplicaTable()
        table.replace_all((A, B), 10)
        table.replace_all((A, B), 30)
        table.replace_all((A,), 20)
        self.assertEqual({"a", "b"}, {one.id for one in table.entries()})
        self.assertEqual(30, table.revision)

    def test_same_content_at_a_newer_revision_is_requested_once(self):
        table = ReplicaTable()
        table.replace_all((A, B), 10)
        table.replace_from_peer((B, A), 20)
        self.assertEqual({"a", "b"}, {one.id for one in table.entries()})
        self.assertEqual(20, table.revision)

    def test_returning_entry_keeps_its_state(self):
        table = ReplicaTable()
        table.replace_all((A,), 10)
        replica = table.get("a")
        table.replace_all((), 20)
        self.assertTrue(replica.leaving)
        table.replace_all((A,), 30)
        self.assertIs(replica, table.get("a"))
        self.assertFalse(replica.leaving)


class OutdatedEntryTest(unittest.TestCase):
    """Lists of other gateways hold entries that are older than what is known here."""

    @params(
        ("missing in a newer list", (), entry("a", revision=5), False),
        ("written after that list", (), entry("a", revision=25), True),
        ("of an older build, which does not tell", (), entry("a"), True),
        (
            "draining since",
            (entry("a", draining=True, revision=15),),
            entry("a", revision=5),
            False,
        ),
        ("ready since", (entry("a", revision=15),), entry("a", draining=True, revision=5), True),
        (
            "draining, of an older build",
            (entry("a", revision=5),),
            entry("a", draining=True),
            False,
        ),
        ("draining before", (entry("a", draining=True, revision=15),), entry("a"), False),
        ("ready again", (entry("a", draining=True, revision=15),), entry("a", revision=25), True),
    )
    def test_replica_gets_requests_after_the_list_of_a_peer(
        self, _, known, received, expected
    ) -> None:
        table = ReplicaTable()
        table.replace_all((entry("a", revision=5), B), 10)
        table.replace_all((*known, B), 20)
        table.replace_from_peer((received, B), 30, "peer")
        self.assertEqual(expected, not table.get("a").leaving)
        self.assertEqual(30, table.revision)

    def test_new_gateway_takes_all_entries_of_a_peer(self) -> None:
        table = ReplicaTable()
        table.replace_from_peer((entry("a", revision=5), entry("b", revision=7)), 10, "peer")
        self.assertEqual({"a", "b"}, {one.id for one in table.entries()})

    def test_entry_unchanged_since_it_returned_is_taken_by_others(self) -> None:
        """Guards against a revision from before an entry expired, which others take as outdated."""
        reader, other = ReplicaTable(), ReplicaTable()
        reader.replace_all((entry("a", revision=5), B), 10)
        other.replace_all((B,), 20)
        reader.replace_all((entry("a", revision=25), B), 30)
        other.replace_from_peer(reader.shared_entries(), 30, "reader")
        self.assertFalse(other.get("a").leaving)


class PresumedReplicaTest(unittest.TestCase):
    """Replicas missing in a list after an outage are used here and not passed on."""

    def setUp(self) -> None:
        self.table = ReplicaTable()
        self.table.replace_all((entry("a", revision=5), B), 10)
        self.table.replace_all((B,), 20, keep_missing=True)
        self.replica = self.table.get("a")

    def test_presumed_replica_is_used_and_not_shared(self) -> None:
        self.assertFalse(self.replica.leaving)
        self.assertEqual({"b"}, {one.id for one in self.table.shared_entries()})
        self.assertEqual(20, self.table.revision)

    def test_it_departs_unless_its_entry_returns(self) -> None:
        self.table.drop_presumed()
        self.assertTrue(self.replica.leaving)
        self.assertFalse(self.table.get("b").leaving)

    @params(
        ("store", ReplicaTable.replace_all),
        ("peer", ReplicaTable.replace_from_peer),
    )
    def test_it_is_listed_once_its_entry_returns(self, _, replace) -> None:
        replace(self.table, (entry("a", revision=25), B), 30)
        self.table.drop_presumed()
        self.assertFalse(self.replica.leaving)
        self.assertEqual({"a", "b"}, {one.id for one in self.table.shared_entries()})
        self.assertEqual(30, self.table.revision)

    def test_outdated_entry_of_a_peer_does_not_list_it(self) -> None:
        self.table.replace_from_peer((entry("a", revision=5), B), 30, "peer", keep_missing=True)
        self.assertFalse(self.replica.leaving)
        self.assertEqual({"b"}, {one.id for one in self.table.shared_entries()})
        self.table.drop_presumed()
        self.assertTrue(self.replica.leaving)

    def test_gateway_that_saw_no_outage_drops_it(self) -> None:
        other = ReplicaTable()
        other.replace_all((entry("a", revision=5), B), 10)
        other.replace_from_peer(self.table.shared_entries(), self.table.revision, "peer")
        self.assertTrue(other.get("a").leaving)
