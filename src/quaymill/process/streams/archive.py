"""Keeps what gateways must know about streams after all of them have restarted at once.

Storage nodes hold copies of the records of streams in memory, and the versions that have served
lately also on disk. Gateways that have just started ask for both.
"""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
from eliot import log_message

from quaymill.connection.peer_server import PeerServer
from quaymill.connection.stream_messages import (
    ExchangeVersions,
    FindStream,
    KnownVersions,
    ServiceVersion,
    ShareStreams,
    StreamFound,
    StreamRecord,
    StreamsShared,
)
from quaymill.process.streams.history import VersionHistory
from quaymill.process.streams.records import StreamRecords
from quaymill.request.stream_version import StreamVersion

HISTORY_FILE = "stream-versions.json"


def register_records(records: StreamRecords, server: PeerServer) -> None:
    """Answer peers that share records of streams or ask for them."""

    def share(message: ShareStreams) -> StreamsShared:
        for record in message.records:
            records.add(record.request_id, StreamVersion(record.service, record.version))
        return StreamsShared()

    def find(message: FindStream) -> StreamFound:
        version = records.find(message.request_id)
        if version is None:
            return StreamFound()
        return StreamFound(StreamRecord(message.request_id, version.service, version.name))

    server.register(ShareStreams, share)
    server.register(FindStream, find)


class StreamArchive:
    """Records of streams and served versions at a storage node.

    Parameters
    ----------
    folder
        Data folder of the node.
    """

    def __init__(self, folder: Path, server: PeerServer) -> None:
        self._file = folder / HISTORY_FILE
        self._history = VersionHistory()
        self._saved = self._load()
        self._history.record(self._saved)
        register_records(StreamRecords(), server)
        server.register(ExchangeVersions, self._exchange)

    def _exchange(self, message: ExchangeVersions) -> KnownVersions:
        self._history.record(message.versions)
        known = self._history.all()
        if _without_ages(known) != _without_ages(self._saved):
            self._save(known)
        return KnownVersions(known)

    def _load(self) -> tuple[ServiceVersion, ...]:
        """Return the versions on disk; they may have served until now."""
        try:
            saved = msgspec.json.decode(self._file.read_bytes(), type=tuple[ServiceVersion, ...])
        except FileNotFoundError:
            return ()
        except (OSError, msgspec.MsgspecError) as error:
            log_message("stream:history_unreadable", file=str(self._file), error=str(error))
            return ()
        return tuple(msgspec.structs.replace(one, age_s=0.0) for one in saved)

    def _save(self, versions: tuple[ServiceVersion, ...]) -> None:
        """Write the versions; a crash leaves either the old file or the new one."""
        new_file = self._file.with_suffix(".new")
        try:
            with new_file.open("wb") as file:
                file.write(msgspec.json.encode(versions))
                file.flush()
                os.fsync(file.fileno())
            new_file.replace(self._file)
            self._saved = versions
        except OSError as error:
            log_message("stream:history_not_saved", file=str(self._file), error=str(error))


def _without_ages(versions: tuple[ServiceVersion, ...]) -> frozenset[tuple[str, str | None]]:
    return frozenset((one.service, one.version) for one in versions)
