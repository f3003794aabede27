"""Streams an uploaded file into the job store with bounded memory.

The bytes are split into lines and the lines into chunks whose borders depend on the content
alone. A resend with the same idempotency key therefore sends the same chunks, and those
that the store has already are ignored.
"""

from __future__ import annotations

import msgspec
import xxhash

from quaymill.connection.job_messages import (
    Accepted,
    AppendItems,
    CommitFile,
    CreateFile,
    Item,
    StoreConflict,
)
from quaymill.connection.peer_link import PeerMessage
from quaymill.process.batch.job_store import JobStore
from quaymill.process.gateway.batch_lines import LineChecker, refused_line
from quaymill.request.outcome import Failure, NotRun, OutcomeUnknown

MAX_ITEMS_PER_CHUNK = 500
MAX_CHUNK_BYTES = 256 * 1024
STORE_TIMEOUT_S = 15.0
CONFLICT_STATUS = 409


class UploadedFile(msgspec.Struct, frozen=True):
    """A file that is sealed in the job store."""

    file_id: str
    item_count: int
    byte_count: int


class FileUpload:
    """One upload: ``begin``, ``write`` for each block, ``finish``.

    After a failure the rest is ignored and ``failure`` says what went wrong. A file that is
    not sealed does not exist for the tenant, so a failure before the seal is "not run".
    """

    def __init__(
        self,
        job_store: JobStore,
        lines: LineChecker,
        create: CreateFile,
        max_line_bytes: int,
    ) -> None:
        self._job_store = job_store
        self._lines = lines
        self._create = create
        self._file_id = create.file_id
        self._max_line_bytes = max_line_bytes
        self._digest = xxhash.xxh128()
        self._byte_count = 0
        self._line_number = 0
        self._rest = b""
        self._items: list[Item] = []
        self._item_bytes = 0
        self._chunk_count = 0
        self.failure: Failure | None = None

    def begin(self, name: str) -> None:
        """Create the file, or find the one with the same idempotency key."""
        reply = self._call(msgspec.structs.replace(self._create, name=name))
        if reply is not None:
            self._file_id = reply.id

    def write(self, block: bytes) -> None:
        """Take in the next bytes of the file."""
        if self.failure is not None:
            return
        self._digest.update(block)
        self._byte_count += len(block)
        lines = (self._rest + block).split(b"\n")
        self._rest = lines.pop()
        for line in lines:
            self._take_line(line)
            if self.failure is not None:
                return
        if len(self._rest) > self._max_line_bytes:
            self._refuse_long_line(self._line_number + 1)

    def finish(self) -> UploadedFile | Failure:
        """Seal the file."""
        if self.failure is None and self._rest:
            self._take_line(self._rest)
        if self.failure is None:
            self.failure = self._lines.finish()
        if self.failure is None and self._items:
            self._append_chunk()
        if self.failure is None:
            self._seal()
        if self.failure is not None:
            return self.failure
        return UploadedFile(self._file_id, self._lines.item_count, self._byte_count)

    def _take_line(self, line: bytes) -> None:
        self._line_number += 1
        if len(line) > self._max_line_bytes:
            self._refuse_long_line(self._line_number)
            return
        line = line.strip()
        if not line:
            return
        item = self._lines.check(line, self._line_number)
        if isinstance(item, NotRun):
            self.failure = item
            return
        self._items.append(item)
        self._item_bytes += len(line)
        if len(self._items) >= MAX_ITEMS_PER_CHUNK or self._item_bytes >= MAX_CHUNK_BYTES:
            self._append_chunk()

    def _append_chunk(self) -> None:
        items = tuple(self._items)
        self._call(AppendItems(self._create.group, self._file_id, self._chunk_count, items))
        self._chunk_count += 1
        self._items = []
        self._item_bytes = 0

    def _seal(self) -> None:
        commit = CommitFile(
            group=self._create.group,
            file_id=self._file_id,
            chunk_count=self._chunk_count,
            item_count=self._lines.item_count,
            byte_count=self._byte_count,
            digest=self._digest.hexdigest(),
        )
        self._call(commit)

    def _call(self, message: PeerMessage) -> Accepted | None:
        """Send a message; set ``failure`` and return ``None`` if it was not accepted."""
        reply = self._job_store.call(message, Accepted, STORE_TIMEOUT_S)
        match reply:
            case Accepted():
                return reply
            case StoreConflict(reason=reason, remedy=remedy):
                self.failure = NotRun(CONFLICT_STATUS, reason, remedy)
            case OutcomeUnknown(reason=reason) if not isinstance(message, CommitFile):
                self.failure = NotRun(503, reason, "send the file again", 1.0)
            case _:
                self.failure = reply
        return None

    def _refuse_long_line(self, number: int) -> None:
        self.failure = refused_line(number, f"is longer than {self._max_line_bytes} bytes")
