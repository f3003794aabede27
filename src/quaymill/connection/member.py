"""Nodes as seen by their peers, and machines as listed by the platform."""

from __future__ import annotations

import enum

import msgspec

from quaymill.connection.endpoint import Endpoint


class MemberState(enum.StrEnum):
    """States of a node as seen by its peers.

    ALIVE or DRAINING -> SUSPECT when probes fail;
    SUSPECT -> DEAD when the suspicion is not refuted in time;
    SUSPECT or DEAD -> ALIVE or DRAINING when the node refutes it with a higher incarnation;
    any -> DRAINING when the node announces a planned stop.
    ``Member.draining`` stays set when a draining node becomes SUSPECT.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    DRAINING = "draining"
    DEAD = "dead"


class Member(msgspec.Struct, frozen=True):
    """A node and the properties that it publishes about itself.

    Attributes
    ----------
    incarnation
        Number that the node increases when it starts, drains or refutes a suspicion; the record
        with the highest one is valid.
    configuration_generation
        Generation of the serving configuration that is active on the node.
    machine_list_version
        Version of the platform's machine list that the node holds.
    has_disk
        Whether the node stores replicas of the log.
    draining
        Whether the node has announced a planned stop, in any state.
    process_id
        Random id of the running process, which changes at each restart.
    cores
        Number of processor cores that the node may use; 0 if unknown.
    evacuations_revision
        Revision of the set of evacuated zones that the node holds; 0 if none.
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
    evacuations_revision: int = 0


class MachineRole(enum.StrEnum):
    """Kinds of machines in the platform's list."""

    NODE = "node"
    ENGINE = "engine"
    APPLICATION = "application"


class Machine(msgspec.Struct, frozen=True):
    """One entry of the platform's machine list, which may be out of date.

    Attributes
    ----------
    endpoint
        Address that the machine serves on; for a node, the address for its peers.
    service
        Model of an engine or name of an application; empty for a node.
    draining
        Whether the platform reports that the machine is about to stop.
    """

    name: str
    role: MachineRole
    zone: str
    endpoint: Endpoint
    service: str = ""
    draining: bool = False
