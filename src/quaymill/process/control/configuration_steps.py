"""Encoded steps from one version of the configuration to the next, for the gateways behind.

A step holds what changed. Gateways apply the steps in order, so a small change does not wait for a
large one that follows it. A gateway whose version is unknown here receives the whole document.
"""

from __future__ import annotations

import threading
import zlib
from collections import deque
from typing import Any

import attrs
import msgspec
import xxhash

from quaymill.version.document_change import DocumentChange

MAX_STEPS = 64
MAX_STEP_BYTES = 512 * 1024
"""Maximum size of all kept steps together."""
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
COMPRESSION_LEVEL = 1


class ConfigurationStep(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step from ``base_version`` to ``version``.

    Attributes
    ----------
    base_version
        Version that ``change`` applies to; 0 if ``document`` holds the whole document instead.
    """

    base_version: int
    version: int
    change: DocumentChange | None = None
    document: Any = None


@attrs.frozen
class EncodedStep:
    """A compressed step; ``digest`` identifies its bytes."""

    base_version: int
    version: int
    data: bytes
    digest: str

    @classmethod
    def of(cls, base_version: int, version: int, data: bytes) -> EncodedStep:
        """Return a step with the digest of its bytes."""
        return cls(base_version, version, data, xxhash.xxh3_64_hexdigest(data))


@attrs.frozen
class InvalidStep:
    """The bytes are no step of this protocol."""

    reason: str


def encode_step(step: ConfigurationStep) -> EncodedStep:
    """Return a step with its compressed bytes."""
    data = zlib.compress(msgspec.json.encode(step), COMPRESSION_LEVEL)
    return EncodedStep.of(step.base_version, step.version, data)


def decode_step(data: bytes) -> ConfigurationStep | InvalidStep:
    """Return the step of compressed bytes."""
    decompressor = zlib.decompressobj()
    try:
        line = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
        if not decompressor.eof:
            return InvalidStep("it is incomplete or too large")
        return msgspec.json.decode(line, type=ConfigurationStep)
    except (zlib.error, msgspec.MsgspecError) as error:
        return InvalidStep(str(error))


class ConfigurationSteps:
    """The latest steps of this gateway, and its whole document; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._steps: deque[EncodedStep] = deque()
        self._step_bytes = 0
        self._version = 0
        self._document: Any = None
        self._encoded_document: EncodedStep | None = None

    def add(self, step: EncodedStep, document: Any) -> None:
        """Add the step to a version that has come into force, and its whole document."""
        with self._lock:
            if self._steps and self._steps[-1].version != step.base_version:
                self._clear()
            if step.base_version:
                self._steps.append(step)
                self._step_bytes += len(step.data)
            while len(self._steps) > MAX_STEPS or self._step_bytes > MAX_STEP_BYTES:
                self._step_bytes -= len(self._steps.popleft().data)
            self._version = step.version
            self._document = document
            self._encoded_document = None if step.base_version else step

    def next_after(self, version: int) -> EncodedStep | None:
        """Return the step that follows a version; ``None`` if there is nothing newer."""
        with self._lock:
            if version >= self._version:
                return None
            for step in self._steps:
                if step.base_version == version:
                    return step
            if self._encoded_document is None:
                whole = ConfigurationStep(0, self._version, document=self._document)
                self._encoded_document = encode_step(whole)
            return self._encoded_document

    def _clear(self) -> None:
        self._steps.clear()
        self._step_bytes = 0
