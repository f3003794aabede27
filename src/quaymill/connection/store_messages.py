"""Messages by which a gateway calls the platform's object store for another one."""

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
        Value to write; ``None`` to read the object.
    revision
        Revision to replace; 0 to create the object.
    """

    object_kind: str
    name: str
    spec: Any = None
    revision: int = 0


class SharedObject(msgspec.Struct, frozen=True):
    """An object of the store, in the form in which it is sent to another gateway."""

    name: str
    revision: int
    spec: Any


class StoreAnswer(PeerMessage, frozen=True):
    """The result of a ``StoreCall``.

    Attributes
    ----------
    object
        The object read or written, or the current object after a conflict.
    conflict, missing
        Whether the revision did not match or an object to be created exists; whether the object
        does not exist.
    unanswered
        Reason why it is unknown whether the call took effect; empty if it is known.
    """

    object: SharedObject | None = None
    conflict: bool = False
    missing: bool = False
    unanswered: str = ""
