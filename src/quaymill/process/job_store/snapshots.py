"""Snapshots: the state tables sent row by row to a replica that the log cannot serve.

The sender reads one consistent state in a transaction of its own, so that writes go on
meanwhile. The receiver fills tables beside its own, and with the last part swaps them in one
transaction: a crash before that leaves its old state and log as they were.
"""

from __future__ import annotations

import base64
import sqlite3
import uuid
from collections.abc import Callable, Iterator

import msgspec

from quaymill import boot_clock
from quaymill.connection.log_messages import (
    GroupMembership,
    InstallSnapshot,
    ReplicaAddress,
    SnapshotReceived,
)
from quaymill.connection.peer_link import PeerClient, PeerRefusal
from quaymill.process.job_store.replica import Replica
from quaymill.process.job_store.schema import STATE_TABLES, StateTable

MAX_PART_BYTES = 1024 * 1024
MAX_PART_ROWS = 10_000
PART_TIMEOUT_S = 30.0
INCOMING_PREFIX = "incoming_"

_MEMBERSHIP_DECODER = msgspec.json.Decoder(GroupMembership)

Row = tuple[str | int | float | None, ...]


class _Position(msgspec.Struct, frozen=True):
    last_index: int
    last_term: int
    membership: GroupMembership


class SnapshotSender:
    """Sends one snapshot to one peer."""

    def __init__(
        self, replica: Replica, peer: ReplicaAddress, term: int, client: PeerClient
    ) -> None:
        self._replica = replica
        self._peer = peer
        self._term = term
        self._client = client
        self._snapshot = uuid.uuid4().hex
        self._part = 0

    def send(self, stopping: Callable[[], bool]) -> int | None:
        """Send the state; return the last index it covers, or ``None`` if it failed."""
        reader = self._replica.storage.open_reader()
        try:
            reader.execute("BEGIN")
            position = _read_position(reader)
            with self._replica.lock:
                self._replica.kept_for_snapshots[self._peer.identity] = position.last_index
            for table in STATE_TABLES:
                for rows in _parts(reader, table):
                    if stopping() or not self._send_part(position, table.name, rows, False):
                        return None
            if not self._send_part(position, "", (), True):
                return None
            return position.last_index
        finally:
            reader.close()
            with self._replica.lock:
                self._replica.kept_for_snapshots.pop(self._peer.identity, None)

    def _send_part(
        self, position: _Position, table: str, rows: tuple[Row, ...], last_part: bool
    ) -> bool:
        replica = self._replica
        message = InstallSnapshot(
            group=replica.group,
            recipient=self._peer.identity,
            leader=replica.identity,
            term=self._term,
            snapshot=self._snapshot,
            part=self._part,
            last_index=position.last_index,
            last_term=position.last_term,
            membership=position.membership,
            table=table,
            rows=rows,
            last_part=last_part,
        )
        self._part += 1
        sent_s = boot_clock.now()
        reply = self._client.call(
            replica.address(self._peer), message, SnapshotReceived, PART_TIMEOUT_S
        )
        if not isinstance(reply, SnapshotReceived) or reply.replica != self._peer.identity:
            return False
        replica.observe_term(reply.term)
        with replica.lock:
            if replica.term != self._term:
                return False
            replica.peer_contact_s[self._peer.identity] = sent_s
        return reply.accepted


