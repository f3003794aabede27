"""Measures whether an engine stand-in generates tokens as fast as it is set to.

One thread reads all streams from raw sockets, so that the reader costs little beside the
engine that is measured.
"""

from __future__ import annotations

import selectors
import socket
import time

import msgspec

RECEIVE_BYTES = 65536
READ_TIMEOUT_S = 30.0
PROMPT = "self-check"
_TOKEN_MARK = b'"finish_reason":null'
_STREAM_END = b"data: [DONE]"
_EVENT_END = b"\n\n"


class EngineMeasurement(msgspec.Struct, frozen=True):
    """Result of a measurement; the gaps are those between tokens of one stream.

    Attributes
    ----------
    whole_streams
        Streams that brought all their tokens and their end.
    tokens_per_s
        From the first token of any stream to the last.
    expected_tokens_per_s
        Streams divided by the duration of a step.
    """

    streams: int
    whole_streams: int
    tokens: int
    tokens_per_s: float
    expected_tokens_per_s: float
    gap_p50_ms: float
    gap_p99_ms: float


class _Stream:
    """One stream being read."""

    def __init__(self, host: str, port: int, request: bytes) -> None:
        self.socket = socket.create_connection((host, port))
        self.socket.sendall(request)
        self.tokens = 0
        self.ended = False
        self.token_times_s: list[float] = []
        self._rest = b""

    def read(self, now_s: float) -> bool:
        """Take what has come; return false at the end of the stream."""
        data = self.socket.recv(RECEIVE_BYTES)
        if not data:
            return False
        received = self._rest + data
        end = received.rfind(_EVENT_END) + len(_EVENT_END)
        events = received[:end]
        self._rest = received[end:]
        tokens = events.count(_TOKEN_MARK)
        self.tokens += tokens
        self.token_times_s.extend([now_s] * tokens)
        self.ended = _STREAM_END in events
        return not self.ended


def measure_engine(
    host: str, port: int, model: str, streams: int, tokens: int, step_ms: float
) -> EngineMeasurement:
    """Read ``streams`` streams of ``tokens`` tokens each at once, and time them."""
    request = _request(host, model, tokens)
    selector = selectors.DefaultSelector()
    opened = [_Stream(host, port, request) for _ in range(streams)]
    for stream in opened:
        selector.register(stream.socket, selectors.EVENT_READ, stream)
    while selector.get_map():
        ready = selector.select(READ_TIMEOUT_S)
        if not ready:
            break
        now_s = time.monotonic()
        for key, _ in ready:
            if not key.data.read(now_s):
                selector.unregister(key.fileobj)
    for stream in opened:
        stream.socket.close()
    return _summarize(opened, tokens, step_ms)


def _summarize(streams: list[_Stream], tokens: int, step_ms: float) -> EngineMeasurement:
    times_s = [time_s for stream in streams for time_s in stream.token_times_s]
    gaps_s = sorted(
        later - earlier
        for stream in streams
        for earlier, later in zip(stream.token_times_s, stream.token_times_s[1:], strict=False)
    )
    duration_s = max(times_s) - min(times_s) if len(times_s) > 1 else 0.0
    return EngineMeasurement(
        streams=len(streams),
        whole_streams=sum(stream.ended and stream.tokens == tokens for stream in streams),
        tokens=len(times_s),
        tokens_per_s=round(len(times_s) / duration_s, 1) if duration_s else 0.0,
        expected_tokens_per_s=len(streams) * 1000.0 / step_ms,
        gap_p50_ms=_quantile_ms(gaps_s, 0.5),
        gap_p99_ms=_quantile_ms(gaps_s, 0.99),
    )


def _quantile_ms(sorted_s: list[float], share: float) -> float:
    if not sorted_s:
        return 0.0
    return round(sorted_s[int(share * (len(sorted_s) - 1))] * 1000.0, 3)


def _request(host: str, model: str, tokens: int) -> bytes:
    content = {"model": model, "prompt": PROMPT, "max_tokens": tokens, "stream": True}
    body = msgspec.json.encode(content)
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
