"""Versioned objects of the platform stand-in, with a bounded history of changes."""

from __future__ import annotations

import copy
import enum
import threading
import time
from collections import deque

import msgspec

KINDS = {
    "servingconfigurations": "ServingConfiguration",
    "servingstatuses": "ServingStatus",
    "statusleases": "StatusLease",
    "storegroups": "StoreGroup",
    "machines": "Machine",
}
API_VERSION = "quaymill.io/v1"

Object = dict[str, object]


class ChangeType(enum.StrEnum):
    """Types of a change, as watches name them."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"


class Change(msgspec.Struct, frozen=True):
    """One change; ``version`` is the resource version that it made."""

    version: int
    time_s: float
    type: ChangeType
    plural: str
    name: str
    object: Object


class Refusal(msgspec.Struct, frozen=True):
    """Why a request was not carried out, as Kubernetes names it."""

    code: int
    reason: str
    message: str


class Listing(msgspec.Struct, frozen=True):
    """Objects of a kind, by name, as of a version."""

    version: int
    objects: dict[str, Object]


class ObjectStore:
    """All objects of the platform, under one version counter.

    Parameters
    ----------
    history_limit
        Changes kept; a watch from an older version is refused as gone.
    lags_s
        Seconds by which reads of a plural are late.
    """

    def __init__(self, history_limit: int, lags_s: dict[str, float]) -> None:
        self._history_limit = history_limit
        self._lags_s = lags_s
        self._changed = threading.Condition()
        self._version = 0
        self._epoch = 0
        self._objects: dict[str, dict[str, Object]] = {plural: {} for plural in KINDS}
        self._history: deque[Change] = deque()
        self._forgotten_version = 0
        self._read_objects: dict[str, dict[str, Object]] = {plural: {} for plural in lags_s}
        self._read_versions = dict.fromkeys(lags_s, 0)
        self._unread: dict[str, deque[Change]] = {plural: deque() for plural in lags_s}

    def list_objects(self, plural: str) -> Listing:
        """Return the objects of a kind as readers see them now."""
        with self._changed:
            if plural not in self._lags_s:
                return Listing(self._version, dict(self._objects[plural]))
            self._let_changes_through(plural)
            return Listing(self._read_versions[plural], dict(self._read_objects[plural]))

    def get(self, plural: str, name: str) -> Object | Refusal:
        """Return one object as readers see it now."""
        found = self.list_objects(plural).objects.get(name)
        return found if found is not None else _not_found(plural, name)

    def create(self, plural: str, new: Object) -> Object | Refusal:
        """Add an object; its name must be free."""
        name = object_name(new)
        with self._changed:
            if name in self._objects[plural]:
                return Refusal(409, "AlreadyExists", f"{plural} {name!r} already exists")
            return self._commit(ChangeType.ADDED, plural, name, new)

    def replace(self, plural: str, name: str, new: Object) -> Object | Refusal:
        """Replace an object if ``new`` names its current version."""
        with self._changed:
            old = self._objects[plural].get(name)
            if old is None:
                return _not_found(plural, name)
            expected = new["metadata"].get("resourceVersion")
            current = old["metadata"]["resourceVersion"]
            if expected != current:
                message = f"{plural} {name!r} has version {current}, not {expected}; read it again"
                return Refusal(409, "Conflict", message)
            return self._commit(ChangeType.MODIFIED, plural, name, new)

    def delete(self, plural: str, name: str) -> Object | Refusal:
        """Remove an object."""
        with self._changed:
            old = self._objects[plural].get(name)
            if old is None:
                return _not_found(plural, name)
            return self._commit(ChangeType.DELETED, plural, name, old)

    def epoch(self) -> int:
        """Return a number that changes when an old copy is restored."""
        with self._changed:
            return self._epoch

    def changes_after(
        self, plural: str, version: int, epoch: int, timeout_s: float
    ) -> list[Change] | Refusal:
        """Wait for changes of a kind after ``version``; return none after ``timeout_s``."""
        with self._changed:
            found = self._visible_changes(plural, version, epoch)
            if not found:
                self._changed.wait(timeout_s)
                found = self._visible_changes(plural, version, epoch)
            return found

    def snapshot(self) -> ObjectStore:
        """Return a copy of the objects and the version, to be restored later."""
        with self._changed:
            saved = ObjectStore(self._history_limit, self._lags_s)
            saved._version = self._version
            saved._objects = copy.deepcopy(self._objects)
            return saved

    def restore(self, saved: ObjectStore) -> int:
        """Go back to an old copy, version included; watches end. Return the version."""
        with self._changed:
            self._version = saved._version
            self._epoch += 1
            self._objects = copy.deepcopy(saved._objects)
            self._history.clear()
            self._forgotten_version = self._version
            for plural in self._lags_s:
                self._read_objects[plural] = dict(self._objects[plural])
                self._read_versions[plural] = self._version
                self._unread[plural].clear()
            self._changed.notify_all()
            return self._version

    def forget_history(self) -> None:
        """Drop all history, so that each watch from an older version is gone."""
        with self._changed:
            self._history.clear()
            self._forgotten_version = self._version
            self._changed.notify_all()

    def state(self) -> dict[str, dict[str, Object]]:
        """Return all objects as they are, without lag."""
        with self._changed:
            return {plural: dict(objects) for plural, objects in self._objects.items()}

    def _commit(self, kind: ChangeType, plural: str, name: str, new: Object) -> Object:
        """Give an object its version and carry out the change; the lock is held."""
        self._version += 1
        stored = {**new, "apiVersion": API_VERSION, "kind": KINDS[plural]}
        stored["metadata"] = {**new["metadata"], "resourceVersion": str(self._version)}
        _apply(self._objects[plural], kind, name, stored)
        change = Change(self._version, time.monotonic(), kind, plural, name, stored)
        self._history.append(change)
        if plural in self._lags_s:
            self._unread[plural].append(change)
        while len(self._history) > self._history_limit:
            self._forgotten_version = self._history.popleft().version
        self._changed.notify_all()
        return stored

    def _let_changes_through(self, plural: str) -> None:
        """Show readers of a late kind the changes that are old enough; the lock is held."""
        horizon_s = time.monotonic() - self._lags_s[plural]
        unread = self._unread[plural]
        while unread and unread[0].time_s <= horizon_s:
            change = unread.popleft()
            _apply(self._read_objects[plural], change.type, change.name, change.object)
            self._read_versions[plural] = change.version

    def _visible_changes(self, plural: str, version: int, epoch: int) -> list[Change] | Refusal:
        if epoch != self._epoch:
            return Refusal(410, "Expired", "the platform was restored; list again")
        if version < self._forgotten_version or version > self._version:
            return Refusal(410, "Expired", f"version {version} is gone; list again")
        horizon_s = time.monotonic() - self._lags_s.get(plural, 0.0)
        return [
            change
            for change in self._history
            if change.plural == plural and change.version > version and change.time_s <= horizon_s
        ]


def object_name(content: Object) -> str:
    """Return the name of an object."""
    return str(content["metadata"]["name"])


def _apply(objects: dict[str, Object], kind: ChangeType, name: str, new: Object) -> None:
    if kind is ChangeType.DELETED:
        objects.pop(name, None)
    else:
        objects[name] = new


def _not_found(plural: str, name: str) -> Refusal:
    return Refusal(404, "NotFound", f"{plural} {name!r} not found")
