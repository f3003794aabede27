"""Messages by which nodes pull configuration and machine list from each other."""

from __future__ import annotations

from quaymill.connection.member import Machine
from quaymill.connection.peer_link import PeerMessage
from quaymill.version.configuration import ServingConfiguration
from quaymill.version.differences import ConfigurationDifference


class PullConfiguration(PeerMessage, frozen=True):
    """Ask for what leads on from a generation."""

    held_generation: int


class ConfigurationDifferences(PeerMessage, frozen=True):
    """Differences in the order of generations; empty if there is nothing newer."""

    differences: tuple[ConfigurationDifference, ...] = ()


class WholeConfiguration(PeerMessage, frozen=True):
    """The configuration in force at the peer, when differences do not reach back."""

    configuration: ServingConfiguration


class PullMachineList(PeerMessage, frozen=True):
    """Ask for what leads on from a version of the machine list."""

    held_version: int


class MachineListChanges(PeerMessage, frozen=True):
    """Machines to put in and names to take out, from one version to a later one.

    ``base_version`` 0 is the empty list, so that a whole list has the same form.
    """

    base_version: int
    version: int
    changed: tuple[Machine, ...] = ()
    removed: tuple[str, ...] = ()


class GetConfigurationReport(PeerMessage, frozen=True):
    """Ask a node what it holds and what it refused."""


class ConfigurationProblem(PeerMessage, frozen=True):
    """Something an operator has to see: what, why and what to do.

    Attributes
    ----------
    subject
        A cell, an object or a node.
    since_unix_s
        When the reporting node first met it.
    """

    subject: str
    reason: str
    remedy: str
    since_unix_s: float


class HeldGeneration(PeerMessage, frozen=True):
    """What a node of the answering node's zone holds, as far as that node has heard."""

    node: str
    generation: int


class ConfigurationReport(PeerMessage, frozen=True):
    """Answer to ``GetConfigurationReport``."""

    node: str
    zone: str
    generation: int
    held_in_zone: tuple[HeldGeneration, ...] = ()
    problems: tuple[ConfigurationProblem, ...] = ()
