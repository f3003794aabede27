"""What a replica says of itself in its entry of the platform's list."""

from __future__ import annotations

import attrs

from quaymill.connection.endpoint import Endpoint


@attrs.frozen
class ReplicaEntry:
    """One incarnation of a replica.

    Attributes
    ----------
    id
        Names this incarnation; a restarted replica has another.
    slots
        Requests that the replica works on at once.
    cold_left_s
        How much longer it stays slow after its start.
    """

    id: str
    service: str
    address: Endpoint
    zone: str
    slots: int
    draining: bool = False
    cold_left_s: float = attrs.field(default=0.0, eq=False)


@attrs.frozen
class ReportedLoad:
    """What a replica told of its load with an answer.

    Attributes
    ----------
    running, waiting
        Requests in its slots, and behind them.
    """

    running: int
    waiting: int
    slots: int
