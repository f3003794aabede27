"""The body of a completion request: what the gateway checks and what it adds."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from quaymill.request.outcome import NotRun

ONLINE_PRIORITY = 0
DEFAULT_MAX_TOKENS = 256
PREFIX_KEY_BYTES = 512

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class InvalidBody(msgspec.Struct, frozen=True):
    """Why a body cannot be used, and the field at fault."""

    field: str
    refusal: NotRun


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: Any = None


class CompletionBody(msgspec.Struct):
    """The fields that both kinds of completion share; others pass through unread."""

    model: str
    stream: bool | None = False
    max_tokens: PositiveInt | None = None
    max_completion_tokens: PositiveInt | None = None
    n: PositiveInt | None = 1

    @property
    def reserved_tokens(self) -> int:
        """Tokens that the request may generate."""
        most = self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS
        return most * (self.n or 1)


class ChatCompletionBody(CompletionBody, kw_only=True):
    """Body of ``/v1/chat/completions``."""

    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]


class TextCompletionBody(CompletionBody, kw_only=True):
    """Body of ``/v1/completions``."""

    prompt: str | list[Any]


class CompletionRequest:
    """A checked body, ready to be sent on.

    Fields stay the raw JSON that the caller sent; only the gateway's own are put in.
    """

    def __init__(self, checked: CompletionBody, fields: dict[str, msgspec.Raw]) -> None:
        self.checked = checked
        self._fields = fields

    @property
    def wants_token_ids(self) -> bool:
        """Whether the caller asked for token ids itself."""
        return bytes(self._fields.get("return_token_ids", b"")) == b"true"

    @property
    def prefix_key(self) -> str:
        """Beginning of the prompt: requests that share it gain from the same replica's cache."""
        prompt = self._fields.get("messages") or self._fields.get("prompt")
        return bytes(prompt)[:PREFIX_KEY_BYTES].hex() if prompt is not None else ""

    def engine_body(self, resume_token_ids: list[int] | None = None) -> bytes:
        """Return the body for the engine: streamed, with token ids, at online priority."""
        fields: dict[str, Any] = dict(self._fields)
        fields["priority"] = ONLINE_PRIORITY
        fields.pop("resume_token_ids", None)
        fields["return_token_ids"] = True
        if not self.checked.stream:
            fields["stream"] = True
            fields["stream_options"] = {"include_usage": True}
        if resume_token_ids:
            fields["resume_token_ids"] = resume_token_ids
        return msgspec.json.encode(fields)


def parse_completion(
    body: bytes, body_type: type[CompletionBody]
) -> CompletionRequest | InvalidBody:
    """Check a body; a fault names the field."""
    try:
        checked = msgspec.json.decode(body, type=body_type)
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except msgspec.ValidationError as error:
        return _invalid(str(error))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        refusal = NotRun(400, f"the body is not JSON: {error}", "send one JSON object")
        return InvalidBody("", refusal)
    return CompletionRequest(checked, fields)


def _invalid(message: str) -> InvalidBody:
    reason, _, place = message.partition(" - at `$")
    field = place.rstrip("`").lstrip(".")
    if "missing required field `" in reason:
        missing = reason.split("`")[1]
        field = f"{field}.{missing}" if field else missing
    return InvalidBody(field, NotRun(400, f"{field or 'body'}: {reason}", "mend the field"))
