"""Reading the configuration from the store: by changes, and by a list where history is gone."""

from __future__ import annotations

import time
import unittest
from typing import Any

from nose2.tools import params

from fleet_support import eventually
from quaymill.connection.object_store import (
    Changes,
    HistoryGone,
    Listing,
    ObjectChange,
    ObjectKind,
    StoredObject,
    StoreRefused,
    StoreUnanswered,
    UnreadableObject,
)
from quaymill.process.control.configuration_feed import WATCHING_GATEWAYS, ConfigurationFeed

TIMEOUT_S = 5.0
REFUSED = StoreRefused("the store answered 503")
LARGE = "x" * 1_000_000
"""Content with which the document is listed once in these tests."""
FIRST = StoredObject("main", 3, {"version": 1, "text": LARGE})


class _Store:
    """Answers with prepared results; the last one is repeated."""

    def __init__(self) -> None:
        self.listings: list[Any] = [Listing((FIRST,), 10)]
        self.changes: list[Any] = [Changes((), 10)]
        self.calls: list[tuple[Any, ...]] = []

    def list(self, kind: ObjectKind) -> Any:
        self.calls.append(("list", kind))
        return self.listings.pop(0) if len(self.listings) > 1 else self.listings[0]

    def watch(self, kind: ObjectKind, revision: int, wait_s: float) -> Any:
        self.calls.append(("watch", revision, wait_s))
        return self.changes.pop(0) if len(self.changes) > 1 else self.changes[0]


def _changed(revision: int, version: int, *, deleted: bool = False, name: str = "main") -> Any:
    return ObjectChange(StoredObject(name, revision, {"version": version}), deleted)


class FeedTest(unittest.TestCase):
    """One row for each answer of the store."""

    def setUp(self) -> None:
        self.store = _Store()
        self.offered: list[int] = []
        self.rank = 0
        self.feed = ConfigurationFeed(
            self.store,
            "main",
            lambda: self.rank,
            lambda stored, took_s: self.offered.append(stored.spec["version"]),
        )
        self.addCleanup(self.feed.stop)

    def test_small_document_is_listed_each_time(self) -> None:
        """Guards against a change that every watch misses."""
        self.store.listings = [
            Listing((StoredObject("main", 3, {"version": 1}),), 10),
            Listing((StoredObject("main", 11, {"version": 2}),), 11),
        ]
        self.feed.check()
        time.sleep(0.01)
        self.feed.check()
        self.assertEqual([1, 2], self.offered)

    def test_first_read_lists_a_large_document_and_later_ones_ask_for_changes(self) -> None:
        self.feed.check()
        self.feed.check()
        self.assertEqual([1], self.offered)
        self.assertEqual([("list", ObjectKind.CONFIGURATION), ("watch", 10, 0.0)], self.store.calls)

    def test_every_change_is_offered_in_order(self) -> None:
        self.feed.check()
        self.store.changes = [Changes((_changed(12, 2), _changed(14, 5)), 15), Changes((), 15)]
        self.feed.check()
        self.feed.check()
        self.assertEqual([1, 2, 5], self.offered)
        self.assertEqual(("watch", 15, 0.0), self.store.calls[-1])

    def test_empty_answer_does_not_advance_the_revision(self) -> None:
        """Guards against a change that is lost as a watch was told nothing of it."""
        self.feed.check()
        self.store.changes = [Changes((), 20)]
        self.feed.check()
        self.feed.check()
        self.assertEqual(("watch", 10, 0.0), self.store.calls[-1])

    def test_list_replaces_a_history_that_is_gone(self) -> None:
        self.feed.check()
        self.store.changes = [HistoryGone(), Changes((), 30)]
        self.store.listings = [
            Listing((StoredObject("main", 22, {"version": 4, "text": LARGE}),), 30)
        ]
        self.feed.check()
        self.feed.check()
        self.assertEqual([1, 4], self.offered)
        self.assertEqual(("watch", 30, 0.0), self.store.calls[-1])

    def test_other_and_deleted_objects_are_not_offered(self) -> None:
        self.feed.check()
        self.store.changes = [
            Changes((_changed(12, 2, deleted=True), _changed(13, 3, name="other")), 13)
        ]
        self.assertIsNone(self.feed.check())
        self.assertEqual([1], self.offered)

    def test_unreadable_object_is_passed_over(self) -> None:
        """Guards against watches that end at once, again and again."""
        self.feed.check()
        self.store.changes = [Changes((), 12, (UnreadableObject("main", "x"),)), Changes((), 12)]
        self.assertIsNone(self.feed.check())
        self.feed.check()
        self.assertEqual(("watch", 12, 0.0), self.store.calls[-1])

    def test_missing_object_is_a_failure_and_an_unreadable_one_is_not(self) -> None:
        self.store.listings = [Listing((), 10)]
        self.assertIn("no configuration", self.feed.check().reason)
        self.store.listings = [Listing((), 10, (UnreadableObject("main", "no JSON"),))]
        self.assertIsNone(self.feed.check())

    @params(REFUSED, StoreUnanswered("timed out"))
    def test_failure_is_returned_and_the_next_read_continues(self, failure) -> None:
        self.feed.check()
        self.store.changes = [failure, Changes((_changed(12, 2),), 12)]
        self.assertEqual(failure, self.feed.check())
        self.feed.check()
        self.assertEqual([1, 2], self.offered)

    def test_only_gateways_that_rank_first_watch(self) -> None:
        self.rank = WATCHING_GATEWAYS
        self.feed.start()
        self.rank = 0
        eventually(
            lambda: any(call[0] == "watch" and call[2] for call in self.store.calls), TIMEOUT_S
        )
        self.assertEqual(("list", ObjectKind.CONFIGURATION), self.store.calls[0])


if __name__ == "__main__":
    unittest.main()
