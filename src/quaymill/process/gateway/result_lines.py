"""Lines of output and error files in OpenAI's format."""

from __future__ import annotations

import msgspec

from quaymill.connection.job_messages import ItemResult


class LineResponse(msgspec.Struct, frozen=True):
    """The back end's answer to one item."""

    status_code: int
    request_id: str
    body: msgspec.Raw


class LineError(msgspec.Struct, frozen=True):
    """Why an item has no answer of a back end."""

    code: str
    message: str


class ResultLine(msgspec.Struct, frozen=True):
    """One line."""

    id: str
    custom_id: str
    response: LineResponse | None
    error: LineError | None


class _ErrorBody(msgspec.Struct, frozen=True):
    message: str = ""
    code: str | None = None


class _ErrorDocument(msgspec.Struct, frozen=True):
    error: _ErrorBody = _ErrorBody()


def result_line(job_id: str, result: ItemResult, failed: bool) -> bytes:
    """Return the line of one result, with its newline."""
    request_id = f"{job_id}-{result.index}"
    response = None
    if result.status:
        response = LineResponse(result.status, request_id, result.response)
    error = _error(result) if failed else None
    line = ResultLine(f"batch_req_{request_id}", result.custom_id, response, error)
    return msgspec.json.encode(line) + b"\n"


def _error(result: ItemResult) -> LineError:
    try:
        error = msgspec.json.decode(result.response, type=_ErrorDocument).error
    except msgspec.MsgspecError:
        error = _ErrorBody()
    message = error.message or f"the back end answered {result.status}"
    return LineError(error.code or "item_failed", message)
