"""Batch jobs: start, state, cancel, and the order in which jobs get their turn."""

from __future__ import annotations

import sqlite3

import msgspec

from quaymill.connection.job_messages import (
    Accepted,
    CancelJob,
    CreateJob,
    JobRecord,
    JobState,
    StoreConflict,
)
from quaymill.process.job_store.schema import item_key

_RECORD_COLUMNS = (
    "job_id, file_id, tenant, endpoint, service, state, created_unix_s, deadline_unix_s, "
    "total, completed, failed, ended_unix_s, metadata"
)
_METADATA_DECODER = msgspec.json.Decoder(dict[str, str])


class JobWithWork(msgspec.Struct, frozen=True):
    """A job that has items to lease."""

    job_id: str
    job_number: int
    file_id: str
    next_index: int
    total: int
    available: int


class JobProgress(msgspec.Struct, frozen=True):
    """What the verdict on a completion depends on."""

    job_number: int
    state: JobState


class JobStateTable:
    """The tables ``jobs`` and ``turns``."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def create(self, message: CreateJob) -> Accepted | StoreConflict:
        """Start a job, or find the one of the same id or key."""
        file = self._connection.execute(
            "SELECT sealed, item_count, digest FROM files WHERE file_id = ? AND tenant = ?",
            (message.file_id, message.tenant),
        ).fetchone()
        if file is None:
            return StoreConflict(f"there is no file {message.file_id}", "check the file id")
        sealed, item_count, digest = file
        if not sealed:
            return StoreConflict("the file is not sealed", "commit the file first")
        existing = self._find(message)
        if existing:
            return self._same_or_conflict(existing, message, digest)
        self._insert(message, item_count)
        return Accepted(id=message.job_id)

    def get(self, job_id: str) -> JobRecord | StoreConflict:
        """Return one job."""
        row = self._connection.execute(
            f"SELECT {_RECORD_COLUMNS} FROM jobs WHERE job_id = ?", (job_id,)
        ).fetchone()
        if row is None:
            return StoreConflict(f"there is no job {job_id}", "check the job id")
        return _record(row)

    def list_of_tenant(self, tenant: str, limit: int) -> tuple[JobRecord, ...]:
        """Return the newest jobs of a tenant."""
        rows = self._connection.execute(
            f"SELECT {_RECORD_COLUMNS} FROM jobs WHERE tenant = ? "
            "ORDER BY created_unix_s DESC, job_id LIMIT ?",
            (tenant, limit),
        ).fetchall()
        return tuple(_record(row) for row in rows)

    def cancel(self, message: CancelJob, at_unix_s: float) -> JobRecord | StoreConflict:
        """End a job that is in progress; its leases fall away."""
        changed = self._connection.execute(
            "UPDATE jobs SET state = ?, ended_unix_s = ?, available = 0 "
            "WHERE job_id = ? AND state = ?",
            (JobState.CANCELLED.value, at_unix_s, message.job_id, JobState.IN_PROGRESS.value),
        )
        if changed.rowcount:
            number = self.progress(message.job_id).job_number
            self._connection.execute(
                "DELETE FROM items WHERE item_key BETWEEN ? AND ?",
                (item_key(number, 0), item_key(number + 1, 0) - 1),
            )
        return self.get(message.job_id)

    def progress(self, job_id: str) -> JobProgress | None:
        """Return a job's state and cursor; ``None`` if there is no such job."""
        row = self._connection.execute(
            "SELECT job_number, state FROM jobs WHERE job_id = ?", (job_id,)
        ).fetchone()
        return JobProgress(row[0], JobState(row[1])) if row else None

    def has_work(self, service: str) -> bool:
        """Return whether any item of the service can be leased."""
        return (
            self._connection.execute(
                "SELECT 1 FROM jobs WHERE service = ? AND available > 0 LIMIT 1", (service,)
            ).fetchone()
            is not None
        )

    def tenants_in_turn(self, service: str) -> list[str]:
        """Return tenants with work, beginning after the one that was served last."""
        tenants = [
            row[0]
            for row in self._connection.execute(
                "SELECT DISTINCT tenant FROM jobs WHERE service = ? AND available > 0 "
                "ORDER BY tenant",
                (service,),
            )
        ]
        row = self._connection.execute(
            "SELECT last_tenant FROM turns WHERE service = ?", (service,)
        ).fetchone()
        last = row[0] if row else ""
        return [t for t in tenants if t > last] + [t for t in tenants if t <= last]

    def end_turn(self, service: str, tenant: str) -> None:
        """Note which tenant was served last."""
        self._connection.execute("INSERT OR REPLACE INTO turns VALUES (?, ?)", (service, tenant))

    def first_with_work(self, service: str, tenant: str) -> JobWithWork | None:
        """Return the tenant's job with the nearest deadline that has items to lease."""
        row = self._connection.execute(
            "SELECT job_id, job_number, file_id, next_index, total, available FROM jobs "
            "WHERE service = ? AND tenant = ? AND available > 0 "
            "ORDER BY deadline_unix_s, job_id LIMIT 1",
            (service, tenant),
        ).fetchone()
        return JobWithWork(*row) if row else None

    def take_items(self, job_id: str, new_items: int, returned_items: int) -> None:
        """Move the cursor of never-leased items and lower the count of available ones."""
        self._connection.execute(
            "UPDATE jobs SET next_index = next_index + ?, available = available - ? "
            "WHERE job_id = ?",
            (new_items, new_items + returned_items, job_id),
        )

    def add_available(self, job_id: str, count: int) -> None:
        """Count items that became available again, or with a negative count, that ended."""
        self._connection.execute(
            "UPDATE jobs SET available = available + ? WHERE job_id = ? AND state = ?",
            (count, job_id, JobState.IN_PROGRESS.value),
        )

    def count_ended(self, job_id: str, completed: int, failed: int, at_unix_s: float) -> None:
        """Count items that ended; the job ends with the last of them."""
        self._connection.execute(
            "UPDATE jobs SET completed = completed + ?, failed = failed + ? WHERE job_id = ?",
            (completed, failed, job_id),
        )
        self._connection.execute(
            "UPDATE jobs SET state = ?, ended_unix_s = ? "
            "WHERE job_id = ? AND state = ? AND completed + failed = total",
            (JobState.COMPLETED.value, at_unix_s, job_id, JobState.IN_PROGRESS.value),
        )

    def _find(self, message: CreateJob) -> str:
        if message.idempotency_key:
            row = self._connection.execute(
                "SELECT job_id FROM jobs WHERE tenant = ? AND idempotency_key = ? "
                "AND idempotency_key <> ''",
                (message.tenant, message.idempotency_key),
            ).fetchone()
            if row:
                return row[0]
        row = self._connection.execute(
            "SELECT job_id FROM jobs WHERE job_id = ?", (message.job_id,)
        ).fetchone()
        return row[0] if row else ""

    def _same_or_conflict(
        self, job_id: str, message: CreateJob, digest: str
    ) -> Accepted | StoreConflict:
        row = self._connection.execute(
            "SELECT jobs.tenant, endpoint, service, metadata, digest "
            "FROM jobs JOIN files USING (file_id) WHERE job_id = ?",
            (job_id,),
        ).fetchone()
        wanted = (
            message.tenant,
            message.endpoint,
            message.service,
            _encode_metadata(message.metadata),
            digest,
        )
        if row == wanted:
            return Accepted(id=job_id)
        return StoreConflict(
            "the id or idempotency key belongs to a job with other content",
            "use a new id and idempotency key for a job with other content",
        )

    def _insert(self, message: CreateJob, item_count: int) -> None:
        empty = item_count == 0
        highest = self._connection.execute("SELECT MAX(job_number) FROM jobs").fetchone()[0]
        state = JobState.COMPLETED if empty else JobState.IN_PROGRESS
        self._connection.execute(
            "INSERT INTO jobs VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, 0, 0, 0, ?)",
            (
                message.job_id,
                (highest or 0) + 1,
                message.file_id,
                message.tenant,
                message.endpoint,
                message.service,
                state.value,
                message.created_unix_s,
                message.deadline_unix_s,
                message.created_unix_s if empty else None,
                _encode_metadata(message.metadata),
                message.idempotency_key,
                item_count,
                item_count,
            ),
        )


def _encode_metadata(metadata: dict[str, str]) -> str:
    return msgspec.json.encode(metadata, order="sorted").decode()


def _record(row: tuple) -> JobRecord:
    *columns, metadata = row
    job_id, file_id, tenant, endpoint, service, state, *rest = columns
    created, deadline, total, completed, failed, ended = rest
    return JobRecord(
        job_id=job_id,
        file_id=file_id,
        tenant=tenant,
        endpoint=endpoint,
        service=service,
        state=JobState(state),
        created_unix_s=created,
        deadline_unix_s=deadline,
        total=total,
        completed=completed,
        failed=failed,
        ended_unix_s=ended,
        metadata=_METADATA_DECODER.decode(metadata),
    )
