"""Typed requests, responses and routes of the callers' interface.

A handler takes a ``Request`` and returns a ``Response``. Expected failures are returned as
responses too, made by ``failure_response`` in OpenAI's error format with the header
``Quaymill-Outcome``.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Protocol

import msgspec

from quaymill.process.gateway.body import READ_BLOCK_BYTES
from quaymill.request.outcome import FAILED, NOT_RUN, OUTCOME_HEADER, UNKNOWN, Failure, NotRun
from quaymill.request.presence import CallerPresence

REQUEST_ID_HEADER = "X-Request-Id"
RETRY_AFTER_HEADER = "Retry-After"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
JSON_CONTENT_TYPE = "application/json"

_OUTCOME_BY_TAG = {"not-run": NOT_RUN, "unknown": UNKNOWN, "failed": FAILED}
_ERROR_TYPE_BY_STATUS = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}
_PARAMETER = re.compile(r"\{(\w+)\}")


class Readable(Protocol):
    """What a body offers: up to so many bytes, and nothing at its end."""

    def read(self, size: int, /) -> bytes: ...  # noqa: D102


class Request:
    """One HTTP request of a caller.

    Attributes
    ----------
    method, path
        As sent; the path is unquoted and has no query.
    query
        The raw query string.
    headers
        Values by lower-case name.
    body
        The unread body; ``read_body`` reads it whole, within a limit.
    content_length
        Announced size of the body in bytes; ``None`` when it is chunked.
    request_id
        Identifies the request in logs and towards replicas.
    tenant
        Name of the authenticated tenant; empty on open routes.
    presence
        Whether the caller still waits.
    parameters
        Values of the ``{name}`` parts of the route's pattern.
    """

    def __init__(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: Readable,
        content_length: int | None = 0,
        query: str = "",
        request_id: str = "",
        presence: CallerPresence | None = None,
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.content_length = content_length
        self.query = query
        self.request_id = request_id
        self.tenant = ""
        self.parameters: dict[str, str] = {}
        self.presence = presence or CallerPresence()

    def read_body(self, limit_bytes: int) -> bytes | NotRun:
        """Read the whole body, or refuse it with status 413 if it is longer than the limit.

        Raises
        ------
        BrokenBodyError
            The body is not whole; the gateway answers with 400.
        """
        if self.content_length is not None and self.content_length > limit_bytes:
            return _body_too_large(limit_bytes)
        blocks: list[bytes] = []
        total_bytes = 0
        while block := self.body.read(READ_BLOCK_BYTES):
            total_bytes += len(block)
            if total_bytes > limit_bytes:
                return _body_too_large(limit_bytes)
            blocks.append(block)
        return b"".join(blocks)


class Response(msgspec.Struct):
    """One HTTP response.

    Attributes
    ----------
    body
        The whole body, or an iterable of blocks that is sent block by block. If the iterable
        has a ``close`` method, it is called at the end, also when the caller left early.
    """

    status: int = 200
    headers: dict[str, str] = {}
    body: bytes | Iterable[bytes] = b""

    @property
    def status_line(self) -> str:
        """Status code and reason phrase."""
        try:
            return f"{self.status} {HTTPStatus(self.status).phrase}"
        except ValueError:
            return f"{self.status} Unknown"


class ErrorBody(msgspec.Struct, frozen=True):
    """Inner part of OpenAI's error format."""

    message: str
    type: str
    param: str | None = None
    code: str | None = None


class ErrorDocument(msgspec.Struct, frozen=True):
    """OpenAI's error format."""

    error: ErrorBody


def json_response(value: Any, status: int = 200, headers: dict[str, str] | None = None) -> Response:
    """Return ``value`` (a struct or plain data) as a JSON response."""
    return Response(
        status=status,
        headers={"Content-Type": JSON_CONTENT_TYPE, **(headers or {})},
        body=msgspec.json.encode(value),
    )


def error_document(
    failure: Failure, parameter: str | None = None, code: str | None = None
) -> ErrorDocument:
    """Return a failure in OpenAI's error format; the message ends with the remedy."""
    default_type = "server_error" if failure.status >= 500 else "invalid_request_error"
    message = f"{failure.reason}; {failure.remedy}" if failure.remedy else failure.reason
    return ErrorDocument(
        ErrorBody(
            message=message,
            type=_ERROR_TYPE_BY_STATUS.get(failure.status, default_type),
            param=parameter,
            code=code,
        )
    )


def failure_response(
    failure: Failure, parameter: str | None = None, code: str | None = None
) -> Response:
    """Return a failure as a response that says what became of the request.

    Parameters
    ----------
    parameter
        The field of the body at fault.
    code
        OpenAI's error code, such as ``model_not_found``.
    """
    headers = failure_headers(failure)
    return json_response(error_document(failure, parameter, code), failure.status, headers)


def failure_headers(failure: Failure) -> dict[str, str]:
    """Return the headers that tell the kind of a failure and when to come back."""
    outcome = _OUTCOME_BY_TAG[type(failure).__struct_config__.tag]
    headers = {OUTCOME_HEADER: outcome}
    if failure.retry_after_s is not None:
        headers[RETRY_AFTER_HEADER] = str(max(1, math.ceil(failure.retry_after_s)))
    return headers


Handler = Callable[[Request], Response]


class Route(msgspec.Struct, frozen=True):
    """One entry of the route table.

    Attributes
    ----------
    authenticated
        Whether a tenant's bearer key is required.
    admitted
        Whether a request counts towards the admission limit; health checks do not.
    """

    method: str
    pattern: str
    handler: Handler
    authenticated: bool = True
    admitted: bool = True


class RouteTable:
    """Finds the handler of a method and a path.

    A pattern is a path whose ``{name}`` parts match one segment each; a last ``{name:path}``
    matches the rest of the path.
    """

    def __init__(self) -> None:
        self._routes: list[tuple[re.Pattern[str], Route]] = []

    def add(
        self,
        method: str,
        pattern: str,
        handler: Handler,
        *,
        authenticated: bool = True,
        admitted: bool = True,
    ) -> None:
        """Add a route; ``method`` may be ``*`` for any."""
        route = Route(method, pattern, handler, authenticated, admitted)
        self._routes.append((_compile(pattern), route))

    def find(self, method: str, path: str) -> tuple[Route, dict[str, str]] | NotRun:
        """Return the route and the values of its parameters, or the refusal (404 or 405)."""
        allowed: list[str] = []
        for expression, route in self._routes:
            match = expression.fullmatch(path)
            if match is None:
                continue
            if route.method in (method, "*"):
                return route, match.groupdict()
            allowed.append(route.method)
        if allowed:
            return NotRun(405, f"{method} is not allowed on {path}", f"use {', '.join(allowed)}")
        return NotRun(404, f"there is no {path}", "see README.md for the paths")


def _compile(pattern: str) -> re.Pattern[str]:
    rest_name = ""
    if pattern.endswith(":path}"):
        pattern, _, rest = pattern.rpartition("{")
        rest_name = rest.removesuffix(":path}")
    parts = _PARAMETER.split(pattern)
    expression = ""
    for index, part in enumerate(parts):
        expression += f"(?P<{part}>[^/]+)" if index % 2 else re.escape(part)
    if rest_name:
        expression += f"(?P<{rest_name}>.*)"
    return re.compile(expression)


def _body_too_large(limit_bytes: int) -> NotRun:
    return NotRun(413, f"the body is longer than {limit_bytes} bytes", "send less in one request")
