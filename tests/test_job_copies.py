"""Copies of a job must survive the loss of a zone, and jobs must still be acknowledged in time."""

from __future__ import annotations

import tempfile
import threading
import time
import unittest
from collections import Counter
from pathlib import Path
from unittest import mock

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_document import Job, JobDocument, JobItem
from quaymill.connection.job_storage_messages import JobStored
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerNoReply, PeerRefusal
from quaymill.process.job_copies import CopyRules
from quaymill.process.jobs import storage_client as storage_client_module
from quaymill.process.jobs.storage_client import JobStorageClient, NotStored, Stored
from quaymill.process.membership.ranking import rank_across_zones, rank_nodes
from quaymill.process.serving_settings import (
    ServingRole,
    ServingSettings,
    load_serving_settings,
)
from quaymill.process.settings import SettingsError

KEYS = [f"job-{number}" for number in range(400)]
ACCEPTED_WITHIN_S = 0.8
"""Time within which a client must learn that its job is accepted."""


def nodes(**sizes: int) -> list[Member]:
    """Return storage nodes; ``sizes`` gives their number by zone."""
    endpoint = Endpoint("127.0.0.1", 1)
    return [
        Member(f"{zone}{index}", zone, "r", Endpoint(f"{zone}{index}", 1), endpoint, has_disk=True)
        for zone, size in sizes.items()
        for index in range(size)
    ]


class RankingTest(unittest.TestCase):
    """The ranking of storage nodes that decides where copies are stored."""

    @params(
        ("three zones", {"a": 4, "b": 3, "c": 3}),
        ("one node in a zone", {"a": 1, "b": 5, "c": 2}),
        ("six zones", {"a": 2, "b": 2, "c": 2, "d": 2, "e": 2, "f": 1}),
        ("one zone", {"a": 5}),
        ("no nodes", {}),
    )
    def test_ranking_spreads_evenly_across_zones(self, name, sizes) -> None:
        members = nodes(**sizes)
        for key in KEYS:
            ranked = rank_across_zones(key, members)
            self.assertEqual(set(members), set(ranked))
            self.assertEqual(len(members), len(ranked))
            taken: Counter[str] = Counter()
            for member in ranked:
                fullest = [zone for zone, size in sizes.items() if taken[zone] < size]
                self.assertEqual(min(taken[zone] for zone in fullest), taken[member.zone])
                taken[member.zone] += 1

    @params({"a": 4, "b": 3, "c": 3}, {"a": 1, "b": 5}, {"a": 5})
    def test_ranking_does_not_depend_on_the_order_of_nodes(self, sizes) -> None:
        members = nodes(**sizes)
        for key in KEYS:
            ranked = rank_across_zones(key, reversed(members))
            self.assertEqual(rank_across_zones(key, members), ranked)
            # With and without spreading across zones, the same node assigns orphaned jobs.
            self.assertEqual(rank_nodes(key, members)[0], ranked[0])

    def test_ranking_in_one_zone_equals_ranking_without_zones(self) -> None:
        members = nodes(a=6)
        for key in KEYS:
            self.assertEqual(rank_nodes(key, members), rank_across_zones(key, members))

    @params({"a": 4, "b": 3, "c": 3}, {"a": 2, "b": 5, "c": 1}, {"a": 6})
    def test_removing_a_node_moves_only_its_jobs(self, sizes) -> None:
        members = nodes(**sizes)
        rules = CopyRules(3, zones=2)
        for removed in members:
            remaining = [member for member in members if member is not removed]
            moved = 0
            for key in KEYS:
                before = set(rules.holders(key, members))
                after = set(rules.holders(key, remaining))
                self.assertEqual(before - {removed}, before & after)
                self.assertEqual(removed in before, before != after)
                moved += before != after
            if sizes == {"a": 4, "b": 3, "c": 3}:
                self.assertLess(moved, 0.6 * len(KEYS))

    def test_nodes_of_equal_zones_hold_equal_shares(self) -> None:
        members = nodes(a=3, b=3, c=3)
        jobs_by_node = Counter(one for key in KEYS for one in CopyRules(2, 2).holders(key, members))
        share = len(KEYS) * 3 / len(members)
        for member in members:
            self.assertAlmostEqual(share, jobs_by_node[member], delta=0.25 * share)

    @params((1, False), (2, True))
    def test_rules_spread_copies_only_if_a_zone_may_be_lost(self, zones, spreads) -> None:
        members = nodes(a=4, b=3, c=3)
        rank = rank_across_zones if spreads else rank_nodes
        for key in KEYS:
            self.assertEqual(rank(key, members), CopyRules(3, zones).rank(key, members))

    @params(({"a": 1}, 1), ({"a": 1, "b": 1}, 2), ({"a": 1, "b": 1, "c": 1}, 2), ({}, 0))
    def test_no_more_zones_are_needed_than_exist(self, sizes, zones) -> None:
        self.assertEqual(zones, CopyRules(3, zones=2).zones_needed(nodes(**sizes)))


