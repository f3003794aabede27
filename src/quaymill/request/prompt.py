"""Describes a request's prompt: its size, and the parts it shares with other requests."""

from __future__ import annotations

import attrs


@attrs.frozen
class PromptPart:
    """One part of a prompt; parts with the same ``id`` contain the same text."""

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    """The size and the parts of a prompt.

    Attributes
    ----------
    parts
        In order; the last part is specific to the request or its session.
    input_tokens, max_output_tokens
        Size of the prompt and maximum size of the answer; 0 if unknown.
    """

    parts: tuple[PromptPart, ...] = ()
    model: str = ""
    input_tokens: int = 0
    max_output_tokens: int = 0

    def largest_shared_part(self) -> PromptPart | None:
        """Return the largest part that other requests may share; ``None`` if there is none."""
        return max(self.parts[:-1], key=lambda part: part.tokens, default=None)


NO_PROMPT = Prompt()
