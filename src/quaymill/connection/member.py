"""What nodes know of one another, and of the machines the platform lists."""

from __future__ import annotations

import enum

import msgspec

from quaymill.connection.endpoint import Endpoint


class MemberState(enum.StrEnum):
    """States of a node as seen by its peers.

    ALIVE -> SUSPECT when probes fail; SUSPECT -> DEAD when nobody refutes it in time;
    SUSPECT or DEAD -> ALIVE when the node answers with a higher incarnation;
    any -> DRAINING when the node announces a planned stop; DRAINING -> DEAD when it is gone.
    A node that is suspected while it drains keeps its mark ``Member.draining``.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    DRAINING = "draining"
    DEAD = "dead"


class Member(msgspec.Struct, frozen=True):
    """One node, with the facts it spreads about itself.

    Attributes
    ----------
    incarnation
        Raised by the node itself to refute a suspicion; the higher one wins.
    configuration_generation
        Generation of the serving configuration that is in force on the node.
    machine_list_version
        Version of the platform's machine list that the node holds.
    has_disk
        Whether the node carries replicas of the log.
    draining
        Whether the node has announced a planned stop, whatever its state is now.
    process_id
        Drawn at each start: tells a restarted node from the one before.
    cores
        Processor time that the node may use, in cores; 0 if it was not told.
    """

    name: str
    zone: str
    region: str
    peer: Endpoint
    http: Endpoint
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    configuration_generation: int = 0
    machine_list_version: int = 0
    has_disk: bool = False
    draining: bool = False
    process_id: str = ""
    cores: float = 0.0


class MachineRole(enum.StrEnum):
    """What a machine in the platform's list runs."""

    NODE = "node"
    ENGINE = "engine"
    APPLICATION = "application"


class Machine(msgspec.Struct, frozen=True):
    """One entry of the platform's machine list, which lags behind the truth.

    Attributes
    ----------
    endpoint
        Where the machine serves; of a node, where its peers reach it.
    service
        Model served by an engine, or name of the application; empty for a node.
    draining
        Whether the platform says that the machine is leaving.
    """

    name: str
    role: MachineRole
    zone: str
    endpoint: Endpoint
    service: str = ""
    draining: bool = False
