"""A caller of the system, as a tenant's program would be: plain HTTP, each answer typed."""

from __future__ import annotations

import json
import time

import msgspec
import urllib3

CONNECT_TIMEOUT_S = 2.0
OUTCOME_HEADER = "Quaymill-Outcome"
STREAM_END = "[DONE]"
WHOLE_FINISH_REASONS = frozenset({"stop", "length"})
POOL_SIZE = 256


class Answer(msgspec.Struct):
    """What the caller got for one request.

    Attributes
    ----------
    status
        HTTP status; 0 when no answer came (``error`` says why).
    outcome
        The header ``Quaymill-Outcome``: not-run, unknown, failed, or empty.
    body
        The whole body, or for a stream the text of its chunks joined.
    whole
        For a stream: whether a finish reason and the terminator arrived.
    token_times
        For a stream: ``time.monotonic()`` at the arrival of each chunk with text.
    """

    status: int = 0
    outcome: str = ""
    body: bytes = b""
    error: str = ""
    retry_after: str = ""
    whole: bool = False
    text: str = ""
    response_id: str = ""
    token_times: list[float] = msgspec.field(default_factory=list)
    ended_at: float = 0.0

    def json(self) -> dict:
        """Decode the body; an empty object if it is no JSON object."""
        try:
            document = msgspec.json.decode(self.body)
        except msgspec.DecodeError:
            return {}
        return document if isinstance(document, dict) else {}


class BatchLine(msgspec.Struct):
    """One line of a batch's input file, and the prompt it carries."""

    custom_id: str
    url: str
    body: dict
    method: str = "POST"


class Caller:
    """Sends requests of one tenant to one base address; safe to share between threads."""

    def __init__(self, base_url: str, key: str) -> None:
        self.base_url = base_url
        self._key = key
        self._pool = urllib3.PoolManager(maxsize=POOL_SIZE, retries=False)

    def close(self) -> None:
        """Close the pooled connections."""
        self._pool.clear()

    def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> Answer:
        """Send one request and read the whole answer."""
        answer = Answer()
        try:
            response = self._pool.request(
                method,
                self.base_url + path,
                body=body,
                headers=self._headers(headers),
                timeout=_timeout(timeout_s),
            )
        except urllib3.exceptions.HTTPError as error:
            answer.error = repr(error)
        else:
            _read_head(answer, response)
            answer.body = response.data
            answer.whole = True
        answer.ended_at = time.monotonic()
        return answer

    def post_json(
        self,
        path: str,
        document: dict,
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> Answer:
        """Send a JSON body and read the whole answer."""
        headers = {"Content-Type": "application/json", **(headers or {})}
        return self.request("POST", path, msgspec.json.encode(document), headers, timeout_s)

    def stream(
        self,
        path: str,
        document: dict,
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> Answer:
        """Send a streamed completion and read it to its end, with the time of each chunk."""
        answer = Answer()
        headers = {"Content-Type": "application/json", **(headers or {})}
        response = None
        try:
            response = self._pool.request(
                "POST",
                self.base_url + path,
                body=msgspec.json.encode({**document, "stream": True}),
                headers=self._headers(headers),
                timeout=_timeout(timeout_s),
                preload_content=False,
            )
            _read_head(answer, response)
            if answer.status == 200:
                _read_events(answer, response)
            else:
                answer.body = response.read()
                answer.whole = True
        except (urllib3.exceptions.HTTPError, OSError) as error:
            answer.error = repr(error)
            answer.whole = False
        finally:
            _release(response, answer)
        answer.ended_at = time.monotonic()
        return answer

    def upload_batch_file(self, lines: list[BatchLine], key: str, timeout_s: float) -> Answer:
        """Upload the input file of a batch; the answer's ``id`` names it."""
        content = b"\n".join(msgspec.json.encode(line) for line in lines) + b"\n"
        fields = {
            "purpose": "batch",
            "file": ("items.jsonl", content, "application/jsonl"),
        }
        body, content_type = urllib3.encode_multipart_formdata(fields)
        headers = {"Content-Type": content_type}
        if key:
            headers["Idempotency-Key"] = key
        return self.request("POST", "/v1/files", body, headers, timeout_s)

    def create_batch(self, file_id: str, endpoint: str, key: str, timeout_s: float) -> Answer:
        """Create a batch over an uploaded file; the answer's ``id`` names it."""
        document = {
            "input_file_id": file_id,
            "endpoint": endpoint,
            "completion_window": "24h",
        }
        headers = {"Idempotency-Key": key} if key else {}
        return self.post_json("/v1/batches", document, headers, timeout_s)

    def batch(self, batch_id: str, timeout_s: float = 10.0) -> Answer:
        """Read the state of a batch."""
        return self.request("GET", f"/v1/batches/{batch_id}", timeout_s=timeout_s)

    def cancel_batch(self, batch_id: str, timeout_s: float = 10.0) -> Answer:
        """Cancel a batch."""
        return self.request("POST", f"/v1/batches/{batch_id}/cancel", timeout_s=timeout_s)

    def file_content(self, file_id: str, timeout_s: float = 30.0) -> Answer:
        """Read the content of a file."""
        return self.request("GET", f"/v1/files/{file_id}/content", timeout_s=timeout_s)

    def _headers(self, headers: dict[str, str] | None) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._key}", **(headers or {})}


def read_json_lines(content: bytes) -> list[dict]:
    """Decode the lines of a results file."""
    return [msgspec.json.decode(line) for line in content.splitlines() if line.strip()]


def _timeout(timeout_s: float) -> urllib3.Timeout:
    return urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s)


def _read_head(answer: Answer, response: urllib3.BaseHTTPResponse) -> None:
    answer.status = response.status
    answer.outcome = response.headers.get(OUTCOME_HEADER, "")
    answer.retry_after = response.headers.get("Retry-After", "")


def _read_events(answer: Answer, response: urllib3.BaseHTTPResponse) -> None:
    """Read server-sent events up to the terminator or the end of the stream."""
    finished = False
    parts: list[str] = []
    for data in _event_data(response):
        if data == STREAM_END:
            answer.whole = finished
            break
        event = json.loads(data)
        if "error" in event:
            answer.error = f"error event: {event['error']}"
            continue
        answer.response_id = event.get("id", answer.response_id)
        for choice in event.get("choices", ()):
            text = choice.get("text") or (choice.get("delta") or {}).get("content") or ""
            if text:
                answer.token_times.append(time.monotonic())
                parts.append(text)
            finished = finished or choice.get("finish_reason") in WHOLE_FINISH_REASONS
    answer.text = "".join(parts)


def _event_data(response: urllib3.BaseHTTPResponse):
    """Yield the data of each event as soon as its line has arrived."""
    pending = b""
    for chunk in response.stream(amt=None):
        pending += chunk
        *lines, pending = pending.split(b"\n")
        for line in lines:
            if line.startswith(b"data: "):
                yield line[len(b"data: ") :].strip().decode()


def _release(response: urllib3.BaseHTTPResponse | None, answer: Answer) -> None:
    """Pool the connection only after a whole answer; a connection cut short is closed."""
    if response is None:
        return
    if answer.whole and answer.status != 200:
        response.release_conn()
        return
    if answer.whole and not answer.error:
        response.drain_conn()
        response.release_conn()
        return
    response.close()
