"""Records of crashes by request content: when a content is refused, and how records merge."""

from __future__ import annotations

import random
import unittest

from nose2.tools import params

from quaymill.connection.crash_messages import CrashRecord
from quaymill.request.forwarded_request import content_digest_of
from quaymill.request.poison import (
    BARRED_S,
    MAX_CRASHES,
    MAX_RECORDS,
    SUSPECT_S,
    PoisonRecords,
)

REPLICAS = tuple(f"replica-{number}" for number in range(2 * MAX_CRASHES))


def records_with(content: str, crashes: int, now: float = 0.0) -> PoisonRecords:
    """Return records with the given number of crashes of one content."""
    records = PoisonRecords()
    for replica_id in REPLICAS[:crashes]:
        records.add(content, replica_id, now)
    return records


class RefusalTest(unittest.TestCase):
    """When a content is refused, and for how long."""

    @params(*range(2 * MAX_CRASHES))
    def test_content_is_refused_from_max_crashes_on(self, crashes: int) -> None:
        records = records_with("a", crashes)
        self.assertEqual(crashes >= MAX_CRASHES, records.barred_for_s("a", 0.0) > 0)

    def test_other_contents_are_not_refused(self) -> None:
        self.assertEqual(0, records_with("a", MAX_CRASHES).barred_for_s("b", 0.0))

    def test_crash_seen_by_several_requests_counts_once(self) -> None:
        records = PoisonRecords()
        for _ in range(MAX_CRASHES):
            records.add("a", REPLICAS[0], 0.0)
        self.assertEqual(1, records.crash_count("a"))

    def test_refusal_time_decreases_and_ends(self) -> None:
        records = records_with("a", MAX_CRASHES, now=100.0)
        self.assertEqual(BARRED_S - 50.0, records.barred_for_s("a", 150.0))
        self.assertEqual(0.0, records.barred_for_s("a", 100.0 + BARRED_S))

    def test_fewer_crashes_expire_sooner(self) -> None:
        records = records_with("a", MAX_CRASHES - 1)
        records.add("a", REPLICAS[MAX_CRASHES], SUSPECT_S + 1.0)
        self.assertEqual(0.0, records.barred_for_s("a", SUSPECT_S + 1.0))

    def test_crashes_before_a_content_was_served_do_not_count(self) -> None:
        records = records_with("a", MAX_CRASHES - 1)
        records.discount_crashes("a")
        records.add("a", REPLICAS[MAX_CRASHES], 1.0)
        self.assertEqual(1, records.crash_count("a"))

    def test_barred_contents_are_dropped_last(self) -> None:
        records = records_with("a", MAX_CRASHES)
        for number in range(2 * MAX_RECORDS):
            records.add(f"other-{number}", REPLICAS[0], 1.0)
        self.assertLessEqual(len(records.records(1.0)), MAX_RECORDS)
        self.assertGreater(records.barred_for_s("a", 1.0), 0)


class MergeTest(unittest.TestCase):
    """Merging records of several gateways gives the same result in any order."""

    def test_crashes_of_several_gateways_add_up(self) -> None:
        records = records_with("a", 1)
        changed = records.merge([CrashRecord("a", REPLICAS[1:MAX_CRASHES], 2.0)], 5.0)
        self.assertEqual(["a"], [record.content for record in changed])
        self.assertEqual(BARRED_S - 2.0, records.barred_for_s("a", 5.0))

    def test_merging_known_records_changes_nothing(self) -> None:
        records = records_with("a", 2)
        self.assertEqual([], records.merge(records.records(1.0), 1.0))
        self.assertIsNone(records.add("a", REPLICAS[0], 1.0))

    def test_expired_records_are_ignored(self) -> None:
        records = PoisonRecords()
        self.assertEqual([], records.merge([CrashRecord("a", REPLICAS[:1], SUSPECT_S + 1)], 0.0))
        self.assertEqual(0, records.digest(0.0))

    @params(1, 2, 3, 4, 5)
    def test_two_orders_give_the_same_digest(self, seed: int) -> None:
        rng = random.Random(seed)
        crash_records = [
            CrashRecord(rng.choice("abc"), (rng.choice(REPLICAS),), 0.0) for _ in range(20)
        ]
        digests = set()
        for _ in range(4):
            rng.shuffle(crash_records)
            records = PoisonRecords()
            for record in crash_records:
                records.merge([record], 0.0)
            digests.add(records.digest(0.0))
        self.assertEqual(1, len(digests))
        self.assertNotEqual({0}, digests)


class ContentTest(unittest.TestCase):
    """Which requests have the same content digest."""

    @params(
        ("a", "POST", "/x/1", b"body"),
        ("h", "PUT", "/x/1", b"body"),
        ("h", "POST", "/x/2", b"body"),
        ("h", "POST", "/x/1", b"body "),
        ("h", "POST", "/x/1b", b"ody"),
    )
    def test_different_requests_have_different_digests(self, *request) -> None:
        self.assertNotEqual(
            content_digest_of("h", "POST", "/x/1", b"body"), content_digest_of(*request)
        )

    def test_host_is_case_insensitive(self) -> None:
        self.assertEqual(
            content_digest_of("h", "GET", "/", b""), content_digest_of("H", "GET", "/", b"")
        )
