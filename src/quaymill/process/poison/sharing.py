"""Lets every gateway know which requests have crashed replicas.

A crash is told to all live gateways at once. What that misses (a gateway that was cut off, stood
still or has just started) is found by digests: each datagram of the membership tells its sender's,
and two gateways whose digests differ exchange all they know. A gateway that starts asks others
first, and the platform's store if none of them knows more than itself. A request that must not be
run is kept in the store, for the case that all gateways end at once.

States: unsettled (what was known before the start has not been learned), settled.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.crash_messages import CrashRecord, KnownCrashes, ShareCrashes
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.jobs.parallel_calls import call_members
from quaymill.process.membership.membership import Membership
from quaymill.process.membership.ranking import rank_nodes
from quaymill.process.poison.barred_store import BarredStore
from quaymill.request.poison import PoisonRecords

GATHER_S = 0.01
"""Wait for other crashes that are told with the first: one end of a replica cuts many requests
within some milliseconds."""
CALL_TIMEOUT_S = 0.5
"""A gateway that does not answer within it learns by the digests."""
CALLS_AT_ONCE = 16
"""Gateways told at the same time, one thread each: 165 are told in about ten round trips."""
EXCHANGE_INTERVAL_S = 0.5
"""Least time between two exchanges that this gateway begins: digests differ with many others while
news is on its way. Six fit into the 3 s after which gateways are held to what others know."""
ASKED_AT_START = 3
ASK_INTERVAL_S = 0.3
ALONE_AFTER_S = 1.5
"""Time after the start from which on the store is asked if no other gateway could answer: in
a fleet whose gateways know each other, the first answer is there within a second."""
WRITE_AGAIN_S = 1.0
"""Time between two tries to keep a request in the store."""


class CrashSharing:
    """Shares the records of one gateway; ``tell`` is safe to use from any thread.

    Parameters
    ----------
    other_gateways, gateways
        Return the live gateways, without and with this one.
    """

    def __init__(
        self,
        records: PoisonRecords,
        store: BarredStore,
        membership: Membership,
        client: PeerClient,
        server: PeerServer,
        other_gateways: Callable[[], tuple[Member, ...]],
        gateways: Callable[[], tuple[Member, ...]],
    ) -> None:
        self._records = records
        self._store = store
        self._membership = membership
        self._client = client
        self._other_gateways = other_gateways
        self._gateways = gateways
        self._lock = threading.Lock()
        self._untold: dict[str, CrashRecord] = {}
        self._unkept: set[str] = set()
        self._differing: set[str] = set()
        self._exchange_at = 0.0
        self._settled = False
        self._started_at = boot_clock.now()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        server.register(ShareCrashes, self._answer)
        membership.on_crash_digest(self._take_digest)

    def start(self) -> None:
        """Begin to learn and to share."""
        threading.Thread(target=self._run, name="crash-sharing", daemon=True).start()

    def stop(self) -> None:
        """Share nothing more."""
        self._stopping.set()
        self._wake.set()

    def tell(self, record: CrashRecord) -> None:
        """Tell all gateways of a record that a crash seen here has changed."""
        with self._lock:
            self._untold[record.content] = record
            self._keep_if_barred(record.content, seen_here=True)
        self._tell_digest()
        self._wake.set()

    # From others.

    def _answer(self, message: ShareCrashes) -> KnownCrashes:
        self._merge(message.records, "told")
        records = self._records.records(boot_clock.now()) if message.wants_all else ()
        return KnownCrashes(records, self._settled)

    def _tell_digest(self) -> None:
        self._membership.tell_crash_digest(self._records.digest(boot_clock.now()))

    def _merge(self, records: tuple[CrashRecord, ...], source: str) -> None:
        changed = self._records.merge(records, boot_clock.now())
        self._tell_digest()
        if not changed:
            return
        with self._lock:
            for record in changed:
                self._keep_if_barred(record.content, seen_here=False)
        barred = [one.content for one in changed if self._is_barred(one.content)]
        log_message("request:crashes_learned", source=source, records=len(changed), barred=barred)
        self._wake.set()

    def _take_digest(self, name: str, digest: int) -> None:
        """Note that another node's digest differs; called on the membership's own thread."""
        if digest:
            self._differing.add(name)
            self._wake.set()

    # The thread.

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait(self._pause_s())
            self._wake.clear()
            try:
                self._share()
                self._settle()
            except Exception as error:  # A bug must not end what protects the replicas.
                log_message("request:crash_sharing_error", error=repr(error))

    def _pause_s(self) -> float | None:
        """Return after what time there is something to do without news."""
        if not self._settled:
            return ASK_INTERVAL_S
        if self._differing:
            return EXCHANGE_INTERVAL_S
        return WRITE_AGAIN_S if self._unkept else None

    def _settle(self) -> None:
        """Learn what was known before this gateway started, unless it has."""
        if self._settled:
            return
        alone = boot_clock.now() - self._started_at > ALONE_AFTER_S
        self._settled = self._ask_others() or (alone and self._read_store())

    def _ask_others(self) -> bool:
        """Ask some gateways for all they know; return whether one of them is settled."""
        others = self._other_gateways()
        asked = random.sample(others, min(ASKED_AT_START, len(others)))
        return any([self._exchange(member) for member in asked])

    def _read_store(self) -> bool:
        records = self._store.read()
        if not isinstance(records, tuple):
            return False
        self._merge(records, "store")
        return True

    def _share(self) -> None:
        self._stopping.wait(GATHER_S)
        self._tell_all()
        self._keep_in_store()
        self._exchange_with_one()

    def _tell_all(self) -> None:
        with self._lock:
            records, self._untold = tuple(self._untold.values()), {}
        members = self._other_gateways()
        if not records or not members:
            return
        message = ShareCrashes(records)
        outcome = call_members(
            self._client,
            members,
            message,
            KnownCrashes,
            len(members),
            CALL_TIMEOUT_S,
            min(CALLS_AT_ONCE, len(members)),
        )
        log_message(
            "request:crashes_told",
            records=len(records),
            gateways=len(members),
            answered=len(outcome.replies),
        )

    def _exchange_with_one(self) -> None:
        """Exchange all records with one gateway whose digest differs.

        Those that still differ afterwards say so again with their next datagrams.
        """
        now = boot_clock.now()
        if not self._differing or now < self._exchange_at:
            return
        self._exchange_at = now + EXCHANGE_INTERVAL_S
        differing, self._differing = self._differing, set()
        members = [member for member in self._other_gateways() if member.name in differing]
        if members:
            self._exchange(random.choice(members))

    def _exchange(self, member: Member) -> bool:
        """Exchange all records with a gateway; return whether it is settled."""
        records = self._records.records(boot_clock.now())
        message = ShareCrashes(records, wants_all=True)
        reply = self._client.call(member.peer, message, KnownCrashes, CALL_TIMEOUT_S)
        if not isinstance(reply, KnownCrashes):
            return False
        self._merge(reply.records, member.name)
        return reply.settled

    def _keep_if_barred(self, content: str, *, seen_here: bool) -> None:
        """Enter a content to be kept in the store; the lock is held.

        Where crashes that several gateways saw add up, the one that ranks first keeps it.
        """
        if not self._is_barred(content):
            return
        first = rank_nodes(content, self._gateways())[:1]
        ranks_first = bool(first) and first[0].name == self._membership.local().name
        if seen_here or ranks_first:
            self._unkept.add(content)

    def _keep_in_store(self) -> None:
        with self._lock:
            unkept = set(self._unkept)
        if not unkept:
            return
        records = {one.content: one for one in self._records.records(boot_clock.now())}
        for content in unkept:
            if content not in records or self._store.write(records[content]):
                with self._lock:
                    self._unkept.discard(content)

    def _is_barred(self, content: str) -> bool:
        return self._records.barred_for_s(content, boot_clock.now()) > 0
