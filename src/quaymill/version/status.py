"""The status document: state, load and problems of nodes and replicas."""

from __future__ import annotations

import msgspec

from quaymill.connection.member import MemberState


class NodeStatus(msgspec.Struct, frozen=True):
    """State of one node, as observed in its zone."""

    name: str
    zone: str
    state: MemberState
    generation: int


class ZoneStatus(msgspec.Struct, frozen=True):
    """Numbers of nodes of one zone.

    Attributes
    ----------
    current
        Live nodes with the highest generation.
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
    """A problem that needs an operator's attention; ``source`` is the node that reports it."""

    source: str
    subject: str
    reason: str
    remedy: str
    since_unix_s: float


class StatusNote(msgspec.Struct, frozen=True):
    """Information about one subject, such as a tenant's use of its limit."""

    subject: str
    text: str


class ServingStatus(msgspec.Struct, frozen=True):
    """Status of the fleet, as collected by the elected writer.

    Attributes
    ----------
    token
        Fencing token of the writer's lease; a higher one takes precedence.
    generation
        The highest generation on any node.
    nodes
        All nodes of a small fleet; in a large fleet only those in an unusual state.
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
    """Rows that one component of a node adds to the status."""

    replicas: tuple[ReplicaStatus, ...] = ()
    problems: tuple[StatusProblem, ...] = ()
    notes: tuple[StatusNote, ...] = ()
