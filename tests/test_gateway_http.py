"""Routes, bodies and the error format of the callers' interface."""

import io
import unittest

import msgspec
from nose2.tools import params

from quaymill.process.gateway.http import (
    ErrorDocument,
    Request,
    Response,
    RouteTable,
    failure_response,
)
from quaymill.request.outcome import Failed, NotRun, OutcomeUnknown


def _table() -> RouteTable:
    table = RouteTable()
    table.add("GET", "/v1/files/{file_id}/content", lambda request: Response())
    table.add("*", "/services/{service}/{path:path}", lambda request: Response())
    return table


class RouteTableTest(unittest.TestCase):
    """A path finds its route, or a refusal that says why."""

    @params(
        ("GET", "/v1/files/f1/content", {"file_id": "f1"}),
        ("POST", "/services/filing/a/b", {"service": "filing", "path": "a/b"}),
        ("PUT", "/services/filing/", {"service": "filing", "path": ""}),
        ("POST", "/v1/files/f1/content", 405),
        ("GET", "/v1/files/f1/x/content", 404),
        ("GET", "/v1/files//content", 404),
        ("GET", "/services", 404),
    )
    def test_find(self, method, path, expected):
        found = _table().find(method, path)
        if isinstance(expected, int):
            self.assertEqual(found.status, expected)
        else:
            self.assertEqual(found[1], expected)


class RequestBodyTest(unittest.TestCase):
    """A body over the limit is refused, announced or not."""

    @params((10, 10, b"x" * 10), (10, 9, 413), (None, 10, b"x" * 10), (None, 9, 413))
    def test_limit(self, content_length, limit_bytes, expected):
        request = Request("POST", "/", {}, io.BytesIO(b"x" * 10), content_length)
        body = request.read_body(limit_bytes)
        self.assertEqual(body if isinstance(expected, bytes) else body.status, expected)


class FailureResponseTest(unittest.TestCase):
    """Each kind of failure has its own header value."""

    @params(
        (NotRun(429, "r", "m", 0.2), "not-run", "1"),
        (OutcomeUnknown(504, "r", "m", 2.1), "unknown", "3"),
        (Failed(500, "r", "m"), "failed", None),
    )
    def test_headers(self, failure, outcome, retry_after):
        response = failure_response(failure, parameter="model")
        self.assertEqual(response.headers["Quaymill-Outcome"], outcome)
        self.assertEqual(response.headers.get("Retry-After"), retry_after)
        document = msgspec.json.decode(response.body, type=ErrorDocument)
        self.assertEqual((document.error.message, document.error.param), ("r; m", "model"))
