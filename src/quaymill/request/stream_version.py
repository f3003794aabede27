"""The software version of a stream: only replicas of the version that began it may go on with it.

What two versions write does not fit together, and replicas do not check which version a stream
began at. The first event that a caller receives decides.
"""

from __future__ import annotations

import attrs

from quaymill.connection.replica_entry import ReplicaEntry


@attrs.frozen
class StreamVersion:
    """The software version that began a stream, and the service that it belongs to.

    Attributes
    ----------
    name
        The version as replicas state it, empty if they state none. ``None`` if it is not known:
        no replica may then go on with the stream.
    """

    service: str
    name: str | None

    @classmethod
    def of_replica(cls, entry: ReplicaEntry) -> StreamVersion:
        """Return the version of a stream that a replica begins."""
        return cls(entry.service, entry.version)

    def may_resume_at(self, entry: ReplicaEntry) -> bool:
        """Return whether a replica may go on with the stream."""
        known = self.name is not None
        return known and (entry.service, entry.version) == (self.service, self.name)
