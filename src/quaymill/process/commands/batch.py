"""``quaymill batch``: submit jobs, watch them, fetch their results, cancel them."""

from __future__ import annotations

import secrets
import sys
import time
from pathlib import Path

import msgspec

from quaymill.process.commands.gateway_client import GatewayClient, GatewayError
from quaymill.process.gateway.batch_lines import MODEL_URLS, SERVICES_PREFIX
from quaymill.process.gateway.batches import BatchObject

POLL_INTERVAL_S = 0.5
IN_PROGRESS = "in_progress"
_FAILED = 1


class _FirstLine(msgspec.Struct):
    url: str


def submit(
    file: Path,
    *,
    gateway: str,
    key: str,
    wait: bool = False,
    completion_window: str = "24h",
    idempotency_key: str = "",
) -> int:
    """Upload a file of requests and start a job over it.

    Parameters
    ----------
    file
        One request a line, in OpenAI's batch format.
    gateway
        HOST:PORT of any node.
    key
        The tenant's key.
    wait
        Stay until the job has ended.
    completion_window
        When the results are needed, such as 24h.
    idempotency_key
        Names this submission; the same key again finds the same job.
    """
    endpoint = _endpoint_of(file)
    if endpoint is None:
        return _fail(f"{file}: line 1 has no usable url; see the batch format in README.md")
    name = idempotency_key or secrets.token_hex(8)
    client = GatewayClient(gateway, key)
    uploaded = client.upload(file, f"{name}-file", _show_bytes)
    _end_progress()
    if isinstance(uploaded, GatewayError):
        return _fail_submission(uploaded, name)
    job = client.create_batch(uploaded.id, endpoint, completion_window, f"{name}-job")
    if isinstance(job, GatewayError):
        return _fail_submission(job, name)
    print(job.id)
    return _watch(client, job) if wait else 0


def show(job: str, *, gateway: str, key: str, wait: bool = False) -> int:
    """Show how far a job is.

    Parameters
    ----------
    job
        Id of the job.
    gateway
        HOST:PORT of any node.
    key
        The tenant's key.
    wait
        Stay until the job has ended.
    """
    client = GatewayClient(gateway, key)
    found = client.show(job)
    if isinstance(found, GatewayError):
        return _fail(found.message)
    if wait:
        return _watch(client, found)
    _print_job(found)
    return 0


def results(job: str, *, gateway: str, key: str, output: Path, errors: Path | None = None) -> int:
    """Fetch the results of a job that has ended.

    Parameters
    ----------
    job
        Id of the job.
    gateway
        HOST:PORT of any node.
    key
        The tenant's key.
    output
        Where to write the results.
    errors
        Where to write the items that failed.
    """
    client = GatewayClient(gateway, key)
    found = client.show(job)
    if isinstance(found, GatewayError):
        return _fail(found.message)
    if found.status == IN_PROGRESS:
        return _fail(f"{job} has not ended; run quaymill batch show {job} --wait")
    for file_id, path in ((found.output_file_id, output), (found.error_file_id, errors)):
        if path is None:
            continue
        failure = _download(client, file_id, path)
        if failure is not None:
            return _fail(failure.message)
    _print_job(found)
    return 0


def cancel(job: str, *, gateway: str, key: str) -> int:
    """Stop a job; results that are complete stay readable.

    Parameters
    ----------
    job
        Id of the job.
    gateway
        HOST:PORT of any node.
    key
        The tenant's key.
    """
    stopped = GatewayClient(gateway, key).cancel(job)
    if isinstance(stopped, GatewayError):
        return _fail(stopped.message)
    _print_job(stopped)
    return 0


COMMANDS = {"submit": submit, "show": show, "results": results, "cancel": cancel}


def _endpoint_of(file: Path) -> str | None:
    try:
        with file.open("rb") as lines:
            url = msgspec.json.decode(lines.readline(), type=_FirstLine).url
    except (OSError, msgspec.MsgspecError):
        return None
    if url in MODEL_URLS:
        return url
    if url.startswith(SERVICES_PREFIX):
        return "/".join(url.split("/")[:3])
    return None


def _watch(client: GatewayClient, job: BatchObject) -> int:
    """Show progress until the job has ended; returns 1 if an item failed or it was cancelled."""
    while job.status == IN_PROGRESS:
        counts = job.request_counts
        _progress(f"{counts.completed + counts.failed} of {counts.total} items")
        time.sleep(POLL_INTERVAL_S)
        latest = client.show(job.id)
        if isinstance(latest, GatewayError):
            _end_progress()
            return _fail(f"{latest.message}; the job goes on, see quaymill batch show {job.id}")
        job = latest
    _end_progress()
    _print_job(job)
    return 0 if job.status == "completed" and not job.request_counts.failed else _FAILED


def _download(client: GatewayClient, file_id: str | None, path: Path) -> GatewayError | None:
    with path.open("wb") as target:
        if file_id is None:
            return None
        failure = client.download(file_id, target, _show_bytes)
    _end_progress()
    return failure


def _print_job(job: BatchObject) -> None:
    counts = job.request_counts
    print(
        f"{job.id} {job.status}: {counts.completed} completed, {counts.failed} failed, "
        f"{counts.total} in all"
    )


def _show_bytes(done_bytes: int, total_bytes: int) -> None:
    done_mb = done_bytes / 1e6
    _progress(
        f"{done_mb:.1f} of {total_bytes / 1e6:.1f} MB" if total_bytes else f"{done_mb:.1f} MB"
    )


def _progress(text: str) -> None:
    if sys.stderr.isatty():
        print(f"\r{text}\x1b[K", end="", file=sys.stderr, flush=True)


def _end_progress() -> None:
    if sys.stderr.isatty():
        print(file=sys.stderr)


def _fail_submission(error: GatewayError, name: str) -> int:
    return _fail(
        f"{error.message}; to try again without doing it twice add --idempotency-key {name}"
    )


def _fail(message: str) -> int:
    print(f"quaymill: {message}", file=sys.stderr)
    return _FAILED
