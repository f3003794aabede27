"""Shares the software versions of streams between gateways.

A caller whose stream was cut may return to any gateway, also after the first one has died or cannot
be reached. The gateway that sends the first event of a stream therefore sends a record of it to a
few others, in different zones, which every gateway finds by hashing the request's id, and to
storage nodes, since all gateways may restart at once. A gateway to which a caller returns asks
these nodes.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.stream_messages import (
    FindStream,
    ShareStreams,
    StreamFound,
    StreamRecord,
    StreamsShared,
)
from quaymill.process.membership.ranking import rank_across_zones
from quaymill.process.streams.archive import register_records
from quaymill.process.streams.records import StreamRecords
from quaymill.request.stream_version import StreamVersion

COPIES = 3
"""Gateways that get a record, beside the one that sent the first event."""
GATEWAYS_ASKED = 6
"""More than hold a copy, since gateways that have left or joined change the ranking."""
STORAGE_COPIES = 2
"""Storage nodes that get a record."""
STORAGE_NODES_ASKED = 4
GATHER_S = 0.005
"""Time in which records are gathered into one message; shorter than a caller takes to return."""
SHARE_TIMEOUT_S = 0.5
FIND_TIMEOUT_S = 0.25
"""A caller whose stream cannot go on waits at most this long until it is told so."""
MAX_SENDING_THREADS = 32


class StreamVersionSharing:
    """The records of one gateway and of those that share theirs with it; thread-safe.

    Parameters
    ----------
    gateways
        Returns the live gateways, with this one.
    storage_nodes
        Returns the live storage nodes.
    """

    def __init__(
        self,
        name: str,
        records: StreamRecords,
        client: PeerClient,
        server: PeerServer,
        gateways: Callable[[], tuple[Member, ...]],
        storage_nodes: Callable[[], tuple[Member, ...]] = lambda: (),
    ) -> None:
        self._name = name
        self._records = records
        self._client = client
        self._gateways = gateways
        self._storage_nodes = storage_nodes
        self._lock = threading.Lock()
        self._unshared: list[StreamRecord] = []
        self._sending = threading.BoundedSemaphore(MAX_SENDING_THREADS)
        self._wake = threading.Event()
        self._stopping = threading.Event()
        register_records(records, server)

    def start(self) -> None:
        """Start the thread that sends new records."""
        threading.Thread(target=self._run, name="stream-versions", daemon=True).start()

    def stop(self) -> None:
        """Send no more records."""
        self._stopping.set()
        self._wake.set()

    def record_begun(self, request_id: str, version: StreamVersion) -> None:
        """Record a stream whose first event is being sent, and have the record shared."""
        self._records.add(request_id, version)
        with self._lock:
            self._unshared.append(StreamRecord(request_id, version.service, version.name))
        self._wake.set()

    def find(self, request_id: str) -> StreamVersion | None:
        """Return the version that began a stream; ``None`` if no gateway that answers knows it."""
        found = self._records.find(request_id)
        if found is None:
            found = self._find_elsewhere(request_id)
            if found is not None:
                self._records.add(request_id, found)
        return found

    # Records of others.

    def _find_elsewhere(self, request_id: str) -> StreamVersion | None:
        began = boot_clock.now()
        members = self._keepers(request_id, GATEWAYS_ASKED, STORAGE_NODES_ASKED)
        replies: queue.SimpleQueue[object] = queue.SimpleQueue()

        def ask(member: Member) -> None:
            message = FindStream(request_id)
            replies.put(self._client.call(member.peer, message, StreamFound, FIND_TIMEOUT_S))

        for member in members:
            threading.Thread(target=ask, args=(member,), name="find-stream", daemon=True).start()
        answered = 0
        record = None
        for _ in members:
            try:
                left_s = began + FIND_TIMEOUT_S - boot_clock.now()
                reply = replies.get(timeout=max(0.0, left_s))
            except queue.Empty:
                break
            if isinstance(reply, StreamFound):
                answered += 1
                record = reply.record
            if record is not None:
                break
        log_message(
            "request:stream_looked_up",
            began_as=request_id,
            asked=len(members),
            answered=answered,
            found=record is not None,
            took_s=round(boot_clock.now() - began, 3),
        )
        return None if record is None else StreamVersion(record.service, record.version)

    def _keepers(self, request_id: str, gateways: int, storage_nodes: int) -> list[Member]:
        """Return the first nodes of each kind for a stream, each in another zone at first."""
        ranked = rank_across_zones(request_id, self._gateways())
        others = [member for member in ranked if member.name != self._name]
        ranked_nodes = rank_across_zones(request_id, self._storage_nodes())
        return [*others[:gateways], *ranked_nodes[:storage_nodes]]

    # Background thread.

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait()
            self._stopping.wait(GATHER_S)
            self._wake.clear()
            try:
                self._share()
            except Exception as error:  # An unexpected error must not end the thread.
                log_message("request:stream_sharing_error", error=repr(error))

    def _share(self) -> None:
        with self._lock:
            records, self._unshared = self._unshared, []
        records_by_member: dict[str, tuple[Member, list[StreamRecord]]] = {}
        for record in records:
            for member in self._keepers(record.request_id, COPIES, STORAGE_COPIES):
                records_by_member.setdefault(member.name, (member, []))[1].append(record)
        for member, shared in records_by_member.values():
            self._send(member, ShareStreams(tuple(shared)))

    def _send(self, member: Member, message: ShareStreams) -> None:
        """Send records from a thread of its own, as a member that is gone delays only itself."""
        if not self._sending.acquire(blocking=False):
            return  # The other copies and the record of this gateway remain.

        def send() -> None:
            try:
                self._client.call(member.peer, message, StreamsShared, SHARE_TIMEOUT_S)
            finally:
                self._sending.release()

        threading.Thread(target=send, name="share-streams", daemon=True).start()
