"""Handlers of a storage node for messages about jobs."""

from __future__ import annotations

import threading

import xxhash
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.job_storage_messages import (
    CompareJobs,
    EndJob,
    FetchBody,
    FetchedBody,
    FetchedResults,
    FetchLeases,
    FetchResultKeys,
    FetchResults,
    FindJob,
    JobEnded,
    JobFound,
    JobsRenewed,
    JobStored,
    JobSummaries,
    JobSummary,
    JobUnknown,
    Leases,
    ListedItems,
    ProgressStored,
    RenewJobs,
    ResultKeys,
    ResultsStored,
    StoreJob,
    StoreProgress,
    StoreResults,
)
from quaymill.connection.peer_link import PeerMessage, PeerRefusal
from quaymill.connection.peer_server import PeerServer
from quaymill.process.job_storage.database import JobDatabase
from quaymill.process.job_storage.leases import Leases as LeaseTable

MAX_DISK_SHARE = 0.7
"""Share of the disk above which new jobs are refused; results and the log need the rest."""


class JobStorageService:
    """Registers and implements the message handlers of one storage node.

    Parameters
    ----------
    disk_bytes
        Size of the disk; 0 if it is not known.

    Attributes
    ----------
    retiring
        Set while the node is being emptied and refuses new data.
    """

    def __init__(
        self,
        database: JobDatabase,
        leases: LeaseTable,
        peer_server: PeerServer,
        disk_bytes: float = 0.0,
    ) -> None:
        self._database = database
        self._disk_bytes = disk_bytes
        self._leases = leases
        self.retiring = threading.Event()
        handlers = {
            StoreJob: self._store_job,
            StoreResults: self._store_results,
            StoreProgress: self._store_progress,
            FetchResults: self._fetch_results,
            FindJob: self._find_job,
            FetchBody: self._fetch_body,
            EndJob: self._end_job,
            RenewJobs: self._renew_jobs,
            CompareJobs: self._compare_jobs,
            FetchResultKeys: self._fetch_result_keys,
            FetchLeases: self._fetch_leases,
        }
        for message_type, handler in handlers.items():
            peer_server.register(message_type, handler)

    def _store_job(self, message: StoreJob) -> PeerMessage:
        if self.retiring.is_set():
            return PeerRefusal("this node is being emptied")
        if self._disk_bytes and self._database.size_bytes() > MAX_DISK_SHARE * self._disk_bytes:
            return PeerRefusal("the disk is nearly full")
        known = message.job.id in self._database.by_id
        record = self._database.store_job(message.job, message.coordinator)
        if not known:
            self._leases.renew([message.job.id], message.coordinator)
            log_message(
                "job:stored",
                job=message.job.id,
                items=record.total,
                coordinator=message.coordinator,
            )
        holder = self._leases.holder(message.job.id, record.coordinator)
        return JobStored(holder, record.ended)

    def _store_results(self, message: StoreResults) -> PeerMessage:
        if self.retiring.is_set():
            return PeerRefusal("this node is being emptied")
        self._database.store_results(message.job_id, message.results)
        return ResultsStored()

    def _store_progress(self, message: StoreProgress) -> PeerMessage:
        if self.retiring.is_set():
            return PeerRefusal("this node is being emptied")
        self._database.store_progress(message.job_id, message.lineage, message.progress)
        return ProgressStored()

    def _fetch_results(self, message: FetchResults) -> FetchedResults:
        return FetchedResults(self._database.results(message.job_id, message.keys))

    def _find_job(self, message: FindJob) -> JobFound | JobUnknown:
        record = self._database.by_id.get(message.job_id)
        if record is None:
            return JobUnknown()
        job = self._database.job(message.job_id) if message.whole else None
        coordinator = self._leases.holder(message.job_id, record.coordinator)
        return JobFound(coordinator, record.ended, record.total, job)

    def _fetch_body(self, message: FetchBody) -> FetchedBody | JobUnknown:
        job = self._database.job(message.job_id)
        if job is None:
            return JobUnknown()
        items = (item for item in job.document.items if item.id == message.item_id)
        item = next(items, None)
        return FetchedBody(None if item is None else item.body)

    def _end_job(self, message: EndJob) -> JobEnded:
        record = self._database.end_job(message.job_id)
        log_message("job:ended", job=message.job_id, known=record is not None)
        holder = self._leases.holder(message.job_id)
        return JobEnded(holder or ("" if record is None else record.coordinator))

    def _renew_jobs(self, message: RenewJobs) -> JobsRenewed:
        taken = self._leases.renew(message.open_jobs, message.coordinator)
        for job_id in set(message.open_jobs) - set(taken):
            self._database.set_coordinator(job_id, message.coordinator)
        for handed in message.handed_over_jobs:
            self._leases.hand_over(handed.job_id, message.coordinator, handed.successor)
            self._database.set_coordinator(handed.job_id, handed.successor)
        for job_id in message.complete_jobs:
            self._database.complete_job(job_id)
        for job_id in message.released_jobs:
            self._leases.release(job_id, message.coordinator)
        ended = []
        for job_id in message.open_jobs:
            record = self._database.by_id.get(job_id)
            if record is not None and record.ended:
                ended.append(job_id)
        return JobsRenewed(tuple(ended), tuple(taken), self._confirmed(message.orders))

    def _confirmed(self, orders: tuple[ListedItems, ...]) -> tuple[str, ...]:
        """Return the jobs all of whose stored results are for items that the coordinator lists."""
        return tuple(
            order.job_id
            for order in orders
            if not self._database.has_results_beyond(order.job_id, int(order.listed, 16))
        )

    def _compare_jobs(self, message: CompareJobs) -> JobSummaries:
        records = list(self._database.by_id.values())
        text = "".join(
            f"{record.id}/{record.results.digest}/{record.ended:d}{record.complete:d};"
            for record in sorted(records, key=lambda record: record.id)
        )
        digest = xxhash.xxh3_64_hexdigest(text.encode())
        if digest == message.digest:
            return JobSummaries(digest, (), unchanged=True)
        return JobSummaries(
            digest,
            tuple(
                JobSummary(
                    record.id,
                    record.results.digest,
                    record.ended,
                    record.complete,
                    self._leases.holder(record.id, record.coordinator),
                    round(self._leases.left_s(record.id), 3),
                )
                for record in records
            ),
        )

    def _fetch_result_keys(self, message: FetchResultKeys) -> ResultKeys:
        return ResultKeys(self._database.result_keys(message.job_id))

    def _fetch_leases(self, message: FetchLeases) -> Leases:
        asked = zip(message.job_ids, message.ended_holders, strict=True)
        return Leases(
            tuple(self._leases.left_s(job_id, ended) for job_id, ended in asked),
            tuple(self._has_ended(job_id) for job_id in message.job_ids),
            tuple(job_id in self._database.by_id for job_id in message.job_ids),
        )

    def _has_ended(self, job_id: str) -> bool:
        record = self._database.by_id.get(job_id)
        return record is not None and record.ended


class Retention:
    """Removes jobs whose results need not be readable any more.

    Parameters
    ----------
    retention_s
        Time for which results stay readable after the job was first sent.
    """

    def __init__(self, database: JobDatabase, leases: LeaseTable, retention_s: float) -> None:
        self._database = database
        self._leases = leases
        self._retention_s = retention_s

    def sweep(self) -> None:
        """Remove the jobs that are complete or ended and older than the retention time."""
        horizon = boot_clock.now() - self._retention_s
        for record in list(self._database.by_id.values()):
            if record.sent_at < horizon and (record.complete or record.ended):
                self._database.forget(record.id)
                self._leases.forget(record.id)
                log_message("job:forgotten", job=record.id)
