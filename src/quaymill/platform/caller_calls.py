"""Decodes callers' requests and job calls from the platform's format and encodes results."""

from __future__ import annotations

from urllib.parse import parse_qs, unquote

import msgspec

from quaymill.connection.job_document import JobDocument, JobItem, JobResult, ResultState
from quaymill.platform import names
from quaymill.process.front.caller_protocol import (
    CallerProtocol,
    CallerRequest,
    JobCall,
    JobOperation,
    Malformed,
)
from quaymill.process.front.http_server import FrontRequest
from quaymill.request.prompt import NO_PROMPT, Prompt, PromptPart
from quaymill.version.tenants import bearer_key

MS_PER_S = 1000.0
MAX_ITEMS = 200
MAX_REQUEST_ID_LENGTH = 200

RESULT_STATES = {
    ResultState.SUCCEEDED: names.ITEM_SUCCEEDED,
    ResultState.DEAD: names.ITEM_DEAD,
}


class _Item(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""
    tokens: int = 0


class _Submission(msgspec.Struct):
    items: list[_Item]


class _Result(msgspec.Struct):
    id: str
    state: str
    message: str


class _Page(msgspec.Struct):
    total: int
    next_token: int
    results: list[_Result]


def read_key(request: FrontRequest) -> bytes:
    """Return the bearer key of a request, unchecked."""
    return bearer_key(request.header_values(names.AUTHORIZATION)).encode("latin-1")


def read_request(request: FrontRequest) -> CallerRequest | Malformed:
    """Read the headers that decide how an opaque request is served."""
    request_id = request.header(names.REQUEST_ID) or ""
    if len(request_id) > MAX_REQUEST_ID_LENGTH:
        return Malformed("the request id is too long", "send a shorter id")
    began_as = request.header(names.RESUMES) or None
    if began_as is not None and len(began_as) > MAX_REQUEST_ID_LENGTH:
        return Malformed(f"the id in {names.RESUMES} is too long", "send a request's id")
    remaining_s = None
    text = request.header(names.DEADLINE_MS)
    if text is not None:
        try:
            remaining_s = float(text) / MS_PER_S
        except ValueError:
            return Malformed(f"{names.DEADLINE_MS} is not a number: {text!r}", "send milliseconds")
    return CallerRequest(
        id=request_id,
        remaining_s=remaining_s,
        prompt=read_prompt(
            request.header(names.MODEL),
            request.header(names.TOKEN_COUNT),
            request.header(names.PROMPT_PREFIX),
        ),
        last_event_id=request.header(names.LAST_EVENT_ID),
        began_as=began_as,
    )


def read_prompt(model: str | None, token_count: str | None, parts: str | None) -> Prompt:
    """Parse the prompt headers of a request; invalid counts and parts are ignored."""
    if not token_count and not parts:
        return NO_PROMPT
    counts = [int(part) for part in (token_count or "").split(",") if part.strip().isdigit()]
    counts += [0] * (2 - len(counts))
    found = []
    for text in (parts or "").split(","):
        part_id, _, tokens = text.strip().partition(":")
        if part_id and tokens.isdigit():
            found.append(PromptPart(part_id, int(tokens)))
    return Prompt(tuple(found), model or "", counts[0], counts[1])


def find_job_call(request: FrontRequest) -> JobCall | Malformed | None:
    """Return the job call that the request makes; ``None`` if it is not a job call."""
    path = request.path
    if path.startswith(names.JOBS_PATH):
        job_id = unquote(path[len(names.JOBS_PATH) :])
        if request.method == "GET":
            return _read_results(request, job_id)
        if request.method == "DELETE":
            return JobCall(JobOperation.END, job_id)
        return None
    if path.startswith(names.ITEM_BODIES_PATH) and request.method == "GET":
        item_ids = parse_qs(request.query).get("id", [""])
        job_id = unquote(path[len(names.ITEM_BODIES_PATH) :])
        return JobCall(JobOperation.READ_BODY, job_id, item_id=item_ids[0])
    return None


def read_job(body: bytes) -> JobDocument | Malformed:
    """Decode a submitted job."""
    try:
        submission = msgspec.json.decode(body, type=_Submission)
    except msgspec.MsgspecError as error:
        return Malformed(f"the job cannot be read: {error}", "correct the body")
    if len(submission.items) > MAX_ITEMS:
        return Malformed(f"the job has {len(submission.items)} items", f"send {MAX_ITEMS} at most")
    if len({item.id for item in submission.items}) != len(submission.items):
        return Malformed("two items have the same id", "give each item its own id")
    return JobDocument(
        tuple(
            JobItem(item.id, item.path, item.headers, item.body, item.tokens)
            for item in submission.items
        )
    )


def write_results(total: int, results: tuple[JobResult, ...], next_position: int) -> bytes:
    """Encode a page of results as JSON."""
    page = _Page(
        total=total,
        next_token=next_position,
        results=[
            _Result(result.item_id, RESULT_STATES[result.state], result.text) for result in results
        ],
    )
    return msgspec.json.encode(page)


def item_headers(item: JobItem, host: str) -> tuple[tuple[str, str], ...]:
    """Return the headers with which an item is sent to a replica."""
    other_headers = tuple(
        (name, value)
        for name, value in item.headers.items()
        if name.lower() not in ("host", names.REQUEST_ID.lower())
    )
    return (("Host", host), (names.REQUEST_ID, item.id), *other_headers)


def item_prompt(item: JobItem) -> Prompt:
    """Return the prompt of an item's request."""
    values = {name.lower(): value for name, value in item.headers.items()}
    wanted = (names.MODEL, names.TOKEN_COUNT, names.PROMPT_PREFIX)
    return read_prompt(*(values.get(name.lower()) for name in wanted))


def _read_results(request: FrontRequest, job_id: str) -> JobCall | Malformed:
    since = parse_qs(request.query).get("since_rev", ["0"])[0]
    wait_ms = request.header(names.WAIT_MS) or "0"
    if not since.isdigit() or not wait_ms.isdigit():
        return Malformed("the position or the wait is not a whole number", "send whole numbers")
    return JobCall(
        JobOperation.READ_RESULTS, job_id, since=int(since), wait_s=int(wait_ms) / MS_PER_S
    )


CALLER_PROTOCOL = CallerProtocol(
    read_key=read_key,
    read_request=read_request,
    find_job_call=find_job_call,
    read_job=read_job,
    write_results=write_results,
)
