"""Finds the software version at which a caller's stream may go on."""

from __future__ import annotations

from collections.abc import Callable

from quaymill import boot_clock
from quaymill.process.replica_set.table import DEPARTED_RETENTION_S, ReplicaTable
from quaymill.process.streams.sharing import StreamVersionSharing
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.stream_version import StreamVersion

MAX_VIEW_AGE_S = 2.0
"""Age of the list of replicas above which another gateway may have seen another version."""


class StreamVersions:
    """The versions of the streams that callers take up at this gateway.

    Without a record of the stream, the version of the service's replicas is used if they all have
    the same one, and none had another one while streams that may still be taken up began.

    Parameters
    ----------
    view_age_s
        Returns how long ago the list of replicas was known to be the newest.
    """

    def __init__(
        self, sharing: StreamVersionSharing, table: ReplicaTable, view_age_s: Callable[[], float]
    ) -> None:
        self._sharing = sharing
        self._table = table
        self._view_age_s = view_age_s
        self._started_at = boot_clock.now()

    def record_begun(self, request_id: str, version: StreamVersion) -> None:
        """Record a stream whose first event is being sent."""
        self._sharing.record_begun(request_id, version)

    def version_of(self, request: ForwardedRequest, service: str) -> StreamVersion | None:
        """Return the version that began the stream of a request; ``None`` if it is not known."""
        if request.began_as is None:
            # This caller cannot say which stream it takes up.
            return self._only_version(service)
        found = self._sharing.find(request.began_as)
        if found is not None:
            return found
        has_seen_all = boot_clock.now() - self._started_at > DEPARTED_RETENTION_S
        return self._only_version(service) if has_seen_all else None

    def _only_version(self, service: str) -> StreamVersion | None:
        """Return the version of all replicas, those that departed lately included."""
        versions = {replica.entry.version for replica in self._table.of_service(service)}
        if len(versions) != 1 or self._view_age_s() > MAX_VIEW_AGE_S:
            return None
        return StreamVersion(service, versions.pop())
