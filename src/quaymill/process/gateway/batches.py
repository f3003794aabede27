"""OpenAI's batches API: create, get, list and cancel jobs."""

from __future__ import annotations

import re
import secrets
import time
from urllib.parse import parse_qs

import msgspec

from quaymill.connection.identifiers import group_number
from quaymill.connection.job_messages import (
    Accepted,
    CancelJob,
    CreateJob,
    FileRecord,
    JobList,
    JobRecord,
    JobState,
    ListJobs,
    StoreConflict,
)
from quaymill.process.gateway.batch_lines import target_of
from quaymill.process.gateway.files import (
    ERRORS_PREFIX,
    OUTPUT_PREFIX,
    READ_TIMEOUT_S,
    find_file,
    find_job,
)
from quaymill.process.gateway.http import (
    IDEMPOTENCY_KEY_HEADER,
    Request,
    Response,
    RouteTable,
    failure_response,
    json_response,
)
from quaymill.request.outcome import Failure, NotRun

STORE_TIMEOUT_S = 10.0
DEFAULT_LIST_LIMIT = 20
MAX_LIST_LIMIT = 100
MAX_METADATA_PAIRS = 16
MAX_CREATE_BYTES = 64 * 1024
CONFLICT_STATUS = 409
_UNIT_S = {"m": 60, "h": 3600, "d": 24 * 3600}
_WINDOW = re.compile(r"([1-9]\d{0,4})([mhd])")


