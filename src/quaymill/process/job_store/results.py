"""Reading of results, in pages bounded by count and by bytes."""

from __future__ import annotations

import sqlite3

import msgspec

from quaymill.connection.job_messages import ItemResult, ReadResults, ResultPage, StoreConflict
from quaymill.process.job_store.file_state import FileState
from quaymill.process.job_store.schema import item_index, item_key

MAX_PAGE_BYTES = 4 * 1024 * 1024
MAX_PAGE_RESULTS = 10_000


def read_results(
    connection: sqlite3.Connection, files: FileState, message: ReadResults
) -> ResultPage | StoreConflict:
    """Return one page of the results of a job, in the order of item indexes."""
    job = connection.execute(
        "SELECT file_id, job_number FROM jobs WHERE job_id = ?", (message.job_id,)
    ).fetchone()
    if job is None:
        return StoreConflict(f"there is no job {message.job_id}", "check the job id")
    file_id, job_number = job
    limit = min(message.limit, MAX_PAGE_RESULTS)
    rows = connection.execute(
        f"SELECT item_key, status, response FROM results WHERE failed = {int(message.failed)} "
        "AND item_key BETWEEN ? AND ? ORDER BY item_key LIMIT ?",
        (
            item_key(job_number, max(message.after_index + 1, 0)),
            item_key(job_number + 1, 0) - 1,
            limit,
        ),
    )
    results: list[ItemResult] = []
    size_bytes = 0
    for key, status, response in rows:
        index = item_index(key)
        size_bytes += len(response)
        custom_id = files.item(file_id, index).custom_id
        results.append(ItemResult(index, custom_id, status, msgspec.Raw(response)))
        if size_bytes > MAX_PAGE_BYTES:
            break
    rows.close()
    more = len(results) == limit or size_bytes > MAX_PAGE_BYTES
    return ResultPage(results=tuple(results), more=more)
