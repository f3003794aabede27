"""Keeps barred requests (blocked after crashing replicas) in the platform's object store.

Gateways have no disk, so the store is needed if all of them stop at once.
"""

from __future__ import annotations

import time

import msgspec
from eliot import log_message

from quaymill.connection.crash_messages import CrashRecord
from quaymill.connection.object_store import (
    Listing,
    ObjectKind,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreRefused,
    StoreUnanswered,
)
from quaymill.request.poison import BARRED_S

MS_PER_S = 1000


class _Barred(msgspec.Struct, frozen=True):
    """Stored object; its name is the content digest, or the key of a prompt part.

    Attributes
    ----------
    incarnations
        Process instances of replicas that crashed while they ran the request.
    crashed_at_ms
        Wall-clock time of the last crash, in Unix milliseconds.
    """

    incarnations: tuple[str, ...]
    crashed_at_ms: int


class BarredStore:
    """Writes and reads the crash records of barred requests."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def write(self, record: CrashRecord) -> bool:
        """Write a record; return whether the request is stored as barred now."""
        crashed_at_ms = int((time.time() - record.age_s) * MS_PER_S)
        counted = tuple(name for name in record.incarnations if name not in record.excused)
        spec = msgspec.to_builtins(_Barred(counted, crashed_at_ms))
        written = self._store.create(ObjectKind.BARRED_REQUESTS, record.key, spec)
        if isinstance(written, StoreRefused | StoreUnanswered):
            log_message("request:not_kept_barred", content=record.key, reason=written.reason)
            return False
        # An existing object is kept: any record of the request bars it.
        return True

    def withdraw(self, key: str) -> bool:
        """Delete the record of what is no longer barred; return whether it is gone."""
        deleted = self._store.delete(ObjectKind.BARRED_REQUESTS, key)
        if isinstance(deleted, StoreRefused | StoreUnanswered):
            log_message("request:kept_barred", content=key, reason=deleted.reason)
            return False
        return True

    def read(self) -> tuple[CrashRecord, ...] | StoreFailure:
        """Return the records that are still valid, and delete expired objects."""
        listing = self._store.list(ObjectKind.BARRED_REQUESTS)
        if not isinstance(listing, Listing):
            return listing
        records = []
        for stored in listing.objects:
            record = _read_record(stored)
            if record is None:
                continue
            if record.age_s > BARRED_S:
                self._store.delete(ObjectKind.BARRED_REQUESTS, stored.name)
            else:
                records.append(record)
        return tuple(records)


def _read_record(stored: StoredObject) -> CrashRecord | None:
    try:
        barred = msgspec.convert(stored.spec, _Barred)
    except msgspec.ValidationError as error:
        log_message("request:barred_unread", content=stored.name, reason=str(error))
        return None
    age_s = max(0.0, time.time() - barred.crashed_at_ms / MS_PER_S)
    return CrashRecord(stored.name, barred.incarnations, age_s, contrasted=True)
