"""Jobs, results and progress in SQLite; a write returns once it is durable on the disk.

Rows of jobs and results are not updated, except a job's coordinator and two flags that are set
once. Rows of progress may be replaced.
"""

from __future__ import annotations

import contextlib
import sqlite3
import threading
import time
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

import attrs
import msgspec
import xxhash

from quaymill import boot_clock
from quaymill.connection.job_document import Job, JobDocument, JobResult, ResultState
from quaymill.connection.job_storage_messages import ItemProgress, KeyedResult, ResultKey

FILE_NAME = "jobs.sqlite3"
SCHEMA = """
CREATE TABLE IF NOT EXISTS jobs (
    id TEXT PRIMARY KEY,
    host TEXT NOT NULL,
    path TEXT NOT NULL,
    document BLOB NOT NULL,
    total INTEGER NOT NULL,
    coordinator TEXT NOT NULL,
    sent_at REAL NOT NULL,
    ended INTEGER NOT NULL DEFAULT 0,
    complete INTEGER NOT NULL DEFAULT 0,
    tenant TEXT
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS results (
    job_id TEXT NOT NULL,
    item_index INTEGER NOT NULL,
    digest TEXT NOT NULL,
    item_id TEXT NOT NULL,
    state TEXT NOT NULL,
    text TEXT NOT NULL,
    PRIMARY KEY (job_id, item_index, digest)
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS progress (
    job_id TEXT NOT NULL,
    item_index INTEGER NOT NULL,
    lineage TEXT NOT NULL,
    first INTEGER NOT NULL,
    last_event_id TEXT,
    texts BLOB NOT NULL,
    failures INTEGER NOT NULL,
    service TEXT NOT NULL DEFAULT '',
    version TEXT,
    PRIMARY KEY (job_id, item_index, lineage, first)
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS early_ends (job_id TEXT PRIMARY KEY) WITHOUT ROWID;
"""
ADDED_COLUMNS = {
    "jobs": {"tenant": "TEXT"},
    "progress": {"service": "TEXT NOT NULL DEFAULT ''", "version": "TEXT"},
}
"""Columns that databases of earlier versions lack, by table."""
PAGE_CACHE_KIB = 2048


@attrs.define
class HeldResults:
    """Summary of the stored results of one job, which may itself not be stored here.

    Attributes
    ----------
    items
        Bit mask of the indexes of items that have a result.
    digest
        Digest of the set of results, independent of their order; 0 if there are none.
    """

    items: int = 0
    digest: int = 0

    def add(self, index: int, digest: str) -> None:
        """Add a result that was not stored before."""
        self.items |= 1 << index
        self.digest ^= xxhash.xxh3_64_intdigest(f"{index}/{digest}".encode())


@attrs.define
class JobRecord:
    """In-memory record of a stored job.

    Attributes
    ----------
    sent_at
        Estimated monotonic time at which the job was first sent.
    ended
        Whether the job was ended by ``EndJob``, possibly with unfinished items.
    complete
        Whether all items are in the listing.
    results
        Summary of the stored results.
    """

    id: str
    total: int
    coordinator: str
    sent_at: float
    ended: bool
    complete: bool
    results: HeldResults


