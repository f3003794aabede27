"""What an adapter tells the front of callers' requests, and how it puts the front's answers."""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from quaymill.connection.job_document import JobDocument, JobResult
from quaymill.process.front.http_server import FrontRequest
from quaymill.request.prompt import NO_PROMPT, Prompt


@attrs.frozen
class CallerRequest:
    """What the headers of an opaque request say.

    Attributes
    ----------
    id
        The caller's id for this sending; empty if it gave none.
    patience_s
        How long the caller waits; ``None`` if it did not say.
    """

    id: str
    patience_s: float | None = None
    prompt: Prompt = NO_PROMPT
    last_event_id: str | None = None


class JobOperation(enum.Enum):
    """Calls about a job that was submitted before."""

    READ_RESULTS = enum.auto()
    READ_BODY = enum.auto()
    END = enum.auto()


@attrs.frozen
class JobCall:
    """One such call.

    Attributes
    ----------
    since
        Position of the first result asked for.
    item_id
        The item whose body is asked for.
    wait_s
        How long the answer may be held until a result exists.
    """

    operation: JobOperation
    job_id: str
    since: int = 0
    item_id: str = ""
    wait_s: float = 0.0


@attrs.frozen
class Malformed:
    """What a caller sent cannot be understood."""

    reason: str
    remedy: str


@attrs.frozen
class CallerProtocol:
    """Functions of an adapter.

    Attributes
    ----------
    read_key
        Returns the key that a request carries; empty unless it is exactly one, in the right form.
    read_request
        Reads the headers of an opaque request.
    find_job_call
        Recognises a call about a job; ``None`` if the request is no such call.
    read_job
        Reads a submitted job from its body.
    write_results
        Puts a page of results: number of items, results, position after them.
    """

    read_key: Callable[[FrontRequest], bytes]
    read_request: Callable[[FrontRequest], CallerRequest | Malformed]
    find_job_call: Callable[[FrontRequest], JobCall | Malformed | None]
    read_job: Callable[[bytes], JobDocument | Malformed]
    write_results: Callable[[int, tuple[JobResult, ...], int], bytes]
