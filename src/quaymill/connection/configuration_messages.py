"""Messages by which nodes pull the configuration and the machine list from each other."""

from __future__ import annotations

from quaymill.connection.member import Machine
from quaymill.connection.peer_link import PeerMessage
from quaymill.version.configuration import ServingConfiguration
from quaymill.version.differences import ConfigurationDifference


class PullConfiguration(PeerMessage, frozen=True):
    """Request the changes to the configuration since a generation; -1 requests all of it."""

    held_generation: int


class ConfigurationDifferences(PeerMessage, frozen=True):
    """Differences in the order of generations; empty if there is no newer generation."""

    differences: tuple[ConfigurationDifference, ...] = ()


class WholeConfiguration(PeerMessage, frozen=True):
    """Active configuration of a node that does not have all of the requested differences."""

    configuration: ServingConfiguration


class PullMachineList(PeerMessage, frozen=True):
    """Request the changes to the machine list since a version."""

    held_version: int


class MachineListChanges(PeerMessage, frozen=True):
    """Changed machines and names of removed machines, from one version to a later one.

    ``base_version`` 0 is the empty list, so that a complete list can be sent in the same form.
    """

    base_version: int
    version: int
    changed: tuple[Machine, ...] = ()
    removed: tuple[str, ...] = ()


class GetConfigurationReport(PeerMessage, frozen=True):
    """Request the generation that a node holds and the problems that it has found."""


class ConfigurationProblem(PeerMessage, frozen=True):
    """A problem for an operator to resolve: where it is, its reason and its remedy.

    Attributes
    ----------
    subject
        The cell, object or node with the problem.
    since_unix_s
        Time at which the reporting node found the problem, or at which its reason last changed.
    """

    subject: str
    reason: str
    remedy: str
    since_unix_s: float


class HeldGeneration(PeerMessage, frozen=True):
    """Generation held by a node in the zone of the answering node, as last received there."""

    node: str
    generation: int


class ConfigurationReport(PeerMessage, frozen=True):
    """Answer to ``GetConfigurationReport``."""

    node: str
    zone: str
    generation: int
    held_in_zone: tuple[HeldGeneration, ...] = ()
    problems: tuple[ConfigurationProblem, ...] = ()
