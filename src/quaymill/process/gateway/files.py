"""OpenAI's files API: upload of batch inputs, and download of batch results."""

from __future__ import annotations

import secrets
from collections.abc import Iterator

import msgspec

from quaymill.connection.identifiers import group_number
from quaymill.connection.job_messages import (
    CreateFile,
    FileRecord,
    GetFile,
    GetJob,
    JobRecord,
    JobState,
    ReadResults,
    ResultPage,
    StoreConflict,
)
from quaymill.process.gateway.batch_lines import LineChecker
from quaymill.process.gateway.file_upload import FileUpload, UploadedFile
from quaymill.process.gateway.http import (
    IDEMPOTENCY_KEY_HEADER,
    READ_BLOCK_BYTES,
    Request,
    Response,
    RouteTable,
    failure_response,
    json_response,
)
from quaymill.process.gateway.multipart import FormReader
from quaymill.process.gateway.result_lines import result_line
from quaymill.request.outcome import Failure, NotRun

OUTPUT_PREFIX = "output-"
ERRORS_PREFIX = "errors-"
FILE_PREFIX = "file-"
PURPOSE = "batch"
READ_TIMEOUT_S = 10.0
RESULTS_PER_PAGE = 500
JSON_LINES_CONTENT_TYPE = "application/jsonl"


class FileObject(msgspec.Struct, frozen=True):
    """A file in OpenAI's format."""

    id: str
    bytes: int
    created_at: int
    filename: str
    purpose: str = PURPOSE
    object: str = "file"
    status: str = "processed"


class FilesApi:
    """Handlers of ``/v1/files``.

    Parameters
    ----------
    job_store
        ``JobStoreClient``.
    holder
        The configuration in force, which names the services.
    max_line_bytes
        Longest line of an input file.
    """

    def __init__(self, job_store, holder, max_line_bytes: int) -> None:
        self._job_store = job_store
        self._holder = holder
        self._max_line_bytes = max_line_bytes

    def add_routes(self, routes: RouteTable) -> None:
        """Add the handlers to the gateway's route table."""
        routes.add("POST", "/v1/files", self.upload)
        routes.add("GET", "/v1/files/{file_id}", self.show)
        routes.add("GET", "/v1/files/{file_id}/content", self.download)

    def upload(self, request: Request) -> Response:
        """Store a batch input file; a resend with the same key finds the file that exists."""
        # One group for all files and jobs of a tenant, so that the key of a job finds it again
        # also when its file was uploaded anew.
        group = self._job_store.group_of(request.tenant)
        create = CreateFile(
            group=group,
            file_id=f"{FILE_PREFIX}{group}-{secrets.token_hex(12)}",
            tenant=request.tenant,
            name="",
            idempotency_key=request.headers.get(IDEMPOTENCY_KEY_HEADER.lower(), ""),
        )
        lines = LineChecker(self._holder.current())
        upload = FileUpload(self._job_store, lines, create, self._max_line_bytes)
        form = FormReader("file", upload)
        fault = form.read(request.headers.get("content-type", ""), _blocks(request))
        if fault is not None:
            return failure_response(fault, "file")
        if not form.has_file:
            return failure_response(NotRun(400, "file is missing", "send a file part"), "file")
        if form.fields.get("purpose") != PURPOSE:
            reason = f"purpose is {form.fields.get('purpose')!r}"
            return failure_response(NotRun(400, reason, f"use {PURPOSE!r}"), "purpose")
        uploaded = upload.finish()
        if not isinstance(uploaded, UploadedFile):
            return failure_response(uploaded, "file")
        return self._show_input(request.tenant, uploaded.file_id)

    def show(self, request: Request) -> Response:
        """Describe a file."""
        file_id = request.parameters["file_id"]
        if not file_id.startswith((OUTPUT_PREFIX, ERRORS_PREFIX)):
            return self._show_input(request.tenant, file_id)
        job = self._find_job(request.tenant, file_id)
        if not isinstance(job, JobRecord):
            return failure_response(job, "file_id")
        created_at = int(job.ended_unix_s or job.created_unix_s)
        document = FileObject(file_id, 0, created_at, f"{file_id}.jsonl", "batch_output")
        return json_response(document)

    def download(self, request: Request) -> Response:
        """Stream the results or the errors of a job that has ended, in the order of the input."""
        file_id = request.parameters["file_id"]
        if not file_id.startswith((OUTPUT_PREFIX, ERRORS_PREFIX)):
            return self._refuse_input_content(request.tenant, file_id)
        job = self._find_job(request.tenant, file_id)
        if not isinstance(job, JobRecord):
            return failure_response(job, "file_id")
        failed = file_id.startswith(ERRORS_PREFIX)
        page = self._read_page(job.job_id, -1, failed)
        if not isinstance(page, ResultPage):
            return failure_response(page)
        return Response(
            headers={"Content-Type": JSON_LINES_CONTENT_TYPE},
            body=self._result_blocks(job.job_id, page, failed),
        )

    def _show_input(self, tenant: str, file_id: str) -> Response:
        record = find_file(self._job_store, tenant, file_id)
        if not isinstance(record, FileRecord):
            return failure_response(record, "file_id")
        created_at = int(record.created_unix_s)
        return json_response(FileObject(file_id, record.byte_count, created_at, record.name))

    def _refuse_input_content(self, tenant: str, file_id: str) -> Response:
        record = find_file(self._job_store, tenant, file_id)
        if not isinstance(record, FileRecord):
            return failure_response(record, "file_id")
        reason = "the content of an input file cannot be downloaded"
        return failure_response(NotRun(400, reason, "keep your own copy of it"), "file_id")

    def _find_job(self, tenant: str, file_id: str) -> JobRecord | Failure:
        job_id = file_id.removeprefix(OUTPUT_PREFIX).removeprefix(ERRORS_PREFIX)
        job = find_job(self._job_store, tenant, job_id)
        if isinstance(job, JobRecord) and job.state == JobState.IN_PROGRESS:
            return NotRun(404, f"job {job_id} has not ended", "wait for its final status", 2.0)
        return job

    def _read_page(self, job_id: str, after_index: int, failed: bool) -> ResultPage | Failure:
        message = ReadResults(group_number(job_id), job_id, after_index, RESULTS_PER_PAGE, failed)
        reply = self._job_store.call(message, ResultPage, READ_TIMEOUT_S)
        if isinstance(reply, StoreConflict):
            return NotRun(404, reply.reason, reply.remedy)
        return reply

    def _result_blocks(self, job_id: str, page: ResultPage, failed: bool) -> Iterator[bytes]:
        """Yield the lines page by page.

        Raises
        ------
        ConnectionError
            If the store cannot be read any more: the connection is cut, so that the caller
            cannot take a part for the whole.
        """
        while True:
            if page.results:
                yield b"".join(result_line(job_id, result, failed) for result in page.results)
            if not page.more:
                return
            next_page = self._read_page(job_id, page.results[-1].index, failed)
            if not isinstance(next_page, ResultPage):
                raise ConnectionError(f"results of {job_id} cannot be read: {next_page.reason}")
            page = next_page


