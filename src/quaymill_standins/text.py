"""The text that the engine stand-in generates: a pure function of model, prompt and index.

A reader who knows the model and the prompt can compute every token, and so tell whether an
answer is whole, in order, and the answer to that prompt.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

_FIRST_SYLLABLES = tuple(
    consonant + vowel for consonant in "bcdfghjklmnprstv" for vowel in ("a", "e", "i", "ó")
)
_LAST_SYLLABLES = tuple(
    consonant + vowel
    for consonant in ("l", "m", "n", "ñ", "r", "s", "t", "k'")
    for vowel in ("a", "e", "i", "o", "u", "á", "é", "ú")
)
VOCABULARY: tuple[str, ...] = tuple(
    f" {first}{last}" for first in _FIRST_SYLLABLES for last in _LAST_SYLLABLES
)
"""Text of each token, by token id; no text needs escaping in JSON."""

PROMPT_CHARACTERS_PER_TOKEN = 4
_INDEX_BYTES = 8


class TokenSource:
    """The tokens that a model generates after one prompt."""

    def __init__(self, model: str, prompt: str) -> None:
        self._seed = xxhash.xxh3_64_intdigest(f"{model}\0{prompt}".encode())

    def token(self, index: int) -> int:
        """Return the id of token ``index``, counted from 0."""
        position = index.to_bytes(_INDEX_BYTES, "little")
        return xxhash.xxh3_64_intdigest(position, self._seed) % len(VOCABULARY)


def expected_tokens(model: str, prompt: str, count: int) -> list[int]:
    """Return the ids of the first ``count`` tokens after ``prompt``."""
    source = TokenSource(model, prompt)
    return [source.token(index) for index in range(count)]


def expected_text(model: str, prompt: str, count: int) -> str:
    """Return the text of the first ``count`` tokens after ``prompt``."""
    return tokens_text(expected_tokens(model, prompt, count))


def tokens_text(token_ids: Iterable[int]) -> str:
    """Return the text of tokens."""
    return "".join(VOCABULARY[token_id] for token_id in token_ids)


def chat_prompt(messages: Iterable[tuple[str, str]]) -> str:
    """Return the prompt of a chat, given as pairs of role and content."""
    return "\n".join(f"{role}: {content}" for role, content in messages)


def prompt_token_count(prompt: str) -> int:
    """Return how many tokens the stand-in counts in a prompt."""
    return max(1, len(prompt) // PROMPT_CHARACTERS_PER_TOKEN)


def digest(content: str | bytes) -> str:
    """Return the digest by which journals name prompts and bodies, in hexadecimal."""
    data = content.encode() if isinstance(content, str) else content
    return xxhash.xxh3_64_hexdigest(data)
