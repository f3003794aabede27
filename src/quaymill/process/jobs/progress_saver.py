"""Saves the progress of batch items, so that a job's next coordinator can resume them.

A coordinator that stops hands its progress over, but one that is killed cannot. So each item's new
events are sent regularly to the storage node that assigns the job to another gateway if its
coordinator dies. Otherwise the items would run again from their first event.
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
"""Bounds the work that is lost with a coordinator; costs one disk write per job and interval."""

LINEAGE_BYTES = 4
"""Enough to distinguish the few coordinators of one job."""


class ProgressSaver:
    """Saves the progress of one gateway's jobs.

    Parameters
    ----------
    open_jobs
        Returns the jobs that are not stopped.
    """

    def __init__(
        self, storage: JobStorageClient, open_jobs: Callable[[], list[CoordinatedJob]]
    ) -> None:
        self._storage = storage
        self._open_jobs = open_jobs
        self._stopping = threading.Event()
        self._saved_by_job: dict[str, _SavedProgress] = {}

    def start(self) -> None:
        """Start to save at intervals."""
        threading.Thread(target=self._run, name="item-progress", daemon=True).start()

    def stop(self) -> None:
        """Stop saving."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(SAVE_INTERVAL_S):
            try:
                self.save()
            except Exception as error:  # A bug must not end the thread.
                log_message("job:progress_error", error=repr(error))

    def save(self) -> None:
        """Save the events received since the last save."""
        jobs = {job.id: job for job in self._open_jobs()}
        self._saved_by_job = {
            job_id: saved for job_id, saved in self._saved_by_job.items() if job_id in jobs
        }
        for job in jobs.values():
            self._save_job(job)

    def _save_job(self, job: CoordinatedJob) -> None:
        node = self._storage.progress_node(job.id)
        saved = self._saved_by_job.get(job.id)
        if saved is None or saved.job is not job or saved.node != node or saved.is_outdated():
            # Another node is responsible now, the job was adopted again with other events, or an
            # item has started again: all progress is sent.
            saved = self._saved_by_job[job.id] = _SavedProgress(job, node)
        unsaved = tuple(saved.new_progress())
        if unsaved and node and self._storage.store_progress(job.id, saved.lineage, unsaved, node):
            saved.record(unsaved)


class _SavedProgress:
    """Progress of a job that one storage node has: the number of events by item.

    Attributes
    ----------
    lineage
        Random name for the series of events; a new one is used when all progress is sent again,
        so that events of different runs are not joined.
    """

    def __init__(self, job: CoordinatedJob, node: str) -> None:
        self.job = job
        self.node = node
        self.lineage = secrets.token_hex(LINEAGE_BYTES)
        self._events_by_index: dict[int, int] = {}
        self._discarded = self._count_discarded()

    def is_outdated(self) -> bool:
        """Return whether an item has discarded events that may be saved."""
        return self._count_discarded() != self._discarded

    def _count_discarded(self) -> int:
        return sum(item.discarded for item in self.job.items)

    def new_progress(self) -> list[ItemProgress]:
        """Return the progress of unfinished items that the node does not have."""
        unfinished = [
            item for item in self.job.items if item.state in (ItemState.WAITING, ItemState.RUNNING)
        ]
        parts = [item.progress(self._events_by_index.get(item.index, 0)) for item in unfinished]
        return [part for part in parts if part.texts]

    def record(self, progress: tuple[ItemProgress, ...]) -> None:
        """Record that the node has this progress."""
        for part in progress:
            self._events_by_index[part.index] = part.first + len(part.texts)
