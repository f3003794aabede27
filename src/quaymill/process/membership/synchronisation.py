"""Compares the tables of two nodes by digests and exchanges the records that differ."""

from __future__ import annotations

import random
from collections.abc import Callable

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.process.membership.member_socket import MemberSocket
from quaymill.process.membership.member_table import MemberTable
from quaymill.process.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MemberRecord,
    Sync,
    SyncAnswer,
    encode_datagram,
    encoded_size,
)

MAX_SYNC_DATAGRAMS = 48


class Synchronisation:
    """One node's side of the exchange: ``Sync`` -> ``SyncAnswer`` -> ``SyncAnswer``.

    Lost datagrams are not sent again, since the next comparison finds what still differs.
    """

    def __init__(
        self,
        table: MemberTable,
        member_socket: MemberSocket,
        header_fields: Callable[[], dict[str, str | int]],
        random_source: random.Random,
    ) -> None:
        self._table = table
        self._socket = member_socket
        self._header_fields = header_fields
        self._random = random_source

    def begin(self, target: Endpoint) -> None:
        """Send the digests of this node's table, and this node's record, to another node."""
        sync = Sync(**self._header_fields(), digests=self._table.digests())
        sync.records = (MemberRecord.of(self._table.local()),)
        self._socket.send(target, sync)

    def answer(self, sync: Sync, source: Endpoint) -> None:
        """Send the records of the buckets that differ, and request the sender's records."""
        pairs = zip(self._table.digests(), sync.digests, strict=False)
        differing = tuple(
            bucket
            for bucket, (local_digest, other_digest) in enumerate(pairs)
            if local_digest != other_digest
        )
        if differing:
            self.send_records(source, frozenset(differing), wanted=differing)

    def send_records(
        self, target: Endpoint, buckets: frozenset[int], wanted: tuple[int, ...] = ()
    ) -> None:
        """Send the records of some buckets; the last datagram requests those of ``wanted``."""
        batches = self._batches(buckets, wanted)[:MAX_SYNC_DATAGRAMS]
        for index, batch in enumerate(batches):
            last = index == len(batches) - 1
            answer = SyncAnswer(**self._header_fields(), wanted=wanted if last else ())
            answer.records = tuple(MemberRecord.of(member) for member in batch)
            self._socket.send(target, answer)

    def _batches(self, buckets: frozenset[int], wanted: tuple[int, ...]) -> list[list[Member]]:
        """Return the members of the buckets in batches that fit into one datagram each."""
        members = self._table.in_buckets(buckets)
        # If there are too many records for one exchange, each exchange omits different ones.
        self._random.shuffle(members)
        empty = SyncAnswer(**self._header_fields(), wanted=wanted)
        capacity_bytes = MAX_DATAGRAM_BYTES - len(encode_datagram(empty))
        batches: list[list[Member]] = [[]]
        remaining_bytes = capacity_bytes
        for member in members:
            size = encoded_size(member)
            if size > remaining_bytes:
                batches.append([])
                remaining_bytes = capacity_bytes
            batches[-1].append(member)
            remaining_bytes -= size
        return batches
