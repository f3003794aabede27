"""Leases and ends of items.

An item has no row until it is first leased; then it is

* leased: a row in ``items`` with ``leased`` = 1 and the number of its latest attempt;
* available again, after a lapse, a return or a retryable failure: ``leased`` = 0;
* ended: no row in ``items`` and one in ``results``, which never changes.

So cost and memory follow the items in flight, not the size of the job.
"""

from __future__ import annotations

import sqlite3
from collections import Counter
from collections.abc import Iterable

import msgspec

from quaymill.connection.job_messages import (
    Accepted,
    CompletedItems,
    CompleteItems,
    CompletionVerdict,
    ItemCompletion,
    ItemRef,
    JobState,
    LeaseItems,
)
from quaymill.process.job_store.job_state import JobProgress, JobStateTable, JobWithWork

HTTP_SUCCESS = range(200, 300)


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    """One attempt at one item, handed to a worker."""

    job_id: str
    file_id: str
    tenant: str
    index: int
    attempt: int


_GRANTS_DECODER = msgspec.json.Decoder(tuple[LeaseGrant, ...])


class _ItemRow(msgspec.Struct, frozen=True):
    leased: int
    attempt: int
    failures: int
    last_failed_attempt: int


class ItemState:
    """The tables ``items``, ``results`` and ``lease_requests``."""

    def __init__(self, connection: sqlite3.Connection, jobs: JobStateTable) -> None:
        self._connection = connection
        self._jobs = jobs

    def lease(self, message: LeaseItems, at_unix_s: float) -> tuple[LeaseGrant, ...]:
        """Lease items to a worker, tenants by turns and jobs by deadline.

        A request repeated under its id gets the items that it got before.
        """
        if message.request_id:
            earlier = self._earlier_grants(message)
            if earlier is not None:
                return tuple(grant for grant in earlier if self.is_leased(_ref(grant)))
        grants = self._take_by_turns(message)
        if message.request_id:
            self._connection.execute(
                "INSERT OR REPLACE INTO lease_requests VALUES (?, ?, ?, ?, ?)",
                (
                    message.worker,
                    message.service,
                    message.request_id,
                    msgspec.json.encode(grants),
                    at_unix_s,
                ),
            )
        return grants

    def knows(self, message: LeaseItems) -> bool:
        """Return whether this same request was served before."""
        return bool(message.request_id) and self._earlier_grants(message) is not None

    def is_leased(self, ref: ItemRef) -> bool:
        """Return whether the attempt is the one that holds the item."""
        return (
            self._connection.execute(
                "SELECT 1 FROM items WHERE job_id = ? AND item_index = ? "
                "AND attempt = ? AND leased = 1",
                (ref.job_id, ref.index, ref.attempt),
            ).fetchone()
            is not None
        )

    def release(self, refs: Iterable[ItemRef]) -> Accepted:
        """Make items available again whose lease lapsed or was returned."""
        released: Counter[str] = Counter()
        for ref in refs:
            changed = self._connection.execute(
                "UPDATE items SET leased = 0 WHERE job_id = ? AND item_index = ? "
                "AND attempt = ? AND leased = 1",
                (ref.job_id, ref.index, ref.attempt),
            )
            released[ref.job_id] += changed.rowcount
        for job_id, count in released.items():
            self._jobs.add_available(job_id, count)
        return Accepted()

    def complete(
        self, message: CompleteItems, max_attempts: int, at_unix_s: float
    ) -> CompletedItems:
        """Record ends of attempts; the first recorded end of an item is the one that stays."""
        progress: dict[str, JobProgress | None] = {}
        completed: Counter[str] = Counter()
        failed: Counter[str] = Counter()
        verdicts = []
        for completion in message.completions:
            job_id = completion.ref.job_id
            if job_id not in progress:
                progress[job_id] = self._jobs.progress(job_id)
            verdict = self._verdict(completion, progress[job_id], max_attempts)
            if verdict is None:
                verdict = CompletionVerdict.RECORDED
                counter = completed if completion.status in HTTP_SUCCESS else failed
                counter[job_id] += 1
            verdicts.append(verdict)
        for job_id in completed | failed:
            self._jobs.count_ended(job_id, completed[job_id], failed[job_id], at_unix_s)
        return CompletedItems(verdicts=tuple(verdicts))

    def leased_refs(self) -> list[tuple[ItemRef, float]]:
        """Return all leases with their terms in seconds, for a leader that starts its clock."""
        return [
            (ItemRef(job_id, index, attempt), lease_s)
            for job_id, index, attempt, lease_s in self._connection.execute(
                "SELECT job_id, item_index, attempt, lease_s FROM items WHERE leased = 1"
            )
        ]

    def _earlier_grants(self, message: LeaseItems) -> tuple[LeaseGrant, ...] | None:
        row = self._connection.execute(
            "SELECT items FROM lease_requests WHERE worker = ? AND service = ? AND request_id = ?",
            (message.worker, message.service, message.request_id),
        ).fetchone()
        return _GRANTS_DECODER.decode(row[0]) if row else None

    def _take_by_turns(self, message: LeaseItems) -> tuple[LeaseGrant, ...]:
        grants: list[LeaseGrant] = []
        tenants = self._jobs.tenants_in_turn(message.service)
        last_served = ""
        while tenants and len(grants) < message.count:
            share = max(1, (message.count - len(grants)) // len(tenants))
            with_more_work = []
            for tenant in tenants:
                wanted = min(share, message.count - len(grants))
                if not wanted:
                    break
                taken = self._take_from_tenant(message, tenant, wanted)
                grants.extend(taken)
                if taken:
                    last_served = tenant
                if len(taken) == wanted:
                    with_more_work.append(tenant)
            tenants = with_more_work
        if last_served:
            self._jobs.end_turn(message.service, last_served)
        return tuple(grants)

    def _take_from_tenant(self, message: LeaseItems, tenant: str, wanted: int) -> list[LeaseGrant]:
        grants: list[LeaseGrant] = []
        while len(grants) < wanted:
            job = self._jobs.first_with_work(message.service, tenant)
            if job is None:
                break
            grants.extend(self._take_from_job(message, tenant, job, wanted - len(grants)))
        return grants

    def _take_from_job(
        self, message: LeaseItems, tenant: str, job: JobWithWork, wanted: int
    ) -> list[LeaseGrant]:
        """Take never-leased items first, so that one that failed is not tried at once again."""
        new_count = min(wanted, job.total - job.next_index)
        grants = [
            LeaseGrant(job.job_id, job.file_id, tenant, job.next_index + offset, 1)
            for offset in range(new_count)
        ]
        self._connection.executemany(
            "INSERT INTO items VALUES (?, ?, 1, 1, ?, ?, 0, 0)",
            [(job.job_id, grant.index, message.worker, message.lease_s) for grant in grants],
        )
        returned = self._connection.execute(
            "SELECT item_index, attempt FROM items WHERE job_id = ? AND leased = 0 "
            "ORDER BY item_index LIMIT ?",
            (job.job_id, wanted - new_count),
        ).fetchall()
        for index, attempt in returned:
            grants.append(LeaseGrant(job.job_id, job.file_id, tenant, index, attempt + 1))
        self._connection.executemany(
            "UPDATE items SET leased = 1, attempt = ?, worker = ?, lease_s = ? "
            "WHERE job_id = ? AND item_index = ?",
            [
                (attempt + 1, message.worker, message.lease_s, job.job_id, index)
                for index, attempt in returned
            ],
        )
        self._jobs.take_items(job.job_id, new_count, len(returned))
        return grants

    def _verdict(
        self, completion: ItemCompletion, job: JobProgress | None, max_attempts: int
    ) -> CompletionVerdict | None:
        """Judge one completion; ``None`` means that it was recorded now."""
        ref = completion.ref
        if job is None:
            return CompletionVerdict.NO_SUCH_ITEM
        ended = self._connection.execute(
            "SELECT attempt FROM results WHERE job_id = ? AND item_index = ?",
            (ref.job_id, ref.index),
        ).fetchone()
        if ended:
            # The same attempt again is a resend whose answer was lost.
            same = ended[0] == ref.attempt
            return CompletionVerdict.RECORDED if same else CompletionVerdict.ALREADY_COMPLETE
        if job.state is JobState.CANCELLED:
            return CompletionVerdict.JOB_CANCELLED
        row = self._item_row(ref)
        if row is None or not 0 < ref.attempt <= row.attempt:
            return CompletionVerdict.NO_SUCH_ITEM
        if completion.retryable and self._may_retry(ref, row, max_attempts):
            return CompletionVerdict.RETRY_LATER
        self._record(completion, row)
        return None

    def _item_row(self, ref: ItemRef) -> _ItemRow | None:
        row = self._connection.execute(
            "SELECT leased, attempt, failures, last_failed_attempt FROM items "
            "WHERE job_id = ? AND item_index = ?",
            (ref.job_id, ref.index),
        ).fetchone()
        return _ItemRow(*row) if row else None

    def _may_retry(self, ref: ItemRef, row: _ItemRow, max_attempts: int) -> bool:
        """Count a failed attempt, each attempt once; return whether another may follow."""
        if ref.attempt <= row.last_failed_attempt:
            return True
        if row.failures + 1 >= max_attempts:
            return False
        self._connection.execute(
            "UPDATE items SET failures = failures + 1, last_failed_attempt = ? "
            "WHERE job_id = ? AND item_index = ?",
            (ref.attempt, ref.job_id, ref.index),
        )
        self.release((ref,))
        return True

    def _record(self, completion: ItemCompletion, row: _ItemRow) -> None:
        ref = completion.ref
        self._connection.execute(
            "DELETE FROM items WHERE job_id = ? AND item_index = ?", (ref.job_id, ref.index)
        )
        self._connection.execute(
            "INSERT INTO results VALUES (?, ?, ?, ?, ?, ?)",
            (
                ref.job_id,
                ref.index,
                ref.attempt,
                int(completion.status not in HTTP_SUCCESS),
                completion.status,
                bytes(completion.response),
            ),
        )
        if not row.leased:
            # The item was available again; a late end takes it out of what can be leased.
            self._jobs.add_available(ref.job_id, -1)


def _ref(grant: LeaseGrant) -> ItemRef:
    return ItemRef(grant.job_id, grant.index, grant.attempt)
