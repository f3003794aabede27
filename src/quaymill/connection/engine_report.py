"""The state that a model engine reports when polled."""

from __future__ import annotations

import attrs


@attrs.frozen
class EngineReport:
    """State of an engine, which may be some hundred milliseconds old.

    Attributes
    ----------
    running, waiting
        Number of requests in the batch, and in the queue behind it.
    kv_used_tokens, kv_total_tokens
        Cache memory that cannot be evicted, and all cache memory, in tokens.
    started_ms
        Start time of the engine in Unix milliseconds; 0 if unknown.
    """

    running: int
    waiting: int
    kv_used_tokens: int = 0
    kv_total_tokens: int = 0
    started_ms: int = 0
