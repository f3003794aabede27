"""The status document: what the nodes hold and meet, beside the cells of the configuration."""

from __future__ import annotations

import msgspec

from quaymill.connection.member import MemberState


class NodeStatus(msgspec.Struct, frozen=True):
    """One node as its zone's readers see it."""

    name: str
    zone: str
    state: MemberState
    generation: int


class ZoneStatus(msgspec.Struct, frozen=True):
    """All nodes of one zone in numbers.

    Attributes
    ----------
    current
        Live nodes that hold the highest generation.
    """

    zone: str
    live: int
    draining: int
    dead: int
    current: int


class ReplicaStatus(msgspec.Struct, frozen=True):
    """The replicas of one service in one zone group, with their load as last reported."""

    service: str
    zone_group: str
    live: int = 0
    draining: int = 0
    ejected: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0


class StatusProblem(msgspec.Struct, frozen=True):
    """Something an operator has to see; ``source`` is the node that reports it."""

    source: str
    subject: str
    reason: str
    remedy: str
    since_unix_s: float


class StatusNote(msgspec.Struct, frozen=True):
    """A line of one part of the system, such as a tenant's use of its limit."""

    subject: str
    text: str


class ServingStatus(msgspec.Struct, frozen=True):
    """What the elected writer knows.

    Attributes
    ----------
    token
        Fencing token of the writer's lease; a higher one goes before a lower one.
    generation
        The highest generation in force on any node.
    nodes
        Every node of a small fleet; of a large one those out of the ordinary.
    """

    token: int = 0
    writer: str = ""
    written_unix_s: float = 0.0
    generation: int = 0
    zones: tuple[ZoneStatus, ...] = ()
    nodes: tuple[NodeStatus, ...] = ()
    replicas: tuple[ReplicaStatus, ...] = ()
    problems: tuple[StatusProblem, ...] = ()
    notes: tuple[StatusNote, ...] = ()


class StatusRows(msgspec.Struct, frozen=True):
    """What one part of a node adds to the status."""

    replicas: tuple[ReplicaStatus, ...] = ()
    problems: tuple[StatusProblem, ...] = ()
    notes: tuple[StatusNote, ...] = ()
