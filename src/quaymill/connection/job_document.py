"""A batch job as it is kept and handed between processes: immutable once it is accepted."""

from __future__ import annotations

import enum

import msgspec


class JobItem(msgspec.Struct, frozen=True, array_like=True):
    """One item: an opaque request.

    Attributes
    ----------
    body
        Bytes of the request.
    tokens
        Tokens of the prompt and the most that come out, added together; 0 if not told.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0


class JobDocument(msgspec.Struct, frozen=True):
    """The items of a job."""

    items: tuple[JobItem, ...]

    @property
    def tokens(self) -> int:
        """Tokens of all items."""
        return sum(item.tokens for item in self.items)


class Job(msgspec.Struct, frozen=True):
    """An accepted job.

    Attributes
    ----------
    id
        Its name throughout the system; where there are tenants, it begins with its tenant's.
    host, path
        Where it was submitted; they lead to its route.
    age_s
        Time since it was first sent, when this record was made or handed on.
    tenant
        Whose it is, as replicas are told; empty for nobody known, ``None`` where there are no
        tenants. It stays whose it is, whatever becomes of the key by which it came.
    """

    id: str
    host: str
    path: str
    document: JobDocument
    age_s: float = 0.0
    tenant: str | None = None


class ResultState(enum.StrEnum):
    """How an item ended."""

    SUCCEEDED = "succeeded"
    DEAD = "dead"


class JobResult(msgspec.Struct, frozen=True, array_like=True):
    """How one item ended, and its output.

    Attributes
    ----------
    text
        Data of all events in order, joined by line feeds; of a dead item, the reason.
    """

    item_id: str
    state: ResultState
    text: str
