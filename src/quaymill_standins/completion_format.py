"""OpenAI's completion formats as the engine stand-in reads and writes them.

Chunks of a stream are assembled from bytes encoded once for each request, so that a token
costs a few microseconds.
"""

from __future__ import annotations

import time

import msgspec

from quaymill_standins import text

DEFAULT_MAX_TOKENS = 16
CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
STREAM_END = b"data: [DONE]\n\n"

_ENCODED_VOCABULARY = tuple(word.encode() for word in text.VOCABULARY)


class ContentPart(msgspec.Struct, frozen=True):
    """A part of a message; only text is understood."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str | list[ContentPart] | None = ""

    def content_text(self) -> str:
        """Return the text of all parts."""
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer."""

    include_usage: bool = False


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of a completion request; other fields of OpenAI's format are ignored.

    Attributes
    ----------
    max_tokens, max_completion_tokens
        Most tokens of the answer, resumed tokens included; the second name goes first.
    priority
        Lower runs first.
    resume_token_ids
        Tokens generated earlier, after which generation continues.
    """

    model: str
    prompt: str = ""
    messages: list[ChatMessage] = []
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    priority: int = 0
    return_token_ids: bool = False
    resume_token_ids: list[int] = []

    @property
    def token_limit(self) -> int:
        """Number of tokens after which the answer ends."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS


def prompt_of(body: CompletionBody, path: str) -> str:
    """Return the prompt from which tokens are generated."""
    if path == COMPLETIONS_PATH:
        return body.prompt
    return text.chat_prompt((message.role, message.content_text()) for message in body.messages)


def parse_body(content: bytes, path: str) -> CompletionBody | str:
    """Read a request body; a fault is returned as its description."""
    try:
        body = msgspec.json.decode(content, type=CompletionBody)
    except msgspec.DecodeError as error:
        return str(error)
    for name in ("max_tokens", "max_completion_tokens"):
        limit = getattr(body, name)
        if limit is not None and limit < 1:
            return f"{name} is {limit}; use 1 or more"
    if path == CHAT_PATH and not body.messages:
        return "messages is missing or empty; give at least one message"
    if any(not 0 <= token_id < len(text.VOCABULARY) for token_id in body.resume_token_ids):
        return "resume_token_ids holds an id that is no token; send back the ids received"
    return body


class AnswerFormat:
    """Encodes the answer to one request.

    Parameters
    ----------
    answer_id
        The request id that the answer echoes.
    """

    def __init__(self, body: CompletionBody, path: str, answer_id: str) -> None:
        self._body = body
        self._is_chat = path == CHAT_PATH
        self._id = answer_id
        self._created = int(time.time())
        before, after = self._chunk_parts()
        self._before_text = before
        self._after_text = after

    def token_event(self, token_id: int) -> bytes:
        """Return the event that carries one token."""
        ids = b',"token_ids":[%d]' % token_id if self._body.return_token_ids else b""
        return b"%b%b%b%b%b" % (
            self._before_text,
            _ENCODED_VOCABULARY[token_id],
            self._after_text,
            ids,
            b',"finish_reason":null}]}\n\n',
        )

    def finish_event(self, finish_reason: str) -> bytes:
        """Return the event that says why the stream ends."""
        choice = self._choice_start()
        choice["delta" if self._is_chat else "text"] = {} if self._is_chat else ""
        choice["finish_reason"] = finish_reason
        return _event({**self._head("chunk"), "choices": [choice]})

    def usage_event(self, prompt_tokens: int, completion_tokens: int, cached: int) -> bytes:
        """Return the event with the usage, or nothing if it was not asked for."""
        options = self._body.stream_options
        if options is None or not options.include_usage:
            return b""
        usage = _usage(prompt_tokens, completion_tokens, cached)
        return _event({**self._head("chunk"), "choices": [], "usage": usage})

    def whole(
        self, token_ids: list[int], finish_reason: str, prompt_tokens: int, cached: int
    ) -> dict[str, object]:
        """Return the whole answer, to be encoded as JSON."""
        choice = self._choice_start()
        content = text.tokens_text(token_ids)
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": content}
        else:
            choice["text"] = content
        choice["finish_reason"] = finish_reason
        if self._body.return_token_ids:
            choice["token_ids"] = token_ids
        usage = _usage(prompt_tokens, len(token_ids), cached)
        return {**self._head("whole"), "choices": [choice], "usage": usage}

    def _choice_start(self) -> dict[str, object]:
        return {"index": 0, "logprobs": None}

    def _head(self, form: str) -> dict[str, object]:
        names = {
            (True, "chunk"): "chat.completion.chunk",
            (True, "whole"): "chat.completion",
            (False, "chunk"): "text_completion",
            (False, "whole"): "text_completion",
        }
        return {
            "id": self._id,
            "object": names[self._is_chat, form],
            "created": self._created,
            "model": self._body.model,
        }

    def _chunk_parts(self) -> tuple[bytes, bytes]:
        """Return the bytes of a token's event before and after its text."""
        head = msgspec.json.encode(self._head("chunk"))[:-1]
        before = b"data: " + head + b',"choices":[{"index":0,"logprobs":null,'
        if self._is_chat:
            return before + b'"delta":{"role":"assistant","content":"', b'"}'
        return before + b'"text":"', b'"'


def _event(content: dict[str, object]) -> bytes:
    return b"data: " + msgspec.json.encode(content) + b"\n\n"


def _usage(prompt_tokens: int, completion_tokens: int, cached: int) -> dict[str, object]:
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": cached},
    }
