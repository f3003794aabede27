"""Nodes with membership and configuration only, beside a platform stand-in, in one process."""

from __future__ import annotations

import time
import unittest
from collections.abc import Callable
from pathlib import Path

import urllib3

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.peer_link import PeerClient, PeerServer
from quaymill.connection.platform_client import PlatformClient
from quaymill.process.configuration.service import ConfigurationService, ConfigurationTiming
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.machine_list import MachineListHolder
from quaymill.process.membership.membership import Membership
from quaymill.process.settings import MembershipSettings, NodeSettings
from quaymill_bench.ports import free_port
from quaymill_standins.faults import Faults
from quaymill_standins.platform import Platform, PlatformSettings

FAST = MembershipSettings(probe_interval_s=0.1, probe_timeout_s=0.05, suspicion_s=0.5)


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
    """Return settings of a node on free ports."""
    values = {
        "name": name,
        "zone": zone,
        "region": "region",
        "address": "127.0.0.1",
        "http_port": 1,
        "peer_port": free_port(),
        "platform": f"127.0.0.1:{platform_port}",
        "seeds": tuple(str(seed) for seed in seeds),
        "membership": FAST,
    }
    return NodeSettings(**{**values, **fields})


class HollowNode:
    """One node without gateway, scheduler and store."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.links = LinkFilter()
        self.holder = ConfigurationHolder()
        self.machines = MachineListHolder()
        self.membership = Membership(settings, self.links)
        self.platform = PlatformClient(Endpoint.parse(settings.platform), self.links)
        self.peer_client = PeerClient(self.links)
        self.peer_server = PeerServer(settings.peer_endpoint)
        self.service = ConfigurationService(
            settings,
            self.holder,
            self.machines,
            self.membership,
            self.platform,
            self.peer_client,
            self.peer_server,
            ConfigurationTiming(configuration_watch_s=1.0, machines_watch_s=1.0),
        )

    @property
    def generation(self) -> int:
        """The generation in force."""
        return self.holder.current().generation

    def start(self) -> None:
        """Start all parts."""
        self.peer_server.start()
        self.membership.start()
        self.service.start()

    def stop(self) -> None:
        """Stop all parts, without a word to the others."""
        self.service.stop()
        self.membership.stop()
        self.peer_server.stop()
        self.peer_client.close()
        self.platform.close()


class Fleet:
    """Some nodes, spread over zones in turn, that know the first one as their seed."""

    def __init__(
        self, platform: Platform, zones: tuple[str, ...], data_folders: tuple[Path, ...] = ()
    ) -> None:
        self.nodes: list[HollowNode] = []
        seeds: tuple[Endpoint, ...] = ()
        for index, zone in enumerate(zones):
            folder = str(data_folders[index]) if index < len(data_folders) else ""
            settings = settings_for(f"node-{index}", zone, platform.port, seeds, data_folder=folder)
            self.nodes.append(HollowNode(settings))
            seeds = seeds or (settings.peer_endpoint,)

    def start(self) -> None:
        """Start all nodes and wait until they know each other."""
        for node in self.nodes:
            node.start()
        eventually(
            lambda: all(len(node.membership.live()) == len(self.nodes) for node in self.nodes),
            why="all nodes know each other",
        )

    def in_zone(self, zone: str) -> list[HollowNode]:
        """Return the nodes of a zone."""
        return [node for node in self.nodes if node.settings.zone == zone]

    def cut(self, nodes: list[HollowNode], with_platform: bool = True) -> None:
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

    def restart(self, index: int) -> HollowNode:
        """Replace a stopped node by a new process of the same name and address."""
        self.nodes[index] = HollowNode(self.nodes[index].settings)
        self.nodes[index].start()
        return self.nodes[index]

    def all_hold(self, generation: int) -> bool:
        """Return whether a generation is in force on every node."""
        return all(node.generation == generation for node in self.nodes)

    def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes:
            node.stop()
