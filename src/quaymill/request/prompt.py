"""What a request tells of its prompt: its size, and the parts it shares with other requests."""

from __future__ import annotations

import attrs


@attrs.frozen
class PromptPart:
    """One part of a prompt; parts with the same ``id`` are the same text."""

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    """The parts in order; the last one belongs to the request or its session.

    Attributes
    ----------
    input_tokens, most_output_tokens
        Size of the prompt and bound of the answer; 0 if not told.
    """

    parts: tuple[PromptPart, ...] = ()
    model: str = ""
    input_tokens: int = 0
    most_output_tokens: int = 0

    def largest_shared_part(self) -> PromptPart | None:
        """Return the largest part that other requests may share, the last part left out."""
        return max(self.parts[:-1], key=lambda part: part.tokens, default=None)


NO_PROMPT = Prompt()
