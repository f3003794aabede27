"""Contract of the state machine: verdicts, idempotency, fair order, poison items, retention."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import msgspec
from nose2.tools import params

from job_store_cluster import SERVICE, completion, create_job, item, ref
from quaymill.connection import call_record_messages
from quaymill.connection import job_messages as m
from quaymill.process.job_store.commands import ExpireLeases, LoggedCommand, PurgeExpired
from quaymill.process.job_store.log_storage import LogStorage
from quaymill.process.job_store.schema import STATE_TABLES
from quaymill.process.job_store.state_machine import Grants, StateMachine

ANSWER = call_record_messages.StoredAnswer(200, "application/json", b"{}")
MAX_ATTEMPTS = 3


class StateMachineCase(unittest.TestCase):
    """A state machine over an empty database."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.applied = []
        self.storage, self.machine = self.new_machine("first")

    def tearDown(self):
        self.storage.close()
        self.folder.cleanup()

    def new_machine(self, name):
        storage = LogStorage(Path(self.folder.name) / f"{name}.sqlite3")
        storage.begin()
        return storage, StateMachine(storage.connection)

    def apply(self, command, at=1.0):
        logged = LoggedCommand(at, MAX_ATTEMPTS, command)
        self.applied.append(logged)
        result = self.machine.apply(logged)
        return self.machine.leased_items(result) if isinstance(result, Grants) else result

    def file(self, file_id="f", count=4, chunk=2, tenant="t", key="", digest="d"):
        self.apply(m.CreateFile(0, file_id, tenant, "n", key))
        for number, first in enumerate(range(0, count, chunk)):
            items = tuple(item(n) for n in range(first, min(first + chunk, count)))
            self.apply(m.AppendItems(0, file_id, number, items))
        return self.apply(m.CommitFile(0, file_id, -(-count // chunk), count, 9, digest))

    def job(self, job_id="j", count=4, tenant="t", **fields):
        self.file(f"f-{job_id}", count, tenant=tenant)
        return self.apply(create_job(job_id, f"f-{job_id}", tenant=tenant, **fields))

    def lease(self, count=1, request_id="", worker="w"):
        request = m.LeaseItems(0, worker, SERVICE, count, 5.0, request_id)
        return list(self.apply(request).items)

    def complete(self, *completions):
        return list(self.apply(m.CompleteItems(0, "w", completions)).verdicts)

    def record(self, job_id="j"):
        return self.machine.read(m.GetJob(0, job_id))


class ItemsTest(StateMachineCase):
    """Leases and ends of items."""

    def untouched(self, leased):
        return leased

    def completed(self, leased):
        self.complete(completion(leased, "first"))
        return leased

    def expired(self, leased):
        self.apply(ExpireLeases((ref(leased),)))
        return leased

    def leased_anew(self, leased):
        self.apply(m.ReturnItems(0, "w", (ref(leased),)))
        self.assertEqual(2, self.lease(99)[-1].attempt)
        return leased

    def completed_anew(self, leased):
        self.expired(leased)
        self.complete(completion(self.lease(99)[-1], "first"))
        return leased

    def cancelled(self, leased):
        self.apply(m.CancelJob(0, leased.job_id))
        return leased

    def completed_and_cancelled(self, leased):
        return self.cancelled(self.completed(leased))

    def of_later_attempt(self, leased):
        return msgspec.structs.replace(leased, attempt=2)

    def of_unknown_job(self, leased):
        return msgspec.structs.replace(leased, job_id="none")

    @params(
        ("untouched", m.CompletionVerdict.RECORDED),
        ("completed", m.CompletionVerdict.RECORDED),  # A resend: its answer was lost.
        ("expired", m.CompletionVerdict.RECORDED),
        ("leased_anew", m.CompletionVerdict.RECORDED),
        ("completed_anew", m.CompletionVerdict.ALREADY_COMPLETE),
        ("cancelled", m.CompletionVerdict.JOB_CANCELLED),
        ("completed_and_cancelled", m.CompletionVerdict.RECORDED),
        ("of_later_attempt", m.CompletionVerdict.NO_SUCH_ITEM),
        ("of_unknown_job", m.CompletionVerdict.NO_SUCH_ITEM),
    )
    def test_verdict_on_the_end_of_an_item(self, happened_before, expected):
        self.job(count=1)
        leased = getattr(self, happened_before)(self.lease()[0])
        self.assertEqual([expected], self.complete(completion(leased, "second")))
        if expected is m.CompletionVerdict.RECORDED:
            self.assertEqual(1, self.record().completed)
            self.assertEqual(1, len(self.machine.read(m.ReadResults(0, "j", -1, 9)).results))

    def test_late_end_takes_the_item_out_of_what_can_be_leased(self):
        self.job(count=1)
        leased = self.lease()[0]
        self.apply(ExpireLeases((ref(leased),)))
        self.complete(completion(leased))
        self.assertEqual([], self.lease(9))
        self.assertEqual(m.JobState.COMPLETED, self.record().state)

    def test_item_that_keeps_failing_ends_with_its_reason(self):
        self.job(count=1)
        verdicts = []
        for _ in range(MAX_ATTEMPTS):
            failure = completion(self.lease()[0], "out of memory", status=500, retryable=True)
            verdicts += self.complete(failure)
            verdicts += self.complete(failure)  # A resend counts once and is answered alike.
        retry, recorded = m.CompletionVerdict.RETRY_LATER, m.CompletionVerdict.RECORDED
        self.assertEqual([retry] * 4 + [recorded] * 2, verdicts)
        record = self.record()
        self.assertEqual(
            (m.JobState.COMPLETED, 0, 1), (record.state, record.completed, record.failed)
        )
        failed = self.machine.read(m.ReadResults(0, "j", -1, 9, failed=True)).results
        self.assertEqual(
            [(500, b'"out of memory"')], [(r.status, bytes(r.response)) for r in failed]
        )

    def test_lapsed_and_returned_leases_count_no_failure(self):
        self.job(count=1)
        for release in (ExpireLeases, lambda refs: m.ReturnItems(0, "w", refs)) * MAX_ATTEMPTS:
            self.apply(release((ref(self.lease()[0]),)))
        self.assertEqual(1, len(self.lease()))

    def test_lapse_of_an_old_attempt_leaves_the_new_one(self):
        self.job(count=1)
        old = self.lease()[0]
        self.apply(ExpireLeases((ref(old),)))
        anew = self.lease()[0]
        for release in (ExpireLeases, lambda refs: m.ReturnItems(0, "w", refs)):
            self.apply(release((ref(old),)))
        self.assertEqual((ref(old),), self.machine.items.no_longer_leased((ref(old), ref(anew))))
        self.assertEqual([], self.lease())

    def test_repeated_lease_request_gets_the_same_items(self):
        self.job(count=6)
        first = self.lease(2, request_id="r1")
        self.assertEqual(first, self.lease(2, request_id="r1"))
        other = self.lease(2, request_id="r2")
        self.assertEqual([2, 3], [x.item.index for x in other])
        self.complete(completion(other[0]))
        self.assertEqual(other[1:], self.lease(2, request_id="r2"))

    def test_tenants_take_turns_and_deadlines_order_their_jobs(self):
        self.job("late", tenant="a", deadline_unix_s=200.0)
        self.job("early", tenant="a", deadline_unix_s=100.0)
        self.job("other", tenant="b", count=2)
        order = [self.lease()[0].job_id for _ in range(6)]
        self.assertEqual(["early", "other", "early", "other", "early", "early"], order)
        self.job("third", tenant="c", count=8)
        shares = [x.job_id for x in self.lease(8)]
        self.assertEqual((4, 4), (shares.count("late"), shares.count("third")))

    def test_cancelled_job_leases_nothing_and_its_end_stays(self):
        self.job()
        leased = self.lease(2)
        self.complete(completion(leased[0]))
        record = self.apply(m.CancelJob(0, "j"), at=7.0)
        self.assertEqual(
            (m.JobState.CANCELLED, 7.0, 1), (record.state, record.ended_unix_s, record.completed)
        )
        self.assertEqual([], self.lease(9))
        self.assertEqual((ref(leased[1]),), self.machine.items.no_longer_leased((ref(leased[1]),)))
        self.assertEqual(record, self.apply(m.CancelJob(0, "j"), at=8.0))

    def test_job_without_items_is_complete_at_once(self):
        self.job(count=0)
        self.assertEqual(m.JobState.COMPLETED, self.record().state)


class FilesAndJobsTest(StateMachineCase):
    """Resends and faults of files and jobs."""

    def test_resend_of_a_file_with_its_key_finds_it(self):
        self.file("f1", key="k")
        resent = self.apply(m.CreateFile(0, "f2", "t", "n", "k"))
        self.assertEqual(m.Accepted("f1"), resent)
        self.assertEqual(m.Accepted("f1"), self.apply(m.CommitFile(0, "f1", 2, 4, 9, "d")))
        other = self.apply(m.CommitFile(0, "f1", 2, 4, 9, "other content"))
        self.assertIsInstance(other, m.StoreConflict)
        self.assertEqual(m.Accepted("f3"), self.apply(m.CreateFile(0, "f3", "u", "n", "k")))

    @params(
        ("same chunk again", m.AppendItems(0, "f", 0, (item(0), item(1))), m.Accepted),
        ("other content", m.AppendItems(0, "f", 0, (item(0),)), m.StoreConflict),
        ("gap in a chunk", m.AppendItems(0, "f", 1, (item(2), item(4))), m.StoreConflict),
        ("empty chunk", m.AppendItems(0, "f", 1, ()), m.StoreConflict),
        ("unknown file", m.AppendItems(0, "g", 0, (item(0),)), m.StoreConflict),
        ("seal without chunk 1", m.CommitFile(0, "f", 2, 4, 9, "d"), m.StoreConflict),
        ("seal with wrong count", m.CommitFile(0, "f", 1, 3, 9, "d"), m.StoreConflict),
        ("seal unknown file", m.CommitFile(0, "g", 1, 2, 9, "d"), m.StoreConflict),
        ("job over unsealed file", create_job("j", "f"), m.StoreConflict),
        ("file id of another tenant", m.CreateFile(0, "f", "u", "n"), m.StoreConflict),
    )
    def test_unsealed_file(self, _, command, expected):
        self.apply(m.CreateFile(0, "f", "t", "n"))
        self.apply(m.AppendItems(0, "f", 0, (item(0), item(1))))
        self.assertIsInstance(self.apply(command), expected)

    @params(
        ("same again", create_job("j", "f", idempotency_key="k"), "j"),
        ("new id, same key", create_job("j2", "f", idempotency_key="k"), "j"),
        ("same content, new file", create_job("j2", "copy", idempotency_key="k"), "j"),
        ("other content", create_job("j2", "other", idempotency_key="k"), None),
        ("other metadata", create_job("j", "f", metadata={"a": "b"}), None),
        ("new id, no key", create_job("j2", "f"), "j2"),
        ("file of nobody", create_job("j2", "none"), None),
        ("key of another tenant", create_job("j2", "u", tenant="u", idempotency_key="k"), "j2"),
    )
    def test_resend_of_a_job(self, _, command, expected_id):
        for file_id, digest in (("f", "d"), ("copy", "d"), ("other", "e")):
            self.file(file_id, digest=digest)
        self.file("u", tenant="u")
        self.apply(create_job("j", "f", idempotency_key="k"))
        answer = self.apply(command)
        if expected_id is None:
            self.assertIsInstance(answer, m.StoreConflict)
            self.assertTrue(answer.remedy)
        else:
            self.assertEqual(m.Accepted(expected_id), answer)

    def test_jobs_of_a_tenant_newest_first(self):
        for job_id in ("j1", "j2", "j3"):
            self.job(job_id)
        self.job("theirs", tenant="u")
        jobs = self.machine.read(m.ListJobs(0, "t", limit=2)).jobs
        self.assertEqual(2, len(jobs))
        self.assertEqual({"t"}, {job.tenant for job in jobs})


class CallsTest(StateMachineCase):
    """At-most-once calls."""

    def begin(self, attempt="a", digest="d", key="k"):
        return self.apply(
            call_record_messages.BeginCall(0, "t", "s", key, attempt, digest, "node-1")
        )

    def finish(self, attempt="a"):
        return self.apply(call_record_messages.FinishCall(0, "t", "s", "k", attempt, ANSWER))

    def abandon(self, attempt="a"):
        return self.apply(call_record_messages.AbandonCall(0, "t", "s", "k", attempt))

    def test_only_the_first_attempt_may_send(self):
        self.assertEqual(call_record_messages.CallState.NEW, self.begin().state)
        self.assertEqual(
            call_record_messages.CallState.NEW, self.begin().state
        )  # Its answer was lost.
        second = self.begin(attempt="b")
        self.assertEqual(
            (call_record_messages.CallState.BEGUN, "a", "node-1"),
            (second.state, second.attempt, second.node),
        )
        self.assertIsInstance(self.begin(attempt="b", digest="e"), m.StoreConflict)
        self.assertIsInstance(self.finish(attempt="b"), m.StoreConflict)
        self.assertIsInstance(self.finish(), m.Accepted)
        self.assertIsInstance(self.finish(), m.Accepted)
        for attempt in ("a", "b"):
            record = self.begin(attempt=attempt)
            self.assertEqual(
                (call_record_messages.CallState.FINISHED, ANSWER), (record.state, record.answer)
            )
        self.assertIsInstance(self.abandon(), m.StoreConflict)

    def test_abandoned_call_is_free_for_another_attempt_only(self):
        self.begin()
        self.abandon()
        self.assertIsInstance(self.begin(), m.StoreConflict)  # A late copy of the message.
        self.assertIsInstance(self.finish(), m.StoreConflict)
        self.assertEqual(call_record_messages.CallState.NEW, self.begin(attempt="b").state)
        self.abandon()  # A late copy does not touch the new attempt.
        self.assertEqual(call_record_messages.CallState.BEGUN, self.begin(attempt="c").state)


class RetentionAndDeterminismTest(StateMachineCase):
    """Purges, equal states on all replicas, and commands that fail."""

    def fill(self):
        self.job("done", count=5)
        self.complete(*[completion(x) for x in self.lease(5)])
        self.job("running", count=5)
        self.complete(*[completion(x) for x in self.lease(2)])
        self.apply(call_record_messages.BeginCall(0, "t", "s", "old", "a", "d", "n"), at=1.0)
        self.apply(call_record_messages.BeginCall(0, "t", "s", "new", "a", "d", "n"), at=100.0)

    def test_purge_removes_what_ended_long_ago_a_few_rows_at_a_time(self):
        self.fill()
        self.apply(PurgeExpired(before_unix_s=50.0, limit=3))
        self.assertEqual(2, len(self.machine.read(m.ReadResults(0, "done", -1, 9)).results))
        for _ in range(4):
            self.apply(PurgeExpired(before_unix_s=50.0, limit=3))
        self.assertIsInstance(self.record("done"), m.StoreConflict)
        self.assertIsInstance(self.machine.read(m.GetFile(0, "f-done")), m.StoreConflict)
        self.assertEqual(2, self.record("running").completed)
        self.assertEqual(3, len(self.lease(9)))
        calls = self.storage.connection.execute("SELECT call_key FROM calls").fetchall()
        self.assertEqual([("new",)], calls)

    def test_same_commands_give_the_same_tables(self):
        self.fill()
        self.apply(m.CancelJob(0, "running"))
        storage, other = self.new_machine("second")
        for logged in self.applied:
            decoded = msgspec.json.decode(msgspec.json.encode(logged), type=LoggedCommand)
            other.apply(decoded)
        for table in STATE_TABLES:
            query = f"SELECT * FROM {table.name} ORDER BY 1, 2"
            rows = [s.connection.execute(query).fetchall() for s in (self.storage, storage)]
            self.assertEqual(rows[0], rows[1], table.name)
        storage.close()

    def test_command_that_fails_inside_changes_nothing(self):
        self.job()
        before = self.record()
        leased = self.lease(2)
        broken = m.ItemCompletion(ref(leased[1]), 200, None)
        answer = self.apply(m.CompleteItems(0, "w", (completion(leased[0]), broken)))
        self.assertIsInstance(answer, m.StoreConflict)
        self.assertEqual((), self.machine.items.no_longer_leased(tuple(ref(x) for x in leased)))
        self.assertEqual([], list(self.machine.read(m.ReadResults(0, "j", -1, 9)).results))
        self.assertEqual(before, self.record())