class SnapshotReceiver:
    """Takes the parts of a snapshot into tables beside the state tables."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._snapshot = ""
        self.next_part = 0

    def handle(self, message: InstallSnapshot) -> SnapshotReceived | PeerRefusal:
        """Take one part; what it brings is on disk before this is answered."""
        replica = self._replica
        refusal = replica.refusal_for(message.recipient)
        if refusal:
            return refusal
        with replica.lock:
            replica.busy_with_leader += 1
        try:
            with replica.storage.lock:
                return self._take(message)
        except sqlite3.Error as error:
            replica.stop_for_fault(error)
            return PeerRefusal(reason=f"the disk failed: {error}")
        finally:
            with replica.lock:
                replica.busy_with_leader -= 1
                replica.leader_contact_s = boot_clock.now()

    def _take(self, message: InstallSnapshot) -> SnapshotReceived:
        replica = self._replica
        if message.term < replica.term or message.last_index < replica.commit_index:
            return SnapshotReceived(replica.identity, replica.term, accepted=False)
        replica.step_down(message.term, message.leader)
        storage = replica.storage
        if message.part == 0:
            storage.begin()
            self._create_incoming_tables()
            self._snapshot = message.snapshot
            self.next_part = 0
        if message.snapshot != self._snapshot or message.part != self.next_part:
            return SnapshotReceived(replica.identity, replica.term, accepted=False)
        self.next_part += 1
        storage.begin()
        if message.rows:
            self._insert(message)
        if message.last_part:
            self._swap_tables(message)
        storage.commit()
        return SnapshotReceived(replica.identity, replica.term, accepted=True)

    def _create_incoming_tables(self) -> None:
        connection = self._replica.storage.connection
        for table in STATE_TABLES:
            connection.execute(f"DROP TABLE IF EXISTS {INCOMING_PREFIX}{table.name}")
            connection.execute(table.create_statement(INCOMING_PREFIX + table.name))

    def _insert(self, message: InstallSnapshot) -> None:
        table = next(table for table in STATE_TABLES if table.name == message.table)
        blobs = [kind == "BLOB" for _, kind in table.columns]
        marks = ", ".join("?" for _ in table.columns)
        self._replica.storage.connection.executemany(
            f"INSERT INTO {INCOMING_PREFIX}{table.name} VALUES ({marks})",
            (
                [
                    base64.b64decode(value) if blob and value is not None else value
                    for value, blob in zip(row, blobs, strict=True)
                ]
                for row in message.rows
            ),
        )

    def _swap_tables(self, message: InstallSnapshot) -> None:
        """Put the received state in the place of the old state and log."""
        replica = self._replica
        connection = replica.storage.connection
        for table in STATE_TABLES:
            connection.execute(f"DROP TABLE {table.name}")
            connection.execute(f"ALTER TABLE {INCOMING_PREFIX}{table.name} RENAME TO {table.name}")
            for statement in table.index_statements():
                connection.execute(statement)
        replica.storage.replace_log(message.last_index, message.last_term, message.membership)
        replica.state.files.forget_cache()
        self._snapshot = ""
        with replica.lock:
            replica.commit_index = message.last_index
            replica.applied_index = message.last_index
            replica.last_index = message.last_index
        replica.set_membership(message.membership)


def _read_position(reader: sqlite3.Connection) -> _Position:
    applied_index, snapshot_index, snapshot_term = reader.execute(
        "SELECT applied_index, snapshot_index, snapshot_term FROM replica"
    ).fetchone()
    term = snapshot_term
    if applied_index != snapshot_index:
        row = reader.execute("SELECT term FROM log WHERE log_index = ?", (applied_index,))
        term = row.fetchone()[0]
    membership = reader.execute(
        "SELECT membership FROM memberships WHERE log_index <= ? ORDER BY log_index DESC LIMIT 1",
        (applied_index,),
    ).fetchone()[0]
    return _Position(applied_index, term, _MEMBERSHIP_DECODER.decode(membership))


def _parts(reader: sqlite3.Connection, table: StateTable) -> Iterator[tuple[Row, ...]]:
    """Read a table in parts bounded by rows and bytes."""
    columns = ", ".join(column for column, _ in table.columns)
    blobs = [kind == "BLOB" for _, kind in table.columns]
    rows: list[Row] = []
    size_bytes = 0
    for values in reader.execute(f"SELECT {columns} FROM {table.name}"):
        row = tuple(
            base64.b64encode(value).decode() if blob and value is not None else value
            for value, blob in zip(values, blobs, strict=True)
        )
        rows.append(row)
        size_bytes += sum(len(value) for value in row if isinstance(value, str))
        if size_bytes >= MAX_PART_BYTES or len(rows) >= MAX_PART_ROWS:
            yield tuple(rows)
            rows = []
            size_bytes = 0
    if rows:
        yield tuple(rows)