class SettingsTest(unittest.TestCase):
    """The settings file gives the number of disks and zones that may be lost."""

    def load(self, text: str) -> ServingSettings | SettingsError:
        required = "\n".join(
            f'{key} = "{value}"'
            for key, value in {
                "name": "s",
                "zone": "a",
                "region": "r",
                "address": "127.0.0.1",
                "peer_ports": "1,2",
                "store": "127.0.0.1:1",
                "data_folder": "/tmp",
            }.items()
        )
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(f"{required}\n{text}\n")
            file.flush()
            return load_serving_settings(Path(file.name), ServingRole.JOB_STORAGE)

    @params(
        ("", CopyRules(2, 1)),
        ("disks_lost_at_once = 2", CopyRules(3, 1)),
        ("disks_lost_at_once = 2\nzones_lost_at_once = 1", CopyRules(3, 2)),
    )
    def test_copies_follow_the_number_of_tolerated_losses(self, text, rules) -> None:
        self.assertEqual(rules, CopyRules.from_settings(self.load(text)))

    @params("disks_lost_at_once", "zones_lost_at_once")
    def test_negative_number_of_losses_is_refused(self, key) -> None:
        error = self.load(f"{key} = -1")
        self.assertIsInstance(error, SettingsError)
        self.assertEqual(key, error.key)


class SlowPeers:
    """Storage nodes that store a job after a delay, or never.

    Attributes
    ----------
    delays_s
        Delay by zone or node; ``None`` for nodes that do not reply during the test.
    """

    def __init__(self) -> None:
        self.delays_s: dict[str, float | None] = {}
        self.refusing_nodes: set[str] = set()
        self.release = threading.Event()
        self.called: list[str] = []

    def call(self, endpoint, message, reply_type, timeout_s):
        name = endpoint.host
        self.called.append(name)
        delay_s = self.delays_s.get(name, self.delays_s.get(name[0], 0.0))
        if delay_s is None or self.release.wait(delay_s):
            self.release.wait(timeout_s)
            return PeerNoReply(endpoint, "silent")
        if name in self.refusing_nodes:
            return PeerRefusal("this node is being emptied")
        return JobStored("gateway")


