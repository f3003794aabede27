"""Records of crashes by request content: when a content is refused, and how records merge."""

from __future__ import annotations

import random
import unittest

from nose2.tools import params

from quaymill.connection.crash_messages import CrashRecord
from quaymill.connection.job_document import JobItem
from quaymill.platform.caller_calls import item_prompt, read_prompt
from quaymill.request.forwarded_request import content_digest_of, shared_part_keys
from quaymill.request.poison import (
    BARRED_S,
    MAX_CRASHES,
    MAX_RECORDS,
    MAX_SERVED_PARTS,
    SERVED_S,
    SUSPECT_S,
    PoisonRecords,
    part_key,
)
from quaymill.request.prompt import NO_PROMPT, Prompt, PromptPart

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
        self.assertEqual(["a"], [record.key for record in changed])
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


BAD, SOUND = part_key("m", "bad"), part_key("m", "sound")
OTHER_MODEL = part_key("n", "sound")


class PartTest(unittest.TestCase):
    """When a prompt part is refused: it alone keeps crashing replicas, and is never served."""

    def test_part_is_refused_once_requests_without_it_are_served(self) -> None:
        records = records_with(BAD, MAX_CRASHES)
        self.assertEqual(0.0, records.barred_for_s(BAD, 0.0))
        records.record_parts_served((SOUND,), 1.0)
        self.assertGreater(records.barred_for_s(BAD, 1.0), 0)

    def test_requests_of_another_model_tell_nothing(self) -> None:
        records = records_with(BAD, MAX_CRASHES)
        records.record_parts_served((OTHER_MODEL,), 1.0)
        self.assertEqual(0.0, records.barred_for_s(BAD, 1.0))

    def test_part_that_was_served_shortly_before_is_not_suspected(self) -> None:
        records = PoisonRecords()
        records.record_parts_served((SOUND,), 0.0)
        for replica_id in REPLICAS:
            self.assertIsNone(records.add(SOUND, replica_id, SERVED_S - 1.0))
        self.assertIsNotNone(records.add(SOUND, REPLICAS[0], SERVED_S + 1.0))

    def test_part_that_is_served_afterwards_is_excused_everywhere(self) -> None:
        records, other = records_with(SOUND, MAX_CRASHES), PoisonRecords()
        records.record_parts_served((BAD,), 0.5)
        other.merge(records.records(1.0), 1.0)
        self.assertGreater(other.barred_for_s(SOUND, 1.0), 0)
        (changed,) = other.record_parts_served((SOUND,), 2.0)
        self.assertEqual(0.0, other.barred_for_s(SOUND, 2.0))
        records.merge([changed], 3.0)
        self.assertEqual(0.0, records.barred_for_s(SOUND, 3.0))
        self.assertEqual(records.digest(3.0), other.digest(3.0))

    def test_crashes_that_another_gateway_saw_are_excused_where_the_part_was_served(self) -> None:
        """Guards against a part that everybody uses being refused as one gateway is new."""
        records = PoisonRecords()
        records.record_parts_served((SOUND,), 0.0)
        records.merge([CrashRecord(SOUND, REPLICAS, 0.0, contrasted=True)], 1.0)
        self.assertEqual(0.0, records.barred_for_s(SOUND, 1.0))
        self.assertEqual(REPLICAS, records.records(1.0)[0].excused)

    def test_crashes_of_a_barred_part_do_not_count_against_contents_beside_it(self) -> None:
        """Guards against a sound item that ran beside three requests with a bad part."""
        records = records_with("beside", MAX_CRASHES)
        for replica_id in REPLICAS[:MAX_CRASHES]:
            records.add(BAD, replica_id, 0.0)
        self.assertGreater(records.barred_for_s("beside", 0.0), 0)
        records.record_parts_served((SOUND,), 1.0)
        self.assertEqual(0.0, records.barred_for_s("beside", 1.0))
        for replica_id in REPLICAS[MAX_CRASHES:]:
            records.add("beside", replica_id, 2.0)
        self.assertGreater(records.barred_for_s("beside", 2.0), 0)

    def test_served_parts_are_bounded(self) -> None:
        records = PoisonRecords()
        for number in range(2 * MAX_SERVED_PARTS):
            records.record_parts_served((part_key("m", str(number)),), 0.0)
        self.assertEqual(MAX_SERVED_PARTS, len(records._part_served_at))

    @params(1, 2, 3)
    def test_merging_in_any_order_gives_the_same_verdict(self, seed: int) -> None:
        rng = random.Random(seed)
        crash_records = [CrashRecord(BAD, (replica_id,), 0.0) for replica_id in REPLICAS]
        crash_records.append(CrashRecord(BAD, REPLICAS[:1], 0.0, REPLICAS[:1]))
        crash_records.append(CrashRecord(BAD, REPLICAS[:1], 0.0, (), True))
        verdicts = set()
        for _ in range(4):
            rng.shuffle(crash_records)
            records = PoisonRecords()
            for record in crash_records:
                records.merge([record], 0.0)
            verdicts.add((records.digest(0.0), records.barred_for_s(BAD, 0.0)))
        self.assertEqual(1, len(verdicts))


class PartKeysTest(unittest.TestCase):
    """Which parts of a prompt identify a request."""

    def test_the_last_part_is_not_shared(self) -> None:
        prompt = Prompt((PromptPart("a", 1), PromptPart("b", 2), PromptPart("c", 3)), "m")
        self.assertEqual((part_key("m", "a"), part_key("m", "b")), shared_part_keys(prompt))
        self.assertEqual((), shared_part_keys(Prompt((PromptPart("a", 1),), "m")))
        self.assertEqual((), shared_part_keys(NO_PROMPT))

    def test_parts_of_different_models_differ(self) -> None:
        self.assertNotEqual(part_key("m", "a"), part_key("n", "a"))


class PromptHeaderTest(unittest.TestCase):
    """The adapter reads parts of requests and items alike, and ignores invalid ones."""

    @params(
        ("a:1,b:2,c:3", ("a", "b", "c")),
        (" a:1 , b:2", ("a", "b")),
        ("a:1,:2,b:x,c,d:-1,e:5", ("a", "e")),
        ("", ()),
        (",,,", ()),
    )
    def test_parts_in_the_header(self, text: str, expected: tuple[str, ...]) -> None:
        prompt = read_prompt("m", "10,20", text)
        self.assertEqual(expected, tuple(part.id for part in prompt.parts))
        item = JobItem(
            "i", "/x", {"model": "m", "Token-Count": "10,20", "PROMPT-PREFIX": text}, b""
        )
        self.assertEqual(prompt, item_prompt(item))

    def test_item_without_a_prompt(self) -> None:
        self.assertEqual(NO_PROMPT, item_prompt(JobItem("i", "/x", {}, b"")))


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
