"""Which disk nodes carry which groups."""

from __future__ import annotations

import unittest
from collections import Counter
from unittest import mock

from msgspec.structs import replace
from nose2.tools import params

from job_store_cluster import TEST_TIMING, Caller, Cluster, wait_until
from quaymill.connection import job_messages as m
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.process.job_store import placement
from quaymill.process.job_store.placement import nodes_by_preference

ENDPOINT = Endpoint("127.0.0.1", 1)


def members(zones, has_disk=True):
    return [
        Member(f"node-{n}", zone, "r", ENDPOINT, ENDPOINT, has_disk=has_disk)
        for n, zone in enumerate(zones)
    ]


class PreferenceTest(unittest.TestCase):
    """The order of nodes, without processes."""

    @params(("three zones", "aabbcc", 3), ("two zones", "aaabbb", 2), ("one zone", "aaaa", 1))
    def test_replicas_stand_in_as_many_zones_as_there_are(self, _, zones, expected):
        for group in range(50):
            chosen = nodes_by_preference(group, members(zones))[:3]
            self.assertEqual(3, len({node.name for node in chosen}))
            self.assertEqual(expected, len({node.zone for node in chosen}))

    def test_nodes_without_a_disk_carry_nothing(self):
        self.assertEqual((), nodes_by_preference(0, members("abc", has_disk=False)))

    def test_groups_spread_and_a_lost_node_moves_only_its_own(self):
        nodes = members("abc" * 10)
        before = {group: nodes_by_preference(group, nodes)[:3] for group in range(300)}
        load = Counter(node.name for chosen in before.values() for node in chosen)
        self.assertEqual(30, len(load))
        self.assertLess(max(load.values()), 60)  # 30 on average.
        lost = nodes[4]
        for group, chosen in before.items():
            after = nodes_by_preference(group, [node for node in nodes if node is not lost])[:3]
            self.assertTrue({node for node in chosen if node is not lost} <= set(after))
            self.assertEqual(lost in chosen, set(after) != set(chosen))


class NeedlessReplicaTest(unittest.TestCase):
    """A node that opened a group which it turns out not to belong to."""

    def test_it_is_closed_and_removed(self):
        with mock.patch.object(placement, "CLOSE_INTERVAL_S", 0.2):
            cluster = Cluster("abcde", "xxyyz")
            self.addCleanup(cluster.close)
            cluster.leader()
            outside = next(node for node in cluster.nodes.values() if not node.service.groups)
            outside.service._open_group(0)
            wait_until(lambda: not outside.service.groups, "the needless replica is closed")
            wait_until(lambda: not list(outside.folder.glob("*.sqlite3")), "its file is removed")
        Caller(cluster.client).job(3)


class ManyGroupsTest(unittest.TestCase):
    """Five disk nodes in three zones carry four groups."""

    def test_each_group_is_carried_by_three_and_answers(self):
        groups = 4
        cluster = Cluster("abcde", "xxyyz", log_settings=replace(TEST_TIMING, groups=groups))
        self.addCleanup(cluster.close)
        caller = Caller(cluster.client)
        for group in range(groups):
            created = caller.ask(m.CreateFile(group, f"f{group}", "t", "n"), m.Accepted)
            self.assertEqual(m.Accepted(f"f{group}"), created)
        used = {cluster.client.group_of(f"key-{n}") for n in range(100)}
        self.assertEqual(set(range(groups)), used)

        def voters():
            replicas = [
                g.replica for x in cluster.nodes.values() for g in x.service.groups.values()
            ]
            return {len(r.membership.voters) for r in replicas if r.membership}

        wait_until(lambda: voters() == {3}, "each group has three voters")
