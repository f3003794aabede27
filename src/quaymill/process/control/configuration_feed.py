"""Reads the configuration from the platform's store, with one answer for each change.

Two gateways watch the configuration, so that each version is read as soon as it is stored and
before the next one replaces it. Whichever gateway reads the store's lists also checks the
configuration, in case that the watches hear nothing. It lists the document, if that is small or
was not done for a while; otherwise it asks for changes since the last one. The document is also
listed where the store has forgotten the history since the last change.
"""

from __future__ import annotations

import math
import random
import threading
from collections.abc import Callable

import msgspec

from quaymill import boot_clock
from quaymill.connection.object_store import (
    CallRejected,
    Changes,
    HistoryGone,
    Listing,
    ObjectKind,
    ObjectStore,
    StoredObject,
    StoreFailure,
)

WATCHING_GATEWAYS = 2
WATCH_S = 10.0
RANK_CHECK_S = 0.5
"""Interval at which a gateway that does not watch checks its rank."""
MAX_CHECK_BYTES_PER_S = 20e3
"""Bytes of documents without a change that the checks may transfer per second, on average."""
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 1.5

Offer = Callable[[StoredObject, float | None], None]
"""Receives a stored configuration, and the duration of the call that returned it; ``None`` if the
call waited for the change."""


class ConfigurationFeed:
    """Follows the configuration in the store; ``check`` may be called beside the watch.

    Parameters
    ----------
    name
        Name of the object that holds the configuration.
    rank
        Returns this gateway's rank among the live ones, 0 for the first.
    offer
        Called with each version read, in order, and maybe repeatedly.
    """

    def __init__(
        self, store: ObjectStore, name: str, rank: Callable[[], int], offer: Offer
    ) -> None:
        self._store = store
        self._name = name
        self._rank = rank
        self._offer = offer
        self._lock = threading.Lock()
        self._revision = 0
        self._list_again_at = -math.inf
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start watching while this gateway is among the first in rank."""
        threading.Thread(target=self._run, name="configuration-watch", daemon=True).start()

    def stop(self) -> None:
        """Stop watching; the thread ends after its current call."""
        self._stopping.set()

    def check(self) -> StoreFailure | None:
        """Read the configuration or what has changed in it; return the failure if there was one."""
        if boot_clock.now() >= self._list_again_at:
            return self._list()
        return self._read(0.0)

    def _run(self) -> None:
        pause_s = FIRST_PAUSE_S
        while not self._stopping.is_set():
            if self._rank() >= WATCHING_GATEWAYS:
                self._stopping.wait(RANK_CHECK_S)
                continue
            began = boot_clock.now()
            failure = self._read(WATCH_S)
            if failure is not None:
                self._stopping.wait(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(MAX_PAUSE_S, 2 * pause_s)
                continue
            # Bounds the calls if watches end early, for example as the object cannot be decoded.
            self._stopping.wait(max(0.0, FIRST_PAUSE_S - (boot_clock.now() - began)))
            pause_s = FIRST_PAUSE_S

    def _read(self, wait_s: float) -> StoreFailure | None:
        revision = self._revision
        if not revision:
            return self._list()
        began = boot_clock.now()
        found = self._store.watch(ObjectKind.CONFIGURATION, revision, wait_s)
        if isinstance(found, HistoryGone):
            return self._list()
        if not isinstance(found, Changes):
            return found
        took_s = None if wait_s else boot_clock.now() - began
        for change in found.changes:
            if change.object.name == self._name and not change.deleted:
                self._offer(change.object, took_s)
        # An empty answer proves nothing: a watch may miss changes while the store is disturbed.
        if found.changes or found.unreadable:
            self._advance(found.revision)
        return None

    def _list(self) -> StoreFailure | None:
        began = boot_clock.now()
        listing = self._store.list(ObjectKind.CONFIGURATION)
        if not isinstance(listing, Listing):
            return listing
        took_s = boot_clock.now() - began
        for stored in listing.objects:
            if stored.name == self._name:
                size_bytes = len(msgspec.json.encode(stored.spec))
                self._list_again_at = began + size_bytes / MAX_CHECK_BYTES_PER_S
                self._offer(stored, took_s)
                break
        else:
            # An unreadable configuration leaves the earlier one in force.
            if all(one.name != self._name for one in listing.unreadable):
                return CallRejected("there is no configuration")
        self._advance(listing.revision)
        return None

    def _advance(self, revision: int) -> None:
        with self._lock:
            self._revision = max(self._revision, revision)
