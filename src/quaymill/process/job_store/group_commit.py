"""The leader's writer: many proposals, one write of the log, one fsync.

One thread for each replica. While it waits for an fsync, the next proposals gather, and the
peers receive the entries at the same time; an entry is committed once a majority has it on
disk. Effects of committed entries go into the same transaction as the next entries.
"""

from __future__ import annotations

import sqlite3
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future

import msgspec
from eliot import log_message

from quaymill.connection.job_messages import NotLeader, StoreUnavailable
from quaymill.connection.log_messages import LogEntry
from quaymill.connection.peer_link import PeerMessage
from quaymill.process.job_store.commands import ChangeMembership, Command, LoggedCommand
from quaymill.process.job_store.replica import Replica, Role
from quaymill.process.job_store.state_machine import Grants, Result

MAX_BATCH_BYTES = 4 * 1024 * 1024
IDLE_COMMIT_S = 0.05
THREAD_STOP_TIMEOUT_S = 5.0

AppliedListener = Callable[[LoggedCommand, Result], None]


class _Proposal(msgspec.Struct):
    encoded: bytes
    changes_membership: bool
    answer: Future


class GroupCommit:
    """Takes proposals, writes them in batches, applies them and resolves their answers.

    Parameters
    ----------
    on_applied
        Called on the leader for each applied command, in order, before its answer is given.
    """

    def __init__(
        self,
        replica: Replica,
        item_max_attempts: Callable[[], int],
        on_applied: AppliedListener,
    ) -> None:
        self._replica = replica
        self._item_max_attempts = item_max_attempts
        self._on_applied = on_applied
        self._queue: deque[_Proposal] = deque()
        self._pending: dict[int, _Proposal] = {}
        self._stopping = False
        self.accepting = True
        self._thread = threading.Thread(
            target=self._run, name=f"group-{replica.group}-commit", daemon=True
        )
        replica.on_role_change = self._fail_if_not_leader

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; proposals that are not answered yet get ``StoreUnavailable``."""
        with self._replica.lock:
            self._stopping = True
            self._replica.to_commit.notify()
        self._thread.join(THREAD_STOP_TIMEOUT_S)
        self._fail_all()

    def propose(self, command: Command) -> Future:
        """Queue a command; the future gives the answer of the state machine.

        The answer is ``NotLeader`` or ``StoreUnavailable`` with ``proposed=False`` if the
        command certainly is not in the log, ``StoreUnavailable`` if it may be.
        """
        logged = LoggedCommand(time.time(), self._item_max_attempts(), command)
        proposal = _Proposal(
            msgspec.json.encode(logged), isinstance(command, ChangeMembership), Future()
        )
        replica = self._replica
        with replica.lock:
            refusal = self._refusal()
            if refusal is None:
                self._queue.append(proposal)
                replica.to_commit.notify()
                return proposal.answer
        proposal.answer.set_result(refusal)
        return proposal.answer

    def _refusal(self) -> PeerMessage | None:
        replica = self._replica
        if replica.role is not Role.LEADER or self._stopping:
            return NotLeader(replica.leader_endpoint())
        if not self.accepting:
            return StoreUnavailable("leadership is being handed over", proposed=False)
        if not replica.has_quorum_contact():
            return StoreUnavailable("the group has no majority", proposed=False)
        return None

    def _run(self) -> None:
        while True:
            with self._replica.lock:
                # Without applied state to make durable, there is nothing to wake up for.
                unsaved = self._replica.storage.has_unsaved_writes
                self._replica.to_commit.wait_for(self._has_work, IDLE_COMMIT_S if unsaved else None)
                if self._stopping or self._replica.role is Role.STOPPED:
                    return
            with self._replica.storage.lock:
                # Taken only now, as more proposals have come while this thread waited.
                batch = self._take_batch()
                try:
                    self._serve(batch)
                except sqlite3.Error as error:
                    self._replica.stop_for_fault(error)
                    for proposal in batch:
                        _give(proposal.answer, StoreUnavailable(f"the disk failed: {error}"))

    def _has_work(self) -> bool:
        replica = self._replica
        return bool(self._queue) or replica.applied_index < replica.commit_index or self._stopping

    def _take_batch(self) -> list[_Proposal]:
        batch: list[_Proposal] = []
        size_bytes = 0
        with self._replica.lock:
            while self._queue and size_bytes < MAX_BATCH_BYTES:
                proposal = self._queue.popleft()
                size_bytes += len(proposal.encoded)
                batch.append(proposal)
        return batch

    def _serve(self, batch: list[_Proposal]) -> None:
        self._replica.apply_committed(self._resolve)
        if batch:
            self._write(batch)
        elif not self._has_work():
            # No entries come that the applied state could go with.
            self._replica.storage.commit()

    def _write(self, batch: list[_Proposal]) -> None:
        """Write a batch; the peers receive it while this replica waits for its own disk."""
        replica = self._replica
        with replica.lock:
            # A change of role needs the storage's lock, which this thread holds.
            if replica.role is not Role.LEADER:
                refusal = NotLeader(replica.leader_endpoint())
                for proposal in batch:
                    _give(proposal.answer, refusal)
                return
            first_index = replica.storage.last_index + 1
            for position, proposal in enumerate(batch):
                self._pending[first_index + position] = proposal
        entries = tuple(
            LogEntry(
                first_index + position,
                replica.term,
                proposal.changes_membership,
                msgspec.Raw(proposal.encoded),
            )
            for position, proposal in enumerate(batch)
        )
        replica.write_entries(entries)
        with replica.lock:
            replica.last_index = replica.storage.last_index
            replica.to_send.notify_all()
        replica.storage.commit()
        with replica.lock:
            replica.match_index[replica.identity] = replica.last_index
            replica.advance_commit_index()

    def _resolve(self, entry: LogEntry, logged: LoggedCommand, result: Result) -> None:
        """Give the answer of an applied entry to whoever proposed it here."""
        if self._replica.role is not Role.LEADER:
            return
        with self._replica.lock:
            proposal = self._pending.pop(entry.index, None)
        try:
            self._on_applied(logged, result)
            if proposal and isinstance(result, Grants):
                result = self._replica.state.leased_items(result)
        except Exception as error:  # The entry is committed: a bug here must not undo that.
            log_message("store:answer_failed", error=repr(error))
            result = StoreUnavailable(f"internal error: {error!r}")
        if proposal:
            _give(proposal.answer, result)

    def _fail_if_not_leader(self) -> None:
        if self._replica.role is not Role.LEADER:
            self._fail_all()

    def _fail_all(self) -> None:
        with self._replica.lock:
            pending = list(self._pending.values())
            queued = list(self._queue)
            self._pending.clear()
            self._queue.clear()
        for proposal in pending:
            _give(proposal.answer, StoreUnavailable("leadership was lost before the commit"))
        for proposal in queued:
            _give(proposal.answer, NotLeader(self._replica.leader_endpoint()))


def _give(answer: Future, result: PeerMessage) -> None:
    if not answer.done():
        answer.set_result(result)
