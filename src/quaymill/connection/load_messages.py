"""Messages about replicas: load reports and notices of online work."""

from __future__ import annotations

import msgspec

from quaymill.connection.peer_link import PeerMessage


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """What one replica last said about its load, with the age of that statement.

    It is sent as an array without field names, since reports are most of what nodes tell one
    another about replicas.

    Attributes
    ----------
    age_s
        Seconds since the replica measured it, as far as the sender knows.
    running, waiting
        Requests in the running batch and in the queue, online and batch together.
    batch_running
        Batch items among ``running``.
    slots
        Most requests the replica runs at once.
    draining
        Whether the replica says that it is leaving.
    reachable
        Whether the last poll was answered.
    """

    replica: str
    age_s: float
    running: int = 0
    waiting: int = 0
    batch_running: int = 0
    slots: int = 0
    draining: bool = False
    reachable: bool = True


class GetLoad(PeerMessage, frozen=True):
    """Ask a node for reports: of the replicas that it polls, or of all that it knows of a zone.

    Attributes
    ----------
    zone
        Whose replicas; empty for those that the node polls itself.
    """

    zone: str = ""


class LoadReports(PeerMessage, frozen=True):
    """Answer to ``GetLoad``."""

    reports: tuple[LoadReport, ...]


class OnlineStarts(PeerMessage, frozen=True):
    """Online work goes to these replicas now: their batch streams must give way.

    A replica is named once for each request that starts there.
    """

    replicas: tuple[str, ...]


class Noted(PeerMessage, frozen=True):
    """Answer to a notice."""
