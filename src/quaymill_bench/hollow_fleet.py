"""A fleet of hollow nodes in this process, with what it takes to measure it."""

from __future__ import annotations

import threading
import time

import msgspec
import psutil

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import MemberState
from quaymill.connection.platform_client import (
    CONFIGURATION_NAME,
    CONFIGURATIONS,
    MACHINES,
    PlatformClient,
    PlatformObject,
)
from quaymill.process.status.service import StatusTiming
from quaymill.version.configuration import ServingConfiguration
from quaymill_bench.cluster_members import HOST
from quaymill_bench.hollow import CallTraffic, HollowNode, HollowOptions, hollow_settings
from quaymill_bench.processes import wait_until
from quaymill_bench.scale_sizes import replica_machines, zone_name

SEEDS = 3
UDP_HEADER_BYTES = 28
JOIN_TIMEOUT_S = 180.0
DEATH_TIMEOUT_S = 60.0
UNUSED_ENDPOINT = Endpoint(HOST, 1)


class Usage(msgspec.Struct, frozen=True):
    """What all nodes together have used so far.

    Attributes
    ----------
    udp_bytes, udp_datagrams
        Sent and received, with the headers of UDP and IP.
    call_bytes
        Sent and received by callers, by message type; each byte also passes at the peer.
    """

    at: float
    cpu_s: float
    udp_bytes: int
    udp_datagrams: int
    call_bytes: dict[str, int]
    calls: dict[str, int]


class HollowFleet:
    """Some hollow nodes beside the platform and real nodes of a cluster.

    Parameters
    ----------
    seeds
        Peers to join through; the first hollow nodes themselves if there are none.
    """

    def __init__(
        self, count: int, platform_port: int, seeds: tuple[Endpoint, ...], load_view: bool
    ) -> None:
        options = HollowOptions(status=StatusTiming(), load_view=load_view)
        self.nodes: list[HollowNode] = []
        self._process = psutil.Process()
        for index in range(count):
            settings = hollow_settings(
                f"hollow-{index:04d}", zone_name(index), platform_port, seeds
            )
            self.nodes.append(HollowNode(settings, options))
            if len(seeds) < SEEDS:
                seeds = (*seeds, settings.peer_endpoint)

    def start(self, members: int) -> float:
        """Start all nodes; return the seconds until each knows ``members`` live ones."""
        began = time.monotonic()
        for node in self.nodes:
            node.start()
        wait_until(
            lambda: all(len(node.membership.live()) == members for node in self.nodes),
            JOIN_TIMEOUT_S,
            f"{members} members known everywhere",
        )
        return time.monotonic() - began

    def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes:
            node.stop()

    def usage(self) -> Usage:
        """Return what the nodes have used so far."""
        times = self._process.cpu_times()
        udp_bytes = udp_datagrams = 0
        calls: dict[str, CallTraffic] = {}
        for node in self.nodes:
            traffic = node.membership.traffic
            datagrams = traffic.sent_datagrams + traffic.received_datagrams
            udp_datagrams += datagrams
            udp_bytes += traffic.sent_bytes + traffic.received_bytes
            udp_bytes += datagrams * UDP_HEADER_BYTES
            for kind, made in list(node.peer_client.traffic.items()):
                total = calls.setdefault(kind, CallTraffic())
                total.calls += made.calls
                total.sent_bytes += made.sent_bytes + made.received_bytes
        return Usage(
            time.monotonic(),
            times.user + times.system,
            udp_bytes,
            udp_datagrams,
            {kind: total.sent_bytes for kind, total in calls.items()},
            {kind: total.calls for kind, total in calls.items()},
        )

    def resident_bytes(self) -> int:
        """Return the resident memory of this process."""
        return self._process.memory_info().rss

    def seconds_until_in_force(self, generation: int, began: float, timeout_s: float) -> float:
        """Wait until a generation is in force on all nodes; return the seconds since ``began``."""
        wait_until(
            lambda: all(node.generation >= generation for node in self.nodes),
            timeout_s,
            f"generation {generation} in force",
            0.005,
        )
        return time.monotonic() - began

    def kill(self) -> tuple[float, float]:
        """Stop one node without a word.

        Returns
        -------
        Seconds until the first other node, and until every other node, knows it as dead.
        """
        victim = self.nodes.pop()
        name = victim.settings.name
        victim.stop()
        began = time.monotonic()
        first = wait_until(
            lambda: any(self._is_dead(node, name) for node in self.nodes),
            DEATH_TIMEOUT_S,
            f"{name} known as dead",
        )
        wait_until(
            lambda: all(self._is_dead(node, name) for node in self.nodes),
            DEATH_TIMEOUT_S,
            f"{name} known as dead everywhere",
        )
        return first, time.monotonic() - began

    def _is_dead(self, node: HollowNode, name: str) -> bool:
        member = next((m for m in node.membership.members() if m.name == name), None)
        return member is not None and member.state is MemberState.DEAD


def fill_platform(
    platform: PlatformClient, configuration: ServingConfiguration, replicas: int
) -> None:
    """Put the table and the machine list into the platform, over what is there."""
    held = platform.get(CONFIGURATIONS, CONFIGURATION_NAME)
    if isinstance(held, PlatformObject):
        platform.replace(CONFIGURATIONS, CONFIGURATION_NAME, configuration, held.resource_version)
    else:
        platform.create(CONFIGURATIONS, CONFIGURATION_NAME, configuration)
    machines = replica_machines(replicas, UNUSED_ENDPOINT)
    threads = [
        threading.Thread(target=_create_machines, args=(platform, machines[part::4]))
        for part in range(4)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _create_machines(platform: PlatformClient, machines: list) -> None:
    for machine in machines:
        platform.create(MACHINES, machine.name, machine)
