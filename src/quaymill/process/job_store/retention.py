"""Removal of what has been kept long enough, a bounded number of rows at a time."""

from __future__ import annotations

import sqlite3

from quaymill.connection.job_messages import Accepted
from quaymill.process.job_store.commands import PurgeExpired
from quaymill.process.job_store.schema import item_key


def anything_to_purge(connection: sqlite3.Connection, before_unix_s: float) -> bool:
    """Return whether a purge would remove something; asked by the leader alone."""
    for query in (
        "SELECT 1 FROM jobs WHERE ended_unix_s < ? AND ended_unix_s IS NOT NULL LIMIT 1",
        "SELECT 1 FROM calls WHERE begun_unix_s < ? LIMIT 1",
        "SELECT 1 FROM files WHERE created_unix_s < ? "
        "AND file_id NOT IN (SELECT file_id FROM jobs) LIMIT 1",
    ):
        if connection.execute(query, (before_unix_s,)).fetchone():
            return True
    return False


def purge(connection: sqlite3.Connection, message: PurgeExpired) -> Accepted:
    """Remove jobs, then files no job uses, then calls; the oldest first."""
    _purge_jobs(connection, message)
    _purge_files(connection, message)
    connection.execute(
        "DELETE FROM calls WHERE (tenant, service, call_key) IN "
        "(SELECT tenant, service, call_key FROM calls WHERE begun_unix_s < ? "
        "ORDER BY begun_unix_s, tenant, service, call_key LIMIT ?)",
        (message.before_unix_s, message.limit),
    )
    connection.execute("DELETE FROM lease_requests WHERE at_unix_s < ?", (message.before_unix_s,))
    return Accepted()


def _purge_jobs(connection: sqlite3.Connection, message: PurgeExpired) -> None:
    job = connection.execute(
        "SELECT job_number FROM jobs WHERE ended_unix_s < ? AND ended_unix_s IS NOT NULL "
        "ORDER BY ended_unix_s, job_id LIMIT 1",
        (message.before_unix_s,),
    ).fetchone()
    if job is None:
        return
    removed = connection.execute(
        "DELETE FROM results WHERE item_key IN (SELECT item_key FROM results "
        "WHERE item_key BETWEEN ? AND ? ORDER BY item_key LIMIT ?)",
        (item_key(job[0], 0), item_key(job[0] + 1, 0) - 1, message.limit),
    )
    if removed.rowcount < message.limit:
        connection.execute("DELETE FROM jobs WHERE job_number = ?", job)


def _purge_files(connection: sqlite3.Connection, message: PurgeExpired) -> None:
    file = connection.execute(
        "SELECT file_id FROM files WHERE created_unix_s < ? "
        "AND file_id NOT IN (SELECT file_id FROM jobs) "
        "ORDER BY created_unix_s, file_id LIMIT 1",
        (message.before_unix_s,),
    ).fetchone()
    if file is None:
        return
    removed = connection.execute(
        "DELETE FROM chunks WHERE file_id = ? AND chunk_index IN "
        "(SELECT chunk_index FROM chunks WHERE file_id = ? ORDER BY chunk_index LIMIT ?)",
        (file[0], file[0], message.limit),
    )
    if removed.rowcount < message.limit:
        connection.execute("DELETE FROM files WHERE file_id = ?", file)
