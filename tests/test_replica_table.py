"""The table of replicas takes newer lists only, and its revision rises with its content.

Guards against gateways that return to old lists or exchange equal lists again and again.
"""

from __future__ import annotations

import unittest

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.process.replica_set.table import ReplicaTable


def entry(name: str, *, draining: bool = False, cold_left_s: float = 0.0) -> ReplicaEntry:
    return ReplicaEntry(name, "engine", Endpoint("127.0.0.1", 1), "zone", 4, draining, cold_left_s)


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
