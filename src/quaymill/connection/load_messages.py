"""Messages about replicas: load reports and reports of online requests."""

from __future__ import annotations

import msgspec

from quaymill.connection.peer_link import PeerMessage


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The last load reported by a replica, and its age.

    It is encoded as an array without field names to keep these frequent messages small.

    Attributes
    ----------
    age_s
        Seconds since the replica measured its load, as estimated by the sender.
    running, waiting
        Number of requests in the running batch and in the queue, online and batch together.
    batch_running
        Number of batch items among ``running``.
    slots
        Maximum number of requests that the replica runs at once.
    draining
        Whether the replica reports that it is about to stop.
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
    """Request load reports of the replicas that a node polls, or of all it knows in a zone.

    Attributes
    ----------
    zone
        Zone of the replicas; empty for those that the node polls itself.
    """

    zone: str = ""


class LoadReports(PeerMessage, frozen=True):
    """Answer to ``GetLoad``."""

    reports: tuple[LoadReport, ...]


class OnlineStarts(PeerMessage, frozen=True):
    """Online requests are starting at these replicas and preempt batch items there.

    A replica is listed once for each request.
    """

    replicas: tuple[str, ...]


class Noted(PeerMessage, frozen=True):
    """Answer to ``OnlineStarts``."""
