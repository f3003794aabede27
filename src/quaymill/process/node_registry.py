"""Entries of nodes in the platform's store, through which nodes find each other without seeds.

The few nodes that rank first write an entry each. A node that knows too few others writes one as
well, reads the entries and joins through any node that answers.
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
    ObjectStore,
    RevisionConflict,
    StoredObject,
)
from quaymill.process.membership.membership import Membership
from quaymill.process.membership.ranking import rank_nodes

REGISTERED_NODES = 5
FIRST_RUN_DELAY_S = 1.5
INTERVAL_S = 2.0


class _Entry(msgspec.Struct):
    peer: Endpoint
    zone: str = ""
    has_disk: bool = False


class NodeRegistry:
    """Writes this node's entry, and finds peers when the seeds do not lead to them.

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
        self._registered = False
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread that looks for missing peers and registers this node."""
        threading.Thread(target=self._run, name="node-registry", daemon=True).start()

    def stop(self) -> None:
        """Stop looking for peers and registering."""
        self._stopping.set()

    def _run(self) -> None:
        self._stopping.wait(FIRST_RUN_DELAY_S)
        while not self._stopping.is_set():
            isolated = self._lacks_peers()
            if isolated:
                self._find_peers()
            if not self._registered and (isolated or self._ranks_first()):
                self._registered = self._register()
            self._stopping.wait(INTERVAL_S)

    def _ranks_first(self) -> bool:
        ranked = rank_nodes("node-registry", self._membership.live())[:REGISTERED_NODES]
        return self._membership.local().name in {member.name for member in ranked}

    def _register(self) -> bool:
        local = self._membership.local()
        spec = msgspec.to_builtins(_Entry(local.peer, local.zone, local.has_disk))
        written = self._store.create(ObjectKind.NODES, local.name, spec)
        if isinstance(written, RevisionConflict) and written.object is not None:
            existing = written.object
            if existing.spec == spec:
                return True
            written = self._store.replace(ObjectKind.NODES, local.name, spec, existing.revision)
        return isinstance(written, StoredObject)

    def _find_peers(self) -> None:
        listing = self._store.list(ObjectKind.NODES)
        if not isinstance(listing, Listing):
            return
        found = []
        for stored in listing.objects:
            try:
                peer = msgspec.convert(stored.spec, _Entry).peer
                found.append(Endpoint.parse_address(str(peer)))
            except (msgspec.ValidationError, ValueError) as error:
                log_message("registry:entry_unread", name=stored.name, reason=str(error))
        log_message("registry:looked", found=len(found))
        self._membership.add_seeds(found)
