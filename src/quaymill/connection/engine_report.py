"""What a model engine reports of itself when asked, some hundred milliseconds old."""

from __future__ import annotations

import attrs


@attrs.frozen
class EngineReport:
    """State of an engine.

    Attributes
    ----------
    running, waiting
        Requests in the batch, and admitted behind it.
    kv_used_tokens, kv_total_tokens
        Memory that cannot give way, and in all.
    born_ms
        When the engine started, in Unix milliseconds; 0 if it does not say.
    """

    running: int
    waiting: int
    kv_used_tokens: int = 0
    kv_total_tokens: int = 0
    born_ms: int = 0