class AcknowledgementTest(unittest.TestCase):
    """Acknowledgements from three nodes in two zones are needed; the gateway is in zone a."""

    def setUp(self) -> None:
        self.members = nodes(a=4, b=3, c=3)
        self.live = self.members
        self.peers = SlowPeers()
        self.addCleanup(self.peers.release.set)
        self.zones: list[list[str]] = []
        patch = mock.patch.object(storage_client_module, "log_message", self.record_log)
        patch.start()
        self.addCleanup(patch.stop)

    def record_log(self, event: str, **fields) -> None:
        self.assertEqual("job:kept_in_one_zone", event)
        self.zones.append(fields["zones"])

    def store(
        self, job_id: str, zones: int = 2, zone: str = "a"
    ) -> tuple[Stored | NotStored, float]:
        client = JobStorageClient(
            self.peers,
            lambda: tuple(self.live),
            lambda: tuple(self.members),
            CopyRules(3, zones),
            zone,
        )
        document = JobDocument((JobItem("i", "/x", {}, b""),))
        began = time.monotonic()
        stored = client.store_job(Job(job_id, "host", "/jobs/x", document), "gateway")
        return stored, time.monotonic() - began

    @params(
        ("all answer", {}, 0.1, []),
        ("another zone is unresponsive", {"b": None}, 0.3, []),
        ("a slow disk", {"a1": 0.3, "b0": 0.3, "c2": 0.3}, 0.5, []),
        ("both other zones are unresponsive", {"b": None, "c": None}, 0.6, [["a"]]),
        ("both other zones are slow", {"b": 0.3, "c": 0.3}, 0.5, []),
        ("both other zones are too slow", {"b": 0.7, "c": 0.7}, 0.6, [["a"]]),
    )
    def test_job_is_acknowledged_in_time(self, name, delays_s, within_s, kept_in_one_zone) -> None:
        """Unresponsive zones must not delay the answer beyond the time that a client waits."""
        self.assertLess(within_s, ACCEPTED_WITHIN_S)
        self.peers.delays_s = delays_s
        for key in KEYS[:4]:
            self.zones.clear()
            stored, took_s = self.store(key)
            self.assertIsInstance(stored, Stored)
            self.assertLess(took_s, within_s)
            self.assertEqual(kept_in_one_zone, self.zones)

    def test_unresponsive_local_zone_causes_no_delay(self) -> None:
        self.peers.delays_s = {"a": None}
        for key in KEYS[:4]:
            stored, took_s = self.store(key)
            self.assertIsInstance(stored, Stored)
            self.assertLess(took_s, 0.6)
        self.assertEqual([], self.zones)

    def test_local_zone_is_used_even_if_it_ranks_last(self) -> None:
        """The four nodes that are called first may all be in other, unresponsive zones."""
        self.members = self.live = nodes(a=3, b=2, c=2, d=2, e=2, f=2)
        self.peers.delays_s = dict.fromkeys("bcdef")
        for key in KEYS[:4]:
            self.zones.clear()
            stored, took_s = self.store(key)
            self.assertIsInstance(stored, Stored)
            self.assertLess(took_s, ACCEPTED_WITHIN_S)
            self.assertEqual([["a"]], self.zones)

    def test_dead_zone_is_not_waited_for(self) -> None:
        self.live = [member for member in self.members if member.zone == "a"]
        stored, took_s = self.store("job")
        self.assertIsInstance(stored, Stored)
        self.assertLess(took_s, 0.1)
        self.assertEqual([["a"]], self.zones)

    def test_copies_in_one_zone_are_not_enough_while_another_answers(self) -> None:
        """If the first nodes of other zones refuse, the next ones must be called."""
        for key in KEYS[:4]:
            ranked = rank_across_zones(key, self.members)
            self.peers.refusing_nodes = {one.name for one in ranked[:4] if one.zone != "a"}
            stored, _ = self.store(key)
            self.assertIsInstance(stored, Stored)
        self.assertEqual([], self.zones)

    def test_too_few_nodes_are_refused_in_any_zone(self) -> None:
        self.live = [*nodes(a=1), *nodes(b=1)]
        stored, _ = self.store("job")
        self.assertIsInstance(stored, NotStored)

    def test_calls_follow_the_ranking_if_no_zone_may_be_lost(self) -> None:
        """Zone b is unresponsive: the next nodes of the ranking are called one by one."""
        self.peers.delays_s = {"b": None}
        for key in KEYS[:4]:
            self.peers.called.clear()
            stored, _ = self.store(key, zones=1)
            self.assertIsInstance(stored, Stored)
            ranked = [member.name for member in rank_nodes(key, self.members)]
            self.assertEqual(set(ranked[: len(self.peers.called)]), set(self.peers.called))
        self.assertEqual([], self.zones)


if __name__ == "__main__":
    unittest.main()
