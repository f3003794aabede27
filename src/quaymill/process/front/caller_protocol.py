"""The interface between the front and the adapter of a caller protocol."""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from quaymill.connection.job_document import JobDocument, JobResult
from quaymill.process.front.http_server import FrontRequest
from quaymill.request.prompt import NO_PROMPT, Prompt


@attrs.frozen
class CallerRequest:
    """Values that the adapter reads from the headers of an opaque request.

    Attributes
    ----------
    id
        The caller's id of the request; empty if it sent none.
    remaining_s
        How long the caller waits for the response; ``None`` if it did not say.
    last_event_id
        Id of the event after which the caller resumes a stream; ``None`` for the whole answer.
    began_as
        Id of the request whose answer brought the stream's first event, if the caller resumes a
        stream; ``None`` if it did not say.
    """

    id: str
    remaining_s: float | None = None
    prompt: Prompt = NO_PROMPT
    last_event_id: str | None = None
    began_as: str | None = None


class JobOperation(enum.Enum):
    """Operations on a submitted job."""

    READ_RESULTS = enum.auto()
    READ_BODY = enum.auto()
    END = enum.auto()


@attrs.frozen
class JobCall:
    """A call about a submitted job.

    Attributes
    ----------
    since
        Position of the first requested result.
    item_id
        The item whose body is requested.
    wait_s
        How long the answer may be delayed until a result exists.
    """

    operation: JobOperation
    job_id: str
    since: int = 0
    item_id: str = ""
    wait_s: float = 0.0


@attrs.frozen
class Malformed:
    """Why a caller's request is malformed, and what the caller should do."""

    reason: str
    remedy: str


@attrs.frozen
class CallerProtocol:
    """Functions that an adapter provides.

    Attributes
    ----------
    read_key
        Returns the key of a request; empty unless there is exactly one, in a valid form.
    read_request
        Reads the headers of an opaque request.
    find_job_call
        Recognises a call about a job; ``None`` if the request is not such a call.
    read_job
        Parses the body of a submitted job.
    write_results
        Encodes a page of results: number of items of the job, results, position after them.
    """

    read_key: Callable[[FrontRequest], bytes]
    read_request: Callable[[FrontRequest], CallerRequest | Malformed]
    find_job_call: Callable[[FrontRequest], JobCall | Malformed | None]
    read_job: Callable[[bytes], JobDocument | Malformed]
    write_results: Callable[[int, tuple[JobResult, ...], int], bytes]
