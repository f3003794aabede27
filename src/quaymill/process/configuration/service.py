"""Keeps this node's configuration and machine list current, from the platform or from peers.

Two nodes of each zone watch the platform. Every node publishes its versions in the membership
datagrams, and a node that is behind pulls the differences from a peer that is ahead. A node with a
data folder also keeps a copy on disk, so that it can start while the platform is down.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from pathlib import Path

import attrs
import msgspec

from quaymill.connection.configuration_messages import (
    ConfigurationDifferences,
    ConfigurationProblem,
    ConfigurationReport,
    GetConfigurationReport,
    HeldGeneration,
    MachineListChanges,
    PullConfiguration,
    PullMachineList,
    WholeConfiguration,
)
from quaymill.connection.member import MachineRole, Member, MemberState
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.platform_client import CONFIGURATIONS, MACHINES, PlatformClient
from quaymill.process.configuration.disk_copy import CopyWriter, load_copy
from quaymill.process.configuration.platform_watch import PlatformWatch, WatchSettings
from quaymill.process.configuration.problems import ProblemLog
from quaymill.process.configuration.reader import ConfigurationFollower, MachineListFollower
from quaymill.process.configuration.version_check import VersionCheck
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.machine_list import MachineList, MachineListHolder
from quaymill.process.machine_list_changes import MachineListLog, apply_machine_changes
from quaymill.process.membership.membership import Membership
from quaymill.process.membership.ranking import rank_nodes, reader_nodes
from quaymill.process.settings import NodeSettings
from quaymill.version.checks import check_configuration
from quaymill.version.configuration import EMPTY_CONFIGURATION, ServingConfiguration
from quaymill.version.differences import (
    ConfigurationDifference,
    DifferenceLog,
    apply_difference,
    find_difference,
)

PULL_TIMEOUT_S = 2.0
PULL_CHECK_INTERVAL_S = 1.0
PULL_RETRY_INTERVAL_S = 0.2


class ConfigurationTiming(msgspec.Struct, frozen=True):
    """Durations of watches of the platform and interval of version checks, in seconds.

    A lost connection of a watch is noticed only when the watch should have ended. The duration of
    the configuration's watch therefore limits the delay of an edit if the version check fails too.
    """

    version_check_s: float = 1.5
    configuration_watch_s: float = 8.0
    machines_watch_s: float = 30.0


DEFAULT_TIMING = ConfigurationTiming()


@attrs.frozen
class _Pull:
    """What is pulled from peers by a thread of its own.

    Attributes
    ----------
    is_ahead
        Returns whether a peer has something newer.
    pull_from
        Pulls from a peer; returns whether anything was updated.
    """

    is_ahead: Callable[[Member], bool]
    pull_from: Callable[[Member], bool]
    wake: threading.Event = attrs.field(factory=threading.Event)


class ConfigurationService:
    """Updates the configuration and machine list of this node, and answers pulls of peers.

    Parameters
    ----------
    settings
        Zone and data folder of this node.
    holder, machine_list
        Holders that are kept current; other components subscribe to them.
    membership
        Source of the peers' versions; publishes the versions of this node.
    """

    def __init__(
        self,
        settings: NodeSettings,
        holder: ConfigurationHolder,
        machine_list: MachineListHolder,
        membership: Membership,
        platform_client: PlatformClient,
        peer_client: PeerClient,
        peer_server: PeerServer,
        timing: ConfigurationTiming = DEFAULT_TIMING,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._machine_list = machine_list
        self._membership = membership
        self._peer_client = peer_client
        self._problems = ProblemLog()
        self._watch_problems = ProblemLog()
        self._differences = DifferenceLog()
        self._machine_changes = MachineListLog()
        self._last_configuration = EMPTY_CONFIGURATION
        self._pulled_differences: tuple[ConfigurationDifference, ...] = ()
        self._copies = CopyWriter(Path(settings.data_folder), self._problems)
        self._configuration_pull = _Pull(self._has_newer_configuration, self._pull_configuration)
        self._machines_pull = _Pull(self._has_newer_machines, self._pull_machines)
        self._stopping = threading.Event()
        follower = ConfigurationFollower(platform_client, holder, self._watch_problems)
        self._version_check = VersionCheck(
            platform_client, follower, self._is_checker, timing.version_check_s
        )
        self._watches = (
            PlatformWatch(
                platform_client,
                WatchSettings(CONFIGURATIONS, timing.configuration_watch_s),
                follower,
                self.is_reader,
                self._report_platform,
            ),
            PlatformWatch(
                platform_client,
                WatchSettings(MACHINES, timing.machines_watch_s),
                MachineListFollower(machine_list, self._watch_problems),
                self.is_reader,
                self._report_platform,
            ),
        )
        peer_server.register(PullConfiguration, self._answer_pull)
        peer_server.register(PullMachineList, self._answer_machines)
        peer_server.register(GetConfigurationReport, lambda _: self.report())

    def start(self) -> None:
        """Load the copy on disk, then start watching the platform and pulling from peers."""
        if self._settings.data_folder:
            self._load_copy(Path(self._settings.data_folder))
            self._copies.start()
        self._holder.subscribe(self._on_configuration)
        self._machine_list.subscribe(self._on_machine_list)
        self._membership.subscribe(self._on_members)
        # One thread each, so that neither waits for a peer that does not send the other.
        for pull in (self._configuration_pull, self._machines_pull):
            threading.Thread(
                target=self._pull_loop, args=(pull,), name="control-pull", daemon=True
            ).start()
        for watch in self._watches:
            watch.start()
        self._version_check.start()

    def stop(self) -> None:
        """Stop all threads."""
        self._stopping.set()
        self._configuration_pull.wake.set()
        self._machines_pull.wake.set()
        self._version_check.stop()
        for watch in self._watches:
            watch.stop()
        self._copies.stop()

    def is_reader(self) -> bool:
        """Return whether this node watches the platform for its zone."""
        local = self._membership.local()
        readers = reader_nodes(self._membership.live(), local.zone)
        return local.name in {member.name for member in readers}

    def _is_checker(self) -> bool:
        ranked = rank_nodes("version-check", self._membership.live())
        return bool(ranked) and ranked[0].name == self._membership.local().name

    def report(self) -> ConfigurationReport:
        """Return the generations known in this node's zone, and the current problems."""
        local = self._membership.local()
        return ConfigurationReport(
            local.name,
            local.zone,
            self._holder.current().generation,
            tuple(
                HeldGeneration(member.name, member.configuration_generation)
                for member in self._membership.members()
                if member.zone == local.zone and member.state is not MemberState.DEAD
            ),
            self._current_problems(),
        )

    def _current_problems(self) -> tuple[ConfigurationProblem, ...]:
        """Return the current problems; those found by a watch only while this node watches."""
        if self.is_reader() or self._is_checker():
            return (*self._problems.all(), *self._watch_problems.all())
        return self._problems.all()

    # Local changes.

    def _on_configuration(self, configuration: ServingConfiguration) -> None:
        if configuration.generation <= self._last_configuration.generation:
            return
        self._differences.add(self._differences_to(configuration))
        self._last_configuration = configuration
        self._membership.publish(configuration_generation=configuration.generation)
        if self._settings.data_folder:
            self._copies.store(configuration)

    def _differences_to(
        self, configuration: ServingConfiguration
    ) -> tuple[ConfigurationDifference, ...]:
        """Return the differences that lead to ``configuration``, pulled or found by comparison."""
        pulled = self._pulled_differences
        if (
            pulled
            and pulled[0].base_generation <= self._last_configuration.generation
            and pulled[-1].generation == configuration.generation
        ):
            return pulled
        return (find_difference(self._last_configuration, configuration),)

    def _on_machine_list(self, machine_list: MachineList) -> None:
        if not machine_list.version:
            return
        self._machine_changes.add(machine_list)
        self._membership.publish(machine_list_version=machine_list.version)
        self._membership.add_seeds(
            machine.endpoint
            for machine in machine_list.machines
            if machine.role is MachineRole.NODE
        )

    def _on_members(self) -> None:
        for pull in (self._configuration_pull, self._machines_pull):
            if self._peer_ahead(pull.is_ahead) is not None:
                pull.wake.set()

    # Pulling.

    def _pull_loop(self, pull: _Pull) -> None:
        while not self._stopping.is_set():
            pull.wake.wait(PULL_CHECK_INTERVAL_S)
            pull.wake.clear()
            while not self._stopping.is_set():
                peer = self._peer_ahead(pull.is_ahead)
                if peer is None:
                    break
                if not pull.pull_from(peer):
                    self._stopping.wait(PULL_RETRY_INTERVAL_S)

    def _peer_ahead(self, is_ahead: Callable[[Member], bool]) -> Member | None:
        """Return a random peer that is ahead, preferably in this zone; ``None`` if none is."""
        local = self._membership.local()
        ahead = [
            member
            for member in self._membership.members()
            if member.state is not MemberState.DEAD
            and member.name != local.name
            and is_ahead(member)
        ]
        near = [member for member in ahead if member.zone == local.zone]
        return random.choice(near or ahead) if ahead else None

    def _has_newer_configuration(self, member: Member) -> bool:
        return member.configuration_generation > self._holder.current().generation

    def _has_newer_machines(self, member: Member) -> bool:
        return member.machine_list_version > self._machine_list.current().version

    def _pull_configuration(self, peer: Member) -> bool:
        held = self._holder.current()
        reply = self._peer_client.call(
            peer.peer,
            PullConfiguration(held.generation),
            ConfigurationDifferences | WholeConfiguration,
            PULL_TIMEOUT_S,
        )
        match reply:
            case WholeConfiguration():
                return self._offer(reply.configuration)
            case ConfigurationDifferences():
                for difference in reply.differences:
                    held = apply_difference(held, difference)
                    if held is None:
                        return self._pull_whole(peer)
                self._pulled_differences = reply.differences
                return self._offer(held)
        return False

    def _pull_whole(self, peer: Member) -> bool:
        reply = self._peer_client.call(
            peer.peer, PullConfiguration(-1), WholeConfiguration, PULL_TIMEOUT_S
        )
        return isinstance(reply, WholeConfiguration) and self._offer(reply.configuration)

    def _offer(self, configuration: ServingConfiguration) -> bool:
        problems = check_configuration(configuration)
        for problem in problems:
            self._problems.report(f"peer: {problem.cell}", problem.reason, problem.remedy)
        return not problems and self._holder.offer(configuration)

    def _pull_machines(self, peer: Member) -> bool:
        held = self._machine_list.current()
        reply = self._peer_client.call(
            peer.peer, PullMachineList(held.version), MachineListChanges, PULL_TIMEOUT_S
        )
        if not isinstance(reply, MachineListChanges):
            return False
        changed = apply_machine_changes(held, reply)
        return changed is not None and self._machine_list.offer(changed)

    # Answering.

    def _answer_pull(
        self, message: PullConfiguration
    ) -> ConfigurationDifferences | WholeConfiguration:
        current = self._holder.current()
        if message.held_generation >= current.generation:
            return ConfigurationDifferences()
        differences = self._differences.since(message.held_generation)
        if differences is None:
            return WholeConfiguration(current)
        return ConfigurationDifferences(differences)

    def _answer_machines(self, message: PullMachineList) -> MachineListChanges:
        return self._machine_changes.since(message.held_version, self._machine_list.current())

    def _report_platform(self, reason: str) -> None:
        if reason:
            self._watch_problems.report("platform", reason, "restore the platform's object API")
        else:
            self._watch_problems.clear("platform")

    def _load_copy(self, folder: Path) -> None:
        configuration = load_copy(folder, self._problems)
        if configuration is not None:
            self._holder.offer(configuration)
