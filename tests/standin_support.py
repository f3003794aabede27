"""Clients of the stand-ins, for tests."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable, Iterator

import urllib3

WAIT_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.005
REQUEST_TIMEOUT_S = 15.0
CONNECTIONS = 64
RECEIVE_BYTES = 65536


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Poll until ``condition`` holds; fail after ``WAIT_TIMEOUT_S`` seconds."""
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f"not within {WAIT_TIMEOUT_S} s: {what}")
        time.sleep(POLL_INTERVAL_S)


class StandinClient:
    """Sends requests to one stand-in, without retries."""

    def __init__(self, port: int) -> None:
        self.base_url = f"http://127.0.0.1:{port}"
        self._pool = urllib3.HTTPConnectionPool(
            "127.0.0.1", port, maxsize=CONNECTIONS, retries=False, timeout=REQUEST_TIMEOUT_S
        )

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def request(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and read the whole answer."""
        return self._pool.request(
            method, path, body=_encode(body), headers=headers, timeout=timeout_s
        )

    def open(
        self, method: str, path: str, body: object = None, headers: dict[str, str] | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return when the headers have come."""
        return self._pool.request(
            method, path, body=_encode(body), headers=headers, preload_content=False
        )

    def get(self, path: str) -> dict:
        """Return the JSON body of a GET."""
        return self.request("GET", path).json()

    def set_faults(self, **faults: object) -> None:
        """Replace the fault switches."""
        answer = self.request("POST", "/standin/faults", faults)
        if answer.status != 200:
            raise AssertionError(answer.data)

    def injected(self) -> dict[str, int]:
        """Return how many times each fault was brought about."""
        return self.get("/standin/faults")["injected"]

    def runs(self, **fields: object) -> list[dict]:
        """Return the entries of the journal whose fields have these values."""
        return [
            run
            for run in self.get("/standin/journal")["runs"]
            if all(run[name] == value for name, value in fields.items())
        ]


def sse_events(response: urllib3.BaseHTTPResponse) -> Iterator[dict]:
    """Return the events of a stream; raise if it ends without its terminator."""
    rest = b""
    for piece in response.stream():
        *events, rest = (rest + piece).split(b"\n\n")
        for event in events:
            if event == b"data: [DONE]":
                return
            yield json.loads(event.removeprefix(b"data: "))
    raise urllib3.exceptions.ProtocolError("the stream ended without [DONE]")


def read_raw(port: int, method: str, path: str, body: object, headers: dict[str, str]) -> bytes:
    """Send a request and return all bytes until the connection closes."""
    content = _encode(body) or b""
    lines = [f"{method} {path} HTTP/1.1", "Host: test", f"Content-Length: {len(content)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    received = b""
    with socket.create_connection(("127.0.0.1", port), REQUEST_TIMEOUT_S) as connection:
        connection.sendall("\r\n".join([*lines, "", ""]).encode() + content)
        while piece := connection.recv(RECEIVE_BYTES):
            received += piece
    return received


def _encode(body: object) -> bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    return json.dumps(body).encode()
