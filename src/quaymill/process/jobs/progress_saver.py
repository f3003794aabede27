"""Saves what runs of batch items have brought, so that a job's next coordinator goes on from there.

A coordinator that stops hands its progress over. One that is killed cannot: without this its items
would run again from their first event. Once a second, what is new of each item goes to the
storage node that gives the job away when its coordinator is gone.
"""

from __future__ import annotations

import secrets
import threading
from collections.abc import Callable

from eliot import log_message

from quaymill.connection.job_storage_messages import ItemProgress
from quaymill.process.jobs.coordinated_job import CoordinatedJob, ItemState
from quaymill.process.jobs.storage_client import JobStorageClient

SAVE_INTERVAL_S = 1.0
"""Work that may be lost with a coordinator; a write to one disk a job and interval."""

LINEAGE_BYTES = 4
"""Enough to tell the few coordinators of one job apart."""


class ProgressSaver:
    """Saves the progress of one gateway's jobs.

    Parameters
    ----------
    open_jobs
        Returns the jobs that are not over.
    """

    def __init__(
        self, storage: JobStorageClient, open_jobs: Callable[[], list[CoordinatedJob]]
    ) -> None:
        self._storage = storage
        self._open_jobs = open_jobs
        self._stopping = threading.Event()
        self._saved_by_job: dict[str, _Saved] = {}

    def start(self) -> None:
        """Begin to save."""
        threading.Thread(target=self._run, name="item-progress", daemon=True).start()

    def stop(self) -> None:
        """Save nothing more."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(SAVE_INTERVAL_S):
            try:
                self.save()
            except Exception as error:  # A bug must not end the saving for good.
                log_message("job:progress_error", error=repr(error))

    def save(self) -> None:
        """Save what is new since the last time."""
        jobs = {job.id: job for job in self._open_jobs()}
        self._saved_by_job = {
            job_id: saved for job_id, saved in self._saved_by_job.items() if job_id in jobs
        }
        for job in jobs.values():
            self._save_job(job)

    def _save_job(self, job: CoordinatedJob) -> None:
        node = self._storage.progress_node(job.id)
        saved = self._saved_by_job.get(job.id)
        if saved is None or saved.job is not job or saved.node != node:
            # Another node gives the job away now, or the job was adopted anew, with other texts:
            # everything is told.
            saved = self._saved_by_job[job.id] = _Saved(job, node)
        new = tuple(saved.new_progress())
        if new and node and self._storage.store_progress(job.id, saved.lineage, new, node):
            saved.take(new)


class _Saved:
    """What one storage node has of a job's items, in events by item.

    Attributes
    ----------
    lineage
        Names the texts that this process has of the job; drawn anew where all is told again.
    """

    def __init__(self, job: CoordinatedJob, node: str) -> None:
        self.job = job
        self.node = node
        self.lineage = secrets.token_hex(LINEAGE_BYTES)
        self._events_by_index: dict[int, int] = {}

    def new_progress(self) -> list[ItemProgress]:
        """Return what the node lacks."""
        unfinished = [
            item for item in self.job.items if item.state in (ItemState.WAITING, ItemState.RUNNING)
        ]
        parts = [item.progress(self._events_by_index.get(item.index, 0)) for item in unfinished]
        return [part for part in parts if part.texts]

    def take(self, progress: tuple[ItemProgress, ...]) -> None:
        """Note that the node has these."""
        for part in progress:
            self._events_by_index[part.index] = part.first + len(part.texts)
