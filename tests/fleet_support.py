"""Nodes with membership and configuration only, beside a platform stand-in, in one process."""

from __future__ import annotations

import time
import unittest
from collections.abc import Callable
from pathlib import Path

import urllib3

from control_node import ControlNode, ControlNodeOptions, control_node_settings
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.platform_client import PlatformClient
from quaymill.process.configuration.service import ConfigurationTiming
from quaymill.process.settings import MembershipSettings, NodeSettings
from quaymill_standins.faults import Faults
from quaymill_standins.platform import Platform, PlatformSettings

FAST = MembershipSettings(probe_interval_s=0.1, probe_timeout_s=0.05, suspicion_s=0.5)
OPTIONS = ControlNodeOptions(
    ConfigurationTiming(0.3, configuration_watch_s=1.0, machines_watch_s=1.0)
)


def eventually(condition: Callable[[], object], timeout_s: float = 10.0, why: str = "") -> None:
    """Wait until a condition holds; fail at the deadline."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline:
            raise AssertionError(f"not within {timeout_s} s: {why or condition}")
        time.sleep(0.01)


def start_platform(**settings: object) -> Platform:
    """Start a platform stand-in on a free port."""
    platform = Platform(PlatformSettings(**{"machine_lag_s": 0.05, **settings}))
    platform.start()
    return platform


def set_faults(platform: Platform, **faults: object) -> None:
    """Replace the fault switches of the stand-in."""
    platform.switches.replace(Faults(**faults))


def control(platform: Platform, action: str, name: str = "empty") -> None:
    """Carry out ``snapshot``, ``restore`` or ``forget-history`` on the stand-in."""
    answer = urllib3.request(
        "POST", f"http://127.0.0.1:{platform.port}/standin/{action}", json={"name": name}
    )
    assert answer.status == 200, answer.data


class PlatformCase(unittest.TestCase):
    """One platform stand-in for the tests of a class, empty at the start of each."""

    @classmethod
    def setUpClass(cls):
        cls.platform = start_platform()
        cls.addClassCleanup(cls.platform.stop)
        control(cls.platform, "snapshot")

    def setUp(self):
        set_faults(self.platform)
        control(self.platform, "restore")
        self.links = LinkFilter()
        self.client = PlatformClient(Endpoint("127.0.0.1", self.platform.port), self.links)
        self.addCleanup(self.client.close)


def settings_for(
    name: str, zone: str, platform_port: int, seeds: tuple[Endpoint, ...] = (), **fields: object
) -> NodeSettings:
    """Return settings of a node on free ports, with fast probes."""
    return control_node_settings(name, zone, platform_port, seeds, membership=FAST, **fields)


def start_node(settings: NodeSettings) -> ControlNode:
    """Start a control node with short watches."""
    node = ControlNode(settings, OPTIONS)
    node.start()
    return node


class Fleet:
    """Some nodes, spread over zones in turn, that know the first one as their seed."""

    def __init__(
        self,
        platform: Platform,
        zones: tuple[str, ...],
        data_folders: tuple[Path, ...] = (),
        options: ControlNodeOptions = OPTIONS,
    ) -> None:
        self.nodes: list[ControlNode] = []
        seeds: tuple[Endpoint, ...] = ()
        for index, zone in enumerate(zones):
            folder = str(data_folders[index]) if index < len(data_folders) else ""
            settings = settings_for(f"node-{index}", zone, platform.port, seeds, data_folder=folder)
            self.nodes.append(ControlNode(settings, options))
            seeds = seeds or (settings.peer_endpoint,)

    def start(self) -> None:
        """Start all nodes and wait until they know each other."""
        for node in self.nodes:
            node.start()
        eventually(
            lambda: all(len(node.membership.live()) == len(self.nodes) for node in self.nodes),
            why="all nodes know each other",
        )

    def in_zone(self, zone: str) -> list[ControlNode]:
        """Return the nodes of a zone."""
        return [node for node in self.nodes if node.settings.zone == zone]

    def cut(self, nodes: list[ControlNode], with_platform: bool = True) -> None:
        """Cut some nodes off from all others, in both directions, and from the platform."""
        others = [node for node in self.nodes if node not in nodes]
        for here, there in ((nodes, others), (others, nodes)):
            blocked = {node.settings.peer_endpoint for node in there}
            if with_platform and here is nodes:
                blocked.add(here[0].platform.endpoint)
            for node in here:
                node.links.set_blocked(frozenset(blocked))

    def heal(self) -> None:
        """Restore all links."""
        for node in self.nodes:
            node.links.set_blocked(frozenset())

    def restart(self, index: int) -> ControlNode:
        """Replace a stopped node by a new process of the same name and address."""
        self.nodes[index] = start_node(self.nodes[index].settings)
        return self.nodes[index]

    def all_hold(self, generation: int) -> bool:
        """Return whether a generation is in force on every node."""
        return all(node.generation == generation for node in self.nodes)

    def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes:
            node.stop()
