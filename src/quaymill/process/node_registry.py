"""The nodes' own entries in the platform's store: how nodes find each other without seeds.

A node writes its entry once at its start and reads the others' while it knows too few nodes.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec
from eliot import log_message

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.object_store import (
    Listing,
    ObjectKind,
    ObjectMissing,
    ObjectStore,
    StoredObject,
)
from quaymill.process.membership.membership import Membership

FIRST_LOOK_S = 1.5
ISOLATED_LOOK_S = 2.0
RETRY_S = 1.0


class _Entry(msgspec.Struct):
    peer: Endpoint
    zone: str = ""
    has_disk: bool = False


class NodeRegistry:
    """Writes this node's entry, and finds peers when the seeds did not help.

    Parameters
    ----------
    lacks_peers
        Whether this node knows too few others to do its work.
    """

    def __init__(
        self, store: ObjectStore, membership: Membership, lacks_peers: Callable[[], bool]
    ) -> None:
        self._store = store
        self._membership = membership
        self._lacks_peers = lacks_peers
        self._stopping = threading.Event()

    def start(self) -> None:
        """Register, then look for peers while some are lacking."""
        threading.Thread(target=self._run, name="node-registry", daemon=True).start()

    def stop(self) -> None:
        """Look no more."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set() and not self._register():
            self._stopping.wait(RETRY_S)
        self._stopping.wait(FIRST_LOOK_S)
        while not self._stopping.is_set():
            if self._lacks_peers():
                self._look()
            self._stopping.wait(ISOLATED_LOOK_S)

    def _register(self) -> bool:
        local = self._membership.local()
        spec = msgspec.to_builtins(_Entry(local.peer, local.zone, local.has_disk))
        held = self._store.get(ObjectKind.NODES, local.name)
        if isinstance(held, StoredObject) and held.spec == spec:
            return True
        if isinstance(held, StoredObject):
            written = self._store.replace(ObjectKind.NODES, local.name, spec, held.revision)
        elif isinstance(held, ObjectMissing):
            written = self._store.create(ObjectKind.NODES, local.name, spec)
        else:
            return False
        return isinstance(written, StoredObject)

    def _look(self) -> None:
        listing = self._store.list(ObjectKind.NODES)
        if not isinstance(listing, Listing):
            return
        found = []
        for stored in listing.objects:
            try:
                found.append(msgspec.convert(stored.spec, _Entry).peer)
            except msgspec.ValidationError as error:
                log_message("registry:entry_unread", name=stored.name, reason=str(error))
        log_message("registry:looked", found=len(found))
        self._membership.add_seeds(found)
