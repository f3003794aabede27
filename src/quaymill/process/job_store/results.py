"""Reading of results, in pages bounded by count and by bytes."""

from __future__ import annotations

import sqlite3

import msgspec

from quaymill.connection.job_messages import (
    ItemResult,
    ReadResults,
    ResultPage,
    StoreConflict,
)
from quaymill.process.job_store.file_state import FileState

MAX_PAGE_BYTES = 4 * 1024 * 1024
MAX_PAGE_RESULTS = 10_000


def read_results(
    connection: sqlite3.Connection, files: FileState, message: ReadResults
) -> ResultPage | StoreConflict:
    """Return one page of the results of a job, in the order of item indexes."""
    job = connection.execute(
        "SELECT file_id FROM jobs WHERE job_id = ?", (message.job_id,)
    ).fetchone()
    if job is None:
        return StoreConflict(f"there is no job {message.job_id}", "check the job id")
    limit = min(message.limit, MAX_PAGE_RESULTS)
    rows = connection.execute(
        "SELECT item_index, status, response FROM results "
        "WHERE job_id = ? AND failed = ? AND item_index > ? ORDER BY item_index LIMIT ?",
        (message.job_id, int(message.failed), message.after_index, limit),
    )
    results: list[ItemResult] = []
    size_bytes = 0
    for index, status, response in rows:
        size_bytes += len(response)
        custom_id = files.item(job[0], index).custom_id
        results.append(ItemResult(index, custom_id, status, msgspec.Raw(response)))
        if size_bytes > MAX_PAGE_BYTES:
            break
    rows.close()
    more = len(results) == limit or size_bytes > MAX_PAGE_BYTES
    return ResultPage(results=tuple(results), more=more)
