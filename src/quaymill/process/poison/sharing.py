"""Shares the records of requests that have crashed replicas among all gateways.

A crash is reported to all live gateways at once. Gateways that miss the report (because they were
partitioned, frozen or not yet started) are found by digests: each membership datagram carries the
digest of its sender's records, and two gateways with different digests exchange all their records.
A gateway that starts catches up first: it requests the records of other gateways, or reads the
platform's store if no gateway that has caught up responds. Barred requests are written to the
store, in case all gateways stop at once.
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

REPORT_DELAY_S = 0.01
"""Delay before crashes are reported, so that all requests interrupted by one crash go into a single
message."""
CALL_TIMEOUT_S = 0.5
"""A gateway that does not answer in time is brought up to date by the digests."""
CALLS_AT_ONCE = 16
"""Gateways to which a crash is reported concurrently, with one thread each."""
EXCHANGE_INTERVAL_S = 0.5
"""Minimum time between two exchanges that this gateway starts, as the digests of many gateways
differ while a report is being distributed. Six fit into the 3 s after which gateways must know what
others know."""
GATEWAYS_ASKED = 3
"""Gateways whose records are requested in each attempt to catch up."""
CATCH_UP_INTERVAL_S = 0.3
"""Time between two attempts to catch up."""
READ_STORE_AFTER_S = 1.5
"""Time after the start until the store is read, if no other gateway could provide the records.
Where gateways know each other, the first answer arrives within a second."""
WRITE_RETRY_S = 1.0
"""Time between two attempts to write a barred request to the store."""


class CrashSharing:
    """Shares the crash records of one gateway; ``report`` is safe to use from any thread.

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
        self._unreported: dict[str, CrashRecord] = {}
        self._unstored: set[str] = set()
        self._stored: set[str] = set()
        self._differing: set[str] = set()
        self._next_exchange_at = 0.0
        self._caught_up = False
        self._started_at = boot_clock.now()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        server.register(ShareCrashes, self._handle_share)
        membership.on_crash_digest(self._handle_digest)

    def start(self) -> None:
        """Start the thread that catches up and shares records."""
        threading.Thread(target=self._run, name="crash-sharing", daemon=True).start()

    def stop(self) -> None:
        """Stop sharing records."""
        self._stopping.set()
        self._wake.set()

    def report(self, record: CrashRecord) -> None:
        """Report a record that this gateway has changed to all gateways."""
        with self._lock:
            self._unreported[record.key] = record
            self._mark_if_barred(record.key, detected_here=True)
        self._publish_digest()
        self._wake.set()

    # Messages from other gateways.

    def _handle_share(self, message: ShareCrashes) -> KnownCrashes:
        self._merge(message.records, "told")
        records = self._records.records(boot_clock.now()) if message.wants_all else ()
        return KnownCrashes(records, self._caught_up)

    def _publish_digest(self) -> None:
        self._membership.publish_crash_digest(self._records.digest(boot_clock.now()))

    def _merge(self, records: tuple[CrashRecord, ...], source: str) -> None:
        changed = self._records.merge(records, boot_clock.now())
        self._publish_digest()
        if not changed:
            return
        with self._lock:
            for record in changed:
                self._mark_if_barred(record.key, detected_here=False)
        barred = [one.key for one in changed if self._is_barred(one.key)]
        log_message("request:crashes_learned", source=source, records=len(changed), barred=barred)
        self._wake.set()

    def _handle_digest(self, name: str, digest: int) -> None:
        """Remember a node whose digest differs; called on the membership's thread."""
        if digest:
            self._differing.add(name)
            self._wake.set()

    # Background thread.

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait(self._wait_s())
            self._wake.clear()
            try:
                self._share_records()
                self._catch_up()
            except Exception as error:  # An unexpected error must not end the thread.
                log_message("request:crash_sharing_error", error=repr(error))

    def _wait_s(self) -> float | None:
        """Return the maximum time to wait for a wake-up; ``None`` if no work is pending."""
        if not self._caught_up:
            return CATCH_UP_INTERVAL_S
        if self._differing:
            return EXCHANGE_INTERVAL_S
        return WRITE_RETRY_S if self._unstored else None

    def _catch_up(self) -> None:
        """Fetch the records from before the start of this gateway, unless that is done."""
        if self._caught_up:
            return
        may_read_store = boot_clock.now() - self._started_at > READ_STORE_AFTER_S
        self._caught_up = self._exchange_with_some() or (may_read_store and self._read_store())

    def _exchange_with_some(self) -> bool:
        """Exchange records with some gateways; return whether one of them has caught up."""
        others = self._other_gateways()
        chosen = random.sample(others, min(GATEWAYS_ASKED, len(others)))
        return any([self._exchange(member) for member in chosen])

    def _read_store(self) -> bool:
        records = self._store.read()
        if not isinstance(records, tuple):
            return False
        self._merge(records, "store")
        return True

    def _share_records(self) -> None:
        self._stopping.wait(REPORT_DELAY_S)
        self._report_to_all()
        self._write_to_store()
        self._exchange_with_one()

    def _report_to_all(self) -> None:
        with self._lock:
            records, self._unreported = tuple(self._unreported.values()), {}
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

        Gateways that still differ afterwards are reported again by their next datagrams.
        """
        now = boot_clock.now()
        if not self._differing or now < self._next_exchange_at:
            return
        self._next_exchange_at = now + EXCHANGE_INTERVAL_S
        differing, self._differing = self._differing, set()
        members = [member for member in self._other_gateways() if member.name in differing]
        if members:
            self._exchange(random.choice(members))

    def _exchange(self, member: Member) -> bool:
        """Exchange all records with a gateway; return whether it has caught up."""
        records = self._records.records(boot_clock.now())
        message = ShareCrashes(records, wants_all=True)
        reply = self._client.call(member.peer, message, KnownCrashes, CALL_TIMEOUT_S)
        if not isinstance(reply, KnownCrashes):
            return False
        self._merge(reply.records, member.name)
        return reply.settled

    def _mark_if_barred(self, key: str, *, detected_here: bool) -> None:
        """Mark a content or part to be written to the store if it is barred; the lock is held.

        If the crashes were detected by another gateway, this one writes it only if it ranks first
        for it.
        """
        if not self._is_barred(key):
            return
        first = rank_nodes(key, self._gateways())[:1]
        ranks_first = bool(first) and first[0].name == self._membership.local().name
        if detected_here or ranks_first:
            self._unstored.add(key)

    def _write_to_store(self) -> None:
        """Write newly barred contents and parts; delete those that no longer count as barred."""
        with self._lock:
            unstored = set(self._unstored)
        for key in [key for key in self._stored if not self._is_barred(key)]:
            if self._store.withdraw(key):
                self._stored.discard(key)
        if not unstored:
            return
        records = {one.key: one for one in self._records.records(boot_clock.now())}
        for key in unstored:
            if key in records and self._is_barred(key):
                if not self._store.write(records[key]):
                    continue
                self._stored.add(key)
            with self._lock:
                self._unstored.discard(key)

    def _is_barred(self, key: str) -> bool:
        return self._records.barred_for_s(key, boot_clock.now()) > 0