class CreateBatch(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/batches``."""

    input_file_id: str
    endpoint: str
    completion_window: str
    metadata: dict[str, str] | None = None


class RequestCounts(msgspec.Struct, frozen=True):
    """Items of a job by how they ended."""

    total: int
    completed: int
    failed: int


class BatchObject(msgspec.Struct, frozen=True):
    """A job in OpenAI's format; times are whole Unix seconds."""

    id: str
    endpoint: str
    input_file_id: str
    completion_window: str
    status: str
    output_file_id: str | None
    error_file_id: str | None
    created_at: int
    in_progress_at: int
    expires_at: int
    completed_at: int | None
    cancelled_at: int | None
    request_counts: RequestCounts
    metadata: dict[str, str] | None
    object: str = "batch"
    errors: None = None
    finalizing_at: int | None = None
    failed_at: int | None = None
    expired_at: int | None = None
    cancelling_at: int | None = None


class BatchList(msgspec.Struct, frozen=True):
    """A page of jobs in OpenAI's format."""

    data: list[BatchObject]
    first_id: str | None
    last_id: str | None
    has_more: bool
    object: str = "list"


class BatchesApi:
    """Handlers of ``/v1/batches``."""

    def __init__(self, job_store) -> None:
        self._job_store = job_store

    def add_routes(self, routes: RouteTable) -> None:
        """Add the handlers to the gateway's route table."""
        routes.add("POST", "/v1/batches", self.create)
        routes.add("GET", "/v1/batches", self.list)
        routes.add("GET", "/v1/batches/{batch_id}", self.show)
        routes.add("POST", "/v1/batches/{batch_id}/cancel", self.cancel)

    def create(self, request: Request) -> Response:
        """Start a job; a resend with the same key finds the job that exists."""
        content = request.read_body(MAX_CREATE_BYTES)
        if isinstance(content, NotRun):
            return failure_response(content)
        try:
            wanted = msgspec.json.decode(content, type=CreateBatch)
        except msgspec.MsgspecError as error:
            reason, _, place = str(error).partition(" - at `$")
            return failure_response(NotRun(400, reason, "mend the body"), place.strip("`.") or None)
        job = self._job_of(request, wanted)
        if not isinstance(job, CreateJob):
            return job
        reply = self._job_store.call(job, Accepted, STORE_TIMEOUT_S)
        if isinstance(reply, StoreConflict):
            return failure_response(NotRun(CONFLICT_STATUS, reply.reason, reply.remedy))
        if not isinstance(reply, Accepted):
            return failure_response(reply)
        return self._show(request.tenant, reply.id)

    def show(self, request: Request) -> Response:
        """Describe a job."""
        return self._show(request.tenant, request.parameters["batch_id"])

    def cancel(self, request: Request) -> Response:
        """Stop a job; one that has ended stays as it is."""
        batch_id = request.parameters["batch_id"]
        job = find_job(self._job_store, request.tenant, batch_id)
        if not isinstance(job, JobRecord):
            return failure_response(job, "batch_id")
        message = CancelJob(group_number(batch_id), batch_id)
        reply = self._job_store.call(message, JobRecord, STORE_TIMEOUT_S)
        if isinstance(reply, StoreConflict):
            return failure_response(NotRun(CONFLICT_STATUS, reply.reason, reply.remedy))
        if not isinstance(reply, JobRecord):
            return failure_response(reply)
        return json_response(batch_object(reply))

    def list(self, request: Request) -> Response:
        """List the jobs of the tenant, newest first."""
        query = parse_qs(request.query)
        limit_text = query.get("limit", [str(DEFAULT_LIST_LIMIT)])[0]
        if not limit_text.isdigit() or not 1 <= int(limit_text) <= MAX_LIST_LIMIT:
            reason = f"limit is {limit_text!r}"
            remedy = f"use a number from 1 to {MAX_LIST_LIMIT}"
            return failure_response(NotRun(400, reason, remedy), "limit")
        group = self._job_store.group_of(request.tenant)
        reply = self._job_store.call(
            ListJobs(group, request.tenant, 10_000), JobList, READ_TIMEOUT_S
        )
        if isinstance(reply, StoreConflict):
            return failure_response(NotRun(CONFLICT_STATUS, reply.reason, reply.remedy))
        if not isinstance(reply, JobList):
            return failure_response(reply)
        return json_response(_page(reply, query.get("after", [""])[0], int(limit_text)))

    def _job_of(self, request: Request, wanted: CreateBatch) -> CreateJob | Response:
        window = _WINDOW.fullmatch(wanted.completion_window)
        if window is None:
            reason = f"completion_window is {wanted.completion_window!r}"
            return failure_response(NotRun(400, reason, "use for example 24h"), "completion_window")
        if wanted.metadata is not None and len(wanted.metadata) > MAX_METADATA_PAIRS:
            remedy = f"use at most {MAX_METADATA_PAIRS} pairs"
            return failure_response(NotRun(400, "metadata is too large", remedy), "metadata")
        file = find_file(self._job_store, request.tenant, wanted.input_file_id)
        if not isinstance(file, FileRecord):
            return failure_response(file, "input_file_id")
        target = target_of(file.first_item.url, file.first_item.body)
        if wanted.endpoint.rstrip("/") != target.endpoint:
            reason = f"endpoint is {wanted.endpoint!r}, but the file is for {target.endpoint}"
            return failure_response(NotRun(400, reason, f"use {target.endpoint}"), "endpoint")
        now_unix_s = time.time()
        group = group_number(wanted.input_file_id)
        return CreateJob(
            group=group,
            job_id=f"batch_{group}_{secrets.token_hex(12)}",
            file_id=wanted.input_file_id,
            tenant=request.tenant,
            endpoint=target.endpoint,
            service=target.service,
            created_unix_s=now_unix_s,
            deadline_unix_s=now_unix_s + int(window[1]) * _UNIT_S[window[2]],
            idempotency_key=request.headers.get(IDEMPOTENCY_KEY_HEADER.lower(), ""),
            metadata=wanted.metadata or {},
        )

    def _show(self, tenant: str, batch_id: str) -> Response:
        job: JobRecord | Failure = find_job(self._job_store, tenant, batch_id)
        if not isinstance(job, JobRecord):
            return failure_response(job, "batch_id")
        return json_response(batch_object(job))


def batch_object(job: JobRecord) -> BatchObject:
    """Return a job in OpenAI's format."""
    ended = job.state != JobState.IN_PROGRESS
    ended_at = int(job.ended_unix_s) if job.ended_unix_s is not None else None
    return BatchObject(
        id=job.job_id,
        endpoint=job.endpoint,
        input_file_id=job.file_id,
        completion_window=_window_text(job.deadline_unix_s - job.created_unix_s),
        status=job.state.value,
        output_file_id=OUTPUT_PREFIX + job.job_id if ended and job.completed else None,
        error_file_id=ERRORS_PREFIX + job.job_id if ended and job.failed else None,
        created_at=int(job.created_unix_s),
        in_progress_at=int(job.created_unix_s),
        expires_at=int(job.deadline_unix_s),
        completed_at=ended_at if job.state == JobState.COMPLETED else None,
        cancelled_at=ended_at if job.state == JobState.CANCELLED else None,
        request_counts=RequestCounts(job.total, job.completed, job.failed),
        metadata=job.metadata or None,
    )


def _window_text(window_s: float) -> str:
    minutes = round(window_s / _UNIT_S["m"])
    return f"{minutes}m" if minutes % 60 else f"{minutes // 60}h"


def _page(jobs: JobList, after: str, limit: int) -> BatchList:
    records = list(jobs.jobs)
    ids = [record.job_id for record in records]
    if after in ids:
        records = records[ids.index(after) + 1 :]
    shown = [batch_object(record) for record in records[:limit]]
    return BatchList(
        data=shown,
        first_id=shown[0].id if shown else None,
        last_id=shown[-1].id if shown else None,
        has_more=len(records) > limit,
    )
