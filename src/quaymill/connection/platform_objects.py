"""Objects of the platform's API, and the results of calls to it."""

from __future__ import annotations

import msgspec


class PlatformObject(msgspec.Struct, frozen=True):
    """One object as stored; ``spec`` is decoded by the caller."""

    name: str
    resource_version: str
    spec: msgspec.Raw


class ObjectList(msgspec.Struct, frozen=True):
    """All objects of a resource type at one resource version."""

    resource_version: str
    items: tuple[PlatformObject, ...]


class NotFound(msgspec.Struct, frozen=True):
    """There is no object of that name; nothing was changed."""

    name: str


class Conflict(msgspec.Struct, frozen=True):
    """The object has a different resource version; nothing was changed."""

    name: str
    message: str


class AlreadyExists(msgspec.Struct, frozen=True):
    """An object of that name exists; nothing was changed."""

    name: str


class Refused(msgspec.Struct, frozen=True):
    """The platform understood the request and refused it; nothing was changed."""

    status: int
    reason: str


class PlatformUnavailable(msgspec.Struct, frozen=True):
    """There was no usable answer.

    Attributes
    ----------
    may_have_acted
        Whether the request may have taken effect; ``False`` if it certainly changed nothing.
    """

    reason: str
    may_have_acted: bool

    @property
    def remedy(self) -> str:
        """Advice for the operator."""
        if self.may_have_acted:
            return "read the object back: the change may have taken effect"
        return "nothing was changed; try again when the platform answers"


class Gone(msgspec.Struct, frozen=True):
    """The resource version to watch from is too old; list the objects again."""


class WatchEnded(msgspec.Struct, frozen=True):
    """The watch ended.

    Attributes
    ----------
    silent
        Whether it ended by a timeout or a fault, so that events may have been missed.
    """

    reason: str
    silent: bool


class ObjectChanged(msgspec.Struct, frozen=True):
    """An object was added or modified."""

    object: PlatformObject


class ObjectDeleted(msgspec.Struct, frozen=True):
    """An object was deleted."""

    object: PlatformObject


class Bookmark(msgspec.Struct, frozen=True):
    """No change; the watch works and has reached ``resource_version``."""

    resource_version: str
