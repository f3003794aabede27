"""How one run of one item ended."""

from __future__ import annotations

import msgspec


class ItemFinished(msgspec.Struct, frozen=True):
    """The back end's verdict: ``response`` is JSON on one line.

    Attributes
    ----------
    retryable
        Whether another attempt may succeed.
    """

    status: int
    response: msgspec.Raw
    retryable: bool = False


class ItemGaveWay(msgspec.Struct, frozen=True):
    """The run was cancelled or preempted; the item can be resumed.

    Attributes
    ----------
    by_engine
        Whether the engine preempted it, unasked.
    """

    by_engine: bool


class ItemNotStarted(msgspec.Struct, frozen=True):
    """The replica did not start the item; no attempt was used up."""

    reason: str


class ItemBroken(msgspec.Struct, frozen=True):
    """The run ended without a whole answer; another attempt may succeed."""

    reason: str


ItemOutcome = ItemFinished | ItemGaveWay | ItemNotStarted | ItemBroken


def error_body(message: str, code: str) -> msgspec.Raw:
    """Return an error in OpenAI's format."""
    error = {"message": message, "type": "server_error", "param": None, "code": code}
    return msgspec.Raw(msgspec.json.encode({"error": error}))
