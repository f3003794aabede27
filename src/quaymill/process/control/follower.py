"""Follows all objects of one kind in the platform's store by a list and consecutive watches.

The objects are listed again when the store no longer has the history since the last change seen.
Failed calls are repeated after a delay, and the current view is kept until then.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from eliot import log_message

from quaymill.connection.object_store import (
    Changes,
    HistoryGone,
    Listing,
    ObjectKind,
    ObjectStore,
    StoreRefused,
    StoreUnanswered,
)

FIRST_PAUSE_S = 0.15
MAX_PAUSE_S = 1.0


class Follower:
    """One thread that keeps a view of all objects of one kind up to date.

    Parameters
    ----------
    wait_s
        Longest duration of one watch; a lost connection is noticed after this time at the latest.
    on_listing, on_changes
        Called with each list and with each set of changes; they must not block.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: ObjectKind,
        wait_s: float,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[Changes], None],
    ) -> None:
        self._store = store
        self._kind = kind
        self._wait_s = wait_s
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._stopping = threading.Event()
        self._pause_s = FIRST_PAUSE_S
        self._lost = False

    def start(self) -> None:
        """Start the thread."""
        name = f"follow-{self._kind.name.lower()}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop following; the thread ends after its current call."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            listing = self._store.list(self._kind)
            if isinstance(listing, StoreRefused | StoreUnanswered):
                self._handle_failure(listing.reason)
                continue
            self._handle_success()
            self._on_listing(listing)
            self._watch_from(listing.revision)

    def _watch_from(self, revision: int) -> None:
        """Watch until the store no longer has the history, or until ``stop``."""
        while not self._stopping.is_set():
            changes = self._store.watch(self._kind, revision, self._wait_s)
            if isinstance(changes, HistoryGone):
                log_message("control:history_gone", kind=self._kind.name, revision=revision)
                return
            if isinstance(changes, StoreRefused | StoreUnanswered):
                self._handle_failure(changes.reason)
                continue
            self._handle_success()
            revision = max(revision, changes.revision)
            if changes.changes:
                self._on_changes(changes)

    def _handle_failure(self, reason: str) -> None:
        if not self._lost:
            self._lost = True
            log_message("control:store_lost", kind=self._kind.name, reason=reason)
        self._stopping.wait(self._pause_s * random.uniform(0.7, 1.3))
        self._pause_s = min(MAX_PAUSE_S, 1.5 * self._pause_s)

    def _handle_success(self) -> None:
        self._pause_s = FIRST_PAUSE_S
        if self._lost:
            self._lost = False
            log_message("control:store_regained", kind=self._kind.name)
