"""Files of batch items: chunks that come in order or not, then a seal."""

from __future__ import annotations

import sqlite3
from collections import OrderedDict

import msgspec
import xxhash

from quaymill.connection.job_messages import (
    Accepted,
    AppendItems,
    CommitFile,
    CreateFile,
    FileRecord,
    GetFile,
    Item,
    StoreConflict,
)

MAX_CACHED_CHUNK_BYTES = 16 * 1024 * 1024
NO_SUCH_FILE_REMEDY = "create the file first, in the same group"

_ITEMS_DECODER = msgspec.json.Decoder(tuple[Item, ...])


class _CachedChunk(msgspec.Struct):
    first_index: int
    items: tuple[Item, ...]
    size_bytes: int


class FileState:
    """The tables ``files`` and ``chunks``."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection
        self._chunks: OrderedDict[tuple[str, int], _CachedChunk] = OrderedDict()
        self._cached_bytes = 0

    def create(self, message: CreateFile, at_unix_s: float) -> Accepted | StoreConflict:
        """Begin a file, or find the one of the same id or key."""
        if message.idempotency_key:
            row = self._connection.execute(
                "SELECT file_id FROM files WHERE tenant = ? AND idempotency_key = ? "
                "AND idempotency_key <> ''",
                (message.tenant, message.idempotency_key),
            ).fetchone()
            if row:
                return Accepted(id=row[0])
        if self.get(message.file_id, message.tenant):
            return Accepted(id=message.file_id)
        inserted = self._connection.execute(
            "INSERT OR IGNORE INTO files VALUES (?, ?, ?, ?, 0, 0, 0, 0, '', ?)",
            (
                message.file_id,
                message.tenant,
                message.name,
                message.idempotency_key,
                at_unix_s,
            ),
        )
        if not inserted.rowcount:
            return StoreConflict("the file id belongs to another tenant", "use another file id")
        return Accepted(id=message.file_id)

    def append(self, message: AppendItems) -> Accepted | StoreConflict:
        """Add one chunk; the same chunk again is accepted and ignored."""
        if not message.items:
            return StoreConflict("the chunk holds no items", "leave empty chunks out")
        first_index = message.items[0].index
        if any(item.index != first_index + n for n, item in enumerate(message.items)):
            return StoreConflict("item indexes have gaps", "number items from 0 without gaps")
        body = msgspec.json.encode(message.items)
        digest = xxhash.xxh128_hexdigest(body)
        row = self._connection.execute(
            "SELECT digest FROM chunks WHERE file_id = ? AND chunk_index = ?",
            (message.file_id, message.chunk_index),
        ).fetchone()
        if row:
            if row[0] == digest:
                return Accepted(id=message.file_id)
            return StoreConflict(
                f"chunk {message.chunk_index} is there with other content",
                "use another idempotency key for other content",
            )
        file = self._connection.execute(
            "SELECT sealed FROM files WHERE file_id = ?", (message.file_id,)
        ).fetchone()
        if file is None:
            return StoreConflict(f"there is no file {message.file_id}", NO_SUCH_FILE_REMEDY)
        if file[0]:
            return StoreConflict("the file is sealed", "upload a new file")
        self._connection.execute(
            "INSERT INTO chunks VALUES (?, ?, ?, ?, ?, ?)",
            (
                message.file_id,
                message.chunk_index,
                first_index,
                len(message.items),
                digest,
                body,
            ),
        )
        return Accepted(id=message.file_id)

    def seal(self, message: CommitFile) -> Accepted | StoreConflict:
        """Seal a file whose chunks are all there."""
        file = self._connection.execute(
            "SELECT sealed, digest, item_count FROM files WHERE file_id = ?", (message.file_id,)
        ).fetchone()
        if file is None:
            return StoreConflict(f"there is no file {message.file_id}", NO_SUCH_FILE_REMEDY)
        sealed, digest, item_count = file
        if sealed:
            if digest == message.digest and item_count == message.item_count:
                return Accepted(id=message.file_id)
            return StoreConflict(
                "the idempotency key was used for a file with other content",
                "use a new idempotency key for other content",
            )
        fault = self._fault_in_chunks(message)
        if fault:
            return StoreConflict(fault, "send the missing chunks, then seal again")
        self._connection.execute(
            "UPDATE files SET sealed = 1, chunk_count = ?, item_count = ?, byte_count = ?, "
            "digest = ? WHERE file_id = ?",
            (
                message.chunk_count,
                message.item_count,
                message.byte_count,
                message.digest,
                message.file_id,
            ),
        )
        return Accepted(id=message.file_id)

    def read(self, message: GetFile) -> FileRecord | StoreConflict:
        """Return one file."""
        row = self._connection.execute(
            "SELECT file_id, tenant, name, sealed, item_count, byte_count, created_unix_s "
            "FROM files WHERE file_id = ?",
            (message.file_id,),
        ).fetchone()
        if row is None:
            return StoreConflict(f"there is no file {message.file_id}", "check the file id")
        file_id, tenant, name, sealed, item_count, byte_count, created_unix_s = row
        first_item = self.item(file_id, 0) if sealed and item_count else None
        return FileRecord(
            file_id, tenant, name, bool(sealed), item_count, byte_count, created_unix_s, first_item
        )

    def get(self, file_id: str, tenant: str) -> bool:
        """Return whether the tenant has a file of that id."""
        return (
            self._connection.execute(
                "SELECT 1 FROM files WHERE file_id = ? AND tenant = ?", (file_id, tenant)
            ).fetchone()
            is not None
        )

    def item(self, file_id: str, index: int) -> Item:
        """Return one item of a sealed file; chunks read lately are kept in memory."""
        for key in reversed(self._chunks):
            chunk = self._chunks[key]
            offset = index - chunk.first_index
            if key[0] == file_id and 0 <= offset < len(chunk.items):
                self._chunks.move_to_end(key)
                return chunk.items[offset]
        chunk = self._load_chunk(file_id, index)
        return chunk.items[index - chunk.first_index]

    def forget_cache(self) -> None:
        """Drop what is kept in memory, as the tables were replaced."""
        self._chunks.clear()
        self._cached_bytes = 0

    def _load_chunk(self, file_id: str, index: int) -> _CachedChunk:
        chunk_index, first_index, body = self._connection.execute(
            "SELECT chunk_index, first_index, items FROM chunks "
            "WHERE file_id = ? AND first_index <= ? ORDER BY first_index DESC LIMIT 1",
            (file_id, index),
        ).fetchone()
        chunk = _CachedChunk(first_index, _ITEMS_DECODER.decode(body), len(body))
        self._chunks[file_id, chunk_index] = chunk
        self._cached_bytes += chunk.size_bytes
        while self._cached_bytes > MAX_CACHED_CHUNK_BYTES and len(self._chunks) > 1:
            _, oldest = self._chunks.popitem(last=False)
            self._cached_bytes -= oldest.size_bytes
        return chunk

    def _fault_in_chunks(self, message: CommitFile) -> str:
        """Return why the chunks are not the whole file; empty if they are."""
        expected_index = 0
        expected_chunk = 0
        rows = self._connection.execute(
            "SELECT chunk_index, first_index, item_count FROM chunks WHERE file_id = ? "
            "ORDER BY chunk_index",
            (message.file_id,),
        ).fetchall()
        for chunk_index, first_index, item_count in rows:
            if chunk_index != expected_chunk or first_index != expected_index:
                return f"chunk {expected_chunk}, from item {expected_index}, is missing"
            expected_chunk += 1
            expected_index += item_count
        if expected_chunk != message.chunk_count:
            return f"{expected_chunk} of {message.chunk_count} chunks are there"
        if expected_index != message.item_count:
            return f"{expected_index} of {message.item_count} items are there"
        return ""