class JobDatabase:
    """The database of one storage node; thread-safe.

    Parameters
    ----------
    folder
        Folder of the database file; created if it does not exist.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._lock = threading.Lock()
        self._connection = _connect(folder / FILE_NAME)
        self._connection.execute("PRAGMA journal_mode = WAL")
        self._connection.execute("PRAGMA synchronous = FULL")
        self._connection.executescript(SCHEMA)
        self._add_missing_columns()
        # A separate connection lets reads continue while a write waits for the disk.
        self._read_lock = threading.Lock()
        self._reader = _connect(folder / FILE_NAME)
        self.by_id: dict[str, JobRecord] = {}
        self._results_by_job: defaultdict[str, HeldResults] = defaultdict(HeldResults)
        self._load()

    def store_job(self, job: Job, coordinator: str, ended: bool = False) -> JobRecord:
        """Store a job unless it is stored already; return its record."""
        with self._lock:
            record = self.by_id.get(job.id)
            if record is not None:
                return record
            document = msgspec.json.encode(job.document)
            sent_at = time.time() - job.age_s
            total = len(job.document.items)
            with self._transaction():
                early = self._connection.execute(
                    "SELECT 1 FROM early_ends WHERE job_id = ?", (job.id,)
                ).fetchone()
                ended = ended or early is not None
                self._connection.execute(
                    "INSERT INTO jobs VALUES (?, ?, ?, ?, ?, ?, ?, ?, 0, ?)",
                    (
                        job.id,
                        job.host,
                        job.path,
                        document,
                        total,
                        coordinator,
                        sent_at,
                        ended,
                        job.tenant,
                    ),
                )
            record = JobRecord(
                job.id,
                total,
                coordinator,
                boot_clock.now() - job.age_s,
                ended,
                False,
                self._results_by_job[job.id],
            )
            self.by_id[job.id] = record
            return record

    def store_results(self, job_id: str, results: Iterable[KeyedResult]) -> None:
        """Store results; those that are stored already are not changed."""
        rows = [
            (
                job_id,
                one.key.index,
                one.key.digest,
                one.result.item_id,
                one.result.state.value,
                one.result.text,
            )
            for one in results
        ]
        with self._lock:
            with self._transaction():
                added = [row for row in rows if self._insert_result(row)]
                self._connection.executemany(
                    "DELETE FROM progress WHERE job_id = ? AND item_index = ?",
                    [(job_id, row[1]) for row in rows],
                )
            for _, index, digest, *_ in added:
                self._results_by_job[job_id].add(index, digest)

    def has_results_beyond(self, job_id: str, items: int) -> bool:
        """Return whether a result is stored whose item is not in the bit mask ``items``."""
        held = self._results_by_job.get(job_id)
        return held is not None and bool(held.items & ~items)

    def store_progress(self, job_id: str, lineage: str, progress: Iterable[ItemProgress]) -> None:
        """Store the progress of running items, unless the job is over or not stored here."""
        record = self.by_id.get(job_id)
        if record is None or record.ended or record.complete:
            return
        rows = [
            (
                job_id,
                one.index,
                lineage,
                one.first,
                one.last_event_id,
                msgspec.json.encode(one.texts),
                one.failures,
                one.service,
                one.version,
            )
            for one in progress
        ]
        with self._lock, self._transaction():
            self._connection.executemany(
                "INSERT OR REPLACE INTO progress VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)", rows
            )

    def progress(self, job_id: str) -> tuple[ItemProgress, ...]:
        """Return the progress of unfinished items, for each the lineage with the most events."""
        with self._read_lock:
            rows = self._reader.execute(
                "SELECT item_index, lineage, first, last_event_id, texts, failures, service,"
                " version FROM progress WHERE job_id = ? ORDER BY item_index, lineage, first",
                (job_id,),
            ).fetchall()
        by_lineage: dict[tuple[int, str], ItemProgress] = {}
        for index, lineage, first, last_event_id, texts, failures, service, version in rows:
            decoded = msgspec.json.decode(texts, type=tuple[str, ...])
            part = ItemProgress(index, last_event_id, decoded, failures, first, service, version)
            known = by_lineage.get((index, lineage), ItemProgress(index, None, ()))
            by_lineage[index, lineage] = known.extended_by(part)
        longest: dict[int, ItemProgress] = {}
        for (index, _), known in by_lineage.items():
            if index not in longest or len(known.texts) > len(longest[index].texts):
                longest[index] = known
        return tuple(longest.values())

    def end_job(self, job_id: str) -> JobRecord | None:
        """Mark a job as ended, even if it is not stored yet; return its record, if any."""
        with self._lock:
            record = self.by_id.get(job_id)
            if record is not None and record.ended:
                return record
            with self._transaction():
                if record is None:
                    self._connection.execute(
                        "INSERT OR IGNORE INTO early_ends VALUES (?)", (job_id,)
                    )
                else:
                    self._connection.execute("UPDATE jobs SET ended = 1 WHERE id = ?", (job_id,))
            if record is not None:
                record.ended = True
            return record

    def set_coordinator(self, job_id: str, coordinator: str) -> None:
        """Store a job's coordinator, so that a restarted node can notice that it has ended."""
        with self._lock:
            record = self.by_id.get(job_id)
            if record is None or record.coordinator == coordinator:
                return
            with self._transaction():
                self._connection.execute(
                    "UPDATE jobs SET coordinator = ? WHERE id = ?", (coordinator, job_id)
                )
            record.coordinator = coordinator

    def complete_job(self, job_id: str) -> None:
        """Mark a job as complete: all of its items are listed."""
        with self._lock:
            record = self.by_id.get(job_id)
            if record is None or record.complete:
                return
            with self._transaction():
                self._connection.execute("UPDATE jobs SET complete = 1 WHERE id = ?", (job_id,))
                self._connection.execute("DELETE FROM progress WHERE job_id = ?", (job_id,))
            record.complete = True

    def job(self, job_id: str) -> Job | None:
        """Return a job with its document; ``None`` if it is not stored."""
        record = self.by_id.get(job_id)
        with self._read_lock:
            row = self._reader.execute(
                "SELECT host, path, document, tenant FROM jobs WHERE id = ?", (job_id,)
            ).fetchone()
        if row is None or record is None:
            return None
        host, path, document, tenant = row
        return Job(
            id=job_id,
            host=host,
            path=path,
            document=msgspec.json.decode(document, type=JobDocument),
            age_s=boot_clock.now() - record.sent_at,
            tenant=tenant,
        )

    def results(self, job_id: str, keys: Iterable[ResultKey]) -> tuple[KeyedResult, ...]:
        """Return the results for those of the given keys that are stored."""
        found = []
        with self._read_lock:
            for key in keys:
                row = self._reader.execute(
                    "SELECT item_id, state, text FROM results"
                    " WHERE job_id = ? AND item_index = ? AND digest = ?",
                    (job_id, key.index, key.digest),
                ).fetchone()
                if row is not None:
                    item_id, state, text = row
                    found.append(KeyedResult(key, JobResult(item_id, ResultState(state), text)))
        return tuple(found)

    def result_keys(self, job_id: str) -> tuple[ResultKey, ...]:
        """Return the keys of all stored results of a job."""
        with self._read_lock:
            rows = self._reader.execute(
                "SELECT item_index, digest FROM results WHERE job_id = ?", (job_id,)
            ).fetchall()
        return tuple(ResultKey(index, digest) for index, digest in rows)

    def size_bytes(self) -> int:
        """Return the size of the database file, without its write-ahead log."""
        with self._read_lock:
            (pages,) = self._reader.execute("PRAGMA page_count").fetchone()
            (page_bytes,) = self._reader.execute("PRAGMA page_size").fetchone()
        return pages * page_bytes

    def forget(self, job_id: str) -> None:
        """Remove a job with its results and progress."""
        with self._lock, self._transaction():
            self._connection.execute("DELETE FROM jobs WHERE id = ?", (job_id,))
            self._connection.execute("DELETE FROM results WHERE job_id = ?", (job_id,))
            self._connection.execute("DELETE FROM progress WHERE job_id = ?", (job_id,))
            self._connection.execute("DELETE FROM early_ends WHERE job_id = ?", (job_id,))
            self.by_id.pop(job_id, None)
            self._results_by_job.pop(job_id, None)

    def close(self) -> None:
        """Close the database."""
        with self._lock, self._read_lock:
            self._connection.close()
            self._reader.close()

    def _add_missing_columns(self) -> None:
        for table, columns in ADDED_COLUMNS.items():
            held = {row[1] for row in self._connection.execute(f"PRAGMA table_info({table})")}
            for name, kind in columns.items():
                if name not in held:
                    self._connection.execute(f"ALTER TABLE {table} ADD COLUMN {name} {kind}")

    def _load(self) -> None:
        now = time.time()
        rows = self._connection.execute(
            "SELECT id, total, coordinator, sent_at, ended, complete FROM jobs"
        ).fetchall()
        for job_id, total, coordinator, sent_at, ended, complete in rows:
            # The wall clock may have been set back, which must not make an age negative.
            age_s = max(0.0, now - sent_at)
            self.by_id[job_id] = JobRecord(
                job_id,
                total,
                coordinator,
                boot_clock.now() - age_s,
                bool(ended),
                bool(complete),
                self._results_by_job[job_id],
            )
        keys = self._connection.execute("SELECT job_id, item_index, digest FROM results")
        for job_id, index, digest in keys:
            self._results_by_job[job_id].add(index, digest)

    def _insert_result(self, row: tuple[str, int, str, str, str, str]) -> bool:
        """Insert a result in the current transaction; return whether it was not stored before."""
        cursor = self._connection.execute(
            "INSERT OR IGNORE INTO results VALUES (?, ?, ?, ?, ?, ?)", row
        )
        return cursor.rowcount == 1

    def _transaction(self) -> _Transaction:
        return _Transaction(self._connection)


class _Transaction:
    """Context manager that begins a transaction and commits it, or rolls it back."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def __enter__(self) -> None:
        self._connection.execute("BEGIN IMMEDIATE")

    def __exit__(self, kind, error, traceback) -> None:
        if kind is not None:
            self._connection.execute("ROLLBACK")
            return
        try:
            self._connection.execute("COMMIT")
        except sqlite3.Error:
            # Without a rollback the next transaction could not begin.
            with contextlib.suppress(sqlite3.Error):
                self._connection.execute("ROLLBACK")
            raise


def _connect(path: Path) -> sqlite3.Connection:
    connection = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
    connection.execute(f"PRAGMA cache_size = -{PAGE_CACHE_KIB}")
    return connection
