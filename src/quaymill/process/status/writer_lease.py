"""The lease of the status writer: an object of the platform, acquired by compare-and-swap.

The lease is valid for ``duration_s`` after its holder began the last successful renewal, by the
holder's monotonic clock. Another node acquires it after seeing it unchanged for that long by its
own clock, so clocks are never compared. Each new holder increments the fencing token.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from quaymill import boot_clock
from quaymill.connection.platform_client import STATUS_LEASE_NAME, STATUS_LEASES, PlatformClient
from quaymill.connection.platform_objects import NotFound, PlatformObject

LEASE_DURATION_S = 15.0
RENEWALS_PER_LEASE = 3
NO_HOLDER = ""
UNREADABLE_HOLDER = "unreadable"


class LeaseRecord(msgspec.Struct, frozen=True):
    """The stored lease; ``expires_unix_s`` is informative only."""

    holder: str
    token: int
    expires_unix_s: float


class _Seen(msgspec.Struct, frozen=True):
    """The lease as last read, and the monotonic time at which that version was first seen."""

    resource_version: str
    record: LeaseRecord
    since: float


class WriterLease:
    """The lease as used by one node; not thread-safe.

    Parameters
    ----------
    holder
        Name of this node.
    clock
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        platform: PlatformClient,
        holder: str,
        duration_s: float = LEASE_DURATION_S,
        clock: Callable[[], float] = boot_clock.now,
    ) -> None:
        self._platform = platform
        self._holder = holder
        self._duration_s = duration_s
        self._clock = clock
        self._seen: _Seen | None = None
        self._token: int | None = None
        self._valid_until = 0.0

    def token(self) -> int | None:
        """Return the fencing token while this node holds the lease, else ``None``."""
        if self._token is not None and self._clock() >= self._valid_until:
            self._token = None  # Renewals failed for too long; another node may hold it now.
        return self._token

    def acquire_or_renew(self) -> int | None:
        """Acquire or renew the lease if that is due; return the token while it is held."""
        token = self.token()
        if token is not None:
            renewal_due = self._valid_until - self._duration_s * (1 - 1 / RENEWALS_PER_LEASE)
            if self._clock() >= renewal_due:
                self._write(token)
            return self.token()
        self._read()
        if self._seen is None:
            return None
        if self._may_acquire(self._seen):
            self._write(self._seen.record.token + 1)
        return self.token()

    def release(self) -> None:
        """Release the lease, so that another node may acquire it at once.

        If the write fails, the next holder has to wait until the lease expires.
        """
        token = self.token()
        self._token = None
        if token is None or self._seen is None:
            return
        released = LeaseRecord(NO_HOLDER, token, time.time())
        version = self._seen.resource_version
        self._platform.replace(STATUS_LEASES, STATUS_LEASE_NAME, released, version)

    def _may_acquire(self, seen: _Seen) -> bool:
        # A lease in this node's own name is from before a restart or from a write without response.
        if not seen.resource_version or seen.record.holder in (NO_HOLDER, self._holder):
            return True
        return self._clock() - seen.since >= self._duration_s

    def _read(self) -> None:
        result = self._platform.get(STATUS_LEASES, STATUS_LEASE_NAME)
        if isinstance(result, NotFound):
            self._seen = _Seen("", LeaseRecord(NO_HOLDER, 0, 0.0), self._clock())
        elif isinstance(result, PlatformObject):
            self._record_seen(result)
        else:
            self._seen = None

    def _record_seen(self, stored: PlatformObject) -> None:
        if self._seen is not None and self._seen.resource_version == stored.resource_version:
            return
        try:
            record = msgspec.json.decode(bytes(stored.spec), type=LeaseRecord)
        except msgspec.MsgspecError:
            record = LeaseRecord(UNREADABLE_HOLDER, 0, 0.0)
        self._seen = _Seen(stored.resource_version, record, self._clock())

    def _write(self, token: int) -> None:
        """Store the lease in this node's name, unless another node has changed it."""
        began = self._clock()
        record = LeaseRecord(self._holder, token, time.time() + self._duration_s)
        version = self._seen.resource_version if self._seen else ""
        if version:
            result = self._platform.replace(STATUS_LEASES, STATUS_LEASE_NAME, record, version)
        else:
            result = self._platform.create(STATUS_LEASES, STATUS_LEASE_NAME, record)
        if isinstance(result, PlatformObject):
            self._record_seen(result)
            self._token = token
            self._valid_until = began + self._duration_s
        else:
            # If only the response was lost, the next read finds this node's name and acquires it.
            self._token = None
