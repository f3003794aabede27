"""Follows the platform's objects of one kind while this node is a reader of its zone."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from typing import Protocol

import msgspec

from quaymill.connection.platform_client import PlatformClient
from quaymill.connection.platform_objects import (
    Bookmark,
    Gone,
    ObjectChanged,
    ObjectDeleted,
    ObjectList,
    PlatformObject,
    PlatformUnavailable,
    Refused,
    WatchEnded,
)

IDLE_INTERVAL_S = 0.5
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 4.0


class ObjectFollower(Protocol):
    """Handles the objects that a watch receives."""

    def on_list(self, listed: ObjectList) -> None:
        """Handle the whole list."""

    def on_change(self, changed: PlatformObject) -> None:
        """Handle an added or modified object."""

    def on_delete(self, deleted: PlatformObject) -> None:
        """Handle the deletion of an object."""

    def is_current(self) -> bool:
        """Return whether the watch may be resumed after a watch without events.

        If not, changes may have been missed, and the objects are listed again.
        """


class WatchSettings(msgspec.Struct, frozen=True):
    """The plural name of the objects to follow, and the duration of one watch in seconds."""

    plural: str
    watch_s: float


class PlatformWatch:
    """One thread that lists and watches objects while ``is_reader`` returns true.

    A watch lasts a limited time. After one that fails or does not end in time, the objects are
    listed again; one that ended normally is resumed from its last version.

    Parameters
    ----------
    report
        Called after each list with the reason of its failure; empty if it succeeded.
    """

    def __init__(
        self,
        platform: PlatformClient,
        settings: WatchSettings,
        follower: ObjectFollower,
        is_reader: Callable[[], bool],
        report: Callable[[str], None],
    ) -> None:
        self._platform = platform
        self._settings = settings
        self._follower = follower
        self._is_reader = is_reader
        self._report = report
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(
            target=self._follow, name=f"watch-{self._settings.plural}", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop at the next event or at the end of the watch, without waiting for the thread."""
        self._stopping.set()

    def _follow(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while not self._stopping.is_set():
            if not self._is_reader():
                self._stopping.wait(IDLE_INTERVAL_S)
                continue
            listed = self._platform.list_objects(self._settings.plural)
            if isinstance(listed, PlatformUnavailable | Refused):
                self._report(listed.reason)
                self._stopping.wait(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            self._report("")
            backoff_s = MIN_BACKOFF_S
            self._follower.on_list(listed)
            self._watch_from(listed.resource_version)

    def _watch_from(self, version: str) -> None:
        """Watch repeatedly until the objects must be listed again."""
        while not self._stopping.is_set() and self._is_reader():
            reached = self._watch_once(version)
            if reached is None:
                self._stopping.wait(MIN_BACKOFF_S * random.uniform(0.5, 1.0))
                return
            if reached == version and not self._follower.is_current():
                return
            version = reached

    def _watch_once(self, version: str) -> str | None:
        """Watch once; return the version reached, or ``None`` if events may have been missed."""
        for event in self._platform.watch(self._settings.plural, version, self._settings.watch_s):
            match event:
                case ObjectChanged():
                    self._follower.on_change(event.object)
                    version = event.object.resource_version
                case ObjectDeleted():
                    self._follower.on_delete(event.object)
                    version = event.object.resource_version
                case Bookmark():
                    version = event.resource_version
                case Gone():
                    return None
                case WatchEnded():
                    return None if event.silent else version
            if self._stopping.is_set():
                return None
        return version
