"""A batch job as it is stored and sent between processes; immutable once it is accepted."""

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
        Prompt tokens plus the maximum number of generated tokens; 0 if unknown.
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
        """Total number of tokens of all items."""
        return sum(item.tokens for item in self.items)


class Job(msgspec.Struct, frozen=True):
    """An accepted job.

    Attributes
    ----------
    id
        Id of the job in the whole system; starts with the tenant's name if there are tenants.
    host, path
        Host and path that it was submitted to; they determine its route.
    age_s
        Time since the job was first submitted, at the time when this object was created or sent.
    tenant
        Name of the tenant as sent to replicas; empty if unknown, ``None`` if there are no tenants.
        It does not change when the tenant's key is changed or removed.
    """

    id: str
    host: str
    path: str
    document: JobDocument
    age_s: float = 0.0
    tenant: str | None = None


class ResultState(enum.StrEnum):
    """Final states of an item."""

    SUCCEEDED = "succeeded"
    DEAD = "dead"


class JobResult(msgspec.Struct, frozen=True, array_like=True):
    """The final state of an item, and its output.

    Attributes
    ----------
    text
        Data of all events in order, joined by line feeds; for a dead item, the reason.
    """

    item_id: str
    state: ResultState
    text: str
