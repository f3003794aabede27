"""Bounded cache of prompt prefixes, and its events, which come late and with gaps."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict, deque

import msgspec
import xxhash

BLOCK_CHARACTERS = 64
EVENT_LOG_LIMIT = 10_000
_GAP_SEED = 0


class CacheEvent(msgspec.Struct, frozen=True):
    """Blocks that entered the cache (``stored``) or left it (``removed``).

    Attributes
    ----------
    sequence
        Counts the events, lost ones included, so that a reader sees the gaps.
    blocks
        Hashes of the blocks; the hash of a block covers the prompt up to its end.
    """

    sequence: int
    kind: str
    blocks: tuple[str, ...]


class CacheEventLog:
    """Events that readers see ``lag_s`` seconds late; a share of them is lost."""

    def __init__(self, lag_s: float, gap_probability: float) -> None:
        self._lag_s = lag_s
        self._gap_probability = gap_probability
        self._lock = threading.Lock()
        self._next_sequence = 1
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=EVENT_LOG_LIMIT)

    def append(self, kind: str, blocks: tuple[str, ...]) -> None:
        """Add an event, or lose it and leave a gap in the sequence."""
        with self._lock:
            sequence = self._next_sequence
            self._next_sequence += 1
            draw = xxhash.xxh32_intdigest(str(sequence).encode(), _GAP_SEED) / 2.0**32
            if draw >= self._gap_probability:
                self._events.append((time.monotonic(), CacheEvent(sequence, kind, blocks)))

    def after(self, sequence: int) -> list[CacheEvent]:
        """Return the events after ``sequence`` that are old enough to be seen."""
        horizon_s = time.monotonic() - self._lag_s
        with self._lock:
            return [
                event
                for written_s, event in self._events
                if written_s <= horizon_s and event.sequence > sequence
            ]


class PrefixCache:
    """Least recently used blocks of prompt prefixes, at most ``capacity`` of them."""

    def __init__(self, capacity: int, events: CacheEventLog) -> None:
        self._capacity = capacity
        self._events = events
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def cached_characters(self, blocks: tuple[str, ...]) -> int:
        """Return how many leading characters of a prompt are cached, and refresh them."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits * BLOCK_CHARACTERS

    def store(self, blocks: tuple[str, ...]) -> None:
        """Put the blocks of a prompt into the cache, at the cost of the oldest ones."""
        new = tuple(block for block in blocks if block not in self._blocks)
        self._blocks.update(dict.fromkeys(new))
        removed = []
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        if new:
            self._events.append("stored", new)
        if removed:
            self._events.append("removed", tuple(removed))


def prefix_blocks(prompt: str) -> tuple[str, ...]:
    """Return the hashes of the full blocks of a prompt."""
    hasher = xxhash.xxh3_64()
    blocks = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        hasher.update(prompt[end - BLOCK_CHARACTERS : end].encode())
        blocks.append(hasher.hexdigest())
    return tuple(blocks)
