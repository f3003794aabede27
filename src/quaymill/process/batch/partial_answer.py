"""The part of a streamed answer that has arrived, and the whole answer built from it."""

from __future__ import annotations

from typing import Any

import msgspec

CHAT_PATH = "/v1/chat/completions"
_EVENT_PREFIX = b"data: "
_TERMINATOR = b"[DONE]"


class Delta(msgspec.Struct):
    """What one chunk of a chat adds; fields of tool calls are kept as plain JSON."""

    role: str | None = None
    content: str | None = None
    refusal: str | None = None
    tool_calls: list[dict[str, Any]] | None = None


class ChunkChoice(msgspec.Struct):
    """One choice of a chunk, of a chat (``delta``) or of a completion (``text``)."""

    index: int = 0
    delta: Delta | None = None
    text: str | None = None
    token_ids: list[int] | None = None
    logprobs: dict[str, Any] | None = None
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """One event of an engine's stream."""

    id: str = ""
    created: int = 0
    model: str = ""
    choices: list[ChunkChoice] = []
    usage: dict[str, Any] | None = None


_chunk_decoder = msgspec.json.Decoder(Chunk)


class _Choice(msgspec.Struct):
    """What has arrived of one choice."""

    texts: list[str] = []
    refusals: list[str] = []
    tool_calls: list[dict[str, Any]] = []
    logprobs: dict[str, list[Any]] = {}
    token_ids: list[int] = []
    finish_reason: str | None = None


class PartialAnswer:
    """Collects chunks over one or several streams of the same item."""

    def __init__(self) -> None:
        self._choices: dict[int, _Choice] = {}
        self._first: Chunk | None = None
        self._usage: dict[str, Any] = {}
        self._resumable = True

    @property
    def token_ids(self) -> list[int]:
        """Tokens of the first choice so far, from which a stream can be resumed."""
        choice = self._choices.get(0)
        return choice.token_ids if choice else []

    @property
    def resumable(self) -> bool:
        """Whether a new stream may continue; else it must start from nothing.

        Only a single choice whose chunks all carried their tokens can be continued.
        """
        return self._resumable and set(self._choices) <= {0}

    @property
    def finished(self) -> bool:
        """Whether every choice seen has its finish reason."""
        reasons = [choice.finish_reason for choice in self._choices.values()]
        return bool(reasons) and None not in reasons

    def begin_stream(self) -> list[int]:
        """Prepare for a new stream; return the tokens it has to continue from."""
        if not self.resumable:
            self._choices = {}
            self._resumable = True
        for choice in self._choices.values():
            choice.finish_reason = None
        return self.token_ids

    def add(self, chunk: Chunk) -> None:
        """Add one chunk."""
        if self._first is None:
            self._first = chunk
        if chunk.usage is not None:
            self._usage = chunk.usage
        for part in chunk.choices:
            self._add_choice(self._choices.setdefault(part.index, _Choice()), part)

    def response(self, path: str, request_id: str) -> dict[str, Any]:
        """Return the whole answer in OpenAI's format of an unstreamed response."""
        chat = path == CHAT_PATH
        first = self._first or Chunk()
        build = _chat_choice if chat else _text_choice
        return {
            "id": request_id,
            "object": "chat.completion" if chat else "text_completion",
            "created": first.created,
            "model": first.model,
            "choices": [build(index, choice) for index, choice in sorted(self._choices.items())],
            "usage": self._whole_usage(),
        }

    def _add_choice(self, choice: _Choice, part: ChunkChoice) -> None:
        delta = part.delta or Delta()
        text = part.text or delta.content
        if text:
            choice.texts.append(text)
        if delta.refusal:
            choice.refusals.append(delta.refusal)
        if delta.tool_calls:
            _merge_tool_calls(choice.tool_calls, delta.tool_calls)
        if part.logprobs:
            for key, values in part.logprobs.items():
                choice.logprobs.setdefault(key, []).extend(values or [])
        if part.token_ids:
            choice.token_ids.extend(part.token_ids)
        elif text or delta.tool_calls or delta.refusal:
            self._resumable = False
        if part.finish_reason is not None:
            choice.finish_reason = part.finish_reason

    def _whole_usage(self) -> dict[str, Any]:
        """Return the usage; a resumed stream may count its own tokens only."""
        usage = dict(self._usage)
        if self._resumable and self._choices:
            usage["completion_tokens"] = sum(
                len(choice.token_ids) for choice in self._choices.values()
            )
        prompt_tokens = usage.setdefault("prompt_tokens", 0)
        completion_tokens = usage.setdefault("completion_tokens", 0)
        usage["total_tokens"] = prompt_tokens + completion_tokens
        return usage


def decode_events(events: bytes) -> list[Chunk]:
    """Return the chunks in whole events of a stream; raises ``msgspec.MsgspecError``."""
    chunks: list[Chunk] = []
    for line in events.split(b"\n"):
        if line.startswith(_EVENT_PREFIX) and not line.endswith(_TERMINATOR):
            chunks.append(_chunk_decoder.decode(line[len(_EVENT_PREFIX) :]))
    return chunks


def _chat_choice(index: int, choice: _Choice) -> dict[str, Any]:
    message: dict[str, Any] = {"role": "assistant", "content": "".join(choice.texts) or None}
    if choice.refusals:
        message["refusal"] = "".join(choice.refusals)
    if choice.tool_calls:
        message["tool_calls"] = choice.tool_calls
    if message["content"] is None and not choice.tool_calls:
        message["content"] = ""
    return {
        "index": index,
        "message": message,
        "logprobs": choice.logprobs or None,
        "finish_reason": choice.finish_reason,
    }


def _text_choice(index: int, choice: _Choice) -> dict[str, Any]:
    return {
        "index": index,
        "text": "".join(choice.texts),
        "logprobs": choice.logprobs or None,
        "finish_reason": choice.finish_reason,
    }


def _merge_tool_calls(calls: list[dict[str, Any]], parts: list[dict[str, Any]]) -> None:
    """Add parts of tool calls; the arguments of a call arrive in pieces."""
    for part in parts:
        position = part.get("index", len(calls))
        while len(calls) <= position:
            calls.append({"type": "function", "function": {"name": "", "arguments": ""}})
        call = calls[position]
        call.update({key: part[key] for key in ("id", "type") if part.get(key)})
        function = part.get("function") or {}
        for key in ("name", "arguments"):
            call["function"][key] += function.get(key) or ""
