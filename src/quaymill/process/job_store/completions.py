"""Ends of attempts: which is recorded, which comes too late, which may be tried again.

A report is judged as a whole: one query for what is known of its items, verdicts in memory in
the order of the report, then one statement for each kind of change.
"""

from __future__ import annotations

import sqlite3
from collections import Counter

import msgspec

from quaymill.connection.job_messages import (
    CompletedItems,
    CompleteItems,
    CompletionVerdict,
    ItemCompletion,
    JobState,
)
from quaymill.process.job_store.bulk import insert_rows, json_list
from quaymill.process.job_store.job_state import JobProgress, JobStateTable
from quaymill.process.job_store.schema import item_key

HTTP_SUCCESS = range(200, 300)

_ROWS_DECODER = msgspec.json.Decoder(list[list[int]])


class _Item(msgspec.Struct):
    """One item in ``items``; ``changed`` if the row has to be written."""

    leased: int
    attempt: int
    failures: int
    last_failed_attempt: int
    changed: bool = False


class CompletionReport:
    """One report while it is judged; the caller applies it in one transaction.

    Parameters
    ----------
    max_attempts
        Failed attempts after which an item ends as failed.
    """

    def __init__(
        self,
        connection: sqlite3.Connection,
        jobs: JobStateTable,
        message: CompleteItems,
        max_attempts: int,
    ) -> None:
        self._connection = connection
        self._jobs = jobs
        self._message = message
        self._max_attempts = max_attempts
        self._progress: dict[str, JobProgress] = {}
        self._items: dict[int, _Item] = {}
        self._ended_attempts: dict[int, int] = {}
        self._results: list[tuple[int, int, int, int, bytes]] = []
        self._completed: Counter[str] = Counter()
        self._failed: Counter[str] = Counter()
        self._available: Counter[str] = Counter()

    def apply(self, at_unix_s: float) -> CompletedItems:
        """Record ends of attempts; the first recorded end of an item is the one that stays."""
        self._load()
        verdicts = tuple(self._judge(completion) for completion in self._message.completions)
        self._write(at_unix_s)
        return CompletedItems(verdicts)

    def _load(self) -> None:
        """Read what is known of the items and their jobs."""
        for job_id in {completion.ref.job_id for completion in self._message.completions}:
            progress = self._jobs.progress(job_id)
            if progress is not None:
                self._progress[job_id] = progress
        keys = [
            self._key(completion)
            for completion in self._message.completions
            if completion.ref.job_id in self._progress
        ]
        wanted = json_list(keys)
        self._ended_attempts = dict(
            self._connection.execute(
                "SELECT item_key, attempt FROM results "
                "WHERE item_key IN (SELECT value FROM json_each(?))",
                (wanted,),
            ).fetchall()
        )
        (rows,) = self._connection.execute(
            "SELECT json_group_array(json_array("
            "item_key, leased, attempt, failures, last_failed_attempt)) FROM items "
            "WHERE item_key IN (SELECT value FROM json_each(?))",
            (wanted,),
        ).fetchone()
        self._items = {key: _Item(*row) for key, *row in _ROWS_DECODER.decode(rows)}

    def _judge(self, completion: ItemCompletion) -> CompletionVerdict:
        ref = completion.ref
        job = self._progress.get(ref.job_id)
        if job is None:
            return CompletionVerdict.NO_SUCH_ITEM
        key = self._key(completion)
        ended_attempt = self._ended_attempts.get(key)
        if ended_attempt is not None:
            # The same attempt again is a resend whose answer was lost.
            same = ended_attempt == ref.attempt
            return CompletionVerdict.RECORDED if same else CompletionVerdict.ALREADY_COMPLETE
        if job.state is JobState.CANCELLED:
            return CompletionVerdict.JOB_CANCELLED
        item = self._items.get(key)
        if item is None or not 0 < ref.attempt <= item.attempt:
            return CompletionVerdict.NO_SUCH_ITEM
        if completion.retryable and self._may_retry(completion, item):
            return CompletionVerdict.RETRY_LATER
        self._record(completion, key, item)
        return CompletionVerdict.RECORDED

    def _may_retry(self, completion: ItemCompletion, item: _Item) -> bool:
        """Count a failed attempt, each attempt once; return whether another may follow."""
        ref = completion.ref
        if ref.attempt <= item.last_failed_attempt:
            return True
        if item.failures + 1 >= self._max_attempts:
            return False
        item.failures += 1
        item.last_failed_attempt = ref.attempt
        item.changed = True
        if item.leased and item.attempt == ref.attempt:
            item.leased = 0
            self._available[ref.job_id] += 1
        return True

    def _record(self, completion: ItemCompletion, key: int, item: _Item) -> None:
        ref = completion.ref
        failed = completion.status not in HTTP_SUCCESS
        response = bytes(completion.response)
        self._results.append((key, ref.attempt, int(failed), completion.status, response))
        self._ended_attempts[key] = ref.attempt
        del self._items[key]
        counter = self._failed if failed else self._completed
        counter[ref.job_id] += 1
        if not item.leased:
            # The item was available again; a late end takes it out of what can be leased.
            self._available[ref.job_id] -= 1

    def _write(self, at_unix_s: float) -> None:
        self._connection.execute(
            "DELETE FROM items WHERE item_key IN (SELECT value FROM json_each(?))",
            (json_list(key for key, *_ in self._results),),
        )
        insert_rows(self._connection, "results", self._results)
        self._connection.executemany(
            "UPDATE items SET leased = ?, failures = ?, last_failed_attempt = ? WHERE item_key = ?",
            [
                (item.leased, item.failures, item.last_failed_attempt, key)
                for key, item in self._items.items()
                if item.changed
            ],
        )
        for job_id, count in self._available.items():
            self._jobs.add_available(job_id, count)
        for job_id in self._completed | self._failed:
            self._jobs.count_ended(job_id, self._completed[job_id], self._failed[job_id], at_unix_s)

    def _key(self, completion: ItemCompletion) -> int:
        job = self._progress[completion.ref.job_id]
        return item_key(job.job_number, completion.ref.index)
