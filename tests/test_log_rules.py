"""The rules of the log on a single replica: votes, matching and commit."""

from __future__ import annotations

import tempfile
import threading
import time
import unittest
from pathlib import Path

import msgspec
from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.log_messages import (
    AppendEntries,
    GroupMembership,
    InstallSnapshot,
    LogEntry,
    ReplicaAddress,
    RequestVote,
)
from quaymill.connection.peer_link import PeerRefusal
from quaymill.process.job_store.commands import LoggedCommand, Noop
from quaymill.process.job_store.fair_lock import FairLock
from quaymill.process.job_store.log_storage import LogStorage
from quaymill.process.job_store.replica import Replica, Role
from quaymill.process.job_store.snapshots import SnapshotReceiver
from quaymill.process.settings import LogSettings

COMMAND = msgspec.Raw(msgspec.json.encode(LoggedCommand(0.0, 5, Noop())))


def entries(first, *terms):
    return tuple(LogEntry(first + n, term, False, COMMAND) for n, term in enumerate(terms))


class ReplicaCase(unittest.TestCase):
    """A follower in term 3 with entries 1..4 of the terms 1, 1, 2, 3."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "log.sqlite3"
        self.open()
        self.peers = [ReplicaAddress(x, x, x, Endpoint("127.0.0.1", 1)) for x in ("b", "c")]
        me = ReplicaAddress(self.replica.identity, "a", "a", Endpoint("127.0.0.1", 1))
        with self.replica.storage.lock:
            self.replica.storage.save_membership(0, GroupMembership((me, *self.peers)))
            self.replica.set_membership(self.replica.storage.membership())
        self.append(1, 0, 0, 0, *entries(1, 1, 1))
        self.append(2, 2, 1, 0, *entries(3, 2))
        self.append(3, 3, 2, 2, *entries(4, 3))
        self.replica.leader = ""

    def tearDown(self):
        self.replica.storage.close()

    def open(self):
        settings = LogSettings(election_timeout_s=30.0)
        self.replica = Replica(0, LogStorage(self.path), settings, lambda address: address.peer)

    def append(self, term, previous_index, previous_term, commit_index, *new):
        recipient = self.replica.identity
        return self.replica.handle_append(
            AppendEntries(0, recipient, "b", term, previous_index, previous_term, commit_index, new)
        )

    def terms(self):
        found = self.replica.storage.read_entries(1, 10**6)
        return [entry.term for entry in found]


class VoteTest(ReplicaCase):
    """When a vote is given."""

    @params(
        ("newer term, same log", {"term": 4}, True),
        ("newer term, longer log", {"term": 4, "last_index": 9}, True),
        ("same term, vote not given yet", {"term": 3}, True),
        ("older term", {"term": 2}, False),
        ("shorter log", {"term": 4, "last_index": 3}, False),
        ("longer log of an older term", {"term": 4, "last_index": 9, "last_term": 2}, False),
        ("other identity", {"term": 4, "recipient": "wiped"}, False),
        ("pre-vote", {"term": 4, "pre_vote": True}, True),
        ("pre-vote, shorter log", {"term": 4, "pre_vote": True, "last_index": 3}, False),
    )
    def test_vote(self, _, fields, granted):
        vote = self.replica.handle_vote(self.ask(**fields))
        self.assertEqual(granted, vote.granted, vote.reason)

    def ask(self, **fields):
        fields = {
            "recipient": self.replica.identity,
            "candidate": "c",
            "last_index": 4,
            "last_term": 3,
            **fields,
        }
        return RequestVote(group=0, **fields)

    def test_vote_outlives_a_restart(self):
        self.assertTrue(self.replica.handle_vote(self.ask(term=4)).granted)
        self.replica.storage.close()
        self.open()
        self.assertFalse(self.replica.handle_vote(self.ask(term=4, candidate="b")).granted)
        self.assertTrue(self.replica.handle_vote(self.ask(term=4)).granted)

    def test_pre_vote_changes_nothing(self):
        self.replica.handle_vote(self.ask(term=9, pre_vote=True))
        self.assertEqual((3, ""), (self.replica.storage.term, self.replica.storage.voted_for))

    def test_replica_that_hears_a_leader_refuses_unless_the_leader_asks(self):
        self.append(3, 4, 3, 2)
        self.assertFalse(self.replica.handle_vote(self.ask(term=4)).granted)
        self.assertEqual(3, self.replica.term)
        self.assertTrue(self.replica.handle_vote(self.ask(term=4, hand_over=True)).granted)


class AppendTest(ReplicaCase):
    """When entries match, and which give way."""

    @params(
        ("next entry", (3, 4, 3, 2, (3,)), True, [1, 1, 2, 3, 3]),
        ("same entries again", (3, 2, 1, 2, (2, 3)), True, [1, 1, 2, 3]),
        ("fewer of the same entries", (3, 2, 1, 2, (2,)), True, [1, 1, 2, 3]),
        ("conflict", (4, 2, 1, 2, (4, 4)), True, [1, 1, 4, 4]),
        ("conflict with fewer entries", (4, 2, 1, 2, (4,)), True, [1, 1, 4]),
        ("gap", (3, 7, 3, 2, (3,)), False, [1, 1, 2, 3]),
        ("other term before", (4, 3, 3, 2, (4,)), False, [1, 1, 2, 3]),
        ("old leader", (2, 4, 3, 2, (2,)), False, [1, 1, 2, 3]),
        ("heartbeat", (3, 4, 3, 2, ()), True, [1, 1, 2, 3]),
    )
    def test_append(self, _, message, matched, terms):
        term, previous_index, previous_term, commit_index, new_terms = message
        new = entries(previous_index + 1, *new_terms)
        answer = self.append(term, previous_index, previous_term, commit_index, *new)
        self.assertEqual(matched, answer.matched)
        self.assertEqual(terms, self.terms())
        self.replica.storage.close()
        self.open()
        self.assertEqual(terms, self.terms())

    def test_commit_index_stays_within_what_matched(self):
        self.append(3, 3, 2, 99)
        self.assertEqual(3, self.replica.commit_index)
        self.append(3, 4, 3, 1)
        self.assertEqual(3, self.replica.commit_index)

    def test_message_for_another_identity_is_refused(self):
        message = AppendEntries(0, "wiped", "b", 9, 4, 3, 4, entries(5, 9))
        self.assertIsInstance(self.replica.handle_append(message), PeerRefusal)
        self.assertEqual(([1, 1, 2, 3], 3), (self.terms(), self.replica.term))


class CommitTest(ReplicaCase):
    """What the leader may call committed."""

    @params(
        ("one disk", {"a": 5}, 2),
        ("majority", {"a": 5, "b": 5}, 5),
        ("majority without the leader's own disk", {"b": 5, "c": 5}, 5),
        ("majority holds only entries of earlier terms", {"a": 5, "b": 4}, 2),
        ("a learner does not count", {"a": 5, "learner": 5}, 2),
    )
    def test_commit(self, _, held, commit_index):
        replica = self.replica
        with replica.storage.lock, replica.lock:
            replica.storage.save_vote(4, replica.identity)
            replica.term = 4
            replica.become_leader()
            replica.write_entries(entries(5, 4))
            names = {"a": replica.identity}
            replica.match_index = {names.get(x, x): index for x, index in held.items()}
            replica.advance_commit_index()
        self.assertEqual(commit_index, replica.commit_index)

    def test_leader_without_answers_loses_its_quorum(self):
        replica = self.replica
        with replica.lock:
            replica.become_leader()
            self.assertTrue(replica.has_quorum_contact())
            long_ago = time.monotonic() - 1000
            replica.peer_contact_s = {"b": long_ago, "c": long_ago}
            self.assertFalse(replica.has_quorum_contact())
            self.assertFalse(replica.hears_leader())
            self.assertIs(Role.LEADER, replica.role)


class SnapshotPartsTest(ReplicaCase):
    """Which parts of a snapshot are taken."""

    def setUp(self):
        super().setUp()
        self.receiver = SnapshotReceiver(self.replica)

    def take(self, part, last_part=False, snapshot="s", term=3, last_index=9, table=""):
        membership = self.replica.membership
        rows = (("service", "tenant"),) if table else ()
        message = InstallSnapshot(
            group=0,
            recipient=self.replica.identity,
            leader="b",
            term=term,
            snapshot=snapshot,
            part=part,
            last_index=last_index,
            last_term=3,
            membership=membership,
            table=table,
            rows=rows,
            last_part=last_part,
        )
        return self.receiver.handle(message).accepted

    def turns(self):
        return self.replica.storage.connection.execute("SELECT * FROM turns").fetchall()

    def test_parts_in_order_replace_state_and_log(self):
        self.assertTrue(self.take(0, table="turns"))
        self.assertEqual(([], 4), (self.turns(), self.replica.last_index))
        self.assertTrue(self.take(1, last_part=True))
        self.assertEqual(([("service", "tenant")], 9), (self.turns(), self.replica.last_index))
        self.assertEqual(9, self.replica.commit_index)

    @params(
        ("part left out", {"part": 2, "last_part": True}),
        ("part of another transfer", {"part": 1, "last_part": True, "snapshot": "t"}),
        ("old leader", {"part": 1, "last_part": True, "term": 2}),
        ("state older than what is committed", {"part": 0, "last_index": 1}),
    )
    def test_part_that_is_not_taken(self, _, fields):
        self.assertTrue(self.take(0, table="turns"))
        self.assertFalse(self.take(**fields))
        self.assertEqual(([], 4), (self.turns(), self.replica.last_index))


class FairLockTest(unittest.TestCase):
    """The storage's lock."""

    def test_waiting_thread_gets_the_lock_before_a_later_one(self):
        lock = FairLock()
        order = []

        def wait(name):
            with lock:
                order.append(name)

        with lock, lock:
            threads = []
            for name in ("first", "second", "third"):
                threads.append(threading.Thread(target=wait, args=(name,)))
                threads[-1].start()
                while len(lock._waiters) < len(threads):
                    time.sleep(0.001)
        wait("last")
        for thread in threads:
            thread.join()
        self.assertEqual(["first", "second", "third", "last"], order)
