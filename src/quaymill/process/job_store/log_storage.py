"""One replica's database: its identity, term, vote, log and state tables, in SQLite.

Writes of the log and of the state go into one transaction, which ``commit`` makes durable
with one fsync. State that is applied and not yet committed is lost in a crash and applied
again from the log. Whoever writes holds ``lock``; it covers the whole group commit, so that
no term, vote or entry can change between a check and its write.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

import msgspec

from quaymill.connection.log_messages import GroupMembership, LogEntry
from quaymill.process.job_store import schema
from quaymill.process.job_store.fair_lock import FairLock
from quaymill.process.job_store.identity import new_identity
from quaymill.process.job_store.log_tail import LogTail

WAL_CHECKPOINT_PAGES = 4000
BUSY_TIMEOUT_S = 5.0

_MEMBERSHIP_DECODER = msgspec.json.Decoder(GroupMembership)


class LogStorage:
    """The durable part of a replica.

    Attributes
    ----------
    lock
        Held by whoever writes; never taken by a thread that holds the replica's own lock.
    connection
        The only connection that writes; the state machine uses it under ``lock``.
    last_index, last_term
        The end of the log, which may not be durable yet.
    log_bytes
        About how many bytes the log's entries hold.
    applied_index
        Last entry whose effect is in the state tables.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.lock = FairLock()
        self.connection = _connect(path)
        self.tail = LogTail()
        self._create_tables()
        self._load()

    @property
    def has_unsaved_writes(self) -> bool:
        """Whether there are writes that are not durable yet."""
        return self.connection.in_transaction

    def begin(self) -> None:
        """Open a transaction unless one is open."""
        if not self.connection.in_transaction:
            self.connection.execute("BEGIN IMMEDIATE")

    def commit(self) -> None:
        """Make all writes durable; returns after the fsync."""
        if not self.connection.in_transaction:
            return
        self.connection.execute(
            "UPDATE replica SET applied_index = ? WHERE one = 1", (self.applied_index,)
        )
        self.connection.execute("COMMIT")
        self.tail.mark_durable(self.last_index)

    def save_vote(self, term: int, voted_for: str) -> None:
        """Store term and vote durably; must happen before the vote is answered."""
        self.begin()
        self.connection.execute(
            "UPDATE replica SET term = ?, voted_for = ? WHERE one = 1", (term, voted_for)
        )
        self.commit()
        self.term = term
        self.voted_for = voted_for

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Add entries after the last one; durable with the next ``commit``."""
        self.begin()
        self.connection.executemany(
            "INSERT INTO log VALUES (?, ?, ?, ?)",
            [
                (entry.index, entry.term, entry.changes_membership, bytes(entry.command))
                for entry in entries
            ],
        )
        for entry in entries:
            self.tail.append(entry)
            self.log_bytes += len(bytes(entry.command))
        self.last_index = entries[-1].index
        self.last_term = entries[-1].term

    def truncate_from(self, index: int) -> None:
        """Remove entries from ``index`` on, which contradict the leader's log."""
        self.begin()
        self.log_bytes -= self._bytes_of("log_index >= ?", index)
        self.connection.execute("DELETE FROM log WHERE log_index >= ?", (index,))
        self.connection.execute("DELETE FROM memberships WHERE log_index >= ?", (index,))
        self.tail.truncate_from(index)
        last_term = self.term_at(index - 1)
        self.last_index = index - 1
        self.last_term = last_term or 0

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; ``None`` if the log does not hold it."""
        if index == self.last_index:
            return self.last_term
        if index == self.snapshot_index:
            return self.snapshot_term
        entries = self.tail.read(index, 0)
        if entries:
            return entries[0].term
        row = self.connection.execute(
            "SELECT term FROM log WHERE log_index = ?", (index,)
        ).fetchone()
        return row[0] if row else None

    def read_entries(self, first_index: int, max_bytes: int) -> tuple[LogEntry, ...] | None:
        """Return entries from ``first_index`` on; ``None`` if it was compacted away.

        May be called without ``lock``: what the tail does not hold is read under it.
        """
        entries = self.tail.read(first_index, max_bytes)
        if entries is not None:
            return entries
        with self.lock:
            if first_index <= self.snapshot_index:
                return None
            return self._read_from_disk(first_index, max_bytes)

    def save_membership(self, index: int, membership: GroupMembership) -> None:
        """Store the membership that holds from ``index`` on."""
        self.begin()
        self.connection.execute(
            "INSERT OR REPLACE INTO memberships VALUES (?, ?)",
            (index, msgspec.json.encode(membership)),
        )

    def membership(self, up_to_index: int | None = None) -> GroupMembership | None:
        """Return the newest membership in the log, or the newest up to an index."""
        limit = self.last_index if up_to_index is None else up_to_index
        row = self.connection.execute(
            "SELECT membership FROM memberships WHERE log_index <= ? "
            "ORDER BY log_index DESC LIMIT 1",
            (limit,),
        ).fetchone()
        return _MEMBERSHIP_DECODER.decode(row[0]) if row else None

    def compact(self, up_to_index: int, max_entries: int) -> None:
        """Forget applied entries up to ``up_to_index``, at most ``max_entries`` at once."""
        last = min(up_to_index, self.applied_index, self.snapshot_index + max_entries)
        if last <= self.snapshot_index:
            return
        term = self.term_at(last)
        self.begin()
        self.log_bytes -= self._bytes_of("log_index <= ?", last)
        self.connection.execute("DELETE FROM log WHERE log_index <= ?", (last,))
        self.connection.execute(
            "DELETE FROM memberships WHERE log_index < "
            "(SELECT MAX(log_index) FROM memberships WHERE log_index <= ?)",
            (last,),
        )
        self._save_snapshot_position(last, term)

    def replace_log(self, last_index: int, last_term: int, membership: GroupMembership) -> None:
        """Forget the whole log: the state tables now hold a snapshot up to ``last_index``."""
        self.begin()
        self.connection.execute("DELETE FROM log")
        self.connection.execute("DELETE FROM memberships")
        self.tail.clear()
        self.log_bytes = 0
        self._save_snapshot_position(last_index, last_term)
        self.save_membership(last_index, membership)
        self.last_index = last_index
        self.last_term = last_term
        self.applied_index = last_index

    def open_reader(self) -> sqlite3.Connection:
        """Return a connection that sees what was durable when its transaction began."""
        return _connect(self.path)

    def close(self) -> None:
        """Close the database; what is not durable is dropped and applied again later."""
        with self.lock:
            self.connection.close()

    def _bytes_of(self, condition: str, index: int) -> int:
        row = self.connection.execute(
            f"SELECT TOTAL(LENGTH(command)) FROM log WHERE {condition}", (index,)
        ).fetchone()
        return int(row[0])

    def _save_snapshot_position(self, index: int, term: int) -> None:
        self.connection.execute(
            "UPDATE replica SET snapshot_index = ?, snapshot_term = ? WHERE one = 1",
            (index, term),
        )
        self.snapshot_index = index
        self.snapshot_term = term

    def _read_from_disk(self, first_index: int, max_bytes: int) -> tuple[LogEntry, ...]:
        rows = self.connection.execute(
            "SELECT log_index, term, changes_membership, command FROM log "
            "WHERE log_index >= ? ORDER BY log_index",
            (first_index,),
        )
        chosen: list[LogEntry] = []
        size = 0
        for index, term, changes_membership, command in rows:
            size += len(command)
            if chosen and size > max_bytes:
                break
            chosen.append(LogEntry(index, term, bool(changes_membership), msgspec.Raw(command)))
        rows.close()
        return tuple(chosen)

    def _create_tables(self) -> None:
        self.begin()
        for statement in schema.LOG_STATEMENTS:
            self.connection.execute(statement)
        for table in schema.STATE_TABLES:
            self.connection.execute(table.create_statement(table.name))
            for statement in table.index_statements():
                self.connection.execute(statement)
        self.connection.execute(
            "INSERT OR IGNORE INTO replica VALUES (1, ?, 0, '', 0, 0, 0)", (new_identity(),)
        )
        self.connection.execute("COMMIT")

    def _load(self) -> None:
        (
            self.identity,
            self.term,
            self.voted_for,
            self.applied_index,
            self.snapshot_index,
            self.snapshot_term,
        ) = self.connection.execute(
            "SELECT identity, term, voted_for, applied_index, snapshot_index, snapshot_term "
            "FROM replica"
        ).fetchone()
        row = self.connection.execute(
            "SELECT log_index, term FROM log ORDER BY log_index DESC LIMIT 1"
        ).fetchone()
        self.last_index, self.last_term = row or (self.snapshot_index, self.snapshot_term)
        self.log_bytes = self._bytes_of("log_index >= ?", 0)


def _connect(path: Path) -> sqlite3.Connection:
    connection = sqlite3.connect(
        path, timeout=BUSY_TIMEOUT_S, isolation_level=None, check_same_thread=False
    )
    connection.execute("PRAGMA journal_mode = WAL")
    connection.execute("PRAGMA synchronous = FULL")
    connection.execute(f"PRAGMA wal_autocheckpoint = {WAL_CHECKPOINT_PAGES}")
    return connection
