"""Gateways that list results in one store in memory, without a network.

Each gateway has its own circuit breaker, store sharing and publisher. The test finishes the items.
"""

from __future__ import annotations

import itertools
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_document import Job, JobDocument, JobItem, ResultState
from quaymill.connection.member import Member
from quaymill.connection.object_store import (
    ObjectKind,
    ObjectMissing,
    RevisionConflict,
    StoredObject,
    StoreRefused,
)
from quaymill.connection.peer_link import PeerUnreachable
from quaymill.process.control.store_circuit import CircuitStore, RecoveryRules, StoreCircuit
from quaymill.process.control.store_sharing import SharingStore
from quaymill.process.jobs.coordinated_job import CoordinatedJob
from quaymill.process.jobs.listing import JobListings
from quaymill.process.jobs.quota_ledger import Ledger, LedgerUnknown, QuotaLedgers
from quaymill.process.jobs.result_publisher import PublisherParts, ResultPublisher

CALL_DURATION_S = 0.004
REFUSED = StoreRefused("the store answered 503")


class MemoryStore:
    """Objects with one revision counter.

    Attributes
    ----------
    refused
        Names of the gateways whose calls are refused.
    calls, served_at
        Number of calls by gateway; monotonic time when the store last served a call.
    """

    def __init__(self) -> None:
        self.refused: frozenset[str] = frozenset()
        self.calls: Counter[str] = Counter()
        self.served_at = boot_clock.now()
        self._lock = threading.Lock()
        self._revisions = itertools.count(1)
        self._objects: dict[str, StoredObject] = {}

    def call(self, gateway: str, do: Callable[[], Any]) -> Any:
        """Perform one call of a gateway."""
        time.sleep(CALL_DURATION_S)
        with self._lock:
            self.calls[gateway] += 1
            if gateway in self.refused:
                return REFUSED
            self.served_at = boot_clock.now()
            return do()

    def find(self, name: str) -> StoredObject | ObjectMissing:
        """Return an object by its name."""
        return self._objects.get(name, ObjectMissing())

    def write(self, name: str, spec: Any, revision: int) -> StoredObject | RevisionConflict:
        """Replace an object at a revision; revision 0 creates it."""
        stored = self._objects.get(name)
        if (stored.revision if stored else 0) != revision:
            return RevisionConflict(stored)
        self._objects[name] = StoredObject(name, next(self._revisions), spec)
        return self._objects[name]


class _GatewayStore:
    """The store's interface for one gateway."""

    def __init__(self, store: MemoryStore, gateway: str) -> None:
        self._store = store
        self._gateway = gateway

    def get(self, kind: ObjectKind, name: str, *, allow_stale: bool = False) -> Any:
        return self._store.call(self._gateway, lambda: self._store.find(name))

    def create(self, kind: ObjectKind, name: str, spec: Any) -> Any:
        return self.replace(kind, name, spec, 0)

    def replace(self, kind: ObjectKind, name: str, spec: Any, revision: int) -> Any:
        return self._store.call(self._gateway, lambda: self._store.write(name, spec, revision))


class _StorageNodes:
    """Storage nodes that store all results."""

    def store_results(self, job_id: str, results: Any) -> bool:
        return True


class ListingGateway:
    """One gateway with its publisher."""

    def __init__(self, name: str, fleet: ListingFleet) -> None:
        self.name = name
        self.member = Member(name, "zone", "region", Endpoint(name, 1), Endpoint(name, 1))
        self.handlers: dict[type, Callable[[Any], Any]] = {}
        rules = RecoveryRules(
            lambda: boot_clock.now() - fleet.store.served_at,
            lambda: len(fleet.gateways),
            fleet.writes_per_s,
            fleet.settle_s,
        )
        own = _GatewayStore(fleet.store, name)
        self.circuit = CircuitStore(own, StoreCircuit(fleet.max_probe_delay_s), rules)
        shared = SharingStore(self.circuit, fleet, self, lambda: fleet.others(name))
        parts = PublisherParts(
            name,
            _StorageNodes(),
            JobListings(shared),
            lambda other, job_id, total: True,
            self.circuit.wait_for_retry,
        )
        self.publisher = ResultPublisher(parts, lambda: None, lambda job_id: None)

    def register(self, message_type: type, handler: Callable[[Any], Any]) -> None:
        """Register a handler as ``PeerServer`` does."""
        self.handlers[message_type] = handler


class ListingFleet:
    """Gateways that share one store; peers call each other in process."""

    def __init__(
        self,
        gateways: int,
        writes_per_s: float = 400.0,
        settle_s: float = 1.0,
        max_probe_delay_s: float = 1.5,
    ) -> None:
        self.store = MemoryStore()
        self.writes_per_s = writes_per_s
        self.settle_s = settle_s
        self.max_probe_delay_s = max_probe_delay_s
        self.gateways: dict[str, ListingGateway] = {}
        for number in range(gateways):
            self.gateways[f"g{number}"] = ListingGateway(f"g{number}", self)

    def others(self, name: str) -> tuple[Member, ...]:
        """Return all gateways except one."""
        return tuple(one.member for one in self.gateways.values() if one.name != name)

    def call(self, endpoint: Endpoint, message: Any, reply_type: type, timeout_s: float) -> Any:
        """Call a peer as ``PeerClient`` does."""
        peer = self.gateways.get(endpoint.host)
        if peer is None:
            return PeerUnreachable(endpoint, "no such gateway")
        return peer.handlers[type(message)](message)

    def open_job(self, gateway: str, name: str, items: int) -> CoordinatedJob:
        """Open a job at a gateway; none of its items is finished."""
        document = JobDocument(
            tuple(JobItem(f"{name}-{index}", "/x", {}, b"") for index in range(items))
        )
        job = CoordinatedJob(Job(name, "host", "/x", document), None, gateway)
        self.gateways[gateway].publisher.follow(job, adopted=False)
        return job

    def listed(self, name: str) -> list[int]:
        """Return the indexes of a job's listed items, in the order of the listing."""
        found = self.store.find(name)
        return [] if isinstance(found, ObjectMissing) else [one[0] for one in found.spec["results"]]


def finish(job: CoordinatedJob, index: int) -> None:
    """Finish an item of a job."""
    job.finish(job.items[index], ResultState.SUCCEEDED, f"text {index}")


class LedgerRig:
    """Gateways that change one ledger in the store in memory."""

    def __init__(self) -> None:
        self.store = MemoryStore()

    def enter(self, gateway: str, tokens: int, first_pause_s: float) -> Ledger | LedgerUnknown:
        """Enter a job of a gateway that has not read the ledger yet."""
        ledgers = QuotaLedgers(_GatewayStore(self.store, gateway))
        return ledgers.change(
            "route",
            Ledger(),
            lambda document: document.with_job(f"job-{gateway}", tokens),
            first_pause_s,
        )