def find_file(job_store, tenant: str, file_id: str) -> FileRecord | Failure:
    """Return a sealed file of the tenant; another tenant's file does not exist for it."""
    missing = NotRun(404, f"there is no file {file_id}", "check the file id")
    group = _group_in(job_store, file_id)
    if group is None:
        return missing
    record = job_store.call(GetFile(group, file_id), FileRecord, READ_TIMEOUT_S)
    if isinstance(record, StoreConflict):
        return missing
    if isinstance(record, FileRecord) and (record.tenant != tenant or not record.sealed):
        return missing
    return record


def find_job(job_store, tenant: str, job_id: str) -> JobRecord | Failure:
    """Return a job of the tenant; another tenant's job does not exist for it."""
    missing = NotRun(404, f"there is no batch {job_id}", "check the batch id")
    group = _group_in(job_store, job_id)
    if group is None:
        return missing
    record = job_store.call(GetJob(group, job_id), JobRecord, READ_TIMEOUT_S)
    if isinstance(record, StoreConflict):
        return missing
    if isinstance(record, JobRecord) and record.tenant != tenant:
        return missing
    return record


def _group_in(job_store, identifier: str) -> int | None:
    """Return the log group that an id names; ``None`` if there is no such group."""
    try:
        group = group_number(identifier)
    except ValueError:
        return None
    return group if group < job_store.group_count else None


def _blocks(request: Request) -> Iterator[bytes]:
    """Yield the body in blocks; of a refused file the rest is read too.

    A caller that still sends would not see an answer that is followed by a closed connection.
    """
    remaining = request.content_length
    while remaining is None or remaining > 0:
        size = READ_BLOCK_BYTES if remaining is None else min(READ_BLOCK_BYTES, remaining)
        block = request.body.read(size)
        if not block:
            return
        if remaining is not None:
            remaining -= len(block)
        yield block
