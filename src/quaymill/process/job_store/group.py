"""One group on this node: a replica with all that makes it work, and its messages."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_messages import (
    LeasedItems,
    LeaseItems,
    NotLeader,
    RenewedLeases,
    RenewLeases,
    StoreUnavailable,
)
from quaymill.connection.log_messages import HandOverTaken, ReplicaAddress, TimeoutNow
from quaymill.connection.peer_link import PeerClient, PeerMessage, PeerRefusal
from quaymill.process.job_store.commands import (
    Command,
    ExpireLeases,
    LoggedCommand,
    Noop,
    PurgeExpired,
)
from quaymill.process.job_store.election import Elector
from quaymill.process.job_store.formation import GroupEntry, MembershipView, Platform
from quaymill.process.job_store.group_commit import GroupCommit
from quaymill.process.job_store.lease_clock import LeaseClock
from quaymill.process.job_store.log_storage import LogStorage
from quaymill.process.job_store.membership_change import MembershipChanger
from quaymill.process.job_store.reads import confirm_leadership
from quaymill.process.job_store.replica import Replica, Role
from quaymill.process.job_store.replication import PeerReplicator
from quaymill.process.job_store.retention import anything_to_purge
from quaymill.process.job_store.snapshots import SnapshotReceiver
from quaymill.process.job_store.state_machine import Result
from quaymill.process.settings import NodeSettings
from quaymill.version.configuration import Tuning

ANSWER_TIMEOUT_S = 10.0
HAND_OVER_TIMEOUT_S = 3.0
REFRAIN_S = 5.0
RETENTION_INTERVAL_S = 5.0
PURGE_ROWS = 2000
COMPACTED_AT_ONCE = 200
THREAD_STOP_TIMEOUT_S = 1.0


class Group:
    """A replica, its threads, and the answers to messages for its group."""

    def __init__(
        self,
        number: int,
        settings: NodeSettings,
        client: PeerClient,
        platform: Platform,
        membership: MembershipView,
        tuning: Callable[[], Tuning],
    ) -> None:
        self._client = client
        self._membership = membership
        self._tuning = tuning
        self._storage = LogStorage(Path(settings.data_folder) / f"group-{number}.sqlite3")
        self.replica = Replica(number, self._storage, settings.log, self._address)
        self._leases = LeaseClock()
        self._commits = GroupCommit(self.replica, lambda: tuning().item_max_attempts, self._follow)
        self._elector = Elector(self.replica, client, self._tick)
        self._replicators: dict[str, PeerReplicator] = {}
        self._led_term = 0
        self._next_retention_s = 0.0
        self.changer = MembershipChanger(self.replica, self._commits.propose)
        self.snapshots = SnapshotReceiver(self.replica)
        local = ReplicaAddress(
            self.replica.identity, settings.name, settings.zone, settings.peer_endpoint
        )
        self.entry = GroupEntry(self.replica, local, client, platform, membership)

    def start(self) -> None:
        """Begin to take part in the group."""
        self._commits.start()
        self._elector.start()
        self.entry.start()

    def stop(self) -> None:
        """Stop as in a crash: nothing is handed over."""
        self.entry.stop()
        self._elector.stop()
        for replicator in self._replicators.values():
            replicator.stop()
        self._commits.stop()
        with self.replica.storage.lock, self.replica.lock:
            self.replica.role = Role.STOPPED
            self.replica.wake_all()
        for replicator in self._replicators.values():
            replicator.join(THREAD_STOP_TIMEOUT_S)
        self._storage.close()

    # Messages

    def write(self, message: Command) -> PeerMessage:
        """Put a command into the log and return its answer once it is committed."""
        proposed = self._commits.propose(message)
        try:
            answer = proposed.result(ANSWER_TIMEOUT_S)
        except TimeoutError:
            return StoreUnavailable("no majority has stored the change yet")
        if isinstance(answer, NotLeader) and answer.leader is None:
            return NotLeader(self.entry.leader_hint())
        return answer

    def read(self, message: PeerMessage) -> PeerMessage:
        """Answer from the state, confirmed by a majority."""
        refusal = self._confirm()
        if refusal:
            return refusal
        with self._storage.lock:
            return self.replica.state.read(message)

    def lease(self, message: LeaseItems) -> PeerMessage:
        """Lease items; that there is no work is answered without an entry in the log."""
        if self.replica.role is Role.LEADER and self._has_nothing_for(message):
            refusal = self._confirm()
            if refusal:
                return refusal
            # Only now the state surely holds all jobs; a new leader may not have had them.
            if self._has_nothing_for(message):
                return LeasedItems(items=())
        return self.write(message)

    def renew(self, message: RenewLeases) -> PeerMessage:
        """Restart terms on the leader's clock; no entry, as a new leader does so anyway."""
        refusal = self._confirm()
        if refusal:
            return refusal
        with self._storage.lock:
            stop = self.replica.state.items.no_longer_leased(message.items)
        lost = set(stop)
        self._leases.start((ref for ref in message.items if ref not in lost), message.lease_s)
        return RenewedLeases(stop=stop)

    def stand_for_election(self, message: TimeoutNow) -> HandOverTaken | PeerRefusal:
        """Take over from the leader, which asked for it."""
        refusal = self.replica.refusal_for(message.recipient)
        if refusal:
            return refusal
        if message.term != self.replica.term:
            return PeerRefusal(reason="the hand-over is of another term")
        self._elector.stand_now()
        return HandOverTaken()

    def hand_over_leadership(self) -> bool:
        """Give the leadership to the peer that has most of the log; return whether it went."""
        replica = self.replica
        with replica.lock:
            if replica.role is not Role.LEADER:
                return True
            self._commits.accepting = False
        try:
            return self._hand_over_to_best_peer()
        finally:
            self._commits.accepting = True

    # Inside

    def _hand_over_to_best_peer(self) -> bool:
        """Ask the best peer to stand, again if it does not win, until the time is over."""
        replica = self.replica
        deadline_s = boot_clock.now() + HAND_OVER_TIMEOUT_S
        while boot_clock.now() < deadline_s:
            heir = self._wait_for_heir(deadline_s)
            if heir is not None:
                message = TimeoutNow(replica.group, heir.identity, replica.term)
                timeout_s = replica.settings.election_timeout_s
                self._client.call(replica.address(heir), message, HandOverTaken, timeout_s)
            with replica.lock:
                gone = replica.lock.wait_for(
                    lambda: replica.role is not Role.LEADER, replica.settings.election_timeout_s
                )
            if gone:
                self._elector.refrain(REFRAIN_S)
                return True
        return False

    def _wait_for_heir(self, deadline_s: float) -> ReplicaAddress | None:
        """Wait for a voter that has the whole log; return it."""
        replica = self.replica

        def best() -> ReplicaAddress | None:
            for voter in replica.membership.voters:
                matched = replica.match_index.get(voter.identity, 0)
                if voter.identity != replica.identity and matched >= replica.last_index:
                    return voter
            return None

        with replica.lock:
            replica.lock.wait_for(
                lambda: replica.role is not Role.LEADER or best(), deadline_s - boot_clock.now()
            )
            return best() if replica.role is Role.LEADER else None

    def _confirm(self) -> PeerMessage | None:
        refusal = confirm_leadership(self.replica)
        if isinstance(refusal, NotLeader) and refusal.leader is None:
            return NotLeader(self.entry.leader_hint())
        return refusal

    def _has_nothing_for(self, message: LeaseItems) -> bool:
        """Return whether there is no work, and none was given to this same request before."""
        with self._storage.lock:
            state = self.replica.state
            return not state.jobs.has_work(message.service) and not state.items.knows(message)

    def _follow(self, logged: LoggedCommand, result: Result) -> None:
        if isinstance(logged.command, Noop):
            self._leases.restart(self.replica.state.items)
        self._leases.follow(logged, result)

    def _tick(self) -> None:
        """Do the leader's regular work, in the election's thread."""
        replica = self.replica
        with replica.lock:
            leads = replica.role is Role.LEADER
            new_term = leads and replica.term != self._led_term
            if new_term:
                self._led_term = replica.term
        self._compact()
        self._adjust_replicators(leads)
        if new_term:
            self._commits.propose(Noop())
        if not leads:
            self._leases.clear()
            return
        expired = self._leases.take_expired()
        if expired:
            self._commits.propose(ExpireLeases(expired))
        self.changer.review()
        self._purge()

    def _adjust_replicators(self, leads: bool) -> None:
        """Run one replicator for each peer of the present term, and no other."""
        replica = self.replica
        with replica.lock:
            wanted: dict[str, ReplicaAddress] = {}
            if leads and replica.role is Role.LEADER:
                wanted = {
                    peer.identity: peer
                    for peer in replica.membership.replicas()
                    if peer.identity != replica.identity
                }
            for identity, replicator in list(self._replicators.items()):
                if identity not in wanted or replicator.term != replica.term:
                    replicator.stop()
                    del self._replicators[identity]
            for identity, peer in wanted.items():
                if identity not in self._replicators:
                    self._replicators[identity] = PeerReplicator(replica, peer, self._client)
                    self._replicators[identity].start()

    def _compact(self) -> None:
        """Forget old entries, a few at a time so that commits go on in between."""
        storage = self._storage
        if storage.log_bytes <= self.replica.settings.kept_bytes:
            return
        with storage.lock:
            with self.replica.lock:
                needed = min(self.replica.kept_for_snapshots.values(), default=storage.last_index)
            storage.compact(needed, COMPACTED_AT_ONCE)
            storage.commit()

    def _purge(self) -> None:
        now = boot_clock.now()
        if now < self._next_retention_s:
            return
        self._next_retention_s = now + RETENTION_INTERVAL_S
        before_unix_s = time.time() - self._tuning().result_retention_s
        with self._storage.lock:
            stale = anything_to_purge(self._storage.connection, before_unix_s)
        if stale:
            self._commits.propose(PurgeExpired(before_unix_s, PURGE_ROWS))

    def _address(self, replica: ReplicaAddress) -> Endpoint:
        """Return where a replica's node is now; it may have restarted with another address."""
        for member in self._membership.live():
            if member.name == replica.node:
                return member.peer
        return replica.peer
