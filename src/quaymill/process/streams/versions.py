"""Finds the software version at which a caller's stream may go on."""

from __future__ import annotations

from collections.abc import Callable

from quaymill.process.streams.served_versions import ServedVersions
from quaymill.process.streams.sharing import StreamVersionSharing
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.stream_version import StreamVersion

MAX_VIEW_AGE_S = 2.0
"""Age of the list of replicas above which another gateway may have seen another version."""


class StreamVersions:
    """The versions of the streams that callers take up at this gateway.

    Without a record of the stream, the version of the service's replicas is used if they all have
    the same one, and none had another one while streams that may still be taken up began. That must
    be known also of the time before this gateway has started.

    Parameters
    ----------
    view_age_s
        Returns how long ago the list of replicas was known to be the newest.
    """

    def __init__(
        self, sharing: StreamVersionSharing, served: ServedVersions, view_age_s: Callable[[], float]
    ) -> None:
        self._sharing = sharing
        self._served = served
        self._view_age_s = view_age_s

    def record_begun(self, request_id: str, version: StreamVersion) -> None:
        """Record a stream whose first event is being sent."""
        self._sharing.record_begun(request_id, version)

    def version_of(self, request: ForwardedRequest, service: str) -> StreamVersion | None:
        """Return the version that began the stream of a request; ``None`` if it is not known."""
        # A caller that names no stream cannot say which one it takes up.
        found = None if request.began_as is None else self._sharing.find(request.began_as)
        return self._only_version(service) if found is None else found

    def _only_version(self, service: str) -> StreamVersion | None:
        """Return the version of all replicas that have served lately, if there is only one."""
        versions = self._served.of_service(service)
        is_known = self._served.complete and self._view_age_s() <= MAX_VIEW_AGE_S
        if len(versions) != 1 or not is_known:
            return None
        return StreamVersion(service, *versions)
