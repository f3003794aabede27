"""Messages by which a gateway makes a call of the platform's store for another one."""

from __future__ import annotations

from typing import Any

import msgspec

from quaymill.connection.peer_link import PeerMessage


class StoreCall(PeerMessage, frozen=True):
    """Read or write one object; answered by ``StoreAnswer``.

    Attributes
    ----------
    object_kind
        Name of the ``ObjectKind``.
    spec
        What to write; ``None`` to read.
    revision
        The revision to replace; 0 to make the object.
    """

    object_kind: str
    name: str
    spec: Any = None
    revision: int = 0


class SharedObject(msgspec.Struct, frozen=True):
    """An object of the store."""

    name: str
    revision: int
    spec: Any


class StoreAnswer(PeerMessage, frozen=True):
    """What the store answered.

    Attributes
    ----------
    object
        The object read or written, or the one in the way.
    conflict, missing
        Whether the condition did not hold, or there is no such object.
    unanswered
        Why it is not known whether the call was done; empty where it is.
    """

    object: SharedObject | None = None
    conflict: bool = False
    missing: bool = False
    unanswered: str = ""
