"""The leader's side of replication: one thread for each peer, straight down.

A thread sends what its peer lacks, one message at a time, and a heartbeat when there is
nothing to send. It ends when its term does.
"""

from __future__ import annotations

import threading

from quaymill import boot_clock
from quaymill.connection.log_messages import (
    Appended,
    AppendEntries,
    LogEntry,
    ReplicaAddress,
)
from quaymill.connection.peer_link import PeerClient
from quaymill.process.job_store.replica import Replica, Role
from quaymill.process.job_store.snapshots import SnapshotSender

MAX_MESSAGE_BYTES = 1024 * 1024
ENTRIES_TIMEOUT_S = 5.0


class PeerReplicator:
    """Brings one peer's log up to the leader's during one term."""

    def __init__(self, replica: Replica, peer: ReplicaAddress, client: PeerClient) -> None:
        self.peer = peer
        self.term = replica.term
        self._replica = replica
        self._client = client
        self._next_index = replica.last_index + 1
        self._previous_term: int | None = None
        self._last_sent_s = 0.0
        self._failed = False
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name=f"group-{replica.group}-to-{peer.node}", daemon=True
        )

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread after its present message."""
        with self._replica.lock:
            self._stopping = True
            self._replica.to_send.notify_all()

    def join(self, timeout_s: float) -> None:
        """Wait for the thread's end."""
        self._thread.join(timeout_s)

    def is_over(self) -> bool:
        """Return whether the term in which this thread sends is over; ``lock`` is held."""
        replica = self._replica
        return self._stopping or replica.role is not Role.LEADER or replica.term != self.term

    def _run(self) -> None:
        while self._wait_for_work():
            message = self._next_message()
            if message is None:
                self._send_snapshot()
            else:
                self._send(message)

    def _wait_for_work(self) -> bool:
        """Wait until there is something to send; return ``False`` when the term is over."""
        replica = self._replica
        with replica.lock:
            while not self.is_over():
                due_in_s = self._last_sent_s + replica.settings.heartbeat_s - boot_clock.now()
                if due_in_s <= 0 or (not self._failed and self._has_news()):
                    return True
                replica.to_send.wait(due_in_s)
        return False

    def _has_news(self) -> bool:
        replica = self._replica
        contact_s = replica.peer_contact_s.get(self.peer.identity, 0.0)
        return replica.last_index >= self._next_index or replica.read_wanted_s > contact_s

    def _next_message(self) -> AppendEntries | None:
        """Return the next message; ``None`` if the peer needs entries that are compacted."""
        replica = self._replica
        previous_index = self._next_index - 1
        if self._previous_term is None:
            with replica.storage.lock:
                self._previous_term = replica.storage.term_at(previous_index)
            if self._previous_term is None:
                return None
        entries: tuple[LogEntry, ...] | None = ()
        if replica.last_index >= self._next_index:
            entries = replica.storage.read_entries(self._next_index, MAX_MESSAGE_BYTES)
            if entries is None:
                return None
        with replica.lock:
            return AppendEntries(
                group=replica.group,
                recipient=self.peer.identity,
                leader=replica.identity,
                term=self.term,
                previous_index=previous_index,
                previous_term=self._previous_term,
                commit_index=replica.commit_index,
                entries=entries,
            )

    def _send(self, message: AppendEntries) -> None:
        replica = self._replica
        timeout_s = ENTRIES_TIMEOUT_S if message.entries else replica.settings.election_timeout_s
        sent_s = boot_clock.now()
        self._last_sent_s = sent_s
        endpoint = replica.address(self.peer)
        reply = self._client.call(endpoint, message, Appended, timeout_s)
        if not isinstance(reply, Appended) or reply.replica != self.peer.identity:
            self._failed = True  # The next try waits for the next heartbeat.
            return
        if reply.term > self.term:
            replica.observe_term(reply.term)
            return
        self._failed = False
        self._take_reply(message, reply, sent_s)

    def _take_reply(self, message: AppendEntries, reply: Appended, sent_s: float) -> None:
        replica = self._replica
        if reply.matched:
            if message.entries:
                self._previous_term = message.entries[-1].term
            self._next_index = message.previous_index + len(message.entries) + 1
        else:
            self._next_index = min(reply.last_index, message.previous_index - 1) + 1
            self._previous_term = None
        with replica.lock:
            if self.is_over():
                return
            replica.peer_contact_s[self.peer.identity] = sent_s
            if reply.matched:
                replica.match_index[self.peer.identity] = self._next_index - 1
                replica.advance_commit_index()
            replica.lock.notify_all()

    def _send_snapshot(self) -> None:
        """Send the whole state; a peer that dies meanwhile gets it anew when it is back."""
        sender = SnapshotSender(self._replica, self.peer, self.term, self._client)
        last_index = sender.send(lambda: self._stopping)
        self._last_sent_s = boot_clock.now()
        self._failed = last_index is None
        if last_index is None:
            return
        self._next_index = last_index + 1
        self._previous_term = None
