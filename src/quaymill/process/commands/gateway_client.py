"""Talks to a gateway for the command line: uploads, jobs and results, with safe repeats."""

from __future__ import annotations

import contextlib
import secrets
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import BinaryIO, TypeVar

import msgspec
import urllib3
from urllib3.fields import RequestField

from quaymill.connection.strict_http import StrictHTTPConnection
from quaymill.process.gateway.batches import BatchObject
from quaymill.process.gateway.files import FileObject

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 60.0
MAX_TRIES = 5
DEFAULT_RETRY_AFTER_S = 1.0
BLOCK_BYTES = 256 * 1024
_RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})

Document = TypeVar("Document")
Progress = Callable[[int, int], None]


class GatewayError(msgspec.Struct, frozen=True):
    """Why a command failed, with what the gateway said."""

    status: int
    message: str
    retry_after_s: float | None = None


class _ErrorBody(msgspec.Struct, frozen=True):
    message: str = ""


class _ErrorDocument(msgspec.Struct, frozen=True):
    error: _ErrorBody = _ErrorBody()


class _StrictPool(urllib3.HTTPConnectionPool):
    """Connections that return only well-formed answers."""

    ConnectionCls = StrictHTTPConnection


class GatewayClient:
    """Sends a tenant's requests; those with an idempotency key are repeated when in doubt."""

    def __init__(self, gateway: str, key: str) -> None:
        self._base = f"http://{gateway}"
        self._headers = {"Authorization": f"Bearer {key}"}
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._http = urllib3.PoolManager(timeout=timeout, retries=False)
        self._http.pool_classes_by_scheme = {"http": _StrictPool}

    def upload(
        self, path: Path, idempotency_key: str, progress: Progress
    ) -> FileObject | GatewayError:
        """Send a batch input file."""
        boundary = secrets.token_hex(16)
        before, after = _form_around(path.name, boundary)
        size_bytes = path.stat().st_size
        headers = {
            "Content-Type": f"multipart/form-data; boundary={boundary}",
            "Content-Length": str(len(before) + size_bytes + len(after)),
            "Idempotency-Key": idempotency_key,
        }

        def send() -> urllib3.BaseHTTPResponse:
            with path.open("rb") as file:
                body = _form(before, file, size_bytes, after, progress)
                return self._request("POST", "/v1/files", headers, body)

        return _repeat(send, FileObject)

    def create_batch(
        self, file_id: str, endpoint: str, completion_window: str, idempotency_key: str
    ) -> BatchObject | GatewayError:
        """Start a job."""
        wanted = {
            "input_file_id": file_id,
            "endpoint": endpoint,
            "completion_window": completion_window,
        }
        headers = {"Content-Type": "application/json", "Idempotency-Key": idempotency_key}
        body = msgspec.json.encode(wanted)
        return _repeat(lambda: self._request("POST", "/v1/batches", headers, body), BatchObject)

    def show(self, batch_id: str) -> BatchObject | GatewayError:
        """Return a job."""
        path = f"/v1/batches/{batch_id}"
        return _repeat(lambda: self._request("GET", path), BatchObject)

    def cancel(self, batch_id: str) -> BatchObject | GatewayError:
        """Stop a job."""
        path = f"/v1/batches/{batch_id}/cancel"
        return _repeat(lambda: self._request("POST", path), BatchObject)

    def download(self, file_id: str, target: BinaryIO, progress: Progress) -> GatewayError | None:
        """Write the content of a file to ``target``; an answer that is cut is an error."""
        try:
            response = self._request("GET", f"/v1/files/{file_id}/content", preload_content=False)
            if response.status != 200:
                return _error(response.status, response.headers, response.read())
            with contextlib.closing(response):
                received_bytes = 0
                for block in response.stream(BLOCK_BYTES):
                    target.write(block)
                    received_bytes += len(block)
                    progress(received_bytes, 0)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return GatewayError(0, f"the download was cut: {error}; run the command again")
        return None

    def _request(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | Iterator[bytes] | None = None,
        preload_content: bool = True,
    ) -> urllib3.BaseHTTPResponse:
        return self._http.request(
            method,
            self._base + path,
            body=body,
            headers={**self._headers, **(headers or {})},
            preload_content=preload_content,
        )


def _repeat(
    send: Callable[[], urllib3.BaseHTTPResponse], document_type: type[Document]
) -> Document | GatewayError:
    """Send until there is an answer; the idempotency key makes a repeat harmless."""
    error = GatewayError(0, "nothing was sent")
    for _ in range(MAX_TRIES):
        if error.retry_after_s is not None:
            time.sleep(error.retry_after_s)
        try:
            response = send()
        except (urllib3.exceptions.HTTPError, OSError) as failure:
            error = GatewayError(0, f"no answer: {failure}", DEFAULT_RETRY_AFTER_S)
            continue
        if response.status == 200:
            return msgspec.json.decode(response.data, type=document_type)
        error = _error(response.status, response.headers, response.data)
        if response.status not in _RETRYABLE_STATUSES:
            break
    return error


def _error(status: int, headers: urllib3.HTTPHeaderDict, body: bytes) -> GatewayError:
    try:
        message = msgspec.json.decode(body, type=_ErrorDocument).error.message
    except msgspec.MsgspecError:
        message = body[:200].decode("utf-8", "replace")
    retry_after = headers.get("Retry-After", "")
    retry_after_s = float(retry_after) if retry_after.isdigit() else DEFAULT_RETRY_AFTER_S
    return GatewayError(status, message, retry_after_s)


def _form_around(file_name: str, boundary: str) -> tuple[bytes, bytes]:
    """Return the bytes of the form before and after the content of the file."""
    purpose = RequestField("purpose", b"")
    purpose.make_multipart()
    file = RequestField("file", b"", filename=file_name)
    file.make_multipart(content_type="application/jsonl")
    before = (
        f"--{boundary}\r\n{purpose.render_headers()}batch\r\n--{boundary}\r\n"
        f"{file.render_headers()}"
    )
    return before.encode(), f"\r\n--{boundary}--\r\n".encode()


def _form(
    before: bytes, file: BinaryIO, size_bytes: int, after: bytes, progress: Progress
) -> Iterator[bytes]:
    yield before
    sent_bytes = 0
    while block := file.read(BLOCK_BYTES):
        yield block
        sent_bytes += len(block)
        progress(sent_bytes, size_bytes)
    yield after
